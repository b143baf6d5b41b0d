//! State of the simulated workers, without I/O.
//!
//! A command is `sleep DURATION` (succeeds after that time), `fail DURATION` (fails
//! after that time) or `forever` (runs until it is stopped).

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cumindeck_platform::api::{PrepareBody, TaskBody, TaskPhaseBody, TasksBody};
use cumindeck_types::{Uptime, parse_duration};

/// Why a worker rejects an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderError {
    /// The worker doesn't know the task.
    UnknownTask,
    /// The phase of the task doesn't allow the order.
    WrongPhase,
    /// An accelerator is in use by another task.
    AcceleratorInUse,
    /// The command can't be parsed.
    UnknownCommand,
    /// The order arrived after its latest start time.
    TooLate,
}

/// Workers that run tasks under leases.
#[derive(Debug, Default)]
pub struct Workers {
    /// Tasks by worker and identifier.
    tasks: BTreeMap<(String, String), Task>,
    failing: BTreeSet<String>,
}

#[derive(Debug)]
struct Task {
    accelerators: Vec<u32>,
    command: Command,
    phase: TaskPhaseBody,
    detail: String,
    lease_ends: Uptime,
    started: Option<Uptime>,
    process_ends: Option<Uptime>,
}

#[derive(Debug, Clone, Copy)]
enum Command {
    Sleep(Duration),
    Fail(Duration),
    Forever,
}

impl Workers {
    /// Sets the workers on which every task fails immediately.
    pub fn set_failing(&mut self, workers: &[String]) {
        self.failing = workers.iter().cloned().collect();
    }

    /// Prepares a task on a worker.
    pub fn prepare(
        &mut self,
        now: Uptime,
        worker: &str,
        body: PrepareBody,
    ) -> Result<(), OrderError> {
        self.advance(now);
        let command = parse_command(&body.command).ok_or(OrderError::UnknownCommand)?;
        let in_use = self.tasks.iter().any(|((other, id), task)| {
            other == worker
                && *id != body.task
                && is_active(task.phase)
                && task
                    .accelerators
                    .iter()
                    .any(|index| body.accelerators.contains(index))
        });
        if in_use {
            return Err(OrderError::AcceleratorInUse);
        }
        let task = Task {
            accelerators: body.accelerators,
            command,
            phase: TaskPhaseBody::Prepared,
            detail: String::new(),
            lease_ends: now.plus(Duration::from_millis(body.lease_ms)),
            started: None,
            process_ends: None,
        };
        self.tasks.insert((worker.to_owned(), body.task), task);
        Ok(())
    }

    /// Starts a prepared task.
    pub fn start(
        &mut self,
        now: Uptime,
        worker: &str,
        task: &str,
        not_after: Uptime,
    ) -> Result<(), OrderError> {
        self.advance(now);
        let is_failing = self.failing.contains(worker);
        let task = self.task(worker, task)?;
        if task.phase != TaskPhaseBody::Prepared {
            return Err(OrderError::WrongPhase);
        }
        if now > not_after {
            return Err(OrderError::TooLate);
        }
        if is_failing {
            task.command = Command::Fail(Duration::ZERO);
        }
        task.phase = TaskPhaseBody::Running;
        task.started = Some(now);
        task.process_ends = match task.command {
            Command::Sleep(duration) | Command::Fail(duration) => Some(now.plus(duration)),
            Command::Forever => None,
        };
        Ok(())
    }

    /// Stops a task.
    pub fn stop(&mut self, now: Uptime, worker: &str, task: &str) -> Result<(), OrderError> {
        self.advance(now);
        let task = self.task(worker, task)?;
        if is_active(task.phase) {
            end(task, TaskPhaseBody::Stopped, "stopped by order");
        }
        Ok(())
    }

    /// Checks that the task is running; the stand-in writes no checkpoint.
    pub fn checkpoint(&mut self, now: Uptime, worker: &str, task: &str) -> Result<(), OrderError> {
        self.advance(now);
        match self.task(worker, task)?.phase {
            TaskPhaseBody::Running => Ok(()),
            _ => Err(OrderError::WrongPhase),
        }
    }

    /// Extends the leases of all tasks of a worker.
    pub fn renew(&mut self, now: Uptime, worker: &str, lease: Duration) {
        self.advance(now);
        for ((other, _), task) in &mut self.tasks {
            if other == worker {
                task.lease_ends = now.plus(lease);
            }
        }
    }

    /// Returns the tasks of a worker.
    pub fn tasks(&mut self, now: Uptime, worker: &str) -> TasksBody {
        self.advance(now);
        let of_worker = self.tasks.iter().filter(|((other, _), _)| other == worker);
        let to_body = |((_, id), task): (&(String, String), &Task)| TaskBody {
            task: id.clone(),
            phase: task.phase,
            detail: task.detail.clone(),
            started_ms_ago: task
                .started
                .and_then(|at| u64::try_from(now.since(at).as_millis()).ok()),
        };
        TasksBody {
            tasks: of_worker.map(to_body).collect(),
        }
    }

    /// Ends tasks whose process has ended or whose lease has expired.
    fn advance(&mut self, now: Uptime) {
        for task in self.tasks.values_mut().filter(|task| is_active(task.phase)) {
            let process_ends = task
                .process_ends
                .filter(|at| *at <= now && *at <= task.lease_ends);
            match (process_ends, task.command) {
                (Some(_), Command::Fail(_)) => end(task, TaskPhaseBody::Failed, "exit status 1"),
                (Some(_), _) => end(task, TaskPhaseBody::Succeeded, "exit status 0"),
                (None, _) if task.lease_ends <= now => {
                    end(task, TaskPhaseBody::Stopped, "lease ended");
                }
                (None, _) => {}
            }
        }
    }

    fn task(&mut self, worker: &str, task: &str) -> Result<&mut Task, OrderError> {
        let key = (worker.to_owned(), task.to_owned());
        self.tasks.get_mut(&key).ok_or(OrderError::UnknownTask)
    }
}

const fn is_active(phase: TaskPhaseBody) -> bool {
    matches!(phase, TaskPhaseBody::Prepared | TaskPhaseBody::Running)
}

fn end(task: &mut Task, phase: TaskPhaseBody, detail: &str) {
    task.phase = phase;
    task.detail = detail.to_owned();
}

fn parse_command(text: &str) -> Option<Command> {
    let (word, rest) = text.split_once(' ').unwrap_or((text, ""));
    match word {
        "sleep" => parse_duration(rest).ok().map(Command::Sleep),
        "fail" => parse_duration(rest).ok().map(Command::Fail),
        "forever" => Some(Command::Forever),
        _ => None,
    }
}
