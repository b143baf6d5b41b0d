//! Agent leases: what a leader grants and what an agent holds.

use std::collections::BTreeMap;
use std::time::Duration;

use cumindeck_types::message::AgentLease;
use cumindeck_types::{AgentId, FencingToken, Incarnation, Remaining, Uptime};

use crate::leader::GrantMode;

/// Duration of an agent lease.
pub const AGENT_LEASE: Duration = Duration::from_secs(8);

/// When tasks of an agent may be placed on other agents.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReassignTime {
    /// All task processes of the agent have certainly stopped.
    Now,
    /// A lease may be valid until this time.
    At(Uptime),
}

/// A request of an agent for a lease, part of its announcement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseRequest {
    /// The agent that sends the announcement.
    pub agent: AgentId,
    /// Incarnation of the agent's process.
    pub incarnation: Incarnation,
    /// Token of the newest lease that the agent accepted.
    pub newest_token: FencingToken,
}

#[derive(Debug, Clone)]
struct Granted {
    incarnation: Incarnation,
    /// Latest expiry of a lease under the current token.
    expires: Uptime,
    /// Latest expiry of a lease under earlier tokens.
    earlier_leases_expire: Uptime,
    /// Whether the agent has accepted a lease under the current token.
    is_confirmed: bool,
}

impl Granted {
    /// Returns when every lease of the agent has expired.
    ///
    /// A confirmed agent rejects lower tokens, so only the current one counts.
    fn leases_expire(&self) -> Uptime {
        if self.is_confirmed {
            self.expires
        } else {
            self.expires.max(self.earlier_leases_expire)
        }
    }
}

/// The agent leases that a leader has granted.
#[derive(Debug, Clone)]
pub struct LeaseGrants {
    token: FencingToken,
    prior_leases_expire: Uptime,
    agents: BTreeMap<AgentId, Granted>,
    fenced: BTreeMap<AgentId, Incarnation>,
}

impl LeaseGrants {
    /// Creates the grants of a new leader; leases that other leaders granted have expired
    /// at `prior_leases_expire`.
    #[must_use]
    pub const fn new(token: FencingToken, prior_leases_expire: Uptime) -> Self {
        Self {
            token,
            prior_leases_expire,
            agents: BTreeMap::new(),
            fenced: BTreeMap::new(),
        }
    }

    /// Continues with a new token, acquired by the same process.
    pub fn set_token(&mut self, token: FencingToken) {
        self.token = token;
        for granted in self.agents.values_mut() {
            granted.earlier_leases_expire = granted.leases_expire();
            granted.expires = Uptime::ZERO;
            granted.is_confirmed = false;
        }
    }

    /// Grants a lease in reply to an announcement received at `now`.
    pub fn on_request(
        &mut self,
        now: Uptime,
        mode: GrantMode,
        req: &LeaseRequest,
    ) -> Option<AgentLease> {
        let fenced = self.fenced.get(&req.agent);
        if req.newest_token > self.token || fenced.is_some_and(|inc| *inc >= req.incarnation) {
            return None;
        }
        let prior_leases_expire = fenced.map_or(self.prior_leases_expire, |_| Uptime::ZERO);
        self.update_known(req);
        let is_known = self.agents.contains_key(&req.agent);
        let expires = match mode {
            GrantMode::Closed => return None,
            GrantMode::Normal => now.plus(AGENT_LEASE),
            GrantMode::Outage {
                is_lapsed: true, ..
            } if !is_known => return None,
            // Agents without tasks get one as well, because they serve claims.
            GrantMode::Outage { until, .. } => until,
        };
        if expires <= now {
            return None;
        }
        let granted = self.agents.entry(req.agent.clone()).or_insert(Granted {
            incarnation: req.incarnation,
            expires,
            earlier_leases_expire: prior_leases_expire,
            is_confirmed: req.newest_token == self.token,
        });
        granted.expires = granted.expires.max(expires);
        Some(AgentLease {
            token: self.token,
            remaining: Remaining::until(expires, now),
            covers_claims: true,
        })
    }

    /// Records an operator's report that this incarnation of an agent has terminated.
    pub fn fence(&mut self, agent: AgentId, incarnation: Incarnation) {
        self.fenced.insert(agent, incarnation);
    }

    /// Returns when tasks of an agent may be placed on other agents without its report.
    #[must_use]
    pub fn reassign(&self, now: Uptime, agent: &AgentId) -> ReassignTime {
        let fenced = self.fenced.get(agent);
        let at = match self.agents.get(agent) {
            Some(granted) if fenced.is_some_and(|inc| *inc >= granted.incarnation) => now,
            Some(granted) => granted.leases_expire(),
            None if fenced.is_some() => now,
            None => self.prior_leases_expire,
        };
        if now >= at {
            ReassignTime::Now
        } else {
            ReassignTime::At(at)
        }
    }

    /// Returns whether all leases of an agent that may be valid expire within a duration.
    #[must_use]
    pub fn expires_within(&self, now: Uptime, agent: &AgentId, within: Duration) -> bool {
        match self.reassign(now, agent) {
            ReassignTime::Now => true,
            ReassignTime::At(at) => at <= now.plus(within),
        }
    }

    /// Returns the latest expiry of a lease that may be valid, for the row that a clean
    /// release writes.
    #[must_use]
    pub fn latest_expiry(&self) -> Uptime {
        let granted_here = self.agents.values().map(Granted::leases_expire);
        granted_here
            .max()
            .unwrap_or(Uptime::ZERO)
            .max(self.prior_leases_expire)
    }

    /// Updates the incarnation and confirmation of the agent before anything is granted.
    fn update_known(&mut self, req: &LeaseRequest) {
        let Some(granted) = self.agents.get_mut(&req.agent) else {
            return;
        };
        if req.incarnation > granted.incarnation {
            granted.incarnation = req.incarnation;
            // A restarted agent no longer knows the tokens that it had seen.
            granted.earlier_leases_expire = granted
                .earlier_leases_expire
                .max(granted.expires)
                .max(self.prior_leases_expire);
            granted.is_confirmed = false;
        }
        if req.incarnation == granted.incarnation && req.newest_token == self.token {
            granted.is_confirmed = true;
        }
    }
}

/// Whether an agent accepted a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseOutcome {
    /// The lease is accepted or extended.
    Taken,
    /// The agent has seen a higher token.
    StaleToken,
}

/// The lease that an agent holds.
#[derive(Debug, Clone, Default)]
pub struct HeldLease {
    token: FencingToken,
    expires: Uptime,
}

impl HeldLease {
    /// Handles a lease from the reply to an announcement sent at `sent_at`.
    pub fn on_reply(&mut self, sent_at: Uptime, lease: AgentLease) -> LeaseOutcome {
        let expires = lease.remaining.deadline(sent_at);
        if lease.token < self.token {
            return LeaseOutcome::StaleToken;
        }
        // A higher token replaces a longer lease; replies under the same token may
        // arrive in any order.
        self.expires = if lease.token > self.token {
            expires
        } else {
            self.expires.max(expires)
        };
        self.token = lease.token;
        LeaseOutcome::Taken
    }

    /// Returns whether the lease is valid; checked again before each effect.
    #[must_use]
    pub fn is_live(&self, now: Uptime) -> bool {
        now < self.expires
    }

    /// Returns the token that the agent announces and below which it rejects orders.
    ///
    /// Only a lease raises it, never an order: it shows a leader that the leases of
    /// former leaders have been replaced.
    #[must_use]
    pub const fn token(&self) -> FencingToken {
        self.token
    }

    /// Returns the expiry of the lease.
    #[must_use]
    pub const fn expires(&self) -> Uptime {
        self.expires
    }
}
