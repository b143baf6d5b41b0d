//! The row of a duty, its times and the effects of its state machine.

use std::time::Duration;

use cumindeck_types::{EntryId, FencingToken, Incarnation, Uptime};

use crate::store::RowVersion;

/// Length of a duty lease, counted from before the write was sent.
pub const DUTY_LEASE: Duration = Duration::from_secs(3);
/// Time between two renewals.
pub const RENEW_PERIOD: Duration = Duration::from_secs(1);
/// Age of the last confirmed renewal from which outage leases are granted.
///
/// Agents announce each second, so each is reached before the duty lapses at 3 s.
pub const OUTAGE_AFTER: Duration = Duration::from_secs(2);
/// Longest duration of a lease that outlasts the duty, counted from the last renewal.
pub const OUTAGE_LEASE: Duration = Duration::from_secs(75 * 60);

/// A process that holds a duty.
///
/// The incarnation tells a restarted entry from its former incarnation, whose grants
/// of leases it doesn't know.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Holder {
    /// The entry.
    pub entry: EntryId,
    /// Incarnation of the entry's process.
    pub incarnation: Incarnation,
}

/// The row of a duty in the table `duties`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DutyRow {
    /// The holder, or none after a clean release.
    pub holder: Option<Holder>,
    /// Grows with each takeover.
    pub token: FencingToken,
    /// Number of renewals under this holder; makes each write distinct.
    pub renewals: u64,
    /// What was left at the write of agent leases that the holder doesn't renew:
    /// those of earlier holders and, after a release, its own.
    pub leases_left: Duration,
}

/// What the owner of a [`Duty`](super::Duty) does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DutyEffect {
    /// Read the row and call [`Duty::on_row`](super::Duty::on_row).
    Read,
    /// Write the row if it has the expected version, then call [`Duty::on_write`](super::Duty::on_write).
    Write {
        /// Number of the write, passed back to [`Duty::on_write`](super::Duty::on_write).
        number: u64,
        /// The version that the row must have.
        expected: RowVersion,
        /// The new row.
        row: DutyRow,
    },
    /// The duty is held under a new token.
    Acquired {
        /// The new token.
        token: FencingToken,
        /// When every agent lease granted by another holder has expired.
        former_expires: Uptime,
        /// Whether this process also held the preceding token.
        is_continued: bool,
    },
    /// Another process took the duty over, or the release took effect.
    Lost,
}

/// Which agent leases a process may grant now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GrantMode {
    /// None: the duty was never held, was released or was taken over.
    Closed,
    /// Leases of 8 s.
    Normal,
    /// Outage leases up to a fixed time, because the store doesn't answer.
    Outage {
        /// No lease may outlast this time.
        until: Uptime,
        /// Whether the duty has lapsed, so that only granted leases are renewed.
        is_lapsed: bool,
    },
}
