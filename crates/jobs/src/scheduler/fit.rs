//! Where tasks fit.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cumindeck_types::AgentId;

use crate::exchange::WorkerLife;
use crate::model::{Room, StepSpec};

/// A worker that may get tasks.
#[derive(Debug, Clone)]
pub(super) struct Slot {
    /// Agent.
    pub agent: AgentId,
    /// Life of the worker.
    pub life: WorkerLife,
    /// Room that is free now.
    pub free: Room,
    /// Room that is free once the runs that are being stopped have ended.
    pub later: Room,
    /// Room of runs that will end by themselves, with the time that they still need.
    pub ending: Vec<(Duration, Room)>,
    /// Number of different jobs that failed there lately.
    pub failed_jobs: usize,
    /// Whether a task with a response time runs there.
    pub serves: bool,
}

impl Slot {
    fn room_within(&self, limit: Duration) -> Room {
        let mut room = self.later;
        let ending = self.ending.iter().filter(|(left, _)| *left <= limit);
        ending.for_each(|(_, ending)| room.give(ending));
        room
    }
}

/// Which room counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum View {
    /// What is free now.
    Now,
    /// What is free once the stops that are on their way have ended.
    Later,
    /// What is free then or after this time, when more runs have ended by themselves.
    Soon(Duration),
}

/// Tasks of a step that look for room.
#[derive(Debug, Clone)]
pub(super) struct Demand<'a> {
    /// Step.
    pub step: &'a StepSpec,
    /// Service whose workers count.
    pub service: &'a str,
    /// Number of tasks.
    pub count: usize,
    /// Tasks of the step on each worker.
    pub placed: BTreeMap<AgentId, u32>,
    /// Whether workers on which the tasks failed before are left out.
    pub avoids_failed: bool,
    /// Workers on which the tasks failed before.
    pub failed_on: BTreeSet<AgentId>,
    /// Workers with a ticket of the adviser, if the tasks need one.
    pub ticketed: Option<BTreeSet<AgentId>>,
}

impl Demand<'_> {
    /// Tells whether a worker is of the right service and kind.
    pub fn suits(&self, slot: &Slot) -> bool {
        let has_label = |label: &String| slot.life.labels.contains(label);
        slot.life.service == self.service && self.step.label.as_ref().is_none_or(has_label)
    }

    fn allows(&self, slot: &Slot) -> bool {
        let is_ticketed = |ticketed: &BTreeSet<AgentId>| ticketed.contains(&slot.agent);
        if !self.ticketed.as_ref().is_none_or(is_ticketed) {
            return false;
        }
        if self.avoids_failed && self.failed_on.contains(&slot.agent) {
            return false;
        }
        self.suits(slot)
    }

    /// Returns the racks to which the tasks should be confined, best first.
    pub fn racks(&self, slots: &[Slot]) -> Option<Vec<String>> {
        if let Some(rack) = &self.step.data_rack {
            return Some(vec![rack.clone()]);
        }
        if !self.step.same_rack || self.count < 2 {
            return None;
        }
        let mut free: BTreeMap<&str, u32> = BTreeMap::new();
        for slot in slots.iter().filter(|slot| self.allows(slot)) {
            *free.entry(slot.life.rack()).or_default() += slot.free.accelerators;
        }
        let mut racks: Vec<_> = free.into_iter().collect();
        // The fullest rack that still has room keeps the others whole.
        racks.sort_by_key(|&(_, accelerators)| accelerators);
        Some(racks.into_iter().map(|(rack, _)| rack.to_owned()).collect())
    }

    /// Tells whether a rack could hold all tasks if nothing else ran there.
    pub fn fits_empty(&self, slots: &[Slot], rack: &str) -> bool {
        let mut empty: Vec<Slot> = slots.to_vec();
        for slot in &mut empty {
            slot.free = slot.life.capacity;
        }
        self.fit(&empty, View::Now, Some(rack), self.count)
            .is_some()
    }

    /// Finds workers for `count` tasks; none unless all of them fit.
    pub fn fit(
        &self,
        slots: &[Slot],
        view: View,
        rack: Option<&str>,
        count: usize,
    ) -> Option<Vec<usize>> {
        let room = self.step.counted_room();
        let mut left: Vec<Room> = slots
            .iter()
            .map(|slot| match view {
                View::Now => slot.free,
                View::Later => slot.later,
                View::Soon(limit) => slot.room_within(limit),
            })
            .collect();
        let mut placed = self.placed.clone();
        let mut chosen = Vec::with_capacity(count);
        for _ in 0..count {
            let best = (0..slots.len())
                .filter(|&at| {
                    let slot = &slots[at];
                    let used = placed.get(&slot.agent).copied().unwrap_or(0);
                    self.allows(slot)
                        && rack.is_none_or(|rack| slot.life.rack() == rack)
                        && self.step.max_per_worker.is_none_or(|most| used < most)
                        && left[at].holds(&room)
                })
                .min_by_key(|&at| self.cost(&slots[at], &left[at]))?;
            left[best].take(&room);
            *placed.entry(slots[best].agent.clone()).or_default() += 1;
            chosen.push(best);
        }
        Some(chosen)
    }

    /// Returns what speaks against a worker; the least comes first.
    fn cost(&self, slot: &Slot, left: &Room) -> (bool, usize, bool, u32, u64, Reverse<u64>) {
        let room = self.step.counted_room();
        (
            self.failed_on.contains(&slot.agent),
            slot.failed_jobs,
            self.step.fills && slot.serves,
            left.accelerators - room.accelerators,
            left.cpu_millis - room.cpu_millis,
            Reverse(left.memory_mib),
        )
    }
}

/// Takes the room of tasks from the workers chosen for them.
pub(super) fn take(slots: &mut [Slot], chosen: &[usize], room: &Room) {
    for &at in chosen {
        slots[at].free.take(room);
        slots[at].later.take(room);
    }
}
