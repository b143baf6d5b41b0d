//! Sections and keys of the processes' own settings files.

use std::time::Duration;

use cumindeck_types::{AgentId, AvailabilityZone, EntryId, RackId, Region, WorkerId};

use crate::schema::{KeySpec, Need, Schema, SectionSpec};
use crate::value::{self, LogLevel, SiteName};

/// What an id looks like, for errors.
const ID: &str = "1 to 64 letters, digits, '-', '_' or '.'";
/// What an address looks like, for errors.
const ADDRESS: &str = "an IP number and a port";

/// The process's own place.
const ZONE: KeySpec = KeySpec {
    name: "zone",
    need: Need::Mandatory,
    expected: ID,
    check: value::one::<AvailabilityZone>,
};
/// The process's region.
const REGION: KeySpec = KeySpec {
    name: "region",
    need: Need::Mandatory,
    expected: ID,
    check: value::one::<Region>,
};
/// Address under which peers reach the process.
const ADVERTISE: KeySpec = KeySpec {
    name: "advertise",
    need: Need::Optional,
    expected: ADDRESS,
    check: value::peer_address,
};

/// The platform's services.
const PLATFORM: SectionSpec = SectionSpec {
    kind: "platform",
    name_check: None,
    keys: &[KeySpec {
        name: "address",
        need: Need::Mandatory,
        expected: ADDRESS,
        check: value::peer_address,
    }],
};
/// Properties of any process.
const PROCESS: SectionSpec = SectionSpec {
    kind: "process",
    name_check: None,
    keys: &[
        KeySpec {
            name: "log-level",
            need: Need::Default("info"),
            expected: "a log level",
            check: value::one::<LogLevel>,
        },
        KeySpec {
            name: "drain-time",
            need: Need::Default("30s"),
            expected: "a duration up to 10 min",
            check: |text| value::duration(text, Duration::ZERO..=Duration::from_secs(600)),
        },
    ],
};

/// Returns the key of a listener.
const fn listener(name: &'static str, default: &'static str) -> KeySpec {
    KeySpec {
        name,
        need: Need::Default(default),
        expected: ADDRESS,
        check: value::listen_address,
    }
}

/// Settings of an entry.
pub const ENTRY: Schema = Schema {
    sections: &[
        SectionSpec {
            kind: "entry",
            name_check: None,
            keys: &[
                KeySpec {
                    name: "id",
                    need: Need::Mandatory,
                    expected: ID,
                    check: value::one::<EntryId>,
                },
                KeySpec {
                    name: "site",
                    need: Need::Mandatory,
                    expected: ID,
                    check: value::one::<SiteName>,
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
                need: Need::Mandatory,
                expected: "the path of a file with the bearer token",
                check: |_| Ok(()),
            }],
        },
        PLATFORM,
        PROCESS,
    ],
};

/// Settings of an agent.
pub const AGENT: Schema = Schema {
    sections: &[
        SectionSpec {
            kind: "agent",
            name_check: None,
            keys: &[
                KeySpec {
                    name: "id",
                    need: Need::Mandatory,
                    expected: ID,
                    check: value::one::<AgentId>,
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
                    need: Need::Mandatory,
                    expected: ID,
                    check: value::one::<WorkerId>,
                },
                KeySpec {
                    name: "rack",
                    need: Need::Mandatory,
                    expected: ID,
                    check: value::one::<RackId>,
                },
                KeySpec {
                    name: "accelerators",
                    need: Need::Mandatory,
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
                    need: Need::Mandatory,
                    expected: ADDRESS,
                    check: value::peer_address,
                },
                KeySpec {
                    name: "slots",
                    need: Need::Mandatory,
                    expected: "the number of requests that run at once",
                    check: |text| value::number(text, 1..=1_024),
                },
                KeySpec {
                    name: "connections",
                    need: Need::Mandatory,
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
                need: Need::Mandatory,
                expected: "a list of addresses of entries or of the load balancer",
                check: value::peer_addresses,
            }],
        },
        PLATFORM,
        PROCESS,
    ],
};
