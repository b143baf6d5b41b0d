//! Identifiers: validated names and counters, each with its own type.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use thiserror::Error;

/// Maximum length of a name identifier in bytes.
const MAX_ID_BYTES: usize = 64;

/// A string that is not a valid identifier.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum IdError {
    /// The string is empty.
    #[error("{kind} is empty; expected 1 to {MAX_ID_BYTES} characters")]
    Empty {
        /// Kind of identifier.
        kind: &'static str,
    },
    /// The string exceeds the maximum length.
    #[error("{kind} has {found} bytes; expected at most {MAX_ID_BYTES}")]
    TooLong {
        /// Kind of identifier.
        kind: &'static str,
        /// Length found, in bytes.
        found: usize,
    },
    /// The string contains a character that identifiers don't allow.
    #[error("{kind} {text:?} contains {found:?}; expected letters, digits, '-', '_' or '.'")]
    BadChar {
        /// Kind of identifier.
        kind: &'static str,
        /// The rejected string, at most 64 bytes long.
        text: String,
        /// The first disallowed character.
        found: char,
    },
    /// The string isn't a whole number.
    #[error("{kind} {text:?} is not a whole number")]
    NotANumber {
        /// Kind of identifier.
        kind: &'static str,
        /// The rejected string; a number beyond `u64` is rejected as well.
        text: String,
    },
}

/// Defines an identifier that is a validated name.
macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(String);

        impl $name {
            /// Returns the identifier as a string slice.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<String> for $name {
            type Error = IdError;

            fn try_from(text: String) -> Result<Self, IdError> {
                check_text($kind, &text)?;
                Ok(Self(text))
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                Self::try_from(text.to_owned())
            }
        }

        impl Display for $name {
            fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.serialize_str(&self.0)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                Self::try_from(String::deserialize(deserializer)?).map_err(de::Error::custom)
            }
        }
    };
}

/// Defines an identifier that is an increasing number.
macro_rules! counter_id {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
        pub struct $name(u64);

        impl $name {
            /// Wraps a raw value.
            #[must_use]
            pub const fn new(raw: u64) -> Self {
                Self(raw)
            }

            /// Returns the raw value.
            #[must_use]
            pub const fn get(self) -> u64 {
                self.0
            }

            /// Returns the number that follows this one.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                let Ok(raw) = text.parse() else {
                    return Err(IdError::NotANumber { kind: $kind, text: text.to_owned() });
                };
                Ok(Self(raw))
            }
        }

        impl Display for $name {
            fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
                Display::fmt(&self.0, f)
            }
        }

        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.serialize_u64(self.0)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                u64::deserialize(deserializer).map(Self)
            }
        }
    };
}

text_id!(
    /// An agent process, named after its worker.
    AgentId, "agent id"
);
text_id!(
    /// An availability zone, which operators can take out of service.
    AvailabilityZone, "availability zone"
);
text_id!(
    /// An entry: a process that accepts requests and receives announcements of agents.
    EntryId, "entry id"
);
text_id!(
    /// A job, unique across all teams.
    JobId, "job id"
);
text_id!(
    /// A rack of workers.
    RackId, "rack id"
);
text_id!(
    /// A region: availability zones whose jobs are placed by one leader.
    Region, "region"
);
text_id!(
    /// A request, assigned by the entry that accepted it.
    RequestId, "request id"
);
text_id!(
    /// A team with a guarantee and its own limits.
    TeamId, "team"
);
text_id!(
    /// A worker: a machine with accelerators.
    WorkerId, "worker id"
);
counter_id!(
    /// The number of a run of a task, from 1, counted across all workers.
    RunNumber, "run number"
);
counter_id!(
    /// The number of an attempt to run a job or a request, from 1.
    Attempt, "attempt"
);
counter_id!(
    /// The version of an accepted configuration bundle.
    ConfigVersion, "configuration version"
);
counter_id!(
    /// The token of a leader lease, which grows with each takeover.
    FencingToken, "fencing token"
);
counter_id!(
    /// Distinguishes the incarnations of a process that restarts under the same id.
    Incarnation, "incarnation"
);
counter_id!(
    /// The version of a region's ring of home agents.
    RingVersion, "ring version"
);
counter_id!(
    /// The index of a task in its gang, from 0.
    TaskIndex, "task index"
);
counter_id!(
    /// The version of an availability zone's state.
    ZoneVersion, "zone version"
);

fn check_text(kind: &'static str, text: &str) -> Result<(), IdError> {
    if text.is_empty() {
        return Err(IdError::Empty { kind });
    }
    if text.len() > MAX_ID_BYTES {
        return Err(IdError::TooLong {
            kind,
            found: text.len(),
        });
    }
    let bad = text
        .chars()
        .find(|c| !c.is_ascii_alphanumeric() && !matches!(c, '-' | '_' | '.'));
    let Some(found) = bad else { return Ok(()) };
    Err(IdError::BadChar {
        kind,
        text: text.to_owned(),
        found,
    })
}
