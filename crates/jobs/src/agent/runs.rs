//! A run as its agent knows it.

use std::time::Duration;

use cumindeck_types::{RunNumber, Uptime};

use crate::TaskId;
use crate::exchange::{RunReport, RunState};

/// Pause after a stop that failed; the worker may reset each connection.
const STOP_PAUSE: Duration = Duration::from_millis(250);

/// Where a run stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Phase {
    /// The start has been sent.
    Starting,
    /// The worker runs it.
    Active,
    /// It has to be stopped; its end will be listed.
    Stopping,
    /// Its start has no outcome; a stop settles it.
    StoppingStart,
    /// The stop of its start was confirmed at this time; lists read later settle it.
    Settling(Uptime),
    /// It does not run and will not.
    Refused(String),
}

/// A run.
#[derive(Debug, Clone)]
pub(super) struct LocalRun {
    /// Where it stands.
    pub phase: Phase,
    since: Uptime,
    percent: u32,
    checkpoint: String,
    /// When a stop that failed is sent again.
    stop_due: Option<Uptime>,
    /// Last report made before the run was refused.
    refused_after: u64,
}

impl LocalRun {
    /// Makes a run.
    pub fn new(phase: Phase, since: Uptime) -> Self {
        Self {
            phase,
            since,
            percent: 0,
            checkpoint: String::new(),
            stop_due: None,
            refused_after: 0,
        }
    }

    /// Returns its report.
    pub fn report(&self, (task, run): &(TaskId, RunNumber)) -> RunReport {
        let state = match &self.phase {
            Phase::Starting | Phase::StoppingStart | Phase::Settling(_) => RunState::Starting,
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

    /// Notes what the worker lists; tells whether the run is newly at work.
    pub fn see(&mut self, percent: u32, checkpoint: String) -> bool {
        self.percent = percent;
        if !checkpoint.is_empty() {
            self.checkpoint = checkpoint;
        }
        let is_new = self.phase == Phase::Starting;
        match self.phase {
            Phase::Starting | Phase::Refused(_) => self.phase = Phase::Active,
            Phase::StoppingStart | Phase::Settling(_) => self.phase = Phase::Stopping,
            Phase::Active | Phase::Stopping => {}
        }
        is_new
    }

    /// Notes that it does not run and will not; `report` is the last report made.
    pub fn refuse(&mut self, reason: &str, report: u64) {
        self.phase = Phase::Refused(reason.to_owned());
        self.refused_after = report;
    }

    /// Begins a stop; false if one is on its way or there is nothing to stop.
    pub fn begin_stop(&mut self, now: Uptime) -> bool {
        let is_again = self.needs_stop(now);
        if is_again {
            self.stop_due = None;
        }
        match self.phase {
            Phase::Starting => self.phase = Phase::StoppingStart,
            Phase::Active => self.phase = Phase::Stopping,
            Phase::Stopping | Phase::StoppingStart => return is_again,
            Phase::Settling(_) | Phase::Refused(_) => return false,
        }
        true
    }

    /// Notes that the stop failed and has to be sent again.
    pub const fn retry_stop(&mut self, now: Uptime) {
        self.stop_due = Some(now.plus(STOP_PAUSE));
    }

    /// Tells whether a stop that failed has to be sent again now.
    pub fn needs_stop(&self, now: Uptime) -> bool {
        self.stop_due.is_some_and(|due| due <= now)
    }

    /// Tells whether a report from `report` on has told of the refusal.
    pub const fn is_refusal_known(&self, report: u64) -> bool {
        matches!(self.phase, Phase::Refused(_)) && report > self.refused_after
    }

    /// Tells whether lists asked for at `sent` must name the run if it is there.
    pub fn is_settled_before(&self, sent: Uptime) -> bool {
        match self.phase {
            Phase::Active | Phase::Stopping => self.since < sent,
            Phase::Settling(at) => at < sent,
            Phase::Starting | Phase::StoppingStart | Phase::Refused(_) => false,
        }
    }
}
