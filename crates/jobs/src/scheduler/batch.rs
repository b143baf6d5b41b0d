//! Transactions that record the scheduler's decisions.

use std::collections::BTreeSet;

use cumindeck_types::{AvailabilityZone, JobId, Uptime};

use super::{Scheduler, TaskId};
use crate::desk::StoreResult;
use crate::duty::leader_change;
use crate::rows::{
    Change, Condition, DutyRow, RowKey, RowName, Transaction, encode, system_row_condition,
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
    pub duty: DutyRow,
    jobs: BTreeSet<JobId>,
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
    pub fn take_batch(&mut self, now: Uptime, store_ms: u64) -> Option<Batch> {
        let is_due = self.confirmed_age(now) >= self.limits.leader_renewal();
        if self.in_flight.is_some() || (self.dirty.is_empty() && !is_due) {
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
        for (task, run) in &mut self.runs {
            if run.batch.is_none() && jobs.contains(&task.job) {
                run.batch = Some(number);
                let placement = self.jobs[&task.job]
                    .task(task)
                    .and_then(|it| it.placement.as_ref());
                let worker = placement.and_then(|placement| self.workers.get(&placement.agent));
                let life = worker.and_then(|worker| worker.life.as_ref());
                zones.extend(life.map(|life| life.zone.clone()));
            }
        }
        if self.dirty.is_empty() {
            for worker in self.workers.values_mut() {
                worker.ends_in_flight = worker.ends_applied;
            }
        }
        let duty = DutyRow {
            commit: self.duty.commit + 1,
            ..self.duty.clone()
        };
        let mut conditions = vec![system_row_condition(&RowKey::Duty, self.duty_version)];
        conditions.extend(zones.iter().map(evacuation_condition));
        let mut changes = vec![leader_change(&duty)];
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
        }
        let batch = Batch {
            number,
            transaction: Transaction {
                conditions,
                changes,
            },
            duty,
            jobs,
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
        let row = DutyRow {
            holder: None,
            address: None,
            token: self.duty.token,
            commit: self.duty.commit + 1,
        };
        Transaction {
            conditions: vec![system_row_condition(&RowKey::Duty, self.duty_version)],
            changes: vec![leader_change(&row)],
        }
    }

    /// Handles the outcome of the transaction in flight, which was sent at `asked`.
    pub fn on_commit(&mut self, asked: Uptime, result: &StoreResult) -> CommitStep {
        let Some(batch) = self.in_flight.take() else {
            return CommitStep::Replan;
        };
        match result {
            StoreResult::Done { version } => self.committed(asked, *version, &batch),
            StoreResult::NotDone(_) | StoreResult::Unknown(_) | StoreResult::Rows(_) => {
                self.in_flight = Some(batch);
                CommitStep::Retry
            }
            StoreResult::Conflict(rows) => {
                let duty = rows
                    .iter()
                    .find(|row| row.name == RowName::Own(RowKey::Duty));
                let stored = duty.and_then(|row| row.value.as_ref());
                let stored = stored.and_then(|value| serde_json::from_slice::<DutyRow>(value).ok());
                // An earlier attempt was committed and its reply was lost.
                if let Some(row) = duty.filter(|_| stored.as_ref() == Some(&batch.duty)) {
                    return self.committed(asked, row.version, &batch);
                }
                if duty.is_some_and(|row| row.version != self.duty_version) {
                    return CommitStep::Lost;
                }
                for row in rows {
                    match &row.name {
                        RowName::Evacuation(zone) if row.value.is_some() => {
                            self.evacuated.insert(zone.clone());
                        }
                        RowName::Evacuation(_) | RowName::Config | RowName::Own(_) => {}
                    }
                }
                self.roll_back(&batch);
                CommitStep::Replan
            }
        }
    }

    fn committed(&mut self, asked: Uptime, version: u64, batch: &Batch) -> CommitStep {
        self.committed = batch.number;
        self.duty = batch.duty.clone();
        self.duty_version = version;
        self.drop_removed_jobs(asked);
        self.confirmed = self.confirmed.max(asked);
        for worker in self.workers.values_mut() {
            worker.ends_recorded = worker.ends_recorded.max(worker.ends_in_flight);
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
        let starts: Vec<TaskId> = self
            .runs
            .iter()
            .filter(|(_, run)| run.batch == Some(batch.number))
            .map(|(task, _)| task.clone())
            .collect();
        for task in starts {
            self.clear_placement(&task);
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
