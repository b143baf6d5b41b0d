//! Jobs: specification, state and the explanation of the state.

use std::fmt::{self, Display, Formatter};

use cumindeck_types::{Attempt, AvailabilityZone, JobId, Region, Remaining, TeamId, WorkerId};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{MAX_JOBS_PER_PAGE, text};

/// Maximum number of tasks of a gang: the largest gang that the system is sized for.
pub const MAX_TASKS: u32 = 512;
/// Maximum number of accelerators of one task: a task never spans workers, and no worker
/// has more.
pub const MAX_TASK_ACCELERATORS: u32 = 64;
/// Maximum value of `max_attempts`.
pub const MAX_JOB_ATTEMPTS: u32 = 100;
/// Maximum number of words of a command, including the program.
const MAX_COMMAND_WORDS: usize = 64;
/// Maximum total length of the words of a command.
const MAX_COMMAND_BYTES: usize = 4_096;

/// Specification of a job; body of `POST /v1/jobs`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// Id, chosen by the submitter; a repetition with the same content gets the same
    /// response as the first submission.
    #[serde(with = "text")]
    pub id: JobId,
    /// Team that the job belongs to.
    #[serde(with = "text")]
    pub team: TeamId,
    /// Region in which the job runs.
    #[serde(with = "text")]
    pub region: Region,
    /// Number of tasks, which start together or not at all.
    pub tasks: u32,
    /// Number of accelerators of each task, which are adjacent.
    pub accelerators: u32,
    /// Whether all tasks run in one rack.
    #[serde(default)]
    pub same_rack: bool,
    /// Whether the job is placed before the team's other jobs within the guarantee.
    #[serde(default)]
    pub urgent: bool,
    /// Maximum number of failed attempts; `None` for the default of the settings.
    #[serde(default)]
    pub max_attempts: Option<u32>,
    /// Program and arguments of each task.
    pub command: Vec<String>,
    /// Time from acceptance within which the team needs the job to end, such as `4h`.
    #[serde(with = "text::option", default)]
    pub deadline: Option<Remaining>,
}

impl JobSpec {
    /// Checks the limits that apply at every site.
    pub fn check(&self) -> Result<(), JobSpecError> {
        let range = |field, found: u32, max| {
            if (1..=max).contains(&found) {
                return Ok(());
            }
            Err(JobSpecError::Range { field, found, max })
        };
        range("tasks", self.tasks, MAX_TASKS)?;
        range("accelerators", self.accelerators, MAX_TASK_ACCELERATORS)?;
        range(
            "max_attempts",
            self.max_attempts.unwrap_or(1),
            MAX_JOB_ATTEMPTS,
        )?;
        let bytes = self.command.iter().map(String::len).sum();
        if self.command.is_empty() || self.command[0].is_empty() {
            return Err(JobSpecError::NoCommand);
        }
        if self.command.len() > MAX_COMMAND_WORDS || bytes > MAX_COMMAND_BYTES {
            return Err(JobSpecError::LongCommand {
                words: self.command.len(),
                bytes,
            });
        }
        Ok(())
    }
}

/// Error of a job specification that exceeds a limit.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum JobSpecError {
    /// A number is out of range.
    #[error("{field} is {found}; expected 1 to {max}")]
    Range {
        /// Name of the field of [`JobSpec`].
        field: &'static str,
        /// Value found: 0, or more than `max`.
        found: u32,
        /// Maximum value; the minimum is 1.
        max: u32,
    },
    /// The command has no program.
    #[error("command is empty; expected a program and its arguments")]
    NoCommand,
    /// The command is too long.
    #[error(
        "command has {words} words and {bytes} bytes; \
         expected at most {MAX_COMMAND_WORDS} words and {MAX_COMMAND_BYTES} bytes"
    )]
    LongCommand {
        /// Number of words found.
        words: usize,
        /// Total length of the words found.
        bytes: usize,
    },
}

/// State of a job. `Succeeded`, `Failed` and `Cancelled` are final.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobState {
    /// Accepted, and waiting for resources.
    Queued,
    /// An attempt is being reserved or started.
    Starting,
    /// All tasks run.
    Running,
    /// The attempt is being stopped.
    Stopping,
    /// Ended with success of all tasks.
    Succeeded,
    /// Ended without success, and no attempt remains.
    Failed,
    /// Cancelled by an operator.
    Cancelled,
}

impl JobState {
    /// Returns whether the state is final.
    #[must_use]
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Succeeded | Self::Failed | Self::Cancelled)
    }
}

impl Display for JobState {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Queued => "queued",
            Self::Starting => "starting",
            Self::Running => "running",
            Self::Stopping => "stopping",
            Self::Succeeded => "succeeded",
            Self::Failed => "failed",
            Self::Cancelled => "cancelled",
        })
    }
}

/// Response to a submitted job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobAccepted {
    /// Id from the submitted [`JobSpec`].
    #[serde(with = "text")]
    pub id: JobId,
    /// State of the job after acceptance.
    pub state: JobState,
}

/// Current state of a job; response to `GET /v1/jobs/{id}`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobStatus {
    /// Specification as submitted.
    pub spec: JobSpec,
    /// State of the job.
    pub state: JobState,
    /// Number of the newest attempt; 0 before the first one.
    #[serde(with = "text::counter")]
    pub attempt: Attempt,
    /// Whether the tasks run beyond the team's guarantee and can be reclaimed.
    pub is_borrowed: bool,
    /// Locations of the tasks, by task index.
    #[serde(default)]
    pub places: Vec<TaskLocation>,
    /// Last event as a sentence, such as the exit status of a task.
    pub message: String,
}

/// Location of one task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskLocation {
    /// Worker that runs the task.
    #[serde(with = "text")]
    pub worker: WorkerId,
    /// The worker's availability zone.
    #[serde(with = "text")]
    pub zone: AvailabilityZone,
    /// First of the task's adjacent accelerators on the worker.
    pub first_accelerator: u32,
}

/// Response to `GET /v1/jobs`, filtered by `?team=`, `?state=` and `?after=`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobList {
    /// Jobs, ordered by id.
    pub jobs: Vec<JobStatus>,
    /// Value of `after` for the next page; `None` on the last page.
    #[serde(with = "text::option", default)]
    pub next: Option<JobId>,
}

/// Filters of `GET /v1/jobs`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobFilter {
    /// Only jobs of this team.
    #[serde(with = "text::option", default)]
    pub team: Option<TeamId>,
    /// Only jobs in this state.
    #[serde(default)]
    pub state: Option<JobState>,
    /// Only jobs with a greater id.
    #[serde(with = "text::option", default)]
    pub after: Option<JobId>,
}

impl JobFilter {
    /// Returns the page of matching jobs that follows `after`, or the first page without
    /// it; `jobs` must be ordered by id.
    #[must_use]
    pub fn page(&self, jobs: impl IntoIterator<Item = JobStatus>) -> JobList {
        let matching = jobs.into_iter().filter(|job| self.matches(job));
        let mut jobs: Vec<_> = matching.take(MAX_JOBS_PER_PAGE + 1).collect();
        let has_more = jobs.len() > MAX_JOBS_PER_PAGE;
        jobs.truncate(MAX_JOBS_PER_PAGE);
        let last = jobs.last().filter(|_| has_more);
        let next = last.map(|job| job.spec.id.clone());
        JobList { jobs, next }
    }

    fn matches(&self, job: &JobStatus) -> bool {
        self.team.as_ref().is_none_or(|team| job.spec.team == *team)
            && self.state.is_none_or(|state| job.state == state)
            && self.after.as_ref().is_none_or(|after| job.spec.id > *after)
    }
}

/// Accelerators that a job requires.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRequirements {
    /// Number of tasks.
    pub tasks: u32,
    /// Adjacent accelerators of each task.
    pub accelerators: u32,
    /// Whether all tasks run in one rack.
    pub same_rack: bool,
}

/// Explanation of a job's state; response to `GET /v1/jobs/{id}/why`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobExplanation {
    /// Id of the job.
    #[serde(with = "text")]
    pub id: JobId,
    /// State that `reason` explains.
    pub state: JobState,
    /// Reason for the state, as a sentence.
    pub reason: String,
    /// Position in the team's queue, from 1, while the job is queued.
    #[serde(default)]
    pub position: Option<u32>,
    /// What the job lacks now, such as `3 tasks`, while it is queued.
    #[serde(default)]
    pub missing: Option<String>,
    /// Nearest requirements that fit, if the job's own don't.
    #[serde(default)]
    pub nearest: Option<JobRequirements>,
    /// What the operator can do.
    pub hint: String,
}
