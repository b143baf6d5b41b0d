//! The task that owns the site's state machine and carries out its effects.

use std::collections::BTreeMap;

use cumindeck_control::membership::AgentHealth;
use cumindeck_requests::{
    AgentView, EntryConfig, EntryEvent, Ring, RingMember, RoutingConfig, TeamLimits,
};
use cumindeck_service::{Alarm, Metrics, Readiness, Timer};
use cumindeck_site::{
    AnnounceCallId, EntryIdentity, Notice, OperatorCallId, OperatorReply, OperatorRequest, Order,
    OrderId, SiteEffect, SiteEvent, SiteMachine,
};
use cumindeck_types::AgentId;
use cumindeck_types::message::{
    AgentState, AnnounceReply, Announcement, RingMemberView, RingView, TaskAnswer,
};
use tokio::sync::{mpsc, oneshot, watch};

use crate::callers::CallerLimits;
use crate::links::{CallFailure, LinkCall, LinkMessage, ReplyCallback};
use crate::request_task::RequestMessage;
use crate::store_task::StoreMessage;
use crate::usage_task::{ReadUsage, log_alerts};

/// Messages to the site task.
pub(crate) enum SiteMessage {
    /// An agent announced itself.
    Announce(Announcement, oneshot::Sender<AnnounceReply>),
    Operator(OperatorRequest, oneshot::Sender<OperatorReply>),
    /// Another event of the state machine.
    Event(SiteEvent),
    /// Releases leadership and replies when that is done.
    Drain(oneshot::Sender<()>),
}

/// Channels through which the site task carries out effects.
pub(crate) struct SiteOutputs {
    /// To itself, for replies of agents.
    pub site: mpsc::UnboundedSender<SiteMessage>,
    /// To the store task.
    pub store: mpsc::UnboundedSender<StoreMessage>,
    /// To the usage task.
    pub usage: mpsc::UnboundedSender<ReadUsage>,
    /// To the request task.
    pub requests: mpsc::UnboundedSender<RequestMessage>,
    /// To the connections to agents.
    pub links: mpsc::UnboundedSender<LinkMessage>,
    /// Limits of callers' requests.
    pub limits: watch::Sender<CallerLimits>,
}

/// The site's state machine and the calls that wait for its replies.
pub(crate) struct SiteTask {
    machine: SiteMachine,
    cfg: EntryIdentity,
    timer: Timer,
    alarm: Alarm,
    outputs: SiteOutputs,
    readiness: Readiness,
    metrics: Metrics,
    next_call: u64,
    announcements: BTreeMap<AnnounceCallId, oneshot::Sender<AnnounceReply>>,
    operators: BTreeMap<OperatorCallId, oneshot::Sender<OperatorReply>>,
    drained: Vec<oneshot::Sender<()>>,
}

impl SiteTask {
    pub(crate) fn new(
        cfg: EntryIdentity,
        timer: Timer,
        outputs: SiteOutputs,
        readiness: Readiness,
        metrics: Metrics,
    ) -> Self {
        Self {
            machine: SiteMachine::new(cfg.clone(), timer.now()),
            cfg,
            alarm: timer.alarm(),
            timer,
            outputs,
            readiness,
            metrics,
            next_call: 0,
            announcements: BTreeMap::new(),
            operators: BTreeMap::new(),
            drained: Vec::new(),
        }
    }

    /// Handles messages until all senders are dropped.
    pub(crate) async fn run(mut self, mut rx: mpsc::UnboundedReceiver<SiteMessage>) {
        loop {
            self.alarm.set(Some(self.machine.next_wakeup()));
            tokio::select! {
                message = rx.recv() => match message {
                    Some(message) => self.handle(message),
                    None => return,
                },
                () = self.alarm.wait() => self.step(SiteEvent::Wakeup),
            }
            self.readiness.set(self.machine.is_ready());
        }
    }

    fn handle(&mut self, message: SiteMessage) {
        self.next_call += 1;
        match message {
            SiteMessage::Announce(announcement, tx) => {
                let call = AnnounceCallId(self.next_call);
                self.announcements.insert(call, tx);
                self.step(SiteEvent::Announced(call, announcement));
            }
            SiteMessage::Operator(req, tx) => {
                let call = OperatorCallId(self.next_call);
                self.operators.insert(call, tx);
                self.step(SiteEvent::Operator(call, req));
            }
            SiteMessage::Event(event) => self.step(event),
            SiteMessage::Drain(tx) => {
                self.drained.push(tx);
                self.step(SiteEvent::Drain);
            }
        }
    }

    fn step(&mut self, event: SiteEvent) {
        for effect in self
            .machine
            .step(self.timer.now(), self.timer.wall(), event)
        {
            self.carry_out(effect);
        }
    }

    /// Carries out an effect; a closed channel means that the process is stopping.
    fn carry_out(&mut self, effect: SiteEffect) {
        match effect {
            SiteEffect::ReplyAnnounce(call, reply) => {
                if let Some(tx) = self.announcements.remove(&call) {
                    let _ = tx.send(*reply);
                }
            }
            SiteEffect::Read(id, ranges) => {
                let _ = self.outputs.store.send(StoreMessage::Read(id, ranges));
            }
            SiteEffect::Commit(id, writes) => {
                let _ = self.outputs.store.send(StoreMessage::Commit(id, writes));
            }
            SiteEffect::ReadUsage { generation, after } => {
                let _ = self.outputs.usage.send(ReadUsage { generation, after });
            }
            SiteEffect::Order(id, agent, order) => self.order(id, agent, order),
            SiteEffect::Agent {
                announcement,
                health,
                is_zone_open,
            } => {
                let address = announcement.address;
                let agent = announcement.agent.clone();
                let _ = self
                    .outputs
                    .links
                    .send(LinkMessage::SetAgent(agent, address));
                let view = agent_view(*announcement, health, is_zone_open);
                self.request_event(EntryEvent::AgentSeen(view));
            }
            SiteEffect::AgentGone(agent, incarnation) => {
                let _ = self
                    .outputs
                    .links
                    .send(LinkMessage::RemoveAgent(agent.clone()));
                self.request_event(EntryEvent::AgentGone { agent, incarnation });
            }
            SiteEffect::Configured(version, settings) => {
                tracing::info!(event = "configured", %version);
                self.metrics
                    .set("config_version", i64::try_from(version.get()).unwrap_or(0));
                let _ = self.outputs.limits.send(caller_limits(&settings));
                let cfg = entry_config(&self.cfg, &settings);
                self.request_event(EntryEvent::Configured(cfg));
            }
            SiteEffect::Ring(ring) => self.request_event(EntryEvent::RingChanged(to_ring(ring))),
            SiteEffect::Notice(Notice::Alerts(notice)) => log_alerts(&notice, &self.metrics),
            SiteEffect::Notice(notice) => log_notice(&notice),
            SiteEffect::ReplyOperator(call, reply) => {
                if let Some(tx) = self.operators.remove(&call) {
                    let _ = tx.send(reply);
                }
            }
            SiteEffect::Drained => {
                for tx in self.drained.drain(..) {
                    let _ = tx.send(());
                }
            }
        }
    }

    fn request_event(&self, event: EntryEvent) {
        let _ = self.outputs.requests.send(RequestMessage::Event(event));
    }

    fn order(&self, id: OrderId, agent: AgentId, order: Order) {
        let site = self.outputs.site.clone();
        let done: ReplyCallback<TaskAnswer> = Box::new(move |result: Result<_, CallFailure>| {
            let event = SiteEvent::OrderAnswered(id, result.ok());
            let _ = site.send(SiteMessage::Event(event));
        });
        let call = match order {
            Order::Reserve(order) => LinkCall::Reserve(order, done),
            Order::StartTask(order) => LinkCall::StartTask(order, done),
            Order::Stop(task) => LinkCall::Stop(task, done),
            Order::Checkpoint(task) => LinkCall::Checkpoint(task, done),
        };
        let _ = self.outputs.links.send(LinkMessage::Call(agent, call));
    }
}

/// Logs a notice for operators.
fn log_notice(notice: &Notice) {
    match notice {
        // Logged by `log_alerts`, which also counts them in the metrics.
        Notice::Alerts(_) => {}
        Notice::LeadershipAcquired { region, token } => {
            tracing::info!(event = "duty_acquired", %region, %token);
        }
        Notice::LeadershipLost { region } => tracing::warn!(event = "duty_lost", %region),
        Notice::RecordsLoaded { region, jobs } => {
            tracing::info!(event = "records_loaded", %region, jobs);
        }
        Notice::JobAccepted { job } => tracing::info!(event = "job_accepted", %job),
        Notice::GangStarted { job, attempt } => {
            tracing::info!(event = "gang_started", %job, %attempt);
        }
        Notice::GangFailed {
            job,
            attempt,
            failure,
        } => {
            tracing::warn!(event = "gang_failed", %job, %attempt, failure = ?failure);
        }
        Notice::JobEnded {
            job,
            state,
            message,
        } => {
            tracing::info!(event = "job_ended", %job, %state, message);
        }
        Notice::WorkerQuarantined { worker, jobs } => {
            tracing::warn!(event = "worker_quarantined", %worker, jobs = ?jobs);
        }
        Notice::GuaranteesShort { region, teams } => {
            tracing::warn!(event = "guarantees_short", %region, teams = ?teams);
        }
    }
}

fn to_ring(view: RingView) -> Ring {
    let member = |member: RingMemberView| RingMember {
        agent: member.agent,
        incarnation: member.incarnation,
    };
    Ring {
        region: view.region,
        version: view.version,
        members: view.members.into_iter().map(member).collect(),
    }
}

fn agent_view(announcement: Announcement, health: AgentHealth, is_zone_open: bool) -> AgentView {
    AgentView {
        is_leaving: announcement.state == AgentState::Leaving || health == AgentHealth::Leaving,
        is_suspect: matches!(health, AgentHealth::Suspect | AgentHealth::Gone),
        agent: announcement.agent,
        incarnation: announcement.incarnation,
        zone: announcement.zone,
        region: announcement.region,
        is_zone_open,
        slots: announcement.slots,
        connections: announcement.connections,
        in_flight: announcement.in_flight,
    }
}

fn caller_limits(settings: &cumindeck_config::SiteSettings) -> CallerLimits {
    CallerLimits {
        max_body: settings.requests.max_body,
        default_timeout: settings.requests.default_timeout,
        max_timeout: settings.requests.max_timeout,
    }
}

/// Returns the bytes per second of the link that this entry's requests may use.
fn link_share(settings: &cumindeck_config::SiteSettings) -> u64 {
    let bytes = settings.link_capacity.bits_per_second() as f64 / 8.0;
    (bytes * settings.requests.link_share.fraction()) as u64
}

/// Returns the settings of the request state machine; without teams it refuses all
/// requests.
pub(crate) fn entry_config(
    cfg: &EntryIdentity,
    settings: &cumindeck_config::SiteSettings,
) -> EntryConfig {
    let limits = |team: &cumindeck_config::TeamSettings| {
        let limits = TeamLimits {
            weight: team.weight,
            queue_limit: team.queue_limit as usize,
            rate: team.rate,
            home_region: team.home_region.clone(),
        };
        (team.id.clone(), limits)
    };
    EntryConfig {
        entry: cfg.entry.clone(),
        region: cfg.region.clone(),
        teams: settings.teams.iter().map(limits).collect(),
        routing: RoutingConfig {
            link_bytes_per_second: link_share(settings),
            ..RoutingConfig::default()
        },
        // Percentages of the configuration are whole numbers.
        retry_percent: (settings.requests.retry_budget.fraction() * 100.0).round() as u32,
    }
}
