//! The verdict on a request: whether it ran, did not run, or may have run.

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

/// What is known about the execution of a request when its caller gets a reply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict<T> {
    /// The backend server sent a complete response.
    Answered(T),
    /// The request certainly did not run.
    NotRun(NotRunReason),
    /// The request may have run; a retry could run it again.
    MayHaveRun(UncertainReason),
}

impl<T> Verdict<T> {
    /// Returns whether a retry can't run the request twice.
    #[must_use]
    pub const fn is_not_run(&self) -> bool {
        matches!(self, Self::NotRun(_))
    }

    /// Returns the name used in headers, logs and metrics.
    #[must_use]
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::NotRun(_) => "not-run",
            Self::MayHaveRun(_) => "may-have-run",
        }
    }
}

/// Why a request did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum NotRunReason {
    /// The request isn't valid.
    BadRequest,
    /// The body is larger than the limit.
    TooLarge,
    /// The team's queue is full.
    QueueFull {
        /// Delay after which the caller can retry.
        retry_after: Duration,
    },
    /// No backend server can accept the request.
    NoCapacity,
    /// The backend server has no free slot.
    Busy,
    /// The process is stopping.
    Draining,
    /// The deadline passed before the request was forwarded to the backend server.
    Expired,
    /// The agent couldn't be reached, and nothing was sent.
    Unreachable,
    /// The home agent of the key can't grant a claim now.
    ClaimUnavailable,
    /// The process has no confirmed configuration yet.
    NotReady,
}

impl NotRunReason {
    /// Returns whether another attempt may succeed within the same time limit.
    #[must_use]
    pub const fn is_retryable(self) -> bool {
        match self {
            Self::NoCapacity
            | Self::Busy
            | Self::Draining
            | Self::Unreachable
            | Self::ClaimUnavailable
            | Self::NotReady => true,
            Self::BadRequest | Self::TooLarge | Self::QueueFull { .. } | Self::Expired => false,
        }
    }
}

impl Display for NotRunReason {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::BadRequest => "bad-request",
            Self::TooLarge => "too-large",
            Self::QueueFull { .. } => "queue-full",
            Self::NoCapacity => "no-capacity",
            Self::Busy => "busy",
            Self::Draining => "draining",
            Self::Expired => "expired",
            Self::Unreachable => "unreachable",
            Self::ClaimUnavailable => "claim-unavailable",
            Self::NotReady => "not-ready",
        })
    }
}

/// Why it is unknown whether a request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum UncertainReason {
    /// The connection was lost after the request was forwarded to the backend server.
    ConnectionLost,
    /// The response was truncated.
    Truncated,
    /// The deadline passed after the request was forwarded to the backend server.
    TimedOut,
    /// An earlier request has claimed the key.
    AlreadyClaimed,
    /// The home agent can't know whether a former home agent granted the key.
    UnknownHistory,
}

impl Display for UncertainReason {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::ConnectionLost => "connection-lost",
            Self::Truncated => "truncated",
            Self::TimedOut => "timed-out",
            Self::AlreadyClaimed => "already-claimed",
            Self::UnknownHistory => "unknown-history",
        })
    }
}
