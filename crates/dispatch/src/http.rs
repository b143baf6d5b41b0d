//! A small HTTP/1.1 server with limits on time, size and connections.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use cumindeck_service::Shutdown;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

/// Delay after a failed accept, which keeps failing while file descriptors are
/// exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// An HTTP response whose whole body is in memory.
pub type Reply = Response<Full<Bytes>>;

/// Limits of one [`serve`] call; servers share no connection count.
#[derive(Debug, Clone, Copy)]
pub struct HttpLimits {
    /// Maximum number of concurrent connections.
    pub connections: usize,
    /// Maximum wait for the headers of a request.
    pub header_time: Duration,
    /// Maximum size of the headers in bytes; a smaller value counts as 8,192, the minimum
    /// of hyper.
    pub header_bytes: usize,
}

/// Handles HTTP requests.
#[async_trait]
pub trait Handler: Send + Sync {
    /// Returns the response to a request.
    async fn handle(&self, req: Request<Incoming>) -> Reply;
}

/// Reads a body of at most `limit` bytes; the text of an error says why it failed.
pub async fn read_body(body: Incoming, limit: usize) -> Result<Bytes, String> {
    match Limited::new(body, limit).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(err) => Err(err.to_string()),
    }
}

/// Serves connections until the shutdown, then finishes the requests in flight.
pub async fn serve(
    listener: TcpListener,
    handler: Arc<dyn Handler>,
    limits: HttpLimits,
    mut shutdown: Shutdown,
) {
    let permits = Arc::new(Semaphore::new(limits.connections));
    loop {
        let accepted = tokio::select! {
            accepted = accept(&listener, &permits) => accepted,
            () = shutdown.wait() => break,
        };
        let Some((stream, permit)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let handler = handler.clone();
        let shutdown = shutdown.clone();
        tokio::spawn(async move {
            serve_connection(stream, handler, limits, shutdown).await;
            drop(permit);
        });
    }
    drop(listener);
    // All permits are free once the last connection has ended.
    let all = u32::try_from(limits.connections).unwrap_or(u32::MAX);
    let _ = permits.acquire_many(all).await;
}

async fn accept(
    listener: &TcpListener,
    permits: &Arc<Semaphore>,
) -> Option<(TcpStream, tokio::sync::OwnedSemaphorePermit)> {
    let permit = permits.clone().acquire_owned().await.ok()?;
    match listener.accept().await {
        Ok((stream, _)) => Some((stream, permit)),
        Err(err) => {
            tracing::warn!(event = "accept_failed", error = %err);
            None
        }
    }
}

async fn serve_connection(
    stream: TcpStream,
    handler: Arc<dyn Handler>,
    limits: HttpLimits,
    mut shutdown: Shutdown,
) {
    if let Err(err) = stream.set_nodelay(true) {
        tracing::debug!(event = "nodelay_failed", error = %err);
    }
    let service = service_fn(move |req| {
        let handler = handler.clone();
        async move { Ok::<_, Infallible>(handler.handle(req).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_time)
        .max_buf_size(limits.header_bytes.max(8_192))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = shutdown.wait() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(err) = result {
        tracing::debug!(event = "connection_ended", error = %err);
    }
}

/// Creates a response with a JSON body.
pub(crate) fn json_response<T: serde::Serialize>(status: StatusCode, body: &T) -> Reply {
    match serde_json::to_vec(body) {
        Ok(body) => Response::builder()
            .status(status)
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(body)))
            .unwrap_or_default(),
        Err(err) => {
            tracing::error!(event = "encode_failed", error = %err);
            plain_response(StatusCode::INTERNAL_SERVER_ERROR, "")
        }
    }
}

/// Creates a response with a text body.
pub(crate) fn plain_response(status: StatusCode, body: &str) -> Reply {
    let mut response = Response::new(Full::new(Bytes::from(body.to_owned())));
    *response.status_mut() = status;
    response
}
