//! Faults in settings files.

use std::fmt::{self, Display, Formatter};

use thiserror::Error;

/// Most faults that are reported at once.
const MAX_ERRORS: usize = 50;
/// Most characters of a found text in a fault.
const MAX_FOUND_CHARS: usize = 80;

/// A fault in a settings file.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{}: {key}: found {found}, expected {expected}; hint: {hint}", self.place())]
pub struct ConfigError {
    /// File.
    pub file: String,
    /// Line from 1, or 0 if the fault has no line.
    pub line: u32,
    /// Section or key.
    pub key: String,
    /// What was found.
    pub found: String,
    /// What was expected.
    pub expected: String,
    /// What to do next.
    pub hint: String,
}

impl ConfigError {
    /// Returns the file and the line.
    fn place(&self) -> String {
        match self.line {
            0 => self.file.clone(),
            line => format!("{}:{line}", self.file),
        }
    }
}

/// Faults in settings files, in order of file and line; at least one.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub struct ConfigErrors(Vec<ConfigError>);

impl ConfigErrors {
    /// Returns the faults.
    #[must_use]
    pub fn as_slice(&self) -> &[ConfigError] {
        &self.0
    }
}

impl From<ConfigError> for ConfigErrors {
    fn from(err: ConfigError) -> Self {
        Self(vec![err])
    }
}

impl Display for ConfigErrors {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for (i, err) in self.0.iter().enumerate() {
            let newline = if i == 0 { "" } else { "\n" };
            write!(f, "{newline}{err}")?;
        }
        Ok(())
    }
}

/// Collects faults, so that an operator sees all of them at once.
#[derive(Debug, Default)]
pub(crate) struct Faults(Vec<ConfigError>);

impl Faults {
    /// Adds a fault, unless one at the same place and key is known.
    pub fn add(&mut self, err: ConfigError) {
        let is_known =
            |e: &ConfigError| (&e.file, e.line, &e.key) == (&err.file, err.line, &err.key);
        if self.0.len() < MAX_ERRORS && !self.0.iter().any(is_known) {
            self.0.push(err);
        }
    }

    /// Tells whether there are no faults.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns `Ok` if there are no faults.
    pub fn finish(self) -> Result<(), ConfigErrors> {
        if self.0.is_empty() {
            return Ok(());
        }
        Err(ConfigErrors(self.0))
    }
}

/// Quotes a found text and cuts it.
pub(crate) fn quoted(text: &str) -> String {
    if text.chars().count() <= MAX_FOUND_CHARS {
        return format!("{text:?}");
    }
    let start: String = text.chars().take(MAX_FOUND_CHARS).collect();
    format!("{start:?}… ({} bytes)", text.len())
}
