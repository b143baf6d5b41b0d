//! Stand-ins for the platform, for its workers and for a backend server, used in
//! tests and to try the system on one machine.

pub mod backend;
pub mod fleet;
pub mod platform;
