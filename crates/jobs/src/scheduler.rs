//! The scheduler: decides which task runs where.
//!
//! A start is ordered only after the store has recorded it, in a transaction
//! that is conditional on the leadership and, for each zone with a start, on the
//! absence of an evacuation. Orders are derived from the difference between
//! the recorded placements and what an agent reports, so that a lost message
//! is repeated without further bookkeeping.

mod advice;
mod batch;
mod capacity;
mod decision;
mod dirty;
mod doubts;
mod expiry;
mod fit;
mod forecast;
mod guarantee;
mod headroom;
mod health;
mod load;
mod moving;
mod order;
mod orders;
mod pass;
mod pending;
mod plan;
mod predictions;
mod preempt;
mod probes;
mod recorded;
mod recovery;
mod refusals;
mod reports;
mod shares;
mod speeds;
mod stops;
mod withheld;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use cumindeck_types::{AgentId, AvailabilityZone, Incarnation, JobId, RunNumber, Uptime};

use crate::catalog::Catalog;
use crate::early_cancels::EarlyCancels;
use crate::exchange::{AgentReport, Order, RunState, WorkerIncarnation};
use crate::policy::{PolicySettings, SiteProfile, are_uneven, guarantee_range};
use crate::progress::{JobProgress, JobState, Placement, StepProgress, TaskProgress};
use crate::rows::{CancelRow, JobRow, LeaderRow};
use crate::{IncarnationId, StepId, TaskId, TimeLimits};

use advice::AdviceCache;
pub use advice::{Advice, AdviceRequest};
pub use batch::{Batch, CommitStep};
use capacity::PlacedRuns;
pub use decision::{Decision, DecisionKind};
use dirty::DirtyRows;
use doubts::KnownEnds;
use expiry::Expiry;
use guarantee::Loan;
use headroom::UrgentUse;
use health::Health;
use order::{ArrivalOrder, LeastCostOrder, OrderPolicy};
pub use predictions::PredictionError;
use predictions::Predictions;
use preempt::Reclaim;
use recorded::RecordedWorkers;
use refusals::Refusals;
use speeds::{EqualSpeeds, LearnedSpeeds, SpeedPolicy, Speeds};
pub use speeds::{SpeedChange, SpeedClass, SpeedStatus};
use stops::{CallerCost, Spent, StopPolicy, WorkLost};
pub use withheld::{Release, WithheldChange, WithheldStatus};
use withheld::{Withheld, WithheldChanges};

/// Progress from which the remaining time of a run can be estimated.
const MIN_PERCENT_FOR_ESTIMATE: u32 = 20;

/// Maximum number of decisions kept for the log; further ones are dropped.
const MAX_LOGGED_DECISIONS: usize = 200;

/// State of a run beside its recorded placement.
#[derive(Debug, Clone)]
struct Run {
    /// Number of the transaction that records it; 0 if an earlier leader recorded
    /// it, `None` while it is in no transaction.
    batch: Option<u64>,
    is_stopping: bool,
    /// When an agent first reported it as active.
    active_since: Option<Uptime>,
    percent: u32,
    percent_changed_at: Uptime,
    /// Whether it was counted as slow; its success then clears no failure of the worker.
    is_slow: bool,
    /// Whether its progress since it became active shows its speed: it began anew, under this
    /// leader.
    is_measurable: bool,
    /// Number of runs before it that may show whether the worker lists ends.
    probe_runs: u64,
    /// Time by which these runs are over, from the time at which they are called off.
    probes_over_at: Option<Uptime>,
}

impl Run {
    /// Creates a run; `batch` is the number of the transaction that records it.
    const fn new(now: Uptime, batch: Option<u64>) -> Self {
        Self {
            batch,
            is_stopping: false,
            active_since: None,
            percent: 0,
            percent_changed_at: now,
            is_slow: false,
            is_measurable: false,
            probe_runs: 0,
            probes_over_at: None,
        }
    }

    /// Estimates the remaining time of the run from its progress so far.
    fn time_left(&self, now: Uptime) -> Option<Duration> {
        let worked = now.since(self.active_since?);
        let percent = Some(self.percent).filter(|percent| *percent >= MIN_PERCENT_FOR_ESTIMATE)?;
        let total = worked * 100 / percent;
        Some(total.saturating_sub(worked))
    }
}

/// A job with the part of its state that is not recorded.
#[derive(Debug, Clone)]
struct Job {
    row: JobRow,
    progress: JobProgress,
    is_cancelled: bool,
    /// Whether the store has a cancel row for it.
    has_cancel_row: bool,
    accepted_at: Uptime,
    /// Time since which tasks of a step can start, by occurrence and step.
    ready_since: BTreeMap<(u32, u32), Uptime>,
    /// Earliest retry of a step whose start was refused, by occurrence and step.
    retry_at: BTreeMap<(u32, u32), Uptime>,
    /// Agents on whose workers a run of the task failed.
    failed_on: BTreeMap<TaskId, Vec<AgentId>>,
    /// Number of moves away from slow workers, by occurrence and step.
    moves: BTreeMap<(u32, u32), u32>,
    /// Stops of its runs for urgent steps, by task; those of a gang count at its first member.
    stops_of: BTreeMap<TaskId, u32>,
    /// Stops of other runs for its steps, by occurrence and step.
    stops_for: BTreeMap<(u32, u32), Spent>,
    /// Number of workers in doubt on which a task was used as a probe.
    probes: BTreeMap<TaskId, u32>,
    /// Rows of parts that the store may have, by occurrence and part.
    parts: BTreeSet<(u32, u32)>,
    /// Whether the store has the progress row of an earlier version, in place of parts.
    is_converted: bool,
}

impl Job {
    fn state(&self) -> JobState {
        self.progress.state(&self.row.spec)
    }

    fn task(&self, id: &TaskId) -> Option<&TaskProgress> {
        self.step(id)?.tasks.get(id.index as usize)
    }

    fn step(&self, id: &TaskId) -> Option<&StepProgress> {
        let steps = self.progress.occurrences.get(&id.occurrence)?;
        steps.get(id.step as usize)
    }

    fn step_mut(&mut self, id: &TaskId) -> Option<&mut StepProgress> {
        let steps = self.progress.occurrences.get_mut(&id.occurrence)?;
        steps.get_mut(id.step as usize)
    }

    fn task_mut(&mut self, id: &TaskId) -> Option<&mut TaskProgress> {
        self.step_mut(id)?.tasks.get_mut(id.index as usize)
    }
}

/// An agent and its worker, as last reported.
#[derive(Debug, Clone, Default)]
struct Worker {
    worker_incarnation: Option<Arc<WorkerIncarnation>>,
    /// Whether a run there has made no progress for some time.
    is_stalling: bool,
    /// Runs that are placed on it, also before its first report.
    placed: PlacedRuns,
    incarnation: Incarnation,
    sequence: u64,
    has_lists: bool,
    known_ends: KnownEnds,
    withheld: Option<Withheld>,
    last_report: Uptime,
    /// Time since which all reports of the agent name no worker.
    without_worker_since: Option<Uptime>,
    /// Earliest time at which a draining worker leaves.
    leaves_at: Option<Uptime>,
    /// Time of the last reply, from which the agent may extend leases.
    last_reply: Uptime,
    reported: BTreeMap<(TaskId, RunNumber), RunState>,
    listed_ends: BTreeSet<(TaskId, RunNumber)>,
    /// Orders of the last reply and the time at which it was sent.
    last_orders: (Vec<Order>, Uptime),
    /// Number of the newest end that is applied in memory.
    ends_applied: u64,
    /// Number of the newest end that the transaction in flight records.
    ends_in_flight: u64,
    /// Number of the newest end that a committed transaction records.
    ends_recorded: u64,
}

/// State and decisions of the entry that leads the scheduling.
#[derive(Debug)]
pub struct Scheduler {
    limits: TimeLimits,
    catalog: Catalog,
    leader_row: LeaderRow,
    leader_version: u64,
    taken_over_at: Uptime,
    confirmed_at: Uptime,
    evacuated: BTreeSet<AvailabilityZone>,
    jobs: BTreeMap<JobId, Job>,
    /// Jobs that have not ended or still occupy workers.
    open: BTreeSet<JobId>,
    runs: BTreeMap<TaskId, Run>,
    workers: BTreeMap<AgentId, Worker>,
    /// Agents whose orders may have changed since their last reply, with the time from
    /// which they are checked.
    order_checks: BTreeMap<AgentId, Uptime>,
    /// Whether resources, jobs or workers have changed since the last pass.
    needs_pass: bool,
    last_pass: Option<Uptime>,
    /// When leases, occurrences and moves are checked next.
    upkeep_due: Uptime,
    /// Workers that urgent steps wait for while runs are being stopped there.
    reclaims: BTreeMap<StepId, Reclaim>,
    /// Step that has reserved workers in the last pass.
    reservation: Option<StepId>,
    /// Workers where runs were stopped that only a guarantee has stopped.
    loans: BTreeMap<AgentId, Loan>,
    urgent_use: UrgentUse,
    health: Health,
    advice: AdviceCache,
    expiry: Expiry,
    early_cancels: EarlyCancels,
    dirty: DirtyRows,
    refusals: Refusals,
    /// Store time in milliseconds of the last transaction.
    store_ms: u64,
    recorded_workers: RecordedWorkers,
    in_flight: Option<Batch>,
    next_batch: u64,
    /// Number of the last transaction that was committed.
    committed: u64,
    decisions: Vec<Decision>,
    withheld_changes: WithheldChanges,
    predictions: Predictions,
    policies: PolicySettings,
    site: SiteProfile,
    order: Box<dyn OrderPolicy>,
    stop_policy: Box<dyn StopPolicy>,
    speed_policy: Box<dyn SpeedPolicy>,
    speeds: Speeds,
}

impl Scheduler {
    /// Creates the scheduler of an entry that took over leadership by a write of
    /// `leader_row` with this version; `sent_at` is the time at which the write was sent.
    #[must_use]
    pub fn new(
        limits: TimeLimits,
        catalog: Catalog,
        leader_row: LeaderRow,
        leader_version: u64,
        sent_at: Uptime,
        now: Uptime,
    ) -> Self {
        Self {
            limits,
            catalog,
            leader_row,
            leader_version,
            taken_over_at: now,
            confirmed_at: sent_at,
            evacuated: BTreeSet::new(),
            jobs: BTreeMap::new(),
            open: BTreeSet::new(),
            runs: BTreeMap::new(),
            workers: BTreeMap::new(),
            order_checks: BTreeMap::new(),
            needs_pass: true,
            last_pass: None,
            upkeep_due: Uptime::ZERO,
            reclaims: BTreeMap::new(),
            reservation: None,
            loans: BTreeMap::new(),
            urgent_use: UrgentUse::new(),
            health: Health::new(),
            advice: AdviceCache::new(),
            expiry: Expiry::new(),
            early_cancels: EarlyCancels::new(),
            dirty: DirtyRows::new(),
            refusals: Refusals::new(),
            store_ms: 0,
            recorded_workers: RecordedWorkers::new(),
            in_flight: None,
            next_batch: 1,
            committed: 0,
            decisions: Vec::new(),
            withheld_changes: WithheldChanges::new(),
            predictions: Predictions::default(),
            policies: PolicySettings::default(),
            site: SiteProfile::default(),
            order: Box::new(ArrivalOrder),
            stop_policy: Box::new(WorkLost),
            speed_policy: Box::new(EqualSpeeds),
            speeds: Speeds::new(),
        }
    }

    /// Chooses the policies; without a call all are basic.
    pub fn set_policies(&mut self, policies: PolicySettings) {
        self.policies = policies;
        self.update_site_profile();
    }

    /// Returns what the site is like, which decides on policies that are chosen by it.
    #[must_use]
    pub const fn site_profile(&self) -> SiteProfile {
        self.site
    }

    /// Returns the choice for each policy.
    #[must_use]
    pub const fn policies(&self) -> PolicySettings {
        self.policies
    }

    /// Returns the smallest and the largest guarantee of the teams that have one.
    #[must_use]
    pub fn guarantee_range(&self) -> Option<(u32, u32)> {
        guarantee_range(self.catalog.teams.iter().map(|team| team.guaranteed))
    }

    /// Updates what is known of the site and the policies that depend on it.
    fn update_site_profile(&mut self) {
        let guarantees = self.catalog.teams.iter().map(|team| team.guaranteed);
        self.site.has_uneven_teams = are_uneven(guarantees);
        self.stop_policy = match self.policies.stops.is_cost_aware(self.site) {
            true => Box::new(CallerCost {
                stop: self.limits.stop,
                restore: self.limits.restore,
            }),
            false => Box::new(WorkLost),
        };
        self.order = match self.policies.order.is_cost_aware(self.site) {
            true => Box::new(LeastCostOrder),
            false => Box::new(ArrivalOrder),
        };
        self.speed_policy = match self.policies.speeds.is_cost_aware(self.site) {
            true => Box::new(LearnedSpeeds),
            false => Box::new(EqualSpeeds),
        };
    }

    /// Returns the version of the leader row that this entry wrote last.
    #[must_use]
    pub const fn leader_version(&self) -> u64 {
        self.leader_version
    }

    /// Returns the leader row that this entry wrote last.
    #[must_use]
    pub const fn leader_row(&self) -> &LeaderRow {
        &self.leader_row
    }

    /// Returns the time since the store last confirmed the leadership.
    #[must_use]
    pub const fn confirmed_age(&self, now: Uptime) -> Duration {
        now.since(self.confirmed_at)
    }

    /// Replaces the configuration.
    pub fn on_catalog(&mut self, catalog: Catalog) {
        self.catalog = catalog;
        self.update_site_profile();
        self.needs_pass = true;
    }

    /// Replaces the evacuated zones; no run starts there.
    ///
    /// It drops zones that only a conflict has shown as evacuated; each transaction that
    /// starts a run there is conditional on the zone again.
    pub fn on_evacuations(&mut self, evacuated: BTreeSet<AvailabilityZone>) {
        self.evacuated = evacuated;
        self.needs_pass = true;
        self.check_all_orders();
    }

    /// Adds a job; `store_ms` is the current store time. A job that is known or was
    /// removed recently is ignored.
    pub fn on_job(&mut self, now: Uptime, id: JobId, row: JobRow, store_ms: u64) {
        if self.jobs.contains_key(&id) || self.expiry.is_removed(&id) {
            return;
        }
        let waited = Duration::from_millis(store_ms.saturating_sub(row.accepted_store_ms));
        let accepted_at = Uptime::since_boot(now.as_duration().saturating_sub(waited));
        let mut progress = JobProgress::default();
        if row.spec.recurrence.is_none() {
            progress.begin_occurrence(&row.spec);
        }
        let job = Job {
            row,
            progress,
            is_cancelled: false,
            has_cancel_row: false,
            accepted_at,
            ready_since: BTreeMap::new(),
            retry_at: BTreeMap::new(),
            failed_on: BTreeMap::new(),
            moves: BTreeMap::new(),
            stops_of: BTreeMap::new(),
            stops_for: BTreeMap::new(),
            probes: BTreeMap::new(),
            parts: BTreeSet::new(),
            is_converted: false,
        };
        let is_cancelled = self.early_cancels.remove(&id);
        self.open.insert(id.clone());
        if is_cancelled {
            self.jobs.insert(id.clone(), job);
            self.on_cancel(&id, &CancelRow::default(), store_ms);
        } else {
            self.jobs.insert(id, job);
        }
        self.needs_pass = true;
    }

    /// Removes a cancel row that is gone.
    pub fn on_cancel_removed(&mut self, id: &JobId) {
        self.early_cancels.remove(id);
    }

    /// Applies the cancel row of a job: stops its runs unless it has ended. That of an unknown
    /// job holds if the job is accepted yet, as by an entry of an earlier version.
    pub fn on_cancel(&mut self, id: &JobId, row: &CancelRow, store_ms: u64) {
        let Some(job) = self.jobs.get_mut(id) else {
            if !self.expiry.is_removed(id) {
                let since = row.cancelled_store_ms;
                self.early_cancels.insert(id.clone(), since, store_ms);
            }
            return;
        };
        job.has_cancel_row = true;
        if job.is_cancelled || job.state().is_final() {
            return;
        }
        job.is_cancelled = true;
        job.progress.is_cancelled = true;
        job.progress.ended_store_ms = Some(store_ms);
        self.mark_job_dirty(id);
        self.stop_all(id);
    }

    /// Returns the decisions since the last call, for the log.
    pub fn take_decisions(&mut self) -> Vec<Decision> {
        std::mem::take(&mut self.decisions)
    }

    /// Returns the changes of workers' speeds since the last call, for the log.
    pub fn take_speed_changes(&mut self) -> Vec<SpeedChange> {
        self.speeds.take_changes()
    }

    /// Returns the number of workers of a speed class.
    #[must_use]
    pub fn workers_of(&self, class: SpeedClass) -> usize {
        self.speeds.workers_of(class)
    }

    /// Returns the number of jobs that have not ended or still occupy workers.
    #[must_use]
    pub fn open_jobs(&self) -> usize {
        self.open.len()
    }

    /// Stops all runs of a job; those in no transaction yet are dropped.
    fn stop_all(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        for task in task_ids(id, &job.progress) {
            self.stop_run(&task);
        }
        self.close_if_ended(id);
    }

    fn stop_run(&mut self, task: &TaskId) {
        let Some(run) = self.runs.get_mut(task) else {
            return;
        };
        if std::mem::replace(&mut run.is_stopping, true) {
            return;
        }
        let is_unrecorded = run.batch.is_none();
        if let Some(agent) = self.placement(task).map(|it| it.agent.clone()) {
            if let Some(worker) = self.workers.get_mut(&agent) {
                worker.placed.mark_stopping(task);
            }
            self.check_orders(agent);
        }
        self.needs_pass = true;
        if is_unrecorded {
            self.clear_placement(task);
        }
    }

    /// Records a decision on the last run of a task for the log.
    ///
    /// Without an `agent`, it concerns the worker on which the run is placed.
    fn record_decision(
        &mut self,
        kind: DecisionKind,
        task: &TaskId,
        agent: Option<&AgentId>,
        reason: String,
    ) {
        if self.decisions.len() >= MAX_LOGGED_DECISIONS {
            return;
        }
        let run = self.jobs.get(&task.job).and_then(|job| job.task(task));
        let is_there = |it: &&Placement| agent.is_none_or(|agent| it.agent == *agent);
        let placement = self.placement(task).filter(is_there);
        // The run of an end that is listed again is no longer placed.
        let reporting = agent.and_then(|agent| self.workers.get(agent));
        let reporting = reporting.and_then(|worker| worker.worker_incarnation.as_deref());
        let incarnation = placement.map(IncarnationId::from);
        let decision = Decision {
            kind,
            task: task.clone(),
            run: run.map(|task| task.run).unwrap_or_default(),
            agent: agent.or(placement.map(|it| &it.agent)).cloned(),
            incarnation: incarnation.or_else(|| reporting.map(IncarnationId::from)),
            reason,
        };
        self.decisions.push(decision);
    }

    /// Removes the placement of a task.
    fn clear_placement(&mut self, id: &TaskId) {
        self.runs.remove(id);
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let placement = job.task_mut(id).and_then(|task| task.placement.take());
        if let Some(placement) = placement {
            if let Some(worker) = self.workers.get_mut(&placement.agent) {
                worker.placed.remove(id);
            }
            self.check_orders(placement.agent);
        }
        self.needs_pass = true;
        self.mark_task_dirty(id);
        self.drop_ended(&id.job);
        self.close_if_ended(&id.job);
    }

    fn close_if_ended(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        let is_placed = job.progress.tasks().any(|task| task.placement.is_some());
        if job.state().is_final() && !is_placed {
            self.open.remove(id);
            self.advice.remove_job(id);
        }
    }
}

/// Returns the ids of all tasks of the occurrences that are due.
fn task_ids(job: &JobId, progress: &JobProgress) -> Vec<TaskId> {
    let mut ids = Vec::new();
    for (occurrence, steps) in &progress.occurrences {
        for (step, tasks) in steps.iter().enumerate() {
            ids.extend((0..tasks.tasks.len()).map(|index| TaskId {
                job: job.clone(),
                occurrence: *occurrence,
                step: step as u32,
                index: index as u32,
            }));
        }
    }
    ids
}
