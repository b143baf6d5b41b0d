//! For how long the worker gets no starts, for the log and the metrics.

use cumindeck_jobs::{AgentCore, IncarnationId, WithheldState};
use cumindeck_service::Metrics;
use cumindeck_types::Uptime;

/// Gauge that is 1 while the worker is withheld.
const GAUGE: &str = "is_withheld";

/// The state in which the worker is withheld, as last logged and counted.
#[derive(Debug)]
pub(super) struct WithheldWatch {
    incarnation: Option<IncarnationId>,
    state: Option<WithheldState>,
    withholds_starts: bool,
    /// When the worker was withheld first.
    since: Uptime,
    /// Time up to which the state is counted.
    counted_until: Uptime,
}

impl WithheldWatch {
    /// Creates the watch of an agent that knows no worker.
    pub fn new(now: Uptime, metrics: &Metrics) -> Self {
        metrics.set(GAUGE, 0);
        Self {
            incarnation: None,
            state: None,
            withholds_starts: false,
            since: now,
            counted_until: now,
        }
    }

    /// Counts the time since the last call, and logs a change.
    pub fn update(&mut self, now: Uptime, core: &AgentCore, metrics: &Metrics) {
        if let Some(state) = self.state {
            metrics.spend(state.gauge(), now.since(self.counted_until));
        }
        self.counted_until = now;
        let (state, withholds_starts) = (core.withheld_state(), core.withholds_starts());
        let incarnation = core.worker_incarnation().filter(|_| state.is_some());
        let incarnation = incarnation.map(IncarnationId::from);
        let is_same = state == self.state && withholds_starts == self.withholds_starts;
        if is_same && incarnation == self.incarnation {
            return;
        }
        if let Some(former) = &self.incarnation
            && self.incarnation != incarnation
        {
            // It gets tasks again, or another one has taken its place.
            log(now, former, None, false, self.since);
        }
        if let Some(current) = &incarnation {
            if self.incarnation != incarnation {
                self.since = now;
            }
            log(now, current, state, withholds_starts, self.since);
        }
        metrics.set(GAUGE, i64::from(state.is_some()));
        self.incarnation = incarnation;
        self.state = state;
        self.withholds_starts = withholds_starts;
    }
}

fn log(
    now: Uptime,
    incarnation: &IncarnationId,
    state: Option<WithheldState>,
    withholds_starts: bool,
    since: Uptime,
) {
    let IncarnationId { worker, started_ms } = incarnation;
    let state = state.map_or("none", WithheldState::name);
    let withheld_ms = u64::try_from(now.since(since).as_millis()).unwrap_or(u64::MAX);
    tracing::warn!(event = "starts_withheld", %worker, started_ms, state, withholds_starts, withheld_ms);
}
