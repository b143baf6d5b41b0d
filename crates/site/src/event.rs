//! Events and effects of `SiteMachine`, the state machine of an entry's control
//! decisions. Requests are routed by `EntryMachine` in the crate `cumindeck_requests`.

use std::net::SocketAddr;

use cumindeck_api::{
    ConfigAccepted, ConfigBundle, ConfigChange, ErrorBody, JobAccepted, JobExplanation, JobFilter,
    JobList, JobSpec, JobState, JobStatus, RulesAccepted, RulesStatus, SiteStatus, TeamList,
    TeamStatus, WorkerDrain, WorkerFence, WorkerFilter, WorkerList, WorkerStatus, ZoneChange,
    ZoneList, ZoneStatus,
};
use cumindeck_config::SiteSettings;
use cumindeck_control::gang::GangFailure;
use cumindeck_control::membership::AgentHealth;
use cumindeck_control::store::{RowVersion, WriteOutcome};
use cumindeck_types::message::{
    AnnounceReply, Announcement, Reserve, RingView, StartTask, TaskAnswer, TaskRef,
};
use cumindeck_types::{
    AgentId, Attempt, AvailabilityZone, ConfigVersion, FencingToken, Incarnation, JobId, Region,
    TeamId, Uptime, WorkerId,
};

use crate::alerts::{AlertNotice, PutRules, UsageReport};
use crate::rows::{RowKey, RowRange, RowValue, StoredRow};

/// Identifies an announcement that waits for its reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AnnounceCallId(pub u64);

/// Identifies an operator's call that waits for its reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OperatorCallId(pub u64);

/// Identifies a read of the table service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReadId(pub u64);

/// Identifies a commit to the table service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CommitId(pub u64);

/// Identifies an order to an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OrderId(pub u64);

/// An event that the state machine handles.
#[derive(Debug)]
pub enum SiteEvent {
    /// An agent announced itself to this entry.
    Announced(AnnounceCallId, Announcement),
    /// A read of the table service ended.
    Read {
        /// Id from [`SiteEffect::Read`].
        id: ReadId,
        /// When the read was sent.
        sent_at: Uptime,
        /// The rows; `None` if the table service did not reply.
        rows: Option<Vec<StoredRow>>,
    },
    /// A commit to the table service ended.
    Committed(CommitId, WriteOutcome),
    /// The reply to an order arrived; `None` if no reply arrived within the time limit.
    OrderAnswered(OrderId, Option<TaskAnswer>),
    /// A read of usage reports ended.
    Usage {
        /// Generation from [`SiteEffect::ReadUsage`]; earlier ones are ignored.
        generation: u64,
        /// The reports; `None` if the platform did not reply.
        report: Option<UsageReport>,
    },
    /// An operator's call arrived.
    Operator(OperatorCallId, OperatorRequest),
    /// The time of the next wakeup was reached; see [`crate::SiteMachine::next_wakeup`].
    Wakeup,
    /// The process is about to stop; the entry releases its leader leases.
    Drain,
}

/// An action that the entry's tasks perform.
#[derive(Debug)]
pub enum SiteEffect {
    /// Reply to an announcement.
    ReplyAnnounce(AnnounceCallId, Box<AnnounceReply>),
    /// Read rows, then report [`SiteEvent::Read`].
    Read(ReadId, Vec<RowRange>),
    /// Commit writes, then report [`SiteEvent::Committed`].
    Commit(CommitId, Vec<RowWrite>),
    /// Read usage reports, then report [`SiteEvent::Usage`].
    ReadUsage {
        /// Generation of the loaded rules, to pass back in [`SiteEvent::Usage`].
        generation: u64,
        /// Last sequence number that was read.
        after: u64,
    },
    /// Send an order to an agent, then report [`SiteEvent::OrderAnswered`].
    Order(OrderId, AgentId, Order),
    /// An agent announced itself, or its health at this entry changed.
    Agent {
        /// Newest announcement that this entry received from the agent.
        announcement: Box<Announcement>,
        /// Health of the agent as seen by this entry.
        health: AgentHealth,
        /// Whether the agent's availability zone is open.
        is_zone_open: bool,
    },
    /// An agent was removed from membership, since it no longer announces itself.
    AgentGone(AgentId, Incarnation),
    /// A configuration version came into force.
    Configured(ConfigVersion, Box<SiteSettings>),
    /// A newer ring of a region was read.
    Ring(RingView),
    /// An event for the log.
    Notice(Notice),
    /// Reply to an operator.
    ReplyOperator(OperatorCallId, OperatorReply),
    /// All leader leases were released after [`SiteEvent::Drain`].
    Drained,
}

/// Condition on the row's version, checked when the transaction is committed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RowCondition {
    /// The row may have any version or be absent.
    Any,
    /// The row has this version; [`RowVersion::ABSENT`] means that it does not exist.
    Version(RowVersion),
}

/// A conditional write of one row, as part of an atomic transaction.
#[derive(Debug, Clone, PartialEq)]
pub struct RowWrite {
    /// Key of the row that is checked or written.
    pub key: RowKey,
    /// Condition under which the whole transaction is committed.
    pub condition: RowCondition,
    /// Effect on the row.
    pub action: RowAction,
}

/// Effect of a transaction on a row.
#[derive(Debug, Clone, PartialEq)]
pub enum RowAction {
    /// Only check the condition.
    Check,
    /// Replace the value, or create the row.
    Put(RowValue),
    /// Delete the row.
    Delete,
}

/// An order to an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Order {
    /// Reserve a task.
    Reserve(Reserve),
    /// Start a task.
    StartTask(StartTask),
    /// Stop a task.
    Stop(TaskRef),
    /// Ask for a checkpoint.
    Checkpoint(TaskRef),
}

/// An event for the log.
#[derive(Debug, Clone, PartialEq)]
pub enum Notice {
    /// This entry became the leader of a region.
    LeadershipAcquired {
        /// Region that this entry leads from now on.
        region: Region,
        /// Fencing token of the new leader.
        token: FencingToken,
    },
    /// This entry is no longer the leader of a region.
    LeadershipLost {
        /// Region that this entry led.
        region: Region,
    },
    /// The rows of a region were loaded after a takeover.
    RecordsLoaded {
        /// Region that was taken over.
        region: Region,
        /// Number of jobs that have not ended.
        jobs: usize,
    },
    /// A job was accepted.
    JobAccepted {
        /// Id of the accepted job.
        job: JobId,
    },
    /// All tasks of an attempt run.
    GangStarted {
        /// Job whose tasks run.
        job: JobId,
        /// Number of the attempt, from 1.
        attempt: Attempt,
    },
    /// An attempt did not start.
    GangFailed {
        /// Job whose attempt did not start.
        job: JobId,
        /// Number of the attempt, from 1.
        attempt: Attempt,
        /// Why the attempt did not start.
        failure: GangFailure,
    },
    /// A job has ended.
    JobEnded {
        /// Id of the ended job.
        job: JobId,
        /// Final state: succeeded, failed or cancelled.
        state: JobState,
        /// Reason for the end, for operators.
        message: String,
    },
    /// A worker gets no new tasks, because these jobs failed only there.
    WorkerQuarantined {
        /// Worker that was quarantined.
        worker: WorkerId,
        /// Jobs that failed on this worker and not elsewhere.
        jobs: Vec<JobId>,
    },
    /// Guarantees that cannot all be met now; no teams once all can be met again.
    GuaranteesShort {
        /// Region in which the guarantees apply.
        region: Region,
        /// Teams and the number of accelerators that each lacks.
        teams: Vec<(TeamId, u32)>,
    },
    /// An event of the alert rules.
    Alerts(AlertNotice),
}

/// A request of an operator; calls to submit, cancel or explain a job go to the
/// leader of the job's region.
#[derive(Debug, Clone, PartialEq)]
pub enum OperatorRequest {
    /// Read the newest accepted bundle.
    GetConfig,
    /// Change the bundle.
    PutConfig(ConfigChange),
    /// Read the state of all availability zones.
    Zones,
    /// Read the state of one availability zone.
    Zone(AvailabilityZone),
    /// Take an availability zone out of service or return it to service.
    PutZone(AvailabilityZone, ZoneChange),
    /// Read the state of the site.
    Status,
    /// Accept a job.
    SubmitJob(JobSpec),
    /// List the jobs that have not ended and the recently ended ones.
    Jobs(JobFilter),
    /// Read the state of one job.
    Job(JobId),
    /// Cancel a job.
    CancelJob(JobId),
    /// Explain a job's state.
    ExplainJob(JobId),
    /// Read the state of all teams.
    Teams,
    /// Read the state of one team.
    Team(TeamId),
    /// List the workers whose agents announce themselves to this entry.
    Workers(WorkerFilter),
    /// Read the state of one worker.
    Worker(WorkerId),
    /// Drain a worker or end its drain.
    DrainWorker(WorkerId, WorkerDrain),
    /// Declare that an incarnation of a worker's agent has terminated.
    FenceWorker(WorkerId, WorkerFence),
    /// Read the state of the alert rules.
    Rules,
    /// Accept a rule file.
    PutRules(PutRules),
}

impl OperatorRequest {
    /// Returns whether the request needs a write to the table service.
    #[must_use]
    pub const fn is_change(&self) -> bool {
        match self {
            Self::PutConfig(_)
            | Self::PutZone(..)
            | Self::SubmitJob(_)
            | Self::CancelJob(_)
            | Self::DrainWorker(..)
            | Self::FenceWorker(..)
            | Self::PutRules(_) => true,
            Self::GetConfig
            | Self::Zones
            | Self::Zone(_)
            | Self::Status
            | Self::Jobs(_)
            | Self::Job(_)
            | Self::ExplainJob(_)
            | Self::Teams
            | Self::Team(_)
            | Self::Workers(_)
            | Self::Worker(_)
            | Self::Rules => false,
        }
    }
}

/// The reply to an operator.
#[derive(Debug, Clone, PartialEq)]
pub enum OperatorReply {
    /// The newest accepted bundle.
    Config(ConfigBundle),
    /// Version and id of an accepted change of the bundle.
    ConfigAccepted(ConfigAccepted),
    /// All availability zones.
    Zones(ZoneList),
    /// One availability zone.
    Zone(ZoneStatus),
    /// State of the site as seen by this entry.
    Status(Box<SiteStatus>),
    /// A job was accepted.
    JobAccepted(JobAccepted),
    /// A job with the same id and content was accepted earlier.
    JobAlreadyAccepted(JobAccepted),
    /// Status of one job, which may have ended.
    Job(Box<JobStatus>),
    /// One page of the jobs that the filter selects, ordered by id.
    Jobs(JobList),
    /// Explanation of a job's state.
    JobExplanation(Box<JobExplanation>),
    /// State of all configured teams.
    Teams(TeamList),
    /// State of one configured team.
    Team(Box<TeamStatus>),
    /// State of the workers that the filter selects.
    Workers(WorkerList),
    /// State of one worker; also the reply to a drain or a fence.
    Worker(Box<WorkerStatus>),
    /// The state of alert rules.
    Rules(Box<RulesStatus>),
    /// A rule file was accepted.
    RulesAccepted(RulesAccepted),
    /// Another entry is the leader; the call must go to its listener for operators.
    Forward(SocketAddr),
    /// The call failed, or its outcome is unknown.
    Error(Box<ErrorBody>),
}
