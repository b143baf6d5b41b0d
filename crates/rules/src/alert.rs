//! State machine of the alerts of one rule.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::{self, Display, Formatter};

use serde::{Deserialize, Serialize};

use crate::error::EvalError;
use crate::eval::Element;
use crate::file::{AlertRule, Rule};
use crate::labels::Labels;
use crate::number::SampleValue;
use crate::snapshot::ActiveAlert;
use crate::time::{EventTime, RuleDuration};

/// State of an active alert.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum AlertState {
    /// The condition holds, but for less than the rule's hold duration.
    Pending,
    /// The condition has held for the rule's hold duration.
    Firing,
}

/// A change of an alert's state.
#[derive(Debug, Clone, PartialEq)]
pub struct Transition {
    /// Id, which is equal in all processes that evaluate the rule at the same time.
    pub id: TransitionId,
    /// Annotations of the alert, expanded.
    pub annotations: Labels,
    /// Latest value of the expression for this alert.
    pub value: f64,
    /// Evaluation time since which the condition holds.
    pub active_since: EventTime,
}

/// Identifies a transition, so that a receiver can drop duplicates.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TransitionId {
    /// Name of the rule file.
    pub file: String,
    /// Name of the group, unique within the file.
    pub group: String,
    /// Key of the rule within the group.
    pub rule: String,
    /// Labels of the alert, including `alertname`.
    pub labels: Labels,
    /// Evaluation time of the transition.
    pub at: EventTime,
    /// State that the alert entered.
    pub kind: TransitionKind,
}

impl Display for TransitionId {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Self {
            file,
            group,
            rule,
            labels,
            at,
            kind,
        } = self;
        write!(f, "{file:?}/{group:?}/{rule:?}/{labels}/{at}/{kind}")
    }
}

/// State that a transition leads to; unlike [`AlertState`], it includes the two ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum TransitionKind {
    /// The condition has begun to hold.
    Pending,
    /// The alert has begun to fire.
    Firing,
    /// A firing alert has ended.
    Resolved,
    /// A pending alert has ended without firing.
    Inactive,
}

impl Display for TransitionKind {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Pending => "pending",
            Self::Firing => "firing",
            Self::Resolved => "resolved",
            Self::Inactive => "inactive",
        })
    }
}

/// The active alerts of one rule.
#[derive(Debug, Clone, Default)]
pub(crate) struct ActiveAlerts(pub(crate) BTreeMap<Labels, ActiveAlert>);

/// A transition before the names of file, group and rule are added.
pub(crate) type UnnamedTransition = (TransitionKind, ActiveAlert);

impl ActiveAlerts {
    /// Applies the result of an evaluation at `at` and returns the changes in
    /// label order. If the evaluation fails, the state stays unchanged, except
    /// that exceeding the limit ends all alerts, as in Prometheus.
    pub(crate) fn apply(
        &mut self,
        rule: &Rule,
        alert: &AlertRule,
        limit: usize,
        at: EventTime,
        elements: Vec<Element>,
    ) -> (Vec<UnnamedTransition>, Option<EvalError>) {
        let current = match alerts_from(rule, alert, at, elements) {
            Ok(current) => current,
            Err(err) => return (Vec::new(), Some(err)),
        };
        // Needed only if the limit is exceeded.
        let previous = (limit > 0).then(|| self.0.clone());
        let mut new_labels = BTreeSet::new();
        let mut changes = Vec::new();
        for (labels, new) in &current {
            match self.0.get_mut(labels) {
                Some(existing) => {
                    existing.value = new.value;
                    existing.annotations = new.annotations.clone();
                    existing.keep_firing_since = None;
                }
                None => {
                    new_labels.insert(labels);
                    self.0.insert(labels.clone(), new.clone());
                }
            }
        }
        self.0.retain(|labels, active| {
            if !current.contains_key(labels) {
                if active.state == AlertState::Firing && alert.keep_firing_for > RuleDuration::ZERO
                {
                    let since = *active.keep_firing_since.get_or_insert(at);
                    if at.since(since) < alert.keep_firing_for {
                        return true;
                    }
                }
                changes.push((end_transition(active), active.clone()));
                return false;
            }
            if active.state == AlertState::Pending
                && at.since(active.active_since) >= alert.hold_duration
            {
                active.state = AlertState::Firing;
                changes.push((TransitionKind::Firing, active.clone()));
            } else if new_labels.contains(labels) {
                changes.push((TransitionKind::Pending, active.clone()));
            }
            true
        });
        let count = self.0.len();
        if limit == 0 || count <= limit {
            return (changes, None);
        }
        self.0.clear();
        let ended = previous
            .unwrap_or_default()
            .into_values()
            .map(|active| (end_transition(&active), active))
            .collect();
        (
            ended,
            Some(EvalError::Limit {
                found: count,
                limit,
            }),
        )
    }
}

/// Returns one alert per element, pending since `at`.
fn alerts_from(
    rule: &Rule,
    alert: &AlertRule,
    at: EventTime,
    elements: Vec<Element>,
) -> Result<BTreeMap<Labels, ActiveAlert>, EvalError> {
    let mut alerts = BTreeMap::new();
    for Element {
        labels: source,
        value,
        ..
    } in elements
    {
        let mut labels = source.clone().without_name();
        for (name, label) in &rule.labels {
            labels.set(name, &label.template.expand(&source, value));
        }
        labels.set("alertname", &alert.name);
        let annotations = alert.annotations.iter();
        let annotations = annotations
            .map(|(name, annotation)| (name.clone(), annotation.template.expand(&source, value)));
        let active = ActiveAlert {
            labels: labels.clone(),
            annotations: annotations.collect(),
            value: SampleValue::new(value),
            state: AlertState::Pending,
            active_since: at,
            keep_firing_since: None,
        };
        if alerts.insert(labels.clone(), active).is_some() {
            return Err(EvalError::DuplicateLabels(labels.to_string()));
        }
    }
    Ok(alerts)
}

fn end_transition(active: &ActiveAlert) -> TransitionKind {
    match active.state {
        AlertState::Pending => TransitionKind::Inactive,
        AlertState::Firing => TransitionKind::Resolved,
    }
}
