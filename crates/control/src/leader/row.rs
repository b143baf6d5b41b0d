//! The row of a leader lease, its times and the effects of its state machine.

use std::time::Duration;

use cumindeck_types::{EntryId, FencingToken, Incarnation, Uptime};

use crate::store::RowVersion;

/// Duration of a leader lease, counted from before the write was sent.
pub const LEADER_LEASE: Duration = Duration::from_secs(3);
/// Time between two renewals.
pub const RENEW_PERIOD: Duration = Duration::from_secs(1);
/// Age of the last confirmed renewal from which outage leases are granted.
///
/// Agents announce each second, so each is reached before leadership expires at 3 s.
pub const OUTAGE_AFTER: Duration = Duration::from_secs(2);
/// Maximum duration of an agent lease that outlasts leadership, from the last renewal.
pub const OUTAGE_LEASE: Duration = Duration::from_secs(75 * 60);

/// A process that is the leader.
///
/// The incarnation distinguishes a restarted entry from its earlier incarnation, whose
/// lease grants it does not know.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Leader {
    /// Id of the entry, the same after a restart.
    pub entry: EntryId,
    /// Incarnation of the entry's process.
    pub incarnation: Incarnation,
}

/// The row of a leader lease, in the table `duties`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaderRow {
    /// The leader; `None` after a clean release.
    pub leader: Option<Leader>,
    /// Raised by each takeover.
    pub token: FencingToken,
    /// Number of renewals by this leader; makes each write distinct.
    pub renewals: u64,
    /// Time that was left at the write of agent leases that the leader does not renew:
    /// those of earlier leaders and, after a release, its own.
    pub prior_leases_remaining: Duration,
}

/// An action that the owner of a [`LeaderLease`](super::LeaderLease) carries out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaderEffect {
    /// Read the row and call [`LeaderLease::on_row`](super::LeaderLease::on_row).
    Read,
    /// Write the row if it has the expected version, then call
    /// [`LeaderLease::on_write`](super::LeaderLease::on_write).
    Write {
        /// Number of the write, passed back to
        /// [`LeaderLease::on_write`](super::LeaderLease::on_write).
        number: u64,
        /// The version that the row must have.
        expected: RowVersion,
        /// The row to write if the stored row has the version `expected`.
        row: LeaderRow,
    },
    /// Leadership is held under a new token.
    Acquired {
        /// The new token, one above the preceding one.
        token: FencingToken,
        /// When every agent lease granted by another leader has expired.
        prior_leases_expire: Uptime,
        /// Whether this process also held the preceding token.
        is_continued: bool,
    },
    /// Another process took over leadership, or the release took effect.
    Lost,
}

/// Which agent leases a process may grant now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GrantMode {
    /// None: the process was never leader, released the lease or lost leadership.
    Closed,
    /// Leases of 8 s.
    Normal,
    /// Outage leases up to a fixed time, because the store does not reply.
    Outage {
        /// No lease may outlast this time.
        until: Uptime,
        /// Whether leadership has expired, so that only existing leases are renewed.
        is_lapsed: bool,
    },
}
