//! Simulation of a site: its nodes, its links and its virtual clock.

use std::collections::BTreeMap;
use std::mem;
use std::time::Duration;

use cumindeck_control::config_version::ChangeId;
use cumindeck_types::message::EntryAddress;
use cumindeck_types::{AvailabilityZone, Incarnation, Uptime};

use crate::agent::Agent;
use crate::check::{Checker, Observation, Violation};
use crate::command::Command;
use crate::entry::Entry;
use crate::message::{Message, NodeId};
use crate::net::Net;
use crate::safeguard::Safeguard;
use crate::store::{JobRow, Store};
use crate::worker::Worker;

/// Virtual time between two steps.
pub const STEP: Duration = Duration::from_millis(50);
/// The zones of a site; agents are assigned to them in turn.
const ZONES: [&str; 3] = ["dakar-plateau", "dakar-medina", "thies-centre"];

/// Access of a node to the simulation while the node handles an event.
pub(crate) struct Ctx<'a> {
    pub(crate) now: Uptime,
    me: NodeId,
    net: &'a mut Net,
    trace: &'a mut Vec<String>,
    /// Replies to operators: the change and whether it was accepted.
    pub(crate) operator_replies: &'a mut Vec<(ChangeId, bool)>,
}

impl Ctx<'_> {
    /// Sends a message.
    pub(crate) fn send(&mut self, to: NodeId, message: Message) {
        self.net.send(self.now, self.me, to, message);
    }

    /// Adds a line to the trace.
    pub(crate) fn trace(&mut self, text: &str) {
        self.trace.push(format!("{} {text}", self.now));
    }
}

/// A simulated process; `core` is absent after a kill.
struct Process<T> {
    core: Option<T>,
    incarnation: u64,
    paused_until: Uptime,
    backlog: Vec<(NodeId, Message)>,
}

impl<T> Process<T> {
    fn new(core: T) -> Self {
        Self {
            core: Some(core),
            incarnation: 1,
            paused_until: Uptime::ZERO,
            backlog: Vec::new(),
        }
    }

    fn kill(&mut self) {
        self.core = None;
        self.backlog.clear();
        self.paused_until = Uptime::ZERO;
    }
}

/// A simulated site under test.
pub struct Simulation {
    now: Uptime,
    zones: Vec<AvailabilityZone>,
    store: Store,
    net: Net,
    entries: BTreeMap<NodeId, Process<Entry>>,
    agents: BTreeMap<NodeId, Process<Agent>>,
    workers: BTreeMap<NodeId, Worker>,
    /// The disabled safeguard, if any.
    omitted: Option<Safeguard>,
    checker: Checker,
    trace: Vec<String>,
    operator_replies: Vec<(ChangeId, bool)>,
}

impl Simulation {
    /// Creates a site whose processes all start at time 0.
    #[must_use]
    pub fn new(entries: u16, agents: u16, omitted: Option<Safeguard>) -> Self {
        let zones = ZONES.map(|zone| zone.parse().expect("a valid zone"));
        let mut simulation = Self {
            now: Uptime::ZERO,
            store: Store::new(&zones),
            zones: zones.into(),
            net: Net::default(),
            entries: BTreeMap::new(),
            agents: BTreeMap::new(),
            workers: BTreeMap::new(),
            omitted,
            checker: Checker::default(),
            trace: Vec::new(),
            operator_replies: Vec::new(),
        };
        for i in 1..=entries {
            let me = NodeId::Entry(i);
            let entry = Entry::new(simulation.now, me, Incarnation::new(1), omitted);
            simulation.entries.insert(me, Process::new(entry));
        }
        for i in 1..=agents {
            let me = NodeId::Agent(i);
            let agent = simulation.agent(me, 1);
            simulation.agents.insert(me, Process::new(agent));
            simulation.workers.insert(me, Worker::default());
        }
        simulation
    }

    /// Returns the current virtual time.
    #[must_use]
    pub const fn now(&self) -> Uptime {
        self.now
    }

    /// Returns whether each job has succeeded or runs with all its tasks.
    #[must_use]
    pub fn serves_all_jobs(&self) -> bool {
        self.store.jobs.iter().all(|(job, row)| {
            let running = self.workers.values().flat_map(Worker::running);
            row.is_done || running.filter(|id| id.job == *job).count() == usize::from(row.tasks)
        })
    }

    /// Returns the trace since the last call.
    pub fn take_trace(&mut self) -> Vec<String> {
        mem::take(&mut self.trace)
    }

    /// Executes a command; stops at the first violated invariant.
    pub fn perform(&mut self, command: &Command) -> Result<(), Violation> {
        let now = self.now;
        match command {
            Command::Site { entries, agents } => *self = Self::new(*entries, *agents, self.omitted),
            Command::Advance(time) => {
                let end = now.plus(*time);
                while self.now < end {
                    self.step()?;
                }
            }
            Command::Freeze(node, time) => self.pause(*node, now.plus(*time)),
            Command::Kill(node) => {
                self.net.disconnect(*node);
                if let Some(entry) = self.entries.get_mut(node) {
                    entry.kill();
                }
                if let Some(agent) = self.agents.get_mut(node) {
                    agent.kill();
                }
            }
            Command::Restart(node) => self.restart(*node),
            Command::Release(node) => self.on_entry(*node, Entry::release),
            Command::Change(node) => self.on_entry(*node, Entry::change),
            Command::Cut(from, to, is_both) => {
                self.net.cut(*from, *to);
                if *is_both {
                    self.net.cut(*to, *from);
                }
            }
            Command::Heal => self.net.heal(),
            Command::Slow(one, other, delay) => self.net.slow(*one, *other, *delay),
            Command::Store(is_up) => self.store.is_up = *is_up,
            Command::LoseAnswer => self.store.lost_replies += 1,
            Command::DelayWrite(delay) => self.store.delay_write = Some(*delay),
            Command::Zone(zone, is_open) => self.store.set_zone(now, zone, *is_open),
            Command::Submit { job, tasks, run } => {
                let row = JobRow {
                    tasks: *tasks,
                    run: *run,
                    is_done: false,
                    attempts: Vec::new(),
                };
                self.store.jobs.insert(job.clone(), row);
            }
            Command::Fence(agent) => {
                for entry in self.entries.values_mut().filter_map(|p| p.core.as_mut()) {
                    if let Some(leader_state) = &mut entry.leader_state {
                        let views = &entry.agents;
                        let incarnation = views.announcement(agent).map(|a| a.incarnation);
                        let incarnation = incarnation.unwrap_or_default();
                        leader_state.grants.fence(agent.clone(), incarnation);
                    }
                }
            }
            Command::Break(omitted) => self.omitted = Some(*omitted),
            Command::Show => self.show(),
        }
        Ok(())
    }

    /// Advances the clock by [`STEP`] and checks the invariants.
    pub fn step(&mut self) -> Result<(), Violation> {
        self.now = self.now.plus(STEP);
        let now = self.now;
        self.store.tick(now);
        while let Some(sent) = self.net.next_arrived(now) {
            self.deliver(sent.from, sent.to, sent.message);
        }
        self.deliver_backlogs();
        for me in self.entries.keys().copied().collect::<Vec<_>>() {
            if !self.is_paused(me) {
                self.on_entry(me, Entry::tick);
            }
        }
        for me in self.agents.keys().copied().collect::<Vec<_>>() {
            if !self.is_paused(me) {
                self.on_agent(me, Agent::tick);
            }
            let worker = self.workers.get_mut(&me);
            for message in worker.map(|worker| worker.tick(now)).unwrap_or_default() {
                self.checker.on_worker(&message);
                self.deliver(me, me, message);
            }
        }
        self.check()
    }

    fn check(&mut self) -> Result<(), Violation> {
        let now = self.now;
        let pauses = self
            .entries
            .values()
            .map(|p| (p.paused_until, p.core.is_some()));
        let pauses = pauses.chain(
            self.agents
                .values()
                .map(|p| (p.paused_until, p.core.is_some())),
        );
        let is_faulty = pauses
            .into_iter()
            .any(|(until, is_running)| now < until || !is_running)
            || !self.store.is_up
            || !self.net.is_healthy();
        let entries = self.entries.iter();
        let entries =
            entries.filter_map(|(id, p)| Some((*id, p.incarnation, p.core.as_ref()?.config())));
        let agents = self.agents.iter();
        let agents =
            agents.filter_map(|(id, p)| Some((*id, p.incarnation, p.core.as_ref()?.config())));
        let running = self.workers.iter().flat_map(|(id, worker)| {
            let NodeId::Agent(i) = id else {
                unreachable!("workers belong to agents")
            };
            let zone = &self.zones[usize::from(*i) % self.zones.len()];
            worker.running().map(move |task| (task.clone(), zone))
        });
        let observation = Observation {
            now,
            store: &self.store,
            running: running.collect(),
            views: entries.chain(agents).collect(),
            operator_replies: &self.operator_replies,
            is_faulty,
        };
        self.checker.check(&observation, &mut self.trace)
    }

    fn deliver(&mut self, from: NodeId, to: NodeId, message: Message) {
        if to == NodeId::Store {
            if let Some(reply) = self.store.on_message(self.now, message) {
                self.net.send(self.now, to, from, reply);
            }
        } else if self.is_paused(to) {
            let backlog = match to {
                NodeId::Entry(_) => self.entries.get_mut(&to).map(|p| &mut p.backlog),
                _ => self.agents.get_mut(&to).map(|p| &mut p.backlog),
            };
            if let Some(backlog) = backlog {
                backlog.push((from, message));
            }
        } else if let NodeId::Entry(_) = to {
            self.on_entry(to, |entry, ctx| entry.on_message(ctx, from, message));
        } else {
            self.on_agent(to, |agent, ctx, worker| {
                agent.on_message(ctx, worker, from, message);
            });
        }
    }

    /// Delivers the messages that arrived at processes while they were paused.
    fn deliver_backlogs(&mut self) {
        let now = self.now;
        let mut backlogs = Vec::new();
        for (id, process) in &mut self.entries {
            if now >= process.paused_until && !process.backlog.is_empty() {
                backlogs.push((*id, mem::take(&mut process.backlog)));
            }
        }
        for (id, process) in &mut self.agents {
            if now >= process.paused_until && !process.backlog.is_empty() {
                backlogs.push((*id, mem::take(&mut process.backlog)));
            }
        }
        for (to, backlog) in backlogs {
            for (from, message) in backlog {
                self.deliver(from, to, message);
            }
        }
    }

    fn is_paused(&self, node: NodeId) -> bool {
        let entry = self.entries.get(&node).map(|p| p.paused_until);
        let until = entry.or_else(|| self.agents.get(&node).map(|p| p.paused_until));
        until.is_some_and(|until| self.now < until)
    }

    fn pause(&mut self, node: NodeId, until: Uptime) {
        if let Some(process) = self.entries.get_mut(&node) {
            process.paused_until = until;
        }
        if let Some(process) = self.agents.get_mut(&node) {
            process.paused_until = until;
        }
    }

    fn restart(&mut self, node: NodeId) {
        let (now, omitted) = (self.now, self.omitted);
        self.net.disconnect(node);
        if let Some(process) = self.entries.get_mut(&node)
            && process.core.is_none()
        {
            process.incarnation += 1;
            let incarnation = Incarnation::new(process.incarnation);
            process.core = Some(Entry::new(now, node, incarnation, omitted));
        }
        let incarnation = self.agents.get(&node).filter(|p| p.core.is_none());
        if let Some(incarnation) = incarnation.map(|p| p.incarnation + 1) {
            let agent = self.agent(node, incarnation);
            if let Some(process) = self.agents.get_mut(&node) {
                process.incarnation = incarnation;
                process.core = Some(agent);
            }
            // A new incarnation of an agent first stops what its worker still runs.
            if let Some(worker) = self.workers.get_mut(&node) {
                worker.clear();
            }
        }
    }

    fn agent(&self, me: NodeId, incarnation: u64) -> Agent {
        let NodeId::Agent(i) = me else {
            unreachable!("only agents are made here")
        };
        let zone = self.zones[usize::from(i) % self.zones.len()].clone();
        let entries = self.entries.keys().map(|entry| EntryAddress {
            entry: entry.id(),
            address: entry.address(),
        });
        let incarnation = Incarnation::new(incarnation);
        Agent::new(
            self.now,
            me,
            incarnation,
            zone,
            entries.collect(),
            self.omitted,
        )
    }

    fn on_entry(&mut self, me: NodeId, run: impl FnOnce(&mut Entry, &mut Ctx<'_>)) {
        let core = self.entries.get_mut(&me).and_then(|p| p.core.as_mut());
        let Some(entry) = core else { return };
        let mut ctx = Ctx {
            now: self.now,
            me,
            net: &mut self.net,
            trace: &mut self.trace,
            operator_replies: &mut self.operator_replies,
        };
        run(entry, &mut ctx);
    }

    fn on_agent(&mut self, me: NodeId, run: impl FnOnce(&mut Agent, &mut Ctx<'_>, &mut Worker)) {
        let core = self.agents.get_mut(&me).and_then(|p| p.core.as_mut());
        let (Some(agent), Some(worker)) = (core, self.workers.get_mut(&me)) else {
            return;
        };
        let mut ctx = Ctx {
            now: self.now,
            me,
            net: &mut self.net,
            trace: &mut self.trace,
            operator_replies: &mut self.operator_replies,
        };
        run(agent, &mut ctx, worker);
    }

    fn show(&mut self) {
        let now = self.now;
        let lines = self.entries.iter().map(|(id, p)| {
            let text = p
                .core
                .as_ref()
                .map_or_else(|| "down".into(), |core| core.show(now));
            format!("  {id} {text}")
        });
        let agents = self.agents.iter().map(|(id, p)| {
            let text = p
                .core
                .as_ref()
                .map_or_else(|| "down".into(), |core| core.show(now));
            let processes = self
                .workers
                .get(id)
                .map_or(0, |worker| worker.running().count());
            format!("  {id} {text} bodies={processes}")
        });
        let lines: Vec<_> = lines.chain(agents).collect();
        self.trace.push(format!("{now} show"));
        self.trace.extend(lines);
    }
}
