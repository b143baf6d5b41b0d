//! Tickets of the adviser, without which tasks of some queues do not start.
//!
//! The adviser answers one call of a machine at a time and takes longer with
//! each worker that a call names. So one call is on its way at a time, for the
//! first step that can't start, and names the workers with the most room.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cumindeck_types::{AgentId, JobId, Uptime, WorkerId};

use super::fit::{Demand, Slot};
use super::{Scheduler, StepId, TaskId};
use crate::exchange::WorkerLife;

/// Workers that a call names; the platform counts a call for 30 as usual.
const WORKERS_ASKED: usize = 30;

/// Pause after a call that brought no answer; the adviser may be full.
const FAILURE_PAUSE: Duration = Duration::from_millis(300);

/// Rest of a ticket's validity with which a task is placed: it covers the
/// record and the order, with a retry of each.
const MIN_VALIDITY: Duration = Duration::from_millis(800);

/// Rest of a ticket's validity with which a start is still ordered.
const MIN_VALIDITY_OF_ORDER: Duration = Duration::from_millis(200);

/// A question to the adviser.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdviceRequest {
    /// Step that waits.
    pub step: StepId,
    /// Workers on which it might run, with the start of their lives.
    pub workers: Vec<(WorkerId, u64)>,
}

/// An answer of the adviser.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Advice {
    /// Tickets of the workers that may run the step.
    pub tickets: Vec<(WorkerId, String)>,
    /// Time for which the tickets are valid.
    pub validity: Duration,
}

/// What the adviser said of a worker.
#[derive(Debug, Clone)]
struct Verdict {
    born_ms: u64,
    /// Ticket and end of its validity; none if the worker may not run the step.
    ticket: Option<(String, Uptime)>,
}

/// What the adviser said so far.
#[derive(Debug, Default)]
pub(super) struct Advised {
    steps: BTreeMap<StepId, BTreeMap<WorkerId, Verdict>>,
    wanted: Option<AdviceRequest>,
    in_flight: Option<AdviceRequest>,
    ask_after: Uptime,
}

impl Advised {
    /// Makes the memory of a scheduler that has asked nothing yet.
    pub const fn new() -> Self {
        Self {
            steps: BTreeMap::new(),
            wanted: None,
            in_flight: None,
            ask_after: Uptime::ZERO,
        }
    }

    fn verdict(&self, step: &StepId, life: &WorkerLife) -> Option<&Verdict> {
        let verdict = self.steps.get(step)?.get(&life.worker)?;
        (verdict.born_ms == life.born_ms).then_some(verdict)
    }

    /// Returns a ticket that is valid for some time to come.
    fn ticket(&self, step: &StepId, life: &WorkerLife, until: Uptime) -> Option<&str> {
        let (ticket, end) = self.verdict(step, life)?.ticket.as_ref()?;
        (*end > until).then_some(ticket.as_str())
    }

    /// Forgets what was said of a job that has ended.
    pub fn forget(&mut self, job: &JobId) {
        self.steps.retain(|step, _| step.job != *job);
    }
}

impl Scheduler {
    /// Returns the next question to the adviser, if there is one.
    pub fn take_advice_request(&mut self, now: Uptime) -> Option<AdviceRequest> {
        let is_paused = now < self.advised.ask_after;
        if is_paused || self.advised.in_flight.is_some() {
            return None;
        }
        let request = self.advised.wanted.take()?;
        self.advised.in_flight = Some(request.clone());
        Some(request)
    }

    /// Takes the adviser's answer to the question that was sent at `asked`;
    /// none if it gave no answer.
    pub fn on_advice(&mut self, asked: Uptime, now: Uptime, advice: Option<&Advice>) {
        let Some(request) = self.advised.in_flight.take() else {
            return;
        };
        let Some(advice) = advice else {
            self.advised.ask_after = now.plus(FAILURE_PAUSE);
            return;
        };
        let verdicts = self.advised.steps.entry(request.step).or_default();
        for (worker, born_ms) in request.workers {
            let ticket = advice.tickets.iter().find(|(id, _)| *id == worker);
            // The validity may count from any moment of the call.
            let ticket = ticket.map(|(_, text)| (text.clone(), asked.plus(advice.validity)));
            verdicts.insert(worker, Verdict { born_ms, ticket });
        }
    }

    /// Returns the agents whose workers may run a step now; none if it needs no tickets.
    pub(super) fn ticketed(&self, now: Uptime, step: &StepId) -> Option<BTreeSet<AgentId>> {
        if !self.jobs[&step.job].row.spec.needs_tickets {
            return None;
        }
        let has_ticket = |life: &WorkerLife| {
            let until = now.plus(MIN_VALIDITY);
            self.advised.ticket(step, life, until).is_some()
        };
        let workers = self.workers.iter();
        let ticketed = workers.filter(|(_, worker)| worker.life.as_ref().is_some_and(has_ticket));
        Some(ticketed.map(|(agent, _)| agent.clone()).collect())
    }

    /// Returns the ticket for a start of a task on a worker; empty if it needs none.
    pub(super) fn ticket_of(
        &self,
        now: Uptime,
        task: &TaskId,
        life: &WorkerLife,
    ) -> Option<String> {
        if !self.jobs[&task.job].row.spec.needs_tickets {
            return Some(String::new());
        }
        let until = now.plus(MIN_VALIDITY_OF_ORDER);
        let ticket = self.advised.ticket(&task.step_id(), life, until);
        ticket.map(str::to_owned)
    }

    /// Notes the workers of which the adviser should be asked for a step that can't start.
    pub(super) fn want_advice(
        &mut self,
        now: Uptime,
        slots: &[Slot],
        demand: &Demand<'_>,
        step: &StepId,
    ) {
        let is_asked = self.advised.wanted.is_some() || self.advised.in_flight.is_some();
        if is_asked || !self.jobs[&step.job].row.spec.needs_tickets {
            return;
        }
        let is_open = |slot: &&Slot| {
            let verdict = self.advised.verdict(step, &slot.life);
            demand.suits(slot)
                && match verdict.map(|verdict| &verdict.ticket) {
                    None => true,
                    Some(None) => false,
                    Some(Some((_, end))) => *end <= now.plus(MIN_VALIDITY),
                }
        };
        let mut open: Vec<&Slot> = slots.iter().filter(is_open).collect();
        open.sort_by_key(|slot| {
            (
                Reverse(slot.free.accelerators),
                Reverse(slot.free.cpu_millis),
            )
        });
        let workers = open.iter().take(WORKERS_ASKED);
        let workers: Vec<_> = workers
            .map(|slot| (slot.life.worker.clone(), slot.life.born_ms))
            .collect();
        if !workers.is_empty() {
            let step = step.clone();
            self.advised.wanted = Some(AdviceRequest { step, workers });
        }
    }

    /// Drops the ticket with which a start was refused.
    pub(super) fn drop_ticket(&mut self, task: &TaskId, worker: &WorkerId) {
        if let Some(verdicts) = self.advised.steps.get_mut(&task.step_id()) {
            verdicts.remove(worker);
        }
    }
}
