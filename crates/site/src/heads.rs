//! What an entry knows from its reads of the heads: zones, entries, versions.

use std::collections::BTreeMap;
use std::time::Duration;

use cumindeck_api::{EntryStatus, ErrorReason, ZoneChange, ZoneList, ZoneStatus};
use cumindeck_config::SiteSettings;
use cumindeck_control::membership::{AgentViews, MAX_TARGETS};
use cumindeck_control::store::RowVersion;
use cumindeck_control::zone::{StartRights, ZoneRow};
use cumindeck_types::message::EntryAddress;
use cumindeck_types::{
    AvailabilityZone, ConfigVersion, EntryId, Region, Uptime, WorkerId, ZoneVersion,
};

use crate::event::{OperatorCall, OperatorReply, RowAction, RowCondition, RowWrite};
use crate::operators::error;
use crate::rows::{EntryRow, RowKey, RowValue, StoredRow, WorkerRow, ZoneStateRow};

/// Silence after which an entry counts as gone; it writes its row every 5 s.
const ENTRY_EXPIRY: Duration = Duration::from_secs(15);

/// Tries to change a zone before the operator is told.
const MAX_ZONE_TRIES: u32 = 5;

/// A row of an entry and when it changed last.
#[derive(Debug, Clone)]
struct SeenEntry {
    version: RowVersion,
    row: EntryRow,
    changed: Uptime,
}

/// A change of a zone that waits for its outcome.
#[derive(Debug, Clone)]
struct PendingZone {
    call: OperatorCall,
    change: ZoneChange,
    /// Id of the change, stored with the row.
    origin: String,
    status: ZoneStatus,
    /// Version that the row must have for the last write.
    expected: RowVersion,
    tries: u32,
}

/// What follows from a zone's row after a write.
#[derive(Debug)]
pub(crate) enum ZoneOutcome {
    /// Write again.
    Write(RowWrite),
    /// Reply to the operator.
    Reply(OperatorCall, OperatorReply),
}

/// The heads as last read.
#[derive(Debug, Default)]
pub(crate) struct Heads {
    /// The accepted configuration version and the version of its row.
    pub config: (ConfigVersion, RowVersion),
    /// Start rights of all zones.
    pub rights: StartRights,
    /// Whether the last read was answered.
    pub is_store_up: bool,
    zones: BTreeMap<AvailabilityZone, (RowVersion, ZoneStateRow)>,
    entries: BTreeMap<EntryId, SeenEntry>,
    workers: BTreeMap<WorkerId, (RowVersion, WorkerRow)>,
    pending_zones: BTreeMap<AvailabilityZone, PendingZone>,
}

impl Heads {
    /// Takes in the rows of a read that was sent at `asked`.
    pub fn on_read(
        &mut self,
        now: Uptime,
        asked: Uptime,
        rows: &[StoredRow],
        settings: Option<&SiteSettings>,
    ) {
        self.see_workers(rows);
        self.config = (ConfigVersion::default(), RowVersion::ABSENT);
        let mut entries = BTreeMap::new();
        for row in rows {
            match (&row.key, &row.value) {
                (RowKey::ConfigHead, RowValue::ConfigHead(version)) => {
                    self.config = (*version, row.version);
                }
                (RowKey::Zone(zone), RowValue::Zone(state)) => {
                    self.see_zone(zone, row.version, state);
                }
                (RowKey::Entry(entry), RowValue::Entry(value)) => {
                    let known = self.entries.get(entry);
                    let changed = known
                        .filter(|known| known.version == row.version)
                        .map_or(now, |known| known.changed);
                    let seen = SeenEntry {
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
        self.rights.on_read(asked, &rows);
    }

    /// Returns what operators said about a worker.
    pub fn worker(&self, worker: &WorkerId) -> Option<&WorkerRow> {
        self.workers.get(worker).map(|(_, row)| row)
    }

    /// Returns the version of a worker's row.
    pub fn worker_version(&self, worker: &WorkerId) -> RowVersion {
        self.workers
            .get(worker)
            .map_or(RowVersion::ABSENT, |(version, _)| *version)
    }

    /// Takes in rows of workers that were read.
    pub fn see_workers(&mut self, rows: &[StoredRow]) {
        for row in rows {
            if let (RowKey::Worker(worker), RowValue::Worker(value)) = (&row.key, &row.value) {
                self.workers
                    .insert(worker.clone(), (row.version, value.clone()));
            }
        }
    }

    /// Returns what operators said about all workers.
    pub fn workers(&self) -> impl Iterator<Item = (&WorkerId, &WorkerRow)> {
        self.workers.iter().map(|(worker, (_, row))| (worker, row))
    }

    /// Returns the row of an entry that is alive.
    pub fn entry(&self, now: Uptime, entry: &EntryId) -> Option<&EntryRow> {
        self.alive(now)
            .find(|(id, _)| *id == entry)
            .map(|(_, row)| row)
    }

    /// Tells whether a zone is open as far as is known.
    pub fn is_zone_open(&self, zone: &AvailabilityZone) -> bool {
        self.zones.get(zone).is_none_or(|(_, state)| state.is_open)
    }

    /// Returns the zones that are taken out.
    pub fn zones_out(&self) -> Vec<String> {
        let closed = self.zones.iter().filter(|(_, (_, state))| !state.is_open);
        closed.map(|(zone, _)| zone.to_string()).collect()
    }

    /// Returns the addresses of the entries to which agents of a region announce
    /// themselves: those of the region, and where these are few, others as well,
    /// so that requests can reach workers of another region.
    pub fn entries_of(&self, now: Uptime, region: &Region) -> Vec<EntryAddress> {
        let address = |(entry, row): (&EntryId, &EntryRow)| EntryAddress {
            entry: entry.clone(),
            address: row.agents,
        };
        let (local, remote): (Vec<_>, Vec<_>) =
            self.alive(now).partition(|(_, row)| row.region == *region);
        let missing = MAX_TARGETS.saturating_sub(local.len());
        local
            .into_iter()
            .chain(remote.into_iter().take(missing))
            .map(address)
            .collect()
    }

    /// Returns all entries that are alive.
    pub fn entry_list(&self, now: Uptime) -> Vec<EntryStatus> {
        let status = |(entry, row): (&EntryId, &EntryRow)| EntryStatus {
            id: entry.clone(),
            zone: row.zone.clone(),
            address: row.agents,
            config_version: row.config_version,
        };
        self.alive(now).map(status).collect()
    }

    /// Returns the state of all zones of the configuration.
    pub fn zones(&self, now: Uptime, settings: &SiteSettings, views: &AgentViews) -> ZoneList {
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

    /// Prepares the write that changes a zone; `origin` names this incarnation of the entry.
    ///
    /// The write is made even if the zone seems to be in the wanted state: this
    /// entry's view may be older than another operator's change.
    pub fn put_zone(
        &mut self,
        call: OperatorCall,
        origin: &str,
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
        let pending = PendingZone {
            call,
            change,
            origin: format!("{origin}:{}", call.0),
            status,
            expected: RowVersion::ABSENT,
            tries: 0,
        };
        self.pending_zones.insert(zone.clone(), pending);
        self.zone_write(&zone)
            .ok_or_else(|| conflict(&zone, ZoneVersion::default()))
    }

    /// Resolves a change by the row that is stored after the write.
    pub fn on_zone_read_back(
        &mut self,
        zone: &AvailabilityZone,
        rows: Option<Vec<StoredRow>>,
    ) -> Option<ZoneOutcome> {
        let mut pending = self.pending_zones.remove(zone)?;
        let unknown = || {
            error(
                ErrorReason::OutcomeUnknown,
                format!("the change of {zone} was sent, but its outcome can't be read back"),
                "read the state with `cumindeck zone list` before you repeat the change",
            )
        };
        let Some(rows) = rows else {
            return Some(ZoneOutcome::Reply(pending.call, unknown()));
        };
        let stored = rows.iter().find_map(|row| match (&row.key, &row.value) {
            (RowKey::Zone(id), RowValue::Zone(state)) if id == zone => Some((row.version, state)),
            _ => None,
        });
        let (found, state) = stored.map_or((RowVersion::ABSENT, None), |(v, s)| (v, Some(s)));
        if let Some(state) = state {
            self.see_zone(zone, found, state);
        }
        let version = state.map_or(ZoneVersion::default(), |state| state.version);
        if state.is_some_and(|state| state.change == pending.origin) {
            let status = ZoneStatus {
                open: pending.change.open,
                version,
                ..pending.status
            };
            return Some(ZoneOutcome::Reply(
                pending.call,
                OperatorReply::Zone(status),
            ));
        }
        // An unchanged row means that the write was lost or is still on its way;
        // the same write again is safe, because only one of them can take effect.
        let is_unchanged = found == pending.expected;
        if !is_unchanged && pending.change.expected_version.is_some() {
            return Some(ZoneOutcome::Reply(pending.call, conflict(zone, version)));
        }
        if pending.tries >= MAX_ZONE_TRIES {
            let reply = if is_unchanged {
                unknown()
            } else {
                conflict(zone, version)
            };
            return Some(ZoneOutcome::Reply(pending.call, reply));
        }
        pending.status.version = version;
        self.pending_zones.insert(zone.clone(), pending);
        self.zone_write(zone).map(ZoneOutcome::Write)
    }

    /// Makes the next write of a change that waits for its outcome.
    fn zone_write(&mut self, zone: &AvailabilityZone) -> Option<RowWrite> {
        let known = self.zones.get(zone);
        let expected = known.map_or(RowVersion::ABSENT, |(version, _)| *version);
        let pending = self.pending_zones.get_mut(zone)?;
        pending.expected = expected;
        pending.tries += 1;
        let row = ZoneStateRow {
            version: pending.status.version.next(),
            is_open: pending.change.open,
            change: pending.origin.clone(),
        };
        Some(RowWrite {
            key: RowKey::Zone(zone.clone()),
            condition: RowCondition::Version(expected),
            action: RowAction::Put(RowValue::Zone(row)),
        })
    }

    fn see_zone(&mut self, zone: &AvailabilityZone, version: RowVersion, state: &ZoneStateRow) {
        let known = self.zones.get(zone);
        // A read that was overtaken by a newer one changes nothing.
        if known.is_some_and(|(_, known)| known.version > state.version) {
            return;
        }
        self.zones.insert(zone.clone(), (version, state.clone()));
        // A right of the former version ends here and not only with the next
        // read of all heads; a new right begins with that read.
        let row = ZoneRow {
            zone: zone.clone(),
            version: state.version,
            is_open: state.is_open,
        };
        self.rights.on_read(Uptime::ZERO, &[row]);
    }

    fn alive(&self, now: Uptime) -> impl Iterator<Item = (&EntryId, &EntryRow)> {
        let is_alive = move |seen: &SeenEntry| now.since(seen.changed) < ENTRY_EXPIRY;
        let alive = self.entries.iter().filter(move |(_, seen)| is_alive(seen));
        alive.map(|(entry, seen)| (entry, &seen.row))
    }
}

fn conflict(zone: &AvailabilityZone, version: ZoneVersion) -> OperatorReply {
    error(
        ErrorReason::Conflict,
        format!("another change of {zone} was accepted first; its version is {version}"),
        "read the state with `cumindeck zone list` and repeat the change if it is still wanted",
    )
}
