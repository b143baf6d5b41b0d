//! Control decisions of an entry, without I/O: membership, configuration,
//! availability zones, leadership, jobs and operators' calls.
//!
//! [`SiteMachine`] is owned by one task of the entry. It handles [`SiteEvent`]s
//! and returns [`SiteEffect`]s: reads and commits of the table service, orders
//! to agents, replies. Rows are typed values; the task that talks to the table
//! service encodes them.

mod alerts;
mod announce;
mod config;
mod event;
mod leader_rows;
mod machine;
mod operators;
mod polled;
mod region;
mod results;
mod rows;
mod status;

pub use alerts::{
    AlertNotice, AlertsCommit, AlertsCx, AlertsEffect, AlertsLeadership, AlertsRead, PutRules,
    RuleFileChanges, RuleFileRow, RulesStateRow, TransitionBatchRow, TransitionRow, UsageReport,
    UsageSample,
};
pub use event::{
    AnnounceCallId, CommitId, Notice, OperatorCallId, OperatorReply, OperatorRequest, Order,
    OrderId, ReadId, RowAction, RowCondition, RowWrite, SiteEffect, SiteEvent,
};
pub use machine::{EntryIdentity, SiteMachine};
pub use rows::{
    AttemptRow, AttemptTask, BundleRow, EndedRow, EntryRow, JobRow, LeaderStateRow, RingRow,
    RowKey, RowRange, RowValue, StoredRow, WorkerRow, ZoneStateRow,
};
