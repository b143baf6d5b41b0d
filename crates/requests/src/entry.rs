//! The entry side: queues, routing, claims and retries of requests.

mod claiming;
mod dispatching;
mod event;
mod fleet;
mod queue;
mod retry;

use std::collections::{BTreeMap, BTreeSet};

use cumindeck_types::message::Answer;
use cumindeck_types::{
    AgentId, Attempt, Incarnation, NotRunReason, Region, RequestId, TeamId, UncertainReason,
    Uptime, Verdict,
};

pub use event::{
    AgentView, ClaimOrder, DispatchOrder, EntryConfig, EntryEffect, EntryEvent, EntryStats,
    Submission, TeamLimits, TransportFailure,
};

use crate::{PowerOfTwo, Ring, RoutingPolicy};
use fleet::Fleet;
use queue::Queues;
use retry::RetryBudget;

/// Where a request is.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Stage {
    /// Its claim was sent and isn't answered.
    Claiming { order: ClaimOrder, since: Uptime },
    /// Its next claim waits.
    ClaimLater { at: Uptime },
    /// It waits in its team's queue.
    Queued,
    /// It was handed over to an agent.
    InFlight {
        agent: AgentId,
        incarnation: Incarnation,
        since: Uptime,
    },
    /// It waits for nothing and is about to be finished.
    Ended,
}

/// A request without its body.
#[derive(Debug)]
struct Request {
    submission: Submission,
    stage: Stage,
    /// Dispatches so far.
    dispatches: Attempt,
    /// Claims sent so far.
    claims: Attempt,
    /// The last claim that was sent, which may have been granted.
    claim: Option<ClaimOrder>,
    /// When it entered its team's queue.
    queued: Uptime,
    /// The agent that refused the last dispatch.
    avoid: Option<AgentId>,
}

/// Routes requests from callers to agents.
pub struct EntryMachine {
    cfg: EntryConfig,
    policy: Box<dyn RoutingPolicy>,
    fleet: Fleet,
    rings: BTreeMap<Region, Ring>,
    queues: Queues,
    budget: RetryBudget,
    requests: BTreeMap<RequestId, Request>,
    /// Ends of the time limits, the earliest first.
    deadlines: BTreeSet<(Uptime, RequestId)>,
    /// Times of the next step of claims, the earliest first.
    claim_timers: BTreeSet<(Uptime, RequestId)>,
    /// Requests of each team whose claims aren't answered.
    claiming: BTreeMap<TeamId, usize>,
    is_draining: bool,
    is_drained: bool,
    now: Uptime,
    stats: EntryStats,
}

impl EntryMachine {
    /// Makes a machine with the chosen routing policy.
    #[must_use]
    pub fn new(cfg: EntryConfig, seed: u64) -> Self {
        let policy = Box::new(PowerOfTwo::new(cfg.routing, seed));
        Self::with_policy(cfg, policy)
    }

    /// Makes a machine with another routing policy.
    #[must_use]
    pub fn with_policy(cfg: EntryConfig, policy: Box<dyn RoutingPolicy>) -> Self {
        let mut queues = Queues::default();
        queues.configure(Uptime::ZERO, &cfg.teams);
        Self {
            budget: RetryBudget::new(cfg.retry_percent),
            cfg,
            policy,
            fleet: Fleet::default(),
            rings: BTreeMap::new(),
            queues,
            requests: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            claim_timers: BTreeSet::new(),
            claiming: BTreeMap::new(),
            is_draining: false,
            is_drained: false,
            now: Uptime::ZERO,
            stats: EntryStats::default(),
        }
    }

    /// Returns counters for metrics.
    #[must_use]
    pub fn stats(&self) -> EntryStats {
        let queued = self.queues.len();
        EntryStats {
            queued,
            in_flight: self.requests.values().filter(|r| r.is_in_flight()).count(),
            ..self.stats
        }
    }

    /// Returns when [`EntryEvent::Wakeup`] is due, unless an event comes first.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Uptime> {
        let deadline = self.deadlines.first().map(|(at, _)| *at);
        let claim = self.claim_timers.first().map(|(at, _)| *at);
        let is_waiting = self.queues.len() > 0;
        let policy = self.policy.next_wakeup(self.now).filter(|_| is_waiting);
        let token = self.queues.next_token(self.now);
        [deadline, claim, policy, token].into_iter().flatten().min()
    }

    /// Applies an event and returns what to do.
    pub fn step(&mut self, now: Uptime, event: EntryEvent) -> Vec<EntryEffect> {
        self.now = self.now.max(now);
        let mut out = Vec::new();
        match event {
            EntryEvent::Submitted(submission) => self.submit(submission, &mut out),
            EntryEvent::AgentSeen(view) => {
                let agent = view.agent.clone();
                if self.fleet.seen(self.now, view) {
                    self.policy.forget(&agent);
                }
            }
            EntryEvent::AgentGone { agent, incarnation } => {
                if self.fleet.gone(&agent, incarnation) {
                    self.policy.forget(&agent);
                }
            }
            EntryEvent::RingChanged(ring) => self.ring_changed(ring),
            EntryEvent::Dispatched {
                request,
                attempt,
                agent,
                result,
            } => self.dispatched(&request, attempt, &agent, result, &mut out),
            EntryEvent::Claimed {
                request,
                attempt,
                result,
            } => self.claimed(&request, attempt, result, &mut out),
            EntryEvent::Cancelled(request) => self.cancel(&request, &mut out),
            EntryEvent::Wakeup => {}
            EntryEvent::Configured(cfg) => {
                self.queues.configure(self.now, &cfg.teams);
                self.budget.set_percent(cfg.retry_percent);
                self.policy.configure(cfg.routing);
                self.cfg = cfg;
            }
            EntryEvent::Drain => self.is_draining = true,
        }
        // Expired requests leave before anything is sent, because the process
        // may have been frozen before this step.
        self.expire(&mut out);
        self.send_claims(&mut out);
        self.send_dispatches(&mut out);
        if self.is_draining && !self.is_drained && self.requests.is_empty() {
            self.is_drained = true;
            out.push(EntryEffect::Drained);
        }
        out
    }

    fn submit(&mut self, submission: Submission, out: &mut Vec<EntryEffect>) {
        self.stats.submitted += 1;
        let request = submission.request.clone();
        if self.requests.contains_key(&request) {
            return;
        }
        if let Some(reason) = self.refusal(&submission) {
            let verdict = Verdict::NotRun(reason);
            out.push(EntryEffect::Reply { request, verdict });
            return;
        }
        let needs_claim = !submission.is_idempotent && submission.key.is_some();
        let stage = if needs_claim {
            self.claim_timers.insert((self.now, request.clone()));
            let claiming = self.claiming.entry(submission.team.clone());
            *claiming.or_default() += 1;
            Stage::ClaimLater { at: self.now }
        } else {
            self.queues.push(&submission.team, request.clone(), false);
            Stage::Queued
        };
        self.deadlines
            .insert((submission.deadline, request.clone()));
        let entry = Request {
            submission,
            stage,
            dispatches: Attempt::default(),
            claims: Attempt::default(),
            claim: None,
            queued: self.now,
            avoid: None,
        };
        self.requests.insert(request, entry);
    }

    /// Returns why a new request is refused at once.
    fn refusal(&self, submission: &Submission) -> Option<NotRunReason> {
        if self.is_draining {
            return Some(NotRunReason::Draining);
        }
        let Some(limits) = self.queues.limits(&submission.team) else {
            return Some(NotRunReason::BadRequest);
        };
        if submission.deadline <= self.now {
            return Some(NotRunReason::Expired);
        }
        let claiming = self.claiming.get(&submission.team).copied().unwrap_or(0);
        let waiting = claiming + self.queues.waiting(&submission.team);
        let retry_after = self.queues.retry_after(&submission.team);
        (waiting >= limits.queue_limit).then_some(NotRunReason::QueueFull { retry_after })
    }

    fn cancel(&mut self, id: &RequestId, out: &mut Vec<EntryEffect>) {
        let Some(request) = self.take(id, out) else {
            return;
        };
        if !request.is_in_flight() {
            out.extend(request.claim.map(EntryEffect::SettleNotRun));
        }
    }

    fn expire(&mut self, out: &mut Vec<EntryEffect>) {
        while let Some((deadline, id)) = self.deadlines.first() {
            if *deadline > self.now {
                return;
            }
            let id = id.clone();
            let stage = self.requests.get(&id).map(|request| &request.stage);
            let verdict = match stage {
                Some(Stage::InFlight { .. }) => Verdict::MayHaveRun(UncertainReason::TimedOut),
                Some(Stage::Queued) if !self.fleet.has_serving() => {
                    Verdict::NotRun(NotRunReason::NoCapacity)
                }
                Some(Stage::Queued) => Verdict::NotRun(NotRunReason::Expired),
                _ => Verdict::NotRun(NotRunReason::ClaimUnavailable),
            };
            if let Verdict::MayHaveRun(_) = verdict {
                self.observe_timeout(&id);
            }
            self.finish(&id, verdict, out);
        }
    }

    /// Replies to the caller and forgets the request.
    fn finish(&mut self, id: &RequestId, verdict: Verdict<Answer>, out: &mut Vec<EntryEffect>) {
        let Some(request) = self.take(id, out) else {
            return;
        };
        if verdict.is_not_run() {
            out.extend(request.claim.map(EntryEffect::SettleNotRun));
        }
        let request = id.clone();
        out.push(EntryEffect::Reply { request, verdict });
    }

    /// Removes a request and abandons what it waits for.
    fn take(&mut self, id: &RequestId, out: &mut Vec<EntryEffect>) -> Option<Request> {
        let request = self.requests.remove(id)?;
        if request.is_claiming() {
            self.end_claiming(&request.submission.team);
        }
        self.deadlines
            .remove(&(request.submission.deadline, id.clone()));
        match &request.stage {
            Stage::Ended => {}
            Stage::Queued => self.queues.remove(&request.submission.team, id),
            Stage::ClaimLater { at } => {
                self.claim_timers.remove(&(*at, id.clone()));
            }
            Stage::Claiming { order, since } => {
                self.claim_timers
                    .remove(&(claiming::timeout(*since), id.clone()));
                out.push(EntryEffect::Abandon {
                    request: id.clone(),
                    attempt: order.attempt,
                    agent: order.agent.clone(),
                });
            }
            Stage::InFlight {
                agent, incarnation, ..
            } => {
                self.fleet.ended(agent, *incarnation);
                out.push(EntryEffect::Abandon {
                    request: id.clone(),
                    attempt: request.dispatches,
                    agent: agent.clone(),
                });
            }
        }
        Some(request)
    }
}

impl Request {
    const fn is_claiming(&self) -> bool {
        matches!(
            self.stage,
            Stage::Claiming { .. } | Stage::ClaimLater { .. }
        )
    }

    const fn is_in_flight(&self) -> bool {
        matches!(self.stage, Stage::InFlight { .. })
    }
}
