//! Headroom: idle workers that are kept for urgent work.
//!
//! On a full fleet each urgent job costs a stop, which takes up to the stop bound and
//! loses work. Jobs with time to spare leave as much idle as urgent work is likely to
//! need next.

use std::time::Duration;

use cumindeck_types::Uptime;

use super::capacity::Capacity;
use super::{Job, Scheduler};
use crate::Resources;
use crate::progress::StepProgress;

/// Time over which the use by urgent work is averaged.
const AVERAGING_TIME: Duration = Duration::from_secs(10);

/// Time to spare below which a job no longer leaves the headroom idle.
const MIN_SPARE_TIME: Duration = Duration::from_secs(5);

/// A number of workers, in thousandths.
pub(super) type MilliWorkers = u64;

/// Average use of workers by urgent runs.
#[derive(Debug, Default)]
pub(super) struct UrgentUse {
    average: MilliWorkers,
    updated_at: Option<Uptime>,
}

impl UrgentUse {
    pub const fn new() -> Self {
        Self {
            average: 0,
            updated_at: None,
        }
    }

    fn update(&mut self, now: Uptime, used: MilliWorkers) {
        let Some(updated_at) = self.updated_at.replace(now) else {
            self.average = used;
            return;
        };
        let total = AVERAGING_TIME.as_millis() as u64;
        let passed = (now.since(updated_at).as_millis() as u64).min(total);
        self.average = (self.average * (total - passed) + used * passed) / total;
    }
}

impl Scheduler {
    /// Updates the average use of workers by urgent runs.
    pub(super) fn update_urgent_use(&mut self, now: Uptime) {
        let share = |worker: &super::Worker| {
            let incarnation = worker.worker_incarnation.as_ref()?;
            Some(share_of(worker.placed.urgent(), &incarnation.capacity))
        };
        let used = self.workers.values().filter_map(share).sum();
        self.urgent_use.update(now, used);
    }

    /// Marks the workers that are kept for urgent work: those of the racks with the
    /// least other work.
    pub(super) fn keep_headroom(&self, capacity: &mut Capacity) {
        let all = capacity.workers.len() as u64 * 1_000;
        let headroom = self.order.headroom();
        let target = self.urgent_use.average * headroom.percent_of_use / 100;
        let target = target.min(all * headroom.max_percent / 100);
        // By rack: use by other work, and what is not used by urgent work.
        let mut used = 0;
        let mut racks: Vec<(MilliWorkers, usize, MilliWorkers)> = Vec::new();
        for (at, rack) in capacity.racks.iter().enumerate() {
            let (mut by_urgent, mut by_others) = (0, 0);
            for &worker in &rack.workers {
                let candidate = &capacity.workers[worker];
                let total = &candidate.incarnation.capacity;
                let urgent = share_of(&candidate.urgent, total);
                let mut busy = *total;
                busy.subtract(&capacity.free[worker]);
                by_urgent += urgent;
                by_others += share_of(&busy, total).saturating_sub(urgent);
            }
            used += by_urgent;
            let workers = rack.workers.len() as u64 * 1_000;
            racks.push((by_others, at, workers.saturating_sub(by_urgent)));
        }
        racks.sort_unstable();
        let mut missing = target.saturating_sub(used);
        for (_, rack, idle) in racks {
            if missing == 0 {
                return;
            }
            missing = missing.saturating_sub(idle);
            for &worker in &capacity.racks[rack].workers {
                capacity.workers[worker].is_kept = true;
            }
        }
    }
}

/// Returns whether a job leaves the headroom to urgent work: it is not urgent and has
/// time to spare.
pub(super) fn leaves_headroom(job: &Job, age: Duration) -> bool {
    let spec = &job.row.spec;
    let lasts = spec.recurrence.is_some() || spec.steps.iter().any(|step| step.long_running);
    let Some(steps) = job.progress.only_occurrence() else {
        return false;
    };
    if spec.priority == 0 || lasts {
        return false;
    }
    let is_done: Vec<bool> = steps.iter().map(StepProgress::is_done).collect();
    let needed = Duration::from_millis(spec.remaining_path_ms(&is_done)) + MIN_SPARE_TIME;
    age + needed < Duration::from_millis(spec.objective_ms())
}

/// Returns the dominant share of a worker that `used` resources occupy.
pub(super) fn share_of(used: &Resources, capacity: &Resources) -> MilliWorkers {
    let share = |used: u64, capacity: u64| {
        let share = used.min(capacity).saturating_mul(1_000);
        share.checked_div(capacity).unwrap_or(0)
    };
    share(used.cpu_millis, capacity.cpu_millis)
        .max(share(used.memory_mib, capacity.memory_mib))
        .max(share(
            u64::from(used.accelerators),
            u64::from(capacity.accelerators),
        ))
}
