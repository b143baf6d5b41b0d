//! Reports of agents: those that wait for orders of the holder, and those that
//! another entry keeps until it knows a newer holder.

use std::time::Duration;

use cumindeck_jobs::{AgentReport, ExchangeReply};
use cumindeck_types::{AgentId, FencingToken, Uptime};
use tokio::sync::oneshot;

use super::EntryTask;

/// An agent that waits for orders of this entry, which holds the duty.
pub(super) struct Waiting {
    pub until: Uptime,
    pub sequence: u64,
    pub recorded_ends: u64,
    pub reply: oneshot::Sender<ExchangeReply>,
}

/// A report that this entry keeps until it knows a holder that is new to the agent.
pub(super) struct Parked {
    pub report: AgentReport,
    pub until: Uptime,
    pub reply: oneshot::Sender<ExchangeReply>,
}

impl EntryTask {
    pub(super) fn on_report(
        &mut self,
        now: Uptime,
        report: AgentReport,
        reply: oneshot::Sender<ExchangeReply>,
    ) {
        let store_ms = self.desk.store_ms(now);
        let Some(scheduler) = &mut self.scheduler else {
            self.park(now, report, reply);
            return;
        };
        scheduler.on_report(now, store_ms, &report);
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

    /// Keeps a report while this entry knows no holder that is new to the agent.
    fn park(&mut self, now: Uptime, report: AgentReport, reply: oneshot::Sender<ExchangeReply>) {
        let is_news = self.known_token() > report.known_token && self.takeover.is_none();
        if is_news || report.wait_ms == 0 {
            let _ = reply.send(self.not_holder(report.sequence));
            return;
        }
        let parked = Parked {
            until: now.plus(Duration::from_millis(report.wait_ms)),
            reply,
            report,
        };
        let former = self.parked.insert(parked.report.agent.clone(), parked);
        if let Some(former) = former {
            let _ = former.reply.send(self.not_holder(former.report.sequence));
        }
    }

    /// Hands parked reports to the scheduler or answers those whose wait is over
    /// and those for which there is a newer holder.
    pub(super) fn answer_parked(&mut self, now: Uptime) {
        if self.takeover.is_some() {
            return;
        }
        if self.scheduler.is_some() {
            for (_, parked) in std::mem::take(&mut self.parked) {
                self.on_report(now, parked.report, parked.reply);
            }
            return;
        }
        let token = self.known_token();
        let is_due =
            |_: &AgentId, it: &mut Parked| now >= it.until || token > it.report.known_token;
        let due: Vec<Parked> = self
            .parked
            .extract_if(.., is_due)
            .map(|(_, parked)| parked)
            .collect();
        for parked in due {
            let _ = parked.reply.send(self.not_holder(parked.report.sequence));
        }
    }

    pub(super) fn known_token(&self) -> FencingToken {
        let row = self.parts.watch.row();
        row.map_or(FencingToken::new(0), |row| row.token)
    }

    pub(super) fn not_holder(&self, sequence: u64) -> ExchangeReply {
        ExchangeReply {
            sequence,
            is_holder: false,
            holder: self.parts.watch.holder_address(),
            entries: self.desk.entries(),
            token: self.known_token(),
            confirmed_age_ms: 0,
            life_born_ms: 0,
            recorded_ends: 0,
            orders: Vec::new(),
        }
    }

    /// Answers agents that have orders or have waited long enough.
    pub(super) fn answer_agents(&mut self, now: Uptime) {
        let Some(scheduler) = &mut self.scheduler else {
            return;
        };
        let is_due = |agent: &AgentId, waiting: &Waiting| {
            now >= waiting.until || scheduler.has_news(now, agent, waiting.recorded_ends)
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
}
