//! Rows of the table service, as typed values.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use cumindeck_control::store::RowVersion;
use cumindeck_types::{
    AvailabilityZone, ConfigVersion, EntryId, IdempotencyKey, Incarnation, Region, ZoneVersion,
};
use serde::{Deserialize, Serialize};

/// A row of the table service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum RowKey {
    /// The accepted configuration version.
    ConfigHead,
    /// The texts of a configuration version.
    Bundle(ConfigVersion),
    /// The state of an availability zone.
    Zone(AvailabilityZone),
    /// An entry that is alive.
    Entry(EntryId),
}

/// Rows that are read together.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RowRange {
    /// The configuration head, zones, duties, entries and rings.
    Heads,
    /// One row.
    Row(RowKey),
}

/// The value of a row.
#[derive(Debug, Clone, PartialEq)]
pub enum RowValue {
    /// The accepted configuration version.
    ConfigHead(ConfigVersion),
    /// The texts of a configuration version.
    Bundle(BundleRow),
    /// The state of an availability zone.
    Zone(ZoneStateRow),
    /// An entry that is alive.
    Entry(EntryRow),
}

/// A row as read.
#[derive(Debug, Clone, PartialEq)]
pub struct StoredRow {
    /// The row.
    pub key: RowKey,
    /// The row's version.
    pub version: RowVersion,
    /// The row's value.
    pub value: RowValue,
}

/// The texts of a configuration version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BundleRow {
    /// Id of the change that made this version.
    pub change: String,
    /// Text of the base file.
    pub base: String,
    /// Text of the overlay of each site.
    pub overlays: BTreeMap<String, String>,
}

/// The state of an availability zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneStateRow {
    /// Raised by each accepted change.
    pub version: ZoneVersion,
    /// Whether tasks may start.
    pub is_open: bool,
    /// Id of the change that made this version.
    pub change: String,
}

/// An entry that is alive; it writes the row again every 5 s.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryRow {
    /// Life of the entry's process.
    pub incarnation: Incarnation,
    /// The entry's availability zone.
    pub zone: AvailabilityZone,
    /// The entry's region.
    pub region: Region,
    /// Address of the listener for agents.
    pub agents: SocketAddr,
    /// Address of the listener for operators.
    pub operators: SocketAddr,
    /// Configuration version in force at the entry.
    pub config_version: ConfigVersion,
    /// Number of the write; makes each one distinct.
    pub writes: u64,
}

/// Returns an idempotency key as the id of a change.
pub(crate) fn change_id(key: &IdempotencyKey) -> String {
    key.to_string()
}
