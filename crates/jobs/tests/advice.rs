//! Tasks that start only with tickets of the adviser.

mod common;

use std::time::Duration;

use cumindeck_jobs::{
    Advice, AgentReport, Catalog, DutyRow, JobRow, JobSpec, Order, Room, Scheduler, StepSpec,
    StoreResult, WorkerLife,
};
use cumindeck_types::{AgentId, ConfigVersion, FencingToken, Incarnation, Uptime, WorkerId};
use googletest::prelude::*;

use common::limits;

const WORKERS: [&str; 3] = ["one", "two", "three"];

fn at(millis: u64) -> Uptime {
    Uptime::from_millis(millis)
}

fn room() -> Room {
    Room {
        cpu_millis: 1_000,
        memory_mib: 100,
        accelerators: 1,
    }
}

fn worker(name: &str) -> WorkerId {
    format!("w-{name}").parse().expect("a worker id")
}

fn agent(name: &str) -> AgentId {
    name.parse().expect("an agent id")
}

/// A scheduler with three idle workers and a job of one task that needs a ticket.
fn scheduler() -> Scheduler {
    let catalog = Catalog {
        version: ConfigVersion::new(1),
        row_version: 1,
        queues: Vec::new(),
        teams: Vec::new(),
    };
    let duty = DutyRow {
        holder: None,
        address: None,
        token: FencingToken::new(1),
        commit: 0,
    };
    let mut scheduler = Scheduler::new(limits(), catalog, duty, 1, at(0), at(0));
    let step = StepSpec {
        tasks: 1,
        room: room(),
        estimate_ms: 1_000,
        ..StepSpec::default()
    };
    let row = JobRow {
        spec: JobSpec {
            queue: "letters".to_owned(),
            team: None,
            service: "letters".to_owned(),
            priority: 1,
            max_attempts: 3,
            slack_percent: 300,
            target_ms: 500,
            payload: "print".to_owned(),
            steps: vec![step],
            recurrence: None,
            needs_tickets: true,
        },
        entry: "entry-0".parse().expect("an entry id"),
        accepted_store_ms: 0,
    };
    let job = "0000000000000001".parse().expect("a job id");
    scheduler.on_job(at(0), job, row, 0);
    scheduler
}

/// Takes reports of all workers, plans and records; returns what is ordered.
fn step(scheduler: &mut Scheduler, now: u64) -> Vec<String> {
    for name in WORKERS {
        let report = AgentReport {
            agent: agent(name),
            incarnation: Incarnation::new(1),
            sequence: now,
            life: Some(WorkerLife {
                worker: worker(name),
                born_ms: 1,
                service: "letters".to_owned(),
                zone: "plateau".parse().expect("a zone"),
                capacity: room(),
                labels: vec!["a".to_owned(), "r1".to_owned()],
                is_draining: false,
                leaves_in_ms: None,
            }),
            has_lists: true,
            runs: Vec::new(),
            ends: Vec::new(),
            wait_ms: 0,
            known_token: FencingToken::new(1),
        };
        scheduler.on_report(at(now), now, &report);
    }
    scheduler.plan(at(now), Duration::ZERO);
    if scheduler.take_batch(at(now), now).is_some() {
        let done = StoreResult::Done { version: now };
        scheduler.on_commit(at(now), &done);
    }
    let orders = WORKERS.into_iter().flat_map(|name| {
        let reply = scheduler.reply(at(now), &agent(name), now);
        let text = |order| match order {
            Order::Start { task, ticket, .. } => format!("{name} starts {task} with {ticket:?}"),
            Order::Stop { task, .. } => format!("{name} stops {task}"),
        };
        reply.orders.into_iter().map(text).collect::<Vec<_>>()
    });
    orders.collect()
}

fn advice(allowed: &[&str]) -> Advice {
    let ticket = |name: &&str| (worker(name), format!("ticket-{name}"));
    Advice {
        tickets: allowed.iter().map(ticket).collect(),
        validity: Duration::from_secs(3),
    }
}

/// Guards against starts without a ticket, which workers reject.
#[gtest]
fn a_task_waits_for_its_ticket() {
    let mut scheduler = scheduler();
    let before = step(&mut scheduler, 300);
    let request = scheduler.take_advice_request(at(300)).expect("a question");
    scheduler.on_advice(at(300), at(400), Some(&advice(&["two"])));
    let after = step(&mut scheduler, 400);
    insta::assert_snapshot!(format!("{before:?}\n{request:?}\n{after:?}"));
}

/// Guards against a queue that stands still because the adviser was full once.
#[gtest]
fn a_failed_question_is_asked_again_after_a_pause() {
    let mut scheduler = scheduler();
    step(&mut scheduler, 300);
    expect_that!(scheduler.take_advice_request(at(300)), some(anything()));
    scheduler.on_advice(at(300), at(400), None);
    step(&mut scheduler, 500);
    expect_that!(scheduler.take_advice_request(at(500)), none());
    expect_that!(scheduler.take_advice_request(at(800)), some(anything()));
}

/// Guards against questions without end about workers that may not run the step.
#[gtest]
fn a_worker_that_may_not_run_a_step_is_not_asked_for_again() {
    let mut scheduler = scheduler();
    step(&mut scheduler, 300);
    scheduler.take_advice_request(at(300));
    scheduler.on_advice(at(300), at(400), Some(&advice(&[])));
    expect_that!(step(&mut scheduler, 500), is_empty());
    expect_that!(scheduler.take_advice_request(at(500)), none());
}

/// Guards against an order with a ticket whose time is over: the run is given
/// up at its worker before it starts again elsewhere.
#[gtest]
fn a_start_whose_ticket_has_expired_is_stopped() {
    let mut scheduler = scheduler();
    step(&mut scheduler, 300);
    scheduler.take_advice_request(at(300));
    scheduler.on_advice(at(300), at(400), Some(&advice(&["two"])));
    expect_that!(step(&mut scheduler, 400), len(eq(1)));
    insta::assert_snapshot!(step(&mut scheduler, 3_400).join("\n"));
}
