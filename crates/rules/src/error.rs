//! Errors at acceptance, on arrival of samples and in an evaluation.

use thiserror::Error;

use crate::time::EventTime;

/// Longest text in an error that tells what was found.
const MAX_FOUND_CHARS: usize = 300;

/// A rule file that isn't accepted.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{file}:{line}: {message}; {hint}")]
pub struct RuleError {
    /// Name of the rule file.
    pub file: String,
    /// Line number, from 1.
    pub line: usize,
    /// What was found and what was expected.
    pub message: String,
    /// What to do next.
    pub hint: String,
}

impl RuleError {
    /// Splits the message into what was found, shortened if it quotes much of
    /// the file, and what was expected.
    #[must_use]
    pub fn found_and_expected(&self) -> (String, &str) {
        let message = self.message.as_str();
        let (found, expected) = match message.rsplit_once("expected ") {
            Some((found, expected)) => (found.trim_end_matches([',', ';', ' ']), expected),
            None => (message, "a rule that can be evaluated exactly"),
        };
        match found.char_indices().nth(MAX_FOUND_CHARS) {
            Some((end, _)) => (format!("{}...", &found[..end]), expected),
            None => (found.to_owned(), expected),
        }
    }
}

/// A sample that isn't taken into the window.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum PushError {
    /// The watermark has already passed the sample.
    #[error("the sample at {at} is late; instants up to {frontier} are already evaluated or due")]
    Late {
        /// Time of the sample.
        at: EventTime,
        /// Newest time that the watermark has passed.
        frontier: EventTime,
    },
    /// The window is full.
    #[error("the sample window holds {limit} samples; expected fewer series or shorter ranges")]
    Full {
        /// Largest number of samples.
        limit: usize,
    },
}

/// An evaluation that fails and leaves the state of its rule unchanged.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum EvalError {
    /// Several series on the "one" side of a match have the same labels.
    #[error("many-to-many matching is not allowed: several series match {0} on the \"one\" side")]
    ManyToMany(String),
    /// Several series on the left match one on the right without grouping.
    #[error("several series match {0}; many-to-one matching needs group_left or group_right")]
    ManyToOne(String),
    /// The labels of a grouped match aren't unique.
    #[error("grouping labels don't make the match unique: {0} occurs twice")]
    GroupNotUnique(String),
    /// A vector contains one label set twice.
    #[error("the vector contains the label set {0} twice")]
    DuplicateLabels(String),
    /// The number of elements to select isn't an integer of 64 bits.
    #[error("the parameter {0} of topk or bottomk doesn't fit into an integer")]
    BadParameter(String),
    /// The group's limit is exceeded.
    #[error("the rule produced {found} results; the group's limit is {limit}")]
    Limit {
        /// Number of results.
        found: usize,
        /// Limit of the group.
        limit: usize,
    },
    /// Samples of the time that the rule looks at were lost.
    #[error("the rule looks back to {needed}, but samples are complete only after {complete}")]
    WindowIncomplete {
        /// Start of the time that the rule looks at.
        needed: EventTime,
        /// Time after which samples are complete.
        complete: EventTime,
    },
}
