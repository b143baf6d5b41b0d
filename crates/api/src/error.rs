//! Error responses of the operators' interface.

use std::fmt::{self, Display, Formatter};

use cumindeck_types::ConfigVersion;
use serde::{Deserialize, Serialize};

use crate::text;

/// Body of every response that isn't a success.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Whether the call may have taken effect.
    pub verdict: ErrorVerdict,
    /// Kind of error.
    pub reason: ErrorReason,
    /// Description of the error, as a sentence.
    pub message: String,
    /// What the operator can do.
    pub hint: String,
    /// Errors in the input, for the reason `invalid`.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub problems: Vec<Problem>,
    /// The change that was accepted first, for the reason `conflict`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub conflict: Option<Conflict>,
}

impl ErrorBody {
    /// Creates an error body with the verdict of its reason.
    #[must_use]
    pub fn new(reason: ErrorReason, message: String, hint: String) -> Self {
        Self {
            verdict: reason.verdict(),
            reason,
            message,
            hint,
            problems: Vec::new(),
            conflict: None,
        }
    }
}

/// Whether a call may have taken effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ErrorVerdict {
    /// The call certainly had no effect.
    NotRun,
    /// The call may have taken effect; read the state back before repeating the call.
    MayHaveRun,
}

impl Display for ErrorVerdict {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
        })
    }
}

/// Why a call failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ErrorReason {
    /// The body, a header or a path segment can't be parsed.
    BadRequest,
    /// The bearer token is missing or wrong.
    Unauthorized,
    /// The resource doesn't exist.
    NotFound,
    /// The resource doesn't have this method.
    MethodNotAllowed,
    /// Another change was accepted first.
    Conflict,
    /// The body is larger than the limit.
    TooLarge,
    /// The input can be parsed, but breaks rules; `problems` lists where.
    Invalid,
    /// The job can never run on the existing workers.
    Infeasible,
    /// The team's queue is full.
    QueueFull,
    /// The entry has no confirmed configuration yet.
    NotReady,
    /// The table service doesn't reply, and nothing was written.
    StoreUnavailable,
    /// The entry has no memory for the body now.
    Busy,
    /// The entry is stopping.
    Draining,
    /// A write was sent, but neither its reply nor a read-back arrived.
    OutcomeUnknown,
    /// Internal error of the server, or a response that a client can't interpret.
    Internal,
}

impl ErrorReason {
    /// All reasons, in the order of their declaration.
    pub const ALL: [Self; 14] = [
        Self::BadRequest,
        Self::Unauthorized,
        Self::NotFound,
        Self::MethodNotAllowed,
        Self::Conflict,
        Self::TooLarge,
        Self::Invalid,
        Self::Infeasible,
        Self::QueueFull,
        Self::NotReady,
        Self::StoreUnavailable,
        Self::Draining,
        Self::OutcomeUnknown,
        Self::Internal,
    ];

    /// Returns the HTTP status code.
    #[must_use]
    pub const fn status(self) -> u16 {
        match self {
            Self::BadRequest => 400,
            Self::Unauthorized => 401,
            Self::NotFound => 404,
            Self::MethodNotAllowed => 405,
            Self::Conflict => 409,
            Self::TooLarge => 413,
            Self::Invalid | Self::Infeasible => 422,
            Self::QueueFull => 429,
            Self::Internal => 500,
            Self::NotReady | Self::StoreUnavailable | Self::Busy | Self::Draining => 503,
            Self::OutcomeUnknown => 504,
        }
    }

    /// Returns whether a call that failed for this reason may have taken effect.
    #[must_use]
    pub const fn verdict(self) -> ErrorVerdict {
        match self {
            Self::OutcomeUnknown | Self::Internal => ErrorVerdict::MayHaveRun,
            _ => ErrorVerdict::NotRun,
        }
    }
}

impl Display for ErrorReason {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::BadRequest => "bad-request",
            Self::Unauthorized => "unauthorized",
            Self::NotFound => "not-found",
            Self::MethodNotAllowed => "method-not-allowed",
            Self::Conflict => "conflict",
            Self::TooLarge => "too-large",
            Self::Invalid => "invalid",
            Self::Infeasible => "infeasible",
            Self::QueueFull => "queue-full",
            Self::NotReady => "not-ready",
            Self::StoreUnavailable => "store-unavailable",
            Self::Busy => "busy",
            Self::Draining => "draining",
            Self::OutcomeUnknown => "outcome-unknown",
            Self::Internal => "internal",
        })
    }
}

/// An error in a file or a body.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// File, or `body` for a JSON body.
    pub file: String,
    /// Line from 1, or 0 if the error has no line.
    pub line: u32,
    /// Settings key or body field.
    pub key: String,
    /// What was found.
    pub found: String,
    /// What was expected.
    pub expected: String,
    /// How to correct the error.
    pub hint: String,
}

/// The accepted change that a rejected change conflicts with.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    /// Version that is accepted now.
    #[serde(with = "text::counter")]
    pub version: ConfigVersion,
    /// Keys whose values differ between the accepted and the rejected bundle.
    pub keys: Vec<String>,
}
