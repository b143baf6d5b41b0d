//! Handler of messages from entries and other agents, which sends them to the core task.

use async_trait::async_trait;
use cumindeck_types::message::{
    Claim, ClaimReply, Dispatch, DispatchReply, Heartbeat, Hello, Load, Reserve, StartTask,
    TaskAnswer, TaskRef,
};
use cumindeck_types::{NotRunReason, Verdict};
use cumindeck_wire::AgentHandler;
use tokio::sync::{mpsc, oneshot};

use crate::core::AgentEvent;
use crate::core_task::{CoreMessage, Order};

/// Sends messages to the core task and waits for its replies.
pub(crate) struct CoreHandler {
    /// Hello message of this process.
    pub hello: Hello,
    /// Channel to the core task.
    pub core: mpsc::UnboundedSender<CoreMessage>,
}

impl CoreHandler {
    async fn order(&self, order: Order) -> TaskAnswer {
        let (tx, rx) = oneshot::channel();
        let _ = self.core.send(CoreMessage::Order(order, tx));
        rx.await.unwrap_or(TaskAnswer::Failed)
    }
}

#[async_trait(?Send)]
impl AgentHandler for CoreHandler {
    fn hello(&self) -> Hello {
        self.hello.clone()
    }

    async fn dispatch(&self, dispatch: Dispatch) -> DispatchReply {
        let (tx, rx) = oneshot::channel();
        let stopped = DispatchReply {
            load: Load {
                is_leaving: true,
                ..Load::default()
            },
            verdict: Verdict::NotRun(NotRunReason::Draining),
        };
        if self.core.send(CoreMessage::Dispatch(dispatch, tx)).is_err() {
            return stopped;
        }
        let lost = Verdict::MayHaveRun(cumindeck_types::UncertainReason::ConnectionLost);
        rx.await.unwrap_or(DispatchReply {
            verdict: lost,
            ..stopped
        })
    }

    async fn claim(&self, claim: Claim) -> ClaimReply {
        let (tx, rx) = oneshot::channel();
        let _ = self.core.send(CoreMessage::Claim(claim, tx));
        rx.await.unwrap_or(ClaimReply::NotReady)
    }

    async fn release(&self, claim: Claim) {
        let _ = self
            .core
            .send(CoreMessage::Event(AgentEvent::ReleaseClaim(claim)));
    }

    async fn reserve(&self, reserve: Reserve) -> TaskAnswer {
        self.order(Box::new(|call| AgentEvent::Reserve(call, reserve)))
            .await
    }

    async fn start_task(&self, start: StartTask) -> TaskAnswer {
        self.order(Box::new(|call| AgentEvent::StartTask(call, start)))
            .await
    }

    async fn stop(&self, task: TaskRef) -> TaskAnswer {
        self.order(Box::new(|call| AgentEvent::Stop(call, task)))
            .await
    }

    async fn checkpoint(&self, task: TaskRef) -> TaskAnswer {
        self.order(Box::new(|call| AgentEvent::Checkpoint(call, task)))
            .await
    }

    async fn heartbeat(&self, heartbeat: Heartbeat) -> TaskAnswer {
        self.order(Box::new(|call| AgentEvent::Heartbeat(call, heartbeat)))
            .await
    }
}
