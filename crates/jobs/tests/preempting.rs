//! Preemption: which runs are stopped for urgent jobs.

mod common;

use std::time::Duration;

use cumindeck_jobs::{Decision, DecisionKind, JobRow, StepSpec, StoreResult};
use googletest::prelude::*;

use common::{at, job, job_id, report};

/// Time since the acceptance of the urgent job; more than three times its objective.
const NOW_MS: u64 = 30_000;

fn row(priority: u32, gang: bool) -> JobRow {
    let mut row = job(StepSpec {
        tasks: 2,
        estimate_ms: 1_000,
        gang,
        ..StepSpec::default()
    });
    row.spec.priority = priority;
    row
}

/// Two workers with capacity for one task each, an urgent gang that has waited for
/// 30 s, and a job of usual priority that was just accepted; returns the decisions
/// of three plans.
fn decisions(guaranteed: u32) -> Vec<Decision> {
    let mut scheduler = common::scheduler(at(NOW_MS - 1_000), guaranteed);
    let late = JobRow {
        accepted_store_ms: 0,
        ..row(0, true)
    };
    let usual = JobRow {
        accepted_store_ms: NOW_MS,
        ..row(1, false)
    };
    scheduler.on_job(at(NOW_MS), job_id("000000000000000a"), late, NOW_MS);
    scheduler.on_job(at(NOW_MS), job_id("000000000000000b"), usual, NOW_MS);
    for name in ["one", "two"] {
        let report = report(name, 1, Vec::new());
        scheduler.on_report(at(NOW_MS), NOW_MS, &report);
    }
    for now in [NOW_MS, NOW_MS + 10, NOW_MS + 20] {
        scheduler.plan(at(now), Duration::ZERO);
        if scheduler.next_transaction(at(now), now).is_some() {
            scheduler.on_commit(at(now), &StoreResult::Done { version: now });
        }
    }
    scheduler.take_decisions()
}

fn count(decisions: &[Decision], kind: DecisionKind) -> usize {
    decisions.iter().filter(|it| it.kind == kind).count()
}

/// Guards against runs that start before an urgent job without value, are stopped
/// for it and start again, endlessly: 14,730 starts in a day of 1,900 (scale-1 of
/// mizani-haki-grown, value -0.025).
#[gtest]
fn nothing_is_stopped_for_an_urgent_job_without_value() {
    let decisions = decisions(0);
    expect_that!(count(&decisions, DecisionKind::Stop), eq(0));
    expect_that!(count(&decisions, DecisionKind::Start), eq(2));
}

/// Guards against a guarantee that is ignored because its job is already late.
#[gtest]
fn an_urgent_job_within_its_guarantee_starts_first_however_late() {
    let decisions = decisions(2);
    expect_that!(count(&decisions, DecisionKind::Start), eq(2));
    expect_that!(
        decisions.first().map(|it| it.task.job.to_string()),
        some(eq("000000000000000a"))
    );
}
