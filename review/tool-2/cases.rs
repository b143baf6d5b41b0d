//! The cases, and further faults that have no folder.

mod failing_services;
mod guarantee;
mod lasting_backlog;
mod late_report;
mod long_tasks;
mod rejected_job;
mod replaced_entries;
mod revoked_key;
mod silent_links;
mod waiting_gang;

use std::io;

use crate::Outcome;
use crate::deployment::{Deployment, Queue, SERVICE, Tenant};
use crate::record::Record;
use crate::worker::WorkerSettings;

pub fn play(name: &str, record: &Record, has_trouble: bool) -> io::Result<Outcome> {
    let deployment = Deployment::new(record)?;
    match name {
        "failing-services" => failing_services::play(deployment, has_trouble),
        "guarantee" => guarantee::play(deployment, has_trouble),
        "lasting-backlog" => lasting_backlog::play(deployment, has_trouble),
        "late-report" => late_report::play(deployment, has_trouble),
        "long-tasks" => long_tasks::play(deployment, has_trouble),
        "rejected-job" => rejected_job::play(deployment, has_trouble),
        "replaced-entries" => replaced_entries::play(deployment, has_trouble),
        "revoked-key" => revoked_key::play(deployment, has_trouble),
        "silent-links" => silent_links::play(deployment, has_trouble),
        "waiting-gang" => waiting_gang::play(deployment, has_trouble),
        _ => Ok(Outcome::NotRun(format!("there is no case {name}"))),
    }
}

const KEY: &str = "d4a3hwrr6x73d3zji9n7";

/// The only tenant of most cases.
const TENANT: Tenant = Tenant {
    name: "kaje80",
    keys: &[KEY],
    guaranteed: 8,
};

/// Queues as on the small sites: urgent, usual and bulk work.
const URGENT: Queue = Queue {
    name: "pufi791",
    priority: 0,
    max_attempts: 2,
};
const USUAL: Queue = Queue {
    name: "lohu930",
    priority: 1,
    max_attempts: 3,
};
const BULK: Queue = Queue {
    name: "pule252",
    priority: 2,
    max_attempts: 2,
};

/// Returns a worker of the size that the pages give for plume-thies.
fn worker(number: usize) -> WorkerSettings {
    WorkerSettings {
        id: format!("i-7f3a91c{number}"),
        service: SERVICE.to_owned(),
        zone: "nbo-a".to_owned(),
        rack: "r1-1".to_owned(),
        cpu: 64_000,
        memory_mb: 262_144,
        gpu: 8,
    }
}

/// Returns the id of a job.
fn job_id(kind: u64, number: u64) -> String {
    format!("{kind:08x}{number:08x}")
}
