//! Which runs are moved to other workers.

mod common;

use std::time::Duration;

use cumindeck_jobs::{
    AgentReport, DecisionKind, RunReport, RunState, Scheduler, StepSpec, StoreResult, TaskId,
};
use cumindeck_types::RunNumber;
use googletest::prelude::*;

use common::{at, job, job_id};

const JOB: &str = "0000000000000001";

/// A scheduler with a job whose tasks occupy one worker each.
struct Fixture {
    scheduler: Scheduler,
    workers: usize,
    sequence: u64,
    leaves_in_ms: Option<u64>,
}

impl Fixture {
    /// Starts `tasks` tasks like `step` at 300 ms on as many workers.
    fn new(tasks: u32, step: StepSpec) -> Self {
        let mut scheduler = common::scheduler(at(0), 0);
        let mut row = job(StepSpec {
            tasks,
            estimate_ms: 2_000,
            ..step
        });
        row.spec.priority = 0;
        scheduler.on_job(at(0), job_id(JOB), row, 0);
        let mut fixture = Self {
            scheduler,
            workers: tasks as usize,
            sequence: 0,
            leaves_in_ms: None,
        };
        let idle = vec![None; fixture.workers];
        fixture.stops(300, &idle);
        fixture
    }

    /// Reports each worker with the progress of its task, plans, and returns the
    /// tasks that are stopped with the reason.
    fn stops(&mut self, now: u64, percents: &[Option<u32>]) -> Vec<String> {
        self.sequence += 1;
        for (worker, percent) in percents.iter().enumerate() {
            let runs = percent.map(|percent| RunReport {
                task: task(worker),
                run: RunNumber::new(1),
                state: RunState::Active {
                    percent,
                    checkpoint: String::new(),
                },
            });
            let report = self.report(worker, runs.into_iter().collect());
            self.scheduler.on_report(at(now), now, &report);
        }
        self.scheduler.plan(at(now), Duration::ZERO);
        if self.scheduler.next_transaction(at(now), now).is_some() {
            let done = StoreResult::Done { version: now };
            self.scheduler.on_commit(at(now), &done);
        }
        let decisions = self.scheduler.take_decisions().into_iter();
        decisions
            .filter(|decision| decision.kind == DecisionKind::Stop)
            .map(|decision| format!("{}: {}", decision.task.index, decision.reason))
            .collect()
    }

    fn report(&self, worker: usize, runs: Vec<RunReport>) -> AgentReport {
        let mut report = common::report(&format!("agent-{worker}"), self.sequence, runs);
        if let Some(incarnation) = &mut report.worker_incarnation {
            incarnation.is_draining = self.leaves_in_ms.is_some();
            incarnation.leaves_in_ms = self.leaves_in_ms;
        }
        report
    }
}

fn task(index: usize) -> TaskId {
    format!("{JOB}.0.0.{index}").parse().expect("a task")
}

fn gang() -> StepSpec {
    StepSpec {
        gang: true,
        ..StepSpec::default()
    }
}

/// Reports every 400 ms progress in which task N advances by `rates[N]` percent,
/// until a run is stopped; returns the time and the stops.
fn first_stop(fixture: &mut Fixture, rates: &[u32]) -> Option<(u64, Vec<String>)> {
    for report in 0..12 {
        let percents: Vec<_> = rates
            .iter()
            .map(|rate| Some((rate * report).min(100)))
            .collect();
        let now = 700 + u64::from(report) * 400;
        let stops = fixture.stops(now, &percents);
        if !stops.is_empty() {
            return Some((now, stops));
        }
    }
    None
}

/// Guards against an urgent gang that takes six times as long because of one
/// slow worker (scale-1 of mizani-haki-grown).
#[gtest]
fn a_slow_member_moves_its_gang() {
    let mut fixture = Fixture::new(4, gang());
    let (now, stops) = first_stop(&mut fixture, &[16, 16, 3, 16]).expect("a stop");
    expect_that!(now, le(2_700));
    insta::assert_snapshot!(stops.join("\n"));
}

/// Guards against moves of runs whose speeds differ as usual in a step.
#[gtest]
fn runs_of_uneven_speed_are_not_moved() {
    let mut fixture = Fixture::new(4, gang());
    expect_that!(first_stop(&mut fixture, &[16, 11, 20, 12]), none());
}

/// Guards against a gang that is stopped because its faster members wait at 100 %
/// for the slowest one (a quiet day of mizani-haki-grown lost half its value).
#[gtest]
fn a_member_at_100_percent_is_not_stalled() {
    let mut fixture = Fixture::new(4, gang());
    expect_that!(first_stop(&mut fixture, &[50, 50, 8, 50]), none());
}

/// Guards against a wait of 3 s for a short task that stalls.
#[gtest]
fn a_short_stalled_task_is_moved_early() {
    let mut fixture = Fixture::new(1, StepSpec::default());
    let (now, stops) = first_stop(&mut fixture, &[0]).expect("a stop");
    expect_that!(now, le(2_700));
    insta::assert_snapshot!(stops.join("\n"));
}

/// Guards against runs that are lost with their worker although it announced its leaving.
#[gtest]
fn a_run_that_outlasts_its_worker_is_moved() {
    let mut fixture = Fixture::new(1, StepSpec::default());
    fixture.stops(700, &[Some(10)]);
    fixture.leaves_in_ms = Some(1_000);
    let stops = fixture.stops(1_100, &[Some(20)]);
    insta::assert_snapshot!(stops.join("\n"));
}

/// Guards against stops of runs that end before their worker leaves.
#[gtest]
fn a_run_that_ends_before_its_worker_leaves_is_not_moved() {
    let mut fixture = Fixture::new(1, StepSpec::default());
    fixture.stops(700, &[Some(10)]);
    fixture.leaves_in_ms = Some(2_500);
    expect_that!(fixture.stops(1_100, &[Some(40)]), is_empty());
}
