//! Requests of callers and their responses.

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::model::{Recurrence, StepSpec};
use crate::progress::JobState;

/// Time after which a caller should retry a request that has not run.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Operation that a caller requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallerOperation {
    /// Submit a job.
    Submit {
        /// What the tasks run; only the worker interprets it.
        payload: String,
        /// Steps of each occurrence, identified by their index.
        steps: Vec<StepSpec>,
        /// Schedule of a recurring job.
        recurrence: Option<Recurrence>,
    },
    /// Read the state of a job, or the number of waiting jobs of a queue.
    Read,
    /// Cancel a job.
    Cancel,
}

/// A request of a caller, as received or as forwarded by another entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerRequest {
    /// Host that it addresses.
    pub host: String,
    /// Path of the URL, without the query.
    pub path: String,
    /// API key, if it has one.
    pub key: Option<String>,
    /// Requested operation, with the contents of a submitted job.
    pub verb: CallerOperation,
    /// Whether another entry forwarded it.
    pub is_relayed: bool,
}

/// The response to a caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallerAnswer {
    /// The job is accepted or cancelled.
    Ok,
    /// State of the job that the path identifies.
    State(JobState),
    /// The job that the path identifies counts as failed because its progress can't be
    /// stored, for this reason.
    SetApart(String),
    /// Number of a queue's jobs of which no task has started.
    Pending(u64),
    /// No such queue.
    NoQueue,
    /// The key is missing or unknown.
    BadKey,
    /// No such job.
    NoJob,
    /// The job was cancelled before it was accepted; it does not run.
    CancelledEarly,
    /// The request is invalid, for this reason.
    Bad(String),
    /// The request has not run and will not; the caller may retry after this time.
    NotRun(Duration, String),
    /// The request may have run or may run later.
    Unknown(String),
}

impl CallerOperation {
    /// Returns the name of the operation in logs.
    #[must_use]
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Submit { .. } => "submit",
            Self::Read => "read",
            Self::Cancel => "cancel",
        }
    }

    /// Returns whether the operation changes a job.
    #[must_use]
    pub const fn has_effect(&self) -> bool {
        !matches!(self, Self::Read)
    }
}

impl CallerAnswer {
    /// Creates the response to a request that has not run.
    #[must_use]
    pub fn not_run(reason: &str) -> Self {
        Self::NotRun(RETRY_AFTER, reason.to_owned())
    }

    /// Creates the response to a request that may have run.
    #[must_use]
    pub fn unknown(reason: &str) -> Self {
        Self::Unknown(reason.to_owned())
    }

    /// Returns the name of the response in logs.
    #[must_use]
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Ok => "ok",
            Self::State(_) => "state",
            Self::SetApart(_) => "set-apart",
            Self::Pending(_) => "pending",
            Self::NoQueue => "no-queue",
            Self::BadKey => "bad-key",
            Self::NoJob => "no-job",
            Self::CancelledEarly => "cancelled-early",
            Self::Bad(_) => "bad-request",
            Self::NotRun(..) => "not-run",
            Self::Unknown(_) => "unknown",
        }
    }
}

impl Display for CallerAnswer {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::State(state) => write!(f, "{state}"),
            Self::Pending(jobs) => write!(f, "pending {jobs}"),
            Self::Bad(reason)
            | Self::SetApart(reason)
            | Self::NotRun(_, reason)
            | Self::Unknown(reason) => {
                write!(f, "{}: {reason}", self.name())
            }
            Self::Ok | Self::NoQueue | Self::BadKey | Self::NoJob | Self::CancelledEarly => {
                f.write_str(self.name())
            }
        }
    }
}
