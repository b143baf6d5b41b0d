//! Serializable state of an evaluator.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::alert::AlertState;
use crate::labels::Labels;
use crate::number::SampleValue;
use crate::time::EventTime;

/// State that a new evaluator needs to continue with the same transitions.
///
/// Pushed samples are not part of it, because they can be pushed again. Series
/// written by rules are included, because nothing else can supply them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Snapshot {
    /// Groups in the order of the files.
    pub groups: Vec<GroupSnapshot>,
    /// Series that rules have written and other rules read.
    pub series: Vec<SeriesSnapshot>,
}

/// State of one group.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupSnapshot {
    /// Name of the rule file.
    pub file: String,
    /// Name of the group, unique within the file.
    pub group: String,
    /// Time of the last evaluation, or the start time before the first one.
    pub last: EventTime,
    /// State of the rules that have active alerts or output series.
    pub rules: Vec<RuleSnapshot>,
}

/// State of one rule.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RuleSnapshot {
    /// Key of the rule within its group.
    pub rule: String,
    /// Pending and firing alerts.
    pub alerts: Vec<ActiveAlert>,
    /// Series written by the last evaluation. One that the next evaluation
    /// doesn't write gets a staleness marker.
    pub outputs: BTreeSet<Labels>,
}

/// A pending or firing alert.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ActiveAlert {
    /// Labels, including `alertname`.
    pub labels: Labels,
    /// Annotations, with their templates expanded.
    pub annotations: Labels,
    /// Latest value of the expression for this alert.
    pub value: SampleValue,
    /// Whether the alert is pending or firing.
    pub state: AlertState,
    /// Evaluation time since which the condition holds.
    pub active_since: EventTime,
    /// Evaluation time at which the condition had ended while the alert keeps firing.
    pub keep_firing_since: Option<EventTime>,
}

/// A series written by a rule.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SeriesSnapshot {
    /// Labels, including the metric name.
    pub labels: Labels,
    /// Samples in time order.
    pub samples: Vec<(EventTime, SampleValue)>,
}
