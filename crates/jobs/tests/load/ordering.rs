//! Who waits: the cost-aware order beside the basic one, on the same load.

use std::collections::BTreeSet;

use cumindeck_jobs::PolicyChoice;
use googletest::prelude::*;

use crate::fleet::{FOREVER_MS, Fleet};
use crate::outcomes::{Submission, catalog, play, policies, table};
use crate::{job, urgent_gang};

/// Two large teams and eight small ones.
pub const TEAMS: [(&str, u32); 10] = [
    ("large-0", 64),
    ("large-1", 32),
    ("small-0", 4),
    ("small-1", 4),
    ("small-2", 4),
    ("small-3", 4),
    ("small-4", 4),
    ("small-5", 4),
    ("small-6", 4),
    ("small-7", 4),
];

/// Jobs of ten teams for 20 s, about twice the room of 16 workers of 8 accelerators; the two
/// large teams submit two of three.
fn few_large_and_many_small() -> Vec<Submission> {
    let submission = |at: u64| {
        let team = match at % 3 {
            0 => TEAMS[2 + (at / 3 % 8) as usize].0,
            1 => TEAMS[0].0,
            _ => TEAMS[at as usize / 3 % 2].0,
        };
        let duration = 1_500 + at * 977 % 4_000;
        let estimate = duration * (60 + at * 389 % 80) / 100;
        let mut row = match at * 7 % 6 {
            0 => urgent_gang(2 + at as u32 % 3, 4, estimate),
            1 | 3 => job(1, 2 + at as u32 % 5, 4, estimate),
            _ => job(2, 4 + at as u32 * 5 % 24, 1, estimate),
        };
        row.spec.queue = format!("priority-{}", row.spec.priority);
        row.spec.team = team.parse().ok();
        Submission {
            at_ms: 1_100 + at * 80,
            id: format!("00000000000b{at:04x}"),
            row,
            duration_ms: duration,
        }
    };
    (0..250).map(submission).collect()
}

/// Plays a load with an order and returns tables of the outcomes by priority and team.
fn outcomes(choice: PolicyChoice, submissions: &[Submission], until_ms: u64) -> String {
    let mut fleet = Fleet::new(4, 4, 0);
    fleet.scheduler.on_catalog(catalog(&TEAMS));
    fleet.scheduler.set_policies(policies(choice));
    play(&mut fleet, submissions, until_ms);
    let refused = BTreeSet::new();
    let by_priority = table(&fleet, submissions, &refused, |it| {
        format!("priority {}", it.row.spec.priority)
    });
    let by_team = table(&fleet, submissions, &refused, |it| {
        match &it.row.spec.team {
            Some(team) if team.as_str().starts_with("large") => team.to_string(),
            _ => "small".to_owned(),
        }
    });
    format!("{choice}\n{by_priority}\n{by_team}")
}

/// Guards against an order under which the jobs of a few large teams make those of the others
/// late: by arrival each one waits behind the bursts of all.
#[gtest]
fn few_large_teams_and_many_small_ones() {
    let submissions = few_large_and_many_small();
    let basic = outcomes(PolicyChoice::Basic, &submissions, 60_000);
    let cost_aware = outcomes(PolicyChoice::CostAware, &submissions, 60_000);
    insta::assert_snapshot!(format!("{basic}\n{cost_aware}"));
}

/// Guards against a leader that ends by an overflow on odd jobs of another writer: a priority
/// of billions, and estimates of centuries.
#[gtest]
fn odd_jobs_do_not_disturb_the_order() {
    let mut fleet = Fleet::new(1, 2, 0);
    fleet.scheduler.on_catalog(catalog(&TEAMS));
    fleet
        .scheduler
        .set_policies(policies(PolicyChoice::CostAware));
    fleet.submit("00000000000000ff", job(1, 2, 8, 3_000), 3_000);
    fleet.run_until(1_200);
    for at in 0..2_000 {
        let mut row = job(u32::MAX - at, 1, 8, u64::MAX);
        row.spec.slack_percent = u64::MAX;
        fleet.submit(&format!("00000000000d{at:04x}"), row, 1_000);
    }
    fleet.submit("00000000000000aa", job(1, 1, 8, 1_000), 1_000);
    fleet.run_until(6_000);
    expect_that!(fleet.start_delay("00000000000000aa"), some(le(3_500)));
}

/// Guards against a task that lasts and waits behind each new short job, since its estimate
/// makes it look like much work.
#[gtest]
fn a_task_that_lasts_does_not_wait_for_short_jobs() {
    let mut fleet = Fleet::new(1, 1, 0);
    fleet.scheduler.on_catalog(catalog(&TEAMS));
    fleet
        .scheduler
        .set_policies(policies(PolicyChoice::CostAware));
    fleet.submit("00000000000000ff", job(1, 1, 8, 1_000), 1_000);
    fleet.run_until(1_200);
    let mut lasting = job(1, 1, 8, 600_000);
    lasting.spec.steps[0].long_running = true;
    fleet.submit("00000000000000aa", lasting, FOREVER_MS);
    for at in 0..20 {
        let id = format!("00000000000e{at:04x}");
        fleet.submit(&id, job(1, 1, 8, 1_000), 1_000);
        fleet.run_until(fleet.now + 300);
    }
    expect_that!(fleet.start_delay("00000000000000aa"), some(le(2_000)));
}
