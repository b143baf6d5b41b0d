//! Settings, events and effects of the entry machine.

use std::time::Duration;

use cumindeck_types::message::{Answer, Claim, ClaimReply, DispatchReply};
use cumindeck_types::{
    AgentId, Attempt, AvailabilityZone, ByteSize, EntryId, IdempotencyKey, Incarnation, PerSecond,
    Region, Remaining, RequestId, TeamId, Uptime, Verdict,
};

use crate::{Ring, RoutingConfig};

/// Limits of a team.
#[derive(Debug, Clone, PartialEq)]
pub struct TeamLimits {
    /// Share of the dispatches while several teams wait, at least 1.
    pub weight: u32,
    /// Requests that may wait.
    pub queue_limit: usize,
    /// Requests a second that may be dispatched.
    pub rate: Option<PerSecond>,
    /// Region whose agents are the homes of the team's keys.
    pub home_region: Region,
}

/// Settings of an entry machine.
#[derive(Debug, Clone, PartialEq)]
pub struct EntryConfig {
    /// This entry.
    pub entry: EntryId,
    /// Region of this entry.
    pub region: Region,
    /// Teams that are known; others are refused.
    pub teams: Vec<(TeamId, TeamLimits)>,
    /// Settings of the chosen routing policy, applied when the entry starts.
    pub routing: RoutingConfig,
    /// Retries for each first attempt, as a percentage.
    pub retry_percent: u32,
}

/// A request as it arrives from a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Submission {
    /// Id given by the entry, never used twice.
    pub request: RequestId,
    /// The caller's key.
    pub key: Option<IdempotencyKey>,
    /// The team.
    pub team: TeamId,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// End of the caller's time limit.
    pub deadline: Uptime,
    /// Length of the body.
    pub body: ByteSize,
}

/// What an entry knows about an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AgentView {
    /// The agent.
    pub agent: AgentId,
    /// Incarnation of the agent's process.
    pub incarnation: Incarnation,
    /// The agent's availability zone.
    pub zone: AvailabilityZone,
    /// The agent's region.
    pub region: Region,
    /// Whether operators let the zone take new work.
    pub is_zone_open: bool,
    /// Whether the agent takes no new work.
    pub is_leaving: bool,
    /// Whether announcements are missing; it gets no new work.
    pub is_suspect: bool,
    /// Requests that the backend server can run at once.
    pub slots: u32,
    /// Connections that the backend server accepts at once.
    pub connections: u32,
    /// Requests that run there, of all entries.
    pub in_flight: u32,
}

/// A message to an agent that got no reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TransportFailure {
    /// Whether certainly no byte of the message was sent.
    pub is_not_sent: bool,
}

/// What happens to an entry.
#[derive(Debug, Clone, PartialEq)]
pub enum EntryEvent {
    /// A caller submitted a request.
    Submitted(Submission),
    /// An agent announced itself, or its view changed.
    AgentSeen(AgentView),
    /// An agent is gone.
    AgentGone {
        /// The agent.
        agent: AgentId,
        /// The incarnation that is gone; a newer one stays.
        incarnation: Incarnation,
    },
    /// A newer ring of a region was read.
    RingChanged(Ring),
    /// A dispatch ended.
    Dispatched {
        /// The request.
        request: RequestId,
        /// The try.
        attempt: Attempt,
        /// The agent.
        agent: AgentId,
        /// The reply, or why there is none.
        result: Result<DispatchReply, TransportFailure>,
    },
    /// A claim ended.
    Claimed {
        /// The request.
        request: RequestId,
        /// The try to claim, as in [`ClaimOrder`].
        attempt: Attempt,
        /// The reply, or why there is none.
        result: Result<ClaimReply, TransportFailure>,
    },
    /// The caller closed its connection.
    Cancelled(RequestId),
    /// The time of [`super::EntryMachine::next_wakeup`] was reached.
    Wakeup,
    /// The configuration changed.
    Configured(EntryConfig),
    /// The process stops once nothing is in flight.
    Drain,
}

/// A request to hand over to an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DispatchOrder {
    /// The agent.
    pub agent: AgentId,
    /// Incarnation of the agent's process that is meant.
    pub incarnation: Incarnation,
    /// The request.
    pub request: RequestId,
    /// The try.
    pub attempt: Attempt,
    /// The caller's key, if there is one.
    pub key: Option<IdempotencyKey>,
    /// The team.
    pub team: TeamId,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// What is left of the caller's time limit.
    pub remaining: Remaining,
}

/// A key to claim at its home agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimOrder {
    /// The home agent.
    pub agent: AgentId,
    /// Incarnation of the home agent's process.
    pub incarnation: Incarnation,
    /// The try to claim.
    pub attempt: Attempt,
    /// The message.
    pub claim: Claim,
}

/// What the entry's tasks do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EntryEffect {
    /// Send a dispatch, then report [`EntryEvent::Dispatched`].
    Dispatch(DispatchOrder),
    /// Send a claim, then report [`EntryEvent::Claimed`].
    Claim(ClaimOrder),
    /// Tell the home agent that the claimed request certainly did not run.
    SettleNotRun(ClaimOrder),
    /// Reply to the caller; sent exactly once for each request, unless the
    /// caller cancelled.
    Reply {
        /// The request.
        request: RequestId,
        /// The verdict.
        verdict: Verdict<Answer>,
    },
    /// Stop waiting for a dispatch or a claim; its result is ignored.
    ///
    /// A request has at most one message outstanding, and its claims end
    /// before its first dispatch, so `attempt` counts whichever was sent last.
    Abandon {
        /// The request.
        request: RequestId,
        /// The try that is given up.
        attempt: Attempt,
        /// The agent.
        agent: AgentId,
    },
    /// Read the ring of this region again.
    RefreshRing(Region),
    /// Nothing is left after [`EntryEvent::Drain`].
    Drained,
}

/// Counters for metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct EntryStats {
    /// Requests submitted.
    pub submitted: u64,
    /// First attempts.
    pub first_attempts: u64,
    /// Further attempts.
    pub retries: u64,
    /// Requests that wait in queues.
    pub queued: usize,
    /// Requests at an agent.
    pub in_flight: usize,
    /// Time that the last dispatched request waited.
    pub last_wait: Duration,
}
