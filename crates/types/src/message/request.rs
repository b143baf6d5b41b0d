//! Requests that are dispatched to backend servers, and claims of idempotency keys.

use std::time::Duration;

use crate::{
    Attempt, EntryId, IdempotencyKey, Remaining, RequestId, RingVersion, TeamId, TraceContext,
    Verdict,
};

/// A request that an entry dispatches to an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Dispatch {
    /// Id assigned by the entry that accepted the request.
    pub id: RequestId,
    /// The number of this attempt.
    pub attempt: Attempt,
    /// The caller's idempotency key, or one that the entry generated.
    pub key: IdempotencyKey,
    /// The team that the request belongs to.
    pub team: TeamId,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// Remaining time until the caller's deadline.
    pub remaining: Remaining,
    /// Trace context with the sender's span as the parent.
    pub trace: TraceContext,
    /// Path on the backend server.
    pub path: String,
    /// Caller's `content-type`, or `application/octet-stream` if it sent none.
    pub content_type: String,
    /// Body, forwarded unchanged.
    pub body: Vec<u8>,
}

/// The complete response of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// The request that was answered.
    pub id: RequestId,
    /// The attempt that was answered.
    pub attempt: Attempt,
    /// HTTP status of the backend server.
    pub status: u16,
    /// Backend server's `content-type`, or `application/octet-stream` if it sent none.
    pub content_type: String,
    /// Body, forwarded unchanged.
    pub body: Vec<u8>,
}

/// The current load of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Load {
    /// Number of requests that can run concurrently.
    pub slots: u32,
    /// Number of requests that are running.
    pub in_flight: u32,
    /// Whether the agent accepts no new work.
    pub is_leaving: bool,
}

/// An agent's reply to a dispatch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DispatchReply {
    /// Load after the request has ended.
    pub load: Load,
    /// The verdict on the request.
    pub verdict: Verdict<Answer>,
}

/// A claim of an idempotency key for one request, sent to the key's home agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    /// The key to claim, unique within the team.
    pub key: IdempotencyKey,
    /// The team; equal keys of different teams are independent.
    pub team: TeamId,
    /// The entry that accepted the request and claims its key.
    pub entry: EntryId,
    /// The request that claims the key.
    pub id: RequestId,
    /// Version of the ring in which the entry looked up the home agent.
    pub ring_version: RingVersion,
    /// Remaining time until the caller's deadline.
    pub remaining: Remaining,
}

/// The home agent's reply to a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimReply {
    /// The request may be dispatched.
    Granted,
    /// Another request has claimed the key.
    AlreadyClaimed,
    /// A former home agent may have granted the key.
    Uncertain,
    /// The agent isn't the key's home, or the claim has another ring version.
    NotHome,
    /// The agent holds the maximum number of claims.
    Full,
    /// The agent has no valid claim lease for its newest ring, or claim leases under the
    /// previous ring may still be valid.
    NotReady,
}

/// Maximum time limit of a request.
pub const MAX_REQUEST_TIMEOUT: Duration = Duration::from_secs(300);
