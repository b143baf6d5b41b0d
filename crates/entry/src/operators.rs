//! The HTTP listener for operators.

use std::time::Duration;

use cumindeck_api::{ErrorBody, ErrorReason, path};
use cumindeck_site::{OperatorReply, OperatorRequest};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::{mpsc, oneshot};
use viz::types::State;
use viz::{
    HandlerExt, IntoResponse, Next, Request, RequestExt, RequestLimitsExt, Response, Result,
    Router, StatusCode,
};

use crate::site_task::SiteMessage;

/// Largest body of a call.
const MAX_BODY_BYTES: u64 = 4 * 1024 * 1024;
/// Longest time of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// What the handlers need.
#[derive(Clone)]
pub(crate) struct OperatorContext {
    /// The way to the site task.
    pub site: mpsc::UnboundedSender<SiteMessage>,
    /// The bearer token that calls must carry.
    pub token: String,
}

/// Returns the operators' router; calls under it need the token.
pub(crate) fn operator_router(cx: OperatorContext) -> Router {
    Router::new()
        .get(path::CONFIG, get_config.around(check_token))
        .put(path::CONFIG, put_config.around(check_token))
        .get(path::ZONES, get_zones.around(check_token))
        .get(path::ZONE, get_zone.around(check_token))
        .put(path::ZONE, put_zone.around(check_token))
        .get(path::STATUS, get_status.around(check_token))
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

/// Compares in a time that doesn't depend on where the texts differ.
fn is_equal(a: &[u8], b: &[u8]) -> bool {
    let differing = a.iter().zip(b).fold(0, |acc, (x, y)| acc | (x ^ y));
    !b.is_empty() && a.len() == b.len() && differing == 0
}

async fn get_config(req: Request) -> Result<Response> {
    ask(&req, OperatorRequest::GetConfig).await
}

async fn put_config(mut req: Request) -> Result<Response> {
    match json_body(&mut req).await {
        Ok(change) => ask(&req, OperatorRequest::PutConfig(change)).await,
        Err(body) => Ok(error_response(&body)),
    }
}

async fn get_zones(req: Request) -> Result<Response> {
    ask(&req, OperatorRequest::Zones).await
}

async fn get_zone(req: Request) -> Result<Response> {
    match parameter(&req, "zone") {
        Ok(zone) => ask(&req, OperatorRequest::Zone(zone)).await,
        Err(body) => Ok(error_response(&body)),
    }
}

async fn put_zone(mut req: Request) -> Result<Response> {
    let zone = match parameter(&req, "zone") {
        Ok(zone) => zone,
        Err(body) => return Ok(error_response(&body)),
    };
    match json_body(&mut req).await {
        Ok(change) => ask(&req, OperatorRequest::PutZone(zone, change)).await,
        Err(body) => Ok(error_response(&body)),
    }
}

async fn get_status(req: Request) -> Result<Response> {
    ask(&req, OperatorRequest::Status).await
}

/// Passes a call on to the site task and turns its reply into a response.
async fn ask(req: &Request, call: OperatorRequest) -> Result<Response> {
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
    Ok(match tokio::time::timeout(CALL_TIMEOUT, rx).await {
        Ok(Ok(reply)) => response(reply),
        Ok(Err(_)) | Err(_) => error(
            ErrorReason::OutcomeUnknown,
            "the call got no reply in time".to_owned(),
            "read the state back before you repeat the call",
        ),
    })
}

fn response(reply: OperatorReply) -> Response {
    match reply {
        OperatorReply::Config(body) => json(StatusCode::OK, &body),
        OperatorReply::ConfigAccepted(body) => json(StatusCode::OK, &body),
        OperatorReply::Zones(body) => json(StatusCode::OK, &body),
        OperatorReply::Zone(body) => json(StatusCode::OK, &body),
        OperatorReply::Status(body) => json(StatusCode::OK, &*body),
        OperatorReply::Error(body) => error_response(&body),
    }
}

async fn json_body<T: DeserializeOwned>(req: &mut Request) -> Result<T, Box<ErrorBody>> {
    let body = match req.bytes_with(None, MAX_BODY_BYTES).await {
        Ok(body) => body,
        Err(viz::types::PayloadError::TooLarge) => {
            let message = format!("the body is larger than {MAX_BODY_BYTES} bytes");
            let hint = "shorten the body".to_owned();
            return Err(Box::new(ErrorBody::new(
                ErrorReason::TooLarge,
                message,
                hint,
            )));
        }
        Err(err) => {
            return Err(bad_request(format!("the body can't be read: {err}")));
        }
    };
    serde_json::from_slice(&body)
        .map_err(|err| bad_request(format!("the body is not valid: {err}")))
}

fn parameter<T>(req: &Request, name: &str) -> Result<T, Box<ErrorBody>>
where
    T: std::str::FromStr<Err: std::fmt::Display>,
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
    let mut rep = (status, serde_json::to_vec(body).unwrap_or_default()).into_response();
    let content_type = viz::header::HeaderValue::from_static("application/json");
    rep.headers_mut()
        .insert(viz::header::CONTENT_TYPE, content_type);
    rep
}
