//! Commands on requests to backend servers.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use cumindeck_api::{ErrorReason, ErrorVerdict, path};
use cumindeck_types::{ByteSize, IdempotencyKey, TeamId};
use hyper::Method;
use hyper::header::{CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue};
use serde::Deserialize;

use super::{Context, header_value, new_id};
use crate::args::RequestCommand;
use crate::client::{Call, CallResult, Client};
use crate::failure::{Exit, Failure};
use crate::files;
use crate::outcome::{CallOutcome, Effect, success_body, undetermined};
use crate::report::Report;

/// Maximum size of a request body that the settings of a site can allow.
const MAX_BODY: ByteSize = ByteSize::from_mib(7);
/// Time after the request's timeout in which the entry's error may still arrive.
const RESPONSE_MARGIN: Duration = Duration::from_secs(2);

/// Body of an entry's error response to a request; its reasons differ from those of
/// operators' calls.
#[derive(Debug, Deserialize)]
struct RequestError {
    reason: String,
    message: String,
    hint: String,
}

impl RequestError {
    /// Creates the failure; the caller sets the verdict of the response header.
    fn into_failure(self) -> Failure {
        Failure {
            reason: self.reason,
            ..Failure::refused(ErrorReason::Internal, self.message, &self.hint)
        }
    }
}

/// Runs a command on requests.
pub async fn run(cx: &Context<'_>, command: &RequestCommand) -> Result<Report, Failure> {
    let RequestCommand::Send {
        callers,
        team,
        key,
        idempotent,
        path,
        content_type,
        body,
    } = command;
    let new = || new_id().to_string().parse();
    let key: IdempotencyKey = key
        .clone()
        .map_or_else(new, Ok)
        .map_err(|err| Failure::usage(format!("{err}"), "give a key by --key"))?;
    let timeout = cx.args.timeout;
    let mut call = call(team, &key, *idempotent, timeout, content_type, body)?;
    if path != "/" {
        call.path += path;
    }
    let effect = call.effect.clone();
    let client = Client::new(*callers, None, timeout + RESPONSE_MARGIN);
    let result = client.send(call).await?;
    evaluate(&effect, *callers, result)
}

/// Creates the call that sends a request.
fn call(
    team: &TeamId,
    key: &IdempotencyKey,
    is_idempotent: bool,
    timeout: Duration,
    content_type: &str,
    body: &Path,
) -> Result<Call, Failure> {
    let body = files::body(body, MAX_BODY.bytes())?;
    let read_back = match is_idempotent {
        true => "the request is idempotent, so a repetition is safe".to_owned(),
        false => {
            format!("look it up at the service; a repetition with --key {key} never runs twice")
        }
    };
    let content_type = header_value(&content_type)?;
    let name = HeaderName::from_static;
    let mut call = Call::change(Method::POST, path::REQUESTS, read_back)
        .header(CONTENT_TYPE, content_type)
        .header(name(path::TEAM_HEADER), header_value(team)?)
        .header(name(path::IDEMPOTENCY_KEY), header_value(key)?)
        .header(name(path::IDEMPOTENT), header_value(&is_idempotent)?)
        .header(name(path::TIMEOUT_MS), HeaderValue::from(millis(timeout)));
    call.body = body.into();
    Ok(call)
}

/// Decides the outcome of a request; the verdict header precedes status and body.
fn evaluate(effect: &Effect, callers: SocketAddr, result: CallResult) -> Result<Report, Failure> {
    let header = |name| header_text(&result.headers, name);
    let verdict = header(path::VERDICT);
    let (status, body) = match result.outcome {
        CallOutcome::Completed { status, body } => (status, body),
        outcome => return Err(no_response(effect, callers, outcome)),
    };
    match verdict.as_str() {
        "answered" => {
            // The response body goes to standard output unchanged.
            let (id, kind) = (header(path::REQUEST_ID), header(CONTENT_TYPE.as_str()));
            let status = status.as_u16();
            let mut report = Report::raw(body);
            report.note = Some(format!(
                "answered: status={status} request={id} type={kind}"
            ));
            Ok(report)
        }
        "not-run" | "may-have-run" => {
            let failure = match serde_json::from_slice::<RequestError>(&body) {
                Ok(error) => error.into_failure(),
                Err(_) => {
                    let message = format!("{callers} answered {status} without an error body");
                    undetermined(effect, message)
                }
            };
            // The verdict of the header applies even if the body can't be parsed.
            if verdict == "not-run" {
                return Err(Failure {
                    exit: Exit::Refused,
                    verdict: ErrorVerdict::NotRun,
                    ..failure
                });
            }
            let hint = match effect {
                Effect::Change(read_back) => read_back.clone(),
                Effect::Read => failure.hint,
            };
            Err(Failure {
                exit: Exit::Unknown,
                verdict: ErrorVerdict::MayHaveRun,
                hint,
                ..failure
            })
        }
        _ => {
            let message = format!("{callers} answered {status} without a verdict");
            Err(undetermined(effect, message))
        }
    }
}

/// Creates the failure of a request without a complete response.
fn no_response(effect: &Effect, callers: SocketAddr, outcome: CallOutcome) -> Failure {
    match success_body(effect, &callers.to_string(), outcome) {
        Err(failure) => failure,
        Ok(_) => undetermined(effect, format!("no response from {callers}")),
    }
}

fn header_text(headers: &HeaderMap, name: &str) -> String {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or("").to_owned()
}

fn millis(timeout: Duration) -> u64 {
    u64::try_from(timeout.as_millis()).unwrap_or(u64::MAX)
}
