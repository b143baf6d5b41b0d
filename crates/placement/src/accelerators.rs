//! Sets of accelerators of one worker, split into aligned blocks.

use std::fmt::{self, Display, Formatter};

/// Maximum number of accelerators of a worker.
pub const MAX_ACCELERATORS: u8 = 64;

/// Number of size classes: powers of two from 1 to [`MAX_ACCELERATORS`].
pub(crate) const CLASSES: usize = 7;

/// A set of accelerators of one worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct AcceleratorSet(u64);

impl AcceleratorSet {
    /// The empty set, which is also the default.
    pub const EMPTY: Self = Self(0);

    /// Returns the accelerators from `start` to `start + count`.
    #[must_use]
    pub const fn range(start: u8, count: u8) -> Self {
        if count == 0 {
            return Self::EMPTY;
        }
        Self((u64::MAX >> (64 - count as u32)) << start)
    }

    /// Creates a set; `None` if an index is not below [`MAX_ACCELERATORS`].
    #[must_use]
    pub fn from_indices(indices: &[u32]) -> Option<Self> {
        indices.iter().try_fold(Self::EMPTY, |set, index| {
            (*index < u32::from(MAX_ACCELERATORS)).then(|| Self(set.0 | 1 << index))
        })
    }

    /// Returns the indices in ascending order.
    pub fn indices(self) -> impl Iterator<Item = u32> {
        (0..u32::from(MAX_ACCELERATORS)).filter(move |index| self.0 >> index & 1 == 1)
    }

    /// Returns the number of accelerators.
    #[must_use]
    pub const fn len(self) -> u32 {
        self.0.count_ones()
    }

    /// Returns whether the set is empty.
    #[must_use]
    pub const fn is_empty(self) -> bool {
        self.0 == 0
    }

    /// Returns the accelerators in either set.
    #[must_use]
    pub const fn union(self, other: Self) -> Self {
        Self(self.0 | other.0)
    }

    /// Returns the accelerators in this set but not in `other`.
    #[must_use]
    pub const fn minus(self, other: Self) -> Self {
        Self(self.0 & !other.0)
    }

    /// Returns whether the sets have an accelerator in common.
    #[must_use]
    pub const fn overlaps(self, other: Self) -> bool {
        self.0 & other.0 != 0
    }

    /// Returns whether every accelerator of `other` is in this set.
    #[must_use]
    pub const fn contains(self, other: Self) -> bool {
        self.0 & other.0 == other.0
    }

    /// Splits the set into the largest aligned blocks of at most
    /// `2^max_class` accelerators.
    pub(crate) fn blocks(self, max_class: usize) -> impl Iterator<Item = Block> {
        let mut rest = self;
        std::iter::from_fn(move || {
            if rest.is_empty() {
                return None;
            }
            let start = rest.0.trailing_zeros();
            let aligned = if start == 0 {
                max_class
            } else {
                start.trailing_zeros() as usize
            };
            let class = (0..=aligned.min(max_class)).rev().find(|class| {
                rest.contains(
                    Block {
                        start: start as u8,
                        class: *class,
                    }
                    .set(),
                )
            })?;
            let block = Block {
                start: start as u8,
                class,
            };
            rest = rest.minus(block.set());
            Some(block)
        })
    }
}

impl Display for AcceleratorSet {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for (i, index) in self.indices().enumerate() {
            write!(f, "{}{index}", if i == 0 { "" } else { "," })?;
        }
        Ok(())
    }
}

/// An aligned block of `2^class` adjacent accelerators.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Block {
    /// Index of the first accelerator.
    pub start: u8,
    /// Size class: the binary logarithm of the number of accelerators.
    pub class: usize,
}

impl Block {
    pub const fn set(self) -> AcceleratorSet {
        AcceleratorSet::range(self.start, 1 << self.class)
    }

    /// Splits the block into blocks of a smaller or equal class.
    pub fn split(self, class: usize) -> impl Iterator<Item = Self> {
        let step = 1usize << class;
        (0..1usize << self.class)
            .step_by(step)
            .map(move |offset| Self {
                start: self.start + offset as u8,
                class,
            })
    }
}
