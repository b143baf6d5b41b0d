//! Events and effects of a site machine.

use std::net::SocketAddr;

use cumindeck_api::{
    ConfigAccepted, ConfigBundle, ConfigChange, ErrorBody, JobAccepted, JobFilter, JobList,
    JobSpec, JobState, JobStatus, JobWhy, RulesAccepted, RulesStatus, SiteStatus, TeamList,
    TeamStatus, WorkerDrain, WorkerFence, WorkerFilter, WorkerList, WorkerStatus, ZoneChange,
    ZoneList, ZoneStatus,
};
use cumindeck_config::SiteSettings;
use cumindeck_control::gang::GangFailure;
use cumindeck_control::membership::AgentHealth;
use cumindeck_control::store::{RowVersion, WriteOutcome};
use cumindeck_types::message::{
    AnnounceReply, Announcement, Go, Reserve, RingView, TaskAnswer, TaskRef,
};
use cumindeck_types::{
    AgentId, Attempt, AvailabilityZone, ConfigVersion, FencingToken, Incarnation, JobId, Region,
    TeamId, Uptime, WorkerId,
};

use crate::alerts::{AlertNotice, PutRules, UsageReport};
use crate::rows::{RowKey, RowRange, RowValue, StoredRow};

/// Names an announcement that waits for its reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AnnounceCall(pub u64);

/// Names an operator's call that waits for its reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OperatorCall(pub u64);

/// Names a read of the table service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReadId(pub u64);

/// Names a commit to the table service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CommitId(pub u64);

/// Names an order to an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OrderId(pub u64);

/// What happens to a site machine.
#[derive(Debug)]
pub enum SiteEvent {
    /// An agent announced itself.
    Announced(AnnounceCall, Announcement),
    /// A read ended; `None` means that the table service didn't answer.
    Read {
        /// The read.
        id: ReadId,
        /// When it was sent.
        asked: Uptime,
        /// The rows.
        rows: Option<Vec<StoredRow>>,
    },
    /// A commit ended.
    Committed(CommitId, WriteOutcome),
    /// An order was answered; `None` means that no answer came.
    OrderAnswered(OrderId, Option<TaskAnswer>),
    /// A read of usage reports ended; `None` means that the platform didn't answer.
    Usage {
        /// Number passed back from [`SiteEffect::ReadUsage`].
        generation: u64,
        /// The reports.
        report: Option<UsageReport>,
    },
    /// An operator called.
    Operator(OperatorCall, OperatorRequest),
    /// The time of the next wakeup was reached.
    Wakeup,
    /// The process shall stop.
    Drain,
}

/// What the entry's tasks do next.
#[derive(Debug)]
pub enum SiteEffect {
    /// Reply to an announcement.
    ReplyAnnounce(AnnounceCall, Box<AnnounceReply>),
    /// Read rows, then report [`SiteEvent::Read`].
    Read(ReadId, Vec<RowRange>),
    /// Commit writes, then report [`SiteEvent::Committed`].
    Commit(CommitId, Vec<RowWrite>),
    /// Read usage reports, then report [`SiteEvent::Usage`].
    ReadUsage {
        /// Number to pass back.
        generation: u64,
        /// Last sequence number that was read.
        after: u64,
    },
    /// Send an order to an agent, then report [`SiteEvent::OrderAnswered`].
    Order(OrderId, AgentId, Order),
    /// An agent announced itself, or what is thought of it changed.
    Agent {
        /// The newest announcement.
        announcement: Box<Announcement>,
        /// What is thought of the agent.
        health: AgentHealth,
        /// Whether its availability zone is open.
        is_zone_open: bool,
    },
    /// An agent is gone.
    AgentGone(AgentId, Incarnation),
    /// A configuration version is in force.
    Configured(ConfigVersion, Box<SiteSettings>),
    /// A newer ring of a region was read.
    Ring(RingView),
    /// Something that operators want to see in the log.
    Notice(Notice),
    /// Reply to an operator.
    ReplyOperator(OperatorCall, OperatorReply),
    /// The duties are released after [`SiteEvent::Drain`].
    Drained,
}

/// Condition of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RowCondition {
    /// The row may have any version or be absent.
    Any,
    /// The row has this version; [`RowVersion::ABSENT`] means that it doesn't exist.
    Version(RowVersion),
}

/// A write of a transaction.
#[derive(Debug, Clone, PartialEq)]
pub struct RowWrite {
    /// The row.
    pub key: RowKey,
    /// Condition of the whole transaction.
    pub condition: RowCondition,
    /// What to write.
    pub action: RowAction,
}

/// What a transaction does to a row.
#[derive(Debug, Clone, PartialEq)]
pub enum RowAction {
    /// Only the condition matters.
    Check,
    /// Write the value.
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
    Go(Go),
    /// Stop a task.
    Stop(TaskRef),
    /// Ask for a checkpoint.
    Checkpoint(TaskRef),
}

/// Something that operators want to see in the log.
#[derive(Debug, Clone, PartialEq)]
pub enum Notice {
    /// This entry holds a duty now.
    DutyAcquired {
        /// The region.
        region: Region,
        /// The new token.
        token: FencingToken,
    },
    /// This entry no longer holds a duty.
    DutyLost {
        /// The region.
        region: Region,
    },
    /// The records of a region were loaded after a takeover.
    RecordsLoaded {
        /// The region.
        region: Region,
        /// Jobs that have not ended.
        jobs: usize,
    },
    /// A job was accepted.
    JobAccepted {
        /// The job.
        job: JobId,
    },
    /// All tasks of an attempt run.
    GangStarted {
        /// The job.
        job: JobId,
        /// The attempt.
        attempt: Attempt,
    },
    /// An attempt did not start.
    GangFailed {
        /// The job.
        job: JobId,
        /// The attempt.
        attempt: Attempt,
        /// Why.
        failure: GangFailure,
    },
    /// A job has ended.
    JobEnded {
        /// The job.
        job: JobId,
        /// Its final state.
        state: JobState,
        /// How it ended.
        message: String,
    },
    /// A worker gets no new tasks, because these jobs failed only there.
    WorkerQuarantined {
        /// The worker.
        worker: WorkerId,
        /// The jobs.
        jobs: Vec<JobId>,
    },
    /// Teams whose guarantees can't all be met now; empty when all can again.
    GuaranteesShort {
        /// The region.
        region: Region,
        /// Teams with the accelerators that they lack.
        teams: Vec<(TeamId, u32)>,
    },
    /// Something about alert rules.
    Alerts(AlertNotice),
}

/// What an operator asks for.
#[derive(Debug, Clone, PartialEq)]
pub enum OperatorRequest {
    /// The accepted bundle.
    GetConfig,
    /// A change of the bundle.
    PutConfig(ConfigChange),
    /// All availability zones.
    Zones,
    /// One availability zone.
    Zone(AvailabilityZone),
    /// Take an availability zone out or bring it back.
    PutZone(AvailabilityZone, ZoneChange),
    /// The state of the site.
    Status,
    /// Accept a job.
    SubmitJob(JobSpec),
    /// Jobs that have not ended, and those that ended lately.
    Jobs(JobFilter),
    /// One job.
    Job(JobId),
    /// Cancel a job.
    CancelJob(JobId),
    /// Explain a job's state.
    WhyJob(JobId),
    /// All teams.
    Teams,
    /// One team.
    Team(TeamId),
    /// Workers.
    Workers(WorkerFilter),
    /// One worker.
    Worker(WorkerId),
    /// Drain a worker or end its drain.
    DrainWorker(WorkerId, WorkerDrain),
    /// Declare an incarnation of a worker's agent as gone.
    FenceWorker(WorkerId, WorkerFence),
    /// The state of alert rules.
    Rules,
    /// Accept a rule file.
    PutRules(PutRules),
}

impl OperatorRequest {
    /// Tells whether the call needs a write to the table service.
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
            | Self::WhyJob(_)
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
    /// The accepted bundle.
    Config(ConfigBundle),
    /// An accepted change.
    ConfigAccepted(ConfigAccepted),
    /// All availability zones.
    Zones(ZoneList),
    /// One availability zone.
    Zone(ZoneStatus),
    /// The state of the site.
    Status(Box<SiteStatus>),
    /// A job was accepted.
    JobAccepted(JobAccepted),
    /// A job with the same content had been accepted before.
    JobKnown(JobAccepted),
    /// One job.
    Job(Box<JobStatus>),
    /// Jobs.
    Jobs(JobList),
    /// Why a job is in its state.
    JobWhy(Box<JobWhy>),
    /// Teams.
    Teams(TeamList),
    /// One team.
    Team(Box<TeamStatus>),
    /// Workers.
    Workers(WorkerList),
    /// One worker.
    Worker(Box<WorkerStatus>),
    /// The state of alert rules.
    Rules(Box<RulesStatus>),
    /// A rule file was accepted.
    RulesAccepted(RulesAccepted),
    /// Another entry holds the duty; its operators' listener can answer.
    Elsewhere(SocketAddr),
    /// The call failed.
    Error(Box<ErrorBody>),
}
