//! Aggregations over the elements of a vector.

use std::collections::BTreeMap;

use crate::error::EvalError;
use crate::eval::{Context, Element, distinct};
use crate::expr::{Aggregate, AggregateOp, Node};
use crate::labels::Labels;
use crate::number::format_plain;

/// Evaluates an aggregation.
pub(crate) fn aggregate(
    cx: Context<'_>,
    aggregation: &Aggregate,
) -> Result<Vec<Element>, EvalError> {
    let elements = cx.eval(&aggregation.expr)?.vector(cx.at);
    let scalar_param = |node: &Node| cx.eval(node).map(super::eval::Value::scalar);
    let mut groups: BTreeMap<Labels, Vec<Element>> = BTreeMap::new();
    for element in elements {
        let mut key = aggregation.group_by.key(&element.labels);
        if let AggregateOp::CountValues(label) = &aggregation.op {
            key.set(label, &format_plain(element.value));
        }
        groups.entry(key).or_default().push(element);
    }
    let reduce_groups = |reduce: &dyn Fn(&[f64]) -> f64| {
        let reduced = groups.iter().map(|(labels, members)| {
            let values: Vec<f64> = members.iter().map(|e| e.value).collect();
            Element {
                labels: labels.clone(),
                value: reduce(&values),
                at: cx.at,
            }
        });
        reduced.collect::<Vec<_>>()
    };
    let out = match &aggregation.op {
        AggregateOp::Sum => reduce_groups(&sum),
        AggregateOp::Avg => reduce_groups(&average),
        AggregateOp::Min => reduce_groups(&min),
        AggregateOp::Max => reduce_groups(&max),
        AggregateOp::Count | AggregateOp::CountValues(_) => {
            reduce_groups(&|values| values.len() as f64)
        }
        AggregateOp::Group => reduce_groups(&|_| 1.0),
        AggregateOp::Stddev => reduce_groups(&|values| variance(values).sqrt()),
        AggregateOp::Stdvar => reduce_groups(&variance),
        AggregateOp::Quantile(node) => {
            let q = scalar_param(node)?;
            reduce_groups(&|values| quantile(q, values))
        }
        AggregateOp::TopK(node) => {
            top_k(groups, selection_size(scalar_param(node)?)?, |value| value)
        }
        AggregateOp::BottomK(node) => {
            top_k(groups, selection_size(scalar_param(node)?)?, |value| -value)
        }
    };
    distinct(out)
}

/// Converts the parameter of `topk` or `bottomk`; a negative one selects nothing.
fn selection_size(k: f64) -> Result<usize, EvalError> {
    if k.is_nan() || k <= i64::MIN as f64 || k >= i64::MAX as f64 {
        return Err(EvalError::BadParameter(format_plain(k)));
    }
    Ok(k as usize)
}

/// Returns the `k` elements of each group with the largest rank, NaN last.
/// Elements of equal rank stay in label order.
fn top_k(
    groups: BTreeMap<Labels, Vec<Element>>,
    k: usize,
    rank: impl Fn(f64) -> f64,
) -> Vec<Element> {
    let mut out = Vec::new();
    for mut members in groups.into_values() {
        members.sort_by(|a, b| {
            let (a, b) = (rank(a.value), rank(b.value));
            a.is_nan()
                .cmp(&b.is_nan())
                .then(b.partial_cmp(&a).unwrap_or(std::cmp::Ordering::Equal))
        });
        out.extend(members.into_iter().take(k));
    }
    out
}

/// A sum with Neumaier's compensation, as Prometheus uses it for sums and averages.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Sum {
    total: f64,
    compensation: f64,
}

impl Sum {
    pub(crate) fn add(&mut self, value: f64) {
        let total = self.total + value;
        if total.is_infinite() {
            self.compensation = 0.0;
        } else if self.total.abs() >= value.abs() {
            self.compensation += (self.total - total) + value;
        } else {
            self.compensation += (value - total) + self.total;
        }
        self.total = total;
    }

    /// Returns the compensated sum.
    pub(crate) fn get(self) -> f64 {
        self.total + self.compensation
    }
}

/// Returns the sum, compensated for rounding errors.
pub(crate) fn sum(values: &[f64]) -> f64 {
    let mut sum = Sum::default();
    values.iter().for_each(|value| sum.add(*value));
    sum.get()
}

/// Returns the mean; switches to a running mean when the sum would overflow.
pub(crate) fn average(values: &[f64]) -> f64 {
    let mut sum = Sum::default();
    for (i, value) in values.iter().enumerate() {
        let mut next = sum;
        next.add(*value);
        if next.total.is_infinite() && i > 0 {
            return running_mean(sum, i, &values[i..]);
        }
        sum = next;
    }
    let count = values.len() as f64;
    sum.total / count + sum.compensation / count
}

fn running_mean(sum: Sum, count: usize, rest: &[f64]) -> f64 {
    let mut count = count as f64;
    let mut mean = Sum {
        total: sum.total / count,
        compensation: sum.compensation / count,
    };
    for value in rest {
        count += 1.0;
        if mean.total.is_infinite() {
            let same_sign = value.is_infinite() && (mean.total > 0.0) == (*value > 0.0);
            if same_sign || value.is_finite() {
                continue;
            }
        }
        let current = mean.get();
        mean.add(value / count - current / count);
    }
    mean.get()
}

/// Returns the smallest value; NaN only if all values are NaN.
pub(crate) fn min(values: &[f64]) -> f64 {
    values
        .iter()
        .copied()
        .reduce(|a, b| if a > b || a.is_nan() { b } else { a })
        .unwrap_or(f64::NAN)
}

/// Returns the largest value; NaN only if all values are NaN.
pub(crate) fn max(values: &[f64]) -> f64 {
    values
        .iter()
        .copied()
        .reduce(|a, b| if a < b || a.is_nan() { b } else { a })
        .unwrap_or(f64::NAN)
}

/// Returns the population variance by Welford's method.
fn variance(values: &[f64]) -> f64 {
    let mut mean = 0.0;
    let mut squares = 0.0;
    for (i, value) in values.iter().enumerate() {
        let delta = value - mean;
        mean += delta / (i + 1) as f64;
        squares += delta * (value - mean);
    }
    squares / values.len() as f64
}

/// Returns the quantile with linear interpolation; NaN sorts first.
pub(crate) fn quantile(q: f64, values: &[f64]) -> f64 {
    if values.is_empty() || q.is_nan() {
        return f64::NAN;
    }
    if q < 0.0 {
        return f64::NEG_INFINITY;
    }
    if q > 1.0 {
        return f64::INFINITY;
    }
    let mut sorted = values.to_vec();
    sorted.sort_by(|a, b| {
        b.is_nan()
            .cmp(&a.is_nan())
            .then(a.partial_cmp(b).unwrap_or(std::cmp::Ordering::Equal))
    });
    let last = sorted.len() - 1;
    let rank = q * last as f64;
    let lower = (rank.floor() as usize).min(last);
    let upper = (lower + 1).min(last);
    let weight = rank - rank.floor();
    sorted[lower] * (1.0 - weight) + sorted[upper] * weight
}
