//! An entry: the tasks that the duty and the store would own.

use std::time::Duration;

use cumindeck_control::agent_lease::{LeaseGrants, LeaseRequest};
use cumindeck_control::config_version::{ChangeEffect, ChangeId, ConfigChange, ConfigView};
use cumindeck_control::duty::{Duty, DutyEffect, GrantMode, Holder};
use cumindeck_control::gang::StoppedTasks;
use cumindeck_control::membership::{AgentViews, ViewChange};
use cumindeck_control::store::WriteOutcome;
use cumindeck_control::zone::StartRights;
use cumindeck_types::message::{AnnounceReply, Announcement};
use cumindeck_types::{ConfigVersion, Incarnation, JobId, RingVersion, Uptime, ZoneVersion};

use crate::broken::Broken;
use crate::jobs::JobBook;
use crate::message::{Message, NodeId};
use crate::store::Heads;
use crate::world::Ctx;

/// Time between two reads of the heads.
const READ_PERIOD: Duration = Duration::from_millis(500);
/// Time after which an answer of the store counts as lost.
const STORE_TIMEOUT: Duration = Duration::from_millis(600);

/// A question to the store without an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Await {
    Duty(u64),
    Attempt(JobId, String),
    AttemptRead(JobId, String),
    Change(ChangeId),
    ReadBack(ChangeId),
}

/// What a holder knows under one token.
pub(crate) struct Holding {
    pub(crate) grants: LeaseGrants,
    pub(crate) reports: StoppedTasks,
    pub(crate) jobs: JobBook,
}

/// One incarnation of an entry process.
pub(crate) struct Entry {
    pub(crate) me: NodeId,
    pub(crate) duty: Duty,
    pub(crate) holding: Option<Holding>,
    pub(crate) views: AgentViews,
    pub(crate) rights: StartRights,
    pub(crate) broken: Option<Broken>,
    config: ConfigView,
    next_read: Uptime,
    awaits: Vec<(Uptime, Await)>,
    changes: Vec<(ChangeId, ConfigChange)>,
    last_change: u64,
}

impl Entry {
    /// Starts an incarnation of an entry at `now`.
    pub(crate) fn new(
        now: Uptime,
        me: NodeId,
        incarnation: Incarnation,
        broken: Option<Broken>,
    ) -> Self {
        let holder = Holder {
            entry: me.id(),
            incarnation,
        };
        Self {
            me,
            duty: Duty::new(holder, Duration::ZERO),
            holding: None,
            views: AgentViews::new(now),
            rights: StartRights::default(),
            broken,
            config: ConfigView::default(),
            next_read: now,
            awaits: Vec::new(),
            changes: Vec::new(),
            // Ids of changes stay distinct over the incarnations of an entry.
            last_change: incarnation.get() * 1000,
        }
    }

    /// Returns the configuration version in force.
    pub(crate) const fn config(&self) -> Option<ConfigVersion> {
        self.config.version()
    }

    /// Starts an operator's change.
    pub(crate) fn change(&mut self, ctx: &mut Ctx<'_>) {
        let Some(base) = self.config.version() else {
            ctx.trace(&format!("{} is not ready: change not run", self.me));
            return;
        };
        self.last_change += 1;
        let id = ChangeId::new(format!("{}-{}", self.me, self.last_change));
        let change = ConfigChange::new(base, id.clone());
        let effect = change.commit();
        self.changes.push((id.clone(), change));
        self.on_change(ctx, &id, &effect);
    }

    /// Releases the duty.
    pub(crate) fn release(&mut self, ctx: &mut Ctx<'_>) {
        let longest = self
            .holding
            .as_ref()
            .map(|holding| holding.grants.longest());
        let effects = self.duty.release(ctx.now, longest.unwrap_or(Uptime::ZERO));
        self.on_duty(ctx, effects);
    }

    /// Handles a message.
    pub(crate) fn on_message(&mut self, ctx: &mut Ctx<'_>, from: NodeId, message: Message) {
        match message {
            Message::Heads(asked, heads) => self.on_heads(ctx, asked, &heads),
            Message::DutyWritten(number, outcome) => {
                self.forget(&Await::Duty(number));
                let effects = self.duty.on_write(number, outcome);
                self.on_duty(ctx, effects);
            }
            Message::Committed(id, outcome) => {
                self.forget(&Await::Change(id.clone()));
                self.on_committed(ctx, &id, outcome);
            }
            Message::BackRead {
                change,
                head,
                stored,
            } => {
                self.forget(&Await::ReadBack(change.clone()));
                let machine = self.changes.iter().find(|(id, _)| *id == change);
                if let Some((_, machine)) = machine {
                    let effect = machine.on_read_back(head, stored.as_ref());
                    self.on_change(ctx, &change, &effect);
                }
            }
            Message::Announce(asked, announcement) => {
                self.on_announce(ctx, from, asked, *announcement);
            }
            Message::AttemptCounted(job, write, outcome) => {
                self.forget(&Await::Attempt(job.clone(), write.clone()));
                self.on_attempt_counted(ctx, &job, &write, outcome);
            }
            Message::AttemptRead { job, write, stored } => {
                self.forget(&Await::AttemptRead(job.clone(), write.clone()));
                self.on_attempt_read(ctx, &job, &write, stored.as_ref());
            }
            Message::Answer(order, task, answer) => self.on_answer(ctx, order, &task, answer),
            _ => {}
        }
    }

    /// Does what is due.
    pub(crate) fn tick(&mut self, ctx: &mut Ctx<'_>) {
        let now = ctx.now;
        if now >= self.next_read {
            self.next_read = now.plus(READ_PERIOD);
            ctx.send(NodeId::Store, Message::ReadHeads(now));
        }
        let effects = self.duty.tick(now);
        self.on_duty(ctx, effects);
        let awaits = std::mem::take(&mut self.awaits);
        let (due, rest): (Vec<_>, Vec<_>) = awaits.into_iter().partition(|(at, _)| now >= *at);
        self.awaits = rest;
        for (_, lost) in due {
            self.on_lost(ctx, lost);
        }
        self.tick_jobs(ctx);
    }

    /// Describes the entry for `show`.
    pub(crate) fn show(&self, now: Uptime) -> String {
        let token = self.duty.token().unwrap_or_default();
        let may_act = self.duty.may_act(now);
        let config = self.config().unwrap_or_default();
        format!("token={token} may_act={may_act} config={config}")
    }

    /// Sends a question to the store and waits for its answer.
    pub(crate) fn ask(&mut self, ctx: &mut Ctx<'_>, question: Await, message: Message) {
        self.awaits.push((ctx.now.plus(STORE_TIMEOUT), question));
        ctx.send(NodeId::Store, message);
    }

    fn forget(&mut self, question: &Await) {
        self.awaits.retain(|(_, known)| known != question);
    }

    fn on_lost(&mut self, ctx: &mut Ctx<'_>, lost: Await) {
        match lost {
            Await::Duty(number) => {
                let effects = self.duty.on_write(number, WriteOutcome::Unknown);
                self.on_duty(ctx, effects);
            }
            Await::Attempt(job, write) => {
                self.on_attempt_counted(ctx, &job, &write, WriteOutcome::Unknown);
            }
            Await::AttemptRead(job, write) => self.read_attempt(ctx, &job, &write),
            Await::Change(id) => self.on_committed(ctx, &id, WriteOutcome::Unknown),
            Await::ReadBack(id) => {
                let machine = self.changes.iter().find(|(known, _)| *known == id);
                if let Some((_, machine)) = machine {
                    let effect = machine.on_write(WriteOutcome::Unknown);
                    self.on_change(ctx, &id, &effect);
                }
            }
        }
    }

    fn on_heads(&mut self, ctx: &mut Ctx<'_>, asked: Uptime, heads: &Heads) {
        if self.broken == Some(Broken::MonotonicView) {
            self.config = ConfigView::default();
        }
        self.config.on_read(asked, heads.config);
        let mut rows = heads.zones.clone();
        if self.broken == Some(Broken::StartRight) {
            for row in &mut rows {
                (row.version, row.is_open) = (ZoneVersion::new(1), true);
            }
        }
        self.rights.on_read(asked, &rows);
        let effects = self.duty.on_row(ctx.now, &heads.duty);
        self.on_duty(ctx, effects);
        if let Some(holding) = &mut self.holding {
            holding.jobs.load(asked, &heads.jobs);
        }
    }

    fn on_duty(&mut self, ctx: &mut Ctx<'_>, effects: Vec<DutyEffect>) {
        for effect in effects {
            match effect {
                DutyEffect::Read => ctx.send(NodeId::Store, Message::ReadHeads(ctx.now)),
                DutyEffect::Write {
                    number,
                    expected,
                    row,
                } => {
                    let message = Message::WriteDuty {
                        number,
                        expected,
                        row,
                    };
                    self.ask(ctx, Await::Duty(number), message);
                }
                DutyEffect::Acquired {
                    token,
                    former_expires,
                    is_continued,
                } => {
                    ctx.trace(&format!("{} holds the duty, token {token}", self.me));
                    let mut grants = LeaseGrants::new(token, former_expires);
                    if is_continued && let Some(holding) = self.holding.take() {
                        grants = holding.grants;
                        grants.raise_token(token);
                    }
                    self.holding = Some(Holding {
                        grants,
                        reports: StoppedTasks::new(ctx.now, token),
                        jobs: JobBook::new(ctx.now),
                    });
                }
                DutyEffect::Lost => {
                    ctx.trace(&format!("{} lost the duty", self.me));
                    self.holding = None;
                }
            }
        }
    }

    fn on_announce(
        &mut self,
        ctx: &mut Ctx<'_>,
        from: NodeId,
        asked: Uptime,
        announcement: Announcement,
    ) {
        let req = LeaseRequest {
            agent: announcement.agent.clone(),
            incarnation: announcement.incarnation,
            newest_token: announcement.newest_token,
        };
        let (zone, tasks) = (announcement.zone.clone(), announcement.tasks.clone());
        if self.views.on_announce(ctx.now, announcement) == ViewChange::StaleIncarnation {
            return;
        }
        self.on_incarnation(ctx, &req.agent, req.incarnation);
        let Some(config_version) = self.config.version() else {
            return;
        };
        let mode = self.duty.grant_mode(ctx.now);
        let mut lease = None;
        if let Some(holding) = &mut self.holding {
            lease = holding.grants.on_request(ctx.now, mode, &req);
            if mode == GrantMode::Normal || lease.is_some() {
                holding.reports.on_reports(
                    ctx.now,
                    &req.agent,
                    req.incarnation,
                    req.newest_token,
                    &tasks,
                );
            }
        }
        self.acknowledge(ctx, from, &tasks);
        let holder = self.duty.holder().map(|holder| holder.entry.to_string());
        let holder: Option<NodeId> = holder.and_then(|holder| holder.parse().ok());
        let reply = AnnounceReply {
            entry: self.me.id(),
            config_version,
            is_config_confirmed: self.config.is_confirmed(ctx.now),
            zone_rights: self.rights.right(ctx.now, &zone).into_iter().collect(),
            lease,
            holder: holder.map(NodeId::address),
            entries: Vec::new(),
            ring_version: RingVersion::default(),
            gangs: Vec::new(),
            ring: None,
        };
        ctx.send(from, Message::Reply(asked, Box::new(reply)));
    }

    fn on_committed(&mut self, ctx: &mut Ctx<'_>, id: &ChangeId, outcome: WriteOutcome) {
        let machine = self.changes.iter().find(|(known, _)| known == id);
        if let Some((_, machine)) = machine {
            let effect = machine.on_write(outcome);
            self.on_change(ctx, id, &effect);
        }
    }

    fn on_change(&mut self, ctx: &mut Ctx<'_>, id: &ChangeId, effect: &ChangeEffect) {
        let is_accepted = match effect {
            ChangeEffect::Commit { base, change, .. } => {
                let commit = Message::Commit {
                    base: *base,
                    change: change.clone(),
                };
                return self.ask(ctx, Await::Change(id.clone()), commit);
            }
            ChangeEffect::ReadBack { version } => {
                let read = Message::ReadBack(*version, id.clone());
                return self.ask(ctx, Await::ReadBack(id.clone()), read);
            }
            ChangeEffect::Accepted(version) => {
                ctx.trace(&format!("{} accepted as version {version}", id.as_str()));
                true
            }
            ChangeEffect::Rejected { winner } => {
                ctx.trace(&format!("{} rejected, version {winner} won", id.as_str()));
                false
            }
        };
        self.changes.retain(|(known, _)| known != id);
        ctx.told.push((id.clone(), is_accepted));
    }
}
