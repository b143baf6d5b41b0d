//! The pace of task starts in a region, so that a zone's return or a takeover
//! does not start everything at once.

use std::collections::VecDeque;

use cumindeck_placement::TaskPlacement;
use cumindeck_types::{Attempt, JobId, PerSecond, Uptime};

/// A start that was decided and waits for its turn.
#[derive(Debug, Clone)]
pub(crate) struct PacedStart {
    /// The job.
    pub job: JobId,
    /// The attempt.
    pub attempt: Attempt,
    /// Where each task runs.
    pub placement: Vec<TaskPlacement>,
    /// Whether the gang may be preempted.
    pub is_borrowed: bool,
    /// Whether it goes before others and without a wait.
    pub is_urgent: bool,
}

/// Lets starts through at a limited rate of tasks.
#[derive(Debug, Default)]
pub(crate) struct StartPace {
    waiting: VecDeque<PacedStart>,
    /// Tasks that may start now; negative after a gang larger than one second's share.
    allowance: f64,
    refilled: Uptime,
}

impl StartPace {
    /// Adds a start; urgent ones go first.
    pub fn push(&mut self, start: PacedStart) {
        if start.is_urgent {
            self.waiting.push_front(start);
        } else {
            self.waiting.push_back(start);
        }
    }

    /// Returns the next start that may go now.
    ///
    /// A gang may overdraw the allowance, since it starts whole; the starts that
    /// follow wait until the rate has made up for it.
    pub fn pop(&mut self, now: Uptime, rate: PerSecond) -> Option<PacedStart> {
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

    /// Removes a start that is no longer wanted; tells whether it was waiting.
    pub fn remove(&mut self, job: &JobId, attempt: Attempt) -> bool {
        let before = self.waiting.len();
        self.waiting
            .retain(|start| start.job != *job || start.attempt != attempt);
        self.waiting.len() < before
    }
}
