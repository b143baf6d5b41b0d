//! The bounded window of samples.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound::{Excluded, Included};

use crate::error::PushError;
use crate::expr::{MatchOp, Selector};
use crate::labels::{Labels, METRIC_NAME};
use crate::number::SampleValue;
use crate::time::{EventTime, RuleDuration};

/// How long a sample stays valid for an instant selector.
pub(crate) const LOOKBACK: RuleDuration = RuleDuration::from_secs(300);

/// Whether a sample exactly at the start of a range belongs to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum RangeBoundary {
    /// It doesn't, as published since version 3.
    #[default]
    LeftOpen,
    /// It does, as published before version 3.
    Closed,
}

/// The samples of one series in the order of time.
pub(crate) type Samples = BTreeMap<EventTime, SampleValue>;

/// The samples of all series that rules may still look at.
#[derive(Debug)]
pub(crate) struct Window {
    series: BTreeMap<String, BTreeMap<Labels, Samples>>,
    /// Series written by rules.
    written: BTreeSet<Labels>,
    count: usize,
    limit: usize,
    boundary: RangeBoundary,
}

impl Window {
    /// Makes an empty window for at most `limit` samples.
    pub(crate) fn new(limit: usize, boundary: RangeBoundary) -> Self {
        Self {
            series: BTreeMap::new(),
            written: BTreeSet::new(),
            count: 0,
            limit,
            boundary,
        }
    }

    /// Adds a sample.
    ///
    /// Of different values for the same time the largest in the total order is
    /// kept, so that the order of arrival has no effect.
    pub(crate) fn push(
        &mut self,
        labels: Labels,
        at: EventTime,
        value: SampleValue,
    ) -> Result<(), PushError> {
        let name = labels.get(METRIC_NAME);
        let known = self
            .series
            .get_mut(name)
            .and_then(|by_labels| by_labels.get_mut(&labels));
        if let Some(present) = known.and_then(|samples| samples.get_mut(&at)) {
            if value.get().total_cmp(&present.get()).is_gt() {
                *present = value;
            }
            return Ok(());
        }
        if self.count >= self.limit {
            return Err(PushError::Full { limit: self.limit });
        }
        self.insert(labels, at, value);
        Ok(())
    }

    /// Writes a sample of a rule. It doesn't count against the limit, which
    /// would drop a result; the group limits and the rules bound the number.
    pub(crate) fn write(&mut self, labels: Labels, at: EventTime, value: SampleValue) {
        self.written.insert(labels.clone());
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
            self.count += 1;
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
                    self.count -= 1;
                }
            }
            by_labels.retain(|labels, samples| {
                if samples.is_empty() {
                    self.written.remove(labels);
                }
                !samples.is_empty()
            });
        }
        self.series.retain(|_, by_labels| !by_labels.is_empty());
    }

    /// Returns the series that `selector` accepts, in the order of their labels.
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

    /// Returns the sample that is valid at `at`, if the series hasn't ended.
    pub(crate) fn instant(&self, samples: &Samples, at: EventTime) -> Option<(EventTime, f64)> {
        let (time, value) = self.range(samples, at, LOOKBACK).next_back()?;
        (!value.is_stale()).then_some((*time, value.get()))
    }

    /// Tells whether ranges contain their start.
    pub(crate) fn is_closed(&self) -> bool {
        self.boundary == RangeBoundary::Closed
    }

    /// Returns the samples in the range that ends at `at`, with staleness markers.
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
    pub(crate) fn written(&self) -> impl Iterator<Item = (&Labels, &Samples)> {
        let all = self.series.values().flatten();
        all.filter(|(labels, _)| self.written.contains(labels))
    }
}
