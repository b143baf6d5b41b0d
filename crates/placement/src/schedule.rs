//! Queue order and the scheduling pass over waiting jobs.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use cumindeck_types::TeamId;

use crate::event::Effect;
use crate::job::{Job, JobKey};
use crate::machine::Placement;
use crate::policy::{AgedReservation, PlacementRequest};

/// Attained service (accelerators times running time of earlier attempts) at which a job
/// moves to the next lower priority level of its team, in accelerator milliseconds: one
/// and ten accelerator hours. Within a level jobs keep the order of submission, so that
/// jobs with similar service do not alternate at the head of the team's queue.
const SERVICE_THRESHOLDS_MS: [u64; 2] = [3_600_000, 36_000_000];

/// Smallest number of tasks that did not fit in this pass, by team, size class of a
/// task, whether one rack is required, and whether the job is urgent.
type FailedShapes = BTreeMap<(TeamId, usize, bool, bool), u32>;

impl Placement {
    /// Places the waiting jobs that fit, in queue order, then reserves for aged jobs.
    pub(crate) fn schedule(&mut self, effects: &mut Vec<Effect>) {
        self.clear_invalid_reservation();
        let mut failed = FailedShapes::new();
        for key in self.jobs_with_reserved_capacity() {
            self.try_place(key, None, effects);
        }
        let mut queues: BTreeMap<TeamId, Vec<JobKey>> = BTreeMap::new();
        for key in &self.state.waiting {
            queues
                .entry(self.state.jobs[key].spec.team.clone())
                .or_default()
                .push(*key);
        }
        let mut urgent = BTreeMap::new();
        for (team, queue) in &mut queues {
            queue.sort_by_key(|key| rank(&self.state.jobs[key], *key));
            let first = queue
                .iter()
                .position(|key| !self.state.jobs[key].spec.is_urgent);
            let rest = queue.split_off(first.unwrap_or(queue.len()));
            urgent.insert(team.clone(), VecDeque::from(std::mem::replace(queue, rest)));
        }
        self.place_by_share(urgent, &mut failed, effects);
        let queues = queues
            .into_iter()
            .map(|(team, queue)| (team, queue.into()))
            .collect();
        self.place_by_share(queues, &mut failed, effects);
        self.reserve_for_aged_jobs(effects);
    }

    /// Returns the waiting aged jobs for which a guarantee or accelerators are reserved.
    fn jobs_with_reserved_capacity(&self) -> Vec<JobKey> {
        let guarantees = self
            .state
            .teams
            .values()
            .filter_map(|team| team.guarantee_reserved_for);
        let keys: BTreeSet<_> = guarantees.chain(self.state.reservation).collect();
        keys.into_iter()
            .filter(|key| self.state.waiting.contains(key))
            .collect()
    }

    /// Places the next job of the team with the smallest share until all were attempted.
    fn place_by_share(
        &mut self,
        mut queues: BTreeMap<TeamId, VecDeque<JobKey>>,
        failed: &mut FailedShapes,
        effects: &mut Vec<Effect>,
    ) {
        let share = |placement: &Self, team: &TeamId| {
            let state = &placement.state;
            state
                .teams
                .get(team)
                .map_or(u64::MAX, |team| state.share_permille(team))
        };
        let mut order: BTreeSet<_> = queues
            .keys()
            .map(|team| (share(self, team), team.clone()))
            .collect();
        while let Some((_, team)) = order.pop_first() {
            let Some(key) = queues.get_mut(&team).and_then(VecDeque::pop_front) else {
                continue;
            };
            self.try_place(key, Some(failed), effects);
            order.insert((share(self, &team), team));
        }
    }

    /// Places a job if it fits.
    fn try_place(
        &mut self,
        key: JobKey,
        failed: Option<&mut FailedShapes>,
        effects: &mut Vec<Effect>,
    ) {
        let Some(job) = self.state.jobs.get(&key) else {
            return;
        };
        let gang = job.spec.gang;
        let shape = (
            job.spec.team.clone(),
            job.class,
            gang.is_same_rack,
            job.spec.is_urgent,
        );
        // A gang of the same shape with no more tasks did not fit earlier in this pass.
        // Accelerators that were freed since are considered in the next pass.
        let cannot_fit = failed
            .as_ref()
            .is_some_and(|failed| failed.get(&shape).is_some_and(|tasks| *tasks <= gang.tasks));
        if cannot_fit {
            return;
        }
        let is_urgent = job.spec.is_urgent;
        let mut plan = self.policy.plan(PlacementRequest { key, job }, &self.state);
        if plan.is_none() && is_urgent {
            plan = self.preempt_team_gangs(key, effects);
        }
        if let Some(plan) = plan {
            if self.state.reservation == Some(key) {
                self.clear_reservation();
            }
            self.apply_plan(key, plan, effects);
        } else if let Some(failed) = failed {
            failed.insert(shape, gang.tasks);
        }
    }

    /// Reserves capacity for jobs that have waited too long, in the order of submission.
    fn reserve_for_aged_jobs(&mut self, effects: &mut Vec<Effect>) {
        let (now, aging) = (self.state.now, self.settings.aging);
        let is_aged = |key: &JobKey| now.since(self.state.jobs[key].waiting_since) >= aging;
        let aged: Vec<_> = self.state.waiting.iter().copied().filter(is_aged).collect();
        for key in aged {
            let job = &self.state.jobs[&key];
            let team = self.state.teams.get(&job.spec.team);
            let has_guarantee_reservation =
                team.is_some_and(|team| team.guarantee_reserved_for == Some(key));
            if has_guarantee_reservation || self.state.reservation == Some(key) {
                continue;
            }
            match self
                .policy
                .reserve_for_aged(PlacementRequest { key, job }, &self.state)
            {
                AgedReservation::Nothing => {}
                AgedReservation::Guarantee => {
                    let id = job.spec.team.clone();
                    self.state
                        .teams
                        .entry(id)
                        .or_default()
                        .guarantee_reserved_for = Some(key);
                }
                AgedReservation::Places(places) => {
                    self.state.reservation = Some(key);
                    self.reserved = places.0;
                    for place in &self.reserved {
                        self.state
                            .cluster
                            .update(place.worker, |w| w.reserved = w.reserved.union(place.set));
                    }
                    self.try_place(key, None, effects);
                }
            }
        }
    }

    /// Drops the reservation of accelerators if its job no longer waits, or if one of the
    /// accelerators became unusable or was allocated to guaranteed work.
    fn clear_invalid_reservation(&mut self) {
        let Some(key) = self.state.reservation else {
            return;
        };
        let is_lost = self.reserved.iter().any(|place| {
            let worker = &self.state.cluster.workers[place.worker];
            !worker.usable().contains(place.set) || worker.guaranteed.overlaps(place.set)
        });
        if is_lost || !self.state.waiting.contains(&key) {
            self.clear_reservation();
        }
    }

    fn clear_reservation(&mut self) {
        self.state.reservation = None;
        for place in std::mem::take(&mut self.reserved) {
            self.state
                .cluster
                .update(place.worker, |w| w.reserved = w.reserved.minus(place.set));
        }
    }
}

/// Returns the sort key of a job in its team's queue: urgent jobs first, then by level.
fn rank(job: &Job, key: JobKey) -> (bool, usize, JobKey) {
    let level = SERVICE_THRESHOLDS_MS
        .iter()
        .filter(|threshold| job.attained_service >= **threshold)
        .count();
    (!job.spec.is_urgent, level, key)
}
