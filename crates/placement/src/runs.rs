//! Lifecycle of an attempt: plan, reclaim, start, stop and end.

use std::collections::BTreeSet;

use cumindeck_types::{Attempt, Uptime};

use crate::cluster::{Occupant, WorkerIndex};
use crate::event::{Effect, JobOutcome, StopReason};
use crate::job::{Job, JobKey, Phase, Run, TaskAssignment, TaskOutcome, accelerator_millis};
use crate::machine::Placement;
use crate::policy::Plan;

/// Number of workers on which a job may fail before the job itself counts as failed.
const MAX_FAILED_WORKERS: usize = 3;

/// Number of failed attempts after which a job counts as failed,
/// on any number of workers.
const MAX_FAILURES: u32 = 8;

impl Placement {
    /// Applies a plan: binds cells, preempts borrowed work, and starts the gang if all
    /// its accelerators are free.
    pub(crate) fn apply_plan(&mut self, key: JobKey, plan: Plan, effects: &mut Vec<Effect>) {
        let team = self.state.jobs[&key].spec.team.clone();
        self.change_team(&team, |team, cluster| {
            for (cell, place) in &plan.bindings {
                let cell = team.cells.get_mut(cell);
                let slot = cell.and_then(|cell| cell.places.iter_mut().find(|p| p.is_none()));
                if let Some(slot) = slot {
                    *slot = Some(*place);
                    cluster.update(place.worker, |w| w.bound = w.bound.union(place.set));
                }
            }
        });
        let mut preempted = BTreeSet::new();
        for task in &plan.tasks {
            let occupants = &self.state.cluster.workers[task.worker].occupants;
            preempted.extend(
                occupants
                    .iter()
                    .filter(|o| o.set.overlaps(task.set))
                    .map(|o| o.job),
            );
            if !plan.is_borrowed {
                self.state
                    .cluster
                    .update(task.worker, |w| w.guaranteed = w.guaranteed.union(task.set));
            }
        }
        let now = self.state.now;
        let Some(job) = self.state.jobs.get_mut(&key) else {
            return;
        };
        let accelerators = job.accelerators();
        job.run = Some(Run {
            attempt: job.last_attempt,
            ended: vec![None; plan.tasks.len()],
            tasks: plan.tasks,
            is_borrowed: plan.is_borrowed,
            since: now,
            running_since: None,
            phase: Phase::Reclaiming,
        });
        self.state.waiting.remove(&key);
        self.reclaiming.insert(key);
        self.change_team_use(key, accelerators, true);
        for gang in preempted {
            self.order_checkpoint(gang, StopReason::Reclaim, effects);
        }
        self.start_if_free(key, effects);
    }

    pub(crate) fn change_team_use(&mut self, key: JobKey, accelerators: u32, is_added: bool) {
        let job = &self.state.jobs[&key];
        let is_borrowed = job.run.as_ref().is_some_and(|run| run.is_borrowed);
        let Some(team) = self.state.teams.get_mut(&job.spec.team) else {
            return;
        };
        let change = |count: &mut u32| match is_added {
            true => *count += accelerators,
            false => *count -= accelerators,
        };
        change(&mut team.used);
        if !is_borrowed {
            change(&mut team.used_guaranteed);
        }
        if is_added && team.guarantee_reserved_for == Some(key) {
            team.guarantee_reserved_for = None;
        }
    }

    /// Starts the gangs whose reclaimed accelerators are all free.
    pub(crate) fn start_reclaimed(&mut self, effects: &mut Vec<Effect>) {
        for key in self.reclaiming.iter().copied().collect::<Vec<_>>() {
            self.start_if_free(key, effects);
        }
    }

    fn start_if_free(&mut self, key: JobKey, effects: &mut Vec<Effect>) {
        let now = self.state.now;
        let Some(job) = self.state.jobs.get_mut(&key) else {
            return;
        };
        let Some(run) = job.run.as_mut() else { return };
        let is_taken = |task: &TaskAssignment| {
            self.state.cluster.workers[task.worker]
                .used
                .overlaps(task.set)
        };
        if run.tasks.iter().any(is_taken) {
            return;
        }
        job.last_attempt = job.last_attempt.next();
        (run.phase, run.since, run.attempt) = (Phase::Started, now, job.last_attempt);
        let (tasks, is_borrowed) = (run.tasks.clone(), run.is_borrowed);
        self.reclaiming.remove(&key);
        self.record_occupants(key, &tasks);
        effects.push(Effect::Start {
            job: self.state.jobs[&key].spec.job.clone(),
            attempt: self.state.jobs[&key].last_attempt,
            placement: self.state.placement(&tasks).collect(),
            is_borrowed,
        });
    }

    /// Records that tasks may run from now on.
    pub(crate) fn record_occupants(&mut self, key: JobKey, tasks: &[TaskAssignment]) {
        for task in tasks {
            self.state.cluster.update(task.worker, |worker| {
                worker.used = worker.used.union(task.set);
                worker.occupants.push(Occupant {
                    job: key,
                    set: task.set,
                });
            });
        }
    }

    /// Cancels the plan of a gang that has not started, so that its job waits again.
    pub(crate) fn cancel_plan(&mut self, key: JobKey) {
        if !self.reclaiming.remove(&key) {
            return;
        }
        let accelerators = self.state.jobs[&key].accelerators();
        self.change_team_use(key, accelerators, false);
        let Some(job) = self.state.jobs.get_mut(&key) else {
            return;
        };
        let Some(run) = job.run.take() else { return };
        let team = job.spec.team.clone();
        if !run.is_borrowed {
            for task in run.tasks {
                self.state
                    .cluster
                    .update(task.worker, |w| w.guaranteed = w.guaranteed.minus(task.set));
            }
        }
        self.change_team(&team, |team, cluster| team.release_idle(cluster));
        self.state.waiting.insert(key);
        self.needs_scheduling = true;
    }

    /// Cancels the plans of gangs that have not started and need one of the workers.
    pub(crate) fn cancel_plans_on(&mut self, workers: &[WorkerIndex]) {
        for key in self.reclaiming.iter().copied().collect::<Vec<_>>() {
            let run = self.state.jobs[&key].run.as_ref();
            if run.is_some_and(|run| run.tasks.iter().any(|task| workers.contains(&task.worker))) {
                self.cancel_plan(key);
            }
        }
    }

    /// Unbinds idle cells of all teams.
    pub(crate) fn release_idle_cells(&mut self) {
        for id in self.state.teams.keys().cloned().collect::<Vec<_>>() {
            self.change_team(&id, |team, cluster| team.release_idle(cluster));
        }
    }

    /// Records that a task has certainly ended and frees its accelerators.
    pub(crate) fn end_task(
        &mut self,
        key: JobKey,
        task: usize,
        outcome: TaskOutcome,
        effects: &mut Vec<Effect>,
    ) {
        let Some(job) = self.state.jobs.get_mut(&key) else {
            return;
        };
        let Some(run) = job.run.as_mut() else { return };
        if !run.ended.get(task).is_some_and(Option::is_none) {
            return;
        }
        run.ended[task] = Some(outcome);
        let (place, is_borrowed, is_over) = (run.tasks[task], run.is_borrowed, run.is_over());
        if outcome == TaskOutcome::Failed {
            job.failed_on.insert(place.worker);
            let (id, failed_on) = (&job.spec.job, &job.failed_on);
            self.failures
                .task_failed(place.worker, key, id, failed_on, self.state.now);
            self.mark_suspects();
        }
        self.state.cluster.update(place.worker, |worker| {
            worker.used = worker.used.minus(place.set);
            worker
                .occupants
                .retain(|o| o.job != key || o.set != place.set);
            if !is_borrowed {
                worker.guaranteed = worker.guaranteed.minus(place.set);
            }
        });
        if outcome != TaskOutcome::Succeeded && !is_over {
            self.order_stop(key, StopReason::TaskLost, effects);
        }
        if is_over {
            self.end_run(key, effects);
        }
        self.may_complete_racks |= self.state.cluster.workers[place.worker].pending.is_some();
        self.state.cluster.apply_pending(place.worker);
        self.needs_scheduling = true;
    }

    fn mark_suspects(&mut self) {
        for index in self.failures.workers() {
            let is_suspect = self.failures.is_suspect(index);
            self.state
                .cluster
                .update(index, |worker| worker.is_suspect = is_suspect);
        }
    }

    pub(crate) fn end_run(&mut self, key: JobKey, effects: &mut Vec<Effect>) {
        let accelerators = self.state.jobs[&key].accelerators();
        self.change_team_use(key, accelerators, false);
        self.confirming_retries.remove(&key);
        let now = self.state.now;
        let Some(job) = self.state.jobs.get_mut(&key) else {
            return;
        };
        let team = job.spec.team.clone();
        let Some(run) = job.run.take() else { return };
        if let Phase::Checkpointing(at) = run.phase {
            self.stops.remove(&(at, key));
        }
        job.attained_service += accelerator_millis(accelerators, now.since(run.since));
        job.waiting_since = now;
        let is_failed = run.ended.contains(&Some(TaskOutcome::Failed));
        job.failures += u32::from(is_failed);
        let outcome = if run
            .ended
            .iter()
            .all(|end| *end == Some(TaskOutcome::Succeeded))
        {
            Some(JobOutcome::Succeeded)
        } else if job.is_cancelled {
            Some(JobOutcome::Cancelled)
        } else {
            let has_exhausted_retries =
                job.failed_on.len() >= MAX_FAILED_WORKERS || job.failures >= MAX_FAILURES;
            (is_failed && has_exhausted_retries).then_some(JobOutcome::Failed)
        };
        if outcome == Some(JobOutcome::Succeeded) {
            let workers = run.tasks.iter().map(|task| task.worker).collect();
            self.failures.record_run(key, &workers);
        }
        self.change_team(&team, |team, cluster| team.release_idle(cluster));
        match outcome {
            Some(outcome) => {
                let job = self.remove_job(key);
                effects.push(Effect::Ended(job.spec.job, outcome));
            }
            None => self.requeue(key, run.attempt, is_failed, effects),
        }
        self.drop_team_if_idle(&team);
    }

    fn requeue(
        &mut self,
        key: JobKey,
        attempt: Attempt,
        is_failed: bool,
        effects: &mut Vec<Effect>,
    ) {
        let job = &self.state.jobs[&key];
        effects.push(Effect::Requeued(job.spec.job.clone(), attempt));
        if is_failed {
            self.retries.insert((retry_at(job, self.state.now), key));
        } else {
            self.state.waiting.insert(key);
        }
    }

    /// Returns failed jobs whose backoff has ended to the queue.
    pub(crate) fn end_backoffs(&mut self) {
        while let Some((_, key)) = self
            .retries
            .first()
            .copied()
            .filter(|r| r.0 <= self.state.now)
        {
            self.retries.pop_first();
            self.state.waiting.insert(key);
            self.needs_scheduling = true;
        }
    }

    /// Records that a retried job keeps running on other workers
    /// than those it failed on.
    pub(crate) fn record_retry_running(&mut self, key: JobKey) {
        let run = self.state.jobs.get(&key).and_then(|job| job.run.as_ref());
        let Some(run) = run else { return };
        let workers = run.tasks.iter().map(|task| task.worker).collect();
        self.failures.record_run(key, &workers);
    }

    /// Removes a job that is not running.
    pub(crate) fn remove_job(&mut self, key: JobKey) -> Job {
        self.state.waiting.remove(&key);
        self.retries.retain(|(_, other)| *other != key);
        let job = self.state.jobs.remove(&key).expect("a job is removed once");
        self.state.by_id.remove(&job.spec.job);
        if let Some(team) = self.state.teams.get_mut(&job.spec.team) {
            team.guarantee_reserved_for = team.guarantee_reserved_for.filter(|other| *other != key);
        }
        self.needs_scheduling = true;
        job
    }
}

/// Returns when a failed job is retried: after 2 s, doubled with each
/// failure up to 64 s, so that a worker on which everything fails does not use up a
/// job's attempts within seconds.
fn retry_at(job: &Job, now: Uptime) -> Uptime {
    now.plus(std::time::Duration::from_secs(1 << job.failures.min(6)))
}
