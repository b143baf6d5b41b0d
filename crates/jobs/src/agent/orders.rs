//! Starts and stops of runs at the worker.

use cumindeck_types::{RunNumber, Uptime};

use super::call::{AgentEffect, StartCall, StartOutcome};
use super::runs::{LocalRun, Phase};
use super::{AgentCore, START_WINDOW, millis};
use crate::TaskId;

/// A start that the leader orders.
#[derive(Debug, Clone)]
pub(super) struct PendingStart {
    pub task: TaskId,
    pub run: RunNumber,
    pub payload: String,
    /// Checkpoint to resume from; empty if there is none.
    pub checkpoint: String,
    /// Ticket of the adviser; empty if none is needed.
    pub ticket: String,
    /// Number of runs before it that may show whether the worker lists ends.
    pub probe_runs: u64,
}

impl AgentCore {
    /// Handles the outcome of a start.
    pub fn on_start(
        &mut self,
        now: Uptime,
        task: &TaskId,
        run: RunNumber,
        outcome: StartOutcome,
    ) -> Vec<AgentEffect> {
        if let StartOutcome::Unknown(_) = &outcome {
            self.fence.on_unanswered();
            // The worker may have been given up since the start was sent.
            let known = self.worker_incarnation.as_ref().map(|known| &known.worker);
            let former = self.former_worker.as_ref().map(|(worker, _)| worker);
            for worker in known
                .into_iter()
                .chain(former.filter(|it| known != Some(*it)))
            {
                self.late_starts.insert(now, worker, task, run);
            }
        }
        if self.probes.has_run(task, run) {
            self.on_probe_start(now, task, run, outcome);
            return Vec::new();
        }
        let Some(local) = self.runs.get_mut(&(task.clone(), run)) else {
            return Vec::new();
        };
        let is_starting = matches!(local.phase, Phase::Starting);
        let is_stopping = matches!(local.phase, Phase::StoppingStart | Phase::AwaitingLists(_));
        if is_stopping && outcome == StartOutcome::Started && local.is_start_current() {
            // The run is active, and the worker will list its end.
            local.phase = Phase::Stopping;
        }
        if !is_starting {
            return Vec::new();
        }
        match outcome {
            StartOutcome::Started => {
                *local = LocalRun::new(Phase::Active, now);
                match self.end_watch.is_probe(task, run) {
                    true => self.stop(now, task.clone(), run).into_iter().collect(),
                    false => Vec::new(),
                }
            }
            StartOutcome::Late | StartOutcome::Refused(_) => {
                let reason = match outcome {
                    StartOutcome::Refused(reason) => reason,
                    _ => "the start was late".to_owned(),
                };
                local.mark_refused(&reason, self.sequence);
                self.end_watch.on_not_started(task, run);
                Vec::new()
            }
            // After a stop the worker refuses a start that arrives later.
            StartOutcome::Unknown(_) => self.stop(now, task.clone(), run).into_iter().collect(),
        }
    }

    /// Handles the outcome of a stop.
    ///
    /// A confirmed stop of a start in flight does not show whether the run was
    /// active; the worker's run lists do.
    pub fn on_stopped(&mut self, now: Uptime, task: &TaskId, run: RunNumber, is_confirmed: bool) {
        if !is_confirmed {
            self.fence.on_unanswered();
        }
        let Some(local) = self.runs.get_mut(&(task.clone(), run)) else {
            return;
        };
        // The former incarnation may have confirmed it.
        if !local.end_stop(now) {
            return;
        }
        match (&local.phase, is_confirmed) {
            (Phase::StoppingStart, true) => local.phase = Phase::AwaitingLists(now),
            (Phase::StoppingStart | Phase::Stopping, false) => local.schedule_stop_retry(now),
            _ => {}
        }
    }

    /// Returns the calls that are due: stops that failed, and runs that show whether the
    /// worker lists ends.
    pub fn due_calls(&mut self, now: Uptime) -> Vec<AgentEffect> {
        let due: Vec<_> = self
            .runs
            .iter()
            .filter(|(_, run)| run.is_stop_due(now))
            .map(|(id, _)| id.clone())
            .collect();
        let mut calls: Vec<AgentEffect> = due
            .into_iter()
            .flat_map(|(task, run)| self.stop(now, task, run))
            .collect();
        calls.extend(self.due_probe_calls(now));
        calls
    }

    pub(super) fn start(&mut self, now: Uptime, start: PendingStart) -> Option<AgentEffect> {
        let incarnation = self.worker_incarnation.as_ref()?;
        let clock = self.clock?;
        let id = (start.task.clone(), start.run);
        let has_ended = self
            .ends
            .iter()
            .any(|end| end.task == start.task && end.run == start.run);
        if self.runs.contains_key(&id)
            || has_ended
            || self.has_other_run(&start.task, start.run)
            || incarnation.is_draining
            || now > self.grant_until
        {
            return None;
        }
        if self.settled.contains(self.token, &start.task, start.run) {
            let mut local = LocalRun::new(Phase::Starting, now);
            local.mark_refused("the leader has taken note of its end", self.sequence);
            self.runs.insert(id, local);
            return None;
        }
        if !self.end_watch.may_start() {
            if !self.may_probe {
                let mut local = LocalRun::new(Phase::Starting, now);
                local.mark_refused("the worker may drop the ends of its runs", self.sequence);
                self.runs.insert(id, local);
                return None;
            }
            if start.probe_runs > 0 {
                let runs = start.probe_runs;
                self.begin_probe(now, start, runs);
                return None;
            }
            self.may_probe = false;
            // A leader of an earlier version, or one that placed it before the doubt.
            self.end_watch.on_probe(&start.task, start.run);
        }
        self.runs.insert(id, LocalRun::new(Phase::Starting, now));
        let window = START_WINDOW.min(self.limits.worker_lease());
        self.leases.on_extended(now, &self.limits);
        let until_ms = clock.estimate_ms(now).saturating_add(millis(window));
        self.start_call(start, until_ms).map(AgentEffect::Start)
    }

    /// Returns the call that starts a run.
    pub(super) fn start_call(&mut self, start: PendingStart, until_ms: u64) -> Option<StartCall> {
        let known = self.worker_incarnation.as_ref()?;
        let is_exposed = self.acknowledging > 0 || self.end_watch.is_exposed(&known.worker);
        Some(StartCall {
            worker: known.worker.clone(),
            task: start.task,
            run: start.run,
            payload: start.payload,
            checkpoint: start.checkpoint,
            ticket: start.ticket,
            until_ms,
            token: self.fence.token(self.token),
            only_to: is_exposed.then_some(known.started_ms),
        })
    }

    /// Returns whether the worker may run another run of a task, such as one that an earlier
    /// process of the agent has started; the leader repeats the order until its end.
    fn has_other_run(&self, task: &TaskId, run: RunNumber) -> bool {
        let runs = self.runs.range((task.clone(), RunNumber::new(0))..);
        let mut others = runs
            .take_while(|((known, _), _)| known == task)
            .filter(|((_, number), local)| *number != run && !local.is_refused());
        others.next().is_some()
    }

    pub(super) fn stop(
        &mut self,
        now: Uptime,
        task: TaskId,
        run: RunNumber,
    ) -> Option<AgentEffect> {
        let id = (task.clone(), run);
        if self.probes.has_placed(&id) {
            self.call_off_probe(now, &id);
            return None;
        }
        let incarnation = self.worker_incarnation.as_ref()?;
        if self
            .ends
            .iter()
            .any(|end| end.task == task && end.run == run)
        {
            return None;
        }
        let local = self
            .runs
            .entry(id)
            .or_insert_with(|| LocalRun::new(Phase::Starting, now));
        if !local.begin_stop(now) {
            return None;
        }
        Some(AgentEffect::Stop {
            worker: incarnation.worker.clone(),
            task,
            run,
            token: self.fence.token(self.token),
        })
    }
}
