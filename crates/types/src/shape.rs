//! Shapes of capacity: counts of cells of adjacent accelerators.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

use smallvec::SmallVec;
use thiserror::Error;

/// Maximum number of cells of one level in a shape.
const MAX_CELL_COUNT: u32 = 10_000;

/// A string that is not a valid shape.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ShapeError {
    /// A part isn't of the form `COUNTxLEVEL`.
    #[error("{0:?} is not a cell count; expected COUNTxLEVEL, such as \"2xworker\"")]
    BadPart(String),
    /// The cell level isn't known.
    #[error("cell level {0:?} is not known; expected rack, worker, half, quarter or single")]
    BadLevel(String),
    /// The count is zero or too large.
    #[error("cell count {0:?} is out of range; expected 1 to {MAX_CELL_COUNT}")]
    BadCount(String),
    /// A level occurs twice.
    #[error("cell level {0} is named twice; add the counts up")]
    Duplicate(CellLevel),
}

/// The level of a buddy cell, from the largest to the smallest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CellLevel {
    /// All workers of a rack, the largest cell.
    Rack,
    /// All accelerators of a worker.
    Worker,
    /// Half of a worker's accelerators, adjacent.
    Half,
    /// A quarter of a worker's accelerators, adjacent.
    Quarter,
    /// One accelerator, the smallest cell.
    Single,
}

impl CellLevel {
    /// All levels, the largest first.
    pub const ALL: [Self; 5] = [
        Self::Rack,
        Self::Worker,
        Self::Half,
        Self::Quarter,
        Self::Single,
    ];

    /// Returns the level's position in [`CellLevel::ALL`].
    #[must_use]
    pub const fn index(self) -> usize {
        self as usize
    }
}

impl Display for CellLevel {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Rack => "rack",
            Self::Worker => "worker",
            Self::Half => "half",
            Self::Quarter => "quarter",
            Self::Single => "single",
        })
    }
}

impl FromStr for CellLevel {
    type Err = ShapeError;

    fn from_str(text: &str) -> Result<Self, ShapeError> {
        Self::ALL
            .into_iter()
            .find(|level| level.to_string() == text)
            .ok_or_else(|| ShapeError::BadLevel(text.to_owned()))
    }
}

/// A number of cells of the same level.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Cell {
    /// Level of the cells.
    pub level: CellLevel,
    /// Number of cells, at least 1.
    pub count: u32,
}

/// A shape of capacity, such as `1xrack,2xhalf`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub struct Shape {
    /// Cells, the largest level first, each level at most once.
    cells: SmallVec<[Cell; 5]>,
}

impl Shape {
    /// Returns the cells, the largest level first.
    #[must_use]
    pub fn cells(&self) -> &[Cell] {
        &self.cells
    }

    /// Returns the number of cells of a level.
    #[must_use]
    pub fn count(&self, level: CellLevel) -> u32 {
        self.cells
            .iter()
            .find(|cell| cell.level == level)
            .map_or(0, |cell| cell.count)
    }

    /// Returns whether the shape has no cells.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.cells.is_empty()
    }
}

impl FromStr for Shape {
    type Err = ShapeError;

    fn from_str(text: &str) -> Result<Self, ShapeError> {
        let mut cells: SmallVec<[Cell; 5]> = SmallVec::new();
        for part in text.split(',').map(str::trim) {
            let cell = parse_cell(part)?;
            if cells.iter().any(|c| c.level == cell.level) {
                return Err(ShapeError::Duplicate(cell.level));
            }
            cells.push(cell);
        }
        cells.sort_by_key(|cell| cell.level);
        Ok(Self { cells })
    }
}

impl Display for Shape {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for (i, cell) in self.cells.iter().enumerate() {
            let comma = if i == 0 { "" } else { "," };
            write!(f, "{comma}{}x{}", cell.count, cell.level)?;
        }
        Ok(())
    }
}

fn parse_cell(part: &str) -> Result<Cell, ShapeError> {
    let Some((count, level)) = part.split_once('x') else {
        return Err(ShapeError::BadPart(part.to_owned()));
    };
    let level = level.parse()?;
    let Some(count) = count
        .parse()
        .ok()
        .filter(|n| (1..=MAX_CELL_COUNT).contains(n))
    else {
        return Err(ShapeError::BadCount(count.to_owned()));
    };
    Ok(Cell { level, count })
}
