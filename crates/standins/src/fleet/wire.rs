//! Bodies of the published protocol, and of the switches of the stand-ins.

use serde::{Deserialize, Serialize};

/// A row of the store, or what a transaction says of one.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct WireRow {
    /// Table.
    pub table: String,
    /// Part of the table.
    pub part: String,
    /// Key.
    pub key: String,
    /// Value in base64.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub value: Option<String>,
    /// Version; in a condition, 0 if the row must not exist.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub row_version: Option<u64>,
    /// Whether a feed tells of a removal.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub deleted: bool,
}

/// A transaction.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct WireTransaction {
    /// Rows with the versions that they must have.
    pub expected_rev: Vec<WireRow>,
    /// Rows to write.
    pub write: Vec<WireRow>,
    /// Rows to remove.
    pub remove: Vec<WireRow>,
}

/// Rows of an answer.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct WireRows {
    /// The rows.
    pub rows: Vec<WireRow>,
    /// Whether more rows follow the last one.
    pub has_more: bool,
    /// Newest version.
    pub row_version: u64,
    /// The store's steady clock in milliseconds.
    pub now_ms: u64,
}

/// Faults of the store stand-in; the operator's writes are spared.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct StoreFaults {
    /// Answers all calls with 503.
    pub is_busy: bool,
    /// Answers no call.
    pub is_silent: bool,
    /// Time in milliseconds by which each answer is late.
    pub delay_ms: u64,
    /// Leaves each so-many-th write that is done without an answer; 0 for none.
    pub lose_every: u64,
    /// Does each so-many-th write 1.5 s late and without an answer; 0 for none.
    pub late_every: u64,
    /// Drops the history that feeds go through, once.
    pub drops_history: bool,
}

/// Order to start a run.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct WireStart {
    /// Name of the task.
    pub task: String,
    /// Number of the run.
    pub run_id: u64,
    /// What it runs.
    pub task_spec: String,
    /// End of the lease on the worker's clock.
    pub until_ms: u64,
    /// Fencing token.
    pub fencing_token: u64,
    /// Checkpoint to resume from.
    pub checkpoint: String,
}

/// Order to stop a run.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct WireStop {
    /// Name of the task.
    pub task: String,
    /// Number of the run.
    pub run_id: u64,
    /// Fencing token.
    pub fencing_token: u64,
}

/// Extension of the lease and acknowledgement of ends.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct WireHold {
    /// End of the lease on the worker's clock.
    pub until_ms: Option<u64>,
    /// Fencing token.
    pub fencing_token: u64,
    /// Ends up to this number are taken note of.
    pub ack_seq: u64,
    /// Longest wait for an end in milliseconds.
    pub wait_ms: u64,
}

/// Lists of a worker.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct WireLists {
    /// The worker's clock.
    pub clock_ms: u64,
    /// Start of the worker's life, Unix milliseconds.
    pub born: u64,
    /// Rows of task, run, checkpoint, percent and load.
    pub active: Vec<(String, u64, String, u64, u64)>,
    /// Rows of number, task, run, outcome, checkpoint.
    pub finished: Vec<(u64, String, u64, String, String)>,
}
