//! A simulated region: workers that run tasks in virtual time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cumindeck_placement::{
    Effect, Event, GangShape, JobOutcome, JobSpec, Placement, PlacementPolicy, Settings,
    TaskOutcome, TaskPlacement, WorkerSpec,
};
use cumindeck_types::{Attempt, JobId, TeamId, Uptime, WorkerId};

/// Time from the order to stop to its confirmation.
const STOP_TIME: Duration = Duration::from_millis(200);

/// Accelerators of a user's region.
const CAPACITY: u32 = 88;

/// Causes of unusable accelerators: at most a worker's worth is free; only gangs in
/// one rack are small enough, and the accelerators are in racks with too few serving
/// workers, or in other racks; only gangs of whole workers wait; anything else.
pub const CAUSES: [&str; 5] = [
    "little_free_pct",
    "short_racks_pct",
    "split_racks_pct",
    "whole_workers_pct",
    "other_pct",
];

/// Workers that a gang in one rack needs in the workloads.
const RACK_WORKERS: u32 = 3;

/// A job with what only the simulation knows.
#[derive(Debug, Clone)]
pub struct SimJob {
    /// When it is submitted.
    pub at: Uptime,
    /// What is submitted.
    pub spec: JobSpec,
    /// How long it really runs.
    pub work: Duration,
    /// When it is cancelled.
    pub cancel_at: Option<Uptime>,
}

/// How a job fared.
#[derive(Debug, Clone, Default)]
pub struct JobResult {
    /// Time from the submission to the first start.
    pub start_wait: Option<Duration>,
    /// Time from the submission to the end.
    pub completion: Option<Duration>,
}

struct Gang {
    attempt: Attempt,
    since: Uptime,
    tasks: Vec<TaskPlacement>,
}

/// What happens next in virtual time.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Input(InputIndex),
    End(JobId, Attempt, bool),
}

/// Index of a planned input.
type InputIndex = usize;

/// A region in virtual time.
pub struct Sim {
    pub placement: Placement,
    pub now: Uptime,
    pub results: BTreeMap<JobId, JobResult>,
    /// Accelerator seconds of work that was not lost.
    pub completed_work: f64,
    /// Accelerators that are free, summed over the samples.
    pub free_sum: f64,
    /// Free accelerators that no waiting gang can use, summed over the samples.
    pub unusable_sum: f64,
    /// The same by cause, in the order of [`CAUSES`].
    pub unusable_by_cause: [f64; CAUSES.len()],
    /// All accelerators, summed over the samples.
    pub capacity_sum: f64,
    jobs: BTreeMap<JobId, SimJob>,
    gangs: BTreeMap<JobId, Gang>,
    left: BTreeMap<JobId, Duration>,
    due: BTreeSet<(Uptime, Due)>,
    inputs: Vec<Event>,
    /// Worker on which every task fails after a second.
    pub bad_worker: Option<WorkerId>,
}

impl Sim {
    /// Makes a region of 11 workers with 8 accelerators in racks of three, zones in turn.
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
            left: BTreeMap::new(),
            due: BTreeSet::new(),
            inputs: Vec::new(),
            bad_worker: None,
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

    /// Plans an event.
    pub fn plan(&mut self, at: Uptime, event: Event) {
        self.due.insert((at, Due::Input(self.inputs.len())));
        self.inputs.push(event);
    }

    /// Plans a job.
    pub fn plan_job(&mut self, job: SimJob) {
        self.plan(job.at, Event::Submit(job.spec.clone()));
        if let Some(at) = job.cancel_at {
            self.plan(at, Event::Cancel(job.spec.job.clone()));
        }
        self.left.insert(job.spec.job.clone(), job.work);
        self.jobs.insert(job.spec.job.clone(), job);
    }

    /// Runs until `end`, or until nothing is left to do.
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
                Some((_, Due::Input(index))) => self.step(self.inputs[index].clone()),
                Some((_, Due::End(job, attempt, is_stop))) => self.end(&job, attempt, is_stop),
                None => return,
            }
        }
    }

    /// Adds up the free accelerators while jobs wait. They count as unusable if a
    /// waiting gang needs no more than are free, but no waiting gang fits on them.
    fn sample(&mut self, time: Duration) {
        let state = self.placement.state();
        let free = state.free_accelerators(1);
        let mut waiting = state.waiting().map(|spec| spec.gang).peekable();
        if waiting.peek().is_none() {
            return;
        }
        let in_count: Vec<_> = waiting.filter(|gang| accelerators(*gang) <= free).collect();
        let is_unusable = !in_count.is_empty() && !in_count.iter().any(|gang| self.fits(*gang));
        self.free_sum += f64::from(free) * time.as_secs_f64();
        self.capacity_sum += f64::from(CAPACITY) * time.as_secs_f64();
        if is_unusable {
            self.unusable_sum += f64::from(free) * time.as_secs_f64();
            let parts = self.unusable_parts(free, &in_count);
            for (sum, part) in self.unusable_by_cause.iter_mut().zip(parts) {
                *sum += f64::from(part) * time.as_secs_f64();
            }
        }
    }

    /// Splits `free` accelerators that none of the gangs fits on by [`CAUSES`].
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

    /// Returns the free accelerators in racks that no gang in one rack fits into.
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

    /// Tells whether a gang fits on free accelerators; one in a rack has whole workers.
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
                        .insert((self.now.plus(STOP_TIME), Due::End(job, attempt, true)));
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
            .any(|task| Some(&task.worker) == self.bad_worker.as_ref());
        let time = if is_bad {
            Duration::from_secs(1)
        } else {
            self.left[&job]
        };
        self.due
            .insert((self.now.plus(time), Due::End(job.clone(), attempt, false)));
        self.gangs.insert(
            job.clone(),
            Gang {
                attempt,
                since: self.now,
                tasks,
            },
        );
        self.due.insert((self.now, Due::Input(self.inputs.len())));
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
            // The checkpoint keeps what was done up to the stop.
            let left = self.left.entry(job.clone()).or_default();
            *left = left.saturating_sub(self.now.since(gang.since));
        }
        for task in gang.tasks {
            let outcome = match is_stop {
                true => TaskOutcome::Stopped,
                false if Some(&task.worker) == self.bad_worker.as_ref() => TaskOutcome::Failed,
                false => TaskOutcome::Succeeded,
            };
            self.step(Event::TaskEnded(job.clone(), attempt, task.task, outcome));
        }
    }

    /// Returns the teams' jobs with their results.
    pub fn outcomes(&self) -> impl Iterator<Item = (&SimJob, JobResult)> {
        self.jobs
            .iter()
            .map(|(id, job)| (job, self.results.get(id).cloned().unwrap_or_default()))
    }

    /// Cancels a team's jobs.
    pub fn cancel_team(&mut self, team: &TeamId) {
        let own = self.jobs.values().filter(|job| &job.spec.team == team);
        for job in own.map(|job| job.spec.job.clone()).collect::<Vec<_>>() {
            self.step(Event::Cancel(job));
        }
    }
}

/// Returns the accelerators of a gang.
pub fn accelerators(gang: GangShape) -> u32 {
    gang.tasks
        * match gang.size {
            cumindeck_placement::TaskSize::Accelerators(n) => u32::from(n),
            cumindeck_placement::TaskSize::Worker => 8,
        }
}
