//! State of a region's placement, which policies read and the machine changes.

use std::collections::{BTreeMap, BTreeSet};

use cumindeck_types::{AvailabilityZone, CellLevel, JobId, RackId, TeamId, Uptime, WorkerId};

use crate::accelerators::AcceleratorSet;
use crate::cluster::{Cluster, Occupant, Worker, WorkerHealth};
use crate::event::{Shortage, TaskPlacement};
use crate::job::{Assigned, Job, JobKey, Phase};
use crate::supply::{CellSizes, Counts};
use crate::team::Team;

/// Cost of the stop of an urgent gang, in accelerator milliseconds: 35 accelerator
/// years, more than the work of a gang of 512 in three weeks.
const URGENT_COST: u64 = 1 << 40;

/// State of a region's placement.
#[derive(Debug, Clone)]
pub struct State {
    /// Time of the current step.
    pub(crate) now: Uptime,
    /// Workers with their use.
    pub(crate) cluster: Cluster,
    /// Teams by name.
    pub(crate) teams: BTreeMap<TeamId, Team>,
    /// Jobs that wait or run, in the order of submission.
    pub(crate) jobs: BTreeMap<JobKey, Job>,
    /// Keys by name.
    pub(crate) by_id: BTreeMap<JobId, JobKey>,
    /// Jobs that wait.
    pub(crate) waiting: BTreeSet<JobKey>,
    /// Unbound guarantee cells of all teams.
    pub(crate) demand: Counts,
    /// Aged job for which accelerators are reserved.
    pub(crate) reservation: Option<JobKey>,
}

/// A worker with its use, for reports and checks.
#[derive(Debug, Clone, Copy)]
pub struct WorkerView<'a> {
    /// Name of the worker.
    pub worker: &'a WorkerId,
    /// Its rack.
    pub rack: &'a RackId,
    /// Its availability zone.
    pub zone: &'a AvailabilityZone,
    /// Number of accelerators.
    pub accelerators: u8,
    /// State apart from the availability zone.
    pub health: WorkerHealth,
    /// Whether it may get tasks.
    pub is_serving: bool,
    /// Accelerators with a task that may still run.
    pub used: AcceleratorSet,
    /// Accelerators held by work within a guarantee.
    pub guaranteed: AcceleratorSet,
    /// Accelerators of bound guarantee cells.
    pub bound: AcceleratorSet,
}

/// A running or reclaiming gang, for reports and checks.
#[derive(Debug, Clone)]
pub struct GangView<'a> {
    /// The job.
    pub job: &'a JobId,
    /// Its team.
    pub team: &'a TeamId,
    /// Whether it may be preempted.
    pub is_borrowed: bool,
    /// Whether it still waits for accelerators that it reclaims.
    pub is_reclaiming: bool,
    /// Tasks that have not ended.
    pub placement: Vec<TaskPlacement>,
}

impl State {
    pub(crate) fn new(sizes: CellSizes) -> Self {
        Self {
            now: Uptime::ZERO,
            cluster: Cluster::new(sizes),
            teams: BTreeMap::new(),
            jobs: BTreeMap::new(),
            by_id: BTreeMap::new(),
            waiting: BTreeSet::new(),
            demand: Counts::default(),
            reservation: None,
        }
    }

    /// Returns the workers in the order of their names.
    pub fn workers(&self) -> impl Iterator<Item = WorkerView<'_>> {
        self.cluster
            .by_id
            .values()
            .map(|index| view(&self.cluster.workers[*index]))
    }

    /// Returns the gangs that hold accelerators, in the order of submission.
    pub fn gangs(&self) -> impl Iterator<Item = GangView<'_>> {
        self.jobs.values().filter_map(|job| {
            let run = job.run.as_ref()?;
            Some(GangView {
                job: &job.spec.job,
                team: &job.spec.team,
                is_borrowed: run.is_borrowed,
                is_reclaiming: run.phase == Phase::Reclaiming,
                placement: self
                    .placement(&run.tasks)
                    .zip(&run.ended)
                    .filter_map(|(task, ended)| ended.is_none().then_some(task))
                    .collect(),
            })
        })
    }

    /// Returns the teams with their guarantees.
    pub fn guarantees(&self) -> impl Iterator<Item = (&TeamId, &cumindeck_types::Shape)> {
        self.teams.iter().map(|(id, team)| (id, &team.guarantee))
    }

    /// Returns the shapes of the jobs that wait, in the order of submission.
    pub fn waiting(&self) -> impl Iterator<Item = &crate::JobSpec> {
        self.waiting.iter().map(|key| &self.jobs[key].spec)
    }

    /// Returns the accelerators in free blocks that hold a task of `2^class` accelerators.
    #[must_use]
    pub fn free_accelerators(&self, task: u8) -> u32 {
        let class = task.max(1).ilog2() as usize;
        self.cluster.free.capacity(class) << class
    }

    /// Returns the guaranteed accelerators that don't fit now, 0 if all guarantees fit.
    #[must_use]
    pub fn shortfall(&self) -> u64 {
        self.cluster
            .pool
            .shortfall(&self.demand, self.cluster.sizes)
    }

    /// Returns the teams that are short; within a cell size those with the larger
    /// missing share of their guarantee are served first.
    #[must_use]
    pub fn shortages(&self) -> Vec<Shortage> {
        let is_whole = |team: &Team| team.missing_rack_workers() == 0;
        if self.shortfall() == 0 && self.teams.values().all(is_whole) {
            return Vec::new();
        }
        let sizes = self.cluster.sizes;
        let mut teams: Vec<_> = self
            .teams
            .iter()
            .map(|(id, team)| (id, team, team.demand(sizes)))
            .collect();
        teams.sort_by_key(|(id, team, _)| (self.share_permille(team), *id));
        let mut unmet = self.cluster.pool.unmet(&self.demand, sizes);
        let mut shortages = Vec::new();
        for (id, team, demand) in teams.iter().rev() {
            let racks = unmet.racks.min(demand.racks);
            unmet.racks -= racks;
            let mut accelerators = racks * sizes.accelerators(CellLevel::Rack);
            accelerators += team.missing_rack_workers() << sizes.top();
            for class in 0..=sizes.top() {
                let blocks = unmet.blocks[class].min(demand.blocks[class]);
                unmet.blocks[class] -= blocks;
                accelerators += blocks << class;
            }
            if accelerators > 0 {
                shortages.push(Shortage {
                    team: (*id).clone(),
                    accelerators,
                });
            }
        }
        shortages.sort_by(|a, b| a.team.cmp(&b.team));
        shortages
    }

    /// Returns the teams that would be short if `team` had `guarantee`.
    ///
    /// Whoever accepts a change of a guarantee asks this first.
    #[must_use]
    pub fn check_guarantee(
        &self,
        team: &TeamId,
        guarantee: &cumindeck_types::Shape,
    ) -> Vec<Shortage> {
        let mut changed = self.clone();
        let sizes = changed.cluster.sizes;
        changed
            .teams
            .entry(team.clone())
            .or_default()
            .set_guarantee(guarantee, sizes);
        changed.count_demand();
        changed.shortages()
    }

    /// Returns a team's use in thousandths of its guarantee.
    pub(crate) fn share_permille(&self, team: &Team) -> u64 {
        let guaranteed = self.cluster.sizes.total(&team.guarantee).max(1);
        u64::from(team.used) * 1000 / u64::from(guaranteed)
    }

    /// Recomputes the unbound cells of all teams.
    pub(crate) fn count_demand(&mut self) {
        let mut sum = Counts::default();
        for team in self.teams.values() {
            let demand = team.demand(self.cluster.sizes);
            sum.racks += demand.racks;
            for (total, blocks) in sum.blocks.iter_mut().zip(demand.blocks) {
                *total += blocks;
            }
        }
        self.demand = sum;
    }

    /// Returns the least work that is lost when a borrowed task is stopped;
    /// gangs that are stopping already cost nothing, urgent ones more than any other.
    pub(crate) fn stop_cost(&self, occupant: &Occupant) -> u64 {
        let run = self
            .jobs
            .get(&occupant.job)
            .and_then(|job| job.run.as_ref());
        match run {
            Some(run) if run.phase == Phase::Started => {
                let is_urgent = self.jobs[&occupant.job].spec.is_urgent;
                1 + run.lost_work(self.now) + if is_urgent { URGENT_COST } else { 0 }
            }
            _ => 0,
        }
    }

    /// Returns the work that is lost when `set` is cleared of borrowed tasks.
    pub(crate) fn clear_cost(&self, worker: &Worker, set: AcceleratorSet) -> u64 {
        if !worker.used.overlaps(set) {
            return 0;
        }
        let hit = worker
            .occupants
            .iter()
            .filter(|occupant| occupant.set.overlaps(set));
        hit.map(|occupant| self.stop_cost(occupant)).sum()
    }

    /// Names workers and tasks of an attempt.
    pub(crate) fn placement<'a>(
        &'a self,
        tasks: &'a [Assigned],
    ) -> impl Iterator<Item = TaskPlacement> + 'a {
        tasks.iter().enumerate().map(|(i, task)| TaskPlacement {
            task: cumindeck_types::TaskIndex::new(i as u64),
            worker: self.cluster.workers[task.worker].spec.worker.clone(),
            accelerators: task.set,
            cell: task.cell,
        })
    }
}

fn view(worker: &Worker) -> WorkerView<'_> {
    WorkerView {
        worker: &worker.spec.worker,
        rack: &worker.spec.rack,
        zone: &worker.spec.zone,
        accelerators: worker.spec.accelerators,
        health: worker.health,
        is_serving: worker.is_serving(),
        used: worker.used,
        guaranteed: worker.guaranteed,
        bound: worker.bound,
    }
}
