//! Rate limit of task starts in a region, so that the return of an availability zone
//! or a takeover does not start all tasks together.

use std::collections::VecDeque;

use cumindeck_placement::TaskPlacement;
use cumindeck_types::{Attempt, JobId, PerSecond, Uptime};

/// A decided start that waits for the rate limit.
#[derive(Debug, Clone)]
pub(crate) struct QueuedStart {
    pub job: JobId,
    pub attempt: Attempt,
    pub placement: Vec<TaskPlacement>,
    /// Whether the gang runs beyond its team's guarantee.
    pub is_borrowed: bool,
    /// Whether it precedes other starts and ignores the limit.
    pub is_urgent: bool,
}

/// Token bucket that limits the rate of task starts.
#[derive(Debug, Default)]
pub(crate) struct StartLimiter {
    waiting: VecDeque<QueuedStart>,
    /// Tasks that may start now; negative after a gang larger than the allowance.
    allowance: f64,
    refilled: Uptime,
}

impl StartLimiter {
    /// Adds a start; urgent ones go first.
    pub fn push(&mut self, start: QueuedStart) {
        if start.is_urgent {
            self.waiting.push_front(start);
        } else {
            self.waiting.push_back(start);
        }
    }

    /// Returns the next start that the rate allows.
    ///
    /// A gang may overdraw the allowance, since all its tasks start together; later
    /// starts wait until the allowance is positive again.
    pub fn pop(&mut self, now: Uptime, rate: PerSecond) -> Option<QueuedStart> {
        let passed = now.since(self.refilled).as_secs_f64();
        self.refilled = self.refilled.max(now);
        self.allowance = (self.allowance + passed * rate.get()).min(rate.get());
        let next = self.waiting.front()?;
        if !next.is_urgent && self.allowance <= 0.0 {
            return None;
        }
        let start = self.waiting.pop_front()?;
        self.allowance -= start.placement.len() as f64;
        Some(start)
    }

    /// Removes a start; returns whether it was waiting.
    pub fn remove(&mut self, job: &JobId, attempt: Attempt) -> bool {
        let before = self.waiting.len();
        self.waiting
            .retain(|start| start.job != *job || start.attempt != attempt);
        self.waiting.len() < before
    }
}
