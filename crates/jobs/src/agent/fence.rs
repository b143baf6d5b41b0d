//! Fencing tokens of the calls to the worker.

use cumindeck_types::{FencingToken, Incarnation};

/// Low bits of a call's token, which count the calls without an answer; the leader's token
/// is above them. Together they stay below 2^53, the exact range of a JSON number.
const EPOCH_BITS: u32 = 36;

const MAX_EPOCH: u64 = (1 << EPOCH_BITS) - 1;

/// Duration of an epoch in milliseconds.
///
/// The first epoch of a process is the number of these since the Unix epoch, so that it is
/// above all epochs of an earlier process.
const EPOCH_MS: u64 = 128;

/// First raise of the epoch after a worker has seen a newer token.
const FIRST_RAISE: u64 = 64;

/// Largest raise, some six days, so that repeated rejections don't use all epochs up.
const MAX_RAISE: u64 = 1 << 22;

/// Number of calls without an answer of an earlier process that a later one is above.
const PROCESS_MARGIN: u64 = 4_096;

/// Tokens by which a worker rejects calls that were sent before a newer one.
///
/// A call without an answer may be carried out seconds later, also by a worker that has
/// started again under its id. The next call has a higher token, so that the late one is
/// void at each incarnation that has carried out a newer call.
#[derive(Debug)]
pub(super) struct Fence {
    epoch: u64,
    /// Whether a call has been sent in this epoch.
    is_used: bool,
    raise: u64,
}

impl Fence {
    /// Creates the fence of a process of the agent.
    pub fn new(process: Incarnation) -> Self {
        Self {
            epoch: first_epoch(process),
            is_used: false,
            raise: FIRST_RAISE,
        }
    }

    /// Handles a later number of the process: an earlier process had the one before.
    pub fn on_process(&mut self, process: Incarnation) {
        self.epoch = MAX_EPOCH.min(self.epoch.max(first_epoch(process) + PROCESS_MARGIN));
    }

    /// Returns the token of a call that is sent under the leader's token.
    pub fn token(&mut self, leader: FencingToken) -> FencingToken {
        self.is_used = true;
        FencingToken::new((leader.get() << EPOCH_BITS) | self.epoch)
    }

    /// Makes the calls that were sent so far void where a later one is carried out.
    pub fn on_unanswered(&mut self) {
        if std::mem::take(&mut self.is_used) {
            self.epoch = MAX_EPOCH.min(self.epoch + 1);
        }
    }

    /// Handles an answer: the worker has accepted the token.
    pub const fn on_answer(&mut self) {
        self.raise = FIRST_RAISE;
    }

    /// Handles a rejection of the token: the clock of an earlier process was ahead.
    pub fn on_rejected(&mut self) {
        self.epoch = MAX_EPOCH.min(self.epoch.saturating_add(self.raise));
        self.raise = MAX_RAISE.min(self.raise * 2);
    }
}

fn first_epoch(process: Incarnation) -> u64 {
    MAX_EPOCH.min(process.get() / EPOCH_MS)
}
