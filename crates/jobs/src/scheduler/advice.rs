//! Tickets of the adviser, without which tasks of some queues do not start.
//!
//! The adviser handles one call per host at a time and takes longer with
//! each worker that a call lists. So one call is in flight at a time, for the
//! first step that can't start, and it lists the workers with the most free
//! capacity.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cumindeck_types::{AgentId, JobId, Uptime, WorkerId};

use super::capacity::Capacity;
use super::fit::Demand;
use super::{Scheduler, StepId, TaskId};
use crate::exchange::WorkerIncarnation;

/// Maximum number of workers per call; a usual call on the platform has 30.
const MAX_WORKERS_PER_CALL: usize = 30;

/// Pause after a call without a reply; the adviser may be overloaded.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Minimum remaining validity of a ticket to place a task: it covers the record
/// and the order, with a retry of each.
const MIN_VALIDITY_AT_PLACEMENT: Duration = Duration::from_millis(800);

/// Minimum remaining validity of a ticket to order a start.
const MIN_VALIDITY_AT_START: Duration = Duration::from_millis(200);

/// A request to the adviser.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdviceRequest {
    /// Step that waits.
    pub step: StepId,
    /// Workers that may be allowed to run it, with the start times of their incarnations.
    pub workers: Vec<(WorkerId, u64)>,
}

/// Reply of the adviser to an [`AdviceRequest`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Advice {
    /// Tickets of the workers that may run the step.
    pub tickets: Vec<(WorkerId, String)>,
    /// Time for which the tickets are valid.
    pub validity: Duration,
}

/// Reply of the adviser for a worker.
#[derive(Debug, Clone)]
struct Verdict {
    started_ms: u64,
    /// Ticket and end of its validity; `None` if the worker may not run the step.
    ticket: Option<(String, Uptime)>,
}

/// Replies of the adviser so far, by step and worker.
#[derive(Debug, Default)]
pub(super) struct AdviceCache {
    steps: BTreeMap<StepId, BTreeMap<WorkerId, Verdict>>,
    next_request: Option<AdviceRequest>,
    in_flight: Option<AdviceRequest>,
    retry_at: Uptime,
}

impl AdviceCache {
    pub const fn new() -> Self {
        Self {
            steps: BTreeMap::new(),
            next_request: None,
            in_flight: None,
            retry_at: Uptime::ZERO,
        }
    }

    fn verdict(&self, step: &StepId, incarnation: &WorkerIncarnation) -> Option<&Verdict> {
        let verdict = self.steps.get(step)?.get(&incarnation.worker)?;
        (verdict.started_ms == incarnation.started_ms).then_some(verdict)
    }

    /// Returns a worker's ticket if it is valid beyond `until`.
    fn ticket(
        &self,
        step: &StepId,
        incarnation: &WorkerIncarnation,
        until: Uptime,
    ) -> Option<&str> {
        let (ticket, end) = self.verdict(step, incarnation)?.ticket.as_ref()?;
        (*end > until).then_some(ticket.as_str())
    }

    /// Removes the replies for a job that has ended.
    pub fn remove_job(&mut self, job: &JobId) {
        self.steps.retain(|step, _| step.job != *job);
    }
}

impl Scheduler {
    /// Returns the next request to the adviser, if there is one.
    pub fn take_advice_request(&mut self, now: Uptime) -> Option<AdviceRequest> {
        let is_paused = now < self.advice.retry_at;
        if is_paused || self.advice.in_flight.is_some() {
            return None;
        }
        let request = self.advice.next_request.take()?;
        self.advice.in_flight = Some(request.clone());
        Some(request)
    }

    /// Handles the reply to a request that was sent at `sent_at`; `None` if there was no
    /// reply. One to another request than that in flight comes from a former leadership.
    pub fn on_advice(
        &mut self,
        sent_at: Uptime,
        now: Uptime,
        request: &AdviceRequest,
        advice: Option<&Advice>,
    ) {
        let is_same = |in_flight: &mut AdviceRequest| in_flight == request;
        let Some(request) = self.advice.in_flight.take_if(is_same) else {
            return;
        };
        let Some(advice) = advice else {
            self.advice.retry_at = now.plus(RETRY_DELAY);
            return;
        };
        let verdicts = self.advice.steps.entry(request.step).or_default();
        for (worker, started_ms) in request.workers {
            let ticket = advice.tickets.iter().find(|(id, _)| *id == worker);
            // The validity may count from any moment of the call; assume the first.
            let ticket = ticket.map(|(_, text)| (text.clone(), sent_at.plus(advice.validity)));
            verdicts.insert(worker, Verdict { started_ms, ticket });
        }
        self.needs_pass = true;
        self.check_all_orders();
    }

    /// Returns the agents with a ticket for a step; `None` if it needs no tickets.
    pub(super) fn agents_with_tickets(
        &self,
        now: Uptime,
        step: &StepId,
    ) -> Option<BTreeSet<AgentId>> {
        if !self.jobs[&step.job].row.spec.needs_tickets {
            return None;
        }
        let has_ticket = |incarnation: &WorkerIncarnation| {
            let until = now.plus(MIN_VALIDITY_AT_PLACEMENT);
            self.advice.ticket(step, incarnation, until).is_some()
        };
        let workers = self.workers.iter();
        let with_ticket = workers
            .filter(|(_, worker)| worker.worker_incarnation.as_deref().is_some_and(has_ticket));
        Some(with_ticket.map(|(agent, _)| agent.clone()).collect())
    }

    /// Returns the ticket for a start of a task on a worker: empty if the task needs
    /// none, `None` if no valid one is known.
    pub(super) fn ticket_of(
        &self,
        now: Uptime,
        task: &TaskId,
        incarnation: &WorkerIncarnation,
    ) -> Option<String> {
        if !self.jobs[&task.job].row.spec.needs_tickets {
            return Some(String::new());
        }
        let until = now.plus(MIN_VALIDITY_AT_START);
        let ticket = self.advice.ticket(&task.step_id(), incarnation, until);
        ticket.map(str::to_owned)
    }

    /// Prepares the next request for a step that can't start, about workers without
    /// a valid reply.
    pub(super) fn request_advice(
        &mut self,
        now: Uptime,
        capacity: &Capacity,
        demand: &Demand<'_>,
        step: &StepId,
    ) {
        let has_request = self.advice.next_request.is_some() || self.advice.in_flight.is_some();
        if has_request || !self.jobs[&step.job].row.spec.needs_tickets {
            return;
        }
        let is_undecided = |at: &&usize| {
            let candidate = &capacity.workers[**at];
            let verdict = self.advice.verdict(step, &candidate.incarnation);
            demand.is_compatible(candidate)
                && match verdict.map(|verdict| &verdict.ticket) {
                    None => true,
                    Some(None) => false,
                    Some(Some((_, end))) => *end <= now.plus(MIN_VALIDITY_AT_PLACEMENT),
                }
        };
        let mut undecided: Vec<usize> = capacity.all.iter().filter(is_undecided).copied().collect();
        undecided.sort_by_key(|at| {
            let free = &capacity.free[*at];
            (Reverse(free.accelerators), Reverse(free.cpu_millis))
        });
        let workers = undecided.iter().take(MAX_WORKERS_PER_CALL);
        let workers: Vec<_> = workers
            .map(|at| {
                let incarnation = &capacity.workers[*at].incarnation;
                (incarnation.worker.clone(), incarnation.started_ms)
            })
            .collect();
        if !workers.is_empty() {
            let step = step.clone();
            self.advice.next_request = Some(AdviceRequest { step, workers });
        }
    }

    /// Removes a ticket with which a start was refused.
    pub(super) fn remove_ticket(&mut self, task: &TaskId, worker: &WorkerId) {
        if let Some(verdicts) = self.advice.steps.get_mut(&task.step_id()) {
            verdicts.remove(worker);
        }
    }
}
