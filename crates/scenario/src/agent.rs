//! An agent: the tasks that the gate and the announcer would own.

use std::collections::BTreeMap;
use std::time::Duration;

use cumindeck_control::agent_lease::HeldLease;
use cumindeck_control::config_version::ConfigView;
use cumindeck_control::gang::{
    GangWatches, Guards, OrderId, TaskEffect, TaskEnd, TaskId, TaskTable, WatchEffect,
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

use crate::broken::Broken;
use crate::message::{Message, NodeId, Order};
use crate::worker::{Worker, WorkerOrder};
use crate::world::Ctx;

/// One incarnation of an agent process.
pub(crate) struct Agent {
    me: NodeId,
    incarnation: Incarnation,
    zone: AvailabilityZone,
    entries: Vec<EntryAddress>,
    holder: Option<std::net::SocketAddr>,
    next_announce: Uptime,
    lease: HeldLease,
    /// When the token of the lease was taken.
    follows_since: Uptime,
    rights: StartRights,
    config: ConfigView,
    tasks: TaskTable,
    watches: GangWatches,
    orders: BTreeMap<OrderId, (NodeId, Order, TaskRef)>,
    last_order: u64,
    runs: BTreeMap<TaskId, Duration>,
    members: BTreeMap<TaskId, Vec<GangMember>>,
    broken: Option<Broken>,
}

impl Agent {
    /// Starts an incarnation of an agent at `now`.
    pub(crate) fn new(
        now: Uptime,
        me: NodeId,
        incarnation: Incarnation,
        zone: AvailabilityZone,
        entries: Vec<EntryAddress>,
        broken: Option<Broken>,
    ) -> Self {
        Self {
            me,
            incarnation,
            zone,
            entries,
            holder: None,
            next_announce: now.plus(first_announce_delay(&me.id(), incarnation)),
            lease: HeldLease::default(),
            follows_since: Uptime::ZERO,
            rights: StartRights::default(),
            config: ConfigView::default(),
            tasks: TaskTable::default(),
            watches: GangWatches::default(),
            orders: BTreeMap::new(),
            last_order: 0,
            runs: BTreeMap::new(),
            members: BTreeMap::new(),
            broken,
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
            Message::Reply(asked, reply) => {
                self.on_reply(ctx, asked, &reply);
                Vec::new()
            }
            Message::Reserve(reserve) => {
                if let Ok(run) = parse_duration(&reserve.command) {
                    self.runs.insert(TaskId::from(&reserve.task), run);
                }
                let order = self.note_order(from, Order::Reserve, &reserve.task);
                self.with(now, |tasks, guards| {
                    tasks.reserve(now, guards, order, &reserve)
                })
            }
            Message::Go(go) => {
                let order = self.note_order(from, Order::Go, &go.task);
                self.with(now, |tasks, guards| tasks.go(now, guards, order, &go))
            }
            Message::Stop(task) => {
                let order = self.note_order(from, Order::Stop, &task);
                self.with(now, |tasks, guards| tasks.stop(now, guards, order, &task))
            }
            Message::Prepared(id) => self.tasks.on_prepared(now, &id, true),
            Message::Started(id, is_ok) => {
                if is_ok && let Some(members) = self.members.get(&id) {
                    self.watches.start(now, id.clone(), members);
                }
                self.tasks.on_started(&id, is_ok)
            }
            Message::Ended(id, end) => {
                if end == TaskEnd::Succeeded {
                    self.watches.succeeded(&id);
                } else {
                    self.watches.lost(now, &id);
                }
                self.tasks.on_ended(now, &id, end)
            }
            Message::Beat(asked, beat) => {
                let answer = self.watches.on_beat(now, &beat);
                let id = TaskId {
                    job: beat.job,
                    attempt: beat.attempt,
                    task: beat.task,
                };
                ctx.send(from, Message::BeatAnswer(asked, id, answer));
                Vec::new()
            }
            Message::BeatAnswer(asked, id, answer) => {
                let effects = self.watches.on_beat_answer(asked, &id, answer);
                return self.watch(ctx, worker, effects);
            }
            _ => Vec::new(),
        };
        self.perform(ctx, worker, effects);
    }

    /// Does what is due.
    pub(crate) fn tick(&mut self, ctx: &mut Ctx<'_>, worker: &mut Worker) {
        let now = ctx.now;
        let effects = self.with(now, |tasks, guards| tasks.tick(now, guards));
        self.perform(ctx, worker, effects);
        if self.broken != Some(Broken::Watch) {
            let effects = self.watches.tick(now);
            self.watch(ctx, worker, effects);
        }
        let lease = self.with(now, |_, guards| {
            guards.lease.is_live(now).then(|| guards.worker_lease(now))
        });
        if let Some(lease) = lease {
            worker.renew(lease);
        }
        if now >= self.next_announce {
            self.next_announce = now.plus(ANNOUNCE_PERIOD);
            let announcement = self.announcement();
            for target in announce_targets(&self.me.id(), &self.entries, self.holder) {
                let announce = Message::Announce(now, Box::new(announcement.clone()));
                ctx.send(NodeId::at(target), announce);
            }
        }
    }

    /// Describes the agent for `show`.
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

    fn on_reply(&mut self, ctx: &mut Ctx<'_>, asked: Uptime, reply: &AnnounceReply) {
        if self.broken == Some(Broken::MonotonicView) {
            self.config = ConfigView::default();
        }
        self.config
            .on_reply(asked, reply.config_version, reply.is_config_confirmed);
        for right in &reply.zone_rights {
            self.rights.on_reply(asked, right);
        }
        self.holder = reply.holder.or(self.holder);
        let Some(lease) = reply.lease else { return };
        let token = self.lease.token();
        self.lease.on_reply(asked, lease);
        if self.lease.token() == token && lease.token == token && asked > self.follows_since {
            self.tasks.on_delivered(asked);
        }
        if self.lease.token() != token {
            self.follows_since = ctx.now;
            self.tasks.on_new_token();
            ctx.trace(&format!("{} follows token {}", self.me, self.lease.token()));
        }
    }

    /// Runs a method of the task table with what the agent holds at `now`.
    fn with<T>(&mut self, now: Uptime, run: impl FnOnce(&mut TaskTable, &Guards<'_>) -> T) -> T {
        if self.broken.is_none() {
            let guards = Guards {
                lease: &self.lease,
                rights: &self.rights,
                zone: &self.zone,
            };
            return run(&mut self.tasks, &guards);
        }
        let remaining = Remaining::new(Duration::from_secs(3600));
        let (mut lease, mut rights) = (self.lease.clone(), self.rights.clone());
        if self.broken == Some(Broken::LeaseCheck) {
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
        if self.broken == Some(Broken::StartRight)
            && let Some(mut right) = rights.right(now, &self.zone)
        {
            right.remaining = remaining;
            rights.on_reply(now, &right);
        }
        let guards = Guards {
            lease: &lease,
            rights: &rights,
            zone: &self.zone,
        };
        run(&mut self.tasks, &guards)
    }

    fn perform(&mut self, ctx: &mut Ctx<'_>, worker: &mut Worker, effects: Vec<TaskEffect>) {
        let now = ctx.now;
        for effect in effects {
            match effect {
                TaskEffect::Answer(order, answer) => {
                    if let Some((to, order, task)) = self.orders.remove(&order) {
                        if answer != TaskAnswer::Done {
                            let name = TaskId::from(&task).name();
                            ctx.trace(&format!("{} refuses {order:?} {name}: {answer:?}", self.me));
                        }
                        ctx.send(to, Message::Answer(order, task, answer));
                    }
                }
                TaskEffect::Prepare(id, _) => worker.order(now, WorkerOrder::Prepare(id)),
                TaskEffect::Run {
                    id,
                    not_after,
                    members,
                } => {
                    self.members.insert(id.clone(), members);
                    let checked = self.with(now, |tasks, guards| {
                        let lease = guards.worker_lease(now);
                        tasks.may_run(now, guards, &id).map(|()| lease)
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

    fn watch(&mut self, ctx: &mut Ctx<'_>, worker: &mut Worker, effects: Vec<WatchEffect>) {
        for effect in effects {
            match effect {
                WatchEffect::Beat(first, beat) => {
                    let message = Message::Beat(ctx.now, beat);
                    ctx.send(NodeId::at(first.address), message);
                }
                WatchEffect::Stop(id) => {
                    ctx.trace(&format!(
                        "{} lost a part of the gang of {}",
                        self.me,
                        id.name()
                    ));
                    let effects = self.tasks.stop_own(&id, "a part of the gang was lost");
                    self.perform(ctx, worker, effects);
                }
            }
        }
    }

    fn note_order(&mut self, from: NodeId, order: Order, task: &TaskRef) -> OrderId {
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
