//! State of one pass over the waiting steps.

use super::StepId;
use super::capacity::Capacity;
use super::preempt::Preemptible;

/// State of one pass over the waiting steps.
#[derive(Debug)]
pub(super) struct Pass {
    pub capacity: Capacity,
    /// Runs that urgent jobs may have stopped; `None` until a job needs them.
    pub preemptible: Option<Preemptible>,
    /// Step that has reserved workers; only one does.
    pub reservation: Option<StepId>,
}
