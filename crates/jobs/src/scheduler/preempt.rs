//! Which runs are stopped for urgent work.

use std::time::Duration;

use cumindeck_types::{JobId, Uptime};

use super::fit::{Demand, Slot, View, take};
use super::plan::{Waiting, run_unit};
use super::{DecisionKind, Scheduler, TaskId};

/// Processors that an accelerator counts as when lost work is weighed.
const ACCELERATOR_MILLIS: u64 = 8_000;

/// Work lost with a checkpoint: half of the usual time between two of them.
const CHECKPOINT_LOSS: Duration = Duration::from_millis(500);

/// Time of a reclaim beside the stop: decisions, their record and the starts.
const RECLAIM_MARGIN: Duration = Duration::from_millis(1_200);

/// Most work of a run that urgent work beyond a guarantee may throw away.
const LITTLE_LOSS: Duration = Duration::from_millis(600);

/// Cost of any stop in milliseconds of work: the end of the run and its next start.
///
/// Without it a stop of a run that has just begun would weigh as much as none.
const RESTART_MS: u64 = 300;

/// A run or a gang that could be stopped.
struct Victim {
    tasks: Vec<TaskId>,
    priority: u32,
    /// Processor-milliseconds that are lost.
    loss: u64,
}

impl Scheduler {
    /// Makes room for an urgent step within its team's guarantee; tells whether
    /// the step has room now or after the stops.
    pub(super) fn reclaim(&mut self, now: Uptime, slots: &mut [Slot], waiting: &Waiting) -> bool {
        let job = &self.jobs[&waiting.job];
        if job.row.spec.priority != 0 {
            return false;
        }
        // Beyond its guarantee a team's urgent work stops only what loses little.
        let most_lost = match self.is_guaranteed(&waiting.job) {
            true => Duration::MAX,
            false => LITTLE_LOSS,
        };
        let spec = job.row.spec.steps[waiting.step as usize].clone();
        let service = job.row.spec.service.clone();
        let mut waiting = waiting.clone();
        let still = |index: &u32| {
            let task = TaskId {
                job: waiting.job.clone(),
                occurrence: waiting.occurrence,
                step: waiting.step,
                index: *index,
            };
            !self.runs.contains_key(&task)
        };
        let tasks: Vec<u32> = waiting.tasks.iter().copied().filter(still).collect();
        waiting.tasks = tasks;
        let demand = self.demand(now, &waiting, &spec, &service);
        let patience = self.reclaim_patience(&waiting);
        if let Some(chosen) = self.find_soon(slots, &demand, patience) {
            take(slots, &chosen, &spec.counted_room());
            return true;
        }
        let Some((chosen, victims)) = self.find_room(now, slots, &demand, most_lost) else {
            return false;
        };
        take(slots, &chosen, &spec.counted_room());
        for task in victims.into_iter().flat_map(|victim| victim.tasks) {
            let reason = format!("room for urgent job {}", waiting.job);
            self.note(DecisionKind::Stop, &task, None, reason);
            self.stop_run(&task);
        }
        true
    }

    /// Finds room that will be free without a stop before the step would be late.
    fn find_soon(
        &self,
        slots: &[Slot],
        demand: &Demand<'_>,
        patience: Duration,
    ) -> Option<Vec<usize>> {
        let view = View::Soon(patience);
        match demand.racks(slots) {
            Some(racks) => racks
                .iter()
                .find_map(|rack| demand.fit(slots, view, Some(rack), demand.count)),
            None => demand.fit(slots, view, None, demand.count),
        }
    }

    /// Returns how much longer an urgent step may wait before runs are stopped for it.
    fn reclaim_patience(&self, waiting: &Waiting) -> Duration {
        let spec = &self.jobs[&waiting.job].row.spec;
        let slack = spec.objective_ms().saturating_sub(spec.chain_ms());
        let bound = self
            .limits
            .reclaim
            .saturating_sub(self.limits.stop + RECLAIM_MARGIN);
        let patience = Duration::from_millis(slack / 2).min(bound);
        patience.saturating_sub(waiting.waited)
    }

    /// Finds room and the least costly runs to stop for it, in one rack if the
    /// tasks want one.
    fn find_room(
        &self,
        now: Uptime,
        slots: &[Slot],
        demand: &Demand<'_>,
        most_lost: Duration,
    ) -> Option<(Vec<usize>, Vec<Victim>)> {
        let racks = demand.racks(slots).unwrap_or_default();
        let confined = racks.iter().map(|rack| Some(rack.as_str()));
        let mut best: Option<(u64, Vec<usize>, Vec<Victim>)> = None;
        for rack in confined.chain([None]) {
            if rack.is_none() && best.is_some() {
                break;
            }
            let Some((chosen, victims)) = self.find_in(now, slots, demand, rack, most_lost) else {
                continue;
            };
            let loss = victims.iter().map(|victim| victim.loss).sum();
            if best.as_ref().is_none_or(|(least, ..)| loss < *least) {
                best = Some((loss, chosen, victims));
            }
        }
        best.map(|(_, chosen, victims)| (chosen, victims))
    }

    fn find_in(
        &self,
        now: Uptime,
        slots: &[Slot],
        demand: &Demand<'_>,
        rack: Option<&str>,
        most_lost: Duration,
    ) -> Option<(Vec<usize>, Vec<Victim>)> {
        let mut slots = slots.to_vec();
        let mut victims = Vec::new();
        if let Some(chosen) = demand.fit(&slots, View::Later, rack, demand.count) {
            return Some((chosen, victims));
        }
        let mut candidates = self.victims(now, &slots, rack, most_lost);
        candidates.sort_by_key(|victim| (std::cmp::Reverse(victim.priority), victim.loss));
        for victim in candidates {
            self.give(&mut slots, &victim);
            victims.push(victim);
            if demand
                .fit(&slots, View::Later, rack, demand.count)
                .is_some()
            {
                break;
            }
        }
        demand.fit(&slots, View::Later, rack, demand.count)?;
        // Victims that turned out not to be needed run on.
        let mut needed = Vec::new();
        for at in (0..victims.len()).rev() {
            let mut without = slots.clone();
            self.take_back(&mut without, &victims[at]);
            match demand.fit(&without, View::Later, rack, demand.count) {
                Some(_) => slots = without,
                None => needed.push(at),
            }
        }
        let chosen = demand.fit(&slots, View::Later, rack, demand.count)?;
        let mut at = 0;
        victims.retain(|_| {
            at += 1;
            needed.contains(&(at - 1))
        });
        Some((chosen, victims))
    }

    /// Returns the runs of less urgent jobs on the given workers.
    fn victims(
        &self,
        now: Uptime,
        slots: &[Slot],
        rack: Option<&str>,
        most_lost: Duration,
    ) -> Vec<Victim> {
        let mut victims: Vec<Victim> = Vec::new();
        for (id, run) in &self.runs {
            let job = &self.jobs[&id.job];
            let spec = &job.row.spec.steps[id.step as usize];
            if job.row.spec.priority == 0 || spec.long_running || run.is_stopping {
                continue;
            }
            let is_near = self.placement(id).is_some_and(|placement| {
                let is_here = |slot: &&Slot| slot.agent == placement.agent;
                slots
                    .iter()
                    .find(is_here)
                    .is_some_and(|slot| rack.is_none_or(|rack| slot.life.rack() == rack))
            });
            if !is_near || victims.iter().any(|victim| victim.tasks.contains(id)) {
                continue;
            }
            let tasks = run_unit(job, id);
            let mut worked = now.since(run.active.unwrap_or(now));
            if spec.checkpoints {
                worked = worked.min(CHECKPOINT_LOSS);
            }
            if worked > most_lost {
                continue;
            }
            let weight =
                spec.room.cpu_millis + u64::from(spec.room.accelerators) * ACCELERATOR_MILLIS;
            let worked_ms = u64::try_from(worked.as_millis()).unwrap_or(u64::MAX);
            victims.push(Victim {
                loss: (worked_ms + RESTART_MS) * weight * tasks.len() as u64,
                priority: job.row.spec.priority,
                tasks,
            });
        }
        victims
    }

    fn give(&self, slots: &mut [Slot], victim: &Victim) {
        for task in &victim.tasks {
            self.on_slot(slots, task, |slot, room| slot.later.give(room));
        }
    }

    fn take_back(&self, slots: &mut [Slot], victim: &Victim) {
        for task in &victim.tasks {
            self.on_slot(slots, task, |slot, room| slot.later.take(room));
        }
    }

    fn on_slot(&self, slots: &mut [Slot], task: &TaskId, change: fn(&mut Slot, &crate::Room)) {
        let Some(placement) = self.placement(task) else {
            return;
        };
        let room = self.jobs[&task.job].row.spec.steps[task.step as usize].counted_room();
        if let Some(slot) = slots.iter_mut().find(|slot| slot.agent == placement.agent) {
            change(slot, &room);
        }
    }

    /// Tells whether a team's unfinished urgent jobs fit its guarantee.
    pub(super) fn is_guaranteed(&self, id: &JobId) -> bool {
        let Some(team) = &self.jobs[id].row.spec.team else {
            return false;
        };
        let needed: u32 = self
            .open
            .iter()
            .map(|id| &self.jobs[id])
            .filter(|job| job.row.spec.team.as_ref() == Some(team))
            .filter(|job| job.row.spec.priority == 0 && !job.state().is_final())
            .map(|job| {
                let steps = job.row.spec.steps.iter();
                steps
                    .map(|step| step.tasks * step.room.accelerators)
                    .max()
                    .unwrap_or(0)
            })
            .sum();
        needed <= self.catalog.guaranteed(team)
    }
}
