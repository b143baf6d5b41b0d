//! Series that rules write: recorded series and the series about alerts.

use std::collections::BTreeSet;

use crate::alert::{AlertState, Alerts};
use crate::error::EvalError;
use crate::eval::{Element, distinct};
use crate::expr::Selector;
use crate::file::{AlertRule, Rule};
use crate::labels::{Labels, METRIC_NAME};
use crate::number::SampleValue;
use crate::time::EventTime;
use crate::window::Window;

/// Returns the series of a recording rule.
pub(crate) fn recorded(
    rule: &Rule,
    name: &str,
    limit: usize,
    elements: Vec<Element>,
) -> Result<Vec<(Labels, f64)>, EvalError> {
    let rename = |mut element: Element| {
        element.labels.set(METRIC_NAME, name);
        for (name, entry) in &rule.labels {
            element.labels.set(name, &entry.text);
        }
        element
    };
    let elements = distinct(elements.into_iter().map(rename).collect())?;
    let found = elements.len();
    if limit > 0 && found > limit {
        return Err(EvalError::Limit { found, limit });
    }
    Ok(elements.into_iter().map(|e| (e.labels, e.value)).collect())
}

/// Returns the published series about the active alerts of a rule.
pub(crate) fn alert_series(alert: &AlertRule, alerts: &Alerts) -> Vec<(Labels, f64)> {
    let mut out = Vec::new();
    for active in alerts.0.values() {
        let mut labels = active.labels.clone();
        labels.set("alertname", &alert.name);
        labels.set(METRIC_NAME, "ALERTS_FOR_STATE");
        // Whole seconds, as published.
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

/// Writes the outputs that some rule reads and ends those that are gone.
pub(crate) fn write(
    window: &mut Window,
    selectors: &[Selector],
    before: &mut BTreeSet<Labels>,
    at: EventTime,
    outputs: Vec<(Labels, f64)>,
) {
    let mut written = BTreeSet::new();
    for (labels, value) in outputs {
        if selectors.iter().any(|selector| selector.accepts(&labels)) {
            window.write(labels.clone(), at, SampleValue::new(value));
            written.insert(labels);
        }
    }
    for gone in before.difference(&written) {
        window.write(gone.clone(), at, SampleValue::STALE);
    }
    *before = written;
}
