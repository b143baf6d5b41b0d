//! The connections to the backend server.

use std::net::SocketAddr;

use async_trait::async_trait;
use bytes::Bytes;
use cumindeck_types::message::{Answer, Dispatch};
use cumindeck_types::{NotRunReason, Remaining, UncertainReason, Verdict};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Method, Request, Response, body::Incoming};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use thiserror::Error;

/// Maximum size of a response; a message between processes may have 8 MiB.
const MAX_RESPONSE_BYTES: usize = 7 * 1024 * 1024;

/// Reason why a request got no complete response.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum BackendError {
    /// No connection could be made; nothing was sent.
    #[error("can't connect to backend server {0}")]
    NotSent(SocketAddr),
    /// The request can't be expressed as HTTP; nothing was sent.
    #[error("request is not valid HTTP: {0}")]
    BadRequest(String),
    /// The connection broke after the request was sent.
    #[error("connection to the backend server lost: {0}")]
    Lost(String),
    /// The response ended early or exceeds the limit.
    #[error("response of the backend server is truncated or too large")]
    Truncated,
    /// The time limit ended before the response was complete.
    #[error("no complete response within the time limit")]
    TimedOut,
}

impl BackendError {
    /// Returns the verdict on a request that failed like this.
    #[must_use]
    pub const fn verdict(&self) -> Verdict<Answer> {
        match self {
            Self::NotSent(_) => Verdict::NotRun(NotRunReason::Unreachable),
            Self::BadRequest(_) => Verdict::NotRun(NotRunReason::BadRequest),
            Self::Lost(_) => Verdict::MayHaveRun(UncertainReason::ConnectionLost),
            Self::Truncated => Verdict::MayHaveRun(UncertainReason::Truncated),
            Self::TimedOut => Verdict::MayHaveRun(UncertainReason::TimedOut),
        }
    }
}

/// Sends requests to the backend server.
#[async_trait]
pub trait BackendTransport: Send + Sync {
    /// Sends a request and returns the complete response.
    async fn send(&self, req: Dispatch, remaining: Remaining) -> Result<Answer, BackendError>;
}

/// A backend server that speaks HTTP/1.1.
#[derive(Debug, Clone)]
pub struct HttpBackend {
    address: SocketAddr,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl HttpBackend {
    /// Creates a transport to a backend server, which keeps up to `connections` idle
    /// connections.
    #[must_use]
    pub fn new(address: SocketAddr, connections: u32) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(connections as usize)
            // If a kept connection closes, the library would repeat the request on a new
            // one, although the first copy may have run.
            .retry_canceled_requests(false)
            .build(connector);
        Self { address, client }
    }

    async fn exchange(&self, req: Dispatch) -> Result<Answer, BackendError> {
        let uri = format!("http://{}{}", self.address, req.path);
        let http = Request::builder()
            .method(Method::POST)
            .uri(uri)
            .header("content-type", &req.content_type)
            .header("x-request-id", req.id.as_str())
            .header("x-team", req.team.as_str())
            .header("idempotency-key", req.key.as_str())
            .header("traceparent", req.trace.to_string())
            .body(Full::new(Bytes::from(req.body)))
            .map_err(|err| BackendError::BadRequest(err.to_string()))?;
        let response = match self.client.request(http).await {
            Ok(response) => response,
            Err(err) if err.is_connect() => return Err(BackendError::NotSent(self.address)),
            Err(err) => return Err(BackendError::Lost(err.to_string())),
        };
        let status = response.status().as_u16();
        let content_type = content_type(&response);
        let body = match Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
            .collect()
            .await
        {
            Ok(body) => body.to_bytes().to_vec(),
            Err(_) => return Err(BackendError::Truncated),
        };
        Ok(Answer {
            id: req.id,
            attempt: req.attempt,
            status,
            content_type,
            body,
        })
    }
}

#[async_trait]
impl BackendTransport for HttpBackend {
    async fn send(&self, req: Dispatch, remaining: Remaining) -> Result<Answer, BackendError> {
        match tokio::time::timeout(remaining.as_duration(), self.exchange(req)).await {
            Ok(result) => result,
            Err(_) => Err(BackendError::TimedOut),
        }
    }
}

fn content_type(response: &Response<Incoming>) -> String {
    let value = response
        .headers()
        .get("content-type")
        .and_then(|value| value.to_str().ok());
    value.unwrap_or("application/octet-stream").to_owned()
}
