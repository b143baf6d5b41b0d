//! What a job asks for.

use std::fmt::{self, Display, Formatter};

use cumindeck_types::TeamId;
use serde::{Deserialize, Serialize};

/// Processors, memory and accelerators, of a worker or a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Room {
    /// Processors in thousandths of a core.
    pub cpu_millis: u64,
    /// Memory in MiB.
    pub memory_mib: u64,
    /// Accelerators.
    pub accelerators: u32,
}

impl Room {
    /// Tells whether `task` fits.
    #[must_use]
    pub const fn holds(&self, task: &Self) -> bool {
        self.cpu_millis >= task.cpu_millis
            && self.memory_mib >= task.memory_mib
            && self.accelerators >= task.accelerators
    }

    /// Takes the room of a task; what is missing counts as zero.
    pub const fn take(&mut self, task: &Self) {
        self.cpu_millis = self.cpu_millis.saturating_sub(task.cpu_millis);
        self.memory_mib = self.memory_mib.saturating_sub(task.memory_mib);
        self.accelerators = self.accelerators.saturating_sub(task.accelerators);
    }

    /// Gives the room of a task back.
    pub const fn give(&mut self, task: &Self) {
        self.cpu_millis += task.cpu_millis;
        self.memory_mib += task.memory_mib;
        self.accelerators += task.accelerators;
    }
}

impl Display for Room {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}m/{}MiB/{}",
            self.cpu_millis, self.memory_mib, self.accelerators
        )
    }
}

/// A step: tasks that are alike.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct StepSpec {
    /// Number of tasks.
    #[serde(rename = "n")]
    pub tasks: u32,
    /// Room of each task.
    #[serde(rename = "r")]
    pub room: Room,
    /// Rough duration of a task in milliseconds.
    #[serde(rename = "e")]
    pub estimate_ms: u64,
    /// Steps whose tasks must all have succeeded first.
    #[serde(rename = "a", skip_serializing_if = "Vec::is_empty")]
    pub after: Vec<u32>,
    /// Whether the tasks save their progress.
    #[serde(rename = "s", skip_serializing_if = "is_false")]
    pub checkpoints: bool,
    /// Whether the tasks run only together.
    #[serde(rename = "g", skip_serializing_if = "is_false")]
    pub gang: bool,
    /// Whether the tasks are slow on more than one rack.
    #[serde(rename = "k", skip_serializing_if = "is_false")]
    pub same_rack: bool,
    /// Label that a worker must have.
    #[serde(rename = "l", skip_serializing_if = "Option::is_none")]
    pub label: Option<String>,
    /// Rack of the data; tasks are slow on any other one.
    #[serde(rename = "d", skip_serializing_if = "Option::is_none")]
    pub data_rack: Option<String>,
    /// Most tasks of the step on one worker.
    #[serde(rename = "w", skip_serializing_if = "Option::is_none")]
    pub max_per_worker: Option<u32>,
    /// Whether copies of a task may run at the same time.
    #[serde(rename = "c", skip_serializing_if = "is_false")]
    pub copies: bool,
    /// Whether the tasks run until the job is cancelled.
    #[serde(rename = "u", skip_serializing_if = "is_false")]
    pub long_running: bool,
    /// Whether the processors asked for are not counted.
    #[serde(rename = "f", skip_serializing_if = "is_false")]
    pub fills: bool,
    /// Response time in milliseconds that the tasks must keep.
    #[serde(rename = "t", skip_serializing_if = "Option::is_none")]
    pub target_ms: Option<u64>,
    /// Most tasks of a long-running step that the system may take away at once.
    #[serde(rename = "m", skip_serializing_if = "Option::is_none")]
    pub max_unavailable: Option<u32>,
}

impl StepSpec {
    /// Returns the room that a task takes from a worker.
    #[must_use]
    pub const fn counted_room(&self) -> Room {
        let mut room = self.room;
        if self.fills {
            room.cpu_millis = 0;
        }
        room
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

/// A job as it was accepted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Name of its queue.
    pub queue: String,
    /// Team that handed it in.
    pub team: Option<TeamId>,
    /// Service whose workers run it.
    pub service: String,
    /// Priority; 0 comes first.
    pub priority: u32,
    /// Failed runs after which a task has failed.
    pub max_attempts: u32,
    /// Allowed duration as a multiple of the longest chain of work, in percent.
    pub slack_percent: u64,
    /// Allowed duration beyond that, in milliseconds.
    pub target_ms: u64,
    /// What the tasks run.
    pub payload: String,
    /// The steps.
    pub steps: Vec<StepSpec>,
    /// When it recurs, if it does.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub recurrence: Option<Recurrence>,
    /// Whether its tasks start only with tickets of the adviser.
    #[serde(default, skip_serializing_if = "is_false")]
    pub needs_tickets: bool,
}

impl JobSpec {
    /// Returns the number of times that the steps run.
    #[must_use]
    pub fn occurrences(&self) -> u32 {
        self.recurrence.map_or(1, |recurrence| recurrence.times)
    }

    /// Returns the estimated duration of the longest chain of steps in milliseconds.
    #[must_use]
    pub fn chain_ms(&self) -> u64 {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let begin = step
                .after
                .iter()
                .filter_map(|&before| ends.get(before as usize))
                .max();
            ends.push(begin.copied().unwrap_or(0) + step.estimate_ms);
        }
        ends.into_iter().max().unwrap_or(0)
    }

    /// Returns the allowed duration in milliseconds.
    #[must_use]
    pub fn objective_ms(&self) -> u64 {
        self.chain_ms() * self.slack_percent / 100 + self.target_ms
    }
}
