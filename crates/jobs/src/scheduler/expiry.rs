//! Removal of the rows of jobs that ended long ago.

use std::collections::BTreeMap;
use std::time::Duration;

use cumindeck_types::{JobId, Uptime};

use super::Scheduler;
use crate::rows::{Change, RowKey};

/// Jobs whose rows a transaction removes; with three rows each they leave room
/// for the other rows of a transaction.
const MAX_REMOVED: usize = 5;

/// Time for which a job stays beyond the time for which its state is shown:
/// a caller may repeat a request, and store time is estimated.
const MARGIN: Duration = Duration::from_secs(60);

/// Time for which a removed job is remembered: a read of all rows that began
/// before the removal may bring it again.
const MEMORY: Duration = Duration::from_secs(60);

/// Jobs that are being removed.
#[derive(Debug, Default)]
pub(super) struct Expiry {
    /// Jobs whose removal is in the transaction on its way.
    in_flight: Vec<JobId>,
    /// Jobs that were removed, and when.
    removed: BTreeMap<JobId, Uptime>,
}

impl Expiry {
    /// Makes the state of a scheduler that has removed nothing.
    pub const fn new() -> Self {
        Self {
            in_flight: Vec::new(),
            removed: BTreeMap::new(),
        }
    }

    /// Tells whether a job was removed lately.
    pub fn is_removed(&self, job: &JobId) -> bool {
        self.removed.contains_key(job)
    }

    /// Notes that the transaction on its way did not take place.
    pub fn undo(&mut self) {
        self.in_flight.clear();
    }
}

impl Scheduler {
    /// Returns the changes that remove the rows of jobs which ended long ago.
    pub(super) fn expire_jobs(&mut self, store_ms: u64) -> Vec<Change> {
        let kept = self.limits.job_kept + MARGIN;
        let kept_ms = u64::try_from(kept.as_millis()).unwrap_or(u64::MAX);
        let is_over = |(id, job): &(&JobId, &super::Job)| {
            let ended = job.progress.ended_store_ms;
            !self.open.contains(*id)
                && ended.is_some_and(|ended| ended.saturating_add(kept_ms) < store_ms)
        };
        let over = self.jobs.iter().filter(is_over).take(MAX_REMOVED);
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
        changes
    }

    /// Forgets the jobs whose rows the transaction on its way has removed.
    pub(super) fn forget_expired(&mut self, now: Uptime) {
        self.expiry.removed.retain(|_, at| now.since(*at) < MEMORY);
        for id in std::mem::take(&mut self.expiry.in_flight) {
            self.jobs.remove(&id);
            self.dirty.remove(&id);
            self.expiry.removed.insert(id, now);
        }
    }
}
