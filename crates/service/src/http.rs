//! An HTTP/1.1 server within the limits of a process.

mod answer;
mod body;
mod stream;

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use cumindeck_ingress::{BodyError, Phase};
use cumindeck_types::ByteSize;
use http::header::{CONNECTION, RETRY_AFTER};
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioTimer;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

use crate::gate::{CloseSignal, ConnectionHandle, Gate, Reason};
use crate::{Shutdown, listen};
use answer::AnswerBody;
pub(crate) use body::BodySlot;
pub use body::{RequestBody, take_body};
use stream::Stream;

/// Delay after a failed accept, which keeps failing while file descriptors are
/// exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Largest answer that is sent although there is no room for it, so that a request that
/// was carried out is answered.
const SMALL_ANSWER: ByteSize = ByteSize::from_kib(4);

/// Value of `retry-after` when there is no room, in seconds.
const ROOM_RETRY_AFTER: u64 = 1;

/// An HTTP response whose whole body is in memory.
pub type Reply = Response<Full<Bytes>>;

/// Limits of one listener on the heads of requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeadLimits {
    /// Maximum wait for the head of a request, also of the next one on a connection.
    pub time: Duration,
    /// Size of a connection's receive buffer, which the system may double.
    pub receive_buffer: ByteSize,
    /// Maximum size of the head; a smaller value counts as 8 KiB, the minimum of hyper.
    pub size: ByteSize,
}

impl Default for HeadLimits {
    fn default() -> Self {
        Self {
            time: Duration::from_secs(30),
            size: ByteSize::from_kib(16),
            receive_buffer: ByteSize::from_kib(8),
        }
    }
}

/// A request whose answer has no room.
#[derive(Debug)]
struct NoRoomForAnswer;

impl fmt::Display for NoRoomForAnswer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("there is no room for the answer")
    }
}

impl std::error::Error for NoRoomForAnswer {}

/// Handles HTTP requests.
#[async_trait]
pub trait Handler: Send + Sync {
    /// Returns the response to a request.
    async fn handle(&self, req: Request<RequestBody>) -> Reply;
}

/// Returns the status of a request whose body was not read.
#[must_use]
pub const fn body_error_status(err: &BodyError) -> StatusCode {
    match err {
        BodyError::TooLarge(_) => StatusCode::PAYLOAD_TOO_LARGE,
        BodyError::NoRoom => StatusCode::SERVICE_UNAVAILABLE,
        BodyError::TooSlow => StatusCode::REQUEST_TIMEOUT,
        BodyError::Broken(_) => StatusCode::BAD_REQUEST,
    }
}

/// Serves connections until the shutdown, then finishes the requests in flight.
pub async fn serve(
    listener: TcpListener,
    handler: Arc<dyn Handler>,
    head: HeadLimits,
    gate: Gate,
    mut shutdown: Shutdown,
) {
    listen::bound_receive_buffer(&listener, head.receive_buffer);
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(_) = connections.join_next() => continue,
            () = shutdown.wait() => break,
        };
        let (stream, address) = match accepted {
            Ok(accepted) => accepted,
            Err(err) => {
                tracing::warn!(event = "accept_failed", error = %err);
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let opened = tokio::select! {
            opened = gate.open(address) => opened,
            () = shutdown.wait() => break,
        };
        let Some((connection, closing)) = opened else {
            break;
        };
        let (handler, shutdown) = (handler.clone(), shutdown.clone());
        connections.spawn(serve_connection(
            stream,
            Arc::new(connection),
            closing,
            handler,
            head,
            shutdown,
        ));
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn serve_connection(
    stream: TcpStream,
    handle: Arc<ConnectionHandle>,
    mut closing: CloseSignal,
    handler: Arc<dyn Handler>,
    head: HeadLimits,
    mut shutdown: Shutdown,
) {
    if let Err(err) = stream.set_nodelay(true) {
        tracing::debug!(event = "nodelay_failed", error = %err);
    }
    let requests = handle.clone();
    let service = service_fn(move |req| {
        let (handler, handle) = (handler.clone(), requests.clone());
        // An error closes the connection without an answer.
        async move { respond(req, handler, handle).await.ok_or(NoRoomForAnswer) }
    });
    let size = usize::try_from(head.size.bytes()).unwrap_or(usize::MAX);
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(head.time)
        .max_buf_size(size.max(8_192))
        .serve_connection(Stream::new(stream, handle.clone()), service);
    tokio::pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = closing.wait() => return,
        () = shutdown.wait() => {
            connection.as_mut().graceful_shutdown();
            tokio::select! {
                result = connection => result,
                () = closing.wait() => return,
            }
        }
    };
    if let Err(err) = result {
        tracing::debug!(event = "connection_ended", error = %err);
    }
}

/// Has a request carried out and claims the memory of its answer; `None` if there is no
/// room for it. No status would say truly whether the request has run: other processes take
/// an error status for a request that was not carried out.
async fn respond(
    req: Request<Incoming>,
    handler: Arc<dyn Handler>,
    handle: Arc<ConnectionHandle>,
) -> Option<Response<AnswerBody>> {
    handle.set_phase(Phase::Running);
    let (request, body) = req.into_parts();
    let body = RequestBody::new(body, handle.clone());
    let held = body.held();
    let reply = handler.handle(Request::from_parts(request, body)).await;
    handle.release(held.get());
    let size = ByteSize::new(reply.body().size_hint().exact().unwrap_or(0));
    let mut claimed = size;
    if !handle.claim(size).await {
        claimed = ByteSize::new(0);
        if size > SMALL_ANSWER {
            handle.note(Reason::NoRoomForAnswer);
            return None;
        }
    }
    handle.start_answer();
    Some(reply.map(|body| AnswerBody::new(body, claimed, handle)))
}

/// Adds what a client needs to know about a body that was not read.
pub fn explain_body_error(reply: &mut Reply, err: &BodyError) {
    if matches!(err, BodyError::NoRoom) {
        let after = HeaderValue::from(ROOM_RETRY_AFTER);
        reply.headers_mut().insert(RETRY_AFTER, after);
    }
    let close = HeaderValue::from_static("close");
    reply.headers_mut().insert(CONNECTION, close);
}
