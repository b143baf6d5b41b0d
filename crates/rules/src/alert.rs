//! The state machine of the alerts of one rule.

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
    /// The condition holds, but not yet for long enough.
    Pending,
    /// The alert fires.
    Firing,
}

/// A change of an alert's state.
#[derive(Debug, Clone, PartialEq)]
pub struct Transition {
    /// The same for every instance that evaluates the same instant.
    pub id: TransitionId,
    /// Annotations of the alert.
    pub annotations: Labels,
    /// Newest value of the expression for this alert.
    pub value: f64,
    /// Instant since which the condition holds.
    pub active_since: EventTime,
}

/// Identifies a transition, so that a receiver can drop repetitions.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TransitionId {
    /// Name of the rule file.
    pub file: String,
    /// Name of the group.
    pub group: String,
    /// Key of the rule in the group.
    pub rule: String,
    /// Labels of the alert, with the alert name.
    pub labels: Labels,
    /// Instant of the transition.
    pub at: EventTime,
    /// Kind of transition.
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

/// Kinds of transitions.
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
pub(crate) struct Alerts(pub(crate) BTreeMap<Labels, ActiveAlert>);

/// A transition without the names that its rule adds.
pub(crate) type Change = (TransitionKind, ActiveAlert);

impl Alerts {
    /// Applies the result of an evaluation at `at` and returns the changes in
    /// the order of the labels. On an error the state stays as it was, except
    /// that exceeding the limit ends all alerts, as published.
    pub(crate) fn apply(
        &mut self,
        rule: &Rule,
        alert: &AlertRule,
        limit: usize,
        at: EventTime,
        elements: Vec<Element>,
    ) -> (Vec<Change>, Option<EvalError>) {
        let found = match alerts_of(rule, alert, at, elements) {
            Ok(found) => found,
            Err(err) => return (Vec::new(), Some(err)),
        };
        // Needed only if the limit is exceeded.
        let before = (limit > 0).then(|| self.0.clone());
        let mut fresh = BTreeSet::new();
        let mut changes = Vec::new();
        for (labels, new) in &found {
            match self.0.get_mut(labels) {
                Some(known) => {
                    known.value = new.value;
                    known.annotations = new.annotations.clone();
                    known.keep_firing_since = None;
                }
                None => {
                    fresh.insert(labels);
                    self.0.insert(labels.clone(), new.clone());
                }
            }
        }
        self.0.retain(|labels, active| {
            if !found.contains_key(labels) {
                if active.state == AlertState::Firing && alert.keep_firing_for > RuleDuration::ZERO
                {
                    let since = *active.keep_firing_since.get_or_insert(at);
                    if at.since(since) < alert.keep_firing_for {
                        return true;
                    }
                }
                changes.push((end_of(active), active.clone()));
                return false;
            }
            if active.state == AlertState::Pending && at.since(active.active_since) >= alert.hold {
                active.state = AlertState::Firing;
                changes.push((TransitionKind::Firing, active.clone()));
            } else if fresh.contains(labels) {
                changes.push((TransitionKind::Pending, active.clone()));
            }
            true
        });
        let count = self.0.len();
        if limit == 0 || count <= limit {
            return (changes, None);
        }
        self.0.clear();
        let ended = before
            .unwrap_or_default()
            .into_values()
            .map(|active| (end_of(&active), active))
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

/// Returns the alert of each element, pending since `at`.
fn alerts_of(
    rule: &Rule,
    alert: &AlertRule,
    at: EventTime,
    elements: Vec<Element>,
) -> Result<BTreeMap<Labels, ActiveAlert>, EvalError> {
    let mut found = BTreeMap::new();
    for Element {
        labels: source,
        value,
        ..
    } in elements
    {
        let mut labels = source.clone().without_name();
        for (name, entry) in &rule.labels {
            labels.set(name, &entry.template.expand(&source, value));
        }
        labels.set("alertname", &alert.name);
        let annotations = alert.annotations.iter();
        let annotations =
            annotations.map(|(name, entry)| (name.clone(), entry.template.expand(&source, value)));
        let active = ActiveAlert {
            labels: labels.clone(),
            annotations: annotations.collect(),
            value: SampleValue::new(value),
            state: AlertState::Pending,
            active_since: at,
            keep_firing_since: None,
        };
        if found.insert(labels.clone(), active).is_some() {
            return Err(EvalError::DuplicateLabels(labels.to_string()));
        }
    }
    Ok(found)
}

fn end_of(active: &ActiveAlert) -> TransitionKind {
    match active.state {
        AlertState::Pending => TransitionKind::Inactive,
        AlertState::Firing => TransitionKind::Resolved,
    }
}
