//! The scheduling duty of an entry: takeover, transactions, offer and release.

use std::time::Duration;

use cumindeck_jobs::{
    CommitStep, DutyAction, DutyRow, Row, RowName, Scheduler, StoreResult, StoreRow, Transaction,
};
use cumindeck_types::Uptime;
use tokio::sync::oneshot;

use super::{EntryMessage, EntryTask, Takeover};
use crate::peers::send_offer;

/// Pause before a transaction without an outcome is sent again.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Age of the store's confirmation after which the holder offers the duty to
/// other entries, beyond some answer times of the store.
const OFFER_AGE: Duration = Duration::from_millis(500);

/// Answer times of the store that are added to it; a slow store is not a lost one.
const OFFER_ANSWERS: u32 = 3;

/// Pause after a takeover that failed; the store is lost, or another entry was first.
const SEEK_PAUSE: Duration = Duration::from_millis(250);

/// Pause between two offers.
const OFFER_PAUSE: Duration = Duration::from_millis(600);

impl EntryTask {
    pub(super) fn on_commit(&mut self, asked: Uptime, answered: Uptime, result: &StoreResult) {
        self.is_committing = false;
        self.parts.metrics.observe("commit", answered.since(asked));
        let Some(scheduler) = &mut self.scheduler else {
            return;
        };
        let step = scheduler.on_commit(asked, result);
        if let Some(done) = self.leaving.take() {
            self.release(done);
            return;
        }
        match step {
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

    pub(super) fn step_down(&mut self, reason: &str) {
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

    pub(super) fn on_takeover(&mut self, asked: Uptime, duty: DutyRow, result: &StoreResult) {
        self.is_taking_over = false;
        let is_done = matches!(result, StoreResult::Done { .. });
        for offer in self.offers.drain(..) {
            // A former holder that no longer waits notices the duty's row.
            let _ = offer.send(is_done);
        }
        if !is_done {
            self.parts.watch.on_takeover_failed();
            self.seek_after = self.now().plus(SEEK_PAUSE);
        }
        match result {
            StoreResult::Done { version } => {
                tracing::info!(event = "duty_taken", token = %duty.token, version);
                self.parts.watch.on_held(duty.token);
                self.takeover = Some(Takeover {
                    duty,
                    version: *version,
                    asked,
                });
            }
            StoreResult::Conflict(rows) => {
                tracing::info!(event = "duty_not_taken", token = %duty.token, reason = "the row has changed");
                self.on_newer_duty(rows);
            }
            StoreResult::NotDone(_) | StoreResult::Unknown(_) | StoreResult::Rows(_) => {
                tracing::info!(event = "duty_not_taken", token = %duty.token, result = ?result);
            }
        }
    }

    /// Takes the duty's row that a conflict showed before the feed did.
    fn on_newer_duty(&mut self, rows: &[StoreRow]) {
        let now = self.now();
        for stored in rows {
            let RowName::Own(key) = &stored.name else {
                continue;
            };
            if let Ok(Row::Duty(duty)) = Row::decode(key, stored.value.as_deref()) {
                self.parts.watch.on_row(now, stored.version, duty);
                self.seek_after = now;
            }
        }
    }

    /// Offers the duty to all other entries if the store does not confirm it;
    /// the first that takes it over is enough.
    pub(super) fn offer_duty(&mut self, now: Uptime) {
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
                        let _ = tx.send(EntryMessage::Offered { token }).await;
                    }
                });
            }
        }
    }

    /// Asks the adviser what the scheduler wants to know.
    pub(super) fn ask_adviser(&mut self, now: Uptime) {
        let Some(scheduler) = &mut self.scheduler else {
            return;
        };
        let Some(request) = scheduler.take_advice_request(now) else {
            return;
        };
        let (adviser, timer) = (self.parts.adviser.clone(), self.parts.timer.clone());
        let tx = self.parts.tx.clone();
        tokio::spawn(async move {
            let asked = timer.now();
            let result = match &adviser {
                Some(adviser) => adviser.advise(&request).await,
                None => Err("the settings name no adviser".to_owned()),
            };
            let (step, workers) = (&request.step, request.workers.len());
            match &result {
                Ok(advice) => {
                    let allowed = advice.tickets.len();
                    tracing::info!(event = "advised", %step, workers, allowed, validity = ?advice.validity);
                }
                Err(reason) => tracing::warn!(event = "advice_failed", %step, workers, reason),
            }
            let advice = result.ok();
            // The receiver lives as long as the process.
            let _ = tx.send(EntryMessage::Advised { asked, advice }).await;
        });
    }

    /// Sends a transaction of the scheduler after a pause.
    pub(super) fn commit(&self, transaction: Transaction, pause: Duration) {
        let (store, timer) = (self.parts.store.clone(), self.parts.timer.clone());
        let tx = self.parts.tx.clone();
        tokio::spawn(async move {
            tokio::time::sleep(pause).await;
            let asked = timer.now();
            let result = store.transact(&transaction).await;
            let message = EntryMessage::Committed {
                asked,
                answered: timer.now(),
                result,
            };
            // The receiver lives as long as the process.
            let _ = tx.send(message).await;
        });
    }

    /// Returns what to do about the duty; none while this entry holds or takes it.
    fn duty_action(&self, now: Uptime) -> Option<DutyAction> {
        let is_busy = self.scheduler.is_some() || self.takeover.is_some() || self.is_taking_over;
        if is_busy || self.desk.catalog().is_none() {
            return None;
        }
        let (watch, limits) = (&self.parts.watch, &self.parts.limits);
        Some(watch.action(now, self.confirmed, self.distance, limits))
    }

    /// Returns when the duty may have to be taken over.
    pub(super) fn duty_due(&self, now: Uptime) -> Option<Uptime> {
        match self.duty_action(now)? {
            DutyAction::Wait(until) => Some(until.max(self.seek_after)),
            DutyAction::TakeOver(_) => Some(self.seek_after),
        }
    }

    /// Takes the duty over if it is vacant.
    pub(super) fn seek_duty(&mut self, now: Uptime) {
        if now < self.seek_after {
            return;
        }
        let Some(DutyAction::TakeOver(transaction)) = self.duty_action(now) else {
            return;
        };
        let duty = self.parts.watch.next_row();
        self.is_taking_over = true;
        let (store, timer) = (self.parts.store.clone(), self.parts.timer.clone());
        let tx = self.parts.tx.clone();
        tokio::spawn(async move {
            let asked = timer.now();
            let result = store.transact(&transaction).await;
            let message = EntryMessage::TakenOver {
                asked,
                duty,
                result,
            };
            let _ = tx.send(message).await;
        });
    }

    /// Starts the scheduler once the view includes the takeover.
    pub(super) fn begin_duty(&mut self, now: Uptime) {
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
    pub(super) fn load(&self, scheduler: &mut Scheduler, now: Uptime) {
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

    /// Gives the duty back, after the outcome of the commit on its way: a
    /// release under an older version would meet a conflict.
    pub(super) fn leave(&mut self, done: oneshot::Sender<()>) {
        self.parts.watch.leave();
        match self.is_committing && self.scheduler.is_some() {
            true => self.leaving = Some(done),
            false => self.release(done),
        }
    }

    fn release(&mut self, done: oneshot::Sender<()>) {
        let release = self.scheduler.as_ref().map(Scheduler::release);
        self.step_down("the process is stopping");
        let store = self.parts.store.clone();
        let client = self.parts.client.clone();
        let mut others = self.desk.entries();
        others.retain(|entry| *entry != self.parts.internal);
        let token = self.known_token();
        tokio::spawn(async move {
            if let Some(release) = release {
                let result = store.transact(&release).await;
                tracing::info!(event = "duty_released", result = ?result);
                // The feeds of the others may be late; an offer is a hint to look.
                let offers = others.iter().map(|it| send_offer(&client, *it, token));
                futures::future::join_all(offers).await;
            }
            let _ = done.send(());
        });
    }
}
