//! Errors of rule parsing, sample ingestion and evaluation.

use thiserror::Error;

use crate::time::EventTime;

/// Maximum length of the quoted input in an error.
const MAX_FOUND_CHARS: usize = 300;

/// An error in a rule file.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{file}:{line}: {message}; {hint}")]
pub struct RuleError {
    /// Name of the rule file.
    pub file: String,
    /// Line number, starting at 1.
    pub line: usize,
    /// What was found and what was expected.
    pub message: String,
    /// How to correct the file.
    pub hint: String,
}

impl RuleError {
    /// Splits the message into what was found, truncated if it quotes much of
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

/// Why a sample was not added to the window.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum PushError {
    /// The watermark has already passed the sample.
    #[error("the sample at {at} is late; evaluations up to {frontier} have run or are due")]
    Late {
        /// Time of the rejected sample.
        at: EventTime,
        /// Watermark minus lag; evaluations up to this time may be done already.
        frontier: EventTime,
    },
    /// The window is full.
    #[error("the sample window holds {limit} samples; expected fewer series or shorter ranges")]
    Full {
        /// Maximum number of samples in the window.
        limit: usize,
    },
}

/// A failed evaluation of a rule. The state of the rule stays unchanged, except that
/// [`EvalError::Limit`] ends all alerts of the rule.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum EvalError {
    /// Several series on the "one" side of a match have the same labels.
    #[error("many-to-many matching is not allowed: several series match {0} on the \"one\" side")]
    ManyToMany(String),
    /// Several series on the left match one on the right, without a group modifier.
    #[error("several series match {0}; many-to-one matching needs group_left or group_right")]
    ManyToOne(String),
    /// Several results of a match with a group modifier have the same labels.
    #[error("grouping labels don't make the match unique: {0} occurs twice")]
    GroupNotUnique(String),
    /// A vector contains the same label set twice.
    #[error("the vector contains the label set {0} twice")]
    DuplicateLabels(String),
    /// The `k` of `topk` or `bottomk` isn't a 64-bit integer.
    #[error("the parameter {0} of topk or bottomk doesn't fit into an integer")]
    BadParameter(String),
    /// The group's limit is exceeded.
    #[error("the rule produced {found} results; the group's limit is {limit}")]
    Limit {
        /// Number of alerts or series that the rule produced.
        found: usize,
        /// Limit of the group; never 0, which means no limit.
        limit: usize,
    },
    /// Samples within the rule's lookback were lost.
    #[error("the rule looks back to {needed}, but samples are complete only after {complete}")]
    WindowIncomplete {
        /// Start of the rule's lookback.
        needed: EventTime,
        /// Time after which all samples are present.
        complete: EventTime,
    },
}
