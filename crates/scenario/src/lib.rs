//! Scripted failure scenarios for the state machines, with a virtual clock.
//!
//! A [`Simulation`] simulates entries, agents with their workers and a table service. All
//! of them run the state machines of `cumindeck-control` and exchange messages over
//! links that a scenario can cut or slow down; it can also pause or kill processes.
//! The invariants are checked after every step.
//!
//! Scenario files are in `tests/scenarios`; [`Command`] lists their commands.
//! `REWRITE=1` writes the traces into the files for review. `CUMINDECK_SEEDS=20000`
//! runs more pairs of failures, `CUMINDECK_SEEDS=17..18` a single one.

mod agent;
mod check;
mod command;
mod entry;
mod generate;
mod jobs;
mod message;
mod net;
mod safeguard;
mod simulation;
mod store;
mod worker;

pub use check::Violation;
pub use command::{Command, CommandError};
pub use generate::{Outcome, simulate_seed};
pub use message::NodeId;
pub use safeguard::Safeguard;
pub use simulation::{STEP, Simulation};
