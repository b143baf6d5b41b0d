//! Disturbed runs have the same transitions as an undisturbed one, each once.

use googletest::prelude::*;

use crate::world::{STEP, World};

/// Steps between two points at which a run is disturbed.
const STRIDE: u64 = 3;
/// Steps of the part of a run in which alerts change.
const LAST_STEP: u64 = 450;

fn undisturbed() -> Vec<String> {
    let mut world = World::new();
    world.finish();
    assert_that!(world.faults, is_empty());
    world.emitted
}

/// Runs with a disturbance at each point and compares the transitions.
fn check(what: &str, disturb: impl Fn(&mut World)) {
    let expected = undisturbed();
    for at in (0..LAST_STEP).step_by(STRIDE as usize) {
        let mut world = World::new();
        for _ in 0..at {
            world.step();
        }
        disturb(&mut world);
        world.finish();
        let place = format!("{what} after {} ms", at * STEP);
        assert_eq!(world.emitted, expected, "{place}");
        assert_eq!(world.recorded(), expected, "{place}");
        assert_eq!(world.faults, Vec::<String>::new(), "{place}");
    }
}

fn run(world: &mut World, seconds: u64) {
    for _ in 0..seconds * 1_000 / STEP {
        world.step();
    }
}

#[test]
fn undisturbed_run() {
    insta::assert_snapshot!(undisturbed().join("\n"));
}

/// Guards against a `for` that starts again and against repeated transitions
/// after the death of the holder.
#[test]
fn death_of_the_holder() {
    check("death", |world| {
        if let Some(holder) = world.holder() {
            holder.is_alive = false;
        }
    });
}

/// Guards against a holder that emits after its lease has expired.
#[test]
fn freeze_of_the_holder() {
    check("freeze", |world| {
        if let Some(holder) = world.holder() {
            holder.is_frozen = true;
        }
        run(world, 8);
        for node in &mut world.nodes {
            node.is_frozen = false;
        }
    });
}

/// Guards against a write that counts as failed though it took effect.
#[test]
fn lost_write_answers() {
    for count in [1, 3] {
        check("lost answers", |world| world.store.lose_answers = count);
    }
}

/// Guards against transitions that are emitted without being durable, and
/// against instants that are left out after an outage.
#[test]
fn outage_of_the_store() {
    check("outage", |world| {
        world.store.is_down = true;
        let before = world.emitted.len();
        run(world, 1);
        // What was durable before the outage may still be emitted.
        let durable = world.emitted.len();
        run(world, 8);
        assert!(durable - before <= 2, "emitted during the outage");
        assert_eq!(world.emitted.len(), durable, "emitted during the outage");
        world.store.is_down = false;
    });
}

/// Guards against a clock that makes all later samples late.
#[test]
fn clock_jumps() {
    for ahead in [3_600_000, -3_600_000] {
        check("platform's clock", |world| {
            world.platform_ahead = ahead;
            run(world, 10);
            world.platform_ahead = 0;
        });
    }
    for ahead in [3_600_000, -3_600_000] {
        check("entries' clocks", |world| {
            world.entries_ahead = ahead;
            run(world, 10);
            world.entries_ahead = 0;
        });
    }
}

/// Guards against tests that would not notice transitions that are emitted
/// before their state is durable.
#[test]
fn early_emission_is_caught() {
    let expected = undisturbed();
    let mut caught = 0;
    for at in (0..LAST_STEP).step_by(STRIDE as usize) {
        let mut world = World::new();
        world.emits_early = true;
        for _ in 0..at {
            world.step();
        }
        world.store.is_down = true;
        run(&mut world, 2);
        if let Some(holder) = world.holder() {
            holder.is_alive = false;
        }
        world.store.is_down = false;
        world.finish();
        assert_eq!(world.recorded(), expected);
        caught += u32::from(world.emitted != expected);
    }
    assert_that!(caught, gt(0));
}
