//! Accepted rule files.

use std::collections::BTreeSet;

use crate::error::RuleError;
use crate::expr::Expression;
use crate::time::{EventTime, RuleDuration};
use crate::yaml::{Checked, Entries, Entry, RawFile, RawGroup, RawRule, Strict};

/// Largest rule file in bytes.
const MAX_FILE_BYTES: usize = 1024 * 1024;

/// Largest number of rules in a file.
const MAX_RULES: usize = 10_000;

/// A rule file in which every rule can be evaluated exactly.
#[derive(Debug, Clone)]
pub struct RuleFile {
    /// Name of the file.
    pub name: String,
    /// The text, byte for byte.
    pub text: String,
    /// Groups in the order of the file.
    pub groups: Vec<Group>,
}

/// Rules that are evaluated one after the other at the same instants.
#[derive(Debug, Clone)]
pub struct Group {
    /// Name, unique in the file.
    pub name: String,
    /// Time between instants.
    pub interval: RuleDuration,
    /// Largest number of alerts or series of a rule; 0 for no limit.
    pub limit: usize,
    /// Rules in the order of the file.
    pub rules: Vec<Rule>,
    /// Distance of the instants from multiples of the interval.
    pub offset: RuleDuration,
}

/// A rule.
#[derive(Debug, Clone)]
pub struct Rule {
    /// Line of its name, from 1.
    pub line: usize,
    /// Name with labels, and a number if both occur before in the group; the
    /// state of the rule is found by this key.
    pub key: String,
    /// Expression.
    pub expr: Expression,
    /// Labels of the group and of the rule.
    pub(crate) labels: Vec<(String, Entry)>,
    /// What the rule does with the result.
    pub kind: RuleKind,
}

/// Kinds of rules.
#[derive(Debug, Clone)]
pub enum RuleKind {
    /// Each element of the result is an alert.
    Alert(AlertRule),
    /// The result becomes a new series.
    Record(RecordingRule),
}

/// The part of a rule that only alert rules have.
#[derive(Debug, Clone)]
pub struct AlertRule {
    /// Name of the alert.
    pub name: String,
    /// Time from pending to firing.
    pub hold: RuleDuration,
    /// Time that an alert fires on after its condition has ended.
    pub keep_firing_for: RuleDuration,
    /// Annotations.
    pub(crate) annotations: Vec<(String, Entry)>,
}

/// The part of a rule that only recording rules have.
#[derive(Debug, Clone)]
pub struct RecordingRule {
    /// Metric name of the series.
    pub name: String,
}

impl RuleFile {
    /// Accepts a rule file or reports the first rule that can't be evaluated
    /// exactly. Groups without an interval get `default_interval`.
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
                // Hints have no quotes; without this, text of the file that
                // contains "; " would be taken for one.
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
        let mut lines = Lines { text, next: 0 };
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
        lines: &mut Lines<'_>,
    ) -> Self {
        let name = raw.name.0.0;
        // An interval of 0 means the default, as published.
        let interval = raw.interval.map(|Checked(interval)| interval.0);
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

    /// Returns the first instant after `time`.
    #[must_use]
    pub fn next_instant(&self, time: EventTime) -> EventTime {
        let interval = self.interval.as_millis();
        let since = time.as_millis().saturating_sub(self.offset.as_millis());
        let number = since.div_euclid(interval) + 1;
        let millis = number
            .saturating_mul(interval)
            .saturating_add(self.offset.as_millis());
        EventTime::from_millis(millis)
    }
}

impl Rule {
    fn new(raw: RawRule, group_labels: &Entries, lines: &mut Lines<'_>) -> Self {
        let mut labels = raw.labels.0;
        for (name, entry) in &group_labels.0 {
            if labels.iter().all(|(known, _)| known != name) {
                labels.push((name.clone(), entry.clone()));
            }
        }
        labels.sort_by(|a, b| a.0.cmp(&b.0));
        let duration =
            |checked: Option<Checked<RuleDuration>>| checked.map_or(RuleDuration::ZERO, |d| d.0);
        let kind = match (raw.alert, raw.record) {
            (Some(name), _) => RuleKind::Alert(AlertRule {
                name: name.0.0,
                hold: duration(raw.r#for),
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
            .map(|(name, entry)| format!("{name}={:?}", entry.text))
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

/// Returns the distance of a group's instants from multiples of its interval.
///
/// It depends only on the names, so that every instance uses the same
/// instants and the groups are spread over the interval (FNV-1a hash).
fn offset(file: &str, group: &str, interval: RuleDuration) -> RuleDuration {
    let bytes = file.bytes().chain([0xff]).chain(group.bytes());
    let hash = bytes.fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    let millis = hash % interval.as_millis().unsigned_abs();
    RuleDuration::from_millis(i64::try_from(millis).unwrap_or(0))
}

/// Finds the lines of names in the order of the file, since the YAML library
/// reports lines only with errors.
struct Lines<'a> {
    text: &'a str,
    next: usize,
}

impl Lines<'_> {
    /// Returns the next line, from 1, that sets one of `keys` to `value`.
    fn find(&mut self, keys: &[&str], value: &str) -> usize {
        let sets = |line: &str| {
            let line = line.trim_start_matches([' ', '-', '{']);
            let pair = line.split_once(':');
            pair.is_some_and(|(key, rest)| keys.contains(&key.trim()) && rest.contains(value))
        };
        let found = self
            .text
            .lines()
            .enumerate()
            .skip(self.next)
            .find(|(_, line)| sets(line));
        if let Some((index, _)) = found {
            self.next = index + 1;
        }
        self.next.max(1)
    }
}

/// Removes the location, which is reported apart.
fn without_location(message: &str) -> String {
    let end = message.rfind(" at line ").unwrap_or(message.len());
    message[..end].to_owned()
}
