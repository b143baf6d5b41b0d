//! The YAML form of rule files; text is validated while it is read, so that
//! every error carries the line of the text.

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

use strict::Keys;
pub(crate) use strict::Strict;

/// Largest number of labels or annotations of one rule.
const MAX_ENTRIES: usize = 64;

/// Shortest interval; usage reports come no more often than once a second.
const MIN_INTERVAL: RuleDuration = RuleDuration::from_secs(1);

/// Longest value of a label or annotation in bytes.
const MAX_VALUE_BYTES: usize = 8 * 1024;

/// A file.
#[derive(Debug, Deserialize)]
pub(crate) struct RawFile {
    /// Groups in the order of the file.
    pub(crate) groups: Vec<Strict<RawGroup>>,
}

impl Keys for RawFile {
    const KEYS: &'static [&'static str] = &["groups"];
}

/// A group.
#[derive(Debug, Deserialize)]
pub(crate) struct RawGroup {
    /// Name, unique in the file.
    pub(crate) name: Checked<NonEmpty>,
    /// Time between instants.
    pub(crate) interval: Option<Checked<Interval>>,
    /// Largest number of alerts or series of a rule.
    pub(crate) limit: Option<usize>,
    /// Labels of all rules.
    #[serde(default)]
    pub(crate) labels: Entries,
    /// Rules in the order of the file.
    pub(crate) rules: Vec<Strict<RawRule>>,
}

impl Keys for RawGroup {
    const KEYS: &'static [&'static str] = &["name", "interval", "limit", "labels", "rules"];
}

/// A rule.
#[derive(Debug, Deserialize)]
pub(crate) struct RawRule {
    /// Metric name of a recording rule.
    pub(crate) record: Option<Checked<MetricName>>,
    /// Name of an alert rule.
    pub(crate) alert: Option<Checked<NonEmpty>>,
    /// Expression.
    pub(crate) expr: Checked<Expression>,
    /// Time from pending to firing.
    pub(crate) r#for: Option<Checked<RuleDuration>>,
    /// Time that an alert fires on after its condition has ended.
    pub(crate) keep_firing_for: Option<Checked<RuleDuration>>,
    /// Labels.
    #[serde(default)]
    pub(crate) labels: Entries,
    /// Annotations.
    #[serde(default)]
    pub(crate) annotations: Entries,
}

impl Keys for RawRule {
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

/// Text that is validated while it is read.
#[derive(Debug, Clone)]
pub(crate) struct Checked<T>(pub(crate) T);

impl<'de, T: FromStr<Err: Display>> Deserialize<'de> for Checked<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct TextVisitor<T>(PhantomData<T>);

        impl<T: FromStr<Err: Display>> Visitor<'_> for TextVisitor<T> {
            type Value = T;

            fn expecting(&self, f: &mut Formatter<'_>) -> fmt::Result {
                f.write_str("a text")
            }

            fn visit_str<E: Error>(self, text: &str) -> Result<T, E> {
                text.parse().map_err(E::custom)
            }
        }

        deserializer
            .deserialize_str(TextVisitor(PhantomData))
            .map(Checked)
    }
}

/// A text that isn't empty.
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

/// Time between the instants of a group; 0 means the default.
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

/// A valid metric name.
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

/// The value of a label or annotation.
#[derive(Debug, Clone)]
pub(crate) struct Entry {
    /// The text as it stands in the file.
    pub(crate) text: String,
    /// The parsed template.
    pub(crate) template: Template,
}

impl FromStr for Entry {
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

/// Labels or annotations with distinct names, in the order of the file.
#[derive(Debug, Clone, Default)]
pub(crate) struct Entries(pub(crate) Vec<(String, Entry)>);

impl<'de> Deserialize<'de> for Entries {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct EntriesVisitor;

        impl<'de> Visitor<'de> for EntriesVisitor {
            type Value = Entries;

            fn expecting(&self, f: &mut Formatter<'_>) -> fmt::Result {
                f.write_str("names with texts")
            }

            fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Entries, A::Error> {
                let mut entries = Vec::new();
                while let Some(name) = map.next_key_seed(NewName(&entries))? {
                    let Checked(value) = map.next_value()?;
                    entries.push((name, value));
                }
                Ok(Entries(entries))
            }
        }

        deserializer.deserialize_map(EntriesVisitor)
    }
}

/// Reads a name that must not be among the entries read before.
struct NewName<'a>(&'a [(String, Entry)]);

impl<'de> DeserializeSeed<'de> for NewName<'_> {
    type Value = String;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<String, D::Error> {
        deserializer.deserialize_str(self)
    }
}

impl Visitor<'_> for NewName<'_> {
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
        if self.0.len() == MAX_ENTRIES {
            return Err(E::custom(format!(
                "there are more than {MAX_ENTRIES} names, expected fewer; remove some"
            )));
        }
        Ok(name.to_owned())
    }
}
