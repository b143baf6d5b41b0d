//! Time limits, derived from the bounds of a deployment.

use std::time::Duration;

/// Percentage by which a worker's clock may be slow, as stated by the platform.
const CLOCK_DRIFT_PERCENT: u32 = 2;

/// Time to resume from a checkpoint where the operator sets none.
pub const DEFAULT_RESTORE: Duration = Duration::from_millis(500);

/// Bounds that the operator sets. Most methods derive further time limits from them;
/// those for the leader's renewals and for feeds return fixed periods.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TimeLimits {
    /// Maximum lease that a worker accepts.
    pub max_worker_lease: Duration,
    /// Maximum duration of a task's stop.
    pub stop: Duration,
    /// Time within which a revoked API key must have lost its effect.
    pub key_revocation: Duration,
    /// Time within which a new configuration must be in force.
    pub config_in_force: Duration,
    /// Time within which guaranteed capacity must be reclaimed.
    pub reclaim: Duration,
    /// Minimum time for which the state of an ended job is shown.
    pub job_kept: Duration,
    /// Duration of a task far from its data or gang, in percent of the usual one.
    pub remote_percent: u32,
    /// Time that a task needs to resume from a checkpoint.
    pub restore: Duration,
}

impl TimeLimits {
    /// Returns the lease of a worker that its agent renews.
    ///
    /// It is two fifths of the maximum: an agent that is killed and started again
    /// renews it in time, and a lost worker's tasks can be restarted soon.
    #[must_use]
    pub fn worker_lease(&self) -> Duration {
        self.max_worker_lease * 2 / 5
    }

    /// Returns the time for which an agent extends leases after the store last confirmed
    /// the leadership.
    ///
    /// It is longer than the usual outages of the store; together with the worker's
    /// lease it bounds the wait for the tasks of a lost worker.
    #[must_use]
    pub fn agent_grant(&self) -> Duration {
        self.max_worker_lease * 3 / 5
    }

    /// Returns the time after a call that extends a lease by which the lease has
    /// certainly expired.
    ///
    /// The agent's estimate of the worker's clock is ahead by the drift since the last
    /// reading, which is not older than the grant, and the lease lasts longer on a slow
    /// clock.
    #[must_use]
    pub fn lease_expires_after(&self) -> Duration {
        (self.worker_lease() + self.clock_error()) * 100 / (100 - CLOCK_DRIFT_PERCENT)
    }

    /// Returns by how much the agent's estimate of the worker's clock is ahead at most.
    fn clock_error(&self) -> Duration {
        self.agent_grant() * CLOCK_DRIFT_PERCENT / 100
    }

    /// Returns by how much a lease that is shorter than the usual one is over late at most.
    #[must_use]
    pub fn lease_error(&self) -> Duration {
        self.lease_expires_after()
            .saturating_sub(self.worker_lease())
    }

    /// Returns the time after any call by which a lease that it extends has expired.
    #[must_use]
    pub fn max_lease_expires_after(&self) -> Duration {
        self.max_worker_lease * 100 / (100 - CLOCK_DRIFT_PERCENT)
    }

    /// Returns the time after the last possible grant at which a worker's tasks are
    /// known to have ended.
    #[must_use]
    pub fn worker_lost_after(&self) -> Duration {
        self.agent_grant() + self.lease_expires_after() + self.stop
    }

    /// Returns the maximum age of a confirmed view from which an entry responds that
    /// something, such as an API key or a job, does not exist.
    #[must_use]
    pub fn max_view_age(&self) -> Duration {
        self.config_in_force.min(self.key_revocation) * 4 / 5
    }

    /// Returns the maximum age of a confirmed configuration to accept an API key.
    ///
    /// The rest of the bound is left for sending the response and a paused process.
    #[must_use]
    pub fn max_key_view_age(&self) -> Duration {
        self.key_revocation * 7 / 10
    }

    /// Returns the period in which the leader renews its lease.
    #[must_use]
    pub fn leader_renewal(&self) -> Duration {
        Duration::from_millis(250)
    }

    /// Returns the maximum wait for changes of a feed of the store; an empty reply
    /// confirms the view.
    #[must_use]
    pub fn feed_wait(&self) -> Duration {
        Duration::from_millis(500)
    }

    /// Returns the time without a renewal after which another entry takes over.
    #[must_use]
    pub fn leader_timeout(&self) -> Duration {
        // Three missed renewals, so that one reply of the store may be late by the
        // delay to another region.
        self.leader_renewal() * 3
    }
}
