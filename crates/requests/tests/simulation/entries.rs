//! Callers and entries of the simulation.

use super::*;

impl Simulation {
    pub(super) fn submit(
        &mut self,
        entry: usize,
        key: Option<IdempotencyKey>,
        is_idempotent: bool,
    ) {
        let node = &mut self.entries[entry];
        node.request_count += 1;
        let request: RequestId = id(&format!(
            "e{entry}-{}-{}",
            node.incarnation, node.request_count
        ));
        let peer = Peer(entry, node.incarnation);
        let timeout = self.random_millis(50..3000);
        let submitted = Submitted {
            key: key.clone(),
            is_idempotent,
            replies: 0,
            is_waiting: false,
            is_cancelled: false,
        };
        self.checks.submitted.insert(request.clone(), submitted);
        let cancelled = request.clone();
        let event = EntryEvent::Submitted(Submission {
            request,
            key,
            team: id("letters"),
            is_idempotent,
            deadline: self.now.plus(timeout),
            body: ByteSize::new(2000),
        });
        self.schedule(Duration::ZERO, SimEvent::ToEntry(peer, event));
        if self.chance(3) {
            let wait = self.random_millis(0..500);
            let event = EntryEvent::Cancelled(cancelled);
            self.schedule(wait, SimEvent::ToEntry(peer, event));
        }
    }

    pub(super) fn step(&mut self, entry: usize, event: EntryEvent) {
        let peer = Peer(entry, self.entries[entry].incarnation);
        match &event {
            EntryEvent::Submitted(submission) => self.checks.arrived(&submission.request),
            EntryEvent::Cancelled(id) => self.checks.cancelled(id),
            _ => {}
        }
        let effects = self.entries[entry].machine.step(self.now, event);
        for effect in effects {
            match effect {
                EntryEffect::Dispatch(order) => {
                    let agent = self.index(&order.agent);
                    self.send(peer, agent, Message::Dispatch(order));
                }
                EntryEffect::Claim(order) => {
                    let agent = self.index(&order.agent);
                    self.send(peer, agent, Message::Claim(order));
                }
                EntryEffect::ReleaseClaim(order) => {
                    let agent = self.index(&order.agent);
                    self.send(peer, agent, Message::Settle(order));
                }
                EntryEffect::Reply { request, verdict } => self.checks.replied(&request, &verdict),
                EntryEffect::RefreshRing(_) => self.entries[entry].ring = RingVersion::new(0),
                EntryEffect::Drained => self.checks.drained(entry, peer.1),
                EntryEffect::Abandon { .. } => {}
            }
        }
        let node = &mut self.entries[entry];
        let Some(wakeup_at) = node.machine.next_wakeup() else {
            return;
        };
        if node
            .wakeup_at
            .is_none_or(|at| at <= self.now || wakeup_at < at)
        {
            node.wakeup_at = Some(wakeup_at);
            let wait = wakeup_at.since(self.now).max(Duration::from_micros(1));
            self.schedule(wait, SimEvent::ToEntry(peer, EntryEvent::Wakeup));
        }
    }

    fn index(&self, agent: &AgentId) -> usize {
        agent.as_str()[1..]
            .parse()
            .expect("agent ids end with a number")
    }

    fn send(&mut self, from: Peer, agent: usize, message: Message) {
        match self.network_delay(from.0, agent) {
            Some(delay) => self.send_to_agent(agent, delay, Some(from), message),
            None => {
                self.checks.count("lost message");
                let is_not_sent = self.chance(50);
                self.fail(from, agent, &message, is_not_sent);
            }
        }
    }

    /// Reports to an entry, in most cases, that a message got no reply.
    pub(super) fn fail(&mut self, to: Peer, agent: usize, message: &Message, is_not_sent: bool) {
        if self.chance(30) {
            return;
        }
        let is_not_sent = is_not_sent || self.disabled == DisabledSafeguard::RetryAfterMayHaveRun;
        let failure = TransportFailure { is_not_sent };
        let event = match message {
            Message::Dispatch(order) => EntryEvent::Dispatched {
                request: order.request.clone(),
                attempt: order.attempt,
                agent: agent_id(agent),
                result: Err(failure),
            },
            Message::Claim(order) => EntryEvent::Claimed {
                request: order.claim.id.clone(),
                attempt: order.attempt,
                result: Err(failure),
            },
            _ => return,
        };
        let delay = self.random_millis(1..300);
        self.schedule(delay, SimEvent::ToEntry(to, event));
    }
}
