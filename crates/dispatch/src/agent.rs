//! The task that owns an agent's state, and its calls.

mod message;
mod withheld;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cumindeck_jobs::{
    AckOutcome, AgentCore, AgentEffect, EntryRow, ExchangeReply, IncarnationId, LeaderDiscovery,
    LeaderRow, RenewFailure, RenewReply, Row, RowName, SearchStep, StartOutcome, TimeLimits,
    WorkerIncarnation,
};
use cumindeck_platform::HttpClient;
use cumindeck_service::{Gate, Handler, Metrics, Shutdown, Timer, bind, serve};
use cumindeck_types::{AgentId, Incarnation, Uptime, WorkerId};
use tokio::sync::mpsc;

use crate::border::{RowStore, WorkerControl};
use crate::http::{HttpLimits, internal_head};
use crate::peers::{MetricsHandler, send_report, shared};

pub use message::{AgentHandle, AgentMessage};
use withheld::WithheldWatch;

/// Capacity of the agent task's channel; senders wait while it is full.
const AGENT_CHANNEL_CAPACITY: usize = 256;

/// Delay after the entries could not be read from the store.
const SEARCH_RETRY_DELAY: Duration = Duration::from_millis(120);

/// Delay before the next lease renewal, while the ends of runs wait to be recorded or
/// after a failure.
const RENEWAL_DELAY: Duration = Duration::from_millis(150);

/// Maximum time between two checks of the timers.
const TICK: Duration = Duration::from_millis(250);

/// Settings, clients and timers of an agent, consumed by [`run_agent`].
pub struct AgentParts {
    /// Id of the agent; [`run_agent`] adds an incarnation from the wall clock.
    pub agent: AgentId,
    /// Address at which metrics are served.
    pub internal: SocketAddr,
    /// Address at which the worker calls the agent.
    pub worker_calls: SocketAddr,
    /// Time limits, derived from the bounds of the deployment.
    pub limits: TimeLimits,
    /// Limits on requests and connections.
    pub http: HttpLimits,
    /// The platform's table service.
    pub store: Arc<dyn RowStore>,
    /// The worker beside the agent.
    pub worker: Arc<dyn WorkerControl>,
    /// Client for calls to entries.
    pub client: HttpClient,
    /// Clock and timers of the process.
    pub timer: Timer,
    /// Signals when to stop.
    pub shutdown: Shutdown,
}

/// Runs an agent until its shutdown; `calls` creates the handler of the worker's calls.
pub async fn run_agent(
    parts: AgentParts,
    calls: impl FnOnce(AgentHandle) -> Arc<dyn Handler>,
) -> eyre::Result<()> {
    let internal = bind("metrics", parts.internal).await?;
    let worker_calls = bind("the worker", parts.worker_calls).await?;
    let metrics = Metrics::new("agent")?;
    let gate = Gate::spawn(parts.http.ingress, parts.timer.clone(), metrics.clone());
    let (tx, rx) = mpsc::channel(AGENT_CHANNEL_CAPACITY);
    let mut shutdown = parts.shutdown.clone();
    let (stop, stopped) = Shutdown::manual();
    tokio::spawn(serve(
        internal,
        shared(MetricsHandler(metrics.clone())),
        internal_head(parts.http.head),
        gate.clone(),
        stopped.clone(),
    ));
    let handler = calls(AgentHandle::new(tx.clone()));
    tokio::spawn(serve(worker_calls, handler, parts.http.head, gate, stopped));
    // Incarnations increase as long as the wall clock does not go back between two starts.
    let incarnation = Incarnation::new(u64::try_from(parts.timer.wall().as_millis())?);
    tracing::info!(event = "started", agent = %parts.agent, incarnation = %incarnation);
    let agent = parts.agent.clone();
    let withheld = WithheldWatch::new(parts.timer.now(), &metrics);
    let task = AgentTask {
        core: AgentCore::new(parts.agent.clone(), incarnation, parts.limits.clone()),
        parts,
        metrics,
        tx,
        search: LeaderDiscovery::default(),
        is_renewing: false,
        is_reporting: false,
        needs_report: false,
        is_searching: false,
        renew_after: Uptime::ZERO,
        had_leader: false,
        withheld,
    };
    tokio::spawn(task.run(rx));
    shutdown.wait().await;
    let _ = stop.send(true);
    tracing::info!(event = "stopped", agent = %agent);
    Ok(())
}

struct AgentTask {
    core: AgentCore,
    parts: AgentParts,
    metrics: Metrics,
    tx: mpsc::Sender<AgentMessage>,
    search: LeaderDiscovery,
    is_renewing: bool,
    is_reporting: bool,
    needs_report: bool,
    is_searching: bool,
    renew_after: Uptime,
    had_leader: bool,
    withheld: WithheldWatch,
}

impl AgentTask {
    async fn run(mut self, mut rx: mpsc::Receiver<AgentMessage>) {
        let mut alarm = self.parts.timer.alarm();
        loop {
            let now = self.parts.timer.now();
            alarm.set(Some(self.next_wakeup(now)));
            tokio::select! {
                message = rx.recv() => {
                    let Some(message) = message else { return };
                    self.on_message(message);
                }
                () = alarm.wait() => {}
            }
            while let Ok(message) = rx.try_recv() {
                self.on_message(message);
            }
            self.work();
        }
    }

    fn next_wakeup(&self, now: Uptime) -> Uptime {
        let mut at = now.plus(TICK);
        if !self.is_renewing && self.core.has_worker_to_call() && self.renew_after > now {
            at = at.min(self.renew_after);
        }
        self.search.next_wakeup(now).map_or(at, |due| due.min(at))
    }

    fn on_message(&mut self, message: AgentMessage) {
        let now = self.parts.timer.now();
        match message {
            AgentMessage::Heartbeat { incarnation, done } => {
                let text = format!("{incarnation:?}");
                if self.core.on_heartbeat(now, incarnation) {
                    tracing::info!(event = "worker_changed", worker = text);
                    self.needs_report = true;
                }
                if self.core.is_claim_next() {
                    self.renew_after = now;
                }
                let _ = done.send(());
            }
            AgentMessage::Leave { worker, done } => {
                if self.core.on_worker_exit(now, &worker) {
                    tracing::info!(event = "worker_leaving", worker = %worker);
                    self.needs_report = true;
                }
                let _ = done.send(());
            }
            AgentMessage::Renewed {
                worker,
                sent_at,
                acknowledgement,
                result,
            } => {
                self.is_renewing = false;
                let is_unanswered = |it: &RenewReply| it.acknowledgement == AckOutcome::Unknown;
                if result.as_ref().is_ok_and(is_unanswered) {
                    self.metrics.count("acknowledgement", "unanswered");
                    let started_ms = acknowledgement.map(|it| it.started_ms);
                    let up_to = acknowledgement.map(|it| it.up_to);
                    tracing::info!(event = "acknowledgement_unanswered", worker = %worker, started_ms, up_to);
                }
                self.on_renewed(now, &worker, sent_at, result);
            }
            AgentMessage::Started {
                incarnation: IncarnationId { worker, started_ms },
                task,
                run,
                outcome,
            } => {
                tracing::info!(event = "start", task = %task, run = %run, %worker, started_ms, outcome = ?outcome);
                self.needs_report |= outcome != StartOutcome::Started;
                let effects = self.core.on_start(now, &task, run, outcome);
                self.carry_out(effects);
            }
            AgentMessage::Stopped {
                incarnation: IncarnationId { worker, started_ms },
                task,
                run,
                is_confirmed,
            } => {
                tracing::info!(event = "stop", task = %task, run = %run, %worker, started_ms, is_confirmed);
                self.core.on_stopped(now, &task, run, is_confirmed);
                self.needs_report = true;
                // The worker soon lists a stopped run's end; an unconfirmed stop is
                // sent again.
                self.renew_after = now.plus(RENEWAL_DELAY);
            }
            AgentMessage::Replied {
                is_long_poll,
                sent_at,
                from,
                result,
            } => self.on_reply(now, is_long_poll, sent_at, from, result),
            AgentMessage::Entries { leader, entries } => {
                self.is_searching = false;
                self.search.on_entries(leader, entries);
            }
        }
    }

    fn on_renewed(
        &mut self,
        now: Uptime,
        worker: &WorkerId,
        sent_at: Uptime,
        result: Result<RenewReply, RenewFailure>,
    ) {
        let former = self.core.worker_incarnation().cloned();
        match result {
            Ok(reply) => {
                let pause = if reply.ends.is_empty() {
                    Duration::ZERO
                } else {
                    RENEWAL_DELAY
                };
                self.renew_after = now.plus(pause);
                self.needs_report |= self.core.on_renewal(now, worker, sent_at, reply);
            }
            Err(failure) => {
                self.metrics.count("hold", "failed");
                tracing::info!(event = "hold_failed", worker = %worker, reason = %failure);
                self.needs_report |= self.core.on_renewal_failure(now, worker, &failure);
                // A worker that has taken the place of the known one is asked at once.
                let was_known = former.as_ref().is_some_and(|it| it.worker == *worker);
                if !(was_known && self.core.is_claim_next()) {
                    self.renew_after = now.plus(RENEWAL_DELAY);
                }
            }
        }
        let current = self.core.worker_incarnation();
        let is_same = |one: &WorkerIncarnation| {
            current.is_some_and(|current| current.is(&one.worker, one.started_ms))
        };
        if let Some(former) = former.as_ref().filter(|former| !is_same(former)) {
            tracing::warn!(event = "worker_lost", worker = %former.worker, started_ms = former.started_ms, last_call = %worker);
        }
        if let Some(current) = current
            && !former.is_some_and(|former| former.is(&current.worker, current.started_ms))
        {
            tracing::info!(event = "worker_changed", worker = ?current);
        }
    }

    fn on_reply(
        &mut self,
        now: Uptime,
        is_long_poll: bool,
        sent_at: Uptime,
        from: SocketAddr,
        result: Result<ExchangeReply, String>,
    ) {
        if !is_long_poll {
            self.is_reporting = false;
            // The long poll detects an unresponsive entry.
            if let Ok(reply) = result
                && reply.is_leader
            {
                self.on_leader_reply(now, sent_at, reply);
            }
            return;
        }
        let was_leader = self.search.leader() == Some(from);
        let step = match &result {
            Ok(reply) => self.search.on_reply(now, from, reply),
            Err(_) => {
                self.search.on_no_reply(now, from);
                SearchStep::Ignore
            }
        };
        let is_from_leader = step == SearchStep::Apply;
        if is_from_leader != self.had_leader && (is_from_leader || was_leader) {
            let error = result.as_ref().err();
            tracing::info!(event = "holder", is_reached = is_from_leader, entry = %from, ?error);
            self.had_leader = is_from_leader;
        }
        if let Ok(reply) = result
            && is_from_leader
        {
            self.on_leader_reply(now, sent_at, reply);
        }
    }

    fn on_leader_reply(&mut self, now: Uptime, sent_at: Uptime, reply: ExchangeReply) {
        let known = self.core.worker_incarnation();
        let (orders, meant_for_ms) = (reply.orders.len(), reply.worker_started_ms);
        if orders > 0 && known.is_none_or(|it| it.started_ms != meant_for_ms) {
            let worker = known.map(|it| tracing::field::display(&it.worker));
            let started_ms = known.map(|it| it.started_ms);
            tracing::info!(
                event = "orders_ignored",
                worker,
                started_ms,
                meant_for_ms,
                orders
            );
        }
        let former = self.core.incarnation();
        let effects = self.core.on_reply(sent_at, now, reply);
        let incarnation = self.core.incarnation();
        if incarnation != former {
            tracing::warn!(event = "incarnation_raised", %former, %incarnation, reason = "the leader knows a later process of this agent");
            self.needs_report = true;
        }
        self.carry_out(effects);
    }

    /// Reads the leader and the entries from the store.
    fn read_entries(&mut self) {
        if std::mem::replace(&mut self.is_searching, true) {
            return;
        }
        let (store, tx) = (self.parts.store.clone(), self.tx.clone());
        tokio::spawn(async move {
            let message = match store.read_members().await {
                Ok(changes) => decode_entries(changes.rows),
                Err(err) => {
                    tracing::info!(event = "search_failed", error = %err.0);
                    tokio::time::sleep(SEARCH_RETRY_DELAY).await;
                    AgentMessage::Entries {
                        leader: None,
                        entries: Vec::new(),
                    }
                }
            };
            let _ = tx.send(message).await;
        });
    }

    fn work(&mut self) {
        let now = self.parts.timer.now();
        let calls = self.core.due_calls(now);
        self.carry_out(calls);
        self.withheld.update(now, &self.core, &self.metrics);
        if !self.is_renewing && now >= self.renew_after {
            self.start_renewal(now);
        }
        if self.search.needs_entry_list() {
            self.read_entries();
        }
        for entry in self.search.due(now) {
            if self.search.leader() == Some(entry) {
                self.needs_report = false;
            }
            self.report(entry, true);
        }
        let leader = self.search.leader().filter(|_| self.had_leader);
        if let Some(leader) = leader.filter(|_| self.needs_report && !self.is_reporting) {
            self.is_reporting = true;
            self.needs_report = false;
            self.report(leader, false);
        }
    }

    fn start_renewal(&mut self, now: Uptime) {
        let Some(call) = self.core.renew_call(now) else {
            return;
        };
        self.is_renewing = true;
        let (worker, tx) = (self.parts.worker.clone(), self.tx.clone());
        tokio::spawn(async move {
            let result = worker.renew_leases(&call).await;
            let message = AgentMessage::Renewed {
                worker: call.worker,
                sent_at: now,
                acknowledgement: call.acknowledgement,
                result,
            };
            let _ = tx.send(message).await;
        });
    }

    fn report(&mut self, to: SocketAddr, is_long_poll: bool) {
        let wait = match is_long_poll {
            true => LeaderDiscovery::ORDER_WAIT,
            false => Duration::ZERO,
        };
        let report = self.core.report(wait, self.search.token());
        let (client, timer) = (self.parts.client.clone(), self.parts.timer.clone());
        let tx = self.tx.clone();
        tokio::spawn(async move {
            let sent_at = timer.now();
            let result = send_report(&client, to, &report).await;
            let message = AgentMessage::Replied {
                is_long_poll,
                sent_at,
                from: to,
                result,
            };
            let _ = tx.send(message).await;
        });
    }

    fn carry_out(&self, effects: Vec<AgentEffect>) {
        // The core's effects are calls to the worker that it knows now.
        let started_ms = self.core.worker_incarnation().map_or(0, |it| it.started_ms);
        for effect in effects {
            let (worker, tx) = (self.parts.worker.clone(), self.tx.clone());
            tokio::spawn(async move {
                let message = match effect {
                    AgentEffect::Start(call) => AgentMessage::Started {
                        outcome: worker.start(&call).await,
                        incarnation: IncarnationId {
                            worker: call.worker,
                            started_ms,
                        },
                        task: call.task,
                        run: call.run,
                    },
                    AgentEffect::Stop {
                        worker: id,
                        task,
                        run,
                        token,
                    } => AgentMessage::Stopped {
                        is_confirmed: worker.stop(&id, &task, run, token).await,
                        incarnation: IncarnationId {
                            worker: id,
                            started_ms,
                        },
                        task,
                        run,
                    },
                };
                let _ = tx.send(message).await;
            });
        }
    }
}

/// Returns the leader and the entries listed in the rows.
fn decode_entries(rows: Vec<cumindeck_jobs::StoreRow>) -> AgentMessage {
    let mut leader = None;
    let mut entries = Vec::new();
    for row in rows {
        let RowName::System(key) = &row.name else {
            continue;
        };
        match Row::decode(key, row.value.as_deref()) {
            Ok(Row::Leader(LeaderRow { address, .. })) => leader = address,
            Ok(Row::Entry(_, EntryRow { address })) => entries.push(address),
            Ok(
                Row::Job(..)
                | Row::Cancel(..)
                | Row::Progress(..)
                | Row::Part { .. }
                | Row::Worker(..)
                | Row::Removed(_),
            ) => {}
            Err(err) => tracing::warn!(event = "row_ignored", key = key.text(), error = %err),
        }
    }
    AgentMessage::Entries { leader, entries }
}
