//! Gangs: the start by the duty holder, the tasks of an agent, and the watch between agents.

mod order;
mod start;
mod stopped;
mod tasks;
mod watch;

use std::time::Duration;

use cumindeck_types::message::{TaskRef, TaskReport};
use cumindeck_types::{Attempt, JobId, TaskIndex};

pub use order::{Guards, OrderId, TaskEffect, TaskEnd};
pub use start::{GangEffect, GangFailure, GangPlan, GangStart, PlannedTask, StoredAttempt};
pub use stopped::{PlacedTask, StoppedTasks};
pub use tasks::TaskTable;
pub use watch::{GangWatches, WatchEffect};

/// Life of a reservation; a positive answer that comes later doesn't count.
pub const RESERVATION: Duration = Duration::from_secs(2);
/// A member starts its body within this time of `go` or not at all.
pub const START_LIMIT: Duration = Duration::from_secs(1);
/// Time between two beats of a member.
pub const BEAT_PERIOD: Duration = Duration::from_secs(1);
/// Silence after which a member or the first task's agent counts as lost.
pub const BEAT_EXPIRY: Duration = Duration::from_secs(5);

/// A task of one attempt, whoever ordered it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// The attempt.
    pub attempt: Attempt,
    /// The task's index in the gang.
    pub task: TaskIndex,
}

impl From<&TaskRef> for TaskId {
    fn from(task: &TaskRef) -> Self {
        Self {
            job: task.job.clone(),
            attempt: task.attempt,
            task: task.task,
        }
    }
}

impl From<&TaskReport> for TaskId {
    fn from(report: &TaskReport) -> Self {
        Self {
            job: report.job.clone(),
            attempt: report.attempt,
            task: report.task,
        }
    }
}
