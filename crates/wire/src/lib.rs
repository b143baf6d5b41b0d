//! Cap'n Proto messages between the system's processes: the committed generated
//! code, checked conversions, and RPC connections with limits.

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

/// Largest message in bytes.
pub const MAX_MESSAGE_BYTES: usize = 8 * 1024 * 1024;
/// Deepest nesting of a message.
const MAX_NESTING: i32 = 32;
/// Bytes in a word of Cap'n Proto.
const WORD_BYTES: usize = 8;
/// Longest time to connect and to exchange the first message.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Returns the limits under which messages are read.
fn reader_options() -> ReaderOptions {
    ReaderOptions {
        traversal_limit_in_words: Some(MAX_MESSAGE_BYTES / WORD_BYTES),
        nesting_limit: MAX_NESTING,
    }
}
