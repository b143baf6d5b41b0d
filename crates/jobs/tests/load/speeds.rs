//! Workers of unequal speed: what is learned, and who gets the faster ones.

use std::fmt::Write;

use cumindeck_jobs::{
    JobRow, LearnedSpeed, PolicyChoice, PolicySettings, SpeedClass, SpeedStatus, WorkKind,
};
use googletest::prelude::*;

use crate::common::{at, scheduler};
use crate::fleet::{ACCELERATORS, Fleet};
use crate::{job, urgent_gang};

/// Speeds of a fleet in which each fourth worker is more than twice as fast.
const TWO_SPEEDS: [u64; 4] = [182, 83, 83, 83];

/// One task in so many takes seven times as long.
const TAIL_INTERVAL: u64 = 33;

fn settings(speeds: PolicyChoice) -> PolicySettings {
    PolicySettings {
        speeds,
        ..PolicySettings::default()
    }
}

/// A fleet of 24 workers with these speeds and tails.
fn fleet(speeds: &[u64], policy: PolicyChoice) -> Fleet {
    let mut fleet = Fleet::new(4, 6, u32::MAX);
    fleet.set_speeds(speeds);
    fleet.set_tails(TAIL_INTERVAL);
    fleet.scheduler.set_policies(settings(policy));
    fleet
}

/// A batch job whose tasks fill half of a worker; its estimate is wrong by up to a factor of
/// two.
fn batch(at: u64) -> (JobRow, u64) {
    let duration = 3_000 + at * 977 % 4_000;
    let estimate = duration * (50 + at * 389 % 150) / 100;
    (job(2, 12, 4, estimate), duration)
}

/// Plays batch jobs one after the other, and urgent gangs among them.
fn play(fleet: &mut Fleet, jobs: u64) -> (usize, usize) {
    let (mut urgent, mut others) = (Vec::new(), Vec::new());
    for number in 0..jobs {
        let (row, duration) = batch(number);
        let id = format!("00000000000b{number:04x}");
        fleet.submit(&id, row, duration);
        others.push(id);
        if number % 2 == 1 {
            let id = format!("00000000000a{number:04x}");
            fleet.submit(&id, urgent_gang(4, ACCELERATORS / 2, 2_500), 2_500);
            urgent.push(id);
        }
        fleet.run_until(fleet.now + 900);
    }
    fleet.run_until(fleet.now + 30_000);
    let in_time = |ids: &[String]| ids.iter().filter(|id| fleet.is_in_time(id)).count();
    (in_time(&urgent), in_time(&others))
}

/// Guards against gangs that mix workers of two speeds, so that most of their members wait for
/// the slowest one.
#[gtest]
fn two_speeds_of_workers() {
    let mut text = String::new();
    let mut waits = Vec::new();
    let mut in_time = Vec::new();
    for policy in [PolicyChoice::Basic, PolicyChoice::CostAware] {
        let mut fleet = fleet(&TWO_SPEEDS, policy);
        let (urgent, batch) = play(&mut fleet, 60);
        let (wait, fast) = (
            fleet.gang_wait_ms,
            fleet.scheduler.workers_of(SpeedClass::Fast),
        );
        let _ = writeln!(
            text,
            "{policy}: {urgent} of 30 urgent gangs and {batch} of 60 batch jobs in time, \
             gang members waited {wait} ms, {fast} of 6 fast workers known"
        );
        waits.push(wait);
        in_time.push((urgent, batch));
    }
    insta::assert_snapshot!(text);
    expect_that!(waits[1], le(waits[0]));
    expect_that!(in_time[1].0, ge(in_time[0].0));
    expect_that!(in_time[1].1, ge(in_time[0].1));
}

/// Guards against a site that counts as uneven by tails, wrong estimates or speeds that differ
/// by a third, and against one that does not although a fourth of its workers is far faster.
#[gtest]
fn sites_with_uneven_workers() {
    let mut text = String::new();
    for speeds in [
        &[100][..],
        &[100, 100, 130],
        &[80, 100, 125],
        &TWO_SPEEDS,
        &[45, 100, 100, 100],
    ] {
        let mut fleet = fleet(speeds, PolicyChoice::Basic);
        play(&mut fleet, 40);
        let classes = [SpeedClass::Slow, SpeedClass::Usual, SpeedClass::Fast];
        let classes = classes.map(|class| fleet.scheduler.workers_of(class));
        let is_uneven = fleet.scheduler.site_profile().has_uneven_workers;
        let _ = writeln!(
            text,
            "{speeds:?}: uneven {is_uneven}, slow, usual, fast {classes:?}"
        );
    }
    insta::assert_snapshot!(text);
}

/// Guards against speeds that a change of the leader forgets.
#[gtest]
fn a_new_leader_takes_over_learned_speeds() {
    let mut fleet = fleet(&TWO_SPEEDS, PolicyChoice::Basic);
    play(&mut fleet, 40);
    let known = fleet.scheduler.workers_of(SpeedClass::Fast);
    let now = fleet.now;
    fleet.take_over(scheduler(at(now), 0));
    fleet.run_until(now + 1_000);
    expect_that!(fleet.scheduler.workers_of(SpeedClass::Fast), eq(known));
}

/// Guards against a report with an odd speed that decides something, or fills the log.
#[gtest]
fn an_odd_speed_is_logged_once_and_ignored() {
    let mut fleet = fleet(&[100], PolicyChoice::CostAware);
    for percent in [0, u32::MAX, 0] {
        fleet.set_kept_speeds(&[LearnedSpeed {
            kind: WorkKind::Accelerator,
            percent,
            runs: u32::MAX,
        }]);
        fleet.run_until(fleet.now + 2_000);
    }
    let changes = fleet.scheduler.take_speed_changes();
    let invalid = changes
        .iter()
        .filter(|change| change.status == SpeedStatus::Invalid);
    // Once for each of the 24 workers.
    expect_that!(invalid.count(), eq(24));
    expect_that!(changes.len(), eq(24));
}

/// Guards against a site that counts as uneven since a sixth of its workers is slowed down
/// for some seconds, each time others.
#[gtest]
fn workers_that_are_slow_for_seconds_leave_a_site_even() {
    let mut fleet = fleet(&[100], PolicyChoice::Basic);
    let mut uneven = 0;
    for round in 0..6 {
        let mut speeds = vec![100; 24];
        for at in 0..4 {
            speeds[(round * 4 + at) % 24] = 17;
        }
        for (seconds, speeds) in [(3, speeds.as_slice()), (4, &[100][..])] {
            fleet.set_speeds(speeds);
            for at in 0..seconds {
                let (row, duration) = batch(at);
                let id = format!("00000000000c{round:02x}{seconds:x}{at:x}");
                fleet.submit(&id, row, duration);
                fleet.run_until(fleet.now + 1_000);
                uneven += usize::from(fleet.scheduler.site_profile().has_uneven_workers);
            }
        }
    }
    expect_that!(uneven, eq(0));
}

/// Guards against a speed that a worker's next incarnation inherits.
#[gtest]
fn speeds_end_with_the_incarnation() {
    let mut fleet = fleet(&TWO_SPEEDS, PolicyChoice::Basic);
    play(&mut fleet, 40);
    expect_that!(fleet.scheduler.workers_of(SpeedClass::Fast), eq(6));
    fleet.restart_workers();
    fleet.run_until(fleet.now + 1_000);
    expect_that!(fleet.scheduler.workers_of(SpeedClass::Fast), eq(0));
}
