//! Health, readiness and metrics endpoints.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use prometheus::{
    CounterVec, Encoder, HistogramOpts, HistogramVec, IntCounterVec, IntGaugeVec, Opts, Registry,
    TextEncoder,
};
use viz::{IntoResponse, Request, RequestExt, Response, Result, Router, StatusCode, types::State};

/// Upper bounds of the duration histogram's buckets in seconds.
const DURATION_BUCKETS: [f64; 12] = [
    0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0,
];

/// Whether a process is ready, as set by the process and returned by `/readyz`.
#[derive(Debug, Clone, Default)]
pub struct Readiness {
    is_ready: Arc<AtomicBool>,
    is_draining: Arc<AtomicBool>,
}

impl Readiness {
    /// Sets whether the process is ready; while it drains, it never is.
    pub fn set(&self, is_ready: bool) {
        self.is_ready.store(is_ready, Ordering::Relaxed);
    }

    /// Records that the process is draining, so that it is no longer ready.
    pub fn drain(&self) {
        self.is_draining.store(true, Ordering::Relaxed);
    }

    /// Returns whether the process is ready and not draining.
    #[must_use]
    pub fn get(&self) -> bool {
        self.is_ready.load(Ordering::Relaxed) && !self.is_draining()
    }

    /// Returns whether the process is draining.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::Relaxed)
    }
}

/// Prometheus metrics of a process, which they state in the label `process`.
#[derive(Clone)]
pub struct Metrics {
    registry: Registry,
    /// Events by kind and outcome.
    pub events: IntCounterVec,
    /// Current values by name.
    pub gauges: IntGaugeVec,
    /// Seconds spent in a state by its name.
    pub times: CounterVec,
    /// Durations in seconds by kind.
    pub durations: HistogramVec,
}

impl Metrics {
    /// Creates the metrics of the named process.
    pub fn new(process: &str) -> eyre::Result<Self> {
        let registry = Registry::new();
        let events = Opts::new("cumindeck_events_total", "Events by kind and outcome")
            .const_label("process", process);
        let events = IntCounterVec::new(events, &["kind", "outcome"])?;
        let gauges =
            Opts::new("cumindeck_state", "Current values by name").const_label("process", process);
        let gauges = IntGaugeVec::new(gauges, &["name"])?;
        let times = Opts::new("cumindeck_state_seconds_total", "Seconds spent in a state")
            .const_label("process", process);
        let times = CounterVec::new(times, &["name"])?;
        let durations = HistogramOpts::new("cumindeck_duration_seconds", "Durations by kind")
            .buckets(DURATION_BUCKETS.to_vec())
            .const_label("process", process);
        let durations = HistogramVec::new(durations, &["kind"])?;
        registry.register(Box::new(durations.clone()))?;
        registry.register(Box::new(events.clone()))?;
        registry.register(Box::new(gauges.clone()))?;
        registry.register(Box::new(times.clone()))?;
        Ok(Self {
            registry,
            events,
            gauges,
            times,
            durations,
        })
    }

    /// Increments the counter of an event.
    pub fn count(&self, kind: &str, outcome: &str) {
        self.events.with_label_values(&[kind, outcome]).inc();
    }

    /// Records the duration of an operation.
    pub fn observe(&self, kind: &str, elapsed: Duration) {
        let durations = self.durations.with_label_values(&[kind]);
        durations.observe(elapsed.as_secs_f64());
    }

    /// Sets the current value of a gauge.
    pub fn set(&self, name: &str, value: i64) {
        self.gauges.with_label_values(&[name]).set(value);
    }

    /// Adds to the time spent in a state.
    pub fn spend(&self, name: &str, elapsed: Duration) {
        let times = self.times.with_label_values(&[name]);
        times.inc_by(elapsed.as_secs_f64());
    }

    /// Returns the metrics in the Prometheus text exposition format.
    #[must_use]
    pub fn render(&self) -> String {
        let mut buf = Vec::new();
        if let Err(err) = TextEncoder::new().encode(&self.registry.gather(), &mut buf) {
            tracing::warn!(event = "metrics_failed", error = %err);
        }
        String::from_utf8_lossy(&buf).into_owned()
    }
}

/// Returns a router with `/healthz`, `/readyz` and `/metrics`.
#[must_use]
pub fn admin_router(readiness: Readiness, metrics: Metrics) -> Router {
    Router::new()
        .get("/healthz", healthz)
        .get("/readyz", readyz)
        .get("/metrics", render_metrics)
        .with(State::new(readiness))
        .with(State::new(metrics))
}

async fn healthz(_req: Request) -> Result<&'static str> {
    Ok("ok\n")
}

async fn readyz(req: Request) -> Result<Response> {
    let is_ready = req
        .state::<Readiness>()
        .is_some_and(|readiness| readiness.get());
    Ok(match is_ready {
        true => "ready\n".into_response(),
        false => (StatusCode::SERVICE_UNAVAILABLE, "not ready\n").into_response(),
    })
}

async fn render_metrics(req: Request) -> Result<String> {
    Ok(req
        .state::<Metrics>()
        .map_or(String::new(), |metrics| metrics.render()))
}
