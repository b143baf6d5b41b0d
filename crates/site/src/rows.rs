//! Rows of the table service, as typed values.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use cumindeck_api::{JobSpec, JobState, RuleFileName};
use cumindeck_control::leader::{Leader, LeaderRow};
use cumindeck_control::store::RowVersion;
use cumindeck_types::{
    AgentId, Attempt, AvailabilityZone, ConfigVersion, EntryId, FencingToken, IdempotencyKey,
    Incarnation, JobId, RackId, Region, RingVersion, WorkerId, ZoneVersion,
};
use serde::{Deserialize, Serialize};

use crate::alerts::{RuleFileRow, RulesStateRow, TransitionBatchRow};

/// Key of a row of the table service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum RowKey {
    /// The accepted configuration version.
    ConfigHead,
    /// The texts of a configuration version.
    Bundle(ConfigVersion),
    /// The state of an availability zone.
    Zone(AvailabilityZone),
    /// Addresses and location of a running entry.
    Entry(EntryId),
    /// The leader lease of a region or of rule evaluation.
    Leader(Region),
    /// The fencing token of a region's leader; written only when it changes.
    Token(Region),
    /// The version of a region's ring; written together with the ring.
    RingHead(Region),
    /// The ring of a region's home agents.
    Ring(Region),
    /// Operators' settings of a worker.
    Worker(WorkerId),
    /// The region of a job; keeps job ids unique.
    JobRegion(JobId),
    /// A job that has not ended.
    Job(Region, JobId),
    /// The last attempt of a job that has not ended.
    Attempt(Region, JobId),
    /// A job that has ended.
    Ended(JobId),
    /// Id of the last accepted change of a rule file.
    RulesHead,
    /// An accepted rule file.
    RuleFile(RuleFileName),
    /// State of the evaluation of alert rules.
    RulesState,
    /// A batch of alert transitions, by the number of the first one.
    Transitions(u64),
}

/// Rows that are read together.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RowRange {
    /// The current configuration version, the last change of a rule file, zones, leader
    /// leases, tokens, entries, versions of rings and workers.
    ///
    /// Each entry reads them every 500 ms, so they exclude the rings, whose length
    /// grows with the number of agents.
    Polled,
    /// The whole table `rules`.
    Rules,
    /// All rule files.
    RuleFiles,
    /// Jobs and attempts of a region.
    Jobs(Region),
    /// One row, which may be absent.
    Row(RowKey),
}

/// The value of a row; each variant belongs to the [`RowKey`] variant of the same name.
#[derive(Debug, Clone, PartialEq)]
pub enum RowValue {
    /// The accepted configuration version.
    ConfigHead(ConfigVersion),
    /// The texts of a configuration version.
    Bundle(BundleRow),
    /// The state of an availability zone.
    Zone(ZoneStateRow),
    /// Addresses and location of a running entry.
    Entry(EntryRow),
    /// The leader lease of a region or of rule evaluation.
    Leader(LeaderStateRow),
    /// The fencing token of a region's leader.
    Token(FencingToken),
    /// The version of a region's ring.
    RingHead(RingVersion),
    /// The ring of a region's home agents.
    Ring(RingRow),
    /// Operators' settings of a worker.
    Worker(WorkerRow),
    /// The region that accepted the job.
    JobRegion(Region),
    /// A job that has not ended.
    Job(JobRow),
    /// The last attempt of a job that has not ended.
    Attempt(AttemptRow),
    /// A job that has ended.
    Ended(EndedRow),
    /// Id of the last accepted change of a rule file.
    RulesHead(String),
    /// An accepted rule file.
    RuleFile(RuleFileRow),
    /// State of the evaluation of alert rules.
    RulesState(Box<RulesStateRow>),
    /// Transitions of alerts.
    Transitions(TransitionBatchRow),
}

/// A row as read from the table service.
#[derive(Debug, Clone, PartialEq)]
pub struct StoredRow {
    /// Key under which the row is stored.
    pub key: RowKey,
    /// Version that was current when the row was read.
    pub version: RowVersion,
    /// Value at that version.
    pub value: RowValue,
}

/// The texts of a configuration version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BundleRow {
    /// Id of the change that created this version.
    pub change: String,
    /// Text of the base file.
    pub base: String,
    /// Text of the overlay of each site.
    pub overlays: BTreeMap<String, String>,
}

/// The state of an availability zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneStateRow {
    /// Incremented by each accepted change.
    pub version: ZoneVersion,
    /// Whether tasks may start.
    pub is_open: bool,
    /// Id of the change that created this version.
    pub change: String,
}

/// A running entry, which writes this row every 5 s.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryRow {
    /// Incarnation of the entry's process.
    pub incarnation: Incarnation,
    /// The entry's availability zone.
    pub zone: AvailabilityZone,
    /// The entry's region.
    pub region: Region,
    /// Address of the listener for agents.
    pub agents: SocketAddr,
    /// Address of the listener for operators.
    pub operators: SocketAddr,
    /// Configuration version in force at the entry.
    pub config_version: ConfigVersion,
    /// Number of the write, which makes each write distinct.
    pub writes: u64,
}

/// The leader lease of a region or of rule evaluation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderStateRow {
    /// The leader and the incarnation of its process; `None` after a clean release.
    #[serde(rename = "holder")]
    pub leader: Option<(EntryId, Incarnation)>,
    /// Incremented by each takeover.
    pub token: FencingToken,
    /// Number of renewals by this leader.
    pub renewals: u64,
    /// Remaining time of agent leases that the leader does not renew, in nanoseconds.
    pub leases_left_ns: u64,
}

impl From<&LeaderRow> for LeaderStateRow {
    fn from(row: &LeaderRow) -> Self {
        let leader = row.leader.as_ref();
        Self {
            leader: leader.map(|leader| (leader.entry.clone(), leader.incarnation)),
            token: row.token,
            renewals: row.renewals,
            leases_left_ns: u64::try_from(row.prior_leases_remaining.as_nanos())
                .unwrap_or(u64::MAX),
        }
    }
}

impl From<&LeaderStateRow> for LeaderRow {
    fn from(row: &LeaderStateRow) -> Self {
        let leader = row.leader.clone();
        Self {
            leader: leader.map(|(entry, incarnation)| Leader { entry, incarnation }),
            token: row.token,
            renewals: row.renewals,
            prior_leases_remaining: Duration::from_nanos(row.leases_left_ns),
        }
    }
}

/// The ring of a region's home agents.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RingRow {
    /// Incremented by each change.
    pub version: RingVersion,
    /// Members with the incarnations of their processes, in the order of their ids.
    pub members: Vec<(AgentId, Incarnation)>,
}

/// Operators' settings of a worker.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerRow {
    /// Whether the worker takes no new tasks.
    pub is_draining: bool,
    /// Incarnation of the agent that is known to have terminated.
    pub fenced: Option<Incarnation>,
}

/// A job that has not ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRow {
    /// Specification as submitted.
    pub spec: JobSpec,
    /// When it was accepted, in milliseconds since the Unix epoch.
    pub submitted_ms: u64,
    /// State when the row was written.
    pub state: JobState,
    /// Last recorded attempt.
    pub attempt: Attempt,
    /// Number of attempts in which a task failed.
    pub failures: u32,
    /// Whether an operator cancelled it.
    pub is_cancelled: bool,
}

/// The last attempt of a job, recorded before its tasks are reserved.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptRow {
    /// Number of the attempt, from 1.
    pub attempt: Attempt,
    /// Token of the leader that recorded the attempt.
    pub token: FencingToken,
    /// Whether the tasks run beyond the team's guarantee.
    pub is_borrowed: bool,
    /// When the attempt was planned, before any task started, in milliseconds since the
    /// Unix epoch.
    pub started_ms: u64,
    /// Tasks by their index in the gang.
    pub tasks: Vec<AttemptTask>,
}

/// Where a task of an attempt runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptTask {
    /// Agent that receives the orders for the task.
    pub agent: AgentId,
    /// Incarnation of the agent's process when the task was placed.
    pub incarnation: Incarnation,
    /// Worker that runs the task.
    pub worker: WorkerId,
    /// The worker's rack.
    pub rack: RackId,
    /// The worker's availability zone.
    pub zone: AvailabilityZone,
    /// Number of the worker's accelerators.
    pub worker_accelerators: u32,
    /// Indices of the task's accelerators.
    pub accelerators: Vec<u32>,
    /// Cell of the guarantee that the task uses: its level and its number.
    pub cell: Option<(String, u32)>,
}

/// A job that has ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedRow {
    /// The job in its final state.
    pub job: JobRow,
    /// Reason for the end, for operators.
    pub message: String,
}

pub(crate) fn change_id(key: &IdempotencyKey) -> String {
    key.to_string()
}
