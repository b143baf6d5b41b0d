//! Handlers for the results of reads and commits.

use std::time::Duration;

use cumindeck_control::store::WriteOutcome;
use cumindeck_types::Uptime;

use crate::announce::agent_of;
use crate::event::SiteEffect;
use crate::machine::{CommitPurpose, ReadPurpose, SiteMachine};
use crate::polled::ZoneAction;
use crate::rows::{RowKey, RowRange, StoredRow};

impl SiteMachine {
    /// Handles the rows of a read.
    pub(crate) fn on_read(
        &mut self,
        now: Uptime,
        wall: Duration,
        purpose: ReadPurpose,
        sent_at: Uptime,
        rows: Option<Vec<StoredRow>>,
        out: &mut Vec<SiteEffect>,
    ) {
        match purpose {
            ReadPurpose::PolledRows => self.on_polled_rows(now, sent_at, rows, out),
            ReadPurpose::Config => {
                if let Some((version, settings)) = self.config.on_bundle(rows) {
                    self.add_regions(&settings.regions);
                    out.push(SiteEffect::Configured(version, Box::new(settings)));
                    // The zones of the new version get their start rights without delay.
                    self.next_poll = now;
                }
            }
            ReadPurpose::ConfigReadBack => {
                let effects = self.config.on_read_back(rows);
                self.config_effects(effects, out);
            }
            ReadPurpose::ZoneReadBack(zone) => match self.polled.on_zone_read_back(&zone, rows) {
                Some(ZoneAction::Write(write)) => {
                    self.commit(CommitPurpose::Zone(zone), vec![write], out);
                }
                Some(ZoneAction::Reply(call, reply)) => {
                    out.push(SiteEffect::ReplyOperator(call, reply));
                }
                None => {}
            },
            ReadPurpose::Region(region, read) => {
                self.with_region(now, wall, &region, out, |leadership, cx, out| {
                    leadership.on_read(cx, read, rows, out);
                });
            }
            ReadPurpose::Alerts(read) => self.alerts_read(now, wall, read, rows, out),
            purpose => self.on_operator_read(now, wall, purpose, rows, out),
        }
    }

    /// Applies the polled rows.
    pub(crate) fn on_polled_rows(
        &mut self,
        now: Uptime,
        sent_at: Uptime,
        rows: Option<Vec<StoredRow>>,
        out: &mut Vec<SiteEffect>,
    ) {
        self.polled.is_store_up = rows.is_some();
        let Some(rows) = rows else { return };
        self.polled
            .on_read(now, sent_at, &rows, self.config.settings());
        if let Some(version) = self.config.on_current_version(sent_at, self.polled.config) {
            let range = RowRange::Row(RowKey::Bundle(version));
            self.read(ReadPurpose::Config, vec![range], out);
        }
        self.alerts_polled_rows(now, &rows, out);
        let mut effects = Vec::new();
        for (region, leadership) in &mut self.regions {
            let mut of_region = Vec::new();
            for (worker, row) in self.polled.workers() {
                if let (Some(incarnation), Some(agent)) =
                    (row.fenced, agent_of(&self.views, worker))
                {
                    leadership.fence(agent, incarnation);
                }
            }
            leadership.on_polled_rows(now, &rows, &mut of_region);
            effects.push((region.clone(), of_region));
        }
        for (region, of_region) in effects {
            self.region_effects(now, &region, of_region, out);
        }
    }

    /// Handles the outcome of a commit.
    pub(crate) fn on_commit(
        &mut self,
        now: Uptime,
        wall: Duration,
        purpose: CommitPurpose,
        outcome: WriteOutcome,
        out: &mut Vec<SiteEffect>,
    ) {
        match purpose {
            CommitPurpose::Entry => {}
            CommitPurpose::Config => {
                let effects = self.config.on_write(outcome);
                self.config_effects(effects, out);
            }
            CommitPurpose::Zone(zone) => {
                let range = RowRange::Row(RowKey::Zone(zone.clone()));
                self.read(ReadPurpose::ZoneReadBack(zone), vec![range], out);
            }
            CommitPurpose::Worker(call, worker) => {
                let range = RowRange::Row(RowKey::Worker(worker.clone()));
                self.read(ReadPurpose::WorkerReadBack(call, worker), vec![range], out);
            }
            CommitPurpose::Region(region, commit) => {
                self.with_region(now, wall, &region, out, |leadership, cx, out| {
                    leadership.on_commit(cx, commit, outcome, out);
                });
            }
            CommitPurpose::Alerts(commit) => {
                self.alerts_commit(now, wall, &commit, outcome, out);
            }
        }
    }
}
