//! Queue order and the scheduling pass over waiting jobs.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use cumindeck_types::TeamId;

use crate::event::Effect;
use crate::job::{Job, JobKey};
use crate::machine::Placement;
use crate::policy::{Aging, Request};

/// Attained service at which a job moves to the next queue of its team, in accelerator
/// milliseconds: one and ten accelerator hours. Within a queue jobs keep the order of
/// submission, so that jobs with similar service do not alternate.
const SERVICE_THRESHOLDS_MS: [u64; 2] = [3_600_000, 36_000_000];

/// Shapes that did not fit in this pass, with the smallest number of tasks tried.
type FailedShapes = BTreeMap<(TeamId, usize, bool, bool), u32>;

impl Placement {
    /// Tries to place the waiting jobs in queue order.
    pub(crate) fn schedule(&mut self, effects: &mut Vec<Effect>) {
        self.check_reservation();
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

    /// Returns the waiting aged jobs for which capacity is kept free.
    fn jobs_with_reserved_capacity(&self) -> Vec<JobKey> {
        let holds = self.state.teams.values().filter_map(|team| team.hold);
        let keys: BTreeSet<_> = holds.chain(self.state.reservation).collect();
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
        // Free capacity only shrinks during a pass, so a larger gang cannot fit after a
        // smaller one did not.
        let cannot_fit = failed
            .as_ref()
            .is_some_and(|failed| failed.get(&shape).is_some_and(|tasks| *tasks <= gang.tasks));
        if cannot_fit {
            return;
        }
        let is_urgent = job.spec.is_urgent;
        let mut plan = self.policy.plan(Request { key, job }, &self.state);
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

    /// Keeps capacity free for jobs that have waited too long, the oldest first.
    fn reserve_for_aged_jobs(&mut self, effects: &mut Vec<Effect>) {
        let (now, aging) = (self.state.now, self.settings.aging);
        let is_aged = |key: &JobKey| now.since(self.state.jobs[key].waiting_since) >= aging;
        let aged: Vec<_> = self.state.waiting.iter().copied().filter(is_aged).collect();
        for key in aged {
            let job = &self.state.jobs[&key];
            let team = self.state.teams.get(&job.spec.team);
            let has_hold = team.is_some_and(|team| team.hold == Some(key));
            if has_hold || self.state.reservation == Some(key) {
                continue;
            }
            match self
                .policy
                .reserve_for_aged(Request { key, job }, &self.state)
            {
                Aging::Nothing => {}
                Aging::HoldGuarantee => {
                    let id = job.spec.team.clone();
                    self.state.teams.entry(id).or_default().hold = Some(key);
                }
                Aging::Reserve(places) => {
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

    /// Drops a reservation whose job no longer waits or whose
    /// accelerators became unusable.
    fn check_reservation(&mut self) {
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

/// Returns the sort key of a job in its team's queue.
fn rank(job: &Job, key: JobKey) -> (bool, usize, JobKey) {
    let step = SERVICE_THRESHOLDS_MS
        .iter()
        .filter(|step| job.attained_service >= **step)
        .count();
    (!job.spec.is_urgent, step, key)
}
