//! Choice of the agent that gets a request.

mod baseline;
mod power_of_two;

use std::time::Duration;

use cumindeck_types::{AgentId, ByteSize, Uptime};

pub use baseline::{RandomChoice, RoundRobin};
pub use power_of_two::{PowerOfTwo, RoutingConfig};

/// What a policy knows about the request.
#[derive(Debug, Clone, Copy)]
pub struct RouteRequest {
    /// Length of the body.
    pub body: ByteSize,
    /// What is left of the caller's time limit.
    pub remaining: Duration,
    /// How long it has waited for a free slot.
    pub waited: Duration,
}

/// An agent with a free slot and a free connection.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// The agent.
    pub agent: &'a AgentId,
    /// Whether it is in the entry's region.
    pub is_local: bool,
    /// Whether its availability zone is open.
    pub is_zone_open: bool,
    /// Requests that it can run at once.
    pub slots: u32,
    /// Requests in flight, of this entry and as far as known of others.
    pub in_flight: u32,
    /// Requests in flight from this entry.
    pub own_in_flight: u32,
}

/// How a dispatch ended, as far as routing is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The backend server answered.
    Served {
        /// Time from the dispatch to the answer.
        latency: Duration,
        /// Bytes of the answer.
        body: ByteSize,
    },
    /// The backend server or the way to it failed.
    Failed {
        /// Time from the dispatch to the failure.
        latency: Duration,
    },
    /// The agent refused for a reason that says nothing about its health.
    Refused,
}

/// Chooses agents for requests.
pub trait RoutingPolicy: Send {
    /// Name for reports.
    fn name(&self) -> &'static str;

    /// Returns the index of the chosen candidate, or `None` to wait.
    fn choose(
        &mut self,
        now: Uptime,
        request: RouteRequest,
        candidates: &[Candidate<'_>],
    ) -> Option<usize>;

    /// Takes new settings over; a policy without settings ignores them.
    fn configure(&mut self, _cfg: RoutingConfig) {}

    /// Learns how a dispatch ended.
    fn observe(&mut self, now: Uptime, agent: &AgentId, outcome: Outcome);

    /// Forgets an agent, because it is gone or restarted.
    fn forget(&mut self, agent: &AgentId);

    /// Returns when a choice that was `None` may change without an event.
    fn next_wakeup(&self, now: Uptime) -> Option<Uptime>;
}
