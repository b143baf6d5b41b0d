//! Polled rows as last read by an entry: zones, entries, workers and versions.

use std::collections::BTreeMap;
use std::time::Duration;

use cumindeck_api::{EntryStatus, ErrorReason, ZoneChange, ZoneList, ZoneStatus};
use cumindeck_config::SiteSettings;
use cumindeck_control::membership::{AgentDirectory, MAX_ANNOUNCE_TARGETS};
use cumindeck_control::store::RowVersion;
use cumindeck_control::zone::{StartRights, ZoneRow};
use cumindeck_types::message::EntryAddress;
use cumindeck_types::{
    AvailabilityZone, ConfigVersion, EntryId, Region, Uptime, WorkerId, ZoneVersion,
};

use crate::event::{OperatorCallId, OperatorReply, RowAction, RowCondition, RowWrite};
use crate::operators::error;
use crate::rows::{EntryRow, RowKey, RowValue, StoredRow, WorkerRow, ZoneStateRow};

/// Time without a new write after which an entry counts as terminated; entries write
/// their rows every 5 s.
const ENTRY_EXPIRY: Duration = Duration::from_secs(15);

/// Number of times that the write of a zone is sent before the operator's call fails.
const MAX_ZONE_WRITES: u32 = 5;

/// A row of an entry and when its version last changed.
#[derive(Debug, Clone)]
struct ObservedEntry {
    version: RowVersion,
    row: EntryRow,
    changed: Uptime,
}

/// A change of a zone whose outcome is not known yet.
#[derive(Debug, Clone)]
struct PendingZoneChange {
    call: OperatorCallId,
    change: ZoneChange,
    /// Id of the change, which is stored in the row.
    change_id: String,
    status: ZoneStatus,
    /// Row version that the last write expected.
    expected: RowVersion,
    writes_sent: u32,
}

/// Next action for a change of a zone once its row was read back.
#[derive(Debug)]
pub(crate) enum ZoneAction {
    /// Repeat the write on the version that was read.
    Write(RowWrite),
    /// Reply to the operator.
    Reply(OperatorCallId, OperatorReply),
}

/// The polled rows as last read from the table service.
#[derive(Debug, Default)]
pub(crate) struct PolledRows {
    /// Current configuration version and the version of its row.
    pub config: (ConfigVersion, RowVersion),
    /// Rights to start tasks in each zone.
    pub rights: StartRights,
    /// Whether the table service replied to the last read.
    pub is_store_up: bool,
    zones: BTreeMap<AvailabilityZone, (RowVersion, ZoneStateRow)>,
    entries: BTreeMap<EntryId, ObservedEntry>,
    workers: BTreeMap<WorkerId, (RowVersion, WorkerRow)>,
    pending_zones: BTreeMap<AvailabilityZone, PendingZoneChange>,
}

impl PolledRows {
    /// Applies the rows of a read that was sent at `sent_at`.
    pub fn on_read(
        &mut self,
        now: Uptime,
        sent_at: Uptime,
        rows: &[StoredRow],
        settings: Option<&SiteSettings>,
    ) {
        self.update_workers(rows);
        self.config = (ConfigVersion::default(), RowVersion::ABSENT);
        let mut entries = BTreeMap::new();
        for row in rows {
            match (&row.key, &row.value) {
                (RowKey::ConfigHead, RowValue::ConfigHead(version)) => {
                    self.config = (*version, row.version);
                }
                (RowKey::Zone(zone), RowValue::Zone(state)) => {
                    self.update_zone(zone, row.version, state);
                }
                (RowKey::Entry(entry), RowValue::Entry(value)) => {
                    let known = self.entries.get(entry);
                    let changed = known
                        .filter(|known| known.version == row.version)
                        .map_or(now, |known| known.changed);
                    let seen = ObservedEntry {
                        version: row.version,
                        row: value.clone(),
                        changed,
                    };
                    entries.insert(entry.clone(), seen);
                }
                _ => {}
            }
        }
        self.entries = entries;
        let Some(settings) = settings else { return };
        let to_row = |zone: &cumindeck_config::ZoneSettings| {
            let state = self.zones.get(&zone.id).map(|(_, state)| state);
            ZoneRow {
                zone: zone.id.clone(),
                version: state.map_or(ZoneVersion::default(), |state| state.version),
                is_open: state.is_none_or(|state| state.is_open),
            }
        };
        let rows: Vec<_> = settings.zones.iter().map(to_row).collect();
        self.rights.on_read(sent_at, &rows);
    }

    /// Returns the operators' settings of a worker.
    pub fn worker(&self, worker: &WorkerId) -> Option<&WorkerRow> {
        self.workers.get(worker).map(|(_, row)| row)
    }

    /// Returns the version of a worker's row.
    pub fn worker_version(&self, worker: &WorkerId) -> RowVersion {
        self.workers
            .get(worker)
            .map_or(RowVersion::ABSENT, |(version, _)| *version)
    }

    /// Applies stored rows of workers.
    pub fn update_workers(&mut self, rows: &[StoredRow]) {
        for row in rows {
            if let (RowKey::Worker(worker), RowValue::Worker(value)) = (&row.key, &row.value) {
                self.workers
                    .insert(worker.clone(), (row.version, value.clone()));
            }
        }
    }

    /// Returns the operators' settings of all workers.
    pub fn workers(&self) -> impl Iterator<Item = (&WorkerId, &WorkerRow)> {
        self.workers.iter().map(|(worker, (_, row))| (worker, row))
    }

    /// Returns the row of an entry that does not count as terminated.
    pub fn entry(&self, now: Uptime, entry: &EntryId) -> Option<&EntryRow> {
        self.live_entries(now)
            .find(|(id, _)| *id == entry)
            .map(|(_, row)| row)
    }

    /// Returns whether a zone is open; a zone without a row is open.
    pub fn is_zone_open(&self, zone: &AvailabilityZone) -> bool {
        self.zones.get(zone).is_none_or(|(_, state)| state.is_open)
    }

    /// Returns the zones that are out of service.
    pub fn zones_out_of_service(&self) -> Vec<String> {
        let out_of_service = self.zones.iter().filter(|(_, (_, state))| !state.is_open);
        out_of_service.map(|(zone, _)| zone.to_string()).collect()
    }

    /// Returns the addresses of the entries to which agents of a region announce
    /// themselves: those of the region and, if these are fewer than
    /// [`MAX_ANNOUNCE_TARGETS`], others, so that requests can reach workers of another
    /// region.
    pub fn entries_of(&self, now: Uptime, region: &Region) -> Vec<EntryAddress> {
        let address = |(entry, row): (&EntryId, &EntryRow)| EntryAddress {
            entry: entry.clone(),
            address: row.agents,
        };
        let (local, remote): (Vec<_>, Vec<_>) = self
            .live_entries(now)
            .partition(|(_, row)| row.region == *region);
        let missing = MAX_ANNOUNCE_TARGETS.saturating_sub(local.len());
        local
            .into_iter()
            .chain(remote.into_iter().take(missing))
            .map(address)
            .collect()
    }

    /// Returns all entries that do not count as terminated.
    pub fn entry_list(&self, now: Uptime) -> Vec<EntryStatus> {
        let status = |(entry, row): (&EntryId, &EntryRow)| EntryStatus {
            id: entry.clone(),
            zone: row.zone.clone(),
            address: row.agents,
            config_version: row.config_version,
        };
        self.live_entries(now).map(status).collect()
    }

    /// Returns the state of all zones of the configuration.
    pub fn zones(&self, now: Uptime, settings: &SiteSettings, views: &AgentDirectory) -> ZoneList {
        let status = |zone: &cumindeck_config::ZoneSettings| {
            let state = self.zones.get(&zone.id).map(|(_, state)| state);
            let present = views.present(now).filter(|(a, _)| a.zone == zone.id);
            let (mut workers, mut tasks) = (0, 0);
            for (announcement, _) in present {
                workers += 1;
                let live = announcement
                    .tasks
                    .iter()
                    .filter(|task| !task.phase.is_final());
                tasks += u32::try_from(live.count()).unwrap_or(u32::MAX);
            }
            ZoneStatus {
                id: zone.id.clone(),
                region: zone.region.clone(),
                open: state.is_none_or(|state| state.is_open),
                version: state.map_or(ZoneVersion::default(), |state| state.version),
                workers,
                tasks,
            }
        };
        ZoneList {
            zones: settings.zones.iter().map(status).collect(),
        }
    }

    /// Prepares the write of a zone's change; `writer_id` identifies this process.
    ///
    /// The write is sent even if the zone seems to be in the requested state, because
    /// this entry's view may predate another operator's change.
    pub fn put_zone(
        &mut self,
        call: OperatorCallId,
        writer_id: &str,
        status: ZoneStatus,
        change: ZoneChange,
    ) -> Result<RowWrite, OperatorReply> {
        let zone = status.id.clone();
        let is_stale = change
            .expected_version
            .is_some_and(|expected| expected != status.version);
        if is_stale || self.pending_zones.contains_key(&zone) {
            return Err(conflict(&zone, status.version));
        }
        let pending = PendingZoneChange {
            call,
            change,
            change_id: format!("{writer_id}:{}", call.0),
            status,
            expected: RowVersion::ABSENT,
            writes_sent: 0,
        };
        self.pending_zones.insert(zone.clone(), pending);
        self.zone_write(&zone)
            .ok_or_else(|| conflict(&zone, ZoneVersion::default()))
    }

    /// Determines the outcome of a change from the row read back after the write.
    pub fn on_zone_read_back(
        &mut self,
        zone: &AvailabilityZone,
        rows: Option<Vec<StoredRow>>,
    ) -> Option<ZoneAction> {
        let mut pending = self.pending_zones.remove(zone)?;
        let unknown = || {
            error(
                ErrorReason::OutcomeUnknown,
                format!("the change of {zone} was sent, but its outcome can't be read back"),
                "read the state with `cumindeck zone list` before you repeat the change",
            )
        };
        let Some(rows) = rows else {
            return Some(ZoneAction::Reply(pending.call, unknown()));
        };
        let stored = rows.iter().find_map(|row| match (&row.key, &row.value) {
            (RowKey::Zone(id), RowValue::Zone(state)) if id == zone => Some((row.version, state)),
            _ => None,
        });
        let (found, state) = stored.map_or((RowVersion::ABSENT, None), |(v, s)| (v, Some(s)));
        if let Some(state) = state {
            self.update_zone(zone, found, state);
        }
        let version = state.map_or(ZoneVersion::default(), |state| state.version);
        if state.is_some_and(|state| state.change == pending.change_id) {
            let status = ZoneStatus {
                open: pending.change.open,
                version,
                ..pending.status
            };
            return Some(ZoneAction::Reply(pending.call, OperatorReply::Zone(status)));
        }
        // An unchanged row means that the write was lost or is still in flight.
        // Repeating it is safe, because only one of the writes can take effect.
        let is_unchanged = found == pending.expected;
        if !is_unchanged && pending.change.expected_version.is_some() {
            return Some(ZoneAction::Reply(pending.call, conflict(zone, version)));
        }
        if pending.writes_sent >= MAX_ZONE_WRITES {
            let reply = if is_unchanged {
                unknown()
            } else {
                conflict(zone, version)
            };
            return Some(ZoneAction::Reply(pending.call, reply));
        }
        pending.status.version = version;
        self.pending_zones.insert(zone.clone(), pending);
        self.zone_write(zone).map(ZoneAction::Write)
    }

    /// Builds the next write of a pending change.
    fn zone_write(&mut self, zone: &AvailabilityZone) -> Option<RowWrite> {
        let known = self.zones.get(zone);
        let expected = known.map_or(RowVersion::ABSENT, |(version, _)| *version);
        let pending = self.pending_zones.get_mut(zone)?;
        pending.expected = expected;
        pending.writes_sent += 1;
        let row = ZoneStateRow {
            version: pending.status.version.next(),
            is_open: pending.change.open,
            change: pending.change_id.clone(),
        };
        Some(RowWrite {
            key: RowKey::Zone(zone.clone()),
            condition: RowCondition::Version(expected),
            action: RowAction::Put(RowValue::Zone(row)),
        })
    }

    fn update_zone(&mut self, zone: &AvailabilityZone, version: RowVersion, state: &ZoneStateRow) {
        let known = self.zones.get(zone);
        // A read that was overtaken by a newer one changes nothing.
        if known.is_some_and(|(_, known)| known.version > state.version) {
            return;
        }
        self.zones.insert(zone.clone(), (version, state.clone()));
        // A right of the former version ends now rather than with the next read of
        // all polled rows; a new right begins with that read.
        let row = ZoneRow {
            zone: zone.clone(),
            version: state.version,
            is_open: state.is_open,
        };
        self.rights.on_read(Uptime::ZERO, &[row]);
    }

    fn live_entries(&self, now: Uptime) -> impl Iterator<Item = (&EntryId, &EntryRow)> {
        let is_alive = move |seen: &ObservedEntry| now.since(seen.changed) < ENTRY_EXPIRY;
        let live_entries = self.entries.iter().filter(move |(_, seen)| is_alive(seen));
        live_entries.map(|(entry, seen)| (entry, &seen.row))
    }
}

fn conflict(zone: &AvailabilityZone, version: ZoneVersion) -> OperatorReply {
    error(
        ErrorReason::Conflict,
        format!("another change of {zone} was accepted first; its version is {version}"),
        "read the state with `cumindeck zone list` and repeat the change if it is still wanted",
    )
}
