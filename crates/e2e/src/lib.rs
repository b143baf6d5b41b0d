//! Harness for tests over real processes on loopback: starts the stand-ins,
//! entries and agents of a small site, and kills, freezes and calls them.
//!
//! The binaries must have been built (`cargo build --workspace --bins`).

mod client;
mod probe;
mod process;
mod relay;
mod site;

pub use client::{Client, Reply};
pub use probe::{Task, job, new_key};
pub use process::{Process, free_port};
pub use relay::{Fault, Flow, Relay};
pub use site::{AGENTS, SiteOptions, TestSite, wait_for};
