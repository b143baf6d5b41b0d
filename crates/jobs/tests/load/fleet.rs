//! A model of agents and workers that carries out the scheduler's orders, for replays
//! of load patterns in simulated time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cumindeck_jobs::{
    AgentReport, Decision, DecisionKind, EndListing, EndReport, JobRow, LeaderRow, LearnedSpeed,
    Order, Resources, RunEnd, RunReport, RunState, Scheduler, StoreResult, TaskId,
};
use cumindeck_types::{AgentId, JobId, RunNumber};

use crate::common::{at, job_id, report, scheduler};

/// Time between two steps of the model.
const STEP_MS: u64 = 10;

/// Time between two reports of a worker on which nothing has changed.
const REPORT_MS: u64 = 200;

/// Time after which an agent asks for orders again, so that its leases are extended.
const POLL_MS: u64 = 1_000;

/// Duration of a stop.
const STOP_MS: u64 = 600;

/// Time that the runs take which show whether a worker lists ends: a lease and two calls.
const ROUND_MS: u64 = 60;

/// Duration of a task that lasts until it is stopped; such tasks are at work at once.
pub const FOREVER_MS: u64 = u64::MAX / 2;

/// Accelerators of a worker.
pub const ACCELERATORS: u32 = 8;

/// A run on a worker of the model.
#[derive(Debug)]
struct Active {
    since_ms: u64,
    /// When its own work is done; a gang member then waits for the others.
    works_until_ms: u64,
    ends_ms: u64,
    end: RunEnd,
}

#[derive(Debug)]
struct Worker {
    name: String,
    rack: String,
    sequence: u64,
    reported_ms: u64,
    polled_ms: u64,
    is_changed: bool,
    /// Whether its runs make no progress.
    hangs: bool,
    /// Start time of its incarnation beyond that of its first one.
    started_ms: u64,
    speed_percent: u64,
    /// Speeds that the scheduler has asked the agent to keep.
    speeds: Vec<LearnedSpeed>,
    runs: BTreeMap<(TaskId, RunNumber), Active>,
    ends: Vec<EndReport>,
    doubt: Option<Doubt>,
    /// Placed runs that have not started, until they are reported.
    refused: Vec<(TaskId, RunNumber)>,
}

/// State of a worker that may drop ends of its runs.
#[derive(Debug)]
struct Doubt {
    /// Number of ends that it still drops.
    drops: usize,
    /// Placed runs before which others show whether it lists ends, with the time at which
    /// these are used up.
    probing: BTreeMap<(TaskId, RunNumber), u64>,
    round_ends_ms: u64,
}

/// Racks of workers with [`ACCELERATORS`] accelerators each, and their scheduler.
pub struct Fleet {
    pub scheduler: Scheduler,
    pub now: u64,
    workers: Vec<Worker>,
    durations: BTreeMap<JobId, u64>,
    accepted: BTreeMap<JobId, u64>,
    /// Objective in milliseconds and number of tasks by job.
    objectives: BTreeMap<JobId, (u64, u64)>,
    gangs: BTreeSet<JobId>,
    /// Each task whose number in the order of starts is a multiple of it takes seven times as
    /// long.
    tail_interval: u64,
    starts: u64,
    /// Time for which gang members have waited for slower ones, in milliseconds.
    pub gang_wait_ms: u64,
    /// Decisions so far, with their times.
    pub decisions: Vec<(u64, Decision)>,
    /// Leader row of the last transaction, with its time.
    pub leader_row: Option<(u64, LeaderRow)>,
}

impl Fleet {
    pub fn new(racks: usize, workers_per_rack: usize, guaranteed: u32) -> Self {
        let worker = |at: usize| Worker {
            name: format!("side-{at:03}"),
            rack: format!("r{}", at / workers_per_rack),
            sequence: 0,
            reported_ms: 0,
            polled_ms: 0,
            is_changed: true,
            hangs: false,
            started_ms: 0,
            speed_percent: 100,
            speeds: Vec::new(),
            runs: BTreeMap::new(),
            ends: Vec::new(),
            doubt: None,
            refused: Vec::new(),
        };
        Self {
            scheduler: scheduler(at(0), guaranteed),
            now: 1_000,
            workers: (0..racks * workers_per_rack).map(worker).collect(),
            durations: BTreeMap::new(),
            accepted: BTreeMap::new(),
            objectives: BTreeMap::new(),
            gangs: BTreeSet::new(),
            tail_interval: u64::MAX,
            starts: 0,
            gang_wait_ms: 0,
            decisions: Vec::new(),
            leader_row: None,
        }
    }

    /// Accepts a job whose tasks take `duration_ms` each.
    pub fn submit(&mut self, id: &str, row: JobRow, duration_ms: u64) {
        self.submit_late(id, row, duration_ms, 0);
    }

    /// Accepts a job that has waited for `age_ms` elsewhere.
    pub fn submit_late(&mut self, id: &str, mut row: JobRow, duration_ms: u64, age_ms: u64) {
        row.accepted_store_ms = self.now.saturating_sub(age_ms);
        self.durations.insert(job_id(id), duration_ms);
        self.accepted.insert(job_id(id), self.now);
        if row.spec.steps[0].gang {
            self.gangs.insert(job_id(id));
        }
        let objective = (row.spec.objective_ms(), row.spec.tasks());
        self.objectives.insert(job_id(id), objective);
        self.scheduler
            .on_job(at(self.now), job_id(id), row, self.now);
    }

    /// Has the runs of a worker make no progress from now on.
    pub fn hang(&mut self, worker: usize) {
        self.workers[worker].hangs = true;
    }

    /// Sets the speeds of the workers in percent, by turns.
    pub fn set_speeds(&mut self, percents: &[u64]) {
        for (worker, percent) in self.workers.iter_mut().zip(percents.iter().cycle()) {
            worker.speed_percent = *percent;
        }
    }

    /// Has each task whose number in the order of starts is a multiple of `interval` take
    /// seven times as long.
    pub fn set_tails(&mut self, interval: u64) {
        self.tail_interval = interval;
    }

    /// Has another entry lead, which knows only what the agents report.
    pub fn take_over(&mut self, scheduler: Scheduler) {
        self.scheduler = scheduler;
        for worker in &mut self.workers {
            worker.is_changed = true;
        }
    }

    /// Replaces all workers by new incarnations, of which the agents know no speed.
    pub fn restart_workers(&mut self) {
        for worker in &mut self.workers {
            worker.started_ms += self.now;
            worker.speeds.clear();
            worker.runs.clear();
            worker.ends.clear();
            worker.is_changed = true;
        }
    }

    /// Replaces the speeds that the agents keep.
    pub fn set_kept_speeds(&mut self, speeds: &[LearnedSpeed]) {
        for worker in &mut self.workers {
            worker.speeds = speeds.to_vec();
            worker.is_changed = true;
        }
    }

    /// Has a worker start again under its id and drop its next `drops` ends.
    pub fn restart(&mut self, worker: usize, drops: usize) {
        let worker = &mut self.workers[worker];
        worker.doubt = Some(Doubt {
            drops,
            probing: BTreeMap::new(),
            round_ends_ms: 0,
        });
        worker.is_changed = true;
    }

    /// Returns the number of a job's tasks that were started for work.
    pub fn began_work(&self, job: &str) -> usize {
        let starts = self.decisions_on(job, DecisionKind::Start);
        let work = starts.filter(|(_, it)| !it.reason.starts_with("shows whether"));
        let tasks: BTreeSet<&TaskId> = work.map(|(_, it)| &it.task).collect();
        tasks.len()
    }

    /// Returns how often each task of a job was used to show whether a worker lists ends.
    pub fn probes_of(&self, job: &str) -> Vec<usize> {
        let mut probes: BTreeMap<&TaskId, usize> = BTreeMap::new();
        for (_, decision) in self.decisions_on(job, DecisionKind::Start) {
            if decision.reason.starts_with("shows whether") {
                *probes.entry(&decision.task).or_default() += 1;
            }
        }
        probes.into_values().collect()
    }

    /// Returns the time from a job's acceptance to the last start of its tasks for work.
    pub fn work_begins_after(&self, job: &str) -> Option<u64> {
        let starts = self.decisions_on(job, DecisionKind::Start);
        let work = starts.filter(|(_, it)| !it.reason.starts_with("shows whether"));
        let last = work.map(|(at, _)| *at).max()?;
        Some(last - self.accepted[&job_id(job)])
    }

    /// Plays until `until_ms`.
    pub fn run_until(&mut self, until_ms: u64) {
        while self.now < until_ms {
            self.step();
        }
    }

    /// Returns the agents on which tasks of a job were started.
    pub fn started_on(&self, job: &str) -> Vec<String> {
        let starts = self.decisions_on(job, DecisionKind::Start);
        starts
            .filter_map(|(_, decision)| Some(decision.agent.as_ref()?.to_string()))
            .collect()
    }

    /// Returns the time from a job's acceptance to the start of its first task.
    pub fn start_delay(&self, job: &str) -> Option<u64> {
        let (first, _) = self.decisions_on(job, DecisionKind::Start).next()?;
        Some(first - self.accepted[&job_id(job)])
    }

    /// Returns the time from a job's acceptance until `tasks` tasks were started.
    pub fn all_started_after(&self, job: &str, tasks: usize) -> Option<u64> {
        let (last, _) = self.decisions_on(job, DecisionKind::Start).nth(tasks - 1)?;
        Some(last - self.accepted[&job_id(job)])
    }

    /// Returns the number of stops and starts of a job's runs.
    pub fn stops_and_starts(&self, job: &str) -> (usize, usize) {
        let count = |kind| self.decisions_on(job, kind).count();
        (count(DecisionKind::Stop), count(DecisionKind::Start))
    }

    /// Returns the number of runs that were stopped for a job.
    pub fn stopped_for(&self, job: &str) -> usize {
        let reason = format!("room for urgent job {job}");
        let decisions = self.decisions.iter();
        decisions
            .filter(|(_, decision)| {
                let rest = decision.reason.strip_prefix(&reason);
                rest.is_some_and(|rest| rest.is_empty() || rest.starts_with(';'))
            })
            .count()
    }

    /// Returns whether all tasks of a job were done within its objective.
    pub fn is_in_time(&self, job: &str) -> bool {
        let id = job_id(job);
        let Some((objective, tasks)) = self.objectives.get(&id) else {
            return false;
        };
        let done = self.decisions_on(job, DecisionKind::End);
        let done = done.filter(|(_, decision)| decision.reason.starts_with("Done"));
        let ends: BTreeMap<&TaskId, u64> =
            done.map(|(at, decision)| (&decision.task, *at)).collect();
        let last = ends.values().max().copied().unwrap_or(u64::MAX);
        ends.len() as u64 >= *tasks && last <= self.accepted[&id] + objective
    }

    /// Returns the most stops for urgent jobs of one task of a job.
    pub fn most_stops_of_a_task(&self, job: &str) -> usize {
        let mut stops: BTreeMap<&TaskId, usize> = BTreeMap::new();
        for (_, decision) in self.decisions_on(job, DecisionKind::Stop) {
            *stops.entry(&decision.task).or_default() += 1;
        }
        stops.into_values().max().unwrap_or(0)
    }

    /// Returns the times of the decisions of a kind on the tasks of a job.
    pub fn times(&self, job: &str, kind: DecisionKind) -> Vec<(u64, TaskId)> {
        let decisions = self.decisions_on(job, kind);
        decisions
            .map(|(at, decision)| (*at, decision.task.clone()))
            .collect()
    }

    fn decisions_on(
        &self,
        job: &str,
        kind: DecisionKind,
    ) -> impl Iterator<Item = &(u64, Decision)> {
        let job = job_id(job);
        let is_wanted = move |(_, decision): &&(u64, Decision)| {
            decision.task.job == job && decision.kind == kind
        };
        self.decisions.iter().filter(is_wanted)
    }

    fn step(&mut self) {
        self.now += STEP_MS;
        let now = self.now;
        self.hold_gangs();
        for worker in &mut self.workers {
            worker.end_runs(now);
            worker.end_round(now);
            if worker.is_changed || now - worker.reported_ms >= REPORT_MS {
                let report = worker.report(now);
                self.scheduler.on_report(at(now), now, &report);
            }
        }
        self.scheduler.plan(at(now), Duration::from_millis(now));
        if let Some(batch) = self.scheduler.next_transaction(at(now), now) {
            self.leader_row = Some((now, batch.leader_row));
            let done = StoreResult::Done { version: now };
            self.scheduler.on_commit(at(now), &done);
        }
        let decisions = self.scheduler.take_decisions();
        let dated = decisions.into_iter().map(|decision| (now, decision));
        self.decisions.extend(dated);
        for agent in self.scheduler.agents_to_check(at(now)) {
            if self.scheduler.has_updates(at(now), &agent, u64::MAX) {
                self.carry_out(&agent);
            }
        }
        let is_due = |worker: &&Worker| now - worker.polled_ms >= POLL_MS;
        let due: Vec<AgentId> = self
            .workers
            .iter()
            .filter(is_due)
            .map(|worker| worker.name.parse().expect("an agent id"))
            .collect();
        for agent in due {
            self.carry_out(&agent);
        }
    }

    /// Has the members of each gang end together.
    fn hold_gangs(&mut self) {
        let mut last: BTreeMap<(JobId, RunNumber), u64> = BTreeMap::new();
        let gangs = &self.gangs;
        let runs = self.workers.iter().flat_map(|worker| &worker.runs);
        for ((task, run), active) in runs.filter(|((task, _), _)| gangs.contains(&task.job)) {
            let ends = last.entry((task.job.clone(), *run)).or_default();
            *ends = (*ends).max(active.works_until_ms);
        }
        for ((task, run), active) in self.workers.iter_mut().flat_map(|it| &mut it.runs) {
            let ends = last.get(&(task.job.clone(), *run));
            if let Some(ends) = ends.filter(|_| active.end == RunEnd::Done) {
                self.gang_wait_ms += match active.works_until_ms < self.now {
                    true => STEP_MS,
                    false => 0,
                };
                active.ends_ms = *ends;
            }
        }
    }

    /// Carries out the orders of an agent.
    fn carry_out(&mut self, agent: &AgentId) {
        let now = self.now;
        let reply = self.scheduler.reply(at(now), agent, now);
        let is_agent = |worker: &&mut Worker| worker.name == agent.to_string();
        let Some(worker) = self.workers.iter_mut().find(is_agent) else {
            return;
        };
        worker.polled_ms = now;
        worker.is_changed |= !reply.orders.is_empty();
        if let Some(speeds) = reply.speeds {
            worker.speeds = speeds;
        }
        for order in reply.orders {
            match order {
                Order::Start {
                    task,
                    run,
                    probe_runs,
                    ..
                } if worker.doubt.is_some() => {
                    worker.probe(now, (task, run), probe_runs);
                }
                Order::Start { task, run, .. } => {
                    let usual = self.durations[&task.job];
                    self.starts += 1;
                    let usual = match self.starts.is_multiple_of(self.tail_interval) {
                        true => usual * 7,
                        false => usual,
                    };
                    let duration = match usual >= FOREVER_MS {
                        true => usual,
                        false => usual * 100 / worker.speed_percent,
                    };
                    worker.runs.entry((task, run)).or_insert(Active {
                        since_ms: now,
                        works_until_ms: now + duration,
                        ends_ms: now + duration,
                        end: RunEnd::Done,
                    });
                }
                Order::Stop { task, run } => {
                    let doubt = worker.doubt.as_mut();
                    let probing = doubt.and_then(|it| it.probing.get_mut(&(task.clone(), run)));
                    if let Some(until) = probing {
                        *until = now;
                    }
                    let active = worker.runs.get_mut(&(task, run));
                    if let Some(active) = active.filter(|active| active.end == RunEnd::Done) {
                        active.end = RunEnd::Stopped;
                        active.ends_ms = now + STOP_MS;
                    }
                }
            }
        }
    }
}

impl Worker {
    /// Begins to use the runs before a placed one.
    fn probe(&mut self, now: u64, placed: (TaskId, RunNumber), probe_runs: u64) {
        let Some(doubt) = self.doubt.as_mut().filter(|_| probe_runs > 0) else {
            self.refused.push(placed);
            return;
        };
        if doubt.probing.is_empty() {
            doubt.round_ends_ms = now + ROUND_MS;
        }
        let until = now + probe_runs * ROUND_MS;
        doubt.probing.entry(placed).or_insert(until);
    }

    /// Ends the runs that show whether the worker lists ends; those of all tasks start and
    /// end together.
    fn end_round(&mut self, now: u64) {
        let Some(doubt) = &mut self.doubt else { return };
        if doubt.probing.is_empty() || now < doubt.round_ends_ms {
            return;
        }
        doubt.round_ends_ms = now + ROUND_MS;
        let ends = doubt.probing.len();
        let is_settled = ends > doubt.drops;
        doubt.drops = doubt.drops.saturating_sub(ends);
        let is_over = |_: &_, until: &mut u64| is_settled || now >= *until;
        let over = doubt.probing.extract_if(.., is_over);
        self.refused.extend(over.map(|(placed, _)| placed));
        if is_settled {
            self.doubt = None;
        }
        self.is_changed = true;
    }

    fn end_runs(&mut self, now: u64) {
        let hangs = self.hangs;
        let is_over =
            |active: &Active| now >= active.ends_ms && (!hangs || active.end == RunEnd::Stopped);
        let over: Vec<_> = self
            .runs
            .extract_if(.., |_, active| is_over(active))
            .collect();
        for ((task, run), active) in over {
            self.is_changed = true;
            self.ends.push(EndReport {
                number: self.ends.len() as u64 + 1,
                task,
                run,
                end: active.end,
                checkpoint: String::new(),
            });
        }
    }

    fn report(&mut self, now: u64) -> AgentReport {
        self.sequence += 1;
        self.reported_ms = now;
        self.is_changed = false;
        let percent = |active: &Active| match self.hangs {
            true => 1,
            false if active.ends_ms >= FOREVER_MS => 100,
            false => {
                let total = active.works_until_ms.saturating_sub(active.since_ms).max(1);
                ((now - active.since_ms) * 100 / total).min(99) as u32 + 1
            }
        };
        let runs = self.runs.iter().map(|((task, run), active)| RunReport {
            task: task.clone(),
            run: *run,
            state: RunState::Active {
                percent: percent(active),
                checkpoint: String::new(),
            },
        });
        let mut runs: Vec<RunReport> = runs.collect();
        let refused = std::mem::take(&mut self.refused).into_iter();
        runs.extend(refused.map(|(task, run)| RunReport {
            task,
            run,
            state: RunState::NotStarted {
                reason: "used up".to_owned(),
            },
        }));
        let probing = self.doubt.iter().flat_map(|doubt| doubt.probing.keys());
        runs.extend(probing.map(|(task, run)| RunReport {
            task: task.clone(),
            run: *run,
            state: RunState::Starting,
        }));
        let mut report = report(&self.name, self.sequence, runs);
        if self.doubt.is_some() {
            report.end_listing = EndListing::Probing;
        }
        report.ends.clone_from(&self.ends);
        report.speeds.clone_from(&self.speeds);
        if let Some(incarnation) = &mut report.worker_incarnation {
            incarnation.started_ms += self.started_ms;
            incarnation.labels = vec!["a".to_owned(), self.rack.clone()];
            incarnation.capacity = resources(ACCELERATORS);
        }
        report
    }
}

/// Resources with a core and 100 MiB for each accelerator.
pub fn resources(accelerators: u32) -> Resources {
    Resources {
        cpu_millis: u64::from(accelerators) * 1_000,
        memory_mib: u64::from(accelerators) * 100,
        accelerators,
    }
}
