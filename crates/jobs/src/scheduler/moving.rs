//! Runs that are started elsewhere: those that stand still, those on slow
//! workers, and those whose worker leaves before they end.

use std::collections::BTreeMap;
use std::time::Duration;

use cumindeck_types::{AgentId, JobId, Uptime};

use super::plan::{CONTACT, run_unit};
use super::{DecisionKind, Scheduler, TaskId};

/// Least time without progress after which a run counts as standing still.
///
/// A change of its percentage reaches the scheduler after a look at the worker
/// (0.4 s) and a report (0.6 s).
const MIN_STANDSTILL: Duration = Duration::from_millis(1_600);

/// Time without progress after which any run counts as standing still.
///
/// A task at a sixth of the usual speed still advances by a percent in this time
/// if it takes up to 50 s.
const MAX_STANDSTILL: Duration = Duration::from_millis(3_000);

/// Share of a task's expected duration without progress that counts as standing still.
const STANDSTILL_SHARE: u32 = 4;

/// Least work after which the speed of a run can be told.
const MIN_WORKED: Duration = Duration::from_millis(1_500);

/// Percentage of its peers' speed under which a run is slow; tasks of a step
/// differ by about a third.
const SLOW_AMONG_PEERS: u32 = 35;

/// Peers from which a usual speed can be told.
///
/// Estimates are wrong by up to a factor of seven and tell nothing about a worker.
const MIN_PEERS: usize = 2;

/// Moves of a step's runs away from slow workers; a job may be slow itself.
const MAX_MOVES: u32 = 2;

/// Time that a move takes beside the stop: decisions, their record and the start.
const MOVE_TIME: Duration = Duration::from_millis(500);

/// Time before a worker leaves at which runs with checkpoints are stopped, beside the stop.
const LEAVE_MARGIN: Duration = Duration::from_millis(300);

/// Time that a run needs for a percent, as reports tell.
#[derive(Debug, Clone)]
struct Observed {
    task: TaskId,
    agent: AgentId,
    worked: Duration,
    percent: u32,
}

impl Observed {
    fn per_percent(&self) -> Duration {
        self.worked / self.percent.max(1)
    }
}

impl Scheduler {
    /// Stops runs that should start elsewhere.
    pub(super) fn move_runs(&mut self, now: Uptime) {
        self.stop_standing_runs(now);
        self.stop_slow_runs(now);
        self.stop_runs_of_leaving_workers(now);
    }

    /// Stops runs that make no progress.
    fn stop_standing_runs(&mut self, now: Uptime) {
        let is_standing = |(task, run): &(&TaskId, &super::Run)| {
            // A member of a gang that is through waits for the others.
            if run.is_stopping || run.percent >= 100 || !self.can_move(task) {
                return false;
            }
            let Some(begun) = self.begun(task) else {
                return false;
            };
            let Some(seen) = self.last_report(now, task) else {
                return false;
            };
            let still = seen.since(run.percent_changed.max(begun));
            let limit = self.expected(task) / STANDSTILL_SHARE;
            still > limit.clamp(MIN_STANDSTILL, MAX_STANDSTILL)
        };
        let standing = self.runs.iter().filter(is_standing);
        let standing: Vec<TaskId> = standing.map(|(task, _)| task.clone()).collect();
        for task in standing {
            self.blame(now, &task);
            let percent = self.runs.get(&task).map_or(0, |run| run.percent);
            let reason = format!(
                "stands still at {percent} %, expected to take {:?}",
                self.expected(&task)
            );
            self.move_unit(&task, reason);
        }
    }

    /// Marks workers on which runs are slow, and moves runs that end sooner elsewhere.
    fn stop_slow_runs(&mut self, now: Uptime) {
        for peers in self.observed(now).into_values() {
            for run in &peers {
                let usual = usual_per_percent(run, &peers);
                let is_slow = |usual: Duration| usual * 100 < run.per_percent() * SLOW_AMONG_PEERS;
                if let Some(usual) = usual.filter(|usual| is_slow(*usual)) {
                    self.on_slow_run(now, run, usual);
                }
            }
        }
    }

    /// Takes note of a slow run; peers need `usual` for a percent.
    fn on_slow_run(&mut self, now: Uptime, observed: &Observed, usual: Duration) {
        let task = &observed.task;
        let Some(run) = self.runs.get_mut(task) else {
            return;
        };
        if run.is_stopping {
            return;
        }
        if !std::mem::replace(&mut run.is_slow, true) {
            self.blame(now, task);
        }
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let saved = match job.row.spec.steps[task.step as usize].checkpoints {
            true => observed.percent,
            false => 0,
        };
        let left = observed.per_percent() * (100 - observed.percent);
        let elsewhere = usual * (100 - saved) + self.limits.stop + MOVE_TIME;
        let moves = job.moves.entry((task.occurrence, task.step)).or_default();
        if elsewhere * 3 / 2 < left && *moves < MAX_MOVES {
            *moves += 1;
            let reason = format!(
                "slow: {} % in {:?}, others need {usual:?} for a percent",
                observed.percent, observed.worked
            );
            self.move_unit(task, reason);
        }
    }

    /// Stops runs that can't end before their worker leaves: those with
    /// checkpoints as late as possible, the others at once.
    fn stop_runs_of_leaving_workers(&mut self, now: Uptime) {
        let mut doomed = Vec::new();
        for (task, run) in &self.runs {
            let worker = self.placement(task).map(|it| &it.agent);
            let worker = worker.and_then(|agent| self.workers.get(agent));
            let Some(leaves) = worker.and_then(|worker| worker.leaves) else {
                continue;
            };
            if run.is_stopping || run.active.is_none() {
                continue;
            }
            let spec = &self.jobs[&task.job].row.spec.steps[task.step as usize];
            let rest = self.expected(task) * (100 - run.percent.min(100)) / 100;
            let left = run.time_left(now).unwrap_or(rest);
            let is_over = spec.long_running || now.plus(left) > leaves;
            let stop_at = leaves
                .as_duration()
                .saturating_sub(self.limits.stop + LEAVE_MARGIN);
            if is_over && (!spec.checkpoints || now.as_duration() >= stop_at) {
                doomed.push(task.clone());
            }
        }
        for task in doomed {
            self.move_unit(&task, "its worker leaves before its end".to_owned());
        }
    }

    /// Returns the progress of the runs that can be moved, by step.
    fn observed(&self, now: Uptime) -> BTreeMap<(JobId, u32, u32), Vec<Observed>> {
        let mut steps: BTreeMap<_, Vec<Observed>> = BTreeMap::new();
        for (task, run) in &self.runs {
            let Some(begun) = self.begun(task).filter(|_| self.can_move(task)) else {
                continue;
            };
            let Some(seen) = self.last_report(now, task) else {
                continue;
            };
            // A member of a gang that is through waits for the others.
            let is_over = run.is_stopping || run.percent >= 100;
            let worked = seen.since(begun);
            if worked < MIN_WORKED || is_over {
                continue;
            }
            let Some(placement) = self.placement(task) else {
                continue;
            };
            let key = (task.job.clone(), task.occurrence, task.step);
            steps.entry(key).or_default().push(Observed {
                task: task.clone(),
                agent: placement.agent.clone(),
                worked,
                percent: run.percent,
            });
        }
        steps
    }

    /// Returns when a run began to work: for a gang, when its last member was there.
    fn begun(&self, task: &TaskId) -> Option<Uptime> {
        let job = &self.jobs[&task.job];
        if !job.row.spec.steps[task.step as usize].gang {
            return self.runs.get(task)?.active;
        }
        let mut newest = None;
        for member in run_unit(job, task) {
            let active = self.runs.get(&member)?.active?;
            newest = newest.max(Some(active));
        }
        newest
    }

    /// Returns when the agent of a run last reported, if that was lately.
    fn last_report(&self, now: Uptime, task: &TaskId) -> Option<Uptime> {
        let heard = self.workers.get(&self.placement(task)?.agent)?.heard;
        (now.since(heard) < CONTACT).then_some(heard)
    }

    fn can_move(&self, task: &TaskId) -> bool {
        let spec = &self.jobs[&task.job].row.spec.steps[task.step as usize];
        !spec.long_running && !spec.fills
    }

    /// Returns the expected duration of a task at the place where it runs.
    fn expected(&self, task: &TaskId) -> Duration {
        let job = &self.jobs[&task.job];
        let spec = &job.row.spec.steps[task.step as usize];
        let usual = Duration::from_millis(spec.estimate_ms);
        let rack = |task: &TaskId| {
            let worker = self.workers.get(&self.placement(task)?.agent)?;
            worker.life.as_ref().map(|life| life.rack())
        };
        let own = rack(task);
        let is_split =
            spec.same_rack && run_unit(job, task).iter().any(|member| rack(member) != own);
        let is_away = spec.data_rack.is_some() && spec.data_rack.as_deref() != own;
        match is_split || is_away {
            true => usual * self.limits.remote_percent / 100,
            false => usual,
        }
    }

    /// Counts a run against its worker.
    fn blame(&mut self, now: Uptime, task: &TaskId) {
        if let Some(agent) = self.placement(task).map(|it| it.agent.clone()) {
            self.health.on_failure(now, &agent, &task.job);
        }
    }

    /// Stops a run, with its gang, to start it elsewhere.
    fn move_unit(&mut self, task: &TaskId, reason: String) {
        if self.runs.get(task).is_none_or(|run| run.is_stopping) {
            return;
        }
        let agent = self.placement(task).map(|it| it.agent.clone());
        self.note(DecisionKind::Stop, task, agent.as_ref(), reason);
        for member in run_unit(&self.jobs[&task.job], task) {
            self.stop_run(&member);
        }
    }
}

/// Returns the median of what a run's peers on other workers need for a percent,
/// if there are enough.
fn usual_per_percent(run: &Observed, peers: &[Observed]) -> Option<Duration> {
    let others = peers.iter().filter(|peer| peer.agent != run.agent);
    let mut times: Vec<Duration> = others.map(Observed::per_percent).collect();
    times.sort_unstable();
    (times.len() >= MIN_PEERS).then(|| times[times.len() / 2])
}
