//! Series in a compact notation and runs of an evaluator over them.

use std::collections::BTreeMap;
use std::fmt::Write;

use cumindeck_rules::{
    Evaluation, Evaluator, EventTime, Labels, RuleDuration, RuleFile, SampleValue, Settings,
    Snapshot,
};

/// A sample before it is pushed.
pub type Sample = (Labels, EventTime, SampleValue);

/// Interval of groups that set none.
pub const INTERVAL: RuleDuration = RuleDuration::from_secs(60);

/// Parses lines such as `up{job="a"} 0 1x3 _ 1+2x3 NaN stale`, one value for
/// each step: `_` is no sample, `AxN` repeats, `A+BxN` adds N times.
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

/// Returns the first instant of the first group after a fixed day.
pub fn base(file: &RuleFile) -> EventTime {
    file.groups[0].next_instant(EventTime::from_secs(1_767_225_600))
}

/// How a run differs from the plain one.
#[derive(Debug, Clone, Default)]
pub struct Plan {
    /// Position in the order of arrival of each sample; by time if empty.
    pub order: Vec<usize>,
    /// Steps after which a successor takes over.
    pub takeovers: Vec<usize>,
}

/// Runs the samples with a watermark that rises by `step` until `until`. A
/// successor gets the snapshot as JSON text and the samples that had arrived.
pub fn run(
    file: &RuleFile,
    samples: &[Sample],
    base: EventTime,
    until: EventTime,
    step: RuleDuration,
    plan: &Plan,
) -> Vec<Evaluation> {
    let files = std::slice::from_ref(file);
    let settings = Settings::default();
    let start = EventTime::from_millis(base.as_millis() - 1);
    let mut evaluator = Evaluator::new(files, settings, start);
    let mut order: Vec<usize> = (0..samples.len()).collect();
    order.sort_by_key(|i| plan.order.get(*i).copied().unwrap_or(0));
    let mut arrived = vec![false; samples.len()];
    let mut out = Vec::new();
    let mut watermark = base;
    for number in 0.. {
        let passed = watermark.minus(settings.lag);
        // Samples that the watermark promises arrive now; the others may arrive early.
        let due =
            |i: &usize| samples[*i].1 <= passed || plan.order.get(*i).is_some_and(|p| p % 3 == 0);
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
        if plan.takeovers.contains(&number) {
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

/// Prints transitions and failures with the seconds since `base`.
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
