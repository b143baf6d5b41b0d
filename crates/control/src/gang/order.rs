//! Inputs and effects of an agent's task table.

use cumindeck_types::message::{GangMember, Reserve, TaskAnswer};
use cumindeck_types::{AvailabilityZone, FencingToken, Uptime, ZoneVersion};

use crate::agent_lease::{AGENT_LEASE, HeldLease};
use crate::gang::TaskId;
use crate::zone::StartRights;

/// Identifies an order, so that its reply goes to the connection that it came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OrderId(pub u64);

/// The lease and the rights that an agent needs to run tasks.
#[derive(Debug, Clone, Copy)]
pub struct ExecutionRights<'a> {
    /// The agent's lease.
    pub lease: &'a HeldLease,
    /// The start rights that the agent knows.
    pub rights: &'a StartRights,
    /// The agent's availability zone.
    pub zone: &'a AvailabilityZone,
}

impl ExecutionRights<'_> {
    /// Returns until when the worker may run task processes
    /// without renewal by the agent.
    ///
    /// This is at most [`AGENT_LEASE`], far shorter than an outage lease, so that a task
    /// process whose agent died or was paused ends within 8 s, and the rest of its gang
    /// with it.
    #[must_use]
    pub fn worker_lease(&self, now: Uptime) -> Uptime {
        self.lease.expires().min(now.plus(AGENT_LEASE))
    }

    /// Checks the lease and the start right; returns the earlier of their expiry times.
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

/// An action that the owner of a [`TaskTable`](super::TaskTable) carries out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TaskEffect {
    /// Reply to an order.
    Answer(OrderId, TaskAnswer),
    /// Prepare a task at the worker, then call
    /// [`TaskTable::on_prepared`](super::TaskTable::on_prepared).
    Prepare(TaskId, Reserve),
    /// Check [`TaskTable::may_run`](super::TaskTable::may_run), start the task process,
    /// then call [`TaskTable::on_started`](super::TaskTable::on_started).
    Run {
        /// The prepared task.
        id: TaskId,
        /// The worker starts the task process before this time or not at all.
        not_after: Uptime,
        /// Agents of the gang, in the order of their tasks.
        members: Vec<GangMember>,
    },
    /// Write a checkpoint of the task process.
    Checkpoint(TaskId),
    /// Stop the task at the worker or release what was prepared, then call
    /// [`TaskTable::on_ended`](super::TaskTable::on_ended).
    Stop(TaskId),
}

/// How a task ended at the worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TaskEnd {
    /// The task process completed successfully.
    Succeeded,
    /// The task process ended with this error.
    Failed(String),
    /// The task was stopped or released.
    Stopped,
}
