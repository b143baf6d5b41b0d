//! HTTP server of the platform stand-in: one task owns the state, and the handlers
//! send it messages.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use cumindeck_platform::api::{
    CommitBody, CommitReply, ErrorBody, FaultsBody, LeaseBody, PrepareBody, ReadBody, RowsBody,
    SampleBody, StartBody, TasksBody, UsageBody,
};
use cumindeck_service::{Shutdown, Timer, serve_http};
use cumindeck_types::Uptime;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use viz::types::State;
use viz::{
    Bytes, IntoResponse, Request, RequestExt, RequestLimitsExt, Response, Result, Router,
    StatusCode,
};

use super::tables::Tables;
use super::workers::{OrderError, Workers};

/// Maximum size of a request body in bytes.
const MAX_BODY_BYTES: u64 = 64 * 1024 * 1024;
/// Delay of a reply that counts as lost.
const LOST_REPLY_DELAY: Duration = Duration::from_secs(30);
/// Maximum number of usage samples that are kept.
const MAX_SAMPLES: usize = 100_000;
/// Time by which the watermark of usage reports is behind the wall clock.
const USAGE_LAG_MS: i64 = 1_000;

/// Serves the platform stand-in until the shutdown starts.
pub async fn serve_platform(listener: TcpListener, timer: Timer, shutdown: Shutdown) {
    let (tx, rx) = mpsc::unbounded_channel();
    tokio::spawn(run_state(rx, timer));
    let router = Router::new()
        .post("/v1/tables/read", read_tables)
        .post("/v1/tables/commit", commit_tables)
        .get("/v1/objects/:key*", get_object)
        .put("/v1/objects/:key*", put_object)
        .post("/v1/workers/:worker/tasks", prepare_task)
        .get("/v1/workers/:worker/tasks", list_tasks)
        .post("/v1/workers/:worker/tasks/:task/start", start_task)
        .post("/v1/workers/:worker/tasks/:task/stop", stop_task)
        .post(
            "/v1/workers/:worker/tasks/:task/checkpoint",
            checkpoint_task,
        )
        .post("/v1/workers/:worker/lease", renew_lease)
        .get("/v1/usage", get_usage)
        .put("/v1/usage", put_usage)
        .put("/v1/faults", put_faults)
        .with(State::new(tx));
    serve_http(listener, router, shutdown).await;
}

type CallSender = mpsc::UnboundedSender<Call>;

/// A call to the task that owns the state, with the channel for its reply.
enum Call {
    Read(ReadBody, oneshot::Sender<Outcome<RowsBody>>),
    Commit(CommitBody, oneshot::Sender<Outcome<CommitReply>>),
    GetObject(String, oneshot::Sender<Outcome<Option<Bytes>>>),
    PutObject(String, Bytes, oneshot::Sender<Outcome<()>>),
    Prepare(String, PrepareBody, oneshot::Sender<Result<(), OrderError>>),
    Start(
        String,
        String,
        StartBody,
        oneshot::Sender<Result<(), OrderError>>,
    ),
    Stop(String, String, oneshot::Sender<Result<(), OrderError>>),
    Checkpoint(String, String, oneshot::Sender<Result<(), OrderError>>),
    Renew(String, LeaseBody, oneshot::Sender<Result<(), OrderError>>),
    Tasks(String, oneshot::Sender<TasksBody>),
    Usage(u64, oneshot::Sender<UsageBody>),
    AddUsage(Vec<SampleBody>, oneshot::Sender<()>),
    Faults(FaultsBody, oneshot::Sender<()>),
}

/// The result of a call that injected faults may affect.
enum Outcome<T> {
    /// The reply, to be sent after a delay.
    Reply(T, Duration),
    /// The service is down; the call had no effect.
    Down,
}

struct PlatformState {
    tables: Tables,
    workers: Workers,
    objects: BTreeMap<String, Bytes>,
    samples: VecDeque<SampleBody>,
    next_sequence: u64,
    faults: FaultsBody,
}

async fn run_state(mut rx: mpsc::UnboundedReceiver<Call>, timer: Timer) {
    let mut state = PlatformState {
        tables: Tables::default(),
        workers: Workers::default(),
        objects: BTreeMap::new(),
        samples: VecDeque::new(),
        next_sequence: 1,
        faults: FaultsBody::default(),
    };
    while let Some(call) = rx.recv().await {
        state.handle(timer.now(), timer.wall(), call);
    }
}

impl PlatformState {
    fn handle(&mut self, now: Uptime, wall: Duration, call: Call) {
        match call {
            Call::Read(body, tx) => reply(tx, self.read(&body)),
            Call::Commit(body, tx) => reply(tx, self.commit(body)),
            Call::GetObject(key, tx) => {
                let object = self.objects.get(&key).cloned();
                reply(tx, self.object_outcome(object));
            }
            Call::PutObject(key, object, tx) => {
                if !self.faults.objects_down {
                    self.objects.insert(key, object);
                }
                reply(tx, self.object_outcome(()));
            }
            Call::Prepare(worker, body, tx) => {
                reply(tx, self.workers.prepare(now, &worker, body));
            }
            Call::Start(worker, task, body, tx) => {
                let not_after = now.plus(Duration::from_millis(body.not_after_ms));
                reply(tx, self.workers.start(now, &worker, &task, not_after));
            }
            Call::Stop(worker, task, tx) => reply(tx, self.workers.stop(now, &worker, &task)),
            Call::Checkpoint(worker, task, tx) => {
                reply(tx, self.workers.checkpoint(now, &worker, &task));
            }
            Call::Renew(worker, body, tx) => {
                self.workers
                    .renew(now, &worker, Duration::from_millis(body.lease_ms));
                reply(tx, Ok(()));
            }
            Call::Tasks(worker, tx) => reply(tx, self.workers.tasks(now, &worker)),
            Call::Usage(after, tx) => reply(tx, self.usage(wall, after)),
            Call::AddUsage(samples, tx) => {
                self.add_usage(samples);
                reply(tx, ());
            }
            Call::Faults(faults, tx) => {
                self.workers.set_failing(&faults.failing_workers);
                self.faults = faults;
                reply(tx, ());
            }
        }
    }

    fn read(&self, body: &ReadBody) -> Outcome<RowsBody> {
        if self.faults.tables_down {
            return Outcome::Down;
        }
        Outcome::Reply(self.tables.read(body), self.table_delay())
    }

    fn commit(&mut self, body: CommitBody) -> Outcome<CommitReply> {
        if self.faults.tables_down {
            return Outcome::Down;
        }
        let reply = self.tables.commit(body);
        if self.faults.lose_commit_answers > 0 {
            self.faults.lose_commit_answers -= 1;
            return Outcome::Reply(reply, LOST_REPLY_DELAY);
        }
        Outcome::Reply(reply, self.table_delay())
    }

    const fn table_delay(&self) -> Duration {
        Duration::from_millis(self.faults.tables_slow_ms)
    }

    fn object_outcome<T>(&self, value: T) -> Outcome<T> {
        match self.faults.objects_down {
            true => Outcome::Down,
            false => Outcome::Reply(value, Duration::ZERO),
        }
    }

    fn usage(&self, wall: Duration, after: u64) -> UsageBody {
        let wall_ms = i64::try_from(wall.as_millis()).unwrap_or(i64::MAX);
        let samples = self
            .samples
            .iter()
            .filter(|s| s.sequence > after)
            .cloned()
            .collect();
        UsageBody {
            watermark_ms: wall_ms - USAGE_LAG_MS,
            samples,
        }
    }

    fn add_usage(&mut self, samples: Vec<SampleBody>) {
        for sample in samples {
            self.samples.push_back(SampleBody {
                sequence: self.next_sequence,
                ..sample
            });
            self.next_sequence += 1;
        }
        let excess = self.samples.len().saturating_sub(MAX_SAMPLES);
        self.samples.drain(..excess);
    }
}

async fn read_tables(mut req: Request) -> Result<Response> {
    let body: ReadBody = json_body(&mut req).await?;
    let outcome = call(&req, |tx| Call::Read(body, tx)).await?;
    outcome_response(outcome).await
}

async fn commit_tables(mut req: Request) -> Result<Response> {
    let body: CommitBody = json_body(&mut req).await?;
    let outcome = call(&req, |tx| Call::Commit(body, tx)).await?;
    outcome_response(outcome).await
}

async fn get_object(req: Request) -> Result<Response> {
    let key: String = req.param("key")?;
    Ok(match call(&req, |tx| Call::GetObject(key, tx)).await? {
        Outcome::Reply(Some(object), _) => object.into_response(),
        Outcome::Reply(None, _) => error_response(StatusCode::NOT_FOUND, "object does not exist"),
        Outcome::Down => error_response(StatusCode::SERVICE_UNAVAILABLE, "object store is down"),
    })
}

async fn put_object(mut req: Request) -> Result<Response> {
    let key: String = req.param("key")?;
    let object = req.bytes_with(None, MAX_BODY_BYTES).await?;
    let outcome = call(&req, |tx| Call::PutObject(key, object, tx)).await?;
    outcome_response(outcome).await
}

async fn prepare_task(mut req: Request) -> Result<Response> {
    let worker: String = req.param("worker")?;
    let body: PrepareBody = json_body(&mut req).await?;
    Ok(order_response(
        call(&req, |tx| Call::Prepare(worker, body, tx)).await?,
    ))
}

async fn start_task(mut req: Request) -> Result<Response> {
    let (worker, task): (String, String) = req.params()?;
    let body: StartBody = json_body(&mut req).await?;
    Ok(order_response(
        call(&req, |tx| Call::Start(worker, task, body, tx)).await?,
    ))
}

async fn stop_task(req: Request) -> Result<Response> {
    let (worker, task): (String, String) = req.params()?;
    Ok(order_response(
        call(&req, |tx| Call::Stop(worker, task, tx)).await?,
    ))
}

async fn checkpoint_task(req: Request) -> Result<Response> {
    let (worker, task): (String, String) = req.params()?;
    Ok(order_response(
        call(&req, |tx| Call::Checkpoint(worker, task, tx)).await?,
    ))
}

async fn renew_lease(mut req: Request) -> Result<Response> {
    let worker: String = req.param("worker")?;
    let body: LeaseBody = json_body(&mut req).await?;
    Ok(order_response(
        call(&req, |tx| Call::Renew(worker, body, tx)).await?,
    ))
}

async fn list_tasks(req: Request) -> Result<Response> {
    let worker: String = req.param("worker")?;
    let tasks = call(&req, |tx| Call::Tasks(worker, tx)).await?;
    Ok(json_response(StatusCode::OK, &tasks))
}

async fn get_usage(req: Request) -> Result<Response> {
    let query = req.query_string().unwrap_or_default();
    let after = query
        .strip_prefix("after=")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let usage = call(&req, |tx| Call::Usage(after, tx)).await?;
    Ok(json_response(StatusCode::OK, &usage))
}

async fn put_usage(mut req: Request) -> Result<Response> {
    let samples: Vec<SampleBody> = json_body(&mut req).await?;
    call(&req, |tx| Call::AddUsage(samples, tx)).await?;
    Ok(json_response(StatusCode::OK, &()))
}

async fn put_faults(mut req: Request) -> Result<Response> {
    let faults: FaultsBody = json_body(&mut req).await?;
    tracing::info!(event = "faults_set", faults = ?faults);
    call(&req, |tx| Call::Faults(faults, tx)).await?;
    Ok(json_response(StatusCode::OK, &()))
}

async fn json_body<T: DeserializeOwned>(req: &mut Request) -> Result<T> {
    let bytes = req.bytes_with(None, MAX_BODY_BYTES).await?;
    serde_json::from_slice(&bytes).map_err(|err| {
        error_response(
            StatusCode::BAD_REQUEST,
            &format!("body is not valid: {err}"),
        )
        .into_error()
    })
}

async fn call<T>(req: &Request, make: impl FnOnce(oneshot::Sender<T>) -> Call) -> Result<T> {
    let stopping = || error_response(StatusCode::SERVICE_UNAVAILABLE, "stopping").into_error();
    let sender = req.state::<CallSender>().ok_or_else(stopping)?;
    let (tx, rx) = oneshot::channel();
    sender.send(make(tx)).map_err(|_| stopping())?;
    rx.await.map_err(|_| stopping())
}

/// Sends a reply; a handler whose client has disconnected no longer waits for it.
fn reply<T>(tx: oneshot::Sender<T>, value: T) {
    let _ = tx.send(value);
}

async fn outcome_response<T: Serialize>(outcome: Outcome<T>) -> Result<Response> {
    match outcome {
        Outcome::Reply(body, delay) => {
            tokio::time::sleep(delay).await;
            Ok(json_response(StatusCode::OK, &body))
        }
        Outcome::Down => Ok(error_response(
            StatusCode::SERVICE_UNAVAILABLE,
            "service is down",
        )),
    }
}

fn order_response(result: Result<(), OrderError>) -> Response {
    match result {
        Ok(()) => json_response(StatusCode::OK, &()),
        Err(err) => error_response(StatusCode::UNPROCESSABLE_ENTITY, &format!("{err:?}")),
    }
}

fn json_response<T: Serialize>(status: StatusCode, body: &T) -> Response {
    let body = serde_json::to_vec(body).unwrap_or_default();
    (status, body).into_response()
}

fn error_response(status: StatusCode, text: &str) -> Response {
    json_response(
        status,
        &ErrorBody {
            error: text.to_owned(),
        },
    )
}
