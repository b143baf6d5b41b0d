//! Runs callers' requests: makes the calls that the job API orders.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cumindeck_jobs::{
    ApiStep, CallerAnswer, CallerRequest, MAX_WRITE_AGE, Relay, RelayOutcome, StoreResult,
    Transaction,
};
use cumindeck_platform::{HttpClient, HttpError};
use cumindeck_service::{Metrics, Timer};
use cumindeck_types::{JobId, Uptime};
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use tokio::sync::oneshot;

use crate::border::RowStore;
use crate::entry_task::{EntryHandle, EntryMessage};
use crate::peers::send_relay;

/// Maximum number of steps of one request; a lookup, a write and a relay are three.
const MAX_STEPS: usize = 5;

/// Maximum wait for a write; a lost reply leaves time for a second attempt.
const WRITE_TIMEOUT: Duration = Duration::from_millis(900);

/// Maximum number of attempts of a write without an outcome, within the 3 s that callers
/// usually wait.
const MAX_WRITE_ATTEMPTS: usize = 2;

/// Decides callers' requests and runs the calls that this needs.
#[derive(Clone)]
pub struct CallerApi {
    task: EntryHandle,
    store: Arc<dyn RowStore>,
    client: HttpClient,
    timer: Timer,
    metrics: Metrics,
}

impl CallerApi {
    /// Creates the job API over an entry task and a store.
    #[must_use]
    pub fn new(
        task: EntryHandle,
        store: Arc<dyn RowStore>,
        client: HttpClient,
        timer: Timer,
        metrics: Metrics,
    ) -> Self {
        Self {
            task,
            store,
            client,
            timer,
            metrics,
        }
    }

    /// Runs a request to its end, logs it and returns the reply.
    pub async fn answer(&self, req: CallerRequest) -> CallerAnswer {
        let started_at = self.timer.now();
        let path = req.path.clone();
        let (kind, is_relayed) = (req.verb.name(), req.is_relayed);
        let answer = self.decide(req).await;
        let took = self.timer.now().since(started_at);
        self.metrics.count(kind, answer.name());
        self.metrics.observe(kind, took);
        let took_ms = took.as_millis();
        match answer {
            CallerAnswer::State(_) | CallerAnswer::Pending(_) => {
                tracing::debug!(event = "answered", path, kind, answer = %answer, took_ms);
            }
            _ => {
                tracing::info!(event = "answered", path, kind, answer = %answer, is_relayed, took_ms);
            }
        }
        answer
    }

    async fn decide(&self, req: CallerRequest) -> CallerAnswer {
        let started_at = self.timer.now();
        let (tx, rx) = oneshot::channel();
        let req = Arc::new(req);
        let message = EntryMessage::Caller {
            req: req.clone(),
            reply: tx,
        };
        self.task.send(message).await;
        let mut step = rx.await;
        // A write without an outcome may still be applied.
        let mut may_run = false;
        for _ in 0..MAX_STEPS {
            let result = match step {
                Ok(ApiStep::Answer(CallerAnswer::NotRun(..))) if may_run => {
                    return CallerAnswer::unknown("a write has no outcome");
                }
                Ok(ApiStep::Answer(answer)) => return answer,
                Ok(ApiStep::Write(transaction)) => self.write(started_at, &transaction).await,
                Ok(ApiStep::WriteThenAnswer(transaction, answer)) => {
                    match self.write(started_at, &transaction).await {
                        StoreResult::Done { .. } => return answer,
                        result => result,
                    }
                }
                Ok(ApiStep::Lookup { job, max_wait }) => self.lookup(&job, max_wait).await,
                Ok(ApiStep::Relay(peers)) => return self.relay(&req, &peers, may_run).await,
                Err(_) => break,
            };
            may_run |= matches!(result, StoreResult::Unknown(_));
            if let StoreResult::Unknown(reason)
            | StoreResult::NotDone(reason)
            | StoreResult::Refused(reason) = &result
            {
                tracing::info!(event = "store_call_failed", path = %req.path, may_run, reason);
            }
            let (tx, rx) = oneshot::channel();
            let message = EntryMessage::Resume {
                req: req.clone(),
                result,
                reply: tx,
            };
            self.task.send(message).await;
            step = rx.await;
        }
        match may_run {
            true => CallerAnswer::unknown("the process is stopping"),
            false => CallerAnswer::not_run("the process is stopping"),
        }
    }

    /// Repeats a write until it has an outcome; the same write takes effect once. After a pause
    /// of the process it is not sent any more, since the conditions that void it may be gone.
    async fn write(&self, started_at: Uptime, transaction: &Transaction) -> StoreResult {
        let mut result = StoreResult::NotDone(String::new());
        for _ in 0..MAX_WRITE_ATTEMPTS {
            let age = self.timer.now().since(started_at);
            if age > MAX_WRITE_AGE {
                let reason = format!("decided {age:?} ago; at most {MAX_WRITE_AGE:?} are allowed");
                return StoreResult::NotDone(reason).after(result);
            }
            let write = self.store.transact(transaction);
            let last = match tokio::time::timeout(WRITE_TIMEOUT, write).await {
                Ok(result) => result,
                Err(_) => StoreResult::Unknown(format!("no reply within {WRITE_TIMEOUT:?}")),
            };
            let has_outcome = !matches!(last, StoreResult::Unknown(_));
            result = last.after(result);
            if has_outcome {
                break;
            }
        }
        result
    }

    async fn lookup(&self, job: &JobId, max_wait: Duration) -> StoreResult {
        match tokio::time::timeout(max_wait, self.store.read_job(job)).await {
            Ok(Ok(changes)) => StoreResult::Rows(changes.rows),
            Ok(Err(err)) => StoreResult::NotDone(err.0),
            Err(_) => StoreResult::NotDone(format!("no reply within {max_wait:?}")),
        }
    }

    /// Relays a request to the other entries concurrently; `may_run` says whether a write
    /// for it has no outcome.
    ///
    /// Several of them may write the same job or cancellation; it takes effect once.
    async fn relay(
        &self,
        req: &CallerRequest,
        peers: &[SocketAddr],
        may_run: bool,
    ) -> CallerAnswer {
        let mut relay = Relay::new(&req.verb, may_run);
        let relayed = CallerRequest {
            is_relayed: true,
            ..req.clone()
        };
        let calls = peers.iter().map(async |peer| {
            let result = send_relay(&self.client, *peer, &relayed).await;
            (*peer, result)
        });
        let mut calls: FuturesUnordered<_> = calls.collect();
        while let Some((address, result)) = calls.next().await {
            let is_unresponsive = matches!(
                result,
                Err(HttpError::NotSent(_) | HttpError::NoAnswer { .. })
            );
            let message = EntryMessage::Peer {
                address,
                is_unresponsive,
            };
            self.task.send(message).await;
            let outcome = match result {
                Ok(answer) => RelayOutcome::Answered(answer),
                Err(HttpError::NotSent(_) | HttpError::Refused { .. }) => RelayOutcome::NotHandled,
                Err(HttpError::NoAnswer { .. }) => RelayOutcome::NoReply,
            };
            tracing::debug!(event = "relay_outcome", path = %req.path, entry = %address, ?outcome);
            if let Some(answer) = relay.on_outcome(outcome) {
                return answer;
            }
        }
        relay.into_answer()
    }
}
