//! What the duty `rules` takes in and returns.

use std::time::Duration;

use cumindeck_config::RuleSettings;
use cumindeck_rules::{EventTime, Labels, SampleValue};
use cumindeck_types::{FencingToken, Uptime};

use super::rows::TransitionRow;
use crate::event::{OperatorCall, RowWrite};
use crate::rows::RowRange;

/// What the decisions are based on.
#[derive(Debug, Clone, Copy)]
pub struct AlertsCx {
    /// Time of the step.
    pub now: Uptime,
    /// Wall-clock time since the Unix epoch.
    pub wall: Duration,
    /// Settings in force.
    pub settings: RuleSettings,
}

/// Usage reports that were read together.
#[derive(Debug, Clone, PartialEq)]
pub struct UsageReport {
    /// All reports up to this time have arrived, as the platform says.
    pub watermark: EventTime,
    /// Samples in the order of their sequence numbers.
    pub samples: Vec<UsageSample>,
}

/// A sample of a usage report.
#[derive(Debug, Clone, PartialEq)]
pub struct UsageSample {
    /// Number of the report, from 1.
    pub sequence: u64,
    /// Labels with the metric name.
    pub labels: Labels,
    /// Time of the sample.
    pub at: EventTime,
    /// Value.
    pub value: SampleValue,
}

/// Names a read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AlertsRead {
    /// The whole table `rules`, for the load with this number.
    Load(u64),
    /// The state row after a write without an outcome, under this load.
    StateBack(u64),
    /// The rule files, for an operator's change.
    Put(OperatorCall),
    /// The whole table `rules`, for an operator.
    List(OperatorCall),
}

/// Names a commit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AlertsCommit {
    /// A write of the duty lease, with its number and the token it writes.
    Duty(u64, Option<FencingToken>),
    /// The state of the evaluation under a load.
    State(u64),
    /// An operator's change.
    Put(OperatorCall),
}

/// What the owner of an [`AlertsDuty`](super::AlertsDuty) does next.
#[derive(Debug)]
pub enum AlertsEffect {
    /// Read the heads as soon as possible.
    ReadHeads,
    /// Read rows, then call [`AlertsDuty::on_read`](super::AlertsDuty::on_read).
    Read(AlertsRead, Vec<RowRange>),
    /// Commit writes, then call [`AlertsDuty::on_commit`](super::AlertsDuty::on_commit).
    Commit(AlertsCommit, Vec<RowWrite>),
    /// Read usage reports, then call [`AlertsDuty::on_usage`](super::AlertsDuty::on_usage).
    ReadUsage {
        /// Number of the load.
        generation: u64,
        /// Last sequence number that was read.
        after: u64,
    },
    /// Something that operators want to see in the log.
    Notice(AlertNotice),
}

/// Something about alert rules that operators want to see in the log.
#[derive(Debug, Clone, PartialEq)]
pub enum AlertNotice {
    /// This entry holds the duty now.
    DutyAcquired(FencingToken),
    /// This entry no longer holds the duty.
    DutyLost,
    /// The files and the state were loaded.
    Loaded {
        /// Files that are evaluated.
        files: usize,
        /// Durable transitions that are emitted again or for the first time.
        unemitted: usize,
    },
    /// A durable transition.
    Transition(Box<TransitionRow>),
    /// A stored file is not evaluated.
    FileRefused {
        /// The file.
        file: String,
        /// Why.
        error: String,
    },
    /// A rule could not be evaluated at an instant.
    RuleFailed {
        /// The file.
        file: String,
        /// Line of the rule.
        line: usize,
        /// The instant.
        at: EventTime,
        /// Why.
        error: String,
    },
    /// Samples that were not taken in.
    SamplesRefused {
        /// Samples behind the watermark and the lag.
        late: usize,
        /// Samples beyond the size of the window.
        full: usize,
        /// Samples too far ahead of the watermark.
        ahead: usize,
    },
}
