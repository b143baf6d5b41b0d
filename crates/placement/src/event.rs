//! Events, effects and records at the border of the state machine.

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use cumindeck_types::{Attempt, AvailabilityZone, JobId, Shape, TaskIndex, TeamId, WorkerId};

use crate::accelerators::AcceleratorSet;
use crate::cluster::WorkerSpec;
use crate::job::{GangShape, JobSpec, TaskOutcome};
use crate::team::CellRef;

/// Something that the owner of the state machine has learnt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A worker was added, or its description changed.
    WorkerSet(WorkerSpec),
    /// A worker was taken out for good.
    WorkerRemoved(WorkerId),
    /// A worker failed; its tasks may still run until their lease expires.
    WorkerFailed(WorkerId),
    /// A failed or quarantined worker may get tasks again.
    WorkerReturned(WorkerId),
    /// No task runs on the worker any more: its lease has expired or it was fenced.
    WorkerLeaseExpired(WorkerId),
    /// Operators took out an availability zone.
    ZoneClosed(AvailabilityZone),
    /// Operators brought an availability zone back.
    ZoneOpened(AvailabilityZone),
    /// A team was added, or its guarantee changed.
    TeamSet(TeamId, Shape),
    /// Whether a team may run work beyond its guarantee; it may unless told otherwise.
    TeamBorrowing(TeamId, bool),
    /// A team was removed; its waiting jobs are refused.
    TeamRemoved(TeamId),
    /// A job was accepted.
    Submit(JobSpec),
    /// A job was cancelled.
    Cancel(JobId),
    /// All tasks of the attempt run.
    GangRunning(JobId, Attempt),
    /// The attempt was given up before any task body ran.
    StartFailed(JobId, Attempt),
    /// A task has certainly ended.
    TaskEnded(JobId, Attempt, TaskIndex, TaskOutcome),
    /// A record read at takeover, after workers and teams were set.
    Restore(JobRecord),
    /// Nothing but time has passed.
    Tick,
}

/// What a job's records say at a takeover.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobRecord {
    /// What was submitted.
    pub spec: JobSpec,
    /// Time since the submission.
    pub age: Duration,
    /// Last attempt counted.
    pub last_attempt: Attempt,
    /// Accelerator milliseconds used by earlier attempts.
    pub attained: u64,
    /// The last attempt, if it may still run.
    pub running: Option<RunRecord>,
}

/// The record of an attempt that may still run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunRecord {
    /// The placement of each task, as in [`Effect::Start`].
    pub placement: Vec<TaskPlacement>,
    /// Whether the gang runs beyond its team's guarantee.
    pub is_borrowed: bool,
    /// Time since the start.
    pub age: Duration,
}

/// Where a task runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskPlacement {
    /// The task.
    pub task: TaskIndex,
    /// Its worker.
    pub worker: WorkerId,
    /// Its accelerators on that worker.
    pub accelerators: AcceleratorSet,
    /// The guarantee cell that it draws on; `None` for borrowed work.
    pub cell: Option<CellRef>,
}

/// Something that the owner of the state machine is to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Count the attempt, then reserve and start all tasks.
    Start {
        /// The job.
        job: JobId,
        /// Number of the new attempt.
        attempt: Attempt,
        /// Where each task runs.
        placement: Vec<TaskPlacement>,
        /// Whether the gang may be preempted.
        is_borrowed: bool,
    },
    /// Ask all tasks for a checkpoint.
    Checkpoint(JobId, Attempt),
    /// Stop all tasks, and report each with [`Event::TaskEnded`].
    Stop(JobId, Attempt, StopReason),
    /// The job can't be accepted or kept.
    Refuse(JobId, Refusal),
    /// The job waits for another attempt.
    Requeued(JobId, Attempt),
    /// The job has ended and is forgotten.
    Ended(JobId, JobOutcome),
    /// The worker gets no new tasks, because these jobs failed only there.
    Quarantine(WorkerId, Vec<JobId>),
    /// The teams whose guarantees can't all be met now; empty when all can again.
    GuaranteesShort(Vec<Shortage>),
}

/// Why an attempt is stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopReason {
    /// A team reclaims its guarantee.
    Reclaim,
    /// The job was cancelled.
    Cancelled,
    /// A task of the gang has failed or was stopped.
    TaskLost,
    /// A worker of the gang has failed or was removed.
    WorkerLost,
    /// The availability zone is taken out.
    ZoneClosed,
}

/// How a job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobOutcome {
    /// Every task ran to its end.
    Succeeded,
    /// The limit of failed attempts was reached.
    Failed,
    /// It was cancelled.
    Cancelled,
}

/// Cells of a team's guarantee that can't be met.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Shortage {
    /// The team.
    pub team: TeamId,
    /// Accelerators in the cells that are missing.
    pub accelerators: u32,
}

/// Why a job is refused, with what would be accepted instead.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// The reason.
    pub reason: RefusalReason,
    /// The nearest shape that could run, if there is one.
    pub nearest: Option<GangShape>,
}

/// Reason of a refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalReason {
    /// The team isn't known.
    UnknownTeam,
    /// The job's name is in use.
    DuplicateJob,
    /// The number of tasks is out of range.
    TaskCount,
    /// No cell has the size of a task.
    TaskSize,
    /// All workers together have no room for the gang.
    ExceedsCluster,
    /// No rack has room for the gang.
    ExceedsRack,
}

impl Display for Refusal {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self.reason {
            RefusalReason::UnknownTeam => "the team is not known",
            RefusalReason::DuplicateJob => "a job with this name exists",
            RefusalReason::TaskCount => "the number of tasks is out of range; expected 1 to 512",
            RefusalReason::TaskSize => "no worker has room for a task of this size",
            RefusalReason::ExceedsCluster => "all workers together have too little room",
            RefusalReason::ExceedsRack => "no rack has enough room",
        })?;
        match &self.nearest {
            Some(shape) => write!(f, "; the nearest shape that can run is {shape}"),
            None => Ok(()),
        }
    }
}
