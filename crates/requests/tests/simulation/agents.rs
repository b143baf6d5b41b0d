//! Agents, the leader and the faults of the simulation.

use super::*;

impl Simulation {
    pub(super) fn deliver_to_agent(
        &mut self,
        agent: usize,
        incarnation: u64,
        from: Option<Peer>,
        message: Message,
    ) {
        let node = &mut self.agents[agent];
        if node.incarnation != incarnation || !node.is_alive {
            // The connection is refused, so nothing was read.
            if let Some(from) = from {
                self.fail(from, agent, &message, true);
            }
            return;
        }
        if node.paused_until > self.now {
            let until = node.paused_until;
            return self.delay_until(until, SimEvent::ToAgent(agent, incarnation, from, message));
        }
        let wall = Self::wall(self.now, node.clock_ms);
        match message {
            Message::Dispatch(order) => {
                let Some(from) = from else { return };
                let deadline = order.remaining.deadline(self.now);
                node.calls
                    .insert((order.request.clone(), order.attempt), (from, deadline));
                let event = AdmissionEvent::DispatchReceived {
                    request: order.request,
                    attempt: order.attempt,
                    remaining: order.remaining,
                    received: self.now,
                };
                self.admission(agent, event);
            }
            Message::Connected(request, attempt) => {
                self.admission(agent, AdmissionEvent::Connected { request, attempt });
            }
            Message::Finished(request, attempt) => {
                let answer = Answer {
                    id: request.clone(),
                    attempt,
                    status: 200,
                    content_type: "text/plain".to_owned(),
                    body: request.as_str().as_bytes().to_vec(),
                };
                let call = (request.clone(), attempt);
                node.running.remove(&call);
                self.admission(agent, AdmissionEvent::Finished { request, attempt });
                self.reply(agent, &call, Verdict::Answered(answer));
            }
            Message::Claim(order) => {
                let Some(from) = from else { return };
                let mut reply = node.claims.claim(self.now, wall, &order.claim);
                let is_disabled = match self.disabled {
                    DisabledSafeguard::ClaimsOff => true,
                    DisabledSafeguard::HistoryIgnored => reply == ClaimReply::Uncertain,
                    DisabledSafeguard::Nothing | DisabledSafeguard::RetryAfterMayHaveRun => false,
                };
                if is_disabled {
                    reply = ClaimReply::Granted;
                }
                self.checks.count(&format!("claim {reply:?}"));
                let event = EntryEvent::Claimed {
                    request: order.claim.id.clone(),
                    attempt: order.attempt,
                    result: Ok(reply),
                };
                self.answer(agent, from, event, &Message::Claim(order));
            }
            Message::Settle(ClaimOrder { claim, .. }) => {
                node.claims.release(&claim);
            }
            Message::Announce => self.announce(agent),
            Message::Leased(sent_at, ring) => {
                let version = ring.version;
                node.claims.install_ring(self.now, wall, ring);
                node.claims
                    .on_lease(FencingToken::new(1), version, sent_at.plus(LEASE));
            }
            Message::Leave => {
                node.leaving = Some(self.now);
                self.admission(agent, AdmissionEvent::Leave);
                self.announce(agent);
            }
        }
    }

    fn admission(&mut self, agent: usize, event: AdmissionEvent) {
        for effect in self.agents[agent].admission.step(self.now, event) {
            match effect {
                AdmissionEffect::Admit { request, attempt } => {
                    let delay = self.random_millis(0..3);
                    self.send_to_agent(agent, delay, None, Message::Connected(request, attempt));
                }
                AdmissionEffect::Forward {
                    request, attempt, ..
                } => {
                    let node = &mut self.agents[agent];
                    node.running.insert((request.clone(), attempt));
                    let running = node.running.len();
                    let limit = node.calls.get(&(request.clone(), attempt));
                    if limit.is_none_or(|(_, deadline)| *deadline <= self.now) {
                        self.checks
                            .fail(format!("{request} started after its time limit"));
                    }
                    let is_past_leaving = node
                        .leaving
                        .is_some_and(|at| self.now.since(at) > Duration::from_secs(3));
                    self.checks.ran(&request, running, is_past_leaving);
                    let is_hanging = self.chance(3);
                    let delay = if is_hanging {
                        self.random_millis(3000..9000)
                    } else {
                        self.random_millis(5..400)
                    };
                    self.send_to_agent(agent, delay, None, Message::Finished(request, attempt));
                }
                AdmissionEffect::Refuse {
                    request,
                    attempt,
                    reason,
                } => {
                    self.reply(agent, &(request, attempt), Verdict::NotRun(reason));
                }
                AdmissionEffect::Drained => self.checks.count("agent drained"),
            }
        }
    }

    fn reply(&mut self, agent: usize, call: &(RequestId, Attempt), verdict: Verdict<Answer>) {
        let Some((to, _)) = self.agents[agent].calls.remove(call) else {
            return;
        };
        let load = self.agents[agent].admission.load();
        let event = EntryEvent::Dispatched {
            request: call.0.clone(),
            attempt: call.1,
            agent: agent_id(agent),
            result: Ok(DispatchReply { load, verdict }),
        };
        if let Some(delay) = self.network_delay(agent, to.0) {
            if self.chance(5) {
                let again = self.random_millis(0..2000);
                self.schedule(delay + again, SimEvent::ToEntry(to, event.clone()));
            }
            self.schedule(delay, SimEvent::ToEntry(to, event));
        } else if self.chance(70) {
            self.report_lost_reply(agent, call, to);
        }
    }

    /// Reports that the connection broke while a call was in flight.
    fn report_lost_reply(&mut self, agent: usize, call: &(RequestId, Attempt), to: Peer) {
        let event = EntryEvent::Dispatched {
            request: call.0.clone(),
            attempt: call.1,
            agent: agent_id(agent),
            result: Err(TransportFailure {
                is_not_sent: self.disabled == DisabledSafeguard::RetryAfterMayHaveRun,
            }),
        };
        let delay = self.random_millis(1..300);
        self.schedule(delay, SimEvent::ToEntry(to, event));
    }

    fn answer(&mut self, agent: usize, to: Peer, event: EntryEvent, asked: &Message) {
        match self.network_delay(agent, to.0) {
            Some(delay) => self.schedule(delay, SimEvent::ToEntry(to, event)),
            None => self.fail(to, agent, asked, false),
        }
    }

    fn announce(&mut self, agent: usize) {
        let node = &self.agents[agent];
        let load = node.admission.load();
        let view = AgentView {
            agent: agent_id(agent),
            incarnation: Incarnation::new(node.incarnation),
            zone: id("zone"),
            region: region(agent),
            is_zone_open: true,
            is_leaving: load.is_leaving,
            is_suspect: false,
            slots: load.slots,
            connections: 3,
            in_flight: load.in_flight,
        };
        for entry in 0..self.entries.len() {
            let peer = Peer(entry, self.entries[entry].incarnation);
            // Announcements can be lost on the way while dispatches arrive.
            let is_muted = self.now < self.agents[agent].muted_until;
            if let Some(delay) = self.network_delay(agent, entry).filter(|_| !is_muted) {
                self.schedule(
                    delay,
                    SimEvent::ToEntry(peer, EntryEvent::AgentSeen(view.clone())),
                );
            }
        }
        // The leader runs in the region of the even nodes.
        if let Some(delay) = self.network_delay(agent, 0) {
            let sent_at = self.now;
            self.last_seen
                .insert(view.agent, (view.incarnation, self.now));
            if self
                .ring
                .members
                .iter()
                .any(|m| m.agent == agent_id(agent) && m.incarnation == view.incarnation)
            {
                let ring = self.ring.clone();
                self.send_to_agent(agent, delay * 2, None, Message::Leased(sent_at, ring));
            }
        }
        self.send_to_agent(agent, Duration::from_secs(1), None, Message::Announce);
    }

    /// Returns the agents that were seen recently enough to be members of the ring.
    fn live_members(&self) -> Vec<RingMember> {
        let is_live = |at: Uptime| self.now.since(at) < LEASE + Duration::from_secs(1);
        let live = self.last_seen.iter().filter(|(_, (_, at))| is_live(*at));
        live.map(|(agent, (incarnation, _))| RingMember {
            agent: agent.clone(),
            incarnation: *incarnation,
        })
        .collect()
    }

    /// Updates the ring and sends it to the entries that don't have it yet.
    pub(super) fn update_ring(&mut self) {
        let members = self.live_members();
        if members != self.ring.members {
            self.checks.count("ring changed");
            self.ring.version = self.ring.version.next();
            self.ring.members = members;
        }
        for entry in 0..self.entries.len() {
            let node = &mut self.entries[entry];
            if node.ring < self.ring.version {
                node.ring = self.ring.version;
                let (peer, event) = (
                    Peer(entry, node.incarnation),
                    EntryEvent::RingChanged(self.ring.clone()),
                );
                let delay = self.random_millis(0..1500);
                self.schedule(delay, SimEvent::ToEntry(peer, event));
            }
        }
        self.schedule(Duration::from_millis(500), SimEvent::UpdateRing);
    }

    pub(super) fn inject_fault(&mut self) {
        let agent = self.rng.random_range(0..self.agents.len());
        let entry = self.rng.random_range(0..self.entries.len());
        let until = self.now.plus(self.random_millis(100..10_000));
        match self.rng.random_range(0..9) {
            0 | 1 => {
                self.agents[agent].is_alive = false;
                let calls = std::mem::take(&mut self.agents[agent].calls);
                for (call, (to, _)) in calls {
                    self.report_lost_reply(agent, &call, to);
                }
                let wait = self.random_millis(10..5000);
                self.schedule(wait, SimEvent::Restart(agent));
            }
            2 => {
                let paused_until = &mut self.agents[agent].paused_until;
                *paused_until = until.max(*paused_until);
            }
            3 => {
                let paused_until = &mut self.entries[entry].paused_until;
                *paused_until = until.max(*paused_until);
            }
            4 => {
                let directions = self.rng.random_range(1..4);
                for from in (0..2).filter(|from| directions >> from & 1 == 1) {
                    self.cut_until[from] = until;
                }
            }
            5 => {
                if self.chance(50) {
                    self.agents[agent].muted_until = until;
                }
                self.send_to_agent(agent, Duration::ZERO, None, Message::Leave);
            }
            6 => self.agents[agent].clock_ms += self.rng.random_range(-3_600_000..3_600_000),
            7 => {
                let peer = Peer(entry, self.entries[entry].incarnation);
                self.schedule(Duration::ZERO, SimEvent::ToEntry(peer, EntryEvent::Drain));
            }
            _ => {
                let node = &mut self.entries[entry];
                node.incarnation += 1;
                node.machine = EntryMachine::new(config(entry), node.incarnation);
                (node.wakeup_at, node.request_count, node.ring) = (None, 0, RingVersion::new(0));
                node.paused_until = Uptime::ZERO;
            }
        }
    }
}
