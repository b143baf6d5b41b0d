//! Large gangs that wait, and the smaller jobs behind them.

use cumindeck_jobs::{DecisionKind, JobRow};
use googletest::prelude::*;

use crate::fleet::{ACCELERATORS, FOREVER_MS, Fleet};
use crate::job;

/// Longest wait of a small job beside idle workers; the platform counts one of 3 s as lost.
const MAX_IDLE_WAIT_MS: u64 = 3_000;

const GANG: &str = "00000000000000aa";

/// A gang that needs all accelerators of `workers` workers.
fn gang(workers: u32) -> JobRow {
    let mut row = job(1, workers, ACCELERATORS, 11_000);
    row.spec.steps[0].gang = true;
    row
}

/// A service with a task of one accelerator on each of `workers` workers.
fn service(workers: u32) -> JobRow {
    let mut row = job(1, workers, 1, 1_000);
    row.spec.steps[0].long_running = true;
    row.spec.steps[0].max_per_worker = Some(1);
    row
}

/// Submits a small job of `duration_ms` each second for `seconds`, and returns their
/// longest start delay; `None` if one has not started 3 s after the last.
fn longest_delay(fleet: &mut Fleet, seconds: u64, duration_ms: u64) -> Option<u64> {
    let ids: Vec<String> = (0..seconds)
        .map(|at| format!("00000000000b{at:04x}"))
        .collect();
    for id in &ids {
        fleet.submit(id, job(1, 1, 1, duration_ms), duration_ms);
        fleet.run_until(fleet.now + 1_000);
    }
    fleet.run_until(fleet.now + MAX_IDLE_WAIT_MS);
    let delays: Option<Vec<u64>> = ids.iter().map(|id| fleet.start_delay(id)).collect();
    delays?.into_iter().max()
}

/// Guards against jobs that don't start on idle workers, because a gang that can't start
/// beside a service has reserved them (review/10).
#[gtest]
fn a_gang_that_waits_for_a_service_reserves_nothing() {
    let mut fleet = Fleet::new(1, 4, 0);
    fleet.submit("00000000000000ff", service(4), FOREVER_MS);
    fleet.run_until(3_000);
    fleet.submit(GANG, gang(4), 11_000);
    fleet.run_until(6_000);
    let delay = longest_delay(&mut fleet, 6, 500);
    expect_that!(delay, some(le(MAX_IDLE_WAIT_MS)));
}

/// Guards against a gang that starves beside a service that leaves it enough workers.
#[gtest]
fn a_gang_reserves_the_workers_without_the_service() {
    let mut fleet = Fleet::new(1, 5, 0);
    fleet.submit("00000000000000ff", service(1), FOREVER_MS);
    for at in 0..100 {
        if at == 20 {
            fleet.submit(GANG, gang(4), 11_000);
        }
        fleet.submit(&format!("00000000000b{at:04x}"), job(1, 1, 1, 2_000), 2_000);
        fleet.run_until(fleet.now + 100);
    }
    // The wait for the reservation, and the duration of a small job.
    expect_that!(fleet.start_delay(GANG), some(le(2_000 + 2_000 + 500)));
}

/// Guards against a gang that starves behind a stream of small jobs, which together use
/// less than two thirds of the workers.
#[gtest]
fn small_jobs_do_not_starve_a_gang() {
    let mut fleet = Fleet::new(1, 4, 0);
    for at in 0..100 {
        if at == 20 {
            fleet.submit(GANG, gang(4), 11_000);
        }
        fleet.submit(&format!("00000000000b{at:04x}"), job(1, 1, 1, 2_000), 2_000);
        fleet.run_until(fleet.now + 100);
    }
    expect_that!(fleet.start_delay(GANG), some(le(2_000 + 2_000 + 500)));
}

/// Guards against idle workers that are kept for a gang for as long as a run on one of
/// them lasts, although jobs that end before would not delay the gang.
#[gtest]
fn short_jobs_run_while_a_gang_waits_for_a_long_run() {
    let mut fleet = Fleet::new(1, 4, 0);
    fleet.submit("00000000000000ff", job(1, 1, 1, 40_000), 40_000);
    fleet.run_until(3_000);
    fleet.submit(GANG, gang(4), 11_000);
    fleet.run_until(6_000);
    let delay = longest_delay(&mut fleet, 6, 500);
    expect_that!(delay, some(le(MAX_IDLE_WAIT_MS)));
    expect_that!(fleet.start_delay(GANG), none());
    // The log shows once why the workers are kept.
    let reservations = fleet.decisions.iter();
    let reservations = reservations.filter(|(_, it)| it.kind == DecisionKind::Reserve);
    expect_that!(reservations.count(), eq(1));
    fleet.run_until(45_000);
    // The long run ends 38 s after the gang was submitted.
    expect_that!(fleet.start_delay(GANG), some(le(38_000 + 500)));
}

/// Guards against short jobs that follow each other in place of a gang.
#[gtest]
fn short_jobs_leave_the_workers_in_time_for_a_gang() {
    let mut fleet = Fleet::new(1, 4, 0);
    fleet.submit("00000000000000ff", job(1, 1, 1, 12_000), 12_000);
    fleet.run_until(3_000);
    fleet.submit(GANG, gang(4), 11_000);
    for at in 0..200 {
        fleet.submit(&format!("00000000000b{at:04x}"), job(1, 1, 1, 2_000), 2_000);
        fleet.run_until(fleet.now + 100);
    }
    // The long run ends 10 s after the gang was submitted.
    expect_that!(fleet.start_delay(GANG), some(le(10_000 + 1_000)));
}
