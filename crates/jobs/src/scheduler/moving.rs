//! Moves of runs to other workers: runs that stall, runs on slow workers, and
//! runs whose worker leaves before they end.

use std::collections::BTreeMap;
use std::time::Duration;

use cumindeck_types::{AgentId, Uptime};

use super::pending::{MAX_REPORT_AGE, gang_members};
use super::speeds::{USUAL_PERCENT, kind_of};
use super::{DecisionKind, Scheduler, TaskId};
use crate::exchange::WorkKind;

/// Minimum time without progress after which a run counts as stalled.
///
/// A change of its percentage reaches the scheduler after a poll of the worker
/// (0.4 s) and a report (0.6 s).
const MIN_STALL: Duration = Duration::from_millis(1_600);

/// Time without progress of a run after which other workers are preferred to its own;
/// too short to tell a stall from a late report.
const MIN_HESITATION: Duration = Duration::from_millis(1_100);

/// Time without progress after which any run counts as stalled.
///
/// A task at a sixth of the usual speed still advances by a percent in this time
/// if it takes up to 50 s.
const MAX_STALL: Duration = Duration::from_millis(3_000);

/// A run stalls after its expected duration divided by this without progress.
const STALL_DIVISOR: u32 = 4;

/// A run hesitates after its expected duration divided by this without progress.
const HESITATION_DIVISOR: u32 = 20;

/// Minimum time at work after which the speed of a run can be estimated.
const MIN_WORK_TIME: Duration = Duration::from_millis(1_500);

/// Percentage of the median speed of its peers below which a run is slow; tasks
/// of a step differ by about a third.
const SLOW_PERCENT_OF_MEDIAN: u32 = 35;

/// Minimum number of peers for a median speed.
///
/// The estimate of a step can't replace them: it is off by up to a factor of seven.
const MIN_PEERS: usize = 2;

/// Percentage of a run from which its progress shows its speed.
const MIN_PERCENT_FOR_SAMPLE: u32 = 20;

/// Minimum number of other workers with runs of the step: of fewer, most may be slow or fast.
const MIN_WORKERS_FOR_SAMPLE: usize = 4;

/// Time at work after which a run with less progress is a sample as well.
const MIN_TIME_FOR_SAMPLE: Duration = Duration::from_millis(4_000);

/// Maximum number of moves of a step away from slow workers; the job itself may be slow.
const MAX_MOVES: u32 = 2;

/// Duration of a move beside the stop: decision, its record and the start.
const MOVE_OVERHEAD: Duration = Duration::from_millis(500);

/// Time before a worker leaves at which runs with checkpoints are stopped, in
/// addition to the duration of the stop.
const LEAVE_MARGIN: Duration = Duration::from_millis(300);

/// Speed of a run, from its agent's reports.
#[derive(Debug, Clone)]
struct ObservedRun {
    task: TaskId,
    agent: AgentId,
    worked: Duration,
    percent: u32,
    /// Learned speed of the worker.
    speed_percent: u32,
}

impl ObservedRun {
    fn per_percent(&self) -> Duration {
        self.worked / self.percent.max(1)
    }

    /// Returns the time that the run would need for a percent at the usual speed.
    fn usual_per_percent(&self) -> Duration {
        self.per_percent() * self.speed_percent / USUAL_PERCENT
    }
}

impl Scheduler {
    /// Stops the runs that should start on other workers.
    pub(super) fn move_runs(&mut self, now: Uptime) {
        self.mark_stalling_workers(now);
        self.stop_stalled_runs(now);
        self.stop_slow_runs(now);
        self.stop_runs_of_leaving_workers(now);
    }

    /// Marks the workers on which a run has made no progress for some time.
    fn mark_stalling_workers(&mut self, now: Uptime) {
        let is_stalling = |(task, run): &(&TaskId, &super::Run)| {
            // Before its first percent, a gang member may wait for the others.
            if run.is_stopping || run.percent == 0 || run.percent >= 100 {
                return false;
            }
            if now.since(run.percent_changed_at) <= MIN_HESITATION || !self.can_move(task) {
                return false;
            }
            let Some(seen) = self.last_report(now, task) else {
                return false;
            };
            let limit = (self.expected(task) / HESITATION_DIVISOR).max(MIN_HESITATION);
            seen.since(run.percent_changed_at) > limit
        };
        let stalling = self.runs.iter().filter(is_stalling);
        let agents: Vec<AgentId> = stalling
            .filter_map(|(task, _)| Some(self.placement(task)?.agent.clone()))
            .collect();
        for (agent, worker) in &mut self.workers {
            worker.is_stalling = agents.contains(agent);
        }
    }

    /// Stops runs that make no progress.
    fn stop_stalled_runs(&mut self, now: Uptime) {
        let is_stalled = |(task, run): &(&TaskId, &super::Run)| {
            // A gang member at 100 % waits for the others.
            if run.is_stopping || run.percent >= 100 {
                return false;
            }
            // Most runs have advanced recently; the other checks cost more.
            if now.since(run.percent_changed_at) <= MIN_STALL || !self.can_move(task) {
                return false;
            }
            let Some(seen) = self.last_report(now, task) else {
                return false;
            };
            let Some(started) = self.work_started(task) else {
                return false;
            };
            let stalled_for = seen.since(run.percent_changed_at.max(started));
            let limit = self.expected(task) / STALL_DIVISOR;
            stalled_for > limit.clamp(MIN_STALL, MAX_STALL)
        };
        let stalled = self.runs.iter().filter(is_stalled);
        let stalled: Vec<TaskId> = stalled.map(|(task, _)| task.clone()).collect();
        for task in stalled {
            self.attribute_failure(now, &task);
            let percent = self.runs.get(&task).map_or(0, |run| run.percent);
            let reason = format!(
                "stands still at {percent} %, expected to take {:?}",
                self.expected(&task)
            );
            self.move_run(&task, reason);
        }
    }

    /// Records slow runs as failures, and moves those that end sooner elsewhere.
    fn stop_slow_runs(&mut self, now: Uptime) {
        for peers in self.observed(now) {
            self.learn_speeds(&peers);
            for run in &peers {
                let median = median_of(run, &peers, ObservedRun::per_percent);
                let is_slow =
                    |median: Duration| median * 100 < run.per_percent() * SLOW_PERCENT_OF_MEDIAN;
                if let Some(median) = median.filter(|median| is_slow(*median)) {
                    let usual = median_of(run, &peers, ObservedRun::usual_per_percent);
                    self.on_slow_run(now, run, median, usual.unwrap_or(median));
                }
            }
        }
    }

    /// Learns the speeds of workers from the runs of a step.
    fn learn_speeds(&mut self, peers: &[ObservedRun]) {
        let Some(first) = peers.first() else { return };
        let spec = &self.jobs[&first.task.job].row.spec.steps[first.task.step as usize];
        let (kind, estimate) = (kind_of(spec), Duration::from_millis(spec.estimate_ms));
        let is_comparable: Vec<bool> = peers
            .iter()
            .map(|run| {
                let worker = self.workers.get(&run.agent);
                // Tasks with a response target slow their neighbours down, and a task far from
                // its data or its gang is slow anywhere.
                let is_disturbed = worker.is_some_and(|it| it.placed.has_response_target);
                let is_at_usual_place = || self.usual_duration(&run.task) == estimate;
                let is_measurable = self.runs.get(&run.task).is_some_and(|it| it.is_measurable);
                let is_visible =
                    run.percent >= MIN_PERCENT_FOR_SAMPLE || run.worked >= MIN_TIME_FOR_SAMPLE;
                // The place comes last, since it depends on all members of a gang.
                is_measurable && !is_disturbed && is_visible && is_at_usual_place()
            })
            .collect();
        let comparable = peers.iter().zip(is_comparable);
        let comparable: Vec<&ObservedRun> = comparable
            .filter_map(|(run, is)| is.then_some(run))
            .collect();
        let times = comparable
            .iter()
            .map(|run| (&run.agent, run.usual_per_percent()));
        let medians = WorkerMedians::new(times);
        for run in &comparable {
            let Some(usual) = medians.of_others(&run.agent) else {
                continue;
            };
            let own = run.per_percent().as_micros().max(1);
            let percent = usual.as_micros() * u128::from(USUAL_PERCENT) / own;
            let percent = u32::try_from(percent).unwrap_or(u32::MAX);
            self.speeds.insert(&run.agent, kind, &run.task.job, percent);
            if let Some(it) = self.runs.get_mut(&run.task) {
                it.is_measurable = false;
            }
        }
    }

    /// Handles a slow run; `median` is the time that its peers need for a percent, and
    /// `usual_median` what they would need at the usual speed.
    fn on_slow_run(
        &mut self,
        now: Uptime,
        observed: &ObservedRun,
        median: Duration,
        usual_median: Duration,
    ) {
        let task = &observed.task;
        let Some(run) = self.runs.get_mut(task) else {
            return;
        };
        if run.is_stopping {
            return;
        }
        // What a slow worker takes longer speaks against neither the run nor the worker.
        let is_expected = self.speed_policy.uses_speeds()
            && usual_median * 100 >= observed.usual_per_percent() * SLOW_PERCENT_OF_MEDIAN;
        if !is_expected && !std::mem::replace(&mut run.is_slow, true) {
            self.attribute_failure(now, task);
        }
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let saved_percent = match job.row.spec.steps[task.step as usize].checkpoints {
            true => observed.percent,
            false => 0,
        };
        let left = observed.per_percent() * (100 - observed.percent);
        let time_elsewhere = median * (100 - saved_percent) + self.limits.stop + MOVE_OVERHEAD;
        let moves = job.moves.entry((task.occurrence, task.step)).or_default();
        if time_elsewhere * 3 / 2 < left && *moves < MAX_MOVES {
            *moves += 1;
            let reason = format!(
                "slow: {} % in {:?}, others need {median:?} for a percent",
                observed.percent, observed.worked
            );
            self.move_run(task, reason);
        }
    }

    /// Stops runs that can't end before their worker leaves: those with
    /// checkpoints as late as possible, the others immediately.
    fn stop_runs_of_leaving_workers(&mut self, now: Uptime) {
        let mut ending_too_late = Vec::new();
        let leaving = self.workers.values().filter_map(|worker| {
            let tasks = worker.placed.tasks();
            worker
                .leaves_at
                .map(|leaves_at| tasks.map(move |task| (task, leaves_at)))
        });
        for (task, leaves_at) in leaving.flatten() {
            let is_at_work = |run: &&super::Run| !run.is_stopping && run.active_since.is_some();
            let Some(run) = self.runs.get(task).filter(is_at_work) else {
                continue;
            };
            let spec = &self.jobs[&task.job].row.spec.steps[task.step as usize];
            let rest = self.expected(task) * (100 - run.percent.min(100)) / 100;
            let left = run.time_left(now).unwrap_or(rest);
            let is_over = spec.long_running || now.plus(left) > leaves_at;
            let stop_at = leaves_at
                .as_duration()
                .saturating_sub(self.limits.stop + LEAVE_MARGIN);
            if is_over && (!spec.checkpoints || now.as_duration() >= stop_at) {
                ending_too_late.push(task.clone());
            }
        }
        for task in ending_too_late {
            self.move_run(&task, "its worker leaves before its end".to_owned());
        }
    }

    /// Returns the speed of the runs that can be moved, by step.
    fn observed(&self, now: Uptime) -> Vec<Vec<ObservedRun>> {
        let runs: Vec<(&TaskId, &super::Run)> = self.runs.iter().collect();
        // The runs are in the order of their tasks, so those of a step follow each other.
        let steps = runs.chunk_by(|(a, _), (b, _)| {
            a.step == b.step && a.occurrence == b.occurrence && a.job == b.job
        });
        steps.map(|runs| self.observed_in_step(now, runs)).collect()
    }

    /// Returns the speed of those runs of a step that can be moved.
    fn observed_in_step(&self, now: Uptime, runs: &[(&TaskId, &super::Run)]) -> Vec<ObservedRun> {
        let mut observed = Vec::new();
        let Some((first, _)) = runs.first() else {
            return observed;
        };
        // Fewer runs have no median.
        if runs.len() <= MIN_PEERS || !self.can_move(first) {
            return observed;
        }
        let is_gang = self.jobs[&first.job].row.spec.steps[first.step as usize].gang;
        let kind = kind_of(&self.jobs[&first.job].row.spec.steps[first.step as usize]);
        let gang_started = match is_gang {
            true => self.work_started(first),
            false => None,
        };
        for (task, run) in runs {
            let started = if is_gang {
                gang_started
            } else {
                run.active_since
            };
            let Some(started) = started else { continue };
            // A gang member at 100 % waits for the others.
            if run.is_stopping || run.percent >= 100 {
                continue;
            }
            let Some(seen) = self.last_report(now, task) else {
                continue;
            };
            let worked = seen.since(started);
            let Some(placement) = self.placement(task).filter(|_| worked >= MIN_WORK_TIME) else {
                continue;
            };
            observed.push(ObservedRun {
                task: (*task).clone(),
                agent: placement.agent.clone(),
                worked,
                percent: run.percent,
                speed_percent: self.speeds.percent(&placement.agent, kind),
            });
        }
        observed
    }

    /// Returns when a run began to work: for a gang, when its last member was active.
    fn work_started(&self, task: &TaskId) -> Option<Uptime> {
        let job = &self.jobs[&task.job];
        if !job.row.spec.steps[task.step as usize].gang {
            return self.runs.get(task)?.active_since;
        }
        let mut newest = None;
        for member in gang_members(job, task) {
            let active = self.runs.get(&member)?.active_since?;
            newest = newest.max(Some(active));
        }
        newest
    }

    /// Returns the time of the last report of a run's agent, if it is recent.
    fn last_report(&self, now: Uptime, task: &TaskId) -> Option<Uptime> {
        let last_report = self.workers.get(&self.placement(task)?.agent)?.last_report;
        (now.since(last_report) < MAX_REPORT_AGE).then_some(last_report)
    }

    fn can_move(&self, task: &TaskId) -> bool {
        let spec = &self.jobs[&task.job].row.spec.steps[task.step as usize];
        !spec.long_running && !spec.is_best_effort
    }

    /// Returns the expected duration of a task on its current worker.
    fn expected(&self, task: &TaskId) -> Duration {
        let usual = self.usual_duration(task);
        let agent = self.placement(task).map(|it| &it.agent);
        let spec = &self.jobs[&task.job].row.spec.steps[task.step as usize];
        let percent = agent.map_or(USUAL_PERCENT, |agent| self.speed(agent, kind_of(spec)));
        usual * USUAL_PERCENT / percent.max(1)
    }

    /// Returns the expected duration of a task at the usual speed of a worker.
    fn usual_duration(&self, task: &TaskId) -> Duration {
        let job = &self.jobs[&task.job];
        let spec = &job.row.spec.steps[task.step as usize];
        let estimate = Duration::from_millis(spec.estimate_ms);
        let rack = |task: &TaskId| {
            let worker = self.workers.get(&self.placement(task)?.agent)?;
            worker
                .worker_incarnation
                .as_ref()
                .map(|incarnation| incarnation.rack())
        };
        let own = rack(task);
        let is_split = spec.same_rack
            && gang_members(job, task)
                .iter()
                .any(|member| rack(member) != own);
        let is_away = spec.data_rack.is_some() && spec.data_rack.as_deref() != own;
        match is_split || is_away {
            true => estimate * self.limits.remote_percent / 100,
            false => estimate,
        }
    }

    /// Returns the speed of a worker in percent of the usual one, as far as it counts.
    pub(super) fn speed(&self, agent: &AgentId, kind: WorkKind) -> u32 {
        match self.speed_policy.uses_speeds() {
            true => self.speeds.percent(agent, kind),
            false => USUAL_PERCENT,
        }
    }

    /// Checks whether the workers of the site are uneven.
    pub(super) fn check_speeds(&mut self, now: Uptime) {
        let is_uneven = self.speeds.check(now);
        if is_uneven != self.site.has_uneven_workers {
            self.site.has_uneven_workers = is_uneven;
            self.update_site_profile();
        }
    }

    /// Attributes a failure to the worker of a run.
    fn attribute_failure(&mut self, now: Uptime, task: &TaskId) {
        if let Some(agent) = self.placement(task).map(|it| it.agent.clone()) {
            self.health.on_failure(now, &agent, &task.job);
        }
    }

    /// Stops a run, and its gang, to start it on other workers.
    fn move_run(&mut self, task: &TaskId, reason: String) {
        if self.runs.get(task).is_none_or(|run| run.is_stopping) {
            return;
        }
        let agent = self.placement(task).map(|it| it.agent.clone());
        self.record_decision(DecisionKind::Stop, task, agent.as_ref(), reason);
        for member in gang_members(&self.jobs[&task.job], task) {
            self.stop_run(&member);
        }
    }
}

/// Median times of the runs of a step on each of its workers.
///
/// They are sorted once for all runs: a step may have thousands of runs, which are all
/// compared in the same pass.
struct WorkerMedians<'a> {
    sorted: Vec<Duration>,
    /// Position of each worker's median.
    positions: BTreeMap<&'a AgentId, usize>,
}

impl<'a> WorkerMedians<'a> {
    fn new(times: impl Iterator<Item = (&'a AgentId, Duration)>) -> Self {
        // Each worker counts once, so that one that holds many of the runs does not decide.
        let mut by_agent: BTreeMap<&AgentId, Vec<Duration>> = BTreeMap::new();
        for (agent, time) in times {
            by_agent.entry(agent).or_default().push(time);
        }
        let medians = by_agent.into_iter().map(|(agent, mut times)| {
            times.sort_unstable();
            (times[times.len() / 2], agent)
        });
        let mut medians: Vec<(Duration, &AgentId)> = medians.collect();
        medians.sort_unstable();
        let positions = medians.iter().enumerate();
        Self {
            positions: positions.map(|(at, (_, agent))| (*agent, at)).collect(),
            sorted: medians.into_iter().map(|(time, _)| time).collect(),
        }
    }

    /// Returns the median of the other workers; `None` if there are too few.
    fn of_others(&self, agent: &AgentId) -> Option<Duration> {
        let own = *self.positions.get(agent)?;
        let others = self.sorted.len() - 1;
        let middle = others / 2;
        let at = if own <= middle { middle + 1 } else { middle };
        (others >= MIN_WORKERS_FOR_SAMPLE).then(|| self.sorted[at])
    }
}

/// Returns the median of a time of a run's peers on other workers; `None` if there are too
/// few.
fn median_of(
    run: &ObservedRun,
    peers: &[ObservedRun],
    time: impl Fn(&ObservedRun) -> Duration,
) -> Option<Duration> {
    let others = peers.iter().filter(|peer| peer.agent != run.agent);
    let mut times: Vec<Duration> = others.map(time).collect();
    times.sort_unstable();
    (times.len() >= MIN_PEERS).then(|| times[times.len() / 2])
}
