//! Calls of an agent to its worker.

use std::time::Duration;

use cumindeck_types::{FencingToken, RunNumber, WorkerId};
use thiserror::Error;

use crate::TaskId;
use crate::exchange::EndReport;

/// Time after which a call without an answer is not carried out any more, as stated by the
/// platform's bench (2 to 12 s).
pub(super) const MAX_CALL_DELAY: Duration = Duration::from_secs(12);

/// Lease renewal: a call that extends the leases and returns the run lists.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RenewCall {
    /// Worker that must handle the call; any other one rejects it.
    pub worker: WorkerId,
    /// End of all leases on the worker's clock; `None` if they are not extended.
    pub until_ms: Option<u64>,
    /// Token of the call; the worker rejects calls with an older one.
    pub token: FencingToken,
    /// Ends that the worker may drop after the renewal.
    pub acknowledgement: Option<Acknowledgement>,
    /// Maximum wait of the worker for an end.
    pub wait: Duration,
}

/// Recorded ends, which the worker may drop.
///
/// It must reach only the incarnation that it is meant for, so it is sent after an answer of
/// that incarnation and on the same connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Acknowledgement {
    /// Start time of the incarnation in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Number up to which the ends are recorded.
    pub up_to: u64,
}

/// What became of the acknowledgement of a renewal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AckOutcome {
    /// There was none, or the worker has not received it and will not.
    NotSent,
    /// The worker has dropped the ends.
    Done,
    /// The worker may have carried it out or may do so later.
    Unknown,
}

/// The worker's run lists.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RenewReply {
    /// Start time of the incarnation in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Reading of the worker's clock in milliseconds.
    pub clock_ms: u64,
    /// Active runs: task, run, checkpoint, percent.
    pub active: Vec<(TaskId, RunNumber, String, u32)>,
    /// Ends that are not acknowledged.
    pub ends: Vec<EndReport>,
    /// Whether these are all active runs and ends; a worker lists a limited number of ends
    /// at a time.
    pub is_complete: bool,
    /// What became of the acknowledgement.
    pub acknowledgement: AckOutcome,
}

/// Why a lease renewal has no reply; the texts are for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Error)]
pub enum RenewFailure {
    /// The worker has not received the call and will not.
    #[error("{0}")]
    NotSent(String),
    /// Another worker is at the address and has rejected the call.
    #[error("another worker is there")]
    OtherWorker,
    /// The worker has seen a newer token and has not carried the call out.
    #[error("the worker has seen a newer token")]
    StaleToken,
    /// The worker may have carried the call out or may do so later.
    #[error("{0}")]
    Unknown(String),
}

/// A call that starts a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartCall {
    /// Worker that must handle the call; any other one rejects it.
    pub worker: WorkerId,
    /// Task to run.
    pub task: TaskId,
    /// Number of the run; tasks of a gang that run together share it.
    pub run: RunNumber,
    /// What the task runs; only the worker interprets it.
    pub payload: String,
    /// Checkpoint to resume from; empty if there is none.
    pub checkpoint: String,
    /// Ticket of the adviser; empty if none is needed.
    pub ticket: String,
    /// Latest start on the worker's clock, in milliseconds; the run's lease until then.
    pub until_ms: u64,
    /// Token of the call; the worker rejects calls with an older one.
    pub token: FencingToken,
    /// Start time of the only incarnation that may get the call, in milliseconds since the
    /// Unix epoch: it is sent after an answer of that incarnation and on the same connection.
    pub only_to: Option<u64>,
}

/// Outcome of a start, as far as the agent knows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StartOutcome {
    /// The worker runs it.
    Started,
    /// The worker refused it; the run does not run and will not.
    Refused(String),
    /// It has reached the worker after the latest start; the run does not run and will not.
    Late,
    /// There was no reply; the run may be active or may start later.
    Unknown(String),
}

/// Action that the owner of the agent's core performs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AgentEffect {
    /// Start a run.
    Start(StartCall),
    /// Stop a run.
    Stop {
        /// Worker that must handle the call; any other one rejects it.
        worker: WorkerId,
        /// Task whose run is stopped.
        task: TaskId,
        /// Number of the run; it need not be active yet.
        run: RunNumber,
        /// Token of the call; the worker rejects calls with an older one.
        token: FencingToken,
    },
}
