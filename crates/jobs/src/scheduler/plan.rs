//! Which waiting tasks start.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cumindeck_types::{AgentId, JobId, Uptime};

use super::fit::{Demand, Slot, View, take};
use super::{DecisionKind, Job, Run, Scheduler, StepId, TaskId, task_ids};
use crate::progress::{Placement, StepProgress};

/// Silence after which an agent's worker gets no new tasks.
pub(super) const CONTACT: Duration = Duration::from_millis(2_000);

/// Wait after which a large step keeps the workers that it needs from later jobs.
const RESERVE_AFTER: Duration = Duration::from_millis(2_000);

/// Wait in which a task is not tried again on a worker where it failed.
///
/// A worker that fails all it starts often is the only one with room.
const AVOID_FAILED: Duration = Duration::from_millis(2_500);

/// Time after a takeover in which only urgent work starts.
///
/// Agents report one after the other; what starts on the first of them may be
/// stopped again for urgent work that comes to light with the next.
const SETTLING: Duration = Duration::from_millis(250);

/// Multiple of the objective up to which a late job still has a worth.
const LATE_LIMIT: u32 = 3;

/// A step that is ready, with the tasks that wait.
#[derive(Debug, Clone)]
pub(super) struct Waiting {
    /// Job.
    pub job: JobId,
    /// Occurrence.
    pub occurrence: u32,
    /// Step.
    pub step: u32,
    /// Tasks.
    pub tasks: Vec<u32>,
    /// How long they have waited.
    pub waited: Duration,
}

impl Waiting {
    /// Returns the step.
    fn step_id(&self) -> StepId {
        StepId {
            job: self.job.clone(),
            occurrence: self.occurrence,
            step: self.step,
        }
    }
}

impl Scheduler {
    /// Decides which tasks start and which runs are stopped for them.
    pub fn plan(&mut self, now: Uptime, unix: Duration) {
        self.lose_silent_workers(now);
        self.begin_due_occurrences(unix);
        self.move_runs(now);
        let mut slots = self.slots(now);
        let mut has_reservation = false;
        for (id, is_worthless) in self.order(now) {
            for waiting in self.waiting(now, &id) {
                if self.start(now, &mut slots, &waiting) {
                    continue;
                }
                // What starts before a job without worth would be stopped for it
                // and start again, without end.
                let is_reclaimed = !is_worthless && self.reclaim(now, &mut slots, &waiting);
                if !is_reclaimed && !has_reservation {
                    has_reservation = self.reserve(now, &mut slots, &waiting);
                }
            }
        }
    }

    /// Returns the jobs in the order in which they get room, and whether they
    /// have no worth any more; these come last.
    fn order(&self, now: Uptime) -> Vec<(JobId, bool)> {
        let mut order: Vec<(bool, u32, bool, Uptime, &JobId)> = Vec::new();
        for id in &self.open {
            let job = &self.jobs[id];
            let is_early = now.since(self.taken_over) < SETTLING && job.row.spec.priority > 0;
            if job.state().is_final() || is_early {
                continue;
            }
            let objective = Duration::from_millis(job.row.spec.objective_ms());
            let age = now.since(job.accepted);
            let is_recurring = job.row.spec.recurrence.is_some();
            // The guarantee counts all open jobs of a team, so it is looked at last.
            let is_owed = || job.row.spec.priority == 0 && self.is_guaranteed(id);
            let is_worthless = age > objective * LATE_LIMIT && !is_recurring && !is_owed();
            let is_late = age > objective && !is_recurring;
            order.push((
                is_worthless,
                job.row.spec.priority,
                is_late,
                job.accepted,
                id,
            ));
        }
        order.sort();
        let entry =
            |(is_worthless, .., id): (bool, u32, bool, Uptime, &JobId)| (id.clone(), is_worthless);
        order.into_iter().map(entry).collect()
    }

    /// Returns the steps of a job that have tasks to start.
    fn waiting(&mut self, now: Uptime, id: &JobId) -> Vec<Waiting> {
        let Some(job) = self.jobs.get_mut(id) else {
            return Vec::new();
        };
        let mut found = Vec::new();
        for (occurrence, steps) in job.progress.occurrences.iter().enumerate() {
            for (at, step) in steps.iter().enumerate() {
                let spec = &job.row.spec.steps[at];
                let is_ready = spec.after.iter().all(|&before| {
                    steps
                        .get(before as usize)
                        .is_some_and(StepProgress::is_done)
                });
                if !is_ready || step.is_done() {
                    continue;
                }
                let is_waiting = |at: &u32| {
                    let task = &step.tasks[*at as usize];
                    !task.is_done && task.placement.is_none()
                };
                let tasks: Vec<u32> = (0..step.tasks.len() as u32).filter(is_waiting).collect();
                if tasks.is_empty() || (spec.gang && tasks.len() < step.tasks.len()) {
                    continue;
                }
                let key = (occurrence as u32, at as u32);
                if job.paused.get(&key).is_some_and(|until| now < *until) {
                    continue;
                }
                let ready = *job.ready.entry(key).or_insert(now);
                found.push(Waiting {
                    job: id.clone(),
                    occurrence: key.0,
                    step: key.1,
                    tasks,
                    waited: now.since(ready),
                });
            }
        }
        found
    }

    /// Starts what fits; tells whether nothing of the step waits any more.
    fn start(&mut self, now: Uptime, slots: &mut [Slot], waiting: &Waiting) -> bool {
        let job = &self.jobs[&waiting.job];
        let spec = job.row.spec.steps[waiting.step as usize].clone();
        let service = job.row.spec.service.clone();
        let patience = patience(job, waiting);
        let mut demand = self.demand(now, waiting, &spec, &service);
        let unit = if spec.gang { waiting.tasks.len() } else { 1 };
        let mut rest = waiting.tasks.as_slice();
        while !rest.is_empty() {
            demand.count = unit;
            let racks = demand.racks(slots);
            let confined = racks.iter().flatten();
            let mut chosen = confined
                .clone()
                .find_map(|rack| demand.fit(slots, View::Now, Some(rack), unit));
            if chosen.is_none() {
                // Far from its data or split over racks a task takes several times as long.
                let can_wait = racks.is_some()
                    && waiting.waited < patience
                    && confined.clone().any(|rack| demand.fits_empty(slots, rack));
                if !can_wait {
                    chosen = demand.fit(slots, View::Now, None, unit);
                }
            }
            let Some(chosen) = chosen else {
                self.want_advice(now, slots, &demand, &waiting.step_id());
                return false;
            };
            take(slots, &chosen, &spec.counted_room());
            for &at in &chosen {
                *demand.placed.entry(slots[at].agent.clone()).or_default() += 1;
            }
            let (now_placed, later) = rest.split_at(unit);
            for (&task, &at) in now_placed.iter().zip(&chosen) {
                self.place(now, waiting, task, &slots[at]);
            }
            rest = later;
        }
        true
    }

    /// Returns the demand of waiting tasks.
    pub(super) fn demand<'a>(
        &self,
        now: Uptime,
        waiting: &Waiting,
        spec: &'a crate::StepSpec,
        service: &'a str,
    ) -> Demand<'a> {
        let job = &self.jobs[&waiting.job];
        let step = &job.progress.occurrences[waiting.occurrence as usize][waiting.step as usize];
        let mut placed: BTreeMap<AgentId, u32> = BTreeMap::new();
        for placement in step.tasks.iter().filter_map(|task| task.placement.as_ref()) {
            *placed.entry(placement.agent.clone()).or_default() += 1;
        }
        let is_same = |task: &&TaskId| {
            task.occurrence == waiting.occurrence
                && task.step == waiting.step
                && (spec.gang || waiting.tasks.contains(&task.index))
        };
        let failed = job.failed_on.iter().filter(|(task, _)| is_same(task));
        let failed_on: BTreeSet<AgentId> = failed.flat_map(|(_, agents)| agents.clone()).collect();
        Demand {
            step: spec,
            service,
            count: waiting.tasks.len(),
            placed,
            avoids_failed: waiting.waited < AVOID_FAILED,
            failed_on,
            ticketed: self.ticketed(now, &waiting.step_id()),
        }
    }

    fn place(&mut self, now: Uptime, waiting: &Waiting, index: u32, slot: &Slot) {
        let id = TaskId {
            job: waiting.job.clone(),
            occurrence: waiting.occurrence,
            step: waiting.step,
            index,
        };
        let job = self
            .jobs
            .get_mut(&waiting.job)
            .expect("a waiting job is known");
        let is_gang = job.row.spec.steps[waiting.step as usize].gang;
        let step =
            &mut job.progress.occurrences[waiting.occurrence as usize][waiting.step as usize];
        // Members of a gang share the number of their run.
        let last = match is_gang {
            true => step
                .tasks
                .iter()
                .filter(|task| task.placement.is_none())
                .map(|task| task.run)
                .max(),
            false => Some(step.tasks[index as usize].run),
        };
        let current = step
            .tasks
            .iter()
            .find(|task| is_gang && task.placement.is_some());
        let run = match current {
            Some(member) => member.run,
            None => last.unwrap_or_default().next(),
        };
        let checkpoint = match is_gang {
            true => newest_checkpoint(step),
            false => step.tasks[index as usize].checkpoint.clone(),
        };
        let task = &mut step.tasks[index as usize];
        task.run = run;
        task.checkpoint = checkpoint;
        task.placement = Some(Placement {
            worker: slot.life.worker.clone(),
            born_ms: slot.life.born_ms,
            agent: slot.agent.clone(),
        });
        job.ready.remove(&(waiting.occurrence, waiting.step));
        self.dirty.insert(waiting.job.clone());
        let reason = format!(
            "worker {} is free; waited {:?}",
            slot.life.worker, waiting.waited
        );
        self.note(DecisionKind::Start, &id, Some(&slot.agent), reason);
        self.runs.insert(id, Run::new(now, None));
    }

    /// Keeps workers for a large step that has waited long; tells whether it does.
    fn reserve(&self, now: Uptime, slots: &mut [Slot], waiting: &Waiting) -> bool {
        let job = &self.jobs[&waiting.job];
        let spec = &job.row.spec.steps[waiting.step as usize];
        let is_large = spec.gang && waiting.tasks.len() > 1 || spec.room.accelerators >= 4;
        if waiting.waited < RESERVE_AFTER || !is_large {
            return false;
        }
        let mut demand = self.demand(now, waiting, spec, &job.row.spec.service);
        demand.count = if spec.gang { waiting.tasks.len() } else { 1 };
        let mut empty = slots.to_vec();
        for slot in &mut empty {
            slot.free = slot.life.capacity;
        }
        let racks = demand.racks(slots).unwrap_or_default();
        let confined = racks.iter().rev();
        let chosen = confined
            .filter_map(|rack| demand.fit(&empty, View::Now, Some(rack), demand.count))
            .next();
        let chosen = chosen.or_else(|| demand.fit(&empty, View::Now, None, demand.count));
        let Some(chosen) = chosen else { return false };
        for at in chosen {
            slots[at].free = crate::Room::default();
            slots[at].later = crate::Room::default();
        }
        true
    }

    /// Returns the workers that may get tasks.
    fn slots(&self, now: Uptime) -> Vec<Slot> {
        let mut slots = Vec::new();
        for (agent, worker) in &self.workers {
            let Some(life) = worker.life.clone().filter(|_| worker.has_lists) else {
                continue;
            };
            let is_usable = !life.is_draining
                && now.since(worker.heard) < CONTACT
                && !self.evacuated.contains(&life.zone)
                && !self.health.is_suspect(now, agent);
            if is_usable {
                slots.push(Slot {
                    agent: agent.clone(),
                    free: life.capacity,
                    later: life.capacity,
                    life,
                    ending: Vec::new(),
                    failed_jobs: self.health.failed_jobs(now, agent),
                    serves: false,
                });
            }
        }
        for (task, run) in &self.runs {
            let Some(placement) = self.placement(task) else {
                continue;
            };
            let spec = &self.jobs[&task.job].row.spec.steps[task.step as usize];
            let slot = slots.iter_mut().find(|slot| slot.agent == placement.agent);
            if let Some(slot) = slot {
                slot.free.take(&spec.counted_room());
                slot.serves |= spec.target_ms.is_some() && !spec.fills;
                if !run.is_stopping {
                    slot.later.take(&spec.counted_room());
                    let left = run.time_left(now).filter(|_| !spec.long_running);
                    slot.ending
                        .extend(left.map(|left| (left, spec.counted_room())));
                }
            }
        }
        slots
    }

    fn begin_due_occurrences(&mut self, unix: Duration) {
        let unix_ms = u64::try_from(unix.as_millis()).unwrap_or(u64::MAX);
        for id in &self.open {
            let Some(job) = self.jobs.get_mut(id) else {
                continue;
            };
            let Some(recurrence) = job.row.spec.recurrence else {
                continue;
            };
            if job.state().is_final() {
                continue;
            }
            let begun = job.progress.occurrences.len() as u64;
            let due_ms = recurrence.first_unix_ms + begun * recurrence.interval_ms;
            if begun < u64::from(recurrence.times) && unix_ms >= due_ms {
                job.progress.begin_occurrence(&job.row.spec);
                self.dirty.insert(id.clone());
            }
        }
    }
}

/// Returns how long a step waits for a place where it runs at full speed.
///
/// Elsewhere it takes its estimate about twice more and keeps its workers for
/// that long; a tenth of the slack is left for the start.
fn patience(job: &Job, waiting: &Waiting) -> Duration {
    let spec = &job.row.spec;
    let estimate = spec.steps[waiting.step as usize].estimate_ms;
    let slack = spec.objective_ms().saturating_sub(spec.chain_ms());
    Duration::from_millis((estimate * 2).min(slack * 9 / 10))
}

/// Returns the checkpoint that the members of a gang share.
fn newest_checkpoint(step: &StepProgress) -> String {
    let newest = step
        .tasks
        .iter()
        .max_by_key(|task| (task.run, !task.checkpoint.is_empty()));
    newest.map_or(String::new(), |task| task.checkpoint.clone())
}

/// Returns the members of a run's gang, or the task itself.
pub(super) fn run_unit(job: &Job, task: &TaskId) -> Vec<TaskId> {
    let spec = &job.row.spec.steps[task.step as usize];
    if !spec.gang {
        return vec![task.clone()];
    }
    let members = task_ids(&task.job, &job.progress).into_iter();
    members
        .filter(|member| member.occurrence == task.occurrence && member.step == task.step)
        .collect()
}
