//! Types of the operators' HTTP/JSON interface, without I/O.
//!
//! The entry and the command line share these types; `docs/http-api.md` documents
//! the interface. Request bodies reject unknown fields. Response bodies tolerate
//! them, so that an older client can read the responses of a newer entry.

mod config;
mod error;
mod job;
pub mod path;
mod rules;
mod status;
mod team;
mod text;
mod worker;
mod zone;

pub use config::{ConfigAccepted, ConfigBundle, ConfigChange};
pub use error::{Conflict, ErrorBody, ErrorReason, ErrorVerdict, Problem};
pub use job::{
    JobAccepted, JobExplanation, JobFilter, JobList, JobRequirements, JobSpec, JobSpecError,
    JobState, JobStatus, MAX_JOB_ATTEMPTS, MAX_TASK_ACCELERATORS, MAX_TASKS, TaskLocation,
};
pub use rules::{
    AlertState, AlertStatus, AlertTransition, RuleFileError, RuleFileName, RuleFileStatus,
    RulesAccepted, RulesStatus,
};
pub use status::{EntryStatus, LeaderStatus, SiteStatus, StoreState};
pub use team::{TeamList, TeamRegion, TeamStatus};
pub use worker::{WorkerDrain, WorkerFence, WorkerFilter, WorkerHealth, WorkerList, WorkerStatus};
pub use zone::{ZoneChange, ZoneList, ZoneStatus};

/// Maximum size of the body of an operator's request, in bytes.
///
/// A bundle with 6 overlays of 360 teams and 19 zones each takes 217 KB.
pub const MAX_OPERATOR_BODY: usize = 4 * 1024 * 1024;
/// Maximum number of jobs per page of `GET /v1/jobs`.
pub const MAX_JOBS_PER_PAGE: usize = 1_000;
