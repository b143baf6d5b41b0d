//! Selection of the waiting tasks that start.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cumindeck_types::{AgentId, JobId, RunNumber, Uptime};

use super::capacity::{Capacity, PlacedRun};
use super::fit::Demand;
use super::guarantee::urgent_accelerators;
use super::headroom::leaves_headroom;
use super::load::{PassLoad, is_bounded};
use super::order::{OrderReason, WaitingJob, is_far_overdue};
use super::pass::Pass;
use super::pending::{PendingStep, is_too_late, least_left};
use super::{DecisionKind, Job, Run, Scheduler, StepId, TaskId};
use crate::Resources;
use crate::exchange::WorkerIncarnation;
use crate::model::MAX_OVERDUE_FACTOR;
use crate::progress::{Placement, StepProgress};

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

/// Minimum time between two passes over the waiting steps: under load, one pass
/// handles the ends and jobs of this time together.
const MIN_PASS_INTERVAL: Duration = Duration::from_millis(10);

/// Maximum time between two passes: backoffs, waits and the age of reports change
/// what may start without an event.
const MAX_PASS_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two checks for expired leases, due occurrences and runs to move.
const UPKEEP_INTERVAL: Duration = Duration::from_millis(50);

/// Number of tasks in unfinished occurrences of a job from which no further one begins. It
/// bounds the memory that a job takes.
const MAX_UNFINISHED_TASKS: u64 = 20_000;

/// Percentage of its estimate within which a task has ended in all likelihood.
const MOST_PERCENT_OF_ESTIMATE: u64 = 200;

/// A job that may start tasks.
#[derive(Debug)]
struct RankedJob {
    id: JobId,
    /// Whether it is so late that it has no value.
    is_worthless: bool,
    is_guaranteed: bool,
    /// Whether it can no longer be in time.
    is_late: bool,
    order_reason: Option<OrderReason>,
}

impl Scheduler {
    /// Decides which tasks start and which runs are stopped for them.
    ///
    /// A call returns at once if no resources, jobs or workers have changed since the
    /// last pass and no time limit can have passed.
    pub fn plan(&mut self, now: Uptime, unix: Duration) {
        if now >= self.upkeep_due {
            self.upkeep_due = now.plus(UPKEEP_INTERVAL);
            self.expire_worker_leases(now);
            self.end_withdrawn_probes(now);
            self.begin_due_occurrences(unix);
            self.move_runs(now);
            self.check_speeds(now);
            self.update_urgent_use(now);
        }
        if now < self.pass_due() {
            return;
        }
        self.last_pass = Some(now);
        self.needs_pass = false;
        let mut waiting = Vec::new();
        for job in self.ranked_jobs(now) {
            let steps = self.pending_steps(now, &job).into_iter();
            waiting.extend(steps.map(|step| (step, job.is_worthless)));
        }
        if waiting.is_empty() && !self.has_probing_tasks() {
            self.reservation = None;
            self.update_forecast(now, None, &[]);
            return;
        }
        let mut pass = Pass {
            capacity: self.capacity(now),
            preemptible: None,
            reservation: None,
        };
        self.keep_headroom(&mut pass.capacity);
        let steps: BTreeSet<StepId> = waiting.iter().map(|(step, _)| step.step_id()).collect();
        self.hold_reclaimed(now, &mut pass.capacity, &steps);
        self.mark_lent(now, &mut pass.capacity);
        let mut still_waiting = Vec::new();
        for (mut pending, is_worthless) in waiting {
            pending.tasks = self.start(now, &mut pass.capacity, &pending);
            if pending.tasks.is_empty() {
                self.reclaims.remove(&pending.step_id());
                continue;
            }
            // A reclaim for a job without value would stop the runs that the same
            // plan has started for jobs ranked before it, and so on endlessly.
            let is_reclaimed = !is_worthless && self.reclaim(now, &mut pass, &pending);
            if !is_reclaimed && pass.reservation.is_none() {
                let wait = self.reserve(now, &mut pass.capacity, &pending);
                pass.reservation = wait.map(|wait| self.record_reservation(&pending, wait));
            }
            still_waiting.push(pending);
        }
        self.reservation = pass.reservation;
        self.update_forecast(now, Some(&pass.capacity), &still_waiting);
        self.plan_probes(now, &mut pass.capacity, &still_waiting);
    }

    /// Records for the log that a step has reserved workers, unless the last pass did, and
    /// returns the step.
    fn record_reservation(&mut self, pending: &PendingStep, wait: Duration) -> StepId {
        let step = pending.step_id();
        if self.reservation.as_ref() != Some(&step) {
            let task = TaskId {
                job: step.job.clone(),
                occurrence: step.occurrence,
                step: step.step,
                index: pending.tasks.first().copied().unwrap_or(0),
            };
            let reason = format!(
                "waited {:?}, its workers should have room in {wait:?}",
                pending.waited
            );
            self.record_decision(DecisionKind::Reserve, &task, None, reason);
        }
        step
    }

    /// Returns when the next pass is due.
    fn pass_due(&self) -> Uptime {
        let Some(last) = self.last_pass else {
            return Uptime::ZERO;
        };
        let interval = match self.needs_pass {
            true => MIN_PASS_INTERVAL,
            false => MAX_PASS_INTERVAL,
        };
        last.plus(interval)
    }

    /// Returns when to plan again if no event comes before.
    #[must_use]
    pub fn next_wakeup(&self) -> Uptime {
        self.pass_due().min(self.upkeep_due)
    }

    /// Returns the jobs in the order in which they get resources. Urgent jobs within
    /// their teams' guarantees come first, those without value last.
    fn ranked_jobs(&self, now: Uptime) -> Vec<RankedJob> {
        let open = self.open.iter().map(|id| (id, &self.jobs[id]));
        let unfinished: Vec<(&JobId, &Job)> =
            open.filter(|(_, job)| !job.state().is_final()).collect();
        let urgent = urgent_accelerators(unfinished.iter().map(|(_, job)| *job));
        let mut load = match self.order.uses_load() {
            true => self.pass_load(&unfinished),
            false => PassLoad::default(),
        };
        let mut waiting = Vec::new();
        for (id, job) in unfinished {
            let spec = &job.row.spec;
            let is_deferred = now.since(self.taken_over_at) < TAKEOVER_GRACE && spec.priority > 0;
            if is_deferred {
                continue;
            }
            let objective = Duration::from_millis(spec.objective_ms());
            let age = now.since(job.accepted_at);
            let is_recurring = spec.recurrence.is_some();
            let is_guaranteed = spec.priority == 0 && self.is_within_guarantee(&urgent, id);
            let mut inputs = WaitingJob {
                priority: spec.priority,
                is_guaranteed,
                is_far_overdue: is_far_overdue(age, objective) && !is_recurring && !is_guaranteed,
                is_late: is_too_late(job, age),
                is_recurring,
                accepted_at: job.accepted_at,
                age,
                objective: is_bounded(job).then_some(objective),
                valuable_for: objective.saturating_mul(MAX_OVERDUE_FACTOR),
                least_left: least_left(job),
                work: 0,
                is_beyond_share: false,
            };
            if self.order.uses_load() {
                load.complete(id, job, &mut inputs);
            }
            waiting.push((id, inputs));
        }
        load.update_order(&waiting);
        let mut ranked = Vec::with_capacity(waiting.len());
        for (id, inputs) in waiting {
            let standing = self.order.decide(&inputs, &load.order);
            let job = RankedJob {
                id: id.clone(),
                is_worthless: standing.is_worthless,
                is_guaranteed: inputs.is_guaranteed,
                is_late: standing.is_late,
                order_reason: standing.reason,
            };
            ranked.push(((standing.rank, id), job));
        }
        ranked.sort_by_key(|(rank, _)| *rank);
        ranked.into_iter().map(|(_, job)| job).collect()
    }

    /// Returns the steps of a job that have tasks to start.
    fn pending_steps(&mut self, now: Uptime, ranked: &RankedJob) -> Vec<PendingStep> {
        let id = &ranked.id;
        let Some(job) = self.jobs.get_mut(id) else {
            return Vec::new();
        };
        let mut found = Vec::new();
        for (&occurrence, steps) in &job.progress.occurrences {
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
                let key = (occurrence, at as u32);
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
                    is_guaranteed: ranked.is_guaranteed,
                    is_late: ranked.is_late,
                    order_reason: ranked.order_reason,
                });
            }
        }
        found
    }

    /// Starts the tasks that fit; returns those that do not.
    fn start(&mut self, now: Uptime, capacity: &mut Capacity, pending: &PendingStep) -> Vec<u32> {
        let job = &self.jobs[&pending.job];
        let spec = job.row.spec.steps[pending.step as usize].clone();
        let service = job.row.spec.service.clone();
        let mut demand = self.demand(now, pending, &spec, &service);
        let unit = if spec.gang { pending.tasks.len() } else { 1 };
        demand.count = unit;
        let mut rest = pending.tasks.as_slice();
        // A gang is as slow as its slowest member, so that it starts on workers of one speed.
        for required in self.gang_classes(pending, capacity) {
            demand.required_class = required;
            rest = self.start_near(now, capacity, &mut demand, pending, rest);
            if rest.is_empty() {
                return Vec::new();
            }
        }
        rest.to_vec()
    }

    /// Starts the tasks that fit where they are at full speed, or anywhere if they can't wait
    /// for that, and returns the others.
    fn start_near<'a>(
        &mut self,
        now: Uptime,
        capacity: &mut Capacity,
        demand: &mut Demand<'_>,
        pending: &PendingStep,
        tasks: &'a [u32],
    ) -> &'a [u32] {
        let locality_wait = locality_wait(&self.jobs[&pending.job], pending);
        let unit = demand.count;
        let racks = demand.racks(capacity);
        let places: Vec<Option<usize>> = racks.iter().flatten().copied().map(Some).collect();
        let mut rest = tasks;
        for rack in places {
            rest = self.start_in(now, capacity, demand, pending, rack, rest);
            if rest.is_empty() {
                return rest;
            }
        }
        // Far from its data or split over racks a task is several times slower.
        let can_wait = racks.is_some_and(|racks| {
            let empty = capacity.empty();
            let fits = |rack: usize| demand.fit(capacity, &empty, Some(rack), unit).is_some();
            pending.waited < locality_wait && racks.into_iter().any(fits)
        });
        if !can_wait {
            rest = self.start_in(now, capacity, demand, pending, None, rest);
        }
        if !rest.is_empty() {
            self.request_advice(now, capacity, demand, &pending.step_id());
        }
        rest
    }

    /// Starts the tasks that fit in a rack, or anywhere, and returns the others; a gang
    /// starts whole.
    fn start_in<'a>(
        &mut self,
        now: Uptime,
        capacity: &mut Capacity,
        demand: &mut Demand<'_>,
        pending: &PendingStep,
        rack: Option<usize>,
        tasks: &'a [u32],
    ) -> &'a [u32] {
        let chosen = demand.fit_some(capacity, &capacity.free, rack, tasks.len());
        if demand.step.gang && chosen.len() < tasks.len() {
            return tasks;
        }
        capacity.allocate(&chosen, &demand.step.counted_resources());
        let (placed, rest) = tasks.split_at(chosen.len());
        for (&task, &at) in placed.iter().zip(&chosen) {
            let candidate = &capacity.workers[at];
            if demand.step.max_per_worker.is_some() {
                *demand.placed.entry(candidate.agent.clone()).or_default() += 1;
            }
            let (agent, incarnation) = (candidate.agent.clone(), candidate.incarnation.clone());
            self.place(now, pending, task, &agent, &incarnation, 0);
        }
        rest
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
        let step = &job.progress.occurrences[&pending.occurrence][pending.step as usize];
        let mut placed: BTreeMap<AgentId, u32> = BTreeMap::new();
        if spec.max_per_worker.is_some() {
            for placement in step.tasks.iter().filter_map(|task| task.placement.as_ref()) {
                *placed.entry(placement.agent.clone()).or_default() += 1;
            }
        }
        let is_same = |task: &&TaskId| {
            task.occurrence == pending.occurrence
                && task.step == pending.step
                && (spec.gang || pending.tasks.contains(&task.index))
        };
        let failed = job.failed_on.iter().filter(|(task, _)| is_same(task));
        let failed_on: BTreeSet<AgentId> = failed.flat_map(|(_, agents)| agents.clone()).collect();
        Demand {
            id: pending.step_id(),
            step: spec,
            service,
            count: pending.tasks.len(),
            placed,
            avoids_failed: pending.waited < FAILED_WORKER_BACKOFF,
            failed_on,
            agents_with_tickets: self.agents_with_tickets(now, &pending.step_id()),
            leaves_headroom: leaves_headroom(job, now.since(job.accepted_at)),
            leaves_lent_to_others: (job.row.spec.priority == 0 || spec.long_running)
                && !pending.is_guaranteed,
            team: job.row.spec.team.clone(),
            speed_preference: self.speed_policy.preference(&self.speed_need(now, pending)),
            required_class: None,
            ends_within: (!spec.long_running).then(|| {
                let most_ms = spec.estimate_ms.saturating_mul(MOST_PERCENT_OF_ESTIMATE) / 100;
                Duration::from_millis(most_ms)
            }),
        }
    }

    /// Places a task on a worker, which may use up `probe_runs` runs before.
    pub(super) fn place(
        &mut self,
        now: Uptime,
        pending: &PendingStep,
        index: u32,
        agent: &AgentId,
        incarnation: &WorkerIncarnation,
        probe_runs: u64,
    ) {
        let id = TaskId {
            job: pending.job.clone(),
            occurrence: pending.occurrence,
            step: pending.step,
            index,
        };
        let speed = self.describe_speed(pending, agent);
        let job = self
            .jobs
            .get_mut(&pending.job)
            .expect("a waiting job is known");
        let spec = &job.row.spec.steps[pending.step as usize];
        let (is_gang, placed_run) = (spec.gang, PlacedRun::new(&job.row.spec, spec));
        let step = job.step_mut(&id).expect("a waiting step is known");
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
            None => RunNumber::new(last.unwrap_or_default().get() + probe_runs + 1),
        };
        let checkpoint = match is_gang {
            true => newest_checkpoint(step),
            false => step.tasks[index as usize].checkpoint.clone(),
        };
        let is_from_start = checkpoint.is_empty();
        let task = &mut step.tasks[index as usize];
        task.run = run;
        task.checkpoint = checkpoint;
        task.placement = Some(Placement {
            worker: incarnation.worker.clone(),
            started_ms: incarnation.started_ms,
            agent: agent.clone(),
        });
        let (worker, waited) = (&incarnation.worker, pending.waited);
        let reason = match probe_runs {
            0 => {
                job.ready_since.remove(&(pending.occurrence, pending.step));
                match pending.order_reason {
                    Some(reason) => {
                        format!("worker {worker} is free; waited {waited:?}{speed}; {reason}")
                    }
                    None => format!("worker {worker} is free; waited {waited:?}{speed}"),
                }
            }
            _ => format!("shows whether worker {worker} lists ends; waited {waited:?}"),
        };
        if probe_runs == 0 {
            self.predictions.on_start(now, &pending.job);
        }
        if !std::mem::replace(&mut job.progress.has_started, true) {
            self.mark_job_dirty(&pending.job);
        }
        self.mark_task_dirty(&id);
        self.record_decision(DecisionKind::Start, &id, Some(agent), reason);
        let worker = self.workers.entry(agent.clone()).or_default();
        worker.placed.insert(id.clone(), placed_run);
        let run = Run {
            probe_runs,
            is_measurable: is_from_start,
            ..Run::new(now, None)
        };
        self.runs.insert(id, run);
    }

    /// Reserves workers for a large step that has waited long; returns the time until they
    /// should have room, or `None` if it did not.
    ///
    /// Runs that do not end by themselves leave it no room, however long it waits. Until
    /// the others have ended, short tasks may still start on the reserved workers.
    fn reserve(
        &self,
        now: Uptime,
        capacity: &mut Capacity,
        pending: &PendingStep,
    ) -> Option<Duration> {
        let job = &self.jobs[&pending.job];
        let spec = &job.row.spec.steps[pending.step as usize];
        let is_large = spec.gang && pending.tasks.len() > 1 || spec.resources.accelerators >= 4;
        if pending.waited < RESERVE_AFTER || !is_large {
            return None;
        }
        let mut demand = self.demand(now, pending, spec, &job.row.spec.service);
        demand.count = if spec.gang { pending.tasks.len() } else { 1 };
        let free = capacity.beside_lasting();
        let racks = demand.racks(capacity).unwrap_or_default();
        let confined = racks.into_iter().rev();
        let chosen = confined
            .filter_map(|rack| demand.fit(capacity, &free, Some(rack), demand.count))
            .next();
        let chosen = chosen.or_else(|| demand.fit(capacity, &free, None, demand.count));
        let chosen = chosen?;
        let mut tasks: BTreeMap<usize, Resources> = BTreeMap::new();
        for &at in &chosen {
            tasks.entry(at).or_default().add(&spec.counted_resources());
        }
        let waits = tasks
            .iter()
            .map(|(&at, tasks)| self.time_until_room(now, capacity, at, tasks));
        let wait = waits.max().unwrap_or_default();
        for at in chosen {
            capacity.workers[at].reserved_in = Some(wait);
        }
        Some(wait)
    }

    fn begin_due_occurrences(&mut self, unix: Duration) {
        let unix_ms = u64::try_from(unix.as_millis()).unwrap_or(u64::MAX);
        let mut begun_jobs = Vec::new();
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
            let unfinished = job.progress.occurrences.len() as u64;
            if unfinished.saturating_mul(job.row.spec.tasks()) >= MAX_UNFINISHED_TASKS {
                continue;
            }
            let begun = u64::from(job.progress.begun);
            let due_ms = recurrence
                .first_unix_ms
                .saturating_add(begun.saturating_mul(recurrence.interval_ms));
            if begun < u64::from(recurrence.times) && unix_ms >= due_ms {
                job.progress.begin_occurrence(&job.row.spec);
                begun_jobs.push(id.clone());
            }
        }
        for id in begun_jobs {
            self.mark_job_dirty(&id);
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
    Duration::from_millis(estimate.saturating_mul(2).min(slack / 10 * 9))
}

/// Returns the newest checkpoint of a gang, from which all its members start.
fn newest_checkpoint(step: &StepProgress) -> String {
    let newest = step
        .tasks
        .iter()
        .max_by_key(|task| (task.run, !task.checkpoint.is_empty()));
    newest.map_or(String::new(), |task| task.checkpoint.clone())
}
