//! Cancels of jobs that are not known.
//!
//! The write of a submission that has no answer may be done seconds later, after the job was
//! cancelled. The row of the cancel makes such a write void: a job is accepted only if there is
//! none.

use std::collections::BTreeMap;
use std::time::Duration;

use cumindeck_types::JobId;

/// Time for which the cancel of an unknown job is kept.
///
/// It exceeds the age of the oldest write of a submission that may still be done: an entry
/// sends none that it has decided more than [`MAX_WRITE_AGE`] ago, and the store performs a
/// call without an answer within seconds.
pub(crate) const RETENTION: Duration = Duration::from_secs(60);

/// Maximum time from an entry's decision to the write of it, also if the process was paused.
pub const MAX_WRITE_AGE: Duration = Duration::from_secs(10);

/// Number of cancels of unknown jobs from which an entry adds no further one. They are removed
/// at a rate of 24 a second, so that this many are gone soon after their time.
const MAX_EARLY_CANCELS: usize = 2_000;

/// Cancels of unknown jobs, with the store time from which they are kept, in milliseconds.
#[derive(Debug, Default)]
pub(crate) struct EarlyCancels {
    cancels: BTreeMap<JobId, u64>,
}

impl EarlyCancels {
    /// Creates an empty list.
    pub const fn new() -> Self {
        Self {
            cancels: BTreeMap::new(),
        }
    }

    /// Adds the cancel of an unknown job. A time that is missing or not over yet comes from
    /// another clock or another writer, and counts as `store_ms`.
    pub fn insert(&mut self, job: JobId, cancelled_store_ms: Option<u64>, store_ms: u64) {
        let since = cancelled_store_ms.unwrap_or(store_ms).min(store_ms);
        self.cancels.entry(job).or_insert(since);
    }

    /// Removes the cancel of a job that is known now or whose row is gone; returns whether
    /// there was one.
    pub fn remove(&mut self, job: &JobId) -> bool {
        self.cancels.remove(job).is_some()
    }

    /// Returns up to `max` jobs whose cancels need no longer be kept.
    pub fn expired(&self, store_ms: u64, max: usize) -> Vec<JobId> {
        let is_over = |since: u64| since.saturating_add(retention_ms()) < store_ms;
        let expired = self.cancels.iter().filter(|(_, since)| is_over(**since));
        expired.take(max).map(|(job, _)| job.clone()).collect()
    }

    /// Returns the time until the first of them is removed, if there is no room for another.
    pub fn full_for(&self, store_ms: u64) -> Option<Duration> {
        if self.cancels.len() < MAX_EARLY_CANCELS {
            return None;
        }
        let oldest = self.cancels.values().min()?;
        let until = oldest.saturating_add(retention_ms());
        Some(Duration::from_millis(until.saturating_sub(store_ms)))
    }
}

fn retention_ms() -> u64 {
    u64::try_from(RETENTION.as_millis()).unwrap_or(u64::MAX)
}
