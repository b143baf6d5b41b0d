//! Tasks of gang jobs: reservation, start, stop and reports.

use std::fmt::{self, Display, Formatter};

use crate::message::GangMember;
use crate::{Attempt, FencingToken, JobId, Remaining, TaskIndex, TeamId, ZoneVersion};

/// A task of one attempt, under the duty that placed it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct TaskRef {
    /// The job.
    pub job: JobId,
    /// The attempt.
    pub attempt: Attempt,
    /// The task's index in the gang.
    pub task: TaskIndex,
    /// Fencing token of the sending duty holder.
    pub token: FencingToken,
}

/// Asks an agent to hold accelerators for a task and to prepare it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reserve {
    /// The task.
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
    /// After this time the reservation has ended.
    pub remaining: Remaining,
}

/// Tells an agent that the whole gang is ready and its task may start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Go {
    /// The task.
    pub task: TaskRef,
    /// Version of the zone's state under which the task may start.
    pub zone_version: ZoneVersion,
    /// The task starts within this time or not at all.
    pub remaining: Remaining,
    /// Agents of the gang, in the order of their tasks.
    pub members: Vec<GangMember>,
}

/// An agent's answer to an order about a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum TaskAnswer {
    /// The order is carried out.
    Done,
    /// The agent has seen a higher fencing token.
    StaleToken,
    /// The agent has no live lease.
    NoLease,
    /// The agent has no live right to start in its zone.
    NoRight,
    /// The order came after its time limit.
    Expired,
    /// The accelerators are in use.
    NoRoom,
    /// The agent doesn't know the task.
    UnknownTask,
    /// The worker refused or failed the order.
    Failed,
}

/// What a task is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum TaskPhase {
    /// Accelerators are held.
    Reserved,
    /// The task is prepared and waits for the gang.
    Ready,
    /// The body runs.
    Running,
    /// The body ended well.
    Succeeded,
    /// The body ended with an error.
    Failed,
    /// The task was stopped.
    Stopped,
}

impl TaskPhase {
    /// Tells whether the task has ended and holds no accelerators.
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

/// What an agent reports about a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskReport {
    /// The job.
    pub job: JobId,
    /// The attempt.
    pub attempt: Attempt,
    /// The task's index in the gang.
    pub task: TaskIndex,
    /// What the task is doing.
    pub phase: TaskPhase,
    /// Detail for operators, such as an exit status.
    pub detail: String,
}

/// Tells the agent of a gang's first task that another member is alive.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Beat {
    /// The job.
    pub job: JobId,
    /// The attempt.
    pub attempt: Attempt,
    /// The sender's task.
    pub task: TaskIndex,
    /// Whether the sender's task runs.
    pub is_running: bool,
}
