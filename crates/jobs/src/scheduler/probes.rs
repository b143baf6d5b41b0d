//! Waiting tasks that show whether workers in doubt list the ends of their runs.

use std::sync::Arc;
use std::time::Duration;

use cumindeck_types::{AgentId, Uptime};

use super::pending::{MAX_REPORT_AGE, PendingStep};
use super::{Scheduler, TaskId, Worker};
use crate::exchange::WorkerIncarnation;
use crate::{Resources, StepSpec};

/// Number of runs that one placement may use up. They take some 2 s, less than it may take
/// until an evacuation or a cancel has to be in effect.
const PROBE_RUNS: u64 = 32;

/// Maximum number of tasks that are placed on a worker for this at a time.
const MAX_PROBED_TASKS: usize = 8;

/// Factor by which an estimate may be too high, as seen on the platform (docs/platform.md).
const MAX_ESTIMATE_ERROR: u64 = 7;

/// Time until the stop of a run that has not ended with its lease.
const STOP_DELAY: Duration = Duration::from_millis(200);

impl Scheduler {
    /// Places waiting tasks on each worker in doubt that has none for this. They are not
    /// started there themselves, and wait on.
    pub(super) fn place_probes(&mut self, now: Uptime, waiting: &[PendingStep]) {
        let is_probe = |task: &TaskId| self.runs.get(task).is_some_and(|run| run.probe_runs > 0);
        let is_ready = |worker: &Worker| {
            let incarnation = worker.worker_incarnation.as_ref();
            let is_open =
                |it: &Arc<WorkerIncarnation>| !it.is_draining && !self.evacuated.contains(&it.zone);
            worker.known_ends.is_probing()
                && worker.has_lists
                && !worker.placed.tasks().any(is_probe)
                && now.since(worker.last_report) < MAX_REPORT_AGE
                && incarnation.is_some_and(is_open)
        };
        let ready = self.workers.iter().filter(|(_, worker)| is_ready(worker));
        let ready: Vec<(AgentId, Arc<WorkerIncarnation>, Resources, u64)> = ready
            .filter_map(|(agent, worker)| {
                let least_ms = match worker.known_ends.has_long_lease() {
                    true => self.least_estimate_ms(),
                    false => 0,
                };
                let incarnation = worker.worker_incarnation.as_ref()?;
                let mut free = incarnation.capacity;
                free.subtract(&worker.placed.used);
                Some((agent.clone(), Arc::clone(incarnation), free, least_ms))
            })
            .collect();
        let mut used = vec![0; waiting.len()];
        for (agent, incarnation, mut free, least_ms) in ready {
            for _ in 0..MAX_PROBED_TASKS {
                let best = self.best_probe(&agent, &incarnation, &free, waiting, &used, least_ms);
                let Some((at, resources)) = best else { break };
                let task = waiting[at].tasks[used[at]];
                used[at] += 1;
                free.subtract(&resources);
                self.place(now, &waiting[at], task, &agent, &incarnation, PROBE_RUNS);
            }
        }
    }

    /// Returns the least estimate of a task that is not done before its stop is over.
    fn least_estimate_ms(&self) -> u64 {
        let longest = self.limits.stop + STOP_DELAY;
        u64::try_from(longest.as_millis()).unwrap_or(u64::MAX) * MAX_ESTIMATE_ERROR
    }

    /// Returns the position of the step whose tasks lose least by short runs on a worker with
    /// free resources, and what its tasks need.
    ///
    /// A step within a guarantee can't wait. A member of a gang does no work without the
    /// others, and a long task is not done by then. Of equal ones the step that gets
    /// resources last is best.
    fn best_probe(
        &self,
        agent: &AgentId,
        incarnation: &WorkerIncarnation,
        free: &Resources,
        waiting: &[PendingStep],
        used: &[usize],
        least_ms: u64,
    ) -> Option<(usize, Resources)> {
        let cost = |(at, pending): (usize, &PendingStep)| {
            let job = self.jobs.get(&pending.job)?;
            let spec = &job.row.spec;
            let step = spec.steps.get(pending.step as usize)?;
            let resources = step.counted_resources();
            let has_label = |label: &String| incarnation.labels.contains(label);
            let fits = spec.service == incarnation.service
                && !spec.needs_tickets
                && step.label.as_ref().is_none_or(has_label)
                && free.can_fit(&resources);
            let progress = &job.progress.occurrences[pending.occurrence as usize];
            let tasks = progress[pending.step as usize].tasks.iter();
            let placements = tasks.filter_map(|task| task.placement.as_ref());
            let placed_here = placements.filter(|it| it.agent == *agent).count();
            let fits = fits && placed_here < most_per_worker(step);
            // All members of a gang have the same run number, so that one is enough.
            let limit = if step.gang { 1 } else { pending.tasks.len() };
            let is_in_gang = step.gang && pending.tasks.len() > 1;
            let is_long = is_in_gang || step.long_running || step.estimate_ms >= least_ms;
            let rank = (!pending.is_guaranteed, is_in_gang, step.estimate_ms, at);
            (fits && is_long && used[at] < limit).then_some((rank, resources))
        };
        let costs = waiting.iter().enumerate().filter_map(cost);
        let best = costs.max_by_key(|(rank, _)| *rank);
        best.map(|((.., at), resources)| (at, resources))
    }
}

/// Returns the number of a step's tasks that may be on one worker.
fn most_per_worker(step: &StepSpec) -> usize {
    step.max_per_worker.map_or(usize::MAX, |max| max as usize)
}
