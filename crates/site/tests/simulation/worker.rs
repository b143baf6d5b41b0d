//! Simulated workers that run task processes under leases, even without their agents.

use std::collections::BTreeMap;
use std::time::Duration;

use cumindeck_control::gang::{TaskEnd, TaskId};
use cumindeck_types::{Remaining, Uptime, parse_duration};

/// A task process at its worker.
#[derive(Debug, Clone)]
pub struct TaskProcess {
    pub length: Duration,
    pub lease_ends: Uptime,
    /// When the process ends by itself, once it runs.
    pub ends: Option<Uptime>,
    /// How the process ended, and whether the agent was notified.
    pub end: Option<(TaskEnd, bool)>,
}

impl TaskProcess {
    pub fn is_running(&self) -> bool {
        self.ends.is_some() && self.end.is_none()
    }
}

#[derive(Debug, Default)]
pub struct Worker {
    pub processes: BTreeMap<TaskId, TaskProcess>,
    /// Whether the end of leases is ignored, which disables a safeguard.
    pub ignores_leases: bool,
    /// Whether the time after which a task must not start is ignored, which disables a
    /// safeguard.
    pub ignores_not_after: bool,
}

impl Worker {
    pub fn prepare(&mut self, now: Uptime, id: TaskId, command: &str, lease: Remaining) {
        let length = command
            .strip_prefix("sleep ")
            .and_then(|text| parse_duration(text).ok());
        let process = TaskProcess {
            length: length.expect("the simulation's commands sleep"),
            lease_ends: lease.deadline(now),
            ends: None,
            end: None,
        };
        self.processes.insert(id, process);
    }

    /// Starts a task process; returns whether it runs.
    pub fn start(&mut self, now: Uptime, id: &TaskId, not_after: Uptime) -> bool {
        self.advance(now);
        let is_late = now > not_after && !self.ignores_not_after;
        let Some(process) = self
            .processes
            .get_mut(id)
            .filter(|process| process.end.is_none())
        else {
            return false;
        };
        if is_late || process.ends.is_some() {
            return false;
        }
        process.ends = Some(now.plus(process.length));
        true
    }

    pub fn stop(&mut self, id: &TaskId) {
        if let Some(process) = self.processes.get_mut(id) {
            process.end.get_or_insert((TaskEnd::Stopped, false));
        }
    }

    pub fn stop_all(&mut self) {
        for process in self.processes.values_mut() {
            process.end.get_or_insert((TaskEnd::Stopped, false));
        }
    }

    pub fn renew(&mut self, now: Uptime, lease: Remaining) {
        self.advance(now);
        for process in self.processes.values_mut() {
            process.lease_ends = lease.deadline(now);
        }
    }

    /// Ends the processes whose run time is over or whose lease has expired.
    pub fn advance(&mut self, now: Uptime) {
        for process in self
            .processes
            .values_mut()
            .filter(|process| process.end.is_none())
        {
            let ends = process.ends.filter(|at| *at <= now);
            if ends.is_some_and(|at| at <= process.lease_ends || self.ignores_leases) {
                process.end = Some((TaskEnd::Succeeded, false));
            } else if process.lease_ends <= now && !self.ignores_leases {
                process.end = Some((TaskEnd::Stopped, false));
            }
        }
    }

    /// Returns the ends of which the agent was not notified yet.
    pub fn take_ends(&mut self) -> Vec<(TaskId, TaskEnd)> {
        let mut ends = Vec::new();
        for (id, process) in &mut self.processes {
            if let Some((end, is_notified)) = process
                .end
                .as_mut()
                .filter(|(_, is_notified)| !*is_notified)
            {
                *is_notified = true;
                ends.push((id.clone(), end.clone()));
            }
        }
        ends
    }
}
