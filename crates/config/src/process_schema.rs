//! Schemas of the settings files of entry and agent processes.

use std::num::NonZeroUsize;
use std::time::Duration;

use cumindeck_types::{AgentId, AvailabilityZone, ByteSize, EntryId, RackId, Region, WorkerId};

use crate::schema::{KeySpec, Requirement, Schema, SectionSpec};
use crate::value::{self, LogLevel, SiteName};

/// Format of an id, for errors.
const ID: &str = "1 to 64 letters, digits, '-', '_' or '.'";
/// Format of an address, for errors.
const ADDRESS: &str = "an IP number and a port";

/// Availability zone in which the process runs.
const ZONE: KeySpec = KeySpec {
    name: "zone",
    requirement: Requirement::Mandatory,
    expected: ID,
    check: value::single::<AvailabilityZone>,
};
/// Region in which the process runs.
const REGION: KeySpec = KeySpec {
    name: "region",
    requirement: Requirement::Mandatory,
    expected: ID,
    check: value::single::<Region>,
};
/// Address at which peers reach the process.
const ADVERTISE: KeySpec = KeySpec {
    name: "advertise",
    requirement: Requirement::Optional,
    expected: ADDRESS,
    check: value::peer_address,
};

/// Address of the platform's services.
const PLATFORM: SectionSpec = SectionSpec {
    kind: "platform",
    name_check: None,
    keys: &[KeySpec {
        name: "address",
        requirement: Requirement::Mandatory,
        expected: ADDRESS,
        check: value::peer_address,
    }],
};
/// Settings of every process.
const PROCESS: SectionSpec = SectionSpec {
    kind: "process",
    name_check: None,
    keys: &[
        KeySpec {
            name: "log-level",
            requirement: Requirement::Default("info"),
            expected: "a log level",
            check: value::single::<LogLevel>,
        },
        KeySpec {
            name: "memory",
            requirement: Requirement::Default("160MiB"),
            expected: "a size, such as 160MiB",
            check: value::single::<ByteSize>,
        },
        KeySpec {
            name: "request-memory",
            requirement: Requirement::Optional,
            expected: "a size, such as 40MiB",
            check: value::single::<ByteSize>,
        },
        KeySpec {
            name: "connections",
            requirement: Requirement::Default("2000"),
            expected: "a whole number from 1",
            check: value::single::<NonZeroUsize>,
        },
        KeySpec {
            name: "drain-time",
            requirement: Requirement::Default("30s"),
            expected: "a duration up to 10 min",
            check: |text| value::duration(text, Duration::ZERO..=Duration::from_secs(600)),
        },
    ],
};

/// Returns the key of a listen address.
const fn listener(name: &'static str, default: &'static str) -> KeySpec {
    KeySpec {
        name,
        requirement: Requirement::Default(default),
        expected: ADDRESS,
        check: value::listen_address,
    }
}

/// Schema of an entry's settings file.
pub const ENTRY: Schema = Schema {
    sections: &[
        SectionSpec {
            kind: "entry",
            name_check: None,
            keys: &[
                KeySpec {
                    name: "id",
                    requirement: Requirement::Mandatory,
                    expected: ID,
                    check: value::single::<EntryId>,
                },
                KeySpec {
                    name: "site",
                    requirement: Requirement::Mandatory,
                    expected: ID,
                    check: value::single::<SiteName>,
                },
                ZONE,
                REGION,
            ],
        },
        SectionSpec {
            kind: "listen",
            name_check: None,
            keys: &[
                listener("callers", "127.0.0.1:7080"),
                listener("operators", "127.0.0.1:7081"),
                listener("agents", "127.0.0.1:7082"),
                ADVERTISE,
            ],
        },
        SectionSpec {
            kind: "operators",
            name_check: None,
            keys: &[KeySpec {
                name: "token-file",
                requirement: Requirement::Mandatory,
                expected: "the path of a file with the bearer token",
                check: |_| Ok(()),
            }],
        },
        PLATFORM,
        PROCESS,
    ],
};

/// Schema of an agent's settings file.
pub const AGENT: Schema = Schema {
    sections: &[
        SectionSpec {
            kind: "agent",
            name_check: None,
            keys: &[
                KeySpec {
                    name: "id",
                    requirement: Requirement::Mandatory,
                    expected: ID,
                    check: value::single::<AgentId>,
                },
                ZONE,
                REGION,
            ],
        },
        SectionSpec {
            kind: "worker",
            name_check: None,
            keys: &[
                KeySpec {
                    name: "id",
                    requirement: Requirement::Mandatory,
                    expected: ID,
                    check: value::single::<WorkerId>,
                },
                KeySpec {
                    name: "rack",
                    requirement: Requirement::Mandatory,
                    expected: ID,
                    check: value::single::<RackId>,
                },
                KeySpec {
                    name: "accelerators",
                    requirement: Requirement::Mandatory,
                    expected: "the number of accelerators",
                    check: value::accelerators,
                },
            ],
        },
        SectionSpec {
            kind: "backend",
            name_check: None,
            keys: &[
                KeySpec {
                    name: "address",
                    requirement: Requirement::Mandatory,
                    expected: ADDRESS,
                    check: value::peer_address,
                },
                KeySpec {
                    name: "slots",
                    requirement: Requirement::Mandatory,
                    expected: "the number of requests that run at once",
                    check: |text| value::number(text, 1..=1_024),
                },
                KeySpec {
                    name: "connections",
                    requirement: Requirement::Mandatory,
                    expected: "the number of connections, at least the slots",
                    check: |text| value::number(text, 1..=4_096),
                },
            ],
        },
        SectionSpec {
            kind: "listen",
            name_check: None,
            keys: &[
                listener("agents", "127.0.0.1:7092"),
                listener("operators", "127.0.0.1:7091"),
                ADVERTISE,
            ],
        },
        SectionSpec {
            kind: "entries",
            name_check: None,
            keys: &[KeySpec {
                name: "seeds",
                requirement: Requirement::Mandatory,
                expected: "a list of addresses of entries or of the load balancer",
                check: value::peer_addresses,
            }],
        },
        PLATFORM,
        PROCESS,
    ],
};
