//! Growth of a body's buffer, and its time limits.

use std::time::Duration;

use cumindeck_types::{ByteSize, Uptime};
use thiserror::Error;

use crate::IngressLimits;

/// Capacity of the buffer of a body without a length when its first byte arrives.
const FIRST_CAPACITY: u64 = 4 * 1024;

/// Reason why a body was not read; its request has not run.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum BodyError {
    /// The body is longer than the listener allows.
    #[error("the body is larger than {0}")]
    TooLarge(ByteSize),
    /// The process has no memory for the body now.
    #[error("the process has no room for the body now")]
    NoRoom,
    /// The body arrives too slowly.
    #[error("the body arrives too slowly")]
    TooSlow,
    /// The connection ended, or the body is malformed.
    #[error("the body can't be read: {0}")]
    Broken(String),
}

/// What has to be done before data is appended to a body's buffer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyStep {
    /// The buffer has room.
    Append,
    /// The buffer needs this much more capacity, which has to be claimed first.
    Grow(ByteSize),
}

/// Size of the one buffer of a body.
#[derive(Debug, Clone, Copy)]
pub struct BodyBuffer {
    limit: u64,
    capacity: u64,
    used: u64,
}

impl BodyBuffer {
    /// Starts a body of at most `limit` bytes and returns its first capacity, which has to
    /// be claimed; `length` is known unless the body consists of chunks.
    pub fn new(limit: ByteSize, length: Option<u64>) -> Result<(Self, ByteSize), BodyError> {
        let capacity = length.unwrap_or(0);
        if capacity > limit.bytes() {
            return Err(BodyError::TooLarge(limit));
        }
        let buffer = Self {
            limit: limit.bytes(),
            capacity,
            used: 0,
        };
        Ok((buffer, ByteSize::new(capacity)))
    }

    /// Decides what has to be done before `len` bytes are appended.
    pub fn append(&mut self, len: usize) -> Result<BodyStep, BodyError> {
        let len = u64::try_from(len).unwrap_or(u64::MAX);
        let used = self.used.saturating_add(len);
        if used > self.limit {
            return Err(BodyError::TooLarge(ByteSize::new(self.limit)));
        }
        self.used = used;
        if used <= self.capacity {
            return Ok(BodyStep::Append);
        }
        let doubled = (self.capacity * 2).max(FIRST_CAPACITY).max(used);
        let grown = doubled.min(self.limit) - self.capacity;
        self.capacity += grown;
        Ok(BodyStep::Grow(ByteSize::new(grown)))
    }
}

/// Time limits of a body.
#[derive(Debug, Clone, Copy)]
pub struct BodyTimer {
    started: Uptime,
    progressed: Uptime,
    received: u64,
}

impl BodyTimer {
    /// Starts when the head has been read.
    #[must_use]
    pub const fn new(now: Uptime) -> Self {
        Self {
            started: now,
            progressed: now,
            received: 0,
        }
    }

    /// Records that bytes have arrived.
    pub fn receive(&mut self, now: Uptime, len: usize) {
        self.progressed = now;
        self.received += u64::try_from(len).unwrap_or(0);
    }

    /// Returns how long the next byte may take.
    #[must_use]
    pub fn patience(&self, now: Uptime, limits: &IngressLimits) -> Duration {
        let earned = limits.min_body_rate.time_for(ByteSize::new(self.received));
        let rate_deadline = self.started.plus(limits.idle).plus(earned);
        let idle_deadline = self.progressed.plus(limits.idle);
        rate_deadline.min(idle_deadline).since(now)
    }
}
