//! Decisions of the basic policies on a recorded load.

use std::fmt::Write;

use cumindeck_jobs::{JobRow, PolicyChoice, PolicySettings};
use googletest::prelude::*;

use crate::fleet::Fleet;
use crate::{job, urgent_gang};

/// One submission: time, id, job, actual duration of its tasks.
type Arrival = (u64, String, JobRow, u64);

/// Returns 90 jobs of three priorities in 9 s, about one and a half times the room of 16
/// workers; actual durations differ from the estimates by up to a factor of three.
fn arrivals() -> Vec<Arrival> {
    let arrival = |at: u64| {
        let id = format!("00000000000a{at:04x}");
        let estimate = 1_500 + at * 977 % 4_000;
        let duration = estimate * (50 + at * 389 % 250) / 100;
        let mut row = match at % 6 {
            0 => urgent_gang(2, 8, estimate),
            1 | 3 => job(1, 1 + at as u32 % 4, 4, estimate),
            _ => job(2, 8, 1, estimate),
        };
        row.spec.steps[0].checkpoints = at.is_multiple_of(5);
        row.spec.team = ["stalls", "clinics"][at as usize % 2].parse().ok();
        (1_100 + at * 100, id, row, duration)
    };
    (0..90).map(arrival).collect()
}

/// Plays the load on a fleet and returns its decisions, one a line.
pub fn play(mut fleet: Fleet) -> String {
    for (at, id, row, duration) in arrivals() {
        fleet.run_until(at);
        fleet.submit(&id, row, duration);
    }
    fleet.run_until(20_000);
    let mut text = String::new();
    for (at, decision) in &fleet.decisions {
        let (kind, task, run) = (decision.kind, &decision.task, decision.run);
        let agent = decision.agent.as_ref().map_or("-", |agent| agent.as_str());
        let _ = writeln!(text, "{at} {kind} {task} {run} {agent} {}", decision.reason);
    }
    text
}

/// Guards against a change of what deployments decide that ask for no other policies.
#[gtest]
fn basic_policies_decide_as_before() {
    insta::assert_snapshot!(play(Fleet::new(4, 4, 8)));
}

/// Guards against policies for uneven sites that change what an even one decides.
#[gtest]
fn policies_for_uneven_sites_leave_an_even_one_alone() {
    let mut fleet = Fleet::new(4, 4, 8);
    fleet.scheduler.set_policies(PolicySettings {
        order: PolicyChoice::Uneven,
        admission: PolicyChoice::Uneven,
        stops: PolicyChoice::Uneven,
        speeds: PolicyChoice::Uneven,
    });
    expect_that!(play(fleet) == play(Fleet::new(4, 4, 8)), is_true());
}
