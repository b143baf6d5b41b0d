//! Power-of-two-choices policy, based on the share of used slots and recent latency.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cumindeck_types::{AgentId, Uptime};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{Candidate, Outcome, RouteRequest, RoutingPolicy};

/// Settings of [`PowerOfTwo`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RoutingConfig {
    /// Minimum latency that a failure counts as.
    pub failure_latency: Duration,
    /// Number of consecutive failures after which an agent only gets probes.
    pub failures_to_probe: u32,
    /// Delay of the first probe; doubles with each further failure.
    pub probe_after: Duration,
    /// Upper limit of the doubled delay of a probe.
    pub max_probe_delay: Duration,
    /// Round-trip time between two regions.
    pub region_round_trip: Duration,
    /// Bytes per second of the link between regions that requests and responses may use.
    pub link_bytes_per_second: u64,
}

impl Default for RoutingConfig {
    fn default() -> Self {
        Self {
            failure_latency: Duration::from_secs(2),
            failures_to_probe: 2,
            probe_after: Duration::from_millis(500),
            max_probe_delay: Duration::from_secs(10),
            region_round_trip: Duration::from_millis(40),
            // A quarter of 30 Mbit/s; checkpoints use the same link. The entry replaces
            // it by the `link-share` of the link's capacity in the site's settings.
            link_bytes_per_second: 30_000_000 / 8 / 4,
        }
    }
}

/// Recent outcomes of dispatches to an agent.
#[derive(Debug, Default)]
struct Health {
    /// Moving average of the latency in seconds; `None` before the first.
    latency: Option<f64>,
    /// Number of consecutive failures.
    failures: u32,
    /// When the next probe may be sent.
    probe_at: Uptime,
}

/// Picks the better of two random agents; the default policy.
#[derive(Debug)]
pub struct PowerOfTwo {
    cfg: RoutingConfig,
    rng: ChaCha8Rng,
    health: BTreeMap<AgentId, Health>,
    /// Number of agents that only get probes.
    failing_agents: usize,
    /// Bytes that may use the link between regions now; negative after a large
    /// response.
    link_budget: f64,
    link_refilled_at: Uptime,
    /// When a request that waits for its own region may go to another one.
    recheck_at: Option<Uptime>,
    /// Agents in other regions, whose responses use the link.
    remote_agents: BTreeSet<AgentId>,
}

/// Weight of the newest latency in the moving average.
const LATENCY_WEIGHT: f64 = 0.2;

impl PowerOfTwo {
    /// Creates a policy with a seed for its random choices.
    #[must_use]
    pub fn new(cfg: RoutingConfig, seed: u64) -> Self {
        Self {
            cfg,
            rng: ChaCha8Rng::seed_from_u64(seed),
            health: BTreeMap::new(),
            failing_agents: 0,
            link_budget: cfg.link_bytes_per_second as f64,
            link_refilled_at: Uptime::ZERO,
            recheck_at: None,
            remote_agents: BTreeSet::new(),
        }
    }

    fn refill_link_budget(&mut self, now: Uptime) {
        let rate = self.cfg.link_bytes_per_second as f64;
        let passed = now.since(self.link_refilled_at).as_secs_f64();
        self.link_refilled_at = self.link_refilled_at.max(now);
        self.link_budget = (self.link_budget + passed * rate).min(rate);
    }

    /// Returns how long a request waits before it may use the link to another region;
    /// `None` if it may use it now.
    ///
    /// Another region costs a round trip. With at most two round trips left, a request
    /// stays in its own region; with at most four, it doesn't wait for its own region;
    /// otherwise it first waits one round trip for it. It also waits for the budget of
    /// the link.
    fn cross_region_delay(&self, request: RouteRequest) -> Option<Duration> {
        let round_trip = self.cfg.region_round_trip;
        if request.remaining <= 2 * round_trip {
            return Some(request.remaining);
        }
        let is_short = request.remaining <= 4 * round_trip;
        let local = round_trip.saturating_sub(request.waited);
        let local = if is_short { Duration::ZERO } else { local };
        // A body larger than the budget of one second may cross once the budget is full.
        let rate = self.cfg.link_bytes_per_second as f64;
        let missing = (request.body.bytes() as f64).min(rate) - self.link_budget;
        let link = Duration::from_secs_f64((missing / rate.max(1.0)).clamp(0.0, 60.0));
        let wait = local.max(link);
        (!wait.is_zero()).then_some(wait + Duration::from_micros(1))
    }

    /// Returns whether an agent may get a request: it isn't failing, or a probe is due.
    ///
    /// If most agents fail, the cause lies elsewhere, such as in the requests; holding
    /// back the remaining agents would only add to the outage.
    fn is_usable(&self, now: Uptime, candidate: &Candidate<'_>) -> bool {
        let Some(health) = self.health.get(candidate.agent) else {
            return true;
        };
        if !self.is_failing(health) || self.failing_agents * 5 > self.health.len() * 4 {
            return true;
        }
        candidate.own_in_flight == 0 && now >= health.probe_at
    }

    const fn is_failing(&self, health: &Health) -> bool {
        health.failures >= self.cfg.failures_to_probe
    }

    fn score(&self, candidate: &Candidate<'_>) -> f64 {
        let health = self.health.get(candidate.agent);
        let latency = health.and_then(|h| h.latency).unwrap_or(0.001);
        let share = f64::from(candidate.in_flight + 1) / f64::from(candidate.slots.max(1));
        latency * share
    }

    /// Removes random candidates from `tier` until one is usable, and returns that one.
    fn draw(
        &mut self,
        now: Uptime,
        candidates: &[Candidate<'_>],
        tier: &mut Vec<usize>,
    ) -> Option<usize> {
        while !tier.is_empty() {
            let index = tier.swap_remove(self.rng.random_range(0..tier.len()));
            if self.is_usable(now, &candidates[index]) {
                return Some(index);
            }
        }
        None
    }

    /// Compares two random candidates and returns the better one.
    fn better_of_two(
        &mut self,
        now: Uptime,
        candidates: &[Candidate<'_>],
        mut tier: Vec<usize>,
    ) -> Option<usize> {
        let first = self.draw(now, candidates, &mut tier)?;
        let Some(second) = self.draw(now, candidates, &mut tier) else {
            return Some(first);
        };
        let is_first = self.score(&candidates[first]) <= self.score(&candidates[second]);
        Some(if is_first { first } else { second })
    }
}

impl RoutingPolicy for PowerOfTwo {
    fn name(&self) -> &'static str {
        "power-of-two"
    }

    fn configure(&mut self, cfg: RoutingConfig) {
        self.cfg = cfg;
    }

    fn choose(
        &mut self,
        now: Uptime,
        request: RouteRequest,
        candidates: &[Candidate<'_>],
    ) -> Option<usize> {
        self.refill_link_budget(now);
        let tiers = [(true, true), (true, false), (false, true), (false, false)];
        for (is_local, is_open) in tiers {
            let is_in_tier =
                |c: &Candidate<'_>| (c.is_local, c.is_zone_open) == (is_local, is_open);
            let tier = (0..candidates.len()).filter(|i| is_in_tier(&candidates[*i]));
            let Some(index) = self.better_of_two(now, candidates, tier.collect()) else {
                continue;
            };
            if !is_local {
                if let Some(wait) = self.cross_region_delay(request) {
                    let at = now.plus(wait);
                    let earlier = self.recheck_at.filter(|known| *known > now && *known < at);
                    self.recheck_at = earlier.or(Some(at));
                    return None;
                }
                self.link_budget -= request.body.bytes() as f64;
                self.remote_agents.insert(candidates[index].agent.clone());
            }
            return Some(index);
        }
        None
    }

    fn observe(&mut self, now: Uptime, agent: &AgentId, outcome: Outcome) {
        let cfg = self.cfg;
        let health = self.health.entry(agent.clone()).or_default();
        let latency = match outcome {
            Outcome::Refused => return,
            Outcome::Served { latency, body } => {
                if self.remote_agents.contains(agent) {
                    self.link_budget -= body.bytes() as f64;
                }
                if health.failures >= cfg.failures_to_probe {
                    self.failing_agents -= 1;
                }
                health.failures = 0;
                latency
            }
            Outcome::Failed { latency } => {
                health.failures += 1;
                if health.failures == cfg.failures_to_probe {
                    self.failing_agents += 1;
                }
                let doublings = health
                    .failures
                    .saturating_sub(cfg.failures_to_probe)
                    .min(16);
                let wait = (cfg.probe_after * (1 << doublings)).min(cfg.max_probe_delay);
                health.probe_at = now.plus(wait);
                latency.max(cfg.failure_latency)
            }
        };
        let newest = latency.as_secs_f64();
        let average = health.latency.unwrap_or(newest);
        health.latency = Some(average + LATENCY_WEIGHT * (newest - average));
    }

    fn remove_agent(&mut self, agent: &AgentId) {
        let removed = self.health.remove(agent);
        if removed.is_some_and(|health| self.is_failing(&health)) {
            self.failing_agents -= 1;
        }
    }

    fn next_wakeup(&self, now: Uptime) -> Option<Uptime> {
        let probing = |h: &&Health| self.is_failing(h) && h.probe_at > now;
        let probe = self.health.values().filter(probing).map(|h| h.probe_at);
        let recheck = self.recheck_at.filter(|at| *at > now);
        probe.chain(recheck).min()
    }
}
