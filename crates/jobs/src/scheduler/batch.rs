//! Transactions that record the scheduler's decisions.

use std::collections::{BTreeMap, BTreeSet};

use cumindeck_types::{AgentId, AvailabilityZone, JobId, Uptime};

use super::{Scheduler, TaskId};
use crate::job_api::StoreResult;
use crate::leader::leader_change;
use crate::rows::{
    Change, Condition, Forecast, LeaderRow, RowKey, RowName, Transaction, WorkerRow, encode,
    system_row_condition,
};

/// Maximum number of jobs per transaction; the store accepts 100 rows and 1 MB.
const MAX_JOBS_PER_TRANSACTION: usize = 60;

/// Decisions that are recorded by one transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Batch {
    /// Number in the order of the scheduler's transactions, from 1.
    pub number: u64,
    /// The transaction to send to the store.
    pub transaction: Transaction,
    /// Leader row that the transaction writes.
    pub leader_row: LeaderRow,
    jobs: BTreeSet<JobId>,
    /// Tasks whose starts it records.
    starts: Vec<TaskId>,
    /// Workers of agents that it records.
    workers: BTreeMap<AgentId, WorkerRow>,
}

/// What the scheduler concludes from the outcome of a transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommitStep {
    /// The transaction was committed.
    Committed,
    /// The same transaction has to be sent again.
    Retry,
    /// The transaction was not committed; the next plan decides again.
    Replan,
    /// Another entry is the leader.
    Lost,
}

impl Scheduler {
    /// Returns the next transaction if none is in flight and there is something to
    /// record or the leadership has to be renewed; `store_ms` is the store's time.
    pub fn next_transaction(&mut self, now: Uptime, store_ms: u64) -> Option<Batch> {
        let is_due = self.confirmed_age(now) >= self.limits.leader_renewal();
        let has_changes = !self.dirty.is_empty() || self.recorded_workers.needs_write();
        if self.in_flight.is_some() || !(has_changes || is_due) {
            return None;
        }
        let number = self.next_batch;
        self.next_batch += 1;
        let jobs: BTreeSet<JobId> = self
            .dirty
            .iter()
            .take(MAX_JOBS_PER_TRANSACTION)
            .cloned()
            .collect();
        self.dirty.retain(|job| !jobs.contains(job));
        let mut zones = BTreeSet::new();
        let mut starts = Vec::new();
        for (task, run) in &mut self.runs {
            if run.batch.is_none() && jobs.contains(&task.job) {
                run.batch = Some(number);
                starts.push(task.clone());
                let placement = self.jobs[&task.job]
                    .task(task)
                    .and_then(|it| it.placement.as_ref());
                let worker = placement.and_then(|placement| self.workers.get(&placement.agent));
                let incarnation = worker.and_then(|worker| worker.worker_incarnation.as_ref());
                zones.extend(incarnation.map(|incarnation| incarnation.zone.clone()));
            }
        }
        let (workers, worker_changes) = self.recorded_workers.changes();
        if self.dirty.is_empty() {
            for (agent, worker) in &mut self.workers {
                let id = worker.worker_incarnation.as_ref().map(|it| &it.worker);
                // The acknowledgement may reach a later incarnation under this id.
                if id.is_none_or(|id| self.recorded_workers.is_recorded_by(agent, id, &workers)) {
                    worker.ends_in_flight = worker.ends_applied;
                }
            }
        }
        let leader_row = LeaderRow {
            commit: self.leader_row.commit + 1,
            doubted: self.doubted_workers(now),
            forecast: self.predictions.published(),
            ..self.leader_row.clone()
        };
        let mut conditions = vec![system_row_condition(&RowKey::Leader, self.leader_version)];
        conditions.extend(zones.iter().map(evacuation_condition));
        let mut changes = vec![leader_change(&leader_row)];
        changes.extend(worker_changes);
        for id in &jobs {
            if let Some(job) = self.jobs.get(id) {
                changes.push(Change {
                    key: RowKey::Progress(id.clone()),
                    value: Some(encode(&job.progress)),
                });
            }
        }
        if is_due {
            // Removals wait for a renewal; they alone are no reason to write.
            changes.extend(self.remove_expired_jobs(store_ms));
            changes.extend(self.remove_former_agents(now));
        }
        let batch = Batch {
            number,
            transaction: Transaction {
                conditions,
                changes,
            },
            leader_row,
            jobs,
            starts,
            workers,
        };
        self.in_flight = Some(batch.clone());
        Some(batch)
    }

    /// Returns the transaction in flight, to send it again.
    #[must_use]
    pub fn pending(&self) -> Option<Transaction> {
        self.in_flight
            .as_ref()
            .map(|batch| batch.transaction.clone())
    }

    /// Returns the transaction that steps down from leadership.
    #[must_use]
    pub fn release(&self) -> Transaction {
        let row = LeaderRow {
            leader: None,
            address: None,
            token: self.leader_row.token,
            commit: self.leader_row.commit + 1,
            doubted: self.doubted_workers(self.confirmed_at),
            workers_since: self.leader_row.workers_since,
            forecast: Forecast::default(),
        };
        Transaction {
            conditions: vec![system_row_condition(&RowKey::Leader, self.leader_version)],
            changes: vec![leader_change(&row)],
        }
    }

    /// Handles the outcome of the transaction in flight, which was sent at `sent_at`.
    pub fn on_commit(&mut self, sent_at: Uptime, result: &StoreResult) -> CommitStep {
        let Some(batch) = self.in_flight.take() else {
            return CommitStep::Replan;
        };
        match result {
            StoreResult::Done { version } => self.committed(sent_at, *version, &batch),
            StoreResult::NotDone(_) | StoreResult::Unknown(_) | StoreResult::Rows(_) => {
                self.in_flight = Some(batch);
                CommitStep::Retry
            }
            StoreResult::Conflict(rows) => {
                let leader_row = rows
                    .iter()
                    .find(|row| row.name == RowName::System(RowKey::Leader));
                let stored = leader_row.and_then(|row| row.value.as_ref());
                let stored =
                    stored.and_then(|value| serde_json::from_slice::<LeaderRow>(value).ok());
                // An earlier attempt was committed and its reply was lost.
                if let Some(row) = leader_row.filter(|_| stored.as_ref() == Some(&batch.leader_row))
                {
                    return self.committed(sent_at, row.version, &batch);
                }
                if leader_row.is_some_and(|row| row.version != self.leader_version) {
                    return CommitStep::Lost;
                }
                for row in rows {
                    match &row.name {
                        RowName::Evacuation(zone) if row.value.is_some() => {
                            self.evacuated.insert(zone.clone());
                        }
                        RowName::Evacuation(_) | RowName::Config | RowName::System(_) => {}
                    }
                }
                self.roll_back(&batch);
                CommitStep::Replan
            }
        }
    }

    fn committed(&mut self, sent_at: Uptime, version: u64, batch: &Batch) -> CommitStep {
        self.committed = batch.number;
        self.leader_row = batch.leader_row.clone();
        self.leader_version = version;
        self.drop_removed_jobs(sent_at);
        self.recorded_workers.on_recorded(&batch.workers);
        self.confirmed_at = self.confirmed_at.max(sent_at);
        for (agent, worker) in &mut self.workers {
            if worker.ends_in_flight > worker.ends_recorded {
                worker.ends_recorded = worker.ends_in_flight;
                self.order_checks.insert(agent.clone(), Uptime::ZERO);
            }
        }
        for task in &batch.starts {
            if let Some(agent) = self.placement(task).map(|it| it.agent.clone()) {
                self.check_orders(agent);
            }
        }
        CommitStep::Committed
    }

    /// Discards the starts of a transaction that was not committed.
    fn roll_back(&mut self, batch: &Batch) {
        self.expiry.roll_back();
        self.dirty.extend(batch.jobs.iter().cloned());
        for worker in self.workers.values_mut() {
            worker.ends_in_flight = worker.ends_recorded;
        }
        for task in &batch.starts {
            let is_recorded_by = |run: &super::Run| run.batch == Some(batch.number);
            if self.runs.get(task).is_some_and(is_recorded_by) {
                self.clear_placement(task);
            }
        }
    }
}

/// Returns the condition that a zone is not evacuated.
fn evacuation_condition(zone: &AvailabilityZone) -> Condition {
    Condition {
        name: RowName::Evacuation(zone.clone()),
        version: 0,
    }
}
