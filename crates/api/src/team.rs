//! Teams.

use std::collections::BTreeMap;

use cumindeck_types::{Region, Shape, TeamId};
use serde::{Deserialize, Serialize};

use crate::text;

/// A team as it is now; answer to `GET /v1/teams/{id}`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamStatus {
    /// The team.
    #[serde(with = "text")]
    pub id: TeamId,
    /// Region whose agents hold the claims of the team's keys.
    #[serde(with = "text")]
    pub home_region: Region,
    /// Whether the team may use capacity beyond its guarantee.
    pub may_borrow: bool,
    /// Capacity by name of the region.
    pub regions: BTreeMap<String, TeamRegion>,
    /// Requests that wait.
    pub queued_requests: u32,
    /// Most requests that may wait.
    pub queue_limit: u32,
    /// Requests that run.
    pub running_requests: u32,
}

/// A team's capacity in one region.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamRegion {
    /// Guaranteed cells.
    #[serde(with = "text::option", default)]
    pub guarantee: Option<Shape>,
    /// Accelerators in use within the guarantee.
    pub used: u32,
    /// Accelerators in use beyond the guarantee.
    pub borrowed: u32,
    /// Guaranteed cells that failed workers make unavailable.
    #[serde(with = "text::option", default)]
    pub short: Option<Shape>,
    /// Jobs that wait.
    pub queued_jobs: u32,
    /// Jobs that run.
    pub running_jobs: u32,
}

/// Answer to `GET /v1/teams`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamList {
    /// Teams in order of their id.
    pub teams: Vec<TeamStatus>,
}
