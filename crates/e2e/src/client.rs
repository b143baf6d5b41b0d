//! HTTP client for the tests.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper_util::client::legacy::Client as HyperClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

/// Maximum wait for a response.
const TIMEOUT: Duration = Duration::from_secs(40);

/// A complete HTTP response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// Status code; [`Client::call`] also returns responses with an error status.
    pub status: u16,
    /// Value of the header `x-verdict`, empty if absent.
    pub verdict: String,
    /// Body, in which invalid UTF-8 is replaced.
    pub body: String,
}

impl Response {
    /// Parses the body as JSON.
    pub fn json(&self) -> eyre::Result<serde_json::Value> {
        Ok(serde_json::from_str(&self.body)?)
    }
}

/// An HTTP client that opens a connection for each call, so that a killed server is
/// noticed.
#[derive(Debug, Clone)]
pub struct Client {
    http: HyperClient<HttpConnector, Full<Bytes>>,
}

impl Default for Client {
    fn default() -> Self {
        let http = HyperClient::builder(TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .build_http();
        Self { http }
    }
}

impl Client {
    /// Sends a call and reads the complete response.
    pub async fn call(
        &self,
        method: &str,
        address: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> eyre::Result<Response> {
        let mut req = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"));
        for (name, value) in headers {
            req = req.header(*name, *value);
        }
        let req = req.body(Full::new(body.into()))?;
        let rep = tokio::time::timeout(TIMEOUT, self.http.request(req)).await??;
        let status = rep.status().as_u16();
        let verdict = rep
            .headers()
            .get("x-verdict")
            .and_then(|value| value.to_str().ok());
        let verdict = verdict.unwrap_or_default().to_owned();
        let body = tokio::time::timeout(TIMEOUT, rep.into_body().collect())
            .await??
            .to_bytes();
        Ok(Response {
            status,
            verdict,
            body: String::from_utf8_lossy(&body).into_owned(),
        })
    }
}
