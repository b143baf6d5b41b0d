//! Routing policies, which choose the agent for a request.

mod baseline;
mod power_of_two;

use std::time::Duration;

use cumindeck_types::{AgentId, ByteSize, Uptime};

pub use baseline::{RandomChoice, RoundRobin};
pub use power_of_two::{PowerOfTwo, RoutingConfig};

/// Properties of a request that a policy considers.
#[derive(Debug, Clone, Copy)]
pub struct RouteRequest {
    /// Length of the body; counts against the link between regions.
    pub body: ByteSize,
    /// Remaining time until the caller's deadline.
    pub remaining: Duration,
    /// Time that the request has waited for a free slot.
    pub waited: Duration,
}

/// An agent with a free slot and a free connection.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// Id under which [`RoutingPolicy::observe`] reports outcomes.
    pub agent: &'a AgentId,
    /// Whether it is in the entry's region.
    pub is_local: bool,
    /// Whether its availability zone is open for new work.
    pub is_zone_open: bool,
    /// Number of requests that it can run concurrently.
    pub slots: u32,
    /// Requests in flight from all entries; those of other entries are an estimate.
    pub in_flight: u32,
    /// Requests in flight from this entry.
    pub own_in_flight: u32,
}

/// Outcome of a dispatch, as far as it matters to routing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The backend server sent a response.
    Served {
        /// Time from the dispatch to the response.
        latency: Duration,
        /// Length of the response's body.
        body: ByteSize,
    },
    /// The backend server or the connection to it failed.
    Failed {
        /// Time from the dispatch to the failure.
        latency: Duration,
    },
    /// The agent refused for a reason that says nothing about its health.
    Refused,
}

/// Chooses agents for requests.
pub trait RoutingPolicy: Send {
    /// Returns the policy's name for reports.
    fn name(&self) -> &'static str;

    /// Returns the index of the chosen candidate, or `None` to wait.
    fn choose(
        &mut self,
        now: Uptime,
        request: RouteRequest,
        candidates: &[Candidate<'_>],
    ) -> Option<usize>;

    /// Applies new settings; a policy without settings ignores them.
    fn configure(&mut self, _cfg: RoutingConfig) {}

    /// Records the outcome of a dispatch.
    fn observe(&mut self, now: Uptime, agent: &AgentId, outcome: Outcome);

    /// Discards what is known about an agent that was removed or has restarted.
    fn remove_agent(&mut self, agent: &AgentId);

    /// Returns when a choice that was `None` may change without an event.
    fn next_wakeup(&self, now: Uptime) -> Option<Uptime>;
}
