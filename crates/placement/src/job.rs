//! Jobs: what a team asks for and how far an attempt has got.

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

/// Most tasks that a gang may have.
pub const MAX_TASKS: u32 = 512;

/// Accelerators of one task: adjacent and on one worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum TaskSize {
    /// A number of accelerators; a power of two.
    Accelerators(u8),
    /// A worker cell.
    Worker,
}

impl TaskSize {
    /// Returns the binary logarithm of the size; `None` if no cell has this size.
    pub(crate) fn class(self, sizes: CellSizes) -> Option<usize> {
        match self {
            Self::Worker => Some(sizes.top()),
            Self::Accelerators(n) if n.is_power_of_two() => {
                Some(n.trailing_zeros() as usize).filter(|class| *class <= sizes.top())
            }
            Self::Accelerators(_) => None,
        }
    }
}

/// A task size that isn't valid.
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

/// The shape of a gang.
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

/// A job as it is submitted. Declared run times are not part of it: they are not trusted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobSpec {
    /// Name of the job.
    pub job: JobId,
    /// Team that it belongs to.
    pub team: TeamId,
    /// Its tasks.
    pub gang: GangShape,
    /// Whether it goes first within its team's guarantee.
    pub is_urgent: bool,
}

/// Number of a job in the order of submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub(crate) struct JobKey(pub u64);

/// The accelerators of one task.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Assigned {
    /// Worker of the task.
    pub worker: WorkerIndex,
    /// Accelerators of the task.
    pub set: AcceleratorSet,
    /// Guarantee cell that the task draws on; `None` for borrowed work.
    pub cell: Option<CellRef>,
}

/// State of a running attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Waits until the accelerators that it has bound are free.
    Reclaiming,
    /// Tasks were ordered to start.
    Started,
    /// A checkpoint was ordered; the stop follows at this time.
    Checkpointing(Uptime),
    /// The stop was ordered.
    Stopping,
}

/// One try to run a job.
#[derive(Debug, Clone)]
pub(crate) struct Run {
    /// Number of the attempt.
    pub attempt: Attempt,
    /// Accelerators of each task.
    pub tasks: Vec<Assigned>,
    /// Which tasks have ended, and whether well.
    pub ended: Vec<Option<TaskOutcome>>,
    /// Whether the gang runs beyond its team's guarantee.
    pub is_borrowed: bool,
    /// When the start, or for a reclaiming gang the decision, was made.
    pub since: Uptime,
    /// When all tasks were reported as running.
    pub running_since: Option<Uptime>,
    /// How far the attempt has got.
    pub phase: Phase,
}

impl Run {
    /// Tells whether every task has ended.
    pub fn is_over(&self) -> bool {
        self.ended.iter().all(Option::is_some)
    }

    /// Returns the accelerators of all tasks.
    pub fn accelerators(&self) -> u32 {
        self.tasks.iter().map(|task| task.set.len()).sum()
    }

    /// Returns the accelerator time that a stop loses.
    pub fn lost_work(&self, now: Uptime) -> u64 {
        service(self.accelerators(), now.since(self.since))
    }
}

/// How a task ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskOutcome {
    /// Ran to its end.
    Succeeded,
    /// Ended with an error.
    Failed,
    /// Was stopped, or its worker's lease expired.
    Stopped,
}

/// A job that waits or runs.
#[derive(Debug, Clone)]
pub(crate) struct Job {
    /// What was submitted.
    pub spec: JobSpec,
    /// Size of a task as a block class.
    pub class: usize,
    /// When it was submitted.
    pub submitted: Uptime,
    /// When it last began to wait.
    pub waiting_since: Uptime,
    /// Last attempt made.
    pub last_attempt: Attempt,
    /// Accelerator milliseconds that earlier attempts used.
    pub attained: u64,
    /// Workers on which a task failed.
    pub failed_on: BTreeSet<WorkerIndex>,
    /// Failed attempts.
    pub failures: u32,
    /// Whether it was cancelled while it ran.
    pub is_cancelled: bool,
    /// The current attempt.
    pub run: Option<Run>,
}

impl Job {
    /// Returns the accelerators of the whole gang.
    pub fn accelerators(&self) -> u32 {
        self.spec.gang.tasks << self.class
    }
}

/// Returns accelerator milliseconds.
pub(crate) fn service(accelerators: u32, time: Duration) -> u64 {
    u64::from(accelerators) * u64::try_from(time.as_millis()).unwrap_or(u64::MAX >> 32)
}
