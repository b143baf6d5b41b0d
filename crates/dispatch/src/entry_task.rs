//! The task that owns an entry's state.

mod agents;
mod leadership;
mod message;
mod speeds;
mod withheld;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use cumindeck_jobs::{
    JobApi, LeaderRow, LeaderWatch, PolicySettings, PredictionError, Row, RowKey, RowView,
    Scheduler, TimeLimits,
};
use cumindeck_platform::HttpClient;
use cumindeck_service::{Metrics, Readiness, Timer};
use cumindeck_types::{AgentId, AvailabilityZone, EntryId, Uptime};
use tokio::sync::{mpsc, oneshot, watch};

use crate::border::{Adviser, OperatorChange, OperatorChanges, RowChanges, RowStore};

use agents::{LeaderPoll, OrderPoll};
use leadership::log_policies;
pub use message::{EntryHandle, EntryMessage};
use speeds::{clear_speeds, log_speeds};
use withheld::{clear_withheld, log_withheld};

/// Capacity of the entry task's channel; senders wait while it is full.
pub(crate) const ENTRY_CHANNEL_CAPACITY: usize = 1_024;

/// Maximum time between two checks of the timers.
const TICK: Duration = Duration::from_millis(200);

/// Maximum age of the store's last reply with which an entry accepts an offer.
const MAX_OFFER_VIEW_AGE: Duration = Duration::from_millis(1_000);

/// Store latency that is assumed before the first measurement.
const INITIAL_STORE_LATENCY: Duration = Duration::from_millis(50);

/// A takeover that succeeded; the scheduler starts once the view includes it.
struct Takeover {
    leader_row: LeaderRow,
    version: u64,
    sent_at: Uptime,
}

/// Dependencies of the entry task.
pub(crate) struct EntryTaskParts {
    pub entry: EntryId,
    pub internal: std::net::SocketAddr,
    pub limits: TimeLimits,
    pub policies: PolicySettings,
    pub watch: LeaderWatch,
    pub store: Arc<dyn RowStore>,
    /// Advises on workers, if the platform has such a service.
    pub adviser: Option<Arc<dyn Adviser>>,
    pub client: HttpClient,
    pub timer: Timer,
    pub readiness: Readiness,
    pub metrics: Metrics,
    /// Receives whether this entry leads or is taking over.
    pub leads: watch::Sender<bool>,
    pub tx: mpsc::Sender<EntryMessage>,
}

pub(crate) struct EntryTask {
    parts: EntryTaskParts,
    job_api: JobApi,
    view: RowView,
    evacuated: BTreeSet<AvailabilityZone>,
    confirmed_at: Uptime,
    store_latency: Duration,
    scheduler: Option<Scheduler>,
    takeover: Option<Takeover>,
    is_taking_over: bool,
    is_committing: bool,
    /// When leadership was last offered since the store last confirmed it.
    offered_at: Option<Uptime>,
    /// Reply channels of accepted offers, which wait for the outcome of the takeover.
    accepted_offers: Vec<oneshot::Sender<bool>>,
    /// Where the end of leadership is reported, once the commit in flight has an
    /// outcome.
    shutdown_reply: Option<oneshot::Sender<()>>,
    /// A failed takeover is not retried before this time.
    takeover_after: Uptime,
    order_polls: BTreeMap<AgentId, OrderPoll>,
    /// Time before which the wait of no order poll is over.
    next_poll_due: Uptime,
    leader_polls: BTreeMap<AgentId, LeaderPoll>,
    /// Difference between the wall clock and the time since boot at the start.
    ///
    /// The wall clock may jump later; recurring jobs follow this one.
    unix_offset: Duration,
    was_ready: bool,
    /// Whether the last leader row had a forecast of another writer.
    was_forecast_ignored: bool,
}

impl EntryTask {
    pub fn new(parts: EntryTaskParts) -> Self {
        let now = parts.timer.now();
        let unix_offset = parts.timer.wall().saturating_sub(now.as_duration());
        clear_withheld(&parts.metrics);
        clear_speeds(&parts.metrics);
        Self {
            job_api: JobApi::new(parts.entry.clone(), parts.limits.clone()),
            view: RowView::default(),
            evacuated: BTreeSet::new(),
            confirmed_at: Uptime::ZERO,
            store_latency: INITIAL_STORE_LATENCY,
            scheduler: None,
            takeover: None,
            is_taking_over: false,
            is_committing: false,
            offered_at: None,
            accepted_offers: Vec::new(),
            shutdown_reply: None,
            takeover_after: Uptime::ZERO,
            order_polls: BTreeMap::new(),
            next_poll_due: Uptime::ZERO,
            leader_polls: BTreeMap::new(),
            unix_offset,
            was_ready: false,
            was_forecast_ignored: false,
            parts,
        }
    }

    /// Handles messages until all senders are dropped.
    pub async fn run(mut self, mut rx: mpsc::Receiver<EntryMessage>) {
        let mut alarm = self.parts.timer.alarm();
        loop {
            alarm.set(Some(self.next_wakeup()));
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

    /// Returns when work may be due without a message.
    fn next_wakeup(&self) -> Uptime {
        let now = self.now();
        let tick = now.plus(TICK);
        let takeover = self.takeover_due(now).filter(|due| *due > now);
        let plan = self.scheduler.as_ref().map(Scheduler::next_wakeup);
        let polls = self.scheduler.is_some().then_some(self.next_poll_due);
        let due = [takeover, plan, polls].into_iter().flatten();
        due.fold(tick, Uptime::min)
    }

    fn now(&self) -> Uptime {
        self.parts.timer.now()
    }

    fn on_message(&mut self, message: EntryMessage) {
        let now = self.now();
        match message {
            EntryMessage::Caller { req, reply } => {
                let _ = reply.send(self.job_api.begin(now, &req));
            }
            EntryMessage::Resume { req, result, reply } => {
                let _ = reply.send(self.job_api.resume(now, &req, &result));
            }
            EntryMessage::Peer {
                address,
                is_unresponsive,
            } => {
                self.job_api.on_peer_reply(now, address, is_unresponsive);
            }
            EntryMessage::Report { report, reply } => self.on_report(now, report, reply),
            EntryMessage::Rows {
                confirmed_at,
                replied_at,
                latency,
                changes,
                is_complete,
            } => {
                self.on_rows(confirmed_at, replied_at, changes, is_complete);
                self.on_latency(latency);
            }
            EntryMessage::Operator {
                confirmed_at,
                latency,
                changes,
                is_complete,
            } => {
                self.on_operator(confirmed_at, changes, is_complete);
                self.on_latency(latency);
            }
            EntryMessage::Committed {
                token,
                sent_at,
                replied_at,
                result,
            } => self.on_commit(token, sent_at, replied_at, &result),
            EntryMessage::Advised {
                sent_at,
                request,
                advice,
            } => {
                if let Some(scheduler) = &mut self.scheduler {
                    scheduler.on_advice(sent_at, now, &request, advice.as_ref());
                }
            }
            EntryMessage::TakenOver {
                sent_at,
                leader_row,
                result,
            } => self.on_takeover(sent_at, leader_row, &result),
            EntryMessage::Offer { token, reply } => {
                let reaches_store = now.since(self.confirmed_at) < MAX_OFFER_VIEW_AGE;
                let stands = reaches_store && self.parts.watch.on_offer(token);
                tracing::info!(event = "duty_offered", %token, stands);
                match stands {
                    true => self.accepted_offers.push(reply),
                    false => drop(reply.send(false)),
                }
            }
            EntryMessage::Offered { token } => {
                if self
                    .scheduler
                    .as_ref()
                    .is_some_and(|scheduler| scheduler.leader_row().token == token)
                {
                    self.step_down("handed on, since the store is lost");
                }
            }
            EntryMessage::Shutdown(done) => self.on_shutdown(done),
        }
    }

    fn on_latency(&mut self, latency: Option<Duration>) {
        // A leader measures its own commits instead.
        if let Some(latency) = latency.filter(|_| self.scheduler.is_none()) {
            self.store_latency = latency;
        }
    }

    fn on_rows(
        &mut self,
        confirmed_at: Uptime,
        replied_at: Uptime,
        changes: RowChanges,
        is_complete: bool,
    ) {
        let reading = match is_complete {
            true => self.view.on_all(changes.rows, changes.version),
            false => self.view.on_changes(changes.rows, changes.version),
        };
        for (key, err) in reading.invalid {
            tracing::error!(event = "row_ignored", key = key.text(), error = %err);
        }
        for (version, row) in reading.rows {
            self.on_row(replied_at, changes.store_ms, version, row);
        }
        self.confirmed_at = self.confirmed_at.max(replied_at);
        self.job_api
            .on_rows_confirmed(confirmed_at, replied_at, changes.store_ms);
        if is_complete {
            self.parts.watch.on_table_read();
        }
    }

    fn on_row(&mut self, now: Uptime, store_ms: u64, version: u64, row: Row) {
        if let Row::Leader(leader_row) = &row {
            self.parts.watch.on_row(now, version, leader_row.clone());
            self.log_ignored_forecast(version, leader_row);
            let is_lost = self.scheduler.as_ref().is_some_and(|scheduler| {
                version > scheduler.leader_version()
                    && leader_row.leader.as_ref() != Some(&self.parts.entry)
            });
            if is_lost {
                self.step_down("another entry wrote the leader row");
            }
        }
        if let Some(scheduler) = &mut self.scheduler {
            match &row {
                Row::Job(job, row) => {
                    scheduler.on_job(now, job.clone(), row.as_ref().clone(), store_ms);
                }
                Row::Cancel(job, row) => scheduler.on_cancel(job, row, store_ms),
                Row::Removed(RowKey::Cancel(job)) => scheduler.on_cancel_removed(job),
                Row::Leader(_)
                | Row::Entry(..)
                | Row::Progress(..)
                | Row::Part { .. }
                | Row::Worker(..)
                | Row::Removed(_) => {}
            }
        }
        self.job_api.on_row(row);
    }

    /// Logs a forecast of another writer, the first time in a row.
    fn log_ignored_forecast(&mut self, version: u64, leader_row: &LeaderRow) {
        let ignored = leader_row.forecast.ignored();
        if let Some(reason) = ignored.filter(|_| !self.was_forecast_ignored) {
            tracing::error!(event = "forecast_ignored", version, reason);
        }
        self.was_forecast_ignored = ignored.is_some();
    }

    fn on_operator(&mut self, confirmed_at: Uptime, changes: OperatorChanges, is_complete: bool) {
        // The end of an evacuation removes its row, so that all rows together show it by
        // an absence only.
        let mut evacuated = match is_complete {
            true => BTreeSet::new(),
            false => self.evacuated.clone(),
        };
        for change in changes.changes {
            match change {
                OperatorChange::Catalog(catalog) => {
                    tracing::info!(event = "config", version = %catalog.version, queues = catalog.queues.len());
                    if let Some(scheduler) = &mut self.scheduler {
                        let site = scheduler.site_profile();
                        scheduler.on_catalog(catalog.as_ref().clone());
                        if scheduler.site_profile() != site {
                            log_policies(scheduler);
                        }
                    }
                    self.job_api.on_catalog(*catalog);
                }
                OperatorChange::Evacuation { zone, is_evacuated } => {
                    match is_evacuated {
                        true => evacuated.insert(zone),
                        false => evacuated.remove(&zone),
                    };
                }
            }
        }
        for zone in evacuated.symmetric_difference(&self.evacuated) {
            let is_evacuated = evacuated.contains(zone);
            tracing::info!(event = "evacuation", zone = %zone, is_evacuated, is_complete);
        }
        if let Some(scheduler) = &mut self.scheduler
            && (is_complete || evacuated != self.evacuated)
        {
            scheduler.on_evacuations(evacuated.clone());
        }
        self.evacuated = evacuated;
        self.job_api.on_catalog_confirmed(confirmed_at);
    }

    /// Runs the work whose time has come, after messages or timers.
    fn work(&mut self) {
        let now = self.now();
        self.start_scheduler(now);
        self.take_over_if_vacant(now);
        self.offer_leadership(now);
        self.reply_to_leader_polls(now);
        let unix = now.as_duration() + self.unix_offset;
        let store_ms = self.job_api.store_ms(now);
        if let Some(scheduler) = &mut self.scheduler {
            scheduler.plan(now, unix);
            let confirmed_age_ms = scheduler.confirmed_age(now).as_millis();
            let token = scheduler.leader_row().token;
            for decision in scheduler.take_decisions() {
                self.parts.metrics.count("decision", decision.kind.name());
                let worker = decision.incarnation.as_ref();
                tracing::info!(
                    event = "decision",
                    kind = %decision.kind,
                    task = %decision.task,
                    run = %decision.run,
                    agent = decision.agent.as_ref().map(tracing::field::display),
                    worker = worker.map(|it| tracing::field::display(&it.worker)),
                    started_ms = worker.map(|it| it.started_ms),
                    reason = decision.reason,
                    %token,
                    confirmed_age_ms
                );
            }
            log_withheld(scheduler, &self.parts.metrics);
            log_speeds(scheduler, &self.parts.metrics);
            for error in scheduler.take_prediction_errors() {
                match error {
                    PredictionError::Early(by) => self.parts.metrics.observe("start_early", by),
                    PredictionError::Late(by) => self.parts.metrics.observe("start_late", by),
                }
            }
            if !self.is_committing
                && self.shutdown_reply.is_none()
                && let Some(batch) = scheduler.next_transaction(now, store_ms)
            {
                self.is_committing = true;
                self.commit(token, batch.transaction, Duration::ZERO);
            }
        }
        self.ask_adviser(now);
        self.reply_to_order_polls(now);
        let leads = self.scheduler.is_some() || self.takeover.is_some() || self.is_taking_over;
        self.parts
            .leads
            .send_if_modified(|known| std::mem::replace(known, leads) != leads);
        let is_ready = self.job_api.is_current(now);
        if is_ready != self.was_ready {
            let (config_age, rows_age) = self.job_api.ages(now);
            tracing::info!(event = "readiness", is_ready, ?config_age, ?rows_age);
            self.was_ready = is_ready;
        }
        self.parts.readiness.set(is_ready);
    }
}
