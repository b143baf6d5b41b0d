//! What a response, or its loss, means for a command.

use cumindeck_api::{ErrorBody, ErrorReason, ErrorVerdict};
use hyper::StatusCode;

use crate::failure::{Exit, Failure};

/// What a call changes at the server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Nothing; the call can be repeated at any time.
    Read,
    /// A change; the text says how to check whether it took effect.
    Change(String),
}

/// Outcome of a call at the HTTP connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallOutcome {
    /// A complete response arrived.
    Completed { status: StatusCode, body: Vec<u8> },
    /// No connection could be opened; nothing was sent.
    NotConnected(String),
    /// The call was sent, perhaps in part, and no complete response arrived.
    ResponseLost(String),
}

/// Returns the body of a successful response; any other outcome is a failure.
pub fn success_body(
    effect: &Effect,
    server: &str,
    outcome: CallOutcome,
) -> Result<Vec<u8>, Failure> {
    match outcome {
        CallOutcome::Completed { status, body } if status.is_success() => Ok(body),
        CallOutcome::Completed { status, body } => {
            let Ok(body) = serde_json::from_slice::<ErrorBody>(&body) else {
                let message = format!("{server} answered {status} without an error body");
                return Err(undetermined(effect, message));
            };
            let mut failure = Failure::from(body);
            if *effect == Effect::Read {
                failure.exit = Exit::Refused;
                failure.verdict = ErrorVerdict::NotRun;
            }
            Err(failure)
        }
        CallOutcome::NotConnected(reason) => Err(Failure::refused(
            ErrorReason::NotReady,
            format!("can't connect to {server}: {reason}"),
            "check --server; nothing was sent, so the command can be repeated",
        )),
        CallOutcome::ResponseLost(reason) => {
            let message = format!("no whole answer from {server}: {reason}");
            Err(undetermined(effect, message))
        }
    }
}

/// Creates the failure of a call whose response doesn't show whether it took effect.
pub fn undetermined(effect: &Effect, message: String) -> Failure {
    match effect {
        Effect::Read => {
            let hint = "repeat the command; check that --server is an entry's operator listener";
            Failure::refused(ErrorReason::Internal, message, hint)
        }
        Effect::Change(read_back) => {
            let hint = format!("the change may have taken effect; {read_back}");
            Failure::unknown(message, &hint)
        }
    }
}
