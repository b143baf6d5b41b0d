//! Messages to the entry task.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cumindeck_jobs::{
    Advice, AdviceRequest, AgentReport, ApiStep, CallerRequest, ExchangeReply, LeaderRow,
    StoreResult,
};
use cumindeck_types::{FencingToken, Uptime};
use tokio::sync::{mpsc, oneshot};

use crate::border::{OperatorChanges, RowChanges};

/// A message to the entry task.
pub enum EntryMessage {
    /// A caller's request to the job API.
    Caller {
        /// Request to decide.
        req: Arc<CallerRequest>,
        /// Receives the next step.
        reply: oneshot::Sender<ApiStep>,
    },
    /// The outcome of a call to the store for a caller's request.
    Resume {
        /// Request that the call was made for.
        req: Arc<CallerRequest>,
        /// Rows that were read, or the outcome of a transaction.
        result: StoreResult,
        /// Receives the next step.
        reply: oneshot::Sender<ApiStep>,
    },
    /// A request was relayed to another entry.
    Peer {
        /// Address of the other entry.
        address: SocketAddr,
        /// Whether it did not reply.
        is_unresponsive: bool,
    },
    /// An agent's report.
    Report {
        /// State of the agent and its runs.
        report: AgentReport,
        /// Receives the reply, with orders for the agent.
        reply: oneshot::Sender<ExchangeReply>,
    },
    /// System rows from the store.
    Rows {
        /// Latest time at which they were certainly complete.
        confirmed_at: Uptime,
        /// When the reply of the store arrived.
        replied_at: Uptime,
        /// Store latency, if this reply shows it.
        latency: Option<Duration>,
        /// All rows, or those that changed.
        changes: RowChanges,
        /// Whether these are all rows.
        is_complete: bool,
    },
    /// Operators' rows from the store.
    Operator {
        /// Latest time at which they were certainly complete.
        confirmed_at: Uptime,
        /// Store latency, if this reply shows it.
        latency: Option<Duration>,
        /// All rows, or those that changed.
        changes: OperatorChanges,
        /// Whether these are all rows.
        is_complete: bool,
    },
    /// Outcome of a scheduler's transaction.
    Committed {
        /// Fencing token of the leadership that sent it.
        token: FencingToken,
        /// When it was sent.
        sent_at: Uptime,
        /// When its outcome arrived.
        replied_at: Uptime,
        /// Outcome; after `Unknown` the transaction may still be committed.
        result: StoreResult,
    },
    /// The adviser's reply to a request of the scheduler.
    Advised {
        /// When the request was sent.
        sent_at: Uptime,
        /// Request that was sent.
        request: AdviceRequest,
        /// Advice; `None` if the call failed.
        advice: Option<Advice>,
    },
    /// Outcome of a takeover of leadership.
    TakenOver {
        /// When its transaction was sent.
        sent_at: Uptime,
        /// Row that the transaction writes.
        leader_row: LeaderRow,
        /// Outcome; after `Unknown` the transaction may still be committed.
        result: StoreResult,
    },
    /// Another entry offers its leadership: it has lost the store or is stopping.
    Offer {
        /// Fencing token of the offered leadership.
        token: FencingToken,
        /// Receives whether this entry takes over.
        reply: oneshot::Sender<bool>,
    },
    /// Another entry takes over the leadership that this one offered.
    Offered {
        /// Fencing token of the offered leadership.
        token: FencingToken,
    },
    /// The process is stopping; the reply comes once leadership is released.
    Shutdown(oneshot::Sender<()>),
}

/// Sends messages to the entry task.
#[derive(Clone)]
pub struct EntryHandle(pub(crate) mpsc::Sender<EntryMessage>);

impl EntryHandle {
    /// Sends a message; after the end of the task the reply channel is dropped.
    pub async fn send(&self, message: EntryMessage) {
        if self.0.send(message).await.is_err() {
            tracing::debug!(event = "entry_task_stopped");
        }
    }
}
