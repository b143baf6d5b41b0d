//! Connects the site machine with rule evaluation and with changes of rule files.

use std::time::Duration;

use cumindeck_control::store::WriteOutcome;
use cumindeck_types::Uptime;

use super::{
    AlertsCommit, AlertsCx, AlertsEffect, AlertsLeadership, AlertsRead, PutRules, UsageReport,
    rules_status,
};
use crate::event::{Notice, OperatorCallId, OperatorReply, SiteEffect};
use crate::machine::{CommitPurpose, ReadPurpose, SiteMachine};
use crate::operators::store_unavailable;
use crate::rows::{RowRange, StoredRow};

impl SiteMachine {
    /// Runs the periodic work of rule evaluation.
    pub(crate) fn alerts_tick(&mut self, now: Uptime, wall: Duration, out: &mut Vec<SiteEffect>) {
        self.with_alerts(now, wall, out, AlertsLeadership::tick);
    }

    /// Passes the polled rows to rule evaluation.
    pub(crate) fn alerts_polled_rows(
        &mut self,
        now: Uptime,
        rows: &[StoredRow],
        out: &mut Vec<SiteEffect>,
    ) {
        let mut effects = Vec::new();
        self.alerts.on_polled_rows(now, rows, &mut effects);
        self.alerts_effects(now, effects, out);
    }

    /// Passes usage reports to rule evaluation.
    pub(crate) fn alerts_usage(
        &mut self,
        now: Uptime,
        wall: Duration,
        generation: u64,
        report: Option<UsageReport>,
        out: &mut Vec<SiteEffect>,
    ) {
        self.with_alerts(now, wall, out, |leadership, cx, _| {
            leadership.on_usage(cx, generation, report);
        });
    }

    /// Releases the leadership of rule evaluation.
    pub(crate) fn alerts_release(&mut self, now: Uptime, out: &mut Vec<SiteEffect>) {
        let mut effects = Vec::new();
        self.alerts.release(now, &mut effects);
        self.alerts_effects(now, effects, out);
    }

    /// Handles rows of the table `rules`.
    pub(crate) fn alerts_read(
        &mut self,
        now: Uptime,
        wall: Duration,
        read: AlertsRead,
        rows: Option<Vec<StoredRow>>,
        out: &mut Vec<SiteEffect>,
    ) {
        match read {
            AlertsRead::List(call) => {
                let reply = match rows {
                    Some(rows) => OperatorReply::Rules(Box::new(rules_status(wall, rows))),
                    None => store_unavailable(),
                };
                out.push(SiteEffect::ReplyOperator(call, reply));
            }
            AlertsRead::Put(call) => {
                let Some(cx) = self.alerts_cx(now, wall) else {
                    return;
                };
                let mut effects = Vec::new();
                let reply = self
                    .rule_changes
                    .on_read(cx, call, rows.as_deref(), &mut effects);
                self.alerts_effects(now, effects, out);
                out.extend(reply.map(|reply| SiteEffect::ReplyOperator(call, reply)));
            }
            read => self.with_alerts(now, wall, out, |leadership, cx, out| {
                leadership.on_read(cx, read, rows, out);
            }),
        }
    }

    /// Handles the outcome of a commit.
    pub(crate) fn alerts_commit(
        &mut self,
        now: Uptime,
        wall: Duration,
        commit: &AlertsCommit,
        outcome: WriteOutcome,
        out: &mut Vec<SiteEffect>,
    ) {
        if let AlertsCommit::Put(call) = commit {
            let mut effects = Vec::new();
            let reply = self.rule_changes.on_commit(*call, outcome, &mut effects);
            self.alerts_effects(now, effects, out);
            out.extend(reply.map(|reply| SiteEffect::ReplyOperator(*call, reply)));
            return;
        }
        self.with_alerts(now, wall, out, |leadership, cx, out| {
            leadership.on_commit(cx, commit, outcome, out);
        });
    }

    /// Handles an operator's change of a rule file.
    pub(crate) fn put_rules(
        &mut self,
        now: Uptime,
        wall: Duration,
        call: OperatorCallId,
        put: PutRules,
        out: &mut Vec<SiteEffect>,
    ) {
        let Some(cx) = self.alerts_cx(now, wall) else {
            return;
        };
        let mut effects = Vec::new();
        let reply = self.rule_changes.put(cx, call, put, &mut effects);
        self.alerts_effects(now, effects, out);
        out.extend(reply.map(|reply| SiteEffect::ReplyOperator(call, reply)));
    }

    /// Reads the table `rules` for an operator.
    pub(crate) fn list_rules(&mut self, call: OperatorCallId, out: &mut Vec<SiteEffect>) {
        let purpose = ReadPurpose::Alerts(AlertsRead::List(call));
        self.read(purpose, vec![RowRange::Rules], out);
    }

    fn alerts_cx(&self, now: Uptime, wall: Duration) -> Option<AlertsCx> {
        let settings = self.config.settings()?.rules;
        Some(AlertsCx {
            now,
            wall,
            settings,
        })
    }

    /// Runs one step of rule evaluation; does nothing without a configuration.
    fn with_alerts(
        &mut self,
        now: Uptime,
        wall: Duration,
        out: &mut Vec<SiteEffect>,
        step: impl FnOnce(&mut AlertsLeadership, AlertsCx, &mut Vec<AlertsEffect>),
    ) {
        let Some(cx) = self.alerts_cx(now, wall) else {
            return;
        };
        let mut effects = Vec::new();
        step(&mut self.alerts, cx, &mut effects);
        self.alerts_effects(now, effects, out);
    }

    fn alerts_effects(
        &mut self,
        now: Uptime,
        effects: Vec<AlertsEffect>,
        out: &mut Vec<SiteEffect>,
    ) {
        for effect in effects {
            match effect {
                AlertsEffect::Poll => self.poll_now(now),
                AlertsEffect::Read(read, ranges) => {
                    self.read(ReadPurpose::Alerts(read), ranges, out);
                }
                AlertsEffect::Commit(commit, writes) => {
                    self.commit(CommitPurpose::Alerts(commit), writes, out);
                }
                AlertsEffect::ReadUsage { generation, after } => {
                    out.push(SiteEffect::ReadUsage { generation, after });
                }
                AlertsEffect::Notice(notice) => {
                    out.push(SiteEffect::Notice(Notice::Alerts(notice)));
                }
            }
        }
    }
}
