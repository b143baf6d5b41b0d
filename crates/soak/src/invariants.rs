//! Invariants of jobs and their tasks, checked against the logs of workers and the
//! responses to callers.

use std::collections::{BTreeMap, BTreeSet};

use eyre::{bail, ensure};

use crate::callers::{Callers, Job};
use crate::site::{MAX_ATTEMPTS, SLOTS, Site, boot_ms};

/// Maximum time from the acceptance of a job until each entry knows it, in milliseconds.
const MAX_VISIBILITY_DELAY_MS: u64 = 3_000;

/// Maximum time for which a task waits while workers that are up and reachable have room for
/// it, in milliseconds, counted anew when a late acknowledgement was carried out: `recoveryS`
/// of the published pages.
const MAX_IDLE_WAIT_MS: u64 = 12_000;

/// A run that is stopped sooner than this after its start has not worked: its task still
/// waits. In milliseconds.
const MIN_WORK_MS: u64 = 1_000;

/// A run on a worker.
#[derive(Debug, Clone)]
struct Run {
    worker: String,
    task: String,
    number: u64,
    payload: String,
    started: u64,
    /// When the run ended and its outcome; `None` while it is active.
    end: Option<(u64, String)>,
}

impl Run {
    fn is_active_at(&self, at: u64) -> bool {
        let end = self.end.as_ref().map_or(u64::MAX, |(end, _)| *end);
        (self.started..end).contains(&at)
    }

    /// Returns whether the run has worked at some time since `from`; one that is stopped at
    /// once has not.
    fn has_worked_since(&self, from: u64) -> bool {
        match &self.end {
            None => true,
            Some((end, how)) if how == "stopped" && *end < self.started + MIN_WORK_MS => false,
            Some((end, _)) => *end > from,
        }
    }
}

/// Checker of the invariants, with the runs read from the logs of the workers.
#[derive(Default)]
pub struct Invariants {
    runs: Vec<Run>,
    /// Runs whose end was acknowledged: task, outcome and time of the acknowledgement.
    acknowledged: Vec<(String, String, u64)>,
    /// When the present incarnation of each worker has last carried out an acknowledgement
    /// late, by the worker's name.
    late_acknowledgements: BTreeMap<String, u64>,
    /// Tasks whose success was dropped before it could be listed.
    dropped_successes: BTreeSet<String>,
    /// First wait beside idle workers that was too long, and when the last one was seen.
    idle_wait: Option<(String, u64)>,
}

/// Ends of an incarnation of a worker while its log is read.
#[derive(Default)]
struct Incarnation {
    active_runs: Vec<Run>,
    ends: u64,
    /// Number up to which ends are dropped as they occur because of a late acknowledgement.
    dropped: u64,
}

impl Invariants {
    /// Returns the number of runs that workers started.
    pub const fn starts(&self) -> usize {
        self.runs.len()
    }

    /// Reads all logs again and checks the invariants that hold at any time.
    pub fn check(&mut self, site: &Site, callers: &Callers) -> eyre::Result<()> {
        self.read_logs(site);
        self.check_overlaps()?;
        self.check_acknowledged(callers)?;
        self.check_dropped(callers)?;
        self.watch_service(site, callers);
        for run in &self.runs {
            let Some(job) = callers.jobs().get(job_id_of(&run.task)) else {
                bail!("{} runs but no caller submitted its job", run.task);
            };
            ensure!(
                !job.is_refused,
                "{} runs although its job was refused",
                run.task
            );
            ensure!(
                run.payload == job.payload,
                "{} runs with payload {:?} instead of {:?}",
                run.task,
                run.payload,
                job.payload
            );
        }
        for (id, job) in callers.jobs() {
            let is_missing =
                job.missing_ms
                    .zip(job.accepted_ms)
                    .is_some_and(|(missing_ms, accepted)| {
                        missing_ms > accepted + MAX_VISIBILITY_DELAY_MS
                    });
            ensure!(
                !is_missing,
                "job {id} was accepted but an entry reports that it does not exist"
            );
            self.check_state(id, job)?;
        }
        Ok(())
    }

    /// Checks the invariants that hold after the faults, when all jobs have finished.
    pub fn check_final_states(&self, callers: &Callers) -> eyre::Result<()> {
        for (id, job) in callers.jobs() {
            let Some((state, _)) = &job.state else {
                continue;
            };
            let is_expected = match state.as_str() {
                "completed" => true,
                "cancelled" => job.is_cancel_sent,
                // Each task fails fewer times than its attempts allow.
                _ => false,
            };
            ensure!(is_expected, "job {id} ended with state {state}");
        }
        Ok(())
    }

    /// Checks that all tasks of a job that is reported as completed have succeeded.
    fn check_state(&self, id: &str, job: &Job) -> eyre::Result<()> {
        let state = job.state.as_ref().map_or("", |(state, _)| state.as_str());
        if state != "completed" {
            return Ok(());
        }
        let is_done = |run: &&Run| run.end.as_ref().is_some_and(|(_, how)| how == "done");
        let done = self.runs.iter().filter(|run| job_id_of(&run.task) == id);
        let done = done.filter(is_done).map(|run| run.task.as_str());
        let done: BTreeSet<&str> = done.map(|task| success_unit_of(task, job)).collect();
        let tasks = if job.is_gang {
            job.steps.len() as u64
        } else {
            job.steps.iter().sum()
        };
        ensure!(
            done.len() as u64 == tasks,
            "job {id} is reported as completed with {} of {tasks} tasks done",
            done.len()
        );
        Ok(())
    }

    /// Checks that no two runs of a task overlap.
    fn check_overlaps(&self) -> eyre::Result<()> {
        let mut by_task: BTreeMap<&str, Vec<&Run>> = BTreeMap::new();
        for run in &self.runs {
            by_task.entry(&run.task).or_default().push(run);
        }
        for runs in by_task.values_mut() {
            runs.sort_by_key(|run| run.started);
            for pair in runs.windows(2) {
                let end = pair[0].end.as_ref().map_or(u64::MAX, |(at, _)| *at);
                ensure!(
                    end <= pair[1].started,
                    "{} has overlapping runs: run {} on {} from {} to {end}, run {} on {} from {}",
                    pair[0].task,
                    pair[0].number,
                    pair[0].worker,
                    pair[0].started,
                    pair[1].number,
                    pair[1].worker,
                    pair[1].started
                );
            }
        }
        Ok(())
    }

    /// Checks that no task starts after an acknowledged success or after its maximum
    /// number of acknowledged failures.
    fn check_acknowledged(&self, callers: &Callers) -> eyre::Result<()> {
        for run in &self.runs {
            let before = |how: &'static str| {
                let is_before =
                    move |it: &&(String, String, u64)| it.1 == how && it.2 < run.started;
                self.acknowledged.iter().filter(is_before)
            };
            let job = callers.jobs().get(job_id_of(&run.task));
            let unit = |task| job.map_or(task, |job| success_unit_of(task, job));
            ensure!(
                before("done").all(|(task, ..)| unit(task) != unit(run.task.as_str())),
                "{} was started after it had succeeded",
                run.task
            );
            let failures = before("failed").filter(|(task, ..)| *task == run.task);
            ensure!(
                failures.count() < MAX_ATTEMPTS as usize,
                "{} was started after {MAX_ATTEMPTS} failures",
                run.task
            );
        }
        Ok(())
    }

    /// Checks that no success was dropped: the task could only be run again or get lost. That
    /// of a gang's member may be known from another one.
    fn check_dropped(&self, callers: &Callers) -> eyre::Result<()> {
        for task in &self.dropped_successes {
            let job = callers.jobs().get(job_id_of(task));
            ensure!(
                job.is_none_or(|job| job.is_gang || job.is_cancel_sent),
                "{task} succeeded, but a late acknowledgement had its end dropped unseen"
            );
        }
        Ok(())
    }

    /// Fails if a task has waited too long beside idle workers. It is not checked sooner, so
    /// that it hides no other violation.
    pub fn check_idle_wait(&self) -> eyre::Result<()> {
        match &self.idle_wait {
            None => Ok(()),
            Some((wait, last)) => bail!("{wait}; tasks waited so until {last}"),
        }
    }

    /// Notes if a task has waited too long until now beside workers in service that had room
    /// for it all the while.
    fn watch_service(&mut self, site: &Site, callers: &Callers) {
        let now = boot_ms();
        let from = now.saturating_sub(MAX_IDLE_WAIT_MS);
        let in_service = (0..site.workers.len()).filter_map(|worker| {
            let name = site.workers[worker].name();
            let late = self.late_acknowledgements.get(name).copied();
            let since = site.reachable_since_ms(worker)?.max(late.unwrap_or(0));
            (since < from).then_some(name)
        });
        let in_service: BTreeSet<&str> = in_service.collect();
        let room = self.min_room(&in_service, from, now);
        let tasks = callers.jobs().iter().filter_map(|(id, job)| {
            let needed = if job.is_gang { job.steps[0] } else { 1 };
            let task = self.waiting_task(id, job, from)?;
            (needed <= room).then_some(task)
        });
        let waiting: Vec<String> = tasks.collect();
        let Some(task) = waiting.first() else {
            return;
        };
        let wait = format!(
            "{task} and {} more tasks waited from {from} to {now} although {in_service:?} had room for {room}",
            waiting.len() - 1
        );
        self.idle_wait.get_or_insert((wait, now)).1 = now;
    }

    /// Returns the minimum number of tasks for which workers had room between two times.
    fn min_room(&self, workers: &BTreeSet<&str>, from: u64, to: u64) -> u64 {
        let is_on = |run: &&Run| workers.contains(run.worker.as_str());
        let runs: Vec<&Run> = self.runs.iter().filter(is_on).collect();
        let starts = runs.iter().map(|run| run.started);
        let times = starts.filter(|at| (from..to).contains(at)).chain([from]);
        let taken = times.map(|at| runs.iter().filter(|run| run.is_active_at(at)).count() as u64);
        let slots = SLOTS * workers.len() as u64;
        slots.saturating_sub(taken.max().unwrap_or(0))
    }

    /// Returns a task of a job that could have started at `from` and has not worked since.
    fn waiting_task(&self, id: &str, job: &Job, from: u64) -> Option<String> {
        let state = job.state.as_ref().map_or("", |(state, _)| state.as_str());
        let is_open = job.accepted_ms.is_some_and(|accepted| accepted < from)
            && !job.is_cancel_sent
            && !matches!(state, "completed" | "failed" | "cancelled");
        if !is_open {
            return None;
        }
        let done_ms = |task: &str| {
            let ends = self.runs.iter().filter(|run| run.task == task);
            let done = ends.filter_map(|run| run.end.as_ref().filter(|(_, how)| how == "done"));
            done.map(|(at, _)| *at).min()
        };
        for (step, count) in job.steps.iter().enumerate() {
            let tasks = (0..*count).map(|index| format!("{id}.0.{step}.{index}"));
            let open: Vec<String> = tasks
                .filter(|task| done_ms(task).is_none_or(|at| at >= from))
                .collect();
            if !open.is_empty() {
                let has_worked = |task: &String| {
                    let mut runs = self.runs.iter().filter(|run| run.task == *task);
                    runs.any(|run| run.has_worked_since(from))
                };
                let mut open = open.into_iter();
                return open.find(|task| done_ms(task).is_none() && !has_worked(task));
            }
        }
        None
    }

    fn read_logs(&mut self, site: &Site) {
        self.runs.clear();
        self.acknowledged.clear();
        self.late_acknowledgements.clear();
        self.dropped_successes.clear();
        for worker in &site.workers {
            let log = site.log(worker.name());
            // Each incarnation but the last was ended by a kill.
            let mut kills = worker.kill_times_ms().iter().copied();
            let mut incarnation = Incarnation::default();
            let mut has_started = false;
            for line in log.lines() {
                let is_new_incarnation = field(line, "event") == "worker_started";
                if is_new_incarnation && std::mem::replace(&mut has_started, true) {
                    self.end_incarnation(std::mem::take(&mut incarnation), kills.next());
                    self.late_acknowledgements.remove(worker.name());
                }
                self.read_line(worker.name(), line, &mut incarnation);
            }
            self.end_incarnation(incarnation, kills.next());
        }
    }

    fn read_line(&mut self, worker: &str, line: &str, incarnation: &mut Incarnation) {
        let value = |name: &str| field(line, name).to_owned();
        let number = |name: &str| field(line, name).parse::<u64>().unwrap_or(0);
        match field(line, "event") {
            "run_started" => incarnation.active_runs.push(Run {
                worker: worker.to_owned(),
                task: value("task"),
                number: number("run"),
                payload: quoted(line, "payload").to_owned(),
                started: number("at_ms"),
                end: None,
            }),
            "run_ended" => {
                let is_same_run =
                    |run: &mut Run| run.task == value("task") && run.number == number("run");
                incarnation.ends += 1;
                if incarnation.ends <= incarnation.dropped && value("how") == "done" {
                    self.dropped_successes.insert(value("task"));
                }
                for mut run in incarnation.active_runs.extract_if(.., is_same_run) {
                    run.end = Some((number("at_ms"), value("how")));
                    self.runs.push(run);
                }
            }
            "end_acknowledged" => {
                let end = (value("task"), value("how"), number("at_ms"));
                self.acknowledged.push(end);
            }
            "late_call" if number("acknowledged") > 0 => {
                let at = number("at_ms");
                incarnation.dropped = incarnation.dropped.max(number("acknowledged"));
                self.late_acknowledgements.insert(worker.to_owned(), at);
            }
            _ => {}
        }
    }

    /// Moves the active runs of an incarnation, ended at `killed_ms` if set, to `runs`.
    fn end_incarnation(&mut self, incarnation: Incarnation, killed_ms: Option<u64>) {
        for mut run in incarnation.active_runs {
            run.end = killed_ms.map(|at| (at, "killed".to_owned()));
            self.runs.push(run);
        }
    }
}

/// Returns the id of the job that a task belongs to.
fn job_id_of(task: &str) -> &str {
    task.split('.').next().unwrap_or(task)
}

/// Returns the part of a task's name that its success counts for: the step if it is a member
/// of a gang, since the success of one member represents all.
fn success_unit_of<'a>(task: &'a str, job: &Job) -> &'a str {
    match task.rsplit_once('.') {
        Some((step, _)) if job.is_gang => step,
        _ => task,
    }
}

/// Returns a field of a log line; empty if it is missing.
fn field<'a>(line: &'a str, name: &str) -> &'a str {
    let pairs = line.split(' ').filter_map(|word| word.split_once('='));
    let value = pairs.into_iter().find(|(key, _)| *key == name);
    value.map_or("", |(_, value)| value)
}

/// Returns a quoted field of a log line; empty if it is missing.
fn quoted<'a>(line: &'a str, name: &str) -> &'a str {
    let from = line.split_once(&format!("{name}=\"")).map(|(_, rest)| rest);
    from.and_then(|rest| rest.split('"').next()).unwrap_or("")
}
