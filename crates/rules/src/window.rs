//! Bounded in-memory window of samples.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound::{Excluded, Included};

use crate::error::PushError;
use crate::expr::{MatchOp, Selector};
use crate::labels::{Labels, METRIC_NAME};
use crate::number::SampleValue;
use crate::time::{EventTime, RuleDuration};

/// How long a sample stays valid for an instant selector unless a newer one follows.
pub(crate) const LOOKBACK_DELTA: RuleDuration = RuleDuration::from_secs(300);

/// Whether a range includes a sample exactly at its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum RangeBoundary {
    /// It doesn't, as in Prometheus since version 3.
    #[default]
    LeftOpen,
    /// It does, as in Prometheus before version 3.
    Closed,
}

/// Samples of one series in time order.
pub(crate) type Samples = BTreeMap<EventTime, SampleValue>;

/// Samples of all series that rules may still read.
#[derive(Debug)]
pub(crate) struct Window {
    /// Series by metric name, then by label set.
    series: BTreeMap<String, BTreeMap<Labels, Samples>>,
    /// Labels of the series written by rules.
    output_labels: BTreeSet<Labels>,
    sample_count: usize,
    max_samples: usize,
    boundary: RangeBoundary,
}

impl Window {
    /// Creates an empty window that rejects pushed samples once it holds `max_samples`
    /// samples.
    pub(crate) fn new(max_samples: usize, boundary: RangeBoundary) -> Self {
        Self {
            series: BTreeMap::new(),
            output_labels: BTreeSet::new(),
            sample_count: 0,
            max_samples,
            boundary,
        }
    }

    /// Adds a sample.
    ///
    /// If samples of the same series and time have different values, the largest
    /// in the total order is kept, so that the order of arrival has no effect.
    pub(crate) fn push(
        &mut self,
        labels: Labels,
        at: EventTime,
        value: SampleValue,
    ) -> Result<(), PushError> {
        let name = labels.get(METRIC_NAME);
        let existing = self
            .series
            .get_mut(name)
            .and_then(|by_labels| by_labels.get_mut(&labels));
        if let Some(present) = existing.and_then(|samples| samples.get_mut(&at)) {
            if value.get().total_cmp(&present.get()).is_gt() {
                *present = value;
            }
            return Ok(());
        }
        if self.sample_count >= self.max_samples {
            return Err(PushError::Full {
                limit: self.max_samples,
            });
        }
        self.insert(labels, at, value);
        Ok(())
    }

    /// Writes a sample of an output series, also beyond the limit: rejecting it
    /// would drop a result, and the rules and the limits of their groups bound
    /// the number of output samples.
    pub(crate) fn write_output(&mut self, labels: Labels, at: EventTime, value: SampleValue) {
        self.output_labels.insert(labels.clone());
        self.insert(labels, at, value);
    }

    fn insert(&mut self, labels: Labels, at: EventTime, value: SampleValue) {
        let by_labels = self
            .series
            .entry(labels.get(METRIC_NAME).to_owned())
            .or_default();
        if by_labels
            .entry(labels)
            .or_default()
            .insert(at, value)
            .is_none()
        {
            self.sample_count += 1;
        }
    }

    /// Removes samples older than `oldest`.
    pub(crate) fn evict(&mut self, oldest: EventTime) {
        for by_labels in self.series.values_mut() {
            for samples in by_labels.values_mut() {
                while let Some(first) = samples.first_entry()
                    && *first.key() < oldest
                {
                    first.remove();
                    self.sample_count -= 1;
                }
            }
            by_labels.retain(|labels, samples| {
                if samples.is_empty() {
                    self.output_labels.remove(labels);
                }
                !samples.is_empty()
            });
        }
        self.series.retain(|_, by_labels| !by_labels.is_empty());
    }

    /// Returns the series that `selector` accepts, in label order.
    pub(crate) fn select<'a>(
        &'a self,
        selector: &'a Selector,
    ) -> impl Iterator<Item = (&'a Labels, &'a Samples)> {
        let name = selector.matchers.iter().find_map(|m| match &m.op {
            MatchOp::Equal(value) if m.name == METRIC_NAME => Some(value.as_str()),
            _ => None,
        });
        let range = match name {
            Some(name) => self
                .series
                .range::<str, _>((Included(name), Included(name))),
            None => self.series.range::<str, _>(..),
        };
        let all = range.flat_map(|(_, by_labels)| by_labels);
        all.filter(|(labels, _)| selector.accepts(labels))
    }

    /// Returns the latest sample that is valid at `at`, or `None` if the series
    /// has none or has ended.
    pub(crate) fn latest_at(&self, samples: &Samples, at: EventTime) -> Option<(EventTime, f64)> {
        let (time, value) = self.range(samples, at, LOOKBACK_DELTA).next_back()?;
        (!value.is_stale()).then_some((*time, value.get()))
    }

    /// Returns whether ranges include their start.
    pub(crate) fn includes_range_start(&self) -> bool {
        self.boundary == RangeBoundary::Closed
    }

    /// Returns the samples of the range that ends at `at`, including staleness markers.
    pub(crate) fn range<'a>(
        &self,
        samples: &'a Samples,
        at: EventTime,
        range: RuleDuration,
    ) -> impl DoubleEndedIterator<Item = (&'a EventTime, &'a SampleValue)> + use<'a> {
        let start = at.minus(range);
        let start = match self.boundary {
            RangeBoundary::LeftOpen if range != RuleDuration::ZERO => Excluded(start),
            _ => Included(start),
        };
        samples.range((start, Included(at)))
    }

    /// Returns the series written by rules.
    pub(crate) fn output_series(&self) -> impl Iterator<Item = (&Labels, &Samples)> {
        let all = self.series.values().flatten();
        all.filter(|(labels, _)| self.output_labels.contains(labels))
    }
}
