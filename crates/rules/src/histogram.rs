//! Quantiles of classic histograms.

use std::collections::BTreeMap;

use crate::eval::Element;
use crate::labels::Labels;
use crate::time::EventTime;

/// Relative difference below which counts are considered equal, as in Prometheus.
const TOLERANCE: f64 = 1e-12;

/// Upper bound and cumulative count of a bucket.
type Bucket = (f64, f64);

/// Returns the quantile of each histogram among the bucket series.
pub(crate) fn histogram_quantile(q: f64, elements: Vec<Element>, at: EventTime) -> Vec<Element> {
    let mut histograms: BTreeMap<Labels, Vec<Bucket>> = BTreeMap::new();
    for element in elements {
        let Ok(upper) = element.labels.get("le").parse::<f64>() else {
            continue;
        };
        let mut key = element.labels.without_name();
        key.remove("le");
        histograms
            .entry(key)
            .or_default()
            .push((upper, element.value));
    }
    let to_quantile = |(labels, buckets)| Element {
        labels,
        value: quantile(q, buckets),
        at,
    };
    histograms.into_iter().map(to_quantile).collect()
}

fn quantile(q: f64, mut buckets: Vec<Bucket>) -> f64 {
    if q.is_nan() {
        return f64::NAN;
    }
    if q < 0.0 {
        return f64::NEG_INFINITY;
    }
    if q > 1.0 {
        return f64::INFINITY;
    }
    buckets.sort_by(|a, b| a.0.total_cmp(&b.0));
    if buckets.last().is_none_or(|last| last.0 != f64::INFINITY) {
        return f64::NAN;
    }
    // Counts of buckets with equal bounds, such as le="1" and le="1.0", are added up.
    buckets.dedup_by(|next, kept| {
        let equal = next.0 == kept.0;
        if equal {
            kept.1 += next.1;
        }
        equal
    });
    make_monotonic(&mut buckets);
    let last = buckets.len() - 1;
    let observations = buckets[last].1;
    if buckets.len() < 2 || observations == 0.0 || observations.is_nan() {
        return f64::NAN;
    }
    let mut rank = q * observations;
    let found = buckets[..last].partition_point(|bucket| bucket.1 < rank);
    let (upper, mut count) = buckets[found];
    if found == last {
        return buckets[last - 1].0;
    }
    if found == 0 && upper <= 0.0 {
        return upper;
    }
    let mut start = 0.0;
    if found > 0 {
        start = buckets[found - 1].0;
        count -= buckets[found - 1].1;
        rank -= buckets[found - 1].1;
    }
    start + (upper - start) * (rank / count)
}

fn make_monotonic(buckets: &mut [Bucket]) {
    let mut before = buckets[0].1;
    for (_, count) in &mut buckets[1..] {
        if *count < before || almost_equal(before, *count) {
            *count = before;
        } else {
            before = *count;
        }
    }
}

fn almost_equal(a: f64, b: f64) -> bool {
    if a == b {
        return true;
    }
    let (sum, difference) = (a.abs() + b.abs(), (a - b).abs());
    if a == 0.0 || b == 0.0 || sum < f64::MIN_POSITIVE {
        return difference < TOLERANCE * f64::MIN_POSITIVE;
    }
    difference / sum.min(f64::MAX) < TOLERANCE
}
