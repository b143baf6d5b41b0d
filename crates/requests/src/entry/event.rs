//! Settings, events and effects of the state machine of an entry's request path.

use std::time::Duration;

use cumindeck_types::message::{Answer, Claim, ClaimReply, DispatchReply};
use cumindeck_types::{
    AgentId, Attempt, AvailabilityZone, ByteSize, EntryId, IdempotencyKey, Incarnation, PerSecond,
    Region, Remaining, RequestId, TeamId, Uptime, Verdict,
};

use crate::{Ring, RoutingConfig};

/// Limits on a team's requests.
#[derive(Debug, Clone, PartialEq)]
pub struct TeamLimits {
    /// Share of the dispatches while requests of several teams wait; at least 1.
    pub weight: u32,
    /// Maximum number of requests that wait for a claim or in the queue.
    pub queue_limit: usize,
    /// Maximum rate of dispatches; `None` means no limit.
    pub rate: Option<PerSecond>,
    /// Region whose agents decide about claims of the team's keys.
    pub home_region: Region,
}

/// Settings of the entry's state machine.
#[derive(Debug, Clone, PartialEq)]
pub struct EntryConfig {
    /// Id of this entry.
    pub entry: EntryId,
    /// Region of this entry.
    pub region: Region,
    /// Known teams; requests of other teams are refused.
    pub teams: Vec<(TeamId, TeamLimits)>,
    /// Settings of the routing policy.
    pub routing: RoutingConfig,
    /// Retry budget as a percentage of first attempts.
    pub retry_percent: u32,
}

/// A caller's request, without its body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Submission {
    /// Id assigned by the entry; never reused.
    pub request: RequestId,
    /// Idempotency key, if the caller sent one.
    pub key: Option<IdempotencyKey>,
    /// Team that sent the request.
    pub team: TeamId,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// End of the caller's time limit.
    pub deadline: Uptime,
    /// Length of the body; counts against the link between regions.
    pub body: ByteSize,
}

/// An entry's view of an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AgentView {
    /// Id of the agent, the same in each incarnation.
    pub agent: AgentId,
    /// Incarnation of the agent's process.
    pub incarnation: Incarnation,
    /// The agent's availability zone.
    pub zone: AvailabilityZone,
    /// The agent's region.
    pub region: Region,
    /// Whether operators allow new work in the zone.
    pub is_zone_open: bool,
    /// Whether the agent is leaving; it gets no new requests.
    pub is_leaving: bool,
    /// Whether the agent's announcements are overdue; it gets no new requests.
    pub is_suspect: bool,
    /// Number of requests that the backend server can run concurrently.
    pub slots: u32,
    /// Number of connections that the backend server accepts concurrently.
    pub connections: u32,
    /// Requests in flight at the agent, from all entries.
    pub in_flight: u32,
}

/// A message to an agent that got no reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TransportFailure {
    /// Whether it is certain that no byte of the message was sent.
    pub is_not_sent: bool,
}

/// Input of the entry's state machine.
#[derive(Debug, Clone, PartialEq)]
pub enum EntryEvent {
    /// A caller submitted a request.
    Submitted(Submission),
    /// An agent announced itself, or its view changed.
    AgentSeen(AgentView),
    /// An agent was removed from membership.
    AgentGone {
        /// Agent whose incarnation was removed.
        agent: AgentId,
        /// Removed incarnation; a newer one stays.
        incarnation: Incarnation,
    },
    /// A newer ring of a region was read.
    RingChanged(Ring),
    /// A dispatch from [`EntryEffect::Dispatch`] got a reply or failed.
    Dispatched {
        /// Id from [`DispatchOrder`].
        request: RequestId,
        /// Number of the dispatch, as in [`DispatchOrder`].
        attempt: Attempt,
        /// Agent that the request was dispatched to.
        agent: AgentId,
        /// The reply, or why there is none.
        result: Result<DispatchReply, TransportFailure>,
    },
    /// A claim from [`EntryEffect::Claim`] got a reply or failed.
    Claimed {
        /// Request that the key is claimed for.
        request: RequestId,
        /// Number of the claim, as in [`ClaimOrder`].
        attempt: Attempt,
        /// The reply, or why there is none.
        result: Result<ClaimReply, TransportFailure>,
    },
    /// The caller closed its connection.
    Cancelled(RequestId),
    /// The time of [`super::EntryMachine::next_wakeup`] was reached.
    Wakeup,
    /// A configuration that replaces the current one.
    Configured(EntryConfig),
    /// The process is stopping: new requests are refused, pending ones finish.
    Drain,
}

/// A request to dispatch to an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DispatchOrder {
    /// Agent that the routing policy chose.
    pub agent: AgentId,
    /// Incarnation of the agent's process that was chosen.
    pub incarnation: Incarnation,
    /// Id from [`Submission`].
    pub request: RequestId,
    /// Number of the dispatch, counted from 1.
    pub attempt: Attempt,
    /// Idempotency key, if the caller sent one.
    pub key: Option<IdempotencyKey>,
    /// Team that sent the request.
    pub team: TeamId,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// Remaining time until the caller's deadline.
    pub remaining: Remaining,
}

/// A claim to send to a key's home agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimOrder {
    /// Id of the home agent.
    pub agent: AgentId,
    /// Incarnation of the home agent's process.
    pub incarnation: Incarnation,
    /// Number of the claim, counted from 1.
    pub attempt: Attempt,
    /// Message to send.
    pub claim: Claim,
}

/// Output of the entry's state machine, carried out by the entry's tasks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EntryEffect {
    /// Send a dispatch, then report [`EntryEvent::Dispatched`].
    Dispatch(DispatchOrder),
    /// Send a claim, then report [`EntryEvent::Claimed`].
    Claim(ClaimOrder),
    /// Release a claim at the home agent, because the request certainly did not run.
    ReleaseClaim(ClaimOrder),
    /// Reply to the caller; sent exactly once for each request, unless the
    /// caller cancelled.
    Reply {
        /// Id from [`Submission`].
        request: RequestId,
        /// Response of the backend server, or what is known about the request.
        verdict: Verdict<Answer>,
    },
    /// Stop waiting for a dispatch or a claim; its result is ignored.
    ///
    /// A request has at most one message outstanding, and its claims end
    /// before its first dispatch, so `attempt` counts whichever was sent last.
    Abandon {
        /// Id from [`Submission`].
        request: RequestId,
        /// Number of the dispatch or claim that is abandoned.
        attempt: Attempt,
        /// Agent that the message was sent to.
        agent: AgentId,
    },
    /// Read the ring of this region again.
    RefreshRing(Region),
    /// No request is pending after [`EntryEvent::Drain`].
    Drained,
}

/// Counters for metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct EntryStats {
    /// Submitted requests, including refused ones.
    pub submitted: u64,
    /// Requests that were dispatched at least once.
    pub first_attempts: u64,
    /// Requests queued again because a dispatch certainly did not run.
    pub retries: u64,
    /// Requests that wait in queues.
    pub queued: usize,
    /// Requests that were dispatched and have no reply yet.
    pub in_flight: usize,
    /// Time that the request dispatched last spent in the queue.
    pub last_wait: Duration,
}
