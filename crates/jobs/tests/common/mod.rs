//! Fixtures that several test files share.

#![allow(dead_code, reason = "each test file uses only some of the fixtures")]

use std::time::Duration;

use cumindeck_jobs::{
    AgentCore, AgentReport, Catalog, EndListing, ExchangeReply, JobRow, JobSpec, LeaderRow, Order,
    Queue, Resources, RunReport, Scheduler, StepSpec, TaskId, Team, TimeLimits, WorkerIncarnation,
};
use cumindeck_types::{
    ConfigVersion, FencingToken, Incarnation, JobId, RunNumber, Uptime, WorkerId,
};

pub fn limits() -> TimeLimits {
    TimeLimits {
        max_worker_lease: Duration::from_secs(10),
        stop: Duration::from_millis(900),
        key_revocation: Duration::from_secs(5),
        config_in_force: Duration::from_millis(2_500),
        reclaim: Duration::from_millis(3_400),
        job_kept: Duration::from_secs(120),
        remote_percent: 300,
        restore: Duration::from_millis(500),
    }
}

pub fn at(millis: u64) -> Uptime {
    Uptime::from_millis(millis)
}

/// Resources of a small task.
pub fn resources() -> Resources {
    Resources {
        cpu_millis: 1_000,
        memory_mib: 100,
        accelerators: 1,
    }
}

pub fn job_id(text: &str) -> JobId {
    text.parse().expect("a job id")
}

/// A job of one step; each task occupies one worker.
pub fn job(step: StepSpec) -> JobRow {
    JobRow {
        spec: JobSpec {
            queue: "letters".to_owned(),
            team: "stalls".parse().ok(),
            service: "letters".to_owned(),
            priority: 1,
            max_attempts: 3,
            slack_percent: 300,
            target_ms: 500,
            payload: "print".to_owned(),
            steps: vec![StepSpec {
                resources: resources(),
                ..step
            }],
            recurrence: None,
            needs_tickets: false,
        },
        entry: "entry-0".parse().expect("an entry id"),
        accepted_store_ms: 0,
    }
}

/// A configuration with one queue and one team.
pub fn catalog() -> Catalog {
    Catalog {
        version: ConfigVersion::new(1),
        row_version: 1,
        queues: vec![Queue {
            name: "letters".to_owned(),
            host: "letters.example".to_owned(),
            prefix: "/letters/".to_owned(),
            service: "letters".to_owned(),
            priority: 1,
            max_attempts: 3,
            slack_percent: 300,
            target_ms: 500,
            needs_tickets: false,
            is_anonymous: false,
        }],
        teams: vec![Team {
            id: "stalls".parse().expect("a team"),
            keys: ["key".to_owned()].into(),
            guaranteed: 0,
        }],
    }
}

/// The scheduler of an entry that took over leadership at `taken`; each of two teams has a
/// guarantee of `guaranteed` accelerators.
pub fn scheduler(taken: Uptime, guaranteed: u32) -> Scheduler {
    let leader_row = LeaderRow {
        leader: None,
        address: None,
        token: FencingToken::new(1),
        commit: 0,
        doubted: Vec::new(),
        workers_since: None,
        forecast: cumindeck_jobs::Forecast::default(),
    };
    scheduler_with(taken, guaranteed, leader_row)
}

/// The same with the leader row that it wrote to take over.
pub fn scheduler_with(taken: Uptime, guaranteed: u32, leader_row: LeaderRow) -> Scheduler {
    let catalog = Catalog {
        version: ConfigVersion::new(1),
        row_version: 1,
        queues: Vec::new(),
        teams: ["stalls", "clinics"]
            .map(|team| Team {
                id: team.parse().expect("a team"),
                keys: std::iter::empty().collect(),
                guaranteed,
            })
            .into(),
    };
    Scheduler::new(limits(), catalog, leader_row, 1, taken, taken)
}

/// A report of an agent that has read its worker's run lists; the worker has capacity
/// for one small task.
pub fn report(agent: &str, sequence: u64, runs: Vec<RunReport>) -> AgentReport {
    AgentReport {
        agent: agent.parse().expect("an agent id"),
        incarnation: Incarnation::new(1),
        sequence,
        worker_incarnation: Some(WorkerIncarnation {
            worker: format!("w-{agent}").parse().expect("a worker id"),
            started_ms: 1,
            service: "letters".to_owned(),
            zone: "plateau".parse().expect("a zone"),
            capacity: resources(),
            labels: vec!["a".to_owned(), "r1".to_owned()],
            is_draining: false,
            leaves_in_ms: None,
        }),
        has_lists: true,
        end_listing: EndListing::Assumed,
        asks_for_incarnation: false,
        has_long_lease: false,
        speeds: Vec::new(),
        runs,
        ends: Vec::new(),
        wait_ms: 0,
        known_token: FencingToken::new(1),
    }
}

/// Start of the worker beside a tested agent, as Unix time.
pub const STARTED_MS: u64 = 1_000;

pub fn worker() -> WorkerId {
    "w-1".parse().expect("a worker id")
}

/// The worker beside a tested agent.
pub fn incarnation() -> WorkerIncarnation {
    WorkerIncarnation {
        worker: worker(),
        started_ms: STARTED_MS,
        service: "letters".to_owned(),
        zone: "plateau".parse().expect("a zone"),
        capacity: resources(),
        labels: vec!["a".to_owned(), "r1".to_owned()],
        is_draining: false,
        leaves_in_ms: None,
    }
}

pub fn task() -> TaskId {
    "0123456789abcdef.0.0.0".parse().expect("a task")
}

pub fn run() -> RunNumber {
    RunNumber::new(1)
}

/// An order to start the run of [`task`].
pub fn start() -> Order {
    Order::Start {
        task: task(),
        run: run(),
        payload: "print".to_owned(),
        checkpoint: String::new(),
        ticket: String::new(),
        probe_runs: 0,
        is_best_effort: false,
        target_ms: None,
    }
}

/// Has the agent report its worker, and the leader reply that it knows that incarnation.
pub fn confirm_incarnation(core: &mut AgentCore, now: u64) {
    let report = core.report(Duration::ZERO, FencingToken::new(1));
    let known = ExchangeReply {
        knows_incarnation: true,
        ..reply(report.sequence, Vec::new())
    };
    core.on_reply(at(now), at(now), known);
}

/// A reply of the leader.
pub fn reply(sequence: u64, orders: Vec<Order>) -> ExchangeReply {
    ExchangeReply {
        sequence,
        is_leader: true,
        leader: None,
        entries: Vec::new(),
        token: FencingToken::new(1),
        process: None,
        confirmed_age_ms: 0,
        worker_started_ms: STARTED_MS,
        recorded_ends: 0,
        doubts_ends: false,
        knows_incarnation: false,
        speeds: None,
        orders,
    }
}
