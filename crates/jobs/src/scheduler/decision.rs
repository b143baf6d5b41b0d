//! Scheduling decisions, for the log.

use std::fmt::{self, Display, Formatter};

use cumindeck_types::{AgentId, RunNumber};

use crate::{IncarnationId, TaskId};

/// What was decided on a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DecisionKind {
    /// The run was placed on a worker and is to start.
    Start,
    /// The run is stopped.
    Stop,
    /// The run has ended; its worker lists the end.
    End,
    /// The run did not start.
    NotStarted,
    /// The run counts as ended: the lease or the incarnation of its worker is over.
    Lost,
    /// The run counts as placed on the next incarnation of its worker, which may have got it.
    Moved,
    /// The step of the task waits and has reserved workers.
    Reserve,
}

impl DecisionKind {
    /// Returns the name of the kind in logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Start => "start",
            Self::Stop => "stop",
            Self::End => "end",
            Self::NotStarted => "not-started",
            Self::Lost => "lost",
            Self::Moved => "moved",
            Self::Reserve => "reserve",
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
    /// Task whose run it concerns.
    pub task: TaskId,
    /// Number of the run; tasks of a gang that run together share it.
    pub run: RunNumber,
    /// Agent of the worker, if the decision concerns one.
    pub agent: Option<AgentId>,
    /// Incarnation of that worker: the one on which the run is placed, or, for an end, the
    /// one that lists it.
    pub incarnation: Option<IncarnationId>,
    /// Reason, as free text for operators.
    pub reason: String,
}
