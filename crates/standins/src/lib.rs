//! Stand-ins for the platform and for a backend server, for tests and for a
//! first try on one machine.

pub mod backend;
pub mod fleet;
pub mod platform;
