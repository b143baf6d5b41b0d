//! Names, limits and sizes of the simulated system.

use std::net::SocketAddr;

use cumindeck_jobs::{Catalog, Resources};
use cumindeck_types::{AgentId, ConfigVersion, Uptime, WorkerId};

pub fn catalog() -> Catalog {
    Catalog {
        version: ConfigVersion::new(1),
        row_version: 1,
        queues: Vec::new(),
        teams: Vec::new(),
    }
}

pub fn task_resources() -> Resources {
    Resources {
        cpu_millis: 1_000,
        memory_mib: 100,
        accelerators: 2,
    }
}

pub fn capacity() -> Resources {
    Resources {
        cpu_millis: 8_000,
        memory_mib: 1_000,
        accelerators: 8,
    }
}

pub fn address(entry: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], entry as u16 + 1))
}

pub fn at(ms: u64) -> Uptime {
    Uptime::from_millis(ms)
}

pub fn worker_id(agent: usize, incarnation: u64) -> WorkerId {
    format!("w-{agent}-{incarnation}")
        .parse()
        .expect("a worker id")
}

pub fn agent_id(agent: usize) -> AgentId {
    format!("agent-{agent}").parse().expect("an agent id")
}
