//! Heartbeats that the worker has not confirmed by an answer of its own.

use std::time::Duration;

use cumindeck_types::{Uptime, WorkerId};
use smallvec::SmallVec;

use crate::exchange::WorkerIncarnation;

/// Maximum number of claims; a further one replaces the oldest.
const MAX_CLAIMS: usize = 4;

/// Time for which a claim is checked after its last heartbeat; a live worker repeats it.
const CLAIM_LIFETIME: Duration = Duration::from_secs(5);

/// An incarnation that a heartbeat names.
#[derive(Debug, Clone)]
struct Claim {
    incarnation: WorkerIncarnation,
    heard_at: Uptime,
}

/// Incarnations that heartbeats name and that are not known to be beside the agent.
///
/// A heartbeat may come late or from another writer. Which worker is there shows in the
/// answer to a call that names the worker.
#[derive(Debug, Default)]
pub(super) struct Claims(SmallVec<[Claim; MAX_CLAIMS]>);

impl Claims {
    /// Creates an empty list.
    pub fn new() -> Self {
        Self(SmallVec::new())
    }

    /// Records a heartbeat.
    pub fn insert(&mut self, now: Uptime, incarnation: WorkerIncarnation) {
        let (worker, started_ms) = (&incarnation.worker, incarnation.started_ms);
        self.0
            .retain(|claim| !claim.incarnation.is(worker, started_ms));
        if self.0.len() == MAX_CLAIMS {
            self.0.remove(0);
        }
        self.0.push(Claim {
            incarnation,
            heard_at: now,
        });
    }

    /// Returns the worker to call next, and puts its claims last.
    pub fn next(&mut self, now: Uptime) -> Option<WorkerId> {
        self.0
            .retain(|claim| now.since(claim.heard_at) < CLAIM_LIFETIME);
        if self.0.is_empty() {
            return None;
        }
        let claim = self.0.remove(0);
        let worker = claim.incarnation.worker.clone();
        self.0.push(claim);
        Some(worker)
    }

    /// Takes the claim of an incarnation.
    pub fn take(&mut self, worker: &WorkerId, started_ms: u64) -> Option<WorkerIncarnation> {
        let is_same = |claim: &Claim| claim.incarnation.is(worker, started_ms);
        let at = self.0.iter().position(is_same)?;
        Some(self.0.remove(at).incarnation)
    }

    /// Drops the claims of a worker.
    pub fn remove(&mut self, worker: &WorkerId) {
        self.0.retain(|claim| claim.incarnation.worker != *worker);
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
