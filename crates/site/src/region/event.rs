//! Events and effects of a region's duty.

use cumindeck_types::{AgentId, Attempt, FencingToken, JobId, TaskIndex};

use crate::event::{Notice, OperatorCall, OperatorReply, Order, RowWrite};
use crate::rows::{RingRow, RowRange};

/// Names a commit of a region.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum RegionCommit {
    /// A write of the duty lease, with its number and the token it writes.
    Duty(u64, Option<FencingToken>),
    /// A new ring.
    Ring,
    /// The count of an attempt.
    Attempt(JobId, Attempt),
    /// The acceptance of a job.
    Accept(JobId),
    /// The cancellation of a job.
    Cancel(JobId),
    /// The state of a job, for readers only.
    State(JobId),
    /// The end of a job.
    End(JobId),
}

/// Names a read of a region.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum RegionRead {
    /// All jobs and attempts after a takeover.
    Jobs,
    /// The row of an attempt whose count has no outcome.
    Attempt(JobId, Attempt),
    /// The rows of a job whose acceptance has no outcome.
    Accept(JobId),
    /// A ring whose version is new.
    Ring,
}

/// Names an order to an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct OrderTag {
    /// The job.
    pub job: JobId,
    /// The attempt.
    pub attempt: Attempt,
    /// The task.
    pub task: TaskIndex,
    /// What was ordered.
    pub kind: OrderKind,
}

/// Kind of an order whose answer matters.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OrderKind {
    /// Reserve a task.
    Reserve,
    /// Start a task.
    Go,
    /// Stop a task or write a checkpoint; reports tell the result.
    Other,
}

/// What the site machine does next for a region.
#[derive(Debug)]
pub(crate) enum RegionEffect {
    /// Read the heads as soon as possible.
    ReadHeads,
    /// Read rows, then call [`RegionDuty::on_read`].
    Read(RegionRead, Vec<RowRange>),
    /// Commit writes, then call [`RegionDuty::on_commit`].
    Commit(RegionCommit, Vec<RowWrite>),
    /// Send an order, then call [`RegionDuty::on_answer`].
    Order(OrderTag, AgentId, Order),
    /// Reply to an operator.
    Reply(OperatorCall, OperatorReply),
    /// A newer ring was read.
    Ring(RingRow),
    /// Something that operators want to see in the log.
    Notice(Notice),
}
