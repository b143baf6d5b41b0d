//! The last worker of each agent, which the store keeps for the next leader.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cumindeck_types::{AgentId, Uptime, WorkerId};

use super::Scheduler;
use crate::rows::{Change, RowKey, WorkerRow, encode};

/// Maximum number of workers per transaction, beside its jobs.
const MAX_WORKERS_PER_TRANSACTION: usize = 20;

/// Time without a report, also to the former leader, after which an agent counts as removed. No
/// acknowledgement of it is under way any more.
const RETENTION: Duration = Duration::from_hours(1);

/// Maximum number of rows that a transaction removes.
const MAX_REMOVALS_PER_TRANSACTION: usize = 5;

/// The recorded workers of agents, and those that are to be recorded.
///
/// A new leader takes from these rows whether a worker may have got late calls that were
/// meant for a former incarnation.
#[derive(Debug, Default)]
pub(super) struct RecordedWorkers {
    recorded: BTreeMap<AgentId, WorkerRow>,
    due: BTreeMap<AgentId, WorkerRow>,
}

impl RecordedWorkers {
    /// Creates an empty list.
    pub const fn new() -> Self {
        Self {
            recorded: BTreeMap::new(),
            due: BTreeMap::new(),
        }
    }

    /// Returns the recorded worker of an agent.
    pub fn get(&self, agent: &AgentId) -> Option<&WorkerRow> {
        self.recorded.get(agent)
    }

    /// Handles what an agent has reported of its worker.
    pub fn on_report(&mut self, agent: &AgentId, row: WorkerRow) {
        match self.recorded.get(agent) {
            Some(recorded) if recorded.is_same(&row) => self.due.remove(agent),
            _ => self.due.insert(agent.clone(), row),
        };
    }

    /// Returns whether a transaction is due for these rows alone; fewer ones without a doubt
    /// wait for the next renewal.
    pub fn needs_write(&self) -> bool {
        let mut due = self.due.values();
        due.len() >= MAX_WORKERS_PER_TRANSACTION || due.any(|row| row.is_doubted)
    }

    /// Returns the rows that the next transaction writes, and its changes.
    pub fn changes(&self) -> (BTreeMap<AgentId, WorkerRow>, Vec<Change>) {
        // A doubt that is lost with the leader could be lost with the agent's process as well.
        let mut due: Vec<(&AgentId, &WorkerRow)> = self.due.iter().collect();
        due.sort_by_key(|(_, row)| !row.is_doubted);
        due.truncate(MAX_WORKERS_PER_TRANSACTION);
        let rows: BTreeMap<AgentId, WorkerRow> = due
            .into_iter()
            .map(|(agent, row)| (agent.clone(), row.clone()))
            .collect();
        let change = |(agent, row): (&AgentId, &WorkerRow)| Change {
            key: RowKey::Worker(agent.clone()),
            value: Some(encode(row)),
        };
        let changes = rows.iter().map(change).collect();
        (rows, changes)
    }

    /// Returns whether an agent's worker is recorded, or will be by these rows.
    pub fn is_recorded_by(
        &self,
        agent: &AgentId,
        worker: &WorkerId,
        rows: &BTreeMap<AgentId, WorkerRow>,
    ) -> bool {
        let row = rows.get(agent).or_else(|| self.get(agent));
        row.is_some_and(|row| row.worker == *worker)
    }

    /// Handles the commit of rows.
    pub fn on_recorded(&mut self, rows: &BTreeMap<AgentId, WorkerRow>) {
        for (agent, row) in rows {
            // The agent may have reported another one meanwhile.
            if self.due.get(agent) == Some(row) {
                self.due.remove(agent);
            }
            self.recorded.insert(agent.clone(), row.clone());
        }
    }
}

impl Scheduler {
    /// Applies the row of an agent's last worker that an earlier leader recorded. It does not
    /// count if a leader that records none may have led since.
    pub fn on_worker_row(&mut self, agent: &AgentId, row: WorkerRow) {
        let since = self.leader_row.workers_since;
        if since.is_some_and(|since| row.token >= since) {
            let recorded = &mut self.recorded_workers.recorded;
            recorded.insert(agent.clone(), row);
        }
    }

    /// Removes the rows of agents that have not reported for long.
    pub(super) fn remove_former_agents(&mut self, now: Uptime) -> Vec<Change> {
        let is_former = |agent: &&AgentId| {
            let worker = self.workers.get(*agent);
            let last_report = worker.map_or(Uptime::ZERO, |worker| worker.last_report);
            now.since(last_report.max(self.taken_over_at)) > RETENTION
        };
        let recorded = self.recorded_workers.recorded.keys();
        let former = recorded.filter(is_former);
        let former: BTreeSet<AgentId> =
            former.take(MAX_REMOVALS_PER_TRANSACTION).cloned().collect();
        for agent in &former {
            self.recorded_workers.recorded.remove(agent);
        }
        let removal = |agent| Change {
            key: RowKey::Worker(agent),
            value: None,
        };
        former.into_iter().map(removal).collect()
    }
}
