//! HTTP client of an entry, with a progress display on terminals.

use std::net::SocketAddr;
use std::time::Duration;

use cumindeck_api::path;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Bytes;
use hyper::header::{AUTHORIZATION, CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Request};
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use indicatif::{ProgressBar, ProgressDrawTarget};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::failure::Failure;
use crate::outcome::{CallOutcome, Effect, success_body, undetermined};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum size of a response; 1,000 jobs with 512 locations each stay below it.
const MAX_RESPONSE_BYTES: usize = 128 * 1024 * 1024;
/// Interval at which the progress display is redrawn.
const PROGRESS_PERIOD: Duration = Duration::from_millis(200);

/// Client of one listener of an entry.
#[derive(Debug)]
pub struct Client {
    server: SocketAddr,
    token: Option<HeaderValue>,
    timeout: Duration,
    inner: legacy::Client<HttpConnector, Full<Bytes>>,
}

/// One HTTP call to an entry.
#[derive(Debug, Clone)]
pub struct Call {
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers in addition to the token.
    pub headers: HeaderMap,
    pub body: Bytes,
    /// What the call changes at the server.
    pub effect: Effect,
}

impl Call {
    /// Creates a call that only reads.
    pub fn get(path: impl Into<String>) -> Self {
        Self {
            method: Method::GET,
            path: path.into(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
            effect: Effect::Read,
        }
    }

    /// Creates a call that changes something; `read_back` says how to check the effect.
    pub fn change(method: Method, path: impl Into<String>, read_back: impl Into<String>) -> Self {
        Self {
            method,
            effect: Effect::Change(read_back.into()),
            ..Self::get(path)
        }
    }

    /// Sets a JSON body.
    #[must_use]
    pub fn json(mut self, body: &impl Serialize) -> Self {
        // The types of the interface always have a JSON form.
        self.body = serde_json::to_vec(body).unwrap_or_default().into();
        self.header(CONTENT_TYPE, HeaderValue::from_static("application/json"))
    }

    /// Sets a header.
    #[must_use]
    pub fn header(mut self, name: HeaderName, value: HeaderValue) -> Self {
        self.headers.insert(name, value);
        self
    }
}

/// Result of a call, with the headers of the response.
#[derive(Debug)]
pub struct CallResult {
    pub outcome: CallOutcome,
    /// Headers of the response; empty if none arrived.
    pub headers: HeaderMap,
}

impl Client {
    /// Creates a client; the first call opens a connection.
    #[must_use]
    pub fn new(server: SocketAddr, token: Option<HeaderValue>, timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        // At least half of the timeout remains for the call, so that a failed connection
        // is reported as such and not as a lost response.
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT.min(timeout / 2)));
        Self {
            server,
            token,
            timeout,
            // A call is sent at most once; the operator decides whether to repeat it.
            inner: legacy::Client::builder(TokioExecutor::new())
                .retry_canceled_requests(false)
                .build(connector),
        }
    }

    /// Makes a call and parses its JSON response.
    pub async fn json<T: DeserializeOwned>(&self, call: Call) -> Result<T, Failure> {
        let effect = call.effect.clone();
        let result = self.send(call).await?;
        let body = success_body(&effect, &self.server.to_string(), result.outcome)?;
        serde_json::from_slice(&body).map_err(|err| {
            let message = format!("the answer of {} can't be read: {err}", self.server);
            undetermined(&effect, message)
        })
    }

    /// Makes a call and waits for the complete response.
    pub async fn send(&self, call: Call) -> Result<CallResult, Failure> {
        let uri = format!("http://{}{}", self.server, call.path);
        let mut req = Request::builder().method(call.method).uri(uri);
        if let Some(headers) = req.headers_mut() {
            *headers = call.headers;
            if let Some(token) = &self.token {
                headers.insert(AUTHORIZATION, token.clone());
            }
        }
        let req = req.body(Full::new(call.body)).map_err(|err| {
            let hint = "check the arguments for characters that paths don't allow";
            Failure::usage(
                format!("the request to {} can't be built: {err}", call.path),
                hint,
            )
        })?;
        let progress = ProgressBar::new_spinner();
        // The display stays hidden unless standard error is a terminal.
        progress.set_draw_target(ProgressDrawTarget::stderr());
        progress.set_message(format!("waiting for {}", self.server));
        progress.enable_steady_tick(PROGRESS_PERIOD);
        let result = tokio::time::timeout(self.timeout, self.exchange(req)).await;
        progress.finish_and_clear();
        Ok(result.unwrap_or_else(|_| CallResult {
            outcome: CallOutcome::ResponseLost(format!("none within {:?}", self.timeout)),
            headers: HeaderMap::new(),
        }))
    }

    /// Sends a request and reads the complete response.
    async fn exchange(&self, req: Request<Full<Bytes>>) -> CallResult {
        let res = match self.inner.request(req).await {
            Ok(res) => res,
            Err(err) => {
                let reason = root_cause(&err);
                let outcome = match err.is_connect() {
                    true => CallOutcome::NotConnected(reason),
                    false => CallOutcome::ResponseLost(reason),
                };
                return CallResult {
                    outcome,
                    headers: HeaderMap::new(),
                };
            }
        };
        let (head, body) = res.into_parts();
        let outcome = match Limited::new(body, MAX_RESPONSE_BYTES).collect().await {
            Ok(body) => CallOutcome::Completed {
                status: head.status,
                body: body.to_bytes().to_vec(),
            },
            Err(err) => CallOutcome::ResponseLost(root_cause(err.as_ref())),
        };
        CallResult {
            outcome,
            headers: head.headers,
        }
    }
}

pub fn change_id_header() -> HeaderName {
    HeaderName::from_static(path::CHANGE_ID)
}

/// Returns the message of the innermost source of an error, which states the cause.
fn root_cause(err: &(dyn std::error::Error + 'static)) -> String {
    let mut err = err;
    while let Some(source) = err.source() {
        err = source;
    }
    err.to_string()
}
