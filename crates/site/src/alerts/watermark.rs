//! The bound on the watermark of usage reports.

use cumindeck_rules::{EventTime, RuleDuration};
use cumindeck_types::Uptime;

/// Milliseconds that the watermark may move for each millisecond of uptime.
///
/// More than 1, so that it catches up after reports were held up.
const MAX_RATE: i64 = 2;
/// Largest distance of the reported watermark from this machine's wall clock
/// at which both count as right.
const MAX_APART: RuleDuration = RuleDuration::from_secs(5 * 60);

/// The watermark that the evaluation uses.
///
/// A watermark that jumps ahead makes all later samples late. So the reported
/// one counts only up to this machine's wall clock. Once the two have agreed,
/// it moves at most [`MAX_RATE`] times as fast as the uptime, which no change
/// of a clock moves; before that one of them is wrong, and the earlier one
/// must be free to be put right. It never goes back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Watermark {
    at: EventTime,
    read: Uptime,
    is_agreed: bool,
}

impl Watermark {
    /// Starts with the first report of a load.
    pub fn new(now: Uptime, wall: EventTime, reported: EventTime) -> Self {
        Self {
            at: reported.min(wall),
            read: now,
            is_agreed: is_near(wall, reported),
        }
    }

    /// Takes in a later report.
    pub fn on_report(&mut self, now: Uptime, wall: EventTime, reported: EventTime) {
        let elapsed = i64::try_from(now.since(self.read).as_millis()).unwrap_or(i64::MAX);
        let room = RuleDuration::from_millis(elapsed.saturating_mul(MAX_RATE));
        let mut next = reported.min(wall);
        if self.is_agreed {
            next = next.min(self.at.plus(room));
        }
        self.at = self.at.max(next);
        self.read = now;
        self.is_agreed |= is_near(wall, reported);
    }

    /// Returns the watermark in use.
    pub const fn get(self) -> EventTime {
        self.at
    }
}

fn is_near(wall: EventTime, reported: EventTime) -> bool {
    wall.max(reported).since(wall.min(reported)) <= MAX_APART
}
