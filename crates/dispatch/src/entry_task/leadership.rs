//! Leadership of an entry: takeover, transactions, offers and release.

use std::time::Duration;

use cumindeck_jobs::{
    CommitStep, LeaderAction, LeaderRow, Row, RowName, Scheduler, StoreResult, StoreRow,
    Transaction,
};
use cumindeck_types::{FencingToken, Uptime};
use tokio::sync::oneshot;

use super::speeds::clear_speeds;
use super::withheld::clear_withheld;
use super::{EntryMessage, EntryTask, Takeover};
use crate::peers::send_offer;

/// Delay before a transaction without an outcome is sent again.
const COMMIT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Age of the store's last confirmation after which the leader offers leadership to
/// other entries, in addition to [`OFFER_LATENCIES`] store latencies.
const OFFER_AGE: Duration = Duration::from_millis(500);

/// Number of store latencies added to [`OFFER_AGE`]; a slow store is not a lost one.
const OFFER_LATENCIES: u32 = 3;

/// Delay after a failed takeover: the store is lost, or another entry was first.
const TAKEOVER_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Minimum time between two offers.
const MIN_OFFER_INTERVAL: Duration = Duration::from_millis(600);

impl EntryTask {
    pub(super) fn on_commit(
        &mut self,
        token: FencingToken,
        sent_at: Uptime,
        replied_at: Uptime,
        result: &StoreResult,
    ) {
        self.parts
            .metrics
            .observe("commit", replied_at.since(sent_at));
        let is_current = |scheduler: &&mut Scheduler| scheduler.leader_row().token == token;
        let Some(scheduler) = self.scheduler.as_mut().filter(is_current) else {
            tracing::info!(event = "commit_ignored", %token, result = ?result, reason = "the leadership is over");
            return;
        };
        self.is_committing = false;
        let step = scheduler.on_commit(sent_at, result);
        if let Some(done) = self.shutdown_reply.take() {
            self.release(done);
            return;
        }
        match step {
            CommitStep::Committed => {
                self.store_latency = replied_at.since(sent_at);
                self.offered_at = None;
            }
            CommitStep::Retry => {
                if self.offered_at.is_none() {
                    tracing::warn!(event = "commit_retried", result = ?result);
                }
                let transaction = scheduler.pending();
                if let Some(transaction) = transaction {
                    self.is_committing = true;
                    self.commit(token, transaction, COMMIT_RETRY_DELAY);
                }
            }
            CommitStep::Replan => {
                match result {
                    StoreResult::Refused(reason) => {
                        tracing::warn!(event = "commit_refused", %token, reason);
                    }
                    _ => tracing::info!(event = "commit_conflict", %token),
                }
                for (job, reason) in scheduler.take_set_apart() {
                    tracing::error!(event = "job_set_apart", %job, %token, reason);
                    self.parts.metrics.count("job", "set-apart");
                }
            }
            CommitStep::Lost => self.step_down("a commit found another leader"),
        }
    }

    pub(super) fn step_down(&mut self, reason: &str) {
        let Some(scheduler) = self.scheduler.take() else {
            return;
        };
        tracing::warn!(event = "duty_lost", token = %scheduler.leader_row().token, reason);
        self.is_committing = false;
        self.offered_at = None;
        self.parts.metrics.set("is_holder", 0);
        clear_withheld(&self.parts.metrics);
        clear_speeds(&self.parts.metrics);
        for (_, poll) in std::mem::take(&mut self.order_polls) {
            let _ = poll.reply.send(self.not_leader(poll.sequence));
        }
    }

    pub(super) fn on_takeover(
        &mut self,
        sent_at: Uptime,
        leader_row: LeaderRow,
        result: &StoreResult,
    ) {
        self.is_taking_over = false;
        let is_done = matches!(result, StoreResult::Done { .. });
        for offer in self.accepted_offers.drain(..) {
            // A former leader that no longer waits sees the leader row.
            let _ = offer.send(is_done);
        }
        if !is_done {
            self.parts.watch.on_takeover_failed();
            self.takeover_after = self.now().plus(TAKEOVER_RETRY_DELAY);
        }
        match result {
            StoreResult::Done { version } => {
                tracing::info!(event = "duty_taken", token = %leader_row.token, version);
                self.parts.watch.on_leadership_held(leader_row.token);
                self.takeover = Some(Takeover {
                    leader_row,
                    version: *version,
                    sent_at,
                });
            }
            StoreResult::Conflict(rows) => {
                tracing::info!(event = "duty_not_taken", token = %leader_row.token, reason = "the row has changed");
                self.apply_newer_leader_row(rows);
            }
            StoreResult::NotDone(_)
            | StoreResult::Refused(_)
            | StoreResult::Unknown(_)
            | StoreResult::Rows(_) => {
                tracing::info!(event = "duty_not_taken", token = %leader_row.token, result = ?result);
            }
        }
    }

    /// Applies the leader row that a conflict returned before the feed did.
    fn apply_newer_leader_row(&mut self, rows: &[StoreRow]) {
        let now = self.now();
        for stored in rows {
            let RowName::System(key) = &stored.name else {
                continue;
            };
            if let Ok(Row::Leader(leader_row)) = Row::decode(key, stored.value.as_deref()) {
                self.parts.watch.on_row(now, stored.version, leader_row);
                self.takeover_after = now;
            }
        }
    }

    /// Offers leadership to all other entries if the store does not confirm it; the
    /// first one that takes over is enough.
    pub(super) fn offer_leadership(&mut self, now: Uptime) {
        let Some(scheduler) = &self.scheduler else {
            return;
        };
        let age = scheduler.confirmed_age(now);
        let is_recent = |at: Uptime| now.since(at) < MIN_OFFER_INTERVAL;
        if age < OFFER_AGE + self.store_latency * OFFER_LATENCIES
            || self.offered_at.is_some_and(is_recent)
        {
            return;
        }
        let token = scheduler.leader_row().token;
        if self.offered_at.is_none() {
            tracing::warn!(event = "duty_unconfirmed", %token, ?age);
        }
        self.offered_at = Some(now);
        for entry in self.job_api.entries() {
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

    /// Sends the scheduler's pending request to the adviser, if there is one.
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
            let sent_at = timer.now();
            let result = match &adviser {
                Some(adviser) => adviser.advise(&request).await,
                None => Err("no adviser is configured".to_owned()),
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
            let message = EntryMessage::Advised {
                sent_at,
                request,
                advice,
            };
            let _ = tx.send(message).await;
        });
    }

    /// Sends a transaction of the scheduler under a token after a delay.
    pub(super) fn commit(&self, token: FencingToken, transaction: Transaction, delay: Duration) {
        let (store, timer) = (self.parts.store.clone(), self.parts.timer.clone());
        let tx = self.parts.tx.clone();
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            let sent_at = timer.now();
            let result = store.transact(&transaction).await;
            let message = EntryMessage::Committed {
                token,
                sent_at,
                replied_at: timer.now(),
                result,
            };
            // The receiver lives as long as the process.
            let _ = tx.send(message).await;
        });
    }

    /// Returns what to do about leadership; `None` while this entry leads, takes over or
    /// has no configuration.
    fn leader_action(&self, now: Uptime) -> Option<LeaderAction> {
        let is_busy = self.scheduler.is_some() || self.takeover.is_some() || self.is_taking_over;
        if is_busy || self.job_api.catalog().is_none() {
            return None;
        }
        let (watch, limits) = (&self.parts.watch, &self.parts.limits);
        Some(watch.action(now, self.confirmed_at, self.store_latency, limits))
    }

    /// Returns when leadership may have to be taken over.
    pub(super) fn takeover_due(&self, now: Uptime) -> Option<Uptime> {
        match self.leader_action(now)? {
            LeaderAction::Wait(until) => Some(until.max(self.takeover_after)),
            LeaderAction::TakeOver(_) => Some(self.takeover_after),
        }
    }

    /// Takes over leadership if it is vacant.
    pub(super) fn take_over_if_vacant(&mut self, now: Uptime) {
        if now < self.takeover_after {
            return;
        }
        let Some(LeaderAction::TakeOver(transaction)) = self.leader_action(now) else {
            return;
        };
        let leader_row = self.parts.watch.next_row();
        self.is_taking_over = true;
        let (store, timer) = (self.parts.store.clone(), self.parts.timer.clone());
        let tx = self.parts.tx.clone();
        tokio::spawn(async move {
            let sent_at = timer.now();
            let result = store.transact(&transaction).await;
            let message = EntryMessage::TakenOver {
                sent_at,
                leader_row,
                result,
            };
            let _ = tx.send(message).await;
        });
    }

    /// Starts the scheduler once the view includes the takeover.
    pub(super) fn start_scheduler(&mut self, now: Uptime) {
        let is_current = |takeover: &mut Takeover| self.view.version() >= takeover.version;
        let Some(takeover) = self.takeover.take_if(is_current) else {
            return;
        };
        let is_own = self.parts.watch.row() == Some(&takeover.leader_row);
        let Some(catalog) = self.job_api.catalog().filter(|_| is_own).cloned() else {
            tracing::info!(event = "duty_not_begun", token = %takeover.leader_row.token);
            return;
        };
        let limits = self.parts.limits.clone();
        let Takeover {
            leader_row,
            version,
            sent_at,
        } = takeover;
        let mut scheduler = Scheduler::new(limits, catalog, leader_row, version, sent_at, now);
        scheduler.set_policies(self.parts.policies);
        scheduler.on_evacuations(self.evacuated.clone());
        let store_ms = self.job_api.store_ms(now);
        for job in self.view.load(&mut scheduler, now, store_ms) {
            tracing::error!(event = "job_ignored", %job, reason = "its progress has other steps or tasks");
        }
        tracing::info!(event = "duty_begun", token = %scheduler.leader_row().token, open_jobs = scheduler.open_jobs());
        self.parts.metrics.set("is_holder", 1);
        log_policies(&scheduler);
        self.scheduler = Some(scheduler);
    }

    /// Releases leadership, after the outcome of the commit in flight: a release under
    /// an older version would conflict.
    pub(super) fn on_shutdown(&mut self, done: oneshot::Sender<()>) {
        self.parts.watch.on_shutdown();
        match self.is_committing && self.scheduler.is_some() {
            true => self.shutdown_reply = Some(done),
            false => self.release(done),
        }
    }

    fn release(&mut self, done: oneshot::Sender<()>) {
        let release = self.scheduler.as_ref().map(Scheduler::release);
        self.step_down("the process is stopping");
        let store = self.parts.store.clone();
        let client = self.parts.client.clone();
        let mut others = self.job_api.entries();
        others.retain(|entry| *entry != self.parts.internal);
        let token = self.known_token();
        tokio::spawn(async move {
            if let Some(release) = release {
                let result = store.transact(&release).await;
                tracing::info!(event = "duty_released", result = ?result);
                // The feeds of the others may be late; an offer prompts them to check.
                let offers = others
                    .iter()
                    .map(|entry| send_offer(&client, *entry, token));
                futures::future::join_all(offers).await;
            }
            let _ = done.send(());
        });
    }
}

/// Logs what the site is like and which policies follow from it.
pub(super) fn log_policies(scheduler: &Scheduler) {
    let (site, policies) = (scheduler.site_profile(), scheduler.policies());
    let guarantees = scheduler.guarantee_range();
    tracing::info!(
        event = "policies",
        order = %policies.order,
        admission = %policies.admission,
        stops = %policies.stops,
        speeds = %policies.speeds,
        has_uneven_teams = site.has_uneven_teams,
        has_uneven_workers = site.has_uneven_workers,
        least_guarantee = guarantees.map(|(least, _)| least),
        most_guarantee = guarantees.map(|(_, most)| most),
        is_order_cost_aware = policies.order.is_cost_aware(site),
        is_admission_cost_aware = policies.admission.is_cost_aware(site)
    );
}
