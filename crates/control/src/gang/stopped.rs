//! Record of the placed tasks that have certainly stopped, so that a leader may place
//! them again.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cumindeck_types::message::{TaskPhase, TaskReport};
use cumindeck_types::{AgentId, FencingToken, Incarnation, Uptime};

use crate::agent_lease::{AGENT_LEASE, LeaseGrants, ReassignTime};
use crate::gang::TaskId;

/// Time after a takeover within which live agents report their tasks.
///
/// Twice the period of announcements. An expired lease does not show how a task ended;
/// without the reports, tasks that have succeeded would run again.
const REPORT_GRACE_PERIOD: Duration = Duration::from_secs(2);

/// A task as recorded in the row of its attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlacedTask {
    /// The task, with the attempt whose row records it.
    pub id: TaskId,
    /// The agent to which it is assigned.
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
    /// Whether this incarnation has accepted a lease under the leader's token.
    is_confirmed: bool,
    tasks: BTreeMap<TaskId, TaskPhase>,
}

/// The tasks that agents have reported to a leader under its token.
#[derive(Debug, Clone)]
pub struct StoppedTasks {
    token: FencingToken,
    reports_due: Uptime,
    agents: BTreeMap<AgentId, Reports>,
    ended: BTreeMap<TaskId, TaskPhase>,
}

impl StoppedTasks {
    /// Creates an empty record for a token acquired at `now`.
    #[must_use]
    pub const fn new(now: Uptime, token: FencingToken) -> Self {
        Self {
            token,
            reports_due: now.plus(REPORT_GRACE_PERIOD),
            agents: BTreeMap::new(),
            ended: BTreeMap::new(),
        }
    }

    /// Handles the reports of an announcement.
    ///
    /// Reports under another token are ignored, since the agent may still
    /// accept orders of the former leader; a new incarnation replaces what was
    /// known of the earlier one.
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
        let same_incarnation = known.filter(|known| known.incarnation == incarnation);
        let is_confirmed = newest_token == self.token;
        if same_incarnation.is_some() && !is_confirmed {
            return;
        }
        let since = same_incarnation.map_or(now, |known| known.since);
        let mut tasks = BTreeMap::new();
        if is_confirmed {
            tasks.extend(reports.iter().map(|r| (TaskId::from(r), r.phase)));
        }
        let ended = tasks.iter().filter(|(_, phase)| phase.is_final());
        self.ended
            .extend(ended.map(|(id, phase)| (id.clone(), *phase)));
        let reports = Reports {
            incarnation,
            since,
            is_confirmed,
            tasks,
        };
        self.agents.insert(agent.clone(), reports);
    }

    /// Records that this leader ended an attempt without having sent start orders.
    pub fn record_never_started(&mut self, placed: &[PlacedTask]) {
        let ids = placed.iter().map(|placed| placed.id.clone());
        self.ended.extend(ids.map(|id| (id, TaskPhase::Stopped)));
    }

    /// Returns how a task ended, if its agent has reported it.
    #[must_use]
    pub fn end(&self, id: &TaskId) -> Option<TaskPhase> {
        self.ended.get(id).copied()
    }

    /// Returns whether a task has certainly stopped and cannot start any more.
    #[must_use]
    pub fn is_stopped(&self, now: Uptime, grants: &LeaseGrants, placed: &PlacedTask) -> bool {
        if self.ended.contains_key(&placed.id) {
            return true;
        }
        if now >= self.reports_due && grants.reassign(now, &placed.agent) == ReassignTime::Now {
            return true;
        }
        let Some(reports) = self.agents.get(&placed.agent) else {
            return false;
        };
        if reports.incarnation > placed.incarnation {
            // The worker stops task processes of an earlier incarnation
            // when their lease expires.
            return now >= reports.since.plus(AGENT_LEASE);
        }
        // The agent rejects orders of former leaders, so a task that it does not know
        // cannot start; an order of this leader may still be in flight.
        reports.is_confirmed && placed.token < self.token && !reports.tasks.contains_key(&placed.id)
    }

    /// Returns the agents that have reported a task that has not ended.
    #[must_use]
    pub fn busy(&self) -> BTreeSet<AgentId> {
        let is_busy = |reports: &Reports| reports.tasks.values().any(|phase| !phase.is_final());
        let busy = self.agents.iter().filter(|(_, reports)| is_busy(reports));
        busy.map(|(agent, _)| agent.clone()).collect()
    }

    /// Returns the agents with a lease under this leader's
    /// token, with their incarnation.
    pub fn confirmed_agents(&self) -> impl Iterator<Item = (&AgentId, Incarnation)> {
        let agents = self
            .agents
            .iter()
            .filter(|(_, reports)| reports.is_confirmed);
        agents.map(|(agent, reports)| (agent, reports.incarnation))
    }
}
