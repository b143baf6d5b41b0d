//! Workers that restart under waiting tasks and may drop ends of runs.

use googletest::prelude::*;

use crate::fleet::{ACCELERATORS, Fleet};
use crate::{job, urgent_gang};

/// Racks and workers of the fleet that restarts, 70 workers.
const RACKS: usize = 14;
const WORKERS_PER_RACK: usize = 5;

/// Jobs that wait, with 20 tasks each.
const WAITING: [&str; 10] = [
    "00000000000000a0",
    "00000000000000a1",
    "00000000000000a2",
    "00000000000000a3",
    "00000000000000a4",
    "00000000000000a5",
    "00000000000000a6",
    "00000000000000a7",
    "00000000000000a8",
    "00000000000000a9",
];

/// A fleet under 200 waiting tasks of `accelerators` each, in which the workers from `settled`
/// on have just restarted and drop as many ends as `drops` says.
fn restarted(settled: usize, accelerators: u32, drops: impl Fn(usize) -> usize) -> Fleet {
    let mut fleet = Fleet::new(RACKS, WORKERS_PER_RACK, u32::MAX);
    for worker in settled..RACKS * WORKERS_PER_RACK {
        fleet.restart(worker, drops(worker));
    }
    for id in WAITING {
        fleet.submit(id, job(1, 20, accelerators, 5_000), 5_000);
    }
    fleet
}

/// Acknowledgements of different ages came late.
fn mixed_drops(worker: usize) -> usize {
    worker * 7 % 40
}

/// Expects that all waiting tasks are at work within a second, with few uses of each before.
fn expect_at_work_within_a_second(mut fleet: Fleet) {
    fleet.run_until(fleet.now + 1_000);
    for id in WAITING {
        expect_that!(fleet.began_work(id), eq(20), "work of {id}");
        expect_that!(fleet.probes_of(id), each(le(&2)), "probes of {id}");
    }
}

/// Guards against a fleet that gets no work for seconds after a loss of power: workers were
/// withheld for up to 3.5 s (kestrel-prod-grown, trouble-1).
#[gtest]
fn a_fleet_that_restarts_under_waiting_tasks_is_at_work_within_a_second() {
    expect_at_work_within_a_second(restarted(0, 2, mixed_drops));
}

/// Guards against waiting tasks that all show whether a few workers list ends, which have
/// dropped many, while others would be settled at once.
#[gtest]
fn tasks_do_not_wait_for_the_workers_that_drop_most() {
    let drops = |worker| if worker < 25 { 200 } else { 0 };
    expect_at_work_within_a_second(restarted(0, 1, drops));
}

/// Guards against a task that is bound to one worker in doubt after the other while settled
/// workers get room: one task was used 14 times (kestrel-prod-grown, trouble-1).
#[gtest]
fn a_task_does_not_wait_behind_a_doubt_while_settled_workers_have_room() {
    let mut fleet = restarted(30, 2, mixed_drops);
    // The first 30 workers have room for 120 of the 200 tasks.
    fleet.run_until(fleet.now + 1_500);
    for id in WAITING {
        expect_that!(fleet.probes_of(id), each(le(&2)), "probes of {id}");
    }
    for id in &WAITING[..6] {
        expect_that!(fleet.probes_of(id), is_empty(), "probes of {id}");
        expect_that!(fleet.work_begins_after(id), some(le(500)), "work of {id}");
    }
}

/// Guards against a gang within a guarantee that waits for the runs of its member on a worker
/// in doubt, while others are settled meanwhile.
#[gtest]
fn an_urgent_gang_starts_as_soon_as_its_workers_are_settled() {
    let mut fleet = Fleet::new(1, 3, u32::MAX);
    fleet.restart(0, 0);
    fleet.restart(1, 0);
    fleet.restart(2, 400);
    let gang = "00000000000000aa";
    fleet.submit(gang, urgent_gang(2, ACCELERATORS, 5_000), 5_000);
    fleet.submit("00000000000000b0", job(1, 4, 4, 20_000), 20_000);
    fleet.run_until(fleet.now + 3_000);
    expect_that!(fleet.work_begins_after(gang), some(le(1_000)));
}
