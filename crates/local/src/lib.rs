//! A small site in one process on loopback: the platform stand-in, an entry for each
//! region, and an agent with a backend stand-in for each worker.
//!
//! The site is one of the sample sites. Its base file and overlay are applied at the
//! start, and the overlay describes the workers.

mod layout;
mod site;

pub use layout::{EntryLocation, LocalLayout, WorkerLocation};
pub use site::{LocalOptions, run_local};
