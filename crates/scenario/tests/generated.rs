//! Simulations with pairs of failures from a fixed range of seeds.

use std::fmt::Write as _;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

use cumindeck_scenario::{Outcome, Safeguard, simulate_seed};

/// Seeds of an ordinary run. `CUMINDECK_SEEDS=20000` or `CUMINDECK_SEEDS=17..18` runs
/// others.
const SEEDS: std::ops::Range<u64> = 0..2_000;
/// Threads that share the seeds.
const THREADS: u64 = 4;
/// Seeds among which each disabled safeguard must be caught.
const SAFEGUARD_SEEDS: std::ops::Range<u64> = 0..2_000;

fn seeds() -> std::ops::Range<u64> {
    let Ok(text) = std::env::var("CUMINDECK_SEEDS") else {
        return SEEDS;
    };
    let (from, to) = text.split_once("..").unwrap_or(("0", &text));
    from.parse().unwrap()..to.parse().unwrap()
}

/// Returns the lowest seed whose outcome is bad, with the outcome.
fn first_failure(
    seeds: &std::ops::Range<u64>,
    disabled: Option<Safeguard>,
    is_bad: fn(&Outcome) -> bool,
) -> Option<(u64, Outcome)> {
    // Threads skip seeds above the lowest failure found so far.
    let lowest = AtomicU64::new(u64::MAX);
    let failures = thread::scope(|scope| {
        let threads = (0..THREADS).map(|i| {
            let mut seeds = seeds.clone().skip(i as usize).step_by(THREADS as usize);
            let lowest = &lowest;
            scope.spawn(move || {
                seeds.find_map(|seed| {
                    if seed > lowest.load(Ordering::Relaxed) {
                        return None;
                    }
                    let outcome = simulate_seed(seed, disabled);
                    if !is_bad(&outcome) {
                        return None;
                    }
                    lowest.fetch_min(seed, Ordering::Relaxed);
                    Some((seed, outcome))
                })
            })
        });
        let threads: Vec<_> = threads.collect();
        let results = threads.into_iter().map(|thread| thread.join().unwrap());
        results.flatten().collect::<Vec<_>>()
    });
    failures.into_iter().min_by_key(|(seed, _)| *seed)
}

fn report(seed: u64, outcome: &Outcome) -> String {
    let mut text = format!(
        "seed {seed} (run it with CUMINDECK_SEEDS={seed}..{})\n",
        seed + 1
    );
    for (at, command) in &outcome.script {
        writeln!(text, "  {at} {command:?}").unwrap();
    }
    for line in &outcome.trace {
        writeln!(text, "{line}").unwrap();
    }
    if let Some(violation) = &outcome.violation {
        writeln!(text, "VIOLATION {violation}").unwrap();
    } else if !outcome.is_served {
        writeln!(text, "the job neither runs nor is done").unwrap();
    }
    text
}

/// Guards against a pair of failures that violates P2, P3 or P9, or after which an
/// accepted job no longer runs.
#[test]
fn invariants_hold_under_pairs_of_failures() {
    let seeds = seeds();
    let failure = first_failure(&seeds, None, |outcome| {
        outcome.violation.is_some() || !outcome.is_served
    });
    let failure = failure.map(|(seed, outcome)| report(seed, &outcome));
    assert!(failure.is_none(), "{}", failure.unwrap());
}

/// Guards against checks that detect nothing: a site without one safeguard must fail.
#[test]
fn disabled_safeguards_are_caught() {
    for disabled in Safeguard::ALL {
        let found = first_failure(&SAFEGUARD_SEEDS, Some(disabled), |outcome| {
            outcome.violation.is_some()
        });
        assert!(
            found.is_some(),
            "{disabled:?} was not caught in {SAFEGUARD_SEEDS:?}"
        );
        let (seed, outcome) = found.unwrap();
        println!("{disabled:?}: {}", report(seed, &outcome));
    }
}
