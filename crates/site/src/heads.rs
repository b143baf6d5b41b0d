//! What an entry knows from its reads of the heads: zones, entries, versions.

use std::collections::BTreeMap;
use std::time::Duration;

use cumindeck_api::{EntryStatus, ErrorReason, ZoneChange, ZoneList, ZoneStatus};
use cumindeck_config::SiteSettings;
use cumindeck_control::membership::AgentViews;
use cumindeck_control::store::RowVersion;
use cumindeck_control::zone::{StartRights, ZoneRow};
use cumindeck_types::message::EntryAddress;
use cumindeck_types::{AvailabilityZone, ConfigVersion, EntryId, Region, Uptime, ZoneVersion};

use crate::event::{OperatorCall, OperatorReply, RowAction, RowCondition, RowWrite};
use crate::machine::error;
use crate::rows::{EntryRow, RowKey, RowValue, StoredRow, ZoneStateRow};

/// Silence after which an entry counts as gone; it writes its row every 5 s.
const ENTRY_EXPIRY: Duration = Duration::from_secs(15);

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
    wanted: ZoneStateRow,
    status: ZoneStatus,
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

    /// Tells whether a zone is open as far as is known.
    pub fn is_zone_open(&self, zone: &AvailabilityZone) -> bool {
        self.zones.get(zone).is_none_or(|(_, state)| state.is_open)
    }

    /// Returns the zones that are taken out.
    pub fn zones_out(&self) -> Vec<String> {
        let closed = self.zones.iter().filter(|(_, (_, state))| !state.is_open);
        closed.map(|(zone, _)| zone.to_string()).collect()
    }

    /// Returns the addresses of the entries of a region that are alive.
    pub fn entries_of(&self, now: Uptime, region: &Region) -> Vec<EntryAddress> {
        let alive = self.alive(now).filter(|(_, row)| row.region == *region);
        alive
            .map(|(entry, row)| EntryAddress {
                entry: entry.clone(),
                address: row.agents,
            })
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

    /// Prepares the write that changes a zone; `origin` names this life of the entry.
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
        if change.open == status.open {
            return Err(OperatorReply::Zone(status));
        }
        let wanted = ZoneStateRow {
            version: status.version.next(),
            is_open: change.open,
            change: format!("{origin}:{}", call.0),
        };
        let expected = self
            .zones
            .get(&zone)
            .map_or(RowVersion::ABSENT, |(version, _)| *version);
        self.pending_zones.insert(
            zone.clone(),
            PendingZone {
                call,
                wanted: wanted.clone(),
                status,
            },
        );
        Ok(RowWrite {
            key: RowKey::Zone(zone),
            condition: RowCondition::Version(expected),
            action: RowAction::Put(RowValue::Zone(wanted)),
        })
    }

    /// Resolves a change by the row that is stored after the write.
    pub fn on_zone_read_back(
        &mut self,
        zone: &AvailabilityZone,
        rows: Option<Vec<StoredRow>>,
    ) -> Option<(OperatorCall, OperatorReply)> {
        let pending = self.pending_zones.remove(zone)?;
        let Some(rows) = rows else {
            let reply = error(
                ErrorReason::OutcomeUnknown,
                format!("the change of {zone} was sent, but its outcome can't be read back"),
                "read the state with `cumindeck zone list` before you repeat the change",
            );
            return Some((pending.call, reply));
        };
        let stored = rows.iter().find_map(|row| match (&row.key, &row.value) {
            (RowKey::Zone(id), RowValue::Zone(state)) if id == zone => Some((row.version, state)),
            _ => None,
        });
        if let Some((version, state)) = stored {
            self.see_zone(zone, version, state);
        }
        let stored = stored.map(|(_, state)| state.clone());
        let found = stored
            .as_ref()
            .map_or(ZoneVersion::default(), |state| state.version);
        if stored != Some(pending.wanted.clone()) {
            return Some((pending.call, conflict(zone, found)));
        }
        let status = ZoneStatus {
            open: pending.wanted.is_open,
            version: pending.wanted.version,
            ..pending.status
        };
        Some((pending.call, OperatorReply::Zone(status)))
    }

    fn see_zone(&mut self, zone: &AvailabilityZone, version: RowVersion, state: &ZoneStateRow) {
        let known = self.zones.get(zone);
        // A read that was overtaken by a newer one changes nothing.
        if known.is_none_or(|(_, known)| known.version <= state.version) {
            self.zones.insert(zone.clone(), (version, state.clone()));
        }
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
