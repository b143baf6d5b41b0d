//! Harness for tests with real processes on loopback. It starts the stand-ins, entries
//! and agents of a small site, kills and pauses them, and calls them.
//!
//! The binaries must have been built (`cargo build --workspace --bins`).

mod client;
mod crowd;
mod probe;
mod process;
mod relay;
mod site;
mod usage;

pub use client::{Client, Response};
pub use crowd::{Crowd, Load, Target};
pub use probe::{Task, job, new_key};
pub use process::{Process, free_port};
pub use relay::{Fault, Flow, Relay};
pub use site::{AGENTS, SiteOptions, TestSite, wait_for};
pub use usage::Usage;
