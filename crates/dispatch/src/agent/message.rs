//! Messages to the agent task.

use std::net::SocketAddr;

use cumindeck_jobs::{ExchangeReply, HoldReply, StartOutcome, TaskId, WorkerLife};
use cumindeck_types::{RunNumber, Uptime, WorkerId};
use tokio::sync::{mpsc, oneshot};

/// A message to the agent task.
pub enum AgentMessage {
    /// The worker's word on itself; the answer comes once it is taken.
    Heartbeat {
        /// The worker.
        life: WorkerLife,
        /// Where the confirmation goes.
        done: oneshot::Sender<()>,
    },
    /// The worker ends.
    Leave {
        /// The worker.
        worker: WorkerId,
        /// Where the confirmation goes.
        done: oneshot::Sender<()>,
    },
    /// Outcome of a call that read the worker's lists.
    Held {
        /// The worker.
        worker: WorkerId,
        /// When the call was sent.
        sent: Uptime,
        /// Outcome.
        result: Result<HoldReply, String>,
    },
    /// Outcome of a start.
    Started {
        /// Task.
        task: TaskId,
        /// Run.
        run: RunNumber,
        /// Outcome.
        outcome: StartOutcome,
    },
    /// Outcome of a stop.
    Stopped {
        /// Task.
        task: TaskId,
        /// Run.
        run: RunNumber,
        /// Whether the worker confirmed it.
        is_confirmed: bool,
    },
    /// Outcome of a report.
    Replied {
        /// Whether it waited for orders.
        is_poll: bool,
        /// When it was sent.
        asked: Uptime,
        /// The entry that was asked.
        from: SocketAddr,
        /// Outcome.
        result: Result<ExchangeReply, String>,
    },
    /// Entries found in the store.
    Entries {
        /// Address of the holder.
        holder: Option<SocketAddr>,
        /// Addresses of all entries.
        entries: Vec<SocketAddr>,
    },
}

/// Access to the agent task.
#[derive(Clone)]
pub struct AgentHandle(mpsc::Sender<AgentMessage>);

impl AgentHandle {
    /// Makes a handle over the task's queue.
    pub(super) const fn new(tx: mpsc::Sender<AgentMessage>) -> Self {
        Self(tx)
    }

    /// Passes the worker's word on itself on; false while the process stops.
    pub async fn heartbeat(&self, life: WorkerLife) -> bool {
        let (done, taken) = oneshot::channel();
        let message = AgentMessage::Heartbeat { life, done };
        self.0.send(message).await.is_ok() && taken.await.is_ok()
    }

    /// Passes the worker's word that it ends on; false while the process stops.
    pub async fn leave(&self, worker: WorkerId) -> bool {
        let (done, taken) = oneshot::channel();
        let message = AgentMessage::Leave { worker, done };
        self.0.send(message).await.is_ok() && taken.await.is_ok()
    }
}
