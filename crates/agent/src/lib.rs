//! Agent process beside a backend server.
//!
//! [`core`] holds every decision and has no I/O. Round it stand tasks that own
//! their sockets: the core task, the announcer, the backend transport and the
//! worker's runtime.

mod announcer;
mod backend;
pub mod core;
mod core_task;
mod handler;
mod process;
mod runtime_task;

pub use backend::{BackendError, BackendTransport, HttpBackend};
pub use process::{AgentParts, run_agent};
