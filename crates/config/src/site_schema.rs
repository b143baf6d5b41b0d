//! Schema of the base file and the overlays.

use std::time::Duration;

use cumindeck_types::message::MAX_REQUEST_TIMEOUT;
use cumindeck_types::{AvailabilityZone, ByteSize, PerSecond, Region, TeamId};

use crate::capacity::{Guarantee, RackWorkers};
use crate::schema::{KeySpec, Requirement, Schema, SectionSpec};
use crate::value::{self, BitRate, CheckResult, Percent, SiteName};

/// Maximum size of a request body: a message between processes has at most 8 MiB,
/// of which 1 MiB is reserved for the other fields.
const MAX_BODY: ByteSize = ByteSize::from_mib(7);
/// Format of a region, for errors.
const REGION: &str = "the name of a region";

/// Schema of a site's settings.
pub const SITE: Schema = Schema {
    sections: &[
        SectionSpec {
            kind: "site",
            name_check: None,
            keys: &[
                key(
                    "name",
                    Requirement::Mandatory,
                    "the site's name",
                    value::single::<SiteName>,
                ),
                key(
                    "regions",
                    Requirement::Mandatory,
                    "a list of regions",
                    value::list::<Region>,
                ),
            ],
        },
        SectionSpec {
            kind: "zone",
            name_check: Some(value::single::<AvailabilityZone>),
            keys: &[
                key(
                    "region",
                    Requirement::Mandatory,
                    REGION,
                    value::single::<Region>,
                ),
                key(
                    "rack-workers",
                    Requirement::Optional,
                    "the number of workers of each rack",
                    value::single::<RackWorkers>,
                ),
                key(
                    "worker-accelerators",
                    Requirement::Default("8"),
                    "the number of accelerators of each worker",
                    value::accelerators,
                ),
            ],
        },
        SectionSpec {
            kind: "team",
            name_check: Some(value::single::<TeamId>),
            keys: &[
                key(
                    "home-region",
                    Requirement::Mandatory,
                    REGION,
                    value::single::<Region>,
                ),
                key(
                    "guarantee",
                    Requirement::Optional,
                    "a list of REGION COUNTxLEVEL...",
                    value::single::<Guarantee>,
                ),
                key(
                    "queue-limit",
                    Requirement::Default("256"),
                    "the number of requests that may wait",
                    |text| value::number(text, 0..=100_000),
                ),
                key(
                    "rate",
                    Requirement::Optional,
                    "a rate of requests, such as 20/s",
                    rate,
                ),
                key(
                    "weight",
                    Requirement::Default("1"),
                    "the team's weight",
                    |text| value::number(text, 1..=1_000),
                ),
                key(
                    "may-borrow",
                    Requirement::Default("true"),
                    "true or false",
                    flag,
                ),
            ],
        },
        SectionSpec {
            kind: "requests",
            name_check: None,
            keys: &[
                key("max-body", Requirement::Default("1MiB"), "a size", |text| {
                    value::size(text, ByteSize::new(1)..=MAX_BODY)
                }),
                key(
                    "default-timeout",
                    Requirement::Default("30s"),
                    "a duration",
                    timeout,
                ),
                key(
                    "max-timeout",
                    Requirement::Default("5m"),
                    "a duration",
                    timeout,
                ),
                key(
                    "retry-budget",
                    Requirement::Default("10%"),
                    "a share",
                    value::single::<Percent>,
                ),
                key(
                    "link-share",
                    Requirement::Default("50%"),
                    "a share",
                    value::single::<Percent>,
                ),
            ],
        },
        SectionSpec {
            kind: "link",
            name_check: None,
            keys: &[key(
                "capacity",
                Requirement::Default("30Mbit/s"),
                "a rate in bits",
                value::single::<BitRate>,
            )],
        },
        SectionSpec {
            kind: "jobs",
            name_check: None,
            keys: &[
                key(
                    "max-attempts",
                    Requirement::Default("3"),
                    "a number of attempts",
                    |text| value::number(text, 1..=100),
                ),
                key("aging", Requirement::Default("15m"), "a duration", |text| {
                    value::duration(text, Duration::from_secs(1)..=Duration::from_secs(86_400))
                }),
                key(
                    "queue-limit",
                    Requirement::Default("4700"),
                    "the number of jobs that may wait",
                    |t| value::number(t, 1..=100_000),
                ),
                key(
                    "start-rate",
                    Requirement::Default("50/s"),
                    "a rate of task starts",
                    start_rate,
                ),
                key(
                    "quarantine-jobs",
                    Requirement::Default("3"),
                    "the number of jobs that fail on a worker before it is quarantined",
                    |text| value::number(text, 2..=100),
                ),
            ],
        },
        SectionSpec {
            kind: "rules",
            name_check: None,
            keys: &[
                key(
                    "lag-bound",
                    Requirement::Default("2m"),
                    "a duration",
                    |text| value::duration(text, Duration::ZERO..=Duration::from_secs(3_600)),
                ),
                key(
                    "interval",
                    Requirement::Default("1m"),
                    "a duration",
                    |text| {
                        value::duration(text, Duration::from_secs(1)..=Duration::from_secs(3_600))
                    },
                ),
            ],
        },
    ],
};

/// Creates the specification of a key.
const fn key(
    name: &'static str,
    requirement: Requirement,
    expected: &'static str,
    check: fn(&str) -> CheckResult,
) -> KeySpec {
    KeySpec {
        name,
        requirement,
        expected,
        check,
    }
}

/// Validates a request timeout.
fn timeout(text: &str) -> CheckResult {
    value::duration(text, Duration::from_millis(1)..=MAX_REQUEST_TIMEOUT)
}

/// Validates a rate that may be zero.
fn rate(text: &str) -> CheckResult {
    value::single::<PerSecond>(text)
}

/// Validates a rate of task starts; zero would stop all jobs.
fn start_rate(text: &str) -> CheckResult {
    rate(text)?;
    let is_positive = text.parse::<PerSecond>().is_ok_and(|rate| rate.get() > 0.0);
    is_positive
        .then_some(())
        .ok_or_else(|| "write a rate above 0/s".into())
}

/// Validates a boolean.
fn flag(text: &str) -> CheckResult {
    let hint = || "write true or false".into();
    text.parse::<bool>().map(drop).map_err(|_| hint())
}
