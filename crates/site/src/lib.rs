//! Control decisions of an entry, without I/O: membership, configuration,
//! availability zones, duties, jobs and operators' calls.
//!
//! [`SiteMachine`] is owned by one task of the entry. It takes in [`SiteEvent`]s
//! and returns [`SiteEffect`]s: reads and commits of the table service, orders
//! to agents, replies. Rows are typed values; the task that talks to the table
//! service encodes them.

mod alerts;
mod announce;
mod config;
mod duty_rows;
mod event;
mod heads;
mod machine;
mod operators;
mod region;
mod results;
mod rows;
mod status;

pub use alerts::{
    Acceptance, AlertNotice, AlertsCommit, AlertsCx, AlertsDuty, AlertsEffect, AlertsRead,
    PutRules, RuleFileRow, RulesStateRow, TransitionBatchRow, TransitionRow, UsageReport,
    UsageSample,
};
pub use event::{
    AnnounceCall, CommitId, Notice, OperatorCall, OperatorReply, OperatorRequest, Order, OrderId,
    ReadId, RowAction, RowCondition, RowWrite, SiteEffect, SiteEvent,
};
pub use machine::{SiteConfig, SiteMachine};
pub use rows::{
    AttemptRow, AttemptTask, BundleRow, DutyStateRow, EndedRow, EntryRow, JobRow, RingRow, RowKey,
    RowRange, RowValue, StoredRow, WorkerRow, ZoneStateRow,
};
