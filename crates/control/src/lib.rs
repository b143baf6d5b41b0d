//! Leases, availability zones, configuration versions and gang starts, without I/O.
//!
//! Each module holds one small state machine. Time comes in as
//! [`Uptime`](cumindeck_types::Uptime), effects come out as values, and the
//! caller checks `may_*` again when it performs an effect, because the process
//! may have been frozen in between.

pub mod agent_lease;
pub mod config_version;
pub mod duty;
pub mod gang;
pub mod membership;
pub mod store;
pub mod zone;
