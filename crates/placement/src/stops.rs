//! Requests to checkpoint and stop gangs.

use std::collections::BTreeSet;

use crate::cluster::WorkerIndex;
use crate::event::{Effect, StopReason};
use crate::job::{JobKey, Phase, TaskOutcome};
use crate::machine::{CHECKPOINT_TIME, Placement};

impl Placement {
    /// Cancels the plans and stops the gangs that use workers that went out of service.
    pub(crate) fn stop_gangs_on(
        &mut self,
        workers: &[WorkerIndex],
        reason: StopReason,
        effects: &mut Vec<Effect>,
    ) {
        self.cancel_plans_on(workers);
        let all = workers
            .iter()
            .flat_map(|index| &self.state.cluster.workers[*index].occupants);
        let keys: BTreeSet<_> = all.map(|occupant| occupant.job).collect();
        for key in keys {
            match reason {
                StopReason::ZoneClosed => self.order_checkpoint(key, reason, effects),
                _ => self.order_stop(key, reason, effects),
            }
        }
        self.release_idle_cells();
        self.needs_scheduling = true;
    }

    pub(crate) fn order_checkpoint(
        &mut self,
        key: JobKey,
        reason: StopReason,
        effects: &mut Vec<Effect>,
    ) {
        let stop_at = self.state.now.plus(CHECKPOINT_TIME);
        let Some(job) = self.state.jobs.get_mut(&key) else {
            return;
        };
        let Some(run) = job.run.as_mut().filter(|run| run.phase == Phase::Started) else {
            return;
        };
        run.phase = Phase::Checkpointing(stop_at);
        self.stops.insert((stop_at, key), reason);
        effects.push(Effect::Checkpoint(job.spec.job.clone(), run.attempt));
    }

    pub(crate) fn order_stop(
        &mut self,
        key: JobKey,
        reason: StopReason,
        effects: &mut Vec<Effect>,
    ) {
        let Some(job) = self.state.jobs.get_mut(&key) else {
            return;
        };
        let Some(run) = job.run.as_mut() else { return };
        match run.phase {
            Phase::Started => {}
            Phase::Checkpointing(at) => drop(self.stops.remove(&(at, key))),
            Phase::Reclaiming | Phase::Stopping => return,
        }
        run.phase = Phase::Stopping;
        effects.push(Effect::Stop(job.spec.job.clone(), run.attempt, reason));
    }

    /// Requests the stops whose checkpoint time has passed.
    pub(crate) fn order_due_stops(&mut self, effects: &mut Vec<Effect>) {
        while let Some(((at, key), reason)) = self.stops.pop_first() {
            if at > self.state.now {
                self.stops.insert((at, key), reason);
                return;
            }
            self.order_stop(key, reason, effects);
        }
    }

    /// Ends all tasks on a worker whose lease has expired.
    pub(crate) fn end_tasks_on(&mut self, index: WorkerIndex, effects: &mut Vec<Effect>) {
        let occupants = &self.state.cluster.workers[index].occupants;
        let keys: BTreeSet<_> = occupants.iter().map(|occupant| occupant.job).collect();
        for key in keys {
            let run = self.state.jobs.get(&key).and_then(|job| job.run.as_ref());
            let tasks = run.map_or(0, |run| run.tasks.len());
            for task in 0..tasks {
                let run = self.state.jobs.get(&key).and_then(|job| job.run.as_ref());
                if run.is_some_and(|run| run.tasks[task].worker == index) {
                    self.end_task(key, task, TaskOutcome::Stopped, effects);
                }
            }
        }
    }
}
