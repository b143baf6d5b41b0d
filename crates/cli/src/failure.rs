//! Errors of commands and the exit status for each.

use std::process::ExitCode;

use cumindeck_api::{Conflict, ErrorBody, ErrorReason, ErrorVerdict, Problem};
use cumindeck_config::{ConfigError, ConfigErrors};
use serde::Serialize;

/// Exit status of a failed command: 1, 2 and 3 in the order of the variants.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// The command was refused and had no effect.
    Refused,
    /// The command line is invalid, or a file that it refers to can't be read.
    Usage,
    /// The command may have taken effect.
    Unknown,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(match exit {
            Exit::Refused => 1,
            Exit::Usage => 2,
            Exit::Unknown => 3,
        })
    }
}

/// Error of a command, printed for people or as JSON.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Failure {
    /// Exit status; not part of the JSON form.
    #[serde(skip)]
    pub exit: Exit,
    /// Whether the command may have taken effect.
    pub verdict: ErrorVerdict,
    /// Kind of error: an [`ErrorReason`], or the reason in an error response to a
    /// request.
    pub reason: String,
    /// Description of the error, as a sentence.
    pub message: String,
    /// What the operator can do.
    pub hint: String,
    /// Errors in the input.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub problems: Vec<Problem>,
    /// The change that was accepted first, for the reason `conflict`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub conflict: Option<Box<Conflict>>,
}

impl Failure {
    /// Creates the error of a command that had no effect.
    pub fn refused(reason: ErrorReason, message: impl Into<String>, hint: &str) -> Self {
        Self {
            exit: Exit::Refused,
            verdict: ErrorVerdict::NotRun,
            reason: reason.to_string(),
            message: message.into(),
            hint: hint.to_owned(),
            problems: Vec::new(),
            conflict: None,
        }
    }

    /// Creates the error of an invalid command line or an unreadable file.
    pub fn usage(message: impl Into<String>, hint: &str) -> Self {
        Self {
            exit: Exit::Usage,
            ..Self::refused(ErrorReason::BadRequest, message, hint)
        }
    }

    /// Creates the error of a command that may have taken effect.
    pub fn unknown(message: impl Into<String>, hint: &str) -> Self {
        Self {
            exit: Exit::Unknown,
            verdict: ErrorVerdict::MayHaveRun,
            ..Self::refused(ErrorReason::OutcomeUnknown, message, hint)
        }
    }
}

impl From<ErrorBody> for Failure {
    fn from(body: ErrorBody) -> Self {
        Self {
            exit: match body.verdict {
                ErrorVerdict::NotRun => Exit::Refused,
                ErrorVerdict::MayHaveRun => Exit::Unknown,
            },
            verdict: body.verdict,
            reason: body.reason.to_string(),
            message: body.message,
            hint: body.hint,
            problems: body.problems,
            conflict: body.conflict.map(Box::new),
        }
    }
}

impl From<ConfigErrors> for Failure {
    fn from(errors: ConfigErrors) -> Self {
        let problem = |err: &ConfigError| Problem {
            file: err.file.clone(),
            line: err.line,
            key: err.key.clone(),
            found: err.found.clone(),
            expected: err.expected.clone(),
            hint: err.hint.clone(),
        };
        let problems: Vec<_> = errors.as_slice().iter().map(problem).collect();
        let message = match problems.len() {
            1 => "1 fault in the configuration".to_owned(),
            n => format!("{n} faults in the configuration"),
        };
        Self {
            problems,
            ..Self::refused(
                ErrorReason::Invalid,
                message,
                "correct the lines and check again",
            )
        }
    }
}
