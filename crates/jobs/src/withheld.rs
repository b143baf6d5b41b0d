//! Why a worker gets no tasks although it runs: it may drop the ends of its runs.

use std::fmt::{self, Display, Formatter};

use crate::exchange::EndListing;

/// State of a worker that gets no tasks, or only one that shows whether it lists ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum WithheldState {
    /// It may drop ends; calls to its former incarnation may still arrive.
    Doubted,
    /// The next run that starts there shows whether it lists ends.
    Probing,
    /// An earlier process of its agent has doubted it, or may have called its former
    /// incarnation: the agent and the leader have not agreed on that yet.
    Inherited,
}

impl WithheldState {
    /// All states.
    pub const ALL: [Self; 3] = [Self::Doubted, Self::Probing, Self::Inherited];

    /// Returns the state that follows from an agent's knowledge of its worker; `None` if
    /// the worker gets tasks.
    #[must_use]
    pub const fn of(end_listing: EndListing) -> Option<Self> {
        match end_listing {
            EndListing::Assumed | EndListing::Proven => None,
            EndListing::Doubted => Some(Self::Doubted),
            EndListing::Probing => Some(Self::Probing),
        }
    }

    /// Returns the name of the state in logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Doubted => "doubted",
            Self::Probing => "probing",
            Self::Inherited => "inherited",
        }
    }

    /// Returns the name of the gauge that counts the workers in this state.
    #[must_use]
    pub const fn gauge(self) -> &'static str {
        match self {
            Self::Doubted => "withheld_doubted",
            Self::Probing => "withheld_probing",
            Self::Inherited => "withheld_inherited",
        }
    }
}

impl Display for WithheldState {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}
