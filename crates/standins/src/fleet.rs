//! Stand-ins that speak the users' platform's published protocol: its metadata
//! store and its workers, each a process of its own.

mod bodies;
mod http;
mod rows;
mod runs;
mod store;
mod wire;
mod worker;

pub use bodies::{QueueBody, job_body};
pub use rows::{Rows, TransactError};
pub use runs::{Refusal, Runs, RunsSettings};
pub use store::serve_store;
pub use wire::{
    StoreFaults, WireHold, WireLists, WireRow, WireRows, WireStart, WireStop, WireTransaction,
};
pub use worker::{WorkerSettings, serve_worker};
