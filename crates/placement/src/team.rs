//! Teams and the cells of their guarantees.
//!
//! A guarantee cell is bound to a place in the cluster while work within the
//! guarantee runs in it, and unbound otherwise. The place as a whole stays with
//! the team while it is bound, so that the cell is intact when the work ends.

use std::collections::BTreeMap;

use cumindeck_types::{CellLevel, Shape};

use crate::accelerators::AcceleratorSet;
use crate::cluster::{Cluster, WorkerIndex};
use crate::job::JobKey;
use crate::supply::{CellSizes, Counts};

/// A cell of a team's guarantee.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CellRef {
    /// Level of the cell.
    pub level: CellLevel,
    /// Number among the team's cells of this level, from 0.
    pub ordinal: u32,
}

/// Accelerators of one worker that a cell is bound to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Place {
    /// The worker.
    pub worker: WorkerIndex,
    /// The accelerators.
    pub set: AcceleratorSet,
}

/// A guarantee cell with its places.
#[derive(Debug, Clone)]
pub(crate) struct GuaranteeCell {
    /// One place for each worker of a rack cell, else one.
    pub places: Vec<Option<Place>>,
    /// Whether the cell is no longer in the guarantee and goes when it is unbound.
    pub is_retired: bool,
}

impl GuaranteeCell {
    fn new(level: CellLevel, sizes: CellSizes) -> Self {
        let places = if level == CellLevel::Rack {
            sizes.rack_workers() as usize
        } else {
            1
        };
        Self {
            places: vec![None; places],
            is_retired: false,
        }
    }

    /// Tells whether no place is bound.
    pub fn is_unbound(&self) -> bool {
        self.places.iter().all(Option::is_none)
    }

    /// Returns the number of places that are not bound.
    pub fn open_places(&self) -> usize {
        self.places.iter().filter(|place| place.is_none()).count()
    }

    /// Adds the cells that are still to be found for this cell.
    fn add_demand(&self, level: CellLevel, sizes: CellSizes, demand: &mut Counts) {
        if self.is_retired {
            return;
        }
        match level {
            CellLevel::Rack => demand.racks += u32::from(self.is_unbound()),
            _ => demand.blocks[sizes.class(level)] += self.open_places() as u32,
        }
    }
}

/// A team with its guarantee.
#[derive(Debug, Clone, Default)]
pub(crate) struct Team {
    /// Guaranteed shape.
    pub guarantee: Shape,
    /// Cells of the guarantee.
    pub cells: BTreeMap<CellRef, GuaranteeCell>,
    /// Aged job for which the guarantee is kept free.
    pub hold: Option<JobKey>,
    /// Accelerators of running gangs, borrowed or not.
    pub used: u32,
    /// Accelerators of running gangs within the guarantee.
    pub used_guaranteed: u32,
    /// Whether the team runs nothing beyond its guarantee.
    pub is_confined: bool,
    /// Whether the team is gone as soon as its last gang has ended.
    pub is_removed: bool,
}

impl Team {
    /// Changes the guarantee; cells in use that are no longer in it are retired.
    pub fn set_guarantee(&mut self, guarantee: &Shape, sizes: CellSizes) {
        for level in CellLevel::ALL {
            for ordinal in 0..guarantee.count(level) {
                let cell = self
                    .cells
                    .entry(CellRef { level, ordinal })
                    .or_insert_with(|| GuaranteeCell::new(level, sizes));
                cell.is_retired = false;
            }
        }
        for (cell_ref, cell) in &mut self.cells {
            cell.is_retired = cell_ref.ordinal >= guarantee.count(cell_ref.level);
        }
        self.cells
            .retain(|_, cell| !cell.is_retired || !cell.is_unbound());
        self.guarantee = guarantee.clone();
    }

    /// Returns the workers that bound rack cells lack, because they are out.
    ///
    /// Only workers of the same rack replace them: with a worker of another rack,
    /// the returned one could go to another team and the rack cell would not fit
    /// any more after its work has ended.
    pub fn missing_rack_workers(&self) -> u32 {
        let bound = self
            .cells
            .values()
            .filter(|cell| !cell.is_retired && !cell.is_unbound());
        bound.map(|cell| cell.open_places() as u32).sum()
    }

    /// Returns the cells of the guarantee that are not bound.
    pub fn demand(&self, sizes: CellSizes) -> Counts {
        let mut demand = Counts::default();
        for (cell_ref, cell) in &self.cells {
            cell.add_demand(cell_ref.level, sizes, &mut demand);
        }
        demand
    }

    /// Returns the place of a cell, made on restore if it isn't there.
    pub fn restore_cell(&mut self, cell_ref: CellRef, sizes: CellSizes) -> &mut GuaranteeCell {
        let is_retired = cell_ref.ordinal >= self.guarantee.count(cell_ref.level);
        self.cells.entry(cell_ref).or_insert_with(|| GuaranteeCell {
            is_retired,
            ..GuaranteeCell::new(cell_ref.level, sizes)
        })
    }

    /// Tells whether the team is removed and nothing of it runs.
    pub fn is_gone(&self) -> bool {
        self.is_removed && self.cells.is_empty() && self.used == 0
    }

    /// Returns the accelerators of the whole guarantee in blocks of `class`.
    pub fn capacity(&self, class: usize, sizes: CellSizes) -> u32 {
        let cells = self.guarantee.cells().iter();
        cells
            .map(|cell| cell.count * (sizes.accelerators(cell.level) >> class))
            .sum()
    }

    /// Unbinds what no work needs any more: whole cells without work, and the
    /// places of a rack cell on workers that are out.
    pub fn release_idle(&mut self, cluster: &mut Cluster) {
        for cell in self.cells.values_mut() {
            let is_idle =
                |place: &Place| !cluster.workers[place.worker].guaranteed.overlaps(place.set);
            let all_idle = cell.places.iter().flatten().all(is_idle);
            let mut freed = Vec::new();
            for slot in &mut cell.places {
                let Some(place) = *slot else { continue };
                let is_out = !cluster.workers[place.worker].is_serving();
                if all_idle || (is_out && is_idle(&place)) {
                    *slot = None;
                    freed.push(place);
                }
            }
            for place in freed {
                cluster.update(place.worker, |w| w.bound = w.bound.minus(place.set));
                cluster.apply_pending(place.worker);
            }
        }
        self.cells
            .retain(|_, cell| !cell.is_retired || !cell.is_unbound());
    }
}
