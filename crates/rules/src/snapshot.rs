//! The state of an evaluator as plain data.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::alert::AlertState;
use crate::labels::Labels;
use crate::number::SampleValue;
use crate::time::EventTime;

/// What a successor needs to continue with the same transitions.
///
/// Samples that were pushed are not part of it; the series that rules wrote
/// are, since nobody can send them again.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Snapshot {
    /// Groups in the order of the files.
    pub groups: Vec<GroupSnapshot>,
    /// Series written by rules that other rules read.
    pub series: Vec<SeriesSnapshot>,
}

/// State of one group.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupSnapshot {
    /// Name of the rule file.
    pub file: String,
    /// Name of the group.
    pub group: String,
    /// Last evaluated instant, or the start if there is none yet.
    pub last: EventTime,
    /// State of the rules that have any.
    pub rules: Vec<RuleSnapshot>,
}

/// State of one rule.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RuleSnapshot {
    /// Key of the rule in its group.
    pub rule: String,
    /// Pending and firing alerts.
    pub alerts: Vec<ActiveAlert>,
    /// Series written at the last evaluation, which get a staleness marker
    /// when they end.
    pub outputs: BTreeSet<Labels>,
}

/// A pending or firing alert.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ActiveAlert {
    /// Labels, with the alert name.
    pub labels: Labels,
    /// Expanded annotations.
    pub annotations: Labels,
    /// Newest value of the expression.
    pub value: SampleValue,
    /// State.
    pub state: AlertState,
    /// Instant since which the condition holds.
    pub active_since: EventTime,
    /// Instant at which the condition ended while the alert fires on.
    pub keep_firing_since: Option<EventTime>,
}

/// A series written by a rule.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SeriesSnapshot {
    /// Labels with the metric name.
    pub labels: Labels,
    /// Samples in the order of time.
    pub samples: Vec<(EventTime, SampleValue)>,
}
