//! Jobs of several steps, scheduled onto workers with processors, memory and
//! accelerators.
//!
//! An entry and an agent here are those of the platform's jobs, which the crate
//! `cumindeck-dispatch` runs, not those of the crates `cumindeck-entry` and
//! `cumindeck-agent`.
//!
//! The crate does no input or output. The entry that leads the scheduler drives a
//! [`Scheduler`], an agent drives an [`AgentCore`], and every entry responds to its
//! callers from a [`JobApi`]. Time is passed in, and everything that must be durable
//! leaves as rows of a table with conditions on row versions.

mod admission;
mod agent;
mod call;
mod catalog;
mod early_cancels;
mod exchange;
mod incarnation;
mod job_api;
mod leader;
mod limits;
mod model;
mod policy;
mod progress;
mod relay;
mod rows;
mod scheduler;
mod search;
mod store_wait;
mod stored_progress;
mod task;
mod view;
mod withheld;

pub use agent::{
    AckOutcome, Acknowledgement, AgentCore, AgentEffect, RenewCall, RenewFailure, RenewReply,
    StartCall, StartOutcome,
};
pub use call::{CallerAnswer, CallerOperation, CallerRequest};
pub use catalog::{Access, Catalog, Denied, Queue, Team};
pub use early_cancels::MAX_WRITE_AGE;
pub use exchange::{
    AgentReport, EndListing, EndReport, ExchangeReply, LearnedSpeed, Order, RunEnd, RunReport,
    RunState, WorkKind, WorkerIncarnation,
};
pub use incarnation::{IncarnationId, IncarnationIdError};
pub use job_api::{ApiStep, JobApi, StoreResult};
pub use leader::{LeaderAction, LeaderWatch};
pub use limits::{DEFAULT_RESTORE, TimeLimits};
pub use model::{JobSpec, MAX_JOB_TASKS, Recurrence, Resources, StepSpec};
pub use policy::{PolicyChoice, PolicyChoiceError, PolicySettings, SiteProfile};
pub use progress::{JobProgress, JobState, Placement, StepProgress, TaskProgress};
pub use relay::{Relay, RelayOutcome};
pub use rows::{
    CancelRow, Change, Condition, DoubtedWorker, EntryRow, Forecast, JobRow, LeaderRow, Row,
    RowKey, RowName, StoreRow, Transaction, WaitForecast,
};
pub use scheduler::{
    Advice, AdviceRequest, Batch, CommitStep, Decision, DecisionKind, PredictionError, Release,
    Scheduler, SpeedChange, SpeedClass, SpeedStatus, WithheldChange, WithheldStatus,
};
pub use search::{LeaderDiscovery, SearchStep};
pub use store_wait::StoreRead;
pub use stored_progress::ProgressParts;
pub use task::{StepId, TaskId, TaskIdError};
pub use view::{Reading, RowView};
pub use withheld::WithheldState;
