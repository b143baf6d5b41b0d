//! Progress of a job: the part of its state that is stored.

use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};

use cumindeck_types::{AgentId, RunNumber, WorkerId};
use serde::{Deserialize, Serialize};

use crate::JobSpec;
use crate::stored_progress::StoredProgress;

/// Maximum length of a checkpoint as a JSON string in bytes.
const MAX_CHECKPOINT_BYTES: usize = 256;

/// Maximum number of earlier failed runs that a task lists.
const MAX_EARLIER_FAILED_RUNS: usize = 16;

/// State of a job as its owner sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// No task has started.
    Queued,
    /// A task has started.
    Running,
    /// All tasks have succeeded.
    Completed,
    /// A task has failed as often as allowed.
    Failed,
    /// The owner cancelled it.
    Cancelled,
}

impl JobState {
    /// Returns whether the job has ended.
    #[must_use]
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}

impl Display for JobState {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Queued => "queued",
            Self::Running => "running",
            Self::Completed => "completed",
            Self::Failed => "failed",
            Self::Cancelled => "cancelled",
        })
    }
}

/// Worker on which a run was placed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// Identifier of the worker, which its later incarnations keep.
    #[serde(rename = "w")]
    pub worker: WorkerId,
    /// Start time of the worker's incarnation in milliseconds since the Unix epoch.
    #[serde(rename = "b")]
    pub started_ms: u64,
    /// Agent of the worker, to which the orders for the run go.
    #[serde(rename = "a")]
    pub agent: AgentId,
}

/// Progress of a task, stored as part of [`JobProgress`].
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct TaskProgress {
    /// Number of its last run; 0 before the first one.
    #[serde(rename = "r")]
    pub run: RunNumber,
    /// Number of runs that failed by themselves or because of the worker; of a gang, the
    /// first member counts the runs in which members fail.
    #[serde(rename = "f", skip_serializing_if = "is_zero")]
    pub failures: u32,
    /// Number of the last run that failed, of a member of a gang; 0 if there is none.
    #[serde(rename = "l", skip_serializing_if = "is_no_run")]
    pub failed_run: RunNumber,
    /// Earlier runs that failed, of a task that is in no gang and ends by itself. The list is
    /// incomplete if there are more than 16.
    #[serde(rename = "m", skip_serializing_if = "Vec::is_empty")]
    pub earlier_failed_runs: Vec<RunNumber>,
    /// Whether a run has succeeded.
    #[serde(rename = "d", skip_serializing_if = "std::ops::Not::not")]
    pub is_done: bool,
    /// Newest checkpoint; empty if there is none.
    #[serde(rename = "s", skip_serializing_if = "String::is_empty")]
    pub checkpoint: String,
    /// Worker that may still run its last run.
    #[serde(rename = "p", skip_serializing_if = "Option::is_none")]
    pub placement: Option<Placement>,
}

impl TaskProgress {
    /// Returns whether the failure of a run has been counted.
    ///
    /// If the list of earlier runs is incomplete, or an earlier version has dropped it, those
    /// before the last one count as failed.
    #[must_use]
    pub fn has_failed_in(&self, run: RunNumber) -> bool {
        let is_complete = self.earlier_failed_runs.len() + 1 == self.failures as usize;
        match is_complete {
            true => run == self.failed_run || self.earlier_failed_runs.contains(&run),
            false => run <= self.failed_run,
        }
    }

    /// Records that a run has failed, and the earlier ones as well if `keeps_earlier`.
    pub fn record_failed_run(&mut self, run: RunNumber, keeps_earlier: bool) {
        let earlier = run.min(self.failed_run);
        self.failed_run = run.max(self.failed_run);
        let has_room = self.earlier_failed_runs.len() < MAX_EARLIER_FAILED_RUNS;
        if keeps_earlier && has_room && !is_no_run(&earlier) {
            self.earlier_failed_runs.push(earlier);
        }
    }

    /// Records a checkpoint; an empty one, or one that is too long to be stored, changes
    /// nothing. Returns whether it is too long.
    pub(crate) fn record_checkpoint(&mut self, checkpoint: &str) -> bool {
        if checkpoint.is_empty() {
            return false;
        }
        let is_too_long = crate::rows::encode(&checkpoint).len() > MAX_CHECKPOINT_BYTES;
        if !is_too_long {
            checkpoint.clone_into(&mut self.checkpoint);
        }
        is_too_long
    }
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
const fn is_zero(value: &u32) -> bool {
    *value == 0
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
fn is_no_run(run: &RunNumber) -> bool {
    *run == RunNumber::default()
}

/// Progress of a step of one occurrence.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StepProgress {
    /// Progress of its tasks, by index.
    pub tasks: Vec<TaskProgress>,
}

impl StepProgress {
    /// Returns whether all tasks have succeeded.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.tasks.iter().all(|task| task.is_done)
    }

    /// Returns the number of failed runs of the gang that the step forms.
    #[must_use]
    pub fn gang_failures(&self) -> u32 {
        self.tasks.iter().map(|task| task.failures).sum()
    }

    /// Returns whether a member of the gang that the step forms has failed in a run.
    #[must_use]
    pub fn has_gang_failed_in(&self, run: RunNumber) -> bool {
        self.tasks.iter().any(|task| task.failed_run >= run)
    }

    /// Converts the failures of a gang that an earlier version has recorded: each member
    /// counted its own.
    ///
    /// As many runs have certainly failed as the member with the most failures counted.
    fn convert_gang_failures(&mut self) {
        let failures = self.tasks.iter().map(|task| task.failures).max();
        let failures = failures.unwrap_or(0);
        if failures == 0 || self.tasks.iter().any(|task| !is_no_run(&task.failed_run)) {
            return;
        }
        let last = self.tasks.iter().map(|task| task.run).max();
        let last = last.unwrap_or_default();
        // While all members are placed, none of them has failed in the last run.
        let is_running = self.tasks.iter().all(|task| task.placement.is_some());
        let failed_run = match is_running {
            true => RunNumber::new(last.get().saturating_sub(1)),
            false => last,
        };
        for (index, task) in self.tasks.iter_mut().enumerate() {
            task.failures = if index == 0 { failures } else { 0 };
            task.failed_run = failed_run;
        }
    }
}

/// Progress of a job.
///
/// It is stored in the job's progress row and, if the job is large or recurs, in rows of parts
/// of its occurrences.
#[derive(Debug, Clone, PartialEq, Eq, Default, Deserialize)]
#[serde(from = "StoredProgress")]
pub struct JobProgress {
    /// Steps of the occurrences that are due, by occurrence. An occurrence of a recurring job
    /// is dropped once it is done; one without steps is stored in parts that are not known
    /// here.
    pub occurrences: BTreeMap<u32, Vec<StepProgress>>,
    /// Number of occurrences that have begun.
    pub begun: u32,
    /// Whether a task was ever started.
    pub has_started: bool,
    /// Whether a task has failed as often as allowed.
    pub has_failed: bool,
    /// Whether the scheduler applied the cancel before the job's end.
    pub is_cancelled: bool,
    /// Store time of the end in milliseconds.
    pub ended_store_ms: Option<u64>,
    /// Why the store has refused the job's progress, after which the job counts as failed.
    pub refusal: Option<String>,
}

impl JobProgress {
    /// Returns whether it has the steps and tasks of the job.
    #[must_use]
    pub fn matches(&self, spec: &JobSpec) -> bool {
        let is_same = |steps: &Vec<StepProgress>| {
            let tasks = steps.iter().map(|step| step.tasks.len());
            tasks.eq(spec.steps.iter().map(|step| step.tasks as usize))
        };
        let is_begun = spec.recurrence.is_some() || self.begun > 0 || self.refusal.is_some();
        let mut numbers = self.occurrences.keys();
        is_begun
            && self.begun <= spec.occurrences()
            && numbers.all(|number| *number < self.begun)
            && self.occurrences.values().all(is_same)
    }

    /// Converts what an earlier version has recorded.
    pub fn convert(&mut self, spec: &JobSpec) {
        for steps in self.occurrences.values_mut() {
            for (step, spec) in steps.iter_mut().zip(&spec.steps) {
                if spec.gang {
                    step.convert_gang_failures();
                }
            }
        }
    }

    /// Adds an occurrence of the job.
    pub fn begin_occurrence(&mut self, spec: &JobSpec) {
        self.occurrences.insert(self.begun, unstarted_steps(spec));
        self.begun += 1;
    }

    /// Returns the steps of the only occurrence that has begun.
    #[must_use]
    pub fn only_occurrence(&self) -> Option<&[StepProgress]> {
        let is_only = self.begun == 1;
        let steps = self.occurrences.get(&0).filter(|_| is_only)?;
        Some(steps)
    }

    /// Returns the state of the job.
    #[must_use]
    pub fn state(&self, spec: &JobSpec) -> JobState {
        if self.is_cancelled {
            return JobState::Cancelled;
        }
        if self.has_failed {
            return JobState::Failed;
        }
        let is_done = |steps: &Vec<StepProgress>| {
            !steps.is_empty() && steps.iter().all(StepProgress::is_done)
        };
        if self.begun == spec.occurrences() && self.occurrences.values().all(is_done) {
            return JobState::Completed;
        }
        match self.has_started() {
            true => JobState::Running,
            false => JobState::Queued,
        }
    }

    /// Returns whether any task was ever started.
    #[must_use]
    pub fn has_started(&self) -> bool {
        self.has_started || self.tasks().any(|task| task.run > RunNumber::default())
    }

    /// Returns all tasks of the occurrences that are due and not dropped.
    pub fn tasks(&self) -> impl Iterator<Item = &TaskProgress> {
        self.occurrences
            .values()
            .flatten()
            .flat_map(|step| &step.tasks)
    }
}

/// Returns the steps of an occurrence of which nothing has started.
pub(crate) fn unstarted_steps(spec: &JobSpec) -> Vec<StepProgress> {
    let steps = spec.steps.iter().map(|step| StepProgress {
        tasks: vec![TaskProgress::default(); step.tasks as usize],
    });
    steps.collect()
}
