//! What the HTTP handlers of both stand-ins share.

use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::{mpsc, oneshot};
use viz::{IntoResponse, Request, RequestExt, RequestLimitsExt, Response, Result, StatusCode};

/// Largest body of a call.
const MAX_BODY_BYTES: u64 = 4 * 1024 * 1024;

/// Calls that wait for the task that owns the state; senders wait when it is full.
pub(super) const CALL_QUEUE: usize = 1_024;

/// Reads the body of a call.
pub(super) async fn body<T: DeserializeOwned>(req: &mut Request) -> Result<T> {
    let bytes = req.bytes_with(None, MAX_BODY_BYTES).await?;
    serde_json::from_slice(&bytes).map_err(|err| {
        let text = format!("body is not valid: {err}");
        answer(StatusCode::BAD_REQUEST, &text).into_error()
    })
}

/// Makes an answer with a JSON body.
pub(super) fn answer<T: Serialize>(status: StatusCode, body: &T) -> Response {
    let body = serde_json::to_vec(body).unwrap_or_default();
    (status, body).into_response()
}

/// Returns a value of the query; empty if it is missing.
pub(super) fn query(req: &Request, name: &str) -> String {
    let query = req.query_string().unwrap_or_default();
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let value = pairs.into_iter().find(|(key, _)| *key == name);
    value.map(|(_, value)| value.to_owned()).unwrap_or_default()
}

/// Passes a call to the task that owns the state and waits for its answer.
pub(super) async fn ask<C, T>(
    req: &Request,
    make: impl FnOnce(oneshot::Sender<T>) -> C,
) -> Result<T>
where
    C: Send + Sync + 'static,
{
    let stopping = || answer(StatusCode::SERVICE_UNAVAILABLE, &"stopping").into_error();
    let sender = req.state::<mpsc::Sender<C>>().ok_or_else(stopping)?;
    let (tx, rx) = oneshot::channel();
    sender.send(make(tx)).await.map_err(|_| stopping())?;
    rx.await.map_err(|_| stopping())
}
