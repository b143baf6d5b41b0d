//! Clients of the platform: its table service (the store), object store, workers and
//! usage reports.
//!
//! Each service has a trait, so that support for another platform needs only new
//! implementations. The implementations here use HTTP with JSON, the protocol of the
//! platform stand-in.
//!
//! | Call | Meaning |
//! |---|---|
//! | `POST /v1/tables/read` | read the rows of several ranges atomically |
//! | `POST /v1/tables/commit` | apply a transaction with conditions on row versions |
//! | `GET`, `PUT /v1/objects/{key}` | read or write an object |
//! | `POST /v1/workers/{worker}/tasks` | prepare a task |
//! | `POST /v1/workers/{worker}/tasks/{task}/start`, `/stop`, `/checkpoint` | orders to a task |
//! | `POST /v1/workers/{worker}/lease` | extend the leases of all tasks |
//! | `GET /v1/workers/{worker}/tasks` | read the states of the tasks |
//! | `GET /v1/usage` | read usage reports, which arrive with a lag |

pub mod api;
mod connection;
mod http;
mod objects;
mod tables;
mod usage;
mod workers;

pub use connection::HttpConnection;
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
