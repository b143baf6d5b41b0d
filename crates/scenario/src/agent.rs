//! Simulated agent: what the admission and announcement tasks do in the program.

use std::collections::BTreeMap;
use std::time::Duration;

use cumindeck_control::agent_lease::HeldLease;
use cumindeck_control::config_version::ConfigView;
use cumindeck_control::gang::{
    ExecutionRights, GangMonitor, MonitorEffect, OrderId, TaskEffect, TaskEnd, TaskId, TaskTable,
};
use cumindeck_control::membership::{ANNOUNCE_PERIOD, announce_targets, first_announce_delay};
use cumindeck_control::zone::StartRights;
use cumindeck_types::message::{
    AgentLease, AgentState, AnnounceReply, Announcement, EntryAddress, GangMember, TaskAnswer,
    TaskRef,
};
use cumindeck_types::{
    AvailabilityZone, ConfigVersion, Incarnation, Remaining, RingVersion, Uptime, parse_duration,
};

use crate::message::{Message, NodeId, Order};
use crate::safeguard::Safeguard;
use crate::simulation::Ctx;
use crate::worker::{Worker, WorkerOrder};

/// One incarnation of an agent process.
pub(crate) struct Agent {
    me: NodeId,
    incarnation: Incarnation,
    zone: AvailabilityZone,
    entries: Vec<EntryAddress>,
    leader_address: Option<std::net::SocketAddr>,
    next_announce: Uptime,
    lease: HeldLease,
    /// When the token of the lease was adopted.
    token_since: Uptime,
    rights: StartRights,
    config: ConfigView,
    tasks: TaskTable,
    monitor: GangMonitor,
    orders: BTreeMap<OrderId, (NodeId, Order, TaskRef)>,
    last_order: u64,
    runs: BTreeMap<TaskId, Duration>,
    members: BTreeMap<TaskId, Vec<GangMember>>,
    disabled: Option<Safeguard>,
}

impl Agent {
    /// Creates an incarnation of an agent that starts at `now`.
    pub(crate) fn new(
        now: Uptime,
        me: NodeId,
        incarnation: Incarnation,
        zone: AvailabilityZone,
        entries: Vec<EntryAddress>,
        disabled: Option<Safeguard>,
    ) -> Self {
        Self {
            me,
            incarnation,
            zone,
            entries,
            leader_address: None,
            next_announce: now.plus(first_announce_delay(&me.id(), incarnation)),
            lease: HeldLease::default(),
            token_since: Uptime::ZERO,
            rights: StartRights::default(),
            config: ConfigView::default(),
            tasks: TaskTable::default(),
            monitor: GangMonitor::default(),
            orders: BTreeMap::new(),
            last_order: 0,
            runs: BTreeMap::new(),
            members: BTreeMap::new(),
            disabled,
        }
    }

    /// Returns the configuration version in force.
    pub(crate) const fn config(&self) -> Option<ConfigVersion> {
        self.config.version()
    }

    /// Handles a message.
    pub(crate) fn on_message(
        &mut self,
        ctx: &mut Ctx<'_>,
        worker: &mut Worker,
        from: NodeId,
        message: Message,
    ) {
        let now = ctx.now;
        let effects = match message {
            Message::Reply(sent_at, reply) => {
                self.on_reply(ctx, sent_at, &reply);
                Vec::new()
            }
            Message::Reserve(reserve) => {
                if let Ok(run) = parse_duration(&reserve.command) {
                    self.runs.insert(TaskId::from(&reserve.task), run);
                }
                let order = self.record_order(from, Order::Reserve, &reserve.task);
                self.with_rights(now, |tasks, exec_rights| {
                    tasks.reserve(now, exec_rights, order, &reserve)
                })
            }
            Message::StartTask(go) => {
                let order = self.record_order(from, Order::Go, &go.task);
                self.with_rights(now, |tasks, exec_rights| {
                    tasks.start(now, exec_rights, order, &go)
                })
            }
            Message::Stop(task) => {
                let order = self.record_order(from, Order::Stop, &task);
                self.with_rights(now, |tasks, exec_rights| {
                    tasks.stop(now, exec_rights, order, &task)
                })
            }
            Message::Prepared(id) => self.tasks.on_prepared(now, &id, true),
            Message::Started(id, is_ok) => {
                if is_ok && let Some(members) = self.members.get(&id) {
                    self.monitor.start(now, id.clone(), members);
                }
                self.tasks.on_started(&id, is_ok)
            }
            Message::Ended(id, end) => {
                if end == TaskEnd::Succeeded {
                    self.monitor.succeeded(&id);
                } else {
                    self.monitor.lost(now, &id);
                }
                self.tasks.on_ended(now, &id, end)
            }
            Message::Heartbeat(sent_at, heartbeat) => {
                let reply = self.monitor.on_heartbeat(now, &heartbeat);
                let id = TaskId {
                    job: heartbeat.job,
                    attempt: heartbeat.attempt,
                    task: heartbeat.task,
                };
                ctx.send(from, Message::HeartbeatReply(sent_at, id, reply));
                Vec::new()
            }
            Message::HeartbeatReply(sent_at, id, reply) => {
                let effects = self.monitor.on_heartbeat_reply(sent_at, &id, reply);
                return self.perform_monitor_effects(ctx, worker, effects);
            }
            _ => Vec::new(),
        };
        self.perform(ctx, worker, effects);
    }

    /// Ticks the task table and the heartbeat monitor, renews the worker's leases and sends
    /// announcements that are due.
    pub(crate) fn tick(&mut self, ctx: &mut Ctx<'_>, worker: &mut Worker) {
        let now = ctx.now;
        let effects = self.with_rights(now, |tasks, exec_rights| tasks.tick(now, exec_rights));
        self.perform(ctx, worker, effects);
        if self.disabled != Some(Safeguard::HeartbeatMonitor) {
            let effects = self.monitor.tick(now);
            self.perform_monitor_effects(ctx, worker, effects);
        }
        let lease = self.with_rights(now, |_, exec_rights| {
            exec_rights
                .lease
                .is_live(now)
                .then(|| exec_rights.worker_lease(now))
        });
        if let Some(lease) = lease {
            worker.renew(lease);
        }
        if now >= self.next_announce {
            self.next_announce = now.plus(ANNOUNCE_PERIOD);
            let announcement = self.announcement();
            for target in announce_targets(&self.me.id(), &self.entries, self.leader_address) {
                let announce = Message::Announce(now, Box::new(announcement.clone()));
                ctx.send(NodeId::at(target), announce);
            }
        }
    }

    /// Returns the agent's state for `show`.
    pub(crate) fn show(&self, now: Uptime) -> String {
        let phases: Vec<_> = self
            .tasks
            .reports()
            .iter()
            .map(|r| format!("{}/{}/{}={}", r.job, r.attempt, r.task, r.phase))
            .collect();
        format!(
            "token={} lease={} config={} [{}]",
            self.lease.token(),
            Remaining::until(self.lease.expires(), now),
            self.config().unwrap_or_default(),
            phases.join(" "),
        )
    }

    fn on_reply(&mut self, ctx: &mut Ctx<'_>, sent_at: Uptime, reply: &AnnounceReply) {
        if self.disabled == Some(Safeguard::MonotonicView) {
            self.config = ConfigView::default();
        }
        self.config
            .on_reply(sent_at, reply.config_version, reply.is_config_confirmed);
        for right in &reply.zone_rights {
            self.rights.on_reply(sent_at, right);
        }
        self.leader_address = reply.leader.or(self.leader_address);
        let Some(lease) = reply.lease else { return };
        let token = self.lease.token();
        self.lease.on_reply(sent_at, lease);
        if self.lease.token() == token && lease.token == token && sent_at > self.token_since {
            self.tasks.on_reports_acknowledged(sent_at);
        }
        if self.lease.token() != token {
            self.token_since = ctx.now;
            self.tasks.on_new_token();
            ctx.trace(&format!("{} follows token {}", self.me, self.lease.token()));
        }
    }

    /// Calls a method of the task table with the agent's lease and rights at `now`.
    fn with_rights<T>(
        &mut self,
        now: Uptime,
        run: impl FnOnce(&mut TaskTable, &ExecutionRights<'_>) -> T,
    ) -> T {
        if self.disabled.is_none() {
            let exec_rights = ExecutionRights {
                lease: &self.lease,
                rights: &self.rights,
                zone: &self.zone,
            };
            return run(&mut self.tasks, &exec_rights);
        }
        let remaining = Remaining::new(Duration::from_secs(3600));
        let (mut lease, mut rights) = (self.lease.clone(), self.rights.clone());
        if self.disabled == Some(Safeguard::LeaseCheck) {
            let token = lease.token();
            lease.on_reply(
                now,
                AgentLease {
                    token,
                    remaining,
                    covers_claims: true,
                },
            );
        }
        if self.disabled == Some(Safeguard::StartRight)
            && let Some(mut right) = rights.right(now, &self.zone)
        {
            right.remaining = remaining;
            rights.on_reply(now, &right);
        }
        let exec_rights = ExecutionRights {
            lease: &lease,
            rights: &rights,
            zone: &self.zone,
        };
        run(&mut self.tasks, &exec_rights)
    }

    fn perform(&mut self, ctx: &mut Ctx<'_>, worker: &mut Worker, effects: Vec<TaskEffect>) {
        let now = ctx.now;
        for effect in effects {
            match effect {
                TaskEffect::Answer(order, reply) => {
                    if let Some((to, order, task)) = self.orders.remove(&order) {
                        if reply != TaskAnswer::Done {
                            let name = TaskId::from(&task).name();
                            ctx.trace(&format!("{} refuses {order:?} {name}: {reply:?}", self.me));
                        }
                        ctx.send(to, Message::Answer(order, task, reply));
                    }
                }
                TaskEffect::Prepare(id, _) => worker.order(now, WorkerOrder::Prepare(id)),
                TaskEffect::Run {
                    id,
                    not_after,
                    members,
                } => {
                    self.members.insert(id.clone(), members);
                    let checked = self.with_rights(now, |tasks, exec_rights| {
                        let lease = exec_rights.worker_lease(now);
                        tasks.may_run(now, exec_rights, &id).map(|()| lease)
                    });
                    match checked {
                        Ok(lease) => {
                            let run = self.runs.get(&id).copied().unwrap_or_default();
                            let order = WorkerOrder::Run {
                                id,
                                not_after,
                                lease,
                                run,
                            };
                            worker.order(now, order);
                        }
                        Err(effects) => self.perform(ctx, worker, effects),
                    }
                }
                TaskEffect::Checkpoint(_) => {}
                TaskEffect::Stop(id) => worker.order(now, WorkerOrder::Stop(id)),
            }
        }
    }

    fn perform_monitor_effects(
        &mut self,
        ctx: &mut Ctx<'_>,
        worker: &mut Worker,
        effects: Vec<MonitorEffect>,
    ) {
        for effect in effects {
            match effect {
                MonitorEffect::Heartbeat(first, heartbeat) => {
                    let message = Message::Heartbeat(ctx.now, heartbeat);
                    ctx.send(NodeId::at(first.address), message);
                }
                MonitorEffect::Stop(id) => {
                    ctx.trace(&format!(
                        "{} lost a part of the gang of {}",
                        self.me,
                        id.name()
                    ));
                    let effects = self.tasks.stop_local(&id, "a part of the gang was lost");
                    self.perform(ctx, worker, effects);
                }
            }
        }
    }

    fn record_order(&mut self, from: NodeId, order: Order, task: &TaskRef) -> OrderId {
        self.last_order += 1;
        let id = OrderId(self.last_order);
        self.orders.insert(id, (from, order, task.clone()));
        id
    }

    fn announcement(&self) -> Announcement {
        Announcement {
            agent: self.me.id(),
            incarnation: self.incarnation,
            zone: self.zone.clone(),
            region: "dakar".parse().expect("a valid region"),
            address: self.me.address(),
            state: AgentState::Serving,
            slots: 8,
            connections: 64,
            in_flight: 0,
            ring_version: RingVersion::default(),
            worker: self.me.id(),
            rack: "rack-1".parse().expect("a valid rack id"),
            accelerators: 1,
            newest_token: self.lease.token(),
            tasks: self.tasks.reports(),
        }
    }
}

/// The short name of a task in traces.
pub(crate) trait TaskName {
    /// Returns `job/attempt/task`.
    fn name(&self) -> String;
}

impl TaskName for TaskId {
    fn name(&self) -> String {
        format!("{}/{}/{}", self.job, self.attempt, self.task)
    }
}
