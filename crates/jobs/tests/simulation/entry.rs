//! An entry's view of the store and its scheduler.

use std::collections::BTreeMap;

use cumindeck_jobs::{LeaderRow, LeaderWatch, Row, RowKey, RowName, Scheduler, StoreRow};

use crate::fixtures::at;

pub struct Entry {
    pub watch: LeaderWatch,
    pub scheduler: Option<Scheduler>,
    pub rows: BTreeMap<RowKey, StoreRow>,
    /// Version of the store up to which the rows have been read.
    pub seen_version: u64,
    /// Time at which the store last replied, in milliseconds.
    pub confirmed_ms: u64,
    /// Takeover that has been sent: its leader row, the row's version (0 until it is
    /// committed), and when it was sent, in milliseconds.
    pub takeover: Option<(LeaderRow, u64, u64)>,
    pub is_taking_over: bool,
    pub is_committing: bool,
    /// Time until which the process is paused, in milliseconds.
    pub paused_until_ms: u64,
    /// Time until which the store is unreachable, in milliseconds.
    pub store_unreachable_until_ms: u64,
}

impl Entry {
    pub fn on_row(&mut self, now: u64, stored: StoreRow) {
        let RowName::System(key) = stored.name.clone() else {
            return;
        };
        let row = Row::decode(&key, stored.value.as_deref()).expect("a row of the system");
        if let Row::Leader(leader_row) = &row {
            self.watch
                .on_row(at(now), stored.version, leader_row.clone());
            let is_other = |it: &Scheduler| {
                stored.version > it.leader_version() && leader_row.token != it.leader_row().token
            };
            if self.scheduler.as_ref().is_some_and(is_other) {
                self.scheduler = None;
            }
        }
        if let (Some(scheduler), Row::Job(job, row)) = (&mut self.scheduler, &row) {
            scheduler.on_job(at(now), job.clone(), row.as_ref().clone(), now);
        }
        self.rows.insert(key, stored);
    }

    pub fn load(&self, scheduler: &mut Scheduler, now: u64) {
        let decode = |stored: &StoreRow| match &stored.name {
            RowName::System(key) => Row::decode(key, stored.value.as_deref()).ok(),
            RowName::Config | RowName::Evacuation(_) => None,
        };
        let rows: Vec<Row> = self.rows.values().filter_map(decode).collect();
        for row in &rows {
            if let Row::Job(job, row) = row {
                scheduler.on_job(at(now), job.clone(), row.as_ref().clone(), now);
            }
        }
        for row in &rows {
            if let Row::Progress(job, progress) = row {
                scheduler.on_progress(at(now), job, progress.clone());
            }
        }
    }
}
