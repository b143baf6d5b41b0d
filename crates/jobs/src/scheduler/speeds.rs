//! Speeds of workers, learned from the progress of their runs beside others of the same step.
//!
//! A sample compares a run with the other runs of its step, so that a wrong estimate cancels.

use std::collections::BTreeMap;
use std::fmt::Debug;
use std::time::Duration;

use cumindeck_types::{AgentId, JobId, Uptime, WorkerId};
use smallvec::SmallVec;

use super::Scheduler;
use super::capacity::Capacity;
use super::pending::{PendingStep, spare_time};
use crate::exchange::{AgentReport, LearnedSpeed, WorkKind};
use crate::model::StepSpec;

/// Speed of a worker of which nothing is known, in percent of the usual one.
pub(super) const USUAL_PERCENT: u32 = 100;

/// Range of a sample and of a reported speed in percent; a run outside of it hangs, or was
/// not measured.
const VALID_PERCENT: std::ops::RangeInclusive<u32> = 10..=1_000;

/// Number of runs whose samples are kept for a worker and kind of work, and of these of a
/// single job, which may itself be the cause.
const MAX_SAMPLES: usize = 16;
const MAX_SAMPLES_OF_JOB: usize = 5;

/// Number of runs of one job from which the speed of a worker counts; two runs of different
/// jobs are as good.
const MIN_SAMPLES_OF_JOB: usize = 5;

/// Percentage of the median speed below which a worker is slow, and from which it is fast.
const SLOW_PERCENT: u32 = 65;
const FAST_PERCENT: u32 = 150;

/// Percentages of slow or of fast workers from which a site becomes uneven, and below which it
/// is even again.
const UNEVEN_PERCENT: usize = 20;
const EVEN_PERCENT: usize = 10;

/// Time for which that many workers must differ: disturbances are shorter.
const UNEVEN_AFTER: Duration = Duration::from_secs(3);

/// Time between two checks of which workers are slow or fast.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Time for which a gang waits for workers of one speed.
const MAX_SPEED_WAIT: Duration = Duration::from_millis(400);

/// Maximum number of changes kept for the log; further ones are dropped.
const MAX_LOGGED_CHANGES: usize = 200;

/// Speed of a worker beside the median.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum SpeedClass {
    /// Far slower.
    Slow,
    /// Much the same, or not known.
    #[default]
    Usual,
    /// Far faster.
    Fast,
}

impl SpeedClass {
    /// Returns the name of the class in logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Slow => "slow",
            Self::Usual => "usual",
            Self::Fast => "fast",
        }
    }
}

/// Speed class of a worker by kind of work.
pub(super) type SpeedClasses = [SpeedClass; WorkKind::ALL.len()];

/// Which workers a step prefers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SpeedPreference {
    Any,
    /// The fastest ones.
    Fast,
    /// The slowest ones, which leaves the others to work that needs them.
    Slow,
}

impl SpeedPreference {
    /// Returns the cost of a worker; the lowest is best.
    pub const fn cost(self, class: SpeedClass) -> u8 {
        match self {
            Self::Any => 0,
            Self::Fast => SpeedClass::Fast as u8 - class as u8,
            Self::Slow => class as u8,
        }
    }
}

/// What decides on the speed that a step needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct SpeedNeed {
    pub is_urgent: bool,
    /// Whether all tasks take as long as the slowest one.
    pub is_gang: bool,
    pub estimate: Duration,
    /// Time by which the job would end before its objective; `None` if it is late, or if its
    /// end has no objective.
    pub spare: Option<Duration>,
    /// Median speed of the workers that are not fast, in percent of the usual one.
    pub lower_percent: u32,
}

impl SpeedNeed {
    /// Returns whether the step ends within its objective on workers that are not fast, with
    /// a margin of its estimate.
    pub fn bears_lower(&self) -> bool {
        let longer = self.estimate * USUAL_PERCENT / self.lower_percent.max(1);
        self.spare.is_some_and(|spare| spare >= longer)
    }
}

/// Decides how the speeds of workers count.
pub(super) trait SpeedPolicy: Debug + Send {
    /// Returns whether learned speeds decide anything.
    fn uses_speeds(&self) -> bool;

    /// Returns which workers a step prefers.
    fn preference(&self, need: &SpeedNeed) -> SpeedPreference;
}

/// Takes all workers for equally fast.
#[derive(Debug)]
pub(super) struct EqualSpeeds;

impl SpeedPolicy for EqualSpeeds {
    fn uses_speeds(&self) -> bool {
        false
    }

    fn preference(&self, _: &SpeedNeed) -> SpeedPreference {
        SpeedPreference::Any
    }
}

/// Leaves the faster workers to urgent work, gangs and work with little time to spare.
///
/// Load pattern: a part of the workers at twice or at half of the speed of the others, and
/// gangs whose members wait for the slowest one.
#[derive(Debug)]
pub(super) struct LearnedSpeeds;

impl SpeedPolicy for LearnedSpeeds {
    fn uses_speeds(&self) -> bool {
        true
    }

    fn preference(&self, need: &SpeedNeed) -> SpeedPreference {
        match need.is_urgent || need.is_gang || !need.bears_lower() {
            true => SpeedPreference::Fast,
            false => SpeedPreference::Slow,
        }
    }
}

/// Samples of one kind of work on a worker.
#[derive(Debug, Clone, Default)]
struct Samples {
    /// Speeds of runs in percent, the oldest one first; without a job if an earlier leader
    /// has learned them.
    runs: Vec<(Option<JobId>, u32)>,
}

impl Samples {
    fn insert(&mut self, job: &JobId, percent: u32) {
        let is_same = |(known, _): &&(Option<JobId>, u32)| known.as_ref() == Some(job);
        if self.runs.iter().filter(is_same).count() >= MAX_SAMPLES_OF_JOB {
            return;
        }
        if self.runs.len() >= MAX_SAMPLES {
            self.runs.remove(0);
        }
        self.runs.push((Some(job.clone()), percent));
    }

    /// Returns whether there are enough of them.
    fn are_enough(&self) -> bool {
        let Some((first, _)) = self.runs.first() else {
            return false;
        };
        self.runs.len() >= MIN_SAMPLES_OF_JOB || self.runs.iter().any(|(job, _)| job != first)
    }

    /// Returns the median of the runs and of one more at the usual speed, which counts for
    /// less the more runs there are.
    fn percent(&self) -> u32 {
        let runs = self.runs.iter().map(|(_, percent)| *percent);
        let mut all: SmallVec<[u32; MAX_SAMPLES + 1]> = runs.collect();
        all.push(USUAL_PERCENT);
        all.sort_unstable();
        all[all.len() / 2]
    }
}

/// What is known of the speed of a worker's incarnation.
#[derive(Debug, Clone)]
struct WorkerSpeed {
    worker: WorkerId,
    started_ms: u64,
    samples: [Samples; WorkKind::ALL.len()],
    /// What its agent has reported last.
    reported: Vec<LearnedSpeed>,
    /// Whether an invalid report was logged.
    is_invalid_logged: bool,
    /// Speed in percent of the usual one, by kind of work.
    percents: [u32; WorkKind::ALL.len()],
    /// Class at the last check.
    classes: SpeedClasses,
}

impl WorkerSpeed {
    fn is_known(&self, kind: WorkKind) -> bool {
        self.samples[kind.index()].are_enough()
    }

    fn update_percent(&mut self, kind: WorkKind) {
        let samples = &self.samples[kind.index()];
        self.percents[kind.index()] = match self.is_known(kind) {
            true => samples.percent(),
            false => USUAL_PERCENT,
        };
    }
}

/// A change of what is known of a worker's speed, for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SpeedChange {
    /// Agent of the worker.
    pub agent: AgentId,
    /// Kind of work.
    pub kind: WorkKind,
    /// Speed in percent of the usual one.
    pub percent: u32,
    /// Number of runs that it was learned from.
    pub runs: u32,
    /// What has changed.
    pub status: SpeedStatus,
}

/// What has changed in what is known of a worker's speed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SpeedStatus {
    /// It is of this class now.
    Class(SpeedClass),
    /// Its agent has reported a speed that is out of range, which is ignored.
    Invalid,
}

impl SpeedStatus {
    /// Returns the name of the status in logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Class(class) => class.name(),
            Self::Invalid => "invalid",
        }
    }
}

/// Speeds of the workers.
#[derive(Debug)]
pub(super) struct Speeds {
    workers: BTreeMap<AgentId, WorkerSpeed>,
    /// Median of the speeds in percent by kind of work.
    medians: [u32; WorkKind::ALL.len()],
    /// Median of the speeds of workers that are not fast in percent, by kind of work.
    lower_percents: [u32; WorkKind::ALL.len()],
    checked_at: Option<Uptime>,
    /// Time since which enough workers are slow.
    uneven_since: Option<Uptime>,
    is_uneven: bool,
    changes: Vec<SpeedChange>,
}

impl Speeds {
    pub const fn new() -> Self {
        Self {
            workers: BTreeMap::new(),
            medians: [USUAL_PERCENT; WorkKind::ALL.len()],
            lower_percents: [USUAL_PERCENT; WorkKind::ALL.len()],
            checked_at: None,
            uneven_since: None,
            is_uneven: false,
            changes: Vec::new(),
        }
    }

    /// Applies a report: forgets the speed of an earlier incarnation and takes over what an
    /// earlier leader has learned.
    pub fn on_report(&mut self, report: &AgentReport) {
        let Some(incarnation) = &report.worker_incarnation else {
            return;
        };
        let (worker, started_ms) = (&incarnation.worker, incarnation.started_ms);
        let known = self.workers.get(&report.agent);
        if known.is_none_or(|known| known.worker != *worker || known.started_ms != started_ms) {
            let new = WorkerSpeed {
                worker: worker.clone(),
                started_ms,
                samples: Default::default(),
                reported: Vec::new(),
                is_invalid_logged: false,
                percents: [USUAL_PERCENT; WorkKind::ALL.len()],
                classes: SpeedClasses::default(),
            };
            self.workers.insert(report.agent.clone(), new);
        }
        let Some(known) = self.workers.get_mut(&report.agent) else {
            return;
        };
        if known.reported == report.speeds {
            return;
        }
        known.reported.clone_from(&report.speeds);
        for speed in &report.speeds {
            let is_valid = VALID_PERCENT.contains(&speed.percent);
            if !is_valid && !std::mem::replace(&mut known.is_invalid_logged, true) {
                push_change(
                    &mut self.changes,
                    &report.agent,
                    *speed,
                    SpeedStatus::Invalid,
                );
            }
            let samples = &mut known.samples[speed.kind.index()].runs;
            if is_valid && samples.is_empty() {
                let runs = (speed.runs as usize).min(MAX_SAMPLES);
                samples.extend(std::iter::repeat_n((None, speed.percent), runs));
                known.update_percent(speed.kind);
            }
        }
    }

    /// Adds a sample of a run's speed in percent of the usual one.
    pub fn insert(&mut self, agent: &AgentId, kind: WorkKind, job: &JobId, percent: u32) {
        if let Some(worker) = self.workers.get_mut(agent) {
            let percent = percent.clamp(*VALID_PERCENT.start(), *VALID_PERCENT.end());
            worker.samples[kind.index()].insert(job, percent);
            worker.update_percent(kind);
        }
    }

    /// Returns the speed of a worker in percent of the usual one.
    pub fn percent(&self, agent: &AgentId, kind: WorkKind) -> u32 {
        let worker = self.workers.get(agent);
        worker.map_or(USUAL_PERCENT, |worker| worker.percents[kind.index()])
    }

    /// Returns the speed class of a worker.
    pub fn classes(&self, agent: &AgentId) -> SpeedClasses {
        let worker = self.workers.get(agent);
        worker.map_or_else(SpeedClasses::default, |worker| worker.classes)
    }

    /// Returns what an agent should keep; `None` if its last report has it.
    pub fn to_keep(&self, agent: &AgentId) -> Option<Vec<LearnedSpeed>> {
        let worker = self.workers.get(agent)?;
        let learned = WorkKind::ALL.into_iter().filter_map(|kind| {
            let samples = &worker.samples[kind.index()];
            samples.are_enough().then(|| LearnedSpeed {
                kind,
                percent: samples.percent(),
                runs: samples.runs.len() as u32,
            })
        });
        let learned: Vec<LearnedSpeed> = learned.collect();
        (!learned.is_empty() && learned != worker.reported).then_some(learned)
    }

    /// Checks at intervals which workers are slow; returns whether the workers of the site
    /// are uneven.
    pub fn check(&mut self, now: Uptime) -> bool {
        let is_due = |at: Uptime| now.since(at) >= CHECK_INTERVAL;
        if !self.checked_at.is_none_or(is_due) {
            return self.is_uneven;
        }
        self.checked_at = Some(now);
        for kind in WorkKind::ALL {
            let at = kind.index();
            let all = self.workers.values().map(|it| it.percents[at]);
            self.medians[at] = median(all.collect());
            self.update_classes(kind);
            let lower = self.workers.values();
            let lower = lower.filter(|it| it.classes[at] < SpeedClass::Fast);
            self.lower_percents[at] = median(lower.map(|it| it.percents[at]).collect());
        }
        let (mut known, mut slow, mut fast) = (0, 0, 0);
        for worker in self.workers.values() {
            let is_known = worker.samples.iter().any(Samples::are_enough);
            known += usize::from(is_known);
            slow += usize::from(is_known && worker.classes.contains(&SpeedClass::Slow));
            fast += usize::from(is_known && worker.classes.contains(&SpeedClass::Fast));
        }
        let most = slow.max(fast);
        let is_known = known * 4 >= self.workers.len().max(1);
        if is_known && most * 100 >= known * UNEVEN_PERCENT {
            let since = *self.uneven_since.get_or_insert(now);
            self.is_uneven |= now.since(since) >= UNEVEN_AFTER;
        } else {
            self.uneven_since = None;
            self.is_uneven &= !is_known || most * 100 >= known * EVEN_PERCENT;
        }
        self.is_uneven
    }

    fn update_classes(&mut self, kind: WorkKind) {
        let at = kind.index();
        for (agent, worker) in &mut self.workers {
            let of_median = worker.percents[at] * 100 / self.medians[at].max(1);
            let class = match worker.is_known(kind) {
                true if of_median < SLOW_PERCENT => SpeedClass::Slow,
                true if of_median >= FAST_PERCENT => SpeedClass::Fast,
                true | false => SpeedClass::Usual,
            };
            if std::mem::replace(&mut worker.classes[at], class) == class {
                continue;
            }
            let speed = LearnedSpeed {
                kind,
                percent: worker.percents[at],
                runs: worker.samples[at].runs.len() as u32,
            };
            push_change(&mut self.changes, agent, speed, SpeedStatus::Class(class));
        }
    }

    /// Returns the number of workers of a class for any kind of work.
    pub fn workers_of(&self, class: SpeedClass) -> usize {
        let workers = self.workers.values();
        workers.filter(|it| it.classes.contains(&class)).count()
    }

    /// Returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<SpeedChange> {
        std::mem::take(&mut self.changes)
    }
}

/// Returns the median of speeds in percent; the usual speed if there are none.
fn median(mut percents: Vec<u32>) -> u32 {
    percents.sort_unstable();
    let middle = percents.get(percents.len() / 2);
    middle.copied().unwrap_or(USUAL_PERCENT)
}

fn push_change(
    changes: &mut Vec<SpeedChange>,
    agent: &AgentId,
    speed: LearnedSpeed,
    status: SpeedStatus,
) {
    if changes.len() < MAX_LOGGED_CHANGES {
        changes.push(SpeedChange {
            agent: agent.clone(),
            kind: speed.kind,
            percent: speed.percent,
            runs: speed.runs,
            status,
        });
    }
}

/// Returns whether all tasks of a step take as long as the slowest one.
const fn is_gang(step: &StepSpec) -> bool {
    step.gang && step.tasks > 1
}

/// Returns the kind of work of a step's tasks.
pub(super) const fn kind_of(step: &StepSpec) -> WorkKind {
    match step.resources.accelerators {
        0 => WorkKind::Processor,
        _ => WorkKind::Accelerator,
    }
}

impl Scheduler {
    /// Returns what decides on the speed that a waiting step needs.
    pub(super) fn speed_need(&self, now: Uptime, pending: &PendingStep) -> SpeedNeed {
        let job = &self.jobs[&pending.job];
        let spec = &job.row.spec.steps[pending.step as usize];
        SpeedNeed {
            is_urgent: job.row.spec.priority == 0,
            is_gang: is_gang(spec),
            estimate: Duration::from_millis(spec.estimate_ms),
            spare: spare_time(job, now.since(job.accepted_at), Duration::ZERO),
            lower_percent: self.speeds.lower_percents[kind_of(spec).index()],
        }
    }

    /// Returns text on the speed of a worker for a step, for the log and `job why`; empty if
    /// speeds do not count or it is the usual one.
    pub(super) fn describe_speed(&self, pending: &PendingStep, agent: &AgentId) -> String {
        let spec = &self.jobs[&pending.job].row.spec.steps[pending.step as usize];
        match self.speed(agent, kind_of(spec)) {
            USUAL_PERCENT => String::new(),
            percent => format!("; its speed is {percent} % of the usual one"),
        }
    }

    /// Returns the speed classes of workers that a step tries in turn; `None` is any.
    ///
    /// A gang waits a moment for workers of one class before it mixes them.
    pub(super) fn gang_classes(
        &self,
        pending: &PendingStep,
        capacity: &Capacity,
    ) -> SmallVec<[Option<SpeedClass>; 4]> {
        let spec = &self.jobs[&pending.job].row.spec.steps[pending.step as usize];
        let kind = kind_of(spec).index();
        let mut classes = SmallVec::new();
        if is_gang(spec) {
            for class in [SpeedClass::Fast, SpeedClass::Usual, SpeedClass::Slow] {
                let mut workers = capacity.workers.iter();
                if workers.any(|worker| worker.classes[kind] == class) {
                    classes.push(Some(class));
                }
            }
        }
        if classes.len() < 2 {
            classes.clear();
        }
        if classes.is_empty() || pending.waited >= MAX_SPEED_WAIT {
            classes.push(None);
        }
        classes
    }

    /// Returns the speed class of the workers where runs are stopped for a step; `None` is any.
    pub(super) fn reclaimed_class(
        &self,
        pending: &PendingStep,
        capacity: &Capacity,
    ) -> Option<SpeedClass> {
        let classes = self.gang_classes(pending, capacity);
        (!classes.contains(&None)).then_some(SpeedClass::Usual)
    }
}
