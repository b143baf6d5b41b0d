//! Ids of pending operations, and effects of the leadership of a region.

use cumindeck_types::{AgentId, Attempt, FencingToken, JobId, TaskIndex};

use crate::event::{Notice, OperatorCallId, OperatorReply, Order, RowWrite};
use crate::rows::{RingRow, RowRange};

/// Identifies a commit of a region.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum RegionCommit {
    /// A write of the leader lease, with its number and the token if that is new.
    Leader(u64, Option<FencingToken>),
    /// A new ring and the row of its version.
    Ring,
    /// The row of a new attempt, together with the job's row.
    Attempt(JobId, Attempt),
    /// The rows of a new job; conflicts if any region has a job with this id.
    Accept(JobId),
    /// The job's row, marked as cancelled.
    Cancel(JobId),
    /// The state of a job, for readers only.
    State(JobId),
    /// The row of an ended job, which replaces its job and attempt rows.
    End(JobId),
}

/// Identifies a read of a region.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum RegionRead {
    /// All jobs and attempts, after a takeover.
    Jobs,
    /// The row of an attempt whose write has an unknown outcome.
    Attempt(JobId, Attempt),
    /// The rows of a job whose acceptance has an unknown outcome.
    Accept(JobId),
    /// A ring with a new version.
    Ring,
}

/// Identifies an order to an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct OrderTag {
    pub job: JobId,
    pub attempt: Attempt,
    pub task: TaskIndex,
    pub kind: OrderKind,
}

/// Kind of an order, which selects the handler of its reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OrderKind {
    Reserve,
    /// Start a reserved task.
    StartTask,
    /// Stop a task or write a checkpoint; the result arrives in task reports.
    Other,
}

/// An action that the site machine performs for a region.
#[derive(Debug)]
pub(crate) enum RegionEffect {
    /// Read the polled rows as soon as possible.
    Poll,
    /// Read rows, then call [`RegionLeadership::on_read`].
    Read(RegionRead, Vec<RowRange>),
    /// Commit writes, then call [`RegionLeadership::on_commit`].
    Commit(RegionCommit, Vec<RowWrite>),
    /// Send an order, then call [`RegionLeadership::on_order_reply`].
    Order(OrderTag, AgentId, Order),
    /// Reply to an operator.
    Reply(OperatorCallId, OperatorReply),
    /// A newer ring was read.
    Ring(RingRow),
    /// An event for the log.
    Notice(Notice),
}
