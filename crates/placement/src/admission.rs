//! Refusal of jobs that can never run.

use crate::accelerators::AcceleratorSet;
use crate::cluster::Cluster;
use crate::event::{Refusal, RefusalReason};
use crate::job::{GangShape, MAX_TASKS, TaskSize};

/// Checks a gang against all registered workers, in service or not; returns the size
/// class of its tasks.
pub(crate) fn admit(cluster: &Cluster, gang: GangShape) -> Result<usize, Refusal> {
    let refuse = |reason, nearest| Err(Refusal { reason, nearest });
    if !(1..=MAX_TASKS).contains(&gang.tasks) {
        let tasks = gang.tasks.clamp(1, MAX_TASKS);
        return refuse(
            RefusalReason::TaskCount,
            nearest(cluster, GangShape { tasks, ..gang }),
        );
    }
    let capacity = TotalCapacity::new(cluster);
    let Some(class) = gang
        .size
        .class(cluster.sizes)
        .filter(|class| capacity.fits(*class, 1))
    else {
        return refuse(RefusalReason::TaskSize, nearest(cluster, gang));
    };
    if !capacity.fits(class, gang.tasks) {
        return refuse(RefusalReason::ExceedsCluster, nearest(cluster, gang));
    }
    if gang.is_same_rack && !capacity.fits_in_rack(class, gang.tasks) {
        return refuse(RefusalReason::ExceedsRack, nearest(cluster, gang));
    }
    Ok(class)
}

/// Returns the nearest shape that can run: the largest tasks up to the wanted size, and
/// as many of the wanted accelerators as possible.
fn nearest(cluster: &Cluster, gang: GangShape) -> Option<GangShape> {
    let capacity = TotalCapacity::new(cluster);
    let worker_class = cluster.sizes.worker_class();
    let wanted = match gang.size {
        TaskSize::Worker => 1 << worker_class,
        TaskSize::Accelerators(n) => u32::from(n.max(1)),
    };
    let class = (0..=worker_class.min(wanted.ilog2() as usize))
        .rev()
        .find(|c| capacity.total(*c) > 0)?;
    let limit = if gang.is_same_rack {
        capacity.largest_rack(class)
    } else {
        capacity.total(class)
    };
    let tasks = (gang.tasks * wanted).div_ceil(1 << class);
    let size = match gang.size {
        TaskSize::Worker if class == worker_class => TaskSize::Worker,
        _ => TaskSize::Accelerators(1 << class),
    };
    Some(GangShape {
        tasks: tasks.min(limit).min(MAX_TASKS),
        size,
        ..gang
    })
}

/// Capacity of the cluster without any running work.
struct TotalCapacity<'a>(&'a Cluster);

impl<'a> TotalCapacity<'a> {
    const fn new(cluster: &'a Cluster) -> Self {
        Self(cluster)
    }

    fn worker(&self, index: usize, class: usize) -> u32 {
        let worker = &self.0.workers[index];
        if !worker.is_registered() {
            return 0;
        }
        let all = AcceleratorSet::range(0, worker.spec.accelerators);
        let blocks = all.blocks(self.0.sizes.worker_class());
        blocks
            .filter(|b| b.class >= class)
            .map(|b| 1 << (b.class - class))
            .sum()
    }

    /// Returns whether a number of tasks fits; checks no more workers than needed,
    /// because a takeover calls this for each job of the region.
    fn fits(&self, class: usize, tasks: u32) -> bool {
        let capacities = (0..self.0.workers.len()).map(|index| self.worker(index, class));
        sum_reaches(capacities, tasks)
    }

    /// Returns whether a number of tasks fits into one rack.
    fn fits_in_rack(&self, class: usize, tasks: u32) -> bool {
        self.0.racks.iter().any(|rack| {
            let capacities = rack.workers.iter().map(|index| self.worker(*index, class));
            sum_reaches(capacities, tasks)
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

/// Returns whether the numbers add up to at least `wanted`.
fn sum_reaches(mut numbers: impl Iterator<Item = u32>, wanted: u32) -> bool {
    let mut sum = 0;
    wanted == 0
        || numbers.any(|number| {
            sum += number;
            sum >= wanted
        })
}
