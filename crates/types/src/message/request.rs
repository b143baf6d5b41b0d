//! Requests on their way to a backend server, and claims of their keys.

use std::time::Duration;

use crate::{
    Attempt, EntryId, IdempotencyKey, Remaining, RequestId, RingVersion, TeamId, TraceContext,
    Verdict,
};

/// A request that an entry hands over to an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Dispatch {
    /// The request.
    pub id: RequestId,
    /// The number of this try.
    pub attempt: Attempt,
    /// The caller's idempotency key, or one made by the entry.
    pub key: IdempotencyKey,
    /// The team that the request belongs to.
    pub team: TeamId,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// What is left of the caller's time limit.
    pub remaining: Remaining,
    /// Trace context of the sending hop.
    pub trace: TraceContext,
    /// Path at the backend server.
    pub path: String,
    /// Content type of the body.
    pub content_type: String,
    /// Body, passed on as it is.
    pub body: Vec<u8>,
}

/// The whole answer of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// The request that is answered.
    pub id: RequestId,
    /// The try that is answered.
    pub attempt: Attempt,
    /// HTTP status of the backend server.
    pub status: u16,
    /// Content type of the body.
    pub content_type: String,
    /// Body, passed on as it is.
    pub body: Vec<u8>,
}

/// How busy a backend server is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Load {
    /// Requests that can run at once.
    pub slots: u32,
    /// Requests that run now.
    pub in_flight: u32,
    /// Whether the agent takes no new work.
    pub is_leaving: bool,
}

/// What an agent replies to a dispatch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DispatchReply {
    /// Load after the request ended.
    pub load: Load,
    /// The verdict on the request.
    pub verdict: Verdict<Answer>,
}

/// The claim of a key for one request, made at the key's home agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    /// The key.
    pub key: IdempotencyKey,
    /// The team; keys of different teams have nothing to do with each other.
    pub team: TeamId,
    /// The entry that claims it.
    pub entry: EntryId,
    /// The request for which it is claimed.
    pub id: RequestId,
    /// Version of the ring by which the entry found the home.
    pub ring_version: RingVersion,
    /// What is left of the caller's time limit.
    pub remaining: Remaining,
}

/// The home agent's answer to a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimReply {
    /// The request may be handed over.
    Granted,
    /// Another request holds the key.
    AlreadyClaimed,
    /// An earlier home may have granted the key.
    Uncertain,
    /// The agent isn't the key's home under its ring version.
    NotHome,
    /// The agent holds as many claims as it may.
    Full,
    /// The agent has no live lease.
    NotReady,
}

/// Longest time limit of a request.
pub const MAX_REQUEST_TIMEOUT: Duration = Duration::from_secs(300);
