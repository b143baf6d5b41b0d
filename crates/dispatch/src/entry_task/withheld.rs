//! Log lines and gauges on the workers that the leader gives no tasks, since they may drop
//! the ends of their runs.

use cumindeck_jobs::{Scheduler, WithheldState, WithheldStatus};
use cumindeck_service::Metrics;

/// Logs the changes since the last call and sets the gauges.
pub(super) fn log_withheld(scheduler: &mut Scheduler, metrics: &Metrics) {
    let changes = scheduler.take_withheld_changes();
    if changes.is_empty() {
        return;
    }
    for change in changes {
        let worker = &change.incarnation.worker;
        let started_ms = change.incarnation.started_ms;
        let former = change.former.map_or("none", WithheldState::name);
        let withheld_ms = u64::try_from(change.withheld_for.as_millis()).unwrap_or(u64::MAX);
        match change.status {
            WithheldStatus::Withheld(state) => {
                tracing::warn!(event = "worker_withheld", agent = %change.agent, %worker, started_ms, %state, former, withheld_ms);
            }
            WithheldStatus::Released(reason) => {
                tracing::info!(event = "worker_released", agent = %change.agent, %worker, started_ms, %reason, former, withheld_ms);
            }
        }
    }
    for (state, workers) in scheduler.withheld_workers() {
        metrics.set(state.gauge(), i64::try_from(workers).unwrap_or(i64::MAX));
    }
}

/// Sets the gauges of an entry that knows no withheld worker.
pub(super) fn clear_withheld(metrics: &Metrics) {
    for state in WithheldState::ALL {
        metrics.set(state.gauge(), 0);
    }
}
