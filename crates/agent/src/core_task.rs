//! The task that owns the agent's core and carries out its effects.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use cumindeck_control::gang::OrderId;
use cumindeck_service::{Alarm, HopSpan, Metrics, Readiness, Timer};
use cumindeck_types::message::{
    Announcement, ClaimReply, Dispatch, DispatchReply, GangMember, Heartbeat, TaskAnswer,
};
use cumindeck_types::{Attempt, RequestId, UncertainReason, Uptime, Verdict};
use smallvec::SmallVec;
use tokio::sync::{mpsc, oneshot};

use crate::backend::BackendTransport;
use crate::core::{AgentCore, AgentEffect, AgentEvent, CallId};
use crate::runtime_task::RuntimeOrder;

/// Messages to the core task.
pub(crate) enum CoreMessage {
    /// A dispatch and the channel of its reply.
    Dispatch(Dispatch, oneshot::Sender<DispatchReply>),
    /// A claim and the channel of its reply.
    Claim(cumindeck_types::message::Claim, oneshot::Sender<ClaimReply>),
    /// An order about a task or a heartbeat, and the channel of its reply.
    Order(Order, oneshot::Sender<TaskAnswer>),
    /// A request for the next announcement.
    Announcement(oneshot::Sender<(Announcement, SmallVec<[SocketAddr; 4]>)>),
    /// No entry replied to the last announcements.
    EntriesLost,
    /// Another event of the state machine.
    Event(AgentEvent),
    /// The call to the backend server ended.
    BackendEnded(
        RequestId,
        Attempt,
        Box<Verdict<cumindeck_types::message::Answer>>,
    ),
}

/// Creates the event of an order from the id of its call.
pub(crate) type Order = Box<dyn FnOnce(CallId) -> AgentEvent>;

/// Channels through which the core task carries out effects.
pub(crate) struct CoreOutputs {
    /// To itself, for results of tasks that it starts.
    pub core: mpsc::UnboundedSender<CoreMessage>,
    /// To the runtime task.
    pub runtime: mpsc::UnboundedSender<RuntimeOrder>,
    /// To the task that sends heartbeats.
    pub heartbeats: mpsc::UnboundedSender<(GangMember, Heartbeat)>,
    /// The connections to the backend server.
    pub backend: Rc<dyn BackendTransport>,
}

struct PendingDispatch {
    dispatch: Option<Dispatch>,
    tx: oneshot::Sender<DispatchReply>,
    span: HopSpan,
}

/// The core and the calls that wait for its replies.
pub(crate) struct CoreTask {
    core: AgentCore,
    timer: Timer,
    alarm: Alarm,
    outputs: CoreOutputs,
    readiness: Readiness,
    metrics: Metrics,
    next_call: u64,
    dispatches: BTreeMap<(RequestId, Attempt), PendingDispatch>,
    claims: BTreeMap<CallId, oneshot::Sender<ClaimReply>>,
    orders: BTreeMap<CallId, oneshot::Sender<TaskAnswer>>,
    drained: Option<oneshot::Sender<()>>,
}

impl CoreTask {
    /// Creates the task; `drained` is notified when nothing is in flight after a drain.
    pub(crate) fn new(
        core: AgentCore,
        timer: Timer,
        outputs: CoreOutputs,
        readiness: Readiness,
        metrics: Metrics,
        drained: oneshot::Sender<()>,
    ) -> Self {
        Self {
            core,
            alarm: timer.alarm(),
            timer,
            outputs,
            readiness,
            metrics,
            next_call: 0,
            dispatches: BTreeMap::new(),
            claims: BTreeMap::new(),
            orders: BTreeMap::new(),
            drained: Some(drained),
        }
    }

    /// Handles messages until all senders are dropped.
    pub(crate) async fn run(mut self, mut rx: mpsc::UnboundedReceiver<CoreMessage>) {
        loop {
            self.alarm.set(self.core.next_wakeup());
            tokio::select! {
                message = rx.recv() => {
                    let Some(message) = message else { return };
                    self.handle(message);
                }
                () = self.alarm.wait() => self.step(AgentEvent::Wakeup),
            }
            self.readiness.set(self.core.is_ready());
            self.metrics
                .set("in_flight", i64::from(self.core.load().in_flight));
        }
    }

    fn handle(&mut self, message: CoreMessage) {
        match message {
            CoreMessage::Dispatch(dispatch, tx) => self.on_dispatch(dispatch, tx),
            CoreMessage::Claim(claim, tx) => {
                let call = self.call();
                self.claims.insert(call, tx);
                self.step(AgentEvent::Claim(call, claim));
            }
            CoreMessage::Order(order, tx) => {
                let call = self.call();
                self.orders.insert(call, tx);
                self.step(order(call));
            }
            CoreMessage::Announcement(tx) => {
                // The receiver is dropped only while the process is stopping.
                let _ = tx.send(self.core.announcement());
            }
            CoreMessage::EntriesLost => self.core.entries_lost(),
            CoreMessage::Event(event) => self.step(event),
            CoreMessage::BackendEnded(request, attempt, verdict) => {
                self.step(AgentEvent::BackendEnded {
                    request: request.clone(),
                    attempt,
                });
                self.reply(request, attempt, *verdict);
            }
        }
    }

    fn on_dispatch(&mut self, dispatch: Dispatch, tx: oneshot::Sender<DispatchReply>) {
        let (request, attempt, remaining) =
            (dispatch.id.clone(), dispatch.attempt, dispatch.remaining);
        let id = (request.clone(), attempt);
        if self.dispatches.contains_key(&id) {
            let verdict = Verdict::MayHaveRun(UncertainReason::AlreadyClaimed);
            let _ = tx.send(DispatchReply {
                load: self.core.load(),
                verdict,
            });
            return;
        }
        let span = HopSpan::start("agent.dispatch", Some(dispatch.trace), &self.timer);
        let dispatch = Some(Dispatch {
            trace: span.context(),
            ..dispatch
        });
        self.dispatches
            .insert(id, PendingDispatch { dispatch, tx, span });
        let received = self.timer.now();
        self.step(AgentEvent::DispatchReceived {
            request,
            attempt,
            remaining,
            received,
        });
    }

    fn step(&mut self, event: AgentEvent) {
        let now = self.timer.now();
        for effect in self.core.step(now, self.timer.wall(), event) {
            self.carry_out(now, effect);
        }
    }

    fn carry_out(&mut self, now: Uptime, effect: AgentEffect) {
        match effect {
            AgentEffect::Forward {
                request,
                attempt,
                remaining,
            } => {
                self.forward(request, attempt, remaining);
            }
            AgentEffect::Refuse {
                request,
                attempt,
                reason,
            } => {
                self.reply(request, attempt, Verdict::NotRun(reason));
            }
            AgentEffect::ReplyClaim(call, reply) => {
                if let Some(tx) = self.claims.remove(&call) {
                    let _ = tx.send(reply);
                }
            }
            AgentEffect::ReplyTask(call, answer) => {
                if let Some(tx) = self.orders.remove(&call) {
                    let _ = tx.send(answer);
                }
            }
            AgentEffect::Prepare { id, reserve, lease } => {
                self.send_to_runtime(RuntimeOrder::Prepare {
                    id,
                    reserve,
                    lease,
                    since: now,
                });
            }
            AgentEffect::Run {
                id,
                not_after,
                members,
            } => {
                self.send_to_runtime(RuntimeOrder::Start {
                    id,
                    not_after,
                    members,
                });
            }
            AgentEffect::CheckpointTask(id) => self.send_to_runtime(RuntimeOrder::Checkpoint(id)),
            AgentEffect::StopTask(id) => self.send_to_runtime(RuntimeOrder::Stop(id)),
            AgentEffect::Renew(lease) => {
                self.send_to_runtime(RuntimeOrder::Renew { lease, since: now });
            }
            AgentEffect::Heartbeat(member, heartbeat) => {
                // A closed channel means that the process is stopping.
                let _ = self.outputs.heartbeats.send((member, heartbeat));
            }
            AgentEffect::Drained => {
                if let Some(tx) = self.drained.take() {
                    let _ = tx.send(());
                }
            }
        }
    }

    fn send_to_runtime(&self, order: RuntimeOrder) {
        // A closed channel means that the process is stopping.
        let _ = self.outputs.runtime.send(order);
    }

    fn forward(
        &mut self,
        request: RequestId,
        attempt: Attempt,
        remaining: cumindeck_types::Remaining,
    ) {
        let pending = self.dispatches.get_mut(&(request.clone(), attempt));
        let Some(dispatch) = pending.and_then(|pending| pending.dispatch.take()) else {
            return;
        };
        let backend = self.outputs.backend.clone();
        let core = self.outputs.core.clone();
        tokio::task::spawn_local(async move {
            let verdict = match backend.send(dispatch, remaining).await {
                Ok(answer) => Verdict::Answered(answer),
                Err(err) => {
                    tracing::info!(event = "backend_failed", request = %request, error = %err);
                    err.verdict()
                }
            };
            let _ = core.send(CoreMessage::BackendEnded(
                request,
                attempt,
                Box::new(verdict),
            ));
        });
    }

    fn reply(
        &mut self,
        request: RequestId,
        attempt: Attempt,
        verdict: Verdict<cumindeck_types::message::Answer>,
    ) {
        let Some(pending) = self.dispatches.remove(&(request, attempt)) else {
            return;
        };
        self.metrics.count("dispatch", verdict.name());
        pending.span.end(verdict.name());
        let reply = DispatchReply {
            load: self.core.load(),
            verdict,
        };
        // An entry that dropped the receiver has answered its caller or terminated.
        let _ = pending.tx.send(reply);
    }

    fn call(&mut self) -> CallId {
        self.next_call += 1;
        OrderId(self.next_call)
    }
}
