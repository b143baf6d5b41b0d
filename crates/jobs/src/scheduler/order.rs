//! The order in which waiting jobs get resources.

use std::fmt::Debug;
use std::time::Duration;

use cumindeck_types::Uptime;

/// Multiple of its objective after which a late job has no value any more.
const MAX_OVERDUE_FACTOR: u32 = 3;

/// A job with tasks to start, as far as its rank depends on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct WaitingJob {
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Whether it is urgent and its team needs no more than its guarantee.
    pub is_guaranteed: bool,
    /// Whether it is so late that it has no value.
    pub is_far_overdue: bool,
    /// Whether it can no longer end within its objective.
    pub is_late: bool,
    pub accepted_at: Uptime,
}

/// Position in the order; the lowest is first.
pub(super) type Rank = [u128; 5];

/// Ranks the waiting jobs.
pub(super) trait OrderPolicy: Debug + Send {
    /// Returns the rank of a job; of equal ones the id decides.
    fn rank(&self, job: &WaitingJob) -> Rank;
}

/// Ranks by priority, guarantee, lateness and arrival.
///
/// Load pattern: more work than room for seconds, all of a priority worth the same.
#[derive(Debug)]
pub(super) struct ArrivalOrder;

impl OrderPolicy for ArrivalOrder {
    fn rank(&self, job: &WaitingJob) -> Rank {
        [
            u128::from(job.is_far_overdue),
            u128::from(job.priority),
            u128::from(!job.is_guaranteed),
            u128::from(job.is_late),
            job.accepted_at.as_duration().as_nanos(),
        ]
    }
}

/// Returns whether a job that is `age` old has no value any more.
pub(super) fn is_far_overdue(age: Duration, objective: Duration) -> bool {
    age > objective * MAX_OVERDUE_FACTOR
}
