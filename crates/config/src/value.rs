//! Types of single values, and functions that validate their string form.

use std::fmt::{self, Debug, Display, Formatter};
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::str::FromStr;
use std::time::Duration;

use cumindeck_types::{ByteSize, parse_duration};
use thiserror::Error;

use crate::MAX_LIST_ITEMS;

/// Maximum length of a site name in bytes.
const MAX_SITE_BYTES: usize = 64;

/// An invalid value; the message is a hint for the operator.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{0}")]
pub struct ValueError(pub(crate) String);

/// Result of validating a value; the error is a hint for the operator.
pub(crate) type CheckResult = Result<(), String>;

/// Name of a site: letters, digits, '-', '_' and '.'.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SiteName(String);

impl SiteName {
    /// Returns the name as a string.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl FromStr for SiteName {
    type Err = ValueError;

    fn from_str(text: &str) -> Result<Self, ValueError> {
        let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
        if !(1..=MAX_SITE_BYTES).contains(&text.len()) || !text.chars().all(is_allowed) {
            let msg = "use 1 to 64 letters, digits, '-', '_' or '.'";
            return Err(ValueError(msg.into()));
        }
        Ok(Self(text.to_owned()))
    }
}

impl Display for SiteName {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// A whole percentage from 0 to 100.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Percent(u8);

impl Percent {
    /// Returns the percentage as a fraction from 0 to 1.
    #[must_use]
    pub fn fraction(self) -> f64 {
        f64::from(self.0) / 100.0
    }
}

impl FromStr for Percent {
    type Err = ValueError;

    fn from_str(text: &str) -> Result<Self, ValueError> {
        let raw = text
            .strip_suffix('%')
            .and_then(|number| number.trim().parse().ok());
        let Some(raw) = raw.filter(|raw| *raw <= 100) else {
            return Err(ValueError(
                "write a whole number from 0 to 100 and '%', such as 10%".into(),
            ));
        };
        Ok(Self(raw))
    }
}

impl Display for Percent {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}%", self.0)
    }
}

/// A rate in bits per second.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BitRate(u64);

/// Units of bit rates, the largest first.
const BIT_UNITS: [(&str, u64); 4] = [
    ("Gbit/s", 1_000_000_000),
    ("Mbit/s", 1_000_000),
    ("kbit/s", 1_000),
    ("bit/s", 1),
];

impl BitRate {
    /// Returns the rate in bits per second.
    #[must_use]
    pub const fn bits_per_second(self) -> u64 {
        self.0
    }
}

impl FromStr for BitRate {
    type Err = ValueError;

    fn from_str(text: &str) -> Result<Self, ValueError> {
        let digits = text.bytes().take_while(u8::is_ascii_digit).count();
        let (number, unit) = text.split_at(digits);
        let factor = BIT_UNITS.iter().find(|(name, _)| *name == unit.trim());
        let raw = number.parse::<u64>().ok().zip(factor);
        let Some(raw) = raw.and_then(|(number, (_, factor))| number.checked_mul(*factor)) else {
            let msg = "write a whole number and bit/s, kbit/s, Mbit/s or Gbit/s, such as 30Mbit/s";
            return Err(ValueError(msg.into()));
        };
        Ok(Self(raw))
    }
}

impl Display for BitRate {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for (unit, factor) in BIT_UNITS {
            if self.0 >= factor && self.0.is_multiple_of(factor) {
                return write!(f, "{}{unit}", self.0 / factor);
            }
        }
        write!(f, "0bit/s")
    }
}

/// Least severe level that is logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LogLevel {
    /// Failures that need an operator.
    Error,
    /// Failures that the system handles.
    Warn,
    /// State changes, such as the start and the stop of a process.
    Info,
    /// Details of single requests and jobs.
    Debug,
    /// Details of single messages.
    Trace,
}

impl LogLevel {
    /// All levels, the most severe first.
    const ALL: [Self; 5] = [
        Self::Error,
        Self::Warn,
        Self::Info,
        Self::Debug,
        Self::Trace,
    ];
}

impl FromStr for LogLevel {
    type Err = ValueError;

    fn from_str(text: &str) -> Result<Self, ValueError> {
        let known = Self::ALL
            .into_iter()
            .find(|level| level.to_string() == text);
        known.ok_or_else(|| ValueError("write error, warn, info, debug or trace".into()))
    }
}

impl Display for LogLevel {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Error => "error",
            Self::Warn => "warn",
            Self::Info => "info",
            Self::Debug => "debug",
            Self::Trace => "trace",
        })
    }
}

/// Splits a list at commas.
pub(crate) fn list_items(text: &str) -> impl Iterator<Item = &str> {
    text.split(',').map(str::trim)
}

/// Validates a single value of type `T`.
pub(crate) fn single<T: FromStr<Err: Display>>(text: &str) -> CheckResult {
    text.parse::<T>().map(drop).map_err(|err| err.to_string())
}

/// Validates a list of distinct values of type `T`.
pub(crate) fn list<T: FromStr<Err: Display>>(text: &str) -> CheckResult {
    let mut seen: Vec<&str> = Vec::new();
    for item in list_items(text) {
        single::<T>(item)?;
        if seen.contains(&item) {
            return Err(format!("{item:?} is listed twice; remove one"));
        }
        seen.push(item);
    }
    if seen.len() > MAX_LIST_ITEMS {
        return Err(format!(
            "the list has {} items; at most {MAX_LIST_ITEMS}",
            seen.len()
        ));
    }
    Ok(())
}

/// Validates a whole number in a range.
pub(crate) fn number(text: &str, range: RangeInclusive<u32>) -> CheckResult {
    let raw = text.parse().ok().filter(|raw| range.contains(raw));
    let hint = || {
        format!(
            "write a whole number from {} to {}",
            range.start(),
            range.end()
        )
    };
    raw.map(drop).ok_or_else(hint)
}

/// Validates a duration in a range.
pub(crate) fn duration(text: &str, range: RangeInclusive<Duration>) -> CheckResult {
    let raw = parse_duration(text).map_err(|err| err.to_string())?;
    if range.contains(&raw) {
        return Ok(());
    }
    Err(format!(
        "write a duration from {:?} to {:?}",
        range.start(),
        range.end()
    ))
}

/// Validates a size in a range.
pub(crate) fn size(text: &str, range: RangeInclusive<ByteSize>) -> CheckResult {
    let raw: ByteSize = text.parse().map_err(|err| format!("{err}"))?;
    if range.contains(&raw) {
        return Ok(());
    }
    Err(format!(
        "write a size from {} to {}",
        range.start(),
        range.end()
    ))
}

/// Validates a listen address; port 0 means any port.
pub(crate) fn listen_address(text: &str) -> CheckResult {
    let hint = "write an IP number and a port, such as 127.0.0.1:7080; names are not looked up";
    text.parse::<SocketAddr>()
        .map(drop)
        .map_err(|_| hint.into())
}

/// Validates the address of a peer.
pub(crate) fn peer_address(text: &str) -> CheckResult {
    let hint =
        "write an IP number and a port from 1, such as 10.0.0.5:7082; names are not looked up";
    let addr = text
        .parse::<SocketAddr>()
        .ok()
        .filter(|addr| addr.port() != 0);
    addr.map(drop).ok_or_else(|| hint.into())
}

/// Validates a list of peer addresses.
pub(crate) fn peer_addresses(text: &str) -> CheckResult {
    list_items(text).try_for_each(peer_address)?;
    list::<SocketAddr>(text)
}

/// Validates the number of accelerators of a worker.
pub(crate) fn accelerators(text: &str) -> CheckResult {
    number(text, 0..=64)?;
    // Half and quarter cells need a number that can be halved down to one.
    let is_power = text
        .parse::<u32>()
        .is_ok_and(|n| n == 0 || n.is_power_of_two());
    is_power
        .then_some(())
        .ok_or_else(|| "write 0, 1, 2, 4, 8, 16, 32 or 64".into())
}
