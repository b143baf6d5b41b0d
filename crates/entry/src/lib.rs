//! Entry process: serves callers and operators, routes requests and leads the scheduling
//! of regions.
//!
//! This is the entry of the request path and of a site's gangs; the entry that schedules
//! the platform's jobs is in `cumindeck-dispatch`.
//!
//! The decisions are in `cumindeck-requests` and `cumindeck-site`, without I/O. This
//! crate has the tasks that own the sockets: the listeners for callers and operators,
//! the connections to agents and the connection to the table service.

mod callers;
mod handler;
mod links;
mod operators;
mod process;
mod request_task;
mod row_codec;
mod site_task;
mod store_task;
mod usage_task;

pub use process::{EntryParts, read_token, run_entry};
