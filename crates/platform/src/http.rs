//! A small JSON client over HTTP/1.1 with limits.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Method, Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// Largest answer that is read.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// Idle time after which a connection is probed.
const KEEPALIVE: Duration = Duration::from_secs(5);

/// Longest time for which sent bytes stay unacknowledged before a connection is dropped.
///
/// A partition leaves connections open for ever.
const UNACKNOWLEDGED: Duration = Duration::from_secs(4);

/// A call that failed.
#[derive(Debug, Clone, Error)]
pub enum HttpError {
    /// The server couldn't be reached; nothing was sent.
    #[error("can't connect to {0}")]
    NotSent(SocketAddr),
    /// The call was sent, but its answer is missing or unusable.
    #[error("no usable answer from {address}: {reason}")]
    NoAnswer {
        /// Address of the server.
        address: SocketAddr,
        /// What went wrong.
        reason: String,
    },
    /// The server refused the call before it did anything.
    #[error("{address} refused the call with status {status}: {body}")]
    Refused {
        /// Address of the server.
        address: SocketAddr,
        /// HTTP status.
        status: StatusCode,
        /// Start of the answer's body.
        body: String,
    },
}

/// A JSON client for one server.
#[derive(Debug, Clone)]
pub struct HttpClient {
    address: SocketAddr,
    timeout: Duration,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl HttpClient {
    /// Makes a client whose calls end after `timeout`.
    #[must_use]
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(timeout));
        connector.set_keepalive(Some(KEEPALIVE));
        connector.set_tcp_user_timeout(Some(UNACKNOWLEDGED));
        let client = Client::builder(TokioExecutor::new()).build(connector);
        Self {
            address,
            timeout,
            client,
        }
    }

    /// Sends a JSON body and reads a JSON answer.
    pub async fn json<B, A>(&self, method: Method, path: &str, body: &B) -> Result<A, HttpError>
    where
        B: Serialize + Sync,
        A: DeserializeOwned,
    {
        let body = serde_json::to_vec(body).map_err(|err| self.no_answer(err.to_string()))?;
        let answer = self.bytes(method, path, Bytes::from(body)).await?;
        serde_json::from_slice(&answer).map_err(|err| self.no_answer(err.to_string()))
    }

    /// Reads a JSON answer.
    pub async fn get<A: DeserializeOwned>(&self, path: &str) -> Result<A, HttpError> {
        let answer = self.bytes(Method::GET, path, Bytes::new()).await?;
        serde_json::from_slice(&answer).map_err(|err| self.no_answer(err.to_string()))
    }

    /// Sends bytes and reads bytes.
    pub async fn bytes(&self, method: Method, path: &str, body: Bytes) -> Result<Bytes, HttpError> {
        let (status, body) = self.send(method, path, &[], body, self.timeout).await?;
        if status.is_success() {
            return Ok(body);
        }
        let body = String::from_utf8_lossy(&body).chars().take(200).collect();
        Err(HttpError::Refused {
            address: self.address,
            status,
            body,
        })
    }

    /// Sends a call and returns the answer whatever its status is.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        headers: &[(&'static str, &str)],
        body: Bytes,
        timeout: Duration,
    ) -> Result<(StatusCode, Bytes), HttpError> {
        let uri = format!("http://{}{path}", self.address);
        let mut req = Request::builder()
            .method(method)
            .uri(uri)
            .header("content-type", "application/json");
        for (name, value) in headers {
            req = req.header(*name, *value);
        }
        let req = req
            .body(Full::new(body))
            .map_err(|err| self.no_answer(err.to_string()))?;
        match tokio::time::timeout(timeout, self.exchange(req)).await {
            Ok(result) => result,
            Err(_) => Err(self.no_answer(format!("no answer within {timeout:?}"))),
        }
    }

    /// Makes a client for another server that shares this one's connections.
    #[must_use]
    pub fn to(&self, address: SocketAddr) -> Self {
        Self {
            address,
            ..self.clone()
        }
    }

    /// Returns the server's address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    async fn exchange(&self, req: Request<Full<Bytes>>) -> Result<(StatusCode, Bytes), HttpError> {
        let rep = match self.client.request(req).await {
            Ok(rep) => rep,
            Err(err) if err.is_connect() => return Err(HttpError::NotSent(self.address)),
            Err(err) => return Err(self.no_answer(err.to_string())),
        };
        let status = rep.status();
        let body = Limited::new(rep.into_body(), MAX_ANSWER_BYTES)
            .collect()
            .await;
        let body = body
            .map_err(|err| self.no_answer(err.to_string()))?
            .to_bytes();
        Ok((status, body))
    }

    fn no_answer(&self, reason: String) -> HttpError {
        HttpError::NoAnswer {
            address: self.address,
            reason,
        }
    }
}
