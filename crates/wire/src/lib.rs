//! Cap'n Proto messages between the system's processes: the committed generated code,
//! validating conversions, and RPC connections with limits.

mod announce;
#[allow(
    missing_docs,
    clippy::all,
    clippy::pedantic,
    unused_qualifications,
    elided_lifetimes_in_paths
)]
#[path = "generated/cumindeck_capnp.rs"]
mod cumindeck_capnp;
mod error;
mod link;
mod request;
mod server;
mod task;

pub use error::{LinkError, WireError};
pub use link::{AgentLink, EntryLink};
pub use server::{AgentHandler, EntryHandler, serve_agent, serve_entry};

use std::time::Duration;

use capnp::message::ReaderOptions;

/// Maximum size of a message in bytes.
pub const MAX_MESSAGE_BYTES: usize = 8 * 1024 * 1024;
/// Maximum nesting depth of a message.
const MAX_NESTING: i32 = 32;
/// Size of a Cap'n Proto word in bytes.
const WORD_BYTES: usize = 8;
/// Maximum time to connect, and maximum time to exchange the hello messages.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Returns the limits for reading messages.
fn reader_options() -> ReaderOptions {
    ReaderOptions {
        traversal_limit_in_words: Some(MAX_MESSAGE_BYTES / WORD_BYTES),
        nesting_limit: MAX_NESTING,
    }
}
