//! Adds the samples of usage reports to the window and evaluates the rules up to the
//! watermark.

use std::collections::VecDeque;
use std::time::Duration;

use cumindeck_config::RuleSettings;
use cumindeck_rules::{
    Evaluation as Evaluated, Evaluator, EventTime, GroupSnapshot, PushError, RuleDuration,
    RuleFile, Settings, Snapshot,
};
use cumindeck_types::Uptime;

use super::event::{AlertNotice, AlertsCx, AlertsEffect, UsageReport, UsageSample};
use super::rows::TransitionRow;
use super::watermark::Watermark;

/// Maximum number of evaluation times that one step processes.
///
/// 20 evaluation times of 100 rules over 500 series took 3.2 s, longer than a lease.
const MAX_EVALUATIONS_PER_STEP: usize = 1;
/// Maximum number of samples that one step adds to the window, which takes about 4 ms.
const MAX_SAMPLES_PER_STEP: usize = 2_000;
/// Time between two reads of usage reports.
const READ_PERIOD: Duration = Duration::from_secs(1);
/// Maximum time by which the start of a new group may precede the watermark.
const MAX_START_AGE: RuleDuration = RuleDuration::from_secs(15 * 60);
/// Samples further ahead of the watermark are rejected, since they would occupy the
/// window until their time.
const MAX_SAMPLE_LEAD: RuleDuration = RuleDuration::from_secs(60 * 60);

/// Evaluation of the rule files of one load.
#[derive(Debug)]
pub(crate) struct Evaluation {
    files: Vec<RuleFile>,
    starts: Vec<(String, EventTime)>,
    settings: RuleSettings,
    /// Created with the first usage report, which states up to when samples are complete.
    evaluator: Option<(Evaluator, Watermark)>,
    /// Samples that were read but not yet added to the window.
    backlog: VecDeque<UsageSample>,
    sequence: u64,
    is_reading: bool,
    read_at: Uptime,
    has_unsaved_evaluations: bool,
}

impl Evaluation {
    /// Creates the evaluation of `files`, which were accepted at the times in `starts`.
    pub const fn new(cx: AlertsCx, files: Vec<RuleFile>, starts: Vec<(String, EventTime)>) -> Self {
        Self {
            files,
            starts,
            settings: cx.settings,
            evaluator: None,
            backlog: VecDeque::new(),
            sequence: 0,
            is_reading: false,
            read_at: cx.now,
            has_unsaved_evaluations: false,
        }
    }

    /// Returns the settings under which the files were loaded.
    pub const fn settings(&self) -> RuleSettings {
        self.settings
    }

    /// Returns whether there is nothing to evaluate.
    pub const fn is_empty(&self) -> bool {
        self.files.is_empty()
    }

    /// Returns whether rules were evaluated since the last [`Evaluation::snapshot`].
    pub const fn has_unsaved_evaluations(&self) -> bool {
        self.has_unsaved_evaluations
    }

    /// Returns whether the next step has a backlog to process.
    pub fn is_behind(&self) -> bool {
        let behind = |(evaluator, _): &(Evaluator, Watermark)| evaluator.is_behind();
        !self.backlog.is_empty() || self.evaluator.as_ref().is_some_and(behind)
    }

    /// Returns the sequence number after which to read usage reports, if a read is due.
    pub fn read(&mut self, now: Uptime) -> Option<u64> {
        if self.is_reading || !self.backlog.is_empty() || now < self.read_at {
            return None;
        }
        self.is_reading = true;
        Some(self.sequence)
    }

    /// Handles usage reports; `state` is the durable state as loaded.
    pub fn on_usage(
        &mut self,
        cx: AlertsCx,
        state: Option<&Snapshot>,
        report: Option<UsageReport>,
    ) {
        self.is_reading = false;
        self.read_at = cx.now.plus(READ_PERIOD);
        let Some(report) = report else { return };
        let wall = event_time(cx.wall);
        match &mut self.evaluator {
            Some((_, watermark)) => watermark.on_report(cx.now, wall, report.watermark),
            None => {
                let watermark = Watermark::new(cx.now, wall, report.watermark);
                let newest = wall.max(report.watermark);
                let first = report.samples.first();
                let evaluator = self.start(watermark.get(), newest, state, first);
                self.evaluator = Some((evaluator, watermark));
            }
        }
        if let Some(last) = report.samples.last() {
            self.sequence = self.sequence.max(last.sequence);
        }
        self.backlog.extend(report.samples);
    }

    /// Adds samples to the window or, once none are left, evaluates the rules; returns
    /// the transitions, numbered from `next`.
    pub fn step(&mut self, next: u64, out: &mut Vec<AlertsEffect>) -> Vec<TransitionRow> {
        let Some((evaluator, watermark)) = &mut self.evaluator else {
            return Vec::new();
        };
        if !self.backlog.is_empty() {
            let count = self.backlog.len().min(MAX_SAMPLES_PER_STEP);
            take_samples(evaluator, watermark.get(), self.backlog.drain(..count), out);
            return Vec::new();
        }
        let evaluated = evaluator.advance(watermark.get());
        self.has_unsaved_evaluations |= !evaluated.is_empty();
        for evaluated in &evaluated {
            failures(evaluated, out);
        }
        let transitions = evaluated.into_iter().flat_map(|e| e.transitions);
        let numbered = (next..).zip(transitions);
        numbered
            .map(|(number, transition)| TransitionRow::new(number, transition))
            .collect()
    }

    /// Returns the state to write.
    pub fn snapshot(&mut self) -> Option<Snapshot> {
        self.has_unsaved_evaluations = false;
        let (evaluator, _) = self.evaluator.as_ref()?;
        Some(evaluator.snapshot())
    }

    /// Creates the evaluator; the first sample shows whether older ones were lost.
    fn start(
        &self,
        watermark: EventTime,
        newest: EventTime,
        state: Option<&Snapshot>,
        first: Option<&UsageSample>,
    ) -> Evaluator {
        let lag = rule_duration(self.settings.lag_bound);
        let settings = Settings {
            lag,
            max_evaluations: MAX_EVALUATIONS_PER_STEP,
            ..Settings::default()
        };
        let complete_after = match first {
            Some(first) if first.sequence > 1 => first.at.plus(lag),
            None if state.is_some() => watermark,
            _ => EventTime::default(),
        };
        let mut snapshot = state.cloned().unwrap_or(Snapshot {
            groups: Vec::new(),
            series: Vec::new(),
        });
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
                        // The acceptance may be later than the watermark, but not
                        // later than both the wall clock and the reported watermark.
                        last: accepted.clamp(watermark.minus(MAX_START_AGE), newest),
                        rules: Vec::new(),
                    });
                }
            }
        }
        Evaluator::restore(&self.files, settings, &snapshot, complete_after)
    }
}

fn take_samples(
    evaluator: &mut Evaluator,
    watermark: EventTime,
    samples: impl Iterator<Item = UsageSample>,
    out: &mut Vec<AlertsEffect>,
) {
    let (mut late, mut full, mut ahead) = (0, 0, 0);
    for sample in samples {
        if sample.at > watermark.plus(MAX_SAMPLE_LEAD) {
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

fn failures(evaluated: &Evaluated, out: &mut Vec<AlertsEffect>) {
    for failure in &evaluated.failures {
        out.push(AlertsEffect::Notice(AlertNotice::RuleFailed {
            file: evaluated.file.clone(),
            line: failure.line,
            at: evaluated.at,
            error: failure.error.to_string(),
        }));
    }
}

/// Converts a duration from the settings.
pub(crate) fn rule_duration(duration: Duration) -> RuleDuration {
    RuleDuration::from_millis(i64::try_from(duration.as_millis()).unwrap_or(i64::MAX))
}

/// Converts a wall-clock time.
pub(crate) fn event_time(wall: Duration) -> EventTime {
    EventTime::from_millis(i64::try_from(wall.as_millis()).unwrap_or(i64::MAX))
}
