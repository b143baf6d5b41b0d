//! Workers, racks and availability zones of a region, and their allocation.

use std::collections::{BTreeMap, BTreeSet};

use cumindeck_types::{AvailabilityZone, RackId, WorkerId};

use crate::accelerators::AcceleratorSet;
use crate::job::JobKey;
use crate::supply::{CellCounts, CellSizes};

/// A worker as configured by the operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerSpec {
    /// Id of the worker, unique in the region.
    pub worker: WorkerId,
    /// Rack that the worker is mounted in.
    pub rack: RackId,
    /// Availability zone, which operators take out of service as a whole.
    pub zone: AvailabilityZone,
    /// Number of accelerators, from 0 to 64.
    pub accelerators: u8,
}

/// Whether a worker may get tasks, apart from its availability zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkerHealth {
    /// May get tasks.
    Serving,
    /// Has failed; may get tasks again after [`crate::Event::WorkerReturned`].
    Failed,
    /// Is excluded because tasks of several jobs failed on it.
    Quarantined,
    /// Was removed by an operator, or waits for a changed specification to take effect.
    Removed,
}

/// Index of a worker in [`Cluster::workers`].
pub(crate) type WorkerIndex = usize;

/// A task on a worker.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Occupant {
    pub job: JobKey,
    pub set: AcceleratorSet,
}

/// A worker and its allocation.
#[derive(Debug, Clone)]
pub(crate) struct Worker {
    /// Specification in effect.
    pub spec: WorkerSpec,
    /// Specification that takes effect when no task or cell is on the worker.
    pub pending: Option<WorkerSpec>,
    /// Index in [`Cluster::racks`].
    pub rack: usize,
    /// Health, whatever the state of the availability zone.
    pub health: WorkerHealth,
    /// Whether the worker's availability zone is in service.
    pub is_open: bool,
    /// Whether several jobs have failed here recently.
    pub is_suspect: bool,
    /// Accelerators with a task that may still run.
    pub used: AcceleratorSet,
    /// Accelerators allocated to work within a guarantee, running or about to start.
    pub guaranteed: AcceleratorSet,
    /// Accelerators that belong to a bound guarantee cell.
    pub bound: AcceleratorSet,
    /// Accelerators reserved for an aged job.
    pub reserved: AcceleratorSet,
    /// Tasks that may still run.
    pub occupants: Vec<Occupant>,
}

impl Worker {
    pub fn is_serving(&self) -> bool {
        self.health == WorkerHealth::Serving && self.is_open
    }

    /// Returns whether the worker belongs to the region, in service or not.
    pub fn is_registered(&self) -> bool {
        self.health != WorkerHealth::Removed || self.pending.is_some()
    }

    /// Returns all accelerators, or none if the worker may not get tasks.
    pub fn usable(&self) -> AcceleratorSet {
        match self.is_serving() {
            true => AcceleratorSet::range(0, self.spec.accelerators),
            false => AcceleratorSet::EMPTY,
        }
    }

    /// Returns the usable accelerators outside bound cells.
    pub fn pool(&self) -> AcceleratorSet {
        self.usable().minus(self.bound)
    }

    /// Returns the accelerators that borrowed work may use immediately.
    pub fn free(&self) -> AcceleratorSet {
        self.usable()
            .minus(self.used)
            .minus(self.guaranteed)
            .minus(self.reserved)
    }
}

#[derive(Debug, Clone, Default)]
pub(crate) struct Rack {
    /// Workers in the order in which they were added.
    pub workers: Vec<WorkerIndex>,
    /// Number of worker cells outside bound cells.
    pub pool_cells: u32,
    /// Number of worker cells that are entirely free.
    pub free_cells: u32,
}

/// The workers of a region, with counts of their cells.
#[derive(Debug, Clone)]
pub(crate) struct Cluster {
    pub sizes: CellSizes,
    /// All workers; a removed one keeps its index.
    pub workers: Vec<Worker>,
    pub by_id: BTreeMap<WorkerId, WorkerIndex>,
    pub racks: Vec<Rack>,
    pub rack_by_id: BTreeMap<RackId, usize>,
    /// Availability zones that are out of service.
    pub out_of_service: BTreeSet<AvailabilityZone>,
    /// Cells outside bound cells, whether or not borrowed work uses them.
    pub pool: CellCounts,
    /// Cells that borrowed work may use immediately.
    pub free: CellCounts,
    /// Cells of all registered workers, in use or out of service included.
    pub registered: CellCounts,
}

impl Cluster {
    pub fn new(sizes: CellSizes) -> Self {
        Self {
            sizes,
            workers: Vec::new(),
            by_id: BTreeMap::new(),
            racks: Vec::new(),
            rack_by_id: BTreeMap::new(),
            out_of_service: BTreeSet::new(),
            pool: CellCounts::default(),
            free: CellCounts::default(),
            registered: CellCounts::default(),
        }
    }

    /// Adds a worker or changes its specification; a change waits
    /// until its tasks have ended.
    pub fn set_worker(&mut self, spec: WorkerSpec) {
        let Some(index) = self.by_id.get(&spec.worker).copied() else {
            let rack = self.rack_index(&spec.rack);
            let index = self.workers.len();
            self.by_id.insert(spec.worker.clone(), index);
            self.racks[rack].workers.push(index);
            self.workers.push(Worker {
                rack,
                pending: None,
                health: WorkerHealth::Removed,
                is_open: !self.out_of_service.contains(&spec.zone),
                is_suspect: false,
                used: AcceleratorSet::EMPTY,
                guaranteed: AcceleratorSet::EMPTY,
                bound: AcceleratorSet::EMPTY,
                reserved: AcceleratorSet::EMPTY,
                occupants: Vec::new(),
                spec,
            });
            self.update(index, |worker| worker.health = WorkerHealth::Serving);
            return;
        };
        self.update(index, |worker| {
            worker.health = WorkerHealth::Removed;
            worker.pending = Some(spec);
        });
        self.apply_pending(index);
    }

    /// Applies a changed specification if no task or cell is on the worker.
    pub fn apply_pending(&mut self, index: WorkerIndex) {
        let worker = &mut self.workers[index];
        if !worker.occupants.is_empty() || !worker.bound.is_empty() || !worker.guaranteed.is_empty()
        {
            return;
        }
        let Some(spec) = worker.pending.clone() else {
            return;
        };
        let old_rack = worker.rack;
        let rack = self.rack_index(&spec.rack);
        self.racks[old_rack].workers.retain(|other| *other != index);
        self.racks[rack].workers.push(index);
        let is_open = !self.out_of_service.contains(&spec.zone);
        self.update(index, |worker| {
            (worker.rack, worker.spec, worker.is_open) = (rack, spec, is_open);
            worker.pending = None;
            worker.health = WorkerHealth::Serving;
        });
    }

    /// Takes an availability zone out of service or returns it; returns its workers.
    pub fn set_zone(&mut self, zone: &AvailabilityZone, is_open: bool) -> Vec<WorkerIndex> {
        match is_open {
            true => self.out_of_service.remove(zone),
            false => self.out_of_service.insert(zone.clone()),
        };
        let members: Vec<_> = (0..self.workers.len())
            .filter(|i| &self.workers[*i].spec.zone == zone)
            .collect();
        for index in &members {
            self.update(*index, |worker| worker.is_open = is_open);
        }
        members
    }

    /// Changes a worker and updates the counts of cells.
    pub fn update(&mut self, index: WorkerIndex, change: impl FnOnce(&mut Worker)) {
        self.update_counts(index, false);
        change(&mut self.workers[index]);
        self.update_counts(index, true);
    }

    fn update_counts(&mut self, index: WorkerIndex, is_added: bool) {
        let add = |count: &mut u32| *count = if is_added { *count + 1 } else { *count - 1 };
        let (worker, worker_class) = (&self.workers[index], self.sizes.worker_class());
        let rack = &mut self.racks[worker.rack];
        let racks_before = rack.pool_cells / self.sizes.rack_workers();
        for block in worker.pool().blocks(worker_class) {
            add(&mut self.pool.blocks[block.class]);
            if block.class == worker_class {
                add(&mut rack.pool_cells);
            }
        }
        for block in worker.free().blocks(worker_class) {
            add(&mut self.free.blocks[block.class]);
            if block.class == worker_class {
                add(&mut rack.free_cells);
            }
        }
        if worker.is_registered() {
            for block in AcceleratorSet::range(0, worker.spec.accelerators).blocks(worker_class) {
                add(&mut self.registered.blocks[block.class]);
            }
        }
        let racks_after = rack.pool_cells / self.sizes.rack_workers();
        self.pool.racks = self.pool.racks + racks_after - racks_before;
    }

    fn rack_index(&mut self, id: &RackId) -> usize {
        if let Some(index) = self.rack_by_id.get(id) {
            return *index;
        }
        self.racks.push(Rack::default());
        self.rack_by_id.insert(id.clone(), self.racks.len() - 1);
        self.racks.len() - 1
    }
}
