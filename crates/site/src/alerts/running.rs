//! Evaluation at the leader: each state is made durable before its transitions are
//! emitted and before the next evaluation.

use std::collections::VecDeque;
use std::time::Duration;

use cumindeck_config::RuleSettings;
use cumindeck_control::store::{RowVersion, WriteOutcome};
use cumindeck_types::Uptime;

use super::evaluation::Evaluation;
use super::event::{AlertNotice, AlertsCommit, AlertsCx, AlertsEffect, AlertsRead, UsageReport};
use super::load::Loaded;
use super::rows::{RulesStateRow, TransitionBatchRow, TransitionRow};
use crate::event::{RowAction, RowCondition, RowWrite};
use crate::rows::{RowKey, RowRange, RowValue, StoredRow};

/// Maximum time between two writes of the state.
const WRITE_PERIOD: Duration = Duration::from_secs(15);
/// Delay between two attempts of a write.
const RETRY_PERIOD: Duration = Duration::from_secs(1);
/// Number of batches of transitions that are kept for readers.
const KEPT_BATCHES: usize = 64;

/// A write of the state whose outcome is not known yet.
#[derive(Debug)]
struct Pending {
    writes: Vec<RowWrite>,
    row: RulesStateRow,
    new_transitions: Vec<TransitionRow>,
    /// Whether the write or a read-back is in flight.
    is_in_flight: bool,
    retry_at: Uptime,
}

/// Evaluation under one load of the rule files.
#[derive(Debug)]
pub(crate) struct Running {
    generation: u64,
    evaluation: Evaluation,
    /// The durable state, with the version of its row.
    state: Option<(RowVersion, RulesStateRow)>,
    /// Durable transitions that are not emitted yet.
    unemitted: VecDeque<TransitionRow>,
    /// Number after the last transition that was emitted.
    emitted: u64,
    write_at: Uptime,
    pending: Option<Pending>,
    writes: u64,
}

/// Whether the evaluation can continue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Progress {
    Continues,
    /// The stored state is not the last one written; it must be loaded again.
    Superseded,
}

impl Running {
    /// Creates the evaluation from what was loaded.
    ///
    /// `emitted` is the number after the last transition that this process emitted.
    pub fn new(cx: AlertsCx, generation: u64, loaded: Loaded, emitted: u64) -> Self {
        let recorded = loaded.state.as_ref().map_or(0, |(_, row)| row.emitted);
        let emitted = emitted.max(recorded);
        let unemitted = loaded.unemitted.into_iter();
        Self {
            generation,
            evaluation: Evaluation::new(cx, loaded.files, loaded.starts),
            state: loaded.state,
            unemitted: unemitted.filter(|row| row.number >= emitted).collect(),
            emitted,
            write_at: cx.now.plus(WRITE_PERIOD),
            pending: None,
            writes: 0,
        }
    }

    /// Returns the number after the last transition that was emitted.
    pub const fn emitted(&self) -> u64 {
        self.emitted
    }

    /// Returns the number of durable transitions that are to be emitted.
    pub fn unemitted(&self) -> usize {
        self.unemitted.len()
    }

    /// Returns the settings under which the files were loaded.
    pub const fn settings(&self) -> RuleSettings {
        self.evaluation.settings()
    }

    /// Returns whether a write is pending.
    pub const fn is_writing(&self) -> bool {
        self.pending.is_some()
    }

    /// Returns whether the next step has a backlog to process.
    pub fn is_behind(&self) -> bool {
        self.pending.is_none() && self.evaluation.is_behind()
    }

    /// Runs the periodic work; called only while the leader lease is valid.
    pub fn tick(
        &mut self,
        cx: AlertsCx,
        token: RowWrite,
        writer_id: &str,
        out: &mut Vec<AlertsEffect>,
    ) {
        self.emit(out);
        if let Some(pending) = &mut self.pending {
            if !pending.is_in_flight && cx.now >= pending.retry_at {
                pending.is_in_flight = true;
                let range = RowRange::Row(RowKey::RulesState);
                let read = AlertsRead::StateReadBack(self.generation);
                out.push(AlertsEffect::Read(read, vec![range]));
            }
            return;
        }
        if self.evaluation.is_empty() {
            return;
        }
        if let Some(after) = self.evaluation.read(cx.now) {
            out.push(AlertsEffect::ReadUsage {
                generation: self.generation,
                after,
            });
        }
        let state = self.state.as_ref().map(|(_, row)| row);
        let recorded = state.map_or(0, |row| row.emitted);
        let next = state.map_or(0, |row| row.next);
        let new_transitions = self.evaluation.step(next, out);
        let is_due = self.evaluation.has_unsaved_evaluations() && cx.now >= self.write_at;
        if !new_transitions.is_empty() || self.emitted > recorded || is_due {
            self.write(cx, token, writer_id, new_transitions, out);
        }
    }

    /// Handles usage reports; `None` means that the platform did not reply.
    pub fn on_usage(&mut self, cx: AlertsCx, report: Option<UsageReport>) {
        let state = self.state.as_ref().map(|(_, row)| &row.snapshot);
        self.evaluation.on_usage(cx, state, report);
    }

    /// Handles the outcome of a write of the state.
    pub fn on_write(&mut self, cx: AlertsCx, outcome: WriteOutcome) {
        if let Some(pending) = &mut self.pending {
            pending.is_in_flight = false;
            pending.retry_at = cx.now;
            if let WriteOutcome::Done(version) = outcome {
                self.confirm(cx, version);
            }
        }
    }

    /// Handles the state row read after a write with an unknown outcome.
    pub fn on_read_back(
        &mut self,
        cx: AlertsCx,
        rows: Option<Vec<StoredRow>>,
        out: &mut Vec<AlertsEffect>,
    ) -> Progress {
        let Some(pending) = &mut self.pending else {
            return Progress::Continues;
        };
        pending.is_in_flight = false;
        pending.retry_at = cx.now.plus(RETRY_PERIOD);
        let Some(rows) = rows else {
            return Progress::Continues;
        };
        let found = rows.into_iter().find_map(|row| match row.value {
            RowValue::RulesState(state) => Some((row.version, state.write)),
            _ => None,
        });
        let before = self.state.as_ref().map(|(version, _)| *version);
        match found {
            Some((version, write)) if write == pending.row.write => {
                self.confirm(cx, version);
                Progress::Continues
            }
            found if found.as_ref().map(|(version, _)| *version) == before => {
                // The condition on the row's version makes it safe to send the write
                // again even if the first copy is only delayed.
                pending.is_in_flight = true;
                let commit = AlertsCommit::State(self.generation);
                out.push(AlertsEffect::Commit(commit, pending.writes.clone()));
                Progress::Continues
            }
            _ => Progress::Superseded,
        }
    }

    fn confirm(&mut self, cx: AlertsCx, version: RowVersion) {
        let Some(pending) = self.pending.take() else {
            return;
        };
        self.state = Some((version, pending.row));
        self.unemitted.extend(pending.new_transitions);
        self.write_at = cx.now.plus(WRITE_PERIOD);
    }

    /// Emits the durable transitions; the caller has checked the lease in this step.
    fn emit(&mut self, out: &mut Vec<AlertsEffect>) {
        for transition in self.unemitted.drain(..) {
            self.emitted = self.emitted.max(transition.number + 1);
            let notice = AlertNotice::Transition(Box::new(transition));
            out.push(AlertsEffect::Notice(notice));
        }
    }

    /// Writes the state and the transitions that led to it in one transaction.
    fn write(
        &mut self,
        cx: AlertsCx,
        token: RowWrite,
        writer_id: &str,
        new_transitions: Vec<TransitionRow>,
        out: &mut Vec<AlertsEffect>,
    ) {
        let state = self.state.as_ref();
        let version = state.map_or(RowVersion::ABSENT, |(version, _)| *version);
        let first = state.map_or(0, |(_, row)| row.next);
        let mut batches = state.map_or_else(Vec::new, |(_, row)| row.batches.clone());
        // A leader that has evaluated nothing yet keeps the snapshot that it loaded.
        let loaded_snapshot = state.map(|(_, row)| row.snapshot.clone());
        let Some(snapshot) = self.evaluation.snapshot().or(loaded_snapshot) else {
            return;
        };
        let mut writes = vec![token];
        if !new_transitions.is_empty() {
            batches.push(first);
            let transitions = new_transitions.clone();
            let batch = RowValue::Transitions(TransitionBatchRow { transitions });
            writes.push(put(RowKey::Transitions(first), RowVersion::ABSENT, batch));
        }
        while batches.len() > KEPT_BATCHES && batches[1] <= self.emitted {
            writes.push(RowWrite {
                key: RowKey::Transitions(batches.remove(0)),
                condition: RowCondition::Any,
                action: RowAction::Delete,
            });
        }
        self.writes += 1;
        let row = RulesStateRow {
            write: format!("{writer_id}:{}:{}", self.generation, self.writes),
            snapshot,
            next: first + new_transitions.len() as u64,
            emitted: self.emitted,
            batches,
        };
        let value = RowValue::RulesState(Box::new(row.clone()));
        writes.push(put(RowKey::RulesState, version, value));
        let commit = AlertsCommit::State(self.generation);
        out.push(AlertsEffect::Commit(commit, writes.clone()));
        self.pending = Some(Pending {
            writes,
            row,
            new_transitions,
            is_in_flight: true,
            retry_at: cx.now,
        });
    }
}

fn put(key: RowKey, version: RowVersion, value: RowValue) -> RowWrite {
    RowWrite {
        key,
        condition: RowCondition::Version(version),
        action: RowAction::Put(value),
    }
}
