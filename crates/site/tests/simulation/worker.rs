//! Workers that run bodies under leases, whatever becomes of their agents.

use std::collections::BTreeMap;
use std::time::Duration;

use cumindeck_control::gang::{TaskEnd, TaskId};
use cumindeck_types::{Remaining, Uptime, parse_duration};

/// A task at its worker.
#[derive(Debug, Clone)]
pub struct Body {
    pub length: Duration,
    pub lease_ends: Uptime,
    /// When the body ends by itself, once it runs.
    pub ends: Option<Uptime>,
    /// How it ended, and whether the agent was told.
    pub end: Option<(TaskEnd, bool)>,
}

impl Body {
    pub fn is_running(&self) -> bool {
        self.ends.is_some() && self.end.is_none()
    }
}

/// One worker.
#[derive(Debug, Default)]
pub struct Worker {
    pub bodies: BTreeMap<TaskId, Body>,
    /// A broken worker that ignores leases and times to start.
    pub ignores_leases: bool,
    pub ignores_not_after: bool,
}

impl Worker {
    pub fn prepare(&mut self, now: Uptime, id: TaskId, command: &str, lease: Remaining) {
        let length = command
            .strip_prefix("sleep ")
            .and_then(|text| parse_duration(text).ok());
        let body = Body {
            length: length.expect("the simulation's commands sleep"),
            lease_ends: lease.deadline(now),
            ends: None,
            end: None,
        };
        self.bodies.insert(id, body);
    }

    /// Starts a body; returns whether it runs.
    pub fn start(&mut self, now: Uptime, id: &TaskId, not_after: Uptime) -> bool {
        self.advance(now);
        let is_late = now > not_after && !self.ignores_not_after;
        let Some(body) = self.bodies.get_mut(id).filter(|body| body.end.is_none()) else {
            return false;
        };
        if is_late || body.ends.is_some() {
            return false;
        }
        body.ends = Some(now.plus(body.length));
        true
    }

    pub fn stop(&mut self, id: &TaskId) {
        if let Some(body) = self.bodies.get_mut(id) {
            body.end.get_or_insert((TaskEnd::Stopped, false));
        }
    }

    pub fn stop_all(&mut self) {
        for body in self.bodies.values_mut() {
            body.end.get_or_insert((TaskEnd::Stopped, false));
        }
    }

    pub fn renew(&mut self, now: Uptime, lease: Remaining) {
        self.advance(now);
        for body in self.bodies.values_mut() {
            body.lease_ends = lease.deadline(now);
        }
    }

    /// Ends bodies whose time or lease has come.
    pub fn advance(&mut self, now: Uptime) {
        for body in self.bodies.values_mut().filter(|body| body.end.is_none()) {
            let ends = body.ends.filter(|at| *at <= now);
            if ends.is_some_and(|at| at <= body.lease_ends || self.ignores_leases) {
                body.end = Some((TaskEnd::Succeeded, false));
            } else if body.lease_ends <= now && !self.ignores_leases {
                body.end = Some((TaskEnd::Stopped, false));
            }
        }
    }

    /// Returns ends of which the agent wasn't told yet.
    pub fn take_ends(&mut self) -> Vec<(TaskId, TaskEnd)> {
        let mut ends = Vec::new();
        for (id, body) in &mut self.bodies {
            if let Some((end, is_told)) = body.end.as_mut().filter(|(_, is_told)| !*is_told) {
                *is_told = true;
                ends.push((id.clone(), end.clone()));
            }
        }
        ends
    }
}
