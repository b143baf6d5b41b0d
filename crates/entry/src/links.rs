//! Connections to agents: one task for each agent owns its connection.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cumindeck_types::AgentId;
use cumindeck_types::message::{
    Claim, ClaimReply, Dispatch, DispatchReply, Hello, Reserve, StartTask, TaskAnswer, TaskRef,
};
use cumindeck_wire::{AgentLink, LinkError};
use tokio::sync::mpsc;

/// Time after the deadline of a dispatch for which its reply is still awaited.
const REPLY_GRACE: Duration = Duration::from_secs(1);
/// Maximum wait for the reply to a claim or an order.
const REPLY_TIMEOUT: Duration = Duration::from_secs(3);

/// Receives the result of a call.
pub(crate) type ReplyCallback<T> = Box<dyn FnOnce(Result<T, CallFailure>)>;

/// A call that got no reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct CallFailure {
    /// Whether it is certain that nothing was sent.
    pub is_not_sent: bool,
}

/// A call to an agent.
pub(crate) enum LinkCall {
    /// Dispatches a request.
    Dispatch(Dispatch, ReplyCallback<DispatchReply>),
    /// Claims a key.
    Claim(Claim, ReplyCallback<ClaimReply>),
    /// Releases a claim.
    Release(Claim),
    /// Reserves accelerators for a task.
    Reserve(Reserve, ReplyCallback<TaskAnswer>),
    /// Sends the start order for a prepared task.
    StartTask(StartTask, ReplyCallback<TaskAnswer>),
    /// Stops a task.
    Stop(TaskRef, ReplyCallback<TaskAnswer>),
    /// Orders a checkpoint of a task.
    Checkpoint(TaskRef, ReplyCallback<TaskAnswer>),
}

impl LinkCall {
    /// Reports that the call was not sent.
    fn not_sent(self) {
        let failure = CallFailure { is_not_sent: true };
        match self {
            Self::Dispatch(_, done) => done(Err(failure)),
            Self::Claim(_, done) => done(Err(failure)),
            Self::Release(_) => {}
            Self::Reserve(_, done) => done(Err(failure)),
            Self::StartTask(_, done) => done(Err(failure)),
            Self::Stop(_, done) | Self::Checkpoint(_, done) => done(Err(failure)),
        }
    }

    /// Sends the call and reports its result.
    async fn send(self, link: &AgentLink) {
        match self {
            Self::Dispatch(dispatch, done) => {
                let limit = dispatch.remaining.as_duration() + REPLY_GRACE;
                done(timed(limit, link.dispatch(&dispatch)).await);
            }
            Self::Claim(claim, done) => done(timed(REPLY_TIMEOUT, link.claim(&claim)).await),
            // If this message is lost, the key stays claimed until its retention ends.
            Self::Release(claim) => drop(timed(REPLY_TIMEOUT, link.release(&claim)).await),
            Self::Reserve(order, done) => done(timed(REPLY_TIMEOUT, link.reserve(&order)).await),
            Self::StartTask(task, done) => done(timed(REPLY_TIMEOUT, link.start_task(&task)).await),
            Self::Stop(task, done) => done(timed(REPLY_TIMEOUT, link.stop(&task)).await),
            Self::Checkpoint(task, done) => {
                done(timed(REPLY_TIMEOUT, link.checkpoint(&task)).await);
            }
        }
    }
}

/// Messages to the task that manages the connections.
pub(crate) enum LinkMessage {
    /// Sets the address of an agent.
    SetAgent(AgentId, SocketAddr),
    /// Removes an agent and its connection.
    RemoveAgent(AgentId),
    /// Calls an agent.
    Call(AgentId, LinkCall),
}

/// Forwards calls to the tasks of the agents until all senders are dropped.
pub(crate) async fn run_links(mut rx: mpsc::UnboundedReceiver<LinkMessage>, hello: Hello) {
    let mut agents: BTreeMap<AgentId, (SocketAddr, mpsc::UnboundedSender<LinkCall>)> =
        BTreeMap::new();
    while let Some(message) = rx.recv().await {
        match message {
            LinkMessage::SetAgent(agent, address) => {
                if agents
                    .get(&agent)
                    .is_some_and(|(known, _)| *known == address)
                {
                    continue;
                }
                let (tx, calls) = mpsc::unbounded_channel();
                tokio::task::spawn_local(run_agent_link(calls, address, hello.clone()));
                agents.insert(agent, (address, tx));
            }
            LinkMessage::RemoveAgent(agent) => drop(agents.remove(&agent)),
            LinkMessage::Call(agent, call) => match agents.get(&agent) {
                Some((_, tx)) => {
                    if let Err(err) = tx.send(call) {
                        err.0.not_sent();
                    }
                }
                None => call.not_sent(),
            },
        }
    }
}

/// Owns the connection to one agent; connects on the first call and after a failure.
async fn run_agent_link(
    mut rx: mpsc::UnboundedReceiver<LinkCall>,
    address: SocketAddr,
    hello: Hello,
) {
    let mut link: Option<Rc<AgentLink>> = None;
    while let Some(call) = rx.recv().await {
        if link.as_ref().is_none_or(|link| link.is_closed()) {
            link = match AgentLink::connect(address, &hello).await {
                Ok(link) => Some(Rc::new(link)),
                Err(err) => {
                    tracing::info!(event = "agent_unreachable", %address, error = %err);
                    None
                }
            };
        }
        match link.clone() {
            Some(link) => drop(tokio::task::spawn_local(
                async move { call.send(&link).await },
            )),
            None => call.not_sent(),
        }
    }
}

async fn timed<T>(
    limit: Duration,
    call: impl Future<Output = Result<T, LinkError>>,
) -> Result<T, CallFailure> {
    match tokio::time::timeout(limit, call).await {
        Ok(Ok(reply)) => Ok(reply),
        Ok(Err(err)) => {
            tracing::info!(event = "call_failed", error = %err);
            Err(CallFailure {
                is_not_sent: err.is_not_sent(),
            })
        }
        Err(_) => Err(CallFailure { is_not_sent: false }),
    }
}
