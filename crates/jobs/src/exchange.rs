//! Messages between agents and the leader of the scheduler.

use std::net::SocketAddr;

use cumindeck_types::{AgentId, AvailabilityZone, FencingToken, Incarnation, RunNumber, WorkerId};
use serde::{Deserialize, Serialize};

use crate::{Resources, TaskId};

/// One incarnation of a worker, from its start to its end.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerIncarnation {
    /// Identifier of the worker; it may start again under the same one.
    pub worker: WorkerId,
    /// Start time of this incarnation in milliseconds since the Unix epoch.
    #[serde(rename = "born_ms")]
    pub started_ms: u64,
    /// Service whose jobs it runs.
    pub service: String,
    /// Availability zone that its heartbeats state.
    pub zone: AvailabilityZone,
    /// Resources for tasks.
    pub capacity: Resources,
    /// Labels, such as its kind and its rack.
    pub labels: Vec<String>,
    /// Whether it accepts no new tasks.
    pub is_draining: bool,
    /// Minimum time until it shuts down in milliseconds, if it has announced that.
    pub leaves_in_ms: Option<u64>,
}

impl WorkerIncarnation {
    /// Returns whether this is the incarnation of a worker that started at `started_ms`.
    #[must_use]
    pub fn is(&self, worker: &WorkerId, started_ms: u64) -> bool {
        self.worker == *worker && self.started_ms == started_ms
    }

    /// Returns the rack: the last label.
    #[must_use]
    pub fn rack(&self) -> &str {
        self.labels.last().map_or("", String::as_str)
    }
}

/// State of a run, as its agent reports it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunState {
    /// The start was sent to the worker, which has not confirmed it.
    Starting,
    /// The worker runs it.
    Active {
        /// Progress in percent.
        percent: u32,
        /// Newest checkpoint; empty if there is none.
        checkpoint: String,
    },
    /// It is known not to have started and will not start.
    NotStarted {
        /// Reason, for logs and placement.
        reason: String,
    },
}

/// Entry of an agent's report for a run that has not ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunReport {
    /// Task that the run belongs to.
    pub task: TaskId,
    /// Number of the run; tasks of a gang that run together share it.
    pub run: RunNumber,
    /// State at the time of the report.
    pub state: RunState,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunEnd {
    /// It succeeded, so that the task is done.
    Done,
    /// It failed by itself or because of the worker.
    Failed,
    /// It was stopped.
    Stopped,
    /// The worker ended it because its lease expired.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not start in time.
    Alone,
}

/// The end of a run, which the worker lists until it is acknowledged.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndReport {
    /// Number of the end in this incarnation of the worker, from 1.
    pub number: u64,
    /// Task whose run ended.
    pub task: TaskId,
    /// Number of the run; tasks of a gang that run together share it.
    pub run: RunNumber,
    /// How it ended.
    pub end: RunEnd,
    /// Newest checkpoint; empty if there is none.
    pub checkpoint: String,
}

/// What an agent knows of whether its worker lists the ends of all runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndListing {
    /// Nothing speaks against it.
    #[default]
    Assumed,
    /// The worker may drop some; it gets no starts.
    Doubted,
    /// The same, and the next run shows it.
    Probing,
    /// A run has shown it.
    Proven,
}

impl EndListing {
    #[expect(
        clippy::trivially_copy_pass_by_ref,
        reason = "serde passes a reference"
    )]
    fn is_assumed(&self) -> bool {
        *self == Self::Assumed
    }

    /// Returns whether the worker may drop ends.
    #[must_use]
    pub const fn is_doubted(self) -> bool {
        matches!(self, Self::Doubted | Self::Probing)
    }
}

/// Resource that a task's work mostly uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WorkKind {
    /// Processors only.
    Processor,
    /// Accelerators.
    Accelerator,
}

impl WorkKind {
    /// All kinds.
    pub const ALL: [Self; 2] = [Self::Processor, Self::Accelerator];

    /// Returns the position in [`WorkKind::ALL`].
    #[must_use]
    pub const fn index(self) -> usize {
        match self {
            Self::Processor => 0,
            Self::Accelerator => 1,
        }
    }

    /// Returns the name of the kind in logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Processor => "processor",
            Self::Accelerator => "accelerator",
        }
    }
}

/// Speed of a worker's incarnation, as leaders have learned it. Its agent keeps it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LearnedSpeed {
    /// Kind of work.
    pub kind: WorkKind,
    /// Speed in percent of the usual one.
    pub percent: u32,
    /// Number of runs that it was learned from.
    pub runs: u32,
}

/// Report of an agent to the leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentReport {
    /// Agent that sends the report.
    pub agent: AgentId,
    /// Start time of the agent's process, or one more than that of a process that the leader
    /// takes for a later one.
    pub incarnation: Incarnation,
    /// Number of the report in this incarnation.
    pub sequence: u64,
    /// The worker; `None` while it is unknown or after it has shut down.
    #[serde(rename = "life")]
    pub worker_incarnation: Option<WorkerIncarnation>,
    /// Whether complete run lists of the worker have been read.
    pub has_lists: bool,
    /// Whether the worker lists the ends of its runs.
    #[serde(default, skip_serializing_if = "EndListing::is_assumed")]
    pub end_listing: EndListing,
    /// Whether the agent's process has just reached the worker and asks the leader whether it
    /// knows that incarnation: late calls of an earlier process may have reached it.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub asks_for_incarnation: bool,
    /// Whether a run that shows if the worker lists its end may last longer than its lease, so
    /// that a short task could be done.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub has_long_lease: bool,
    /// Speeds of the worker that the leaders have learned in this incarnation.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub speeds: Vec<LearnedSpeed>,
    /// Runs that have not ended.
    pub runs: Vec<RunReport>,
    /// Ends that are not acknowledged.
    pub ends: Vec<EndReport>,
    /// Maximum wait for orders in milliseconds.
    pub wait_ms: u64,
    /// Newest token that the agent knows; an entry without a newer one keeps the
    /// report as a pending long poll.
    pub known_token: FencingToken,
}

/// Order of the leader to an agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Order {
    /// Start a run.
    Start {
        /// Task to run.
        task: TaskId,
        /// Number of the run; tasks of a gang that run together share it.
        run: RunNumber,
        /// What the task runs; only the worker interprets it.
        payload: String,
        /// Checkpoint to resume from; empty if there is none.
        checkpoint: String,
        /// Ticket of the adviser; empty if none is needed.
        #[serde(default, skip_serializing_if = "String::is_empty")]
        ticket: String,
        /// Number of runs before this one that may be used up to find out whether the worker
        /// lists the ends of its runs. A worker that needs it does not start the run itself.
        #[serde(default, skip_serializing_if = "is_zero")]
        probe_runs: u64,
        /// Whether the task is best effort: its processor request is not counted.
        #[serde(rename = "fills")]
        is_best_effort: bool,
        /// Response time target in milliseconds.
        target_ms: Option<u64>,
    },
    /// Stop a run.
    Stop {
        /// Task whose run is stopped.
        task: TaskId,
        /// Number of the run; the worker need not have started it.
        run: RunNumber,
    },
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
const fn is_zero(value: &u64) -> bool {
    *value == 0
}

/// Reply to a report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExchangeReply {
    /// Number of the report that this replies to.
    pub sequence: u64,
    /// Whether the replying entry is the leader.
    #[serde(rename = "is_holder")]
    pub is_leader: bool,
    /// Address of the leader, as far as the entry knows.
    #[serde(rename = "holder")]
    pub leader: Option<SocketAddr>,
    /// Addresses of all entries.
    pub entries: Vec<SocketAddr>,
    /// Newest fencing token that the replying entry knows; 0 if it knows none.
    pub token: FencingToken,
    /// Milliseconds since the store last confirmed the leadership.
    pub confirmed_age_ms: u64,
    /// Newest process of the agent that the leader knows, to which the reply applies; `None`
    /// from an entry that is not the leader, or of an earlier version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub process: Option<Incarnation>,
    /// Start time of the worker incarnation whose ends are acknowledged.
    #[serde(rename = "life_born_ms")]
    pub worker_started_ms: u64,
    /// Ends up to this number are recorded.
    pub recorded_ends: u64,
    /// Whether the worker may drop ends of its runs, which an earlier process of the agent
    /// has reported or could not know.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub doubts_ends: bool,
    /// Whether the leader knows the worker's incarnation from an earlier process of the agent,
    /// and no doubt that it lists the ends of its runs.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub knows_incarnation: bool,
    /// Speeds of the worker that the agent keeps from now on; `None` if it has them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub speeds: Option<Vec<LearnedSpeed>>,
    /// Orders for the agent; empty if the replying entry is not the leader.
    pub orders: Vec<Order>,
}
