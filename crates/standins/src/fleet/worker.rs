//! HTTP around the runs of a worker: one task owns them, the handlers send it
//! messages, and another task sends heartbeats.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cumindeck_platform::HttpClient;
use cumindeck_service::{Shutdown, Timer, serve_http};
use cumindeck_types::Uptime;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use viz::types::State;
use viz::{IntoResponse, Request, RequestExt, Response, Result, Router, StatusCode};

use super::http::{CALL_QUEUE, answer, ask, body};
use super::runs::{Refusal, Runs, RunsSettings};
use super::wire::{WireHold, WireLists, WireStart, WireStop};

/// Longest wait for the answer to a heartbeat.
const HEARTBEAT_TIME: Duration = Duration::from_secs(1);

/// Longest wait of a hold.
const MAX_HOLD_WAIT: Duration = Duration::from_secs(2);

/// A worker and what it says of itself.
#[derive(Debug, Clone)]
pub struct WorkerSettings {
    /// Its id.
    pub id: String,
    /// Service that it belongs to.
    pub service: String,
    /// Availability zone.
    pub zone: String,
    /// Rack.
    pub rack: String,
    /// Address at which its agent takes heartbeats.
    pub agent: SocketAddr,
    /// Time between two heartbeats.
    pub heartbeat: Duration,
    /// Sizes and times.
    pub runs: RunsSettings,
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
    let (tx, rx) = mpsc::channel(CALL_QUEUE);
    tracing::info!(
        event = "worker_started",
        id = settings.id,
        born_ms,
        at_ms = millis(timer.now())
    );
    let own = Worker {
        runs,
        holds: Vec::new(),
        timer,
    };
    tokio::spawn(own.run(rx));
    tokio::spawn(send_heartbeats(settings.clone(), address, born_ms));
    let router = Router::new()
        .post("/run-start", start)
        .post("/run-stop", stop)
        .post("/hold", hold)
        .with(State::new(tx))
        .with(State::new(settings.id));
    serve_http(listener, router, shutdown).await;
    Ok(())
}

type Outcome = std::result::Result<WireLists, Refusal>;

enum Call {
    Start(WireStart, oneshot::Sender<Outcome>),
    Stop(WireStop, oneshot::Sender<Outcome>),
    Hold(WireHold, oneshot::Sender<Outcome>),
}

/// The owner of the runs.
struct Worker {
    runs: Runs,
    /// Holds that wait for an end.
    holds: Vec<(Uptime, oneshot::Sender<Outcome>)>,
    timer: Timer,
}

impl Worker {
    async fn run(mut self, mut rx: mpsc::Receiver<Call>) {
        let mut alarm = self.timer.alarm();
        loop {
            let end = self.runs.next_end().map(Uptime::from_millis);
            let holds = self.holds.iter().map(|(until, _)| *until);
            alarm.set(holds.chain(end).min());
            tokio::select! {
                call = rx.recv() => {
                    let Some(call) = call else { return };
                    self.handle(call);
                }
                () = alarm.wait() => {}
            }
            self.runs.tick(millis(self.timer.now()));
            self.answer_holds();
        }
    }

    fn handle(&mut self, call: Call) {
        let now = self.timer.now();
        let now_ms = millis(now);
        // A caller that has gone away is not an error.
        match call {
            Call::Start(order, tx) => {
                let outcome = self.runs.start(now_ms, &order);
                let _ = tx.send(outcome.map(|()| self.runs.lists(now_ms)));
            }
            Call::Stop(order, tx) => {
                let outcome = self.runs.stop(now_ms, &order);
                let _ = tx.send(outcome.map(|()| self.runs.lists(now_ms)));
            }
            Call::Hold(order, tx) => match self.runs.hold(now_ms, &order) {
                Err(refusal) => drop(tx.send(Err(refusal))),
                Ok(_) => {
                    let wait = Duration::from_millis(order.wait_ms).min(MAX_HOLD_WAIT);
                    self.holds.push((now.plus(wait), tx));
                }
            },
        }
    }

    /// Answers holds whose wait is over, and all of them if there is an end.
    fn answer_holds(&mut self) {
        let now = self.timer.now();
        let has_ends = self.runs.has_ends();
        let is_due = |hold: &mut (Uptime, _)| has_ends || hold.0 <= now;
        let due: Vec<_> = self.holds.extract_if(.., is_due).collect();
        for (_, tx) in due {
            let _ = tx.send(Ok(self.runs.lists(millis(now))));
        }
    }
}

async fn send_heartbeats(settings: WorkerSettings, address: SocketAddr, born_ms: u64) {
    let client = HttpClient::new(settings.agent, HEARTBEAT_TIME);
    let path = format!("/instances/{}", settings.id);
    for sequence in 1_u64.. {
        let beat = json!({
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
        let body = Bytes::from(beat.to_string());
        if let Err(err) = client.bytes(http::Method::PUT, &path, body).await {
            tracing::info!(event = "heartbeat_lost", sequence, error = %err);
        }
        tokio::time::sleep(settings.heartbeat).await;
    }
}

async fn start(mut req: Request) -> Result<Response> {
    check_instance(&req)?;
    let order: WireStart = body(&mut req).await?;
    Ok(respond(ask(&req, |tx| Call::Start(order, tx)).await?))
}

async fn stop(mut req: Request) -> Result<Response> {
    check_instance(&req)?;
    let order: WireStop = body(&mut req).await?;
    Ok(respond(ask(&req, |tx| Call::Stop(order, tx)).await?))
}

async fn hold(mut req: Request) -> Result<Response> {
    check_instance(&req)?;
    let order: WireHold = body(&mut req).await?;
    Ok(respond(ask(&req, |tx| Call::Hold(order, tx)).await?))
}

/// Refuses calls that are meant for another worker.
fn check_instance(req: &Request) -> Result<()> {
    let meant: Option<String> = req.header("Expect-Instance");
    let own = req.state::<String>();
    match meant.is_none() || meant == own {
        true => Ok(()),
        false => Err(answer(StatusCode::MISDIRECTED_REQUEST, &"another worker").into_error()),
    }
}

fn respond(outcome: Outcome) -> Response {
    match outcome {
        Ok(lists) => answer(StatusCode::OK, &lists),
        Err(refusal) => answer(StatusCode::CONFLICT, &json!({ "reason": refusal.name() })),
    }
}

fn millis(at: Uptime) -> u64 {
    u64::try_from(at.as_duration().as_millis()).unwrap_or(u64::MAX)
}
