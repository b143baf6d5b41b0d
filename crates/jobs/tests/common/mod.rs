//! What several tests share.

use std::time::Duration;

use cumindeck_jobs::TimeLimits;

/// Time limits of a deployment like those of the users.
pub fn limits() -> TimeLimits {
    TimeLimits {
        max_worker_lease: Duration::from_secs(10),
        stop: Duration::from_millis(900),
        key_revocation: Duration::from_secs(5),
        config_in_force: Duration::from_millis(2_500),
        reclaim: Duration::from_millis(3_400),
        job_kept: Duration::from_secs(120),
        remote_percent: 300,
    }
}
