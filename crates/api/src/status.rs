//! State of the whole site as one entry sees it.

use std::fmt::{self, Display, Formatter};
use std::net::SocketAddr;

use cumindeck_types::{AvailabilityZone, ConfigVersion, EntryId, FencingToken};
use serde::{Deserialize, Serialize};

use crate::text;

/// Response to `GET /v1/status`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SiteStatus {
    /// Name of the site, from the settings file of the entry that responds.
    pub site: String,
    /// Id of the entry that responds.
    #[serde(with = "text")]
    pub entry: EntryId,
    /// Version of the configuration in force at this entry.
    #[serde(with = "text::counter")]
    pub config_version: ConfigVersion,
    /// State of the table service.
    pub store: StoreState,
    /// Entries, ordered by id.
    pub entries: Vec<EntryStatus>,
    /// Leader leases of the regions and of rule evaluation.
    pub duties: Vec<LeaderStatus>,
    /// Availability zones that are out of service.
    pub zones_out: Vec<String>,
    /// Number of workers whose agents announce themselves.
    pub workers: u32,
    /// Number of these workers whose agent is suspect.
    pub workers_unhealthy: u32,
    /// Number of queued jobs in the regions whose leader is this entry.
    pub jobs_queued: u32,
    /// Number of jobs that are neither queued nor ended, in the same regions.
    pub jobs_running: u32,
    /// Number of requests in flight at the announced workers.
    pub requests_in_flight: u32,
}

/// State of the table service, as one entry sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StoreState {
    /// The last poll of the tables succeeded.
    Up,
    /// The last poll of the tables failed; nothing new starts.
    Down,
}

impl Display for StoreState {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Up => "up",
            Self::Down => "down",
        })
    }
}

/// State of one entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryStatus {
    /// Id from the entry's settings file.
    #[serde(with = "text")]
    pub id: EntryId,
    /// The entry's availability zone.
    #[serde(with = "text")]
    pub zone: AvailabilityZone,
    /// Address that agents connect to.
    pub address: SocketAddr,
    /// Version of the configuration that the entry last reported.
    #[serde(with = "text::counter")]
    pub config_version: ConfigVersion,
}

/// State of a leader lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderStatus {
    /// Region, or `rules` for rule evaluation.
    pub name: String,
    /// Leader as last read from the table service; `None` without a leader.
    #[serde(with = "text::option", default)]
    #[serde(rename = "holder")]
    pub leader: Option<EntryId>,
    /// Fencing token of the newest leader.
    #[serde(with = "text::counter")]
    pub token: FencingToken,
    /// Remaining validity of the lease, in milliseconds; 0 unless this entry holds it.
    pub remaining_ms: u64,
}
