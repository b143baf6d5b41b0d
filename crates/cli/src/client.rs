//! HTTP client of the entries.

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
use crate::outcome::{Effect, Ended, judge, unclear};

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
/// Largest answer; 1,000 jobs with 512 places each stay under it.
const MAX_ANSWER: usize = 128 * 1024 * 1024;
/// Period of the progress display on a terminal.
const PROGRESS_PERIOD: Duration = Duration::from_millis(200);

/// A connection to one entry.
#[derive(Debug)]
pub struct Client {
    server: SocketAddr,
    token: Option<HeaderValue>,
    timeout: Duration,
    inner: legacy::Client<HttpConnector, Full<Bytes>>,
}

/// One HTTP call.
#[derive(Debug, Clone)]
pub struct Call {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers besides the token.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// What the call does at the server.
    pub effect: Effect,
}

impl Call {
    /// Makes a call that reads.
    pub fn get(path: impl Into<String>) -> Self {
        Self {
            method: Method::GET,
            path: path.into(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
            effect: Effect::Read,
        }
    }

    /// Makes a call that changes something and can be read back.
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

/// A whole answer with its headers.
#[derive(Debug)]
pub struct Reply {
    /// How the call ended.
    pub ended: Ended,
    /// Headers; empty if no answer arrived.
    pub headers: HeaderMap,
}

impl Client {
    /// Makes a client; connections are opened by calls.
    #[must_use]
    pub fn new(server: SocketAddr, token: Option<HeaderValue>, timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        // Half of the time stays for the call, so that a failure to connect is
        // told apart from a lost answer.
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT.min(timeout / 2)));
        Self {
            server,
            token,
            timeout,
            // A call is sent at most once; a repetition is the operator's decision.
            inner: legacy::Client::builder(TokioExecutor::new())
                .retry_canceled_requests(false)
                .build(connector),
        }
    }

    /// Makes a call and reads its JSON answer.
    pub async fn json<T: DeserializeOwned>(&self, call: Call) -> Result<T, Failure> {
        let effect = call.effect.clone();
        let reply = self.send(call).await?;
        let body = judge(&effect, &self.server.to_string(), reply.ended)?;
        serde_json::from_slice(&body).map_err(|err| {
            let message = format!("the answer of {} can't be read: {err}", self.server);
            unclear(&effect, message)
        })
    }

    /// Makes a call and waits for the whole answer.
    pub async fn send(&self, call: Call) -> Result<Reply, Failure> {
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
                format!("the call to {} can't be built: {err}", call.path),
                hint,
            )
        })?;
        let progress = ProgressBar::new_spinner();
        // Hidden unless standard error is a terminal.
        progress.set_draw_target(ProgressDrawTarget::stderr());
        progress.set_message(format!("waiting for {}", self.server));
        progress.enable_steady_tick(PROGRESS_PERIOD);
        let reply = tokio::time::timeout(self.timeout, self.exchange(req)).await;
        progress.finish_and_clear();
        Ok(reply.unwrap_or_else(|_| Reply {
            ended: Ended::Lost(format!("none within {:?}", self.timeout)),
            headers: HeaderMap::new(),
        }))
    }

    /// Sends a request and collects the answer.
    async fn exchange(&self, req: Request<Full<Bytes>>) -> Reply {
        let res = match self.inner.request(req).await {
            Ok(res) => res,
            Err(err) => {
                let reason = deepest(&err);
                let ended = match err.is_connect() {
                    true => Ended::NotConnected(reason),
                    false => Ended::Lost(reason),
                };
                return Reply {
                    ended,
                    headers: HeaderMap::new(),
                };
            }
        };
        let (head, body) = res.into_parts();
        let ended = match Limited::new(body, MAX_ANSWER).collect().await {
            Ok(body) => Ended::Answered {
                status: head.status,
                body: body.to_bytes().to_vec(),
            },
            Err(err) => Ended::Lost(deepest(err.as_ref())),
        };
        Reply {
            ended,
            headers: head.headers,
        }
    }
}

/// Returns the header with the id of a change.
pub fn change_id_header() -> HeaderName {
    HeaderName::from_static(path::CHANGE_ID)
}

/// Returns the text of an error's first cause, which names the fault itself.
fn deepest(err: &(dyn std::error::Error + 'static)) -> String {
    let mut err = err;
    while let Some(source) = err.source() {
        err = source;
    }
    err.to_string()
}
