//! Long polls of agents: at the leader they wait for orders, at another entry until it
//! knows a newer leader.

use std::time::Duration;

use cumindeck_jobs::{AgentReport, ExchangeReply};
use cumindeck_types::{AgentId, FencingToken, Uptime};
use tokio::sync::oneshot;

use super::EntryTask;

/// Time after which order polls are looked at again while there are none.
const NO_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Long poll of an agent that waits for orders of this entry, the leader.
pub(super) struct OrderPoll {
    pub until: Uptime,
    pub sequence: u64,
    /// Number of the worker's newest recorded end when the poll began.
    pub recorded_ends: u64,
    pub reply: oneshot::Sender<ExchangeReply>,
}

/// Long poll that waits until this entry knows a leader that is new to the agent.
pub(super) struct LeaderPoll {
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
        // Estimate of the store's clock.
        let store_ms = self.job_api.store_ms(now);
        let Some(scheduler) = &mut self.scheduler else {
            self.keep_pending(now, report, reply);
            return;
        };
        scheduler.on_report(now, store_ms, &report);
        if report.wait_ms == 0 {
            let _ = reply.send(scheduler.reply(now, &report.agent, report.sequence));
            return;
        }
        if let Some(former) = self.order_polls.remove(&report.agent) {
            let orders = scheduler.reply(now, &report.agent, former.sequence);
            let _ = former.reply.send(orders);
        }
        let poll = OrderPoll {
            until: now.plus(Duration::from_millis(report.wait_ms)),
            sequence: report.sequence,
            recorded_ends: scheduler.recorded_ends(&report.agent),
            reply,
        };
        self.next_poll_due = self.next_poll_due.min(poll.until);
        self.order_polls.insert(report.agent.clone(), poll);
    }

    /// Keeps a report while this entry knows no leader that is new to the agent.
    fn keep_pending(
        &mut self,
        now: Uptime,
        report: AgentReport,
        reply: oneshot::Sender<ExchangeReply>,
    ) {
        let knows_newer = self.known_token() > report.known_token && self.takeover.is_none();
        if knows_newer || report.wait_ms == 0 {
            let _ = reply.send(self.not_leader(report.sequence));
            return;
        }
        let poll = LeaderPoll {
            until: now.plus(Duration::from_millis(report.wait_ms)),
            reply,
            report,
        };
        let former = self.leader_polls.insert(poll.report.agent.clone(), poll);
        if let Some(former) = former {
            let _ = former.reply.send(self.not_leader(former.report.sequence));
        }
    }

    /// Passes pending reports to the scheduler if this entry is the leader; otherwise
    /// replies to those whose wait is over or for which there is a newer leader.
    pub(super) fn reply_to_leader_polls(&mut self, now: Uptime) {
        if self.takeover.is_some() {
            return;
        }
        if self.scheduler.is_some() {
            for (_, poll) in std::mem::take(&mut self.leader_polls) {
                self.on_report(now, poll.report, poll.reply);
            }
            return;
        }
        let token = self.known_token();
        let is_due = |_: &AgentId, poll: &mut LeaderPoll| {
            now >= poll.until || token > poll.report.known_token
        };
        let due: Vec<LeaderPoll> = self
            .leader_polls
            .extract_if(.., is_due)
            .map(|(_, poll)| poll)
            .collect();
        for poll in due {
            let _ = poll.reply.send(self.not_leader(poll.report.sequence));
        }
    }

    pub(super) fn known_token(&self) -> FencingToken {
        let row = self.parts.watch.row();
        row.map_or(FencingToken::new(0), |row| row.token)
    }

    pub(super) fn not_leader(&self, sequence: u64) -> ExchangeReply {
        ExchangeReply {
            sequence,
            is_leader: false,
            leader: self.parts.watch.leader_address(),
            entries: self.job_api.entries(),
            token: self.known_token(),
            process: None,
            confirmed_age_ms: 0,
            worker_started_ms: 0,
            recorded_ends: 0,
            doubts_ends: false,
            knows_incarnation: false,
            speeds: None,
            orders: Vec::new(),
        }
    }

    /// Replies to agents that have orders or whose wait is over.
    pub(super) fn reply_to_order_polls(&mut self, now: Uptime) {
        let Some(scheduler) = &mut self.scheduler else {
            return;
        };
        let mut due = scheduler.agents_to_check(now);
        due.retain(|agent| {
            let poll = self.order_polls.get(agent);
            poll.is_some_and(|poll| scheduler.has_updates(now, agent, poll.recorded_ends))
        });
        if now >= self.next_poll_due {
            let is_over = |poll: &OrderPoll| now >= poll.until;
            let over = self.order_polls.iter().filter(|(_, poll)| is_over(poll));
            due.extend(over.map(|(agent, _)| agent.clone()));
            let waits = self.order_polls.values().map(|poll| poll.until);
            self.next_poll_due = waits
                .filter(|until| *until > now)
                .min()
                .unwrap_or(now.plus(NO_POLL_INTERVAL));
        }
        let entries = self.job_api.entries();
        for agent in due {
            if let Some(poll) = self.order_polls.remove(&agent) {
                let mut reply = scheduler.reply(now, &agent, poll.sequence);
                reply.entries.clone_from(&entries);
                let _ = poll.reply.send(reply);
            }
        }
    }
}
