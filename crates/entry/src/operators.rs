//! HTTP API for operators.

use std::fmt::Display;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use cumindeck_api::{ErrorBody, ErrorReason, path};
use cumindeck_ingress::BodyError;
use cumindeck_service::take_body;
use cumindeck_site::{OperatorReply, OperatorRequest, PutRules};
use cumindeck_types::ByteSize;
use http_body_util::{BodyExt, Full, Limited};
use hyper::Request as HttpRequest;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::{mpsc, oneshot};
use viz::types::State;
use viz::{
    Bytes, HandlerExt, IntoResponse, Next, Request, RequestExt, Response, Result, Router,
    StatusCode,
};

use crate::site_task::SiteMessage;

/// Maximum size of the body of a call.
const MAX_BODY: ByteSize = ByteSize::from_mib(4);
/// Header that marks a forwarded call, so that it isn't forwarded again.
const FORWARDED_HEADER: &str = "x-passed-on";
/// Pattern of the paths without a route of their own.
const ANY_PATH: &str = "/*";
/// Maximum duration of a forwarded call; shorter than [`CALL_TIMEOUT`].
const FORWARD_TIMEOUT: Duration = Duration::from_secs(25);
/// Maximum wait for the site task's reply to a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

#[derive(Clone)]
pub(crate) struct OperatorContext {
    /// Channel to the site task.
    pub site: mpsc::UnboundedSender<SiteMessage>,
    /// Bearer token that calls must carry.
    pub token: String,
    /// Client that forwards calls to the leader in charge of them.
    pub client: Client<HttpConnector, Full<Bytes>>,
}

/// Returns the router of the operators' API; its calls need the token.
pub(crate) fn operator_router(cx: OperatorContext) -> Router {
    Router::new()
        .get(path::CONFIG, get_config.around(check_token))
        .put(path::CONFIG, put_config.around(check_token))
        .get(path::ZONES, get_zones.around(check_token))
        .get(path::ZONE, get_zone.around(check_token))
        .put(path::ZONE, put_zone.around(check_token))
        .get(path::STATUS, get_status.around(check_token))
        .get(path::TEAMS, get_teams.around(check_token))
        .get(path::TEAM, get_team.around(check_token))
        .get(path::WORKERS, get_workers.around(check_token))
        .get(path::WORKER, get_worker.around(check_token))
        .put(path::WORKER_DRAIN, put_drain.around(check_token))
        .put(path::WORKER_FENCE, put_fence.around(check_token))
        .post(path::JOBS, post_job.around(check_token))
        .get(path::JOBS, get_jobs.around(check_token))
        .get(path::JOB, get_job.around(check_token))
        .delete(path::JOB, delete_job.around(check_token))
        .get(path::JOB_WHY, get_job_why.around(check_token))
        .get(path::RULES, get_rules.around(check_token))
        .put(path::RULE_FILE, put_rules.around(check_token))
        .get(ANY_PATH, unmatched_route.around(check_token))
        .post(ANY_PATH, unmatched_route.around(check_token))
        .put(ANY_PATH, unmatched_route.around(check_token))
        .delete(ANY_PATH, unmatched_route.around(check_token))
        .patch(ANY_PATH, unmatched_route.around(check_token))
        .with(State::new(cx))
}

type Around<H> = Next<Request, H>;

async fn check_token<H>((req, next): Around<H>) -> Result<Response>
where
    H: viz::Handler<Request, Output = Result<Response>>,
{
    let expected = req
        .state::<OperatorContext>()
        .map(|cx| cx.token)
        .unwrap_or_default();
    let given = req
        .headers()
        .get("authorization")
        .and_then(|value| value.to_str().ok());
    let given = given
        .and_then(|text| text.strip_prefix("Bearer "))
        .unwrap_or_default();
    if is_equal(given.as_bytes(), expected.as_bytes()) {
        return next.call(req).await;
    }
    Ok(error(
        ErrorReason::Unauthorized,
        "the bearer token is missing or wrong".to_owned(),
        "pass the token of the entry's token-file",
    ))
}

/// Compares strings in a time that doesn't depend on where they differ.
fn is_equal(a: &[u8], b: &[u8]) -> bool {
    let differing = a.iter().zip(b).fold(0, |acc, (x, y)| acc | (x ^ y));
    !b.is_empty() && a.len() == b.len() && differing == 0
}

async fn get_config(req: Request) -> Result<Response> {
    call_site(&req, OperatorRequest::GetConfig, None).await
}

async fn put_config(req: Request) -> Result<Response> {
    with_body(req, |_, change| Ok(OperatorRequest::PutConfig(change))).await
}

async fn get_zones(req: Request) -> Result<Response> {
    call_site(&req, OperatorRequest::Zones, None).await
}

async fn get_zone(req: Request) -> Result<Response> {
    with_parameter(req, "zone", OperatorRequest::Zone).await
}

async fn put_zone(req: Request) -> Result<Response> {
    with_body(req, |req, change| {
        Ok(OperatorRequest::PutZone(parameter(req, "zone")?, change))
    })
    .await
}

async fn get_status(req: Request) -> Result<Response> {
    call_site(&req, OperatorRequest::Status, None).await
}

async fn get_teams(req: Request) -> Result<Response> {
    call_site(&req, OperatorRequest::Teams, None).await
}

async fn get_team(req: Request) -> Result<Response> {
    with_parameter(req, "team", OperatorRequest::Team).await
}

async fn get_workers(req: Request) -> Result<Response> {
    with_query(req, OperatorRequest::Workers).await
}

async fn get_worker(req: Request) -> Result<Response> {
    with_parameter(req, "worker", OperatorRequest::Worker).await
}

async fn put_drain(req: Request) -> Result<Response> {
    let make = |req: &Request, change| {
        Ok(OperatorRequest::DrainWorker(
            parameter(req, "worker")?,
            change,
        ))
    };
    with_body(req, make).await
}

async fn put_fence(req: Request) -> Result<Response> {
    let make = |req: &Request, change| {
        Ok(OperatorRequest::FenceWorker(
            parameter(req, "worker")?,
            change,
        ))
    };
    with_body(req, make).await
}

async fn post_job(req: Request) -> Result<Response> {
    with_body(req, |_, spec| Ok(OperatorRequest::SubmitJob(spec))).await
}

async fn get_jobs(req: Request) -> Result<Response> {
    with_query(req, OperatorRequest::Jobs).await
}

async fn get_job(req: Request) -> Result<Response> {
    with_parameter(req, "job", OperatorRequest::Job).await
}

async fn delete_job(req: Request) -> Result<Response> {
    with_parameter(req, "job", OperatorRequest::CancelJob).await
}

async fn get_job_why(req: Request) -> Result<Response> {
    with_parameter(req, "job", OperatorRequest::ExplainJob).await
}

async fn get_rules(req: Request) -> Result<Response> {
    call_site(&req, OperatorRequest::Rules, None).await
}

async fn put_rules(mut req: Request) -> Result<Response> {
    let bytes = match read_body(&mut req).await {
        Ok(bytes) => bytes,
        Err(body) => return Ok(error_response(&body)),
    };
    match rules_change(&req, &bytes) {
        Ok(put) => call_site(&req, OperatorRequest::PutRules(put), Some(bytes)).await,
        Err(body) => Ok(error_response(&body)),
    }
}

fn rules_change(req: &Request, bytes: &[u8]) -> Result<PutRules, Box<ErrorBody>> {
    let change_id = req.headers().get(path::CHANGE_ID);
    let change_id = change_id
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default();
    let text = std::str::from_utf8(bytes)
        .map_err(|err| bad_request(format!("the body is not UTF-8: {err}")))?;
    Ok(PutRules {
        file: parameter(req, "file")?,
        change_id: change_id
            .parse()
            .map_err(|err| bad_request(format!("header {}: {err}", path::CHANGE_ID)))?,
        text: text.to_owned(),
    })
}

/// Handles a call with a parameter in its path.
async fn with_parameter<T>(
    req: Request,
    name: &str,
    make: fn(T) -> OperatorRequest,
) -> Result<Response>
where
    T: FromStr<Err: Display>,
{
    match parameter(&req, name) {
        Ok(value) => call_site(&req, make(value), None).await,
        Err(body) => Ok(error_response(&body)),
    }
}

/// Handles a call with filters in its query.
async fn with_query<T: DeserializeOwned>(
    req: Request,
    make: fn(T) -> OperatorRequest,
) -> Result<Response> {
    match req.query() {
        Ok(filter) => call_site(&req, make(filter), None).await,
        Err(err) => Ok(error_response(&bad_request(format!(
            "the query is not valid: {err}"
        )))),
    }
}

/// Handles a call that matches no route.
async fn unmatched_route(req: Request) -> Result<Response> {
    let (method, path) = (req.method(), req.uri().path());
    let (reason, message) = match path::is_operator_path(path) {
        true => (
            ErrorReason::MethodNotAllowed,
            format!("{path} does not have the method {method}"),
        ),
        false => (ErrorReason::NotFound, format!("{path} does not exist")),
    };
    Ok(error(reason, message, "see docs/http-api.md"))
}

/// Handles a call with a JSON body.
async fn with_body<T: DeserializeOwned>(
    mut req: Request,
    make: impl FnOnce(&Request, T) -> Result<OperatorRequest, Box<ErrorBody>>,
) -> Result<Response> {
    let bytes = match read_body(&mut req).await {
        Ok(bytes) => bytes,
        Err(body) => return Ok(error_response(&body)),
    };
    let value = serde_json::from_slice(&bytes)
        .map_err(|err| bad_request(format!("the body is not valid: {err}")));
    match value.and_then(|value| make(&req, value)) {
        Ok(call) => call_site(&req, call, Some(bytes)).await,
        Err(body) => Ok(error_response(&body)),
    }
}

/// Sends a call to the site task and converts its reply into a response.
async fn call_site(req: &Request, call: OperatorRequest, body: Option<Bytes>) -> Result<Response> {
    let Some(cx) = req.state::<OperatorContext>() else {
        return Ok(StatusCode::INTERNAL_SERVER_ERROR.into_response());
    };
    let (tx, rx) = oneshot::channel();
    if cx.site.send(SiteMessage::Operator(call, tx)).is_err() {
        return Ok(error(
            ErrorReason::Draining,
            "the entry is stopping".to_owned(),
            "call another entry",
        ));
    }
    match tokio::time::timeout(CALL_TIMEOUT, rx).await {
        Ok(Ok(OperatorReply::Forward(address))) => {
            Ok(forward_call(req, &cx, address, body.unwrap_or_default()).await)
        }
        Ok(Ok(reply)) => Ok(response(reply)),
        Ok(Err(_)) | Err(_) => Ok(error(
            ErrorReason::OutcomeUnknown,
            "the call got no reply in time".to_owned(),
            "read the state back before you repeat the call",
        )),
    }
}

/// Forwards a call to the leader in charge of it.
async fn forward_call(
    req: &Request,
    cx: &OperatorContext,
    to: SocketAddr,
    body: Bytes,
) -> Response {
    if req.headers().contains_key(FORWARDED_HEADER) {
        return error(
            ErrorReason::StoreUnavailable,
            "leadership is passing to another entry; nothing was changed".to_owned(),
            "try again in a few seconds",
        );
    }
    let query = req.uri().path_and_query().map_or("/", |path| path.as_str());
    let call = HttpRequest::builder()
        .method(req.method().clone())
        .uri(format!("http://{to}{query}"))
        .header("authorization", format!("Bearer {}", cx.token))
        .header("content-type", "application/json")
        .header(FORWARDED_HEADER, "1")
        .body(Full::new(body));
    let Ok(call) = call else {
        return error_response(&bad_request("the path is not valid".to_owned()));
    };
    let reply = tokio::time::timeout(FORWARD_TIMEOUT, cx.client.request(call)).await;
    match reply {
        Ok(Ok(reply)) => {
            let status = reply.status();
            let body = Limited::new(reply.into_body(), MAX_BODY.bytes() as usize)
                .collect()
                .await;
            match body {
                Ok(body) => json_bytes(status, body.to_bytes()),
                Err(_) => lost_reply(to),
            }
        }
        Ok(Err(err)) if err.is_connect() => error(
            ErrorReason::StoreUnavailable,
            format!("the leader at {to} can't be reached; nothing was changed"),
            "try again in a few seconds",
        ),
        Ok(Err(_)) | Err(_) => lost_reply(to),
    }
}

fn lost_reply(to: SocketAddr) -> Response {
    error(
        ErrorReason::OutcomeUnknown,
        format!("the reply of the entry at {to} was lost"),
        "read the state back before you repeat the call",
    )
}

fn response(reply: OperatorReply) -> Response {
    match reply {
        OperatorReply::Config(body) => json(StatusCode::OK, &body),
        OperatorReply::ConfigAccepted(body) => json(StatusCode::OK, &body),
        OperatorReply::Zones(body) => json(StatusCode::OK, &body),
        OperatorReply::Zone(body) => json(StatusCode::OK, &body),
        OperatorReply::Status(body) => json(StatusCode::OK, &*body),
        OperatorReply::JobAccepted(body) => json(StatusCode::CREATED, &body),
        OperatorReply::JobAlreadyAccepted(body) => json(StatusCode::OK, &body),
        OperatorReply::Job(body) => json(StatusCode::OK, &*body),
        OperatorReply::Jobs(body) => json(StatusCode::OK, &body),
        OperatorReply::JobExplanation(body) => json(StatusCode::OK, &*body),
        OperatorReply::Teams(body) => json(StatusCode::OK, &body),
        OperatorReply::Team(body) => json(StatusCode::OK, &*body),
        OperatorReply::Workers(body) => json(StatusCode::OK, &body),
        OperatorReply::Worker(body) => json(StatusCode::OK, &*body),
        OperatorReply::Rules(body) => json(StatusCode::OK, &*body),
        OperatorReply::RulesAccepted(body) => json(StatusCode::OK, &body),
        OperatorReply::Forward(address) => lost_reply(address),
        OperatorReply::Error(body) => error_response(&body),
    }
}

async fn read_body(req: &mut Request) -> Result<Bytes, Box<ErrorBody>> {
    match take_body(req, MAX_BODY).await {
        Ok(body) => Ok(body),
        Err(BodyError::TooLarge(_)) => {
            let message = format!("the body is larger than {MAX_BODY}");
            let hint = "shorten the body".to_owned();
            Err(Box::new(ErrorBody::new(
                ErrorReason::TooLarge,
                message,
                hint,
            )))
        }
        Err(err @ BodyError::NoRoom) => {
            let hint = "repeat the call after a second".to_owned();
            Err(Box::new(ErrorBody::new(
                ErrorReason::Busy,
                err.to_string(),
                hint,
            )))
        }
        Err(err @ (BodyError::TooSlow | BodyError::Broken(_))) => Err(bad_request(err.to_string())),
    }
}

fn parameter<T>(req: &Request, name: &str) -> Result<T, Box<ErrorBody>>
where
    T: FromStr<Err: Display>,
{
    let text: String = req
        .param(name)
        .map_err(|err| bad_request(err.to_string()))?;
    text.parse()
        .map_err(|err| bad_request(format!("{name} {text:?}: {err}")))
}

fn bad_request(message: String) -> Box<ErrorBody> {
    let hint = "see docs/http-api.md".to_owned();
    Box::new(ErrorBody::new(ErrorReason::BadRequest, message, hint))
}

fn error(reason: ErrorReason, message: String, hint: &str) -> Response {
    error_response(&ErrorBody::new(reason, message, hint.to_owned()))
}

fn error_response(body: &ErrorBody) -> Response {
    let status = StatusCode::from_u16(body.reason.status());
    json(status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR), body)
}

fn json<T: Serialize>(status: StatusCode, body: &T) -> Response {
    json_bytes(
        status,
        Bytes::from(serde_json::to_vec(body).unwrap_or_default()),
    )
}

fn json_bytes(status: StatusCode, body: Bytes) -> Response {
    let mut response = (status, body).into_response();
    let content_type = viz::header::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(viz::header::CONTENT_TYPE, content_type);
    response
}
