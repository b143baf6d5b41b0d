//! What an entry knows about agents, and what it has in flight there.

use std::collections::BTreeMap;
use std::time::Duration;

use cumindeck_types::message::Load;
use cumindeck_types::{AgentId, Incarnation, Region, Uptime};

use super::AgentView;
use crate::Candidate;

/// Time in which half of a fall in the other entries' requests is believed.
const OTHERS_HALF_LIFE: Duration = Duration::from_millis(500);

/// An agent as seen by one entry.
#[derive(Debug)]
struct Agent {
    view: AgentView,
    /// Requests in flight from this entry.
    own: u32,
    /// Requests in flight from other entries.
    others: Others,
}

/// Estimate of the requests that other entries have at an agent.
///
/// It rises at once and falls slowly. If all entries took a slot as soon as one
/// of them saw it free, most of them would be refused while slots are scarce.
#[derive(Debug, Clone, Copy)]
struct Others {
    estimate: f64,
    at: Uptime,
}

impl Others {
    fn new(now: Uptime, reported: u32) -> Self {
        Self {
            estimate: f64::from(reported),
            at: now,
        }
    }

    fn report(&mut self, now: Uptime, reported: u32) {
        let passed = now.since(self.at).as_secs_f64() / OTHERS_HALF_LIFE.as_secs_f64();
        let reported = f64::from(reported);
        let excess = (self.estimate - reported).max(0.0);
        self.estimate = reported + excess * (-passed).exp2();
        self.at = now;
    }

    fn count(self) -> u32 {
        self.estimate.round() as u32
    }
}

/// All agents that are known.
#[derive(Debug, Default)]
pub(super) struct Fleet {
    agents: BTreeMap<AgentId, Agent>,
}

impl Fleet {
    /// Takes over a view and tells whether the agent is new or restarted.
    pub(super) fn seen(&mut self, now: Uptime, view: AgentView) -> bool {
        let known = self.agents.get_mut(&view.agent);
        let Some(agent) = known.filter(|a| a.view.incarnation >= view.incarnation) else {
            let agent = Agent {
                own: 0,
                others: Others::new(now, view.in_flight),
                view,
            };
            self.agents.insert(agent.view.agent.clone(), agent);
            return true;
        };
        if agent.view.incarnation == view.incarnation {
            let others = view.in_flight.saturating_sub(agent.own);
            agent.others.report(now, others);
            agent.view = view;
        }
        false
    }

    /// Removes an agent, unless a newer incarnation of it is known.
    pub(super) fn gone(&mut self, agent: &AgentId, incarnation: Incarnation) -> bool {
        let known = self.agents.get(agent);
        let is_gone = known.is_some_and(|a| a.view.incarnation <= incarnation);
        if is_gone {
            self.agents.remove(agent);
        }
        is_gone
    }

    /// Counts a dispatch.
    pub(super) fn started(&mut self, agent: &AgentId) {
        if let Some(agent) = self.agents.get_mut(agent) {
            agent.own += 1;
        }
    }

    /// Counts the end of a dispatch to one incarnation of an agent.
    pub(super) fn ended(&mut self, agent: &AgentId, incarnation: Incarnation) {
        let known = self.agents.get_mut(agent);
        if let Some(agent) = known.filter(|a| a.view.incarnation == incarnation) {
            agent.own = agent.own.saturating_sub(1);
        }
    }

    /// Takes over the load that came with a reply.
    pub(super) fn loaded(
        &mut self,
        now: Uptime,
        agent: &AgentId,
        incarnation: Incarnation,
        load: Load,
    ) {
        let known = self.agents.get_mut(agent);
        if let Some(agent) = known.filter(|a| a.view.incarnation == incarnation) {
            let others = load.in_flight.saturating_sub(agent.own);
            agent.others.report(now, others);
            agent.view.slots = load.slots;
            agent.view.is_leaving |= load.is_leaving;
        }
    }

    /// Returns the incarnation of an agent.
    pub(super) fn incarnation(&self, agent: &AgentId) -> Option<Incarnation> {
        Some(self.agents.get(agent)?.view.incarnation)
    }

    /// Tells whether any agent takes work, free or not.
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
        self.is_serving() && self.own + self.others.count() < limit
    }

    fn candidate(&self, region: &Region) -> Candidate<'_> {
        Candidate {
            agent: &self.view.agent,
            is_local: self.view.region == *region,
            is_zone_open: self.view.is_zone_open,
            slots: self.view.slots,
            in_flight: self.own + self.others.count(),
            own_in_flight: self.own,
        }
    }
}
