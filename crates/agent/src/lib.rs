//! Agent process beside a backend server.
//!
//! This is the agent of the request path and of a site's gangs; the agent that runs the
//! platform's jobs is in `cumindeck-dispatch`.
//!
//! [`core`] makes all decisions, without I/O. The tasks around it own the sockets: the
//! core task, the announcer, the backend transport and the worker's runtime.

mod announcer;
mod backend;
pub mod core;
mod core_task;
mod handler;
mod process;
mod runtime_task;

pub use backend::{BackendError, BackendTransport, HttpBackend};
pub use process::{AgentParts, run_agent};
