//! Predicted starts of the waiting steps.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use super::headroom::MilliWorkers;

/// Tasks of a step that wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct WaitingTasks {
    /// Room of what starts together: a task, or a whole gang.
    pub unit: MilliWorkers,
    /// Number of units.
    pub units: u64,
    /// Expected duration of a task.
    pub duration: Duration,
}

/// Room that becomes free after some time.
pub(super) type Ending = (Duration, MilliWorkers);

/// Predicts when the first tasks of each step start, if the steps get room in their order:
/// `free` is the room that is free now, `endings` what the runs leave. A step that the room
/// is too small for has no prediction and is passed over.
///
/// Load pattern: a backlog of many steps, whose last one waits for all before it.
pub(super) fn predicted_starts(
    free: MilliWorkers,
    endings: &[Ending],
    waiting: &[WaitingTasks],
) -> Vec<Option<Duration>> {
    let held = endings.iter().map(|(_, room)| *room);
    let total = held.fold(free, MilliWorkers::saturating_add);
    let mut free = free;
    let mut time = Duration::ZERO;
    let mut ends: BinaryHeap<Reverse<Ending>> = endings.iter().copied().map(Reverse).collect();
    let mut starts = Vec::with_capacity(waiting.len());
    for step in waiting {
        let unit = step.unit.max(1);
        if unit > total {
            starts.push(None);
            continue;
        }
        let mut start = None;
        let mut left = step.units;
        while left > 0 {
            let fitting = (free / unit).min(left);
            if fitting > 0 {
                start.get_or_insert(time);
                let room = fitting * unit;
                free -= room;
                left -= fitting;
                ends.push(Reverse((time.saturating_add(step.duration), room)));
                continue;
            }
            let Some(Reverse((end, room))) = ends.pop() else {
                break;
            };
            time = time.max(end);
            free += room;
        }
        starts.push(start);
    }
    starts
}
