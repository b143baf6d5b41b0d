//! Attempts of jobs as tracked by the leader of the region.

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

/// State of a task of an attempt.
#[derive(Debug, Clone, Default)]
struct TaskProgress {
    outcome: Option<TaskOutcome>,
    stop_sent: Option<Uptime>,
}

/// The current attempt of a job, with the progress of its tasks.
#[derive(Debug)]
pub(crate) struct TrackedAttempt {
    /// The attempt as stored in the table service.
    pub row: AttemptRow,
    /// Version of the stored row; `None` until the write is confirmed.
    pub row_version: Option<RowVersion>,
    /// The start in progress; `None` once it has ended, and for an adopted attempt.
    pub start: Option<GangStart>,
    pub is_stopping: bool,
    /// Whether a start order was sent, so that task processes may run.
    pub is_start_sent: bool,
    /// Whether all tasks were reported as running.
    pub is_running: bool,
    /// Whether a worker refused to prepare or start a task.
    pub is_refused_by_worker: bool,
    /// Cause of the first failure or stop, for operators.
    pub detail: String,
    tasks: Vec<TaskProgress>,
}

impl TrackedAttempt {
    /// Tracks an attempt that this leader starts, or that it adopts if `start` is `None`.
    pub fn new(row: AttemptRow, start: Option<GangStart>) -> Self {
        Self {
            tasks: vec![TaskProgress::default(); row.tasks.len()],
            row_version: None,
            is_start_sent: start.is_none(),
            is_running: start.is_none(),
            start,
            is_stopping: false,
            is_refused_by_worker: false,
            detail: String::new(),
            row,
        }
    }

    /// Records a reported phase; returns the outcome if the report ends the task.
    pub fn on_report(
        &mut self,
        task: TaskIndex,
        phase: TaskPhase,
        detail: &str,
    ) -> Option<TaskOutcome> {
        let progress = self.progress(task)?;
        let outcome = match phase {
            TaskPhase::Reserved | TaskPhase::Ready | TaskPhase::Running => return None,
            TaskPhase::Succeeded => TaskOutcome::Succeeded,
            TaskPhase::Failed => TaskOutcome::Failed,
            TaskPhase::Stopped => TaskOutcome::Stopped,
        };
        if progress.outcome.is_some() {
            return None;
        }
        progress.outcome = Some(outcome);
        if outcome != TaskOutcome::Succeeded && self.detail.is_empty() {
            self.detail = format!("task {task}: {detail}");
        }
        Some(outcome)
    }

    /// Ends and returns the tasks that are known to have stopped without a final report.
    pub fn end_stopped(
        &mut self,
        now: Uptime,
        job: &JobId,
        stopped: &StoppedTasks,
        grants: &LeaseGrants,
    ) -> Vec<TaskIndex> {
        // During the start its own replies decide. A start that sent no start order
        // is reported as failed after a delay.
        if self.start.is_some() || !self.is_start_sent {
            return Vec::new();
        }
        let mut ended = Vec::new();
        for (i, (task, progress)) in self.row.tasks.iter().zip(&mut self.tasks).enumerate() {
            let task_index = TaskIndex::new(i as u64);
            let placed = placed_task(job, &self.row, task_index, task);
            if progress.outcome.is_none() && stopped.is_stopped(now, grants, &placed) {
                progress.outcome = Some(TaskOutcome::Stopped);
                ended.push(task_index);
            }
        }
        ended
    }

    /// Ends and returns the tasks whose accelerators a later attempt uses.
    pub fn end_overlapping(&mut self, later: &AttemptRow) -> Vec<TaskIndex> {
        let mut ended = Vec::new();
        for (i, (task, progress)) in self.row.tasks.iter().zip(&mut self.tasks).enumerate() {
            let is_overlapping = later.tasks.iter().any(|other| {
                let mut indices = other.accelerators.iter();
                other.worker == task.worker && indices.any(|i| task.accelerators.contains(i))
            });
            if is_overlapping && progress.outcome.is_none() {
                progress.outcome = Some(TaskOutcome::Stopped);
                ended.push(TaskIndex::new(i as u64));
            }
        }
        ended
    }

    /// Ends all tasks on a worker whose tasks are known to have stopped.
    pub fn worker_ended(&mut self, worker: &WorkerId) {
        for (task, progress) in self.row.tasks.iter().zip(&mut self.tasks) {
            if task.worker == *worker {
                progress.outcome.get_or_insert(TaskOutcome::Stopped);
            }
        }
    }

    /// Returns the outcomes of the tasks that have ended.
    pub fn outcomes(&self) -> impl Iterator<Item = TaskOutcome> {
        self.tasks.iter().filter_map(|progress| progress.outcome)
    }

    /// Returns the stop orders that are due, at most one per task and [`STOP_PERIOD`].
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
        for (i, (task, progress)) in self.row.tasks.iter().zip(&mut self.tasks).enumerate() {
            let is_due = progress
                .stop_sent
                .is_none_or(|at| now.since(at) >= STOP_PERIOD);
            if progress.outcome.is_some() || !is_due {
                continue;
            }
            progress.stop_sent = Some(now);
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

    /// Returns the agent and the reference of each task that has not ended.
    pub fn live_refs(&self, job: &JobId, token: FencingToken) -> Vec<(AgentId, TaskRef)> {
        let tasks = self.row.tasks.iter().zip(&self.tasks).enumerate();
        let live = tasks.filter(|(_, (_, progress))| progress.outcome.is_none());
        let to_ref = |(i, (task, _)): (usize, (&AttemptTask, &TaskProgress))| {
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

    fn progress(&mut self, task: TaskIndex) -> Option<&mut TaskProgress> {
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
