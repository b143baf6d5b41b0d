//! Search for workers with enough free capacity.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cumindeck_types::AgentId;

use crate::exchange::WorkerIncarnation;
use crate::model::{Resources, StepSpec};

/// A worker that may get tasks.
#[derive(Debug, Clone)]
pub(super) struct Candidate {
    pub agent: AgentId,
    pub incarnation: WorkerIncarnation,
    /// Resources that are free now.
    pub free: Resources,
    /// Resources that are free once the runs that are being stopped have ended.
    pub free_later: Resources,
    /// Resources of runs that will end by themselves, with their remaining time.
    pub ending: Vec<(Duration, Resources)>,
    /// Number of different jobs that failed there recently.
    pub failed_jobs: usize,
    /// Whether a task with a response time target runs there.
    pub has_response_target: bool,
}

impl Candidate {
    fn free_within(&self, limit: Duration) -> Resources {
        let mut resources = self.free_later;
        let ending = self
            .ending
            .iter()
            .filter(|(remaining, _)| *remaining <= limit);
        ending.for_each(|(_, ending)| resources.add(ending));
        resources
    }
}

/// When resources must be free to count.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Horizon {
    Now,
    /// Once the runs that are being stopped have ended.
    AfterStops,
    /// After this time, when the stops are over and more runs have ended by themselves.
    Within(Duration),
}

/// Tasks of a step that need workers.
#[derive(Debug, Clone)]
pub(super) struct Demand<'a> {
    pub step: &'a StepSpec,
    /// Service whose workers may run the tasks.
    pub service: &'a str,
    pub count: usize,
    /// Number of tasks of the step that are placed, by agent.
    pub placed: BTreeMap<AgentId, u32>,
    /// Whether workers on which the tasks failed before are excluded.
    pub avoids_failed: bool,
    /// Workers on which the tasks failed before.
    pub failed_on: BTreeSet<AgentId>,
    /// Agents whose workers have a ticket of the adviser; `None` if none is needed.
    pub agents_with_tickets: Option<BTreeSet<AgentId>>,
}

impl Demand<'_> {
    /// Returns whether a worker has the right service and label.
    pub fn is_compatible(&self, candidate: &Candidate) -> bool {
        let has_label = |label: &String| candidate.incarnation.labels.contains(label);
        candidate.incarnation.service == self.service
            && self.step.label.as_ref().is_none_or(has_label)
    }

    fn is_eligible(&self, candidate: &Candidate) -> bool {
        let has_ticket = |agents: &BTreeSet<AgentId>| agents.contains(&candidate.agent);
        if !self.agents_with_tickets.as_ref().is_none_or(has_ticket) {
            return false;
        }
        if self.avoids_failed && self.failed_on.contains(&candidate.agent) {
            return false;
        }
        self.is_compatible(candidate)
    }

    /// Returns the racks to which the tasks should be confined, best first; `None`
    /// if any rack will do.
    pub fn racks(&self, candidates: &[Candidate]) -> Option<Vec<String>> {
        if let Some(rack) = &self.step.data_rack {
            return Some(vec![rack.clone()]);
        }
        if !self.step.same_rack || self.count < 2 {
            return None;
        }
        let mut free: BTreeMap<&str, u32> = BTreeMap::new();
        for candidate in candidates
            .iter()
            .filter(|candidate| self.is_eligible(candidate))
        {
            *free.entry(candidate.incarnation.rack()).or_default() += candidate.free.accelerators;
        }
        let mut racks: Vec<_> = free.into_iter().collect();
        // Filling the fullest rack first keeps the others free for large gangs.
        racks.sort_by_key(|&(_, accelerators)| accelerators);
        Some(racks.into_iter().map(|(rack, _)| rack.to_owned()).collect())
    }

    /// Returns whether a rack could hold all tasks if nothing else ran there.
    pub fn fits_empty(&self, candidates: &[Candidate], rack: &str) -> bool {
        let mut empty: Vec<Candidate> = candidates.to_vec();
        for candidate in &mut empty {
            candidate.free = candidate.incarnation.capacity;
        }
        self.fit(&empty, Horizon::Now, Some(rack), self.count)
            .is_some()
    }

    /// Finds workers for `count` tasks; `None` unless all of them fit.
    pub fn fit(
        &self,
        candidates: &[Candidate],
        horizon: Horizon,
        rack: Option<&str>,
        count: usize,
    ) -> Option<Vec<usize>> {
        let resources = self.step.counted_resources();
        let mut remaining: Vec<Resources> = candidates
            .iter()
            .map(|candidate| match horizon {
                Horizon::Now => candidate.free,
                Horizon::AfterStops => candidate.free_later,
                Horizon::Within(limit) => candidate.free_within(limit),
            })
            .collect();
        let mut placed = self.placed.clone();
        let mut chosen = Vec::with_capacity(count);
        for _ in 0..count {
            let best = (0..candidates.len())
                .filter(|&at| {
                    let candidate = &candidates[at];
                    let used = placed.get(&candidate.agent).copied().unwrap_or(0);
                    self.is_eligible(candidate)
                        && rack.is_none_or(|rack| candidate.incarnation.rack() == rack)
                        && self.step.max_per_worker.is_none_or(|max| used < max)
                        && remaining[at].can_fit(&resources)
                })
                .min_by_key(|&at| self.cost(&candidates[at], &remaining[at]))?;
            remaining[best].subtract(&resources);
            *placed.entry(candidates[best].agent.clone()).or_default() += 1;
            chosen.push(best);
        }
        Some(chosen)
    }

    /// Returns the cost of choosing a worker; the lowest is best.
    fn cost(
        &self,
        candidate: &Candidate,
        remaining: &Resources,
    ) -> (bool, usize, bool, u32, u64, Reverse<u64>) {
        let resources = self.step.counted_resources();
        (
            self.failed_on.contains(&candidate.agent),
            candidate.failed_jobs,
            self.step.is_best_effort && candidate.has_response_target,
            remaining.accelerators - resources.accelerators,
            remaining.cpu_millis - resources.cpu_millis,
            Reverse(remaining.memory_mib),
        )
    }
}

/// Subtracts the resources of placed tasks from their workers.
pub(super) fn allocate(candidates: &mut [Candidate], chosen: &[usize], resources: &Resources) {
    for &at in chosen {
        candidates[at].free.subtract(resources);
        candidates[at].free_later.subtract(resources);
    }
}
