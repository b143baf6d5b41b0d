//! Events and effects of the agent's state machine.

use cumindeck_control::gang::{OrderId, TaskEnd, TaskId};
use cumindeck_types::message::{
    AnnounceReply, Claim, ClaimReply, GangMember, Heartbeat, Reserve, StartTask, TaskAnswer,
    TaskRef,
};
use cumindeck_types::{Attempt, NotRunReason, Remaining, RequestId, Uptime};

/// Identifies a call that waits for its reply.
pub type CallId = OrderId;

/// Input of the agent's state machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AgentEvent {
    /// An entry dispatched a request.
    DispatchReceived {
        /// Id that the entry assigned.
        request: RequestId,
        /// Number of the dispatch, counted from 1 by the entry.
        attempt: Attempt,
        /// Time until the deadline when the message was read.
        remaining: Remaining,
        /// When the message was read.
        received: Uptime,
    },
    /// The call to the backend server ended, whatever the result.
    BackendEnded {
        /// Id from [`AgentEffect::Forward`].
        request: RequestId,
        /// Dispatch number from [`AgentEffect::Forward`].
        attempt: Attempt,
    },
    /// An entry claims a key.
    Claim(CallId, Claim),
    /// An entry releases a claim.
    ReleaseClaim(Claim),
    /// The leader reserves accelerators for a task.
    Reserve(CallId, Reserve),
    /// The leader starts a task.
    StartTask(CallId, StartTask),
    /// The leader stops a task.
    Stop(CallId, TaskRef),
    /// The leader orders a checkpoint of a task.
    Checkpoint(CallId, TaskRef),
    /// A gang member reports that it is alive.
    Heartbeat(CallId, Heartbeat),
    /// The agent of a gang's first task replied to a heartbeat.
    HeartbeatReplied {
        /// When the heartbeat was sent.
        sent_at: Uptime,
        /// Task of this agent that the heartbeat was sent for.
        id: TaskId,
        /// `Done` confirms the heartbeat; after `Failed` the task is stopped.
        answer: TaskAnswer,
    },
    /// The worker has prepared a task, or failed to.
    Prepared {
        /// Id from [`AgentEffect::Prepare`].
        id: TaskId,
        /// Whether the task is ready.
        is_ok: bool,
    },
    /// The worker has started a task, or refused to.
    Started {
        /// Id from [`AgentEffect::Run`].
        id: TaskId,
        /// Agents of the gang, in the order of their tasks.
        members: Vec<GangMember>,
        /// Whether the task process runs.
        is_ok: bool,
    },
    /// The worker no longer runs a task.
    Ended {
        /// Task that is no longer at the worker; it need not have started.
        id: TaskId,
        /// How it ended.
        end: TaskEnd,
    },
    /// An entry replied to an announcement.
    Replied {
        /// When the announcement was sent.
        sent_at: Uptime,
        /// Contains a lease only if the entry is the leader of the agent's region.
        reply: AnnounceReply,
    },
    /// The time of [`super::AgentCore::next_wakeup`] was reached.
    Wakeup,
    /// The process is stopping.
    Drain,
}

/// Output of the agent's state machine, carried out by the agent's tasks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AgentEffect {
    /// Write a request to the backend server.
    Forward {
        /// Id from [`AgentEvent::DispatchReceived`].
        request: RequestId,
        /// Dispatch number from [`AgentEvent::DispatchReceived`].
        attempt: Attempt,
        /// Remaining time until the deadline.
        remaining: Remaining,
    },
    /// Reply that a request did not run.
    Refuse {
        /// Id from [`AgentEvent::DispatchReceived`].
        request: RequestId,
        /// Dispatch number from [`AgentEvent::DispatchReceived`].
        attempt: Attempt,
        /// Why it did not run.
        reason: NotRunReason,
    },
    /// Reply to a claim.
    ReplyClaim(CallId, ClaimReply),
    /// Reply to an order about a task or to a heartbeat.
    ReplyTask(CallId, TaskAnswer),
    /// Prepare a task at the worker.
    Prepare {
        /// Id that [`AgentEvent::Prepared`] repeats.
        id: TaskId,
        /// Reservation, with the accelerators and the command.
        reserve: Reserve,
        /// Lease of the task at the worker.
        lease: Remaining,
    },
    /// Start a task at the worker.
    Run {
        /// Id that [`AgentEvent::Started`] repeats.
        id: TaskId,
        /// The task process starts before this time or not at all.
        not_after: Uptime,
        /// Agents of the gang, in the order of their tasks.
        members: Vec<GangMember>,
    },
    /// Write a checkpoint of a task.
    CheckpointTask(TaskId),
    /// Stop or release a task at the worker.
    StopTask(TaskId),
    /// Renew the lease of all tasks at the worker.
    Renew(Remaining),
    /// Send a heartbeat to the agent of a gang's first task.
    Heartbeat(GangMember, Heartbeat),
    /// Nothing is in flight after [`AgentEvent::Drain`].
    Drained,
}
