//! Free capacity of the workers during a planning pass.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use cumindeck_types::{AgentId, TeamId, Uptime};

use super::Scheduler;
use super::pending::MAX_REPORT_AGE;
use super::speeds::{SpeedClasses, USUAL_PERCENT, kind_of};
use crate::exchange::WorkerIncarnation;
use crate::model::{JobSpec, LEAST_PERCENT_OF_ESTIMATE, Resources, StepSpec};
use crate::{StepId, TaskId};

/// A run as its worker's capacity counts it.
#[derive(Debug, Clone)]
pub(super) struct PlacedRun {
    resources: Resources,
    is_stopping: bool,
    is_urgent: bool,
    /// Whether it does not end by itself.
    is_lasting: bool,
    has_response_target: bool,
}

impl PlacedRun {
    pub fn new(spec: &JobSpec, step: &StepSpec) -> Self {
        Self {
            resources: step.counted_resources(),
            is_stopping: false,
            is_urgent: spec.priority == 0,
            is_lasting: step.long_running,
            has_response_target: step.target_ms.is_some() && !step.is_best_effort,
        }
    }
}

/// The runs that are placed on a worker, with the resources that they occupy.
///
/// The sums follow each placement, stop and end, so that a pass need not read all runs.
#[derive(Debug, Clone, Default)]
pub(super) struct PlacedRuns {
    runs: BTreeMap<TaskId, PlacedRun>,
    pub used: Resources,
    /// Resources of the runs that are not being stopped.
    used_later: Resources,
    /// Resources of urgent runs.
    urgent: Resources,
    /// Resources of the runs that neither end by themselves nor are being stopped.
    lasting: Resources,
    pub has_response_target: bool,
}

impl PlacedRuns {
    pub fn insert(&mut self, task: TaskId, run: PlacedRun) {
        self.runs.insert(task, run);
        self.update_sums();
    }

    pub fn remove(&mut self, task: &TaskId) {
        self.runs.remove(task);
        self.update_sums();
    }

    pub fn mark_stopping(&mut self, task: &TaskId) {
        if let Some(run) = self.runs.get_mut(task) {
            run.is_stopping = true;
            self.update_sums();
        }
    }

    pub fn tasks(&self) -> impl Iterator<Item = &TaskId> {
        self.runs.keys()
    }

    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    /// Returns the resources of the urgent runs.
    pub const fn urgent(&self) -> &Resources {
        &self.urgent
    }

    fn update_sums(&mut self) {
        self.used = Resources::default();
        self.urgent = Resources::default();
        self.used_later = Resources::default();
        self.lasting = Resources::default();
        self.has_response_target = false;
        for run in self.runs.values() {
            self.used.add(&run.resources);
            self.has_response_target |= run.has_response_target;
            if !run.is_stopping {
                self.used_later.add(&run.resources);
                if run.is_lasting {
                    self.lasting.add(&run.resources);
                }
            }
            if run.is_urgent {
                self.urgent.add(&run.resources);
            }
        }
    }
}

/// A worker that may get tasks.
#[derive(Debug, Clone)]
pub(super) struct Candidate {
    pub agent: AgentId,
    pub incarnation: Arc<WorkerIncarnation>,
    /// Number of different jobs that failed there recently.
    pub failed_jobs: usize,
    /// Whether a run there has made no progress for some time.
    pub is_stalling: bool,
    /// Speed beside the median, as far as it counts.
    pub classes: SpeedClasses,
    /// Whether the worker may drop the ends of its runs.
    pub is_doubted: bool,
    /// Whether a task with a response time target runs there.
    pub has_response_target: bool,
    /// Resources that urgent runs occupy.
    pub urgent: Resources,
    /// Resources of the runs that neither end by themselves nor are being stopped.
    pub lasting: Resources,
    /// Whether it is kept for urgent work.
    pub is_kept: bool,
    /// Time until a large step that has reserved it can start there; only tasks that end
    /// before start there.
    pub reserved_in: Option<Duration>,
    /// Team for whose guarantee runs were stopped there, while it uses the worker and for
    /// a moment after.
    pub lent_to: Option<TeamId>,
    /// Urgent step for which runs are being stopped there; no other one starts there.
    pub held_for: Option<StepId>,
}

/// The workers of a rack.
#[derive(Debug, Clone)]
pub(super) struct Rack {
    pub name: String,
    /// Positions in [`Capacity::workers`].
    pub workers: Vec<usize>,
}

/// The workers that may get tasks, with their free resources.
#[derive(Debug)]
pub(super) struct Capacity {
    pub workers: Vec<Candidate>,
    /// Resources that are free now, by position in `workers`.
    pub free: Vec<Resources>,
    /// Resources that are free once the runs that are being stopped have ended.
    pub free_later: Vec<Resources>,
    /// Racks in the order of their names.
    pub racks: Vec<Rack>,
    /// Positions of all workers.
    pub all: Vec<usize>,
    /// Resources of runs that end by themselves, with their remaining time; `None`
    /// until a step needs them.
    ending: Option<Vec<Vec<(Duration, Resources)>>>,
}

impl Capacity {
    /// Returns the resources of the workers if nothing ran there.
    pub fn empty(&self) -> Vec<Resources> {
        let capacities = self.workers.iter();
        capacities
            .map(|worker| worker.incarnation.capacity)
            .collect()
    }

    /// Returns the resources of the workers once the runs that end by themselves or are
    /// being stopped have ended.
    pub fn beside_lasting(&self) -> Vec<Resources> {
        let mut free = self.empty();
        for (free, worker) in free.iter_mut().zip(&self.workers) {
            free.subtract(&worker.lasting);
        }
        free
    }

    /// Returns the positions of the workers in a rack, or of all workers.
    pub fn positions(&self, rack: Option<usize>) -> &[usize] {
        rack.map_or(&self.all, |rack| &self.racks[rack].workers)
    }

    /// Returns the position of a rack in [`Capacity::racks`].
    pub fn rack(&self, name: &str) -> Option<usize> {
        let found = self
            .racks
            .binary_search_by(|rack| rack.name.as_str().cmp(name));
        found.ok()
    }

    /// Returns the position of an agent's worker.
    pub fn position(&self, agent: &AgentId) -> Option<usize> {
        // The workers are in the order of their agents.
        let found = self
            .workers
            .binary_search_by(|worker| worker.agent.cmp(agent));
        found.ok()
    }

    /// Subtracts the resources of placed tasks from their workers.
    pub fn allocate(&mut self, chosen: &[usize], resources: &Resources) {
        for &at in chosen {
            self.free[at].subtract(resources);
            self.free_later[at].subtract(resources);
        }
    }
}

impl Scheduler {
    /// Returns the workers that may get tasks, with their free resources.
    pub(super) fn capacity(&self, now: Uptime) -> Capacity {
        let mut capacity = Capacity {
            workers: Vec::with_capacity(self.workers.len()),
            free: Vec::with_capacity(self.workers.len()),
            free_later: Vec::with_capacity(self.workers.len()),
            racks: Vec::new(),
            all: Vec::new(),
            ending: None,
        };
        let mut racks: BTreeMap<&str, Vec<usize>> = BTreeMap::new();
        for (agent, worker) in &self.workers {
            let Some(incarnation) = worker
                .worker_incarnation
                .as_ref()
                .filter(|_| worker.has_lists)
            else {
                continue;
            };
            let is_usable = !incarnation.is_draining
                && (!worker.known_ends.is_doubted() || worker.known_ends.is_probing())
                && now.since(worker.last_report) < MAX_REPORT_AGE
                && !self.evacuated.contains(&incarnation.zone)
                && !self.health.is_suspect(now, agent);
            if !is_usable {
                continue;
            }
            let free_beside = |used: &Resources| {
                let mut free = incarnation.capacity;
                free.subtract(used);
                free
            };
            capacity.free.push(free_beside(&worker.placed.used));
            let free_later = free_beside(&worker.placed.used_later);
            capacity.free_later.push(free_later);
            let racks = racks.entry(incarnation.rack()).or_default();
            racks.push(capacity.workers.len());
            capacity.workers.push(Candidate {
                agent: agent.clone(),
                incarnation: Arc::clone(incarnation),
                failed_jobs: self.health.failed_jobs(now, agent),
                is_stalling: worker.is_stalling,
                classes: match self.speed_policy.uses_speeds() {
                    true => self.speeds.classes(agent),
                    false => SpeedClasses::default(),
                },
                is_doubted: worker.known_ends.is_doubted(),
                has_response_target: worker.placed.has_response_target,
                urgent: worker.placed.urgent,
                lasting: worker.placed.lasting,
                is_kept: false,
                reserved_in: None,
                lent_to: None,
                held_for: None,
            });
        }
        let rack = |(name, workers): (&str, Vec<usize>)| Rack {
            name: name.to_owned(),
            workers,
        };
        capacity.racks = racks.into_iter().map(rack).collect();
        capacity.all = (0..capacity.workers.len()).collect();
        capacity
    }

    /// Returns the resources that are free after `limit`, when the stops are over and
    /// more runs have ended by themselves; after no time, none have, even if their progress
    /// says that they are about to.
    pub(super) fn free_within(
        &self,
        now: Uptime,
        capacity: &mut Capacity,
        limit: Duration,
    ) -> Vec<Resources> {
        let mut free = capacity.free_later.clone();
        let workers = &capacity.workers;
        let ending = capacity.ending.get_or_insert_with(|| {
            let of_worker = |worker: &Candidate| self.ending_runs(now, &worker.agent);
            workers.iter().map(of_worker).collect()
        });
        for (free, ending) in free.iter_mut().zip(ending) {
            for (_, resources) in ending.iter().filter(|(left, _)| *left < limit) {
                free.add(resources);
            }
        }
        free
    }

    /// Returns the time until a worker has room for `tasks` tasks, as far as the progress
    /// and the estimates of its runs show it.
    pub(super) fn time_until_room(
        &self,
        now: Uptime,
        capacity: &Capacity,
        at: usize,
        tasks: &Resources,
    ) -> Duration {
        let mut free = capacity.free_later[at];
        let mut ending: Vec<(Duration, Resources)> = self
            .placed_runs(&capacity.workers[at].agent)
            .filter(|(_, placed)| !placed.is_lasting)
            .map(|(task, placed)| (self.least_time_left(now, task), placed.resources))
            .collect();
        ending.sort_unstable_by_key(|(left, _)| *left);
        let mut wait = Duration::ZERO;
        for (left, resources) in ending {
            if free.can_fit(tasks) {
                break;
            }
            free.add(&resources);
            wait = left;
        }
        wait
    }

    /// Returns the time that a run takes at least until it ends by itself.
    fn least_time_left(&self, now: Uptime, task: &TaskId) -> Duration {
        let Some(run) = self.runs.get(task) else {
            return Duration::ZERO;
        };
        if let Some(left) = run.time_left(now) {
            return left;
        }
        let estimate_ms = self.jobs[&task.job].row.spec.steps[task.step as usize].estimate_ms;
        let least = Duration::from_millis(estimate_ms / 100 * LEAST_PERCENT_OF_ESTIMATE);
        let least = least * USUAL_PERCENT / self.speed_of_run(task).max(1);
        least.saturating_sub(now.since(run.active_since.unwrap_or(now)))
    }

    /// Returns the speed of a run's worker in percent of the usual one.
    fn speed_of_run(&self, task: &TaskId) -> u32 {
        let spec = &self.jobs[&task.job].row.spec.steps[task.step as usize];
        let agent = self.placement(task).map(|it| &it.agent);
        agent.map_or(USUAL_PERCENT, |agent| self.speed(agent, kind_of(spec)))
    }

    /// Returns the resources of a worker's runs that end by themselves, with their
    /// remaining time.
    fn ending_runs(&self, now: Uptime, agent: &AgentId) -> Vec<(Duration, Resources)> {
        let ending = self
            .placed_runs(agent)
            .filter(|(_, placed)| !placed.is_lasting);
        ending
            .filter_map(|(task, placed)| {
                let left = self.runs.get(task)?.time_left(now)?;
                Some((left, placed.resources))
            })
            .collect()
    }

    /// Returns the runs on a worker that are not being stopped.
    fn placed_runs(&self, agent: &AgentId) -> impl Iterator<Item = (&TaskId, &PlacedRun)> {
        let worker = self.workers.get(agent).into_iter();
        let placed = worker.flat_map(|worker| worker.placed.runs.iter());
        placed.filter(|(_, placed)| !placed.is_stopping)
    }
}
