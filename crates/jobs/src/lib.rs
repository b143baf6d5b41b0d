//! Jobs of several steps, scheduled onto workers with processors, memory and
//! accelerators.
//!
//! The crate does no input or output. The entry that leads the scheduler drives a
//! [`Scheduler`], an agent drives an [`AgentCore`], and every entry responds to its
//! callers from a [`Desk`]. Time is passed in, and everything that must be durable
//! leaves as rows of a table with conditions on row versions.

mod agent;
mod call;
mod catalog;
mod desk;
mod duty;
mod exchange;
mod limits;
mod model;
mod progress;
mod rows;
mod scheduler;
mod search;
mod task;

pub use agent::{AgentCore, AgentEffect, HoldCall, HoldReply, StartCall, StartOutcome};
pub use call::{CallerAnswer, CallerRequest, CallerVerb};
pub use catalog::{Access, Catalog, Denied, Queue, Team};
pub use desk::{Desk, DeskStep, StoreResult};
pub use duty::{DutyAction, DutyWatch};
pub use exchange::{
    AgentReport, EndReport, ExchangeReply, Order, RunEnd, RunReport, RunState, WorkerLife,
};
pub use limits::TimeLimits;
pub use model::{JobSpec, Recurrence, Room, StepSpec};
pub use progress::{JobProgress, JobState, Placement, StepProgress, TaskProgress};
pub use rows::{
    CancelRow, Change, Condition, DutyRow, EntryRow, JobRow, Row, RowKey, RowName, StoreRow,
    Transaction,
};
pub use scheduler::{Advice, AdviceRequest, Batch, CommitStep, Decision, DecisionKind, Scheduler};
pub use search::{HolderSearch, SearchStep};
pub use task::{StepId, TaskId, TaskIdError};
