//! Preemption of a team's own gangs for its urgent jobs.

use std::collections::BTreeSet;

use crate::event::{Effect, StopReason};
use crate::job::{JobKey, Phase, TaskAssignment};
use crate::machine::Placement;
use crate::policy::{PlacementRequest, Plan, PreemptedGangs};
use crate::state::State;
use crate::team::{CellRef, Place};

/// Chooses the gangs of the team to stop, so that an urgent job fits within the
/// guarantee: those with the least lost work, and no more than needed.
pub(crate) fn preempted_gangs(
    request: PlacementRequest<'_>,
    state: &State,
    plan: impl Fn(PlacementRequest<'_>, &State) -> Option<Plan>,
) -> PreemptedGangs {
    let job = request.job;
    let gangs = non_urgent_gangs(request, state);
    let Some(team) = state.teams.get(&job.spec.team) else {
        return PreemptedGangs::default();
    };
    if gangs.is_empty() || team.capacity(job.class, state.cluster.sizes) < job.spec.gang.tasks {
        return PreemptedGangs::default();
    }
    let plan_without = |gangs: &[JobKey]| {
        let mut other = state.clone();
        other.assume_stopped(gangs);
        plan(request, &other)
    };
    if plan_without(&gangs).is_none() {
        return PreemptedGangs::default();
    }
    // Stopping more gangs frees more capacity, so the smallest number of gangs from the
    // front of the list is found by bisection.
    let (mut too_few, mut enough) = (0, gangs.len());
    while enough - too_few > 1 {
        let middle = usize::midpoint(too_few, enough);
        match plan_without(&gangs[..middle]) {
            Some(_) => enough = middle,
            None => too_few = middle,
        }
    }
    let mut chosen = gangs[..enough].to_vec();
    // Spares gangs that were chosen only because they precede a larger one that suffices.
    if let Some(plan) = plan_without(&chosen) {
        let needed: Vec<_> = chosen
            .iter()
            .copied()
            .filter(|key| conflicts_with(state, *key, &plan))
            .collect();
        if plan_without(&needed).is_some() {
            chosen = needed;
        }
    }
    PreemptedGangs(chosen)
}

/// Returns the team's other, non-urgent gangs within the guarantee, those with the
/// least lost work first.
fn non_urgent_gangs(request: PlacementRequest<'_>, state: &State) -> Vec<JobKey> {
    let mut gangs: Vec<_> = state
        .jobs
        .iter()
        .filter(|(_, job)| job.spec.team == request.job.spec.team && !job.spec.is_urgent)
        .filter_map(|(key, job)| {
            let run = job.run.as_ref().filter(|run| !run.is_borrowed)?;
            let lost = match run.phase {
                // At least 1, so that a gang that is stopping already costs less.
                Phase::Started => 1 + run.lost_work(state.now),
                _ => 0,
            };
            Some((lost, *key))
        })
        .collect();
    gangs.sort_unstable();
    gangs.into_iter().map(|(_, key)| key).collect()
}

/// Returns whether a gang uses a cell or accelerators that the plan needs.
fn conflicts_with(state: &State, key: JobKey, plan: &Plan) -> bool {
    let Some(run) = state.jobs.get(&key).and_then(|job| job.run.as_ref()) else {
        return false;
    };
    let bound_cells: BTreeSet<CellRef> = plan.bindings.iter().map(|(cell, _)| *cell).collect();
    let bound = plan.bindings.iter().map(|(_, place)| *place);
    let used = plan.tasks.iter().map(|task| Place {
        worker: task.worker,
        set: task.set,
    });
    let taken: Vec<Place> = bound.chain(used).collect();
    run.tasks.iter().any(|task| {
        let overlaps = |place: &Place| place.worker == task.worker && place.set.overlaps(task.set);
        task.cell.is_some_and(|cell| bound_cells.contains(&cell)) || taken.iter().any(overlaps)
    })
}

impl State {
    /// Removes the gangs from their teams' guarantees, as if their stop was requested.
    fn assume_stopped(&mut self, gangs: &[JobKey]) {
        for key in gangs {
            self.demote_to_borrowed(*key);
            let run = self.jobs.get_mut(key).and_then(|job| job.run.as_mut());
            if let Some(run) = run.filter(|run| run.phase == Phase::Started) {
                run.phase = Phase::Stopping;
            }
        }
        for team in self.teams.values_mut() {
            team.release_idle(&mut self.cluster);
        }
        self.count_demand();
    }

    /// Turns a gang within its team's guarantee into a borrowed one.
    fn demote_to_borrowed(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get_mut(&key) else {
            return;
        };
        let accelerators = job.accelerators();
        let Some(run) = job.run.as_mut().filter(|run| !run.is_borrowed) else {
            return;
        };
        run.is_borrowed = true;
        let mut left: Vec<TaskAssignment> = Vec::new();
        for (task, ended) in run.tasks.iter_mut().zip(&run.ended) {
            task.cell = None;
            if ended.is_none() {
                left.push(*task);
            }
        }
        for task in left {
            self.cluster
                .update(task.worker, |w| w.guaranteed = w.guaranteed.minus(task.set));
        }
        if let Some(team) = self.teams.get_mut(&job.spec.team) {
            team.used_guaranteed -= accelerators;
        }
    }
}

impl Placement {
    /// Preempts gangs of the team of an urgent job that does not fit, and returns the
    /// job's new plan.
    pub(crate) fn preempt_team_gangs(
        &mut self,
        key: JobKey,
        effects: &mut Vec<Effect>,
    ) -> Option<Plan> {
        let job = self.state.jobs.get(&key)?;
        let PreemptedGangs(gangs) = self
            .policy
            .preempt(PlacementRequest { key, job }, &self.state);
        if gangs.is_empty() {
            return None;
        }
        let team = job.spec.team.clone();
        for gang in gangs {
            // A gang in `reclaiming` still waits for accelerators of other gangs: it has
            // not started, so it has no state to checkpoint.
            if self.reclaiming.contains(&gang) {
                self.cancel_plan(gang);
                continue;
            }
            self.state.demote_to_borrowed(gang);
            self.order_checkpoint(gang, StopReason::Reclaim, effects);
        }
        self.change_team(&team, |team, cluster| team.release_idle(cluster));
        let job = self.state.jobs.get(&key)?;
        self.policy.plan(PlacementRequest { key, job }, &self.state)
    }
}
