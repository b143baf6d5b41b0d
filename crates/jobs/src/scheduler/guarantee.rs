//! Guarantees of teams: who is within its guarantee, and which runs only a guarantee stops.

use std::collections::BTreeMap;
use std::time::Duration;

use cumindeck_types::{JobId, TeamId, Uptime};

use super::capacity::Capacity;
use super::{Job, Scheduler, StepId, TaskId};
use crate::model::StepSpec;

/// Time after the last use of a guarantee for which its workers are left to the team.
///
/// Without it a team that uses its guarantee again and again stops the same runs each
/// time. Tasks that last may be down beside room for them for less than 3 s.
const LOAN_TIME: Duration = Duration::from_millis(2_000);

/// A worker that a team uses within its guarantee and where runs were stopped for it.
#[derive(Debug)]
pub(super) struct Loan {
    team: TeamId,
    until: Uptime,
}

/// Runs that may only be stopped for a guarantee, and only up to a limit.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum StopLimit {
    /// Urgent runs: accelerators that the team uses beyond its guarantee.
    Team(Option<TeamId>),
    /// Tasks of a step that may be unavailable at the same time.
    Step(StepId),
}

/// How much may be stopped of each limit.
pub(super) type StopLimits = BTreeMap<StopLimit, u32>;

impl Scheduler {
    /// Returns whether a team's unfinished urgent jobs fit its guarantee; `urgent` are the
    /// accelerators that they need.
    pub(super) fn is_within_guarantee(&self, urgent: &BTreeMap<TeamId, u32>, id: &JobId) -> bool {
        let Some(team) = &self.jobs[id].row.spec.team else {
            return false;
        };
        urgent.get(team).copied().unwrap_or(0) <= self.catalog.guaranteed(team)
    }

    /// Returns how many accelerators the urgent runs of each team use beyond its guarantee,
    /// and how many tasks of each step with a limit may still become unavailable.
    pub(super) fn stop_limits(&self) -> StopLimits {
        let mut limits = StopLimits::new();
        for (task, run) in self.runs.iter().filter(|(_, run)| !run.is_stopping) {
            let job = &self.jobs[&task.job];
            let spec = &job.row.spec.steps[task.step as usize];
            match stop_limit(job, spec, task) {
                Some(limit @ StopLimit::Team(_)) => {
                    *limits.entry(limit).or_default() += spec.resources.accelerators;
                }
                Some(limit @ StopLimit::Step(_)) => {
                    let at_work = limits.entry(limit).or_default();
                    *at_work += u32::from(run.percent >= 100);
                }
                None => {}
            }
        }
        for (limit, left) in &mut limits {
            let kept = match limit {
                StopLimit::Team(team) => team.as_ref().map_or(0, |it| self.catalog.guaranteed(it)),
                StopLimit::Step(step) => {
                    let spec = &self.jobs[&step.job].row.spec.steps[step.step as usize];
                    let max_unavailable = spec.max_unavailable.unwrap_or(0);
                    spec.tasks.saturating_sub(max_unavailable)
                }
            };
            *left = left.saturating_sub(kept);
        }
        limits
    }

    /// Records that a step within its team's guarantee gets workers where runs were
    /// stopped that only a guarantee stops.
    pub(super) fn lend(&mut self, until: Uptime, step: &StepId, capacity: &Capacity, at: &[usize]) {
        let Some(team) = self.jobs[&step.job].row.spec.team.clone() else {
            return;
        };
        for &at in at {
            let agent = capacity.workers[at].agent.clone();
            let (team, until) = (team.clone(), until.plus(LOAN_TIME));
            self.loans.insert(agent, Loan { team, until });
        }
    }

    /// Marks the workers that are lent to a team; a loan lasts while urgent runs of the
    /// team are there.
    pub(super) fn mark_lent(&mut self, now: Uptime, capacity: &mut Capacity) {
        let (jobs, workers) = (&self.jobs, &self.workers);
        self.loans.retain(|agent, loan| {
            let is_used = |task: &TaskId| {
                let spec = &jobs[&task.job].row.spec;
                spec.priority == 0 && spec.team.as_ref() == Some(&loan.team)
            };
            let worker = workers.get(agent);
            if worker.is_some_and(|worker| worker.placed.tasks().any(is_used)) {
                loan.until = loan.until.max(now.plus(LOAN_TIME));
            }
            if let Some(at) = capacity.position(agent) {
                capacity.workers[at].lent_to = Some(loan.team.clone());
            }
            now < loan.until
        });
    }
}

/// Returns the limit on the stops of a run; `None` if there is none.
pub(super) fn stop_limit(job: &Job, spec: &StepSpec, task: &TaskId) -> Option<StopLimit> {
    if job.row.spec.priority == 0 {
        return Some(StopLimit::Team(job.row.spec.team.clone()));
    }
    let is_limited = spec.long_running && spec.max_unavailable.is_some();
    is_limited.then(|| {
        StopLimit::Step(StepId {
            job: task.job.clone(),
            occurrence: task.occurrence,
            step: task.step,
        })
    })
}

/// Returns the accelerators that the urgent ones of these unfinished jobs need, by team.
pub(super) fn urgent_accelerators<'a>(
    unfinished: impl Iterator<Item = &'a Job>,
) -> BTreeMap<TeamId, u32> {
    let mut needed = BTreeMap::new();
    for spec in unfinished.map(|job| &job.row.spec) {
        let Some(team) = spec.team.as_ref().filter(|_| spec.priority == 0) else {
            continue;
        };
        let needed: &mut u32 = needed.entry(team.clone()).or_default();
        *needed = needed.saturating_add(spec.widest_accelerators());
    }
    needed
}
