//! Events and effects of an agent.

use cumindeck_control::gang::{OrderId, TaskEnd, TaskId};
use cumindeck_types::message::{
    AnnounceReply, Beat, Claim, ClaimReply, GangMember, Go, Reserve, TaskAnswer, TaskRef,
};
use cumindeck_types::{Attempt, NotRunReason, Remaining, RequestId, Uptime};

/// Names a call that waits for its reply.
pub type CallId = OrderId;

/// What happens to an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AgentEvent {
    /// An entry dispatched a request.
    Offered {
        /// The request.
        request: RequestId,
        /// The try.
        attempt: Attempt,
        /// What was left of the time limit when the message was read.
        remaining: Remaining,
        /// When the message was read.
        received: Uptime,
    },
    /// The backend server's part of a request ended, whatever the result.
    BackendEnded {
        /// The request.
        request: RequestId,
        /// The try.
        attempt: Attempt,
    },
    /// An entry claims a key.
    Claim(CallId, Claim),
    /// An entry gives a claim back.
    Settle(Claim),
    /// The duty holder reserves a task.
    Reserve(CallId, Reserve),
    /// The duty holder starts a task.
    Go(CallId, Go),
    /// The duty holder stops a task.
    Stop(CallId, TaskRef),
    /// The duty holder asks for a checkpoint.
    Checkpoint(CallId, TaskRef),
    /// A gang member reports that it is alive.
    Beat(CallId, Beat),
    /// The agent of a gang's first task answered a beat.
    BeatAnswered {
        /// When the beat was sent.
        asked: Uptime,
        /// The agent's own task.
        id: TaskId,
        /// The answer.
        answer: TaskAnswer,
    },
    /// The worker has prepared a task, or failed to.
    Prepared {
        /// The task.
        id: TaskId,
        /// Whether the task is ready.
        is_ok: bool,
    },
    /// The worker has started a task, or refused to.
    Started {
        /// The task.
        id: TaskId,
        /// Agents of the gang, in the order of their tasks.
        members: Vec<GangMember>,
        /// Whether the body runs.
        is_ok: bool,
    },
    /// The worker no longer runs a task.
    Ended {
        /// The task.
        id: TaskId,
        /// How it ended.
        end: TaskEnd,
    },
    /// An entry replied to an announcement.
    Replied {
        /// When the announcement was sent.
        asked: Uptime,
        /// The reply.
        reply: AnnounceReply,
    },
    /// The time of the next wakeup was reached.
    Wakeup,
    /// The process shall stop.
    Drain,
}

/// What the agent's tasks do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AgentEffect {
    /// Write a request to the backend server.
    HandOver {
        /// The request.
        request: RequestId,
        /// The try.
        attempt: Attempt,
        /// What is left of the time limit.
        remaining: Remaining,
    },
    /// Reply that a request did not run.
    Refuse {
        /// The request.
        request: RequestId,
        /// The try.
        attempt: Attempt,
        /// Why it did not run.
        reason: NotRunReason,
    },
    /// Reply to a claim.
    ReplyClaim(CallId, ClaimReply),
    /// Reply to an order about a task or to a beat.
    ReplyTask(CallId, TaskAnswer),
    /// Prepare a task at the worker.
    Prepare {
        /// The task.
        id: TaskId,
        /// The reservation.
        reserve: Reserve,
        /// Lease of the task at the worker.
        lease: Remaining,
    },
    /// Start a task at the worker.
    Run {
        /// The task.
        id: TaskId,
        /// The body starts before this time or not at all.
        not_after: Uptime,
        /// Agents of the gang, in the order of their tasks.
        members: Vec<GangMember>,
    },
    /// Write a checkpoint of a task.
    CheckpointTask(TaskId),
    /// Stop or release a task at the worker.
    StopTask(TaskId),
    /// Extend the lease of all tasks at the worker.
    Renew(Remaining),
    /// Report to the agent of a gang's first task.
    Beat(GangMember, Beat),
    /// Nothing is in flight after [`AgentEvent::Drain`].
    Drained,
}
