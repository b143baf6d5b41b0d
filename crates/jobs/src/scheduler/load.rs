//! What runs and waits, as far as the order of the waiting jobs depends on it.

use std::collections::BTreeMap;
use std::time::Duration;

use cumindeck_types::{JobId, TeamId};
use smallvec::SmallVec;

use super::headroom::{MilliWorkers, share_of};
use super::order::{OrderLoad, WaitingJob};
use super::shares::{TeamDemand, fair_share};
use super::{Job, Scheduler};
use crate::Resources;
use crate::model::MAX_OVERDUE_FACTOR;
use crate::progress::StepProgress;

/// Part of the room beyond which a step is expected to run in waves: one of this many.
const WIDE_STEP_PART: u64 = 4;

/// What a job still needs.
#[derive(Debug, Clone, Copy, Default)]
struct JobDemand {
    /// Room of the tasks that wait and may start.
    waiting: MilliWorkers,
    /// Room times time of all unfinished tasks, in milli-worker milliseconds.
    work: u64,
}

/// Demand of jobs and teams during a pass.
#[derive(Debug, Default)]
pub(super) struct PassLoad {
    jobs: BTreeMap<JobId, JobDemand>,
    teams: BTreeMap<Option<TeamId>, TeamDemand>,
    share: Option<MilliWorkers>,
    /// Mean estimate of a task in milliseconds, by queue.
    mean_estimates: BTreeMap<String, u64>,
    worker: Resources,
    room: MilliWorkers,
    pub order: OrderLoad,
}

impl PassLoad {
    /// Adds what depends on the load to a job's inputs.
    pub fn complete(&self, id: &JobId, job: &Job, inputs: &mut WaitingJob) {
        inputs.work = self.jobs.get(id).map_or(0, |demand| demand.work);
        let demand = self.teams.get(&job.row.spec.team);
        let share = self.share;
        inputs.is_beyond_share = demand
            .zip(share)
            .is_some_and(|(demand, share)| demand.is_beyond(share));
        if is_bounded(job) {
            let mean = self.mean_estimates.get(&job.row.spec.queue);
            let mean = mean.copied().unwrap_or(0);
            let midway = |estimate: u64| estimate / 2 + mean / 2;
            inputs.objective = Some(self.allowed_duration(job, midway));
            inputs.valuable_for = self
                .allowed_duration(job, |estimate| estimate.max(mean))
                .saturating_mul(MAX_OVERDUE_FACTOR);
        }
    }

    /// Returns the time in which a job is to end, if a task of this estimate takes as long as
    /// `duration` says: its runs that failed and the waves of its wide steps count as work.
    fn allowed_duration(&self, job: &Job, duration: impl Fn(u64) -> u64) -> Duration {
        let spec = &job.row.spec;
        let mut ends: SmallVec<[u64; 8]> = SmallVec::new();
        for (at, step) in spec.steps.iter().enumerate() {
            let before = step.after.iter();
            let before = before.filter_map(|&before| ends.get(before as usize).copied());
            let begin = before.max().unwrap_or(0);
            let progress = job.progress.occurrences.get(&0);
            let tasks = progress.and_then(|steps| steps.get(at));
            let failures = tasks.map_or(0, |step| {
                let failures = step.tasks.iter().map(|task| task.failures);
                failures.max().unwrap_or(0)
            });
            let room = share_of(&step.counted_resources(), &self.worker)
                .saturating_mul(u64::from(step.tasks));
            let waves = room.div_ceil((self.room / WIDE_STEP_PART).max(1)).max(1);
            let runs = waves.saturating_add(u64::from(failures));
            let takes = duration(step.estimate_ms).saturating_mul(runs);
            ends.push(begin.saturating_add(takes));
        }
        let chain = ends.into_iter().max().unwrap_or(0);
        let slack = chain.saturating_mul(spec.slack_percent) / 100;
        Duration::from_millis(slack.saturating_add(spec.target_ms))
    }

    /// Records what the order depends on, once all jobs are complete.
    pub fn update_order(&mut self, jobs: &[(&JobId, WaitingJob)]) {
        let is_waiting = |id: &JobId| self.jobs.get(id).is_some_and(|demand| demand.waiting > 0);
        let waiting = || jobs.iter().filter(|(id, _)| is_waiting(id));
        let durations = waiting().map(|(_, job)| job.least_left);
        // Estimates of another writer's row may be centuries, whose sum must not overflow.
        let total = durations.fold(Duration::ZERO, Duration::saturating_add);
        let count = u32::try_from(waiting().count()).unwrap_or(u32::MAX);
        let due = waiting().filter(|(_, job)| job.is_due());
        self.order = OrderLoad {
            mean_duration: total.checked_div(count).unwrap_or_default(),
            oldest_due: due.map(|(_, job)| job.accepted_at).min(),
        };
    }
}

impl Scheduler {
    /// Returns what the unfinished jobs and the runs need of the room.
    pub(super) fn pass_load(&self, unfinished: &[(&JobId, &Job)]) -> PassLoad {
        let (worker, room) = self.mean_worker();
        let mut load = PassLoad {
            mean_estimates: self.mean_estimates(),
            worker,
            room,
            ..PassLoad::default()
        };
        for (id, job) in unfinished {
            let demand = job_demand(job, &worker);
            load.jobs.insert((*id).clone(), demand);
            let team = load.teams.entry(job.row.spec.team.clone()).or_default();
            team.waiting = team.waiting.saturating_add(demand.waiting);
        }
        for task in self.runs.keys() {
            let spec = &self.jobs[&task.job].row.spec;
            let step = &spec.steps[task.step as usize];
            let team = load.teams.entry(spec.team.clone()).or_default();
            team.held += share_of(&step.counted_resources(), &worker);
        }
        for (id, team) in &mut load.teams {
            let guaranteed = id.as_ref().map_or(0, |id| self.catalog.guaranteed(id));
            let guaranteed = u64::from(guaranteed) * 1_000;
            team.guaranteed = guaranteed
                .checked_div(u64::from(worker.accelerators))
                .unwrap_or(0);
        }
        let demands: Vec<TeamDemand> = load.teams.values().copied().collect();
        load.share = fair_share(&demands, room);
        load
    }

    /// Returns the mean estimate of the tasks of each queue, one for each step.
    fn mean_estimates(&self) -> BTreeMap<String, u64> {
        let mut sums: BTreeMap<&str, (u64, u64)> = BTreeMap::new();
        for job in self.jobs.values().filter(|job| is_bounded(job)) {
            let spec = &job.row.spec;
            let (sum, count) = sums.entry(&spec.queue).or_default();
            for step in &spec.steps {
                *sum = sum.saturating_add(step.estimate_ms);
                *count += 1;
            }
        }
        let means = sums.into_iter();
        means
            .map(|(queue, (sum, count))| (queue.to_owned(), sum / count.max(1)))
            .collect()
    }

    /// Returns the mean capacity of a worker, and the room of all workers.
    pub(super) fn mean_worker(&self) -> (Resources, MilliWorkers) {
        let mut total = Resources::default();
        let incarnations = self.workers.values();
        let incarnations = incarnations.filter_map(|worker| worker.worker_incarnation.as_ref());
        let mut count = 0;
        for incarnation in incarnations {
            total.add(&incarnation.capacity);
            count += 1;
        }
        let of = |total: u64| total.checked_div(count).unwrap_or(0);
        let mean = Resources {
            cpu_millis: of(total.cpu_millis),
            memory_mib: of(total.memory_mib),
            accelerators: of(u64::from(total.accelerators)) as u32,
        };
        (mean, count * 1_000)
    }
}

fn job_demand(job: &Job, worker: &Resources) -> JobDemand {
    let mut demand = JobDemand::default();
    for steps in job.progress.occurrences.values() {
        for (step, spec) in steps.iter().zip(&job.row.spec.steps) {
            let share = share_of(&spec.counted_resources(), worker);
            let is_ready = spec.after.iter().all(|&before| {
                let before = steps.get(before as usize);
                before.is_some_and(StepProgress::is_done)
            });
            let unfinished = step.tasks.iter().filter(|task| !task.is_done);
            for task in unfinished {
                let work = share.saturating_mul(spec.estimate_ms);
                demand.work = demand.work.saturating_add(work);
                if is_ready && task.placement.is_none() {
                    demand.waiting = demand.waiting.saturating_add(share);
                }
            }
        }
    }
    demand
}

/// Returns whether a job ends by itself after one occurrence.
pub(super) fn is_bounded(job: &Job) -> bool {
    let spec = &job.row.spec;
    spec.recurrence.is_none() && !spec.steps.iter().any(|step| step.long_running)
}
