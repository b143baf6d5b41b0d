//! A simulated region with workers that run tasks in simulated time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cumindeck_placement::{
    Effect, Event, GangShape, JobOutcome, JobSpec, Placement, PlacementPolicy, Settings,
    TaskOutcome, TaskPlacement, WorkerSpec,
};
use cumindeck_types::{Attempt, JobId, TeamId, Uptime, WorkerId};

/// Time from a stop order to its confirmation.
const STOP_TIME: Duration = Duration::from_millis(200);

/// Accelerators of the region: 11 workers with 8 each.
const CAPACITY: u32 = 88;

/// Causes of unusable accelerators, in this order: at most as many as one worker has
/// are free; only same-rack gangs need no more than are free, and the accelerators are
/// in racks with too few serving workers, or in other racks; only gangs of whole
/// workers wait; anything else.
pub const CAUSES: [&str; 5] = [
    "little_free_pct",
    "short_racks_pct",
    "split_racks_pct",
    "whole_workers_pct",
    "other_pct",
];

/// Workers that a same-rack gang of the workloads needs.
const RACK_WORKERS: u32 = 3;

/// A job with properties that only the simulation knows.
#[derive(Debug, Clone)]
pub struct SimJob {
    /// Simulated time of the submission.
    pub at: Uptime,
    /// The specification that is submitted.
    pub spec: JobSpec,
    /// Run time that the job needs; work done before a stop counts.
    pub work: Duration,
    /// Time of the cancellation, if any.
    pub cancel_at: Option<Uptime>,
}

/// Durations of a job in simulated time.
#[derive(Debug, Clone, Default)]
pub struct JobResult {
    /// Time from the submission to the first start, if it started.
    pub start_wait: Option<Duration>,
    /// Time from the submission to success, if it succeeded.
    pub completion: Option<Duration>,
}

struct Gang {
    attempt: Attempt,
    since: Uptime,
    tasks: Vec<TaskPlacement>,
}

/// An event scheduled in simulated time.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Planned {
    Input(InputIndex),
    /// The end of an attempt, and whether a stop order caused it.
    End(JobId, Attempt, bool),
}

/// Index of a planned input in `Sim::inputs`.
type InputIndex = usize;

/// A region in simulated time.
pub struct Sim {
    pub placement: Placement,
    pub now: Uptime,
    pub results: BTreeMap<JobId, JobResult>,
    /// Work of succeeded jobs, in accelerator seconds.
    pub completed_work: f64,
    /// Free accelerators while jobs wait, multiplied by seconds.
    pub free_sum: f64,
    /// Free accelerators that no waiting gang can use, multiplied by seconds.
    pub unusable_sum: f64,
    /// [`Sim::unusable_sum`] by cause, in the order of [`CAUSES`].
    pub unusable_by_cause: [f64; CAUSES.len()],
    /// All accelerators while jobs wait, multiplied by seconds.
    pub capacity_sum: f64,
    jobs: BTreeMap<JobId, SimJob>,
    gangs: BTreeMap<JobId, Gang>,
    remaining_work: BTreeMap<JobId, Duration>,
    due: BTreeSet<(Uptime, Planned)>,
    inputs: Vec<Event>,
    /// Worker on which every task fails after a second.
    pub failing_worker: Option<WorkerId>,
}

impl Sim {
    /// Creates a region of 11 workers with 8 accelerators each, in racks of three. The
    /// racks are assigned to the zones in turn.
    pub fn new(policy: Box<dyn PlacementPolicy>, zones: [&str; 3]) -> eyre::Result<Self> {
        let mut sim = Self {
            placement: Placement::new(Settings::default(), policy),
            now: Uptime::ZERO,
            results: BTreeMap::new(),
            completed_work: 0.0,
            free_sum: 0.0,
            unusable_sum: 0.0,
            unusable_by_cause: [0.0; CAUSES.len()],
            capacity_sum: 0.0,
            jobs: BTreeMap::new(),
            gangs: BTreeMap::new(),
            remaining_work: BTreeMap::new(),
            due: BTreeSet::new(),
            inputs: Vec::new(),
            failing_worker: None,
        };
        for i in 0..11 {
            sim.step(Event::WorkerSet(WorkerSpec {
                worker: format!("w{i}").parse()?,
                rack: format!("r{}", i / 3).parse()?,
                // A rack is in one availability zone.
                zone: zones[i / 3 % 3].parse()?,
                accelerators: 8,
            }));
        }
        Ok(sim)
    }

    /// Schedules an input event.
    pub fn schedule(&mut self, at: Uptime, event: Event) {
        self.due.insert((at, Planned::Input(self.inputs.len())));
        self.inputs.push(event);
    }

    /// Schedules the submission of a job and its cancellation, if any.
    pub fn schedule_job(&mut self, job: SimJob) {
        self.schedule(job.at, Event::Submit(job.spec.clone()));
        if let Some(at) = job.cancel_at {
            self.schedule(at, Event::Cancel(job.spec.job.clone()));
        }
        self.remaining_work.insert(job.spec.job.clone(), job.work);
        self.jobs.insert(job.spec.job.clone(), job);
    }

    /// Runs until `end`, or until no event is scheduled.
    pub fn run(&mut self, end: Uptime) {
        loop {
            let due = self.due.first().map(|(at, _)| *at);
            let wakeup = self.placement.next_wakeup();
            let Some(next) = due.into_iter().chain(wakeup).min().filter(|at| *at <= end) else {
                return;
            };
            self.sample(next.since(self.now));
            self.now = self.now.max(next);
            if due != Some(next) {
                self.step(Event::Tick);
                continue;
            }
            match self.due.pop_first() {
                Some((_, Planned::Input(index))) => self.step(self.inputs[index].clone()),
                Some((_, Planned::End(job, attempt, is_stop))) => self.end(&job, attempt, is_stop),
                None => return,
            }
        }
    }

    /// Adds the free accelerators to the sums while jobs wait. They count as unusable if
    /// some waiting gangs need no more than are free, but none of these fits on them.
    fn sample(&mut self, time: Duration) {
        let state = self.placement.state();
        let free = state.free_accelerators(1);
        let mut waiting = state.waiting().map(|spec| spec.gang).peekable();
        if waiting.peek().is_none() {
            return;
        }
        let small_enough: Vec<_> = waiting.filter(|gang| accelerators(*gang) <= free).collect();
        let is_unusable =
            !small_enough.is_empty() && !small_enough.iter().any(|gang| self.fits(*gang));
        self.free_sum += f64::from(free) * time.as_secs_f64();
        self.capacity_sum += f64::from(CAPACITY) * time.as_secs_f64();
        if is_unusable {
            self.unusable_sum += f64::from(free) * time.as_secs_f64();
            let parts = self.unusable_parts(free, &small_enough);
            for (sum, part) in self.unusable_by_cause.iter_mut().zip(parts) {
                *sum += f64::from(part) * time.as_secs_f64();
            }
        }
    }

    /// Divides `free` accelerators that none of the gangs fits on by [`CAUSES`].
    fn unusable_parts(&self, free: u32, gangs: &[GangShape]) -> [u32; CAUSES.len()] {
        let is_whole = |gang: &GangShape| accelerators(*gang) == 8 * gang.tasks;
        match () {
            () if free <= 8 => [free, 0, 0, 0, 0],
            () if gangs.iter().all(|gang| gang.is_same_rack) => {
                let short = self.free_in_short_racks().min(free);
                [0, short, free - short, 0, 0]
            }
            () if gangs.iter().all(is_whole) => [0, 0, 0, free, 0],
            () => [0, 0, 0, 0, free],
        }
    }

    /// Returns the free accelerators in racks with too few serving workers for a gang.
    fn free_in_short_racks(&self) -> u32 {
        let state = self.placement.state();
        let mut racks = BTreeMap::new();
        for worker in state.workers().filter(|worker| worker.is_serving) {
            let taken = worker.used.union(worker.guaranteed).len();
            let (workers, free) = racks.entry(worker.rack).or_insert((0, 0));
            *workers += 1;
            *free += u32::from(worker.accelerators) - taken;
        }
        let short = racks
            .values()
            .filter(|(workers, _)| *workers < RACK_WORKERS);
        short.map(|(_, free)| free).sum()
    }

    /// Returns whether a gang fits on free accelerators; a same-rack gang needs whole
    /// workers.
    fn fits(&self, gang: GangShape) -> bool {
        let state = self.placement.state();
        if !gang.is_same_rack {
            let task = accelerators(gang) / gang.tasks;
            return state.free_accelerators(task as u8) >= accelerators(gang);
        }
        let mut racks = BTreeMap::new();
        for worker in state.workers().filter(|worker| worker.is_serving) {
            let is_free = worker.used.is_empty() && worker.guaranteed.is_empty();
            *racks.entry(worker.rack).or_insert(0) += u32::from(is_free);
        }
        racks.values().any(|free| *free >= gang.tasks)
    }

    pub fn step(&mut self, event: Event) {
        for effect in self.placement.step(self.now, event) {
            match effect {
                Effect::Start {
                    job,
                    attempt,
                    placement,
                    ..
                } => self.start(job, attempt, placement),
                Effect::Stop(job, attempt, _) => {
                    self.due
                        .insert((self.now.plus(STOP_TIME), Planned::End(job, attempt, true)));
                }
                Effect::Ended(job, JobOutcome::Succeeded) => {
                    let sim_job = &self.jobs[&job];
                    let need = f64::from(accelerators(sim_job.spec.gang));
                    self.completed_work += need * sim_job.work.as_secs_f64();
                    let result = self.results.entry(job).or_default();
                    result.completion = Some(self.now.since(sim_job.at));
                }
                _ => {}
            }
        }
    }

    fn start(&mut self, job: JobId, attempt: Attempt, tasks: Vec<TaskPlacement>) {
        let result = self.results.entry(job.clone()).or_default();
        result.start_wait = result
            .start_wait
            .or(Some(self.now.since(self.jobs[&job].at)));
        let is_bad = tasks
            .iter()
            .any(|task| Some(&task.worker) == self.failing_worker.as_ref());
        let time = if is_bad {
            Duration::from_secs(1)
        } else {
            self.remaining_work[&job]
        };
        self.due.insert((
            self.now.plus(time),
            Planned::End(job.clone(), attempt, false),
        ));
        self.gangs.insert(
            job.clone(),
            Gang {
                attempt,
                since: self.now,
                tasks,
            },
        );
        self.due
            .insert((self.now, Planned::Input(self.inputs.len())));
        self.inputs.push(Event::GangRunning(job, attempt));
    }

    fn end(&mut self, job: &JobId, attempt: Attempt, is_stop: bool) {
        if self
            .gangs
            .get(job)
            .is_none_or(|gang| gang.attempt != attempt)
        {
            return;
        }
        let Some(gang) = self.gangs.remove(job) else {
            return;
        };
        if is_stop {
            // The checkpoint keeps the work done until the stop.
            let remaining_work = self.remaining_work.entry(job.clone()).or_default();
            *remaining_work = remaining_work.saturating_sub(self.now.since(gang.since));
        }
        for task in gang.tasks {
            let outcome = match is_stop {
                true => TaskOutcome::Stopped,
                false if Some(&task.worker) == self.failing_worker.as_ref() => TaskOutcome::Failed,
                false => TaskOutcome::Succeeded,
            };
            self.step(Event::TaskEnded(job.clone(), attempt, task.task, outcome));
        }
    }

    /// Returns all jobs with their results.
    pub fn outcomes(&self) -> impl Iterator<Item = (&SimJob, JobResult)> {
        self.jobs
            .iter()
            .map(|(id, job)| (job, self.results.get(id).cloned().unwrap_or_default()))
    }

    /// Cancels all jobs of a team.
    pub fn cancel_team(&mut self, team: &TeamId) {
        let own = self.jobs.values().filter(|job| &job.spec.team == team);
        for job in own.map(|job| job.spec.job.clone()).collect::<Vec<_>>() {
            self.step(Event::Cancel(job));
        }
    }
}

/// Returns the number of accelerators that a gang needs.
pub fn accelerators(gang: GangShape) -> u32 {
    gang.tasks
        * match gang.size {
            cumindeck_placement::TaskSize::Accelerators(n) => u32::from(n),
            cumindeck_placement::TaskSize::Worker => 8,
        }
}
