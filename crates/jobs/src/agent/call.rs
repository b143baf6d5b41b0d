//! Calls of an agent to its worker.

use std::time::Duration;

use cumindeck_types::{FencingToken, RunNumber, WorkerId};

use crate::TaskId;
use crate::exchange::EndReport;

/// A call that extends leases and reads the worker's lists.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HoldCall {
    /// Worker that is meant.
    pub worker: WorkerId,
    /// End of all leases on the worker's clock, if they may be extended.
    pub until_ms: Option<u64>,
    /// Fencing token of the holder.
    pub token: FencingToken,
    /// Ends up to this number are recorded and may be forgotten.
    pub recorded_ends: u64,
    /// Longest wait for an end.
    pub wait: Duration,
}

/// The worker's lists.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HoldReply {
    /// Start of the worker's life in milliseconds since the Unix epoch, if it names it.
    pub born_ms: Option<u64>,
    /// The worker's clock in milliseconds.
    pub clock_ms: u64,
    /// Runs that are at work: task, run, checkpoint, percent.
    pub active: Vec<(TaskId, RunNumber, String, u32)>,
    /// Ends that are not acknowledged.
    pub ends: Vec<EndReport>,
}

/// A call that starts a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartCall {
    /// Worker that is meant.
    pub worker: WorkerId,
    /// Task.
    pub task: TaskId,
    /// Run.
    pub run: RunNumber,
    /// What the task runs.
    pub payload: String,
    /// Checkpoint to resume from; empty if there is none.
    pub checkpoint: String,
    /// Ticket of the adviser; empty if none is needed.
    pub ticket: String,
    /// Latest start on the worker's clock.
    pub until_ms: u64,
    /// Fencing token of the holder.
    pub token: FencingToken,
}

/// What became of a start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StartOutcome {
    /// The worker runs it.
    Started,
    /// The worker refused; it does not run and will not.
    Refused(String),
    /// No answer; it may run now or start later.
    Unknown(String),
}

/// What the agent's tasks carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AgentEffect {
    /// Start a run.
    Start(StartCall),
    /// Stop a run.
    Stop {
        /// Worker that is meant.
        worker: WorkerId,
        /// Task.
        task: TaskId,
        /// Run.
        run: RunNumber,
        /// Fencing token of the holder.
        token: FencingToken,
    },
}
