//! Claims of idempotency keys, which precede the first dispatch.

use std::time::Duration;

use cumindeck_types::message::{Answer, Claim, ClaimReply};
use cumindeck_types::{
    Attempt, NotRunReason, Remaining, RequestId, TeamId, UncertainReason, Uptime, Verdict,
};

use super::{ClaimOrder, EntryEffect, EntryMachine, Stage, TransportFailure};
use crate::Ring;

/// Time after which a claim without a reply counts as lost; a round trip between
/// regions takes 40 ms.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(400);
/// Delay before the second claim; doubles before each further one.
const CLAIM_BACKOFF: Duration = Duration::from_millis(50);
/// Maximum number of claims, after which the request is refused. With all timeouts
/// and delays this takes 3 s at most.
const MAX_CLAIMS: u64 = 5;

/// Returns when a claim sent at `since` counts as lost.
pub(super) const fn timeout(since: Uptime) -> Uptime {
    since.plus(CLAIM_TIMEOUT)
}

impl EntryMachine {
    pub(super) fn ring_changed(&mut self, ring: Ring) {
        let known = self.rings.get(&ring.region);
        if known.is_some_and(|known| known.version >= ring.version) {
            return;
        }
        // Scheduled claims may wait for a newer ring, so they are sent immediately.
        for (id, request) in &mut self.requests {
            let Stage::ClaimScheduled { at } = &mut request.stage else {
                continue;
            };
            self.claim_timers.remove(&(*at, id.clone()));
            *at = self.now;
            self.claim_timers.insert((self.now, id.clone()));
        }
        self.rings.insert(ring.region.clone(), ring);
    }

    /// Sends the claims that are due and abandons those that timed out.
    pub(super) fn send_claims(&mut self, out: &mut Vec<EntryEffect>) {
        while let Some((at, id)) = self.claim_timers.first() {
            if *at > self.now {
                return;
            }
            let id = id.clone();
            self.claim_timers.pop_first();
            let Some(request) = self.requests.get(&id) else {
                continue;
            };
            match &request.stage {
                Stage::ClaimScheduled { .. } => self.send_claim(&id, out),
                Stage::Claiming { order, .. } => {
                    out.push(EntryEffect::Abandon {
                        request: id.clone(),
                        attempt: order.attempt,
                        agent: order.agent.clone(),
                    });
                    self.schedule_claim(&id, out);
                }
                Stage::Queued | Stage::InFlight { .. } | Stage::Ended => {}
            }
        }
    }

    pub(super) fn claimed(
        &mut self,
        id: &RequestId,
        attempt: Attempt,
        result: Result<ClaimReply, TransportFailure>,
        out: &mut Vec<EntryEffect>,
    ) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        let Stage::Claiming { order, since } = &request.stage else {
            return;
        };
        if order.attempt != attempt {
            return;
        }
        self.claim_timers.remove(&(timeout(*since), id.clone()));
        match result {
            Ok(ClaimReply::Granted) => {
                request.stage = Stage::Queued;
                request.queued = self.now;
                let team = request.submission.team.clone();
                self.remove_pending_claim(&team);
                self.queues.push(&team, id.clone(), false);
            }
            Ok(ClaimReply::AlreadyClaimed) => {
                let verdict = Verdict::MayHaveRun(UncertainReason::AlreadyClaimed);
                self.finish_claim(id, verdict, out);
            }
            Ok(ClaimReply::Uncertain) => {
                let verdict = Verdict::MayHaveRun(UncertainReason::UnknownHistory);
                self.finish_claim(id, verdict, out);
            }
            Ok(ClaimReply::Full) => {
                let verdict = Verdict::NotRun(NotRunReason::ClaimUnavailable);
                self.finish_claim(id, verdict, out);
            }
            Ok(ClaimReply::NotHome) => {
                let limits = self.queues.limits(&request.submission.team);
                let region = limits.map(|limits| limits.home_region.clone());
                out.extend(region.map(EntryEffect::RefreshRing));
                self.schedule_claim(id, out);
            }
            Ok(ClaimReply::NotReady) | Err(_) => self.schedule_claim(id, out),
        }
    }

    /// Decrements the number of pending claims of a team.
    pub(super) fn remove_pending_claim(&mut self, team: &TeamId) {
        if let Some(claiming) = self.pending_claims.get_mut(team) {
            *claiming = claiming.saturating_sub(1);
        }
    }

    fn send_claim(&mut self, id: &RequestId, out: &mut Vec<EntryEffect>) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        let submission = &request.submission;
        let limits = self.queues.limits(&submission.team);
        let ring = limits.and_then(|limits| self.rings.get(&limits.home_region));
        let home = ring.zip(submission.key.as_ref());
        let home = home.and_then(|(ring, key)| Some((ring, key, ring.home(key)?)));
        request.claims = request.claims.next();
        let Some((ring, key, member)) = home else {
            self.schedule_claim(id, out);
            return;
        };
        let order = ClaimOrder {
            agent: member.agent.clone(),
            incarnation: member.incarnation,
            attempt: request.claims,
            claim: Claim {
                team: submission.team.clone(),
                key: key.clone(),
                entry: self.cfg.entry.clone(),
                id: id.clone(),
                ring_version: ring.version,
                remaining: Remaining::until(submission.deadline, self.now),
            },
        };
        out.push(EntryEffect::Claim(order.clone()));
        self.claim_timers.insert((timeout(self.now), id.clone()));
        request.claim = Some(order.clone());
        request.stage = Stage::Claiming {
            order,
            since: self.now,
        };
    }

    /// Schedules the next claim, or refuses the request after the last one.
    fn schedule_claim(&mut self, id: &RequestId, out: &mut Vec<EntryEffect>) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        let sent = request.claims.get();
        let doublings = u32::try_from(sent.saturating_sub(1)).unwrap_or(0).min(8);
        let at = self.now.plus(CLAIM_BACKOFF * (1 << doublings));
        if sent >= MAX_CLAIMS {
            let verdict = Verdict::NotRun(NotRunReason::ClaimUnavailable);
            self.finish_claim(id, verdict, out);
            return;
        }
        request.stage = Stage::ClaimScheduled { at };
        self.claim_timers.insert((at, id.clone()));
    }

    /// Replies to a request whose claim wasn't granted.
    fn finish_claim(
        &mut self,
        id: &RequestId,
        verdict: Verdict<Answer>,
        out: &mut Vec<EntryEffect>,
    ) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        request.stage = Stage::Ended;
        if !verdict.is_not_run() {
            request.claim = None;
        }
        let team = request.submission.team.clone();
        self.remove_pending_claim(&team);
        self.finish(id, verdict, out);
    }
}
