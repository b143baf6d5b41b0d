//! Retry budget.

/// Maximum number of saved retries, so that an hour without retries doesn't pay for
/// a storm of them.
const MAX_SAVED_RETRIES: u64 = 20;
/// Cost of one retry; a first attempt earns one unit for each percent of the budget.
const UNITS_PER_RETRY: u64 = 100;

/// Allows retries as a share of first attempts.
#[derive(Debug)]
pub(super) struct RetryBudget {
    percent: u64,
    /// Unused budget in hundredths of a retry.
    saved: u64,
}

impl RetryBudget {
    /// Creates an empty budget of `percent` retries for each 100 first attempts.
    pub(super) fn new(percent: u32) -> Self {
        Self {
            percent: u64::from(percent),
            saved: 0,
        }
    }

    pub(super) fn set_percent(&mut self, percent: u32) {
        self.percent = u64::from(percent);
    }

    /// Adds what one first attempt earns.
    pub(super) fn earn(&mut self) {
        self.saved = (self.saved + self.percent).min(MAX_SAVED_RETRIES * UNITS_PER_RETRY);
    }

    /// Takes one retry from the budget and returns whether there was one.
    pub(super) fn take(&mut self) -> bool {
        let Some(rest) = self.saved.checked_sub(UNITS_PER_RETRY) else {
            return false;
        };
        self.saved = rest;
        true
    }
}
