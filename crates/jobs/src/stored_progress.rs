//! How the progress of a job is divided into rows that the store accepts.
//!
//! A job of few tasks has one row. The tasks of a large or a recurring job are in rows of
//! [`TASKS_PER_PART`] tasks of an occurrence, its progress row names only the occurrences that
//! are not done. A part of which no task was started has no row.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::model::JobSpec;
use crate::progress::{JobProgress, StepProgress, TaskProgress, unstarted_steps};
use crate::task::TaskId;

/// Number of tasks per row. With names and numbers of the largest legal length a task takes
/// less than 1,100 bytes, and a row less than 48 KiB, which are 64 KiB in base64.
pub(crate) const TASKS_PER_PART: u32 = 40;

/// Parts of the stored progress of a job, by occurrence and part.
pub type ProgressParts = BTreeMap<(u32, u32), Vec<TaskProgress>>;

/// Value of a job's progress row.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct StoredProgress {
    /// Steps of all occurrences that have begun, if none of them is dropped or stored in
    /// parts.
    #[serde(rename = "o")]
    occurrences: Vec<Vec<StepProgress>>,
    /// Number of occurrences that have begun; 0 if `occurrences` has them all.
    #[serde(rename = "n", skip_serializing_if = "is_zero")]
    begun: u32,
    /// Numbers of the occurrences whose tasks are stored in parts.
    #[serde(rename = "v", skip_serializing_if = "Vec::is_empty")]
    unfinished: Vec<u32>,
    #[serde(rename = "q", skip_serializing_if = "std::ops::Not::not")]
    has_started: bool,
    #[serde(rename = "x", skip_serializing_if = "std::ops::Not::not")]
    has_failed: bool,
    #[serde(rename = "c", skip_serializing_if = "std::ops::Not::not")]
    is_cancelled: bool,
    #[serde(rename = "e", skip_serializing_if = "Option::is_none")]
    ended_store_ms: Option<u64>,
    #[serde(rename = "y", skip_serializing_if = "Option::is_none")]
    refusal: Option<String>,
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
const fn is_zero(value: &u32) -> bool {
    *value == 0
}

/// Returns occurrences that match no job.
///
/// An earlier version reads only this field. A leader of it leaves the job alone, and an
/// entry of it shows the job as running.
fn unmatched_occurrences() -> Vec<Vec<StepProgress>> {
    let task = TaskProgress {
        run: cumindeck_types::RunNumber::new(1),
        ..TaskProgress::default()
    };
    vec![vec![StepProgress { tasks: vec![task] }], Vec::new()]
}

impl From<StoredProgress> for JobProgress {
    /// Converts a row; tasks that are stored in parts are added by [`JobProgress::add_parts`].
    fn from(stored: StoredProgress) -> Self {
        let (begun, occurrences) = match stored.begun {
            0 => {
                let begun = u32::try_from(stored.occurrences.len()).unwrap_or(u32::MAX);
                (begun, (0..).zip(stored.occurrences).collect())
            }
            begun => {
                let unfinished = stored.unfinished.into_iter();
                (begun, unfinished.map(|it| (it, Vec::new())).collect())
            }
        };
        Self {
            occurrences,
            begun,
            has_started: stored.has_started,
            has_failed: stored.has_failed,
            is_cancelled: stored.is_cancelled,
            ended_store_ms: stored.ended_store_ms,
            refusal: stored.refusal,
        }
    }
}

impl StoredProgress {
    /// Creates the value of a job's progress row.
    pub fn new(spec: &JobSpec, progress: &JobProgress) -> Self {
        let is_in_parts = is_in_parts(spec) && progress.begun > 0;
        let (occurrences, begun, unfinished) = match is_in_parts {
            true => {
                let unfinished = progress.occurrences.keys().copied().collect();
                (unmatched_occurrences(), progress.begun, unfinished)
            }
            false => {
                let occurrences = progress.occurrences.values().cloned().collect();
                (occurrences, 0, Vec::new())
            }
        };
        Self {
            occurrences,
            begun,
            unfinished,
            has_started: is_in_parts && progress.has_started(),
            has_failed: progress.has_failed,
            is_cancelled: progress.is_cancelled,
            ended_store_ms: progress.ended_store_ms,
            refusal: progress.refusal.clone(),
        }
    }
}

/// Returns whether the tasks of a job are stored in parts.
pub(crate) fn is_in_parts(spec: &JobSpec) -> bool {
    spec.recurrence.is_some() || spec.tasks() > u64::from(TASKS_PER_PART)
}

/// Returns the part of its occurrence in which a task is stored.
pub(crate) fn part_of(spec: &JobSpec, task: &TaskId) -> u32 {
    let earlier = spec.steps.iter().take(task.step as usize);
    let earlier: u32 = earlier.map(|step| step.tasks).sum();
    (earlier + task.index) / TASKS_PER_PART
}

/// Returns the number of parts of an occurrence.
pub(crate) fn parts_of(spec: &JobSpec) -> u32 {
    let tasks = u32::try_from(spec.tasks()).unwrap_or(u32::MAX);
    tasks.div_ceil(TASKS_PER_PART)
}

/// Returns the tasks that a part of an occurrence stores.
pub(crate) fn part_tasks(steps: &[StepProgress], part: u32) -> Vec<&TaskProgress> {
    let tasks = steps.iter().flat_map(|step| &step.tasks);
    let first = part as usize * TASKS_PER_PART as usize;
    tasks.skip(first).take(TASKS_PER_PART as usize).collect()
}

impl JobProgress {
    /// Adds the tasks that are stored in parts; returns whether all parts have as many tasks as
    /// the job. Parts of occurrences that are done are ignored.
    #[must_use]
    pub fn add_parts(&mut self, spec: &JobSpec, parts: &ProgressParts) -> bool {
        let mut is_complete = true;
        for (number, steps) in &mut self.occurrences {
            if !steps.is_empty() || !is_in_parts(spec) {
                continue;
            }
            *steps = unstarted_steps(spec);
            let mut tasks: Vec<&mut TaskProgress> =
                steps.iter_mut().flat_map(|step| &mut step.tasks).collect();
            for ((_, part), stored) in parts.range((*number, 0)..=(*number, u32::MAX)) {
                let first = *part as usize * TASKS_PER_PART as usize;
                let places = tasks.iter_mut().skip(first).take(TASKS_PER_PART as usize);
                is_complete &= places.len() == stored.len();
                for (place, task) in places.zip(stored) {
                    **place = task.clone();
                }
            }
        }
        is_complete
    }
}
