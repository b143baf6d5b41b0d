//! Removal of the rows of jobs that ended long ago.

mod common;

use cumindeck_jobs::{JobProgress, Scheduler, StepProgress, StepSpec, StoreResult, TaskProgress};
use cumindeck_types::{JobId, RunNumber};
use googletest::prelude::*;

use common::{at, job_id};

/// Store time at which the job ended.
const ENDED_MS: u64 = 10_000;

fn job() -> JobId {
    job_id("0000000000000001")
}

fn step() -> StepSpec {
    StepSpec {
        tasks: 1,
        ..StepSpec::default()
    }
}

/// A scheduler that took over after the job had ended.
fn scheduler() -> Scheduler {
    let mut scheduler = common::scheduler(at(0), 0);
    let task = TaskProgress {
        run: RunNumber::new(1),
        is_done: true,
        ..TaskProgress::default()
    };
    let progress = JobProgress {
        occurrences: [(0, vec![StepProgress { tasks: vec![task] }])].into(),
        begun: 1,
        ended_store_ms: Some(ENDED_MS),
        ..JobProgress::default()
    };
    scheduler.on_job(at(0), job(), common::job(step()), 0);
    scheduler.on_progress(at(0), &job(), progress);
    scheduler
}

/// Returns the keys that the next transaction removes.
fn removed(scheduler: &mut Scheduler, now: u64) -> Vec<String> {
    let batch = scheduler.next_transaction(at(now), now).expect("a renewal");
    let changes = batch.transaction.changes.into_iter();
    changes
        .filter(|change| change.value.is_none())
        .map(|change| change.key.text())
        .collect()
}

/// Guards against a table that grows with each job, and against a state that is
/// removed too early (before 120 s and a margin).
#[gtest]
fn rows_of_an_ended_job_are_removed_after_their_time() {
    let mut scheduler = scheduler();
    expect_that!(removed(&mut scheduler, ENDED_MS + 150_000), is_empty());
    scheduler.on_commit(at(160_000), &StoreResult::Done { version: 2 });
    insta::assert_snapshot!(removed(&mut scheduler, ENDED_MS + 181_000).join("\n"));
}

/// Guards against rows of a cancelled job that are never removed.
#[gtest]
fn the_cancel_of_a_job_is_removed_with_it() {
    let mut scheduler = scheduler();
    scheduler.on_cancel(
        &job(),
        &cumindeck_jobs::CancelRow::default(),
        ENDED_MS + 1_000,
    );
    insta::assert_snapshot!(removed(&mut scheduler, ENDED_MS + 181_000).join("\n"));
}

/// Guards against a job that runs again because a read of all rows that began
/// before its removal ended after it.
#[gtest]
fn a_removed_job_does_not_come_back() {
    let mut scheduler = scheduler();
    let now = ENDED_MS + 181_000;
    expect_that!(removed(&mut scheduler, now), not(is_empty()));
    scheduler.on_commit(at(now), &StoreResult::Done { version: 2 });
    scheduler.on_job(at(now), job(), common::job(step()), now);
    expect_that!(scheduler.open_jobs(), eq(0));
}

/// Guards against a removal that is not retried after a conflict of its transaction.
#[gtest]
fn an_uncommitted_removal_is_repeated() {
    let mut scheduler = scheduler();
    let now = ENDED_MS + 181_000;
    expect_that!(removed(&mut scheduler, now), not(is_empty()));
    scheduler.on_commit(at(now), &StoreResult::Conflict(Vec::new()));
    expect_that!(removed(&mut scheduler, now + 300), not(is_empty()));
}
