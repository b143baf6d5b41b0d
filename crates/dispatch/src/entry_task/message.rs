//! Messages to the entry task.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cumindeck_jobs::{
    Advice, AgentReport, CallerRequest, DeskStep, DutyRow, ExchangeReply, StoreResult,
};
use cumindeck_types::{FencingToken, Uptime};
use tokio::sync::{mpsc, oneshot};

use crate::border::{OperatorChanges, RowChanges};

/// A message to the entry task.
pub enum EntryMessage {
    /// A caller's request.
    Caller {
        /// Request.
        req: Arc<CallerRequest>,
        /// Where the next step goes.
        reply: oneshot::Sender<DeskStep>,
    },
    /// The outcome of a call to the store for a caller's request.
    Resume {
        /// Request.
        req: Arc<CallerRequest>,
        /// Outcome.
        result: StoreResult,
        /// Where the next step goes.
        reply: oneshot::Sender<DeskStep>,
    },
    /// A request was passed on to another entry.
    Peer {
        /// The entry.
        address: SocketAddr,
        /// Whether it gave no answer.
        is_silent: bool,
    },
    /// An agent's report.
    Report {
        /// Report.
        report: AgentReport,
        /// Where the answer goes.
        reply: oneshot::Sender<ExchangeReply>,
    },
    /// Rows of the system.
    Rows {
        /// When they were complete.
        confirmed: Uptime,
        /// When they came.
        answered: Uptime,
        /// How long an answer of the store takes, if this one tells.
        answer_time: Option<Duration>,
        /// Rows.
        changes: RowChanges,
        /// Whether they are all rows.
        is_complete: bool,
    },
    /// Rows of the operator.
    Operator {
        /// When they were complete.
        confirmed: Uptime,
        /// How long an answer of the store takes, if this one tells.
        answer_time: Option<Duration>,
        /// Changes.
        changes: OperatorChanges,
    },
    /// Outcome of the scheduler's transaction.
    Committed {
        /// When it was sent.
        asked: Uptime,
        /// When its outcome came.
        answered: Uptime,
        /// Outcome.
        result: StoreResult,
    },
    /// The adviser's answer to the scheduler's question.
    Advised {
        /// When the question was sent.
        asked: Uptime,
        /// Answer; none if there was none.
        advice: Option<Advice>,
    },
    /// Outcome of a takeover.
    TakenOver {
        /// When it was sent.
        asked: Uptime,
        /// The row written.
        duty: DutyRow,
        /// Outcome.
        result: StoreResult,
    },
    /// The holder has lost the store and offers the duty.
    Offer {
        /// Token under which it holds the duty.
        token: FencingToken,
        /// Whether this entry takes it over.
        reply: oneshot::Sender<bool>,
    },
    /// Another entry takes over what this one offered.
    Offered {
        /// Token under which this entry held the duty.
        token: FencingToken,
    },
    /// The process is stopping; the answer comes once the duty is given back.
    Leave(oneshot::Sender<()>),
}

/// Access to the entry task.
#[derive(Clone)]
pub struct EntryHandle(pub(crate) mpsc::Sender<EntryMessage>);

impl EntryHandle {
    /// Sends a message; after the end of the task the sender of a reply is dropped.
    pub async fn send(&self, message: EntryMessage) {
        if self.0.send(message).await.is_err() {
            tracing::debug!(event = "entry_task_stopped");
        }
    }
}
