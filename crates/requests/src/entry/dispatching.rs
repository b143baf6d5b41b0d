//! Dispatches of requests to agents, and their results.

use std::time::Duration;

use cumindeck_types::message::{Answer, DispatchReply};
use cumindeck_types::{
    AgentId, Attempt, ByteSize, NotRunReason, Remaining, RequestId, UncertainReason, Verdict,
};

use super::{DispatchOrder, EntryEffect, EntryMachine, Stage, TransportFailure};
use crate::{Outcome, RouteRequest};

impl EntryMachine {
    pub(super) fn dispatched(
        &mut self,
        id: &RequestId,
        attempt: Attempt,
        agent: &AgentId,
        result: Result<DispatchReply, TransportFailure>,
        out: &mut Vec<EntryEffect>,
    ) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        let Stage::InFlight {
            agent: target,
            incarnation,
            since,
        } = &request.stage
        else {
            return;
        };
        if request.dispatches != attempt || target != agent {
            return;
        }
        let (incarnation, latency) = (*incarnation, self.now.since(*since));
        request.stage = Stage::Ended;
        self.fleet.remove_dispatch(agent, incarnation);
        let verdict = match result {
            Ok(reply) => {
                self.fleet
                    .apply_load(self.now, agent, incarnation, reply.load);
                check_response(id, attempt, reply.verdict)
            }
            Err(failure) if failure.is_not_sent => Verdict::NotRun(NotRunReason::Unreachable),
            Err(_) => Verdict::MayHaveRun(UncertainReason::ConnectionLost),
        };
        let outcome = outcome(&verdict, latency);
        self.policy.observe(self.now, agent, outcome);
        if let Verdict::NotRun(reason) = verdict
            && reason.is_retryable()
            && request.submission.deadline > self.now
            && self.budget.take()
        {
            self.stats.retries += 1;
            request.avoid = Some(agent.clone());
            request.stage = Stage::Queued;
            self.queues.push(&request.submission.team, id.clone(), true);
            return;
        }
        self.finish(id, verdict, out);
    }

    /// Reports a timeout to the routing policy as a failure, so that a hanging backend
    /// server gets fewer requests.
    pub(super) fn observe_timeout(&mut self, id: &RequestId) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        if let Stage::InFlight { agent, since, .. } = &request.stage {
            let latency = self.now.since(*since);
            self.policy
                .observe(self.now, agent, Outcome::Failed { latency });
        }
    }

    pub(super) fn send_dispatches(&mut self, out: &mut Vec<EntryEffect>) {
        let Self {
            cfg,
            policy,
            fleet,
            queues,
            requests,
            budget,
            now,
            stats,
            ..
        } = self;
        queues.serve(*now, |id| {
            let Some(request) = requests.get_mut(id) else {
                return false;
            };
            let mut free = fleet.free(&cfg.region);
            if free.len() > 1 {
                free.retain(|candidate| request.avoid.as_ref() != Some(candidate.agent));
            }
            let remaining = Remaining::until(request.submission.deadline, *now);
            let route = RouteRequest {
                body: request.submission.body,
                remaining: remaining.as_duration(),
                waited: now.since(request.queued),
            };
            let choice = policy.choose(*now, route, &free);
            let Some(agent) = choice
                .and_then(|index| free.get(index))
                .map(|c| c.agent.clone())
            else {
                return false;
            };
            let Some(incarnation) = fleet.incarnation(&agent) else {
                return false;
            };
            if request.dispatches == Attempt::default() {
                budget.earn();
                stats.first_attempts += 1;
            }
            stats.last_wait = route.waited;
            request.dispatches = request.dispatches.next();
            fleet.add_dispatch(&agent);
            out.push(EntryEffect::Dispatch(DispatchOrder {
                agent: agent.clone(),
                incarnation,
                request: id.clone(),
                attempt: request.dispatches,
                key: request.submission.key.clone(),
                team: request.submission.team.clone(),
                is_idempotent: request.submission.is_idempotent,
                remaining,
            }));
            request.stage = Stage::InFlight {
                agent,
                incarnation,
                since: *now,
            };
            true
        });
    }
}

/// Replaces a response to another request or attempt by an uncertain verdict.
fn check_response(id: &RequestId, attempt: Attempt, verdict: Verdict<Answer>) -> Verdict<Answer> {
    match verdict {
        Verdict::Answered(answer) if answer.id != *id || answer.attempt != attempt => {
            Verdict::MayHaveRun(UncertainReason::Truncated)
        }
        verdict => verdict,
    }
}

fn outcome(verdict: &Verdict<Answer>, latency: Duration) -> Outcome {
    match verdict {
        Verdict::Answered(answer) if answer.status < 500 => Outcome::Served {
            latency,
            body: ByteSize::new(answer.body.len() as u64),
        },
        Verdict::NotRun(NotRunReason::Unreachable)
        | Verdict::Answered(_)
        | Verdict::MayHaveRun(_) => Outcome::Failed { latency },
        Verdict::NotRun(_) => Outcome::Refused,
    }
}
