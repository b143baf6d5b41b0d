//! Doubts whether a worker lists all ends, which outlast the agent's process.

use std::time::Duration;

use cumindeck_types::{FencingToken, Incarnation, Uptime, WorkerId};

use super::Scheduler;
use crate::exchange::{AgentReport, EndListing};
use crate::rows::{DoubtedWorker, LeaderRow, WorkerRow};

/// Maximum number of workers that the leader row lists.
const MAX_DOUBTED: usize = 32;

/// Time after a takeover for which the workers of the former leader's row are kept; a worker
/// whose agent has not reported by then has left.
const FORMER_RETENTION: Duration = Duration::from_secs(30);

/// Token of the first leader of a site.
const FIRST_TOKEN: FencingToken = FencingToken::new(1);

/// What the leader knows of an agent's worker beyond the agent's process.
///
/// An agent that has just started knows neither what its former process has doubted nor
/// whether the worker has started again meanwhile; late calls of that process may still
/// reach it.
#[derive(Debug, Clone, Default)]
pub(super) struct KnownEnds {
    /// Last known incarnation of the worker: its id and start time.
    worker: Option<(WorkerId, u64)>,
    /// Process of the agent that has reported it.
    process: Incarnation,
    is_doubted: bool,
    /// Whether the agent's current process has to be told of a doubt.
    is_inherited: bool,
    /// Whether the incarnation was known, without a doubt, before the agent's current process
    /// reported it.
    is_known: bool,
    /// Whether the agent's current process asks for that.
    is_asked_for: bool,
    /// Whether a run has to show if the worker lists its end.
    is_probing: bool,
    /// Whether such a run may last longer than its lease.
    has_long_lease: bool,
}

impl KnownEnds {
    /// Applies a report to the leader that has written this row; `recorded` is the worker
    /// that the agent had last, as far as leaders have recorded it.
    pub fn on_report(
        &mut self,
        report: &AgentReport,
        leader: &LeaderRow,
        recorded: Option<&WorkerRow>,
    ) {
        let Some(incarnation) = &report.worker_incarnation else {
            return;
        };
        let is_recorded = || {
            let mut recorded = leader.doubted.iter();
            recorded.any(|it| it.worker == incarnation.worker)
        };
        let is_same = |(worker, started_ms): &(WorkerId, u64)| {
            (*worker == incarnation.worker).then_some(*started_ms == incarnation.started_ms)
        };
        let is_same_start = self.worker.as_ref().and_then(is_same);
        self.is_inherited = match (report.incarnation == self.process, is_same_start) {
            (true, Some(true)) => self.is_inherited,
            (true, Some(false) | None) => false,
            (false, Some(is_same_start)) => !is_same_start || self.is_doubted,
            (false, None) => is_recorded(),
        };
        // A worker whose id is new to its agent gets no calls of a former incarnation. No
        // earlier process has made calls that a leader from the start on does not know of.
        let is_vouched_for = match recorded {
            Some(row) if row.worker == incarnation.worker => {
                row.started_ms == incarnation.started_ms && !row.is_doubted
            }
            Some(_) => true,
            // Ends of an agent's worker are acknowledged after it is recorded.
            None => leader.workers_since == Some(FIRST_TOKEN),
        };
        let is_new = self.worker.is_some() || leader.token == FIRST_TOKEN || is_vouched_for;
        self.is_known = match (report.incarnation == self.process, is_same_start) {
            (true, Some(true)) => self.is_known,
            (_, Some(is_same_start)) => is_same_start && !self.is_doubted,
            (_, None) => is_new && !is_recorded(),
        };
        self.is_asked_for = report.asks_for_incarnation;
        self.is_probing = report.end_listing == EndListing::Probing;
        self.has_long_lease = report.has_long_lease;
        // A process that has doubts of its own, or has settled them, need not be told.
        self.is_inherited &= report.end_listing == EndListing::Assumed;
        self.is_doubted = report.end_listing.is_doubted() || self.is_inherited || self.is_unknown();
        self.worker = Some((incarnation.worker.clone(), incarnation.started_ms));
        self.process = report.incarnation;
    }

    /// Returns whether the agent has to be told of a doubt.
    pub const fn is_inherited(&self) -> bool {
        self.is_inherited
    }

    /// Returns whether the incarnation was known, without a doubt, before the agent's current
    /// process reported it.
    pub const fn is_known(&self) -> bool {
        self.is_known
    }

    /// Returns whether the agent's current process asks for an incarnation that is not known.
    pub const fn is_unknown(&self) -> bool {
        self.is_asked_for && !self.is_known
    }

    /// Returns whether the agent's current process asks for that.
    pub const fn is_asked_for(&self) -> bool {
        self.is_asked_for
    }

    /// Returns whether the worker gets no tasks until a run has shown that it lists ends.
    pub const fn is_doubted(&self) -> bool {
        self.is_doubted
    }

    /// Returns whether such a run may last longer than its lease, until it is stopped.
    pub const fn has_long_lease(&self) -> bool {
        self.has_long_lease
    }

    /// Returns whether such a run may start.
    pub const fn is_probing(&self) -> bool {
        self.is_probing
    }
}

impl Scheduler {
    /// Returns the workers that may drop ends of their runs: those that agents have reported
    /// to this leader, and those of the former one whose agents have not reported yet.
    pub(super) fn doubted_workers(&self, now: Uptime) -> Vec<DoubtedWorker> {
        let known = self.workers.values().map(|worker| &worker.known_ends);
        let known: Vec<&KnownEnds> = known.filter(|ends| ends.worker.is_some()).collect();
        let is_unknown = |doubted: &&DoubtedWorker| {
            let is_same = |ends: &&KnownEnds| {
                let worker = ends.worker.as_ref();
                worker.is_some_and(|(worker, _)| *worker == doubted.worker)
            };
            !known.iter().any(is_same)
        };
        let is_kept = now.since(self.taken_over_at) < FORMER_RETENTION;
        let former = self.leader_row.doubted.iter().filter(|_| is_kept);
        let unknown = former.filter(is_unknown).cloned();
        let doubted = known.iter().filter(|ends| ends.is_doubted);
        let doubted = doubted.filter_map(|ends| ends.worker.clone());
        let doubted = doubted.map(|(worker, started_ms)| DoubtedWorker { worker, started_ms });
        doubted.chain(unknown).take(MAX_DOUBTED).collect()
    }
}
