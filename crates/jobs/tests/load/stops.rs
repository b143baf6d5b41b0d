//! Stops for urgent gangs on a fleet that batch work fills: the basic policy beside the
//! cost-aware one.

use std::fmt::Write;

use cumindeck_jobs::{DecisionKind, JobRow, PolicyChoice, PolicySettings};
use googletest::prelude::*;

use crate::fleet::{ACCELERATORS, Fleet};
use crate::{job, urgent_gang};

/// Duration of the batch tasks.
const BATCH_MS: u64 = 6_000;

/// Number of batch jobs.
const BATCH_JOBS: usize = 72;

/// Times between two batch jobs.
const INTERVALS_MS: [u64; 6] = [200, 250, 300, 350, 400, 450];

/// Tasks of a batch job.
const BATCH_TASKS: u32 = 8;

/// A fleet of 16 workers with stops chosen by this policy; each team has a guarantee of
/// this many accelerators.
fn fleet(stops: PolicyChoice, guaranteed: u32) -> Fleet {
    let mut fleet = Fleet::new(4, 4, guaranteed);
    fleet.scheduler.set_policies(PolicySettings {
        stops,
        ..PolicySettings::default()
    });
    fleet
}

/// A batch job in one of three forms: with checkpoints, without, and without much time to
/// spare.
fn batch(at: usize) -> JobRow {
    let mut row = job(2, BATCH_TASKS, 1, BATCH_MS);
    row.spec.steps[0].checkpoints = at.is_multiple_of(3);
    row.spec.slack_percent = if at % 3 == 1 { 115 } else { 180 };
    row
}

/// What a day of urgent gangs and batch work comes to.
#[derive(Debug, Default)]
struct Outcome {
    urgent_in_time: usize,
    batch_in_time: usize,
    /// Times at work in milliseconds of runs without checkpoints that were stopped.
    lost_ms: u64,
    stops: usize,
    most_stops_of_a_task: usize,
}

impl Outcome {
    /// Returns the work in milliseconds that callers lose: thrown away, or done late.
    fn caller_cost_ms(&self) -> u64 {
        let late = (BATCH_JOBS * INTERVALS_MS.len() - self.batch_in_time) as u64;
        self.lost_ms + late * u64::from(BATCH_TASKS) * BATCH_MS
    }
}

/// Plays 20 urgent gangs  on a fleet that 72 batch jobs fill.
///
/// A batch job comes each `interval_ms`.
fn play(stops: PolicyChoice, guaranteed: u32, interval_ms: u64, outcome: &mut Outcome) {
    let mut fleet = fleet(stops, guaranteed);
    let batches: Vec<(String, JobRow)> = (0..BATCH_JOBS)
        .map(|at| (format!("00000000000b{at:04x}"), batch(at)))
        .collect();
    let gangs: Vec<String> = (0..20).map(|at| format!("00000000000a{at:04x}")).collect();
    let mut waiting = gangs.iter();
    for (at, (id, row)) in batches.iter().enumerate() {
        fleet.submit(id, row.clone(), BATCH_MS);
        fleet.run_until(fleet.now + interval_ms);
        let is_due = at >= 12 && at % 2 == 0;
        if let Some(gang) = is_due.then(|| waiting.next()).flatten() {
            fleet.submit(gang, urgent_gang(2, ACCELERATORS, 2_500), 2_500);
        }
    }
    fleet.run_until(60_000);
    for id in &gangs {
        outcome.urgent_in_time += usize::from(fleet.is_in_time(id));
    }
    for (id, row) in &batches {
        outcome.batch_in_time += usize::from(fleet.is_in_time(id));
        let most = fleet.most_stops_of_a_task(id);
        outcome.most_stops_of_a_task = outcome.most_stops_of_a_task.max(most);
        let starts = fleet.times(id, DecisionKind::Start);
        for (stopped, task) in fleet.times(id, DecisionKind::Stop) {
            outcome.stops += 1;
            let before = starts
                .iter()
                .filter(|(at, it)| *it == task && *at <= stopped);
            let started = before.map(|(at, _)| *at).max().unwrap_or(stopped);
            if !row.spec.steps[0].checkpoints {
                outcome.lost_ms += stopped - started;
            }
        }
    }
}

/// Plays several rates of batch work, from little more than the room to twice as much.
fn play_all(stops: PolicyChoice, guaranteed: u32) -> Outcome {
    let mut outcome = Outcome::default();
    for interval_ms in INTERVALS_MS {
        play(stops, guaranteed, interval_ms, &mut outcome);
    }
    outcome
}

/// Guards against urgent gangs that throw away more batch work than they bring, by stops of
/// the same runs again and again and of jobs that become late by them.
#[gtest]
fn stops_for_a_burst_of_urgent_gangs() {
    let mut text = String::new();
    for (name, guaranteed) in [("within guarantees", u32::MAX), ("beyond guarantees", 0)] {
        let basic = play_all(PolicyChoice::Basic, guaranteed);
        let aware = play_all(PolicyChoice::CostAware, guaranteed);
        let _ = writeln!(text, "{name}\n  basic: {basic:?}\n  cost-aware: {aware:?}");
        let most = basic.caller_cost_ms();
        expect_that!(aware.caller_cost_ms(), le(most), "{name}");
        expect_that!(aware.urgent_in_time, ge(basic.urgent_in_time), "{name}");
        expect_that!(aware.batch_in_time, ge(basic.batch_in_time), "{name}");
    }
    insta::assert_snapshot!(text);
}

/// Guards against a guarantee that is not met since the runs in its way were stopped before.
#[gtest]
fn a_guarantee_passes_the_bound_on_stops() {
    let mut fleet = Fleet::new(1, 2, u32::MAX);
    fleet.scheduler.set_policies(PolicySettings {
        stops: PolicyChoice::CostAware,
        ..PolicySettings::default()
    });
    // Without time to spare, it leaves no headroom to urgent work.
    let mut batch = job(2, 16, 1, 60_000);
    batch.spec.slack_percent = 100;
    fleet.submit("00000000000000ff", batch, 60_000);
    fleet.run_until(3_000);
    for at in 0..5 {
        let id = format!("00000000000000a{at}");
        fleet.submit(&id, urgent_gang(2, ACCELERATORS, 1_000), 1_000);
        fleet.run_until(fleet.now + 4_000);
        // The limit of the tests for a guarantee.
        expect_that!(fleet.start_delay(&id), some(le(3_400)), "start of {id}");
    }
    expect_that!(fleet.most_stops_of_a_task("00000000000000ff"), eq(5));
}

/// Guards against a leader that ends by an overflow when a run with the longest estimate could
/// be stopped.
#[gtest]
fn the_longest_estimate_can_be_weighed() {
    // The job of the last one is in time only without a stop.
    for estimate_ms in [u64::MAX, u64::MAX / 2, u64::MAX - 2_000] {
        let mut fleet = fleet(PolicyChoice::CostAware, u32::MAX);
        fleet.scheduler.set_policies(PolicySettings {
            stops: PolicyChoice::CostAware,
            speeds: PolicyChoice::CostAware,
            ..PolicySettings::default()
        });
        let mut batch = job(2, 128, 1, estimate_ms);
        batch.spec.slack_percent = 100;
        fleet.submit("00000000000000ff", batch, 60_000);
        fleet.run_until(3_000);
        fleet.submit(
            "00000000000000aa",
            urgent_gang(2, ACCELERATORS, 1_000),
            1_000,
        );
        fleet.run_until(8_000);
        expect_that!(fleet.start_delay("00000000000000aa"), some(le(3_400)));
    }
}
