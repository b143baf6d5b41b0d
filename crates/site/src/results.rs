//! What reads and commits of the table service bring.

use std::time::Duration;

use cumindeck_control::store::WriteOutcome;
use cumindeck_types::Uptime;

use crate::announce::agent_of;
use crate::event::SiteEffect;
use crate::heads::ZoneOutcome;
use crate::machine::{CommitPurpose, ReadPurpose, SiteMachine};
use crate::rows::{RowKey, RowRange, StoredRow};

impl SiteMachine {
    /// Takes in the rows of a read.
    pub(crate) fn read_ended(
        &mut self,
        now: Uptime,
        wall: Duration,
        purpose: ReadPurpose,
        asked: Uptime,
        rows: Option<Vec<StoredRow>>,
        out: &mut Vec<SiteEffect>,
    ) {
        match purpose {
            ReadPurpose::Heads => self.heads_read(now, asked, rows, out),
            ReadPurpose::Config => {
                if let Some((version, settings)) = self.config.on_bundle(rows) {
                    self.follow_regions(&settings.regions);
                    out.push(SiteEffect::Configured(version, Box::new(settings)));
                    // The zones of the new version get their rights at once.
                    self.heads_at = now;
                }
            }
            ReadPurpose::ConfigReadBack => {
                let effects = self.config.on_read_back(rows);
                self.config_effects(effects, out);
            }
            ReadPurpose::ZoneReadBack(zone) => match self.heads.on_zone_read_back(&zone, rows) {
                Some(ZoneOutcome::Write(write)) => {
                    self.commit(CommitPurpose::Zone(zone), vec![write], out);
                }
                Some(ZoneOutcome::Reply(call, reply)) => {
                    out.push(SiteEffect::ReplyOperator(call, reply));
                }
                None => {}
            },
            ReadPurpose::Region(region, read) => {
                self.with_region(now, wall, &region, out, |duty, cx, out| {
                    duty.on_read(cx, read, rows, out);
                });
            }
            ReadPurpose::Alerts(read) => self.alerts_read(now, wall, read, rows, out),
            purpose => self.operator_read(now, wall, purpose, rows, out),
        }
    }

    /// Takes in the heads.
    pub(crate) fn heads_read(
        &mut self,
        now: Uptime,
        asked: Uptime,
        rows: Option<Vec<StoredRow>>,
        out: &mut Vec<SiteEffect>,
    ) {
        self.heads.is_store_up = rows.is_some();
        let Some(rows) = rows else { return };
        self.heads
            .on_read(now, asked, &rows, self.config.settings());
        if let Some(version) = self.config.on_head(asked, self.heads.config) {
            let range = RowRange::Row(RowKey::Bundle(version));
            self.read(ReadPurpose::Config, vec![range], out);
        }
        self.alerts_heads(now, &rows, out);
        let mut effects = Vec::new();
        for (region, duty) in &mut self.regions {
            let mut of_region = Vec::new();
            for (worker, row) in self.heads.workers() {
                if let (Some(incarnation), Some(agent)) =
                    (row.fenced, agent_of(&self.views, worker))
                {
                    duty.fence(agent, incarnation);
                }
            }
            duty.on_heads(now, &rows, &mut of_region);
            effects.push((region.clone(), of_region));
        }
        for (region, of_region) in effects {
            self.region_effects(now, &region, of_region, out);
        }
    }

    /// Takes in the outcome of a commit.
    pub(crate) fn commit_ended(
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
                self.with_region(now, wall, &region, out, |duty, cx, out| {
                    duty.on_commit(cx, commit, outcome, out);
                });
            }
            CommitPurpose::Alerts(commit) => {
                self.alerts_commit(now, wall, &commit, outcome, out);
            }
        }
    }
}
