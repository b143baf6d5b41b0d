//! A request that an entry has forwarded to other entries.

use crate::call::{CallerAnswer, CallerOperation};

/// How another entry handled a forwarded request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RelayOutcome {
    /// It has replied.
    Answered(CallerAnswer),
    /// It has not received the request, or has refused to handle it.
    NotHandled,
    /// It has not replied and may have carried the request out.
    NoReply,
}

/// The outcomes of a forwarded request so far, and what they say to the caller.
///
/// Entries may know different versions of the configuration: one may reject a job that
/// another one, or the entry that forwards it, has stored under an earlier version.
#[derive(Debug)]
pub struct Relay {
    has_effect: bool,
    /// Whether the request may have been carried out, now or later.
    may_run: bool,
    /// Rejection of an entry that has not carried the request out.
    rejection: Option<CallerAnswer>,
}

impl Relay {
    /// Creates the state of a request that no entry has answered; `may_run` says whether
    /// a write for it has no outcome.
    #[must_use]
    pub const fn new(operation: &CallerOperation, may_run: bool) -> Self {
        Self {
            has_effect: operation.has_effect(),
            may_run,
            rejection: None,
        }
    }

    /// Records the outcome at one entry; returns the answer to the caller if no other
    /// outcome can change it.
    pub fn on_outcome(&mut self, outcome: RelayOutcome) -> Option<CallerAnswer> {
        match outcome {
            RelayOutcome::Answered(CallerAnswer::NotRun(..)) | RelayOutcome::NotHandled => None,
            RelayOutcome::Answered(CallerAnswer::Unknown(_)) | RelayOutcome::NoReply => {
                self.may_run = true;
                None
            }
            RelayOutcome::Answered(
                answer @ (CallerAnswer::NoQueue | CallerAnswer::BadKey | CallerAnswer::Bad(_)),
            ) if self.has_effect => {
                self.rejection.get_or_insert(answer);
                None
            }
            RelayOutcome::Answered(answer) => Some(answer),
        }
    }

    /// Returns the answer to the caller once all entries have an outcome.
    #[must_use]
    pub fn into_answer(self) -> CallerAnswer {
        match (self.may_run && self.has_effect, self.rejection) {
            (true, Some(rejection)) => CallerAnswer::unknown(&format!(
                "another entry has rejected the request ({rejection}), but a write for it has no outcome"
            )),
            (true, None) => CallerAnswer::unknown("no entry confirmed the outcome"),
            (false, Some(rejection)) => rejection,
            (false, None) => CallerAnswer::not_run("no entry reaches the store"),
        }
    }
}
