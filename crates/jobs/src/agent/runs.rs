//! State of a run at its agent.

use std::time::Duration;

use cumindeck_types::{RunNumber, Uptime};

use crate::TaskId;
use crate::exchange::{RunReport, RunState};

/// Pause after a failed stop; the worker may reset every connection.
const STOP_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Time after which the outcome of a stop is not waited for; calls to the worker time out
/// earlier.
const MAX_STOP_TIME: Duration = Duration::from_millis(500);

#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Phase {
    /// The start has been sent.
    Starting,
    /// The worker runs it.
    Active,
    /// It has to be stopped; the worker will list its end.
    Stopping,
    /// The outcome of its start is unknown; it has to be stopped.
    StoppingStart,
    /// The stop of its start was confirmed at this time; only run lists that are
    /// read later show whether it runs.
    AwaitingLists(Uptime),
    /// It does not run and will not, for this reason.
    Refused(String),
}

#[derive(Debug, Clone)]
pub(super) struct LocalRun {
    pub phase: Phase,
    /// Time of creation; a confirmed start creates the state anew.
    since: Uptime,
    percent: u32,
    checkpoint: String,
    /// When a failed stop is sent again.
    stop_due: Option<Uptime>,
    /// Whether a stop has been sent that has no outcome yet.
    is_stop_in_flight: bool,
    /// Whether the start was sent when the worker's former incarnation was known.
    is_sent_to_former: bool,
    /// Number of the last report before the run was refused.
    refused_after: u64,
}

impl LocalRun {
    pub fn new(phase: Phase, since: Uptime) -> Self {
        Self {
            phase,
            since,
            percent: 0,
            checkpoint: String::new(),
            stop_due: None,
            is_stop_in_flight: false,
            is_sent_to_former: false,
            refused_after: 0,
        }
    }

    /// Returns its entry in the agent's report.
    pub fn report(&self, (task, run): &(TaskId, RunNumber)) -> RunReport {
        let state = match &self.phase {
            Phase::Starting | Phase::StoppingStart | Phase::AwaitingLists(_) => RunState::Starting,
            Phase::Active | Phase::Stopping => RunState::Active {
                percent: self.percent,
                checkpoint: self.checkpoint.clone(),
            },
            Phase::Refused(reason) => RunState::NotStarted {
                reason: reason.clone(),
            },
        };
        RunReport {
            task: task.clone(),
            run: *run,
            state,
        }
    }

    /// Applies the worker's list entry; returns whether the run has become active.
    pub fn on_listed(&mut self, percent: u32, checkpoint: String) -> bool {
        self.percent = percent;
        if !checkpoint.is_empty() {
            self.checkpoint = checkpoint;
        }
        let is_new = self.phase == Phase::Starting;
        match self.phase {
            Phase::Starting | Phase::Refused(_) => self.phase = Phase::Active,
            Phase::StoppingStart | Phase::AwaitingLists(_) => self.phase = Phase::Stopping,
            Phase::Active | Phase::Stopping => {}
        }
        is_new
    }

    /// Records that it does not run and will not; `report` is the last report sent.
    pub fn mark_refused(&mut self, reason: &str, report: u64) {
        self.phase = Phase::Refused(reason.to_owned());
        self.refused_after = report;
    }

    /// Begins a stop; returns false if one is in flight or there is nothing to stop.
    pub fn begin_stop(&mut self, now: Uptime) -> bool {
        let is_retry = self.is_stop_due(now);
        if is_retry {
            self.stop_due = None;
        }
        match self.phase {
            Phase::Starting => self.phase = Phase::StoppingStart,
            Phase::Active => self.phase = Phase::Stopping,
            Phase::Stopping | Phase::StoppingStart => {
                self.is_stop_in_flight |= is_retry;
                return is_retry;
            }
            Phase::AwaitingLists(_) | Phase::Refused(_) => return false,
        }
        self.is_stop_in_flight = true;
        true
    }

    /// Records the outcome of the stop in flight; returns false if the run has to be stopped
    /// at a successor of the worker since.
    pub fn end_stop(&mut self, now: Uptime) -> bool {
        self.is_stop_in_flight = false;
        self.stop_due = self.stop_due.map(|due| due.min(now));
        self.stop_due.is_none()
    }

    /// Returns whether the worker's present incarnation has confirmed the start, if its
    /// outcome is that it runs.
    pub const fn is_start_current(&self) -> bool {
        !self.is_sent_to_former
    }

    /// Returns whether the run may be on a new incarnation under the same worker id, whose
    /// lists were requested at `sent_at`; a start without a confirmed outcome has to be
    /// stopped there.
    ///
    /// A call names the id only, so that the new incarnation may get a start that was meant
    /// for the former one.
    pub fn may_be_on_successor(&mut self, now: Uptime, sent_at: Uptime) -> bool {
        self.is_sent_to_former = true;
        match self.phase {
            Phase::Starting | Phase::StoppingStart | Phase::AwaitingLists(_) => {
                self.stop_start(now);
                true
            }
            Phase::Active | Phase::Stopping => !self.must_be_listed(sent_at),
            Phase::Refused(_) => false,
        }
    }

    /// Has a start stopped that may still be carried out.
    pub fn stop_start(&mut self, now: Uptime) {
        self.phase = Phase::StoppingStart;
        // The outcome of a stop in flight may be that of a former incarnation; the next stop
        // waits for it, so that it can't be taken for its own.
        let wait = match self.is_stop_in_flight {
            true => MAX_STOP_TIME,
            false => Duration::ZERO,
        };
        self.stop_due = Some(now.plus(wait));
    }

    /// Returns whether only the run lists show if it runs.
    pub const fn is_awaiting_lists(&self) -> bool {
        matches!(self.phase, Phase::AwaitingLists(_))
    }

    /// Returns whether it does not run and will not.
    pub const fn is_refused(&self) -> bool {
        matches!(self.phase, Phase::Refused(_))
    }

    /// Has the run stopped if it is active.
    pub fn request_stop(&mut self, now: Uptime) {
        if self.phase == Phase::Active {
            self.stop_due = Some(now);
        }
    }

    /// Schedules another attempt of a failed stop.
    pub const fn schedule_stop_retry(&mut self, now: Uptime) {
        self.stop_due = Some(now.plus(STOP_RETRY_DELAY));
    }

    /// Returns whether a failed stop has to be sent again now.
    pub fn is_stop_due(&self, now: Uptime) -> bool {
        self.stop_due.is_some_and(|due| due <= now)
    }

    /// Returns whether the report with this number has shown the refusal to the leader.
    pub const fn is_refusal_reported(&self, report: u64) -> bool {
        matches!(self.phase, Phase::Refused(_)) && report > self.refused_after
    }

    /// Returns whether lists requested at `sent_at` contain the run if it is active.
    pub fn must_be_listed(&self, sent_at: Uptime) -> bool {
        match self.phase {
            Phase::Active | Phase::Stopping => self.since < sent_at,
            Phase::AwaitingLists(at) => at < sent_at,
            Phase::Starting | Phase::StoppingStart | Phase::Refused(_) => false,
        }
    }
}
