//! When the leases of a worker that does not answer have certainly expired.

use std::time::Duration;

use cumindeck_types::Uptime;

use crate::TimeLimits;

/// Time of the worker's last answer and upper bound of its leases, on the local clock.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct LeaseWatch {
    /// Last answer of the worker, or when it became known.
    heard_at: Uptime,
    /// Time by which all leases have expired, except for that of the renewal in flight.
    expires_at: Uptime,
    /// The same for the renewal in flight, if it extends the leases.
    pending: Option<Uptime>,
}

impl LeaseWatch {
    /// Creates the state of a worker that has just answered and may have a lease that
    /// expires within `max_lease`.
    pub fn new(now: Uptime, max_lease: Duration) -> Self {
        Self {
            heard_at: now,
            expires_at: now.plus(max_lease),
            pending: None,
        }
    }

    /// Returns the time since the worker's last answer.
    pub const fn silence(&self, now: Uptime) -> Duration {
        now.since(self.heard_at)
    }

    /// Returns whether all leases have certainly expired.
    pub fn are_over(&self, now: Uptime) -> bool {
        self.pending.is_none() && now >= self.expires_at
    }

    /// Records a call that extends the leases; it counts even without a reply, since the
    /// worker may carry it out late.
    pub fn on_extended(&mut self, now: Uptime, limits: &TimeLimits) {
        let expires_at = now.plus(limits.lease_expires_after());
        self.expires_at = self.expires_at.max(expires_at);
    }

    /// Records a start that extends the leases by `lease` at most.
    pub fn on_short_lease(&mut self, now: Uptime, lease: Duration, limits: &TimeLimits) {
        let expires_at = now.plus(lease + limits.lease_error());
        self.expires_at = self.expires_at.max(expires_at);
    }

    /// Records a renewal that extends the leases unless it does not reach the worker.
    pub fn on_renewal_sent(&mut self, now: Uptime, limits: &TimeLimits) {
        self.pending = Some(now.plus(limits.lease_expires_after()));
    }

    /// Records the end of the renewal in flight and whether the worker may have got it.
    pub fn on_renewal_done(&mut self, is_sent: bool) {
        if let Some(pending) = self.pending.take().filter(|_| is_sent) {
            self.expires_at = self.expires_at.max(pending);
        }
    }

    /// Records an answer of the worker.
    pub const fn on_answer(&mut self, now: Uptime) {
        self.heard_at = now;
    }

    /// Returns whether the worker is silent and has certainly ended all its runs.
    pub fn is_lost(&self, now: Uptime, limits: &TimeLimits) -> bool {
        let expires_at = self
            .pending
            .map_or(self.expires_at, |pending| self.expires_at.max(pending));
        // A worker without runs has no lease; a pause of it or of the agent is no loss.
        self.silence(now) >= limits.lease_expires_after() && now >= expires_at.plus(limits.stop)
    }
}
