//! Sections and keys of the base file and the overlays.

use std::time::Duration;

use cumindeck_types::message::MAX_REQUEST_TIMEOUT;
use cumindeck_types::{AvailabilityZone, ByteSize, PerSecond, Region, TeamId};

use crate::capacity::{Guarantee, RackWorkers};
use crate::schema::{KeySpec, Need, Schema, SectionSpec};
use crate::value::{self, BitRate, Checked, Percent, SiteName};

/// Largest request body: a message between processes has at most 8 MiB, of
/// which 1 MiB is kept for the other fields.
const MAX_BODY: ByteSize = ByteSize::from_mib(7);
/// What a region is, for errors.
const REGION: &str = "the name of a region";

/// Settings of a site.
pub const SITE: Schema = Schema {
    sections: &[
        SectionSpec {
            kind: "site",
            name_check: None,
            keys: &[
                key(
                    "name",
                    Need::Mandatory,
                    "the site's name",
                    value::one::<SiteName>,
                ),
                key(
                    "regions",
                    Need::Mandatory,
                    "a list of regions",
                    value::list::<Region>,
                ),
            ],
        },
        SectionSpec {
            kind: "zone",
            name_check: Some(value::one::<AvailabilityZone>),
            keys: &[
                key("region", Need::Mandatory, REGION, value::one::<Region>),
                key(
                    "rack-workers",
                    Need::Optional,
                    "the number of workers of each rack",
                    value::one::<RackWorkers>,
                ),
                key(
                    "worker-accelerators",
                    Need::Default("8"),
                    "the number of accelerators of each worker",
                    value::accelerators,
                ),
            ],
        },
        SectionSpec {
            kind: "team",
            name_check: Some(value::one::<TeamId>),
            keys: &[
                key("home-region", Need::Mandatory, REGION, value::one::<Region>),
                key(
                    "guarantee",
                    Need::Optional,
                    "a list of REGION COUNTxLEVEL...",
                    value::one::<Guarantee>,
                ),
                key(
                    "queue-limit",
                    Need::Default("256"),
                    "the number of requests that may wait",
                    |text| value::number(text, 0..=100_000),
                ),
                key(
                    "rate",
                    Need::Optional,
                    "a rate of requests, such as 20/s",
                    rate,
                ),
                key("weight", Need::Default("1"), "the team's weight", |text| {
                    value::number(text, 1..=1_000)
                }),
                key("may-borrow", Need::Default("true"), "true or false", flag),
            ],
        },
        SectionSpec {
            kind: "requests",
            name_check: None,
            keys: &[
                key("max-body", Need::Default("1MiB"), "a size", |text| {
                    value::size(text, ByteSize::new(1)..=MAX_BODY)
                }),
                key(
                    "default-timeout",
                    Need::Default("30s"),
                    "a duration",
                    timeout,
                ),
                key("max-timeout", Need::Default("5m"), "a duration", timeout),
                key(
                    "retry-budget",
                    Need::Default("10%"),
                    "a share",
                    value::one::<Percent>,
                ),
                key(
                    "link-share",
                    Need::Default("50%"),
                    "a share",
                    value::one::<Percent>,
                ),
            ],
        },
        SectionSpec {
            kind: "link",
            name_check: None,
            keys: &[key(
                "capacity",
                Need::Default("30Mbit/s"),
                "a rate in bits",
                value::one::<BitRate>,
            )],
        },
        SectionSpec {
            kind: "jobs",
            name_check: None,
            keys: &[
                key(
                    "max-attempts",
                    Need::Default("3"),
                    "a number of attempts",
                    |text| value::number(text, 1..=100),
                ),
                key("aging", Need::Default("15m"), "a duration", |text| {
                    value::duration(text, Duration::from_secs(1)..=Duration::from_secs(86_400))
                }),
                key(
                    "queue-limit",
                    Need::Default("4700"),
                    "the number of jobs that may wait",
                    |t| value::number(t, 1..=100_000),
                ),
                key(
                    "start-rate",
                    Need::Default("50/s"),
                    "a rate of task starts",
                    start_rate,
                ),
                key(
                    "quarantine-jobs",
                    Need::Default("3"),
                    "the number of jobs that fail on a worker before it is quarantined",
                    |text| value::number(text, 2..=100),
                ),
            ],
        },
        SectionSpec {
            kind: "rules",
            name_check: None,
            keys: &[
                key("lag-bound", Need::Default("2m"), "a duration", |text| {
                    value::duration(text, Duration::ZERO..=Duration::from_secs(3_600))
                }),
                key("interval", Need::Default("1m"), "a duration", |text| {
                    value::duration(text, Duration::from_secs(1)..=Duration::from_secs(3_600))
                }),
            ],
        },
    ],
};

/// Returns a key.
const fn key(
    name: &'static str,
    need: Need,
    expected: &'static str,
    check: fn(&str) -> Checked,
) -> KeySpec {
    KeySpec {
        name,
        need,
        expected,
        check,
    }
}

/// Checks a time limit of requests.
fn timeout(text: &str) -> Checked {
    value::duration(text, Duration::from_millis(1)..=MAX_REQUEST_TIMEOUT)
}

/// Checks a rate that may be zero.
fn rate(text: &str) -> Checked {
    value::one::<PerSecond>(text)
}

/// Checks a rate of task starts; zero would stop every job.
fn start_rate(text: &str) -> Checked {
    rate(text)?;
    let is_positive = text.parse::<PerSecond>().is_ok_and(|rate| rate.get() > 0.0);
    is_positive
        .then_some(())
        .ok_or_else(|| "write a rate above 0/s".into())
}

/// Checks a flag.
fn flag(text: &str) -> Checked {
    let hint = || "write true or false".into();
    text.parse::<bool>().map(drop).map_err(|_| hint())
}
