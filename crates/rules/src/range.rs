//! Functions of range vectors.

use std::collections::BTreeMap;

use crate::aggregate::{Sum, average, max, min, quantile, sum};
use crate::error::EvalError;
use crate::eval::{Context, Element};
use crate::expr::{Selector, Source, Subquery};
use crate::labels::Labels;
use crate::time::{EventTime, RuleDuration};

/// A function that reduces the samples of a range to one value.
#[derive(Debug, Clone)]
pub(crate) enum RangeFunction {
    Rate,
    Increase,
    Delta,
    Irate,
    Idelta,
    Deriv,
    PredictLinear,
    Changes,
    Resets,
    Avg,
    Min,
    Max,
    Sum,
    Count,
    Last,
    Present,
    Quantile,
    Stddev,
    Stdvar,
    /// The labels of the result are taken from the matchers.
    Absent(Labels),
}

/// Time and value of a sample.
type Point = (EventTime, f64);

/// Evaluates a function over the range of each series.
pub(crate) fn range_function(
    cx: Context<'_>,
    function: &RangeFunction,
    source: &Source,
    range: RuleDuration,
    param: f64,
) -> Result<Vec<Element>, EvalError> {
    let offset = match source {
        Source::Selector(selector) => selector.offset,
        Source::Subquery(subquery) => subquery.offset,
    };
    let end = cx.at.minus(offset);
    let series = match source {
        Source::Selector(selector) => select_ranges(cx, selector, end, range),
        Source::Subquery(subquery) => evaluate_subquery(cx, subquery, end, range)?,
    };
    if let RangeFunction::Absent(labels) = function {
        let absent = series.is_empty().then(|| Element {
            labels: labels.clone(),
            value: 1.0,
            at: cx.at,
        });
        return Ok(absent.into_iter().collect());
    }
    let mut out = Vec::new();
    for (labels, points) in series {
        let Some(value) = reduce(function, &points, cx.at, end, range, param) else {
            continue;
        };
        let labels = match function {
            RangeFunction::Last => labels,
            _ => labels.without_name(),
        };
        out.push(Element {
            labels,
            value,
            at: cx.at,
        });
    }
    Ok(out)
}

/// Returns the samples of each series that has any in the range.
fn select_ranges(
    cx: Context<'_>,
    selector: &Selector,
    end: EventTime,
    range: RuleDuration,
) -> BTreeMap<Labels, Vec<Point>> {
    let points = |(labels, samples)| {
        let live = cx
            .window
            .range(samples, end, range)
            .filter(|(_, value)| !value.is_stale());
        let points: Vec<Point> = live.map(|(at, value)| (*at, value.get())).collect();
        (!points.is_empty()).then(|| (Labels::clone(labels), points))
    };
    cx.window.select(selector).filter_map(points).collect()
}

/// Evaluates a subquery at the multiples of its step in the range.
fn evaluate_subquery(
    cx: Context<'_>,
    subquery: &Subquery,
    end: EventTime,
    range: RuleDuration,
) -> Result<BTreeMap<Labels, Vec<Point>>, EvalError> {
    let start = end.minus(range).as_millis();
    let step = subquery.step.as_millis();
    let mut at = start.div_euclid(step) * step;
    if at < start || (at == start && !cx.window.includes_range_start()) {
        at += step;
    }
    let mut out: BTreeMap<Labels, Vec<Point>> = BTreeMap::new();
    while at <= end.as_millis() {
        let time = EventTime::from_millis(at);
        let inner = Context { at: time, ..cx };
        for element in inner.eval(&subquery.expr)?.vector(time) {
            out.entry(element.labels)
                .or_default()
                .push((time, element.value));
        }
        at += step;
    }
    Ok(out)
}

fn reduce(
    function: &RangeFunction,
    points: &[Point],
    at: EventTime,
    end: EventTime,
    range: RuleDuration,
    param: f64,
) -> Option<f64> {
    let values: Vec<f64> = points.iter().map(|(_, value)| *value).collect();
    let pairs = || values.iter().zip(&values[1..]);
    match function {
        RangeFunction::Rate => extrapolated(points, end, range, ExtrapolatedKind::Rate),
        RangeFunction::Increase => extrapolated(points, end, range, ExtrapolatedKind::Increase),
        RangeFunction::Delta => extrapolated(points, end, range, ExtrapolatedKind::Delta),
        RangeFunction::Irate => last_difference(points, true),
        RangeFunction::Idelta => last_difference(points, false),
        RangeFunction::Deriv => regression(points, points[0].0).map(|(slope, _)| slope),
        RangeFunction::PredictLinear => {
            regression(points, at).map(|(slope, intercept)| slope * param + intercept)
        }
        RangeFunction::Changes => Some(
            pairs()
                .filter(|(a, b)| a != b && !(a.is_nan() && b.is_nan()))
                .count() as f64,
        ),
        RangeFunction::Resets => Some(pairs().filter(|(a, b)| b < a).count() as f64),
        RangeFunction::Avg => Some(average(&values)),
        RangeFunction::Min => Some(min(&values)),
        RangeFunction::Max => Some(max(&values)),
        RangeFunction::Sum => Some(sum(&values)),
        RangeFunction::Count => Some(values.len() as f64),
        RangeFunction::Last => values.last().copied(),
        RangeFunction::Present | RangeFunction::Absent(_) => Some(1.0),
        RangeFunction::Quantile => Some(quantile(param, &values)),
        RangeFunction::Stddev => Some(variance(&values).sqrt()),
        RangeFunction::Stdvar => Some(variance(&values)),
    }
}

/// Kind of an extrapolated difference.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ExtrapolatedKind {
    Rate,
    Increase,
    Delta,
}

/// Returns the difference over the range, extrapolated to both ends of the range.
/// If the first or last sample is further from its end of the range than 1.1 times the
/// average distance between samples, the extrapolation at that end covers only half that
/// distance.
fn extrapolated(
    points: &[Point],
    end: EventTime,
    range: RuleDuration,
    kind: ExtrapolatedKind,
) -> Option<f64> {
    let is_counter = kind != ExtrapolatedKind::Delta;
    let (&(first_at, first), &(last_at, last)) = (points.first()?, points.last()?);
    if points.len() < 2 {
        return None;
    }
    let mut result = last - first;
    if is_counter {
        let drops = points.iter().zip(&points[1..]).filter(|(a, b)| b.1 < a.1);
        drops.for_each(|(before, _)| result += before.1);
    }
    let mut to_start = first_at.since(end.minus(range)).as_secs_f64();
    let mut to_end = end.since(last_at).as_secs_f64();
    let sampled = last_at.since(first_at).as_secs_f64();
    let average_gap = sampled / (points.len() - 1) as f64;
    let threshold = average_gap * 1.1;
    if to_start >= threshold {
        to_start = average_gap / 2.0;
    }
    if is_counter {
        // A counter can't have been below zero, which bounds the extrapolation to the
        // start.
        let to_zero = if result > 0.0 && first >= 0.0 {
            sampled * (first / result)
        } else {
            to_start
        };
        to_start = if to_zero < to_start {
            to_zero
        } else {
            to_start
        };
    }
    if to_end >= threshold {
        to_end = average_gap / 2.0;
    }
    let mut factor = (sampled + to_start + to_end) / sampled;
    if kind == ExtrapolatedKind::Rate {
        // Prometheus divides before it multiplies; the same order gives the same rounding.
        factor /= range.as_secs_f64();
    }
    Some(result * factor)
}

/// Returns the difference of the last two samples, or with `is_rate` their increase per
/// second, where a drop counts as a reset of the counter to zero.
fn last_difference(points: &[Point], is_rate: bool) -> Option<f64> {
    let [.., (before_at, before), (last_at, last)] = points else {
        return None;
    };
    if !is_rate {
        return Some(last - before);
    }
    let increase = if last < before { *last } else { last - before };
    Some(increase / last_at.since(*before_at).as_secs_f64())
}

/// Returns slope and intercept of the least squares line at `origin`.
fn regression(points: &[Point], origin: EventTime) -> Option<(f64, f64)> {
    if points.len() < 2 {
        return None;
    }
    let first = points[0].1;
    if points.iter().all(|(_, y)| *y == first) {
        return Some(if first.is_infinite() {
            (f64::NAN, f64::NAN)
        } else {
            (0.0, first)
        });
    }
    let (mut sum_x, mut sum_y, mut sum_xy, mut sum_xx) = (
        Sum::default(),
        Sum::default(),
        Sum::default(),
        Sum::default(),
    );
    for (at, y) in points {
        let x = at.since(origin).as_secs_f64();
        sum_x.add(x);
        sum_y.add(*y);
        sum_xy.add(x * y);
        sum_xx.add(x * x);
    }
    let n = points.len() as f64;
    let (x, y) = (sum_x.get(), sum_y.get());
    let slope = (sum_xy.get() - x * y / n) / (sum_xx.get() - x * x / n);
    Some((slope, y / n - slope * x / n))
}

/// Returns the population variance by Welford's method with compensated sums.
fn variance(values: &[f64]) -> f64 {
    let mut mean = Sum::default();
    let mut squares = Sum::default();
    for (i, value) in values.iter().enumerate() {
        let delta = value - mean.get();
        mean.add(delta / (i + 1) as f64);
        squares.add(delta * (value - mean.get()));
    }
    squares.get() / values.len() as f64
}
