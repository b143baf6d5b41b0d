//! Entry process: serves callers and operators, routes requests and holds
//! scheduling duties.
//!
//! The decisions are in `cumindeck-requests` and `cumindeck-site`, without I/O.
//! Here stand the tasks that own the sockets: the callers' and the operators'
//! listener, the connections to agents and the connection to the table service.

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
