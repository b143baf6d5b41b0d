//! Decisions, as the log tells them.

use std::fmt::{self, Display, Formatter};

use cumindeck_types::{AgentId, RunNumber};

use crate::TaskId;

/// What was decided on a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DecisionKind {
    /// It starts.
    Start,
    /// It is stopped.
    Stop,
    /// It has ended, as its worker lists it.
    End,
    /// It did not start.
    NotStarted,
    /// It is counted as ended, since its worker's lease or life is over.
    Lost,
}

impl DecisionKind {
    /// Returns the name of the kind.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Start => "start",
            Self::Stop => "stop",
            Self::End => "end",
            Self::NotStarted => "not-started",
            Self::Lost => "lost",
        }
    }
}

impl Display for DecisionKind {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// A decision on a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Decision {
    /// What was decided.
    pub kind: DecisionKind,
    /// Task.
    pub task: TaskId,
    /// Its run.
    pub run: RunNumber,
    /// Agent of the worker that is concerned.
    pub agent: Option<AgentId>,
    /// What it rests on.
    pub reason: String,
}
