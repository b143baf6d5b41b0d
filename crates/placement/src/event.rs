//! Events, effects and records of the state machine.

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use cumindeck_types::{Attempt, AvailabilityZone, JobId, Shape, TaskIndex, TeamId, WorkerId};

use crate::accelerators::AcceleratorSet;
use crate::cluster::WorkerSpec;
use crate::job::{GangShape, JobSpec, TaskOutcome};
use crate::team::CellRef;

/// An input of the state machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A worker was added, or its specification changed.
    WorkerSet(WorkerSpec),
    /// A worker was removed permanently.
    WorkerRemoved(WorkerId),
    /// A worker failed; its tasks may still run until their lease expires.
    WorkerFailed(WorkerId),
    /// A failed or quarantined worker may get tasks again.
    WorkerReturned(WorkerId),
    /// No task runs on the worker any more: its lease has expired or it was fenced.
    WorkerLeaseExpired(WorkerId),
    /// Operators took an availability zone out of service.
    ZoneClosed(AvailabilityZone),
    /// Operators returned an availability zone to service.
    ZoneOpened(AvailabilityZone),
    /// A team was added, or its guarantee changed.
    TeamSet(TeamId, Shape),
    /// Whether a team may run work beyond its guarantee, which is allowed by default.
    TeamBorrowing(TeamId, bool),
    /// A team was removed; its waiting jobs are refused.
    TeamRemoved(TeamId),
    /// A job was accepted.
    Submit(JobSpec),
    /// A job was cancelled.
    Cancel(JobId),
    /// All tasks of the attempt are running.
    GangRunning(JobId, Attempt),
    /// The attempt was abandoned before any task ran.
    StartFailed(JobId, Attempt),
    /// A task has ended and no longer uses its accelerators.
    TaskEnded(JobId, Attempt, TaskIndex, TaskOutcome),
    /// A record read at a takeover, after workers and teams were set.
    Restore(JobRecord),
    /// Only time has passed.
    Tick,
}

/// Recorded state of a job, read at a takeover.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobRecord {
    /// Specification as submitted.
    pub spec: JobSpec,
    /// Time since the submission.
    pub age: Duration,
    /// Number of the last recorded attempt.
    pub last_attempt: Attempt,
    /// Service received in earlier attempts, in accelerator milliseconds.
    pub attained_service: u64,
    /// The last attempt, if it may still run.
    pub running: Option<RunRecord>,
}

/// Recorded state of an attempt that may still run.
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
    /// Index of the task in its gang, from 0.
    pub task: TaskIndex,
    /// Worker on which the task runs.
    pub worker: WorkerId,
    /// Its accelerators on that worker.
    pub accelerators: AcceleratorSet,
    /// Guarantee cell that it uses; `None` for borrowed work.
    pub cell: Option<CellRef>,
}

/// An action that the owner of the state machine carries out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Record the attempt, then reserve and start all tasks.
    Start {
        /// Job whose gang is to start.
        job: JobId,
        /// Number of the new attempt.
        attempt: Attempt,
        /// Where each task runs.
        placement: Vec<TaskPlacement>,
        /// Whether the gang runs beyond its team's guarantee.
        is_borrowed: bool,
    },
    /// Request a checkpoint from all tasks.
    Checkpoint(JobId, Attempt),
    /// Stop all tasks, and report each with [`Event::TaskEnded`].
    Stop(JobId, Attempt, StopReason),
    /// The job cannot be accepted or kept.
    Refuse(JobId, Refusal),
    /// The job waits for another attempt.
    Requeued(JobId, Attempt),
    /// The job has ended and was removed from the state.
    Ended(JobId, JobOutcome),
    /// The worker gets no new tasks, because these jobs failed only there.
    Quarantine(WorkerId, Vec<JobId>),
    /// The teams whose guarantees cannot all be met now; empty
    /// when all can be met again.
    GuaranteesShort(Vec<Shortage>),
}

/// Why an attempt is stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopReason {
    /// The accelerators are reclaimed for a team's guarantee or its urgent job.
    Reclaim,
    /// The job was cancelled.
    Cancelled,
    /// A task of the gang failed or was stopped.
    TaskLost,
    /// A worker of the gang failed or was removed.
    WorkerLost,
    /// The availability zone was taken out of service.
    ZoneClosed,
}

/// How a job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobOutcome {
    /// Every task completed successfully.
    Succeeded,
    /// The limit of failed attempts was reached.
    Failed,
    /// The job was cancelled.
    Cancelled,
}

/// The part of a team's guarantee that cannot be met now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Shortage {
    /// Team whose guarantee cannot be met in full.
    pub team: TeamId,
    /// Number of accelerators in the missing cells.
    pub accelerators: u32,
}

/// Why a job is refused, with the nearest shape that would be accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Why the job is refused.
    pub reason: RefusalReason,
    /// The nearest shape that could run, if there is one.
    pub nearest: Option<GangShape>,
}

/// Why a job cannot be accepted or kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalReason {
    /// The team is unknown.
    UnknownTeam,
    /// The job's id is in use.
    DuplicateJob,
    /// The number of tasks is out of range.
    TaskCount,
    /// No worker has a cell of the size of a task.
    TaskSize,
    /// The gang exceeds all workers together.
    ExceedsCluster,
    /// The gang exceeds every rack.
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
