//! Reports on why a job is waiting.

use std::fmt::{self, Display, Formatter};

use cumindeck_types::{JobId, Uptime};

use crate::job::{Job, JobKey, Phase};
use crate::machine::Placement;

/// Maximum number of blocking jobs in a report.
const MAX_BLOCKERS: usize = 8;

/// Whether a job is running, and if not, why.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlacementStatus {
    /// The attempt is running.
    Running,
    /// The attempt is being stopped.
    Stopping,
    /// The accelerators are assigned; these borrowed gangs must end first.
    Reclaiming(Vec<JobId>),
    /// The last attempt failed; the next one may start at this time.
    BackingOff(Uptime),
    /// The job does not fit into the available capacity.
    InsufficientCapacity(InsufficientCapacity),
}

/// Capacity that a waiting job lacks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InsufficientCapacity {
    /// Number of tasks of the job.
    pub tasks: u32,
    /// Number of tasks that fit on free accelerators.
    pub free: u32,
    /// Number of tasks that fit into the unused part of its team's guarantee.
    pub guarantee_left: u32,
    /// Number of tasks that fit into its team's whole guarantee.
    pub guarantee: u32,
    /// Aged job for which the team's guarantee is reserved.
    pub held_for: Option<JobId>,
    /// Aged job for which accelerators are reserved.
    pub reserved_for: Option<JobId>,
    /// Running jobs whose end frees capacity, those of the same
    /// team in its guarantee first.
    pub blockers: Vec<JobId>,
}

impl Placement {
    /// Returns why a job waits and what would free capacity; `None` for an unknown job.
    #[must_use]
    pub fn why(&self, job: &JobId) -> Option<PlacementStatus> {
        let key = *self.state.by_id.get(job)?;
        let job = &self.state.jobs[&key];
        if let Some(run) = &job.run {
            return Some(match run.phase {
                Phase::Started => PlacementStatus::Running,
                Phase::Checkpointing(_) | Phase::Stopping => PlacementStatus::Stopping,
                Phase::Reclaiming => PlacementStatus::Reclaiming(self.jobs_to_wait_for(key)),
            });
        }
        if let Some((at, _)) = self.retries.iter().find(|(_, other)| *other == key) {
            return Some(PlacementStatus::BackingOff(*at));
        }
        Some(PlacementStatus::InsufficientCapacity(
            self.lacking_capacity(key, job),
        ))
    }

    fn job_id(&self, key: JobKey) -> JobId {
        self.state.jobs[&key].spec.job.clone()
    }

    /// Returns the jobs on the accelerators that a reclaiming job waits for.
    fn jobs_to_wait_for(&self, key: JobKey) -> Vec<JobId> {
        let run = self.state.jobs[&key].run.as_ref();
        let mut keys: Vec<_> = run
            .iter()
            .flat_map(|run| &run.tasks)
            .flat_map(|task| {
                let occupants = &self.state.cluster.workers[task.worker].occupants;
                occupants
                    .iter()
                    .filter(|o| o.set.overlaps(task.set))
                    .map(|o| o.job)
            })
            .collect();
        keys.sort_unstable();
        keys.dedup();
        keys.into_iter().map(|key| self.job_id(key)).collect()
    }

    fn lacking_capacity(&self, key: JobKey, job: &Job) -> InsufficientCapacity {
        let (sizes, team) = (self.settings.sizes, self.state.teams.get(&job.spec.team));
        let free_tasks = |place: &crate::team::Place| {
            let free = place
                .set
                .minus(self.state.cluster.workers[place.worker].guaranteed);
            let blocks = free
                .blocks(sizes.worker_class())
                .filter(|block| block.class >= job.class);
            blocks
                .map(|block| 1u32 << (block.class - job.class))
                .sum::<u32>()
        };
        // Number of tasks that fit into the unused part of the bound cells.
        let bound = team.into_iter().flat_map(|team| team.cells.values());
        let bound: u32 = bound
            .flat_map(|cell| cell.places.iter().flatten())
            .map(free_tasks)
            .sum();
        // Number of tasks that fit into the unbound cells; a task of class `c` uses
        // 2^c accelerators.
        let unbound: u32 = team.map_or(0, |team| {
            let demand = team.demand(sizes);
            let racks = demand.racks * sizes.accelerators(cumindeck_types::CellLevel::Rack);
            demand.capacity(job.class) + (racks >> job.class)
        });
        let other = |found: Option<JobKey>| {
            found
                .filter(|other| *other != key)
                .map(|other| self.job_id(other))
        };
        let runs = self
            .state
            .jobs
            .values()
            .filter_map(|other| Some((other, other.run.as_ref()?)));
        let mut blockers: Vec<_> = runs
            .map(|(other, run)| {
                let is_own = other.spec.team == job.spec.team && !run.is_borrowed;
                (
                    !is_own,
                    std::cmp::Reverse(run.accelerators()),
                    other.spec.job.clone(),
                )
            })
            .collect();
        blockers.sort();
        InsufficientCapacity {
            tasks: job.spec.gang.tasks,
            free: self.state.cluster.free.capacity(job.class),
            guarantee_left: bound + unbound,
            guarantee: team.map_or(0, |team| team.capacity(job.class, sizes)),
            held_for: other(team.and_then(|team| team.guarantee_reserved_for)),
            reserved_for: other(self.state.reservation),
            blockers: blockers
                .into_iter()
                .take(MAX_BLOCKERS)
                .map(|(.., job)| job)
                .collect(),
        }
    }
}

impl Display for PlacementStatus {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Running => f.write_str("running"),
            Self::Stopping => f.write_str("stopping"),
            Self::Reclaiming(jobs) => {
                write!(f, "waits until preempted jobs have stopped: {}", list(jobs))
            }
            Self::BackingOff(at) => write!(f, "failed; tried again at {at}"),
            Self::InsufficientCapacity(shortage) => Display::fmt(shortage, f),
        }
    }
}

impl Display for InsufficientCapacity {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let (tasks, free) = (self.tasks, self.free);
        let (left, whole) = (self.guarantee_left, self.guarantee);
        write!(f, "{tasks} tasks; free accelerators hold {free} tasks, ")?;
        write!(f, "the guarantee holds {left} more of {whole}")?;
        if let Some(job) = &self.held_for {
            write!(f, "; the guarantee is kept free for {job}")?;
        }
        if let Some(job) = &self.reserved_for {
            write!(f, "; accelerators are reserved for {job}")?;
        }
        match self.blockers.is_empty() {
            true => Ok(()),
            false => write!(f, "; room is made by the end of: {}", list(&self.blockers)),
        }
    }
}

fn list(jobs: &[JobId]) -> String {
    jobs.iter()
        .map(JobId::as_str)
        .collect::<Vec<_>>()
        .join(", ")
}
