//! Label sets.

use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};

use serde::{Deserialize, Serialize};

/// Label that holds the metric name.
pub(crate) const METRIC_NAME: &str = "__name__";

/// A set of labels with distinct names; an empty value is the same as no label.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Labels(BTreeMap<String, String>);

impl Labels {
    /// Returns an empty label set.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the value of a label, or an empty string if it is absent.
    #[must_use]
    pub fn get(&self, name: &str) -> &str {
        self.0.get(name).map_or("", String::as_str)
    }

    /// Sets a label; an empty value removes it.
    pub fn set(&mut self, name: &str, value: &str) {
        if value.is_empty() {
            self.0.remove(name);
        } else {
            self.0.insert(name.to_owned(), value.to_owned());
        }
    }

    /// Removes a label.
    pub fn remove(&mut self, name: &str) {
        self.0.remove(name);
    }

    /// Returns this set without the metric name.
    #[must_use]
    pub fn without_name(mut self) -> Self {
        self.0.remove(METRIC_NAME);
        self
    }

    /// Returns the labels whose names are in `names`.
    #[must_use]
    pub fn keep(&self, names: &[String]) -> Self {
        let kept = self.0.iter().filter(|(name, _)| names.contains(name));
        Self(
            kept.map(|(name, value)| (name.clone(), value.clone()))
                .collect(),
        )
    }

    /// Returns the labels whose names are not in `names`.
    #[must_use]
    pub fn drop(&self, names: &[String]) -> Self {
        let kept = self.0.iter().filter(|(name, _)| !names.contains(name));
        Self(
            kept.map(|(name, value)| (name.clone(), value.clone()))
                .collect(),
        )
    }

    /// Returns the labels sorted by name.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.0
            .iter()
            .map(|(name, value)| (name.as_str(), value.as_str()))
    }
}

impl<N: Into<String>, V: Into<String>> FromIterator<(N, V)> for Labels {
    fn from_iter<I: IntoIterator<Item = (N, V)>>(pairs: I) -> Self {
        let pairs = pairs
            .into_iter()
            .map(|(name, value)| (name.into(), value.into()));
        Self(
            pairs
                .filter(|(_, value): &(String, String)| !value.is_empty())
                .collect(),
        )
    }
}

impl Display for Labels {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(self.get(METRIC_NAME))?;
        f.write_str("{")?;
        let rest = self.0.iter().filter(|(name, _)| *name != METRIC_NAME);
        for (i, (name, value)) in rest.enumerate() {
            let comma = if i == 0 { "" } else { ", " };
            write!(f, "{comma}{name}={value:?}")?;
        }
        f.write_str("}")
    }
}

/// Returns whether `name` is a valid label name.
pub(crate) fn is_label_name(name: &str) -> bool {
    let valid = |c: char| c.is_ascii_alphanumeric() || c == '_';
    !name.starts_with(|c: char| c.is_ascii_digit()) && !name.is_empty() && name.chars().all(valid)
}

/// Returns whether `name` is a valid metric name.
pub(crate) fn is_metric_name(name: &str) -> bool {
    let valid = |c: char| c.is_ascii_alphanumeric() || matches!(c, '_' | ':');
    !name.starts_with(|c: char| c.is_ascii_digit()) && !name.is_empty() && name.chars().all(valid)
}
