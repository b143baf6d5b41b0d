//! The state machine for the placement of a region.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cumindeck_types::{Attempt, JobId, Shape, TeamId, Uptime};

use crate::admission::admit;
use crate::cluster::{Cluster, WorkerHealth, WorkerSpec};
use crate::event::{Effect, Event, JobOutcome, Refusal, RefusalReason, Shortage, StopReason};
use crate::health::{RETRY_CONFIRMATION_TIME, WorkerFailures};
use crate::job::{Job, JobKey, JobSpec, Phase, TaskOutcome};
use crate::policy::PlacementPolicy;
use crate::state::State;
use crate::supply::CellSizes;
use crate::team::{Place, Team};

/// Time between the request for a checkpoint and the stop.
pub(crate) const CHECKPOINT_TIME: Duration = Duration::from_secs(2);

/// Settings of a region's placement.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// Accelerators of a worker cell and workers of a rack cell.
    pub sizes: CellSizes,
    /// Waiting time after which capacity is kept free for a job.
    pub aging: Duration,
    /// Number of jobs that must have failed on a worker, and only
    /// there, for a quarantine.
    pub quarantine_jobs: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            sizes: CellSizes::default(),
            aging: Duration::from_secs(600),
            quarantine_jobs: 3,
        }
    }
}

/// Placement of a region; see the crate documentation.
pub struct Placement {
    pub(crate) state: State,
    pub(crate) policy: Box<dyn PlacementPolicy>,
    pub(crate) settings: Settings,
    pub(crate) failures: WorkerFailures,
    /// Gangs that start when the accelerators of their plan have been reclaimed from
    /// other gangs.
    pub(crate) reclaiming: BTreeSet<JobKey>,
    /// Gangs with a requested checkpoint, by the time of their stop.
    pub(crate) stops: BTreeMap<(Uptime, JobKey), StopReason>,
    /// Retried jobs that have not yet run elsewhere for [`RETRY_CONFIRMATION_TIME`].
    pub(crate) confirming_retries: BTreeSet<JobKey>,
    /// Failed jobs, by the time of their next attempt.
    pub(crate) retries: BTreeSet<(Uptime, JobKey)>,
    /// Accelerators reserved for the job in [`State::reservation`].
    pub(crate) reserved: Vec<Place>,
    /// Shortages in the last report.
    pub(crate) shortages: Vec<Shortage>,
    /// Whether a waiting job may have become placeable since the last pass.
    pub(crate) needs_scheduling: bool,
    /// Whether workers that bound rack cells may lack have returned to service.
    pub(crate) may_complete_racks: bool,
    pub(crate) next_key: u64,
}

impl Placement {
    /// Creates the placement of a region without workers, teams and jobs.
    #[must_use]
    pub fn new(settings: Settings, policy: Box<dyn PlacementPolicy>) -> Self {
        Self {
            state: State::new(settings.sizes),
            policy,
            settings,
            failures: WorkerFailures::default(),
            reclaiming: BTreeSet::new(),
            stops: BTreeMap::new(),
            confirming_retries: BTreeSet::new(),
            retries: BTreeSet::new(),
            reserved: Vec::new(),
            shortages: Vec::new(),
            needs_scheduling: false,
            may_complete_racks: false,
            next_key: 0,
        }
    }

    /// Returns the state for reports and checks.
    #[must_use]
    pub const fn state(&self) -> &State {
        &self.state
    }

    /// Applies one event, then makes decisions.
    pub fn step(&mut self, now: Uptime, event: Event) -> Vec<Effect> {
        self.step_batch(now, [event])
    }

    /// Applies several events, then makes decisions once.
    pub fn step_batch(
        &mut self,
        now: Uptime,
        events: impl IntoIterator<Item = Event>,
    ) -> Vec<Effect> {
        self.state.now = now;
        let mut effects = Vec::new();
        for event in events {
            self.apply(event, &mut effects);
        }
        if std::mem::take(&mut self.may_complete_racks) {
            self.complete_racks();
        }
        self.order_due_stops(&mut effects);
        self.review_health(&mut effects);
        self.start_reclaimed(&mut effects);
        self.end_backoffs();
        if std::mem::take(&mut self.needs_scheduling) {
            self.schedule(&mut effects);
        }
        let shortages = self.state.shortages();
        if shortages != self.shortages {
            self.shortages.clone_from(&shortages);
            effects.push(Effect::GuaranteesShort(shortages));
        }
        effects
    }

    /// Returns when the next [`Event::Tick`] is due.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Uptime> {
        let stop = self.stops.keys().next().map(|(at, _)| *at);
        let retry = self.retries.first().map(|(at, _)| *at);
        let confirmation = self.confirming_retries.iter().filter_map(|key| {
            let run = self.state.jobs.get(key)?.run.as_ref()?;
            Some(run.running_since?.plus(RETRY_CONFIRMATION_TIME))
        });
        let aging = self.state.waiting.iter().filter_map(|key| {
            let at = self.state.jobs[key].waiting_since.plus(self.settings.aging);
            (at > self.state.now).then_some(at)
        });
        stop.into_iter()
            .chain(retry)
            .chain(confirmation)
            .chain(aging)
            .min()
    }

    fn apply(&mut self, event: Event, effects: &mut Vec<Effect>) {
        match event {
            Event::WorkerSet(spec) => self.set_worker(spec, effects),
            Event::WorkerRemoved(id) => self.disable_worker(&id, WorkerHealth::Removed, effects),
            Event::WorkerFailed(id) => self.disable_worker(&id, WorkerHealth::Failed, effects),
            Event::WorkerReturned(id) => {
                let Some(index) = self.state.cluster.by_id.get(&id).copied() else {
                    return;
                };
                self.failures.clear(index);
                self.state.cluster.update(index, |worker| {
                    worker.is_suspect = false;
                    if worker.pending.is_none() {
                        worker.health = WorkerHealth::Serving;
                    }
                });
                (self.needs_scheduling, self.may_complete_racks) = (true, true);
            }
            Event::WorkerLeaseExpired(id) => {
                let Some(index) = self.state.cluster.by_id.get(&id).copied() else {
                    return;
                };
                self.end_tasks_on(index, effects);
            }
            Event::ZoneClosed(zone) => {
                let workers = self.state.cluster.set_zone(&zone, false);
                self.stop_gangs_on(&workers, StopReason::ZoneClosed, effects);
            }
            Event::ZoneOpened(zone) => {
                self.state.cluster.set_zone(&zone, true);
                (self.needs_scheduling, self.may_complete_racks) = (true, true);
            }
            Event::TeamSet(team, guarantee) => self.set_team(&team, &guarantee),
            Event::TeamBorrowing(team, may_borrow) => {
                self.state
                    .teams
                    .entry(team)
                    .or_default()
                    .is_borrowing_disabled = !may_borrow;
                self.needs_scheduling = true;
            }
            Event::TeamRemoved(team) => self.remove_team(&team, effects),
            Event::Submit(spec) => self.submit(spec, effects),
            Event::Cancel(job) => self.cancel(&job, effects),
            Event::GangRunning(job, attempt) => {
                let now = self.state.now;
                let Some((key, job)) = self.current(&job, attempt) else {
                    return;
                };
                let is_retry = !job.failed_on.is_empty();
                job.run
                    .iter_mut()
                    .for_each(|run| run.running_since = run.running_since.or(Some(now)));
                if is_retry {
                    self.confirming_retries.insert(key);
                }
            }
            Event::StartFailed(job, attempt) => {
                let Some((key, job)) = self.current(&job, attempt) else {
                    return;
                };
                let tasks = job.run.as_ref().map_or(0, |run| run.tasks.len());
                (0..tasks).for_each(|i| self.end_task(key, i, TaskOutcome::Stopped, effects));
            }
            Event::TaskEnded(job, attempt, task, outcome) => {
                let Some((key, _)) = self.current(&job, attempt) else {
                    return;
                };
                let Ok(task) = usize::try_from(task.get()) else {
                    return;
                };
                self.end_task(key, task, outcome, effects);
            }
            Event::Restore(record) => self.restore(&record, effects),
            Event::Tick => {}
        }
    }

    /// Returns the job if `attempt` is its current one.
    fn current(&mut self, job: &JobId, attempt: Attempt) -> Option<(JobKey, &mut Job)> {
        let key = *self.state.by_id.get(job)?;
        let job = self.state.jobs.get_mut(&key)?;
        let run = job.run.as_ref()?;
        (run.attempt == attempt && run.phase != Phase::Reclaiming).then_some((key, job))
    }

    fn set_worker(&mut self, spec: WorkerSpec, effects: &mut Vec<Effect>) {
        let known = self.state.cluster.by_id.get(&spec.worker).copied();
        if let Some(index) = known {
            let worker = &self.state.cluster.workers[index];
            if worker.spec == spec && worker.health != WorkerHealth::Removed {
                return;
            }
        }
        self.state.cluster.set_worker(spec);
        if let Some(index) = known {
            self.stop_gangs_on(&[index], StopReason::WorkerLost, effects);
        }
        (self.needs_scheduling, self.may_complete_racks) = (true, true);
    }

    fn disable_worker(
        &mut self,
        id: &cumindeck_types::WorkerId,
        health: WorkerHealth,
        effects: &mut Vec<Effect>,
    ) {
        let Some(index) = self.state.cluster.by_id.get(id).copied() else {
            return;
        };
        self.state.cluster.update(index, |worker| {
            worker.health = health;
            if health == WorkerHealth::Removed {
                worker.pending = None;
            }
        });
        self.stop_gangs_on(&[index], StopReason::WorkerLost, effects);
        if health == WorkerHealth::Removed {
            self.refuse_impossible(effects);
        }
    }

    fn set_team(&mut self, id: &TeamId, guarantee: &Shape) {
        let sizes = self.settings.sizes;
        self.state.teams.entry(id.clone()).or_default();
        self.change_team(id, |team, _| {
            team.is_removed = false;
            team.set_guarantee(guarantee, sizes);
        });
        self.needs_scheduling = true;
    }

    fn remove_team(&mut self, id: &TeamId, effects: &mut Vec<Effect>) {
        self.set_team(id, &Shape::default());
        let of_team = |key: &JobKey| &self.state.jobs[key].spec.team == id;
        let keys: Vec<_> = self.state.waiting.iter().copied().filter(of_team).collect();
        for key in keys {
            let refusal = Refusal {
                reason: RefusalReason::UnknownTeam,
                nearest: None,
            };
            let job = self.remove_job(key);
            effects.push(Effect::Refuse(job.spec.job, refusal));
        }
        self.state.teams.entry(id.clone()).or_default().is_removed = true;
        self.drop_team_if_idle(id);
    }

    /// Drops a removed team once none of its gangs is left.
    pub(crate) fn drop_team_if_idle(&mut self, id: &TeamId) {
        if self
            .state
            .teams
            .get(id)
            .is_some_and(Team::is_removed_and_idle)
        {
            self.state.teams.remove(id);
        }
    }

    /// Changes a team's cells and updates the total of unbound cells.
    pub(crate) fn change_team(
        &mut self,
        id: &TeamId,
        change: impl FnOnce(&mut Team, &mut Cluster),
    ) {
        let Some(team) = self.state.teams.get_mut(id) else {
            return;
        };
        let before = team.demand(self.settings.sizes);
        change(team, &mut self.state.cluster);
        let after = team.demand(self.settings.sizes);
        let demand = &mut self.state.demand;
        demand.racks = demand.racks + after.racks - before.racks;
        for class in 0..demand.blocks.len() {
            demand.blocks[class] =
                demand.blocks[class] + after.blocks[class] - before.blocks[class];
        }
    }

    fn submit(&mut self, spec: JobSpec, effects: &mut Vec<Effect>) {
        let team = self.state.teams.get(&spec.team);
        let reason = match () {
            () if team.is_none_or(|team| team.is_removed) => Some(RefusalReason::UnknownTeam),
            () if self.state.by_id.contains_key(&spec.job) => Some(RefusalReason::DuplicateJob),
            () => None,
        };
        let admitted = match reason {
            Some(reason) => Err(Refusal {
                reason,
                nearest: None,
            }),
            None => admit(&self.state.cluster, spec.gang),
        };
        match admitted {
            Ok(class) => drop(self.add_job(spec, class)),
            Err(refusal) => effects.push(Effect::Refuse(spec.job, refusal)),
        }
    }

    /// Adds a waiting job.
    pub(crate) fn add_job(&mut self, spec: JobSpec, class: usize) -> JobKey {
        let key = JobKey(self.next_key);
        self.next_key += 1;
        self.state.by_id.insert(spec.job.clone(), key);
        self.state.waiting.insert(key);
        let job = Job {
            spec,
            class,
            submitted: self.state.now,
            waiting_since: self.state.now,
            last_attempt: Attempt::default(),
            attained_service: 0,
            failed_on: BTreeSet::new(),
            failures: 0,
            is_cancelled: false,
            run: None,
        };
        self.state.jobs.insert(key, job);
        self.needs_scheduling = true;
        key
    }

    fn cancel(&mut self, id: &JobId, effects: &mut Vec<Effect>) {
        let Some(key) = self.state.by_id.get(id).copied() else {
            return;
        };
        if self.reclaiming.contains(&key) {
            self.cancel_plan(key);
        }
        let Some(job) = self.state.jobs.get_mut(&key) else {
            return;
        };
        if job.run.is_some() {
            job.is_cancelled = true;
            self.order_stop(key, StopReason::Cancelled, effects);
            return;
        }
        let job = self.remove_job(key);
        effects.push(Effect::Ended(job.spec.job, JobOutcome::Cancelled));
    }
}
