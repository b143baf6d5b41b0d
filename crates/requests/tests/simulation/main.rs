//! Guards against requests that run twice, wrong verdicts, lost or mixed-up answers and
//! requests at full or leaving backend servers, under injected faults of all kinds.

mod checks;
mod world;

use std::collections::BTreeMap;

use world::{DisabledSafeguard, Simulation};

const SEEDS: u64 = 3000;
const THREADS: u64 = 8;

/// Runs the seeds and returns the first that violates an invariant, and the counts.
fn search(
    seeds: u64,
    disabled: DisabledSafeguard,
) -> (Option<(u64, String)>, BTreeMap<String, u64>) {
    let worker = |first: u64| {
        let mut tally: BTreeMap<String, u64> = BTreeMap::new();
        for seed in (first..seeds).step_by(THREADS as usize) {
            let checks = Simulation::new(seed, disabled).run();
            for (what, count) in checks.tally {
                *tally.entry(what).or_default() += count;
            }
            if let Some(violation) = checks.violation {
                return (Some((seed, violation)), tally);
            }
        }
        (None, tally)
    };
    let mut found = None;
    let mut tally: BTreeMap<String, u64> = BTreeMap::new();
    std::thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS)
            .map(|first| scope.spawn(move || worker(first)))
            .collect();
        for thread in threads {
            let (violation, counts) = thread.join().expect("no panic");
            found = found.take().or(violation);
            for (what, count) in counts {
                *tally.entry(what).or_default() += count;
            }
        }
    });
    (found, tally)
}

#[test]
fn invariants_hold() {
    let first = std::env::var("SEED")
        .ok()
        .and_then(|seed| seed.parse().ok());
    if let Some(seed) = first {
        let checks = Simulation::new(seed, DisabledSafeguard::Nothing).run();
        assert_eq!(checks.violation, None, "seed {seed}");
        return;
    }
    let (found, tally) = search(SEEDS, DisabledSafeguard::Nothing);
    println!("{tally:#?}");
    assert_eq!(found, None, "run again with SEED=<seed>");
    // A run in which these never happen would prove nothing.
    for what in [
        "answered",
        "claim Granted",
        "claim AlreadyClaimed",
        "claim Uncertain",
        "claim NotHome",
        "ring changed",
        "agent drained",
        "entry drained",
        "not-run busy",
        "may-have-run timed-out",
    ] {
        assert!(tally.contains_key(what), "{what} never happened");
    }
}

/// Without claims, requests with the same key run at two entries.
#[test]
fn detects_disabled_claims() {
    let (found, _) = search(200, DisabledSafeguard::ClaimsOff);
    let (_, violation) = found.expect("a violation");
    assert!(violation.starts_with("P6"), "{violation}");
}

/// If a lost reply counts as "not sent", verdicts are wrong or requests run twice.
#[test]
fn detects_retries_after_may_have_run() {
    let (found, _) = search(200, DisabledSafeguard::RetryAfterMayHaveRun);
    let (_, violation) = found.expect("a violation");
    assert!(
        violation.starts_with("P5") || violation.starts_with("P6"),
        "{violation}"
    );
}

/// A new home that treats old keys as new ones lets their requests run twice.
#[test]
fn detects_a_home_that_ignores_history() {
    let (found, _) = search(1000, DisabledSafeguard::HistoryIgnored);
    let (_, violation) = found.expect("a violation");
    assert!(violation.starts_with("P6"), "{violation}");
}
