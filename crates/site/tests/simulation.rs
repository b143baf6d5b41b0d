//! Seeded simulation of two entries and three agents with their real state machines, a
//! simulated table service and simulated workers, under random faults and calls.
//!
//! Guards the invariants of gangs, availability zones and attempts against any order of
//! terminations, pauses, outages and lost replies. A failure prints its seed;
//! `CUMINDECK_SEEDS=17..18` runs only that one.

#[path = "simulation/agent_node.rs"]
mod agent_node;
#[path = "simulation/checks.rs"]
mod checks;
#[path = "simulation/driver.rs"]
mod driver;
#[path = "simulation/faults.rs"]
mod faults;
#[path = "simulation/store.rs"]
mod store;
#[path = "simulation/worker.rs"]
mod worker;

use std::ops::Range;

use driver::{DisabledSafeguard, Simulation};
use faults::Plan;

/// Seeds of each test run.
const SEEDS: Range<u64> = 0..600;
/// Seeds of which at least one must detect a disabled safeguard.
const DETECTION_SEEDS: Range<u64> = 0..60;

fn seeds(default: Range<u64>) -> Range<u64> {
    let Ok(text) = std::env::var("CUMINDECK_SEEDS") else {
        return default;
    };
    let (start, end) = text
        .split_once("..")
        .expect("CUMINDECK_SEEDS is START..END");
    start.parse().expect("a number")..end.parse().expect("a number")
}

/// Runs one seed; returns the violated invariant, if any.
fn run(seed: u64, disabled: Option<DisabledSafeguard>) -> Result<(), String> {
    let mut simulation = Simulation::new(seed, disabled);
    let plan = Plan::random(seed);
    simulation.run(&plan)
}

#[test]
fn invariants_hold_under_random_faults() {
    for seed in seeds(SEEDS) {
        if let Err(violation) = run(seed, None) {
            panic!("seed {seed}: {violation}\n{}", Plan::random(seed));
        }
    }
}

/// The checks must detect workers that ignore the end of a lease.
#[test]
fn task_processes_that_outlive_their_lease_are_detected() {
    let detected =
        DETECTION_SEEDS.filter(|seed| run(*seed, Some(DisabledSafeguard::LeaseExpiry)).is_err());
    assert!(
        detected.count() > 0,
        "no seed of {DETECTION_SEEDS:?} detected it"
    );
}

/// The checks must detect entries that never learn that a zone was taken out of service.
#[test]
fn starts_in_a_zone_out_of_service_are_detected() {
    let detected = DETECTION_SEEDS
        .filter(|seed| run(*seed, Some(DisabledSafeguard::ZoneOutOfService)).is_err());
    assert!(
        detected.count() > 0,
        "no seed of {DETECTION_SEEDS:?} detected it"
    );
}
