//! Replays of load patterns: who waits, who is placed and who is stopped.

mod admitting;
#[path = "../common/mod.rs"]
mod common;
mod fleet;
mod guarantees;
mod ordering;
mod outcomes;
mod probes;
mod recorded;
mod reserving;
mod speeds;
mod stops;

use cumindeck_jobs::{JobRow, StepSpec};
use googletest::prelude::*;

use fleet::{ACCELERATORS, Fleet, resources};

/// A job of `tasks` tasks with this many accelerators each.
fn job(priority: u32, tasks: u32, accelerators: u32, estimate_ms: u64) -> JobRow {
    let mut row = common::job(StepSpec {
        tasks,
        estimate_ms,
        ..StepSpec::default()
    });
    row.spec.priority = priority;
    row.spec.steps[0].resources = resources(accelerators);
    row
}

/// A gang that should run in a single rack, with a slack of half its duration.
fn urgent_gang(tasks: u32, accelerators: u32, estimate_ms: u64) -> JobRow {
    let mut row = job(0, tasks, accelerators, estimate_ms);
    row.spec.slack_percent = 150;
    row.spec.steps[0].gang = true;
    row.spec.steps[0].same_rack = true;
    row
}

/// Guards against stops that are repeated while those before take effect: newer urgent
/// steps took the workers where runs were being stopped for an older one, which was late
/// and ranked behind them; 306 runs of 17 jobs were stopped for it (trouble-3 of
/// plume-thies-large).
#[gtest]
fn a_burst_of_urgent_gangs_stops_no_more_than_it_needs() {
    let mut fleet = Fleet::new(6, 4, u32::MAX);
    fleet.submit("00000000000000ff", job(2, 192, 1, 60_000), 60_000);
    fleet.run_until(3_000);
    let mut gangs = vec!["00000000000000ee".to_owned()];
    fleet.submit_late(&gangs[0], urgent_gang(2, ACCELERATORS, 2_500), 2_500, 4_000);
    for at in 0..8 {
        fleet.run_until(fleet.now + 50);
        let id = format!("00000000000000a{at}");
        fleet.submit(&id, urgent_gang(2, ACCELERATORS, 2_500), 2_500);
        gangs.push(id);
    }
    fleet.run_until(8_000);
    for id in &gangs {
        // Two tasks on two workers, each with a run on every accelerator.
        let most = 2 * ACCELERATORS as usize;
        expect_that!(fleet.stopped_for(id), le(most), "stopped for {id}");
        expect_that!(fleet.start_delay(id), some(le(1_000)), "start of {id}");
    }
}

/// A full fleet whose runs have been at work for `worked_ms` when an urgent gang
/// beyond its team's guarantee arrives; returns the runs that are stopped for it.
fn stopped_beyond_guarantee(worked_ms: u64) -> (usize, Option<u64>) {
    let mut fleet = Fleet::new(2, 4, 0);
    fleet.submit("00000000000000ff", job(2, 64, 1, 60_000), 60_000);
    fleet.run_until(1_100 + worked_ms);
    fleet.submit(
        "00000000000000aa",
        urgent_gang(2, ACCELERATORS, 2_500),
        2_500,
    );
    fleet.run_until(fleet.now + 3_000);
    let stopped = fleet.stopped_for("00000000000000aa");
    (stopped, fleet.start_delay("00000000000000aa"))
}

/// Guards against urgent jobs beyond their guarantee that wait on a full fleet until
/// they are late: only runs at work for less than 600 ms were stopped for them, so that
/// 53 of 180 were in time (scale-2 of plume-thies-large).
#[gtest]
fn urgent_work_beyond_its_guarantee_stops_runs_that_lose_less_than_it_brings() {
    // The gang brings 2 x 2.5 s of 8 accelerators; the stops lose 16 x 1 s of one.
    let (stopped, delay) = stopped_beyond_guarantee(1_000);
    expect_that!(stopped, eq(2 * ACCELERATORS as usize));
    expect_that!(delay, some(le(1_000)));
}

/// Guards against stops that cost more than they bring.
#[gtest]
fn urgent_work_beyond_its_guarantee_stops_nothing_that_loses_more_than_it_brings() {
    // The stops would lose 16 x 5 s of one accelerator, twice what the gang brings.
    let (stopped, _) = stopped_beyond_guarantee(5_000);
    expect_that!(stopped, eq(0));
}

/// Guards against a job that holds its rank until its objective has passed, although it
/// can't be in time any more, while one that still can waits and becomes late as well.
#[gtest]
fn a_job_that_can_be_in_time_starts_before_one_that_cannot() {
    let mut fleet = Fleet::new(1, 1, 0);
    fleet.submit("00000000000000ff", job(1, 1, ACCELERATORS, 8_000), 8_000);
    fleet.run_until(1_100);
    // Objectives: 300 % of the estimate and 500 ms. At 9 s the first has 0.6 s left for
    // 2.7 s of work, the second has 5.7 s left for 2.5 s.
    fleet.submit("00000000000000aa", job(1, 1, ACCELERATORS, 2_700), 2_700);
    fleet.run_until(6_700);
    fleet.submit("00000000000000bb", job(1, 1, ACCELERATORS, 2_500), 2_500);
    fleet.run_until(16_000);
    let delay = |id| fleet.start_delay(id).map(|delay| delay / 1_000);
    expect_that!(delay("00000000000000bb"), some(eq(2)));
    expect_that!(delay("00000000000000aa"), some(eq(10)));
}

/// Guards against a stop for each urgent gang on a fleet that batch work keeps full,
/// although the batch work has seconds to spare: 905 runs were stopped on a day (scale-1
/// of plume-thies-large).
#[gtest]
fn batch_work_with_time_to_spare_leaves_headroom_for_urgent_gangs() {
    let mut fleet = Fleet::new(8, 4, u32::MAX);
    let (mut urgent, mut batch) = (0, 0);
    for at in 0..96 {
        if at % 3 == 0 {
            let id = format!("00000000000000{urgent:02x}");
            fleet.submit(&id, urgent_gang(2, ACCELERATORS, 2_000), 2_000);
            urgent += 1;
        }
        // 10 tasks each 250 ms with durations of 3 to 8 s need nearly all of the 256
        // accelerators, and end one by one.
        for _ in 0..5 {
            let duration = 3_000 + batch * 977 % 5_000;
            let id = format!("00000000000f{batch:04x}");
            fleet.submit(&id, job(2, 2, 1, duration), duration);
            batch += 1;
        }
        fleet.run_until(fleet.now + 250);
    }
    let stopped: usize = (16..urgent)
        .map(|at| fleet.stopped_for(&format!("00000000000000{at:02x}")))
        .sum();
    expect_that!(stopped, eq(0));
}

/// Guards against tasks that start on a worker that hangs and whose runs show it: on
/// scale-2 of plume-thies-large 11 urgent gangs had to start again.
#[gtest]
fn a_worker_whose_run_makes_no_progress_is_chosen_last() {
    let mut fleet = Fleet::new(1, 3, 0);
    // One run on each worker, with capacity for more.
    for (index, id) in ["00000000000000f0", "00000000000000f1", "00000000000000f2"]
        .into_iter()
        .enumerate()
    {
        fleet.submit(id, job(1, 1, 5, 20_000), 20_000);
        fleet.run_until(fleet.now + 300);
        expect_that!(fleet.started_on(id), len(eq(1)), "start {index}");
    }
    fleet.run_until(6_000);
    let hung: usize = 0;
    fleet.hang(hung);
    fleet.run_until(8_000);
    fleet.submit("00000000000000aa", job(1, 2, 3, 2_000), 2_000);
    fleet.run_until(fleet.now + 200);
    let started = fleet.started_on("00000000000000aa");
    expect_that!(started, len(eq(2)));
    expect_that!(started, not(contains(eq("side-000"))));
}

/// Guards against a scheduler that computes the orders of all agents on each wake-up,
/// which took most of the leader's processor time with 160 agents.
#[gtest]
fn only_agents_with_changes_are_checked_for_orders() {
    let mut fleet = Fleet::new(4, 4, 0);
    fleet.run_until(2_000);
    let idle = fleet.scheduler.agents_to_check(common::at(fleet.now));
    let idle: Vec<_> = idle
        .into_iter()
        .filter(|agent| {
            let now = common::at(fleet.now);
            fleet.scheduler.has_updates(now, agent, u64::MAX)
        })
        .collect();
    expect_that!(idle, is_empty());
    let again = fleet.scheduler.agents_to_check(common::at(fleet.now));
    expect_that!(again, is_empty());
    fleet.submit("00000000000000aa", job(1, 1, 1, 2_000), 2_000);
    fleet.run_until(fleet.now + 10);
    let checked = fleet.scheduler.agents_to_check(common::at(fleet.now + 500));
    let started = fleet.started_on("00000000000000aa");
    let checked: Vec<String> = checked.iter().map(ToString::to_string).collect();
    expect_that!(checked, eq(&started));
}
