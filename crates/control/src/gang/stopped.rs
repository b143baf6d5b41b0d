//! Which placed tasks have certainly stopped, so that a duty holder may place them again.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cumindeck_types::message::{TaskPhase, TaskReport};
use cumindeck_types::{AgentId, FencingToken, Incarnation, Uptime};

use crate::agent_lease::{AGENT_LEASE, LeaseGrants, Reassign};
use crate::gang::TaskId;

/// Time after a takeover in which living agents report.
///
/// Twice the period of announcements; until then an expired lease doesn't tell
/// how a task ended, and finished work would run again.
const SETTLE: Duration = Duration::from_secs(2);

/// A task as recorded in the row of its attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlacedTask {
    /// The task.
    pub id: TaskId,
    /// The agent on which it was placed.
    pub agent: AgentId,
    /// Incarnation of the agent's process at that time.
    pub incarnation: Incarnation,
    /// Token under which it was placed.
    pub token: FencingToken,
}

#[derive(Debug, Clone)]
struct Reports {
    incarnation: Incarnation,
    /// When this incarnation of the agent was first seen.
    since: Uptime,
    /// Whether this incarnation has taken a lease under the holder's token.
    is_follower: bool,
    tasks: BTreeMap<TaskId, TaskPhase>,
}

/// What the agents have reported to a duty holder under its token.
#[derive(Debug, Clone)]
pub struct StoppedTasks {
    token: FencingToken,
    settled: Uptime,
    agents: BTreeMap<AgentId, Reports>,
    ended: BTreeMap<TaskId, TaskPhase>,
}

impl StoppedTasks {
    /// Starts without reports under a token taken at `now`.
    #[must_use]
    pub const fn new(now: Uptime, token: FencingToken) -> Self {
        Self {
            token,
            settled: now.plus(SETTLE),
            agents: BTreeMap::new(),
            ended: BTreeMap::new(),
        }
    }

    /// Takes in the reports of an announcement.
    ///
    /// Reports under another token are ignored, since the agent may still take
    /// orders of the former holder; a new incarnation ends what was known of the old one.
    pub fn on_reports(
        &mut self,
        now: Uptime,
        agent: &AgentId,
        incarnation: Incarnation,
        newest_token: FencingToken,
        reports: &[TaskReport],
    ) {
        let known = self.agents.get(agent);
        if known.is_some_and(|known| known.incarnation > incarnation) {
            return;
        }
        let same_life = known.filter(|known| known.incarnation == incarnation);
        let is_follower = newest_token == self.token;
        if same_life.is_some() && !is_follower {
            return;
        }
        let since = same_life.map_or(now, |known| known.since);
        let mut tasks = BTreeMap::new();
        if is_follower {
            tasks.extend(reports.iter().map(|r| (TaskId::from(r), r.phase)));
        }
        let ended = tasks.iter().filter(|(_, phase)| phase.is_final());
        self.ended
            .extend(ended.map(|(id, phase)| (id.clone(), *phase)));
        let reports = Reports {
            incarnation,
            since,
            is_follower,
            tasks,
        };
        self.agents.insert(agent.clone(), reports);
    }

    /// Notes that this holder ended an attempt without having sent `go`.
    pub fn never_started(&mut self, placed: &[PlacedTask]) {
        let ids = placed.iter().map(|placed| placed.id.clone());
        self.ended.extend(ids.map(|id| (id, TaskPhase::Stopped)));
    }

    /// Returns how a task ended, if its agent has reported it.
    #[must_use]
    pub fn end(&self, id: &TaskId) -> Option<TaskPhase> {
        self.ended.get(id).copied()
    }

    /// Tells whether a task has certainly stopped and can't start any more.
    #[must_use]
    pub fn is_stopped(&self, now: Uptime, grants: &LeaseGrants, placed: &PlacedTask) -> bool {
        if self.ended.contains_key(&placed.id) {
            return true;
        }
        if now >= self.settled && grants.reassign(now, &placed.agent) == Reassign::Now {
            return true;
        }
        let Some(reports) = self.agents.get(&placed.agent) else {
            return false;
        };
        if reports.incarnation > placed.incarnation {
            // The worker ends bodies of an earlier incarnation when their lease runs out.
            return now >= reports.since.plus(AGENT_LEASE);
        }
        // The agent rejects orders of former holders, so a task that it doesn't
        // know can't start; an own order may still be on its way.
        reports.is_follower && placed.token < self.token && !reports.tasks.contains_key(&placed.id)
    }

    /// Returns the agents that have reported a task that hasn't ended.
    #[must_use]
    pub fn busy(&self) -> BTreeSet<AgentId> {
        let is_busy = |reports: &Reports| reports.tasks.values().any(|phase| !phase.is_final());
        let busy = self.agents.iter().filter(|(_, reports)| is_busy(reports));
        busy.map(|(agent, _)| agent.clone()).collect()
    }

    /// Returns the agents that follow this holder's token, with their incarnation.
    pub fn followers(&self) -> impl Iterator<Item = (&AgentId, Incarnation)> {
        let agents = self
            .agents
            .iter()
            .filter(|(_, reports)| reports.is_follower);
        agents.map(|(agent, reports)| (agent, reports.incarnation))
    }
}
