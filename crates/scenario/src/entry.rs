//! Simulated entry: what the leadership and store tasks do in the program.

use std::time::Duration;

use cumindeck_control::agent_lease::{LeaseGrants, LeaseRequest};
use cumindeck_control::config_version::{ChangeEffect, ChangeId, ConfigChange, ConfigView};
use cumindeck_control::gang::StoppedTasks;
use cumindeck_control::leader::{GrantMode, Leader, LeaderEffect, LeaderLease};
use cumindeck_control::membership::{AgentDirectory, AnnouncementOutcome};
use cumindeck_control::store::WriteOutcome;
use cumindeck_control::zone::StartRights;
use cumindeck_types::message::{AnnounceReply, Announcement};
use cumindeck_types::{ConfigVersion, Incarnation, JobId, RingVersion, Uptime, ZoneVersion};

use crate::jobs::LeaderJobs;
use crate::message::{Message, NodeId};
use crate::safeguard::Safeguard;
use crate::simulation::Ctx;
use crate::store::PolledRows;

/// Time between two reads of the polled rows.
const READ_PERIOD: Duration = Duration::from_millis(500);
/// Time after which a request to the store without a reply has an unknown outcome.
const STORE_TIMEOUT: Duration = Duration::from_millis(600);

/// A request to the store that has no reply yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum PendingRequest {
    LeaderWrite(u64),
    Attempt(JobId, String),
    AttemptRead(JobId, String),
    Change(ChangeId),
    ReadBack(ChangeId),
}

/// State of a leader under one fencing token; the grants pass to the next token if the
/// same process acquires it.
pub(crate) struct LeaderState {
    pub(crate) grants: LeaseGrants,
    /// Tasks that agents have reported under the token.
    pub(crate) reports: StoppedTasks,
    pub(crate) jobs: LeaderJobs,
}

/// One incarnation of an entry process.
pub(crate) struct Entry {
    pub(crate) me: NodeId,
    pub(crate) leader_lease: LeaderLease,
    pub(crate) leader_state: Option<LeaderState>,
    pub(crate) agents: AgentDirectory,
    pub(crate) rights: StartRights,
    pub(crate) disabled: Option<Safeguard>,
    config: ConfigView,
    next_read: Uptime,
    pending: Vec<(Uptime, PendingRequest)>,
    changes: Vec<(ChangeId, ConfigChange)>,
    last_change: u64,
}

impl Entry {
    /// Starts an incarnation of an entry at `now`.
    pub(crate) fn new(
        now: Uptime,
        me: NodeId,
        incarnation: Incarnation,
        disabled: Option<Safeguard>,
    ) -> Self {
        let leader = Leader {
            entry: me.id(),
            incarnation,
        };
        Self {
            me,
            leader_lease: LeaderLease::new(leader, Duration::ZERO),
            leader_state: None,
            agents: AgentDirectory::new(now),
            rights: StartRights::default(),
            disabled,
            config: ConfigView::default(),
            next_read: now,
            pending: Vec::new(),
            changes: Vec::new(),
            // Change ids stay distinct across the incarnations of an entry, each of which
            // has 1000 of them.
            last_change: incarnation.get() * 1000,
        }
    }

    /// Returns the configuration version in force.
    pub(crate) const fn config(&self) -> Option<ConfigVersion> {
        self.config.version()
    }

    /// Starts a configuration change of an operator.
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
        self.perform_change_effect(ctx, &id, &effect);
    }

    /// Steps down and releases the leader lease.
    pub(crate) fn release(&mut self, ctx: &mut Ctx<'_>) {
        let longest = self
            .leader_state
            .as_ref()
            .map(|leader_state| leader_state.grants.latest_expiry());
        let effects = self
            .leader_lease
            .release(ctx.now, longest.unwrap_or(Uptime::ZERO));
        self.perform_leader_effects(ctx, effects);
    }

    /// Handles a message.
    pub(crate) fn on_message(&mut self, ctx: &mut Ctx<'_>, from: NodeId, message: Message) {
        match message {
            Message::PolledRows(sent_at, rows) => self.on_polled_rows(ctx, sent_at, &rows),
            Message::LeaderWritten(number, outcome) => {
                self.remove_pending(&PendingRequest::LeaderWrite(number));
                let effects = self.leader_lease.on_write(number, outcome);
                self.perform_leader_effects(ctx, effects);
            }
            Message::Committed(id, outcome) => {
                self.remove_pending(&PendingRequest::Change(id.clone()));
                self.on_committed(ctx, &id, outcome);
            }
            Message::ReadBackReply {
                change,
                head,
                stored,
            } => {
                self.remove_pending(&PendingRequest::ReadBack(change.clone()));
                let config_change = self.changes.iter().find(|(id, _)| *id == change);
                if let Some((_, config_change)) = config_change {
                    let effect = config_change.on_read_back(head, stored.as_ref());
                    self.perform_change_effect(ctx, &change, &effect);
                }
            }
            Message::Announce(sent_at, announcement) => {
                self.on_announce(ctx, from, sent_at, *announcement);
            }
            Message::AttemptRecorded(job, write, outcome) => {
                self.remove_pending(&PendingRequest::Attempt(job.clone(), write.clone()));
                self.on_attempt_recorded(ctx, &job, &write, outcome);
            }
            Message::AttemptRead { job, write, stored } => {
                self.remove_pending(&PendingRequest::AttemptRead(job.clone(), write.clone()));
                self.on_attempt_read(ctx, &job, &write, stored.as_ref());
            }
            Message::Answer(order, task, reply) => self.on_order_reply(ctx, order, &task, reply),
            _ => {}
        }
    }

    /// Polls the store, ticks the leader lease and the jobs, and handles store requests
    /// that have timed out.
    pub(crate) fn tick(&mut self, ctx: &mut Ctx<'_>) {
        let now = ctx.now;
        if now >= self.next_read {
            self.next_read = now.plus(READ_PERIOD);
            ctx.send(NodeId::Store, Message::ReadPolledRows(now));
        }
        let effects = self.leader_lease.tick(now);
        self.perform_leader_effects(ctx, effects);
        let pending = std::mem::take(&mut self.pending);
        let (due, rest): (Vec<_>, Vec<_>) = pending.into_iter().partition(|(at, _)| now >= *at);
        self.pending = rest;
        for (_, lost) in due {
            self.on_timeout(ctx, lost);
        }
        self.tick_jobs(ctx);
    }

    /// Returns the entry's state for `show`.
    pub(crate) fn show(&self, now: Uptime) -> String {
        let token = self.leader_lease.token().unwrap_or_default();
        let may_act = self.leader_lease.may_act(now);
        let config = self.config().unwrap_or_default();
        format!("token={token} may_act={may_act} config={config}")
    }

    /// Sends a request to the store and records that its reply is pending.
    pub(crate) fn send_to_store(
        &mut self,
        ctx: &mut Ctx<'_>,
        request: PendingRequest,
        message: Message,
    ) {
        self.pending.push((ctx.now.plus(STORE_TIMEOUT), request));
        ctx.send(NodeId::Store, message);
    }

    fn remove_pending(&mut self, request: &PendingRequest) {
        self.pending.retain(|(_, known)| known != request);
    }

    fn on_timeout(&mut self, ctx: &mut Ctx<'_>, lost: PendingRequest) {
        match lost {
            PendingRequest::LeaderWrite(number) => {
                let effects = self.leader_lease.on_write(number, WriteOutcome::Unknown);
                self.perform_leader_effects(ctx, effects);
            }
            PendingRequest::Attempt(job, write) => {
                self.on_attempt_recorded(ctx, &job, &write, WriteOutcome::Unknown);
            }
            PendingRequest::AttemptRead(job, write) => self.read_attempt(ctx, &job, &write),
            PendingRequest::Change(id) => self.on_committed(ctx, &id, WriteOutcome::Unknown),
            PendingRequest::ReadBack(id) => {
                let config_change = self.changes.iter().find(|(known, _)| *known == id);
                if let Some((_, config_change)) = config_change {
                    let effect = config_change.on_write(WriteOutcome::Unknown);
                    self.perform_change_effect(ctx, &id, &effect);
                }
            }
        }
    }

    fn on_polled_rows(&mut self, ctx: &mut Ctx<'_>, sent_at: Uptime, polled_rows: &PolledRows) {
        if self.disabled == Some(Safeguard::MonotonicView) {
            self.config = ConfigView::default();
        }
        self.config.on_read(sent_at, polled_rows.config);
        let mut rows = polled_rows.zones.clone();
        if self.disabled == Some(Safeguard::StartRight) {
            for row in &mut rows {
                (row.version, row.is_open) = (ZoneVersion::new(1), true);
            }
        }
        self.rights.on_read(sent_at, &rows);
        let effects = self.leader_lease.on_row(ctx.now, &polled_rows.leader_row);
        self.perform_leader_effects(ctx, effects);
        if let Some(leader_state) = &mut self.leader_state {
            leader_state.jobs.load(sent_at, &polled_rows.jobs);
        }
    }

    fn perform_leader_effects(&mut self, ctx: &mut Ctx<'_>, effects: Vec<LeaderEffect>) {
        for effect in effects {
            match effect {
                LeaderEffect::Read => ctx.send(NodeId::Store, Message::ReadPolledRows(ctx.now)),
                LeaderEffect::Write {
                    number,
                    expected,
                    row,
                } => {
                    let message = Message::WriteLeader {
                        number,
                        expected,
                        row,
                    };
                    self.send_to_store(ctx, PendingRequest::LeaderWrite(number), message);
                }
                LeaderEffect::Acquired {
                    token,
                    prior_leases_expire,
                    is_continued,
                } => {
                    ctx.trace(&format!("{} holds the duty, token {token}", self.me));
                    let mut grants = LeaseGrants::new(token, prior_leases_expire);
                    if is_continued && let Some(leader_state) = self.leader_state.take() {
                        grants = leader_state.grants;
                        grants.set_token(token);
                    }
                    self.leader_state = Some(LeaderState {
                        grants,
                        reports: StoppedTasks::new(ctx.now, token),
                        jobs: LeaderJobs::new(ctx.now),
                    });
                }
                LeaderEffect::Lost => {
                    ctx.trace(&format!("{} lost the duty", self.me));
                    self.leader_state = None;
                }
            }
        }
    }

    fn on_announce(
        &mut self,
        ctx: &mut Ctx<'_>,
        from: NodeId,
        sent_at: Uptime,
        announcement: Announcement,
    ) {
        let req = LeaseRequest {
            agent: announcement.agent.clone(),
            incarnation: announcement.incarnation,
            newest_token: announcement.newest_token,
        };
        let (zone, tasks) = (announcement.zone.clone(), announcement.tasks.clone());
        if self.agents.on_announce(ctx.now, announcement) == AnnouncementOutcome::StaleIncarnation {
            return;
        }
        self.on_incarnation(ctx, &req.agent, req.incarnation);
        let Some(config_version) = self.config.version() else {
            return;
        };
        let mode = self.leader_lease.grant_mode(ctx.now);
        let mut lease = None;
        if let Some(leader_state) = &mut self.leader_state {
            lease = leader_state.grants.on_request(ctx.now, mode, &req);
            if mode == GrantMode::Normal || lease.is_some() {
                leader_state.reports.on_reports(
                    ctx.now,
                    &req.agent,
                    req.incarnation,
                    req.newest_token,
                    &tasks,
                );
            }
        }
        self.acknowledge(ctx, from, &tasks);
        let leader = self
            .leader_lease
            .leader()
            .map(|leader| leader.entry.to_string());
        let leader: Option<NodeId> = leader.and_then(|leader| leader.parse().ok());
        let reply = AnnounceReply {
            entry: self.me.id(),
            config_version,
            is_config_confirmed: self.config.is_confirmed(ctx.now),
            zone_rights: self.rights.right(ctx.now, &zone).into_iter().collect(),
            lease,
            leader: leader.map(NodeId::address),
            entries: Vec::new(),
            ring_version: RingVersion::default(),
            gangs: Vec::new(),
            ring: None,
        };
        ctx.send(from, Message::Reply(sent_at, Box::new(reply)));
    }

    fn on_committed(&mut self, ctx: &mut Ctx<'_>, id: &ChangeId, outcome: WriteOutcome) {
        let config_change = self.changes.iter().find(|(known, _)| known == id);
        if let Some((_, config_change)) = config_change {
            let effect = config_change.on_write(outcome);
            self.perform_change_effect(ctx, id, &effect);
        }
    }

    fn perform_change_effect(&mut self, ctx: &mut Ctx<'_>, id: &ChangeId, effect: &ChangeEffect) {
        let is_accepted = match effect {
            ChangeEffect::Commit { base, change, .. } => {
                let commit = Message::Commit {
                    base: *base,
                    change: change.clone(),
                };
                return self.send_to_store(ctx, PendingRequest::Change(id.clone()), commit);
            }
            ChangeEffect::ReadBack { version } => {
                let read = Message::ReadBack(*version, id.clone());
                return self.send_to_store(ctx, PendingRequest::ReadBack(id.clone()), read);
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
        ctx.operator_replies.push((id.clone(), is_accepted));
    }
}
