//! The attempts of jobs as the duty holder tracks them.

use std::time::Duration;

use cumindeck_control::agent_lease::LeaseGrants;
use cumindeck_control::gang::{GangStart, PlacedTask, StoppedTasks, TaskId};
use cumindeck_control::store::RowVersion;
use cumindeck_placement::TaskOutcome;
use cumindeck_types::message::{TaskPhase, TaskRef};
use cumindeck_types::{AgentId, FencingToken, JobId, TaskIndex, Uptime, WorkerId};

use crate::rows::{AttemptRow, AttemptTask};

/// Time between two orders to stop the same task.
const STOP_PERIOD: Duration = Duration::from_secs(1);

/// A task of an attempt.
#[derive(Debug, Clone, Default)]
struct Tracked {
    outcome: Option<TaskOutcome>,
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
    /// Whether a worker refused to prepare or start a task.
    pub is_refused_by_worker: bool,
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
            is_refused_by_worker: false,
            detail: String::new(),
            row,
        }
    }

    /// Takes in a reported phase; returns the outcome if the task has ended now.
    pub fn on_report(
        &mut self,
        task: TaskIndex,
        phase: TaskPhase,
        detail: &str,
    ) -> Option<TaskOutcome> {
        let tracked = self.tracked(task)?;
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

    /// Ends the tasks that have certainly stopped without a final report; returns them.
    pub fn end_stopped(
        &mut self,
        now: Uptime,
        job: &JobId,
        stopped: &StoppedTasks,
        grants: &LeaseGrants,
    ) -> Vec<TaskIndex> {
        // While the start is going on, its own answers decide; a start that sent
        // no order to run is reported as failed after a pause.
        if self.start.is_some() || !self.is_go_sent {
            return Vec::new();
        }
        let mut ended = Vec::new();
        for (i, (task, tracked)) in self.row.tasks.iter().zip(&mut self.tasks).enumerate() {
            let task_index = TaskIndex::new(i as u64);
            let placed = placed_task(job, &self.row, task_index, task);
            if tracked.outcome.is_none() && stopped.is_stopped(now, grants, &placed) {
                tracked.outcome = Some(TaskOutcome::Stopped);
                ended.push(task_index);
            }
        }
        ended
    }

    /// Ends the tasks on the accelerators of a later attempt; returns them.
    pub fn end_overlapping(&mut self, later: &AttemptRow) -> Vec<TaskIndex> {
        let mut ended = Vec::new();
        for (i, (task, tracked)) in self.row.tasks.iter().zip(&mut self.tasks).enumerate() {
            let is_overlapping = later.tasks.iter().any(|other| {
                let mut indices = other.accelerators.iter();
                other.worker == task.worker && indices.any(|i| task.accelerators.contains(i))
            });
            if is_overlapping && tracked.outcome.is_none() {
                tracked.outcome = Some(TaskOutcome::Stopped);
                ended.push(TaskIndex::new(i as u64));
            }
        }
        ended
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
        let to_ref = |(i, (task, _)): (usize, (&AttemptTask, &Tracked))| {
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

fn placed_task(job: &JobId, row: &AttemptRow, task: TaskIndex, place: &AttemptTask) -> PlacedTask {
    PlacedTask {
        id: TaskId {
            job: job.clone(),
            attempt: row.attempt,
            task,
        },
        agent: place.agent.clone(),
        incarnation: place.incarnation,
        token: row.token,
    }
}
