//! The task that owns an entry's state.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use cumindeck_jobs::{
    AgentReport, CallerRequest, CommitStep, Desk, DeskStep, DutyAction, DutyRow, DutyWatch,
    ExchangeReply, Row, RowKey, RowName, Scheduler, StoreResult, StoreRow, TimeLimits, Transaction,
};
use cumindeck_platform::HttpClient;
use cumindeck_service::{Metrics, Readiness, Timer};
use cumindeck_types::{AgentId, AvailabilityZone, EntryId, FencingToken, Uptime};
use tokio::sync::{mpsc, oneshot};

use crate::border::{OperatorChange, OperatorChanges, RowChanges, RowStore};
use crate::peers::send_offer;

/// Messages that wait for the node task; senders wait when it is full.
pub(crate) const NODE_QUEUE: usize = 1_024;

/// Longest time between two looks at timers.
const TICK: Duration = Duration::from_millis(200);

/// Pause before a transaction without an outcome is sent again.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Age of the store's confirmation after which the holder offers the duty to
/// other entries, beyond some answer times of the store.
const OFFER_AGE: Duration = Duration::from_millis(700);

/// Answer times of the store that are added to it; a slow store is not a lost one.
const OFFER_ANSWERS: u32 = 3;

/// Pause between two offers.
const OFFER_PAUSE: Duration = Duration::from_millis(600);

/// Age of an entry's last answer of the store under which it takes an offer.
const OFFER_VIEW: Duration = Duration::from_millis(1_000);

/// Answer time of the store before the first one is measured.
const FIRST_DISTANCE: Duration = Duration::from_millis(50);

/// A message to the node task.
pub enum NodeMessage {
    /// A caller's request.
    Caller {
        /// Request.
        req: Arc<CallerRequest>,
        /// Where the next step goes.
        reply: oneshot::Sender<DeskStep>,
    },
    /// The outcome of a call to the store for a caller's request.
    Resume {
        /// Request.
        req: Arc<CallerRequest>,
        /// Outcome.
        result: StoreResult,
        /// Where the next step goes.
        reply: oneshot::Sender<DeskStep>,
    },
    /// An agent's report.
    Report {
        /// Report.
        report: AgentReport,
        /// Where the answer goes.
        reply: oneshot::Sender<ExchangeReply>,
    },
    /// Rows of the system.
    Rows {
        /// When they were complete.
        confirmed: Uptime,
        /// When they came.
        answered: Uptime,
        /// Rows.
        changes: RowChanges,
        /// Whether they are all rows.
        is_complete: bool,
    },
    /// Rows of the operator.
    Operator {
        /// When they were complete.
        confirmed: Uptime,
        /// Changes.
        changes: OperatorChanges,
    },
    /// Outcome of the scheduler's transaction.
    Committed {
        /// When it was sent.
        asked: Uptime,
        /// When its outcome came.
        answered: Uptime,
        /// Outcome.
        result: StoreResult,
    },
    /// Outcome of a takeover.
    TakenOver {
        /// When it was sent.
        asked: Uptime,
        /// The row written.
        duty: DutyRow,
        /// Outcome.
        result: StoreResult,
    },
    /// The holder has lost the store and offers the duty.
    Offer {
        /// Token under which it holds the duty.
        token: FencingToken,
        /// Whether this entry takes it over.
        reply: oneshot::Sender<bool>,
    },
    /// Another entry takes over what this one offered.
    Offered {
        /// Token under which this entry held the duty.
        token: FencingToken,
    },
    /// The process is stopping; the answer comes once the duty is given back.
    Leave(oneshot::Sender<()>),
}

/// Access to the node task.
#[derive(Clone)]
pub struct NodeHandle(pub(crate) mpsc::Sender<NodeMessage>);

impl NodeHandle {
    /// Sends a message; after the end of the task the sender of a reply is dropped.
    pub async fn send(&self, message: NodeMessage) {
        if self.0.send(message).await.is_err() {
            tracing::debug!(event = "node_stopped");
        }
    }
}

/// An agent that waits for orders.
struct Waiting {
    until: Uptime,
    sequence: u64,
    recorded_ends: u64,
    reply: oneshot::Sender<ExchangeReply>,
}

/// A duty that was taken over; it begins once the view is as new as the takeover.
struct Takeover {
    duty: DutyRow,
    version: u64,
    asked: Uptime,
}

/// What the node task is made of.
pub(crate) struct NodeParts {
    pub entry: EntryId,
    pub internal: std::net::SocketAddr,
    pub limits: TimeLimits,
    pub watch: DutyWatch,
    pub store: Arc<dyn RowStore>,
    pub client: HttpClient,
    pub timer: Timer,
    pub readiness: Readiness,
    pub metrics: Metrics,
    pub tx: mpsc::Sender<NodeMessage>,
}

/// An entry's state.
pub(crate) struct Node {
    parts: NodeParts,
    desk: Desk,
    /// All rows of jobs, for a takeover.
    rows: BTreeMap<RowKey, StoreRow>,
    rows_version: u64,
    evacuated: BTreeMap<AvailabilityZone, bool>,
    confirmed: Uptime,
    distance: Duration,
    scheduler: Option<Scheduler>,
    takeover: Option<Takeover>,
    is_taking_over: bool,
    is_committing: bool,
    /// When the duty was last offered, since its last confirmation.
    offered: Option<Uptime>,
    waiting: BTreeMap<AgentId, Waiting>,
    /// Difference of the time of day and the time since boot at the start.
    ///
    /// The time of day may jump later; recurring jobs keep to this one.
    unix_offset: Duration,
    was_ready: bool,
}

impl Node {
    pub fn new(parts: NodeParts) -> Self {
        let now = parts.timer.now();
        let unix_offset = parts.timer.wall().saturating_sub(now.as_duration());
        Self {
            desk: Desk::new(parts.entry.clone(), parts.limits.clone()),
            rows: BTreeMap::new(),
            rows_version: 0,
            evacuated: BTreeMap::new(),
            confirmed: Uptime::ZERO,
            distance: FIRST_DISTANCE,
            scheduler: None,
            takeover: None,
            is_taking_over: false,
            is_committing: false,
            offered: None,
            waiting: BTreeMap::new(),
            unix_offset,
            was_ready: false,
            parts,
        }
    }

    /// Handles messages until all senders are gone.
    pub async fn run(mut self, mut rx: mpsc::Receiver<NodeMessage>) {
        let mut alarm = self.parts.timer.alarm();
        loop {
            alarm.set(Some(self.parts.timer.now().plus(TICK)));
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

    fn now(&self) -> Uptime {
        self.parts.timer.now()
    }

    fn on_message(&mut self, message: NodeMessage) {
        let now = self.now();
        match message {
            NodeMessage::Caller { req, reply } => {
                let _ = reply.send(self.desk.begin(now, &req));
            }
            NodeMessage::Resume { req, result, reply } => {
                let _ = reply.send(self.desk.resume(now, &req, &result));
            }
            NodeMessage::Report { report, reply } => self.on_report(now, &report, reply),
            NodeMessage::Rows {
                confirmed,
                answered,
                changes,
                is_complete,
            } => self.on_rows(confirmed, answered, changes, is_complete),
            NodeMessage::Operator { confirmed, changes } => self.on_operator(confirmed, changes),
            NodeMessage::Committed {
                asked,
                answered,
                result,
            } => self.on_commit(asked, answered, &result),
            NodeMessage::TakenOver {
                asked,
                duty,
                result,
            } => self.on_takeover(asked, duty, &result),
            NodeMessage::Offer { token, reply } => {
                let reaches_store = now.since(self.confirmed) < OFFER_VIEW;
                let stands = reaches_store && self.parts.watch.on_offer(token);
                tracing::info!(event = "duty_offered", %token, stands);
                let _ = reply.send(stands);
            }
            NodeMessage::Offered { token } => {
                if self
                    .scheduler
                    .as_ref()
                    .is_some_and(|it| it.duty().token == token)
                {
                    self.step_down("handed on, since the store is lost");
                }
            }
            NodeMessage::Leave(done) => self.leave(done),
        }
    }

    fn on_report(
        &mut self,
        now: Uptime,
        report: &AgentReport,
        reply: oneshot::Sender<ExchangeReply>,
    ) {
        let store_ms = self.desk.store_ms(now);
        let Some(scheduler) = &mut self.scheduler else {
            let _ = reply.send(self.not_holder(report.sequence));
            return;
        };
        scheduler.on_report(now, store_ms, report);
        if report.wait_ms == 0 {
            let _ = reply.send(scheduler.reply(now, &report.agent, report.sequence));
            return;
        }
        if let Some(former) = self.waiting.remove(&report.agent) {
            let orders = scheduler.reply(now, &report.agent, former.sequence);
            let _ = former.reply.send(orders);
        }
        let waiting = Waiting {
            until: now.plus(Duration::from_millis(report.wait_ms)),
            sequence: report.sequence,
            recorded_ends: scheduler.recorded_ends(&report.agent),
            reply,
        };
        self.waiting.insert(report.agent.clone(), waiting);
    }

    fn not_holder(&self, sequence: u64) -> ExchangeReply {
        ExchangeReply {
            sequence,
            is_holder: false,
            holder: self.parts.watch.holder_address(),
            entries: self.desk.entries(),
            token: self
                .parts
                .watch
                .row()
                .map_or(FencingToken::new(0), |row| row.token),
            confirmed_age_ms: 0,
            life_born_ms: 0,
            recorded_ends: 0,
            orders: Vec::new(),
        }
    }

    fn on_rows(
        &mut self,
        confirmed: Uptime,
        answered: Uptime,
        changes: RowChanges,
        is_complete: bool,
    ) {
        for row in changes.rows {
            self.on_row(answered, changes.store_ms, row);
        }
        self.rows_version = self.rows_version.max(changes.version);
        self.confirmed = self.confirmed.max(answered);
        self.desk
            .on_rows_confirmed(confirmed, answered, changes.store_ms);
        if is_complete {
            self.parts.watch.on_table_read();
        }
    }

    fn on_row(&mut self, now: Uptime, store_ms: u64, stored: StoreRow) {
        let RowName::Own(key) = stored.name.clone() else {
            return;
        };
        let row = match Row::decode(&key, stored.value.as_deref()) {
            Ok(row) => row,
            Err(err) => {
                tracing::error!(event = "row_ignored", key = key.text(), error = %err);
                return;
            }
        };
        if let Row::Duty(duty) = &row {
            self.parts.watch.on_row(now, stored.version, duty.clone());
            let is_lost = self.scheduler.as_ref().is_some_and(|scheduler| {
                stored.version > scheduler.duty_version()
                    && duty.holder.as_ref() != Some(&self.parts.entry)
            });
            if is_lost {
                self.step_down("another entry wrote the duty");
            }
        }
        if let Some(scheduler) = &mut self.scheduler {
            match &row {
                Row::Job(job, row) => {
                    scheduler.on_job(now, job.clone(), row.as_ref().clone(), store_ms);
                }
                Row::Cancel(job) => scheduler.on_cancel(job, store_ms),
                Row::Duty(_) | Row::Entry(..) | Row::Progress(..) | Row::Removed(_) => {}
            }
        }
        match stored.value {
            Some(_) => self.rows.insert(key, stored),
            None => self.rows.remove(&key),
        };
        self.desk.on_row(row);
    }

    fn on_operator(&mut self, confirmed: Uptime, changes: OperatorChanges) {
        for change in changes.changes {
            match change {
                OperatorChange::Catalog(catalog) => {
                    tracing::info!(event = "config", version = %catalog.version, queues = catalog.queues.len());
                    if let Some(scheduler) = &mut self.scheduler {
                        scheduler.on_catalog(catalog.as_ref().clone());
                    }
                    self.desk.on_catalog(*catalog);
                }
                OperatorChange::Evacuation { zone, is_evacuated } => {
                    tracing::info!(event = "evacuation", zone = %zone, is_evacuated);
                    if let Some(scheduler) = &mut self.scheduler {
                        scheduler.on_zone(zone.clone(), is_evacuated);
                    }
                    self.evacuated.insert(zone, is_evacuated);
                }
            }
        }
        self.desk.on_catalog_confirmed(confirmed);
    }

    fn on_commit(&mut self, asked: Uptime, answered: Uptime, result: &StoreResult) {
        self.is_committing = false;
        self.parts.metrics.observe("commit", answered.since(asked));
        let Some(scheduler) = &mut self.scheduler else {
            return;
        };
        match scheduler.on_commit(asked, result) {
            CommitStep::Committed => {
                self.distance = answered.since(asked);
                self.offered = None;
            }
            CommitStep::Retry => {
                if self.offered.is_none() {
                    tracing::warn!(event = "commit_retried", result = ?result);
                }
                let transaction = scheduler.pending();
                if let Some(transaction) = transaction {
                    self.is_committing = true;
                    self.commit(transaction, RETRY_PAUSE);
                }
            }
            CommitStep::Replan => {
                tracing::info!(event = "commit_conflict", token = %scheduler.duty().token);
            }
            CommitStep::Lost => self.step_down("a commit met another holder"),
        }
    }

    fn step_down(&mut self, reason: &str) {
        let Some(scheduler) = self.scheduler.take() else {
            return;
        };
        tracing::warn!(event = "duty_lost", token = %scheduler.duty().token, reason);
        self.is_committing = false;
        self.offered = None;
        self.parts.metrics.set("is_holder", 0);
        for (_, waiting) in std::mem::take(&mut self.waiting) {
            let _ = waiting.reply.send(self.not_holder(waiting.sequence));
        }
    }

    fn on_takeover(&mut self, asked: Uptime, duty: DutyRow, result: &StoreResult) {
        self.is_taking_over = false;
        match result {
            StoreResult::Done { version } => {
                tracing::info!(event = "duty_taken", token = %duty.token, version);
                self.takeover = Some(Takeover {
                    duty,
                    version: *version,
                    asked,
                });
            }
            StoreResult::Conflict(_)
            | StoreResult::NotDone(_)
            | StoreResult::Unknown(_)
            | StoreResult::Rows(_) => {
                tracing::info!(event = "duty_not_taken", token = %duty.token, result = ?result);
            }
        }
    }

    /// Does what is due after messages or time.
    fn work(&mut self) {
        let now = self.now();
        self.begin_duty(now);
        self.seek_duty(now);
        self.offer_duty(now);
        let unix = now.as_duration() + self.unix_offset;
        if let Some(scheduler) = &mut self.scheduler {
            scheduler.plan(now, unix);
            for line in scheduler.take_notes() {
                tracing::info!(event = "decision", note = line);
            }
            if !self.is_committing
                && let Some(batch) = scheduler.take_batch(now)
            {
                self.is_committing = true;
                self.commit(batch.transaction, Duration::ZERO);
            }
        }
        self.answer_agents(now);
        let is_ready = self.desk.is_current(now);
        if is_ready != self.was_ready {
            let (config_age, rows_age) = self.desk.ages(now);
            tracing::info!(event = "readiness", is_ready, ?config_age, ?rows_age);
            self.was_ready = is_ready;
        }
        self.parts.readiness.set(is_ready);
    }

    /// Offers the duty to all other entries if the store does not confirm it;
    /// the first that takes it over is enough.
    fn offer_duty(&mut self, now: Uptime) {
        let Some(scheduler) = &self.scheduler else {
            return;
        };
        let age = scheduler.confirmed_age(now);
        let is_recent = |at: Uptime| now.since(at) < OFFER_PAUSE;
        if age < OFFER_AGE + self.distance * OFFER_ANSWERS || self.offered.is_some_and(is_recent) {
            return;
        }
        let token = scheduler.duty().token;
        if self.offered.is_none() {
            tracing::warn!(event = "duty_unconfirmed", %token, ?age);
        }
        self.offered = Some(now);
        for entry in self.desk.entries() {
            let (client, tx) = (self.parts.client.clone(), self.parts.tx.clone());
            if entry != self.parts.internal {
                tokio::spawn(async move {
                    if send_offer(&client, entry, token).await {
                        let _ = tx.send(NodeMessage::Offered { token }).await;
                    }
                });
            }
        }
    }

    /// Sends a transaction of the scheduler after a pause.
    fn commit(&self, transaction: Transaction, pause: Duration) {
        let (store, timer) = (self.parts.store.clone(), self.parts.timer.clone());
        let tx = self.parts.tx.clone();
        tokio::spawn(async move {
            tokio::time::sleep(pause).await;
            let asked = timer.now();
            let result = store.transact(&transaction).await;
            let message = NodeMessage::Committed {
                asked,
                answered: timer.now(),
                result,
            };
            // The receiver lives as long as the process.
            let _ = tx.send(message).await;
        });
    }

    /// Takes the duty over if it is vacant.
    fn seek_duty(&mut self, now: Uptime) {
        let is_busy = self.scheduler.is_some() || self.takeover.is_some() || self.is_taking_over;
        if is_busy || self.desk.catalog().is_none() {
            return;
        }
        let (watch, limits) = (&self.parts.watch, &self.parts.limits);
        let action = watch.action(now, self.confirmed, self.distance, limits);
        let DutyAction::TakeOver(transaction) = action else {
            return;
        };
        let duty = watch.next_row();
        self.is_taking_over = true;
        let (store, timer) = (self.parts.store.clone(), self.parts.timer.clone());
        let tx = self.parts.tx.clone();
        tokio::spawn(async move {
            let asked = timer.now();
            let result = store.transact(&transaction).await;
            let message = NodeMessage::TakenOver {
                asked,
                duty,
                result,
            };
            let _ = tx.send(message).await;
        });
    }

    /// Starts the scheduler once the view includes the takeover.
    fn begin_duty(&mut self, now: Uptime) {
        let is_current = |takeover: &mut Takeover| self.rows_version >= takeover.version;
        let Some(takeover) = self.takeover.take_if(is_current) else {
            return;
        };
        let is_mine = self.parts.watch.row() == Some(&takeover.duty);
        let Some(catalog) = self.desk.catalog().filter(|_| is_mine).cloned() else {
            tracing::info!(event = "duty_not_begun", token = %takeover.duty.token);
            return;
        };
        let limits = self.parts.limits.clone();
        let Takeover {
            duty,
            version,
            asked,
        } = takeover;
        let mut scheduler = Scheduler::new(limits, catalog, duty, version, asked, now);
        for (zone, is_evacuated) in &self.evacuated {
            scheduler.on_zone(zone.clone(), *is_evacuated);
        }
        self.load(&mut scheduler, now);
        tracing::info!(event = "duty_begun", token = %scheduler.duty().token, open_jobs = scheduler.open_jobs());
        self.parts.metrics.set("is_holder", 1);
        self.scheduler = Some(scheduler);
    }

    /// Hands the rows of jobs to a new scheduler: jobs, then progress, then cancels.
    fn load(&self, scheduler: &mut Scheduler, now: Uptime) {
        let store_ms = self.desk.store_ms(now);
        let decode = |stored: &StoreRow| match &stored.name {
            RowName::Own(key) => Row::decode(key, stored.value.as_deref()).ok(),
            RowName::Config | RowName::Evacuation(_) => None,
        };
        let rows: Vec<Row> = self.rows.values().filter_map(decode).collect();
        for row in &rows {
            if let Row::Job(job, row) = row {
                scheduler.on_job(now, job.clone(), row.as_ref().clone(), store_ms);
            }
        }
        for row in &rows {
            if let Row::Progress(job, progress) = row {
                scheduler.on_progress(now, job, progress.clone());
            }
        }
        for row in &rows {
            if let Row::Cancel(job) = row {
                scheduler.on_cancel(job, store_ms);
            }
        }
    }

    /// Answers agents that have orders or have waited long enough.
    fn answer_agents(&mut self, now: Uptime) {
        let Some(scheduler) = &mut self.scheduler else {
            return;
        };
        let is_due = |agent: &AgentId, waiting: &Waiting| {
            now >= waiting.until || scheduler.has_news(agent, waiting.recorded_ends)
        };
        let due: Vec<AgentId> = self
            .waiting
            .iter()
            .filter(|(agent, waiting)| is_due(agent, waiting))
            .map(|(agent, _)| agent.clone())
            .collect();
        let entries = self.desk.entries();
        for agent in due {
            if let Some(waiting) = self.waiting.remove(&agent) {
                let mut reply = scheduler.reply(now, &agent, waiting.sequence);
                reply.entries.clone_from(&entries);
                let _ = waiting.reply.send(reply);
            }
        }
    }

    /// Gives the duty back.
    fn leave(&mut self, done: oneshot::Sender<()>) {
        self.parts.watch.leave();
        let release = self.scheduler.as_ref().map(Scheduler::release);
        self.step_down("the process is stopping");
        let store = self.parts.store.clone();
        tokio::spawn(async move {
            if let Some(release) = release {
                let result = store.transact(&release).await;
                tracing::info!(event = "duty_released", result = ?result);
            }
            let _ = done.send(());
        });
    }
}
