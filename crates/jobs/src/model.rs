//! Specification of a job.

use std::fmt::{self, Display, Formatter};

use cumindeck_types::TeamId;
use serde::{Deserialize, Serialize};

/// Processors, memory and accelerators of a worker or a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Resources {
    /// Processors in thousandths of a core.
    pub cpu_millis: u64,
    /// Memory in MiB.
    pub memory_mib: u64,
    /// Number of accelerators.
    pub accelerators: u32,
}

impl Resources {
    /// Returns whether a task that needs `task` fits.
    #[must_use]
    pub const fn can_fit(&self, task: &Self) -> bool {
        self.cpu_millis >= task.cpu_millis
            && self.memory_mib >= task.memory_mib
            && self.accelerators >= task.accelerators
    }

    /// Returns how many of `max` equal tasks that need `task` each fit.
    #[must_use]
    pub fn tasks_that_fit(&self, task: &Self, max: usize) -> usize {
        let fit = |free: u64, needed: u64| free.checked_div(needed).unwrap_or(u64::MAX);
        let fit = fit(self.cpu_millis, task.cpu_millis)
            .min(fit(self.memory_mib, task.memory_mib))
            .min(fit(
                u64::from(self.accelerators),
                u64::from(task.accelerators),
            ));
        usize::try_from(fit).map_or(max, |fit| fit.min(max))
    }

    /// Subtracts the resources of a task; no component falls below zero.
    pub const fn subtract(&mut self, task: &Self) {
        self.cpu_millis = self.cpu_millis.saturating_sub(task.cpu_millis);
        self.memory_mib = self.memory_mib.saturating_sub(task.memory_mib);
        self.accelerators = self.accelerators.saturating_sub(task.accelerators);
    }

    /// Adds back the resources of a task; no component exceeds its type's maximum.
    pub const fn add(&mut self, task: &Self) {
        self.cpu_millis = self.cpu_millis.saturating_add(task.cpu_millis);
        self.memory_mib = self.memory_mib.saturating_add(task.memory_mib);
        self.accelerators = self.accelerators.saturating_add(task.accelerators);
    }
}

impl Display for Resources {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}m/{}MiB/{}",
            self.cpu_millis, self.memory_mib, self.accelerators
        )
    }
}

/// Percentage of its estimate that a task needs at least; estimates are often too high.
pub(crate) const LEAST_PERCENT_OF_ESTIMATE: u64 = 70;

/// Multiple of its objective after which a late job has no value any more.
pub(crate) const MAX_OVERDUE_FACTOR: u32 = 3;

/// Maximum number of tasks per job.
pub const MAX_JOB_TASKS: u64 = 10_000;

/// A step: tasks that have the same requirements.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct StepSpec {
    /// Number of tasks.
    #[serde(rename = "n")]
    pub tasks: u32,
    /// Resources of each task.
    #[serde(rename = "r")]
    pub resources: Resources,
    /// Estimated duration of a task in milliseconds.
    #[serde(rename = "e")]
    pub estimate_ms: u64,
    /// Indices of the steps whose tasks must all have succeeded first.
    #[serde(rename = "a", skip_serializing_if = "Vec::is_empty")]
    pub after: Vec<u32>,
    /// Whether the tasks save checkpoints.
    #[serde(rename = "s", skip_serializing_if = "is_false")]
    pub checkpoints: bool,
    /// Whether the tasks run only together, as a gang.
    #[serde(rename = "g", skip_serializing_if = "is_false")]
    pub gang: bool,
    /// Whether the tasks are slow when they are split over racks.
    #[serde(rename = "k", skip_serializing_if = "is_false")]
    pub same_rack: bool,
    /// Label that a worker must have.
    #[serde(rename = "l", skip_serializing_if = "Option::is_none")]
    pub label: Option<String>,
    /// Rack of the data; tasks are slow in any other rack.
    #[serde(rename = "d", skip_serializing_if = "Option::is_none")]
    pub data_rack: Option<String>,
    /// Maximum number of tasks of the step per worker.
    #[serde(rename = "w", skip_serializing_if = "Option::is_none")]
    pub max_per_worker: Option<u32>,
    /// Whether copies of a task may run concurrently.
    #[serde(rename = "c", skip_serializing_if = "is_false")]
    pub allows_speculation: bool,
    /// Whether the tasks run until the job is cancelled.
    #[serde(rename = "u", skip_serializing_if = "is_false")]
    pub long_running: bool,
    /// Whether the tasks are best effort: their processor request is not counted.
    #[serde(rename = "f", skip_serializing_if = "is_false")]
    pub is_best_effort: bool,
    /// Response time target in milliseconds.
    #[serde(rename = "t", skip_serializing_if = "Option::is_none")]
    pub target_ms: Option<u64>,
    /// Maximum number of tasks of a long-running step that may be stopped concurrently.
    #[serde(rename = "m", skip_serializing_if = "Option::is_none")]
    pub max_unavailable: Option<u32>,
}

impl StepSpec {
    /// Returns the resources that a task occupies on its worker.
    #[must_use]
    pub const fn counted_resources(&self) -> Resources {
        let mut resources = self.resources;
        if self.is_best_effort {
            resources.cpu_millis = 0;
        }
        resources
    }
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
const fn is_false(value: &bool) -> bool {
    !*value
}

/// When a recurring job is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Recurrence {
    /// First due time in milliseconds since the Unix epoch.
    pub first_unix_ms: u64,
    /// Time between two occurrences in milliseconds.
    pub interval_ms: u64,
    /// Number of occurrences.
    pub times: u32,
}

/// An accepted job, with the settings that its queue had at that time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Name of its queue.
    pub queue: String,
    /// Team that submitted it.
    pub team: Option<TeamId>,
    /// Service whose workers run it.
    pub service: String,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Number of failed runs after which a task has failed.
    pub max_attempts: u32,
    /// Allowed duration as a percentage of the critical path.
    pub slack_percent: u64,
    /// Allowed duration beyond that in milliseconds.
    pub target_ms: u64,
    /// What the tasks run; only the worker interprets it.
    pub payload: String,
    /// The steps; each depends only on earlier ones.
    pub steps: Vec<StepSpec>,
    /// Schedule of a recurring job.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub recurrence: Option<Recurrence>,
    /// Whether its tasks need tickets of the adviser to start.
    #[serde(default, skip_serializing_if = "is_false")]
    pub needs_tickets: bool,
}

impl JobSpec {
    /// Returns the number of tasks of one occurrence.
    #[must_use]
    pub fn tasks(&self) -> u64 {
        self.steps.iter().map(|step| u64::from(step.tasks)).sum()
    }

    /// Returns the number of accelerators that its widest step needs.
    #[must_use]
    pub fn widest_accelerators(&self) -> u32 {
        let steps = self.steps.iter();
        let needed = steps.map(|step| step.tasks.saturating_mul(step.resources.accelerators));
        needed.max().unwrap_or(0)
    }

    /// Returns the number of occurrences of the job.
    #[must_use]
    pub fn occurrences(&self) -> u32 {
        self.recurrence.map_or(1, |recurrence| recurrence.times)
    }

    /// Returns the estimated duration of the critical path in milliseconds.
    #[must_use]
    pub fn critical_path_ms(&self) -> u64 {
        self.remaining_path_ms(&[])
    }

    /// Returns the estimated duration in milliseconds of the critical path through the
    /// steps that are not done; `is_done` is by step, a missing entry counts as not done.
    #[must_use]
    pub fn remaining_path_ms(&self, is_done: &[bool]) -> u64 {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for (at, step) in self.steps.iter().enumerate() {
            let begin = step
                .after
                .iter()
                .filter_map(|&before| ends.get(before as usize))
                .max();
            let duration = match is_done.get(at) {
                Some(true) => 0,
                Some(false) | None => step.estimate_ms,
            };
            ends.push(begin.copied().unwrap_or(0).saturating_add(duration));
        }
        ends.into_iter().max().unwrap_or(0)
    }

    /// Returns the allowed duration in milliseconds, from the job's acceptance.
    #[must_use]
    pub fn objective_ms(&self) -> u64 {
        let slack = self.critical_path_ms().saturating_mul(self.slack_percent) / 100;
        slack.saturating_add(self.target_ms)
    }
}
