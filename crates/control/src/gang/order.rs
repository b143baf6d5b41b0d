//! What goes in and out of an agent's task table.

use cumindeck_types::message::{GangMember, Reserve, TaskAnswer};
use cumindeck_types::{AvailabilityZone, FencingToken, Uptime, ZoneVersion};

use crate::agent_lease::{AGENT_LEASE, HeldLease};
use crate::gang::TaskId;
use crate::zone::StartRights;

/// Names an order, so that its answer finds the connection it came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OrderId(pub u64);

/// What an agent must hold to run tasks.
#[derive(Debug, Clone, Copy)]
pub struct Guards<'a> {
    /// The agent's lease.
    pub lease: &'a HeldLease,
    /// The start rights that the agent knows.
    pub rights: &'a StartRights,
    /// The agent's availability zone.
    pub zone: &'a AvailabilityZone,
}

impl Guards<'_> {
    /// Returns until when the worker may run bodies without hearing from the agent.
    ///
    /// Far shorter than an outage lease: a body whose agent died or was frozen
    /// ends within 8 s, and the rest of its gang with it.
    #[must_use]
    pub fn worker_lease(&self, now: Uptime) -> Uptime {
        self.lease.expires().min(now.plus(AGENT_LEASE))
    }

    /// Checks the lease and the start right; returns the end of the earlier one.
    pub(super) fn check(
        &self,
        now: Uptime,
        token: FencingToken,
        version: ZoneVersion,
    ) -> Result<Uptime, TaskAnswer> {
        if token < self.lease.token() {
            return Err(TaskAnswer::StaleToken);
        }
        if token > self.lease.token() || !self.lease.is_live(now) {
            return Err(TaskAnswer::NoLease);
        }
        let Some(expires) = self.rights.may_start(now, self.zone, version) else {
            return Err(TaskAnswer::NoRight);
        };
        Ok(expires.min(self.lease.expires()))
    }
}

/// What the owner of a [`TaskTable`](super::TaskTable) does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TaskEffect {
    /// Answer an order.
    Answer(OrderId, TaskAnswer),
    /// Prepare a task at the worker, then call [`TaskTable::on_prepared`](super::TaskTable::on_prepared).
    Prepare(TaskId, Reserve),
    /// Check [`TaskTable::may_run`](super::TaskTable::may_run), run the body, then call [`TaskTable::on_started`](super::TaskTable::on_started).
    Run {
        /// The task.
        id: TaskId,
        /// The worker starts the body before this time or not at all.
        not_after: Uptime,
        /// Agents of the gang, in the order of their tasks.
        members: Vec<GangMember>,
    },
    /// Write a checkpoint of the body.
    Checkpoint(TaskId),
    /// Stop or release the task at the worker, then call [`TaskTable::on_ended`](super::TaskTable::on_ended).
    Stop(TaskId),
}

/// How a task ended at the worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TaskEnd {
    /// The body ended well.
    Succeeded,
    /// The body ended with an error.
    Failed(String),
    /// The task was stopped or released.
    Stopped,
}
