//! Leader election of the scheduler, as one entry sees it.
//!
//! The leader lease is a row of the store. The leader rewrites it with each of its
//! transactions, which are conditional on the row's version, so that a former
//! leader can't change anything. An entry that sees the row unchanged for some
//! time, while the store replies to it, takes over leadership.

use std::net::SocketAddr;
use std::time::Duration;

use cumindeck_types::{EntryId, FencingToken, Uptime};

use crate::TimeLimits;
use crate::rows::{
    Change, Condition, Forecast, LeaderRow, RowKey, Transaction, encode, system_row_condition,
};

/// Multiple of the store latency by which a takeover is delayed.
///
/// Of entries that find the leader unresponsive, the one closest to the store is first.
const STORE_LATENCY_WEIGHT: u32 = 8;

/// Delay of the feed's reply, beyond twice the store latency, after which this
/// entry counts as cut off from the store.
const FEED_MARGIN: Duration = Duration::from_millis(100);

/// What an entry does next about the leadership.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaderAction {
    /// Check again at this time.
    Wait(Uptime),
    /// Take over leadership by this transaction.
    TakeOver(Transaction),
}

/// An entry's view of the leader row.
#[derive(Debug, Clone)]
pub struct LeaderWatch {
    entry: EntryId,
    address: SocketAddr,
    row: Option<LeaderRow>,
    version: u64,
    /// Time at which this version of the row was received.
    changed_at: Uptime,
    /// Whether the table has been read completely.
    is_loaded: bool,
    is_stopping: bool,
    /// Token under which the leader offered the leadership.
    offered_token: Option<FencingToken>,
    /// Token under which this process was the leader last.
    held_token: Option<FencingToken>,
}

impl LeaderWatch {
    /// Creates the view of an entry that has not read the row yet.
    #[must_use]
    pub const fn new(entry: EntryId, address: SocketAddr) -> Self {
        Self {
            entry,
            address,
            row: None,
            version: 0,
            changed_at: Uptime::ZERO,
            is_loaded: false,
            is_stopping: false,
            offered_token: None,
            held_token: None,
        }
    }

    /// Records that the table has been read completely.
    pub const fn on_table_read(&mut self) {
        self.is_loaded = true;
    }

    /// Applies a version of the row; an older one changes nothing.
    pub fn on_row(&mut self, now: Uptime, version: u64, row: LeaderRow) {
        if version <= self.version {
            return;
        }
        self.version = version;
        self.row = Some(row);
        self.changed_at = now;
    }

    /// Records that this entry is stopping and no longer takes over.
    pub const fn on_shutdown(&mut self) {
        self.is_stopping = true;
    }

    /// Handles the offer of a leader that lost the store; returns whether it is valid.
    pub fn on_offer(&mut self, token: FencingToken) -> bool {
        let is_newest = self.row.as_ref().is_some_and(|row| row.token == token);
        let is_valid = is_newest && self.is_loaded && !self.is_stopping;
        if is_valid {
            self.offered_token = Some(token);
        }
        is_valid
    }

    /// Records that this process is the leader under a token.
    pub const fn on_leadership_held(&mut self, token: FencingToken) {
        self.held_token = Some(token);
    }

    /// Records that a takeover failed; an offer is valid for one attempt.
    pub const fn on_takeover_failed(&mut self) {
        self.offered_token = None;
    }

    /// Returns the row's version; 0 before it is known.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Returns the newest known row.
    #[must_use]
    pub const fn row(&self) -> Option<&LeaderRow> {
        self.row.as_ref()
    }

    /// Returns the address of the leader, if there is one.
    #[must_use]
    pub fn leader_address(&self) -> Option<SocketAddr> {
        self.row.as_ref().and_then(|row| row.address)
    }

    /// Returns what to do; `confirmed` is when the store last replied to the feed of
    /// the row.
    #[must_use]
    pub fn action(
        &self,
        now: Uptime,
        confirmed: Uptime,
        store_latency: Duration,
        limits: &TimeLimits,
    ) -> LeaderAction {
        if self.is_stopping || !self.is_loaded {
            return LeaderAction::Wait(now.plus(limits.leader_timeout()));
        }
        // If the row has this entry as leader under a token that this process never
        // held, an earlier process of the entry wrote it.
        let is_earlier_process = |row: &LeaderRow| {
            row.leader.as_ref() == Some(&self.entry) && self.held_token != Some(row.token)
        };
        if self.row.as_ref().is_some_and(is_earlier_process) {
            return LeaderAction::TakeOver(self.take_over());
        }
        let is_vacant = self
            .row
            .as_ref()
            .is_none_or(|row| row.leader.is_none() || self.offered_token == Some(row.token));
        let timeout = match is_vacant {
            true => Duration::ZERO,
            false => limits.leader_timeout(),
        };
        let due = self
            .changed_at
            .plus(timeout + store_latency * STORE_LATENCY_WEIGHT);
        if now < due {
            return LeaderAction::Wait(due);
        }
        // An unchanged row counts only while the store replies. A feed reply that is not
        // late yet may bring a renewal; if one is in flight, the takeover fails.
        let feed_due = confirmed.plus(limits.feed_wait() + store_latency * 2 + FEED_MARGIN);
        if now > feed_due && !is_vacant {
            return LeaderAction::Wait(now.plus(limits.leader_renewal()));
        }
        LeaderAction::TakeOver(self.take_over())
    }

    /// Returns the row that this entry writes to take over leadership.
    #[must_use]
    pub fn next_row(&self) -> LeaderRow {
        let token = self.row.as_ref().map_or(0, |row| row.token.get());
        let commit = self.row.as_ref().map_or(0, |row| row.commit);
        let token = FencingToken::new(token + 1);
        let workers_since = self.row.as_ref().and_then(|row| row.workers_since);
        LeaderRow {
            leader: Some(self.entry.clone()),
            address: Some(self.address),
            token,
            commit: commit + 1,
            workers_since: workers_since.or(Some(token)),
            doubted: self
                .row
                .as_ref()
                .map_or(Vec::new(), |row| row.doubted.clone()),
            forecast: Forecast::default(),
        }
    }

    fn take_over(&self) -> Transaction {
        Transaction {
            conditions: vec![self.condition()],
            changes: vec![leader_change(&self.next_row())],
        }
    }

    fn condition(&self) -> Condition {
        system_row_condition(&RowKey::Leader, self.version)
    }
}

/// Returns the change that writes the leader row.
pub(crate) fn leader_change(row: &LeaderRow) -> Change {
    Change {
        key: RowKey::Leader,
        value: Some(encode(row)),
    }
}
