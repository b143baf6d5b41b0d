//! The bound on the watermark of usage reports.

use cumindeck_rules::{EventTime, RuleDuration};
use cumindeck_types::Uptime;

/// Milliseconds that the watermark may move for each millisecond of uptime.
///
/// More than 1, so that it catches up after reports were held up.
const MAX_RATE: i64 = 2;

/// The watermark that the evaluation uses.
///
/// A watermark that jumps ahead makes all later samples late. So the reported
/// one counts only up to this machine's wall clock, and after the first report
/// it moves at most [`MAX_RATE`] times as fast as the uptime, which no change
/// of a clock moves. It never goes back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Watermark {
    at: EventTime,
    read: Uptime,
}

impl Watermark {
    /// Starts with the first report of a load.
    pub fn new(now: Uptime, wall: EventTime, reported: EventTime) -> Self {
        Self {
            at: reported.min(wall),
            read: now,
        }
    }

    /// Takes in a later report.
    pub fn on_report(&mut self, now: Uptime, wall: EventTime, reported: EventTime) {
        let elapsed = i64::try_from(now.since(self.read).as_millis()).unwrap_or(i64::MAX);
        let room = RuleDuration::from_millis(elapsed.saturating_mul(MAX_RATE));
        let limit = self.at.plus(room);
        self.at = self.at.max(reported.min(wall).min(limit));
        self.read = now;
    }

    /// Returns the watermark in use.
    pub const fn get(self) -> EventTime {
        self.at
    }
}
