//! Seeded simulation of two entries and three agents with their real cores, a
//! fake table service and fake workers, under pairs of failures.
//!
//! Guards the promises about gangs, availability zones and attempts against any
//! order of kills, freezes, outages and lost answers. A failure names its seed;
//! `CUMINDECK_SEEDS=17..18` runs that one alone.

#[path = "simulation/agent_node.rs"]
mod agent_node;
#[path = "simulation/checks.rs"]
mod checks;
#[path = "simulation/faults.rs"]
mod faults;
#[path = "simulation/store.rs"]
mod store;
#[path = "simulation/worker.rs"]
mod worker;
#[path = "simulation/world.rs"]
mod world;

use std::ops::Range;

use faults::Plan;
use world::{Broken, World};

/// Seeds of each test run.
const SEEDS: Range<u64> = 0..600;
/// Seeds in which the broken variants must be noticed.
const BROKEN_SEEDS: Range<u64> = 0..60;

fn seeds(default: Range<u64>) -> Range<u64> {
    let Ok(text) = std::env::var("CUMINDECK_SEEDS") else {
        return default;
    };
    let (start, end) = text
        .split_once("..")
        .expect("CUMINDECK_SEEDS is START..END");
    start.parse().expect("a number")..end.parse().expect("a number")
}

/// Runs one seed; returns the broken promise, if any.
fn run(seed: u64, broken: Option<Broken>) -> Result<(), String> {
    let mut world = World::new(seed, broken);
    let plan = Plan::random(seed);
    world.run(&plan)
}

#[test]
fn promises_hold_under_pairs_of_failures() {
    for seed in seeds(SEEDS) {
        if let Err(fault) = run(seed, None) {
            panic!("seed {seed}: {fault}\n{}", Plan::random(seed));
        }
    }
}

/// The checks must notice an agent that never ends what has lost its lease or its gang.
#[test]
fn bodies_that_outlive_their_lease_are_noticed() {
    let noticed = BROKEN_SEEDS.filter(|seed| run(*seed, Some(Broken::EndlessBodies)).is_err());
    assert!(
        noticed.count() > 0,
        "no seed of {BROKEN_SEEDS:?} noticed it"
    );
}

/// The checks must notice a worker that ignores the end of the right to start.
#[test]
fn starts_after_a_take_out_are_noticed() {
    let noticed = BROKEN_SEEDS.filter(|seed| run(*seed, Some(Broken::LateStarts)).is_err());
    assert!(
        noticed.count() > 0,
        "no seed of {BROKEN_SEEDS:?} noticed it"
    );
}
