//! An entry's copy of the system's rows.

use std::collections::{BTreeMap, BTreeSet};

use cumindeck_types::{JobId, Uptime};

use crate::rows::{Row, RowKey, RowName, StoreRow};
use crate::scheduler::Scheduler;
use crate::stored_progress::ProgressParts;

/// What an entry learns from a reading of rows.
#[derive(Debug, Default)]
pub struct Reading {
    /// Versions and contents of the rows that have changed, in the order in which they are
    /// applied.
    pub rows: Vec<(u64, Row)>,
    /// Rows that can't be decoded, with the reason; the copy keeps their former contents.
    pub invalid: Vec<(RowKey, serde_json::Error)>,
}

/// The system's rows as last read, from which a new leader loads its scheduler.
#[derive(Debug, Default)]
pub struct RowView {
    rows: BTreeMap<RowKey, StoreRow>,
    /// Rows that can't be decoded.
    invalid: BTreeSet<RowKey>,
    version: u64,
}

impl RowView {
    /// Returns the version of the store up to which the copy is complete.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Applies rows that changed up to a version of the store.
    pub fn on_changes(&mut self, rows: Vec<StoreRow>, version: u64) -> Reading {
        let mut reading = Reading::default();
        for stored in rows {
            self.apply(stored, &mut reading);
        }
        self.version = self.version.max(version);
        reading
    }

    /// Applies all rows as of a version of the store.
    ///
    /// Some of the changes since the last reading are known only from what is there now:
    /// a row that is missing was removed, and the rows of a job may come in any order.
    pub fn on_all(&mut self, mut rows: Vec<StoreRow>, version: u64) -> Reading {
        self.invalid.clear();
        let present: BTreeSet<&RowName> = rows.iter().map(|row| &row.name).collect();
        let is_removed = |key: &&RowKey| !present.contains(&RowName::System((*key).clone()));
        let removed: Vec<RowKey> = self.rows.keys().filter(is_removed).cloned().collect();
        rows.extend(removed.into_iter().map(|key| StoreRow {
            name: RowName::System(key),
            version,
            value: None,
        }));
        // Names sort by kind, a job's row before those that need it.
        rows.sort_by(|one, other| one.name.cmp(&other.name));
        self.on_changes(rows, version)
    }

    /// Loads the rows of jobs into a new scheduler, and returns the jobs that it leaves
    /// alone because their progress has other steps or tasks, or can't be decoded.
    pub fn load(&self, scheduler: &mut Scheduler, now: Uptime, store_ms: u64) -> Vec<JobId> {
        let decode = |(key, stored): (&RowKey, &StoreRow)| {
            // Rows that can't be decoded are not in the copy.
            Row::decode(key, stored.value.as_deref()).ok()
        };
        let rows: Vec<Row> = self.rows.iter().filter_map(decode).collect();
        for row in &rows {
            if let Row::Job(job, row) = row {
                scheduler.on_job(now, job.clone(), row.as_ref().clone(), store_ms);
            }
        }
        let mut parts: BTreeMap<&JobId, ProgressParts> = BTreeMap::new();
        for row in &rows {
            if let Row::Part {
                job,
                occurrence,
                part,
                tasks,
            } = row
            {
                let parts = parts.entry(job).or_default();
                parts.insert((*occurrence, *part), tasks.clone());
            }
        }
        // Tasks of a part that can't be decoded would count as not started.
        let is_part_of =
            |key: &RowKey, id: &JobId| matches!(key, RowKey::Part(job, ..) if job == id);
        let has_invalid_part = |id: &JobId| self.invalid.iter().any(|key| is_part_of(key, id));
        let mut ignored = Vec::new();
        for row in &rows {
            if let Row::Progress(job, _) = row
                && has_invalid_part(job)
            {
                scheduler.leave_alone(job);
                ignored.push(job.clone());
            } else if let Row::Progress(job, progress) = row {
                let parts = parts.remove(job).unwrap_or_default();
                if !scheduler.on_stored_progress(now, job, progress.clone(), &parts) {
                    ignored.push(job.clone());
                }
            }
        }
        for row in &rows {
            match row {
                Row::Cancel(job, row) => scheduler.on_cancel(job, row, store_ms),
                Row::Worker(agent, row) => scheduler.on_worker_row(agent, row.clone()),
                Row::Leader(_)
                | Row::Entry(..)
                | Row::Job(..)
                | Row::Progress(..)
                | Row::Part { .. }
                | Row::Removed(_) => {}
            }
        }
        ignored
    }

    fn apply(&mut self, stored: StoreRow, reading: &mut Reading) {
        let RowName::System(key) = stored.name.clone() else {
            return;
        };
        match Row::decode(&key, stored.value.as_deref()) {
            Err(err) => {
                self.invalid.insert(key.clone());
                reading.invalid.push((key, err));
            }
            Ok(row) => {
                self.invalid.remove(&key);
                reading.rows.push((stored.version, row));
                match stored.value {
                    Some(_) => self.rows.insert(key, stored),
                    None => self.rows.remove(&key),
                };
            }
        }
    }
}
