//! Sizes and rates, parsed and displayed with their units.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;
use std::time::Duration;

use thiserror::Error;

/// Number of bytes in a kibibyte.
const KIB: u64 = 1024;

/// A string or number that is not a valid size or rate.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SizeError {
    /// The number is missing, negative or too large.
    #[error("{text:?} is not a {kind}; expected {expected}")]
    BadNumber {
        /// The rejected string, or the rejected number as text.
        text: String,
        /// Kind of value, `size` or `rate`.
        kind: &'static str,
        /// Description of the expected format.
        expected: &'static str,
    },
    /// The unit isn't known.
    #[error("{text:?} has the unit {unit:?}; expected one of {expected}")]
    BadUnit {
        /// The rejected string, with its number and unit.
        text: String,
        /// The trimmed rest after the number; empty if the unit is missing.
        unit: String,
        /// List of the known units.
        expected: &'static str,
    },
}

/// A number of bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct ByteSize(u64);

impl ByteSize {
    /// Wraps a number of bytes.
    #[must_use]
    pub const fn new(bytes: u64) -> Self {
        Self(bytes)
    }

    /// Creates a size from mebibytes.
    #[must_use]
    pub const fn from_mib(mib: u64) -> Self {
        Self(mib * KIB * KIB)
    }

    /// Creates a size from kibibytes.
    #[must_use]
    pub const fn from_kib(kib: u64) -> Self {
        Self(kib * KIB)
    }

    /// Returns the number of bytes.
    #[must_use]
    pub const fn bytes(self) -> u64 {
        self.0
    }
}

impl Display for ByteSize {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let units = [(KIB * KIB * KIB, "GiB"), (KIB * KIB, "MiB"), (KIB, "KiB")];
        for (factor, unit) in units {
            if self.0 >= factor && self.0.is_multiple_of(factor) {
                return write!(f, "{}{unit}", self.0 / factor);
            }
        }
        write!(f, "{}B", self.0)
    }
}

impl FromStr for ByteSize {
    type Err = SizeError;

    fn from_str(text: &str) -> Result<Self, SizeError> {
        let digits = text.bytes().take_while(u8::is_ascii_digit).count();
        let (number, unit) = text.split_at(digits);
        let bad_number = || SizeError::BadNumber {
            text: text.to_owned(),
            kind: "size",
            expected: "a whole number and a unit, such as \"64KiB\"",
        };
        let number: u64 = number.parse().map_err(|_| bad_number())?;
        let factor = match unit.trim() {
            "B" => 1,
            "KiB" => KIB,
            "MiB" => KIB * KIB,
            "GiB" => KIB * KIB * KIB,
            unit => {
                return Err(SizeError::BadUnit {
                    text: text.to_owned(),
                    unit: unit.to_owned(),
                    expected: "B, KiB, MiB, GiB",
                });
            }
        };
        number.checked_mul(factor).map(Self).ok_or_else(bad_number)
    }
}

/// A rate in bytes per second, at least one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ByteRate(ByteSize);

impl ByteRate {
    /// Returns the time that a number of bytes takes at this rate.
    #[must_use]
    pub fn time_for(self, size: ByteSize) -> Duration {
        let millis = size.bytes().saturating_mul(1_000) / self.0.bytes();
        Duration::from_millis(millis)
    }
}

impl TryFrom<ByteSize> for ByteRate {
    type Error = SizeError;

    fn try_from(per_second: ByteSize) -> Result<Self, SizeError> {
        if per_second == ByteSize::new(0) {
            return Err(SizeError::BadNumber {
                text: per_second.to_string(),
                kind: "rate",
                expected: "at least one byte per second",
            });
        }
        Ok(Self(per_second))
    }
}

impl Display for ByteRate {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl FromStr for ByteRate {
    type Err = SizeError;

    fn from_str(text: &str) -> Result<Self, SizeError> {
        let size = text
            .strip_suffix("/s")
            .ok_or_else(|| SizeError::BadNumber {
                text: text.to_owned(),
                kind: "rate",
                expected: "a size and \"/s\", such as \"8KiB/s\"",
            })?;
        Self::try_from(size.trim().parse::<ByteSize>()?)
    }
}

/// A rate in events per second, finite and not negative.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct PerSecond(f64);

impl PerSecond {
    /// Returns the number of events per second.
    #[must_use]
    pub const fn get(self) -> f64 {
        self.0
    }
}

impl TryFrom<f64> for PerSecond {
    type Error = SizeError;

    fn try_from(raw: f64) -> Result<Self, SizeError> {
        if !raw.is_finite() || raw < 0.0 {
            return Err(SizeError::BadNumber {
                text: raw.to_string(),
                kind: "rate",
                expected: "a finite number that is not negative",
            });
        }
        Ok(Self(raw))
    }
}

impl Display for PerSecond {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl FromStr for PerSecond {
    type Err = SizeError;

    fn from_str(text: &str) -> Result<Self, SizeError> {
        let bad = || SizeError::BadNumber {
            text: text.to_owned(),
            kind: "rate",
            expected: "a number and \"/s\", such as \"20/s\"",
        };
        let number = text.strip_suffix("/s").ok_or_else(bad)?;
        let raw: f64 = number.trim().parse().map_err(|_| bad())?;
        Self::try_from(raw)
    }
}
