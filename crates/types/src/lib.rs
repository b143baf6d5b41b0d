//! Validated identifiers, sizes, rates, times and verdicts shared by all crates.

mod id;
mod idempotency;
pub mod message;
mod shape;
mod size;
mod time;
mod trace;
mod verdict;

pub use id::{
    AgentId, Attempt, AvailabilityZone, ConfigVersion, EntryId, FencingToken, IdError, Incarnation,
    JobId, RackId, Region, RequestId, RingVersion, RunNumber, TaskIndex, TeamId, WorkerId,
    ZoneVersion,
};
pub use idempotency::{IdempotencyKey, KeyError};
pub use shape::{Cell, CellLevel, Shape, ShapeError};
pub use size::{ByteRate, ByteSize, PerSecond, SizeError};
pub use time::{Remaining, TimeError, Uptime, parse_duration};
pub use trace::{TraceContext, TraceError};
pub use verdict::{NotRunReason, UncertainReason, Verdict};
