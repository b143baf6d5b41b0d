//! Identifiers of workers' incarnations.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

use cumindeck_types::WorkerId;
use thiserror::Error;

use crate::exchange::WorkerIncarnation;
use crate::progress::Placement;

/// One incarnation of a worker; a worker that starts again under its id is another one.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct IncarnationId {
    /// Identifier of the worker.
    pub worker: WorkerId,
    /// Start time in milliseconds since the Unix epoch.
    pub started_ms: u64,
}

/// A string that is not an incarnation's id.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Error)]
#[error("{0:?} is not an incarnation of a worker; expected WORKER@START_MS")]
pub struct IncarnationIdError(String);

impl Display for IncarnationId {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.worker, self.started_ms)
    }
}

impl FromStr for IncarnationId {
    type Err = IncarnationIdError;

    fn from_str(text: &str) -> Result<Self, IncarnationIdError> {
        let parse = || {
            let (worker, started_ms) = text.split_once('@')?;
            Some(Self {
                worker: worker.parse().ok()?,
                started_ms: started_ms.parse().ok()?,
            })
        };
        parse().ok_or_else(|| IncarnationIdError(text.to_owned()))
    }
}

impl From<&WorkerIncarnation> for IncarnationId {
    fn from(incarnation: &WorkerIncarnation) -> Self {
        Self {
            worker: incarnation.worker.clone(),
            started_ms: incarnation.started_ms,
        }
    }
}

impl From<&Placement> for IncarnationId {
    fn from(placement: &Placement) -> Self {
        Self {
            worker: placement.worker.clone(),
            started_ms: placement.started_ms,
        }
    }
}
