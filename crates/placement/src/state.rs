//! Placement state of a region, read by policies and changed by the state machine.

use std::collections::{BTreeMap, BTreeSet};

use cumindeck_types::{AvailabilityZone, CellLevel, JobId, RackId, TeamId, Uptime, WorkerId};

use crate::accelerators::AcceleratorSet;
use crate::cluster::{Cluster, Occupant, Worker, WorkerHealth};
use crate::event::{Shortage, TaskPlacement};
use crate::job::{Job, JobKey, Phase, TaskAssignment};
use crate::supply::{CellCounts, CellSizes};
use crate::team::Team;

/// Additional cost of stopping an urgent gang, in accelerator milliseconds: 35
/// accelerator years, more than a gang of 512 accelerators uses in three weeks.
const URGENT_STOP_COST: u64 = 1 << 40;

/// Workers, teams and jobs of a region; policies can only read them.
#[derive(Debug, Clone)]
pub struct State {
    /// Time of the current step.
    pub(crate) now: Uptime,
    pub(crate) cluster: Cluster,
    pub(crate) teams: BTreeMap<TeamId, Team>,
    /// Jobs that wait or run, in the order of submission.
    pub(crate) jobs: BTreeMap<JobKey, Job>,
    pub(crate) by_id: BTreeMap<JobId, JobKey>,
    pub(crate) waiting: BTreeSet<JobKey>,
    /// Unbound guarantee cells of all teams, which must fit into [`Cluster::pool`].
    pub(crate) demand: CellCounts,
    /// Aged job for which accelerators are reserved.
    pub(crate) reservation: Option<JobKey>,
}

/// A worker and its allocation, for reports and checks.
#[derive(Debug, Clone, Copy)]
pub struct WorkerView<'a> {
    /// Id of the worker, unique in the region.
    pub worker: &'a WorkerId,
    /// Rack that the worker is mounted in.
    pub rack: &'a RackId,
    /// Availability zone, which is in service if `is_serving`.
    pub zone: &'a AvailabilityZone,
    /// Number of accelerators.
    pub accelerators: u8,
    /// Health apart from the availability zone.
    pub health: WorkerHealth,
    /// Whether the worker may get tasks: it is healthy and its zone is in service.
    pub is_serving: bool,
    /// Accelerators with a task that may still run.
    pub used: AcceleratorSet,
    /// Accelerators allocated to work within a guarantee.
    pub guaranteed: AcceleratorSet,
    /// Accelerators of bound guarantee cells.
    pub bound: AcceleratorSet,
}

/// A running or reclaiming gang, for reports and checks.
#[derive(Debug, Clone)]
pub struct GangView<'a> {
    /// Id of the gang's job.
    pub job: &'a JobId,
    /// Team of the job, whose guarantee the gang uses unless it is borrowed.
    pub team: &'a TeamId,
    /// Whether the gang runs beyond its team's guarantee.
    pub is_borrowed: bool,
    /// Whether the gang still waits for borrowed work to leave its accelerators.
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
            demand: CellCounts::default(),
            reservation: None,
        }
    }

    /// Returns the workers, ordered by id.
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

    /// Returns the waiting jobs in the order of submission.
    pub fn waiting(&self) -> impl Iterator<Item = &crate::JobSpec> {
        self.waiting.iter().map(|key| &self.jobs[key].spec)
    }

    /// Returns the number of free accelerators in aligned blocks that fit a task of
    /// `task` accelerators; `task` is rounded down to a power of two.
    #[must_use]
    pub fn free_accelerators(&self, task: u8) -> u32 {
        let class = task.max(1).ilog2() as usize;
        self.cluster.free.capacity(class) << class
    }

    /// Returns the number of accelerators in unbound guarantee cells that do not fit into
    /// the capacity outside bound cells; 0 if all guarantees can be met.
    #[must_use]
    pub fn shortfall(&self) -> u64 {
        self.cluster
            .pool
            .shortfall(&self.demand, self.cluster.sizes)
    }

    /// Returns the teams whose guarantee cannot be met now. Missing cells of a size are
    /// attributed first to the teams that use the largest share of their guarantee.
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
            accelerators += team.missing_rack_workers() << sizes.worker_class();
            for class in 0..=sizes.worker_class() {
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

    /// Returns the teams whose guarantee could not be met if `team` had `guarantee`.
    ///
    /// Callers check a change of a guarantee with it before they accept the change.
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

    /// Recomputes the number of unbound cells of all teams.
    pub(crate) fn count_demand(&mut self) {
        let mut sum = CellCounts::default();
        for team in self.teams.values() {
            let demand = team.demand(self.cluster.sizes);
            sum.racks += demand.racks;
            for (total, blocks) in sum.blocks.iter_mut().zip(demand.blocks) {
                *total += blocks;
            }
        }
        self.demand = sum;
    }

    /// Returns the work lost when the gang of a borrowed task is stopped: nothing for a
    /// gang that is stopping already, and more than for any other if it is urgent.
    pub(crate) fn stop_cost(&self, occupant: &Occupant) -> u64 {
        let run = self
            .jobs
            .get(&occupant.job)
            .and_then(|job| job.run.as_ref());
        match run {
            Some(run) if run.phase == Phase::Started => {
                let is_urgent = self.jobs[&occupant.job].spec.is_urgent;
                // At least 1, so that a gang that is stopping already costs less.
                1 + run.lost_work(self.now) + if is_urgent { URGENT_STOP_COST } else { 0 }
            }
            _ => 0,
        }
    }

    /// Returns the work lost when `set` is cleared of borrowed tasks.
    pub(crate) fn preemption_cost(&self, worker: &Worker, set: AcceleratorSet) -> u64 {
        if !worker.used.overlaps(set) {
            return 0;
        }
        let hit = worker
            .occupants
            .iter()
            .filter(|occupant| occupant.set.overlaps(set));
        hit.map(|occupant| self.stop_cost(occupant)).sum()
    }

    /// Returns the placement of an attempt's tasks, with worker ids.
    pub(crate) fn placement<'a>(
        &'a self,
        tasks: &'a [TaskAssignment],
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
