//! Versions and write outcomes of rows in the table service.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

use cumindeck_types::IdError;

/// The version of a row, raised by each write; an absent row has version 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct RowVersion(u64);

impl RowVersion {
    /// The version of a row that does not exist.
    pub const ABSENT: Self = Self(0);

    /// Wraps a raw version.
    #[must_use]
    pub const fn new(raw: u64) -> Self {
        Self(raw)
    }

    /// Returns the raw version.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the version after one more write.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl Display for RowVersion {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        Display::fmt(&self.0, f)
    }
}

impl FromStr for RowVersion {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        text.parse().map(Self).map_err(|_| IdError::NotANumber {
            kind: "row version",
            text: text.to_owned(),
        })
    }
}

/// A row as read, with its version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Versioned<T> {
    /// The row's version.
    pub version: RowVersion,
    /// The row's value, if the row exists.
    pub value: Option<T>,
}

/// Outcome of a compare-and-set, as known to its sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect and the row has this version.
    Done(RowVersion),
    /// The row had another version than expected.
    Conflict,
    /// No reply arrived; the write may have taken effect or may still do so.
    Unknown,
}
