//! The virtual clock, the messages in flight and the processes.

mod operations;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use cumindeck_agent::core::{AgentEffect, AgentEvent, CallId};
use cumindeck_control::gang::{OrderId as AgentOrderId, TaskEnd, TaskId};
use cumindeck_control::store::WriteOutcome;
use cumindeck_site::{
    AnnounceCallId, EntryIdentity, OperatorCallId, OperatorRequest, Order, OrderId, RowKey,
    RowRange, RowValue, RowWrite, SiteEffect, SiteEvent, SiteMachine,
};
use cumindeck_types::message::TaskAnswer;
use cumindeck_types::{Incarnation, JobId, Uptime};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::agent_node::{AgentNode, wall};
use crate::checks::Checks;
use crate::faults::{Fault, Plan};
use crate::store::Store;

const LATENCY: Duration = Duration::from_millis(1);
const STORE_TIMEOUT: Duration = Duration::from_secs(1);
const ORDER_TIMEOUT: Duration = Duration::from_secs(3);
const TICK: Duration = Duration::from_millis(50);
/// Virtual time after which every job must have ended: the faults, and the 75 min for
/// which the tasks of a lost worker may block after an unclean takeover.
const LIMIT: Duration = Duration::from_secs(95 * 60);

/// A safeguard that is disabled, which the checks must detect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DisabledSafeguard {
    /// Workers ignore the end of leases.
    LeaseExpiry,
    /// Entries never read that a zone was taken out of service.
    ZoneOutOfService,
}

/// An event that is scheduled for a later time.
enum Scheduled {
    Entry(usize, u64, SiteEvent),
    Agent(usize, u64, AgentEvent),
    Read {
        entry: usize,
        incarnation: u64,
        id: cumindeck_site::ReadId,
        ranges: Vec<RowRange>,
        sent_at: Uptime,
    },
    Commit {
        entry: usize,
        incarnation: u64,
        id: cumindeck_site::CommitId,
        writes: Vec<RowWrite>,
    },
    Start {
        agent: usize,
        incarnation: u64,
        id: TaskId,
        not_after: Uptime,
        members: Vec<cumindeck_types::message::GangMember>,
    },
    Announce(usize),
    Operate(usize, OperatorRequest),
    Fault(Fault),
    StartEntry(usize),
    StartAgent(usize),
    StoreUp,
    ReturnZone,
}

struct EntryNode {
    name: &'static str,
    agents: SocketAddr,
    operators: SocketAddr,
    machine: Option<SiteMachine>,
    incarnation: u64,
    paused_until: Uptime,
    disconnected_until: Uptime,
}

/// Entries, agents and the table service under a virtual clock.
pub struct Simulation {
    now: Uptime,
    rng: ChaCha8Rng,
    disabled: Option<DisabledSafeguard>,
    store: Store,
    entries: Vec<EntryNode>,
    agents: Vec<AgentNode>,
    scheduled: BTreeMap<(Uptime, u64), Scheduled>,
    next: u64,
    announcements: BTreeMap<AnnounceCallId, (usize, u64, Uptime)>,
    orders: BTreeMap<CallId, (usize, u64, OrderId)>,
    heartbeats: BTreeMap<CallId, (usize, u64, TaskId, Uptime)>,
    calls: BTreeMap<OperatorCallId, OperatorRequest>,
    jobs: Vec<JobId>,
    accepted: Vec<JobId>,
    /// Jobs for which a cancellation was requested, whether in time or not.
    cancelled: Vec<JobId>,
    /// Jobs that were rejected at submission.
    rejected: Vec<JobId>,
    checks: Checks,
}

impl Simulation {
    pub fn new(seed: u64, disabled: Option<DisabledSafeguard>) -> Self {
        let address = |port| SocketAddr::from(([127, 0, 0, 1], port));
        let entry = |name, port| EntryNode {
            name,
            agents: address(port),
            operators: address(port + 1),
            machine: None,
            incarnation: 0,
            paused_until: Uptime::ZERO,
            disconnected_until: Uptime::ZERO,
        };
        let mut agents = vec![
            AgentNode::new("w1", "zone-a", 201),
            AgentNode::new("w2", "zone-a", 202),
            AgentNode::new("w3", "zone-b", 203),
        ];
        for agent in &mut agents {
            agent.worker.ignores_leases = disabled == Some(DisabledSafeguard::LeaseExpiry);
        }
        Self {
            now: Uptime::from_millis(1),
            rng: ChaCha8Rng::seed_from_u64(seed),
            disabled,
            store: Store::new(),
            entries: vec![entry("e1", 101), entry("e2", 111)],
            agents,
            scheduled: BTreeMap::new(),
            next: 0,
            announcements: BTreeMap::new(),
            orders: BTreeMap::new(),
            heartbeats: BTreeMap::new(),
            calls: BTreeMap::new(),
            jobs: Vec::new(),
            accepted: Vec::new(),
            cancelled: Vec::new(),
            rejected: Vec::new(),
            checks: Checks::default(),
        }
    }

    /// Runs a plan until every accepted job has ended.
    pub fn run(&mut self, plan: &Plan) -> Result<(), String> {
        for i in 0..self.entries.len() {
            self.start_entry(i);
        }
        for i in 0..self.agents.len() {
            self.start_agent(i);
            let jitter = Duration::from_millis(self.rng.random_range(0..1_000));
            self.after(jitter, Scheduled::Announce(i));
        }
        for (at, fault) in &plan.steps {
            self.after(Duration::from_millis(*at), Scheduled::Fault(fault.clone()));
        }
        let last = plan.steps.last().map_or(0, |(at, _)| *at);
        let quiet = Uptime::from_millis(last + 35_000);
        let mut next_tick = self.now.plus(TICK);
        while self.now < Uptime::ZERO.plus(LIMIT) {
            match self.scheduled.first_key_value().map(|((at, _), _)| *at) {
                Some(at) if at <= next_tick => {
                    let Some(((at, _), scheduled)) = self.scheduled.pop_first() else {
                        continue;
                    };
                    self.now = self.now.max(at);
                    self.dispatch(scheduled)?;
                }
                _ => {
                    self.now = next_tick;
                    next_tick = next_tick.plus(TICK);
                    self.tick()?;
                    if self.now > quiet && self.is_done() {
                        return Ok(());
                    }
                }
            }
        }
        let open = self
            .accepted
            .iter()
            .filter(|job| !self.checks.ended.contains(*job));
        Err(format!(
            "jobs not ended after {LIMIT:?}: {:?}",
            open.collect::<Vec<_>>()
        ))
    }

    fn is_done(&self) -> bool {
        self.calls.is_empty()
            && self
                .accepted
                .iter()
                .all(|job| self.checks.ended.contains(job))
    }

    fn tick(&mut self) -> Result<(), String> {
        for i in 0..self.agents.len() {
            self.agents[i].worker.advance(self.now);
            if self.agents[i].machine.is_none() || self.agents[i].paused_until > self.now {
                continue;
            }
            for (id, end) in self.agents[i].worker.take_ends() {
                self.agent_event(i, AgentEvent::Ended { id, end })?;
            }
            let wakeup = self.agents[i]
                .machine
                .as_ref()
                .and_then(|core| core.next_wakeup());
            if wakeup.is_some_and(|at| at <= self.now) {
                self.agent_event(i, AgentEvent::Wakeup)?;
            }
        }
        for i in 0..self.entries.len() {
            let entry = &self.entries[i];
            let wakeup = entry.machine.as_ref().map(SiteMachine::next_wakeup);
            if entry.paused_until <= self.now && wakeup.is_some_and(|at| at <= self.now) {
                self.entry_event(i, SiteEvent::Wakeup)?;
            }
        }
        self.record_ends()?;
        self.checks.check(self.now, &self.agents)
    }

    /// Records the jobs whose end is stored, and checks how they ended.
    fn record_ends(&mut self) -> Result<(), String> {
        for job in &self.jobs {
            let Some(RowValue::Ended(row)) = self.store.value(&RowKey::Ended(job.clone())) else {
                continue;
            };
            if !self.checks.ended.insert(job.clone()) {
                continue;
            }
            let may_fail = self.cancelled.contains(job) || self.rejected.contains(job);
            self.checks
                .on_end(self.now, &row.job, may_fail, &self.agents)?;
        }
        Ok(())
    }

    fn dispatch(&mut self, scheduled: Scheduled) -> Result<(), String> {
        match scheduled {
            Scheduled::Entry(i, incarnation, event) => {
                if let Some(event) = self.unless_paused(i, incarnation, event) {
                    self.entry_event(i, event)?;
                }
            }
            Scheduled::Agent(i, incarnation, event) => {
                if self.agents[i].incarnation != incarnation || self.agents[i].machine.is_none() {
                    return Ok(());
                }
                let resumes_at = self.agents[i].paused_until;
                if resumes_at > self.now {
                    self.at(resumes_at, Scheduled::Agent(i, incarnation, event));
                    return Ok(());
                }
                self.agent_event(i, event)?;
            }
            Scheduled::Read {
                entry,
                incarnation,
                id,
                ranges,
                sent_at,
            } => {
                let mut rows =
                    (!self.is_store_unreachable(entry)).then(|| self.store.read(&ranges));
                if self.disabled == Some(DisabledSafeguard::ZoneOutOfService)
                    && let Some(rows) = &mut rows
                {
                    rows.retain(|row| !matches!(row.key, RowKey::Zone(_)));
                }
                let delay = if rows.is_some() {
                    LATENCY
                } else {
                    STORE_TIMEOUT
                };
                self.after(
                    delay,
                    Scheduled::Entry(entry, incarnation, SiteEvent::Read { id, sent_at, rows }),
                );
            }
            Scheduled::Commit {
                entry,
                incarnation,
                id,
                writes,
            } => {
                let outcome = match self.is_store_unreachable(entry) {
                    true => WriteOutcome::Unknown,
                    false => self.store.commit(writes),
                };
                let is_lost = outcome != WriteOutcome::Unknown && self.store.lose_replies > 0;
                self.store.lose_replies -= u32::from(is_lost);
                let outcome = if is_lost {
                    WriteOutcome::Unknown
                } else {
                    outcome
                };
                let is_slow = outcome == WriteOutcome::Unknown;
                let delay = if is_slow { STORE_TIMEOUT } else { LATENCY };
                self.after(
                    delay,
                    Scheduled::Entry(entry, incarnation, SiteEvent::Committed(id, outcome)),
                );
            }
            Scheduled::Start {
                agent,
                incarnation,
                id,
                not_after,
                members,
            } => {
                let resumes_at = self.agents[agent].paused_until;
                if resumes_at > self.now {
                    self.at(
                        resumes_at,
                        Scheduled::Start {
                            agent,
                            incarnation,
                            id,
                            not_after,
                            members,
                        },
                    );
                    return Ok(());
                }
                let is_ok = self.agents[agent].incarnation == incarnation
                    && self.agents[agent].worker.start(self.now, &id, not_after);
                if is_ok {
                    self.checks
                        .on_start(self.now, self.agents[agent].zone, &id)?;
                }
                let event = AgentEvent::Started { id, members, is_ok };
                self.after(LATENCY, Scheduled::Agent(agent, incarnation, event));
            }
            Scheduled::Announce(i) => self.announce(i),
            Scheduled::Operate(entry, req) => self.operate(entry, req),
            Scheduled::Fault(fault) => self.fault(&fault),
            Scheduled::StartEntry(i) => self.start_entry(i),
            Scheduled::StartAgent(i) => self.start_agent(i),
            Scheduled::StoreUp => self.store.is_down = false,
            Scheduled::ReturnZone => self.set_zone(true),
        }
        Ok(())
    }

    fn unless_paused(&mut self, i: usize, incarnation: u64, event: SiteEvent) -> Option<SiteEvent> {
        if self.entries[i].incarnation != incarnation || self.entries[i].machine.is_none() {
            return None;
        }
        let resumes_at = self.entries[i].paused_until;
        if resumes_at > self.now {
            self.at(resumes_at, Scheduled::Entry(i, incarnation, event));
            return None;
        }
        Some(event)
    }

    fn announce(&mut self, i: usize) {
        self.after(Duration::from_secs(1), Scheduled::Announce(i));
        let agent = &mut self.agents[i];
        if agent.paused_until > self.now {
            return;
        }
        let Some(core) = &agent.machine else { return };
        let (announcement, targets) = core.announcement();
        let incarnation = agent.incarnation;
        for target in targets {
            let Some(entry) = self.entries.iter().position(|entry| entry.agents == target) else {
                continue;
            };
            let call = AnnounceCallId(self.number());
            self.announcements.insert(call, (i, incarnation, self.now));
            let event = SiteEvent::Announced(call, announcement.clone());
            let entry_incarnation = self.entries[entry].incarnation;
            self.after(LATENCY, Scheduled::Entry(entry, entry_incarnation, event));
        }
    }

    fn entry_event(&mut self, i: usize, event: SiteEvent) -> Result<(), String> {
        let Some(machine) = &mut self.entries[i].machine else {
            return Ok(());
        };
        let effects = machine.step(self.now, wall(self.now), event);
        let incarnation = self.entries[i].incarnation;
        for effect in effects {
            match effect {
                SiteEffect::ReplyAnnounce(call, reply) => {
                    if let Some((agent, agent_incarnation, sent_at)) =
                        self.announcements.remove(&call)
                    {
                        let event = AgentEvent::Replied {
                            sent_at,
                            reply: *reply,
                        };
                        self.after(LATENCY, Scheduled::Agent(agent, agent_incarnation, event));
                    }
                }
                SiteEffect::Read(id, ranges) => {
                    let sent_at = self.now;
                    self.after(
                        LATENCY,
                        Scheduled::Read {
                            entry: i,
                            incarnation,
                            id,
                            ranges,
                            sent_at,
                        },
                    );
                }
                SiteEffect::Commit(id, writes) => {
                    self.after(
                        LATENCY,
                        Scheduled::Commit {
                            entry: i,
                            incarnation,
                            id,
                            writes,
                        },
                    );
                }
                SiteEffect::Order(id, agent, order) => {
                    let agent = self.agents.iter().position(|a| a.name == agent.as_str());
                    self.order(i, incarnation, id, agent, order);
                }
                SiteEffect::ReplyOperator(call, reply) => self.on_reply(call, reply),
                SiteEffect::Notice(notice) => self.trace(self.entries[i].name, &notice),
                _ => {}
            }
        }
        Ok(())
    }

    fn order(
        &mut self,
        entry: usize,
        incarnation: u64,
        id: OrderId,
        agent: Option<usize>,
        order: Order,
    ) {
        let call = AgentOrderId(self.number());
        let event = match order {
            Order::Reserve(order) => AgentEvent::Reserve(call, order),
            Order::StartTask(order) => AgentEvent::StartTask(call, order),
            Order::Stop(task) => AgentEvent::Stop(call, task),
            Order::Checkpoint(task) => AgentEvent::Checkpoint(call, task),
        };
        // The real link times out; whichever reply arrives first counts.
        let lost = SiteEvent::OrderAnswered(id, None);
        self.after(ORDER_TIMEOUT, Scheduled::Entry(entry, incarnation, lost));
        let Some(agent) = agent else { return };
        self.orders.insert(call, (entry, incarnation, id));
        let agent_incarnation = self.agents[agent].incarnation;
        self.after(LATENCY, Scheduled::Agent(agent, agent_incarnation, event));
    }

    fn agent_event(&mut self, i: usize, event: AgentEvent) -> Result<(), String> {
        let effects = self.agents[i].step(self.now, event);
        let incarnation = self.agents[i].incarnation;
        for effect in effects {
            match effect {
                AgentEffect::ReplyTask(call, reply) => self.on_task_reply(call, reply),
                AgentEffect::Prepare { id, reserve, lease } => {
                    let worker = &mut self.agents[i].worker;
                    worker.prepare(self.now, id.clone(), &reserve.command, lease);
                    let event = AgentEvent::Prepared { id, is_ok: true };
                    self.after(LATENCY, Scheduled::Agent(i, incarnation, event));
                }
                AgentEffect::Run {
                    id,
                    not_after,
                    members,
                } => {
                    let start = Scheduled::Start {
                        agent: i,
                        incarnation,
                        id,
                        not_after,
                        members,
                    };
                    self.after(LATENCY, start);
                }
                AgentEffect::StopTask(id) => {
                    self.agents[i].worker.stop(&id);
                    let known = self.agents[i].worker.processes.contains_key(&id);
                    if !known {
                        let event = AgentEvent::Ended {
                            id,
                            end: TaskEnd::Stopped,
                        };
                        self.after(LATENCY, Scheduled::Agent(i, incarnation, event));
                    }
                }
                AgentEffect::Renew(lease) => self.agents[i].worker.renew(self.now, lease),
                AgentEffect::Heartbeat(member, heartbeat) => {
                    let to = self
                        .agents
                        .iter()
                        .position(|a| a.name == member.agent.as_str());
                    let Some(to) = to else { continue };
                    let call = AgentOrderId(self.number());
                    let id = TaskId {
                        job: heartbeat.job.clone(),
                        attempt: heartbeat.attempt,
                        task: heartbeat.task,
                    };
                    self.heartbeats.insert(call, (i, incarnation, id, self.now));
                    let to_incarnation = self.agents[to].incarnation;
                    self.after(
                        LATENCY,
                        Scheduled::Agent(
                            to,
                            to_incarnation,
                            AgentEvent::Heartbeat(call, heartbeat),
                        ),
                    );
                }
                _ => {}
            }
        }
        Ok(())
    }

    fn on_task_reply(&mut self, call: CallId, reply: TaskAnswer) {
        if let Some((entry, incarnation, id)) = self.orders.remove(&call) {
            let event = SiteEvent::OrderAnswered(id, Some(reply));
            self.after(LATENCY, Scheduled::Entry(entry, incarnation, event));
        } else if let Some((agent, incarnation, id, sent_at)) = self.heartbeats.remove(&call) {
            let event = AgentEvent::HeartbeatReplied {
                sent_at,
                id,
                answer: reply,
            };
            self.after(LATENCY, Scheduled::Agent(agent, incarnation, event));
        }
    }

    fn start_entry(&mut self, i: usize) {
        let now = self.now;
        let entry = &mut self.entries[i];
        entry.incarnation += 1;
        let cfg = EntryIdentity {
            entry: entry.name.parse().expect("valid id"),
            incarnation: Incarnation::new(entry.incarnation),
            site: "test".parse().expect("valid site"),
            zone: "zone-a".parse().expect("valid zone"),
            region: "north".parse().expect("valid region"),
            agents: entry.agents,
            operators: entry.operators,
        };
        entry.machine = Some(SiteMachine::new(cfg, now));
    }

    fn start_agent(&mut self, i: usize) {
        let seeds = self.entries.iter().map(|entry| entry.agents).collect();
        self.agents[i].start(self.now, seeds);
    }

    fn is_store_unreachable(&self, entry: usize) -> bool {
        self.store.is_down || self.entries[entry].disconnected_until > self.now
    }

    /// Prints the event if `CUMINDECK_TRACE` is set.
    fn trace(&self, name: &str, event: &dyn std::fmt::Debug) {
        if std::env::var_os("CUMINDECK_TRACE").is_some() {
            eprintln!("{} {name} {event:?}", self.now);
        }
    }

    fn number(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    fn after(&mut self, delay: Duration, scheduled: Scheduled) {
        self.at(self.now.plus(delay), scheduled);
    }

    fn at(&mut self, at: Uptime, scheduled: Scheduled) {
        let number = self.number();
        self.scheduled.insert((at, number), scheduled);
    }
}
