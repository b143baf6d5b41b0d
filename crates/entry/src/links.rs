//! Connections to agents: one task for each agent owns its connection.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cumindeck_types::AgentId;
use cumindeck_types::message::{
    Claim, ClaimReply, Dispatch, DispatchReply, Go, Hello, Reserve, TaskAnswer, TaskRef,
};
use cumindeck_wire::{AgentLink, LinkError};
use tokio::sync::mpsc;

/// How long a reply may be overdue before the call is given up.
const REPLY_GRACE: Duration = Duration::from_secs(1);
/// Longest wait for the answer to a claim or an order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(3);

/// Receives the result of a call.
pub(crate) type Done<T> = Box<dyn FnOnce(Result<T, CallFailure>)>;

/// A call that got no reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct CallFailure {
    /// Whether certainly nothing was sent.
    pub is_not_sent: bool,
}

/// A call to an agent.
pub(crate) enum LinkCall {
    /// Hand a request over.
    Dispatch(Dispatch, Done<DispatchReply>),
    /// Claim a key.
    Claim(Claim, Done<ClaimReply>),
    /// Give a claim back.
    Settle(Claim),
    /// Reserve a task.
    Reserve(Reserve, Done<TaskAnswer>),
    /// Start a task.
    Go(Go, Done<TaskAnswer>),
    /// Stop a task.
    Stop(TaskRef, Done<TaskAnswer>),
    /// Ask for a checkpoint.
    Checkpoint(TaskRef, Done<TaskAnswer>),
}

impl LinkCall {
    /// Ends the call without sending it.
    fn not_sent(self) {
        let failure = CallFailure { is_not_sent: true };
        match self {
            Self::Dispatch(_, done) => done(Err(failure)),
            Self::Claim(_, done) => done(Err(failure)),
            Self::Settle(_) => {}
            Self::Reserve(_, done) => done(Err(failure)),
            Self::Go(_, done) => done(Err(failure)),
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
            Self::Claim(claim, done) => done(timed(ORDER_TIMEOUT, link.claim(&claim)).await),
            // A lost settlement only keeps the key claimed until its retention ends.
            Self::Settle(claim) => drop(timed(ORDER_TIMEOUT, link.settle(&claim)).await),
            Self::Reserve(order, done) => done(timed(ORDER_TIMEOUT, link.reserve(&order)).await),
            Self::Go(order, done) => done(timed(ORDER_TIMEOUT, link.go(&order)).await),
            Self::Stop(task, done) => done(timed(ORDER_TIMEOUT, link.stop(&task)).await),
            Self::Checkpoint(task, done) => {
                done(timed(ORDER_TIMEOUT, link.checkpoint(&task)).await);
            }
        }
    }
}

/// What the link hub is told.
pub(crate) enum LinkMessage {
    /// An agent has this address now.
    Agent(AgentId, SocketAddr),
    /// An agent is gone.
    AgentGone(AgentId),
    /// A call to an agent.
    Call(AgentId, LinkCall),
}

/// Passes calls on to the tasks of the agents until all senders are gone.
pub(crate) async fn run_links(mut rx: mpsc::UnboundedReceiver<LinkMessage>, hello: Hello) {
    let mut agents: BTreeMap<AgentId, (SocketAddr, mpsc::UnboundedSender<LinkCall>)> =
        BTreeMap::new();
    while let Some(message) = rx.recv().await {
        match message {
            LinkMessage::Agent(agent, address) => {
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
            LinkMessage::AgentGone(agent) => drop(agents.remove(&agent)),
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

/// Owns the connection to one agent; connects on the first call and after a loss.
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
