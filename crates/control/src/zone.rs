//! Start rights of availability zones, which expire without further messages.

use std::collections::BTreeMap;
use std::time::Duration;

use cumindeck_types::message::ZoneRight;
use cumindeck_types::{AvailabilityZone, Remaining, Uptime, ZoneVersion};

/// Life of a start right, counted from before the zone rows were read.
///
/// A start then happens at most 2 s after a take-out; the promise is 3 s.
pub const START_RIGHT: Duration = Duration::from_secs(2);

/// A zone's row in the table `zones`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneRow {
    /// The availability zone.
    pub zone: AvailabilityZone,
    /// Raised by each accepted change of the zone.
    pub version: ZoneVersion,
    /// Whether tasks may start in the zone.
    pub is_open: bool,
}

#[derive(Debug, Clone, Copy, Default)]
struct Right {
    version: ZoneVersion,
    is_open: bool,
    expires: Uptime,
}

impl Right {
    /// Merges a statement; the accepted version decides, never the arrival.
    fn merge(&mut self, other: Self) {
        if other.version > self.version {
            *self = other;
        } else if other.version == self.version && other.is_open == self.is_open {
            self.expires = self.expires.max(other.expires);
        }
    }
}

/// The start rights that a process knows: an entry from the store, an agent from entries.
#[derive(Debug, Clone, Default)]
pub struct StartRights {
    zones: BTreeMap<AvailabilityZone, Right>,
}

impl StartRights {
    /// Takes in the zone rows of a read that was sent at `asked` (entry).
    pub fn on_read(&mut self, asked: Uptime, rows: &[ZoneRow]) {
        for row in rows {
            let right = Right {
                version: row.version,
                is_open: row.is_open,
                expires: asked.plus(START_RIGHT),
            };
            self.merge(&row.zone, right);
        }
    }

    /// Takes in a right from the reply to an announcement sent at `asked` (agent).
    pub fn on_reply(&mut self, asked: Uptime, right: &ZoneRight) {
        let stated = Right {
            version: right.version,
            is_open: right.is_open,
            expires: right.remaining.deadline(asked),
        };
        self.merge(&right.zone, stated);
    }

    /// Merges a statement; the first one about a zone is taken as it is, since a
    /// zone without a row has version 0 as well.
    fn merge(&mut self, zone: &AvailabilityZone, right: Right) {
        let known = self.zones.entry(zone.clone());
        known
            .and_modify(|known| known.merge(right))
            .or_insert(right);
    }

    /// Returns what a reply sent at `now` says about a zone.
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

    /// Returns the version and the end of a live right to start in a zone.
    #[must_use]
    pub fn live(&self, now: Uptime, zone: &AvailabilityZone) -> Option<(ZoneVersion, Uptime)> {
        let right = self.zones.get(zone)?;
        (right.is_open && now < right.expires).then_some((right.version, right.expires))
    }

    /// Returns until when a start ordered under `version` may happen; checked at the effect.
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
