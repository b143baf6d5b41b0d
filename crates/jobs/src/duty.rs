//! Which entry holds the scheduling duty.
//!
//! The duty is a row of the store. The holder rewrites it with each of its
//! transactions, which are conditional on the row's version, so that a former
//! holder changes nothing. An entry that sees the row unchanged for some time,
//! while the store answers it, takes the duty over.

use std::net::SocketAddr;
use std::time::Duration;

use cumindeck_types::{EntryId, FencingToken, Uptime};

use crate::TimeLimits;
use crate::rows::{Change, Condition, DutyRow, RowKey, Transaction, encode, own_condition};

/// Multiple of the store's answer time by which a takeover waits.
///
/// Of entries that see the same silence, the one closest to the store is first.
const DISTANCE_WEIGHT: u32 = 8;

/// Lateness of the feed's answer, beyond two answer times of the store, after
/// which this entry counts as cut off from the store.
const FEED_LATENESS: Duration = Duration::from_millis(100);

/// What an entry does about the duty.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DutyAction {
    /// Nothing before this time.
    Wait(Uptime),
    /// Take the duty over by this transaction.
    TakeOver(Transaction),
}

/// An entry's view of the duty.
#[derive(Debug, Clone)]
pub struct DutyWatch {
    entry: EntryId,
    address: SocketAddr,
    row: Option<DutyRow>,
    version: u64,
    changed: Uptime,
    /// Whether the table has been read completely.
    is_known: bool,
    is_leaving: bool,
    /// Token under which the holder offered the duty.
    offered: Option<FencingToken>,
    /// Token under which this process held the duty last.
    held: Option<FencingToken>,
}

impl DutyWatch {
    /// Makes the view of an entry that has not read the row yet.
    #[must_use]
    pub const fn new(entry: EntryId, address: SocketAddr) -> Self {
        Self {
            entry,
            address,
            row: None,
            version: 0,
            changed: Uptime::ZERO,
            is_known: false,
            is_leaving: false,
            offered: None,
            held: None,
        }
    }

    /// Notes that the table has been read completely.
    pub const fn on_table_read(&mut self) {
        self.is_known = true;
    }

    /// Takes a version of the row; an older one changes nothing.
    pub fn on_row(&mut self, now: Uptime, version: u64, row: DutyRow) {
        if version <= self.version {
            return;
        }
        self.version = version;
        self.row = Some(row);
        self.changed = now;
    }

    /// Notes that this entry is stopping and takes no duty.
    pub const fn leave(&mut self) {
        self.is_leaving = true;
    }

    /// Takes the offer of a holder that has lost the store; true if it stands.
    pub fn on_offer(&mut self, token: FencingToken) -> bool {
        let is_newest = self.row.as_ref().is_some_and(|row| row.token == token);
        let stands = is_newest && self.is_known && !self.is_leaving;
        if stands {
            self.offered = Some(token);
        }
        stands
    }

    /// Notes that this process holds the duty under a token.
    pub const fn on_held(&mut self, token: FencingToken) {
        self.held = Some(token);
    }

    /// Notes that a takeover failed; an offer counts for one.
    pub const fn on_takeover_failed(&mut self) {
        self.offered = None;
    }

    /// Returns the row's version.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Returns the row.
    #[must_use]
    pub const fn row(&self) -> Option<&DutyRow> {
        self.row.as_ref()
    }

    /// Returns the address of the holder.
    #[must_use]
    pub fn holder_address(&self) -> Option<SocketAddr> {
        self.row.as_ref().and_then(|row| row.address)
    }

    /// Tells what to do; `confirmed` is when the store last answered the feed
    /// of the row, and `distance` how long an answer of the store takes.
    #[must_use]
    pub fn action(
        &self,
        now: Uptime,
        confirmed: Uptime,
        distance: Duration,
        limits: &TimeLimits,
    ) -> DutyAction {
        if self.is_leaving || !self.is_known {
            return DutyAction::Wait(now.plus(limits.duty_silence()));
        }
        // A holder of this entry's name whose token this process never held is
        // its former process.
        let is_former = |row: &DutyRow| {
            row.holder.as_ref() == Some(&self.entry) && self.held != Some(row.token)
        };
        if self.row.as_ref().is_some_and(is_former) {
            return DutyAction::TakeOver(self.take_over());
        }
        let is_vacant = self
            .row
            .as_ref()
            .is_none_or(|row| row.holder.is_none() || self.offered == Some(row.token));
        let silence = match is_vacant {
            true => Duration::ZERO,
            false => limits.duty_silence(),
        };
        let due = self.changed.plus(silence + distance * DISTANCE_WEIGHT);
        if now < due {
            return DutyAction::Wait(due);
        }
        // Silence counts only while the store answers. An answer that is not late
        // yet would have brought a renewal; if it is on its way, the takeover fails.
        let feed_due = confirmed.plus(limits.feed_wait() + distance * 2 + FEED_LATENESS);
        if now > feed_due && !is_vacant {
            return DutyAction::Wait(now.plus(limits.duty_renewal()));
        }
        DutyAction::TakeOver(self.take_over())
    }

    /// Returns the row that this entry writes when it takes the duty over.
    #[must_use]
    pub fn next_row(&self) -> DutyRow {
        let token = self.row.as_ref().map_or(0, |row| row.token.get());
        let commit = self.row.as_ref().map_or(0, |row| row.commit);
        DutyRow {
            holder: Some(self.entry.clone()),
            address: Some(self.address),
            token: FencingToken::new(token + 1),
            commit: commit + 1,
        }
    }

    fn take_over(&self) -> Transaction {
        Transaction {
            conditions: vec![self.condition()],
            changes: vec![duty_change(&self.next_row())],
        }
    }

    fn condition(&self) -> Condition {
        own_condition(&RowKey::Duty, self.version)
    }
}

/// Returns the change that writes the duty's row.
pub(crate) fn duty_change(row: &DutyRow) -> Change {
    Change {
        key: RowKey::Duty,
        value: Some(encode(row)),
    }
}
