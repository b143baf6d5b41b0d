//! An HTTP/1.1 client for JSON, with time limits and a maximum response size.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

use crate::connection::HttpConnection;

/// Maximum size of a response body in bytes.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Idle time after which TCP keepalive probes a connection.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(5);

/// Maximum time for which sent data stays unacknowledged before TCP drops a connection.
///
/// Without it, a network partition would leave connections open indefinitely.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(4);

/// A failed HTTP call.
#[derive(Debug, Clone, Error)]
pub enum HttpError {
    /// The connection could not be established, so that nothing was sent.
    #[error("can't connect to {0}")]
    NotSent(SocketAddr),
    /// The response is missing or unusable; the server may have handled the request.
    #[error("no usable response from {address}: {reason}")]
    NoAnswer {
        /// Address of the server.
        address: SocketAddr,
        /// Description of the failure, such as a time-out or invalid JSON.
        reason: String,
    },
    /// The response has an error status; callers assume that the call had no effect.
    #[error("{address} rejected the request with status {status}: {body}")]
    Refused {
        /// Address of the server.
        address: SocketAddr,
        /// Status of the response, which is not a success.
        status: StatusCode,
        /// The first 200 characters of the response body.
        body: String,
    },
}

/// A client of one HTTP server.
#[derive(Debug, Clone)]
pub struct HttpClient {
    address: SocketAddr,
    timeout: Duration,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl HttpClient {
    /// Creates a client whose calls time out after `timeout`.
    #[must_use]
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(timeout));
        connector.set_keepalive(Some(KEEPALIVE_IDLE));
        connector.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT));
        let client = Client::builder(TokioExecutor::new()).build(connector);
        Self {
            address,
            timeout,
            client,
        }
    }

    /// Sends a JSON body and decodes a JSON response.
    pub async fn json<B, R>(&self, method: Method, path: &str, body: &B) -> Result<R, HttpError>
    where
        B: Serialize + Sync,
        R: DeserializeOwned,
    {
        let body = serde_json::to_vec(body).map_err(|err| self.no_response(err.to_string()))?;
        let response = self.bytes(method, path, Bytes::from(body)).await?;
        serde_json::from_slice(&response).map_err(|err| self.no_response(err.to_string()))
    }

    /// Sends a GET request and decodes a JSON response.
    pub async fn get<R: DeserializeOwned>(&self, path: &str) -> Result<R, HttpError> {
        let response = self.bytes(Method::GET, path, Bytes::new()).await?;
        serde_json::from_slice(&response).map_err(|err| self.no_response(err.to_string()))
    }

    /// Sends a body and returns the response body if the status is a success.
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

    /// Sends a request and returns the response whatever its status is.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        headers: &[(&'static str, &str)],
        body: Bytes,
        timeout: Duration,
    ) -> Result<(StatusCode, Bytes), HttpError> {
        let uri = format!("http://{}{path}", self.address);
        let req = build_request(method, &uri, headers, body)
            .map_err(|reason| self.no_response(reason))?;
        match tokio::time::timeout(timeout, self.exchange(req)).await {
            Ok(result) => result,
            Err(_) => Err(self.no_response(format!("no response within {timeout:?}"))),
        }
    }

    /// Creates a client for another server that shares this client's connection pool.
    #[must_use]
    pub fn with_address(&self, address: SocketAddr) -> Self {
        Self {
            address,
            ..self.clone()
        }
    }

    /// Opens a connection of its own, beside the pool.
    pub async fn connect(&self) -> Result<HttpConnection, HttpError> {
        HttpConnection::open(self.address, self.timeout).await
    }

    /// Returns the server's address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    async fn exchange(&self, req: Request<Full<Bytes>>) -> Result<(StatusCode, Bytes), HttpError> {
        let response = match self.client.request(req).await {
            Ok(response) => response,
            Err(err) if err.is_connect() => return Err(HttpError::NotSent(self.address)),
            Err(err) => return Err(self.no_response(err.to_string())),
        };
        read_response(response)
            .await
            .map_err(|reason| self.no_response(reason))
    }

    fn no_response(&self, reason: String) -> HttpError {
        HttpError::NoAnswer {
            address: self.address,
            reason,
        }
    }
}

/// Builds a request with a JSON body; the text of an error says what is wrong.
pub(crate) fn build_request(
    method: Method,
    uri: &str,
    headers: &[(&'static str, &str)],
    body: Bytes,
) -> Result<Request<Full<Bytes>>, String> {
    let mut req = Request::builder()
        .method(method)
        .uri(uri)
        .header("content-type", "application/json");
    for (name, value) in headers {
        req = req.header(*name, *value);
    }
    req.body(Full::new(body)).map_err(|err| err.to_string())
}

/// Reads a response; the text of an error says why that failed.
pub(crate) async fn read_response(
    response: Response<Incoming>,
) -> Result<(StatusCode, Bytes), String> {
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES);
    let body = body.collect().await.map_err(|err| err.to_string())?;
    Ok((status, body.to_bytes()))
}
