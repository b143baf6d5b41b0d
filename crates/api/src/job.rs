//! Jobs: specification, state and the reason for it.

use std::fmt::{self, Display, Formatter};

use cumindeck_types::{Attempt, AvailabilityZone, JobId, Region, Remaining, TeamId, WorkerId};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{MAX_JOBS_PER_PAGE, text};

/// Most tasks of a gang, from the target sizes.
pub const MAX_TASKS: u32 = 512;
/// Most accelerators of one task: a task never spans workers, and no worker
/// has more.
pub const MAX_TASK_ACCELERATORS: u32 = 64;
/// Most attempts that a job may ask for.
pub const MAX_JOB_ATTEMPTS: u32 = 100;
/// Most words of a command.
const MAX_COMMAND_WORDS: usize = 64;
/// Most bytes of a command.
const MAX_COMMAND_BYTES: usize = 4_096;

/// What an operator submits; body of `POST /v1/jobs`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// Id, chosen by the submitter; a repetition with the same content is
    /// answered like the first one.
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
    /// Adjacent accelerators of each task.
    pub accelerators: u32,
    /// Whether all tasks run in one rack.
    #[serde(default)]
    pub same_rack: bool,
    /// Whether the job goes first within the team's guarantee.
    #[serde(default)]
    pub urgent: bool,
    /// Most attempts; the settings' default if `None`.
    #[serde(default)]
    pub max_attempts: Option<u32>,
    /// Command of each task.
    pub command: Vec<String>,
    /// Time from acceptance to the end that the team needs, such as `4h`.
    #[serde(with = "text::option", default)]
    pub deadline: Option<Remaining>,
}

impl JobSpec {
    /// Checks the limits that hold at every site.
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

/// A job specification that breaks a limit.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum JobSpecError {
    /// A number is out of range.
    #[error("{field} is {found}; expected 1 to {max}")]
    Range {
        /// Field with the number.
        field: &'static str,
        /// Number found.
        found: u32,
        /// Largest number allowed.
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
        /// Words found.
        words: usize,
        /// Bytes found.
        bytes: usize,
    },
}

/// State of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobState {
    /// Accepted and waiting for room.
    Queued,
    /// An attempt is being reserved or started.
    Starting,
    /// All tasks run.
    Running,
    /// The attempt is being stopped.
    Stopping,
    /// Ended in full.
    Succeeded,
    /// Ended without success, and no attempt is left.
    Failed,
    /// Cancelled by an operator.
    Cancelled,
}

impl JobState {
    /// Tells whether the job won't change any more.
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

/// Answer to a submitted job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobAccepted {
    /// The job.
    #[serde(with = "text")]
    pub id: JobId,
    /// State after acceptance.
    pub state: JobState,
}

/// A job as it is now; answer to `GET /v1/jobs/{id}`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobStatus {
    /// What was submitted.
    pub spec: JobSpec,
    /// State.
    pub state: JobState,
    /// Number of the newest attempt; 0 before the first one.
    #[serde(with = "text::counter")]
    pub attempt: Attempt,
    /// Whether the tasks run beyond the team's guarantee and can be reclaimed.
    pub is_borrowed: bool,
    /// Places of the tasks, by task index.
    #[serde(default)]
    pub places: Vec<JobPlace>,
    /// Last event in a sentence, such as the exit status of a task.
    pub message: String,
}

/// Place of one task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobPlace {
    /// Worker.
    #[serde(with = "text")]
    pub worker: WorkerId,
    /// The worker's availability zone.
    #[serde(with = "text")]
    pub zone: AvailabilityZone,
    /// First accelerator of the task's cells.
    pub first_accelerator: u32,
}

/// Answer to `GET /v1/jobs`, filtered by `?team=`, `?state=` and `?after=`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobList {
    /// Jobs in order of their id.
    pub jobs: Vec<JobStatus>,
    /// Id to pass as `after` for the next page, if there is one.
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
    /// Makes a page of the jobs that pass; the jobs come in order of their id.
    #[must_use]
    pub fn page(&self, jobs: impl IntoIterator<Item = JobStatus>) -> JobList {
        let passing = jobs.into_iter().filter(|job| self.passes(job));
        let mut jobs: Vec<_> = passing.take(MAX_JOBS_PER_PAGE + 1).collect();
        let is_cut = jobs.len() > MAX_JOBS_PER_PAGE;
        jobs.truncate(MAX_JOBS_PER_PAGE);
        let last = jobs.last().filter(|_| is_cut);
        let next = last.map(|job| job.spec.id.clone());
        JobList { jobs, next }
    }

    fn passes(&self, job: &JobStatus) -> bool {
        self.team.as_ref().is_none_or(|team| job.spec.team == *team)
            && self.state.is_none_or(|state| job.state == state)
            && self.after.as_ref().is_none_or(|after| job.spec.id > *after)
    }
}

/// Accelerators that a job asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobNeed {
    /// Number of tasks.
    pub tasks: u32,
    /// Adjacent accelerators of each task.
    pub accelerators: u32,
    /// Whether all tasks run in one rack.
    pub same_rack: bool,
}

/// Why a job is in its state; answer to `GET /v1/jobs/{id}/why`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobWhy {
    /// The job.
    #[serde(with = "text")]
    pub id: JobId,
    /// State.
    pub state: JobState,
    /// The reason in a sentence.
    pub reason: String,
    /// Position in the team's queue from 1, while the job is queued.
    #[serde(default)]
    pub position: Option<u32>,
    /// Cells that are missing now, such as `1xrack`, while the job is queued.
    #[serde(default)]
    pub missing: Option<String>,
    /// Nearest need that fits, if the job's own need doesn't.
    #[serde(default)]
    pub nearest: Option<JobNeed>,
    /// What to do next.
    pub hint: String,
}
