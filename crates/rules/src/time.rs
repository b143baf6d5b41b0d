//! Event time and the durations in rule files.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Units of a duration in milliseconds, from the largest to the smallest.
const UNITS: [(&str, i64); 7] = [
    ("y", 365 * 86_400_000),
    ("w", 7 * 86_400_000),
    ("d", 86_400_000),
    ("h", 3_600_000),
    ("m", 60_000),
    ("s", 1_000),
    ("ms", 1),
];

/// A point in event time, in milliseconds since the Unix epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct EventTime(i64);

impl EventTime {
    /// Creates a point in time from milliseconds since the Unix epoch.
    #[must_use]
    pub const fn from_millis(millis: i64) -> Self {
        Self(millis)
    }

    /// Creates a point in time from seconds since the Unix epoch.
    #[must_use]
    pub const fn from_secs(secs: i64) -> Self {
        Self(secs.saturating_mul(1_000))
    }

    /// Returns the milliseconds since the Unix epoch.
    #[must_use]
    pub const fn as_millis(self) -> i64 {
        self.0
    }

    /// Returns the seconds since the Unix epoch.
    #[must_use]
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e3
    }

    /// Returns the time `duration` after this one.
    #[must_use]
    pub const fn plus(self, duration: RuleDuration) -> Self {
        Self(self.0.saturating_add(duration.0))
    }

    /// Returns the time `duration` before this one.
    #[must_use]
    pub const fn minus(self, duration: RuleDuration) -> Self {
        Self(self.0.saturating_sub(duration.0))
    }

    /// Returns the time elapsed since `earlier`, negative if `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> RuleDuration {
        RuleDuration(self.0.saturating_sub(earlier.0))
    }
}

impl Display for EventTime {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0)
    }
}

impl FromStr for EventTime {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let millis = text.strip_suffix("ms").and_then(|n| n.parse().ok());
        millis.map(Self).ok_or_else(|| {
            format!("{text:?} is not a time; expected milliseconds, such as \"60000ms\"")
        })
    }
}

/// A duration in the syntax of rule files, such as `1h30m`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct RuleDuration(i64);

impl RuleDuration {
    /// Zero duration.
    pub const ZERO: Self = Self(0);

    /// Creates a duration from milliseconds.
    #[must_use]
    pub const fn from_millis(millis: i64) -> Self {
        Self(millis)
    }

    /// Creates a duration from seconds.
    #[must_use]
    pub const fn from_secs(secs: i64) -> Self {
        Self(secs.saturating_mul(1_000))
    }

    /// Returns the duration in milliseconds.
    #[must_use]
    pub const fn as_millis(self) -> i64 {
        self.0
    }

    /// Returns the duration in seconds.
    #[must_use]
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e3
    }

    /// Returns the sum of two durations.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl Display for RuleDuration {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        if self.0 == 0 {
            return f.write_str("0s");
        }
        let mut rest = self.0;
        for (unit, millis) in UNITS {
            let count = rest / millis;
            rest %= millis;
            if count != 0 {
                write!(f, "{count}{unit}")?;
            }
        }
        Ok(())
    }
}

impl FromStr for RuleDuration {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let bad = || {
            format!(
                "{text:?} is not a duration, expected whole numbers with units from y, w, d, h, \
                 m, s, ms in this order, such as \"1h30m\"; correct the duration"
            )
        };
        if text == "0" {
            return Ok(Self::ZERO);
        }
        let mut total = 0_i64;
        let mut rest = text;
        let mut units = UNITS.iter();
        while !rest.is_empty() {
            let digits = rest.bytes().take_while(u8::is_ascii_digit).count();
            let count: i64 = rest[..digits].parse().map_err(|_| bad())?;
            rest = &rest[digits..];
            let letters = rest.bytes().take_while(u8::is_ascii_lowercase).count();
            let unit = &rest[..letters];
            rest = &rest[letters..];
            // The iterator only moves forward, so an out-of-order or repeated unit is not
            // found.
            let (_, millis) = units.find(|(name, _)| *name == unit).ok_or_else(bad)?;
            let part = count.checked_mul(*millis).ok_or_else(bad)?;
            total = total.checked_add(part).ok_or_else(bad)?;
        }
        if text.is_empty() {
            Err(bad())
        } else {
            Ok(Self(total))
        }
    }
}
