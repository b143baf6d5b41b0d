//! Preemption: which runs are stopped for urgent jobs.

use std::time::Duration;

use cumindeck_types::{JobId, Uptime};

use super::fit::{Candidate, Demand, Horizon, allocate};
use super::plan::{PendingStep, gang_members};
use super::{DecisionKind, Scheduler, TaskId};

/// Processors that count as much as an accelerator when lost work is compared.
const ACCELERATOR_CPU_MILLIS: u64 = 8_000;

/// Work lost by a run with checkpoints: half of the usual time between two of them.
const CHECKPOINT_LOSS: Duration = Duration::from_millis(500);

/// Duration of a reclaim beside the stop: the decision, its record and the starts.
const RECLAIM_MARGIN: Duration = Duration::from_millis(1_200);

/// Maximum work of a run that may be lost for urgent jobs beyond the guarantee.
const MAX_LOSS_BEYOND_GUARANTEE: Duration = Duration::from_millis(600);

/// Cost of any stop as work in milliseconds: the end of the run and its next start.
///
/// Without it the stop of a run that has just started would cost nothing.
const RESTART_COST_MS: u64 = 300;

/// A run or a gang that can be stopped for an urgent job.
struct Preemption {
    tasks: Vec<TaskId>,
    priority: u32,
    /// Work that is lost, in processor-milliseconds, weighted by resources.
    loss: u64,
}

impl Scheduler {
    /// Frees resources for an urgent step; returns whether they are free now or
    /// after the stops. Only a step within its team's guarantee stops any less
    /// urgent run.
    pub(super) fn reclaim(
        &mut self,
        now: Uptime,
        candidates: &mut [Candidate],
        pending: &PendingStep,
    ) -> bool {
        let job = &self.jobs[&pending.job];
        if job.row.spec.priority != 0 {
            return false;
        }
        // Beyond the guarantee, urgent work stops only runs that lose little.
        let max_loss = match self.is_guaranteed(&pending.job) {
            true => Duration::MAX,
            false => MAX_LOSS_BEYOND_GUARANTEE,
        };
        let spec = job.row.spec.steps[pending.step as usize].clone();
        let service = job.row.spec.service.clone();
        let mut pending = pending.clone();
        let is_not_running = |index: &u32| {
            let task = TaskId {
                job: pending.job.clone(),
                occurrence: pending.occurrence,
                step: pending.step,
                index: *index,
            };
            !self.runs.contains_key(&task)
        };
        let tasks: Vec<u32> = pending
            .tasks
            .iter()
            .copied()
            .filter(is_not_running)
            .collect();
        pending.tasks = tasks;
        let demand = self.demand(now, &pending, &spec, &service);
        let max_wait = self.max_reclaim_wait(&pending);
        if let Some(chosen) = self.find_without_preemption(candidates, &demand, max_wait) {
            allocate(candidates, &chosen, &spec.counted_resources());
            return true;
        }
        let Some((chosen, preemptions)) =
            self.find_with_preemption(now, candidates, &demand, max_loss)
        else {
            return false;
        };
        allocate(candidates, &chosen, &spec.counted_resources());
        for task in preemptions
            .into_iter()
            .flat_map(|preemption| preemption.tasks)
        {
            let reason = format!("room for urgent job {}", pending.job);
            self.record_decision(DecisionKind::Stop, &task, None, reason);
            self.stop_run(&task);
        }
        true
    }

    /// Finds capacity that becomes free without a stop before the step would be late.
    fn find_without_preemption(
        &self,
        candidates: &[Candidate],
        demand: &Demand<'_>,
        max_wait: Duration,
    ) -> Option<Vec<usize>> {
        let horizon = Horizon::Within(max_wait);
        match demand.racks(candidates) {
            Some(racks) => racks
                .iter()
                .find_map(|rack| demand.fit(candidates, horizon, Some(rack), demand.count)),
            None => demand.fit(candidates, horizon, None, demand.count),
        }
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

    /// Finds workers and the least costly runs to stop there, in a single rack if
    /// the step prefers one.
    fn find_with_preemption(
        &self,
        now: Uptime,
        candidates: &[Candidate],
        demand: &Demand<'_>,
        max_loss: Duration,
    ) -> Option<(Vec<usize>, Vec<Preemption>)> {
        let racks = demand.racks(candidates).unwrap_or_default();
        let confined = racks.iter().map(|rack| Some(rack.as_str()));
        let mut best: Option<(u64, Vec<usize>, Vec<Preemption>)> = None;
        for rack in confined.chain([None]) {
            if rack.is_none() && best.is_some() {
                break;
            }
            let Some((chosen, preemptions)) =
                self.find_in_rack(now, candidates, demand, rack, max_loss)
            else {
                continue;
            };
            let loss = preemptions.iter().map(|preemption| preemption.loss).sum();
            if best.as_ref().is_none_or(|(least, ..)| loss < *least) {
                best = Some((loss, chosen, preemptions));
            }
        }
        best.map(|(_, chosen, preemptions)| (chosen, preemptions))
    }

    fn find_in_rack(
        &self,
        now: Uptime,
        candidates: &[Candidate],
        demand: &Demand<'_>,
        rack: Option<&str>,
        max_loss: Duration,
    ) -> Option<(Vec<usize>, Vec<Preemption>)> {
        let mut candidates = candidates.to_vec();
        let mut preemptions = Vec::new();
        if let Some(chosen) = demand.fit(&candidates, Horizon::AfterStops, rack, demand.count) {
            return Some((chosen, preemptions));
        }
        let mut preemptible = self.preemptible_runs(now, &candidates, rack, max_loss);
        preemptible
            .sort_by_key(|preemption| (std::cmp::Reverse(preemption.priority), preemption.loss));
        for preemption in preemptible {
            self.add_resources(&mut candidates, &preemption);
            preemptions.push(preemption);
            if demand
                .fit(&candidates, Horizon::AfterStops, rack, demand.count)
                .is_some()
            {
                break;
            }
        }
        demand.fit(&candidates, Horizon::AfterStops, rack, demand.count)?;
        // Preemptions that turn out not to be needed are dropped.
        let mut needed = Vec::new();
        for at in (0..preemptions.len()).rev() {
            let mut without = candidates.clone();
            self.subtract_resources(&mut without, &preemptions[at]);
            match demand.fit(&without, Horizon::AfterStops, rack, demand.count) {
                Some(_) => candidates = without,
                None => needed.push(at),
            }
        }
        let chosen = demand.fit(&candidates, Horizon::AfterStops, rack, demand.count)?;
        let mut at = 0;
        preemptions.retain(|_| {
            at += 1;
            needed.contains(&(at - 1))
        });
        Some((chosen, preemptions))
    }

    /// Returns the less urgent runs on the given workers that lose at most `max_loss`.
    fn preemptible_runs(
        &self,
        now: Uptime,
        candidates: &[Candidate],
        rack: Option<&str>,
        max_loss: Duration,
    ) -> Vec<Preemption> {
        let mut preemptions: Vec<Preemption> = Vec::new();
        for (id, run) in &self.runs {
            let job = &self.jobs[&id.job];
            let spec = &job.row.spec.steps[id.step as usize];
            if job.row.spec.priority == 0 || spec.long_running || run.is_stopping {
                continue;
            }
            let is_candidate = self.placement(id).is_some_and(|placement| {
                let is_here = |candidate: &&Candidate| candidate.agent == placement.agent;
                candidates.iter().find(is_here).is_some_and(|candidate| {
                    rack.is_none_or(|rack| candidate.incarnation.rack() == rack)
                })
            });
            if !is_candidate
                || preemptions
                    .iter()
                    .any(|preemption| preemption.tasks.contains(id))
            {
                continue;
            }
            let tasks = gang_members(job, id);
            let mut worked = now.since(run.active_since.unwrap_or(now));
            if spec.checkpoints {
                worked = worked.min(CHECKPOINT_LOSS);
            }
            if worked > max_loss {
                continue;
            }
            let weight = spec.resources.cpu_millis
                + u64::from(spec.resources.accelerators) * ACCELERATOR_CPU_MILLIS;
            let worked_ms = u64::try_from(worked.as_millis()).unwrap_or(u64::MAX);
            preemptions.push(Preemption {
                loss: (worked_ms + RESTART_COST_MS) * weight * tasks.len() as u64,
                priority: job.row.spec.priority,
                tasks,
            });
        }
        preemptions
    }

    fn add_resources(&self, candidates: &mut [Candidate], preemption: &Preemption) {
        for task in &preemption.tasks {
            self.update_worker(candidates, task, |it, used| it.free_later.add(used));
        }
    }

    fn subtract_resources(&self, candidates: &mut [Candidate], preemption: &Preemption) {
        for task in &preemption.tasks {
            self.update_worker(candidates, task, |it, used| it.free_later.subtract(used));
        }
    }

    fn update_worker(
        &self,
        candidates: &mut [Candidate],
        task: &TaskId,
        change: fn(&mut Candidate, &crate::Resources),
    ) {
        let Some(placement) = self.placement(task) else {
            return;
        };
        let resources = self.jobs[&task.job].row.spec.steps[task.step as usize].counted_resources();
        if let Some(candidate) = candidates
            .iter_mut()
            .find(|candidate| candidate.agent == placement.agent)
        {
            change(candidate, &resources);
        }
    }

    /// Returns whether a team's unfinished urgent jobs fit its guarantee.
    pub(super) fn is_guaranteed(&self, id: &JobId) -> bool {
        let Some(team) = &self.jobs[id].row.spec.team else {
            return false;
        };
        let needed: u32 = self
            .open
            .iter()
            .map(|id| &self.jobs[id])
            .filter(|job| job.row.spec.team.as_ref() == Some(team))
            .filter(|job| job.row.spec.priority == 0 && !job.state().is_final())
            .map(|job| {
                let steps = job.row.spec.steps.iter();
                steps
                    .map(|step| step.tasks * step.resources.accelerators)
                    .max()
                    .unwrap_or(0)
            })
            .sum();
        needed <= self.catalog.guaranteed(team)
    }
}
