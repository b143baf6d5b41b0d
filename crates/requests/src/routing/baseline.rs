//! Baseline policies, which ignore the outcomes of dispatches.

use cumindeck_types::{AgentId, Uptime};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{Candidate, Outcome, RouteRequest, RoutingPolicy};

/// Picks a random agent with a free slot.
#[derive(Debug)]
pub struct RandomChoice {
    rng: ChaCha8Rng,
}

impl RandomChoice {
    /// Creates a policy with a seed for its random choices.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        Self { rng }
    }
}

impl RoutingPolicy for RandomChoice {
    fn name(&self) -> &'static str {
        "random"
    }

    fn choose(
        &mut self,
        _now: Uptime,
        _request: RouteRequest,
        candidates: &[Candidate<'_>],
    ) -> Option<usize> {
        if candidates.is_empty() {
            return None;
        }
        Some(self.rng.random_range(0..candidates.len()))
    }

    fn observe(&mut self, _now: Uptime, _agent: &AgentId, _outcome: Outcome) {}

    fn remove_agent(&mut self, _agent: &AgentId) {}

    fn next_wakeup(&self, _now: Uptime) -> Option<Uptime> {
        None
    }
}

/// Picks the agents with a free slot round-robin, in the order of their ids.
#[derive(Debug, Default)]
pub struct RoundRobin {
    last: Option<AgentId>,
}

impl RoundRobin {
    /// Creates a policy that starts with the first agent.
    #[must_use]
    pub const fn new() -> Self {
        Self { last: None }
    }
}

impl RoutingPolicy for RoundRobin {
    fn name(&self) -> &'static str {
        "round-robin"
    }

    fn choose(
        &mut self,
        _now: Uptime,
        _request: RouteRequest,
        candidates: &[Candidate<'_>],
    ) -> Option<usize> {
        let first = candidates.first()?;
        let is_next = |c: &Candidate<'_>| self.last.as_ref().is_some_and(|last| c.agent > last);
        let index = candidates.iter().position(is_next).unwrap_or(0);
        self.last = Some(candidates.get(index).unwrap_or(first).agent.clone());
        Some(index)
    }

    fn observe(&mut self, _now: Uptime, _agent: &AgentId, _outcome: Outcome) {}

    fn remove_agent(&mut self, _agent: &AgentId) {}

    fn next_wakeup(&self, _now: Uptime) -> Option<Uptime> {
        None
    }
}
