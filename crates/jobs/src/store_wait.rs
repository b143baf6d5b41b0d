//! How long a request waits for a read of the store before it is forwarded.
//!
//! Load: a store that is silent for seconds while callers continue to send. Each request
//! that waits for a read in full, here and at the entries to which it is forwarded, gets
//! its refusal only after its caller has given up.

use std::time::Duration;

/// Maximum wait for a read before the request is forwarded to the other entries.
const MAX_READ_WAIT: Duration = Duration::from_millis(500);

/// Wait for a read where the store is taken to be silent.
///
/// It covers a round trip to another region, so that a store that replies again, or an
/// entry that only lost its feeds, refuses nobody.
const PROBE_WAIT: Duration = Duration::from_millis(150);

/// Age of the last confirmation by a feed from which the store is taken to be silent.
///
/// Feeds confirm every 0.5 s while the store replies, so three confirmations are missed.
const SILENT_AFTER: Duration = Duration::from_millis(1_500);

/// Part of a submitted job's objective that it may wait for a read.
const OBJECTIVE_DIVISOR: u32 = 4;

/// A request for which the store is read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreRead {
    /// Time since the last confirmation by any feed of the store.
    pub view_age: Duration,
    /// Objective of a submitted job; `None` for other operations.
    pub objective: Option<Duration>,
}

impl StoreRead {
    /// Returns how long the read may take.
    #[must_use]
    pub fn max_wait(&self) -> Duration {
        if self.view_age > SILENT_AFTER {
            return PROBE_WAIT;
        }
        self.objective.map_or(MAX_READ_WAIT, |objective| {
            (objective / OBJECTIVE_DIVISOR).clamp(PROBE_WAIT, MAX_READ_WAIT)
        })
    }
}
