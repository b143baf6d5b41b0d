//! Output series of rules: recorded series, `ALERTS` and `ALERTS_FOR_STATE`.

use std::collections::BTreeSet;

use crate::alert::{ActiveAlerts, AlertState};
use crate::error::EvalError;
use crate::eval::{Element, distinct};
use crate::expr::Selector;
use crate::file::{AlertRule, Rule};
use crate::labels::{Labels, METRIC_NAME};
use crate::number::SampleValue;
use crate::time::EventTime;
use crate::window::Window;

/// Returns the output series of a recording rule.
pub(crate) fn recorded_series(
    rule: &Rule,
    name: &str,
    limit: usize,
    elements: Vec<Element>,
) -> Result<Vec<(Labels, f64)>, EvalError> {
    let to_output = |mut element: Element| {
        element.labels.set(METRIC_NAME, name);
        for (name, value) in &rule.labels {
            element.labels.set(name, &value.text);
        }
        element
    };
    let elements = distinct(elements.into_iter().map(to_output).collect())?;
    let found = elements.len();
    if limit > 0 && found > limit {
        return Err(EvalError::Limit { found, limit });
    }
    Ok(elements.into_iter().map(|e| (e.labels, e.value)).collect())
}

/// Returns the series `ALERTS` and `ALERTS_FOR_STATE` of the active alerts of a rule.
pub(crate) fn alert_series(alert: &AlertRule, alerts: &ActiveAlerts) -> Vec<(Labels, f64)> {
    let mut out = Vec::new();
    for active in alerts.0.values() {
        let mut labels = active.labels.clone();
        labels.set("alertname", &alert.name);
        labels.set(METRIC_NAME, "ALERTS_FOR_STATE");
        // Whole seconds, as in Prometheus.
        let since = active.active_since.as_millis().div_euclid(1_000) as f64;
        out.push((labels.clone(), since));
        labels.set(METRIC_NAME, "ALERTS");
        let state = match active.state {
            AlertState::Pending => "pending",
            AlertState::Firing => "firing",
        };
        labels.set("alertstate", state);
        out.push((labels, 1.0));
    }
    out
}

/// Writes the output series that any rule reads, and a staleness marker for each
/// series of `previous` that was not written again.
pub(crate) fn write_outputs(
    window: &mut Window,
    selectors: &[Selector],
    previous: &mut BTreeSet<Labels>,
    at: EventTime,
    outputs: Vec<(Labels, f64)>,
) {
    let mut written = BTreeSet::new();
    for (labels, value) in outputs {
        if selectors.iter().any(|selector| selector.accepts(&labels)) {
            window.write_output(labels.clone(), at, SampleValue::new(value));
            written.insert(labels);
        }
    }
    for ended in previous.difference(&written) {
        window.write_output(ended.clone(), at, SampleValue::STALE);
    }
    *previous = written;
}
