//! Rows of jobs that have to be written.

use std::collections::{BTreeSet, VecDeque};

use cumindeck_types::JobId;

use super::{Job, Scheduler, TaskId};
use crate::rows::{Change, RowKey, encode};
use crate::stored_progress::{StoredProgress, is_in_parts, part_of, part_tasks, parts_of};

/// Rows whose contents have changed since they were last put into a transaction, the one that
/// has waited longest first.
#[derive(Debug, Default)]
pub(super) struct DirtyRows {
    queue: VecDeque<RowKey>,
    queued: BTreeSet<RowKey>,
}

impl DirtyRows {
    /// Creates an empty list.
    pub const fn new() -> Self {
        Self {
            queue: VecDeque::new(),
            queued: BTreeSet::new(),
        }
    }

    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    pub fn contains(&self, key: &RowKey) -> bool {
        self.queued.contains(key)
    }

    pub fn insert(&mut self, key: RowKey) {
        if self.queued.insert(key.clone()) {
            self.queue.push_back(key);
        }
    }

    /// Returns rows to the front of the list, in their order.
    pub fn put_back(&mut self, keys: Vec<RowKey>) {
        for key in keys.into_iter().rev() {
            if self.queued.insert(key.clone()) {
                self.queue.push_front(key);
            }
        }
    }

    /// Removes and returns the row that has waited longest.
    pub fn take_first(&mut self) -> Option<RowKey> {
        let key = self.queue.pop_front()?;
        self.queued.remove(&key);
        Some(key)
    }

    /// Returns whether a part of a job is in the list for which `is_stored` holds.
    pub fn has_part(&self, job: &JobId, is_stored: impl Fn(u32) -> bool) -> bool {
        let parts = RowKey::Part(job.clone(), 0, 0)..=RowKey::Part(job.clone(), u32::MAX, u32::MAX);
        let mut parts = self.queued.range(parts);
        parts.any(|key| matches!(key, RowKey::Part(_, occurrence, _) if is_stored(*occurrence)))
    }

    /// Removes the rows of a job.
    pub fn remove_job(&mut self, job: &JobId) {
        let is_other = |key: &RowKey| job_of(key) != Some(job);
        self.queue.retain(is_other);
        self.queued.retain(is_other);
    }
}

/// Returns the job that a row belongs to.
pub(super) const fn job_of(key: &RowKey) -> Option<&JobId> {
    match key {
        RowKey::Job(job) | RowKey::Cancel(job) | RowKey::Progress(job) | RowKey::Part(job, ..) => {
            Some(job)
        }
        RowKey::Leader | RowKey::Entry(_) | RowKey::Worker(_) => None,
    }
}

impl Job {
    /// Returns the row in which a task is stored.
    pub(super) fn row_of(&self, task: &TaskId) -> RowKey {
        match is_in_parts(&self.row.spec) {
            true => {
                let part = part_of(&self.row.spec, task);
                RowKey::Part(task.job.clone(), task.occurrence, part)
            }
            false => RowKey::Progress(task.job.clone()),
        }
    }

    /// Returns the rows of all members of a task's gang; none if it is in no gang.
    pub(super) fn gang_rows(&self, task: &TaskId) -> Vec<RowKey> {
        let step = &self.row.spec.steps[task.step as usize];
        if !step.gang {
            return Vec::new();
        }
        let member = |index| {
            self.row_of(&TaskId {
                index,
                ..task.clone()
            })
        };
        match (member(0), member(step.tasks.saturating_sub(1))) {
            (RowKey::Part(job, occurrence, first), RowKey::Part(_, _, last)) => (first..=last)
                .map(|part| RowKey::Part(job.clone(), occurrence, part))
                .collect(),
            (row, _) => vec![row],
        }
    }

    /// Returns the parts of the occurrences that are not done and of which a task was started.
    pub(super) fn started_parts(&self) -> Vec<(u32, u32)> {
        if !is_in_parts(&self.row.spec) {
            return Vec::new();
        }
        let is_started = |steps: &[_], part| {
            let tasks = part_tasks(steps, part);
            tasks.iter().any(|task| **task != Default::default())
        };
        let mut parts = Vec::new();
        for (occurrence, steps) in &self.progress.occurrences {
            let started = (0..parts_of(&self.row.spec)).filter(|part| is_started(steps, *part));
            parts.extend(started.map(|part| (*occurrence, part)));
        }
        parts
    }
}

impl Scheduler {
    /// Has the row of a task written.
    pub(super) fn mark_task_dirty(&mut self, task: &TaskId) {
        if let Some(job) = self.jobs.get(&task.job) {
            self.dirty.insert(job.row_of(task));
        }
    }

    /// Has the progress row of a job written.
    pub(super) fn mark_job_dirty(&mut self, id: &JobId) {
        self.dirty.insert(RowKey::Progress(id.clone()));
    }

    /// Returns the change that brings a row of a job up to date.
    pub(super) fn row_change(&self, key: &RowKey) -> Option<Change> {
        let job = self.jobs.get(job_of(key)?)?;
        let value = match key {
            RowKey::Part(_, occurrence, part) => {
                let steps = job.progress.occurrences.get(occurrence);
                steps.map(|steps| encode(&part_tasks(steps, *part)))
            }
            _ => Some(encode(&StoredProgress::new(&job.row.spec, &job.progress))),
        };
        Some(Change {
            key: key.clone(),
            value,
        })
    }

    /// Drops an occurrence of a recurring job that is done, and all of a large or recurring
    /// job that has ended, once no run of them is placed.
    pub(super) fn drop_ended(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if !is_in_parts(&job.row.spec) {
            return;
        }
        let is_final = job.state().is_final();
        let is_ended = |steps: &Vec<crate::progress::StepProgress>| {
            let mut tasks = steps.iter().flat_map(|step| &step.tasks);
            tasks.all(|task| (is_final || task.is_done) && task.placement.is_none())
        };
        let occurrences = job.progress.occurrences.iter();
        let ended = occurrences.filter(|(_, steps)| is_ended(steps));
        let ended: Vec<u32> = ended.map(|(number, _)| *number).collect();
        if ended.is_empty() {
            return;
        }
        job.progress.has_started = job.progress.has_started();
        for number in &ended {
            job.progress.occurrences.remove(number);
        }
        job.ready_since.retain(|(of, _), _| !ended.contains(of));
        job.retry_at.retain(|(of, _), _| !ended.contains(of));
        job.failed_on
            .retain(|task, _| !ended.contains(&task.occurrence));
        job.moves.retain(|(of, _), _| !ended.contains(of));
        job.stops_of
            .retain(|task, _| !ended.contains(&task.occurrence));
        job.stops_for.retain(|(of, _), _| !ended.contains(of));
        job.probes
            .retain(|task, _| !ended.contains(&task.occurrence));
        let parts = std::mem::take(&mut job.parts);
        let (removed, kept) = parts.into_iter().partition(|(of, _)| ended.contains(of));
        job.parts = kept;
        // The row that names the unfinished occurrences goes first.
        self.mark_job_dirty(id);
        self.remove_parts(id, removed);
    }

    /// Has the rows of parts removed.
    pub(super) fn remove_parts(&mut self, id: &JobId, parts: BTreeSet<(u32, u32)>) {
        for (occurrence, part) in parts {
            self.dirty
                .insert(RowKey::Part(id.clone(), occurrence, part));
        }
    }
}
