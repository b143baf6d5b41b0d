//! Guards against a routing model that exceeds the slots of a backend server, omits a
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
    let targets = measure(options, &mut out).expect("writing to a vector succeeds");
    let text = String::from_utf8(out).expect("the report is text");
    assert!(
        targets.max_running <= 8,
        "seed 7: {} concurrent requests at one backend server",
        targets.max_running
    );
    // Six cases, and the other teams without the burst, for three policies and two sites.
    for policy in ["power-of-two", "random", "round-robin"] {
        assert_eq!(text.matches(policy).count(), 14, "seed 7:\n{text}");
    }
}
