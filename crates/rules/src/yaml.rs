//! YAML representation of rule files. Values are validated during
//! deserialization, so that every error carries the line of the invalid value.

mod strict;

use std::fmt::{self, Display, Formatter};
use std::marker::PhantomData;
use std::str::FromStr;

use serde::de::{DeserializeSeed, Error, MapAccess, Visitor};
use serde::{Deserialize, Deserializer};

use crate::expr::Expression;
use crate::labels::{METRIC_NAME, is_label_name, is_metric_name};
use crate::template::Template;
use crate::time::RuleDuration;

pub(crate) use strict::Strict;
use strict::StrictMapping;

/// Maximum number of labels, and of annotations, of one rule or group.
const MAX_VALUES: usize = 64;

/// Minimum interval of a group; usage reports arrive at most once per second.
const MIN_INTERVAL: RuleDuration = RuleDuration::from_secs(1);

/// Maximum size of a label or annotation value.
const MAX_VALUE_BYTES: usize = 8 * 1024;

#[derive(Debug, Deserialize)]
pub(crate) struct RawFile {
    pub(crate) groups: Vec<Strict<RawGroup>>,
}

impl StrictMapping for RawFile {
    const KEYS: &'static [&'static str] = &["groups"];
}

#[derive(Debug, Deserialize)]
pub(crate) struct RawGroup {
    pub(crate) name: Parsed<NonEmpty>,
    /// Time between two evaluations.
    pub(crate) interval: Option<Parsed<Interval>>,
    /// Maximum number of alerts or series that a rule may produce.
    pub(crate) limit: Option<usize>,
    /// Labels added to all rules of the group.
    #[serde(default)]
    pub(crate) labels: TemplatedValues,
    pub(crate) rules: Vec<Strict<RawRule>>,
}

impl StrictMapping for RawGroup {
    const KEYS: &'static [&'static str] = &["name", "interval", "limit", "labels", "rules"];
}

/// A rule; [`StrictMapping::check`] ensures that it has either `record` or `alert`.
#[derive(Debug, Deserialize)]
pub(crate) struct RawRule {
    /// Metric name; set for a recording rule.
    pub(crate) record: Option<Parsed<MetricName>>,
    /// Alert name; set for an alerting rule.
    pub(crate) alert: Option<Parsed<NonEmpty>>,
    pub(crate) expr: Parsed<Expression>,
    /// How long the condition must hold before an alert fires.
    pub(crate) r#for: Option<Parsed<RuleDuration>>,
    /// How long an alert keeps firing after its condition has ended.
    pub(crate) keep_firing_for: Option<Parsed<RuleDuration>>,
    #[serde(default)]
    pub(crate) labels: TemplatedValues,
    #[serde(default)]
    pub(crate) annotations: TemplatedValues,
}

impl StrictMapping for RawRule {
    const KEYS: &'static [&'static str] = &[
        "record",
        "alert",
        "expr",
        "for",
        "keep_firing_for",
        "labels",
        "annotations",
    ];

    fn check(&self) -> Result<(), &'static str> {
        match (&self.alert, &self.record) {
            (Some(_), Some(_)) => {
                Err("the rule has both \"alert\" and \"record\", expected one of them; remove one")
            }
            (None, None) => {
                Err("the rule has neither \"alert\" nor \"record\", expected one of them; add one")
            }
            (None, Some(_)) if self.r#for.is_some() => {
                Err("a recording rule has \"for\", expected only in alert rules; remove it")
            }
            (None, Some(_)) if self.keep_firing_for.is_some() => Err(
                "a recording rule has \"keep_firing_for\", expected only in alert rules; remove it",
            ),
            (None, Some(_)) if !self.annotations.0.is_empty() => Err(
                "a recording rule has \"annotations\", expected only in alert rules; remove them",
            ),
            _ => Ok(()),
        }
    }
}

/// A string value that is parsed with [`FromStr`] during deserialization.
#[derive(Debug, Clone)]
pub(crate) struct Parsed<T>(pub(crate) T);

impl<'de, T: FromStr<Err: Display>> Deserialize<'de> for Parsed<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct ParsedVisitor<T>(PhantomData<T>);

        impl<T: FromStr<Err: Display>> Visitor<'_> for ParsedVisitor<T> {
            type Value = T;

            fn expecting(&self, f: &mut Formatter<'_>) -> fmt::Result {
                f.write_str("a string")
            }

            fn visit_str<E: Error>(self, text: &str) -> Result<T, E> {
                text.parse().map_err(E::custom)
            }
        }

        deserializer
            .deserialize_str(ParsedVisitor(PhantomData))
            .map(Parsed)
    }
}

/// A non-empty string.
#[derive(Debug, Clone)]
pub(crate) struct NonEmpty(pub(crate) String);

impl FromStr for NonEmpty {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.is_empty() {
            return Err("the name is empty, expected at least one character; add a name");
        }
        Ok(Self(text.to_owned()))
    }
}

/// Evaluation interval of a group; 0 means the default.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Interval(pub(crate) RuleDuration);

impl FromStr for Interval {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let interval: RuleDuration = text.parse()?;
        if interval != RuleDuration::ZERO && interval < MIN_INTERVAL {
            return Err(format!(
                "the interval is {interval}, expected at least {MIN_INTERVAL}; raise it"
            ));
        }
        Ok(Self(interval))
    }
}

#[derive(Debug, Clone)]
pub(crate) struct MetricName(pub(crate) String);

impl FromStr for MetricName {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        if is_metric_name(text) {
            return Ok(Self(text.to_owned()));
        }
        Err(format!(
            "{text:?} is not a metric name, expected letters, digits, \"_\" and \":\"; rename it"
        ))
    }
}

#[derive(Debug, Clone)]
pub(crate) struct TemplatedValue {
    /// The string as written in the file.
    pub(crate) text: String,
    /// The string parsed as a template.
    pub(crate) template: Template,
}

impl FromStr for TemplatedValue {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        if text.len() > MAX_VALUE_BYTES {
            return Err(format!(
                "the value has {} bytes, expected at most {MAX_VALUE_BYTES}; shorten it",
                text.len()
            ));
        }
        Ok(Self {
            text: text.to_owned(),
            template: text.parse()?,
        })
    }
}

/// Labels or annotations with distinct names, in file order.
#[derive(Debug, Clone, Default)]
pub(crate) struct TemplatedValues(pub(crate) Vec<(String, TemplatedValue)>);

impl<'de> Deserialize<'de> for TemplatedValues {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct TemplatedValuesVisitor;

        impl<'de> Visitor<'de> for TemplatedValuesVisitor {
            type Value = TemplatedValues;

            fn expecting(&self, f: &mut Formatter<'_>) -> fmt::Result {
                f.write_str("a mapping of names to strings")
            }

            fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<TemplatedValues, A::Error> {
                let mut values = Vec::new();
                while let Some(name) = map.next_key_seed(UniqueName(&values))? {
                    let Parsed(value) = map.next_value()?;
                    values.push((name, value));
                }
                Ok(TemplatedValues(values))
            }
        }

        deserializer.deserialize_map(TemplatedValuesVisitor)
    }
}

/// Reads a label name that isn't among the names read before.
struct UniqueName<'a>(&'a [(String, TemplatedValue)]);

impl<'de> DeserializeSeed<'de> for UniqueName<'_> {
    type Value = String;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<String, D::Error> {
        deserializer.deserialize_str(self)
    }
}

impl Visitor<'_> for UniqueName<'_> {
    type Value = String;

    fn expecting(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str("a name")
    }

    fn visit_str<E: Error>(self, name: &str) -> Result<String, E> {
        if !is_label_name(name) || name == METRIC_NAME {
            let message = format!(
                "{name:?} is not a label name, expected letters, digits and \"_\"; rename it"
            );
            return Err(E::custom(message));
        }
        if self.0.iter().any(|(known, _)| known == name) {
            return Err(E::custom(format!(
                "the name {name:?} occurs twice, expected once; remove one"
            )));
        }
        if self.0.len() == MAX_VALUES {
            return Err(E::custom(format!(
                "there are more than {MAX_VALUES} names, expected fewer; remove some"
            )));
        }
        Ok(name.to_owned())
    }
}
