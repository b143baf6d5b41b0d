//! Errors in settings files.

use std::fmt::{self, Display, Formatter};

use thiserror::Error;

/// Maximum number of errors in one report; further errors are left out.
const MAX_ERRORS: usize = 50;
/// Maximum number of characters that an error quotes from a file.
const MAX_FOUND_CHARS: usize = 80;

/// An error in a settings file.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{}: {key}: found {found}, expected {expected}; hint: {hint}", self.location())]
pub struct ConfigError {
    /// Name of the file, or `built in` for an error in a built-in default.
    pub file: String,
    /// Line from 1, or 0 if the error doesn't refer to a line.
    pub line: u32,
    /// Section or key.
    pub key: String,
    /// What was found.
    pub found: String,
    /// What was expected.
    pub expected: String,
    /// How to correct the file.
    pub hint: String,
}

impl ConfigError {
    /// Returns the file and, if known, the line.
    fn location(&self) -> String {
        match self.line {
            0 => self.file.clone(),
            line => format!("{}:{line}", self.file),
        }
    }
}

/// One or more errors in settings files, in the order in which they were found.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub struct ConfigErrors(Vec<ConfigError>);

impl ConfigErrors {
    /// Returns the errors; at least one.
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

/// Collects up to [`MAX_ERRORS`] errors, so that one report shows them together.
#[derive(Debug, Default)]
pub(crate) struct ErrorCollector(Vec<ConfigError>);

impl ErrorCollector {
    /// Adds an error, unless one with the same location and key is already known.
    pub fn add(&mut self, err: ConfigError) {
        let is_known =
            |e: &ConfigError| (&e.file, e.line, &e.key) == (&err.file, err.line, &err.key);
        if self.0.len() < MAX_ERRORS && !self.0.iter().any(is_known) {
            self.0.push(err);
        }
    }

    /// Returns whether no error was added.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns `Ok` if no error was added.
    pub fn finish(self) -> Result<(), ConfigErrors> {
        if self.0.is_empty() {
            return Ok(());
        }
        Err(ConfigErrors(self.0))
    }
}

/// Quotes a string found in a file and truncates it.
pub(crate) fn quoted(text: &str) -> String {
    if text.chars().count() <= MAX_FOUND_CHARS {
        return format!("{text:?}");
    }
    let start: String = text.chars().take(MAX_FOUND_CHARS).collect();
    format!("{start:?}… ({} bytes)", text.len())
}
