//! Loading of the progress of jobs that earlier leaders recorded.

use cumindeck_types::{JobId, Uptime};

use super::capacity::PlacedRun;
use super::{Job, Run, Scheduler, TaskId, task_ids};
use crate::progress::JobProgress;
use crate::rows::RowKey;
use crate::stored_progress::{ProgressParts, is_in_parts};

impl Scheduler {
    /// Applies the progress that an earlier leader recorded; returns whether it matches
    /// the job. A job whose progress another writer has changed is left alone, since its
    /// tasks may be running.
    pub fn on_progress(&mut self, now: Uptime, id: &JobId, progress: JobProgress) -> bool {
        self.on_stored_progress(now, id, progress, &ProgressParts::new())
    }

    /// Applies the progress that an earlier leader recorded, of a job whose tasks may be stored
    /// in parts, as [`Self::on_progress`] does.
    pub fn on_stored_progress(
        &mut self,
        now: Uptime,
        id: &JobId,
        mut progress: JobProgress,
        parts: &ProgressParts,
    ) -> bool {
        let Some(job) = self.jobs.get_mut(id) else {
            return true;
        };
        let has_tasks =
            |progress: &JobProgress| progress.occurrences.values().any(|it| !it.is_empty());
        job.is_converted = is_in_parts(&job.row.spec) && has_tasks(&progress);
        let is_complete = progress.add_parts(&job.row.spec, parts);
        if !is_complete || !progress.matches(&job.row.spec) {
            self.leave_alone(id);
            return false;
        }
        job.progress = progress;
        job.progress.convert(&job.row.spec);
        self.mark_stored_rows(id, parts);
        let Some(job) = self.jobs.get(id) else {
            return true;
        };
        let is_stopping = job.state().is_final();
        for task in task_ids(id, &job.progress) {
            let placement = job.task(&task).and_then(|task| task.placement.as_ref());
            let Some(placement) = placement else {
                continue;
            };
            let Some(spec) = job.row.spec.steps.get(task.step as usize) else {
                continue;
            };
            let worker = self.workers.entry(placement.agent.clone()).or_default();
            worker
                .placed
                .insert(task.clone(), PlacedRun::new(&job.row.spec, spec));
            // Members that were placed by the first of several transactions were not started.
            let is_incomplete = spec.gang && is_partly_placed(job, &task);
            let is_stopping =
                is_stopping || is_incomplete || job.task(&task).is_some_and(|it| it.is_done);
            if is_stopping {
                worker.placed.mark_stopping(&task);
            }
            let run = Run {
                is_stopping,
                ..Run::new(now, Some(0))
            };
            self.runs.insert(task, run);
        }
        self.drop_ended(id);
        self.close_if_ended(id);
        true
    }

    /// Has nothing done with a job whose rows can't be used, since its tasks may be running.
    pub(crate) fn leave_alone(&mut self, id: &JobId) {
        self.open.remove(id);
    }

    /// Has the rows of a job written that differ from what the store has: parts in place of the
    /// row of an earlier version, and parts of occurrences that are done.
    fn mark_stored_rows(&mut self, id: &JobId, parts: &ProgressParts) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.parts = parts.keys().copied().collect();
        let is_unfinished = |(of, _): &(u32, u32)| job.progress.occurrences.contains_key(of);
        let (kept, ended) = job.parts.iter().copied().partition(is_unfinished);
        job.parts = kept;
        let converted = match job.is_converted {
            true => job.started_parts(),
            false => Vec::new(),
        };
        if job.is_converted {
            self.mark_job_dirty(id);
        }
        for (occurrence, part) in converted {
            self.dirty
                .insert(RowKey::Part(id.clone(), occurrence, part));
        }
        self.remove_parts(id, ended);
    }
}

/// Returns whether some members of a task's gang are placed and others are not.
fn is_partly_placed(job: &Job, task: &TaskId) -> bool {
    let members = job.step(task).map(|step| step.tasks.as_slice());
    let mut members = members.unwrap_or_default().iter();
    members.any(|member| member.placement.is_none() && !member.is_done)
}
