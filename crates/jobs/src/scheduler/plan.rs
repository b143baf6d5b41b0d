//! Selection of the waiting tasks that start.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cumindeck_types::{AgentId, JobId, Uptime};

use super::fit::{Candidate, Demand, Horizon, allocate};
use super::{DecisionKind, Job, Run, Scheduler, StepId, TaskId, task_ids};
use crate::progress::{Placement, StepProgress};

/// Age of an agent's last report from which its worker gets no new tasks.
pub(super) const MAX_REPORT_AGE: Duration = Duration::from_millis(2_000);

/// Wait after which a large step reserves the workers that it needs, so that jobs of
/// lower rank don't start there.
const RESERVE_AFTER: Duration = Duration::from_millis(2_000);

/// Wait during which a task is not retried on a worker where it failed.
///
/// A worker that fails all tasks it starts is often the only one with free capacity.
const FAILED_WORKER_BACKOFF: Duration = Duration::from_millis(2_500);

/// Time after a takeover during which only urgent jobs start.
///
/// Agents report one after the other; a task that starts on the first worker
/// could be stopped again for an urgent job that fits only a later one.
const TAKEOVER_GRACE: Duration = Duration::from_millis(250);

/// Multiple of its objective after which a late job has no value any more.
const MAX_OVERDUE_FACTOR: u32 = 3;

/// A step that is ready, with its tasks that are not placed.
#[derive(Debug, Clone)]
pub(super) struct PendingStep {
    pub job: JobId,
    pub occurrence: u32,
    pub step: u32,
    /// Indices in the step of the tasks that are not placed.
    pub tasks: Vec<u32>,
    /// Time since the step was ready.
    pub waited: Duration,
}

impl PendingStep {
    fn step_id(&self) -> StepId {
        StepId {
            job: self.job.clone(),
            occurrence: self.occurrence,
            step: self.step,
        }
    }
}

impl Scheduler {
    /// Decides which tasks start and which runs are stopped for them.
    pub fn plan(&mut self, now: Uptime, unix: Duration) {
        self.expire_worker_leases(now);
        self.begin_due_occurrences(unix);
        self.move_runs(now);
        let mut candidates = self.candidates(now);
        let mut has_reservation = false;
        for (id, is_far_overdue) in self.ranked_jobs(now) {
            for pending in self.pending_steps(now, &id) {
                if self.start(now, &mut candidates, &pending) {
                    continue;
                }
                // A reclaim for a job without value would stop the runs that the same
                // plan has started for jobs ranked before it, and so on endlessly.
                let is_reclaimed = !is_far_overdue && self.reclaim(now, &mut candidates, &pending);
                if !is_reclaimed && !has_reservation {
                    has_reservation = self.reserve(now, &mut candidates, &pending);
                }
            }
        }
    }

    /// Returns the jobs in the order in which they get resources, and whether they
    /// are so late that they have no value; these come last.
    fn ranked_jobs(&self, now: Uptime) -> Vec<(JobId, bool)> {
        let mut ranked: Vec<(bool, u32, bool, Uptime, &JobId)> = Vec::new();
        for id in &self.open {
            let job = &self.jobs[id];
            let is_deferred =
                now.since(self.taken_over_at) < TAKEOVER_GRACE && job.row.spec.priority > 0;
            if job.state().is_final() || is_deferred {
                continue;
            }
            let objective = Duration::from_millis(job.row.spec.objective_ms());
            let age = now.since(job.accepted_at);
            let is_recurring = job.row.spec.recurrence.is_some();
            // The guarantee is checked last, since it counts all open jobs of a team.
            let is_within_guarantee = || job.row.spec.priority == 0 && self.is_guaranteed(id);
            let is_far_overdue =
                age > objective * MAX_OVERDUE_FACTOR && !is_recurring && !is_within_guarantee();
            let is_late = age > objective && !is_recurring;
            ranked.push((
                is_far_overdue,
                job.row.spec.priority,
                is_late,
                job.accepted_at,
                id,
            ));
        }
        ranked.sort();
        let entry = |(is_far_overdue, .., id): (bool, u32, bool, Uptime, &JobId)| {
            (id.clone(), is_far_overdue)
        };
        ranked.into_iter().map(entry).collect()
    }

    /// Returns the steps of a job that have tasks to start.
    fn pending_steps(&mut self, now: Uptime, id: &JobId) -> Vec<PendingStep> {
        let Some(job) = self.jobs.get_mut(id) else {
            return Vec::new();
        };
        let mut found = Vec::new();
        for (occurrence, steps) in job.progress.occurrences.iter().enumerate() {
            for (at, step) in steps.iter().enumerate() {
                let spec = &job.row.spec.steps[at];
                let is_ready = spec.after.iter().all(|&before| {
                    steps
                        .get(before as usize)
                        .is_some_and(StepProgress::is_done)
                });
                if !is_ready || step.is_done() {
                    continue;
                }
                let is_waiting = |at: &u32| {
                    let task = &step.tasks[*at as usize];
                    !task.is_done && task.placement.is_none()
                };
                let tasks: Vec<u32> = (0..step.tasks.len() as u32).filter(is_waiting).collect();
                if tasks.is_empty() || (spec.gang && tasks.len() < step.tasks.len()) {
                    continue;
                }
                let key = (occurrence as u32, at as u32);
                if job.retry_at.get(&key).is_some_and(|until| now < *until) {
                    continue;
                }
                let ready = *job.ready_since.entry(key).or_insert(now);
                found.push(PendingStep {
                    job: id.clone(),
                    occurrence: key.0,
                    step: key.1,
                    tasks,
                    waited: now.since(ready),
                });
            }
        }
        found
    }

    /// Starts the tasks that fit; returns whether all of the step are placed.
    fn start(&mut self, now: Uptime, candidates: &mut [Candidate], pending: &PendingStep) -> bool {
        let job = &self.jobs[&pending.job];
        let spec = job.row.spec.steps[pending.step as usize].clone();
        let service = job.row.spec.service.clone();
        let locality_wait = locality_wait(job, pending);
        let mut demand = self.demand(now, pending, &spec, &service);
        let unit = if spec.gang { pending.tasks.len() } else { 1 };
        let mut rest = pending.tasks.as_slice();
        while !rest.is_empty() {
            demand.count = unit;
            let racks = demand.racks(candidates);
            let confined = racks.iter().flatten();
            let mut chosen = confined
                .clone()
                .find_map(|rack| demand.fit(candidates, Horizon::Now, Some(rack), unit));
            if chosen.is_none() {
                // Far from its data or split over racks a task is several times slower.
                let can_wait = racks.is_some()
                    && pending.waited < locality_wait
                    && confined
                        .clone()
                        .any(|rack| demand.fits_empty(candidates, rack));
                if !can_wait {
                    chosen = demand.fit(candidates, Horizon::Now, None, unit);
                }
            }
            let Some(chosen) = chosen else {
                self.request_advice(now, candidates, &demand, &pending.step_id());
                return false;
            };
            allocate(candidates, &chosen, &spec.counted_resources());
            for &at in &chosen {
                *demand
                    .placed
                    .entry(candidates[at].agent.clone())
                    .or_default() += 1;
            }
            let (now_placed, later) = rest.split_at(unit);
            for (&task, &at) in now_placed.iter().zip(&chosen) {
                self.place(now, pending, task, &candidates[at]);
            }
            rest = later;
        }
        true
    }

    /// Returns the resource demand of the waiting tasks.
    pub(super) fn demand<'a>(
        &self,
        now: Uptime,
        pending: &PendingStep,
        spec: &'a crate::StepSpec,
        service: &'a str,
    ) -> Demand<'a> {
        let job = &self.jobs[&pending.job];
        let step = &job.progress.occurrences[pending.occurrence as usize][pending.step as usize];
        let mut placed: BTreeMap<AgentId, u32> = BTreeMap::new();
        for placement in step.tasks.iter().filter_map(|task| task.placement.as_ref()) {
            *placed.entry(placement.agent.clone()).or_default() += 1;
        }
        let is_same = |task: &&TaskId| {
            task.occurrence == pending.occurrence
                && task.step == pending.step
                && (spec.gang || pending.tasks.contains(&task.index))
        };
        let failed = job.failed_on.iter().filter(|(task, _)| is_same(task));
        let failed_on: BTreeSet<AgentId> = failed.flat_map(|(_, agents)| agents.clone()).collect();
        Demand {
            step: spec,
            service,
            count: pending.tasks.len(),
            placed,
            avoids_failed: pending.waited < FAILED_WORKER_BACKOFF,
            failed_on,
            agents_with_tickets: self.agents_with_tickets(now, &pending.step_id()),
        }
    }

    fn place(&mut self, now: Uptime, pending: &PendingStep, index: u32, candidate: &Candidate) {
        let id = TaskId {
            job: pending.job.clone(),
            occurrence: pending.occurrence,
            step: pending.step,
            index,
        };
        let job = self
            .jobs
            .get_mut(&pending.job)
            .expect("a waiting job is known");
        let is_gang = job.row.spec.steps[pending.step as usize].gang;
        let step =
            &mut job.progress.occurrences[pending.occurrence as usize][pending.step as usize];
        // Members of a gang have the same run number.
        let last = match is_gang {
            true => step
                .tasks
                .iter()
                .filter(|task| task.placement.is_none())
                .map(|task| task.run)
                .max(),
            false => Some(step.tasks[index as usize].run),
        };
        let current = step
            .tasks
            .iter()
            .find(|task| is_gang && task.placement.is_some());
        let run = match current {
            Some(member) => member.run,
            None => last.unwrap_or_default().next(),
        };
        let checkpoint = match is_gang {
            true => newest_checkpoint(step),
            false => step.tasks[index as usize].checkpoint.clone(),
        };
        let task = &mut step.tasks[index as usize];
        task.run = run;
        task.checkpoint = checkpoint;
        task.placement = Some(Placement {
            worker: candidate.incarnation.worker.clone(),
            started_ms: candidate.incarnation.started_ms,
            agent: candidate.agent.clone(),
        });
        job.ready_since.remove(&(pending.occurrence, pending.step));
        self.dirty.insert(pending.job.clone());
        let reason = format!(
            "worker {} is free; waited {:?}",
            candidate.incarnation.worker, pending.waited
        );
        self.record_decision(DecisionKind::Start, &id, Some(&candidate.agent), reason);
        self.runs.insert(id, Run::new(now, None));
    }

    /// Reserves workers for a large step that has waited long; returns whether it did.
    fn reserve(&self, now: Uptime, candidates: &mut [Candidate], pending: &PendingStep) -> bool {
        let job = &self.jobs[&pending.job];
        let spec = &job.row.spec.steps[pending.step as usize];
        let is_large = spec.gang && pending.tasks.len() > 1 || spec.resources.accelerators >= 4;
        if pending.waited < RESERVE_AFTER || !is_large {
            return false;
        }
        let mut demand = self.demand(now, pending, spec, &job.row.spec.service);
        demand.count = if spec.gang { pending.tasks.len() } else { 1 };
        let mut empty = candidates.to_vec();
        for candidate in &mut empty {
            candidate.free = candidate.incarnation.capacity;
        }
        let racks = demand.racks(candidates).unwrap_or_default();
        let confined = racks.iter().rev();
        let chosen = confined
            .filter_map(|rack| demand.fit(&empty, Horizon::Now, Some(rack), demand.count))
            .next();
        let chosen = chosen.or_else(|| demand.fit(&empty, Horizon::Now, None, demand.count));
        let Some(chosen) = chosen else { return false };
        for at in chosen {
            candidates[at].free = crate::Resources::default();
            candidates[at].free_later = crate::Resources::default();
        }
        true
    }

    /// Returns the workers that may get tasks.
    fn candidates(&self, now: Uptime) -> Vec<Candidate> {
        let mut candidates = Vec::new();
        for (agent, worker) in &self.workers {
            let Some(incarnation) = worker
                .worker_incarnation
                .clone()
                .filter(|_| worker.has_lists)
            else {
                continue;
            };
            let is_usable = !incarnation.is_draining
                && now.since(worker.last_report) < MAX_REPORT_AGE
                && !self.evacuated.contains(&incarnation.zone)
                && !self.health.is_suspect(now, agent);
            if is_usable {
                candidates.push(Candidate {
                    agent: agent.clone(),
                    free: incarnation.capacity,
                    free_later: incarnation.capacity,
                    incarnation,
                    ending: Vec::new(),
                    failed_jobs: self.health.failed_jobs(now, agent),
                    has_response_target: false,
                });
            }
        }
        for (task, run) in &self.runs {
            let Some(placement) = self.placement(task) else {
                continue;
            };
            let spec = &self.jobs[&task.job].row.spec.steps[task.step as usize];
            let candidate = candidates
                .iter_mut()
                .find(|candidate| candidate.agent == placement.agent);
            if let Some(candidate) = candidate {
                candidate.free.subtract(&spec.counted_resources());
                candidate.has_response_target |= spec.target_ms.is_some() && !spec.is_best_effort;
                if !run.is_stopping {
                    candidate.free_later.subtract(&spec.counted_resources());
                    let left = run.time_left(now).filter(|_| !spec.long_running);
                    candidate
                        .ending
                        .extend(left.map(|left| (left, spec.counted_resources())));
                }
            }
        }
        candidates
    }

    fn begin_due_occurrences(&mut self, unix: Duration) {
        let unix_ms = u64::try_from(unix.as_millis()).unwrap_or(u64::MAX);
        for id in &self.open {
            let Some(job) = self.jobs.get_mut(id) else {
                continue;
            };
            let Some(recurrence) = job.row.spec.recurrence else {
                continue;
            };
            if job.state().is_final() {
                continue;
            }
            let begun = job.progress.occurrences.len() as u64;
            let due_ms = recurrence.first_unix_ms + begun * recurrence.interval_ms;
            if begun < u64::from(recurrence.times) && unix_ms >= due_ms {
                job.progress.begin_occurrence(&job.row.spec);
                self.dirty.insert(id.clone());
            }
        }
    }
}

/// Returns how long a step waits for workers on which it runs at full speed.
///
/// On other workers it takes about two more times its estimate and occupies them
/// for that long; a tenth of the slack is left for the start.
fn locality_wait(job: &Job, pending: &PendingStep) -> Duration {
    let spec = &job.row.spec;
    let estimate = spec.steps[pending.step as usize].estimate_ms;
    let slack = spec.objective_ms().saturating_sub(spec.critical_path_ms());
    Duration::from_millis((estimate * 2).min(slack * 9 / 10))
}

/// Returns the newest checkpoint of a gang, from which all its members start.
fn newest_checkpoint(step: &StepProgress) -> String {
    let newest = step
        .tasks
        .iter()
        .max_by_key(|task| (task.run, !task.checkpoint.is_empty()));
    newest.map_or(String::new(), |task| task.checkpoint.clone())
}

/// Returns the tasks of the same gang, or just the task if it is in none.
pub(super) fn gang_members(job: &Job, task: &TaskId) -> Vec<TaskId> {
    let spec = &job.row.spec.steps[task.step as usize];
    if !spec.gang {
        return vec![task.clone()];
    }
    let members = task_ids(&task.job, &job.progress).into_iter();
    members
        .filter(|member| member.occurrence == task.occurrence && member.step == task.step)
        .collect()
}
