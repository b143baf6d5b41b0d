//! Errors of message decoding and of connections.

use std::net::SocketAddr;

use cumindeck_types::{IdError, KeyError, TraceError};
use thiserror::Error;

/// A message that can't be received, decoded or validated.
#[derive(Debug, Error)]
pub enum WireError {
    /// Cap'n Proto reports a malformed message, an exceeded limit or a failed call.
    #[error("Cap'n Proto error: {0}")]
    Encoding(#[from] capnp::Error),
    /// The schema of this version has no such enum value.
    #[error("message has the unknown enum value {}; the sender may be newer", .0.0)]
    UnknownValue(#[from] capnp::NotInSchema),
    /// A string isn't UTF-8.
    #[error("message contains a string that is not UTF-8")]
    NotUtf8(#[from] std::str::Utf8Error),
    /// An identifier is invalid.
    #[error(transparent)]
    Id(#[from] IdError),
    /// An idempotency key is invalid.
    #[error(transparent)]
    Key(#[from] KeyError),
    /// A trace context is invalid.
    #[error(transparent)]
    Trace(#[from] TraceError),
    /// An address isn't an IP address with a port.
    #[error("address {0:?} is not an IP address and a port, such as 127.0.0.1:7000")]
    Address(String),
    /// The body of a response does not have the stated length.
    #[error("response body is truncated: {found} of {expected} bytes")]
    Truncated {
        /// Stated length in bytes.
        expected: u64,
        /// Length found in bytes.
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

/// A failed call to another process.
#[derive(Debug, Error)]
pub enum LinkError {
    /// Connecting or exchanging hello messages failed; no other call was sent.
    #[error("can't connect to {address}: {reason}")]
    Connect {
        /// Address to which the connection was attempted.
        address: SocketAddr,
        /// Error of the connection attempt or of the hello exchange.
        reason: String,
    },
    /// The peer has another protocol version; only the hello message was sent.
    #[error("peer {address} speaks protocol version {found}; expected {expected}")]
    Version {
        /// Address of the peer.
        address: SocketAddr,
        /// Version in the peer's hello message.
        found: u32,
        /// Protocol version of this process.
        expected: u32,
    },
    /// The call failed after it was sent, so that the peer may have carried it out.
    #[error("call failed: {0}")]
    Call(#[from] WireError),
}

impl LinkError {
    /// Returns whether the peer certainly did not receive the call.
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
