//! The promises, checked from the logs of workers and the answers to callers.

use std::collections::{BTreeMap, BTreeSet};

use eyre::{bail, ensure};

use crate::callers::{Callers, Job};
use crate::site::{MAX_ATTEMPTS, Site};

/// Time after an acceptance from which each entry knows the job, in milliseconds.
const VISIBLE_MS: u64 = 3_000;

/// A run at a worker.
#[derive(Debug, Clone)]
struct Run {
    worker: String,
    task: String,
    number: u64,
    payload: String,
    begun: u64,
    /// End; none while it runs.
    ended: Option<(u64, String)>,
}

/// Checks the promises.
#[derive(Default)]
pub struct Judge {
    runs: Vec<Run>,
    /// Acknowledged ends: task, outcome and time.
    acknowledged: Vec<(String, String, u64)>,
}

impl Judge {
    /// Returns the number of runs that workers began.
    pub const fn starts(&self) -> usize {
        self.runs.len()
    }

    /// Reads the logs anew and checks what must hold at each moment.
    pub fn check(&mut self, site: &Site, callers: &Callers) -> eyre::Result<()> {
        self.read(site);
        self.check_overlaps()?;
        self.check_acknowledged()?;
        for run in &self.runs {
            let Some(job) = callers.jobs().get(job_of(&run.task)) else {
                bail!("{} runs and nobody handed it in", run.task);
            };
            ensure!(
                !job.is_refused,
                "{} runs although its job was refused",
                run.task
            );
            ensure!(
                run.payload == job.payload,
                "{} runs {:?} in place of {:?}",
                run.task,
                run.payload,
                job.payload
            );
        }
        for (id, job) in callers.jobs() {
            let is_denied = job
                .denied
                .zip(job.accepted)
                .is_some_and(|(denied, accepted)| denied > accepted + VISIBLE_MS);
            ensure!(!is_denied, "job {id} was accepted and is said not to exist");
            self.check_state(id, job)?;
        }
        Ok(())
    }

    /// Checks what must hold after the faults.
    pub fn check_end(&self, callers: &Callers) -> eyre::Result<()> {
        for (id, job) in callers.jobs() {
            let Some((state, _)) = &job.state else {
                continue;
            };
            let is_right = match state.as_str() {
                "completed" => true,
                "cancelled" => job.has_cancel,
                // Each task fails less often than allowed.
                _ => false,
            };
            ensure!(is_right, "job {id} ended as {state}");
        }
        Ok(())
    }

    /// A job that is shown as completed has all its tasks done.
    fn check_state(&self, id: &str, job: &Job) -> eyre::Result<()> {
        let state = job.state.as_ref().map_or("", |(state, _)| state.as_str());
        if state != "completed" {
            return Ok(());
        }
        let is_done = |run: &&Run| run.ended.as_ref().is_some_and(|(_, how)| how == "done");
        let done = self.runs.iter().filter(|run| job_of(&run.task) == id);
        let done: BTreeSet<&str> = done.filter(is_done).map(|run| run.task.as_str()).collect();
        let tasks: u64 = job.steps.iter().sum();
        ensure!(
            done.len() as u64 == tasks,
            "job {id} is shown as completed with {} of {tasks} tasks done",
            done.len()
        );
        Ok(())
    }

    /// No two runs of a task at a time.
    fn check_overlaps(&self) -> eyre::Result<()> {
        let mut by_task: BTreeMap<&str, Vec<&Run>> = BTreeMap::new();
        for run in &self.runs {
            by_task.entry(&run.task).or_default().push(run);
        }
        for runs in by_task.values_mut() {
            runs.sort_by_key(|run| run.begun);
            for pair in runs.windows(2) {
                let ended = pair[0].ended.as_ref().map_or(u64::MAX, |(at, _)| *at);
                ensure!(
                    ended <= pair[1].begun,
                    "{} runs twice: run {} on {} from {} to {ended}, run {} on {} from {}",
                    pair[0].task,
                    pair[0].number,
                    pair[0].worker,
                    pair[0].begun,
                    pair[1].number,
                    pair[1].worker,
                    pair[1].begun
                );
            }
        }
        Ok(())
    }

    /// No start after an acknowledged success, and none after as many
    /// acknowledged failures as a task may have.
    fn check_acknowledged(&self) -> eyre::Result<()> {
        for run in &self.runs {
            let before = |how: &str| {
                let is_before = |it: &&(String, String, u64)| {
                    it.0 == run.task && it.1 == how && it.2 < run.begun
                };
                self.acknowledged.iter().filter(is_before).count() as u64
            };
            ensure!(before("done") == 0, "{} runs after its success", run.task);
            ensure!(
                before("failed") < MAX_ATTEMPTS,
                "{} runs after {MAX_ATTEMPTS} failures",
                run.task
            );
        }
        Ok(())
    }

    fn read(&mut self, site: &Site) {
        self.runs.clear();
        self.acknowledged.clear();
        for worker in &site.workers {
            let log = site.log(worker.name());
            // Each life but the last ended by a kill.
            let mut kills = worker.killed().iter().copied();
            let mut open = Vec::new();
            let mut has_begun = false;
            for line in log.lines() {
                let is_new_life = field(line, "event") == "worker_started";
                if is_new_life && std::mem::replace(&mut has_begun, true) {
                    self.end_life(&mut open, kills.next());
                }
                self.read_line(worker.name(), line, &mut open);
            }
            self.end_life(&mut open, kills.next());
        }
    }

    fn read_line(&mut self, worker: &str, line: &str, open: &mut Vec<Run>) {
        let text = |name: &str| field(line, name).to_owned();
        let number = |name: &str| field(line, name).parse::<u64>().unwrap_or(0);
        match field(line, "event") {
            "run_started" => open.push(Run {
                worker: worker.to_owned(),
                task: text("task"),
                number: number("run"),
                payload: quoted(line, "payload").to_owned(),
                begun: number("at_ms"),
                ended: None,
            }),
            "run_ended" => {
                let is_it = |run: &mut Run| run.task == text("task") && run.number == number("run");
                for mut run in open.extract_if(.., is_it) {
                    run.ended = Some((number("at_ms"), text("how")));
                    self.runs.push(run);
                }
            }
            "end_acknowledged" => {
                let end = (text("task"), text("how"), number("at_ms"));
                self.acknowledged.push(end);
            }
            _ => {}
        }
    }

    /// Ends the runs of a life that was killed, or notes those that still run.
    fn end_life(&mut self, open: &mut Vec<Run>, killed: Option<u64>) {
        for mut run in std::mem::take(open) {
            run.ended = killed.map(|at| (at, "killed".to_owned()));
            self.runs.push(run);
        }
    }
}

/// Returns the job that a task belongs to.
fn job_of(task: &str) -> &str {
    task.split('.').next().unwrap_or(task)
}

/// Returns a field of a log line; empty if it is missing.
fn field<'a>(line: &'a str, name: &str) -> &'a str {
    let pairs = line.split(' ').filter_map(|word| word.split_once('='));
    let value = pairs.into_iter().find(|(key, _)| *key == name);
    value.map_or("", |(_, value)| value)
}

/// Returns a field that stands in quotes.
fn quoted<'a>(line: &'a str, name: &str) -> &'a str {
    let from = line.split_once(&format!("{name}=\"")).map(|(_, rest)| rest);
    from.and_then(|rest| rest.split('"').next()).unwrap_or("")
}
