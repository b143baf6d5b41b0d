//! Jobs, their gangs and the state of their attempts.

use std::collections::BTreeSet;
use std::fmt::{self, Display, Formatter};
use std::str::FromStr;
use std::time::Duration;

use cumindeck_types::{Attempt, JobId, TeamId, Uptime};
use thiserror::Error;

use crate::accelerators::AcceleratorSet;
use crate::cluster::WorkerIndex;
use crate::supply::CellSizes;
use crate::team::CellRef;

/// Maximum number of tasks in a gang.
pub const MAX_TASKS: u32 = 512;

/// Size of one task, whose accelerators are adjacent and on one worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum TaskSize {
    /// A number of accelerators; only powers of two can be placed.
    Accelerators(u8),
    /// All accelerators of a worker cell; see [`CellSizes`].
    Worker,
}

impl TaskSize {
    /// Returns the size class, the binary logarithm of the size; `None`
    /// if no cell has this size.
    pub(crate) fn class(self, sizes: CellSizes) -> Option<usize> {
        match self {
            Self::Worker => Some(sizes.worker_class()),
            Self::Accelerators(n) if n.is_power_of_two() => {
                Some(n.trailing_zeros() as usize).filter(|class| *class <= sizes.worker_class())
            }
            Self::Accelerators(_) => None,
        }
    }
}

/// Error for a text that is not a task size.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("task size {0:?} is not known; expected a number of accelerators or \"worker\"")]
pub struct TaskSizeError(String);

impl FromStr for TaskSize {
    type Err = TaskSizeError;

    fn from_str(text: &str) -> Result<Self, TaskSizeError> {
        if text == "worker" {
            return Ok(Self::Worker);
        }
        text.parse()
            .map(Self::Accelerators)
            .map_err(|_| TaskSizeError(text.to_owned()))
    }
}

impl Display for TaskSize {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Accelerators(n) => Display::fmt(n, f),
            Self::Worker => f.write_str("worker"),
        }
    }
}

/// Number and size of a gang's tasks, and whether they share a rack.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GangShape {
    /// Number of tasks, from 1 to [`MAX_TASKS`].
    pub tasks: u32,
    /// Accelerators of each task.
    pub size: TaskSize,
    /// Whether all tasks must be in one rack.
    pub is_same_rack: bool,
}

impl Display for GangShape {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let rack = if self.is_same_rack {
            " in one rack"
        } else {
            ""
        };
        write!(f, "{} tasks of {}{rack}", self.tasks, self.size)
    }
}

/// A submitted job. Declared run times are not part of it, because they are not trusted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobSpec {
    /// Id of the job, unique in the region.
    pub job: JobId,
    /// Team whose guarantee the job may use.
    pub team: TeamId,
    /// Number, size and rack constraint of its tasks.
    pub gang: GangShape,
    /// Whether it precedes its team's other jobs within the
    /// guarantee and may preempt them.
    pub is_urgent: bool,
}

/// Position of a job in the order of submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub(crate) struct JobKey(pub u64);

/// Worker and accelerators assigned to one task.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TaskAssignment {
    pub worker: WorkerIndex,
    pub set: AcceleratorSet,
    /// Guarantee cell that the task uses; `None` for borrowed work.
    pub cell: Option<CellRef>,
}

/// Phase of the current attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Waits for borrowed work to leave the assigned accelerators.
    Reclaiming,
    /// The start was requested.
    Started,
    /// A checkpoint was requested; the stop follows at this time.
    Checkpointing(Uptime),
    /// The stop was requested.
    Stopping,
}

/// An attempt to run a job.
#[derive(Debug, Clone)]
pub(crate) struct Run {
    pub attempt: Attempt,
    pub tasks: Vec<TaskAssignment>,
    /// Outcome of each task; `None` while the task may still run.
    pub ended: Vec<Option<TaskOutcome>>,
    /// Whether the gang runs beyond its team's guarantee.
    pub is_borrowed: bool,
    /// Time of the start, or of the decision while the gang is reclaiming.
    pub since: Uptime,
    /// When all tasks were reported as running.
    pub running_since: Option<Uptime>,
    pub phase: Phase,
}

impl Run {
    /// Returns whether every task has ended.
    pub fn is_over(&self) -> bool {
        self.ended.iter().all(Option::is_some)
    }

    /// Returns the number of accelerators of all tasks.
    pub fn accelerators(&self) -> u32 {
        self.tasks.iter().map(|task| task.set.len()).sum()
    }

    /// Returns the work that a stop discards, in accelerator milliseconds.
    pub fn lost_work(&self, now: Uptime) -> u64 {
        accelerator_millis(self.accelerators(), now.since(self.since))
    }
}

/// How a task ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskOutcome {
    /// Ended without an error; a job succeeds only if all its tasks do.
    Succeeded,
    /// Ended with an error.
    Failed,
    /// Was stopped, or its worker's lease expired.
    Stopped,
}

/// A job that waits or runs.
#[derive(Debug, Clone)]
pub(crate) struct Job {
    pub spec: JobSpec,
    /// Binary logarithm of the number of accelerators of each task.
    pub class: usize,
    pub submitted: Uptime,
    /// When it last began to wait.
    pub waiting_since: Uptime,
    /// Number of the last attempt.
    pub last_attempt: Attempt,
    /// Service received in earlier attempts, in accelerator milliseconds.
    pub attained_service: u64,
    /// Workers on which a task failed.
    pub failed_on: BTreeSet<WorkerIndex>,
    /// Number of failed attempts.
    pub failures: u32,
    /// Whether the job was cancelled while an attempt was running.
    pub is_cancelled: bool,
    /// The current attempt; `None` while the job waits.
    pub run: Option<Run>,
}

impl Job {
    /// Returns the number of accelerators of the whole gang.
    pub fn accelerators(&self) -> u32 {
        self.spec.gang.tasks << self.class
    }
}

/// Returns the service of `accelerators` over `time`, in accelerator milliseconds.
pub(crate) fn accelerator_millis(accelerators: u32, time: Duration) -> u64 {
    u64::from(accelerators) * u64::try_from(time.as_millis()).unwrap_or(u64::MAX >> 32)
}
