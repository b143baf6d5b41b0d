//! The verdict on a request: whether it may have run.

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

/// What is known about a request when the caller gets its reply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict<T> {
    /// The backend server answered in full.
    Answered(T),
    /// The request certainly did not run.
    NotRun(NotRunReason),
    /// The request may have run; a retry could run it again.
    MayHaveRun(UncertainReason),
}

impl<T> Verdict<T> {
    /// Tells whether a retry can't run the request twice.
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
        /// When to try again.
        retry_after: Duration,
    },
    /// No backend server can take the request.
    NoCapacity,
    /// The backend server has no free slot.
    Busy,
    /// The process is stopping.
    Draining,
    /// The time limit ended before the hand-over.
    Expired,
    /// The agent couldn't be reached, and nothing was sent.
    Unreachable,
    /// The key's home agent can't be asked now.
    ClaimUnavailable,
    /// The process isn't ready: it has no confirmed configuration.
    NotReady,
}

impl NotRunReason {
    /// Tells whether another try may succeed within the same time limit.
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

/// Why it isn't known whether a request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum UncertainReason {
    /// The connection was lost after the hand-over.
    ConnectionLost,
    /// The answer was cut short.
    Truncated,
    /// The time limit ended after the hand-over.
    TimedOut,
    /// The key was claimed by an earlier request.
    AlreadyClaimed,
    /// The home agent can't know about earlier claims of the key.
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
