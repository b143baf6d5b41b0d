//! Leases, availability zones, configuration versions and gang starts, without I/O.
//!
//! Each module holds one small state machine. Time is passed in as
//! [`Uptime`](cumindeck_types::Uptime), effects are returned as values, and the
//! caller checks `may_*` again when it performs an effect, because the process
//! may have been paused in between.

pub mod agent_lease;
pub mod config_version;
pub mod gang;
pub mod leader;
pub mod membership;
pub mod store;
pub mod zone;
