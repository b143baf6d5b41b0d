//! State machine of an agent, without I/O.

mod event;

use std::net::SocketAddr;
use std::time::Duration;

use cumindeck_control::agent_lease::{HeldLease, LeaseOutcome};
use cumindeck_control::config_version::ConfigView;
use cumindeck_control::gang::{
    ExecutionRights, GangMonitor, MonitorEffect, TaskEffect, TaskEnd, TaskTable,
};
use cumindeck_control::membership::announce_targets;
use cumindeck_control::zone::StartRights;
use cumindeck_requests::{
    AdmissionConfig, AdmissionEffect, AdmissionEvent, AdmissionMachine, ClaimConfig, ClaimTable,
    Ring, RingMember,
};
use cumindeck_types::message::{
    AgentState, AnnounceReply, Announcement, EntryAddress, Load, RingView,
};
use cumindeck_types::{
    AgentId, AvailabilityZone, Incarnation, RackId, Region, Remaining, RingVersion, Uptime,
    WorkerId,
};
use smallvec::SmallVec;

pub use event::{AgentEffect, AgentEvent, CallId};

/// Time between two renewals of the lease at the worker.
const RENEW_PERIOD: Duration = Duration::from_secs(1);

/// Identity, location and limits of an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AgentIdentity {
    /// Id from the settings, the same in each incarnation.
    pub agent: AgentId,
    /// Incarnation of the agent's process.
    pub incarnation: Incarnation,
    /// The agent's availability zone.
    pub zone: AvailabilityZone,
    /// The agent's region.
    pub region: Region,
    /// Address that is announced to entries and other agents.
    pub address: SocketAddr,
    /// Id of the worker beside the agent.
    pub worker: WorkerId,
    /// The worker's rack.
    pub rack: RackId,
    /// Number of the worker's accelerators.
    pub accelerators: u32,
    /// Limits of the backend server.
    pub admission: AdmissionConfig,
    /// Entries to which the agent announces itself while it knows no others.
    pub seeds: Vec<SocketAddr>,
}

/// Decides about an agent's requests, claims, leases and tasks, without input or output.
pub struct AgentCore {
    identity: AgentIdentity,
    admission: AdmissionMachine,
    claims: ClaimTable,
    lease: HeldLease,
    rights: StartRights,
    config: ConfigView,
    tasks: TaskTable,
    gang_monitor: GangMonitor,
    entries: Vec<EntryAddress>,
    leader: Option<SocketAddr>,
    ring_version: RingVersion,
    is_leaving: bool,
    /// When the first lease with the current token arrived.
    token_since: Uptime,
    /// When the lease at the worker is renewed next.
    next_renewal: Uptime,
}

impl AgentCore {
    /// Creates the state machine of an agent that starts at `now`.
    ///
    /// `wall` is the wall-clock time at `now`, since the Unix epoch.
    #[must_use]
    pub fn new(identity: AgentIdentity, now: Uptime, wall: Duration) -> Self {
        let member = RingMember {
            agent: identity.agent.clone(),
            incarnation: identity.incarnation,
        };
        Self {
            admission: AdmissionMachine::new(identity.admission),
            claims: ClaimTable::new(ClaimConfig::new(member), now, wall),
            lease: HeldLease::default(),
            rights: StartRights::default(),
            config: ConfigView::default(),
            tasks: TaskTable::default(),
            gang_monitor: GangMonitor::default(),
            entries: Vec::new(),
            leader: None,
            ring_version: RingVersion::default(),
            is_leaving: false,
            token_since: now,
            next_renewal: now,
            identity,
        }
    }

    /// Returns the load for replies to dispatches.
    #[must_use]
    pub fn load(&self) -> Load {
        self.admission.load()
    }

    /// Returns whether the agent has a confirmed configuration and isn't leaving.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.config.is_ready() && !self.is_leaving
    }

    /// Returns the next announcement and the addresses it goes to.
    #[must_use]
    pub fn announcement(&self) -> (Announcement, SmallVec<[SocketAddr; 4]>) {
        let load = self.admission.load();
        let announcement = Announcement {
            agent: self.identity.agent.clone(),
            incarnation: self.identity.incarnation,
            zone: self.identity.zone.clone(),
            region: self.identity.region.clone(),
            address: self.identity.address,
            state: if self.is_leaving {
                AgentState::Leaving
            } else {
                AgentState::Serving
            },
            slots: self.identity.admission.slots,
            connections: self.identity.admission.connections,
            in_flight: load.in_flight,
            ring_version: self.ring_version,
            worker: self.identity.worker.clone(),
            rack: self.identity.rack.clone(),
            accelerators: self.identity.accelerators,
            newest_token: self.lease.token(),
            tasks: self.tasks.reports(),
        };
        let mut targets = announce_targets(&self.identity.agent, &self.entries, self.leader);
        if targets.is_empty() {
            targets.extend(
                self.identity
                    .seeds
                    .iter()
                    .copied()
                    .take(targets.inline_size()),
            );
        }
        (announcement, targets)
    }

    /// Removes all known entries, because none replies; the seeds are used again.
    pub fn entries_lost(&mut self) {
        self.entries.clear();
        self.leader = None;
    }

    /// Applies an event and returns the effects to carry out.
    pub fn step(&mut self, now: Uptime, wall: Duration, event: AgentEvent) -> Vec<AgentEffect> {
        let mut effects = self.tick(now);
        effects.extend(self.apply(now, wall, event));
        effects
    }

    /// Returns when [`AgentEvent::Wakeup`] is due.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Uptime> {
        let wakeups = [
            self.tasks.next_wakeup(&self.execution_rights()),
            self.gang_monitor.next_wakeup(),
            self.tasks.has_tasks().then_some(self.next_renewal),
        ];
        wakeups.into_iter().flatten().min()
    }

    fn apply(&mut self, now: Uptime, wall: Duration, event: AgentEvent) -> Vec<AgentEffect> {
        match event {
            AgentEvent::DispatchReceived {
                request,
                attempt,
                remaining,
                received,
            } => {
                let event = AdmissionEvent::DispatchReceived {
                    request,
                    attempt,
                    remaining,
                    received,
                };
                self.step_admission(now, event)
            }
            AgentEvent::BackendEnded { request, attempt } => {
                self.step_admission(now, AdmissionEvent::Finished { request, attempt })
            }
            AgentEvent::Claim(call, claim) => {
                let reply = self.claims.claim(now, wall, &claim);
                vec![AgentEffect::ReplyClaim(call, reply)]
            }
            AgentEvent::ReleaseClaim(claim) => {
                self.claims.release(&claim);
                Vec::new()
            }
            AgentEvent::Reserve(call, reserve) => self
                .with_tasks(now, |tasks, execution_rights| {
                    tasks.reserve(now, execution_rights, call, &reserve)
                }),
            AgentEvent::StartTask(call, start) => self
                .with_tasks(now, |tasks, execution_rights| {
                    tasks.start(now, execution_rights, call, &start)
                }),
            AgentEvent::Stop(call, task) => self.with_tasks(now, |tasks, execution_rights| {
                tasks.stop(now, execution_rights, call, &task)
            }),
            AgentEvent::Checkpoint(call, task) => self
                .with_tasks(now, |tasks, execution_rights| {
                    tasks.checkpoint(execution_rights, call, &task)
                }),
            AgentEvent::Heartbeat(call, heartbeat) => {
                vec![AgentEffect::ReplyTask(
                    call,
                    self.gang_monitor.on_heartbeat(now, &heartbeat),
                )]
            }
            AgentEvent::HeartbeatReplied {
                sent_at,
                id,
                answer,
            } => {
                let effects = self.gang_monitor.on_heartbeat_reply(sent_at, &id, answer);
                self.monitor_effects(now, effects)
            }
            AgentEvent::Prepared { id, is_ok } => {
                self.with_tasks(now, |tasks, _| tasks.on_prepared(now, &id, is_ok))
            }
            AgentEvent::Started { id, members, is_ok } => {
                if is_ok {
                    self.gang_monitor.start(now, id.clone(), &members);
                }
                self.with_tasks(now, |tasks, _| tasks.on_started(&id, is_ok))
            }
            AgentEvent::Ended { id, end } => {
                if end == TaskEnd::Succeeded {
                    self.gang_monitor.succeeded(&id);
                } else {
                    self.gang_monitor.lost(now, &id);
                }
                self.with_tasks(now, |tasks, _| tasks.on_ended(now, &id, end))
            }
            AgentEvent::Replied { sent_at, reply } => self.on_reply(now, wall, sent_at, reply),
            AgentEvent::Wakeup => Vec::new(),
            AgentEvent::Drain => {
                self.is_leaving = true;
                self.step_admission(now, AdmissionEvent::Leave)
            }
        }
    }

    /// Stops tasks that have lost their lease, their start right or their gang, and
    /// renews the lease at the worker. Runs before each event, because the process may
    /// have been paused.
    fn tick(&mut self, now: Uptime) -> Vec<AgentEffect> {
        let monitor_effects = self.gang_monitor.tick(now);
        let mut effects = self.monitor_effects(now, monitor_effects);
        effects.extend(self.with_tasks(now, |tasks, execution_rights| {
            tasks.tick(now, execution_rights)
        }));
        effects.extend(self.renew(now));
        effects
    }

    /// Renews the lease that lets the worker run the tasks, also while no entry renews the
    /// agent's lease: a lease at the worker is far shorter than an outage lease.
    fn renew(&mut self, now: Uptime) -> Vec<AgentEffect> {
        if now < self.next_renewal || !self.tasks.has_tasks() || !self.lease.is_live(now) {
            return Vec::new();
        }
        self.next_renewal = now.plus(RENEW_PERIOD);
        let lease = Remaining::until(self.execution_rights().worker_lease(now), now);
        vec![AgentEffect::Renew(lease)]
    }

    fn on_reply(
        &mut self,
        now: Uptime,
        wall: Duration,
        sent_at: Uptime,
        reply: AnnounceReply,
    ) -> Vec<AgentEffect> {
        self.config
            .on_reply(sent_at, reply.config_version, reply.is_config_confirmed);
        for right in &reply.zone_rights {
            self.rights.on_reply(sent_at, right);
        }
        if !reply.entries.is_empty() {
            self.entries = reply.entries;
        }
        if reply.leader.is_some() {
            self.leader = reply.leader;
        }
        if let Some(ring) = reply.ring.filter(|ring| ring.version > self.ring_version) {
            self.ring_version = ring.version;
            self.claims.install_ring(now, wall, to_ring(ring));
        }
        let Some(lease) = reply.lease else {
            return Vec::new();
        };
        let former_token = self.lease.token();
        if self.lease.on_reply(sent_at, lease) == LeaseOutcome::StaleToken {
            return Vec::new();
        }
        if lease.token > former_token {
            self.token_since = now;
            self.tasks.on_new_token();
        } else if sent_at >= self.token_since {
            // The announcement of this reply was sent to the current leader.
            self.tasks.on_reports_acknowledged(sent_at);
        }
        let expires = lease.remaining.deadline(sent_at);
        if lease.covers_claims {
            self.claims
                .on_lease(lease.token, reply.ring_version, expires);
        }
        self.next_renewal = now;
        self.renew(now)
    }

    fn step_admission(&mut self, now: Uptime, event: AdmissionEvent) -> Vec<AgentEffect> {
        let mut effects = Vec::new();
        for effect in self.admission.step(now, event) {
            match effect {
                // The transport obtains the connection itself, so the request is
                // forwarded immediately.
                AdmissionEffect::Admit { request, attempt } => {
                    effects.extend(
                        self.step_admission(now, AdmissionEvent::Connected { request, attempt }),
                    );
                }
                AdmissionEffect::Forward {
                    request,
                    attempt,
                    remaining,
                } => {
                    effects.push(AgentEffect::Forward {
                        request,
                        attempt,
                        remaining,
                    });
                }
                AdmissionEffect::Refuse {
                    request,
                    attempt,
                    reason,
                } => {
                    effects.push(AgentEffect::Refuse {
                        request,
                        attempt,
                        reason,
                    });
                }
                AdmissionEffect::Drained => effects.push(AgentEffect::Drained),
            }
        }
        effects
    }

    fn monitor_effects(&mut self, now: Uptime, effects: Vec<MonitorEffect>) -> Vec<AgentEffect> {
        let mut out = Vec::new();
        for effect in effects {
            match effect {
                MonitorEffect::Heartbeat(to, msg) => out.push(AgentEffect::Heartbeat(to, msg)),
                MonitorEffect::Stop(id) => out.extend(self.with_tasks(now, |tasks, _| {
                    tasks.stop_local(&id, "a gang member was lost")
                })),
            }
        }
        out
    }

    /// Runs one step of the task table and converts its effects to those of the agent.
    fn with_tasks(
        &mut self,
        now: Uptime,
        step: impl FnOnce(&mut TaskTable, &ExecutionRights<'_>) -> Vec<TaskEffect>,
    ) -> Vec<AgentEffect> {
        let execution_rights = ExecutionRights {
            lease: &self.lease,
            rights: &self.rights,
            zone: &self.identity.zone,
        };
        let mut queue = step(&mut self.tasks, &execution_rights);
        let mut effects = Vec::new();
        while !queue.is_empty() {
            let mut more = Vec::new();
            for effect in queue {
                match effect {
                    TaskEffect::Answer(call, answer) => {
                        effects.push(AgentEffect::ReplyTask(call, answer));
                    }
                    TaskEffect::Prepare(id, reserve) => {
                        let lease = Remaining::until(execution_rights.worker_lease(now), now);
                        effects.push(AgentEffect::Prepare { id, reserve, lease });
                    }
                    TaskEffect::Run {
                        id,
                        not_after,
                        members,
                    } => match self.tasks.may_run(now, &execution_rights, &id) {
                        Ok(()) => effects.push(AgentEffect::Run {
                            id,
                            not_after,
                            members,
                        }),
                        Err(stops) => more.extend(stops),
                    },
                    TaskEffect::Checkpoint(id) => effects.push(AgentEffect::CheckpointTask(id)),
                    TaskEffect::Stop(id) => effects.push(AgentEffect::StopTask(id)),
                }
            }
            queue = more;
        }
        effects
    }

    const fn execution_rights(&self) -> ExecutionRights<'_> {
        ExecutionRights {
            lease: &self.lease,
            rights: &self.rights,
            zone: &self.identity.zone,
        }
    }
}

fn to_ring(view: RingView) -> Ring {
    let to_member = |member: cumindeck_types::message::RingMemberView| RingMember {
        agent: member.agent,
        incarnation: member.incarnation,
    };
    Ring {
        region: view.region,
        version: view.version,
        members: view.members.into_iter().map(to_member).collect(),
    }
}
