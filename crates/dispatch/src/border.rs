//! What the scheduler needs of a platform.

use std::time::Duration;

use async_trait::async_trait;
use cumindeck_jobs::{
    Advice, AdviceRequest, Catalog, HoldCall, HoldReply, StartCall, StartOutcome, StoreResult,
    StoreRow, TaskId, Transaction,
};
use cumindeck_types::{AvailabilityZone, FencingToken, JobId, RunNumber, WorkerId};

/// A change that the operator made.
#[derive(Debug, Clone, PartialEq)]
pub enum OperatorChange {
    /// A configuration.
    Catalog(Box<Catalog>),
    /// The evacuation of a zone or its end.
    Evacuation {
        /// Zone.
        zone: AvailabilityZone,
        /// Whether nothing may start there.
        is_evacuated: bool,
    },
}

/// The operator's rows, or what changed of them.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct OperatorChanges {
    /// Changes, in order.
    pub changes: Vec<OperatorChange>,
    /// Version up to which they are complete.
    pub version: u64,
}

/// The system's rows, or what changed of them.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct RowChanges {
    /// Rows, in order.
    pub rows: Vec<StoreRow>,
    /// Version up to which they are complete.
    pub version: u64,
    /// The store's clock in milliseconds.
    pub store_ms: u64,
}

/// A read that brought nothing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreFailure(pub String);

/// A feed that brought nothing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FollowError {
    /// The changes since the version are no longer kept; all rows have to be read.
    HistoryGone,
    /// The store didn't answer.
    Failed(StoreFailure),
}

/// The platform's table service.
#[async_trait]
pub trait RowStore: Send + Sync {
    /// Carries out a transaction.
    async fn transact(&self, transaction: &Transaction) -> StoreResult;

    /// Reads all of the system's rows.
    async fn read_all(&self) -> Result<RowChanges, StoreFailure>;

    /// Reads the rows of the duty and of the entries.
    async fn read_members(&self) -> Result<RowChanges, StoreFailure>;

    /// Reads the rows of a job.
    async fn read_job(&self, job: &JobId) -> Result<RowChanges, StoreFailure>;

    /// Waits for changes of the system's rows after a version.
    async fn follow(&self, after: u64, wait: Duration) -> Result<RowChanges, FollowError>;

    /// Reads the operator's rows.
    async fn read_operator(&self) -> Result<OperatorChanges, StoreFailure>;

    /// Waits for changes of the operator's rows after a version.
    async fn follow_operator(
        &self,
        after: u64,
        wait: Duration,
    ) -> Result<OperatorChanges, FollowError>;
}

/// The platform's service that knows which workers may run a step.
#[async_trait]
pub trait Adviser: Send + Sync {
    /// Asks which workers may run a step; an error is for the log.
    async fn advise(&self, request: &AdviceRequest) -> Result<Advice, String>;
}

/// The worker beside an agent.
#[async_trait]
pub trait WorkerControl: Send + Sync {
    /// Starts a run.
    async fn start(&self, call: &StartCall) -> StartOutcome;

    /// Stops a run; true if it is stopped or will not start.
    async fn stop(
        &self,
        worker: &WorkerId,
        task: &TaskId,
        run: RunNumber,
        token: FencingToken,
    ) -> bool;

    /// Extends leases and reads the worker's lists.
    async fn hold(&self, call: &HoldCall) -> Result<HoldReply, String>;
}
