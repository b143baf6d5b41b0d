//! Waiting tasks that show whether workers in doubt list the ends of their runs.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use cumindeck_types::{AgentId, Uptime};

use super::capacity::Capacity;
use super::guarantee::urgent_accelerators;
use super::pending::{MAX_REPORT_AGE, PendingStep};
use super::{DecisionKind, Scheduler, StepId, TaskId, Worker};
use crate::exchange::WorkerIncarnation;
use crate::{Resources, StepSpec};

/// Number of runs that one placement may use up. They take some 2 s, less than it may take
/// until an evacuation or a cancel has to be in effect.
const PROBE_RUNS: u64 = 32;

/// Maximum number of tasks that are placed on a worker for this at a time.
const MAX_PROBED_TASKS: usize = 8;

/// Number of tasks that each worker gets before others get more: a worker that has dropped few
/// ends needs no more, and 60 ends take 15 rounds of 60 ms.
const FIRST_PROBED_TASKS: usize = 4;

/// Number of workers in doubt for which one task is used while a settled worker could hold it.
const MAX_PROBES_PER_TASK: u32 = 2;

/// Time for which a worker is in doubt after which tasks are used that may be done before their
/// run is over. Their end may be dropped, so others go first; but if no other waits, the doubt
/// would have no end, and with it the jobs of the whole site after a loss of power.
const MAX_DOUBT: Duration = Duration::from_secs(8);

/// Time within which a settled worker has to have room for a task that is not used; the runs
/// of a placement may take as long.
const ROOM_WITHIN: Duration = Duration::from_secs(2);

/// Factor by which an estimate may be too high, as seen on the platform (docs/platform.md).
const MAX_ESTIMATE_ERROR: u64 = 7;

/// Lease of a run, as the agent chooses it at first.
const PROBE_LEASE_MS: u64 = 40;

/// Time until the stop of a run that has not ended with its lease.
const STOP_DELAY: Duration = Duration::from_millis(200);

/// Time after the last order by which the last of its runs has been started: the order and the
/// use of its runs have a maximum age of 2 s each.
const LAST_RUN_AFTER: Duration = Duration::from_secs(4);

/// A worker in doubt that may get more tasks for this.
#[derive(Debug)]
struct DoubtedCandidate {
    agent: AgentId,
    incarnation: Arc<WorkerIncarnation>,
    free: Resources,
    /// Least estimate of a task that is not done before its run is over.
    least_ms: u64,
    /// Whether any task is used.
    takes_any: bool,
    /// Number of tasks that are placed on it for this.
    tasks: usize,
}

/// A task that may be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Usable {
    /// Number of workers in doubt for which it was used.
    uses: u32,
    index: u32,
}

impl Scheduler {
    /// Returns whether a task is placed only to show whether its worker lists ends.
    pub(super) fn has_probing_tasks(&self) -> bool {
        let mut runs = self.runs.values();
        runs.any(|run| run.probe_runs > 0 && run.probes_over_at.is_none())
    }

    /// Calls off tasks that a settled worker has room for, and places waiting tasks on workers
    /// in doubt. They are not started there themselves, and wait on.
    pub(super) fn plan_probes(
        &mut self,
        now: Uptime,
        capacity: &mut Capacity,
        waiting: &[PendingStep],
    ) {
        self.call_off_probes(now, capacity);
        let doubted = self.doubted_candidates(now);
        if !doubted.is_empty() {
            let usable = self.usable_tasks(now, capacity, waiting);
            self.place_probes(now, doubted, waiting, usable);
        }
    }

    /// Calls off tasks that can start on settled workers; a gang needs room for all members.
    /// Runs are stopped for a step within a guarantee.
    fn call_off_probes(&mut self, now: Uptime, capacity: &mut Capacity) {
        let mut probing: BTreeMap<StepId, Vec<u32>> = BTreeMap::new();
        for (task, run) in &self.runs {
            if run.probe_runs > 0 && run.probes_over_at.is_none() {
                let step = StepId {
                    job: task.job.clone(),
                    occurrence: task.occurrence,
                    step: task.step,
                };
                probing.entry(step).or_default().push(task.index);
            }
        }
        if probing.is_empty() || capacity.workers.iter().all(|it| it.is_doubted) {
            return;
        }
        let open = self.open.iter().map(|id| &self.jobs[id]);
        let urgent = urgent_accelerators(open.filter(|job| !job.state().is_final()));
        let beside_lasting = capacity.beside_lasting();
        for (id, tasks) in probing {
            let spec = &self.jobs[&id.job].row.spec;
            let is_guaranteed = spec.priority == 0 && self.is_within_guarantee(&urgent, &id.job);
            let (step, service) = (spec.steps[id.step as usize].clone(), spec.service.clone());
            let members = match step.gang {
                true => (0..step.tasks).collect(),
                false => tasks.clone(),
            };
            let pending = PendingStep {
                job: id.job.clone(),
                occurrence: id.occurrence,
                step: id.step,
                tasks: members,
                waited: Duration::ZERO,
                is_guaranteed,
                is_late: false,
                order_reason: None,
            };
            let demand = self.demand(now, &pending, &step, &service);
            let free = match is_guaranteed {
                true => &beside_lasting,
                false => &capacity.free,
            };
            let chosen = demand.fit_some(capacity, free, None, pending.tasks.len());
            if step.gang && chosen.len() < pending.tasks.len() {
                continue;
            }
            capacity.allocate(&chosen, &step.counted_resources());
            for &index in tasks.iter().take(chosen.len()) {
                self.call_off_probe(now, &id.task(index));
            }
        }
    }

    fn call_off_probe(&mut self, now: Uptime, task: &TaskId) {
        let over_after = LAST_RUN_AFTER + self.limits.lease_expires_after();
        if let Some(run) = self.runs.get_mut(task) {
            run.probes_over_at = Some(now.plus(over_after));
        }
        let reason = "a settled worker has room for it".to_owned();
        self.record_decision(DecisionKind::Stop, task, None, reason);
        self.stop_run(task);
    }

    /// Ends the placements that were called off and whose runs are over by now, although their
    /// agents don't confirm it.
    ///
    /// A worker that has been in doubt all the time has got no run that extends the leases.
    pub(super) fn end_withdrawn_probes(&mut self, now: Uptime) {
        let is_over = |(task, run): &(&TaskId, &super::Run)| {
            let placement = self.placement(task);
            let worker = placement.and_then(|it| self.workers.get(&it.agent));
            run.probes_over_at.is_some_and(|at| at <= now)
                && worker.is_some_and(|worker| {
                    let ends = &worker.known_ends;
                    ends.is_doubted() && !ends.has_long_lease()
                })
        };
        let over = self.runs.iter().filter(is_over);
        let over: Vec<TaskId> = over.map(|(task, _)| task.clone()).collect();
        for task in over {
            let reason = "the leases of its short runs have expired".to_owned();
            self.record_decision(DecisionKind::Lost, &task, None, reason);
            self.end_run(&task);
        }
    }

    /// Returns the workers in doubt that may get tasks for this.
    fn doubted_candidates(&self, now: Uptime) -> Vec<DoubtedCandidate> {
        let is_probe = |task: &&TaskId| self.runs.get(*task).is_some_and(|run| run.probe_runs > 0);
        let candidate = |(agent, worker): (&AgentId, &Worker)| {
            let incarnation = worker.worker_incarnation.as_ref()?;
            let is_ready = worker.known_ends.is_probing()
                && worker.has_lists
                && now.since(worker.last_report) < MAX_REPORT_AGE
                && !incarnation.is_draining
                && !self.evacuated.contains(&incarnation.zone);
            let tasks = worker.placed.tasks().filter(is_probe).count();
            let mut free = incarnation.capacity;
            free.subtract(&worker.placed.used);
            let has_long_lease = worker.known_ends.has_long_lease();
            let withheld = worker.withheld.as_ref();
            let is_overdue = withheld.is_some_and(|it| it.lasts_for(now) >= MAX_DOUBT);
            let candidate = DoubtedCandidate {
                agent: agent.clone(),
                incarnation: Arc::clone(incarnation),
                free,
                least_ms: self.least_estimate_ms(has_long_lease),
                takes_any: is_overdue && !has_long_lease,
                tasks,
            };
            (is_ready && candidate.tasks < MAX_PROBED_TASKS).then_some(candidate)
        };
        self.workers.iter().filter_map(candidate).collect()
    }

    /// Returns the least estimate of a task that is not done before its lease, or its stop, is
    /// over.
    fn least_estimate_ms(&self, has_long_lease: bool) -> u64 {
        let longest = self.limits.stop + STOP_DELAY;
        let longest_ms = match has_long_lease {
            true => u64::try_from(longest.as_millis()).unwrap_or(u64::MAX),
            false => PROBE_LEASE_MS,
        };
        longest_ms.saturating_mul(MAX_ESTIMATE_ERROR)
    }

    /// Returns which tasks of each waiting step may be used, the least used one last: not those
    /// for which settled workers have room soon or, within a guarantee, once runs there are
    /// stopped.
    fn usable_tasks(
        &self,
        now: Uptime,
        capacity: &mut Capacity,
        waiting: &[PendingStep],
    ) -> Vec<Vec<Usable>> {
        let mut reclaimable = capacity.beside_lasting();
        let mut soon = self.free_within(now, capacity, ROOM_WITHIN);
        let empty = capacity.empty();
        let usable_of = |pending: &PendingStep| {
            let job = &self.jobs[&pending.job];
            let step = &job.row.spec.steps[pending.step as usize];
            let demand = self.demand(now, pending, step, &job.row.spec.service);
            let free = match pending.is_guaranteed {
                true => &reclaimable,
                false => &soon,
            };
            let mut chosen = demand.fit_some(capacity, free, None, pending.tasks.len());
            if step.gang && chosen.len() < pending.tasks.len() {
                chosen.clear();
            }
            let resources = step.counted_resources();
            for &at in &chosen {
                soon[at].subtract(&resources);
                reclaimable[at].subtract(&resources);
            }
            let is_held_elsewhere = !demand.fit_some(capacity, &empty, None, 1).is_empty();
            let usable = |&index: &u32| {
                let uses = job.probes.get(&pending.step_id().task(index));
                let uses = uses.copied().unwrap_or(0);
                let is_usable = !is_held_elsewhere || uses < MAX_PROBES_PER_TASK;
                is_usable.then_some(Usable { uses, index })
            };
            let rest = pending.tasks[chosen.len()..].iter();
            let mut usable: Vec<Usable> = rest.filter_map(usable).collect();
            usable.sort_unstable_by(|one, other| other.cmp(one));
            if step.gang {
                // All members have the same run number, so that one is enough.
                usable.drain(..usable.len().saturating_sub(1));
            }
            usable
        };
        waiting.iter().map(usable_of).collect()
    }

    /// Places tasks on the workers: a few on each, then more on the first ones.
    fn place_probes(
        &mut self,
        now: Uptime,
        mut doubted: Vec<DoubtedCandidate>,
        waiting: &[PendingStep],
        mut usable: Vec<Vec<Usable>>,
    ) {
        for most in [FIRST_PROBED_TASKS, MAX_PROBED_TASKS] {
            for candidate in &mut doubted {
                while candidate.tasks < most {
                    let best = self.best_probe(now, candidate, waiting, &usable);
                    let Some((at, resources)) = best else { break };
                    let Some(Usable { index, .. }) = usable[at].pop() else {
                        break;
                    };
                    candidate.tasks += 1;
                    candidate.free.subtract(&resources);
                    let (agent, incarnation) = (&candidate.agent, &candidate.incarnation);
                    let pending = &waiting[at];
                    self.place(now, pending, index, agent, incarnation, PROBE_RUNS);
                    if let Some(job) = self.jobs.get_mut(&pending.job) {
                        let task = pending.step_id().task(index);
                        *job.probes.entry(task).or_default() += 1;
                    }
                }
            }
        }
    }

    /// Returns the position of the step whose tasks lose least by short runs on a worker in
    /// doubt, and what its tasks need.
    ///
    /// A step within a guarantee can't wait. A member of a gang does no work without the
    /// others, and a long task is not done by then. Of equal ones the step that gets
    /// resources last is best.
    fn best_probe(
        &self,
        now: Uptime,
        candidate: &DoubtedCandidate,
        waiting: &[PendingStep],
        usable: &[Vec<Usable>],
    ) -> Option<(usize, Resources)> {
        let incarnation = &candidate.incarnation;
        let rank = |(at, pending): (usize, &PendingStep)| {
            let job = self.jobs.get(&pending.job)?;
            let spec = &job.row.spec;
            let step = spec.steps.get(pending.step as usize)?;
            let resources = step.counted_resources();
            let has_label = |label: &String| incarnation.labels.contains(label);
            let first = pending.step_id().task(usable[at].last()?.index);
            let fits = spec.service == incarnation.service
                && self.ticket_of(now, &first, incarnation).is_some()
                && step.label.as_ref().is_none_or(has_label)
                && candidate.free.can_fit(&resources);
            let progress = &job.progress.occurrences[&pending.occurrence];
            let tasks = progress[pending.step as usize].tasks.iter();
            let placements = tasks.filter_map(|task| task.placement.as_ref());
            let placed_here = placements.filter(|it| it.agent == candidate.agent).count();
            let fits = fits && placed_here < most_per_worker(step);
            let is_in_gang = step.gang && pending.tasks.len() > 1;
            let is_long = is_in_gang
                || step.long_running
                || step.estimate_ms >= candidate.least_ms
                || candidate.takes_any;
            // A missing estimate says nothing of the duration; it goes before short ones.
            let estimate_ms = match step.estimate_ms {
                0 => candidate.least_ms.saturating_sub(1),
                estimate_ms => estimate_ms,
            };
            let uses = Reverse(usable[at].last()?.uses);
            let rank = (!pending.is_guaranteed, uses, is_in_gang, estimate_ms, at);
            (fits && is_long).then_some((rank, resources))
        };
        let ranks = waiting.iter().enumerate().filter_map(rank);
        let best = ranks.max_by_key(|(rank, _)| *rank);
        best.map(|((.., at), resources)| (at, resources))
    }
}

/// Returns the number of a step's tasks that may be on one worker.
fn most_per_worker(step: &StepSpec) -> usize {
    step.max_per_worker.map_or(usize::MAX, |max| max as usize)
}
