//! Availability zones.

use cumindeck_types::{AvailabilityZone, Region, ZoneVersion};
use serde::{Deserialize, Serialize};

use crate::text;

/// An availability zone as it is now.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneStatus {
    /// The zone.
    #[serde(with = "text")]
    pub id: AvailabilityZone,
    /// The zone's region.
    #[serde(with = "text")]
    pub region: Region,
    /// Whether tasks may start in the zone.
    pub open: bool,
    /// Version, which grows with each change.
    #[serde(with = "text::counter")]
    pub version: ZoneVersion,
    /// Workers that announce themselves.
    pub workers: u32,
    /// Tasks that still run.
    pub tasks: u32,
}

/// Answer to `GET /v1/zones`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneList {
    /// Zones in order of their id.
    pub zones: Vec<ZoneStatus>,
}

/// Body of `PUT /v1/zones/{zone}`; the answer is the new [`ZoneStatus`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ZoneChange {
    /// Whether tasks may start in the zone.
    pub open: bool,
    /// Version that the change is based on; any version if `None`.
    #[serde(with = "text::counter::option", default)]
    pub expected_version: Option<ZoneVersion>,
}
