//! Gangs: the start by the leader, the tasks of an agent, and heartbeats between agents.

mod order;
mod start;
mod stopped;
mod tasks;
mod watch;

use std::time::Duration;

use cumindeck_types::message::{TaskRef, TaskReport};
use cumindeck_types::{Attempt, JobId, TaskIndex};

pub use order::{ExecutionRights, OrderId, TaskEffect, TaskEnd};
pub use start::{GangEffect, GangFailure, GangPlan, GangStart, PlannedTask, StoredAttempt};
pub use stopped::{PlacedTask, StoppedTasks};
pub use tasks::TaskTable;
pub use watch::{GangMonitor, MonitorEffect};

/// Validity period of a reservation; a positive reply after it does not count.
pub const RESERVATION_VALIDITY: Duration = Duration::from_secs(2);
/// A member starts its task process within this time of the start order or not at all.
pub const START_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between two heartbeats of a member.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Time without a heartbeat or its reply after which a member or the first task's agent
/// counts as lost.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(5);

/// A task of one attempt, whichever leader ordered it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// The job that the gang runs.
    pub job: JobId,
    /// The attempt of the job that the task belongs to.
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
