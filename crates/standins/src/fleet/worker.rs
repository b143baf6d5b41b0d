//! HTTP server of a worker stand-in: one task owns the runs, the handlers send it
//! messages, and another task sends heartbeats.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use bytes::Bytes;
use cumindeck_platform::HttpClient;
use cumindeck_service::{Shutdown, Timer, serve_http};
use cumindeck_types::Uptime;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use viz::types::State;
use viz::{IntoResponse, Request, RequestExt, Response, Result, Router, StatusCode};

use super::http::{CALL_QUEUE, call, json_body, json_response};
use super::late::{LateCall, LateCalls, NO_ANSWER_TIME};
use super::runs::{OrderRefusal, Runs, RunsSettings};
use super::wire::{WireLists, WireRenewal, WireStart, WireStop};

const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum wait of a lease renewal for a finished run.
const MAX_RENEWAL_WAIT: Duration = Duration::from_secs(2);

/// Identity and settings of a worker.
#[derive(Debug, Clone)]
pub struct WorkerSettings {
    /// Id, which is part of the path of the worker's heartbeats.
    pub id: String,
    /// Service that the worker belongs to.
    pub service: String,
    /// Availability zone that the heartbeats state.
    pub zone: String,
    /// Rack, which is the last of the worker's labels.
    pub rack: String,
    /// Address at which the worker's agent receives heartbeats.
    pub agent: SocketAddr,
    /// Time between two heartbeats.
    pub heartbeat: Duration,
    /// Capacity and time limits.
    pub runs: RunsSettings,
    /// File of the calls that are carried out late, which the next incarnation reads; `None`
    /// if all calls are carried out at once.
    pub late_calls: Option<PathBuf>,
    /// Every n-th call is carried out late.
    pub late_every: u64,
}

/// Serves a worker stand-in until the shutdown starts.
pub async fn serve_worker(
    listener: TcpListener,
    settings: WorkerSettings,
    timer: Timer,
    shutdown: Shutdown,
) -> std::io::Result<()> {
    let address = listener.local_addr()?;
    let born_ms = u64::try_from(timer.wall().as_millis()).unwrap_or(0);
    let runs = Runs::new(settings.runs, born_ms, millis(timer.now()));
    let late_calls = match settings.late_calls.clone() {
        Some(path) => Some(LateCalls::open(
            path,
            settings.late_every,
            millis(timer.now()),
        )?),
        None => None,
    };
    let (tx, rx) = mpsc::channel(CALL_QUEUE);
    tracing::info!(
        event = "worker_started",
        id = settings.id,
        born_ms,
        at_ms = millis(timer.now())
    );
    let worker = Worker {
        runs,
        renewals: Vec::new(),
        late_calls,
        keeping: None,
        timer,
    };
    tokio::spawn(worker.run(rx));
    tokio::spawn(send_heartbeats(settings.clone(), address, born_ms));
    let router = Router::new()
        .post("/run-start", start)
        .post("/run-stop", stop)
        .post("/hold", renew)
        .put("/standin/keep-acknowledgement", keep_acknowledgement)
        .with(State::new(tx))
        .with(State::new(settings.id));
    serve_http(listener, router, shutdown).await;
    Ok(())
}

/// What a worker answers: `T`, or a refusal with its clock in milliseconds.
type Outcome<T> = std::result::Result<T, (u64, OrderRefusal)>;

enum Call {
    /// The answer is the worker's clock in milliseconds.
    Start(WireStart, oneshot::Sender<Outcome<u64>>),
    /// The answer is the worker's clock in milliseconds.
    Stop(WireStop, oneshot::Sender<Outcome<u64>>),
    Renew(WireRenewal, oneshot::Sender<Outcome<WireLists>>),
    /// The next acknowledgement is kept for the next incarnation; the answer comes then.
    KeepAcknowledgement(oneshot::Sender<()>),
}

/// The task that owns the runs.
struct Worker {
    runs: Runs,
    /// Lease renewals that wait for a finished run, with the end of their wait.
    renewals: Vec<(Uptime, oneshot::Sender<Outcome<WireLists>>)>,
    late_calls: Option<LateCalls>,
    /// Set if the next acknowledgement is kept for the next incarnation.
    keeping: Option<oneshot::Sender<()>>,
    timer: Timer,
}

impl Worker {
    async fn run(mut self, mut rx: mpsc::Receiver<Call>) {
        let mut alarm = self.timer.alarm();
        self.carry_out_late_calls();
        loop {
            let end = self.runs.next_end_ms().map(Uptime::from_millis);
            let renewals = self.renewals.iter().map(|(until, _)| *until);
            let late_calls = self.late_calls.as_ref();
            let late = late_calls.and_then(LateCalls::next_due_ms);
            alarm.set(
                renewals
                    .chain(end)
                    .chain(late.map(Uptime::from_millis))
                    .min(),
            );
            tokio::select! {
                call = rx.recv() => {
                    let Some(call) = call else { return };
                    if !self.is_late(&call) {
                        self.handle(call);
                    }
                }
                () = alarm.wait() => {}
            }
            self.carry_out_late_calls();
            self.runs.tick(millis(self.timer.now()));
            self.reply_to_renewals();
        }
    }

    /// Returns whether a call is carried out late; it gets no answer.
    fn is_late(&mut self, call: &Call) -> bool {
        let Some(late_calls) = &mut self.late_calls else {
            return false;
        };
        let call = match call {
            Call::Start(order, _) => LateCall::Start(order.clone()),
            Call::Stop(order, _) => LateCall::Stop(order.clone()),
            Call::Renew(order, _) => LateCall::Renew(order.clone()),
            Call::KeepAcknowledgement(_) => return false,
        };
        let at_ms = millis(self.timer.now());
        let kept = self.keeping.take_if(|_| call.acknowledged() > 0);
        let is_late = match kept {
            Some(_) => late_calls.keep(at_ms, &call).map(|()| true),
            None => late_calls.take(at_ms, &call),
        };
        let is_late = is_late.expect("the file of late calls can be written");
        if is_late {
            tracing::info!(event = "call_delayed", ?call, at_ms);
        }
        if let Some(tx) = kept {
            // Sending fails if the client has disconnected, which is not an error.
            let _ = tx.send(());
        }
        is_late
    }

    fn carry_out_late_calls(&mut self) {
        let Some(late_calls) = &mut self.late_calls else {
            return;
        };
        let at_ms = millis(self.timer.now());
        let due = late_calls.take_due(at_ms);
        for call in due.expect("the file of late calls can be written") {
            let outcome = match &call {
                LateCall::Start(order) => self.runs.start(at_ms, order),
                LateCall::Stop(order) => self.runs.stop(at_ms, order),
                LateCall::Renew(order) => self.runs.renew(at_ms, order).map(drop),
            };
            let (acknowledged, refusal) = match outcome {
                Ok(()) => (call.acknowledged(), ""),
                Err(refusal) => (0, refusal.name()),
            };
            tracing::info!(event = "late_call", acknowledged, refusal, at_ms, ?call);
        }
    }

    fn handle(&mut self, call: Call) {
        let now = self.timer.now();
        let now_ms = millis(now);
        let clock_ms = self.runs.clock(now_ms);
        // Sending fails if the client has disconnected, which is not an error.
        match call {
            Call::Start(order, tx) => {
                let outcome = self.runs.start(now_ms, &order);
                let _ = tx.send(match outcome {
                    Ok(()) => Ok(clock_ms),
                    Err(refusal) => Err((clock_ms, refusal)),
                });
            }
            Call::Stop(order, tx) => {
                let outcome = self.runs.stop(now_ms, &order);
                let _ = tx.send(match outcome {
                    Ok(()) => Ok(clock_ms),
                    Err(refusal) => Err((clock_ms, refusal)),
                });
            }
            Call::Renew(order, tx) => match self.runs.renew(now_ms, &order) {
                Err(refusal) => drop(tx.send(Err((clock_ms, refusal)))),
                Ok(_) => {
                    let wait = Duration::from_millis(order.wait_ms).min(MAX_RENEWAL_WAIT);
                    self.renewals.push((now.plus(wait), tx));
                }
            },
            Call::KeepAcknowledgement(tx) => self.keeping = Some(tx),
        }
    }

    /// Replies to renewals whose wait is over, or to all of them if a run has finished.
    fn reply_to_renewals(&mut self) {
        let now = self.timer.now();
        let has_finished = self.runs.has_finished();
        let is_due = |renewal: &mut (Uptime, _)| has_finished || renewal.0 <= now;
        let due: Vec<_> = self.renewals.extract_if(.., is_due).collect();
        for (_, tx) in due {
            let _ = tx.send(Ok(self.runs.lists(millis(now))));
        }
    }
}

async fn send_heartbeats(settings: WorkerSettings, address: SocketAddr, born_ms: u64) {
    let client = HttpClient::new(settings.agent, HEARTBEAT_TIMEOUT);
    let path = format!("/instances/{}", settings.id);
    // The first one comes at any time within the interval, so that the agent may call the
    // worker before it learns of its start.
    let interval_ms = u64::try_from(settings.heartbeat.as_millis()).unwrap_or(0);
    tokio::time::sleep(Duration::from_millis(born_ms % interval_ms.max(1))).await;
    for sequence in 1_u64.. {
        let heartbeat = json!({
            "service": settings.service,
            "address": address.to_string(),
            "zone": settings.zone,
            "version": "v1",
            "slots": settings.runs.slots,
            "state": "ready",
            "warmupLeftMs": 0,
            "capacity": { "cpu": settings.runs.slots * 1_000, "memMb": settings.runs.slots * 1_000, "gpu": settings.runs.slots },
            "labels": ["a", settings.rack],
            "born": born_ms,
            "sequence": sequence,
        });
        let body = Bytes::from(heartbeat.to_string());
        if let Err(err) = client.bytes(http::Method::PUT, &path, body).await {
            tracing::info!(event = "heartbeat_lost", sequence, error = %err);
        }
        tokio::time::sleep(settings.heartbeat).await;
    }
}

async fn start(mut req: Request) -> Result<Response> {
    check_instance(&req)?;
    let order: WireStart = json_body(&mut req).await?;
    answer(call(&req, |tx| Call::Start(order, tx)).await, clock_body).await
}

async fn stop(mut req: Request) -> Result<Response> {
    check_instance(&req)?;
    let order: WireStop = json_body(&mut req).await?;
    answer(call(&req, |tx| Call::Stop(order, tx)).await, clock_body).await
}

async fn renew(mut req: Request) -> Result<Response> {
    check_instance(&req)?;
    let order: WireRenewal = json_body(&mut req).await?;
    answer(call(&req, |tx| Call::Renew(order, tx)).await, |lists| {
        json!(lists)
    })
    .await
}

/// Rejects calls that are addressed to another worker.
fn check_instance(req: &Request) -> Result<()> {
    let expected: Option<String> = req.header("Expect-Instance");
    let own = req.state::<String>();
    match expected.is_none() || expected == own {
        true => Ok(()),
        false => {
            Err(json_response(StatusCode::MISDIRECTED_REQUEST, &"another worker").into_error())
        }
    }
}

async fn keep_acknowledgement(req: Request) -> Result<Response> {
    call(&req, Call::KeepAcknowledgement).await?;
    Ok(json_response(StatusCode::OK, &json!({})))
}

/// Returns the body of the answer to an order; only a renewal gets the lists.
fn clock_body(clock_ms: u64) -> Value {
    json!({ "clockMs": clock_ms })
}

/// Responds to a call; one that is carried out late gets no answer.
async fn answer<T>(outcome: Result<Outcome<T>>, body: fn(T) -> Value) -> Result<Response> {
    if outcome.is_err() {
        tokio::time::sleep(NO_ANSWER_TIME).await;
    }
    Ok(match outcome? {
        Ok(reply) => json_response(StatusCode::OK, &body(reply)),
        Err((clock_ms, refusal)) => {
            let body = json!({ "clockMs": clock_ms, "reason": refusal.name() });
            json_response(StatusCode::CONFLICT, &body)
        }
    })
}

fn millis(at: Uptime) -> u64 {
    u64::try_from(at.as_duration().as_millis()).unwrap_or(u64::MAX)
}
