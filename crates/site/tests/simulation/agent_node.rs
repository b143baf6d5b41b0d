//! An agent process: its real state machine and a simulated worker.

use std::net::SocketAddr;
use std::time::Duration;

use cumindeck_agent::core::{AgentCore, AgentEffect, AgentEvent, AgentIdentity};
use cumindeck_requests::AdmissionConfig;
use cumindeck_types::{Incarnation, Uptime};

use crate::worker::Worker;

/// An agent and its worker.
pub struct AgentNode {
    pub name: &'static str,
    pub zone: &'static str,
    pub address: SocketAddr,
    /// State machine of the process; `None` while the process is down.
    pub machine: Option<AgentCore>,
    pub incarnation: u64,
    pub paused_until: Uptime,
    pub worker: Worker,
}

impl AgentNode {
    pub fn new(name: &'static str, zone: &'static str, port: u16) -> Self {
        Self {
            name,
            zone,
            address: SocketAddr::from(([127, 0, 0, 1], port)),
            machine: None,
            incarnation: 0,
            paused_until: Uptime::ZERO,
            worker: Worker::default(),
        }
    }

    /// Starts the process, which stops the tasks of an earlier incarnation at the worker.
    pub fn start(&mut self, now: Uptime, seeds: Vec<SocketAddr>) {
        self.worker.stop_all();
        self.worker.take_ends();
        self.incarnation += 1;
        let identity = AgentIdentity {
            agent: self.name.parse().expect("valid id"),
            incarnation: Incarnation::new(self.incarnation),
            zone: self.zone.parse().expect("valid zone"),
            region: "north".parse().expect("valid region"),
            address: self.address,
            worker: self.name.parse().expect("valid id"),
            rack: format!("rack-{}", self.zone).parse().expect("valid rack"),
            accelerators: 8,
            admission: AdmissionConfig {
                slots: 8,
                connections: 64,
            },
            seeds,
        };
        self.machine = Some(AgentCore::new(identity, now, wall(now)));
    }

    pub fn step(&mut self, now: Uptime, event: AgentEvent) -> Vec<AgentEffect> {
        self.machine
            .as_mut()
            .map(|machine| machine.step(now, wall(now), event))
            .unwrap_or_default()
    }
}

/// Returns the wall-clock time at an uptime.
pub fn wall(now: Uptime) -> Duration {
    Duration::from_secs(1_700_000_000) + now.as_duration()
}
