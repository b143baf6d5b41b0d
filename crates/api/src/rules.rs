//! Alert rule files, alerts and their transitions, as operators see them.

use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

use cumindeck_types::IdempotencyKey;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::text;

const MAX_FILE_NAME_BYTES: usize = 64;

/// Name of a rule file, without directories.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RuleFileName(String);

impl FromStr for RuleFileName {
    type Err = RuleFileError;

    fn from_str(text: &str) -> Result<Self, RuleFileError> {
        let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
        let is_name =
            (1..=MAX_FILE_NAME_BYTES).contains(&text.len()) && text.chars().all(is_allowed);
        // A path segment that consists only of dots refers to a directory.
        if !is_name || text.chars().all(|c| c == '.') {
            return Err(RuleFileError(
                text.chars().take(MAX_FILE_NAME_BYTES).collect(),
            ));
        }
        Ok(Self(text.to_owned()))
    }
}

impl Display for RuleFileName {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Error of an invalid rule file name.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error(
    "rule file name {0:?} is not valid; \
     expected 1 to {MAX_FILE_NAME_BYTES} letters, digits, '-', '_' or '.', without folders"
)]
pub struct RuleFileError(String);

/// Response to `PUT /v1/rules/{file}`, whose body is the file byte for byte.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RulesAccepted {
    /// Name of the file, from the request path.
    #[serde(with = "text")]
    pub file: RuleFileName,
    /// Version of the file, from 1.
    pub version: u64,
    /// Id of the change, from the header `x-change-id`.
    #[serde(with = "text")]
    pub change_id: IdempotencyKey,
    /// Number of groups in the file.
    pub groups: u32,
    /// Number of rules in the file.
    pub rules: u32,
}

/// State of one rule file.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RuleFileStatus {
    /// Name of the file, unique at the site.
    #[serde(with = "text")]
    pub file: RuleFileName,
    /// Version of the file, from 1.
    pub version: u64,
    /// Id of the change that created this version.
    #[serde(with = "text")]
    pub change_id: IdempotencyKey,
    /// Number of rules in the file.
    pub rules: u32,
    /// Last evaluation time, in seconds since the Unix epoch: the earliest of the file's
    /// groups. `None` before the first evaluation.
    #[serde(default)]
    pub last_evaluated: Option<f64>,
    /// Time from the last evaluation time until now, in seconds.
    #[serde(default)]
    pub lag_s: Option<f64>,
    /// Alerts that are pending or firing.
    #[serde(default)]
    pub alerts: Vec<AlertStatus>,
}

/// An alert that is pending or firing.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AlertStatus {
    /// Name of the alerting rule; the same as the label `alertname`.
    pub name: String,
    /// Whether the alert is pending or firing.
    pub state: AlertState,
    /// Labels, including `alertname`.
    pub labels: BTreeMap<String, String>,
    /// Evaluation time since which the alert is active, in seconds since the Unix epoch.
    pub active_since: f64,
    /// Latest value of the expression, in decimal notation without an exponent.
    pub value: String,
}

/// State of an active alert.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AlertState {
    /// The expression holds, but not yet for the duration that the rule requires.
    Pending,
    /// The expression holds for the duration that the rule requires.
    Firing,
}

impl Display for AlertState {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Pending => "pending",
            Self::Firing => "firing",
        })
    }
}

/// Response to `GET /v1/rules`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RulesStatus {
    /// Rule files, ordered by name.
    pub files: Vec<RuleFileStatus>,
    /// Newest durable transitions, in order of evaluation.
    #[serde(default)]
    pub transitions: Vec<AlertTransition>,
}

/// A durable change of an alert's state.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AlertTransition {
    /// Sequence number in order of evaluation, without gaps.
    pub number: u64,
    /// Id of the transition; the same as in the log.
    pub id: String,
    /// Name of the rule file.
    pub file: String,
    /// `pending`, `firing`, `resolved`, or `inactive` for a pending alert that ended.
    pub kind: String,
    /// Labels, with the alert's name as `alertname`.
    pub labels: BTreeMap<String, String>,
    /// Annotations of the alert, expanded.
    pub annotations: BTreeMap<String, String>,
    /// Latest value of the expression, in decimal notation without an exponent.
    pub value: String,
    /// Evaluation time of the transition, in seconds since the Unix epoch.
    pub at: f64,
    /// Evaluation time since which the condition holds, in seconds since the Unix epoch.
    pub active_since: f64,
    /// Whether the log line and the metric are known to have been written.
    pub emitted: bool,
}
