//! Teams that ask for their guarantees while others use the accelerators.

use cumindeck_jobs::JobRow;
use googletest::prelude::*;

use crate::fleet::{ACCELERATORS, FOREVER_MS, Fleet};
use crate::job;

/// Time within which a guarantee must be met, as in the limits of the tests.
const RECLAIM_MS: u64 = 3_400;

/// Accelerators of all workers; half of them are guaranteed to each of two teams.
const ALL: u32 = 2 * ACCELERATORS;

const OTHER: &str = "00000000000000ff";
const OWED: &str = "00000000000000aa";

/// Two workers, whose accelerators are all guaranteed.
fn fleet() -> Fleet {
    Fleet::new(1, 2, ACCELERATORS)
}

/// A job of the team that does not ask for its guarantee.
fn of_other_team(row: JobRow) -> JobRow {
    let mut row = row;
    row.spec.team = "clinics".parse().ok();
    row
}

/// A bulk job of the other team whose tasks last.
fn lasting(tasks: u32) -> JobRow {
    let mut row = of_other_team(job(2, tasks, 1, 60_000));
    row.spec.steps[0].long_running = true;
    row
}

/// Submits an urgent job of `tasks` tasks within the guarantee, and returns the time until
/// all of them have started.
fn ask(fleet: &mut Fleet, id: &str, tasks: u32, duration_ms: u64) -> Option<u64> {
    fleet.submit(id, job(0, tasks, 1, duration_ms), duration_ms);
    fleet.run_until(fleet.now + 2 * RECLAIM_MS);
    fleet.all_started_after(id, tasks as usize)
}

/// Guards against a guarantee that urgent work of another team beyond its own keeps
/// (review/9, part 1).
#[gtest]
fn a_guarantee_is_taken_back_from_urgent_work_beyond_another_one() {
    let mut fleet = fleet();
    fleet.submit(OTHER, of_other_team(job(0, ALL, 1, 60_000)), 60_000);
    fleet.run_until(3_000);
    expect_that!(ask(&mut fleet, OWED, 4, 2_000), some(le(RECLAIM_MS)));
    expect_that!(fleet.stopped_for(OWED), eq(4));
}

/// Guards against a guarantee that tasks that last keep (review/9, part 2).
#[gtest]
fn a_guarantee_is_taken_back_from_tasks_that_last() {
    let mut fleet = fleet();
    fleet.submit(OTHER, lasting(ALL), FOREVER_MS);
    fleet.run_until(3_000);
    expect_that!(ask(&mut fleet, OWED, 4, 2_000), some(le(RECLAIM_MS)));
    expect_that!(fleet.stopped_for(OWED), eq(4));
}

/// Guards against a guarantee that is taken back as a number of accelerators on workers
/// where a task does not fit.
#[gtest]
fn a_guarantee_is_taken_back_as_shape() {
    let mut fleet = fleet();
    fleet.submit(OTHER, lasting(ALL), FOREVER_MS);
    fleet.run_until(3_000);
    fleet.submit(OWED, job(0, 1, ACCELERATORS, 2_000), 2_000);
    fleet.run_until(fleet.now + 2 * RECLAIM_MS);
    expect_that!(fleet.start_delay(OWED), some(le(RECLAIM_MS)));
    expect_that!(fleet.stopped_for(OWED), eq(ACCELERATORS as usize));
}

/// Guards against a guarantee that is met at the cost of another one: bulk work is stopped
/// first, urgent work within its guarantee never.
#[gtest]
fn work_within_a_guarantee_is_not_stopped_for_another_one() {
    let mut fleet = fleet();
    let within = "00000000000000ee";
    fleet.submit(within, of_other_team(job(0, 8, 1, 60_000)), 60_000);
    fleet.run_until(1_500);
    fleet.submit(OTHER, of_other_team(job(2, 8, 1, 60_000)), 60_000);
    fleet.run_until(3_000);
    expect_that!(ask(&mut fleet, OWED, 8, 2_000), some(le(RECLAIM_MS)));
    expect_that!(fleet.stops_and_starts(within), eq((0, 8)));
}

/// Guards against stops of an urgent job that leave its team less than its guarantee.
#[gtest]
fn a_team_beyond_its_guarantee_keeps_as_much_as_it_is_guaranteed() {
    let mut fleet = fleet();
    fleet.submit(OTHER, of_other_team(job(0, ALL, 1, 60_000)), 60_000);
    fleet.run_until(3_000);
    expect_that!(ask(&mut fleet, OWED, 8, 20_000), some(le(RECLAIM_MS)));
    expect_that!(fleet.stopped_for(OWED), eq(8));
}

/// Guards against a service that a guarantee takes below its minimum.
#[gtest]
fn a_guarantee_leaves_a_service_its_minimum() {
    let mut fleet = fleet();
    let mut service = lasting(ALL);
    service.spec.steps[0].max_unavailable = Some(2);
    fleet.submit(OTHER, service, FOREVER_MS);
    fleet.run_until(3_000);
    expect_that!(ask(&mut fleet, OWED, 2, 2_000), some(le(RECLAIM_MS)));
    ask(&mut fleet, "00000000000000ab", 4, 2_000);
    expect_that!(fleet.stopped_for("00000000000000ab"), le(2));
}

/// Guards against urgent work beyond its guarantee that stops a service or other urgent
/// work.
#[gtest]
fn work_beyond_its_guarantee_stops_neither_a_service_nor_urgent_work() {
    for other in [lasting(ALL), of_other_team(job(0, ALL, 1, 60_000))] {
        let mut fleet = fleet();
        fleet.submit(OTHER, other, FOREVER_MS);
        fleet.run_until(3_000);
        expect_that!(ask(&mut fleet, OWED, ACCELERATORS + 1, 20_000), none());
        expect_that!(fleet.stopped_for(OWED), eq(0));
    }
}

/// Guards against runs that are stopped and started again each time that a guarantee is
/// used, and against ones that stay away after the last time.
#[gtest]
fn a_guarantee_that_is_used_in_a_row_stops_runs_once() {
    let urgent = of_other_team(job(0, ALL, 1, 60_000));
    for (other, duration_ms) in [(lasting(ALL), FOREVER_MS), (urgent, 60_000)] {
        let mut fleet = fleet();
        fleet.submit(OTHER, other, duration_ms);
        fleet.run_until(3_000);
        for use_of_guarantee in 0..6 {
            let id = format!("00000000000000a{use_of_guarantee}");
            fleet.submit(&id, job(0, 4, 1, 500), 500);
            fleet.run_until(fleet.now + 2_000);
            expect_that!(fleet.all_started_after(&id, 4), some(le(RECLAIM_MS)));
        }
        expect_that!(fleet.stops_and_starts(OTHER), eq((4, ALL as usize)));
        // A lasting task may be down beside room for it for less than 3 s.
        fleet.run_until(fleet.now + 2_000);
        expect_that!(fleet.stops_and_starts(OTHER), eq((4, ALL as usize + 4)));
    }
}

/// Guards against urgent work beyond its guarantee that takes free accelerators before
/// work within its guarantee, which then has runs stopped.
#[gtest]
fn work_within_its_guarantee_starts_first() {
    let mut fleet = fleet();
    let first = "00000000000000f0";
    fleet.submit(first, of_other_team(job(0, ALL, 1, 5_000)), 5_000);
    fleet.run_until(1_500);
    fleet.submit(OTHER, of_other_team(job(0, ALL, 1, 60_000)), 60_000);
    fleet.run_until(5_500);
    expect_that!(ask(&mut fleet, OWED, 4, 2_000), some(le(RECLAIM_MS)));
    expect_that!(fleet.stopped_for(OWED), eq(0));
}

/// Guards against a guarantee that waits for runs whose progress says that they are about
/// to end, for as long as they do not.
#[gtest]
fn a_guarantee_does_not_wait_for_runs_that_stay_at_their_end() {
    let mut fleet = fleet();
    fleet.submit(OTHER, of_other_team(job(2, ALL, 1, 60_000)), FOREVER_MS);
    fleet.run_until(3_000);
    expect_that!(ask(&mut fleet, OWED, 4, 2_000), some(le(RECLAIM_MS)));
}

/// Guards against stops for tasks of a step that have started already.
#[gtest]
fn a_step_that_starts_in_part_has_runs_stopped_for_the_rest() {
    let mut fleet = fleet();
    fleet.submit(OTHER, lasting(ALL - 2), FOREVER_MS);
    fleet.run_until(3_000);
    expect_that!(ask(&mut fleet, OWED, 4, 2_000), some(le(RECLAIM_MS)));
    expect_that!(fleet.stopped_for(OWED), eq(2));
}
