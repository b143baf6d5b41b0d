//! Errors of messages and connections.

use std::net::SocketAddr;

use cumindeck_types::{IdError, KeyError, TraceError};
use thiserror::Error;

/// A message that can't be read into checked types.
#[derive(Debug, Error)]
pub enum WireError {
    /// The encoding is broken or exceeds a limit.
    #[error("malformed message: {0}")]
    Encoding(#[from] capnp::Error),
    /// An enum value isn't in this version of the schema.
    #[error("message has the unknown enum value {}; the sender may be newer", .0.0)]
    UnknownValue(#[from] capnp::NotInSchema),
    /// A text isn't UTF-8.
    #[error("message contains text that is not UTF-8")]
    NotUtf8(#[from] std::str::Utf8Error),
    /// An identifier isn't valid.
    #[error(transparent)]
    Id(#[from] IdError),
    /// An idempotency key isn't valid.
    #[error(transparent)]
    Key(#[from] KeyError),
    /// A trace context isn't valid.
    #[error(transparent)]
    Trace(#[from] TraceError),
    /// An address isn't an IP number with a port.
    #[error("address {0:?} is not an IP number and a port, such as 127.0.0.1:7000")]
    Address(String),
    /// The length of an answer differs from its body.
    #[error("answer is truncated: {found} of {expected} bytes")]
    Truncated {
        /// Length announced.
        expected: u64,
        /// Length found.
        found: u64,
    },
}

impl From<WireError> for capnp::Error {
    fn from(err: WireError) -> Self {
        match err {
            WireError::Encoding(err) => err,
            err => Self::failed(err.to_string()),
        }
    }
}

/// A call to another process that failed.
#[derive(Debug, Error)]
pub enum LinkError {
    /// No connection could be made; nothing was sent.
    #[error("can't connect to {address}: {reason}")]
    Connect {
        /// Address of the peer.
        address: SocketAddr,
        /// What went wrong.
        reason: String,
    },
    /// The peer speaks another version of the protocol; nothing else was sent.
    #[error("peer {address} speaks protocol version {found}; expected {expected}")]
    Version {
        /// Address of the peer.
        address: SocketAddr,
        /// Version of the peer.
        found: u32,
        /// Version of this process.
        expected: u32,
    },
    /// The call failed after it was sent; the peer may have carried it out.
    #[error("call failed: {0}")]
    Call(#[from] WireError),
}

impl LinkError {
    /// Tells whether the peer certainly did not receive the call.
    #[must_use]
    pub const fn is_not_sent(&self) -> bool {
        match self {
            Self::Connect { .. } | Self::Version { .. } => true,
            Self::Call(_) => false,
        }
    }
}

impl From<capnp::Error> for LinkError {
    fn from(err: capnp::Error) -> Self {
        Self::Call(WireError::Encoding(err))
    }
}
