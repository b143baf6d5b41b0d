//! Fair shares of the room between teams.

use super::headroom::MilliWorkers;

/// What a team holds and waits for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct TeamDemand {
    pub held: MilliWorkers,
    pub waiting: MilliWorkers,
    /// Room that is guaranteed to its urgent jobs.
    pub guaranteed: MilliWorkers,
}

impl TeamDemand {
    /// Returns whether the team holds its share already, and more than its guarantee.
    pub fn is_beyond(&self, share: MilliWorkers) -> bool {
        self.held >= share.max(self.guaranteed)
    }
}

/// Returns the most that a team gets of `room` if those that want less than an equal part
/// get all of it and the others divide the rest; `None` if there is room for all.
pub(super) fn fair_share(demands: &[TeamDemand], room: MilliWorkers) -> Option<MilliWorkers> {
    let total = |demand: &TeamDemand| demand.held.saturating_add(demand.waiting);
    let mut wanted: Vec<MilliWorkers> = demands.iter().map(total).collect();
    wanted.sort_unstable();
    let (mut left, mut teams) = (room, wanted.len() as u64);
    for wanted in wanted {
        let part = left / teams;
        if wanted > part {
            return Some(part);
        }
        left -= wanted;
        teams -= 1;
    }
    None
}
