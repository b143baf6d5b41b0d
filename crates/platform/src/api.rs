//! JSON bodies of the platform's HTTP interface, shared with the stand-in.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// A range of keys in a table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RangeBody {
    /// Table.
    pub table: String,
    /// Common start of the keys.
    pub prefix: String,
}

/// A row with its version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowBody {
    /// Table.
    pub table: String,
    /// Key.
    pub key: String,
    /// Version, which grows with each write to the row.
    pub version: u64,
    /// Value.
    pub value: String,
}

/// Body of `POST /v1/tables/read`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadBody {
    /// Ranges to read.
    pub ranges: Vec<RangeBody>,
}

/// Answer of `POST /v1/tables/read`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowsBody {
    /// Rows, sorted by table and key.
    pub rows: Vec<RowBody>,
}

/// A condition on the version of a row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConditionBody {
    /// Table.
    pub table: String,
    /// Key.
    pub key: String,
    /// Expected version; absent if the row must not exist.
    pub version: Option<u64>,
}

/// A write to a row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriteBody {
    /// Table.
    pub table: String,
    /// Key.
    pub key: String,
    /// New value; absent to delete the row.
    pub value: Option<String>,
}

/// Body of `POST /v1/tables/commit`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommitBody {
    /// Conditions that must all hold.
    pub conditions: Vec<ConditionBody>,
    /// Writes that are applied all or not at all.
    pub writes: Vec<WriteBody>,
}

/// Answer of `POST /v1/tables/commit`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "kebab-case")]
pub enum CommitReply {
    /// All writes are applied, under this version.
    Committed {
        /// Version of all rows written.
        version: u64,
    },
    /// A condition did not hold; nothing is applied.
    Conflict {
        /// Table of the row.
        table: String,
        /// Key of the row.
        key: String,
        /// Version found; absent if the row doesn't exist.
        found: Option<u64>,
    },
}

/// Body of `POST /v1/workers/{worker}/tasks`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrepareBody {
    /// Task.
    pub task: String,
    /// Indices of the accelerators.
    pub accelerators: Vec<u32>,
    /// Command to run.
    pub command: String,
    /// Lease; the worker stops the task when it ends.
    pub lease_ms: u64,
}

/// Body of `POST /v1/workers/{worker}/tasks/{task}/start`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartBody {
    /// The body starts within this time or not at all.
    pub not_after_ms: u64,
}

/// Body of `POST /v1/workers/{worker}/lease`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseBody {
    /// New lease of all tasks, from now.
    pub lease_ms: u64,
}

/// State of a task at its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskPhaseBody {
    /// Prepared, not started.
    Prepared,
    /// Running.
    Running,
    /// Ended well.
    Succeeded,
    /// Ended with an error.
    Failed,
    /// Stopped by order or at the end of its lease.
    Stopped,
}

/// A task at its worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskBody {
    /// Task.
    pub task: String,
    /// State.
    pub phase: TaskPhaseBody,
    /// Detail for operators.
    pub detail: String,
    /// Milliseconds since the body started; absent if it never did.
    #[serde(default)]
    pub started_ms_ago: Option<u64>,
}

/// Answer of `GET /v1/workers/{worker}/tasks`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TasksBody {
    /// Tasks.
    pub tasks: Vec<TaskBody>,
}

/// A sample of a series.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SampleBody {
    /// Number of the report; grows with each report.
    pub sequence: u64,
    /// Labels, with the metric's name as `__name__`.
    pub labels: BTreeMap<String, String>,
    /// Time in milliseconds since the Unix epoch.
    pub time_ms: i64,
    /// Value; absent for a staleness marker.
    pub value: Option<f64>,
}

/// Answer of `GET /v1/usage?after=SEQUENCE`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UsageBody {
    /// All reports up to this time have arrived, in milliseconds since the epoch.
    pub watermark_ms: i64,
    /// Samples, sorted by sequence.
    pub samples: Vec<SampleBody>,
}

/// Body of `PUT /v1/faults`: switches of the stand-in.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct FaultsBody {
    /// Whether the table service refuses every call.
    pub tables_down: bool,
    /// Delay of each call of the table service.
    pub tables_slow_ms: u64,
    /// Number of commits whose answer is lost after they took effect.
    pub lose_commit_answers: u32,
    /// Whether the object store refuses every call.
    pub objects_down: bool,
    /// Workers on which every task fails at once.
    pub failing_workers: Vec<String>,
}

/// Body of an error answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// What went wrong.
    pub error: String,
}
