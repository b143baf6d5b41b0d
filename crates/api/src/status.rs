//! State of the whole site as one entry sees it.

use std::fmt::{self, Display, Formatter};
use std::net::SocketAddr;

use cumindeck_types::{AvailabilityZone, ConfigVersion, EntryId, FencingToken};
use serde::{Deserialize, Serialize};

use crate::text;

/// Answer to `GET /v1/status`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SiteStatus {
    /// Name of the site.
    pub site: String,
    /// Entry that answers.
    #[serde(with = "text")]
    pub entry: EntryId,
    /// Version of the configuration in force at this entry.
    #[serde(with = "text::counter")]
    pub config_version: ConfigVersion,
    /// State of the table service.
    pub store: StoreState,
    /// Entries in order of their id.
    pub entries: Vec<EntryStatus>,
    /// Duties in order of their name.
    pub duties: Vec<DutyStatus>,
    /// Availability zones that are taken out.
    pub zones_out: Vec<String>,
    /// Workers that announce themselves.
    pub workers: u32,
    /// Workers that are suspect, gone, quarantined or fenced.
    pub workers_unhealthy: u32,
    /// Jobs that wait.
    pub jobs_queued: u32,
    /// Jobs that run.
    pub jobs_running: u32,
    /// Requests in flight at this entry.
    pub requests_in_flight: u32,
}

/// State of the table service, as one entry sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StoreState {
    /// The last read was confirmed in time.
    Up,
    /// Reads or writes fail; nothing new starts.
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

/// An entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryStatus {
    /// The entry.
    #[serde(with = "text")]
    pub id: EntryId,
    /// The entry's availability zone.
    #[serde(with = "text")]
    pub zone: AvailabilityZone,
    /// Address for agents.
    pub address: SocketAddr,
    /// Version of the configuration that it last reported.
    #[serde(with = "text::counter")]
    pub config_version: ConfigVersion,
}

/// A duty lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyStatus {
    /// Name: a region, or `rules`.
    pub name: String,
    /// Entry that holds it, if the lease is live.
    #[serde(with = "text::option", default)]
    pub holder: Option<EntryId>,
    /// Fencing token of the newest holder.
    #[serde(with = "text::counter")]
    pub token: FencingToken,
    /// What is left of the lease, in milliseconds.
    pub remaining_ms: u64,
}
