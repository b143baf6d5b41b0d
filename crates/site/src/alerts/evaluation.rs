//! Evaluation by the holder of the duty, and the writes of its state.

use std::collections::VecDeque;
use std::time::Duration;

use cumindeck_config::RuleSettings;
use cumindeck_control::store::{RowVersion, WriteOutcome};
use cumindeck_rules::{
    Evaluation, Evaluator, EventTime, GroupSnapshot, PushError, RuleDuration, RuleFile, Settings,
    Snapshot,
};
use cumindeck_types::Uptime;

use super::load::Loaded;
use super::rows::{RulesStateRow, TransitionBatchRow, TransitionRow};
use super::watermark::Watermark;
use super::{
    AlertNotice, AlertsCommit, AlertsCx, AlertsEffect, AlertsRead, UsageReport, UsageSample,
};
use crate::event::{RowAction, RowCondition, RowWrite};
use crate::rows::{RowKey, RowRange, RowValue, StoredRow};

/// Largest number of instants that one step evaluates.
pub(crate) const INSTANTS_OF_STEP: usize = 20;
/// Largest number of samples that one step takes into the window.
pub(crate) const SAMPLES_OF_STEP: usize = 2_000;
/// Longest time between two writes of the state.
const WRITE_PERIOD: Duration = Duration::from_secs(15);
/// Time between two reads of usage reports, and between two tries of a write.
const RETRY_PERIOD: Duration = Duration::from_secs(1);
/// Batches of transitions that are kept for readers.
const KEPT_BATCHES: usize = 64;
/// How far before the watermark a new group may start.
const MAX_START_AGE: RuleDuration = RuleDuration::from_secs(15 * 60);
/// Samples that lie further ahead of the watermark are refused, since they
/// would stay in the window until their time.
const MAX_SAMPLE_LEAD: RuleDuration = RuleDuration::from_secs(60 * 60);

/// A write of the state that has no outcome yet.
#[derive(Debug)]
struct Pending {
    writes: Vec<RowWrite>,
    row: RulesStateRow,
    fresh: Vec<TransitionRow>,
    is_open: bool,
    retry_at: Uptime,
}

/// The evaluation under one load of the rule files.
#[derive(Debug)]
pub(crate) struct Running {
    files: Vec<RuleFile>,
    starts: Vec<(String, EventTime)>,
    settings: RuleSettings,
    /// Made at the first usage report, which tells what is complete.
    evaluator: Option<(Evaluator, Watermark)>,
    state: Option<(RowVersion, RulesStateRow)>,
    /// Durable transitions that are not emitted yet.
    unemitted: VecDeque<TransitionRow>,
    emitted: u64,
    backlog: VecDeque<UsageSample>,
    sequence: u64,
    is_reading: bool,
    read_at: Uptime,
    evaluated: bool,
    write_at: Uptime,
    pending: Option<Pending>,
    writes: u64,
}

/// Whether the evaluation can go on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Progress {
    /// It goes on.
    Continues,
    /// The state in the table is not the one written last; load it again.
    Superseded,
}

impl Running {
    /// Starts with what was loaded.
    ///
    /// `emitted` is the number after the last transition that this process emitted.
    pub fn new(cx: AlertsCx, mut loaded: Loaded, emitted: u64) -> Self {
        let recorded = loaded.state.as_ref().map_or(0, |(_, row)| row.emitted);
        let emitted = emitted.max(recorded);
        loaded.unemitted.retain(|row| row.number >= emitted);
        Self {
            files: loaded.files,
            starts: loaded.starts,
            settings: cx.settings,
            evaluator: None,
            state: loaded.state,
            unemitted: loaded.unemitted.into(),
            emitted,
            backlog: VecDeque::new(),
            sequence: 0,
            is_reading: false,
            read_at: cx.now,
            evaluated: false,
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
        self.settings
    }

    /// Tells whether a write has no outcome yet.
    pub const fn is_writing(&self) -> bool {
        self.pending.is_some()
    }

    /// Tells whether the next step has work to do at once.
    pub fn is_behind(&self) -> bool {
        let behind = |(evaluator, _): &(Evaluator, Watermark)| evaluator.is_behind();
        self.pending.is_none()
            && (!self.backlog.is_empty() || self.evaluator.as_ref().is_some_and(behind))
    }

    /// Does what is due; called only while the duty's lease is live.
    pub fn tick(
        &mut self,
        cx: AlertsCx,
        generation: u64,
        token: RowWrite,
        origin: &str,
        out: &mut Vec<AlertsEffect>,
    ) {
        self.emit(out);
        if self.files.is_empty() {
            return;
        }
        if let Some(pending) = &mut self.pending {
            if !pending.is_open && cx.now >= pending.retry_at {
                pending.is_open = true;
                let range = RowRange::Row(RowKey::RulesState);
                out.push(AlertsEffect::Read(
                    AlertsRead::StateBack(generation),
                    vec![range],
                ));
            }
            return;
        }
        if !self.is_reading && self.backlog.is_empty() && cx.now >= self.read_at {
            self.is_reading = true;
            out.push(AlertsEffect::ReadUsage {
                generation,
                after: self.sequence,
            });
        }
        self.take_samples(out);
        let transitions = self.advance(out);
        let recorded = self.state.as_ref().map_or(0, |(_, row)| row.emitted);
        if !transitions.is_empty()
            || self.emitted > recorded
            || (self.evaluated && cx.now >= self.write_at)
        {
            self.write(cx, generation, token, origin, transitions, out);
        }
    }

    /// Takes in usage reports; `None` means that the platform didn't answer.
    pub fn on_usage(&mut self, cx: AlertsCx, report: Option<UsageReport>) {
        self.is_reading = false;
        self.read_at = cx.now.plus(RETRY_PERIOD);
        let Some(report) = report else { return };
        let wall = event_time(cx.wall);
        match &mut self.evaluator {
            Some((_, watermark)) => watermark.on_report(cx.now, wall, report.watermark),
            None => {
                let watermark = Watermark::new(cx.now, wall, report.watermark);
                let evaluator = self.start(watermark.get(), report.samples.first());
                self.evaluator = Some((evaluator, watermark));
            }
        }
        if let Some(last) = report.samples.last() {
            self.sequence = self.sequence.max(last.sequence);
        }
        self.backlog.extend(report.samples);
    }

    /// Takes in the outcome of a write of the state.
    pub fn on_write(&mut self, cx: AlertsCx, outcome: WriteOutcome) {
        if let Some(pending) = &mut self.pending {
            pending.is_open = false;
            pending.retry_at = cx.now;
            if let WriteOutcome::Done(version) = outcome {
                self.confirm(cx, version);
            }
        }
    }

    /// Takes in the state row after a write without a known outcome.
    pub fn on_read_back(
        &mut self,
        cx: AlertsCx,
        generation: u64,
        rows: Option<Vec<StoredRow>>,
        out: &mut Vec<AlertsEffect>,
    ) -> Progress {
        let Some(pending) = &mut self.pending else {
            return Progress::Continues;
        };
        pending.is_open = false;
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
                // The condition on the row's version makes the repetition safe
                // even if the first copy is only delayed.
                pending.is_open = true;
                let commit = AlertsCommit::State(generation);
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
        self.unemitted.extend(pending.fresh);
        self.evaluated = false;
        self.write_at = cx.now.plus(WRITE_PERIOD);
    }

    /// Emits what is durable; the caller has checked the lease in this step.
    fn emit(&mut self, out: &mut Vec<AlertsEffect>) {
        for transition in self.unemitted.drain(..) {
            self.emitted = self.emitted.max(transition.number + 1);
            out.push(AlertsEffect::Notice(AlertNotice::Transition(Box::new(
                transition,
            ))));
        }
    }

    /// Makes the evaluator; the first sample tells whether older ones were lost.
    fn start(&self, watermark: EventTime, first: Option<&UsageSample>) -> Evaluator {
        let lag = rule_duration(self.settings.lag_bound);
        let settings = Settings {
            lag,
            max_instants: INSTANTS_OF_STEP,
            ..Settings::default()
        };
        let complete_after = match first {
            Some(first) if first.sequence > 1 => first.at.plus(lag),
            None if self.state.is_some() => watermark,
            _ => EventTime::default(),
        };
        let state = self.state.as_ref();
        let mut snapshot = state.map_or_else(empty_snapshot, |(_, row)| row.snapshot.clone());
        for file in &self.files {
            let accepted = self.starts.iter().find(|(name, _)| *name == file.name);
            let accepted = accepted.map_or(watermark, |(_, at)| *at);
            for group in &file.groups {
                let same =
                    |saved: &GroupSnapshot| saved.file == file.name && saved.group == group.name;
                if !snapshot.groups.iter().any(same) {
                    snapshot.groups.push(GroupSnapshot {
                        file: file.name.clone(),
                        group: group.name.clone(),
                        last: accepted.clamp(watermark.minus(MAX_START_AGE), watermark),
                        rules: Vec::new(),
                    });
                }
            }
        }
        Evaluator::restore(&self.files, settings, &snapshot, complete_after)
    }

    fn take_samples(&mut self, out: &mut Vec<AlertsEffect>) {
        let Some((evaluator, watermark)) = &mut self.evaluator else {
            return;
        };
        let (mut late, mut full, mut ahead) = (0, 0, 0);
        let count = self.backlog.len().min(SAMPLES_OF_STEP);
        for sample in self.backlog.drain(..count) {
            if sample.at > watermark.get().plus(MAX_SAMPLE_LEAD) {
                ahead += 1;
                continue;
            }
            match evaluator.push(sample.labels, sample.at, sample.value) {
                Ok(()) => {}
                Err(PushError::Late { .. }) => late += 1,
                Err(PushError::Full { .. }) => full += 1,
            }
        }
        if late + full + ahead > 0 {
            let notice = AlertNotice::SamplesRefused { late, full, ahead };
            out.push(AlertsEffect::Notice(notice));
        }
    }

    /// Evaluates due instants once all samples that were read are taken in.
    fn advance(&mut self, out: &mut Vec<AlertsEffect>) -> Vec<TransitionRow> {
        let Some((evaluator, watermark)) = &mut self.evaluator else {
            return Vec::new();
        };
        if !self.backlog.is_empty() {
            return Vec::new();
        }
        let mut number = self.state.as_ref().map_or(0, |(_, row)| row.next);
        let mut transitions = Vec::new();
        for evaluation in evaluator.advance(watermark.get()) {
            self.evaluated = true;
            failures(&evaluation, out);
            for transition in evaluation.transitions {
                transitions.push(TransitionRow::new(number, transition));
                number += 1;
            }
        }
        transitions
    }

    /// Writes the state, and the transitions that it contains, in one transaction.
    fn write(
        &mut self,
        cx: AlertsCx,
        generation: u64,
        token: RowWrite,
        origin: &str,
        fresh: Vec<TransitionRow>,
        out: &mut Vec<AlertsEffect>,
    ) {
        let Some((evaluator, _)) = &self.evaluator else {
            return;
        };
        self.writes += 1;
        let state = self.state.as_ref();
        let version = state.map_or(RowVersion::ABSENT, |(version, _)| *version);
        let first = state.map_or(0, |(_, row)| row.next);
        let mut batches = state.map_or_else(Vec::new, |(_, row)| row.batches.clone());
        let mut writes = vec![token];
        if !fresh.is_empty() {
            batches.push(first);
            let batch = TransitionBatchRow {
                transitions: fresh.clone(),
            };
            writes.push(put(
                RowKey::Transitions(first),
                RowVersion::ABSENT,
                RowValue::Transitions(batch),
            ));
        }
        while batches.len() > KEPT_BATCHES && batches[1] <= self.emitted {
            writes.push(RowWrite {
                key: RowKey::Transitions(batches.remove(0)),
                condition: RowCondition::Any,
                action: RowAction::Delete,
            });
        }
        let row = RulesStateRow {
            write: format!("{origin}:{generation}:{}", self.writes),
            snapshot: evaluator.snapshot(),
            next: first + fresh.len() as u64,
            emitted: self.emitted,
            batches,
        };
        let value = RowValue::RulesState(Box::new(row.clone()));
        writes.push(put(RowKey::RulesState, version, value));
        self.pending = Some(Pending {
            writes: writes.clone(),
            row,
            fresh,
            is_open: true,
            retry_at: cx.now,
        });
        out.push(AlertsEffect::Commit(
            AlertsCommit::State(generation),
            writes,
        ));
    }
}

fn failures(evaluation: &Evaluation, out: &mut Vec<AlertsEffect>) {
    for failure in &evaluation.failures {
        out.push(AlertsEffect::Notice(AlertNotice::RuleFailed {
            file: evaluation.file.clone(),
            line: failure.line,
            at: evaluation.at,
            error: failure.error.to_string(),
        }));
    }
}

fn put(key: RowKey, version: RowVersion, value: RowValue) -> RowWrite {
    RowWrite {
        key,
        condition: RowCondition::Version(version),
        action: RowAction::Put(value),
    }
}

const fn empty_snapshot() -> Snapshot {
    Snapshot {
        groups: Vec::new(),
        series: Vec::new(),
    }
}

/// Converts a duration of the settings.
pub(crate) fn rule_duration(duration: Duration) -> RuleDuration {
    RuleDuration::from_millis(i64::try_from(duration.as_millis()).unwrap_or(i64::MAX))
}

/// Converts a wall-clock time.
pub(crate) fn event_time(wall: Duration) -> EventTime {
    EventTime::from_millis(i64::try_from(wall.as_millis()).unwrap_or(i64::MAX))
}
