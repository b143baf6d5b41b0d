//! Rows of the table `rules`, as typed values.

use cumindeck_rules::{EventTime, Labels, SampleValue, Snapshot, Transition};
use serde::{Deserialize, Serialize};

/// An accepted rule file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RuleFileRow {
    /// Version of the file, from 1.
    pub version: u64,
    /// Recent changes with the versions that they created, oldest first.
    ///
    /// A change whose reply was lost is found here even if another change replaced
    /// it before the read-back.
    pub changes: Vec<(u64, String)>,
    /// Number of rules in the text.
    pub rules: u32,
    /// When this version was accepted, in milliseconds since the Unix epoch; the
    /// evaluation of its new groups starts then.
    pub accepted_ms: i64,
    /// The text, byte for byte.
    pub text: String,
}

/// State of the evaluation of all rule files.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RulesStateRow {
    /// Id of the write, by which its outcome is read back.
    pub write: String,
    /// Alerts, times of the last evaluations and output series.
    pub snapshot: Snapshot,
    /// Number of the next transition.
    pub next: u64,
    /// Number of the first transition that is not known to be emitted.
    pub emitted: u64,
    /// First numbers of the batches of transitions that are kept.
    pub batches: Vec<u64>,
}

/// Transitions that were stored in one transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TransitionBatchRow {
    /// The transitions in the order of their numbers.
    pub transitions: Vec<TransitionRow>,
}

/// A transition of an alert, stored before it is emitted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TransitionRow {
    /// Number in the order of evaluation, without gaps.
    pub number: u64,
    /// Id of the transition, which is the same at every entry.
    pub id: String,
    /// Name of the rule file.
    pub file: String,
    /// Name of the rule's group in the file.
    pub group: String,
    /// Kind of transition.
    pub kind: String,
    /// Labels of the alert, with its name as `alertname`.
    pub labels: Labels,
    /// Annotations of the alert, expanded.
    pub annotations: Labels,
    /// Latest value of the rule's expression for this alert.
    pub value: SampleValue,
    /// Evaluation time at which the alert changed its state.
    pub at: EventTime,
    /// Evaluation time since which the condition has held.
    pub active_since: EventTime,
}

impl TransitionRow {
    /// Creates the row of a transition.
    pub(crate) fn new(number: u64, transition: Transition) -> Self {
        let id = transition.id.to_string();
        let kind = transition.id.kind.to_string();
        Self {
            number,
            id,
            file: transition.id.file,
            group: transition.id.group,
            kind,
            labels: transition.id.labels,
            annotations: transition.annotations,
            value: SampleValue::new(transition.value),
            at: transition.id.at,
            active_since: transition.active_since,
        }
    }
}
