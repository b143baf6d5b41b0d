//! Carries a caller's request through the decisions of the desk.

use std::net::SocketAddr;
use std::sync::Arc;

use cumindeck_jobs::{CallerAnswer, CallerRequest, DeskStep, StoreResult};
use cumindeck_platform::{HttpClient, HttpError};
use cumindeck_service::{Metrics, Timer};
use tokio::sync::oneshot;

use crate::border::RowStore;
use crate::node::{NodeHandle, NodeMessage};
use crate::peers::send_relay;

/// Most decisions on one request; a lookup, a write and a relay are three.
const MAX_STEPS: usize = 5;

/// Answers callers.
#[derive(Clone)]
pub struct CallerDesk {
    node: NodeHandle,
    store: Arc<dyn RowStore>,
    client: HttpClient,
    timer: Timer,
    metrics: Metrics,
}

impl CallerDesk {
    /// Makes a desk over a node task and a store.
    #[must_use]
    pub fn new(
        node: NodeHandle,
        store: Arc<dyn RowStore>,
        client: HttpClient,
        timer: Timer,
        metrics: Metrics,
    ) -> Self {
        Self {
            node,
            store,
            client,
            timer,
            metrics,
        }
    }

    /// Answers a request.
    pub async fn answer(&self, req: CallerRequest) -> CallerAnswer {
        let begun = self.timer.now();
        let path = req.path.clone();
        let (kind, is_relayed) = (req.verb.name(), req.is_relayed);
        let answer = self.decide(req).await;
        let took = self.timer.now().since(begun);
        self.metrics.count(kind, answer.name());
        self.metrics.observe(kind, took);
        let took_ms = took.as_millis();
        match answer {
            CallerAnswer::State(_) | CallerAnswer::Pending(_) => {
                tracing::debug!(event = "answered", path, kind, answer = %answer, took_ms);
            }
            _ => {
                tracing::info!(event = "answered", path, kind, answer = %answer, is_relayed, took_ms)
            }
        }
        answer
    }

    async fn decide(&self, req: CallerRequest) -> CallerAnswer {
        let (tx, rx) = oneshot::channel();
        let req = Arc::new(req);
        let message = NodeMessage::Caller {
            req: req.clone(),
            reply: tx,
        };
        self.node.send(message).await;
        let mut step = rx.await;
        // A write without an outcome may still take place.
        let mut may_run = false;
        for _ in 0..MAX_STEPS {
            let result = match step {
                Ok(DeskStep::Answer(CallerAnswer::NotRun(..))) if may_run => {
                    return CallerAnswer::unknown("a write has no outcome");
                }
                Ok(DeskStep::Answer(answer)) => return answer,
                Ok(DeskStep::Write(transaction)) => self.store.transact(&transaction).await,
                Ok(DeskStep::Lookup(job)) => match self.store.read_job(&job).await {
                    Ok(changes) => StoreResult::Rows(changes.rows),
                    Err(err) => StoreResult::NotDone(err.0),
                },
                Ok(DeskStep::Relay(peers)) => return self.relay(&req, &peers, may_run).await,
                Err(_) => break,
            };
            may_run |= matches!(result, StoreResult::Unknown(_));
            if let StoreResult::Unknown(reason) | StoreResult::NotDone(reason) = &result {
                tracing::info!(event = "store_call_failed", path = %req.path, may_run, reason);
            }
            let (tx, rx) = oneshot::channel();
            let message = NodeMessage::Resume {
                req: req.clone(),
                result,
                reply: tx,
            };
            self.node.send(message).await;
            step = rx.await;
        }
        match may_run {
            true => CallerAnswer::unknown("the process is stopping"),
            false => CallerAnswer::not_run("the process is stopping"),
        }
    }

    /// Asks the other entries one after the other.
    async fn relay(
        &self,
        req: &CallerRequest,
        peers: &[SocketAddr],
        may_run: bool,
    ) -> CallerAnswer {
        let mut may_run = may_run;
        let relayed = CallerRequest {
            is_relayed: true,
            ..req.clone()
        };
        for peer in peers {
            match send_relay(&self.client, *peer, &relayed).await {
                Ok(CallerAnswer::NotRun(..)) => {}
                Ok(CallerAnswer::Unknown(_)) => may_run = true,
                Ok(answer) => return answer,
                Err(HttpError::NotSent(_) | HttpError::Refused { .. }) => {}
                Err(HttpError::NoAnswer { .. }) => may_run = true,
            }
        }
        match may_run && req.verb.has_effect() {
            true => CallerAnswer::unknown("no entry confirmed the outcome"),
            false => CallerAnswer::not_run("no entry reaches the store"),
        }
    }
}
