//! An entry's view of the agents and its requests in flight there.

use std::collections::BTreeMap;
use std::time::Duration;

use cumindeck_types::message::Load;
use cumindeck_types::{AgentId, Incarnation, Region, Uptime};

use super::AgentView;
use crate::Candidate;

/// Half-life with which the estimate falls to a lower reported number.
const OTHER_ENTRIES_HALF_LIFE: Duration = Duration::from_millis(500);

/// An agent as seen by this entry.
#[derive(Debug)]
struct Agent {
    view: AgentView,
    /// Requests in flight from this entry.
    own_in_flight: u32,
    /// Requests in flight from other entries.
    others_in_flight: OthersInFlight,
}

/// Estimate of the requests that other entries have in flight at an agent.
///
/// It rises immediately and falls exponentially. If every entry used a slot as soon as
/// it was reported free, most of them would be refused while slots are scarce.
#[derive(Debug, Clone, Copy)]
struct OthersInFlight {
    estimate: f64,
    at: Uptime,
}

impl OthersInFlight {
    fn new(now: Uptime, reported: u32) -> Self {
        Self {
            estimate: f64::from(reported),
            at: now,
        }
    }

    fn on_report(&mut self, now: Uptime, reported: u32) {
        let passed = now.since(self.at).as_secs_f64() / OTHER_ENTRIES_HALF_LIFE.as_secs_f64();
        let reported = f64::from(reported);
        let excess = (self.estimate - reported).max(0.0);
        self.estimate = reported + excess * (-passed).exp2();
        self.at = now;
    }

    fn count(self) -> u32 {
        self.estimate.round() as u32
    }
}

/// All known agents.
#[derive(Debug, Default)]
pub(super) struct Fleet {
    agents: BTreeMap<AgentId, Agent>,
}

impl Fleet {
    /// Applies a view and returns whether the agent is new or restarted.
    pub(super) fn apply_view(&mut self, now: Uptime, view: AgentView) -> bool {
        let known = self.agents.get_mut(&view.agent);
        let Some(agent) = known.filter(|a| a.view.incarnation >= view.incarnation) else {
            let agent = Agent {
                own_in_flight: 0,
                others_in_flight: OthersInFlight::new(now, view.in_flight),
                view,
            };
            self.agents.insert(agent.view.agent.clone(), agent);
            return true;
        };
        if agent.view.incarnation == view.incarnation {
            let others_in_flight = view.in_flight.saturating_sub(agent.own_in_flight);
            agent.others_in_flight.on_report(now, others_in_flight);
            agent.view = view;
        }
        false
    }

    /// Removes an agent, unless a newer incarnation of it is known, and returns whether
    /// it was removed.
    pub(super) fn remove(&mut self, agent: &AgentId, incarnation: Incarnation) -> bool {
        let known = self.agents.get(agent);
        let is_gone = known.is_some_and(|a| a.view.incarnation <= incarnation);
        if is_gone {
            self.agents.remove(agent);
        }
        is_gone
    }

    /// Adds a dispatch to those in flight.
    pub(super) fn add_dispatch(&mut self, agent: &AgentId) {
        if let Some(agent) = self.agents.get_mut(agent) {
            agent.own_in_flight += 1;
        }
    }

    /// Removes a dispatch from those in flight, unless the agent has restarted since.
    pub(super) fn remove_dispatch(&mut self, agent: &AgentId, incarnation: Incarnation) {
        let known = self.agents.get_mut(agent);
        if let Some(agent) = known.filter(|a| a.view.incarnation == incarnation) {
            agent.own_in_flight = agent.own_in_flight.saturating_sub(1);
        }
    }

    /// Applies the load reported with a reply.
    pub(super) fn apply_load(
        &mut self,
        now: Uptime,
        agent: &AgentId,
        incarnation: Incarnation,
        load: Load,
    ) {
        let known = self.agents.get_mut(agent);
        if let Some(agent) = known.filter(|a| a.view.incarnation == incarnation) {
            let others_in_flight = load.in_flight.saturating_sub(agent.own_in_flight);
            agent.others_in_flight.on_report(now, others_in_flight);
            agent.view.slots = load.slots;
            agent.view.is_leaving |= load.is_leaving;
        }
    }

    pub(super) fn incarnation(&self, agent: &AgentId) -> Option<Incarnation> {
        Some(self.agents.get(agent)?.view.incarnation)
    }

    /// Returns whether any agent accepts requests, even if no slot is free.
    pub(super) fn has_serving(&self) -> bool {
        self.agents.values().any(Agent::is_serving)
    }

    /// Returns the agents with a free slot and connection.
    pub(super) fn free(&self, region: &Region) -> Vec<Candidate<'_>> {
        let agents = self.agents.values().filter(|a| a.is_free());
        let candidate = |a| Agent::candidate(a, region);
        agents.map(candidate).collect()
    }
}

impl Agent {
    fn is_serving(&self) -> bool {
        !self.view.is_leaving && !self.view.is_suspect
    }

    fn is_free(&self) -> bool {
        let limit = self.view.slots.min(self.view.connections);
        self.is_serving() && self.own_in_flight + self.others_in_flight.count() < limit
    }

    fn candidate(&self, region: &Region) -> Candidate<'_> {
        Candidate {
            agent: &self.view.agent,
            is_local: self.view.region == *region,
            is_zone_open: self.view.is_zone_open,
            slots: self.view.slots,
            in_flight: self.own_in_flight + self.others_in_flight.count(),
            own_in_flight: self.own_in_flight,
        }
    }
}
