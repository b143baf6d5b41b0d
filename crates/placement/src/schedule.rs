//! Queue order and the pass over the jobs that wait.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use cumindeck_types::TeamId;

use crate::event::Effect;
use crate::job::{Job, JobKey};
use crate::machine::Placement;
use crate::policy::{Aging, Request};

/// Accelerator milliseconds of service that separate the queues of a team: one
/// and ten accelerator hours. Within a queue jobs go in the order of submission,
/// so that jobs of similar service don't take turns.
const SERVICE_STEPS: [u64; 2] = [3_600_000, 36_000_000];

/// Shapes that found no room in this pass: the fewest tasks that failed.
type Failed = BTreeMap<(TeamId, usize, bool, bool), u32>;

impl Placement {
    /// Tries to place the jobs that wait, in queue order.
    pub(crate) fn schedule(&mut self, effects: &mut Vec<Effect>) {
        self.check_reservation();
        let mut failed = Failed::new();
        for key in self.favoured() {
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
        self.age_jobs(effects);
    }

    /// Returns the aged jobs for which room is kept free.
    fn favoured(&self) -> Vec<JobKey> {
        let holds = self.state.teams.values().filter_map(|team| team.hold);
        let keys: BTreeSet<_> = holds.chain(self.state.reservation).collect();
        keys.into_iter()
            .filter(|key| self.state.waiting.contains(key))
            .collect()
    }

    /// Places the next job of the team with the smallest share until all were tried.
    fn place_by_share(
        &mut self,
        mut queues: BTreeMap<TeamId, VecDeque<JobKey>>,
        failed: &mut Failed,
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

    /// Places a job if there is room for it.
    fn try_place(&mut self, key: JobKey, failed: Option<&mut Failed>, effects: &mut Vec<Effect>) {
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
        // Room only shrinks during a pass, so a larger gang can't fit after a smaller one failed.
        let is_hopeless = failed
            .as_ref()
            .is_some_and(|failed| failed.get(&shape).is_some_and(|tasks| *tasks <= gang.tasks));
        if is_hopeless {
            return;
        }
        let is_urgent = job.spec.is_urgent;
        let mut plan = self.policy.plan(Request { key, job }, &self.state);
        if plan.is_none() && is_urgent {
            plan = self.preempt_own(key, effects);
        }
        if let Some(plan) = plan {
            if self.state.reservation == Some(key) {
                self.clear_reservation();
            }
            self.decide(key, plan, effects);
        } else if let Some(failed) = failed {
            failed.insert(shape, gang.tasks);
        }
    }

    /// Keeps room free for the jobs that have waited too long, the oldest first.
    fn age_jobs(&mut self, effects: &mut Vec<Effect>) {
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
            match self.policy.age(Request { key, job }, &self.state) {
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

    /// Gives up a reservation whose job no longer waits or whose places are out of reach.
    fn check_reservation(&mut self) {
        let Some(key) = self.state.reservation else {
            return;
        };
        let is_lost = self.reserved.iter().any(|place| {
            let worker = &self.state.cluster.workers[place.worker];
            !worker.open().contains(place.set) || worker.guaranteed.overlaps(place.set)
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

/// Returns the rank of a job in its team's queue.
fn rank(job: &Job, key: JobKey) -> (bool, usize, JobKey) {
    let step = SERVICE_STEPS
        .iter()
        .filter(|step| job.attained >= **step)
        .count();
    (!job.spec.is_urgent, step, key)
}
