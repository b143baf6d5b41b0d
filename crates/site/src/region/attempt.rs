//! The attempts of jobs as the duty holder tracks them.

use std::time::Duration;

use cumindeck_control::gang::GangStart;
use cumindeck_control::store::RowVersion;
use cumindeck_placement::TaskOutcome;
use cumindeck_types::message::{TaskPhase, TaskRef};
use cumindeck_types::{AgentId, FencingToken, JobId, TaskIndex, Uptime, WorkerId};

use crate::rows::AttemptRow;

/// How long an agent's announcements must lack a task before it counts as ended.
///
/// Two announcements: one may have been on its way while the task was ordered.
const MISSING_TIME: Duration = Duration::from_secs(2);
/// Time between two orders to stop the same task.
const STOP_PERIOD: Duration = Duration::from_secs(1);

/// A task of an attempt.
#[derive(Debug, Clone, Default)]
struct Tracked {
    outcome: Option<TaskOutcome>,
    missing_since: Option<Uptime>,
    stop_sent: Option<Uptime>,
}

/// The current attempt of a job.
#[derive(Debug)]
pub(crate) struct AttemptTrack {
    /// The attempt as counted.
    pub row: AttemptRow,
    /// Version of the row; none until the write is confirmed.
    pub row_version: Option<RowVersion>,
    /// The start, until it has succeeded or failed; none for an adopted attempt.
    pub start: Option<GangStart>,
    /// Whether the tasks are being stopped.
    pub is_stopping: bool,
    /// Whether an order to start was sent, so that bodies may run.
    pub is_go_sent: bool,
    /// Whether all bodies were reported as running.
    pub is_running: bool,
    /// Detail of the first failure.
    pub detail: String,
    tasks: Vec<Tracked>,
}

impl AttemptTrack {
    /// Tracks an attempt that this holder starts, or with `None` one that it adopts.
    pub fn new(row: AttemptRow, start: Option<GangStart>) -> Self {
        Self {
            tasks: vec![Tracked::default(); row.tasks.len()],
            row_version: None,
            is_go_sent: start.is_none(),
            is_running: start.is_none(),
            start,
            is_stopping: false,
            detail: String::new(),
            row,
        }
    }

    /// Returns the tasks of an agent that have not ended.
    pub fn live_tasks_of(&self, agent: &AgentId) -> Vec<TaskIndex> {
        let tasks = self.row.tasks.iter().zip(&self.tasks).enumerate();
        let live =
            tasks.filter(|(_, (task, tracked))| task.agent == *agent && tracked.outcome.is_none());
        live.map(|(i, _)| TaskIndex::new(i as u64)).collect()
    }

    /// Takes in a reported phase; returns the outcome if the task has ended now.
    pub fn on_report(
        &mut self,
        task: TaskIndex,
        phase: TaskPhase,
        detail: &str,
    ) -> Option<TaskOutcome> {
        let tracked = self.tracked(task)?;
        tracked.missing_since = None;
        let outcome = match phase {
            TaskPhase::Reserved | TaskPhase::Ready | TaskPhase::Running => return None,
            TaskPhase::Succeeded => TaskOutcome::Succeeded,
            TaskPhase::Failed => TaskOutcome::Failed,
            TaskPhase::Stopped => TaskOutcome::Stopped,
        };
        if tracked.outcome.is_some() {
            return None;
        }
        tracked.outcome = Some(outcome);
        if outcome != TaskOutcome::Succeeded && self.detail.is_empty() {
            self.detail = format!("task {task}: {detail}");
        }
        Some(outcome)
    }

    /// Takes in that an agent's announcement lacks a task; returns whether it
    /// counts as ended now.
    pub fn on_missing(&mut self, now: Uptime, task: TaskIndex) -> bool {
        // While the start is going on, the agent may not know the task yet.
        if self.start.is_some() {
            return false;
        }
        let Some(tracked) = self.tracked(task) else {
            return false;
        };
        if tracked.outcome.is_some() {
            return false;
        }
        let since = *tracked.missing_since.get_or_insert(now);
        if now.since(since) < MISSING_TIME {
            return false;
        }
        tracked.outcome = Some(TaskOutcome::Stopped);
        true
    }

    /// Notes that the tasks on a worker have certainly ended.
    pub fn worker_ended(&mut self, worker: &WorkerId) {
        for (task, tracked) in self.row.tasks.iter().zip(&mut self.tasks) {
            if task.worker == *worker {
                tracked.outcome.get_or_insert(TaskOutcome::Stopped);
            }
        }
    }

    /// Returns how the tasks that have ended did so.
    pub fn outcomes(&self) -> impl Iterator<Item = TaskOutcome> {
        self.tasks.iter().filter_map(|tracked| tracked.outcome)
    }

    /// Returns the orders to stop that are due.
    pub fn due_stops(
        &mut self,
        now: Uptime,
        job: &JobId,
        token: FencingToken,
    ) -> Vec<(AgentId, TaskRef)> {
        if !self.is_stopping {
            return Vec::new();
        }
        let mut orders = Vec::new();
        for (i, (task, tracked)) in self.row.tasks.iter().zip(&mut self.tasks).enumerate() {
            let is_due = tracked
                .stop_sent
                .is_none_or(|at| now.since(at) >= STOP_PERIOD);
            if tracked.outcome.is_some() || !is_due {
                continue;
            }
            tracked.stop_sent = Some(now);
            let task_ref = TaskRef {
                job: job.clone(),
                attempt: self.row.attempt,
                task: TaskIndex::new(i as u64),
                token,
            };
            orders.push((task.agent.clone(), task_ref));
        }
        orders
    }

    /// Returns the references of all tasks that have not ended.
    pub fn live_refs(&self, job: &JobId, token: FencingToken) -> Vec<(AgentId, TaskRef)> {
        let tasks = self.row.tasks.iter().zip(&self.tasks).enumerate();
        let live = tasks.filter(|(_, (_, tracked))| tracked.outcome.is_none());
        let to_ref = |(i, (task, _)): (usize, (&crate::rows::AttemptTask, &Tracked))| {
            let task_ref = TaskRef {
                job: job.clone(),
                attempt: self.row.attempt,
                task: TaskIndex::new(i as u64),
                token,
            };
            (task.agent.clone(), task_ref)
        };
        live.map(to_ref).collect()
    }

    fn tracked(&mut self, task: TaskIndex) -> Option<&mut Tracked> {
        self.tasks.get_mut(usize::try_from(task.get()).ok()?)
    }
}
