//! What an agent and the holder of the scheduling duty tell each other.

use std::net::SocketAddr;

use cumindeck_types::{AgentId, AvailabilityZone, FencingToken, Incarnation, RunNumber, WorkerId};
use serde::{Deserialize, Serialize};

use crate::{Room, TaskId};

/// One life of a worker, from its start to its end.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerLife {
    /// Identifier of the worker; it may start again under the same one.
    pub worker: WorkerId,
    /// Start of this life in milliseconds since the Unix epoch.
    pub born_ms: u64,
    /// Service that it belongs to.
    pub service: String,
    /// Availability zone.
    pub zone: AvailabilityZone,
    /// Room for tasks.
    pub capacity: Room,
    /// Labels, such as its kind and its rack.
    pub labels: Vec<String>,
    /// Whether it takes no new tasks.
    pub is_draining: bool,
    /// Least time until it leaves in milliseconds, if it has said so.
    pub leaves_in_ms: Option<u64>,
}

impl WorkerLife {
    /// Tells whether both are the same life.
    #[must_use]
    pub fn is(&self, worker: &WorkerId, born_ms: u64) -> bool {
        self.worker == *worker && self.born_ms == born_ms
    }

    /// Returns the rack: the last label.
    #[must_use]
    pub fn rack(&self) -> &str {
        self.labels.last().map_or("", String::as_str)
    }
}

/// State of a run at its agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunState {
    /// The worker has been told to start it and has not confirmed.
    Starting,
    /// It runs.
    Active {
        /// Progress in percent.
        percent: u32,
        /// Newest checkpoint; empty if there is none.
        checkpoint: String,
    },
    /// It has certainly not started and will not.
    NotStarted {
        /// Reason for logs and placement.
        reason: String,
    },
}

/// A run at its agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunReport {
    /// Task.
    pub task: TaskId,
    /// Run.
    pub run: RunNumber,
    /// State.
    pub state: RunState,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunEnd {
    /// It succeeded.
    Done,
    /// It failed by its own fault or the worker's.
    Failed,
    /// It was stopped.
    Stopped,
    /// Its lease ran out.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not come.
    Alone,
}

/// An end that the worker keeps until it is acknowledged.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndReport {
    /// Number of the end in this life of the worker, from 1.
    pub number: u64,
    /// Task.
    pub task: TaskId,
    /// Run.
    pub run: RunNumber,
    /// How it ended.
    pub end: RunEnd,
    /// Newest checkpoint; empty if there is none.
    pub checkpoint: String,
}

/// What an agent tells the holder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentReport {
    /// Agent.
    pub agent: AgentId,
    /// Start of the agent's process.
    pub incarnation: Incarnation,
    /// Number of the report in this incarnation.
    pub sequence: u64,
    /// The worker; none while it is unknown or after it has left.
    pub life: Option<WorkerLife>,
    /// Whether the worker's own lists have been read.
    pub has_lists: bool,
    /// Runs.
    pub runs: Vec<RunReport>,
    /// Ends that are not acknowledged.
    pub ends: Vec<EndReport>,
    /// Longest wait for orders in milliseconds.
    pub wait_ms: u64,
    /// Newest token that the agent knows; an entry that knows no newer one keeps
    /// the report until it does or the wait is over.
    pub known_token: FencingToken,
}

/// What the holder wants of an agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Order {
    /// Start a run.
    Start {
        /// Task.
        task: TaskId,
        /// Run.
        run: RunNumber,
        /// What the task runs.
        payload: String,
        /// Checkpoint to resume from; empty if there is none.
        checkpoint: String,
        /// Ticket of the adviser; empty if none is needed.
        #[serde(default, skip_serializing_if = "String::is_empty")]
        ticket: String,
        /// Whether the processors of the task are not counted.
        fills: bool,
        /// Response time in milliseconds that the task must keep.
        target_ms: Option<u64>,
    },
    /// Stop a run.
    Stop {
        /// Task.
        task: TaskId,
        /// Run.
        run: RunNumber,
    },
}

/// Answer to a report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExchangeReply {
    /// Number of the report that is answered.
    pub sequence: u64,
    /// Whether the answering entry holds the duty.
    pub is_holder: bool,
    /// Address of the holder as far as known.
    pub holder: Option<SocketAddr>,
    /// Addresses of all entries.
    pub entries: Vec<SocketAddr>,
    /// Fencing token of the holder.
    pub token: FencingToken,
    /// Milliseconds since the store last confirmed the holder's duty.
    pub confirmed_age_ms: u64,
    /// Worker's life for which ends are acknowledged.
    pub life_born_ms: u64,
    /// Ends up to this number are recorded.
    pub recorded_ends: u64,
    /// Orders.
    pub orders: Vec<Order>,
}
