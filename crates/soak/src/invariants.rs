//! Invariants of jobs and their tasks, checked against the logs of workers and the
//! responses to callers.

use std::collections::{BTreeMap, BTreeSet};

use eyre::{bail, ensure};

use crate::callers::{Callers, Job};
use crate::site::{MAX_ATTEMPTS, Site};

/// Maximum time from the acceptance of a job until each entry knows it, in milliseconds.
const MAX_VISIBILITY_DELAY_MS: u64 = 3_000;

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

/// Checker of the invariants, with the runs read from the logs of the workers.
#[derive(Default)]
pub struct Invariants {
    runs: Vec<Run>,
    /// Runs whose end was acknowledged: task, outcome and time of the acknowledgement.
    acknowledged: Vec<(String, String, u64)>,
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
        self.check_acknowledged()?;
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
        let done: BTreeSet<&str> = done.filter(is_done).map(|run| run.task.as_str()).collect();
        let tasks: u64 = job.steps.iter().sum();
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
    fn check_acknowledged(&self) -> eyre::Result<()> {
        for run in &self.runs {
            let before = |how: &str| {
                let is_before = |it: &&(String, String, u64)| {
                    it.0 == run.task && it.1 == how && it.2 < run.started
                };
                self.acknowledged.iter().filter(is_before).count() as u64
            };
            ensure!(
                before("done") == 0,
                "{} was started after it had succeeded",
                run.task
            );
            ensure!(
                before("failed") < MAX_ATTEMPTS,
                "{} was started after {MAX_ATTEMPTS} failures",
                run.task
            );
        }
        Ok(())
    }

    fn read_logs(&mut self, site: &Site) {
        self.runs.clear();
        self.acknowledged.clear();
        for worker in &site.workers {
            let log = site.log(worker.name());
            // Each incarnation but the last was ended by a kill.
            let mut kills = worker.kill_times_ms().iter().copied();
            let mut active_runs = Vec::new();
            let mut has_started = false;
            for line in log.lines() {
                let is_new_incarnation = field(line, "event") == "worker_started";
                if is_new_incarnation && std::mem::replace(&mut has_started, true) {
                    self.end_incarnation(&mut active_runs, kills.next());
                }
                self.read_line(worker.name(), line, &mut active_runs);
            }
            self.end_incarnation(&mut active_runs, kills.next());
        }
    }

    fn read_line(&mut self, worker: &str, line: &str, active_runs: &mut Vec<Run>) {
        let value = |name: &str| field(line, name).to_owned();
        let number = |name: &str| field(line, name).parse::<u64>().unwrap_or(0);
        match field(line, "event") {
            "run_started" => active_runs.push(Run {
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
                for mut run in active_runs.extract_if(.., is_same_run) {
                    run.end = Some((number("at_ms"), value("how")));
                    self.runs.push(run);
                }
            }
            "end_acknowledged" => {
                let end = (value("task"), value("how"), number("at_ms"));
                self.acknowledged.push(end);
            }
            _ => {}
        }
    }

    /// Moves the active runs of an incarnation, ended at `killed_ms` if set, to `runs`.
    fn end_incarnation(&mut self, active_runs: &mut Vec<Run>, killed_ms: Option<u64>) {
        for mut run in std::mem::take(active_runs) {
            run.end = killed_ms.map(|at| (at, "killed".to_owned()));
            self.runs.push(run);
        }
    }
}

/// Returns the id of the job that a task belongs to.
fn job_id_of(task: &str) -> &str {
    task.split('.').next().unwrap_or(task)
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
