//! Border of the module: how a place for one gang is chosen.

use crate::job::{Assigned, Job, JobKey};
use crate::state::State;
use crate::team::{CellRef, Place};

/// A job that waits for a place.
#[derive(Debug, Clone, Copy)]
pub struct Request<'a> {
    /// Key of the job.
    pub(crate) key: JobKey,
    /// The job.
    pub(crate) job: &'a Job,
}

/// A place for a whole gang.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Accelerators of each task; borrowed work on them is preempted.
    pub(crate) tasks: Vec<Assigned>,
    /// Guarantee cells that become bound.
    pub(crate) binds: Vec<(CellRef, Place)>,
    /// Whether the gang may be preempted.
    pub(crate) is_borrowed: bool,
}

/// What is kept free for a job that has waited too long.
#[derive(Debug, Clone)]
pub enum Aging {
    /// Nothing.
    Nothing,
    /// The team's guarantee: its other jobs only run on borrowed accelerators.
    HoldGuarantee,
    /// These accelerators: no other borrowed work starts on them.
    Reserve(AgedPlaces),
}

/// Accelerators that are kept free for one job.
#[derive(Debug, Clone)]
pub struct AgedPlaces(pub(crate) Vec<Place>);

/// Gangs of a team that are stopped for one of its urgent jobs.
#[derive(Debug, Clone, Default)]
pub struct PreemptedGangs(pub(crate) Vec<JobKey>);

/// Chooses a place for one gang. Decisions depend on the arguments alone.
pub trait PlacementPolicy {
    /// Returns the name for reports.
    fn name(&self) -> &'static str;

    /// Returns a place for the whole gang, or `None` if it has to wait.
    fn plan(&self, request: Request<'_>, state: &State) -> Option<Plan>;

    /// Returns what to keep free for a job that has waited too long.
    fn age(&self, _request: Request<'_>, _state: &State) -> Aging {
        Aging::Nothing
    }

    /// Returns the gangs to stop for an urgent job that found no place; after that
    /// there must be one.
    fn preempt(&self, _request: Request<'_>, _state: &State) -> PreemptedGangs {
        PreemptedGangs::default()
    }
}
