//! Inputs and effects of the leadership of rule evaluation.

use std::time::Duration;

use cumindeck_config::RuleSettings;
use cumindeck_rules::{EventTime, Labels, SampleValue};
use cumindeck_types::{FencingToken, Uptime};

use super::rows::TransitionRow;
use crate::event::{OperatorCallId, RowWrite};
use crate::rows::RowRange;

/// Inputs of the decisions about alert rules.
#[derive(Debug, Clone, Copy)]
pub struct AlertsCx {
    /// Time of the current step.
    pub now: Uptime,
    /// Wall-clock time since the Unix epoch.
    pub wall: Duration,
    /// Settings in force.
    pub settings: RuleSettings,
}

/// Usage reports that were read together.
#[derive(Debug, Clone, PartialEq)]
pub struct UsageReport {
    /// Time up to which all reports have arrived, according to the platform.
    pub watermark: EventTime,
    /// Samples in the order of their sequence numbers.
    pub samples: Vec<UsageSample>,
}

/// A sample of a usage report.
#[derive(Debug, Clone, PartialEq)]
pub struct UsageSample {
    /// Number of the report, starting at 1.
    pub sequence: u64,
    /// Labels with the metric name.
    pub labels: Labels,
    /// Time that the platform reported for the sample.
    pub at: EventTime,
    /// Value; [`SampleValue::STALE`] if the platform reported none.
    pub value: SampleValue,
}

/// Identifies a read about alert rules.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AlertsRead {
    /// The whole table `rules`, for the load with this number.
    Load(u64),
    /// The state row after a write with an unknown outcome, for this load.
    StateReadBack(u64),
    /// The rule files, for an operator's change.
    Put(OperatorCallId),
    /// The whole table `rules`, for an operator.
    List(OperatorCallId),
}

/// Identifies a commit about alert rules.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AlertsCommit {
    /// A write of the leader lease, with its number and the token if that is new.
    Leader(u64, Option<FencingToken>),
    /// The state of the evaluation, for the load with this number.
    State(u64),
    /// An operator's change.
    Put(OperatorCallId),
}

/// An action that the owner of an [`AlertsLeadership`](super::AlertsLeadership) performs.
#[derive(Debug)]
pub enum AlertsEffect {
    /// Read the polled rows as soon as possible.
    Poll,
    /// Read rows, then call [`on_read`](super::AlertsLeadership::on_read).
    Read(AlertsRead, Vec<RowRange>),
    /// Commit writes, then call [`on_commit`](super::AlertsLeadership::on_commit).
    Commit(AlertsCommit, Vec<RowWrite>),
    /// Read usage reports, then call [`on_usage`](super::AlertsLeadership::on_usage).
    ReadUsage {
        /// Number of the load, by which reports for an earlier load are recognised.
        generation: u64,
        /// Last sequence number that was read.
        after: u64,
    },
    /// An event for the log.
    Notice(AlertNotice),
}

/// An event of the alert rules for the log.
#[derive(Debug, Clone, PartialEq)]
pub enum AlertNotice {
    /// This entry became the leader.
    LeadershipAcquired(FencingToken),
    /// This entry is no longer the leader.
    LeadershipLost,
    /// The files and the state were loaded.
    Loaded {
        /// Files that are evaluated.
        files: usize,
        /// Durable transitions that are emitted again or for the first time.
        unemitted: usize,
    },
    /// A stored transition of an alert; may repeat after a takeover, with the same id.
    Transition(Box<TransitionRow>),
    /// A stored file that cannot be evaluated and is skipped.
    FileRefused {
        /// Name under which the file is stored.
        file: String,
        /// Error in the file, with its line and a hint.
        error: String,
    },
    /// A rule could not be evaluated.
    RuleFailed {
        /// Name of the file that contains the rule.
        file: String,
        /// Line of the rule in its file, starting at 1.
        line: usize,
        /// Evaluation time at which the rule failed.
        at: EventTime,
        /// Text of the evaluation error, for the log.
        error: String,
    },
    /// Samples that were not added to the window.
    SamplesRefused {
        /// Samples older than the watermark minus the lag bound.
        late: usize,
        /// Samples that exceeded the size of the window.
        full: usize,
        /// Samples too far ahead of the watermark.
        ahead: usize,
    },
}
