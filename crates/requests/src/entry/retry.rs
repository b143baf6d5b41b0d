//! The budget of retries.

/// Most retries that can be saved up, so that a quiet hour doesn't pay for a
/// storm of retries.
const MAX_SAVED: u64 = 20;
/// Parts of a retry that a first attempt earns with a budget of one percent.
const PARTS: u64 = 100;

/// Allows retries as a share of first attempts.
#[derive(Debug)]
pub(super) struct RetryBudget {
    percent: u64,
    /// Hundredths of a retry.
    saved: u64,
}

impl RetryBudget {
    /// Makes an empty budget.
    pub(super) fn new(percent: u32) -> Self {
        Self {
            percent: u64::from(percent),
            saved: 0,
        }
    }

    /// Changes the share.
    pub(super) fn set_percent(&mut self, percent: u32) {
        self.percent = u64::from(percent);
    }

    /// Counts a first attempt.
    pub(super) fn earn(&mut self) {
        self.saved = (self.saved + self.percent).min(MAX_SAVED * PARTS);
    }

    /// Takes one retry, if there is one.
    pub(super) fn take(&mut self) -> bool {
        let Some(rest) = self.saved.checked_sub(PARTS) else {
            return false;
        };
        self.saved = rest;
        true
    }
}
