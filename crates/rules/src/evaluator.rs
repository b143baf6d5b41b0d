//! Evaluation of groups at instants of event time.

use std::collections::BTreeSet;

use crate::alert::{Alerts, Change, Transition, TransitionId};
use crate::error::{EvalError, PushError};
use crate::eval::{Context, Element};
use crate::expr::Selector;
use crate::file::{Group, Rule, RuleFile, RuleKind};
use crate::labels::Labels;
use crate::number::SampleValue;
use crate::output::{alert_series, recorded, write};
use crate::snapshot::{GroupSnapshot, RuleSnapshot, SeriesSnapshot, Snapshot};
use crate::time::{EventTime, RuleDuration};
use crate::window::{LOOKBACK, RangeBoundary, Window};

/// Settings of an evaluator.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// How long after the newest report a sample may still arrive.
    pub lag: RuleDuration,
    /// Largest number of samples in the window.
    pub max_samples: usize,
    /// Largest number of instants that one call evaluates.
    pub max_instants: usize,
    /// Whether ranges contain their start.
    pub boundary: RangeBoundary,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            lag: RuleDuration::from_secs(10),
            max_samples: 1_000_000,
            max_instants: 1_000,
            boundary: RangeBoundary::default(),
        }
    }
}

/// The result of one group at one instant.
#[derive(Debug, Clone, PartialEq)]
pub struct Evaluation {
    /// Name of the rule file.
    pub file: String,
    /// Name of the group.
    pub group: String,
    /// The instant.
    pub at: EventTime,
    /// Transitions in the order of the rules and of the labels.
    pub transitions: Vec<Transition>,
    /// Rules whose evaluation failed; their alerts are unchanged.
    pub failures: Vec<RuleFailure>,
}

/// A rule whose evaluation failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RuleFailure {
    /// Key of the rule.
    pub rule: String,
    /// Line of the rule.
    pub line: usize,
    /// What failed.
    pub error: EvalError,
}

/// Evaluates the groups of accepted rule files.
///
/// The transitions depend only on the files, the samples and the state that
/// was restored, never on the order in which samples arrive. The watermark
/// given to [`Evaluator::advance`] promises that every sample older than the
/// watermark minus the lag has been pushed.
#[derive(Debug)]
pub struct Evaluator {
    settings: Settings,
    groups: Vec<ActiveGroup>,
    window: Window,
    /// Selectors of all rules; outputs that none of them accepts aren't kept.
    selectors: Vec<Selector>,
    /// Newest time that the watermark has passed.
    frontier: Option<EventTime>,
    /// Time after which all samples are present, if older ones were lost.
    complete_after: Option<EventTime>,
}

#[derive(Debug)]
struct ActiveGroup {
    file: String,
    group: Group,
    last: EventTime,
    reach: RuleDuration,
    rules: Vec<ActiveRule>,
}

#[derive(Debug, Default)]
struct ActiveRule {
    alerts: Alerts,
    outputs: BTreeSet<Labels>,
}

impl Evaluator {
    /// Starts without state; the first instants lie after `start`.
    #[must_use]
    pub fn new(files: &[RuleFile], settings: Settings, start: EventTime) -> Self {
        let active = |file: &RuleFile, group: &Group| ActiveGroup {
            file: file.name.clone(),
            last: start,
            reach: group
                .rules
                .iter()
                .map(|rule| rule.expr.reach)
                .max()
                .unwrap_or(LOOKBACK),
            rules: group.rules.iter().map(|_| ActiveRule::default()).collect(),
            group: group.clone(),
        };
        let groups: Vec<ActiveGroup> = files
            .iter()
            .flat_map(|file| file.groups.iter().map(move |group| active(file, group)))
            .collect();
        let rules = groups.iter().flat_map(|active| &active.group.rules);
        Self {
            selectors: rules.flat_map(|rule| rule.expr.node.selectors()).collect(),
            window: Window::new(settings.max_samples, settings.boundary),
            settings,
            groups,
            frontier: None,
            complete_after: None,
        }
    }

    /// Continues from a snapshot.
    ///
    /// Kept are the last evaluated instant of each group, the alerts with the
    /// instants since which they are active, and the series written by rules.
    /// Pushed samples are rebuilt by pushing them again before the first call
    /// of [`Evaluator::advance`]; all samples after `complete_after` must
    /// arrive. A rule that looks further back is not evaluated at an instant:
    /// it is reported as failed and its alerts stay as they are, so that lost
    /// samples neither resolve an alert nor make a series look absent. State
    /// of groups and rules that no longer exist is dropped; new groups start
    /// after `complete_after`.
    #[must_use]
    pub fn restore(
        files: &[RuleFile],
        settings: Settings,
        snapshot: &Snapshot,
        complete_after: EventTime,
    ) -> Self {
        let mut evaluator = Self::new(files, settings, complete_after);
        evaluator.complete_after = Some(complete_after);
        for active in &mut evaluator.groups {
            let same = |saved: &&GroupSnapshot| {
                saved.file == active.file && saved.group == active.group.name
            };
            let Some(saved) = snapshot.groups.iter().find(same) else {
                continue;
            };
            active.last = saved.last;
            for (rule, state) in active.group.rules.iter().zip(&mut active.rules) {
                let Some(saved) = saved.rules.iter().find(|saved| saved.rule == rule.key) else {
                    continue;
                };
                let alerts = saved
                    .alerts
                    .iter()
                    .map(|alert| (alert.labels.clone(), alert.clone()));
                state.alerts = Alerts(alerts.collect());
                state.outputs = saved.outputs.clone();
            }
        }
        for series in &snapshot.series {
            for (at, value) in &series.samples {
                evaluator.window.write(series.labels.clone(), *at, *value);
            }
        }
        evaluator
    }

    /// Returns the state for a successor.
    #[must_use]
    pub fn snapshot(&self) -> Snapshot {
        let rule_state = |(rule, state): (&Rule, &ActiveRule)| RuleSnapshot {
            rule: rule.key.clone(),
            alerts: state.alerts.0.values().cloned().collect(),
            outputs: state.outputs.clone(),
        };
        let group = |active: &ActiveGroup| {
            let rules = active.group.rules.iter().zip(&active.rules).map(rule_state);
            GroupSnapshot {
                file: active.file.clone(),
                group: active.group.name.clone(),
                last: active.last,
                rules: rules
                    .filter(|rule| !rule.alerts.is_empty() || !rule.outputs.is_empty())
                    .collect(),
            }
        };
        let series = self
            .window
            .written()
            .map(|(labels, samples)| SeriesSnapshot {
                labels: labels.clone(),
                samples: samples.iter().map(|(at, value)| (*at, *value)).collect(),
            });
        Snapshot {
            groups: self.groups.iter().map(group).collect(),
            series: series.collect(),
        }
    }

    /// Adds a sample; `labels` contain the metric name as `__name__`.
    pub fn push(
        &mut self,
        labels: Labels,
        at: EventTime,
        value: SampleValue,
    ) -> Result<(), PushError> {
        if let Some(frontier) = self.frontier
            && at <= frontier
        {
            return Err(PushError::Late { at, frontier });
        }
        self.window.push(labels, at, value)
    }

    /// Evaluates the instants that the watermark has passed by the lag, in
    /// order and each once, at most [`Settings::max_instants`] of them.
    pub fn advance(&mut self, watermark: EventTime) -> Vec<Evaluation> {
        let passed = watermark.minus(self.settings.lag);
        let frontier = self
            .frontier
            .map_or(passed, |frontier| frontier.max(passed));
        self.frontier = Some(frontier);
        let mut evaluations = Vec::new();
        while evaluations.len() < self.settings.max_instants {
            let next = self.next_due();
            let Some((at, index)) = next.filter(|(at, _)| *at <= frontier) else {
                break;
            };
            evaluations.push(self.evaluate(index, at));
        }
        let oldest = self
            .groups
            .iter()
            .map(|active| active.group.next_instant(active.last).minus(active.reach));
        self.window.evict(oldest.min().unwrap_or(frontier));
        evaluations
    }

    /// Tells whether another call of [`Evaluator::advance`] has instants to
    /// evaluate under the same watermark.
    #[must_use]
    pub fn is_behind(&self) -> bool {
        let next = self.next_due().map(|(at, _)| at);
        matches!((next, self.frontier), (Some(next), Some(frontier)) if next <= frontier)
    }

    /// Returns the watermark at which the next instant can be evaluated.
    #[must_use]
    pub fn next_watermark(&self) -> Option<EventTime> {
        self.next_due().map(|(at, _)| at.plus(self.settings.lag))
    }

    fn next_due(&self) -> Option<(EventTime, usize)> {
        let groups = self.groups.iter().enumerate();
        groups
            .map(|(index, active)| (active.group.next_instant(active.last), index))
            .min()
    }

    fn evaluate(&mut self, index: usize, at: EventTime) -> Evaluation {
        let Self {
            settings,
            groups,
            window,
            selectors,
            complete_after,
            ..
        } = self;
        let active = &mut groups[index];
        active.last = at;
        let mut evaluation = Evaluation {
            file: active.file.clone(),
            group: active.group.name.clone(),
            at,
            transitions: Vec::new(),
            failures: Vec::new(),
        };
        for (rule, state) in active.group.rules.iter().zip(&mut active.rules) {
            let mut fail = |error| {
                let rule_key = rule.key.clone();
                evaluation.failures.push(RuleFailure {
                    rule: rule_key,
                    line: rule.line,
                    error,
                });
            };
            let elements = match query(window, settings.boundary, rule, at, *complete_after) {
                Ok(elements) => elements,
                Err(error) => {
                    fail(error);
                    continue;
                }
            };
            let outputs = match &rule.kind {
                RuleKind::Alert(alert) => {
                    let limit = active.group.limit;
                    let (changes, error) = state.alerts.apply(rule, alert, limit, at, elements);
                    let id = |(kind, change): &Change| TransitionId {
                        file: active.file.clone(),
                        group: active.group.name.clone(),
                        rule: rule.key.clone(),
                        labels: change.labels.clone(),
                        at,
                        kind: *kind,
                    };
                    evaluation
                        .transitions
                        .extend(changes.into_iter().map(|change| Transition {
                            id: id(&change),
                            annotations: change.1.annotations,
                            value: change.1.value.get(),
                            active_since: change.1.active_since,
                        }));
                    if let Some(error) = error {
                        fail(error);
                        continue;
                    }
                    alert_series(alert, &state.alerts)
                }
                RuleKind::Record(record) => {
                    match recorded(rule, &record.name, active.group.limit, elements) {
                        Ok(outputs) => outputs,
                        Err(error) => {
                            fail(error);
                            continue;
                        }
                    }
                }
            };
            write(window, selectors, &mut state.outputs, at, outputs);
        }
        evaluation
    }
}

/// Evaluates the expression of a rule.
fn query(
    window: &Window,
    boundary: RangeBoundary,
    rule: &Rule,
    at: EventTime,
    complete_after: Option<EventTime>,
) -> Result<Vec<Element>, EvalError> {
    let needed = at.minus(rule.expr.reach);
    if let Some(complete) = complete_after {
        let covered = match boundary {
            RangeBoundary::LeftOpen => needed >= complete,
            RangeBoundary::Closed => needed > complete,
        };
        if !covered && !rule.expr.node.selectors().is_empty() {
            return Err(EvalError::WindowIncomplete { needed, complete });
        }
    }
    Ok(Context { window, at }.eval(&rule.expr.node)?.vector(at))
}
