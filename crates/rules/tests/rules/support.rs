//! A compact notation for series, and runs of an evaluator over them.

use std::collections::BTreeMap;
use std::fmt::Write;

use cumindeck_rules::{
    Evaluation, Evaluator, EventTime, Labels, RuleDuration, RuleFile, SampleValue, Settings,
    Snapshot,
};

/// A sample to push.
pub type Sample = (Labels, EventTime, SampleValue);

/// Interval of groups that don't specify one.
pub const INTERVAL: RuleDuration = RuleDuration::from_secs(60);

/// Parses lines such as `up{job="a"} 0 1x3 _ 1+2x3 NaN stale`, with one value per
/// step: `_` is no sample, `AxN` is A repeated N times, `A+BxN` adds B N times.
pub fn series(text: &str, base: EventTime, step: RuleDuration) -> Vec<Sample> {
    let mut out = Vec::new();
    for line in text.lines().filter(|line| !line.trim().is_empty()) {
        let split = line
            .find('}')
            .map_or_else(|| line.find(' ').expect("values"), |end| end + 1);
        let labels = labels(&line[..split]);
        let mut at = base;
        for item in line[split..].split_whitespace() {
            for value in values(item) {
                if let Some(value) = value {
                    out.push((labels.clone(), at, value));
                }
                at = at.plus(step);
            }
        }
    }
    out
}

fn labels(text: &str) -> Labels {
    let (name, rest) = text.split_once('{').unwrap_or((text, "}"));
    let mut out: Labels = [("__name__", name)].into_iter().collect();
    for pair in rest
        .trim_end_matches('}')
        .split(',')
        .filter(|pair| !pair.is_empty())
    {
        let (name, value) = pair.split_once('=').expect("label with value");
        out.set(name.trim(), value.trim().trim_matches('"'));
    }
    out
}

fn values(item: &str) -> Vec<Option<SampleValue>> {
    let Some((start, count)) = item.rsplit_once('x') else {
        return vec![(item != "_").then(|| item.parse().expect("sample value"))];
    };
    let count: usize = count.parse().expect("count");
    if start == "_" {
        return vec![None; count];
    }
    let Some((start, step)) = start.split_once('+') else {
        return vec![Some(start.parse().expect("sample value")); count];
    };
    let (start, step): (f64, f64) = (start.parse().expect("start"), step.parse().expect("step"));
    (0..=count)
        .map(|i| Some(SampleValue::new(start + step * i as f64)))
        .collect()
}

/// Returns the first evaluation time of the first group after 2026-01-01.
pub fn base(file: &RuleFile) -> EventTime {
    file.groups[0].next_evaluation(EventTime::from_secs(1_767_225_600))
}

/// How a run deviates from the reference run.
#[derive(Debug, Clone, Default)]
pub struct Disturbance {
    /// Position of each sample in the arrival order; in time order if empty.
    pub order: Vec<usize>,
    /// Steps after which a new evaluator takes over.
    pub takeovers: Vec<usize>,
}

/// Evaluates the samples with a watermark that advances by `step` until `until`.
/// At a takeover the new evaluator gets the snapshot as JSON and the samples that
/// had arrived.
pub fn run(
    file: &RuleFile,
    samples: &[Sample],
    base: EventTime,
    until: EventTime,
    step: RuleDuration,
    disturbance: &Disturbance,
) -> Vec<Evaluation> {
    let files = std::slice::from_ref(file);
    let settings = Settings::default();
    let start = EventTime::from_millis(base.as_millis() - 1);
    let mut evaluator = Evaluator::new(files, settings, start);
    let mut order: Vec<usize> = (0..samples.len()).collect();
    order.sort_by_key(|i| disturbance.order.get(*i).copied().unwrap_or(0));
    let mut arrived = vec![false; samples.len()];
    let mut out = Vec::new();
    let mut watermark = base;
    for number in 0.. {
        let passed = watermark.minus(settings.lag);
        // Samples up to the watermark minus the lag must have arrived; others may arrive
        // early.
        let due = |i: &usize| {
            samples[*i].1 <= passed || disturbance.order.get(*i).is_some_and(|p| p % 3 == 0)
        };
        for i in order.iter().copied().filter(due) {
            if !std::mem::replace(&mut arrived[i], true) {
                let (labels, at, value) = samples[i].clone();
                evaluator.push(labels, at, value).expect("sample in time");
            }
        }
        out.extend(evaluator.advance(watermark));
        if passed >= until {
            return out;
        }
        if disturbance.takeovers.contains(&number) {
            let text = serde_json::to_string(&evaluator.snapshot()).expect("snapshot as text");
            let snapshot: Snapshot = serde_json::from_str(&text).expect("snapshot from text");
            evaluator = Evaluator::restore(files, settings, &snapshot, EventTime::default());
            for i in order.iter().rev().filter(|i| arrived[**i]) {
                let (labels, at, value) = samples[*i].clone();
                evaluator
                    .push(labels, at, value)
                    .expect("sample sent again");
            }
        }
        watermark = watermark.plus(step);
    }
    out
}

/// Formats transitions and failures, with times in seconds since `base`.
pub fn print(evaluations: &[Evaluation], base: EventTime) -> String {
    let mut out = String::new();
    for evaluation in evaluations {
        let at = evaluation.at.since(base).as_secs_f64();
        for transition in &evaluation.transitions {
            let value = SampleValue::new(transition.value);
            let id = &transition.id;
            let since = transition.active_since.since(base).as_secs_f64();
            write!(
                out,
                "{at}s {} {} since={since}s value={value}",
                id.kind, id.labels
            )
            .expect("text");
            let annotations: BTreeMap<_, _> = transition.annotations.iter().collect();
            let suffix = if annotations.is_empty() {
                String::new()
            } else {
                format!(" {annotations:?}")
            };
            writeln!(out, "{suffix}").expect("text");
        }
        for failure in &evaluation.failures {
            writeln!(out, "{at}s failed line {}: {}", failure.line, failure.error).expect("text");
        }
    }
    out
}
