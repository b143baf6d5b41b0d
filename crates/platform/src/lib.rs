//! Clients of the platform: its table service, its object store and its workers.
//!
//! Each of them is a trait object at the border of the system, so that an
//! adapter to another platform is one small file. The adapters here speak HTTP
//! with JSON to the platform stand-in.
//!
//! | Call | Meaning |
//! |---|---|
//! | `POST /v1/tables/read` | rows of several ranges, read at one revision |
//! | `POST /v1/tables/commit` | transaction with conditions on versions |
//! | `GET`, `PUT /v1/objects/{key}` | object store |
//! | `POST /v1/workers/{worker}/tasks` | prepare a task |
//! | `POST /v1/workers/{worker}/tasks/{task}/start`, `/stop`, `/checkpoint` | orders to a task |
//! | `POST /v1/workers/{worker}/lease` | extend the lease of all tasks |
//! | `GET /v1/workers/{worker}/tasks` | state of the tasks |
//! | `GET /v1/usage` | usage reports, with a lag |

pub mod api;
mod http;
mod objects;
mod tables;
mod usage;
mod workers;

pub use http::{HttpClient, HttpError};
pub use objects::{HttpObjects, ObjectStore};
pub use tables::{
    Commit, Condition, HttpTables, Range, Row, RowVersion, StoreError, TableStore, Transaction,
    Write,
};
pub use usage::{HttpUsage, UsageSource};
pub use workers::{
    HttpWorker, PrepareTask, RuntimeError, RuntimeTaskId, RuntimeTaskPhase, RuntimeTaskState,
    WorkerRuntime,
};
