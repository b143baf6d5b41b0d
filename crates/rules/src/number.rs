//! Sample values and number formatting as in Prometheus.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Bit pattern of the NaN that serves as staleness marker.
const STALE_BITS: u64 = 0x7ff0_0000_0000_0002;

/// Value of a sample; one special NaN is the staleness marker.
#[derive(Debug, Clone, Copy)]
pub struct SampleValue(f64);

impl SampleValue {
    /// Staleness marker: ends a series before the lookback delta has passed.
    pub const STALE: Self = Self(f64::from_bits(STALE_BITS));

    /// Creates a sample value from a number.
    #[must_use]
    pub const fn new(value: f64) -> Self {
        Self(value)
    }

    /// Returns the number.
    #[must_use]
    pub const fn get(self) -> f64 {
        self.0
    }

    /// Returns whether this is the staleness marker.
    #[must_use]
    pub const fn is_stale(self) -> bool {
        self.0.to_bits() == STALE_BITS
    }
}

impl PartialEq for SampleValue {
    fn eq(&self, other: &Self) -> bool {
        self.0.to_bits() == other.0.to_bits()
    }
}

impl Display for SampleValue {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        if self.is_stale() {
            f.write_str("stale")
        } else {
            f.write_str(&format_plain(self.0))
        }
    }
}

impl FromStr for SampleValue {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        if text == "stale" {
            return Ok(Self::STALE);
        }
        let number = text.parse().map(Self);
        number
            .map_err(|_| format!("{text:?} is not a sample value; expected a number or \"stale\""))
    }
}

impl Serialize for SampleValue {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for SampleValue {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}

/// Formats a number with the fewest digits and without an exponent.
pub(crate) fn format_plain(value: f64) -> String {
    format_non_finite(value).map_or_else(|| format!("{value}"), str::to_owned)
}

/// Formats a number as the template language prints it: with the fewest digits,
/// and with an exponent below 1e-4 and from 1e6.
pub(crate) fn format_general(value: f64) -> String {
    if let Some(text) = format_non_finite(value) {
        return text.to_owned();
    }
    let text = format!("{value:e}");
    let (digits, exponent) = text.split_once('e').unwrap_or((&text, "0"));
    let exponent: i32 = exponent.parse().unwrap_or(0);
    if value != 0.0 && !(-4..6).contains(&exponent) {
        return format_with_exponent(digits, exponent);
    }
    format!("{value}")
}

/// Formats a number like `%.4g`: four significant digits without trailing zeros.
pub(crate) fn format_four_digits(value: f64) -> String {
    if let Some(text) = format_non_finite(value) {
        return text.to_owned();
    }
    let text = format!("{value:.3e}");
    let (digits, exponent) = text.split_once('e').unwrap_or((&text, "0"));
    let exponent: i32 = exponent.parse().unwrap_or(0);
    if !(-4..4).contains(&exponent) {
        return format_with_exponent(trim_zeros(digits), exponent);
    }
    let decimals = usize::try_from(3 - exponent).unwrap_or(0);
    trim_zeros(&format!("{value:.decimals$}")).to_owned()
}

/// Formats a number like `%.Nf`.
pub(crate) fn format_fixed(value: f64, decimals: usize) -> String {
    format_non_finite(value).map_or_else(|| format!("{value:.decimals$}"), str::to_owned)
}

fn format_non_finite(value: f64) -> Option<&'static str> {
    if value.is_nan() {
        return Some("NaN");
    }
    let text = if value > 0.0 { "+Inf" } else { "-Inf" };
    value.is_infinite().then_some(text)
}

fn format_with_exponent(digits: &str, exponent: i32) -> String {
    let sign = if exponent < 0 { '-' } else { '+' };
    format!("{digits}e{sign}{:02}", exponent.abs())
}

fn trim_zeros(text: &str) -> &str {
    if text.contains('.') {
        text.trim_end_matches('0').trim_end_matches('.')
    } else {
        text
    }
}
