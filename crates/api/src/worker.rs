//! Workers.

use std::fmt::{self, Display, Formatter};

use cumindeck_types::{AvailabilityZone, Incarnation, RackId, Region, WorkerId};
use serde::{Deserialize, Serialize};

use crate::text;

/// A worker as it is now.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerStatus {
    /// The worker.
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
    /// Incarnation of the agent beside it.
    #[serde(with = "text::counter")]
    pub incarnation: Incarnation,
    /// Health.
    pub health: WorkerHealth,
    /// Whether operators drain the worker.
    pub is_draining: bool,
    /// Accelerators.
    pub accelerators: u32,
    /// Accelerators in use by tasks.
    pub accelerators_used: u32,
    /// Requests that the backend server can run at once.
    pub slots: u32,
    /// Requests that run now.
    pub in_flight: u32,
    /// Connections that the backend server accepts at once.
    pub connections: u32,
    /// Tasks that run.
    pub tasks: u32,
}

/// Health of a worker, as its region's duty holder sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WorkerHealth {
    /// It takes new work.
    Serving,
    /// It finishes its work and takes no more.
    Leaving,
    /// It hasn't announced itself for 3 s.
    Suspect,
    /// It hasn't announced itself for 8 s.
    Gone,
    /// Several jobs failed on it that succeed elsewhere.
    Quarantined,
    /// An operator confirmed that it is gone.
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

/// Answer to `GET /v1/workers`, filtered by `?zone=`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerList {
    /// Workers in order of their id.
    pub workers: Vec<WorkerStatus>,
}

/// Filter of `GET /v1/workers`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerFilter {
    /// Only workers of this availability zone.
    #[serde(with = "text::option", default)]
    pub zone: Option<AvailabilityZone>,
}

/// Body of `PUT /v1/workers/{id}/drain`; the answer is the new
/// [`WorkerStatus`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerDrain {
    /// Whether the worker takes no new work.
    pub drain: bool,
}

/// Body of `PUT /v1/workers/{id}/fence`; the answer is the new
/// [`WorkerStatus`].
///
/// A fence lets the worker's tasks start elsewhere before their leases end. If
/// the instance still runs, tasks run twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerFence {
    /// The operator confirms that the instance is gone; `false` is refused.
    pub verified_gone: bool,
    /// Incarnation of the agent that is gone, so that a restarted agent is not fenced.
    #[serde(with = "text::counter")]
    pub incarnation: Incarnation,
}
