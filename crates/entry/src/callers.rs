//! HTTP API for callers.

use std::time::Duration;

use cumindeck_ingress::BodyError;
use cumindeck_requests::Submission;
use cumindeck_service::{HopSpan, Readiness, Timer, take_body};
use cumindeck_types::message::{Answer, MAX_REQUEST_TIMEOUT};
use cumindeck_types::{
    ByteSize, EntryId, IdempotencyKey, NotRunReason, RequestId, TeamId, TraceContext,
    UncertainReason, Verdict,
};
use tokio::sync::{mpsc, oneshot, watch};
use uuid::Uuid;
use viz::types::State;
use viz::{IntoResponse, Request, RequestExt, Response, Result, Router, StatusCode};

use crate::request_task::{CallerRequest, RequestMessage};

/// Value of `retry-after` for refusals that specify no time.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Pattern of the paths without a route of their own.
const ANY_PATH: &str = "/*";

/// Limits of requests, from the configuration in force.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CallerLimits {
    pub max_body: ByteSize,
    /// Time limit of a request that sets none.
    pub default_timeout: Duration,
    /// Maximum time limit that a request may set.
    pub max_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_body: ByteSize::from_mib(4),
            default_timeout: Duration::from_secs(30),
            max_timeout: MAX_REQUEST_TIMEOUT,
        }
    }
}

#[derive(Clone)]
pub(crate) struct CallerContext {
    /// Id of this entry.
    pub entry: EntryId,
    /// Channel to the request task.
    pub requests: mpsc::UnboundedSender<RequestMessage>,
    pub timer: Timer,
    /// Whether the entry has a confirmed configuration.
    pub readiness: Readiness,
    /// Limits from the configuration in force.
    pub limits: watch::Receiver<CallerLimits>,
}

/// Returns the router of the callers' API.
pub(crate) fn caller_router(cx: CallerContext) -> Router {
    Router::new()
        .post("/v1/requests", submit)
        .post("/v1/requests/:path*", submit)
        .get(ANY_PATH, unmatched_route)
        .post(ANY_PATH, unmatched_route)
        .put(ANY_PATH, unmatched_route)
        .delete(ANY_PATH, unmatched_route)
        .patch(ANY_PATH, unmatched_route)
        .with(State::new(cx))
}

/// Handles a call that matches no route.
async fn unmatched_route(req: Request) -> Result<Response> {
    let id = Uuid::now_v7().to_string();
    let (method, path) = (req.method(), req.uri().path());
    let message = format!("{method} {path} is no request; expected POST /v1/requests");
    Ok(not_run(&id, NotRunReason::BadRequest, &message))
}

/// Reason why a request isn't accepted.
struct Refusal {
    reason: NotRunReason,
    message: String,
}

async fn submit(mut req: Request) -> Result<Response> {
    let Some(cx) = req.state::<CallerContext>() else {
        return Ok(StatusCode::INTERNAL_SERVER_ERROR.into_response());
    };
    let id = Uuid::now_v7().to_string();
    let verdict = match accept(&cx, &id, &mut req).await {
        Ok(rx) => rx
            .await
            .unwrap_or(Verdict::MayHaveRun(UncertainReason::ConnectionLost)),
        Err(refusal) => return Ok(not_run(&id, refusal.reason, &refusal.message)),
    };
    Ok(match verdict {
        Verdict::Answered(answer) => answered(&id, answer),
        Verdict::NotRun(reason) => not_run(&id, reason, not_run_message(reason)),
        Verdict::MayHaveRun(reason) => may_have_run(&id, reason),
    })
}

/// Checks a request, sends it to the request task and returns the channel of its
/// verdict.
async fn accept(
    cx: &CallerContext,
    id: &str,
    req: &mut Request,
) -> Result<oneshot::Receiver<Verdict<Answer>>, Refusal> {
    if cx.readiness.is_draining() {
        return Err(Refusal {
            reason: NotRunReason::Draining,
            message: "the entry is stopping; try another entry".to_owned(),
        });
    }
    if !cx.readiness.get() {
        return Err(Refusal {
            reason: NotRunReason::NotReady,
            message: "the entry has no confirmed configuration yet; try again".to_owned(),
        });
    }
    let received = cx.timer.now();
    let limits = *cx.limits.borrow();
    let trace: Option<TraceContext> = header(req, "traceparent").and_then(|t| t.parse().ok());
    let team: TeamId = required(req, "x-team")?;
    let key: Option<IdempotencyKey> = optional(req, "idempotency-key")?;
    let is_idempotent: bool = optional(req, "x-idempotent")?.unwrap_or(false);
    let timeout = match optional::<u64>(req, "x-timeout-ms")?.map(Duration::from_millis) {
        Some(timeout) if timeout.is_zero() || timeout > limits.max_timeout => {
            let max = limits.max_timeout.as_millis();
            return Err(bad_request(format!(
                "x-timeout-ms is {}; expected 1 to {max}",
                timeout.as_millis()
            )));
        }
        Some(timeout) => timeout,
        None => limits.default_timeout,
    };
    let path = format!("/{}", req.param::<String>("path").unwrap_or_default());
    let content_type =
        header(req, "content-type").unwrap_or_else(|| "application/octet-stream".to_owned());
    let body = read_body(req, limits.max_body).await?;
    let request: RequestId = format!("{}.{id}", cx.entry)
        .chars()
        .take(64)
        .collect::<String>()
        .parse()
        .map_err(|err| bad_request(format!("request id is not valid: {err}")))?;
    let span = HopSpan::start("entry.request", trace, &cx.timer);
    let (tx, rx) = oneshot::channel();
    let submission = Submission {
        request,
        key,
        team,
        is_idempotent,
        deadline: received.plus(timeout),
        body: ByteSize::new(body.len() as u64),
    };
    let req = CallerRequest {
        submission,
        path,
        content_type,
        body,
        span,
        tx,
    };
    if cx
        .requests
        .send(RequestMessage::Submit(Box::new(req)))
        .is_err()
    {
        return Err(Refusal {
            reason: NotRunReason::Draining,
            message: "the entry is stopping; try another entry".to_owned(),
        });
    }
    Ok(rx)
}

async fn read_body(req: &mut Request, max: ByteSize) -> Result<Vec<u8>, Refusal> {
    match take_body(req, max).await {
        // The buffer has one owner, so that it is not copied.
        Ok(body) => Ok(Vec::from(body)),
        Err(BodyError::TooLarge(_)) => Err(Refusal {
            reason: NotRunReason::TooLarge,
            message: format!("body is larger than max-body = {max}"),
        }),
        Err(err @ BodyError::NoRoom) => Err(Refusal {
            reason: NotRunReason::Busy,
            message: err.to_string(),
        }),
        Err(err @ (BodyError::TooSlow | BodyError::Broken(_))) => Err(bad_request(err.to_string())),
    }
}

fn bad_request(message: String) -> Refusal {
    Refusal {
        reason: NotRunReason::BadRequest,
        message,
    }
}

fn header(req: &Request, name: &str) -> Option<String> {
    req.headers().get(name)?.to_str().ok().map(str::to_owned)
}

fn optional<T>(req: &Request, name: &str) -> Result<Option<T>, Refusal>
where
    T: std::str::FromStr<Err: std::fmt::Display>,
{
    if !req.headers().contains_key(name) {
        return Ok(None);
    }
    let Some(text) = header(req, name) else {
        return Err(bad_request(format!("header {name} is not printable ASCII")));
    };
    match text.parse() {
        Ok(value) => Ok(Some(value)),
        Err(err) => Err(bad_request(format!("header {name} is {text:?}: {err}"))),
    }
}

fn required<T>(req: &Request, name: &str) -> Result<T, Refusal>
where
    T: std::str::FromStr<Err: std::fmt::Display>,
{
    optional(req, name)?.ok_or_else(|| bad_request(format!("header {name} is missing")))
}

fn answered(id: &str, answer: Answer) -> Response {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = (status, answer.body).into_response();
    set_header(&mut response, "content-type", &answer.content_type);
    verdict_headers(response, id, "answered")
}

fn not_run(id: &str, reason: NotRunReason, message: &str) -> Response {
    let status = match reason {
        NotRunReason::BadRequest => StatusCode::BAD_REQUEST,
        NotRunReason::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        NotRunReason::QueueFull { .. } => StatusCode::TOO_MANY_REQUESTS,
        NotRunReason::Expired => StatusCode::GATEWAY_TIMEOUT,
        NotRunReason::NoCapacity
        | NotRunReason::Busy
        | NotRunReason::Draining
        | NotRunReason::Unreachable
        | NotRunReason::ClaimUnavailable
        | NotRunReason::NotReady => StatusCode::SERVICE_UNAVAILABLE,
    };
    let retry_after = match reason {
        NotRunReason::QueueFull { retry_after } => retry_after,
        _ => DEFAULT_RETRY_AFTER,
    };
    let hint = match reason {
        NotRunReason::BadRequest => "correct the request; docs/http-api.md names its headers",
        NotRunReason::TooLarge => "shorten the body",
        NotRunReason::Expired => "repeat the request with a longer x-timeout-ms",
        _ => "repeat the request after the time in retry-after",
    };
    let body = error_body("not-run", &reason.to_string(), message, hint);
    let mut response = (status, body).into_response();
    if matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE
    ) {
        let secs = retry_after.as_millis().div_ceil(1000).max(1);
        set_header(&mut response, "retry-after", &secs.to_string());
    }
    set_header(&mut response, "content-type", "application/json");
    verdict_headers(response, id, "not-run")
}

/// Returns the error message for a request that an entry or an agent refused.
const fn not_run_message(reason: NotRunReason) -> &'static str {
    match reason {
        NotRunReason::BadRequest => "the team of x-team is not in the configuration",
        NotRunReason::TooLarge => "the body is too large",
        NotRunReason::QueueFull { .. } => "the team's queue is full or its rate is used up",
        NotRunReason::Expired => "the time limit ended before a backend server was free",
        NotRunReason::NoCapacity => "no backend server takes requests now",
        NotRunReason::Busy => "all slots of the backend server are in use",
        NotRunReason::Draining => "the entry or the agent is stopping",
        NotRunReason::Unreachable => "the agent can't be reached",
        NotRunReason::ClaimUnavailable => "the home agent of the key can't grant a claim now",
        NotRunReason::NotReady => "the entry has no confirmed configuration yet",
    }
}

fn may_have_run(id: &str, reason: UncertainReason) -> Response {
    let status = match reason {
        UncertainReason::AlreadyClaimed | UncertainReason::UnknownHistory => StatusCode::CONFLICT,
        UncertainReason::ConnectionLost | UncertainReason::Truncated => StatusCode::BAD_GATEWAY,
        UncertainReason::TimedOut => StatusCode::GATEWAY_TIMEOUT,
    };
    let hint = "look the request up at the service before it is repeated";
    let body = error_body(
        "may-have-run",
        &reason.to_string(),
        "the request may have run",
        hint,
    );
    let mut response = (status, body).into_response();
    set_header(&mut response, "content-type", "application/json");
    verdict_headers(response, id, "may-have-run")
}

fn error_body(verdict: &str, reason: &str, message: &str, hint: &str) -> String {
    let body = serde_json::json!({
        "verdict": verdict,
        "reason": reason,
        "message": message,
        "hint": hint,
    });
    body.to_string()
}

fn verdict_headers(mut response: Response, id: &str, verdict: &str) -> Response {
    set_header(&mut response, "x-verdict", verdict);
    set_header(&mut response, "x-request-id", id);
    response
}

fn set_header(response: &mut Response, name: &'static str, value: &str) {
    if let Ok(value) = value.parse() {
        response.headers_mut().insert(name, value);
    }
}
