//! Why a command did not succeed.

use std::process::ExitCode;

use cumindeck_api::{Conflict, ErrorBody, ErrorReason, ErrorVerdict, Problem};
use cumindeck_config::{ConfigError, ConfigErrors};
use serde::Serialize;

/// Exit status of a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// The command was refused and had no effect.
    Refused,
    /// The command line can't be used.
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

/// Why a command did not succeed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Failure {
    /// Exit status.
    #[serde(skip)]
    pub exit: Exit,
    /// Whether the command may have taken effect.
    pub verdict: ErrorVerdict,
    /// Kind of failure.
    pub reason: String,
    /// What happened, in a sentence.
    pub message: String,
    /// What to do next.
    pub hint: String,
    /// Faults in the input.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub problems: Vec<Problem>,
    /// The change that won.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub conflict: Option<Box<Conflict>>,
}

impl Failure {
    /// Makes the failure of a command that had no effect.
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

    /// Makes the failure of a command line that can't be used.
    pub fn usage(message: impl Into<String>, hint: &str) -> Self {
        Self {
            exit: Exit::Usage,
            ..Self::refused(ErrorReason::BadRequest, message, hint)
        }
    }

    /// Makes the failure of a command that may have taken effect.
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
