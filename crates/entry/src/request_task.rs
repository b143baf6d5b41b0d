//! The task that owns the request state machine and the requests' bodies.

use std::collections::BTreeMap;

use cumindeck_requests::{
    ClaimOrder, DispatchOrder, EntryEffect, EntryEvent, EntryMachine, Submission, TransportFailure,
};
use cumindeck_service::{Alarm, HopSpan, Metrics, Timer};
use cumindeck_types::message::{Answer, Dispatch};
use cumindeck_types::{IdempotencyKey, RequestId, Verdict};
use tokio::sync::{mpsc, oneshot};
use uuid::Uuid;

use crate::links::{CallFailure, LinkCall, LinkMessage};

/// A request read by the HTTP listener.
pub(crate) struct CallerRequest {
    /// Part of the request that the state machine handles.
    pub submission: Submission,
    /// Path at the backend server.
    pub path: String,
    /// `application/octet-stream` if the caller sent none.
    pub content_type: String,
    /// Body, forwarded unchanged.
    pub body: Vec<u8>,
    /// Span of the hop from the caller.
    pub span: HopSpan,
    /// Receives the verdict.
    pub tx: oneshot::Sender<Verdict<Answer>>,
}

/// Messages to the request task.
pub(crate) enum RequestMessage {
    /// A caller sent a request.
    Submit(Box<CallerRequest>),
    /// An event of the state machine other than a submission.
    Event(EntryEvent),
    /// Refuses new requests and replies once no request is pending.
    Drain(oneshot::Sender<()>),
}

struct PendingRequest {
    path: String,
    content_type: String,
    body: Vec<u8>,
    /// Key sent to the agent if the caller gave none.
    generated_key: IdempotencyKey,
    span: HopSpan,
    tx: oneshot::Sender<Verdict<Answer>>,
}

/// The request state machine and the callers that wait for its verdicts.
pub(crate) struct RequestTask {
    machine: EntryMachine,
    timer: Timer,
    alarm: Alarm,
    links: mpsc::UnboundedSender<LinkMessage>,
    requests: mpsc::UnboundedSender<RequestMessage>,
    metrics: Metrics,
    pending: BTreeMap<RequestId, PendingRequest>,
    /// Senders to those that wait for the end of the drain.
    drained: Vec<oneshot::Sender<()>>,
}

impl RequestTask {
    /// Creates the task; `requests` is the channel to itself.
    pub(crate) fn new(
        machine: EntryMachine,
        timer: Timer,
        links: mpsc::UnboundedSender<LinkMessage>,
        requests: mpsc::UnboundedSender<RequestMessage>,
        metrics: Metrics,
    ) -> Self {
        Self {
            machine,
            alarm: timer.alarm(),
            timer,
            links,
            requests,
            metrics,
            pending: BTreeMap::new(),
            drained: Vec::new(),
        }
    }

    /// Handles messages until all senders are dropped.
    pub(crate) async fn run(mut self, mut rx: mpsc::UnboundedReceiver<RequestMessage>) {
        loop {
            self.alarm.set(self.machine.next_wakeup());
            tokio::select! {
                message = rx.recv() => match message {
                    Some(RequestMessage::Submit(req)) => self.submit(*req),
                    Some(RequestMessage::Event(event)) => self.step(event),
                    Some(RequestMessage::Drain(tx)) => {
                        self.drained.push(tx);
                        self.step(EntryEvent::Drain);
                    }
                    None => return,
                },
                () = self.alarm.wait() => self.step(EntryEvent::Wakeup),
            }
            let stats = self.machine.stats();
            self.metrics
                .set("queued", i64::try_from(stats.queued).unwrap_or(i64::MAX));
            self.metrics.set(
                "in_flight",
                i64::try_from(stats.in_flight).unwrap_or(i64::MAX),
            );
            self.metrics
                .set("retries", i64::try_from(stats.retries).unwrap_or(i64::MAX));
        }
    }

    fn submit(&mut self, req: CallerRequest) {
        let generated_key = Uuid::now_v7().to_string();
        let Ok(generated_key) = generated_key.parse() else {
            return;
        };
        let pending = PendingRequest {
            path: req.path,
            content_type: req.content_type,
            body: req.body,
            generated_key,
            span: req.span,
            tx: req.tx,
        };
        self.pending.insert(req.submission.request.clone(), pending);
        self.step(EntryEvent::Submitted(req.submission));
    }

    fn step(&mut self, event: EntryEvent) {
        for effect in self.machine.step(self.timer.now(), event) {
            match effect {
                EntryEffect::Dispatch(order) => self.dispatch(order),
                EntryEffect::Claim(order) => self.claim(order),
                EntryEffect::ReleaseClaim(order) => {
                    self.call(LinkMessage::Call(
                        order.agent,
                        LinkCall::Release(order.claim),
                    ));
                }
                EntryEffect::Reply { request, verdict } => self.reply(&request, verdict),
                // The call ends by its own time limit; its result is ignored.
                EntryEffect::Abandon { .. } => {}
                // The site task polls all rings every 500 ms (`POLL_PERIOD` of the site).
                EntryEffect::RefreshRing(_) => {}
                EntryEffect::Drained => {
                    for tx in self.drained.drain(..) {
                        let _ = tx.send(());
                    }
                }
            }
        }
    }

    fn dispatch(&mut self, order: DispatchOrder) {
        let Some(pending) = self.pending.get(&order.request) else {
            return;
        };
        let dispatch = Dispatch {
            id: order.request.clone(),
            attempt: order.attempt,
            key: order.key.unwrap_or_else(|| pending.generated_key.clone()),
            team: order.team,
            is_idempotent: order.is_idempotent,
            remaining: order.remaining,
            trace: pending.span.context(),
            path: pending.path.clone(),
            content_type: pending.content_type.clone(),
            body: pending.body.clone(),
        };
        let (request, attempt, agent) = (order.request, order.attempt, order.agent.clone());
        let requests = self.requests.clone();
        let done = Box::new(move |result: Result<_, CallFailure>| {
            let result = result.map_err(transport_failure);
            let event = EntryEvent::Dispatched {
                request,
                attempt,
                agent,
                result,
            };
            let _ = requests.send(RequestMessage::Event(event));
        });
        self.call(LinkMessage::Call(
            order.agent,
            LinkCall::Dispatch(dispatch, done),
        ));
    }

    fn claim(&mut self, order: ClaimOrder) {
        let (request, attempt) = (order.claim.id.clone(), order.attempt);
        let requests = self.requests.clone();
        let done = Box::new(move |result: Result<_, CallFailure>| {
            let result = result.map_err(transport_failure);
            let event = EntryEvent::Claimed {
                request,
                attempt,
                result,
            };
            let _ = requests.send(RequestMessage::Event(event));
        });
        self.call(LinkMessage::Call(
            order.agent,
            LinkCall::Claim(order.claim, done),
        ));
    }

    fn call(&self, message: LinkMessage) {
        // A closed channel means that the process is stopping.
        let _ = self.links.send(message);
    }

    fn reply(&mut self, request: &RequestId, verdict: Verdict<Answer>) {
        let Some(pending) = self.pending.remove(request) else {
            return;
        };
        let detail = match &verdict {
            Verdict::Answered(answer) => answer.status.to_string(),
            Verdict::NotRun(reason) => reason.to_string(),
            Verdict::MayHaveRun(reason) => reason.to_string(),
        };
        tracing::info!(event = "request_ended", %request, verdict = verdict.name(), detail);
        self.metrics.count("request", verdict.name());
        pending.span.end(verdict.name());
        // A caller that closed its connection gets no reply.
        let _ = pending.tx.send(verdict);
    }
}

const fn transport_failure(failure: CallFailure) -> TransportFailure {
    TransportFailure {
        is_not_sent: failure.is_not_sent,
    }
}
