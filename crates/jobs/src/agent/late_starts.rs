//! Starts without an answer, which the worker's successor under the same id may carry out.

use cumindeck_types::{RunNumber, Uptime, WorkerId};

use super::call::MAX_CALL_DELAY;
use crate::TaskId;

/// A start without an answer.
#[derive(Debug, Clone)]
struct LateStart {
    worker: WorkerId,
    task: TaskId,
    run: RunNumber,
    /// When it was known that no answer comes.
    given_up_at: Uptime,
}

/// The starts without an answer that may still be carried out.
///
/// A stop holds for one incarnation of a worker: the next one under its id knows neither the
/// stop nor that the run is over.
#[derive(Debug, Default)]
pub(super) struct LateStarts(Vec<LateStart>);

impl LateStarts {
    /// Creates an empty list.
    pub const fn new() -> Self {
        Self(Vec::new())
    }

    /// Records a start without an answer.
    pub fn insert(&mut self, now: Uptime, worker: &WorkerId, task: &TaskId, run: RunNumber) {
        self.remove_old(now);
        self.0.push(LateStart {
            worker: worker.clone(),
            task: task.clone(),
            run,
            given_up_at: now,
        });
    }

    /// Returns the runs that an incarnation of a worker may still start.
    pub fn of(&mut self, now: Uptime, worker: &WorkerId) -> Vec<(TaskId, RunNumber)> {
        self.remove_old(now);
        let late = self.0.iter().filter(|late| late.worker == *worker);
        late.map(|late| (late.task.clone(), late.run)).collect()
    }

    fn remove_old(&mut self, now: Uptime) {
        self.0
            .retain(|late| now.since(late.given_up_at) < MAX_CALL_DELAY);
    }
}
