//! Calls between the system's own processes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use cumindeck_jobs::{AgentReport, CallerAnswer, CallerRequest, ExchangeReply};
use cumindeck_platform::{HttpClient, HttpError};
use cumindeck_service::{Handler, Metrics, Reply, RequestBody};
use cumindeck_types::{ByteSize, FencingToken};
use http::{Method, Request, StatusCode};
use tokio::sync::oneshot;

use crate::calls::CallerApi;
use crate::entry_task::{EntryHandle, EntryMessage};
use crate::http::{body_error_response, json_response, plain_response};

/// Path at which an agent reports to an entry.
const REPORT_PATH: &str = "/v1/agents/report";

/// Path at which an entry relays a caller's request.
const RELAY_PATH: &str = "/v1/relay";

const METRICS_PATH: &str = "/metrics";

/// Maximum size of a message between processes; a report lists a few hundred runs at
/// most.
pub const MAX_MESSAGE: ByteSize = ByteSize::from_mib(1);

/// Maximum time for a reply beyond the wait that the request allows.
const REPLY_TIMEOUT: Duration = Duration::from_millis(600);

/// Maximum wait for a relayed request, which the other entry decides by calls to the
/// store.
const RELAY_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Path at which a leader offers leadership.
const OFFER_PATH: &str = "/v1/duty/offer";

/// Sends a report to an entry.
pub(crate) async fn send_report(
    client: &HttpClient,
    to: SocketAddr,
    report: &AgentReport,
) -> Result<ExchangeReply, String> {
    let wait = Duration::from_millis(report.wait_ms) + REPLY_TIMEOUT;
    let body = serde_json::to_vec(report).map_err(|err| err.to_string())?;
    let (status, body) = client
        .with_address(to)
        .send(Method::POST, REPORT_PATH, &[], Bytes::from(body), wait)
        .await
        .map_err(|err| err.to_string())?;
    if !status.is_success() {
        return Err(format!("{to} replied with status {status}"));
    }
    serde_json::from_slice(&body).map_err(|err| err.to_string())
}

/// Relays a caller's request to another entry.
pub(crate) async fn send_relay(
    client: &HttpClient,
    to: SocketAddr,
    req: &CallerRequest,
) -> Result<CallerAnswer, HttpError> {
    let body = serde_json::to_vec(req).unwrap_or_default();
    let (status, body) = client
        .with_address(to)
        .send(
            Method::POST,
            RELAY_PATH,
            &[],
            Bytes::from(body),
            RELAY_TIMEOUT,
        )
        .await?;
    if !status.is_success() {
        return Err(HttpError::Refused {
            address: to,
            status,
            body: String::new(),
        });
    }
    serde_json::from_slice(&body).map_err(|err| HttpError::NoAnswer {
        address: to,
        reason: err.to_string(),
    })
}

/// Offers leadership to an entry and returns whether it takes over.
pub(crate) async fn send_offer(client: &HttpClient, to: SocketAddr, token: FencingToken) -> bool {
    let Ok(body) = serde_json::to_vec(&token) else {
        return false;
    };
    let result = client
        .with_address(to)
        .send(
            Method::POST,
            OFFER_PATH,
            &[],
            Bytes::from(body),
            REPLY_TIMEOUT,
        )
        .await;
    match result {
        Ok((status, _)) => status.is_success(),
        Err(err) => {
            tracing::info!(event = "offer_failed", entry = %to, error = %err);
            false
        }
    }
}

/// Serves the calls of other processes at an entry.
pub(crate) struct PeerHandler {
    pub task: EntryHandle,
    /// Decides relayed requests.
    pub caller_api: CallerApi,
    pub metrics: Metrics,
}

#[async_trait]
impl Handler for PeerHandler {
    async fn handle(&self, req: Request<RequestBody>) -> Reply {
        let path = req.uri().path().to_owned();
        if path == METRICS_PATH {
            return plain_response(StatusCode::OK, &self.metrics.render());
        }
        let body = match req.into_body().read(MAX_MESSAGE).await {
            Ok(body) => body,
            Err(err) => return body_error_response(&err),
        };
        match path.as_str() {
            REPORT_PATH => match serde_json::from_slice(&body) {
                Ok(report) => self.report(report).await,
                Err(err) => plain_response(StatusCode::BAD_REQUEST, &format!("report: {err}")),
            },
            OFFER_PATH => match serde_json::from_slice(&body) {
                Ok(token) => self.offer(token).await,
                Err(err) => plain_response(StatusCode::BAD_REQUEST, &format!("token: {err}")),
            },
            RELAY_PATH => match serde_json::from_slice(&body) {
                Ok(req) => json_response(StatusCode::OK, &self.caller_api.answer(req).await),
                Err(err) => plain_response(StatusCode::BAD_REQUEST, &format!("request: {err}")),
            },
            _ => plain_response(StatusCode::NOT_FOUND, "no such path"),
        }
    }
}

impl PeerHandler {
    async fn offer(&self, token: FencingToken) -> Reply {
        let (tx, rx) = oneshot::channel();
        self.task
            .send(EntryMessage::Offer { token, reply: tx })
            .await;
        match rx.await {
            Ok(true) => plain_response(StatusCode::OK, ""),
            Ok(false) | Err(_) => plain_response(StatusCode::CONFLICT, "the offer is not accepted"),
        }
    }

    async fn report(&self, report: AgentReport) -> Reply {
        let (tx, rx) = oneshot::channel();
        self.task
            .send(EntryMessage::Report { report, reply: tx })
            .await;
        match rx.await {
            Ok(reply) => json_response(StatusCode::OK, &reply),
            Err(_) => plain_response(StatusCode::SERVICE_UNAVAILABLE, "stopping"),
        }
    }
}

/// Serves the metrics of a process that has no other calls to serve.
pub(crate) struct MetricsHandler(pub Metrics);

#[async_trait]
impl Handler for MetricsHandler {
    async fn handle(&self, req: Request<RequestBody>) -> Reply {
        match req.uri().path() {
            METRICS_PATH => plain_response(StatusCode::OK, &self.0.render()),
            _ => plain_response(StatusCode::NOT_FOUND, "no such path"),
        }
    }
}

/// Wraps a handler so that connections can share it.
pub(crate) fn shared<H: Handler + 'static>(handler: H) -> Arc<dyn Handler> {
    Arc::new(handler)
}
