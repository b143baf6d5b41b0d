//! A whole small site in one process on loopback: the platform stand-in, two
//! entries, and an agent with a backend stand-in for each worker.
//!
//! The site is Plume's sample: its base file and overlay are applied at the
//! start, and the workers are those that the overlay describes.

mod layout;
mod site;

pub use layout::{EntryPlace, LocalLayout, WorkerPlace};
pub use site::{LocalOptions, run_local};
