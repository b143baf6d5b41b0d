//! The duty lease of a region: one holder, a fencing token, renewal and takeover.

mod row;

use std::time::Duration;

use cumindeck_types::{FencingToken, Uptime};

use crate::store::{RowVersion, Versioned, WriteOutcome};

pub use row::{
    DUTY_LEASE, DutyEffect, DutyRow, GrantMode, Holder, OUTAGE_AFTER, OUTAGE_LEASE, RENEW_PERIOD,
};

#[derive(Debug, Clone)]
struct Held {
    token: FencingToken,
    renewals: u64,
    version: RowVersion,
    /// When the last confirmed write was sent.
    lease_from: Uptime,
    has_outage_grants: bool,
}

#[derive(Debug, Clone)]
struct Pending {
    expected: RowVersion,
    row: DutyRow,
    /// When the row was sent first; a repetition can't be told from it.
    sent: Uptime,
    former_expires: Uptime,
    /// Whether the last copy sent is still without an outcome.
    is_in_flight: bool,
}

#[derive(Debug, Clone)]
struct Seen {
    version: RowVersion,
    row: Option<DutyRow>,
    /// When the read that showed this version was answered.
    at: Uptime,
}

/// One process's part in the duty lease of a region.
#[derive(Debug, Clone)]
pub struct Duty {
    me: Holder,
    takeover_delay: Duration,
    seen: Option<Seen>,
    held: Option<Held>,
    pending: Option<Pending>,
    writes: u64,
    former_expires: Uptime,
    is_released: bool,
    /// End of the longest own lease, for a release that waits for a pending write.
    release_grants: Option<Uptime>,
}

impl Duty {
    /// Makes the machine of a process that waits `takeover_delay` longer than
    /// needed, so that entries of the duty's own region come first.
    #[must_use]
    pub const fn new(me: Holder, takeover_delay: Duration) -> Self {
        Self {
            me,
            takeover_delay,
            seen: None,
            held: None,
            pending: None,
            writes: 0,
            former_expires: Uptime::ZERO,
            is_released: false,
            release_grants: None,
        }
    }

    /// Tells whether the holder may start and reassign work at `now`.
    ///
    /// Called before each effect, since a freeze may outlast the lease.
    #[must_use]
    pub fn may_act(&self, now: Uptime) -> bool {
        !self.is_released
            && self
                .held
                .as_ref()
                .is_some_and(|held| now < held.lease_from.plus(DUTY_LEASE))
    }

    /// Returns the token under which the duty is or was held last.
    #[must_use]
    pub fn token(&self) -> Option<FencingToken> {
        self.held.as_ref().map(|held| held.token)
    }

    /// Returns the newest token that was read or written.
    #[must_use]
    pub fn seen_token(&self) -> FencingToken {
        let seen = self.seen.as_ref().and_then(|seen| seen.row.as_ref());
        let seen = seen.map(|row| row.token).unwrap_or_default();
        seen.max(self.token().unwrap_or_default())
    }

    /// Returns what is left of the lease if this process holds it.
    #[must_use]
    pub fn remaining(&self, now: Uptime) -> Duration {
        let held = self.held.as_ref().filter(|_| !self.is_released);
        held.map_or(Duration::ZERO, |held| {
            held.lease_from.plus(DUTY_LEASE).since(now)
        })
    }

    /// Returns the holder as last read.
    #[must_use]
    pub fn holder(&self) -> Option<&Holder> {
        self.seen.as_ref()?.row.as_ref()?.holder.as_ref()
    }

    /// Tells which leases may be granted now; notes that outage leases may exist.
    pub fn grant_mode(&mut self, now: Uptime) -> GrantMode {
        let Some(held) = self.held.as_mut().filter(|_| !self.is_released) else {
            return GrantMode::Closed;
        };
        if now < held.lease_from.plus(OUTAGE_AFTER) {
            return GrantMode::Normal;
        }
        held.has_outage_grants = true;
        GrantMode::Outage {
            // A successor counts 75 min from the last renewal that it read, so
            // renewed outage leases must not move this limit.
            until: held.lease_from.plus(OUTAGE_LEASE),
            is_lapsed: now >= held.lease_from.plus(DUTY_LEASE),
        }
    }

    /// Returns when [`Duty::tick`] has something to do.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Uptime> {
        if self.pending.is_some() || self.is_released {
            return None;
        }
        match &self.held {
            Some(held) => Some(held.lease_from.plus(RENEW_PERIOD)),
            None => self.seen.as_ref().map(|seen| self.free_at(seen)),
        }
    }

    /// Renews a held duty or takes over a free one, when it is time.
    pub fn tick(&mut self, now: Uptime) -> Vec<DutyEffect> {
        if self.next_wakeup().is_none_or(|at| now < at) {
            return Vec::new();
        }
        match self.held.clone() {
            Some(held) => self.renew(now, &held),
            None => self.acquire(now),
        }
    }

    /// Takes in a row that was read.
    pub fn on_row(&mut self, now: Uptime, read: &Versioned<DutyRow>) -> Vec<DutyEffect> {
        if self
            .seen
            .as_ref()
            .is_none_or(|seen| seen.version < read.version)
        {
            self.seen = Some(Seen {
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

    /// Takes in the outcome of a write.
    pub fn on_write(&mut self, number: u64, outcome: WriteOutcome) -> Vec<DutyEffect> {
        let Some(pending) = self.pending.clone() else {
            return Vec::new();
        };
        // The outcome of an earlier write, which was resolved by a read, says
        // nothing about the pending one.
        if number != self.writes {
            return Vec::new();
        }
        match outcome {
            WriteOutcome::Done(version) => self.confirm(&pending, version),
            // After a lost answer, a conflict may stem from the write's own
            // first copy, so both cases are resolved by reading back.
            WriteOutcome::Conflict | WriteOutcome::Unknown => {
                self.pending = Some(Pending {
                    is_in_flight: false,
                    ..pending
                });
                vec![DutyEffect::Read]
            }
        }
    }

    /// Releases the duty; `grants_expire` is the end of the longest own lease.
    ///
    /// From here on nothing is granted, whether or not the write takes effect.
    pub fn release(&mut self, now: Uptime, grants_expire: Uptime) -> Vec<DutyEffect> {
        self.is_released = true;
        if self.pending.is_some() {
            // A release beside a renewal on its way would lose to it, and the
            // successor would wait for an unclean takeover.
            self.release_grants = Some(grants_expire);
            return Vec::new();
        }
        self.write_release(now, grants_expire)
    }

    fn write_release(&mut self, now: Uptime, grants_expire: Uptime) -> Vec<DutyEffect> {
        let Some(held) = self.held.clone() else {
            return Vec::new();
        };
        let longest = grants_expire.max(self.former_expires);
        let row = DutyRow {
            holder: None,
            token: held.token,
            renewals: held.renewals + 1,
            leases_left: longest.since(now),
        };
        self.send(Pending {
            expected: held.version,
            row,
            sent: now,
            former_expires: self.former_expires,
            is_in_flight: true,
        })
    }

    /// Returns when the duty may be taken over, as far as is known.
    fn free_at(&self, seen: &Seen) -> Uptime {
        let is_held = seen.row.as_ref().is_some_and(|row| row.holder.is_some());
        let wait = if is_held { DUTY_LEASE } else { Duration::ZERO };
        seen.at.plus(wait).plus(self.takeover_delay)
    }

    fn renew(&mut self, now: Uptime, held: &Held) -> Vec<DutyEffect> {
        // A new token makes agents confirm that a short lease has replaced
        // their outage lease.
        let token = if held.has_outage_grants {
            held.token.next()
        } else {
            held.token
        };
        self.send(Pending {
            expected: held.version,
            row: DutyRow {
                holder: Some(self.me.clone()),
                token,
                renewals: held.renewals + 1,
                leases_left: self.former_expires.since(now),
            },
            sent: now,
            former_expires: self.former_expires,
            is_in_flight: true,
        })
    }

    fn acquire(&mut self, now: Uptime) -> Vec<DutyEffect> {
        let Some(seen) = self.seen.clone() else {
            return Vec::new();
        };
        let former_expires = match &seen.row {
            None => now,
            Some(row) if row.holder.is_none() => seen.at.plus(row.leases_left),
            Some(row) => seen.at.plus(row.leases_left.max(OUTAGE_LEASE)),
        };
        let token = seen.row.map_or_else(FencingToken::default, |row| row.token);
        self.send(Pending {
            expected: seen.version,
            row: DutyRow {
                holder: Some(self.me.clone()),
                token: token.next(),
                renewals: 0,
                leases_left: former_expires.since(now),
            },
            sent: now,
            former_expires,
            is_in_flight: true,
        })
    }

    fn send(&mut self, pending: Pending) -> Vec<DutyEffect> {
        self.writes += 1;
        let effect = DutyEffect::Write {
            number: self.writes,
            expected: pending.expected,
            row: pending.row.clone(),
        };
        self.pending = Some(pending);
        vec![effect]
    }

    fn confirm(&mut self, pending: &Pending, version: RowVersion) -> Vec<DutyEffect> {
        self.pending = None;
        if pending.row.holder.is_none() {
            self.held = None;
            return vec![DutyEffect::Lost];
        }
        let former = self.held.as_ref().map(|held| held.token);
        let token = pending.row.token;
        self.held = Some(Held {
            token,
            renewals: pending.row.renewals,
            version,
            lease_from: pending.sent,
            has_outage_grants: former == Some(token)
                && self
                    .held
                    .as_ref()
                    .is_some_and(|held| held.has_outage_grants),
        });
        self.former_expires = pending.former_expires;
        if let Some(grants_expire) = self.release_grants.take() {
            // Counted from an earlier time, the leases only seem longer.
            return self.write_release(pending.sent, grants_expire);
        }
        if former == Some(token) {
            return Vec::new();
        }
        vec![DutyEffect::Acquired {
            token,
            former_expires: pending.former_expires,
            is_continued: former.is_some(),
        }]
    }

    /// Gives the duty up if the row shows a later write of another process.
    fn check_loss(&mut self, read: &Versioned<DutyRow>) -> Vec<DutyEffect> {
        if self
            .held
            .as_ref()
            .is_none_or(|held| read.version <= held.version)
        {
            return Vec::new();
        }
        self.held = None;
        vec![DutyEffect::Lost]
    }
}
