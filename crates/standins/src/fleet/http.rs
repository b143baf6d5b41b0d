//! Helpers of the HTTP handlers of both stand-ins.

use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::{mpsc, oneshot};
use viz::{IntoResponse, Request, RequestExt, RequestLimitsExt, Response, Result, StatusCode};

/// Maximum size of a request body in bytes.
const MAX_BODY_BYTES: u64 = 4 * 1024 * 1024;

/// Capacity of the channel to the task that owns the state; senders wait when it is full.
pub(super) const CALL_QUEUE: usize = 1_024;

/// Reads a JSON request body; an invalid one gets status 400.
pub(super) async fn json_body<T: DeserializeOwned>(req: &mut Request) -> Result<T> {
    let bytes = req.bytes_with(None, MAX_BODY_BYTES).await?;
    serde_json::from_slice(&bytes).map_err(|err| {
        let text = format!("body is not valid: {err}");
        json_response(StatusCode::BAD_REQUEST, &text).into_error()
    })
}

/// Creates a response with a JSON body.
pub(super) fn json_response<T: Serialize>(status: StatusCode, body: &T) -> Response {
    let body = serde_json::to_vec(body).unwrap_or_default();
    (status, body).into_response()
}

/// Returns a value of the query string; empty if it is missing.
pub(super) fn query_value(req: &Request, name: &str) -> String {
    let query = req.query_string().unwrap_or_default();
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let value = pairs.into_iter().find(|(key, _)| *key == name);
    value.map(|(_, value)| value.to_owned()).unwrap_or_default()
}

/// Sends a call to the task that owns the state and waits for its reply.
pub(super) async fn call<C, T>(
    req: &Request,
    make: impl FnOnce(oneshot::Sender<T>) -> C,
) -> Result<T>
where
    C: Send + Sync + 'static,
{
    let stopping = || json_response(StatusCode::SERVICE_UNAVAILABLE, &"stopping").into_error();
    let sender = req.state::<mpsc::Sender<C>>().ok_or_else(stopping)?;
    let (tx, rx) = oneshot::channel();
    sender.send(make(tx)).await.map_err(|_| stopping())?;
    rx.await.map_err(|_| stopping())
}
