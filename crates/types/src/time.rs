//! Time since boot and remaining times, for deadlines that don't depend on a wall clock.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;
use std::time::Duration;

use thiserror::Error;

/// A string that is not a valid duration.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum TimeError {
    /// The number is missing or too large.
    #[error("{0:?} is not a duration; expected a whole number and a unit, such as \"250ms\"")]
    BadNumber(String),
    /// The unit is missing or not known.
    #[error("{text:?} has the unit {unit:?}; expected one of us, ms, s, m, h")]
    BadUnit {
        /// The rejected string, with its number and unit.
        text: String,
        /// The trimmed rest after the number; empty if the unit is missing.
        unit: String,
    },
}

/// A point in time as the duration since boot, including time in system suspend.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Uptime(Duration);

impl Uptime {
    /// The time of boot.
    pub const ZERO: Self = Self(Duration::ZERO);

    /// Wraps the duration since boot.
    #[must_use]
    pub const fn since_boot(duration: Duration) -> Self {
        Self(duration)
    }

    /// Creates a point in time from milliseconds since boot.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(Duration::from_millis(millis))
    }

    /// Returns the duration since boot.
    #[must_use]
    pub const fn as_duration(self) -> Duration {
        self.0
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is in the future.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the point in time `duration` later, saturating at the maximum.
    #[must_use]
    pub const fn plus(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(duration))
    }
}

impl Display for Uptime {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0.as_millis())
    }
}

/// The time that remains until a deadline when a message is sent.
///
/// The receiver of a reply counts it from when it sent its request, so that network
/// latency never extends a lease or a right.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Remaining(Duration);

impl Remaining {
    /// Wraps a duration.
    #[must_use]
    pub const fn new(duration: Duration) -> Self {
        Self(duration)
    }

    /// Returns the time that remains at `now` until `deadline`, or zero after it.
    #[must_use]
    pub const fn until(deadline: Uptime, now: Uptime) -> Self {
        Self(deadline.since(now))
    }

    /// Returns the deadline, counted from `sent_at`: the time at which the receiver of a
    /// reply sent its request, or at which a request was received.
    #[must_use]
    pub const fn deadline(self, sent_at: Uptime) -> Uptime {
        sent_at.plus(self.0)
    }

    /// Returns the duration.
    #[must_use]
    pub const fn as_duration(self) -> Duration {
        self.0
    }

    /// Returns whether no time remains.
    #[must_use]
    pub const fn is_expired(self) -> bool {
        self.0.is_zero()
    }
}

impl Display for Remaining {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0.as_millis())
    }
}

impl FromStr for Remaining {
    type Err = TimeError;

    fn from_str(text: &str) -> Result<Self, TimeError> {
        parse_duration(text).map(Self)
    }
}

/// Parses a whole number followed by one of the units `us`, `ms`, `s`, `m` and `h`.
pub fn parse_duration(text: &str) -> Result<Duration, TimeError> {
    let digits = text.bytes().take_while(u8::is_ascii_digit).count();
    let (number, unit) = text.split_at(digits);
    let Ok(number) = number.parse::<u64>() else {
        return Err(TimeError::BadNumber(text.to_owned()));
    };
    let micros_per_unit = match unit.trim() {
        "us" => 1,
        "ms" => 1_000,
        "s" => 1_000_000,
        "m" => 60_000_000,
        "h" => 3_600_000_000,
        unit => {
            return Err(TimeError::BadUnit {
                text: text.to_owned(),
                unit: unit.to_owned(),
            });
        }
    };
    let Some(micros) = number.checked_mul(micros_per_unit) else {
        return Err(TimeError::BadNumber(text.to_owned()));
    };
    Ok(Duration::from_micros(micros))
}
