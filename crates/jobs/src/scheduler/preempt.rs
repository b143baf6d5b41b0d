//! Preemption: which runs are stopped for urgent jobs.

use std::collections::BTreeSet;
use std::time::Duration;

use cumindeck_types::{AgentId, Uptime};
use smallvec::SmallVec;

use super::capacity::Capacity;
use super::fit::Demand;
use super::guarantee::{StopLimit, StopLimits, stop_limit};
use super::pass::Pass;
use super::pending::{PendingStep, gang_members, is_too_late, spare_time};
use super::stops::{StopRank, UrgentStep, Victim};
use super::{DecisionKind, Scheduler, StepId, TaskId};
use crate::Resources;

/// Duration of a reclaim beside the stop: the decision, its record and the starts.
const RECLAIM_MARGIN: Duration = Duration::from_millis(1_200);

/// A run or a gang that can be stopped for an urgent job.
#[derive(Debug)]
struct Preemption {
    tasks: Vec<TaskId>,
    priority: u32,
    /// Work that is lost, in processor-milliseconds, weighted by resources.
    loss: u64,
    rank: StopRank,
    /// Whether a step beyond its guarantee may have it stopped.
    is_open_to_all: bool,
    /// Text on the stop for the log.
    explanation: String,
    /// Resources that the stop frees, by position of the worker.
    freed: SmallVec<[(usize, Resources); 4]>,
    /// Whether only a step within its team's guarantee may have it stopped: urgent runs and
    /// those that last.
    needs_guarantee: bool,
    /// Limit on stops of such runs, and how much of it the stop uses.
    limit: Option<(StopLimit, u32)>,
}

/// The runs that urgent jobs may have stopped in a pass.
#[derive(Debug, Default)]
pub(super) struct Preemptible {
    preemptions: Vec<Preemption>,
    /// Positions in `preemptions` by worker, the ones to stop first at the front.
    by_worker: Vec<Vec<usize>>,
    /// Positions in `preemptions` of those that the pass has stopped.
    stopped: BTreeSet<usize>,
    limits: StopLimits,
}

/// Workers that an urgent step waits for while runs are being stopped there.
///
/// Without it each pass would search again, and stop further runs in another rack.
#[derive(Debug)]
pub(super) struct Reclaim {
    /// Agents of the workers, one for each task.
    agents: Vec<AgentId>,
    /// Time by which the stops should be over.
    pub until: Uptime,
}

/// Which runs an urgent step may have stopped.
#[derive(Debug, Clone, Copy)]
struct StopRights {
    /// Work that may be lost at most.
    max_loss: u64,
    /// Whether the step is within its team's guarantee.
    is_guaranteed: bool,
}

/// Workers for an urgent step, with the runs to stop there.
#[derive(Debug)]
struct Selection {
    loss: u64,
    chosen: Vec<usize>,
    /// Positions in [`Preemptible::preemptions`].
    stops: Vec<usize>,
}

impl Scheduler {
    /// Frees resources for an urgent step; returns whether they are free now or
    /// after the stops. A step within its team's guarantee stops any less urgent run, and
    /// urgent runs of teams beyond theirs.
    pub(super) fn reclaim(&mut self, now: Uptime, pass: &mut Pass, pending: &PendingStep) -> bool {
        let job = &self.jobs[&pending.job];
        if job.row.spec.priority != 0 {
            return false;
        }
        let spec = job.row.spec.steps[pending.step as usize].clone();
        let service = job.row.spec.service.clone();
        let mut demand = self.demand(now, pending, &spec, &service);
        demand.required_class = self.reclaimed_class(pending, &pass.capacity);
        let max_wait = self.max_reclaim_wait(pending);
        let resources = spec.counted_resources();
        if self.allocate_reclaimed(&mut pass.capacity, pending, &resources) {
            return true;
        }
        let free = self.free_within(now, &mut pass.capacity, max_wait);
        if let Some(chosen) = find_without_preemption(&pass.capacity, &free, &demand) {
            pass.capacity.allocate(&chosen, &resources);
            return true;
        }
        let key = (pending.occurrence, pending.step);
        // Beyond the guarantee, urgent work stops only runs that lose less than it brings.
        let max_loss = match pending.is_guaranteed {
            true => u64::MAX,
            false if pending.is_late => return false,
            false => self.stop_policy.max_loss(&UrgentStep {
                estimate_ms: spec.estimate_ms,
                resources: spec.resources,
                tasks: demand.count as u64,
                is_in_time: !is_too_late(job, now.since(job.accepted_at) + self.limits.stop),
                spent: job.stops_for.get(&key).copied().unwrap_or_default(),
            }),
        };
        let preemptible = match pass.preemptible.take() {
            Some(preemptible) => preemptible,
            None => self.preemptible_runs(now, &pass.capacity, pending.is_guaranteed),
        };
        let preemptible = pass.preemptible.insert(preemptible);
        let rights = StopRights {
            max_loss,
            is_guaranteed: pending.is_guaranteed,
        };
        let Some(selection) = preemptible.select(&pass.capacity, &demand, rights) else {
            return false;
        };
        let until = now.plus(self.limits.stop + RECLAIM_MARGIN);
        let needs_guarantee = |at: &usize| preemptible.preemptions[*at].needs_guarantee;
        if selection.stops.iter().any(needs_guarantee) {
            self.lend(until, &pending.step_id(), &pass.capacity, &selection.chosen);
        }
        self.count_stops_for(pending, selection.loss);
        for at in selection.stops {
            preemptible.stopped.insert(at);
            let preemption = &preemptible.preemptions[at];
            self.count_stop_of(&preemption.tasks[0]);
            for (at, freed) in &preemption.freed {
                pass.capacity.free_later[*at].add(freed);
            }
            for task in &preemption.tasks {
                let why = &preemption.explanation;
                let reason = format!("room for urgent job {}{why}", pending.job);
                self.record_decision(DecisionKind::Stop, task, None, reason);
                self.stop_run(task);
            }
        }
        pass.capacity.allocate(&selection.chosen, &resources);
        for &at in &selection.chosen {
            pass.capacity.workers[at].held_for = Some(pending.step_id());
        }
        let agent = |at: &usize| pass.capacity.workers[*at].agent.clone();
        let reclaim = Reclaim {
            agents: selection.chosen.iter().map(agent).collect(),
            until,
        };
        self.reclaims.insert(pending.step_id(), reclaim);
        true
    }

    /// Counts a selection of runs to stop for an urgent step.
    fn count_stops_for(&mut self, pending: &PendingStep, loss: u64) {
        if let Some(job) = self.jobs.get_mut(&pending.job) {
            let key = (pending.occurrence, pending.step);
            let spent = job.stops_for.entry(key).or_default();
            spent.rounds = spent.rounds.saturating_add(1);
            spent.loss = spent.loss.saturating_add(loss);
        }
    }

    /// Counts a stop of a run; that of a gang counts at its first member.
    fn count_stop_of(&mut self, task: &TaskId) {
        if let Some(job) = self.jobs.get_mut(&task.job) {
            let stops = job.stops_of.entry(task.clone()).or_default();
            *stops = stops.saturating_add(1);
        }
    }

    /// Holds the workers that urgent steps wait for, which no other step may use; drops
    /// those of steps that no longer wait and those of workers that have left.
    pub(super) fn hold_reclaimed(
        &mut self,
        now: Uptime,
        capacity: &mut Capacity,
        waiting: &BTreeSet<StepId>,
    ) {
        self.reclaims.retain(|step, reclaim| {
            let agents = reclaim.agents.iter();
            let positions: Option<Vec<usize>> =
                agents.map(|agent| capacity.position(agent)).collect();
            let Some(positions) = positions else {
                return false;
            };
            if now >= reclaim.until || !waiting.contains(step) {
                return false;
            }
            for at in positions {
                capacity.workers[at].held_for = Some(step.clone());
            }
            true
        });
    }

    /// Allocates the workers that a step waits for; returns whether there are any.
    fn allocate_reclaimed(
        &self,
        capacity: &mut Capacity,
        pending: &PendingStep,
        task: &Resources,
    ) -> bool {
        let Some(reclaim) = self.reclaims.get(&pending.step_id()) else {
            return false;
        };
        let agents = reclaim.agents.iter();
        let chosen: Vec<usize> = agents
            .filter_map(|agent| capacity.position(agent))
            .collect();
        capacity.allocate(&chosen, task);
        true
    }

    /// Returns how much longer an urgent step may wait before runs are stopped for it.
    fn max_reclaim_wait(&self, pending: &PendingStep) -> Duration {
        let spec = &self.jobs[&pending.job].row.spec;
        let slack = spec.objective_ms().saturating_sub(spec.critical_path_ms());
        let bound = self
            .limits
            .reclaim
            .saturating_sub(self.limits.stop + RECLAIM_MARGIN);
        let max_wait = Duration::from_millis(slack / 2).min(bound);
        max_wait.saturating_sub(pending.waited)
    }

    /// Returns the runs on the workers of a pass that may be stopped for urgent steps; those
    /// that need a guarantee only if the first of these steps has one, since the steps
    /// within guarantees come first.
    fn preemptible_runs(
        &self,
        now: Uptime,
        capacity: &Capacity,
        is_guaranteed: bool,
    ) -> Preemptible {
        let mut preemptible = Preemptible {
            by_worker: vec![Vec::new(); capacity.workers.len()],
            limits: match is_guaranteed {
                true => self.stop_limits(),
                false => StopLimits::new(),
            },
            ..Preemptible::default()
        };
        let mut last: Option<&TaskId> = None;
        for (id, run) in &self.runs {
            let job = &self.jobs[&id.job];
            let spec = &job.row.spec.steps[id.step as usize];
            let needs_guarantee = job.row.spec.priority == 0 || spec.long_running;
            if run.is_stopping || needs_guarantee && !is_guaranteed {
                continue;
            }
            // The members of a gang follow each other; the first one stands for all.
            let is_member = |other: &TaskId| {
                spec.gang
                    && other.job == id.job
                    && other.occurrence == id.occurrence
                    && other.step == id.step
            };
            if last.is_some_and(is_member) {
                continue;
            }
            last = Some(id);
            let tasks = gang_members(job, id);
            let place = |task: &TaskId| capacity.position(&self.placement(task)?.agent);
            let freed: SmallVec<[(usize, Resources); 4]> = tasks
                .iter()
                .filter_map(|task| Some((place(task)?, spec.counted_resources())))
                .collect();
            if freed.is_empty() {
                continue;
            }
            let worked = now.since(run.active_since.unwrap_or(now));
            let victim = Victim {
                priority: job.row.spec.priority,
                estimate_ms: spec.estimate_ms,
                spare: spare_time(job, now.since(job.accepted_at), worked),
                former_stops: job.stops_of.get(&tasks[0]).copied().unwrap_or(0),
                worked,
                has_checkpoints: spec.checkpoints,
                is_lasting: spec.long_running,
                resources: spec.resources,
                members: tasks.len() as u64,
            };
            let limit = stop_limit(job, spec, id);
            let used = match limit {
                Some(StopLimit::Team(_)) => spec.resources.accelerators,
                Some(StopLimit::Step(_)) | None => 1,
            };
            let used = used.saturating_mul(tasks.len() as u32);
            let workers: BTreeSet<usize> = freed.iter().map(|(at, _)| *at).collect();
            for at in workers {
                preemptible.by_worker[at].push(preemptible.preemptions.len());
            }
            preemptible.preemptions.push(Preemption {
                loss: self.stop_policy.loss(&victim),
                rank: self.stop_policy.rank(&victim),
                is_open_to_all: self.stop_policy.may_stop(&victim),
                explanation: self.stop_policy.explain(&victim),
                priority: job.row.spec.priority,
                tasks,
                freed,
                needs_guarantee,
                limit: limit.map(|limit| (limit, used)),
            });
        }
        let preemptions = &preemptible.preemptions;
        for stops in &mut preemptible.by_worker {
            stops.sort_by_key(|at| preemptions[*at].rank);
        }
        preemptible
    }
}

impl Preemptible {
    /// Finds workers and the least costly runs to stop there, in a single rack if the
    /// step prefers one.
    fn select(
        &self,
        capacity: &Capacity,
        demand: &Demand<'_>,
        rights: StopRights,
    ) -> Option<Selection> {
        let racks = demand.racks(capacity).unwrap_or_default();
        let mut best: Option<Selection> = None;
        for rack in racks.into_iter() {
            let max_loss = best.as_ref().map_or(rights.max_loss, |best| best.loss);
            let rights = StopRights { max_loss, ..rights };
            let found = self.select_in(capacity, demand, Some(rack), rights);
            best = found.or(best);
        }
        best.or_else(|| self.select_in(capacity, demand, None, rights))
    }

    /// Finds workers in a rack, or anywhere, with a loss below the maximum.
    fn select_in(
        &self,
        capacity: &Capacity,
        demand: &Demand<'_>,
        rack: Option<usize>,
        rights: StopRights,
    ) -> Option<Selection> {
        let resources = demand.step.counted_resources();
        let mut free = capacity.free_later.clone();
        let mut selection = Selection {
            loss: 0,
            chosen: Vec::with_capacity(demand.count),
            stops: Vec::new(),
        };
        let positions = capacity.positions(rack).iter().copied();
        let eligible: Vec<usize> = positions
            .filter(|at| demand.is_eligible(&capacity.workers[*at]))
            .collect();
        for _ in 0..demand.count {
            let has_place = |at: &usize| {
                let agent = &capacity.workers[*at].agent;
                let chosen = selection.chosen.iter().filter(|it| *it == at).count();
                let placed = demand.placed.get(agent).copied().unwrap_or(0) as usize;
                let max = demand.step.max_per_worker;
                max.is_none_or(|max| placed + chosen < max as usize)
            };
            let options = eligible.iter().copied().filter(has_place);
            let options = options.filter_map(|at| {
                let stops = self.cheapest_stops(at, &free[at], &resources, &selection, rights)?;
                let loss: u64 = stops.iter().map(|stop| self.preemptions[*stop].loss).sum();
                let stops_urgent = stops
                    .iter()
                    .any(|stop| self.preemptions[*stop].priority == 0);
                let cost = demand.cost(&capacity.workers[at], &free[at]);
                Some(((stops_urgent, loss, cost, at), stops))
            });
            let ((_, loss, _, at), stops) = options.min_by_key(|(rank, _)| *rank)?;
            selection.loss = selection.loss.saturating_add(loss);
            if selection.loss >= rights.max_loss {
                return None;
            }
            for stop in stops {
                for (at, freed) in &self.preemptions[stop].freed {
                    free[*at].add(freed);
                }
                selection.stops.push(stop);
            }
            free[at].subtract(&resources);
            selection.chosen.push(at);
        }
        Some(selection)
    }

    /// Returns the stops after which a worker with `free` resources has room for a
    /// task, beside those that are selected already.
    fn cheapest_stops(
        &self,
        at: usize,
        free: &Resources,
        task: &Resources,
        selection: &Selection,
        rights: StopRights,
    ) -> Option<SmallVec<[usize; 8]>> {
        let mut stops: SmallVec<[usize; 8]> = SmallVec::new();
        let mut free = *free;
        let freed_by = |stop: usize| {
            let mut resources = Resources::default();
            let here = self.preemptions[stop].freed.iter();
            here.filter(|(worker, _)| *worker == at)
                .for_each(|(_, freed)| resources.add(freed));
            resources
        };
        for &stop in &self.by_worker[at] {
            if free.can_fit(task) {
                break;
            }
            let is_taken = self.stopped.contains(&stop) || selection.stops.contains(&stop);
            if !is_taken && self.may_stop(stop, &selection.stops, &stops, rights) {
                free.add(&freed_by(stop));
                stops.push(stop);
            }
        }
        if !free.can_fit(task) {
            return None;
        }
        // Stops that turn out not to be needed are dropped, the most costly ones first.
        for index in (0..stops.len()).rev() {
            let mut without = free;
            without.subtract(&freed_by(stops[index]));
            if without.can_fit(task) {
                free = without;
                stops.remove(index);
            }
        }
        Some(stops)
    }

    /// Returns whether a run may be stopped beside those that are selected.
    fn may_stop(
        &self,
        stop: usize,
        selected: &[usize],
        more: &[usize],
        rights: StopRights,
    ) -> bool {
        let preemption = &self.preemptions[stop];
        let is_reserved = preemption.needs_guarantee || !preemption.is_open_to_all;
        if is_reserved && !rights.is_guaranteed {
            return false;
        }
        let Some((limit, _)) = &preemption.limit else {
            return true;
        };
        let others = self.stopped.iter().chain(selected).chain(more);
        let used: u32 = others
            .filter_map(|other| self.preemptions[*other].limit.as_ref())
            .filter_map(|(other, used)| (other == limit).then_some(*used))
            .sum();
        self.limits.get(limit).is_some_and(|max| used < *max)
    }
}

/// Finds capacity for a step without a stop, in a single rack if it prefers one;
/// `free` are the resources that become free before the step would be late.
fn find_without_preemption(
    capacity: &Capacity,
    free: &[Resources],
    demand: &Demand<'_>,
) -> Option<Vec<usize>> {
    match demand.racks(capacity) {
        Some(racks) => racks
            .into_iter()
            .find_map(|rack| demand.fit(capacity, free, Some(rack), demand.count)),
        None => demand.fit(capacity, free, None, demand.count),
    }
}
