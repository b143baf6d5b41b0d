//! Transactions that record the scheduler's decisions.

use std::collections::{BTreeMap, BTreeSet};

use cumindeck_types::{AgentId, AvailabilityZone, Uptime};

use super::dirty::job_of;
use super::{Scheduler, StepId, TaskId};
use crate::job_api::StoreResult;
use crate::leader::leader_change;
use crate::rows::{
    Change, Condition, Forecast, LeaderRow, RowKey, RowName, Transaction, WorkerRow,
    system_row_condition,
};

/// Maximum number of conditions and changes that the store accepts in a call.
const MAX_ENTRIES: usize = 100;

/// Minimum number of rows of jobs per transaction, however many zones there are.
const MIN_JOB_ROWS: usize = 5;

/// Maximum size of the rows of jobs in a transaction. The store accepts calls of 1 MB, which
/// have conditions, the leader row and rows of workers as well.
const MAX_JOB_BYTES_PER_TRANSACTION: usize = 800_000;

/// Size of a change in a call to the store beside its value and the key.
const CHANGE_OVERHEAD_BYTES: usize = 100;

/// Decisions that are recorded by one transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Batch {
    /// Number in the order of the scheduler's transactions, from 1.
    pub number: u64,
    /// The transaction to send to the store.
    pub transaction: Transaction,
    /// Leader row that the transaction writes.
    pub leader_row: LeaderRow,
    /// Rows of jobs, in the order in which they were marked.
    rows: Vec<RowKey>,
    /// Tasks whose starts it records.
    starts: Vec<TaskId>,
    /// Workers of agents that it records.
    workers: BTreeMap<AgentId, WorkerRow>,
}

impl Batch {
    /// Returns the rows of jobs that it writes or removes.
    pub(super) fn rows(&self) -> impl Iterator<Item = &RowKey> {
        self.rows.iter()
    }
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
        self.store_ms = store_ms;
        let number = self.next_batch;
        self.next_batch += 1;
        let (workers, worker_changes) = self.recorded_workers.changes();
        let mut removals = Vec::new();
        if is_due {
            // Removals wait for a renewal; they alone are no reason to write.
            removals.extend(self.remove_expired_jobs(store_ms));
            removals.extend(self.remove_former_agents(now));
        }
        let others = worker_changes.len() + removals.len();
        let (rows, row_changes) = self.take_dirty_rows(self.max_job_rows(others));
        let starts = self.recorded_starts();
        let mut zones = BTreeSet::new();
        for task in &starts {
            if let Some(run) = self.runs.get_mut(task) {
                run.batch = Some(number);
            }
            let agent = self.placement(task).map(|placement| &placement.agent);
            let worker = agent.and_then(|agent| self.workers.get(agent));
            let incarnation = worker.and_then(|worker| worker.worker_incarnation.as_ref());
            zones.extend(incarnation.map(|incarnation| incarnation.zone.clone()));
        }
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
        changes.extend(row_changes);
        changes.extend(removals);
        let batch = Batch {
            number,
            transaction: Transaction {
                conditions,
                changes,
            },
            leader_row,
            rows,
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
            // Without rows of jobs it is no job's fault.
            StoreResult::Refused(reason) if !batch.rows.is_empty() => {
                self.on_refused(&batch, reason);
                CommitStep::Replan
            }
            StoreResult::NotDone(_)
            | StoreResult::Unknown(_)
            | StoreResult::Rows(_)
            | StoreResult::Refused(_) => {
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
        self.refusals.on_committed(&batch.rows);
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

    /// Returns how many rows of jobs a transaction may have beside `others` changes, the leader
    /// row with its condition, and a condition for each zone.
    fn max_job_rows(&self, others: usize) -> usize {
        let workers = self.workers.values();
        let incarnations = workers.filter_map(|worker| worker.worker_incarnation.as_deref());
        let zones: BTreeSet<&AvailabilityZone> = incarnations.map(|it| &it.zone).collect();
        let entries = 2 + others + zones.len();
        MAX_ENTRIES.saturating_sub(entries).max(MIN_JOB_ROWS)
    }

    /// Takes up to `max` rows of jobs for the next transaction, with their changes.
    fn take_dirty_rows(&mut self, max: usize) -> (Vec<RowKey>, Vec<Change>) {
        let (mut rows, mut changes) = (Vec::new(), Vec::new());
        let (mut bytes, mut postponed) = (0, Vec::new());
        let mut converted: Vec<RowKey> = Vec::new();
        while rows.len() + converted.len() < max {
            let Some(key) = self.dirty.take_first() else {
                break;
            };
            let Some(id) = job_of(&key).cloned() else {
                continue;
            };
            if !self.refusals.allows(&id, &rows) {
                postponed.push(key);
                continue;
            }
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            if key == RowKey::Progress(id.clone()) && job.is_converted {
                converted.push(key);
                continue;
            }
            let Some(change) = self.row_change(&key) else {
                continue;
            };
            let progress = RowKey::Progress(id.clone());
            let names_it = self.dirty.contains(&progress) || converted.contains(&progress);
            if change.value.is_none() && names_it {
                postponed.push(key);
                continue;
            }
            bytes += size_of_change(&change);
            if bytes > MAX_JOB_BYTES_PER_TRANSACTION && !rows.is_empty() {
                self.dirty.put_back(vec![key]);
                break;
            }
            if let (RowKey::Part(_, occurrence, part), Some(job)) = (&key, self.jobs.get_mut(&id))
                && change.value.is_some()
            {
                job.parts.insert((*occurrence, *part));
            }
            rows.push(key);
            changes.push(change);
        }
        // Until the row of an earlier version is replaced, it holds for all parts.
        for key in converted {
            match self.take_converted(&key) {
                Some(change) => {
                    rows.push(key);
                    changes.push(change);
                }
                None => postponed.insert(0, key),
            }
        }
        self.dirty.put_back(postponed);
        (rows, changes)
    }

    /// Returns the change of a progress row that an earlier version has written, unless parts
    /// have to be written first.
    fn take_converted(&mut self, key: &RowKey) -> Option<Change> {
        let id = job_of(key)?;
        let job = self.jobs.get(id)?;
        let is_stored = |occurrence| job.progress.occurrences.contains_key(&occurrence);
        if self.dirty.has_part(id, is_stored) {
            return None;
        }
        let change = self.row_change(key)?;
        self.jobs.get_mut(id)?.is_converted = false;
        Some(change)
    }

    /// Returns the tasks whose starts are recorded by the transactions up to the next one.
    ///
    /// A start counts once the row of its task and the progress row of its job are written, the
    /// start of a gang once the rows of all members are.
    fn recorded_starts(&self) -> Vec<TaskId> {
        let is_written = |row: &RowKey| !self.dirty.contains(row);
        // Runs are in the order of their steps.
        let mut last_gang: Option<(StepId, bool)> = None;
        let mut starts = Vec::new();
        for (task, _) in self.runs.iter().filter(|(_, run)| run.batch.is_none()) {
            let job = &self.jobs[&task.job];
            let step = task.step_id();
            let is_whole = match &last_gang {
                Some((last, is_whole)) if *last == step => *is_whole,
                _ => job.gang_rows(task).iter().all(is_written),
            };
            last_gang = Some((step, is_whole));
            let progress = RowKey::Progress(task.job.clone());
            if is_whole && is_written(&progress) && is_written(&job.row_of(task)) {
                starts.push(task.clone());
            }
        }
        starts
    }

    /// Discards the starts of a transaction that was not committed.
    pub(super) fn roll_back(&mut self, batch: &Batch) {
        self.expiry.roll_back();
        self.dirty.put_back(batch.rows.clone());
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

/// Returns the size of a change in a call to the store, which has values in base64.
fn size_of_change(change: &Change) -> usize {
    let value = change.value.as_ref().map_or(0, Vec::len);
    value.div_ceil(3) * 4 + change.key.text().len() + CHANGE_OVERHEAD_BYTES
}

/// Returns the condition that a zone is not evacuated.
fn evacuation_condition(zone: &AvailabilityZone) -> Condition {
    Condition {
        name: RowName::Evacuation(zone.clone()),
        version: 0,
    }
}
