//! The last worker of each agent, which the store keeps for the next leader.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cumindeck_types::{AgentId, FencingToken, Uptime, WorkerId};

use super::Scheduler;
use crate::rows::{Change, RowKey, WorkerRow, encode};

/// Maximum number of workers per transaction, beside its jobs.
const MAX_WORKERS_PER_TRANSACTION: usize = 20;

/// Time without a report, also to the former leader, after which an agent counts as removed.
const RETENTION: Duration = Duration::from_hours(1);

/// Maximum number of rows that a transaction removes.
const MAX_REMOVALS_PER_TRANSACTION: usize = 5;

/// The recorded workers of agents, and those that are to be recorded.
///
/// A worker whose id its agent has not called before gets no late calls of a former
/// incarnation. A new leader knows it from these rows.
#[derive(Debug, Default)]
pub(super) struct RecordedWorkers {
    recorded: BTreeMap<AgentId, WorkerId>,
    due: BTreeMap<AgentId, WorkerId>,
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
    pub fn get(&self, agent: &AgentId) -> Option<&WorkerId> {
        self.recorded.get(agent)
    }

    /// Handles a report of an agent that names its worker.
    pub fn on_report(&mut self, agent: &AgentId, worker: &WorkerId) {
        match self.recorded.get(agent) == Some(worker) {
            true => self.due.remove(agent),
            false => self.due.insert(agent.clone(), worker.clone()),
        };
    }

    /// Returns whether a transaction is due for these rows alone; fewer ones wait for the
    /// next renewal.
    pub fn needs_write(&self) -> bool {
        self.due.len() >= MAX_WORKERS_PER_TRANSACTION
    }

    /// Returns the rows that the next transaction writes, and its changes.
    pub fn changes(&self, token: FencingToken) -> (BTreeMap<AgentId, WorkerRow>, Vec<Change>) {
        let due = self.due.iter().take(MAX_WORKERS_PER_TRANSACTION);
        let rows: BTreeMap<AgentId, WorkerRow> = due
            .map(|(agent, worker)| {
                let worker = worker.clone();
                (agent.clone(), WorkerRow { worker, token })
            })
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
        let written = rows.get(agent).map(|row| &row.worker);
        written.or_else(|| self.get(agent)) == Some(worker)
    }

    /// Handles the commit of rows.
    pub fn on_recorded(&mut self, rows: &BTreeMap<AgentId, WorkerRow>) {
        for (agent, row) in rows {
            // The agent may have reported another one meanwhile.
            if self.due.get(agent) == Some(&row.worker) {
                self.due.remove(agent);
            }
            self.recorded.insert(agent.clone(), row.worker.clone());
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
            recorded.insert(agent.clone(), row.worker);
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
