//! Which jobs are turned away because they can't be served while they have value.

use std::fmt::{self, Debug, Display, Formatter};
use std::time::Duration;

use cumindeck_types::Uptime;

use crate::rows::WaitForecast;

/// Age of a forecast from which it refuses nobody: four renewals of the leader row.
const MAX_FORECAST_AGE: Duration = Duration::from_millis(1_000);

/// Percentage of a predicted wait that counts; predictions take no account of small jobs
/// that start beside large ones.
const COUNTED_WAIT_PERCENT: u32 = 67;

/// Maximum time after which a refused client is asked to return.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(600);

/// A job that may be accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct OfferedJob {
    /// Time that it takes at least.
    pub least_duration: Duration,
    /// Time from its acceptance for which its end has value, by its own estimates; `None` if
    /// it recurs or has tasks that last.
    pub valuable_for: Option<Duration>,
    /// Whether it is urgent and its team needs, with it, no more than its guarantee.
    pub is_guaranteed: bool,
}

/// The backlog that a job would wait behind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Backlog {
    /// Predicted wait of the last job of its team and priority.
    pub wait: Duration,
    /// Number of jobs of its team and priority that wait.
    pub jobs: u32,
    /// Mean time for which their ends have value.
    pub valuable_for: Duration,
    /// Age of the prediction.
    pub age: Duration,
}

impl Backlog {
    pub fn new(item: &WaitForecast, age: Duration) -> Self {
        Self {
            wait: Duration::from_millis(item.wait_ms),
            jobs: item.jobs,
            valuable_for: Duration::from_millis(item.valuable_ms),
            age,
        }
    }
}

/// Why a job is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Refusal {
    wait: Duration,
    age: Duration,
    valuable_for: Duration,
    /// Time until its backlog has gone down far enough.
    pub excess: Duration,
    /// Mean time between two starts of jobs of the backlog.
    pub interval: Duration,
}

impl Display for Refusal {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "the job would wait for {:?} and has value for {:?}; forecast of {:?} ago",
            self.wait, self.valuable_for, self.age
        )
    }
}

/// Decides which jobs are turned away.
pub(crate) trait AdmissionPolicy: Debug + Send {
    /// Returns why a job is refused; `None` if it is accepted.
    fn refusal(&self, job: &OfferedJob, backlog: Option<&Backlog>) -> Option<Refusal>;
}

/// Refuses a job that would end after the time for which it has value.
///
/// Load pattern: for long more work than room, most of it from one team. Without a forecast,
/// as where the basic policy is in force at the leader, it refuses nothing.
#[derive(Debug)]
pub(crate) struct RefuseWorthless;

impl AdmissionPolicy for RefuseWorthless {
    fn refusal(&self, job: &OfferedJob, backlog: Option<&Backlog>) -> Option<Refusal> {
        let backlog = backlog.filter(|backlog| backlog.age <= MAX_FORECAST_AGE)?;
        let valuable_for = job.valuable_for?.max(backlog.valuable_for);
        let counted = backlog.wait.saturating_mul(COUNTED_WAIT_PERCENT) / 100;
        let excess = counted
            .saturating_add(job.least_duration)
            .checked_sub(valuable_for)?;
        if job.is_guaranteed || excess.is_zero() {
            return None;
        }
        Some(Refusal {
            wait: backlog.wait,
            age: backlog.age,
            valuable_for,
            excess,
            interval: backlog.wait / backlog.jobs.max(1),
        })
    }
}

/// When clients that are refused one after the other may return.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Returns {
    next: Uptime,
}

impl Returns {
    pub const fn new() -> Self {
        Self { next: Uptime::ZERO }
    }

    /// Returns after which time the next refused client may return; each of `entries`
    /// entries sends clients away.
    pub fn retry_after(&mut self, now: Uptime, refusal: &Refusal, entries: u32) -> Duration {
        let due = now.plus(refusal.excess).max(self.next);
        let latest = now.plus(MAX_RETRY_AFTER);
        let due = due.min(latest);
        self.next = due.plus(refusal.interval.saturating_mul(entries.max(1)));
        due.since(now)
    }
}
