//! Teams and the cells of their guarantees.
//!
//! A guarantee cell is bound to accelerators while work within the guarantee runs
//! in it, and unbound otherwise. All accelerators of a bound cell stay with the
//! team, so that the cell is intact when the work ends.

use std::collections::BTreeMap;

use cumindeck_types::{CellLevel, Shape};

use crate::accelerators::AcceleratorSet;
use crate::cluster::{Cluster, WorkerIndex};
use crate::job::JobKey;
use crate::supply::{CellCounts, CellSizes};

/// A cell of a team's guarantee.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CellRef {
    /// Level, which sets the size of the cell; see [`CellSizes::accelerators`].
    pub level: CellLevel,
    /// Number among the team's cells of this level, from 0.
    pub ordinal: u32,
}

/// Accelerators of one worker that a cell is bound to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Place {
    pub worker: WorkerIndex,
    pub set: AcceleratorSet,
}

/// A guarantee cell and the places that it is bound to.
#[derive(Debug, Clone)]
pub(crate) struct GuaranteeCell {
    /// One entry per worker cell of a rack cell, otherwise a single entry.
    pub places: Vec<Option<Place>>,
    /// Whether the cell is no longer part of the guarantee; it is removed once unbound.
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

    /// Returns whether no place is bound.
    pub fn is_unbound(&self) -> bool {
        self.places.iter().all(Option::is_none)
    }

    /// Returns the number of places that are not bound.
    pub fn unbound_places(&self) -> usize {
        self.places.iter().filter(|place| place.is_none()).count()
    }

    /// Adds the unbound part of this cell to `demand`.
    fn add_demand(&self, level: CellLevel, sizes: CellSizes, demand: &mut CellCounts) {
        if self.is_retired {
            return;
        }
        match level {
            CellLevel::Rack => demand.racks += u32::from(self.is_unbound()),
            _ => demand.blocks[sizes.class(level)] += self.unbound_places() as u32,
        }
    }
}

/// A team, its guarantee and its use.
#[derive(Debug, Clone, Default)]
pub(crate) struct Team {
    pub guarantee: Shape,
    /// Cells of the guarantee, and retired cells that are still bound.
    pub cells: BTreeMap<CellRef, GuaranteeCell>,
    /// Aged job for which the guarantee is reserved.
    pub guarantee_reserved_for: Option<JobKey>,
    /// Accelerators of running and reclaiming gangs, borrowed or not.
    pub used: u32,
    /// The part of `used` within the guarantee.
    pub used_guaranteed: u32,
    /// Whether the team may not run work beyond its guarantee.
    pub is_borrowing_disabled: bool,
    /// Whether the team is dropped as soon as its last gang has ended.
    pub is_removed: bool,
}

impl Team {
    /// Changes the guarantee; bound cells that are no longer part of it are retired.
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

    /// Returns the number of worker cells that bound rack cells lack because their
    /// workers are out of service.
    ///
    /// Only workers of the same rack replace them: with a worker of another rack, the
    /// returned worker could go to another team, and the rack cell would no longer fit
    /// after its work has ended.
    pub fn missing_rack_workers(&self) -> u32 {
        let bound = self
            .cells
            .values()
            .filter(|cell| !cell.is_retired && !cell.is_unbound());
        bound.map(|cell| cell.unbound_places() as u32).sum()
    }

    /// Returns the unbound cells of the guarantee.
    pub fn demand(&self, sizes: CellSizes) -> CellCounts {
        let mut demand = CellCounts::default();
        for (cell_ref, cell) in &self.cells {
            cell.add_demand(cell_ref.level, sizes, &mut demand);
        }
        demand
    }

    /// Returns the cell of a restored task, which is added if it does not exist.
    pub fn restore_cell(&mut self, cell_ref: CellRef, sizes: CellSizes) -> &mut GuaranteeCell {
        let is_retired = cell_ref.ordinal >= self.guarantee.count(cell_ref.level);
        self.cells.entry(cell_ref).or_insert_with(|| GuaranteeCell {
            is_retired,
            ..GuaranteeCell::new(cell_ref.level, sizes)
        })
    }

    /// Returns whether the team was removed and none of its gangs is left.
    pub fn is_removed_and_idle(&self) -> bool {
        self.is_removed && self.cells.is_empty() && self.used == 0
    }

    /// Returns the size of the whole guarantee in blocks of `class`.
    pub fn capacity(&self, class: usize, sizes: CellSizes) -> u32 {
        let cells = self.guarantee.cells().iter();
        cells
            .map(|cell| cell.count * (sizes.accelerators(cell.level) >> class))
            .sum()
    }

    /// Unbinds cells without guaranteed work and, in rack cells still in use, idle
    /// places on workers that are out of service.
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
