//! Templates in labels and annotations.

use std::str::FromStr;

use crate::labels::{Labels, is_label_name};
use crate::number::{format_fixed, format_four_digits, format_general};

/// SI prefixes of large numbers, each 1000 times the one before.
const LARGE_PREFIXES: [&str; 8] = ["k", "M", "G", "T", "P", "E", "Z", "Y"];

/// SI prefixes of small numbers, each a thousandth of the one before.
const SMALL_PREFIXES: [&str; 8] = ["m", "u", "n", "p", "f", "a", "z", "y"];

/// A string with placeholders for the labels and the value of an alert.
#[derive(Debug, Clone)]
pub(crate) struct Template(Vec<Part>);

#[derive(Debug, Clone)]
enum Part {
    Text(String),
    Label(String),
    Value(Option<Format>),
}

/// Conversion of a number to a string.
#[derive(Debug, Clone)]
enum Format {
    Humanize,
    Duration,
    Percentage,
    /// `printf`: string before the number, its decimals, string after it.
    Printf(String, usize, String),
}

impl Template {
    /// Replaces the placeholders.
    pub(crate) fn expand(&self, labels: &Labels, value: f64) -> String {
        let expand = |part: &Part| match part {
            Part::Text(text) => text.clone(),
            Part::Label(name) => labels.get(name).to_owned(),
            Part::Value(format) => match format {
                None => format_general(value),
                Some(Format::Humanize) => humanize(value),
                Some(Format::Duration) => humanize_duration(value),
                Some(Format::Percentage) => format!("{}%", format_four_digits(value * 100.0)),
                Some(Format::Printf(before, decimals, after)) => {
                    format!("{before}{}{after}", format_fixed(value, *decimals))
                }
            },
        };
        self.0.iter().map(expand).collect()
    }
}

impl FromStr for Template {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let mut parts = Vec::new();
        let mut rest = text;
        while let Some((before, after)) = rest.split_once("{{") {
            parts.push(Part::Text(before.to_owned()));
            let Some((action, after)) = after.split_once("}}") else {
                return Err(format!(
                    "the template {text:?} has \"{{{{\" without \"}}}}\"; close it"
                ));
            };
            parts.push(parse_action(action).ok_or_else(|| {
                format!(
                    "the template expression {action:?} can't be expanded exactly, expected $value or \
                     $labels.name, with humanize, humanizeDuration, humanizePercentage or printf \"%.2f\" \
                     for $value; rewrite it"
                )
            })?);
            rest = after;
        }
        parts.push(Part::Text(rest.to_owned()));
        Ok(Self(parts))
    }
}

/// Parses `operand`, `operand | function` or `function operand`.
fn parse_action(action: &str) -> Option<Part> {
    let (operand, function) = match action.split_once('|') {
        Some((operand, function)) => (operand.trim(), Some(function.trim())),
        None => match action.trim().rsplit_once([' ', '\t']) {
            Some((function, operand)) => (operand, Some(function.trim())),
            None => (action.trim(), None),
        },
    };
    if let Some(name) = operand
        .strip_prefix("$labels.")
        .or_else(|| operand.strip_prefix(".Labels."))
    {
        return (function.is_none() && is_label_name(name)).then(|| Part::Label(name.to_owned()));
    }
    if !matches!(operand, "$value" | ".Value") {
        return None;
    }
    let Some(function) = function else {
        return Some(Part::Value(None));
    };
    let format = match function {
        "humanize" => Format::Humanize,
        "humanizeDuration" => Format::Duration,
        "humanizePercentage" => Format::Percentage,
        function => parse_printf(function.strip_prefix("printf")?.trim())?,
    };
    Some(Part::Value(Some(format)))
}

/// Parses a quoted format with one `%f` or `%.Nf`; `%%` is a percent sign.
fn parse_printf(quoted: &str) -> Option<Format> {
    let format = quoted.strip_prefix('"')?.strip_suffix('"')?;
    if format.contains(['\\', '"']) {
        return None;
    }
    let mut texts = vec![String::new()];
    let mut decimals = None;
    let mut rest = format;
    while let Some((text, after)) = rest.split_once('%') {
        texts.last_mut()?.push_str(text);
        if let Some(after) = after.strip_prefix('%') {
            texts.last_mut()?.push('%');
            rest = after;
            continue;
        }
        let (verb, after) = after.split_once('f')?;
        // `%f` has six decimals.
        let count = match verb.strip_prefix('.') {
            Some(digits) if digits.len() == 1 => digits.parse().ok()?,
            None if verb.is_empty() => 6,
            _ => return None,
        };
        if decimals.replace(count).is_some() {
            return None;
        }
        texts.push(String::new());
        rest = after;
    }
    texts.last_mut()?.push_str(rest);
    let after = texts.pop()?;
    Some(Format::Printf(texts.pop()?, decimals?, after))
}

fn humanize(mut value: f64) -> String {
    if value == 0.0 || !value.is_finite() {
        return format_four_digits(value);
    }
    let mut prefix = "";
    if value.abs() >= 1.0 {
        for next in LARGE_PREFIXES {
            if value.abs() < 1000.0 {
                break;
            }
            prefix = next;
            value /= 1000.0;
        }
        return format!("{}{prefix}", format_four_digits(value));
    }
    humanize_small(value, "")
}

/// Formats a number below one with an SI prefix.
fn humanize_small(mut value: f64, unit: &str) -> String {
    let mut prefix = "";
    for next in SMALL_PREFIXES {
        if value.abs() >= 1.0 {
            break;
        }
        prefix = next;
        value *= 1000.0;
    }
    format!("{}{prefix}{unit}", format_four_digits(value))
}

fn humanize_duration(value: f64) -> String {
    if !value.is_finite() {
        return format_four_digits(value);
    }
    if value == 0.0 {
        return format!("{}s", format_four_digits(value));
    }
    if value.abs() < 1.0 {
        return humanize_small(value, "s");
    }
    let sign = if value < 0.0 { "-" } else { "" };
    let value = value.abs();
    // A number that doesn't fit becomes the smallest integer, as in Prometheus on amd64.
    let total = if value < i64::MAX as f64 {
        value as i64
    } else {
        i64::MIN
    };
    let (days, hours) = (total / 86_400, total / 3_600 % 24);
    let (minutes, seconds) = (total / 60 % 60, total % 60);
    if days != 0 {
        format!("{sign}{days}d {hours}h {minutes}m {seconds}s")
    } else if hours != 0 {
        format!("{sign}{hours}h {minutes}m {seconds}s")
    } else if minutes != 0 {
        format!("{sign}{minutes}m {seconds}s")
    } else {
        format!("{sign}{}s", format_four_digits(value))
    }
}
