//! What an answer, or the loss of it, means for a command.

use cumindeck_api::{ErrorBody, ErrorReason, ErrorVerdict};
use hyper::StatusCode;

use crate::failure::{Exit, Failure};

/// What a call does at the server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Nothing; it can be repeated at any time.
    Read,
    /// A change; the text says how to read it back.
    Change(String),
}

/// How a call ended at the socket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ended {
    /// A whole answer arrived.
    Answered {
        /// Status.
        status: StatusCode,
        /// Body.
        body: Vec<u8>,
    },
    /// No connection could be made; nothing was sent.
    NotConnected(String),
    /// The call was sent, perhaps in part, and no whole answer arrived.
    Lost(String),
}

/// Decides whether a call succeeded; returns the body of a success.
pub fn judge(effect: &Effect, server: &str, ended: Ended) -> Result<Vec<u8>, Failure> {
    match ended {
        Ended::Answered { status, body } if status.is_success() => Ok(body),
        Ended::Answered { status, body } => {
            let Ok(body) = serde_json::from_slice::<ErrorBody>(&body) else {
                let message = format!("{server} answered {status} without an error body");
                return Err(unclear(effect, message));
            };
            let mut failure = Failure::from(body);
            if *effect == Effect::Read {
                failure.exit = Exit::Refused;
                failure.verdict = ErrorVerdict::NotRun;
            }
            Err(failure)
        }
        Ended::NotConnected(reason) => Err(Failure::refused(
            ErrorReason::NotReady,
            format!("can't connect to {server}: {reason}"),
            "check --server; nothing was sent, so the command can be repeated",
        )),
        Ended::Lost(reason) => {
            let message = format!("no whole answer from {server}: {reason}");
            Err(unclear(effect, message))
        }
    }
}

/// Makes the failure of a call whose answer says nothing.
pub fn unclear(effect: &Effect, message: String) -> Failure {
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
