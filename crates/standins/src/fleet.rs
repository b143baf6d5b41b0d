//! Stand-ins for the metadata store and the workers of the users' platform, which
//! speak its published protocol, each as a separate process.

mod bodies;
mod http;
mod late;
mod rows;
mod runs;
mod store;
mod wire;
mod worker;

pub use bodies::{QueueConfig, gang_body, job_body};
pub use late::{LateCall, LateCalls};
pub use rows::{Rows, TransactError};
pub use runs::{OrderRefusal, Runs, RunsSettings};
pub use store::serve_store;
pub use wire::{
    StoreFaults, WireLists, WireRenewal, WireRow, WireRows, WireStart, WireStop, WireTransaction,
};
pub use worker::{WorkerSettings, serve_worker};
