//! Search for workers with enough free capacity.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cumindeck_types::{AgentId, TeamId};

use super::capacity::{Candidate, Capacity};
use super::speeds::{SpeedClass, SpeedPreference, kind_of};
use crate::StepId;
use crate::model::{Resources, StepSpec};

/// Cost of a worker for a task; the lowest is best.
type Cost = (bool, usize, bool, u8, bool, u32, u64, Reverse<u64>);

/// Tasks of a step that need workers.
#[derive(Debug, Clone)]
pub(super) struct Demand<'a> {
    pub id: StepId,
    pub step: &'a StepSpec,
    /// Service whose workers may run the tasks.
    pub service: &'a str,
    pub count: usize,
    /// Number of tasks of the step that are placed, by agent, if that is limited.
    pub placed: BTreeMap<AgentId, u32>,
    /// Whether workers on which the tasks failed before are excluded.
    pub avoids_failed: bool,
    /// Workers on which the tasks failed before.
    pub failed_on: BTreeSet<AgentId>,
    /// Agents whose workers have a ticket of the adviser; `None` if none is needed.
    pub agents_with_tickets: Option<BTreeSet<AgentId>>,
    /// Whether workers that are kept for urgent work are excluded.
    pub leaves_headroom: bool,
    /// Whether workers where a guarantee of another team was used a moment ago are
    /// excluded: only a guarantee could have the tasks stopped again.
    pub leaves_lent_to_others: bool,
    /// Team of the job.
    pub team: Option<TeamId>,
    /// Workers that it prefers.
    pub speed_preference: SpeedPreference,
    /// Class of the only workers that it may use; `None` if it may use all.
    pub required_class: Option<SpeedClass>,
    /// Time by which a task that starts now has ended in all likelihood; `None` if it does
    /// not end by itself.
    pub ends_within: Option<Duration>,
}

impl Demand<'_> {
    /// Returns the speed class of a worker for this work.
    fn class(&self, candidate: &Candidate) -> SpeedClass {
        candidate.classes[kind_of(self.step).index()]
    }

    /// Returns whether a worker has the right service and label.
    pub fn is_compatible(&self, candidate: &Candidate) -> bool {
        let has_label = |label: &String| candidate.incarnation.labels.contains(label);
        candidate.incarnation.service == self.service
            && self.step.label.as_ref().is_none_or(has_label)
    }

    pub fn is_eligible(&self, candidate: &Candidate) -> bool {
        let has_ticket = |agents: &BTreeSet<AgentId>| agents.contains(&candidate.agent);
        if !self.agents_with_tickets.as_ref().is_none_or(has_ticket) {
            return false;
        }
        // Only a probe is placed there, also of a step that needs tickets.
        if candidate.is_doubted {
            return false;
        }
        let is_required = |class: SpeedClass| class == self.class(candidate);
        if !self.required_class.is_none_or(is_required) {
            return false;
        }
        if self.leaves_headroom && candidate.is_kept {
            return false;
        }
        let delays_reservation = |reserved_in: Duration| {
            self.ends_within
                .is_none_or(|ends_within| ends_within > reserved_in)
        };
        if candidate.reserved_in.is_some_and(delays_reservation) {
            return false;
        }
        let is_other_team = |team: &TeamId| self.team.as_ref() != Some(team);
        if self.leaves_lent_to_others && candidate.lent_to.as_ref().is_some_and(is_other_team) {
            return false;
        }
        if candidate
            .held_for
            .as_ref()
            .is_some_and(|step| *step != self.id)
        {
            return false;
        }
        if self.avoids_failed && self.failed_on.contains(&candidate.agent) {
            return false;
        }
        self.is_compatible(candidate)
    }

    /// Returns the racks to which the tasks should be confined, best first; `None`
    /// if any rack will do.
    pub fn racks(&self, capacity: &Capacity) -> Option<Vec<usize>> {
        if let Some(rack) = &self.step.data_rack {
            return Some(capacity.rack(rack).into_iter().collect());
        }
        if !self.step.same_rack || self.count < 2 {
            return None;
        }
        let free_accelerators = |rack: usize| -> u32 {
            let workers = capacity.racks[rack].workers.iter();
            let eligible = workers.filter(|at| self.is_eligible(&capacity.workers[**at]));
            eligible.map(|at| capacity.free[*at].accelerators).sum()
        };
        let mut racks: Vec<usize> = (0..capacity.racks.len()).collect();
        // Filling the fullest rack first keeps the others free for large gangs.
        racks.sort_by_cached_key(|rack| free_accelerators(*rack));
        Some(racks)
    }

    /// Finds workers for `count` tasks; `None` unless all of them fit.
    pub fn fit(
        &self,
        capacity: &Capacity,
        free: &[Resources],
        rack: Option<usize>,
        count: usize,
    ) -> Option<Vec<usize>> {
        let chosen = self.fit_some(capacity, free, rack, count);
        (chosen.len() == count).then_some(chosen)
    }

    /// Finds workers for up to `count` tasks, given the free resources of each worker.
    pub fn fit_some(
        &self,
        capacity: &Capacity,
        free: &[Resources],
        rack: Option<usize>,
        count: usize,
    ) -> Vec<usize> {
        let resources = self.step.counted_resources();
        let positions = capacity.positions(rack).iter().copied();
        let with_room = positions
            .filter(|&at| self.is_eligible(&capacity.workers[at]) && free[at].can_fit(&resources));
        let mut ranked: Vec<(Cost, usize, usize)> = with_room
            .map(|at| {
                let cost = self.cost(&capacity.workers[at], &free[at]);
                (cost, at, self.max_tasks(capacity, at, &free[at], count))
            })
            .collect();
        let mut chosen = Vec::with_capacity(count);
        if resources.accelerators == 0 && resources.cpu_millis == 0 {
            self.spread(capacity, free, &mut ranked, count, &mut chosen);
            return chosen;
        }
        // Each task makes its worker cheaper for the next one, so that the cheapest
        // worker is filled before the next one gets any.
        ranked.sort_unstable();
        for (_, at, max) in ranked {
            let tasks = max.min(count - chosen.len());
            chosen.extend(std::iter::repeat_n(at, tasks));
            if chosen.len() == count {
                break;
            }
        }
        chosen
    }

    /// Chooses workers for tasks that only need memory: each task makes its worker
    /// more expensive for the next one.
    fn spread(
        &self,
        capacity: &Capacity,
        free: &[Resources],
        ranked: &mut [(Cost, usize, usize)],
        count: usize,
        chosen: &mut Vec<usize>,
    ) {
        let resources = self.step.counted_resources();
        let mut remaining = free.to_vec();
        while chosen.len() < count {
            let with_room = ranked.iter_mut().filter(|(.., max)| *max > 0);
            let Some((cost, at, max)) = with_room.min_by_key(|(cost, at, _)| (*cost, *at)) else {
                return;
            };
            remaining[*at].subtract(&resources);
            *cost = self.cost(&capacity.workers[*at], &remaining[*at]);
            *max -= 1;
            chosen.push(*at);
        }
    }

    /// Returns how many of `count` tasks a worker can hold.
    fn max_tasks(&self, capacity: &Capacity, at: usize, free: &Resources, count: usize) -> usize {
        let room = free.tasks_that_fit(&self.step.counted_resources(), count);
        let Some(max) = self.step.max_per_worker else {
            return room;
        };
        let used = self.placed.get(&capacity.workers[at].agent);
        room.min(max.saturating_sub(used.copied().unwrap_or(0)) as usize)
    }

    /// Returns the cost of choosing a worker.
    pub fn cost(&self, candidate: &Candidate, free: &Resources) -> Cost {
        let resources = self.step.counted_resources();
        (
            self.failed_on.contains(&candidate.agent),
            candidate.failed_jobs,
            candidate.is_stalling,
            self.speed_preference.cost(self.class(candidate)),
            self.step.is_best_effort && candidate.has_response_target,
            free.accelerators.saturating_sub(resources.accelerators),
            free.cpu_millis.saturating_sub(resources.cpu_millis),
            Reverse(free.memory_mib),
        )
    }
}
