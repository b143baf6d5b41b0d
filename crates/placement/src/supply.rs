//! Cell sizes and counts, and the check that a demand fits into a supply.

use cumindeck_types::{CellLevel, Shape};

use crate::accelerators::CLASSES;

/// Sizes of the cells of a region.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CellSizes {
    /// Binary logarithm of the accelerators in a worker cell.
    worker_class: usize,
    /// Number of worker cells in a rack cell.
    rack_workers: u32,
}

impl CellSizes {
    /// Creates sizes; `None` unless `worker` is a power of two up to 64 and
    /// `rack_workers` is at least 1.
    #[must_use]
    pub fn new(worker: u8, rack_workers: u32) -> Option<Self> {
        let is_valid = worker.is_power_of_two() && worker <= 64 && rack_workers > 0;
        is_valid.then(|| Self {
            worker_class: worker.trailing_zeros() as usize,
            rack_workers,
        })
    }

    /// Returns the number of worker cells in a rack cell.
    #[must_use]
    pub const fn rack_workers(self) -> u32 {
        self.rack_workers
    }

    /// Returns the number of accelerators in a cell.
    #[must_use]
    pub const fn accelerators(self, level: CellLevel) -> u32 {
        match level {
            CellLevel::Rack => self.rack_workers << self.worker_class,
            _ => 1 << self.class(level),
        }
    }

    /// Returns the number of accelerators of all cells of a shape.
    #[must_use]
    pub fn total(self, shape: &Shape) -> u32 {
        shape
            .cells()
            .iter()
            .map(|cell| cell.count * self.accelerators(cell.level))
            .sum()
    }

    pub(crate) const fn worker_class(self) -> usize {
        self.worker_class
    }

    /// Returns the size class of a cell; for a rack that of its worker cells.
    pub(crate) const fn class(self, level: CellLevel) -> usize {
        match level {
            CellLevel::Rack | CellLevel::Worker => self.worker_class,
            CellLevel::Half => self.worker_class.saturating_sub(1),
            CellLevel::Quarter => self.worker_class.saturating_sub(2),
            CellLevel::Single => 0,
        }
    }
}

impl Default for CellSizes {
    /// Eight accelerators per worker and three workers per rack,
    /// as both users have today.
    fn default() -> Self {
        Self {
            worker_class: 3,
            rack_workers: 3,
        }
    }
}

/// Number of cells of each size.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct CellCounts {
    /// Number of blocks by size class.
    pub blocks: [u32; CLASSES],
    /// Number of rack cells; in a supply their workers are also counted as blocks.
    pub racks: u32,
}

impl CellCounts {
    /// Returns the number of blocks of `class` into which the blocks can be split.
    pub fn capacity(&self, class: usize) -> u32 {
        (class..CLASSES)
            .map(|c| self.blocks[c] << (c - class))
            .sum()
    }

    /// Returns the number of accelerators of `demand` that do not fit; 0 if all cells fit
    /// together.
    ///
    /// Filling from the largest size down is exact, because cell
    /// sizes divide each other.
    pub fn shortfall(&self, demand: &Self, sizes: CellSizes) -> u64 {
        let unmet = self.unmet(demand, sizes);
        let blocks = (0..CLASSES)
            .map(|c| u64::from(unmet.blocks[c]) << c)
            .sum::<u64>();
        blocks + u64::from(unmet.racks) * u64::from(sizes.accelerators(CellLevel::Rack))
    }

    /// Returns the cells of `demand` that do not fit, by size.
    pub fn unmet(&self, demand: &Self, sizes: CellSizes) -> Self {
        let racks = demand.racks.min(self.racks);
        let mut unmet = Self {
            racks: demand.racks - racks,
            ..Self::default()
        };
        let mut left = self.blocks[sizes.worker_class].saturating_sub(racks * sizes.rack_workers);
        for class in (0..=sizes.worker_class).rev() {
            let met = demand.blocks[class].min(left);
            unmet.blocks[class] = demand.blocks[class] - met;
            left -= met;
            if class > 0 {
                left = left * 2 + self.blocks[class - 1];
            }
        }
        unmet
    }
}
