//! Guards against a measurement that overfills backend servers, leaves out a
//! case or prints no figures.

use std::time::Duration;

use cumindeck_bench::routing::{RoutingOptions, measure};

#[test]
fn a_short_run_covers_every_case_and_keeps_the_slots() {
    let options = RoutingOptions {
        first_seed: 7,
        runs: 1,
        length: Duration::from_secs(1),
    };
    let mut out = Vec::new();
    let targets = measure(options, &mut out).expect("a vector takes all bytes");
    let text = String::from_utf8(out).expect("the report is text");
    assert!(
        targets.most_running <= 8,
        "seed 7: {} at once",
        targets.most_running
    );
    // Six cases, and the burst's other teams alone, for three policies and two sites.
    for policy in ["power-of-two", "random", "round-robin"] {
        assert_eq!(text.matches(policy).count(), 14, "seed 7:\n{text}");
    }
}
