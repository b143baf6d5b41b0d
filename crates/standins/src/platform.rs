//! Stand-in for the platform: table service, object store, workers and usage
//! reports, with switches for outages, delays and lost replies.

mod server;
mod tables;
mod workers;

pub use server::serve_platform;
pub use tables::Tables;
pub use workers::{OrderError, Workers};
