//! Client of the platform's workers, which run tasks under leases.

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use async_trait::async_trait;
use cumindeck_types::{Attempt, JobId, Remaining, TaskIndex, WorkerId};
use hyper::Method;
use thiserror::Error;

use crate::api::{LeaseBody, PrepareBody, StartBody, TaskPhaseBody, TasksBody};
use crate::http::{HttpClient, HttpError};

/// The identifier of a task at its worker, of the form `JOB:ATTEMPT:TASK`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RuntimeTaskId(String);

impl RuntimeTaskId {
    /// Creates the identifier of the task of an attempt.
    #[must_use]
    pub fn new(job: &JobId, attempt: Attempt, task: TaskIndex) -> Self {
        Self(format!("{job}:{attempt}:{task}"))
    }

    /// Returns the identifier as a string slice.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl Display for RuntimeTaskId {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// An order to prepare a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PrepareTask {
    /// Identifier that later orders for the task use.
    pub id: RuntimeTaskId,
    /// Indices of the worker's accelerators.
    pub accelerators: Vec<u32>,
    /// Command to run.
    pub command: String,
    /// Duration of the lease; the worker stops the task when the lease expires.
    pub lease: Remaining,
}

/// Phase of a task at its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RuntimeTaskPhase {
    /// Prepared, not started.
    Prepared,
    /// The task process was started and has not ended.
    Running,
    /// Ended successfully.
    Succeeded,
    /// Ended with an error.
    Failed,
    /// Stopped by order or because its lease expired.
    Stopped,
}

/// A task at its worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RuntimeTaskState {
    /// Identifier under which the task was prepared.
    pub id: RuntimeTaskId,
    /// Phase at the time of the response.
    pub phase: RuntimeTaskPhase,
    /// Detail for operators.
    pub detail: String,
}

/// A failed order to a worker.
#[derive(Debug, Clone, Error)]
pub enum RuntimeError {
    /// The worker certainly did not carry out the order.
    #[error("order was not carried out: {0}")]
    Refused(HttpError),
    /// The worker may have carried out the order.
    #[error("outcome of the order is unknown: {0}")]
    Unknown(HttpError),
}

impl From<HttpError> for RuntimeError {
    fn from(err: HttpError) -> Self {
        match err {
            HttpError::NoAnswer { .. } => Self::Unknown(err),
            HttpError::NotSent(_) | HttpError::Refused { .. } => Self::Refused(err),
        }
    }
}

/// A worker that runs tasks under leases.
#[async_trait]
pub trait WorkerRuntime: Send + Sync {
    /// Prepares a task without starting its process.
    async fn prepare(&self, task: &PrepareTask) -> Result<(), RuntimeError>;

    /// Starts the process of a prepared task within the duration `not_after`, or not at
    /// all.
    async fn start(&self, id: &RuntimeTaskId, not_after: Remaining) -> Result<(), RuntimeError>;

    /// Stops a task and returns once it has stopped.
    async fn stop(&self, id: &RuntimeTaskId) -> Result<(), RuntimeError>;

    /// Writes a checkpoint of a running task.
    async fn checkpoint(&self, id: &RuntimeTaskId) -> Result<(), RuntimeError>;

    /// Extends the leases of all tasks of the worker.
    async fn renew(&self, lease: Remaining) -> Result<(), RuntimeError>;

    /// Returns the states of all tasks of the worker.
    async fn tasks(&self) -> Result<Vec<RuntimeTaskState>, RuntimeError>;
}

/// A client of one worker over HTTP.
#[derive(Debug, Clone)]
pub struct HttpWorker {
    client: HttpClient,
    worker: WorkerId,
}

impl HttpWorker {
    /// Creates a client of one worker.
    #[must_use]
    pub const fn new(client: HttpClient, worker: WorkerId) -> Self {
        Self { client, worker }
    }

    async fn order(&self, id: &RuntimeTaskId, order: &str) -> Result<(), RuntimeError> {
        let path = format!("/v1/workers/{}/tasks/{id}/{order}", self.worker);
        let _: serde_json::Value = self.client.json(Method::POST, &path, &()).await?;
        Ok(())
    }
}

#[async_trait]
impl WorkerRuntime for HttpWorker {
    async fn prepare(&self, task: &PrepareTask) -> Result<(), RuntimeError> {
        let body = PrepareBody {
            task: task.id.as_str().to_owned(),
            accelerators: task.accelerators.clone(),
            command: task.command.clone(),
            lease_ms: millis(task.lease.as_duration()),
        };
        let path = format!("/v1/workers/{}/tasks", self.worker);
        let _: serde_json::Value = self.client.json(Method::POST, &path, &body).await?;
        Ok(())
    }

    async fn start(&self, id: &RuntimeTaskId, not_after: Remaining) -> Result<(), RuntimeError> {
        let path = format!("/v1/workers/{}/tasks/{id}/start", self.worker);
        let body = StartBody {
            not_after_ms: millis(not_after.as_duration()),
        };
        let _: serde_json::Value = self.client.json(Method::POST, &path, &body).await?;
        Ok(())
    }

    async fn stop(&self, id: &RuntimeTaskId) -> Result<(), RuntimeError> {
        self.order(id, "stop").await
    }

    async fn checkpoint(&self, id: &RuntimeTaskId) -> Result<(), RuntimeError> {
        self.order(id, "checkpoint").await
    }

    async fn renew(&self, lease: Remaining) -> Result<(), RuntimeError> {
        let path = format!("/v1/workers/{}/lease", self.worker);
        let body = LeaseBody {
            lease_ms: millis(lease.as_duration()),
        };
        let _: serde_json::Value = self.client.json(Method::POST, &path, &body).await?;
        Ok(())
    }

    async fn tasks(&self) -> Result<Vec<RuntimeTaskState>, RuntimeError> {
        let path = format!("/v1/workers/{}/tasks", self.worker);
        let body: TasksBody = self.client.get(&path).await?;
        let to_state = |task: crate::api::TaskBody| RuntimeTaskState {
            id: RuntimeTaskId(task.task),
            phase: phase(task.phase),
            detail: task.detail,
        };
        Ok(body.tasks.into_iter().map(to_state).collect())
    }
}

const fn phase(body: TaskPhaseBody) -> RuntimeTaskPhase {
    match body {
        TaskPhaseBody::Prepared => RuntimeTaskPhase::Prepared,
        TaskPhaseBody::Running => RuntimeTaskPhase::Running,
        TaskPhaseBody::Succeeded => RuntimeTaskPhase::Succeeded,
        TaskPhaseBody::Failed => RuntimeTaskPhase::Failed,
        TaskPhaseBody::Stopped => RuntimeTaskPhase::Stopped,
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
