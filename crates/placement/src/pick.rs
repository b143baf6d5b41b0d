//! Choice of the accelerators that cells are bound to.

use std::collections::BTreeMap;

use crate::accelerators::{AcceleratorSet, Block};
use crate::cluster::WorkerIndex;
use crate::policy::PlacementRequest;
use crate::state::State;
use crate::supply::CellCounts;
use crate::team::Place;

/// Picks places one after another, so that the other unbound cells still fit.
pub(crate) struct Picker<'a> {
    request: PlacementRequest<'a>,
    state: &'a State,
    /// Restricts the choice to one rack.
    rack: Option<usize>,
    /// Unbound capacity left after the places picked so far.
    supply: CellCounts,
    /// Unbound cells of all teams, without those picked so far.
    demand: CellCounts,
    /// Accelerators picked so far.
    taken: BTreeMap<WorkerIndex, AcceleratorSet>,
    /// Unbound worker cells left in the racks that were picked from.
    rack_cells: BTreeMap<usize, u32>,
}

/// Sort key of a candidate place, smallest first: whether the worker is suspect or the
/// job has failed on it, preemption cost, size class of the unbound block, whether a rack
/// cell is split, rack, worker, and index of the first accelerator.
type SortKey = (bool, u64, usize, bool, usize, WorkerIndex, u8);

impl<'a> Picker<'a> {
    pub fn new(request: PlacementRequest<'a>, state: &'a State, rack: Option<usize>) -> Self {
        Self {
            request,
            state,
            rack,
            supply: state.cluster.pool,
            demand: state.demand,
            taken: BTreeMap::new(),
            rack_cells: BTreeMap::new(),
        }
    }

    /// Picks up to `count` places for cells of `class`.
    pub fn cells(&mut self, class: usize, count: usize) -> Vec<Place> {
        let mut found = Vec::new();
        if count == 0 {
            return found;
        }
        let mut candidates = self.candidates(class);
        candidates.sort_unstable_by_key(|(order, _)| *order);
        self.take_from(&candidates, class, count, true, &mut found);
        // Avoiding borrowed work can rule out the places that keep larger cells
        // intact; best fit alone always finds a place if the demand fits at all.
        while found.len() < count {
            let before = found.len();
            let mut candidates = self.candidates(class);
            candidates.sort_unstable_by_key(
                |((_, cost, class, splits_rack_cell, rack, worker, start), _)| {
                    (*class, *splits_rack_cell, *rack, *worker, *start, *cost)
                },
            );
            self.take_from(&candidates, class, count, true, &mut found);
            if found.len() < count && self.shortfall() > 0 {
                self.take_from(&candidates, class, count, false, &mut found);
            }
            if found.len() == before {
                break;
            }
        }
        found
    }

    /// Picks `count` worker cells of one rack for a rack cell.
    pub fn rack(&mut self, count: usize) -> Vec<Place> {
        let worker_class = self.state.cluster.sizes.worker_class();
        let racks = match self.rack {
            Some(rack) => rack..rack + 1,
            None => 0..self.state.cluster.racks.len(),
        };
        let mut best: Option<(u64, u32, usize, Vec<Place>)> = None;
        for rack in racks {
            if (self.rack_cells(rack) as usize) < count {
                continue;
            }
            let mut places: Vec<(u64, Place)> = Vec::new();
            for worker in &self.state.cluster.racks[rack].workers {
                for block in self
                    .pool(*worker)
                    .blocks(worker_class)
                    .filter(|block| block.class == worker_class)
                {
                    let set = block.set();
                    let cost = self
                        .state
                        .preemption_cost(&self.state.cluster.workers[*worker], set);
                    places.push((
                        cost,
                        Place {
                            worker: *worker,
                            set,
                        },
                    ));
                }
            }
            places.sort_by_key(|(cost, _)| *cost);
            places.truncate(count);
            let cost = places.iter().map(|(cost, _)| *cost).sum();
            let spare = self.rack_cells(rack) % self.state.cluster.sizes.rack_workers();
            if best
                .as_ref()
                .is_none_or(|b| (cost, spare, rack) < (b.0, b.1, b.2))
            {
                let places = places.into_iter().map(|(_, place)| place).collect();
                best = Some((cost, spare, rack, places));
            }
        }
        let Some((.., places)) = best else {
            return Vec::new();
        };
        for place in &places {
            self.take(*place);
        }
        self.demand.racks = self.demand.racks.saturating_sub(1);
        places
    }

    fn candidates(&self, class: usize) -> Vec<(SortKey, Place)> {
        let (cluster, worker_class) =
            (&self.state.cluster, self.state.cluster.sizes.worker_class());
        let mut candidates = Vec::new();
        let mut add = |index: WorkerIndex| {
            let worker = &cluster.workers[index];
            let is_avoided = worker.is_suspect || self.request.job.failed_on.contains(&index);
            let has_no_spare_cell = self
                .rack_cells(worker.rack)
                .is_multiple_of(cluster.sizes.rack_workers());
            for block in self
                .pool(index)
                .blocks(worker_class)
                .filter(|block| block.class >= class)
            {
                for Block { start, class: size } in block.split(class) {
                    let set = AcceleratorSet::range(start, 1 << size);
                    let cost = self.state.preemption_cost(worker, set);
                    let splits_rack_cell = block.class == worker_class && has_no_spare_cell;
                    let order = (
                        is_avoided,
                        cost,
                        block.class,
                        splits_rack_cell,
                        worker.rack,
                        index,
                        start,
                    );
                    candidates.push((order, Place { worker: index, set }));
                }
            }
        };
        match self.rack {
            Some(rack) => cluster.racks[rack]
                .workers
                .iter()
                .copied()
                .for_each(&mut add),
            None => (0..cluster.workers.len()).for_each(&mut add),
        }
        candidates
    }

    /// Picks candidates in order; if `is_checked`, skips those that raise the shortfall.
    fn take_from(
        &mut self,
        candidates: &[(SortKey, Place)],
        class: usize,
        count: usize,
        is_checked: bool,
        found: &mut Vec<Place>,
    ) {
        let mut shortfall = self.shortfall();
        for (_, place) in candidates {
            if found.len() == count {
                return;
            }
            if !self.pool(place.worker).contains(place.set) {
                continue;
            }
            let (supply, demand) = (self.supply, self.demand);
            self.take(*place);
            self.demand.blocks[class] = self.demand.blocks[class].saturating_sub(1);
            let after = self.shortfall();
            if is_checked && after > shortfall {
                self.put_back(*place);
                (self.supply, self.demand) = (supply, demand);
                continue;
            }
            shortfall = after;
            found.push(*place);
        }
    }

    fn shortfall(&self) -> u64 {
        self.supply
            .shortfall(&self.demand, self.state.cluster.sizes)
    }

    fn pool(&self, worker: WorkerIndex) -> AcceleratorSet {
        let pool = self.state.cluster.workers[worker].pool();
        self.taken
            .get(&worker)
            .map_or(pool, |taken| pool.minus(*taken))
    }

    fn rack_cells(&self, rack: usize) -> u32 {
        let left = self.rack_cells.get(&rack).copied();
        left.unwrap_or(self.state.cluster.racks[rack].pool_cells)
    }

    fn take(&mut self, place: Place) {
        let worker_class = self.state.cluster.sizes.worker_class();
        let before = self.pool(place.worker);
        let taken = self.taken.entry(place.worker).or_default();
        *taken = taken.union(place.set);
        let after = self.pool(place.worker);
        let rack = self.state.cluster.workers[place.worker].rack;
        let cells = self.rack_cells(rack);
        let mut left = cells;
        for block in before.blocks(worker_class) {
            self.supply.blocks[block.class] -= 1;
            left -= u32::from(block.class == worker_class);
        }
        for block in after.blocks(worker_class) {
            self.supply.blocks[block.class] += 1;
            left += u32::from(block.class == worker_class);
        }
        let rack_workers = self.state.cluster.sizes.rack_workers();
        self.supply.racks -= cells / rack_workers - left / rack_workers;
        self.rack_cells.insert(rack, left);
    }

    /// Undoes [`Picker::take`] apart from the supply, which the caller restores.
    fn put_back(&mut self, place: Place) {
        let worker_class = self.state.cluster.sizes.worker_class();
        let cells = |set: AcceleratorSet| {
            set.blocks(worker_class)
                .filter(|b| b.class == worker_class)
                .count() as u32
        };
        let before = cells(self.pool(place.worker));
        let taken = self.taken.entry(place.worker).or_default();
        *taken = taken.minus(place.set);
        let after = cells(self.pool(place.worker));
        let rack = self.state.cluster.workers[place.worker].rack;
        let left = self.rack_cells(rack) + after - before;
        self.rack_cells.insert(rack, left);
    }
}
