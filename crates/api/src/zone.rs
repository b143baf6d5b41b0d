//! Availability zones, as operators see and change them.

use cumindeck_types::{AvailabilityZone, Region, ZoneVersion};
use serde::{Deserialize, Serialize};

use crate::text;

/// Current state of an availability zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneStatus {
    /// Id of the zone: NAME of its section `[zone NAME]` in the configuration.
    #[serde(with = "text")]
    pub id: AvailabilityZone,
    /// The zone's region.
    #[serde(with = "text")]
    pub region: Region,
    /// Whether tasks may start in the zone.
    pub open: bool,
    /// Version of the zone's state; grows with each change.
    #[serde(with = "text::counter")]
    pub version: ZoneVersion,
    /// Number of workers whose agents announce themselves.
    pub workers: u32,
    /// Number of tasks that have not ended.
    pub tasks: u32,
}

/// Response to `GET /v1/zones`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneList {
    /// Zones, ordered by id.
    pub zones: Vec<ZoneStatus>,
}

/// Body of `PUT /v1/zones/{zone}`; the response is the new [`ZoneStatus`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ZoneChange {
    /// Whether tasks may start in the zone.
    pub open: bool,
    /// Version that the change is based on; `None` accepts any version.
    #[serde(with = "text::counter::option", default)]
    pub expected_version: Option<ZoneVersion>,
}
