//! Tasks of gang jobs: reservation, start, stop and reports.

use std::fmt::{self, Display, Formatter};

use crate::message::GangMember;
use crate::{Attempt, FencingToken, JobId, Remaining, TaskIndex, TeamId, ZoneVersion};

/// A task of one attempt, as placed by one leader.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct TaskRef {
    /// The job that the gang runs.
    pub job: JobId,
    /// The attempt of the job that the task belongs to.
    pub attempt: Attempt,
    /// The task's index in the gang.
    pub task: TaskIndex,
    /// Fencing token of the leader that sends the order.
    pub token: FencingToken,
}

/// Orders an agent to reserve accelerators for a task and to prepare it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reserve {
    /// The task to prepare, with the token of the leader that sends the order.
    pub task: TaskRef,
    /// The team that the job belongs to.
    pub team: TeamId,
    /// Indices of the worker's accelerators.
    pub accelerators: Vec<u32>,
    /// Number of tasks in the gang.
    pub gang_size: u32,
    /// Command that the worker runs.
    pub command: String,
    /// Version of the zone's state under which the task may start.
    pub zone_version: ZoneVersion,
    /// Remaining time until the reservation expires.
    pub remaining: Remaining,
}

/// Orders an agent to start a prepared task, once all tasks of its gang are ready.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartTask {
    /// The prepared task, with the token of the leader that sends the order.
    pub task: TaskRef,
    /// Version of the zone's state under which the task may start.
    pub zone_version: ZoneVersion,
    /// Remaining time until the deadline, after which the task must not start.
    pub remaining: Remaining,
    /// Agents of the gang, in the order of the task indices.
    pub members: Vec<GangMember>,
}

/// An agent's reply to an order about a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum TaskAnswer {
    /// The order was carried out.
    Done,
    /// The agent has seen a higher fencing token.
    StaleToken,
    /// The agent has no valid lease.
    NoLease,
    /// The agent has no valid right to start tasks in its zone.
    NoRight,
    /// The order arrived after its deadline, or the reservation expired.
    Expired,
    /// The accelerators are in use, or the agent holds the maximum number of tasks.
    NoRoom,
    /// The agent doesn't know the task.
    UnknownTask,
    /// The worker rejected the order or failed to carry it out.
    Failed,
}

/// The phase of a task's execution.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum TaskPhase {
    /// Accelerators are reserved; the worker prepares the task.
    Reserved,
    /// The task is prepared and waits for the start order.
    Ready,
    /// The task process runs.
    Running,
    /// The task process ended successfully.
    Succeeded,
    /// The task process ended with an error.
    Failed,
    /// The task was stopped.
    Stopped,
}

impl TaskPhase {
    /// Returns whether the task has ended and holds no accelerators.
    #[must_use]
    pub const fn is_final(self) -> bool {
        match self {
            Self::Reserved | Self::Ready | Self::Running => false,
            Self::Succeeded | Self::Failed | Self::Stopped => true,
        }
    }
}

impl Display for TaskPhase {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Reserved => "reserved",
            Self::Ready => "ready",
            Self::Running => "running",
            Self::Succeeded => "succeeded",
            Self::Failed => "failed",
            Self::Stopped => "stopped",
        })
    }
}

/// An agent's report on a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskReport {
    /// The job that the task belongs to.
    pub job: JobId,
    /// The attempt of the job that the task belongs to.
    pub attempt: Attempt,
    /// The task's index in the gang.
    pub task: TaskIndex,
    /// Phase of the task when the report was created.
    pub phase: TaskPhase,
    /// Detail for operators, such as an exit status.
    pub detail: String,
}

/// A heartbeat of a gang member, sent to the agent of the gang's first task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// The job that the gang runs.
    pub job: JobId,
    /// The attempt of the job that the gang runs.
    pub attempt: Attempt,
    /// Index of the sender's task.
    pub task: TaskIndex,
    /// Whether the sender's task is running.
    pub is_running: bool,
}
