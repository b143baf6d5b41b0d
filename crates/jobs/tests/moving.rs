//! Which runs are stopped to start elsewhere.

mod common;

use std::time::Duration;

use cumindeck_jobs::{
    AgentReport, DecisionKind, RunReport, RunState, Scheduler, StepSpec, StoreResult, TaskId,
};
use cumindeck_types::RunNumber;
use googletest::prelude::*;

use common::{at, job, job_id};

const JOB: &str = "0000000000000001";

/// A scheduler with a job whose tasks fill a worker each.
struct Fixture {
    scheduler: Scheduler,
    workers: usize,
    sequence: u64,
    leaves_in_ms: Option<u64>,
}

impl Fixture {
    /// Starts `tasks` tasks like `step` at 300 ms, one on each of as many workers.
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

    /// Takes a report of each worker with the progress of its task, plans, and
    /// returns the tasks that are stopped and why.
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
        if self.scheduler.take_batch(at(now), now).is_some() {
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
        if let Some(life) = &mut report.life {
            life.is_draining = self.leaves_in_ms.is_some();
            life.leaves_in_ms = self.leaves_in_ms;
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

/// Plays reports each 400 ms, in which task N advances by `rates[N]` percent,
/// until a run is stopped; returns when and which.
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

/// Guards against moves of runs that are as unequal as tasks of a step usually are.
#[gtest]
fn uneven_runs_stay() {
    let mut fixture = Fixture::new(4, gang());
    expect_that!(first_stop(&mut fixture, &[16, 11, 20, 12]), none());
}

/// Guards against a gang that is stopped because its faster members wait at
/// 100 % for the slowest one (a quiet day of mizani-haki-grown lost half its worth).
#[gtest]
fn a_member_that_is_through_does_not_stand_still() {
    let mut fixture = Fixture::new(4, gang());
    expect_that!(first_stop(&mut fixture, &[50, 50, 8, 50]), none());
}

/// Guards against a wait of 3 s for a short task that stands still.
#[gtest]
fn a_short_task_that_stands_still_is_moved_early() {
    let mut fixture = Fixture::new(1, StepSpec::default());
    let (now, stops) = first_stop(&mut fixture, &[0]).expect("a stop");
    expect_that!(now, le(2_700));
    insta::assert_snapshot!(stops.join("\n"));
}

/// Guards against runs that end with their worker although it has said when it leaves.
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
fn a_run_that_ends_before_its_worker_leaves_stays() {
    let mut fixture = Fixture::new(1, StepSpec::default());
    fixture.stops(700, &[Some(10)]);
    fixture.leaves_in_ms = Some(2_500);
    expect_that!(fixture.stops(1_100, &[Some(40)]), is_empty());
}
