//! Teams and their use of capacity, as operators see them.

use std::collections::BTreeMap;

use cumindeck_types::{Region, Shape, TeamId};
use serde::{Deserialize, Serialize};

use crate::text;

/// Current state of a team; response to `GET /v1/teams/{id}`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamStatus {
    /// Id of the team: NAME of its section `[team NAME]` in the configuration.
    #[serde(with = "text")]
    pub id: TeamId,
    /// Region whose agents hold the claims of the team's idempotency keys.
    #[serde(with = "text")]
    pub home_region: Region,
    /// Whether the team may use capacity beyond its guarantee.
    pub may_borrow: bool,
    /// Capacity by region name.
    pub regions: BTreeMap<String, TeamRegion>,
    /// Number of queued requests; entries always report 0.
    pub queued_requests: u32,
    /// Maximum number of queued requests.
    pub queue_limit: u32,
    /// Number of running requests; entries always report 0.
    pub running_requests: u32,
}

/// A team's capacity in one region. Only the leader of the region knows the use; other
/// entries report 0.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamRegion {
    /// Guaranteed cells; `None` without a guarantee in this region.
    #[serde(with = "text::option", default)]
    pub guarantee: Option<Shape>,
    /// Number of accelerators in use within the guarantee.
    pub used: u32,
    /// Number of accelerators in use beyond the guarantee.
    pub borrowed: u32,
    /// Guaranteed cells that failed workers make unavailable; entries don't report it.
    #[serde(with = "text::option", default)]
    pub short: Option<Shape>,
    /// Number of queued jobs.
    pub queued_jobs: u32,
    /// Number of jobs that are neither queued nor ended.
    pub running_jobs: u32,
}

/// Response to `GET /v1/teams`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamList {
    /// Teams, ordered by id.
    pub teams: Vec<TeamStatus>,
}
