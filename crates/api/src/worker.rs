//! Workers, as operators see, drain and fence them.

use std::fmt::{self, Display, Formatter};

use cumindeck_types::{AvailabilityZone, Incarnation, RackId, Region, WorkerId};
use serde::{Deserialize, Serialize};

use crate::text;

/// Current state of a worker, built from its agent's last announcement.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerStatus {
    /// Id that the worker's agent announces.
    #[serde(with = "text")]
    pub id: WorkerId,
    /// The worker's availability zone.
    #[serde(with = "text")]
    pub zone: AvailabilityZone,
    /// The worker's region.
    #[serde(with = "text")]
    pub region: Region,
    /// The worker's rack.
    #[serde(with = "text")]
    pub rack: RackId,
    /// Incarnation of the worker's agent.
    #[serde(with = "text::counter")]
    pub incarnation: Incarnation,
    /// Health; a fence by an operator takes precedence over the agent's announcements.
    pub health: WorkerHealth,
    /// Whether an operator drains the worker.
    pub is_draining: bool,
    /// Number of accelerators.
    pub accelerators: u32,
    /// Number of accelerators in use by tasks.
    pub accelerators_used: u32,
    /// Maximum number of requests that the backend server runs concurrently.
    pub slots: u32,
    /// Number of requests that the backend server runs now.
    pub in_flight: u32,
    /// Maximum number of concurrent connections that the backend server accepts.
    pub connections: u32,
    /// Number of tasks that have not ended.
    pub tasks: u32,
}

/// Health of a worker, as the responding entry sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WorkerHealth {
    /// Accepts new work.
    Serving,
    /// Finishes its work and accepts no more.
    Leaving,
    /// No announcement of its agent for 3 s.
    Suspect,
    /// No announcement of its agent for 8 s.
    Gone,
    /// Several jobs failed on this worker that succeed elsewhere; known only to the
    /// leader of its region.
    Quarantined,
    /// An operator confirmed that the instance has terminated.
    Fenced,
}

impl Display for WorkerHealth {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Serving => "serving",
            Self::Leaving => "leaving",
            Self::Suspect => "suspect",
            Self::Gone => "gone",
            Self::Quarantined => "quarantined",
            Self::Fenced => "fenced",
        })
    }
}

/// Response to `GET /v1/workers`, filtered by `?zone=`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerList {
    /// Workers, ordered by id.
    pub workers: Vec<WorkerStatus>,
}

/// Filters of `GET /v1/workers`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerFilter {
    /// Only workers of this availability zone.
    #[serde(with = "text::option", default)]
    pub zone: Option<AvailabilityZone>,
}

/// Body of `PUT /v1/workers/{id}/drain`; the response is the new [`WorkerStatus`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerDrain {
    /// `true` stops new work on the worker, `false` allows it again.
    pub drain: bool,
}

/// Body of `PUT /v1/workers/{id}/fence`; the response is the new [`WorkerStatus`].
///
/// A fence lets the worker's tasks start elsewhere before their leases expire. If
/// the instance still runs, tasks run twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerFence {
    /// Operator's confirmation that the instance has terminated; `false` is rejected.
    pub verified_gone: bool,
    /// Incarnation of the terminated agent, so that a restarted agent is not fenced.
    #[serde(with = "text::counter")]
    pub incarnation: Incarnation,
}
