//! Power of two choices over in-flight share and recent latency.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cumindeck_types::{AgentId, Uptime};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{Candidate, Outcome, RouteRequest, RoutingPolicy};

/// Settings of [`PowerOfTwo`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RoutingConfig {
    /// Latency that a failure counts as, if its own was shorter.
    pub failure_latency: Duration,
    /// Failures in a row after which an agent only gets probes.
    pub failures_to_probe: u32,
    /// Time from the first failure to the first probe.
    pub probe_after: Duration,
    /// Longest time between two probes.
    pub probe_at_most: Duration,
    /// Round trip between two regions.
    pub region_round_trip: Duration,
    /// Bytes a second that requests and answers may use of the link.
    pub link_bytes_per_second: u64,
}

impl Default for RoutingConfig {
    fn default() -> Self {
        Self {
            failure_latency: Duration::from_secs(2),
            failures_to_probe: 2,
            probe_after: Duration::from_millis(500),
            probe_at_most: Duration::from_secs(10),
            region_round_trip: Duration::from_millis(40),
            // A quarter of 30 Mbit/s; checkpoints use the same link.
            link_bytes_per_second: 30_000_000 / 8 / 4,
        }
    }
}

/// What is known about an agent's backend server.
#[derive(Debug, Default)]
struct Health {
    /// Moving average of the latency in seconds; `None` before the first.
    latency: Option<f64>,
    /// Failures in a row.
    failures: u32,
    /// When the next probe may be sent.
    probe_at: Uptime,
}

/// The chosen policy.
#[derive(Debug)]
pub struct PowerOfTwo {
    cfg: RoutingConfig,
    rng: ChaCha8Rng,
    health: BTreeMap<AgentId, Health>,
    /// Agents with enough failures in a row to be probed.
    failing: usize,
    /// Bytes that may cross the link now; negative after a large answer.
    link_budget: f64,
    link_at: Uptime,
    /// When a request that found no agent may go to the other region.
    recheck_at: Option<Uptime>,
    /// Agents in the other region, whose answers use the link.
    remote: BTreeSet<AgentId>,
}

/// Weight of the newest latency in the moving average.
const NEWEST: f64 = 0.2;

impl PowerOfTwo {
    /// Makes a policy from a seed.
    #[must_use]
    pub fn new(cfg: RoutingConfig, seed: u64) -> Self {
        Self {
            cfg,
            rng: ChaCha8Rng::seed_from_u64(seed),
            health: BTreeMap::new(),
            failing: 0,
            link_budget: cfg.link_bytes_per_second as f64,
            link_at: Uptime::ZERO,
            recheck_at: None,
            remote: BTreeSet::new(),
        }
    }

    fn refill(&mut self, now: Uptime) {
        let rate = self.cfg.link_bytes_per_second as f64;
        let passed = now.since(self.link_at).as_secs_f64();
        self.link_at = self.link_at.max(now);
        self.link_budget = (self.link_budget + passed * rate).min(rate);
    }

    /// Returns how long a request waits for its own region before it may use
    /// the link.
    ///
    /// The other region costs a round trip, so a request first waits for as
    /// long as that, unless its time is short.
    fn wait_to_cross(&self, request: RouteRequest) -> Option<Duration> {
        let round_trip = self.cfg.region_round_trip;
        if request.remaining <= 2 * round_trip {
            return Some(request.remaining);
        }
        let is_short = request.remaining <= 4 * round_trip;
        let local = round_trip.saturating_sub(request.waited);
        let local = if is_short { Duration::ZERO } else { local };
        // A body larger than a second's share may cross once the share is full.
        let rate = self.cfg.link_bytes_per_second as f64;
        let missing = (request.body.bytes() as f64).min(rate) - self.link_budget;
        let link = Duration::from_secs_f64((missing / rate.max(1.0)).clamp(0.0, 60.0));
        let wait = local.max(link);
        (!wait.is_zero()).then_some(wait + Duration::from_micros(1))
    }

    /// Tells whether an agent isn't waiting for a probe.
    ///
    /// If most agents fail, the cause lies elsewhere, such as in the requests;
    /// holding back the last agents would only add to the outage.
    fn is_usable(&self, now: Uptime, candidate: &Candidate<'_>) -> bool {
        let Some(health) = self.health.get(candidate.agent) else {
            return true;
        };
        if !self.is_failing(health) || self.failing * 5 > self.health.len() * 4 {
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

    /// Draws a usable candidate and takes it from `tier`.
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
        self.refill(now);
        let tiers = [(true, true), (true, false), (false, true), (false, false)];
        for (is_local, is_open) in tiers {
            let is_in_tier =
                |c: &Candidate<'_>| (c.is_local, c.is_zone_open) == (is_local, is_open);
            let tier = (0..candidates.len()).filter(|i| is_in_tier(&candidates[*i]));
            let Some(index) = self.better_of_two(now, candidates, tier.collect()) else {
                continue;
            };
            if !is_local {
                if let Some(wait) = self.wait_to_cross(request) {
                    let at = now.plus(wait);
                    let earlier = self.recheck_at.filter(|known| *known > now && *known < at);
                    self.recheck_at = earlier.or(Some(at));
                    return None;
                }
                self.link_budget -= request.body.bytes() as f64;
                self.remote.insert(candidates[index].agent.clone());
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
                if self.remote.contains(agent) {
                    self.link_budget -= body.bytes() as f64;
                }
                if health.failures >= cfg.failures_to_probe {
                    self.failing -= 1;
                }
                health.failures = 0;
                latency
            }
            Outcome::Failed { latency } => {
                health.failures += 1;
                if health.failures == cfg.failures_to_probe {
                    self.failing += 1;
                }
                let doublings = health
                    .failures
                    .saturating_sub(cfg.failures_to_probe)
                    .min(16);
                let wait = (cfg.probe_after * (1 << doublings)).min(cfg.probe_at_most);
                health.probe_at = now.plus(wait);
                latency.max(cfg.failure_latency)
            }
        };
        let newest = latency.as_secs_f64();
        let average = health.latency.unwrap_or(newest);
        health.latency = Some(average + NEWEST * (newest - average));
    }

    fn forget(&mut self, agent: &AgentId) {
        let removed = self.health.remove(agent);
        if removed.is_some_and(|health| self.is_failing(&health)) {
            self.failing -= 1;
        }
    }

    fn next_wakeup(&self, now: Uptime) -> Option<Uptime> {
        let probing = |h: &&Health| self.is_failing(h) && h.probe_at > now;
        let probe = self.health.values().filter(probing).map(|h| h.probe_at);
        let recheck = self.recheck_at.filter(|at| *at > now);
        probe.chain(recheck).min()
    }
}
