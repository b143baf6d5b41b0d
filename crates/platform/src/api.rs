//! JSON bodies of the platform's HTTP API, shared with the platform stand-in.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// A range of keys in a table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RangeBody {
    /// Table name.
    pub table: String,
    /// Prefix that the keys have in common; empty for the whole table.
    pub prefix: String,
}

/// A row with its version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowBody {
    /// Table name.
    pub table: String,
    /// Key within the table.
    pub key: String,
    /// Version, which grows with each write to the row.
    pub version: u64,
    /// Value, which the table service does not interpret.
    pub value: String,
}

/// Body of `POST /v1/tables/read`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadBody {
    /// Ranges to read.
    pub ranges: Vec<RangeBody>,
}

/// Response of `POST /v1/tables/read`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowsBody {
    /// Rows, sorted by table and key.
    pub rows: Vec<RowBody>,
}

/// A condition on the version of a row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConditionBody {
    /// Table name.
    pub table: String,
    /// Key within the table.
    pub key: String,
    /// Expected version; absent if the row must not exist.
    pub version: Option<u64>,
}

/// A write to a row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriteBody {
    /// Table name.
    pub table: String,
    /// Key within the table.
    pub key: String,
    /// New value; absent to delete the row.
    pub value: Option<String>,
}

/// Body of `POST /v1/tables/commit`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommitBody {
    /// Conditions that must all hold.
    pub conditions: Vec<ConditionBody>,
    /// Writes that are applied atomically.
    pub writes: Vec<WriteBody>,
}

/// Response of `POST /v1/tables/commit`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "kebab-case")]
pub enum CommitReply {
    /// All writes were applied, under this version.
    Committed {
        /// Version of all rows written.
        version: u64,
    },
    /// A condition did not hold; nothing was applied.
    Conflict {
        /// Table of the row that did not match.
        table: String,
        /// Key of the row that did not match.
        key: String,
        /// Version found; absent if the row doesn't exist.
        found: Option<u64>,
    },
}

/// Body of `POST /v1/workers/{worker}/tasks`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrepareBody {
    /// Identifier of the task, of the form `JOB:ATTEMPT:TASK`.
    pub task: String,
    /// Indices of the worker's accelerators.
    pub accelerators: Vec<u32>,
    /// Command to run.
    pub command: String,
    /// Duration of the lease in milliseconds, counted from receipt; the worker stops the
    /// task when the lease expires.
    pub lease_ms: u64,
}

/// Body of `POST /v1/workers/{worker}/tasks/{task}/start`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartBody {
    /// Duration from receipt, in milliseconds, after which the worker no longer starts
    /// the task process.
    pub not_after_ms: u64,
}

/// Body of `POST /v1/workers/{worker}/lease`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseBody {
    /// New duration of the leases of all tasks in milliseconds, counted from receipt.
    pub lease_ms: u64,
}

/// Phase of a task at its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskPhaseBody {
    /// Prepared, not started.
    Prepared,
    /// The task process was started and has not ended.
    Running,
    /// Ended successfully.
    Succeeded,
    /// Ended with an error.
    Failed,
    /// Stopped by order or because its lease expired.
    Stopped,
}

/// A task at its worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskBody {
    /// Identifier under which the task was prepared.
    pub task: String,
    /// Phase at the time of the response.
    pub phase: TaskPhaseBody,
    /// Detail for operators.
    pub detail: String,
    /// Milliseconds since the task process started; absent if it never started.
    #[serde(default)]
    pub started_ms_ago: Option<u64>,
}

/// Response of `GET /v1/workers/{worker}/tasks`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TasksBody {
    /// All tasks that the worker knows, ended ones included.
    pub tasks: Vec<TaskBody>,
}

/// A sample of a usage series.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SampleBody {
    /// Sequence number of the sample, which grows with each sample.
    pub sequence: u64,
    /// Labels, with the metric name as `__name__`.
    pub labels: BTreeMap<String, String>,
    /// Time in milliseconds since the Unix epoch.
    pub time_ms: i64,
    /// Value; absent for a staleness marker.
    pub value: Option<f64>,
}

/// Response of `GET /v1/usage?after=SEQUENCE`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UsageBody {
    /// Time in milliseconds since the Unix epoch up to which all samples have arrived.
    pub watermark_ms: i64,
    /// Samples, sorted by sequence number.
    pub samples: Vec<SampleBody>,
}

/// Body of `PUT /v1/faults`: faults injected into the platform stand-in.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct FaultsBody {
    /// Whether the table service rejects every call.
    pub tables_down: bool,
    /// Delay of each call of the table service in milliseconds.
    pub tables_slow_ms: u64,
    /// Number of further commits that take effect but whose response is lost.
    pub lose_commit_answers: u32,
    /// Whether the object store rejects every call.
    pub objects_down: bool,
    /// Workers on which every task fails immediately.
    pub failing_workers: Vec<String>,
}

/// Body of an error response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Description of the error, as free text.
    pub error: String,
}
