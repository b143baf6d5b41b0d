//! Parsed and validated rule files.

use std::collections::BTreeSet;

use crate::error::RuleError;
use crate::expr::Expression;
use crate::time::{EventTime, RuleDuration};
use crate::yaml::{Parsed, RawFile, RawGroup, RawRule, Strict, TemplatedValue, TemplatedValues};

/// Maximum size of a rule file.
const MAX_FILE_BYTES: usize = 1024 * 1024;

/// Maximum number of rules in a file.
const MAX_RULES: usize = 10_000;

/// A rule file in which every rule can be evaluated exactly.
#[derive(Debug, Clone)]
pub struct RuleFile {
    /// Name of the file, used in errors and transition ids.
    pub name: String,
    /// Contents of the file, verbatim.
    pub text: String,
    /// Groups in file order.
    pub groups: Vec<Group>,
}

/// Rules that are evaluated in order at the same evaluation times.
#[derive(Debug, Clone)]
pub struct Group {
    /// Name, unique within the file.
    pub name: String,
    /// Time between two evaluations.
    pub interval: RuleDuration,
    /// Maximum number of alerts or series that a rule may produce; 0 means no limit.
    pub limit: usize,
    /// Rules in file order.
    pub rules: Vec<Rule>,
    /// Offset of the evaluation times from multiples of the interval.
    pub offset: RuleDuration,
}

/// An alerting or recording rule.
#[derive(Debug, Clone)]
pub struct Rule {
    /// Line of the rule's name in the file, starting at 1.
    pub line: usize,
    /// Identifies the rule's state across evaluations and snapshots: name and
    /// labels, with a number appended if an earlier rule of the group has the
    /// same ones.
    pub key: String,
    /// Expression that is evaluated for the rule.
    pub expr: Expression,
    /// Labels of the rule, and those of the group that the rule doesn't override.
    pub(crate) labels: Vec<(String, TemplatedValue)>,
    /// Kind of the rule, with the settings of that kind.
    pub kind: RuleKind,
}

/// What a rule does with the result of its expression.
#[derive(Debug, Clone)]
pub enum RuleKind {
    /// Each element of the result is an alert.
    Alert(AlertRule),
    /// The result is written as a new series.
    Record(RecordingRule),
}

/// Settings of an alerting rule.
#[derive(Debug, Clone)]
pub struct AlertRule {
    /// Value of the alerts' label `alertname`.
    pub name: String,
    /// How long the condition must hold before an alert fires (`for`).
    pub hold_duration: RuleDuration,
    /// How long an alert keeps firing after its condition has ended.
    pub keep_firing_for: RuleDuration,
    pub(crate) annotations: Vec<(String, TemplatedValue)>,
}

/// Settings of a recording rule.
#[derive(Debug, Clone)]
pub struct RecordingRule {
    /// Metric name of the new series.
    pub name: String,
}

impl RuleFile {
    /// Parses a rule file. The error names the first rule that can't be
    /// evaluated exactly. Groups without an interval get `default_interval`.
    pub fn parse(
        name: &str,
        text: &str,
        default_interval: RuleDuration,
    ) -> Result<Self, RuleError> {
        let error = |line: usize, message: String, hint: &str| RuleError {
            file: name.to_owned(),
            line,
            message,
            hint: hint.to_owned(),
        };
        if text.len() > MAX_FILE_BYTES {
            let message = format!(
                "the file has {} bytes, expected at most {MAX_FILE_BYTES}",
                text.len()
            );
            return Err(error(1, message, "split it into several files"));
        }
        if default_interval <= RuleDuration::ZERO {
            return Err(error(
                1,
                "the default interval is 0".to_owned(),
                "set a positive interval",
            ));
        }
        let Strict::<RawFile>(raw) = serde_yaml_ng::from_str(text).map_err(|err| {
            let line = err.location().map_or(1, |location| location.line());
            let found = without_location(&err.to_string());
            let (message, hint) = found
                .rsplit_once("; ")
                // Hints contain no quotes. Without this check, quoted input that
                // contains "; " would be taken for a hint.
                .filter(|(_, hint)| !hint.contains('"'))
                .unwrap_or((&found, "correct the file at this line"));
            error(line, message.to_owned(), hint)
        })?;
        let count: usize = raw
            .groups
            .iter()
            .map(|Strict(group)| group.rules.len())
            .sum();
        if count > MAX_RULES {
            let message = format!("the file has {count} rules, expected at most {MAX_RULES}");
            return Err(error(1, message, "split it into several files"));
        }
        let mut lines = LineFinder { text, next: 0 };
        let mut names = BTreeSet::new();
        let mut groups = Vec::new();
        for Strict(group) in raw.groups {
            let group_name = group.name.0.0.clone();
            let line = lines.find(&["name"], &group_name);
            if !names.insert(group_name.clone()) {
                let message = format!("the group name {group_name:?} occurs twice, expected once");
                return Err(error(line, message, "rename one of the groups"));
            }
            groups.push(Group::new(name, group, default_interval, &mut lines));
        }
        Ok(Self {
            name: name.to_owned(),
            text: text.to_owned(),
            groups,
        })
    }
}

impl Group {
    fn new(
        file: &str,
        raw: RawGroup,
        default_interval: RuleDuration,
        lines: &mut LineFinder<'_>,
    ) -> Self {
        let name = raw.name.0.0;
        // As in Prometheus, an interval of 0 means the default.
        let interval = raw.interval.map(|Parsed(interval)| interval.0);
        let interval = interval
            .filter(|interval| *interval > RuleDuration::ZERO)
            .unwrap_or(default_interval);
        let mut keys = BTreeSet::new();
        let mut rules = Vec::new();
        for Strict(rule) in raw.rules {
            let mut rule = Rule::new(rule, &raw.labels, lines);
            let key = rule.key.clone();
            let mut number = 1;
            while !keys.insert(rule.key.clone()) {
                number += 1;
                rule.key = format!("{key}#{number}");
            }
            rules.push(rule);
        }
        let limit = raw.limit.unwrap_or(0);
        let offset = offset(file, &name, interval);
        Self {
            name,
            interval,
            limit,
            rules,
            offset,
        }
    }

    /// Returns the first evaluation time after `time`.
    #[must_use]
    pub fn next_evaluation(&self, time: EventTime) -> EventTime {
        let interval = self.interval.as_millis();
        let elapsed = time.as_millis().saturating_sub(self.offset.as_millis());
        let interval_number = elapsed.div_euclid(interval) + 1;
        let millis = interval_number
            .saturating_mul(interval)
            .saturating_add(self.offset.as_millis());
        EventTime::from_millis(millis)
    }
}

impl Rule {
    fn new(raw: RawRule, group_labels: &TemplatedValues, lines: &mut LineFinder<'_>) -> Self {
        let mut labels = raw.labels.0;
        for (name, value) in &group_labels.0 {
            if labels.iter().all(|(known, _)| known != name) {
                labels.push((name.clone(), value.clone()));
            }
        }
        labels.sort_by(|a, b| a.0.cmp(&b.0));
        let duration =
            |parsed: Option<Parsed<RuleDuration>>| parsed.map_or(RuleDuration::ZERO, |d| d.0);
        let kind = match (raw.alert, raw.record) {
            (Some(name), _) => RuleKind::Alert(AlertRule {
                name: name.0.0,
                hold_duration: duration(raw.r#for),
                keep_firing_for: duration(raw.keep_firing_for),
                annotations: raw.annotations.0,
            }),
            (None, record) => RuleKind::Record(RecordingRule {
                name: record.map(|r| r.0.0).unwrap_or_default(),
            }),
        };
        let name = match &kind {
            RuleKind::Alert(alert) => &alert.name,
            RuleKind::Record(record) => &record.name,
        };
        let line = lines.find(&["alert", "record"], name);
        let pairs: Vec<String> = labels
            .iter()
            .map(|(name, value)| format!("{name}={:?}", value.text))
            .collect();
        let key = format!("{name}{{{}}}", pairs.join(","));
        Self {
            line,
            key,
            expr: raw.expr.0,
            labels,
            kind,
        }
    }
}

/// Returns the offset of a group's evaluation times from multiples of its interval.
///
/// The offset is derived from the names alone (FNV-1a hash): every process uses
/// the same evaluation times, and the groups are spread over the interval.
fn offset(file: &str, group: &str, interval: RuleDuration) -> RuleDuration {
    let bytes = file.bytes().chain([0xff]).chain(group.bytes());
    let hash = bytes.fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    let millis = hash % interval.as_millis().unsigned_abs();
    RuleDuration::from_millis(i64::try_from(millis).unwrap_or(0))
}

/// Finds the line numbers of group and rule names by scanning the file in order,
/// because the YAML library reports lines only in errors.
struct LineFinder<'a> {
    text: &'a str,
    next: usize,
}

impl LineFinder<'_> {
    /// Returns the number, from 1, of the next line that sets one of `keys` to
    /// `value`, or of the line found before if there is none.
    fn find(&mut self, keys: &[&str], value: &str) -> usize {
        let sets_value = |line: &str| {
            let line = line.trim_start_matches([' ', '-', '{']);
            let pair = line.split_once(':');
            pair.is_some_and(|(key, rest)| keys.contains(&key.trim()) && rest.contains(value))
        };
        let found = self
            .text
            .lines()
            .enumerate()
            .skip(self.next)
            .find(|(_, line)| sets_value(line));
        if let Some((index, _)) = found {
            self.next = index + 1;
        }
        self.next.max(1)
    }
}

/// Removes the position, which [`RuleError`] reports in its own field.
fn without_location(message: &str) -> String {
    let end = message.rfind(" at line ").unwrap_or(message.len());
    message[..end].to_owned()
}
