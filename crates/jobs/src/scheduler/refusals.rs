//! Jobs whose rows the store refuses for their contents.
//!
//! A refusal names no row. After one, a transaction without rows of jobs shows that the store
//! accepts others, and each job of the refused transaction is written by itself. A job that is
//! refused again is set apart: it counts as failed, and the rest goes on.

use std::collections::BTreeSet;

use cumindeck_types::JobId;

use super::batch::Batch;
use super::dirty::job_of;
use super::{Scheduler, TaskId, task_ids};
use crate::rows::RowKey;

/// Maximum length of the stored reason in bytes.
const MAX_REASON_BYTES: usize = 200;

/// Jobs of refused transactions.
#[derive(Debug, Default)]
pub(super) struct Refusals {
    /// Jobs that are written one at a time until they are accepted.
    suspects: BTreeSet<JobId>,
    /// Suspects that were refused when they were written by themselves.
    refused: BTreeSet<JobId>,
    /// Whether the next transaction is to show that the store accepts others.
    needs_proof: bool,
    /// Jobs set apart since the last call, for the log.
    set_apart: Vec<(JobId, String)>,
}

impl Refusals {
    /// Creates an empty list.
    pub const fn new() -> Self {
        Self {
            suspects: BTreeSet::new(),
            refused: BTreeSet::new(),
            needs_proof: false,
            set_apart: Vec::new(),
        }
    }

    /// Returns whether a transaction that writes these rows may have some of a job.
    pub fn allows(&self, job: &JobId, rows: &[RowKey]) -> bool {
        let is_alone = rows.iter().all(|row| job_of(row) == Some(job));
        !self.needs_proof && (self.suspects.is_empty() || is_alone)
    }

    /// Handles the commit of a transaction.
    pub fn on_committed(&mut self, rows: &[RowKey]) {
        self.needs_proof = false;
        for job in rows.iter().filter_map(job_of) {
            self.suspects.remove(job);
            self.refused.remove(job);
        }
    }
}

impl Scheduler {
    /// Returns the jobs that were set apart since the last call, with the reasons.
    pub fn take_set_apart(&mut self) -> Vec<(JobId, String)> {
        std::mem::take(&mut self.refusals.set_apart)
    }

    /// Handles the refusal of a transaction with rows of jobs.
    pub(super) fn on_refused(&mut self, batch: &Batch, reason: &str) {
        self.roll_back(batch);
        let jobs: BTreeSet<JobId> = batch.rows().filter_map(job_of).cloned().collect();
        self.refusals.needs_proof = true;
        let Some(job) = jobs.first().filter(|_| jobs.len() == 1).cloned() else {
            self.refusals.suspects.extend(jobs);
            return;
        };
        self.refusals.suspects.insert(job.clone());
        if !self.refusals.refused.insert(job.clone()) {
            self.set_apart(&job, reason);
        }
    }

    /// Ends a job whose progress can't be stored. Its runs are in no placement any more and are
    /// stopped as orphans.
    fn set_apart(&mut self, id: &JobId, reason: &str) {
        let store_ms = self.store_ms;
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let reason: String = reason.chars().take(MAX_REASON_BYTES / 4).collect();
        let is_refused_again = job.progress.refusal.replace(reason.clone()).is_some();
        job.progress.has_failed = !job.progress.is_cancelled;
        job.progress.ended_store_ms = Some(store_ms);
        let placed: Vec<TaskId> = task_ids(id, &job.progress)
            .into_iter()
            .filter(|task| job.task(task).is_some_and(|it| it.placement.is_some()))
            .collect();
        for task in placed {
            self.clear_placement(&task);
        }
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.progress.has_started = job.progress.has_started();
        job.progress.occurrences.clear();
        job.is_converted = false;
        let parts = std::mem::take(&mut job.parts);
        self.close_if_ended(id);
        self.dirty.remove_job(id);
        self.refusals.suspects.remove(id);
        self.refusals.refused.remove(id);
        if !is_refused_again {
            self.mark_job_dirty(id);
            self.remove_parts(id, parts);
        }
        self.refusals.set_apart.push((id.clone(), reason));
    }
}
