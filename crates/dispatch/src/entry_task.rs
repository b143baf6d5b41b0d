//! The task that owns an entry's state.

mod agents;
mod duty;
mod message;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use cumindeck_jobs::{
    Desk, DutyRow, DutyWatch, Row, RowKey, RowName, Scheduler, StoreRow, TimeLimits,
};
use cumindeck_platform::HttpClient;
use cumindeck_service::{Metrics, Readiness, Timer};
use cumindeck_types::{AgentId, AvailabilityZone, EntryId, Uptime};
use tokio::sync::{mpsc, oneshot};

use crate::border::{Adviser, OperatorChange, OperatorChanges, RowChanges, RowStore};

use agents::{Parked, Waiting};
pub use message::{EntryHandle, EntryMessage};

/// Messages that wait for the entry task; senders wait when it is full.
pub(crate) const ENTRY_QUEUE: usize = 1_024;

/// Longest time between two looks at timers.
const TICK: Duration = Duration::from_millis(200);

/// Age of an entry's last answer of the store under which it takes an offer.
const OFFER_VIEW: Duration = Duration::from_millis(1_000);

/// Answer time of the store before the first one is measured.
const FIRST_DISTANCE: Duration = Duration::from_millis(50);

/// A duty that was taken over; it begins once the view is as new as the takeover.
struct Takeover {
    duty: DutyRow,
    version: u64,
    asked: Uptime,
}

/// What the entry task is made of.
pub(crate) struct EntryTaskParts {
    pub entry: EntryId,
    pub internal: std::net::SocketAddr,
    pub limits: TimeLimits,
    pub watch: DutyWatch,
    pub store: Arc<dyn RowStore>,
    /// Adviser, if the platform has one.
    pub adviser: Option<Arc<dyn Adviser>>,
    pub client: HttpClient,
    pub timer: Timer,
    pub readiness: Readiness,
    pub metrics: Metrics,
    pub tx: mpsc::Sender<EntryMessage>,
}

/// An entry's state.
pub(crate) struct EntryTask {
    parts: EntryTaskParts,
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
    /// Former holders that wait for the outcome of a takeover.
    offers: Vec<oneshot::Sender<bool>>,
    /// Where the end of the duty goes once the commit on its way has an outcome.
    leaving: Option<oneshot::Sender<()>>,
    /// Before this time a failed takeover is not tried again.
    seek_after: Uptime,
    waiting: BTreeMap<AgentId, Waiting>,
    parked: BTreeMap<AgentId, Parked>,
    /// Difference of the time of day and the time since boot at the start.
    ///
    /// The time of day may jump later; recurring jobs keep to this one.
    unix_offset: Duration,
    was_ready: bool,
}

impl EntryTask {
    pub fn new(parts: EntryTaskParts) -> Self {
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
            offers: Vec::new(),
            leaving: None,
            seek_after: Uptime::ZERO,
            waiting: BTreeMap::new(),
            parked: BTreeMap::new(),
            unix_offset,
            was_ready: false,
            parts,
        }
    }

    /// Handles messages until all senders are gone.
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

    /// Returns when something may be due without a message.
    fn next_wakeup(&self) -> Uptime {
        let now = self.now();
        let tick = now.plus(TICK);
        let duty = self.duty_due(now).filter(|due| *due > now);
        duty.map_or(tick, |due| due.min(tick))
    }

    fn now(&self) -> Uptime {
        self.parts.timer.now()
    }

    fn on_message(&mut self, message: EntryMessage) {
        let now = self.now();
        match message {
            EntryMessage::Caller { req, reply } => {
                let _ = reply.send(self.desk.begin(now, &req));
            }
            EntryMessage::Resume { req, result, reply } => {
                let _ = reply.send(self.desk.resume(now, &req, &result));
            }
            EntryMessage::Peer { address, is_silent } => {
                self.desk.on_peer(now, address, is_silent);
            }
            EntryMessage::Report { report, reply } => self.on_report(now, report, reply),
            EntryMessage::Rows {
                confirmed,
                answered,
                answer_time,
                changes,
                is_complete,
            } => {
                self.on_rows(confirmed, answered, changes, is_complete);
                self.on_answer_time(answer_time);
            }
            EntryMessage::Operator {
                confirmed,
                answer_time,
                changes,
            } => {
                self.on_operator(confirmed, changes);
                self.on_answer_time(answer_time);
            }
            EntryMessage::Committed {
                asked,
                answered,
                result,
            } => self.on_commit(asked, answered, &result),
            EntryMessage::Advised { asked, advice } => {
                if let Some(scheduler) = &mut self.scheduler {
                    scheduler.on_advice(asked, now, advice.as_ref());
                }
            }
            EntryMessage::TakenOver {
                asked,
                duty,
                result,
            } => self.on_takeover(asked, duty, &result),
            EntryMessage::Offer { token, reply } => {
                let reaches_store = now.since(self.confirmed) < OFFER_VIEW;
                let stands = reaches_store && self.parts.watch.on_offer(token);
                tracing::info!(event = "duty_offered", %token, stands);
                match stands {
                    true => self.offers.push(reply),
                    false => drop(reply.send(false)),
                }
            }
            EntryMessage::Offered { token } => {
                if self
                    .scheduler
                    .as_ref()
                    .is_some_and(|it| it.duty().token == token)
                {
                    self.step_down("handed on, since the store is lost");
                }
            }
            EntryMessage::Leave(done) => self.leave(done),
        }
    }

    fn on_answer_time(&mut self, answer_time: Option<Duration>) {
        // A holder measures its own commits.
        if let Some(answer_time) = answer_time.filter(|_| self.scheduler.is_none()) {
            self.distance = answer_time;
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

    /// Does what is due after messages or time.
    fn work(&mut self) {
        let now = self.now();
        self.begin_duty(now);
        self.seek_duty(now);
        self.offer_duty(now);
        self.answer_parked(now);
        let unix = now.as_duration() + self.unix_offset;
        let store_ms = self.desk.store_ms(now);
        if let Some(scheduler) = &mut self.scheduler {
            scheduler.plan(now, unix);
            let confirmed_age_ms = scheduler.confirmed_age(now).as_millis();
            let token = scheduler.duty().token;
            for decision in scheduler.take_decisions() {
                self.parts.metrics.count("decision", decision.kind.name());
                tracing::info!(
                    event = "decision",
                    kind = %decision.kind,
                    task = %decision.task,
                    run = %decision.run,
                    agent = decision.agent.as_ref().map(tracing::field::display),
                    reason = decision.reason,
                    %token,
                    confirmed_age_ms
                );
            }
            if !self.is_committing
                && self.leaving.is_none()
                && let Some(batch) = scheduler.take_batch(now, store_ms)
            {
                self.is_committing = true;
                self.commit(batch.transaction, Duration::ZERO);
            }
        }
        self.ask_adviser(now);
        self.answer_agents(now);
        let is_ready = self.desk.is_current(now);
        if is_ready != self.was_ready {
            let (config_age, rows_age) = self.desk.ages(now);
            tracing::info!(event = "readiness", is_ready, ?config_age, ?rows_age);
            self.was_ready = is_ready;
        }
        self.parts.readiness.set(is_ready);
    }
}
