//! Runs with faults have the same transitions as a run without, each exactly once.

use googletest::prelude::*;

use crate::simulation::{STEP, Simulation};

/// Steps between two points at which a fault is injected.
const STRIDE: u64 = 3;
/// Number of steps during which alerts change.
const LAST_STEP: u64 = 450;

fn undisturbed() -> Vec<String> {
    let mut sim = Simulation::new();
    sim.finish();
    assert_that!(sim.failures, is_empty());
    sim.emitted
}

/// Injects a fault at each point of a run and compares the transitions.
fn check(what: &str, inject_fault: impl Fn(&mut Simulation)) {
    let expected = undisturbed();
    for at in (0..LAST_STEP).step_by(STRIDE as usize) {
        let mut sim = Simulation::new();
        for _ in 0..at {
            sim.step();
        }
        inject_fault(&mut sim);
        sim.finish();
        let place = format!("{what} after {} ms", at * STEP);
        assert_eq!(sim.emitted, expected, "{place}");
        assert_eq!(sim.recorded(), expected, "{place}");
        assert_eq!(sim.failures, Vec::<String>::new(), "{place}");
    }
}

fn run(sim: &mut Simulation, seconds: u64) {
    for _ in 0..seconds * 1_000 / STEP {
        sim.step();
    }
}

#[test]
fn undisturbed_run() {
    insta::assert_snapshot!(undisturbed().join("\n"));
}

/// Guards against a `for` duration that starts again and against repeated transitions
/// after the leader has terminated.
#[test]
fn termination_of_the_leader() {
    check("termination", |sim| {
        if let Some(leader) = sim.leader() {
            leader.is_running = false;
        }
    });
}

/// Guards against a leader that emits after its lease has expired.
#[test]
fn pause_of_the_leader() {
    check("pause", |sim| {
        if let Some(leader) = sim.leader() {
            leader.is_paused = true;
        }
        run(sim, 8);
        for node in &mut sim.nodes {
            node.is_paused = false;
        }
    });
}

/// Guards against a write that counts as failed although it took effect.
#[test]
fn lost_write_replies() {
    for count in [1, 3] {
        check("lost replies", |sim| sim.store.lose_replies = count);
    }
}

/// Guards against transitions that are emitted without being durable, and against
/// evaluations that are skipped after an outage.
#[test]
fn outage_of_the_store() {
    check("outage", |sim| {
        sim.store.is_down = true;
        let before = sim.emitted.len();
        run(sim, 1);
        // What was durable before the outage may still be emitted.
        let durable = sim.emitted.len();
        run(sim, 8);
        assert!(durable - before <= 2, "emitted during the outage");
        assert_eq!(sim.emitted.len(), durable, "emitted during the outage");
        sim.store.is_down = false;
    });
}

/// Guards against a clock change that makes all later samples late.
#[test]
fn clock_jumps() {
    for ahead in [3_600_000, -3_600_000] {
        check("platform's clock", |sim| {
            sim.platform_ahead = ahead;
            run(sim, 10);
            sim.platform_ahead = 0;
        });
    }
    for ahead in [3_600_000, -3_600_000] {
        check("entries' clocks", |sim| {
            sim.entries_ahead = ahead;
            run(sim, 10);
            sim.entries_ahead = 0;
        });
    }
}

/// Guards against checks that do not detect transitions emitted before their state
/// is durable.
#[test]
fn early_emission_is_detected() {
    let expected = undisturbed();
    let mut detected = 0;
    for at in (0..LAST_STEP).step_by(STRIDE as usize) {
        let mut sim = Simulation::new();
        sim.emits_early = true;
        for _ in 0..at {
            sim.step();
        }
        sim.store.is_down = true;
        run(&mut sim, 2);
        if let Some(leader) = sim.leader() {
            leader.is_running = false;
        }
        sim.store.is_down = false;
        sim.finish();
        assert_eq!(sim.recorded(), expected);
        detected += u32::from(sim.emitted != expected);
    }
    assert_that!(detected, gt(0));
}
