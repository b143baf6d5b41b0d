//! Short runs that show whether the worker lists the ends of its runs.
//!
//! A worker that has got an acknowledgement of N ends that was meant for its former
//! incarnation drops its own first N ends. Each of these runs takes one number, ends with
//! its lease after some milliseconds, and does no work that counts. Runs of several tasks
//! start together: a lease holds for all runs of a worker.

use std::time::Duration;

use cumindeck_types::{RunNumber, Uptime};
use smallvec::SmallVec;

use super::call::{AgentEffect, StartOutcome};
use super::orders::PendingStart;
use super::runs::{LocalRun, Phase};
use super::{AgentCore, MAX_START_ORDER_AGE, START_WINDOW, millis};
use crate::TaskId;
use crate::exchange::EndReport;

/// Lease of the runs; the worker ends them without a stop.
const PROBE_LEASE: Duration = Duration::from_millis(40);

/// Longest lease, for a worker that starts get to late.
const MAX_PROBE_LEASE: Duration = Duration::from_millis(320);

/// Wait of a poll for the end of a run beyond its lease.
const POLL_MARGIN: Duration = Duration::from_millis(10);

/// Time after its lease at which a run is stopped: the worker has a longer lease.
const LAPSE_MARGIN: Duration = Duration::from_millis(30);

/// Pause between two stops of a run.
const STOP_PAUSE: Duration = Duration::from_millis(250);

/// Reason for which the placed run has not started.
const NO_RUN: &str = "runs before it were used to find out whether the worker lists ends";

/// Time for which a poll waits for the outcome of a start.
const MAX_START_WAIT: Duration = Duration::from_millis(100);

/// Wait of a poll while there is no such run.
const IDLE_POLL_WAIT: Duration = Duration::from_millis(100);

/// State of the current run of a task.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Stage {
    /// Its start has to be sent.
    Due,
    /// Its start was sent at this time and has no outcome yet.
    Starting(Uptime),
    /// It has been started, or may have been; lists that are read from now on show whether
    /// it has ended. It is stopped at this time.
    Started(Uptime),
    /// The worker has refused to start it, for this reason.
    Refused(String),
    /// Its start has reached the worker too late.
    Late,
}

/// The runs of one task that show whether the worker lists ends.
#[derive(Debug)]
struct Probe {
    /// The run that the leader has placed, which is not started itself.
    start: PendingStart,
    run: RunNumber,
    stage: Stage,
    /// Whether the current run is the last one.
    is_last: bool,
    /// Time after which no further run starts: the order may be outdated by then.
    until: Uptime,
}

impl Probe {
    fn is(&self, task: &TaskId, run: RunNumber) -> bool {
        self.start.task == *task && self.run == run
    }

    fn id(&self) -> (TaskId, RunNumber) {
        (self.start.task.clone(), self.start.run)
    }
}

/// The tasks whose runs show whether the worker lists ends.
#[derive(Debug)]
pub(super) struct Probes {
    tasks: SmallVec<[Probe; 8]>,
    lease: Duration,
    /// Whether the call in flight was sent after the start of the current runs.
    is_listed_next: bool,
}

impl Probes {
    /// Creates the state of a worker without such runs.
    pub fn new() -> Self {
        Self {
            tasks: SmallVec::new(),
            lease: PROBE_LEASE,
            is_listed_next: false,
        }
    }

    pub fn is_empty(&self) -> bool {
        self.tasks.is_empty()
    }

    /// Returns whether a run is one that only shows whether the worker lists its end.
    pub fn has_run(&self, task: &TaskId, run: RunNumber) -> bool {
        self.tasks.iter().any(|probe| probe.is(task, run))
    }

    /// Returns whether a run is a placed one that is not started.
    pub fn has_placed(&self, id: &(TaskId, RunNumber)) -> bool {
        self.tasks.iter().any(|probe| probe.id() == *id)
    }

    /// Returns whether a start or a run is not over yet.
    fn is_busy(&self) -> bool {
        let is_busy = |probe: &Probe| matches!(probe.stage, Stage::Starting(_) | Stage::Started(_));
        self.tasks.iter().any(is_busy)
    }
}

impl AgentCore {
    /// Begins to use the `runs` runs of a task before the placed one.
    pub(super) fn begin_probe(&mut self, now: Uptime, start: PendingStart, runs: u64) {
        let first = RunNumber::new(start.run.get().saturating_sub(runs).max(1));
        let id = (start.task.clone(), start.run);
        self.runs.insert(id, LocalRun::new(Phase::Starting, now));
        self.probes.tasks.push(Probe {
            start,
            run: first,
            stage: Stage::Due,
            is_last: false,
            until: now.plus(MAX_START_ORDER_AGE),
        });
    }

    /// Has the current run of a placed one stopped, and starts no more for it.
    pub(super) fn call_off_probe(&mut self, now: Uptime, id: &(TaskId, RunNumber)) {
        let mut probes = self.probes.tasks.iter_mut();
        let Some(probe) = probes.find(|probe| probe.id() == *id) else {
            return;
        };
        let is_ending = std::mem::replace(&mut probe.is_last, true);
        if let Stage::Started(stop_at) = &mut probe.stage
            && !is_ending
        {
            *stop_at = now.min(*stop_at);
        }
    }

    /// Returns what is left at the end of the worker: its successor under the same id may
    /// have got a start, which has to be stopped there.
    pub(super) fn take_probes(&mut self, now: Uptime, keeps_id: bool) -> Probes {
        let mut left = Probes::new();
        for mut probe in std::mem::replace(&mut self.probes, Probes::new()).tasks {
            match probe.stage {
                Stage::Starting(_) | Stage::Started(_) if keeps_id => {
                    probe.stage = Stage::Started(now);
                }
                Stage::Starting(_)
                | Stage::Started(_)
                | Stage::Due
                | Stage::Refused(_)
                | Stage::Late => {
                    self.runs.remove(&probe.id());
                    continue;
                }
            }
            probe.is_last = true;
            left.tasks.push(probe);
        }
        left
    }

    /// Returns the calls that are due for the current runs.
    pub(super) fn due_probe_calls(&mut self, now: Uptime) -> Vec<AgentEffect> {
        if self.probes.is_empty() {
            return Vec::new();
        }
        match self.probes.is_busy() {
            true => self.due_probe_stops(now),
            false => self.start_probes(now),
        }
    }

    /// Starts the next run of each task.
    fn start_probes(&mut self, now: Uptime) -> Vec<AgentEffect> {
        let (Some(incarnation), Some(clock)) = (&self.worker_incarnation, self.clock) else {
            return Vec::new();
        };
        let may_start =
            !incarnation.is_draining && now <= self.grant_until && self.end_watch.is_probing();
        // Beside other runs, whose leases are longer, they have to be stopped.
        let lease = match self.may_have_runs() {
            true => START_WINDOW.min(self.limits.worker_lease()),
            false => self.probes.lease,
        };
        let until_ms = clock.estimate_ms(now).saturating_add(millis(lease));
        // A call in flight may have been answered before the starts.
        self.probes.is_listed_next = false;
        let mut calls = Vec::new();
        for mut probe in std::mem::take(&mut self.probes.tasks) {
            if probe.is_last || !may_start || now > probe.until {
                self.finish_probe(&probe, NO_RUN);
                continue;
            }
            let start = PendingStart {
                run: probe.run,
                ..probe.start.clone()
            };
            probe.stage = Stage::Starting(now);
            self.probes.tasks.push(probe);
            calls.extend(self.start_call(start, until_ms).map(AgentEffect::Start));
        }
        if !calls.is_empty() {
            self.leases.on_short_lease(now, lease, &self.limits);
        }
        calls
    }

    /// Stops the runs that have not ended with their lease.
    fn due_probe_stops(&mut self, now: Uptime) -> Vec<AgentEffect> {
        let Some(incarnation) = &self.worker_incarnation else {
            return Vec::new();
        };
        let token = self.fence.token(self.token);
        let mut calls = Vec::new();
        for probe in &mut self.probes.tasks {
            if !matches!(probe.stage, Stage::Started(stop_at) if stop_at <= now) {
                continue;
            }
            probe.stage = Stage::Started(now.plus(STOP_PAUSE));
            calls.push(AgentEffect::Stop {
                worker: incarnation.worker.clone(),
                task: probe.start.task.clone(),
                run: probe.run,
                token,
            });
        }
        calls
    }

    /// Handles the outcome of the start of a current run.
    pub(super) fn on_probe_start(
        &mut self,
        now: Uptime,
        task: &TaskId,
        run: RunNumber,
        outcome: StartOutcome,
    ) {
        let is_idle = !self.may_have_runs();
        let lapses_at = now.plus(self.probes.lease + LAPSE_MARGIN);
        let mut probes = self.probes.tasks.iter_mut();
        let Some(probe) = probes.find(|probe| probe.is(task, run)) else {
            return;
        };
        probe.stage = match outcome {
            StartOutcome::Started if is_idle && !probe.is_last => Stage::Started(lapses_at),
            StartOutcome::Started | StartOutcome::Unknown(_) => Stage::Started(now),
            StartOutcome::Late => Stage::Late,
            StartOutcome::Refused(reason) => Stage::Refused(reason),
        };
        self.end_round();
    }

    /// Records that a call is sent whose answer lists the runs; returns how long it waits for
    /// an end, or `None` if the outcome of a start should be awaited first.
    pub(super) fn on_probe_poll(&mut self, now: Uptime) -> Option<Duration> {
        let tasks = &self.probes.tasks;
        let is_new = |probe: &Probe| matches!(probe.stage, Stage::Starting(at) if now.since(at) < MAX_START_WAIT);
        if tasks.iter().any(is_new) {
            return None;
        }
        let is_starting = |probe: &Probe| matches!(probe.stage, Stage::Starting(_));
        self.probes.is_listed_next = !tasks.iter().any(is_starting);
        Some(match tasks.is_empty() {
            true => IDLE_POLL_WAIT,
            false => self.probes.lease + POLL_MARGIN,
        })
    }

    /// Handles complete lists: which of the current runs are over.
    pub(super) fn on_probes_listed(
        &mut self,
        active: &[(TaskId, RunNumber, String, u32)],
        ends: &[EndReport],
    ) {
        if !std::mem::take(&mut self.probes.is_listed_next) {
            return;
        }
        for mut probe in std::mem::take(&mut self.probes.tasks) {
            let is_active = active.iter().any(|(task, run, ..)| probe.is(task, *run));
            let has_end = ends.iter().any(|end| probe.is(&end.task, end.run));
            if matches!(probe.stage, Stage::Started(_)) && (!is_active || has_end) {
                probe.run = probe.run.next();
                probe.is_last |= probe.run >= probe.start.run || !self.end_watch.is_probing();
                probe.stage = Stage::Due;
            }
            match probe.is_last && probe.stage == Stage::Due {
                true => self.finish_probe(&probe, NO_RUN),
                false => self.probes.tasks.push(probe),
            }
        }
        self.end_round();
    }

    /// Ends a round of runs in which none is left.
    fn end_round(&mut self) {
        if self.probes.is_busy() {
            return;
        }
        if self
            .probes
            .tasks
            .iter()
            .any(|probe| probe.stage == Stage::Late)
        {
            self.probes.lease = MAX_PROBE_LEASE.min(self.probes.lease * 2);
        }
        for mut probe in std::mem::take(&mut self.probes.tasks) {
            let reason = match &probe.stage {
                Stage::Refused(reason) => reason.clone(),
                _ if probe.is_last || !self.end_watch.is_probing() => NO_RUN.to_owned(),
                _ => {
                    probe.stage = Stage::Due;
                    self.probes.tasks.push(probe);
                    continue;
                }
            };
            self.finish_probe(&probe, &reason);
        }
    }

    /// Reports the placed run as not started.
    fn finish_probe(&mut self, probe: &Probe, reason: &str) {
        if let Some(run) = self.runs.get_mut(&probe.id()) {
            run.mark_refused(reason, self.sequence);
        }
    }

    /// Returns whether the worker may have other runs than the current ones.
    fn may_have_runs(&self) -> bool {
        let is_other = |(id, run): (&(TaskId, RunNumber), &LocalRun)| {
            !self.probes.has_placed(id) && !run.is_refused()
        };
        self.runs.iter().any(is_other)
    }
}
