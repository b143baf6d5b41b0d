//! Start rights of availability zones, which expire without further messages.

use std::collections::BTreeMap;
use std::time::Duration;

use cumindeck_types::message::ZoneRight;
use cumindeck_types::{AvailabilityZone, Remaining, Uptime, ZoneVersion};

/// Validity period of a start right, counted from before the zone rows were read.
///
/// A task thus starts at most 2 s after its zone was taken out of service; the
/// guarantee is 3 s.
pub const START_RIGHT_VALIDITY: Duration = Duration::from_secs(2);

/// A zone's row in the table `zones`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneRow {
    /// The zone whose state the row contains.
    pub zone: AvailabilityZone,
    /// Raised by each accepted change of the zone.
    pub version: ZoneVersion,
    /// Whether tasks may start in the zone.
    pub is_open: bool,
}

#[derive(Debug, Clone, Copy, Default)]
struct KnownRight {
    version: ZoneVersion,
    is_open: bool,
    expires: Uptime,
}

impl KnownRight {
    /// Merges a report; the accepted version decides, not the order of arrival.
    fn merge(&mut self, other: Self) {
        if other.version > self.version {
            *self = other;
        } else if other.version == self.version && other.is_open == self.is_open {
            self.expires = self.expires.max(other.expires);
        }
    }
}

/// The start rights that a process knows: an entry from the
/// store, an agent from entries.
#[derive(Debug, Clone, Default)]
pub struct StartRights {
    zones: BTreeMap<AvailabilityZone, KnownRight>,
}

impl StartRights {
    /// Handles the zone rows of a read that was sent at `sent_at` (entry).
    pub fn on_read(&mut self, sent_at: Uptime, rows: &[ZoneRow]) {
        for row in rows {
            let right = KnownRight {
                version: row.version,
                is_open: row.is_open,
                expires: sent_at.plus(START_RIGHT_VALIDITY),
            };
            self.merge(&row.zone, right);
        }
    }

    /// Handles a right in the reply to an announcement sent at `sent_at` (agent).
    pub fn on_reply(&mut self, sent_at: Uptime, right: &ZoneRight) {
        let stated = KnownRight {
            version: right.version,
            is_open: right.is_open,
            expires: right.remaining.deadline(sent_at),
        };
        self.merge(&right.zone, stated);
    }

    /// Merges a report; the first one of a zone is accepted as it is, since a zone
    /// without a row has version 0 as well.
    fn merge(&mut self, zone: &AvailabilityZone, right: KnownRight) {
        let known = self.zones.entry(zone.clone());
        known
            .and_modify(|known| known.merge(right))
            .or_insert(right);
    }

    /// Returns the right that a reply sent at `now` contains for a zone.
    #[must_use]
    pub fn right(&self, now: Uptime, zone: &AvailabilityZone) -> Option<ZoneRight> {
        let right = self.zones.get(zone)?;
        Some(ZoneRight {
            zone: zone.clone(),
            version: right.version,
            is_open: right.is_open,
            remaining: Remaining::until(right.expires, now),
        })
    }

    /// Returns the version and the expiry of a valid right to start in a zone.
    #[must_use]
    pub fn live(&self, now: Uptime, zone: &AvailabilityZone) -> Option<(ZoneVersion, Uptime)> {
        let right = self.zones.get(zone)?;
        (right.is_open && now < right.expires).then_some((right.version, right.expires))
    }

    /// Returns the time before which a start ordered under `version` may happen; called
    /// again when the task process starts.
    #[must_use]
    pub fn may_start(
        &self,
        now: Uptime,
        zone: &AvailabilityZone,
        version: ZoneVersion,
    ) -> Option<Uptime> {
        let (live, expires) = self.live(now, zone)?;
        (live == version).then_some(expires)
    }
}
