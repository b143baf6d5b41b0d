//! The leader lease of a region: one leader, a fencing token, renewal and takeover.

mod row;

use std::time::Duration;

use cumindeck_types::{FencingToken, Uptime};

use crate::store::{RowVersion, Versioned, WriteOutcome};

pub use row::{
    GrantMode, LEADER_LEASE, Leader, LeaderEffect, LeaderRow, OUTAGE_AFTER, OUTAGE_LEASE,
    RENEW_PERIOD,
};

#[derive(Debug, Clone)]
struct Held {
    token: FencingToken,
    renewals: u64,
    version: RowVersion,
    /// When the last confirmed write was sent.
    lease_start: Uptime,
    has_outage_grants: bool,
}

#[derive(Debug, Clone)]
struct Pending {
    expected: RowVersion,
    row: LeaderRow,
    /// When the row was first sent; a repetition cannot be distinguished from it.
    sent_at: Uptime,
    prior_leases_expire: Uptime,
    /// Whether the outcome of the last write of the row is pending.
    is_in_flight: bool,
}

#[derive(Debug, Clone)]
struct LastRead {
    version: RowVersion,
    row: Option<LeaderRow>,
    /// When the reply with this version arrived.
    at: Uptime,
}

/// The state of the leader lease of a region as one process knows it.
#[derive(Debug, Clone)]
pub struct LeaderLease {
    this_process: Leader,
    takeover_delay: Duration,
    last_read: Option<LastRead>,
    held: Option<Held>,
    pending: Option<Pending>,
    write_count: u64,
    prior_leases_expire: Uptime,
    is_released: bool,
    /// Latest expiry of a granted agent lease, for a release that waits for a pending write.
    release_grants: Option<Uptime>,
}

impl LeaderLease {
    /// Creates the state machine of a process that waits `takeover_delay` longer than
    /// needed, so that entries of the region itself take over first.
    #[must_use]
    pub const fn new(this_process: Leader, takeover_delay: Duration) -> Self {
        Self {
            this_process,
            takeover_delay,
            last_read: None,
            held: None,
            pending: None,
            write_count: 0,
            prior_leases_expire: Uptime::ZERO,
            is_released: false,
            release_grants: None,
        }
    }

    /// Returns whether the leader may start and reassign work at `now`.
    ///
    /// Called before each effect, since a pause of the process may outlast the lease.
    #[must_use]
    pub fn may_act(&self, now: Uptime) -> bool {
        !self.is_released
            && self
                .held
                .as_ref()
                .is_some_and(|held| now < held.lease_start.plus(LEADER_LEASE))
    }

    /// Returns the token under which this process is or was last the leader.
    #[must_use]
    pub fn token(&self) -> Option<FencingToken> {
        self.held.as_ref().map(|held| held.token)
    }

    /// Returns the newest token that was read or written.
    #[must_use]
    pub fn seen_token(&self) -> FencingToken {
        let row = self.last_read.as_ref().and_then(|read| read.row.as_ref());
        let token = row.map(|row| row.token).unwrap_or_default();
        token.max(self.token().unwrap_or_default())
    }

    /// Returns the remaining time of the lease if this process is the leader.
    #[must_use]
    pub fn remaining(&self, now: Uptime) -> Duration {
        let held = self.held.as_ref().filter(|_| !self.is_released);
        held.map_or(Duration::ZERO, |held| {
            held.lease_start.plus(LEADER_LEASE).since(now)
        })
    }

    /// Returns the leader as last read.
    #[must_use]
    pub fn leader(&self) -> Option<&Leader> {
        self.last_read.as_ref()?.row.as_ref()?.leader.as_ref()
    }

    /// Returns which leases may be granted now; records that outage leases may exist.
    pub fn grant_mode(&mut self, now: Uptime) -> GrantMode {
        let Some(held) = self.held.as_mut().filter(|_| !self.is_released) else {
            return GrantMode::Closed;
        };
        if now < held.lease_start.plus(OUTAGE_AFTER) {
            return GrantMode::Normal;
        }
        held.has_outage_grants = true;
        GrantMode::Outage {
            // A new leader counts 75 min from the last renewal that it read, so renewals
            // of outage leases must not move this limit.
            until: held.lease_start.plus(OUTAGE_LEASE),
            is_lapsed: now >= held.lease_start.plus(LEADER_LEASE),
        }
    }

    /// Returns when [`LeaderLease::tick`] is due next.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Uptime> {
        if self.pending.is_some() || self.is_released {
            return None;
        }
        match &self.held {
            Some(held) => Some(held.lease_start.plus(RENEW_PERIOD)),
            None => self
                .last_read
                .as_ref()
                .map(|last_read| self.takeover_at(last_read)),
        }
    }

    /// Renews a held lease or takes over a free one, when it is due.
    pub fn tick(&mut self, now: Uptime) -> Vec<LeaderEffect> {
        if self.next_wakeup().is_none_or(|at| now < at) {
            return Vec::new();
        }
        match self.held.clone() {
            Some(held) => self.renew(now, &held),
            None => self.acquire(now),
        }
    }

    /// Handles a row that was read.
    pub fn on_row(&mut self, now: Uptime, read: &Versioned<LeaderRow>) -> Vec<LeaderEffect> {
        if self
            .last_read
            .as_ref()
            .is_none_or(|last_read| last_read.version < read.version)
        {
            self.last_read = Some(LastRead {
                version: read.version,
                row: read.value.clone(),
                at: now,
            });
        }
        let Some(pending) = self.pending.clone() else {
            return self.check_loss(read);
        };
        if read.version > pending.expected {
            if read.value.as_ref() == Some(&pending.row) {
                return self.confirm(&pending, read.version);
            }
            self.pending = None;
            return self.check_loss(read);
        }
        if read.version == pending.expected && !pending.is_in_flight {
            // Compare-and-set makes the repetition safe even if the first write
            // is only delayed.
            return self.send(Pending {
                is_in_flight: true,
                ..pending
            });
        }
        Vec::new()
    }

    /// Handles the outcome of a write.
    pub fn on_write(&mut self, number: u64, outcome: WriteOutcome) -> Vec<LeaderEffect> {
        let Some(pending) = self.pending.clone() else {
            return Vec::new();
        };
        // The outcome of an earlier write, which was resolved by a read, does not
        // apply to the pending one.
        if number != self.write_count {
            return Vec::new();
        }
        match outcome {
            WriteOutcome::Done(version) => self.confirm(&pending, version),
            // After a lost reply, a conflict may stem from the write's own first copy,
            // so both cases are resolved by reading the row.
            WriteOutcome::Conflict | WriteOutcome::Unknown => {
                self.pending = Some(Pending {
                    is_in_flight: false,
                    ..pending
                });
                vec![LeaderEffect::Read]
            }
        }
    }

    /// Releases the lease; `grants_expire` is the latest expiry of an agent lease that this
    /// process granted.
    ///
    /// From here on nothing is granted, whether or not the write takes effect.
    pub fn release(&mut self, now: Uptime, grants_expire: Uptime) -> Vec<LeaderEffect> {
        self.is_released = true;
        if self.pending.is_some() {
            // A release sent beside a renewal in flight would conflict with it, and the
            // new leader would have to wait as after an unclean end.
            self.release_grants = Some(grants_expire);
            return Vec::new();
        }
        self.send_release(now, grants_expire)
    }

    fn send_release(&mut self, now: Uptime, grants_expire: Uptime) -> Vec<LeaderEffect> {
        let Some(held) = self.held.clone() else {
            return Vec::new();
        };
        let latest_expiry = grants_expire.max(self.prior_leases_expire);
        let row = LeaderRow {
            leader: None,
            token: held.token,
            renewals: held.renewals + 1,
            prior_leases_remaining: latest_expiry.since(now),
        };
        self.send(Pending {
            expected: held.version,
            row,
            sent_at: now,
            prior_leases_expire: self.prior_leases_expire,
            is_in_flight: true,
        })
    }

    /// Returns when leadership may be taken over, as far as is known.
    fn takeover_at(&self, last_read: &LastRead) -> Uptime {
        let is_held = last_read
            .row
            .as_ref()
            .is_some_and(|row| row.leader.is_some());
        let wait = if is_held {
            LEADER_LEASE
        } else {
            Duration::ZERO
        };
        last_read.at.plus(wait).plus(self.takeover_delay)
    }

    fn renew(&mut self, now: Uptime, held: &Held) -> Vec<LeaderEffect> {
        // A new token makes agents confirm that a short lease has
        // replaced their outage lease.
        let token = if held.has_outage_grants {
            held.token.next()
        } else {
            held.token
        };
        self.send(Pending {
            expected: held.version,
            row: LeaderRow {
                leader: Some(self.this_process.clone()),
                token,
                renewals: held.renewals + 1,
                prior_leases_remaining: self.prior_leases_expire.since(now),
            },
            sent_at: now,
            prior_leases_expire: self.prior_leases_expire,
            is_in_flight: true,
        })
    }

    fn acquire(&mut self, now: Uptime) -> Vec<LeaderEffect> {
        let Some(last_read) = self.last_read.clone() else {
            return Vec::new();
        };
        let prior_leases_expire = match &last_read.row {
            None => now,
            Some(row) if row.leader.is_none() => last_read.at.plus(row.prior_leases_remaining),
            Some(row) => last_read
                .at
                .plus(row.prior_leases_remaining.max(OUTAGE_LEASE)),
        };
        let token = last_read
            .row
            .map_or_else(FencingToken::default, |row| row.token);
        self.send(Pending {
            expected: last_read.version,
            row: LeaderRow {
                leader: Some(self.this_process.clone()),
                token: token.next(),
                renewals: 0,
                prior_leases_remaining: prior_leases_expire.since(now),
            },
            sent_at: now,
            prior_leases_expire,
            is_in_flight: true,
        })
    }

    fn send(&mut self, pending: Pending) -> Vec<LeaderEffect> {
        self.write_count += 1;
        let effect = LeaderEffect::Write {
            number: self.write_count,
            expected: pending.expected,
            row: pending.row.clone(),
        };
        self.pending = Some(pending);
        vec![effect]
    }

    fn confirm(&mut self, pending: &Pending, version: RowVersion) -> Vec<LeaderEffect> {
        self.pending = None;
        if pending.row.leader.is_none() {
            self.held = None;
            return vec![LeaderEffect::Lost];
        }
        let previous_token = self.held.as_ref().map(|held| held.token);
        let token = pending.row.token;
        self.held = Some(Held {
            token,
            renewals: pending.row.renewals,
            version,
            lease_start: pending.sent_at,
            has_outage_grants: previous_token == Some(token)
                && self
                    .held
                    .as_ref()
                    .is_some_and(|held| held.has_outage_grants),
        });
        self.prior_leases_expire = pending.prior_leases_expire;
        if let Some(grants_expire) = self.release_grants.take() {
            // The remaining time is counted from an earlier time here, so that a new
            // leader waits longer than needed, never too short.
            return self.send_release(pending.sent_at, grants_expire);
        }
        if previous_token == Some(token) {
            return Vec::new();
        }
        vec![LeaderEffect::Acquired {
            token,
            prior_leases_expire: pending.prior_leases_expire,
            is_continued: previous_token.is_some(),
        }]
    }

    /// Gives up leadership if the row shows a later write of another process.
    fn check_loss(&mut self, read: &Versioned<LeaderRow>) -> Vec<LeaderEffect> {
        if self
            .held
            .as_ref()
            .is_none_or(|held| read.version <= held.version)
        {
            return Vec::new();
        }
        self.held = None;
        vec![LeaderEffect::Lost]
    }
}
