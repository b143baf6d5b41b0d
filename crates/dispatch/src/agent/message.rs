//! Messages to the agent task.

use std::net::SocketAddr;

use cumindeck_jobs::{
    Acknowledgement, ExchangeReply, IncarnationId, RenewFailure, RenewReply, StartOutcome, TaskId,
    WorkerIncarnation,
};
use cumindeck_types::{RunNumber, Uptime, WorkerId};
use tokio::sync::{mpsc, oneshot};

/// A message to the agent task.
pub enum AgentMessage {
    /// Heartbeat of the worker; the reply comes once it is applied.
    Heartbeat {
        /// The worker's current incarnation.
        incarnation: WorkerIncarnation,
        /// Receives the confirmation.
        done: oneshot::Sender<()>,
    },
    /// The worker shuts down.
    Leave {
        /// Worker that shuts down; ignored unless it is the agent's current one.
        worker: WorkerId,
        /// Receives the confirmation.
        done: oneshot::Sender<()>,
    },
    /// Outcome of a lease renewal.
    Renewed {
        /// Worker that was called; ignored unless it is the agent's current one.
        worker: WorkerId,
        /// When the call was sent.
        sent_at: Uptime,
        /// Acknowledgement that it carried.
        acknowledgement: Option<Acknowledgement>,
        /// Run lists of the worker, or why there are none.
        result: Result<RenewReply, RenewFailure>,
    },
    /// Outcome of the start of a run.
    Started {
        /// Worker that was called, as known when the call was sent.
        incarnation: IncarnationId,
        /// Task of the run.
        task: TaskId,
        /// Number of the run, counted from 1 across all workers.
        run: RunNumber,
        /// Outcome of the call to the worker.
        outcome: StartOutcome,
    },
    /// Outcome of the stop of a run.
    Stopped {
        /// Worker that was called, as known when the call was sent.
        incarnation: IncarnationId,
        /// Task of the run.
        task: TaskId,
        /// Number of the run, counted from 1 across all workers.
        run: RunNumber,
        /// Whether the worker confirmed the stop.
        is_confirmed: bool,
    },
    /// Outcome of a report to an entry.
    Replied {
        /// Whether it was a long poll that waits for orders.
        is_long_poll: bool,
        /// When the report was sent.
        sent_at: Uptime,
        /// Address of the entry that the report was sent to.
        from: SocketAddr,
        /// The entry's reply, or why there is none.
        result: Result<ExchangeReply, String>,
    },
    /// Entries found in the store.
    Entries {
        /// Address of the leader; `None` if it is not known.
        leader: Option<SocketAddr>,
        /// Addresses of all entries.
        entries: Vec<SocketAddr>,
    },
}

/// Sends messages to the agent task.
#[derive(Clone)]
pub struct AgentHandle(mpsc::Sender<AgentMessage>);

impl AgentHandle {
    /// Creates a handle over the task's channel.
    pub(super) const fn new(tx: mpsc::Sender<AgentMessage>) -> Self {
        Self(tx)
    }

    /// Sends a heartbeat of the worker; returns false if the process is stopping.
    pub async fn heartbeat(&self, incarnation: WorkerIncarnation) -> bool {
        let (done, confirmed) = oneshot::channel();
        let message = AgentMessage::Heartbeat { incarnation, done };
        self.0.send(message).await.is_ok() && confirmed.await.is_ok()
    }

    /// Reports that the worker shuts down; returns false if the process is stopping.
    pub async fn leave(&self, worker: WorkerId) -> bool {
        let (done, confirmed) = oneshot::channel();
        let message = AgentMessage::Leave { worker, done };
        self.0.send(message).await.is_ok() && confirmed.await.is_ok()
    }
}
