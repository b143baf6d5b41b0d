//! Limits of a process on connections, memory and time.

use std::time::Duration;

use cumindeck_types::{ByteRate, ByteSize};
use thiserror::Error;

/// Part of the memory of a machine that bodies and answers may take.
const MEMORY_PER_REQUESTS: u64 = 8;

/// Percentage of the memory of a machine that connections may take without them.
const CONNECTIONS_PERCENT: u64 = 75;

/// Memory of a connection without bodies and answers: a head of 16 KiB, the state of its
/// task, and 8 KiB that were received and not read.
const CONNECTION_COST: ByteSize = ByteSize::from_kib(32);

/// Maximum time without a byte of a body, or of an answer that is not read.
const IDLE_TIME: Duration = Duration::from_secs(15);

/// Minimum rate of a body beyond the idle time.
const MIN_BODY_RATE: ByteSize = ByteSize::from_kib(8);

/// Limits that can't be kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum LimitsError {
    /// There is no room for a request that is within the limits.
    #[error("{requests} for requests are less than the largest request of {largest}")]
    BelowOneRequest {
        /// Memory for bodies and answers.
        requests: ByteSize,
        /// Largest legal request.
        largest: ByteSize,
    },
    /// Requests may take more than the machine has.
    #[error("{requests} for requests are more than half of the machine's memory of {memory}")]
    AboveMemory {
        /// Memory for bodies and answers.
        requests: ByteSize,
        /// Memory of the machine.
        memory: ByteSize,
    },
}

/// Limits of a process, the same for all its listeners.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IngressLimits {
    /// Maximum number of connections.
    pub connections: usize,
    /// Maximum memory of bodies and answers.
    pub requests: ByteSize,
    /// Maximum time without progress of a body or an answer.
    pub idle: Duration,
    /// Minimum rate of a body beyond that time.
    pub min_body_rate: ByteRate,
}

impl IngressLimits {
    /// Derives the limits from the memory of the machine; `requests` replaces the derived
    /// memory for bodies and answers, and `largest` is the largest legal request.
    pub fn new(
        memory: ByteSize,
        requests: Option<ByteSize>,
        connections: usize,
        largest: ByteSize,
    ) -> Result<Self, LimitsError> {
        let derived = ByteSize::new(memory.bytes() / MEMORY_PER_REQUESTS);
        let requests = requests.unwrap_or(derived);
        if requests < largest {
            return Err(LimitsError::BelowOneRequest { requests, largest });
        }
        if requests.bytes() > memory.bytes() / 2 {
            return Err(LimitsError::AboveMemory { requests, memory });
        }
        let affordable = memory.bytes() / 100 * CONNECTIONS_PERCENT / CONNECTION_COST.bytes();
        let affordable = usize::try_from(affordable).unwrap_or(usize::MAX);
        Ok(Self {
            connections: connections.min(affordable).max(1),
            requests,
            idle: IDLE_TIME,
            // The constant is not zero.
            min_body_rate: ByteRate::try_from(MIN_BODY_RATE).unwrap_or_else(|_| unreachable!()),
        })
    }
}
