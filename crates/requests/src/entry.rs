//! State machine of an entry's request path: queues, routing, claims and retries.
//!
//! The control decisions of an entry are in `SiteMachine` of `cumindeck-site`.

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

/// Stage of a pending request.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Stage {
    /// A claim was sent and has no reply yet.
    Claiming { order: ClaimOrder, since: Uptime },
    /// The next claim is sent at this time.
    ClaimScheduled { at: Uptime },
    /// The request waits in its team's queue.
    Queued,
    /// The request was dispatched to an agent.
    InFlight {
        agent: AgentId,
        incarnation: Incarnation,
        since: Uptime,
    },
    /// Nothing is pending; the same step removes the request or queues it again.
    Ended,
}

/// A pending request; its body isn't kept here.
#[derive(Debug)]
struct Request {
    submission: Submission,
    stage: Stage,
    /// Dispatches so far.
    dispatches: Attempt,
    /// Claims sent so far.
    claims: Attempt,
    /// Last claim sent; it may have been granted even if no reply arrived.
    claim: Option<ClaimOrder>,
    /// When it entered its team's queue.
    queued: Uptime,
    /// Agent that refused the last dispatch.
    avoid: Option<AgentId>,
}

/// State machine that routes callers' requests to agents.
pub struct EntryMachine {
    cfg: EntryConfig,
    policy: Box<dyn RoutingPolicy>,
    fleet: Fleet,
    rings: BTreeMap<Region, Ring>,
    queues: Queues,
    budget: RetryBudget,
    requests: BTreeMap<RequestId, Request>,
    /// Deadlines of the requests, earliest first.
    deadlines: BTreeSet<(Uptime, RequestId)>,
    /// Times at which a claim is sent or times out, earliest first.
    claim_timers: BTreeSet<(Uptime, RequestId)>,
    /// Number of requests of each team whose claim isn't granted yet.
    pending_claims: BTreeMap<TeamId, usize>,
    is_draining: bool,
    is_drained: bool,
    now: Uptime,
    stats: EntryStats,
}

impl EntryMachine {
    /// Creates a state machine with the [`PowerOfTwo`] policy.
    #[must_use]
    pub fn new(cfg: EntryConfig, seed: u64) -> Self {
        let policy = Box::new(PowerOfTwo::new(cfg.routing, seed));
        Self::with_policy(cfg, policy)
    }

    /// Creates a state machine with another routing policy.
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
            pending_claims: BTreeMap::new(),
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

    /// Returns when [`EntryEvent::Wakeup`] is due if no other event comes first.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Uptime> {
        let deadline = self.deadlines.first().map(|(at, _)| *at);
        let claim = self.claim_timers.first().map(|(at, _)| *at);
        let is_waiting = self.queues.len() > 0;
        let policy = self.policy.next_wakeup(self.now).filter(|_| is_waiting);
        let token = self.queues.next_token(self.now);
        [deadline, claim, policy, token].into_iter().flatten().min()
    }

    /// Applies an event and returns the effects to carry out.
    pub fn step(&mut self, now: Uptime, event: EntryEvent) -> Vec<EntryEffect> {
        self.now = self.now.max(now);
        let mut out = Vec::new();
        match event {
            EntryEvent::Submitted(submission) => self.submit(submission, &mut out),
            EntryEvent::AgentSeen(view) => {
                let agent = view.agent.clone();
                if self.fleet.apply_view(self.now, view) {
                    self.policy.remove_agent(&agent);
                }
            }
            EntryEvent::AgentGone { agent, incarnation } => {
                if self.fleet.remove(&agent, incarnation) {
                    self.policy.remove_agent(&agent);
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
        // Requests expire before anything is sent, because the process may have been
        // paused since the last step.
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
            let claiming = self.pending_claims.entry(submission.team.clone());
            *claiming.or_default() += 1;
            Stage::ClaimScheduled { at: self.now }
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

    /// Returns why a new request is refused, or `None` if it is accepted.
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
        let claiming = self
            .pending_claims
            .get(&submission.team)
            .copied()
            .unwrap_or(0);
        let waiting = claiming + self.queues.waiting(&submission.team);
        let retry_after = self.queues.retry_after(&submission.team);
        (waiting >= limits.queue_limit).then_some(NotRunReason::QueueFull { retry_after })
    }

    fn cancel(&mut self, id: &RequestId, out: &mut Vec<EntryEffect>) {
        let Some(request) = self.take(id, out) else {
            return;
        };
        if !request.is_in_flight() {
            out.extend(request.claim.map(EntryEffect::ReleaseClaim));
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

    /// Replies to the caller and removes the request.
    fn finish(&mut self, id: &RequestId, verdict: Verdict<Answer>, out: &mut Vec<EntryEffect>) {
        let Some(request) = self.take(id, out) else {
            return;
        };
        if verdict.is_not_run() {
            out.extend(request.claim.map(EntryEffect::ReleaseClaim));
        }
        let request = id.clone();
        out.push(EntryEffect::Reply { request, verdict });
    }

    /// Removes a request, its timers and its pending message.
    fn take(&mut self, id: &RequestId, out: &mut Vec<EntryEffect>) -> Option<Request> {
        let request = self.requests.remove(id)?;
        if request.is_claiming() {
            self.remove_pending_claim(&request.submission.team);
        }
        self.deadlines
            .remove(&(request.submission.deadline, id.clone()));
        match &request.stage {
            Stage::Ended => {}
            Stage::Queued => self.queues.remove(&request.submission.team, id),
            Stage::ClaimScheduled { at } => {
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
                self.fleet.remove_dispatch(agent, *incarnation);
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
            Stage::Claiming { .. } | Stage::ClaimScheduled { .. }
        )
    }

    const fn is_in_flight(&self) -> bool {
        matches!(self.stage, Stage::InFlight { .. })
    }
}
