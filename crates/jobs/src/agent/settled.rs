//! Runs that are over for the leader, which an order in a late reply must not start.

use cumindeck_types::{FencingToken, RunNumber, Uptime};

use super::MAX_START_ORDER_AGE;
use crate::TaskId;

/// A run that the leader has taken note of as ended or not started.
#[derive(Debug, Clone)]
struct SettledRun {
    task: TaskId,
    run: RunNumber,
    /// Fencing token of that leader; the next one may not know it, and may order the start.
    token: FencingToken,
    settled_at: Uptime,
}

/// The runs that were settled within the maximum age of an order.
///
/// Replies come over several connections, and one with an order to start such a run may
/// come last. The worker refuses it only if the run has ended or was stopped there.
#[derive(Debug, Default)]
pub(super) struct SettledRuns(Vec<SettledRun>);

impl SettledRuns {
    /// Creates an empty list.
    pub const fn new() -> Self {
        Self(Vec::new())
    }

    /// Records a run that a leader's reply has shown to be settled.
    pub fn insert(&mut self, now: Uptime, token: FencingToken, task: TaskId, run: RunNumber) {
        self.0
            .retain(|settled| now.since(settled.settled_at) <= MAX_START_ORDER_AGE);
        self.0.push(SettledRun {
            task,
            run,
            token,
            settled_at: now,
        });
    }

    /// Returns whether a run is settled for the leader with this token.
    pub fn contains(&self, token: FencingToken, task: &TaskId, run: RunNumber) -> bool {
        let is_same = |settled: &SettledRun| {
            settled.task == *task && settled.run == run && settled.token == token
        };
        self.0.iter().any(is_same)
    }
}
