//! Guaranteed capacity by region, and whether it fits the racks of a site.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

use cumindeck_types::{CellLevel, Region, Shape};
use smallvec::SmallVec;

use crate::value::{ValueError, list_items};

/// Maximum number of racks in a zone.
const MAX_RACKS: usize = 256;
/// Maximum number of workers in a rack.
const MAX_RACK_WORKERS: u32 = 256;

/// Guaranteed capacity of a team: a shape for each region in which it has any.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Guarantee(SmallVec<[(Region, Shape); 2]>);

impl Guarantee {
    /// Returns the regions with their shapes.
    #[must_use]
    pub fn regions(&self) -> &[(Region, Shape)] {
        &self.0
    }

    /// Returns the shape in a region, or `None` if nothing is guaranteed there.
    #[must_use]
    pub fn shape(&self, region: &Region) -> Option<&Shape> {
        let found = self.0.iter().find(|(r, _)| r == region)?;
        Some(&found.1)
    }
}

impl FromStr for Guarantee {
    type Err = ValueError;

    fn from_str(text: &str) -> Result<Self, ValueError> {
        let mut regions: SmallVec<[(Region, Shape); 2]> = SmallVec::new();
        for item in list_items(text) {
            let mut words = item.split_whitespace();
            let region = words.next().unwrap_or("");
            let cells: Vec<_> = words.collect();
            if cells.is_empty() {
                let msg = "write REGION COUNTxLEVEL, such as \"dakar 1xrack 2xhalf\"";
                return Err(ValueError(format!("{item:?} has no cells; {msg}")));
            }
            let region: Region = region.parse().map_err(|err| ValueError(format!("{err}")))?;
            let shape = cells.join(",").parse::<Shape>();
            let shape = shape.map_err(|err| ValueError(err.to_string()))?;
            if regions.iter().any(|(r, _)| *r == region) {
                let msg = format!("region {region} is listed twice; put its cells together");
                return Err(ValueError(msg));
            }
            regions.push((region, shape));
        }
        Ok(Self(regions))
    }
}

impl Display for Guarantee {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for (i, (region, shape)) in self.0.iter().enumerate() {
            let comma = if i == 0 { "" } else { ", " };
            write!(f, "{comma}{region}")?;
            for cell in shape.cells() {
                write!(f, " {}x{}", cell.count, cell.level)?;
            }
        }
        Ok(())
    }
}

/// Number of workers in each rack of a zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RackWorkers(SmallVec<[u32; 8]>);

impl RackWorkers {
    /// Returns the number of workers in each rack.
    #[must_use]
    pub fn racks(&self) -> &[u32] {
        &self.0
    }
}

impl FromStr for RackWorkers {
    type Err = ValueError;

    fn from_str(text: &str) -> Result<Self, ValueError> {
        let count = |item: &str| {
            let raw = item.parse().ok();
            raw.filter(|raw| (1..=MAX_RACK_WORKERS).contains(raw))
        };
        let racks: Option<SmallVec<[u32; 8]>> = list_items(text).map(count).collect();
        let Some(racks) = racks.filter(|racks| racks.len() <= MAX_RACKS) else {
            let msg = format!(
                "write the number of workers of each rack, such as 3, 2; \
                 at most {MAX_RACKS} racks of 1 to {MAX_RACK_WORKERS} workers"
            );
            return Err(ValueError(msg));
        };
        Ok(Self(racks))
    }
}

impl Display for RackWorkers {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for (i, workers) in self.0.iter().enumerate() {
            let comma = if i == 0 { "" } else { ", " };
            write!(f, "{comma}{workers}")?;
        }
        Ok(())
    }
}

/// Cells guaranteed in a region, summed over teams.
#[derive(Debug, Clone, Default)]
pub(crate) struct CellSum([u64; CellLevel::ALL.len()]);

impl CellSum {
    /// Adds the cells of a shape.
    pub fn add(&mut self, shape: &Shape) {
        for cell in shape.cells() {
            self.0[cell.level.index()] += u64::from(cell.count);
        }
    }

    /// Returns whether the cells fit into racks whose workers have `accelerators`
    /// accelerators each, a power of two.
    ///
    /// Cells of whole racks are taken from the smallest racks. From workers down,
    /// each cell is half of the next larger one, so the remaining cells fit if and
    /// only if the sum of their accelerators does.
    pub fn fits(&self, racks: &[u32], accelerators: u32) -> bool {
        let mut sizes: SmallVec<[u32; 16]> = racks.into();
        sizes.sort_unstable();
        let whole = usize::try_from(self.count(CellLevel::Rack)).unwrap_or(usize::MAX);
        if whole > sizes.len() {
            return false;
        }
        let accelerators = u64::from(accelerators);
        let workers: u64 = sizes[whole..].iter().copied().map(u64::from).sum();
        let needed: u64 = [
            (CellLevel::Worker, 1),
            (CellLevel::Half, 2),
            (CellLevel::Quarter, 4),
        ]
        .into_iter()
        .map(|(level, parts)| self.count(level) * (accelerators / parts).max(1))
        .sum();
        needed + self.count(CellLevel::Single) <= workers * accelerators
    }

    fn count(&self, level: CellLevel) -> u64 {
        self.0[level.index()]
    }
}

impl Display for CellSum {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let levels = CellLevel::ALL
            .into_iter()
            .filter(|level| self.count(*level) > 0);
        for (i, level) in levels.enumerate() {
            let space = if i == 0 { "" } else { " " };
            write!(f, "{space}{}x{level}", self.count(level))?;
        }
        Ok(())
    }
}
