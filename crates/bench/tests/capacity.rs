//! Guards against a capacity measurement that no longer runs or that prints nothing
//! for a role.

use cumindeck_bench::capacity::{Options, Part, measure};

#[test]
fn the_smallest_size_prints_every_quantity() {
    let options = Options {
        workers: vec![11, 22],
        announcements: 10,
    };
    let mut out = Vec::new();
    for part in Part::ALL {
        measure(part, &options, &mut out).unwrap_or_else(|err| panic!("{part:?}: {err:#}"));
    }
    let text = String::from_utf8(out).expect("the report is text");
    let names = [
        "agent.announcement",
        "agent.reply_with_ring",
        "link.request_and_answer",
        "link.beat",
        "site.announce",
        "site.takeover",
        "table.heads",
        "requests.request",
        "hard.fleet_restarts_in_2s",
        "hard.config_burst_of_50",
        "rules.snapshot",
    ];
    for name in names {
        assert!(
            text.contains(&format!("{name} ")),
            "{name} is missing:\n{text}"
        );
    }
}
