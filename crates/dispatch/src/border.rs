//! Traits through which the scheduler uses a platform.

use std::time::Duration;

use async_trait::async_trait;
use cumindeck_jobs::{
    Advice, AdviceRequest, Catalog, RenewCall, RenewFailure, RenewReply, StartCall, StartOutcome,
    StoreResult, StoreRow, TaskId, Transaction,
};
use cumindeck_types::{AvailabilityZone, FencingToken, JobId, RunNumber, WorkerId};

/// A change that operators made.
#[derive(Debug, Clone, PartialEq)]
pub enum OperatorChange {
    /// A configuration that replaces the previous one.
    Catalog(Box<Catalog>),
    /// Start or end of the evacuation of a zone.
    Evacuation {
        /// Zone whose evacuation starts or ends.
        zone: AvailabilityZone,
        /// Whether no run may start there.
        is_evacuated: bool,
    },
}

/// Operators' rows: all of them, or those that changed.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct OperatorChanges {
    /// Changes, in order.
    pub changes: Vec<OperatorChange>,
    /// Version of the store up to which the changes are complete.
    pub version: u64,
}

/// System rows: all of them, or those that changed.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct RowChanges {
    /// Rows, in the order in which they are applied.
    pub rows: Vec<StoreRow>,
    /// Version of the store up to which the rows are complete.
    pub version: u64,
    /// Time of the store's clock in milliseconds.
    pub store_ms: u64,
}

/// Reason why a read failed, for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreFailure(pub String);

/// Reason why the changes of rows could not be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FollowError {
    /// The store no longer keeps the changes after the version; all rows have to be
    /// read.
    HistoryGone,
    /// The call to the store failed.
    Failed(StoreFailure),
}

/// The platform's table service.
#[async_trait]
pub trait RowStore: Send + Sync {
    /// Executes a transaction.
    async fn transact(&self, transaction: &Transaction) -> StoreResult;

    /// Reads all system rows.
    async fn read_all(&self) -> Result<RowChanges, StoreFailure>;

    /// Reads the leader row and the rows of the entries.
    async fn read_members(&self) -> Result<RowChanges, StoreFailure>;

    /// Reads the rows of a job.
    async fn read_job(&self, job: &JobId) -> Result<RowChanges, StoreFailure>;

    /// Waits up to `wait` for changes of the system rows after a version.
    async fn follow(&self, after: u64, wait: Duration) -> Result<RowChanges, FollowError>;

    /// Reads all operators' rows.
    async fn read_operator(&self) -> Result<OperatorChanges, StoreFailure>;

    /// Waits up to `wait` for changes of the operators' rows after a version.
    async fn follow_operator(
        &self,
        after: u64,
        wait: Duration,
    ) -> Result<OperatorChanges, FollowError>;
}

/// The platform's service that knows which workers may run a step.
#[async_trait]
pub trait Adviser: Send + Sync {
    /// Returns which workers may run a step; the text of an error is for the log.
    async fn advise(&self, request: &AdviceRequest) -> Result<Advice, String>;
}

/// The worker beside an agent.
#[async_trait]
pub trait WorkerControl: Send + Sync {
    /// Starts a run.
    async fn start(&self, call: &StartCall) -> StartOutcome;

    /// Stops a run and returns whether it is stopped or will not start.
    async fn stop(
        &self,
        worker: &WorkerId,
        task: &TaskId,
        run: RunNumber,
        token: FencingToken,
    ) -> bool;

    /// Extends the leases of a worker's runs and returns the worker's run lists.
    async fn renew_leases(&self, call: &RenewCall) -> Result<RenewReply, RenewFailure>;
}
