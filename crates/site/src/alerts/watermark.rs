//! Bounds the watermark of usage reports by the clocks of this machine.

use cumindeck_rules::{EventTime, RuleDuration};
use cumindeck_types::Uptime;

/// Milliseconds by which the watermark may advance per millisecond of uptime.
///
/// More than 1, so that it catches up after reports were delayed.
const MAX_RATE: i64 = 2;
/// Maximum difference between the reported watermark and the wall clock of this
/// machine at which both count as correct.
const MAX_CLOCK_DIFFERENCE: RuleDuration = RuleDuration::from_secs(5 * 60);

/// The watermark that the evaluation uses.
///
/// A watermark that jumps ahead makes all later samples late, so the reported one
/// is capped by the wall clock of this machine. Once the two have agreed, it
/// advances at most [`MAX_RATE`] times as fast as the uptime, which no clock
/// change affects; before that one of them is wrong, and the earlier one must be
/// free to be corrected. It never decreases.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Watermark {
    at: EventTime,
    reported_at: Uptime,
    has_agreed: bool,
}

impl Watermark {
    /// Starts with the first report of a load.
    pub fn new(now: Uptime, wall: EventTime, reported: EventTime) -> Self {
        Self {
            at: reported.min(wall),
            reported_at: now,
            has_agreed: is_close(wall, reported),
        }
    }

    /// Updates the watermark with a later report.
    pub fn on_report(&mut self, now: Uptime, wall: EventTime, reported: EventTime) {
        let elapsed = i64::try_from(now.since(self.reported_at).as_millis()).unwrap_or(i64::MAX);
        let max_advance = RuleDuration::from_millis(elapsed.saturating_mul(MAX_RATE));
        let mut next = reported.min(wall);
        if self.has_agreed {
            next = next.min(self.at.plus(max_advance));
        }
        self.at = self.at.max(next);
        self.reported_at = now;
        self.has_agreed |= is_close(wall, reported);
    }

    /// Returns the watermark in use.
    pub const fn get(self) -> EventTime {
        self.at
    }
}

fn is_close(wall: EventTime, reported: EventTime) -> bool {
    wall.max(reported).since(wall.min(reported)) <= MAX_CLOCK_DIFFERENCE
}
