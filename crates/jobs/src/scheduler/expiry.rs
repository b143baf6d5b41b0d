//! Removal of the rows of jobs that ended long ago, and of cancels that need not be kept.

use std::collections::BTreeMap;
use std::time::Duration;

use cumindeck_types::{JobId, Uptime};

use super::Scheduler;
use crate::rows::{Change, RowKey};

/// Maximum number of jobs whose rows one transaction removes; with three rows each
/// they leave space for the transaction's other rows.
const MAX_REMOVED_JOBS: usize = 3;

/// Maximum number of cancels of unknown jobs that one transaction removes.
const MAX_REMOVED_CANCELS: usize = 6;

/// Time for which a job is kept after its state need no longer be shown: a caller
/// may repeat a request, and store time is estimated.
const RETENTION_MARGIN: Duration = Duration::from_secs(60);

/// Time for which the id of a removed job is kept: a read of all rows that began
/// before the removal may return the job again.
const REMOVED_RETENTION: Duration = Duration::from_secs(60);

/// Jobs that are being removed.
#[derive(Debug, Default)]
pub(super) struct Expiry {
    /// Jobs whose removal is in the transaction in flight.
    in_flight: Vec<JobId>,
    /// Jobs that were removed, and when.
    removed: BTreeMap<JobId, Uptime>,
}

impl Expiry {
    pub const fn new() -> Self {
        Self {
            in_flight: Vec::new(),
            removed: BTreeMap::new(),
        }
    }

    /// Returns whether a job was removed recently.
    pub fn is_removed(&self, job: &JobId) -> bool {
        self.removed.contains_key(job)
    }

    /// Discards the removals of a transaction that was not committed.
    pub fn roll_back(&mut self) {
        self.in_flight.clear();
    }
}

impl Scheduler {
    /// Returns the changes that remove the rows of jobs which ended long ago, and the cancels
    /// of jobs which were never accepted.
    pub(super) fn remove_expired_jobs(&mut self, store_ms: u64) -> Vec<Change> {
        let retention = self.limits.job_kept + RETENTION_MARGIN;
        let retention_ms = u64::try_from(retention.as_millis()).unwrap_or(u64::MAX);
        let is_over = |(id, job): &(&JobId, &super::Job)| {
            let ended = job.progress.ended_store_ms;
            !self.open.contains(*id)
                && ended.is_some_and(|ended| ended.saturating_add(retention_ms) < store_ms)
        };
        let over = self.jobs.iter().filter(is_over).take(MAX_REMOVED_JOBS);
        let mut changes = Vec::new();
        let mut in_flight = Vec::new();
        for (id, job) in over {
            let mut remove = |key| changes.push(Change { key, value: None });
            remove(RowKey::Job(id.clone()));
            remove(RowKey::Progress(id.clone()));
            if job.has_cancel_row {
                remove(RowKey::Cancel(id.clone()));
            }
            in_flight.push(id.clone());
        }
        self.expiry.in_flight = in_flight;
        let cancels = self.early_cancels.expired(store_ms, MAX_REMOVED_CANCELS);
        changes.extend(cancels.into_iter().map(|job| Change {
            key: RowKey::Cancel(job),
            value: None,
        }));
        changes
    }

    /// Drops the jobs whose rows the committed transaction has removed.
    pub(super) fn drop_removed_jobs(&mut self, now: Uptime) {
        self.expiry
            .removed
            .retain(|_, at| now.since(*at) < REMOVED_RETENTION);
        for id in std::mem::take(&mut self.expiry.in_flight) {
            self.jobs.remove(&id);
            self.dirty.remove_job(&id);
            self.expiry.removed.insert(id, now);
        }
    }
}
