//! JSON bodies of the published protocol and of the fault switches.

use serde::{Deserialize, Serialize};

/// A row of the store, or a condition on one.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct WireRow {
    /// Table; the system may not write to the operator's table, `op`.
    pub table: String,
    /// Part of the table; empty for the operator's rows.
    pub part: String,
    /// Key within the part.
    pub key: String,
    /// Value in base64; absent if the row was removed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub value: Option<String>,
    /// Version of the row; in a condition, 0 if the row must not exist.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub row_version: Option<u64>,
    /// Whether the row was removed; set only in feeds.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub deleted: bool,
}

/// A transaction of the store: all its writes and removals or none.
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

/// Rows in a response of the store.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct WireRows {
    /// Rows of a page by key, of a feed by version, or of a conflict's conditions.
    pub rows: Vec<WireRow>,
    /// Whether more rows follow the last one.
    pub has_more: bool,
    /// Newest version of the store at the time of the response.
    pub row_version: u64,
    /// The store's monotonic clock in milliseconds.
    pub now_ms: u64,
}

/// Injected faults of the store stand-in; they don't affect the operator's writes.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct StoreFaults {
    /// Responds to all calls with status 503.
    pub is_busy: bool,
    /// Responds to no call.
    pub is_silent: bool,
    /// Delay of each response in milliseconds.
    pub delay_ms: u64,
    /// Sends no response to every n-th write, which is applied; 0 for none.
    pub lose_every: u64,
    /// Applies every n-th write 1.5 s late and sends no response; 0 for none.
    pub late_every: u64,
    /// Discards the history that feeds are served from, once.
    pub drops_history: bool,
}

/// Order to start a run.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct WireStart {
    /// Identifier of the task, which the worker does not interpret.
    pub task: String,
    /// Number of the run within the task; later runs have higher numbers.
    pub run_id: u64,
    /// Payload of the task, passed to its process.
    pub task_spec: String,
    /// End of the lease on the worker's clock, in milliseconds.
    pub until_ms: u64,
    /// Fencing token of the sender; one older than the newest seen is rejected.
    pub fencing_token: u64,
    /// Checkpoint to resume from; empty for none.
    pub checkpoint: String,
}

/// Order to stop a run.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct WireStop {
    /// Identifier of the task, which the worker does not interpret.
    pub task: String,
    /// Number of the run; if it is not active, the stop prevents a later start.
    pub run_id: u64,
    /// Fencing token of the sender; one older than the newest seen is rejected.
    pub fencing_token: u64,
}

/// Lease renewal and acknowledgement of finished runs.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct WireRenewal {
    /// New end of the lease on the worker's clock, in milliseconds.
    pub until_ms: Option<u64>,
    /// Fencing token of the sender; one older than the newest seen is rejected.
    pub fencing_token: u64,
    /// Finished runs up to this number are acknowledged.
    pub ack_seq: u64,
    /// Maximum wait for a finished run in milliseconds.
    pub wait_ms: u64,
}

/// Run lists of a worker, in the response to each renewal.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct WireLists {
    /// The worker's clock in milliseconds.
    pub clock_ms: u64,
    /// Start time of the worker's incarnation in Unix milliseconds.
    pub born: u64,
    /// Active runs: task, run, checkpoint, percent done and load.
    pub active: Vec<(String, u64, String, u64, u64)>,
    /// Finished runs: number, task, run, outcome and checkpoint.
    pub finished: Vec<(u64, String, u64, String, String)>,
}
