//! Scripted scenarios over the core with a virtual clock.
//!
//! A [`World`] holds entries, agents with their workers and a table service. All
//! of them run the state machines of `cumindeck-control` and exchange messages
//! over links that scenarios cut, slow down or freeze. The promises are checked
//! at every step.
//!
//! Scenario files are in `tests/scenarios`; [`Command`] lists their commands, and
//! `REWRITE=1` writes the traces into them for review. `CUMINDECK_SEEDS=20000`
//! runs more pairs of failures, `CUMINDECK_SEEDS=17..18` a single one.

mod agent;
mod broken;
mod check;
mod command;
mod entry;
mod generate;
mod jobs;
mod message;
mod net;
mod store;
mod worker;
mod world;

pub use broken::Broken;
pub use check::Violation;
pub use command::{Command, CommandError};
pub use generate::{Outcome, run_seed};
pub use message::NodeId;
pub use world::{STEP, World};
