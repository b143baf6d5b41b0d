//! Harness for tests over real processes on loopback: starts the stand-ins,
//! entries and agents of a small site, and kills, freezes and calls them.
//!
//! The binaries must have been built (`cargo build --workspace --bins`).

mod client;
mod process;
mod site;

pub use client::{Client, Reply};
pub use process::{Process, free_port};
pub use site::{AGENTS, TestSite, wait_for};
