//! Log lines and gauges on the workers that are far slower or faster than the median.

use cumindeck_jobs::{Scheduler, SpeedClass, SpeedStatus};
use cumindeck_service::Metrics;

/// Gauges of the workers that are far slower and far faster than the median.
const GAUGES: [(&str, SpeedClass); 2] = [
    ("slow_workers", SpeedClass::Slow),
    ("fast_workers", SpeedClass::Fast),
];

/// Logs the changes since the last call and sets the gauges.
pub(super) fn log_speeds(scheduler: &mut Scheduler, metrics: &Metrics) {
    let changes = scheduler.take_speed_changes();
    if changes.is_empty() {
        return;
    }
    let uneven_site = scheduler.site_profile().has_uneven_workers;
    for change in changes {
        let (kind, status) = (change.kind.name(), change.status.name());
        let (percent, runs) = (change.percent, change.runs);
        match change.status {
            SpeedStatus::Class(_) => {
                tracing::info!(event = "worker_speed", agent = %change.agent, kind, status, percent, runs, uneven_site);
            }
            SpeedStatus::Invalid => {
                tracing::warn!(event = "worker_speed", agent = %change.agent, kind, status, percent, runs, uneven_site);
            }
        }
    }
    for (gauge, class) in GAUGES {
        let workers = scheduler.workers_of(class);
        metrics.set(gauge, i64::try_from(workers).unwrap_or(i64::MAX));
    }
}

/// Sets the gauges of an entry that does not lead.
pub(super) fn clear_speeds(metrics: &Metrics) {
    for (gauge, _) in GAUGES {
        metrics.set(gauge, 0);
    }
}
