//! Time limits, derived from the bounds of a deployment.

use std::time::Duration;

/// Share by which a worker's clock may be slow, in percent; stated by the platform.
const CLOCK_DRIFT_PERCENT: u32 = 2;

/// Time limits of a deployment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TimeLimits {
    /// Longest lease that a worker takes.
    pub max_worker_lease: Duration,
    /// Longest stop of a task.
    pub stop: Duration,
    /// Time within which a taken-away key must have lost its effect.
    pub key_revocation: Duration,
    /// Time within which a configuration must be in force.
    pub config_in_force: Duration,
    /// Time within which a guarantee must be given back.
    pub reclaim: Duration,
    /// Time for which the state of a job that has ended is shown at least.
    pub job_kept: Duration,
    /// Duration of a task away from its data or its gang's rack, in percent of the usual one.
    pub remote_percent: u32,
}

impl TimeLimits {
    /// Lease of a worker that its agent renews.
    ///
    /// Two fifths of the longest lease: an agent that is killed and started again
    /// renews it in time, and a lost worker's tasks are free soon.
    #[must_use]
    pub fn worker_lease(&self) -> Duration {
        self.max_worker_lease * 2 / 5
    }

    /// Time for which an agent extends leases after the store last confirmed the duty.
    ///
    /// It outlasts the usual outages of the store; together with the worker's
    /// lease it bounds the wait for the tasks of a lost worker.
    #[must_use]
    pub fn agent_grant(&self) -> Duration {
        self.max_worker_lease * 3 / 5
    }

    /// Time after the last possible grant at which a worker's tasks have certainly ended.
    #[must_use]
    pub fn worker_lost(&self) -> Duration {
        let lease = self.worker_lease();
        self.agent_grant() + lease + lease * (2 * CLOCK_DRIFT_PERCENT) / 100 + self.stop
    }

    /// Longest age of a confirmed view under which facts are stated, such as
    /// that a key or a job does not exist.
    #[must_use]
    pub fn fact_age(&self) -> Duration {
        self.config_in_force.min(self.key_revocation) * 4 / 5
    }

    /// Longest age of a confirmed configuration under which a key still counts.
    ///
    /// The rest of the bound is left for the answer's way and a frozen process.
    #[must_use]
    pub fn key_age(&self) -> Duration {
        self.key_revocation * 7 / 10
    }

    /// Period in which the holder of the duty renews it.
    #[must_use]
    pub fn duty_renewal(&self) -> Duration {
        Duration::from_millis(250)
    }

    /// Wait for changes that a feed of the store allows; an empty answer confirms the view.
    #[must_use]
    pub fn feed_wait(&self) -> Duration {
        Duration::from_millis(500)
    }

    /// Silence of the holder after which another entry takes the duty.
    #[must_use]
    pub fn duty_silence(&self) -> Duration {
        // Three missed renewals; one answer of the store may take a region hop longer.
        self.duty_renewal() * 3
    }
}
