//! Which runs are stopped for urgent work.

mod common;

use std::time::Duration;

use cumindeck_jobs::{
    AgentReport, Catalog, Decision, DecisionKind, DutyRow, JobRow, JobSpec, Room, Scheduler,
    StepSpec, StoreResult, Team, WorkerLife,
};
use cumindeck_types::{ConfigVersion, FencingToken, Incarnation, Uptime};
use googletest::prelude::*;

use common::limits;

/// Time since the acceptance of the urgent job; over three times its objective.
const NOW_MS: u64 = 30_000;

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

fn row(priority: u32, gang: bool, accepted_store_ms: u64) -> JobRow {
    JobRow {
        spec: JobSpec {
            queue: "letters".to_owned(),
            team: "stalls".parse().ok(),
            service: "letters".to_owned(),
            priority,
            max_attempts: 3,
            slack_percent: 300,
            target_ms: 500,
            payload: "print".to_owned(),
            steps: vec![StepSpec {
                tasks: 2,
                room: room(),
                estimate_ms: 1_000,
                gang,
                ..StepSpec::default()
            }],
            recurrence: None,
            needs_tickets: false,
        },
        entry: "entry-0".parse().expect("an entry id"),
        accepted_store_ms,
    }
}

/// Two workers of one slot, an urgent gang that has waited for 30 s, and a
/// usual job that has just come; returns the decisions of three plans.
fn decisions(guaranteed: u32) -> Vec<Decision> {
    let catalog = Catalog {
        version: ConfigVersion::new(1),
        row_version: 1,
        queues: Vec::new(),
        teams: vec![Team {
            id: "stalls".parse().expect("a team"),
            keys: std::iter::empty().collect(),
            guaranteed,
        }],
    };
    let duty = DutyRow {
        holder: None,
        address: None,
        token: FencingToken::new(1),
        commit: 0,
    };
    let taken = at(NOW_MS - 1_000);
    let mut scheduler = Scheduler::new(limits(), catalog, duty, 1, taken, taken);
    let job = |text: &str| text.parse().expect("a job id");
    scheduler.on_job(at(NOW_MS), job("000000000000000a"), row(0, true, 0), NOW_MS);
    scheduler.on_job(
        at(NOW_MS),
        job("000000000000000b"),
        row(1, false, NOW_MS),
        NOW_MS,
    );
    for name in ["one", "two"] {
        let report = AgentReport {
            agent: name.parse().expect("an agent id"),
            incarnation: Incarnation::new(1),
            sequence: 1,
            life: Some(WorkerLife {
                worker: format!("w-{name}").parse().expect("a worker id"),
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
        scheduler.on_report(at(NOW_MS), NOW_MS, &report);
    }
    for now in [NOW_MS, NOW_MS + 10, NOW_MS + 20] {
        scheduler.plan(at(now), Duration::ZERO);
        if scheduler.take_batch(at(now), now).is_some() {
            scheduler.on_commit(at(now), &StoreResult::Done { version: now });
        }
    }
    scheduler.take_decisions()
}

fn count(decisions: &[Decision], kind: DecisionKind) -> usize {
    decisions.iter().filter(|it| it.kind == kind).count()
}

/// Guards against runs that start before an urgent job without worth, are
/// stopped for it and start again without end: 14,730 starts in a day of 1,900
/// (scale-1 of mizani-haki-grown, worth -0.025).
#[gtest]
fn nothing_is_stopped_for_an_urgent_job_without_worth() {
    let decisions = decisions(0);
    expect_that!(count(&decisions, DecisionKind::Stop), eq(0));
    expect_that!(count(&decisions, DecisionKind::Start), eq(2));
}

/// Guards against a guarantee that lapses because its job is late already.
#[gtest]
fn an_urgent_job_within_its_guarantee_starts_first_however_late() {
    let decisions = decisions(2);
    expect_that!(count(&decisions, DecisionKind::Start), eq(2));
    expect_that!(
        decisions.first().map(|it| it.task.job.to_string()),
        some(eq("000000000000000a"))
    );
}
