//! Refusal of jobs that can never run.

use crate::accelerators::AcceleratorSet;
use crate::cluster::Cluster;
use crate::event::{Refusal, RefusalReason};
use crate::job::{GangShape, MAX_TASKS, TaskSize};

/// Checks a gang against all workers that have not been removed, whether or not
/// they serve now; returns the class of its tasks.
pub(crate) fn admit(cluster: &Cluster, gang: GangShape) -> Result<usize, Refusal> {
    let refuse = |reason, nearest| Err(Refusal { reason, nearest });
    if !(1..=MAX_TASKS).contains(&gang.tasks) {
        let tasks = gang.tasks.clamp(1, MAX_TASKS);
        return refuse(
            RefusalReason::TaskCount,
            nearest(cluster, GangShape { tasks, ..gang }),
        );
    }
    let room = Room::new(cluster);
    let Some(class) = gang
        .size
        .class(cluster.sizes)
        .filter(|class| room.holds(*class, 1))
    else {
        return refuse(RefusalReason::TaskSize, nearest(cluster, gang));
    };
    if !room.holds(class, gang.tasks) {
        return refuse(RefusalReason::ExceedsCluster, nearest(cluster, gang));
    }
    if gang.is_same_rack && !room.rack_holds(class, gang.tasks) {
        return refuse(RefusalReason::ExceedsRack, nearest(cluster, gang));
    }
    Ok(class)
}

/// Returns the shape that can run with the largest tasks up to those wanted and
/// as many of the wanted accelerators as possible.
fn nearest(cluster: &Cluster, gang: GangShape) -> Option<GangShape> {
    let room = Room::new(cluster);
    let top = cluster.sizes.top();
    let wanted = match gang.size {
        TaskSize::Worker => 1 << top,
        TaskSize::Accelerators(n) => u32::from(n.max(1)),
    };
    let class = (0..=top.min(wanted.ilog2() as usize))
        .rev()
        .find(|c| room.total(*c) > 0)?;
    let limit = if gang.is_same_rack {
        room.largest_rack(class)
    } else {
        room.total(class)
    };
    let tasks = (gang.tasks * wanted).div_ceil(1 << class);
    let size = match gang.size {
        TaskSize::Worker if class == top => TaskSize::Worker,
        _ => TaskSize::Accelerators(1 << class),
    };
    Some(GangShape {
        tasks: tasks.min(limit).min(MAX_TASKS),
        size,
        ..gang
    })
}

/// Room of the empty cluster.
struct Room<'a>(&'a Cluster);

impl<'a> Room<'a> {
    const fn new(cluster: &'a Cluster) -> Self {
        Self(cluster)
    }

    fn worker(&self, index: usize, class: usize) -> u32 {
        let worker = &self.0.workers[index];
        if !worker.is_registered() {
            return 0;
        }
        let all = AcceleratorSet::range(0, worker.spec.accelerators);
        let blocks = all.blocks(self.0.sizes.top());
        blocks
            .filter(|b| b.class >= class)
            .map(|b| 1 << (b.class - class))
            .sum()
    }

    /// Tells whether there is room for some tasks; looks at no more workers than needed,
    /// because a takeover asks for each job of the region.
    fn holds(&self, class: usize, tasks: u32) -> bool {
        let rooms = (0..self.0.workers.len()).map(|index| self.worker(index, class));
        reaches(rooms, tasks)
    }

    /// Tells whether a rack has room for some tasks.
    fn rack_holds(&self, class: usize, tasks: u32) -> bool {
        self.0.racks.iter().any(|rack| {
            let rooms = rack.workers.iter().map(|index| self.worker(*index, class));
            reaches(rooms, tasks)
        })
    }

    fn total(&self, class: usize) -> u32 {
        self.0.registered.capacity(class)
    }

    fn largest_rack(&self, class: usize) -> u32 {
        let rack = |rack: &crate::cluster::Rack| {
            rack.workers
                .iter()
                .map(|index| self.worker(*index, class))
                .sum()
        };
        self.0.racks.iter().map(rack).max().unwrap_or(0)
    }
}

/// Tells whether numbers add up to at least `wanted`.
fn reaches(mut numbers: impl Iterator<Item = u32>, wanted: u32) -> bool {
    let mut sum = 0;
    wanted == 0
        || numbers.any(|number| {
            sum += number;
            sum >= wanted
        })
}
