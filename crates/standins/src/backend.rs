//! Stand-in for a backend server, whose behaviour the request path selects.
//!
//! `/` and `/echo` return the request body, `/sleep/MILLIS` returns it after that time,
//! `/fail` returns status 500, `/hang` doesn't respond for 10 minutes, `/count/KEY`
//! returns how often it was called with that key (GET returns the count without adding
//! to it) and `/trace` returns the header `traceparent`.

use std::collections::BTreeMap;
use std::time::Duration;

use cumindeck_service::{Shutdown, serve_http};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use viz::types::State;
use viz::{
    IntoResponse, Request, RequestExt, RequestLimitsExt, Response, Result, Router, StatusCode,
};

/// Maximum size of a request body in bytes.
const MAX_BODY_BYTES: u64 = 64 * 1024 * 1024;
/// Time after which `/hang` responds.
const HANG_TIME: Duration = Duration::from_secs(600);

/// Serves the backend stand-in until the shutdown starts.
pub async fn serve_backend(listener: TcpListener, shutdown: Shutdown) {
    let (tx, rx) = mpsc::unbounded_channel();
    tokio::spawn(run_counter(rx));
    let router = Router::new()
        .post("/", echo)
        .post("/echo", echo)
        .post("/sleep/:millis", sleep)
        .post("/fail", fail)
        .post("/hang", hang)
        .post("/count/:key", count)
        .get("/count/:key", read_count)
        .post("/trace", trace)
        .with(State::new(tx));
    serve_http(listener, router, shutdown).await;
}

/// A message to the task that counts calls, which replies with the count of the key.
struct CountMessage {
    key: String,
    /// Number of calls to add; 0 to read the count.
    calls: u64,
    tx: oneshot::Sender<u64>,
}

async fn run_counter(mut rx: mpsc::UnboundedReceiver<CountMessage>) {
    let mut counts: BTreeMap<String, u64> = BTreeMap::new();
    while let Some(CountMessage { key, calls, tx }) = rx.recv().await {
        let count = counts.entry(key).or_default();
        *count += calls;
        let _ = tx.send(*count);
    }
}

async fn echo(mut req: Request) -> Result<Response> {
    let body = req.bytes_with(None, MAX_BODY_BYTES).await?;
    Ok(body.into_response())
}

async fn sleep(mut req: Request) -> Result<Response> {
    let millis: u64 = req.param("millis")?;
    let body = req.bytes_with(None, MAX_BODY_BYTES).await?;
    tokio::time::sleep(Duration::from_millis(millis)).await;
    Ok(body.into_response())
}

async fn fail(_req: Request) -> Result<Response> {
    Ok((StatusCode::INTERNAL_SERVER_ERROR, "failed by request\n").into_response())
}

async fn hang(_req: Request) -> Result<Response> {
    tokio::time::sleep(HANG_TIME).await;
    Ok("too late\n".into_response())
}

async fn trace(req: Request) -> Result<Response> {
    let value = req.headers().get("traceparent");
    let text = value.and_then(|value| value.to_str().ok());
    Ok(text.unwrap_or_default().to_owned().into_response())
}

async fn count(req: Request) -> Result<Response> {
    update_count(&req, 1).await
}

async fn read_count(req: Request) -> Result<Response> {
    update_count(&req, 0).await
}

async fn update_count(req: &Request, calls: u64) -> Result<Response> {
    let key: String = req.param("key")?;
    let (tx, rx) = oneshot::channel();
    let counter = req.state::<mpsc::UnboundedSender<CountMessage>>();
    let sent = counter.is_some_and(|counter| counter.send(CountMessage { key, calls, tx }).is_ok());
    let count = if sent { rx.await.unwrap_or(0) } else { 0 };
    Ok(format!("{count}\n").into_response())
}
