//! Steps that wait for workers, and what their jobs still need.

use std::time::Duration;

use cumindeck_types::JobId;
use smallvec::SmallVec;

use super::order::OrderReason;
use super::{Job, StepId, TaskId, task_ids};
use crate::model::LEAST_PERCENT_OF_ESTIMATE;
use crate::progress::StepProgress;

/// Age of an agent's last report from which its worker gets no new tasks.
pub(super) const MAX_REPORT_AGE: Duration = Duration::from_millis(2_000);

/// A step that is ready, with its tasks that are not placed.
#[derive(Debug, Clone)]
pub(super) struct PendingStep {
    pub job: JobId,
    pub occurrence: u32,
    pub step: u32,
    /// Indices in the step of the tasks that are not placed.
    pub tasks: Vec<u32>,
    /// Time since the step was ready.
    pub waited: Duration,
    /// Whether the job is urgent and its team needs no more than its guarantee.
    pub is_guaranteed: bool,
    /// Whether the job can no longer be in time.
    pub is_late: bool,
    /// Why the job has its rank, if the order says more than the waiting time.
    pub order_reason: Option<OrderReason>,
}

impl PendingStep {
    pub fn step_id(&self) -> StepId {
        StepId {
            job: self.job.clone(),
            occurrence: self.occurrence,
            step: self.step,
        }
    }
}

/// Returns whether a job can no longer end within its objective, even if its waiting
/// steps start now.
pub(super) fn is_too_late(job: &Job, age: Duration) -> bool {
    age + least_left(job) > Duration::from_millis(job.row.spec.objective_ms())
}

/// Returns the time that a job takes at least if its waiting steps start now.
pub(super) fn least_left(job: &Job) -> Duration {
    let spec = &job.row.spec;
    let is_done: SmallVec<[bool; 8]> = match job.progress.only_occurrence() {
        Some(steps) => steps.iter().map(StepProgress::is_done).collect(),
        None => SmallVec::new(),
    };
    let least = spec.remaining_path_ms(&is_done) / 100 * LEAST_PERCENT_OF_ESTIMATE;
    Duration::from_millis(least)
}

/// Returns the time by which a job should end before its objective if a run that has worked
/// for `worked` continues; `None` if it is late or recurs.
pub(super) fn spare_time(job: &Job, age: Duration, worked: Duration) -> Option<Duration> {
    let spec = &job.row.spec;
    let steps = job.progress.only_occurrence()?;
    if spec.recurrence.is_some() {
        return None;
    }
    let is_done: SmallVec<[bool; 8]> = steps.iter().map(StepProgress::is_done).collect();
    let path = Duration::from_millis(spec.remaining_path_ms(&is_done));
    let objective = Duration::from_millis(spec.objective_ms());
    objective.checked_sub(age + path.saturating_sub(worked))
}

/// Returns the tasks of the same gang, or just the task if it is in none.
pub(super) fn gang_members(job: &Job, task: &TaskId) -> Vec<TaskId> {
    let spec = &job.row.spec.steps[task.step as usize];
    if !spec.gang {
        return vec![task.clone()];
    }
    let members = task_ids(&task.job, &job.progress).into_iter();
    members
        .filter(|member| member.occurrence == task.occurrence && member.step == task.step)
        .collect()
}
