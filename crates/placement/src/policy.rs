//! Interface of placement policies.

use crate::job::{Job, JobKey, TaskAssignment};
use crate::state::State;
use crate::team::{CellRef, Place};

/// A job that waits for placement.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest<'a> {
    pub(crate) key: JobKey,
    pub(crate) job: &'a Job,
}

/// Placement of a whole gang.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Assignment of each task; borrowed work on its accelerators is preempted.
    pub(crate) tasks: Vec<TaskAssignment>,
    /// Guarantee cells to bind, with their accelerators.
    pub(crate) bindings: Vec<(CellRef, Place)>,
    /// Whether the gang runs beyond its team's guarantee.
    pub(crate) is_borrowed: bool,
}

/// Capacity to reserve for an aged job.
#[derive(Debug, Clone)]
pub enum AgedReservation {
    /// No capacity; the job waits without a reservation.
    Nothing,
    /// The team's guarantee: its other non-urgent jobs only run
    /// on borrowed accelerators.
    Guarantee,
    /// These accelerators: no other borrowed work starts on them.
    Places(ReservedPlaces),
}

/// Accelerators that are reserved for an aged job.
#[derive(Debug, Clone)]
pub struct ReservedPlaces(pub(crate) Vec<Place>);

/// Gangs of a team that are stopped for one of its urgent jobs.
#[derive(Debug, Clone, Default)]
pub struct PreemptedGangs(pub(crate) Vec<JobKey>);

/// Chooses the placement of one gang. Decisions depend on the arguments alone.
pub trait PlacementPolicy {
    /// Returns the name used in reports.
    fn name(&self) -> &'static str;

    /// Returns a placement for the whole gang, or `None` if it has to wait.
    fn plan(&self, request: PlacementRequest<'_>, state: &State) -> Option<Plan>;

    /// Returns the capacity to reserve for a job that has waited too long.
    fn reserve_for_aged(&self, _request: PlacementRequest<'_>, _state: &State) -> AgedReservation {
        AgedReservation::Nothing
    }

    /// Returns the gangs to stop for an urgent job that does not fit; after that,
    /// [`plan`](Self::plan) must succeed.
    fn preempt(&self, _request: PlacementRequest<'_>, _state: &State) -> PreemptedGangs {
        PreemptedGangs::default()
    }
}
