//! Evaluation of rule groups as event time advances.

use std::collections::BTreeSet;

use crate::alert::{ActiveAlerts, Transition, TransitionId, UnnamedTransition};
use crate::error::{EvalError, PushError};
use crate::eval::{Context, Element};
use crate::expr::Selector;
use crate::file::{Group, Rule, RuleFile, RuleKind};
use crate::labels::Labels;
use crate::number::SampleValue;
use crate::output::{alert_series, recorded_series, write_outputs};
use crate::snapshot::{GroupSnapshot, RuleSnapshot, SeriesSnapshot, Snapshot};
use crate::time::{EventTime, RuleDuration};
use crate::window::{LOOKBACK_DELTA, RangeBoundary, Window};

/// Settings of an evaluator.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// How long after the newest report a sample may still arrive.
    pub lag: RuleDuration,
    /// Maximum number of samples in the window.
    pub max_samples: usize,
    /// Maximum number of group evaluations per call of [`Evaluator::advance`].
    pub max_evaluations: usize,
    /// Whether a range includes its start.
    pub boundary: RangeBoundary,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            lag: RuleDuration::from_secs(10),
            max_samples: 1_000_000,
            max_evaluations: 1_000,
            boundary: RangeBoundary::default(),
        }
    }
}

/// Result of one group at one evaluation time.
#[derive(Debug, Clone, PartialEq)]
pub struct Evaluation {
    /// Name of the rule file.
    pub file: String,
    /// Name of the group, unique within the file.
    pub group: String,
    /// Evaluation time: a multiple of the group's interval plus its offset.
    pub at: EventTime,
    /// Transitions in the order of the rules, then of the labels.
    pub transitions: Vec<Transition>,
    /// Rules whose evaluation failed. Their alerts are unchanged, unless the group's
    /// `limit` was exceeded, which ends them.
    pub failures: Vec<RuleFailure>,
}

/// A rule whose evaluation failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RuleFailure {
    /// Key of the rule within its group.
    pub rule: String,
    /// Line of the rule in its file, starting at 1.
    pub line: usize,
    /// Cause of the failure.
    pub error: EvalError,
}

/// Evaluates the groups of accepted rule files.
///
/// The transitions depend only on the files, the samples and the restored
/// state, never on the order in which samples arrive. The watermark passed to
/// [`Evaluator::advance`] guarantees that every sample older than the watermark
/// minus the lag has been pushed.
#[derive(Debug)]
pub struct Evaluator {
    settings: Settings,
    groups: Vec<GroupState>,
    window: Window,
    /// Selectors of all rules; output series that match none of them aren't stored.
    selectors: Vec<Selector>,
    /// Highest watermark minus lag so far: no sample up to this time is still expected.
    frontier: Option<EventTime>,
    /// Time after which all samples are present, if older ones were lost.
    complete_after: Option<EventTime>,
}

#[derive(Debug)]
struct GroupState {
    file: String,
    group: Group,
    last_evaluation: EventTime,
    /// Maximum lookback of the rules of the group.
    lookback: RuleDuration,
    rules: Vec<RuleState>,
}

#[derive(Debug, Default)]
struct RuleState {
    alerts: ActiveAlerts,
    /// Labels of the series that the last evaluation wrote.
    outputs: BTreeSet<Labels>,
}

impl Evaluator {
    /// Creates an evaluator without state; the first evaluations are after `start`.
    #[must_use]
    pub fn new(files: &[RuleFile], settings: Settings, start: EventTime) -> Self {
        let initial_state = |file: &RuleFile, group: &Group| GroupState {
            file: file.name.clone(),
            last_evaluation: start,
            lookback: group
                .rules
                .iter()
                .map(|rule| rule.expr.lookback)
                .max()
                .unwrap_or(LOOKBACK_DELTA),
            rules: group.rules.iter().map(|_| RuleState::default()).collect(),
            group: group.clone(),
        };
        let groups: Vec<GroupState> = files
            .iter()
            .flat_map(|file| {
                file.groups
                    .iter()
                    .map(move |group| initial_state(file, group))
            })
            .collect();
        let rules = groups.iter().flat_map(|state| &state.group.rules);
        Self {
            selectors: rules.flat_map(|rule| rule.expr.node.selectors()).collect(),
            window: Window::new(settings.max_samples, settings.boundary),
            settings,
            groups,
            frontier: None,
            complete_after: None,
        }
    }

    /// Creates an evaluator that continues from a snapshot.
    ///
    /// The snapshot holds the last evaluation time of each group, the active
    /// alerts with their start times, and the series written by rules. Pushed
    /// samples are not part of it: the caller pushes at least all samples after
    /// `complete_after` again before the first call of [`Evaluator::advance`].
    /// While the lookback of a rule starts before `complete_after`, the rule is
    /// reported as failed and its alerts stay unchanged, so that lost samples
    /// neither resolve an alert nor make a series look absent. State of groups
    /// and rules that no longer exist is dropped; new groups start after
    /// `complete_after`.
    #[must_use]
    pub fn restore(
        files: &[RuleFile],
        settings: Settings,
        snapshot: &Snapshot,
        complete_after: EventTime,
    ) -> Self {
        let mut evaluator = Self::new(files, settings, complete_after);
        evaluator.complete_after = Some(complete_after);
        for state in &mut evaluator.groups {
            let is_same_group = |saved: &&GroupSnapshot| {
                saved.file == state.file && saved.group == state.group.name
            };
            let Some(saved) = snapshot.groups.iter().find(is_same_group) else {
                continue;
            };
            state.last_evaluation = saved.last;
            for (rule, rule_state) in state.group.rules.iter().zip(&mut state.rules) {
                let Some(saved) = saved.rules.iter().find(|saved| saved.rule == rule.key) else {
                    continue;
                };
                let alerts = saved
                    .alerts
                    .iter()
                    .map(|alert| (alert.labels.clone(), alert.clone()));
                rule_state.alerts = ActiveAlerts(alerts.collect());
                rule_state.outputs = saved.outputs.clone();
            }
        }
        for series in &snapshot.series {
            for (at, value) in &series.samples {
                evaluator
                    .window
                    .write_output(series.labels.clone(), *at, *value);
            }
        }
        evaluator
    }

    /// Returns the state from which a new evaluator can continue.
    #[must_use]
    pub fn snapshot(&self) -> Snapshot {
        let rule_snapshot = |(rule, rule_state): (&Rule, &RuleState)| RuleSnapshot {
            rule: rule.key.clone(),
            alerts: rule_state.alerts.0.values().cloned().collect(),
            outputs: rule_state.outputs.clone(),
        };
        let group_snapshot = |state: &GroupState| {
            let rules = state
                .group
                .rules
                .iter()
                .zip(&state.rules)
                .map(rule_snapshot);
            GroupSnapshot {
                file: state.file.clone(),
                group: state.group.name.clone(),
                last: state.last_evaluation,
                rules: rules
                    .filter(|rule| !rule.alerts.is_empty() || !rule.outputs.is_empty())
                    .collect(),
            }
        };
        let series = self
            .window
            .output_series()
            .map(|(labels, samples)| SeriesSnapshot {
                labels: labels.clone(),
                samples: samples.iter().map(|(at, value)| (*at, *value)).collect(),
            });
        Snapshot {
            groups: self.groups.iter().map(group_snapshot).collect(),
            series: series.collect(),
        }
    }

    /// Adds a sample; `labels` include the metric name as `__name__`.
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

    /// Runs the evaluations that are due up to the watermark minus the lag, in
    /// time order and each once, at most [`Settings::max_evaluations`] of them.
    pub fn advance(&mut self, watermark: EventTime) -> Vec<Evaluation> {
        let complete_until = watermark.minus(self.settings.lag);
        let frontier = self
            .frontier
            .map_or(complete_until, |frontier| frontier.max(complete_until));
        self.frontier = Some(frontier);
        let mut evaluations = Vec::new();
        while evaluations.len() < self.settings.max_evaluations {
            let next = self.next_due();
            let Some((at, index)) = next.filter(|(at, _)| *at <= frontier) else {
                break;
            };
            evaluations.push(self.evaluate(index, at));
        }
        let oldest = self.groups.iter().map(|state| {
            state
                .group
                .next_evaluation(state.last_evaluation)
                .minus(state.lookback)
        });
        self.window.evict(oldest.min().unwrap_or(frontier));
        evaluations
    }

    /// Returns whether [`Evaluator::advance`] stopped at its limit and another
    /// call has evaluations to run under the same watermark.
    #[must_use]
    pub fn is_behind(&self) -> bool {
        let next = self.next_due().map(|(at, _)| at);
        matches!((next, self.frontier), (Some(next), Some(frontier)) if next <= frontier)
    }

    /// Returns the watermark at which the next evaluation is due.
    #[must_use]
    pub fn next_watermark(&self) -> Option<EventTime> {
        self.next_due().map(|(at, _)| at.plus(self.settings.lag))
    }

    fn next_due(&self) -> Option<(EventTime, usize)> {
        let groups = self.groups.iter().enumerate();
        groups
            .map(|(index, state)| (state.group.next_evaluation(state.last_evaluation), index))
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
        let state = &mut groups[index];
        state.last_evaluation = at;
        let mut evaluation = Evaluation {
            file: state.file.clone(),
            group: state.group.name.clone(),
            at,
            transitions: Vec::new(),
            failures: Vec::new(),
        };
        for (rule, rule_state) in state.group.rules.iter().zip(&mut state.rules) {
            let mut record_failure = |error| {
                let rule_key = rule.key.clone();
                evaluation.failures.push(RuleFailure {
                    rule: rule_key,
                    line: rule.line,
                    error,
                });
            };
            let elements = match evaluate_rule(window, settings.boundary, rule, at, *complete_after)
            {
                Ok(elements) => elements,
                Err(error) => {
                    record_failure(error);
                    continue;
                }
            };
            let outputs = match &rule.kind {
                RuleKind::Alert(alert) => {
                    let limit = state.group.limit;
                    let (changes, error) =
                        rule_state.alerts.apply(rule, alert, limit, at, elements);
                    let id = |(kind, change): &UnnamedTransition| TransitionId {
                        file: state.file.clone(),
                        group: state.group.name.clone(),
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
                        record_failure(error);
                        continue;
                    }
                    alert_series(alert, &rule_state.alerts)
                }
                RuleKind::Record(record) => {
                    match recorded_series(rule, &record.name, state.group.limit, elements) {
                        Ok(outputs) => outputs,
                        Err(error) => {
                            record_failure(error);
                            continue;
                        }
                    }
                }
            };
            write_outputs(window, selectors, &mut rule_state.outputs, at, outputs);
        }
        evaluation
    }
}

/// Evaluates the expression of a rule.
fn evaluate_rule(
    window: &Window,
    boundary: RangeBoundary,
    rule: &Rule,
    at: EventTime,
    complete_after: Option<EventTime>,
) -> Result<Vec<Element>, EvalError> {
    let needed = at.minus(rule.expr.lookback);
    if let Some(complete) = complete_after {
        let is_complete = match boundary {
            RangeBoundary::LeftOpen => needed >= complete,
            RangeBoundary::Closed => needed > complete,
        };
        if !is_complete && !rule.expr.node.selectors().is_empty() {
            return Err(EvalError::WindowIncomplete { needed, complete });
        }
    }
    Ok(Context { window, at }.eval(&rule.expr.node)?.vector(at))
}
