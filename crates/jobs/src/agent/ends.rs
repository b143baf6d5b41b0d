//! Which ends of runs the worker may drop, and whether it drops others.

use std::time::Duration;

use cumindeck_types::{RunNumber, Uptime, WorkerId};

use super::call::{AckOutcome, Acknowledgement, MAX_CALL_DELAY};
use crate::TaskId;
use crate::exchange::{EndListing, EndReport};

/// Time after a lost end until another run shows whether ends are listed again.
const PROBE_RETRY_DELAY: Duration = Duration::from_secs(5);

/// Whether the worker lists the ends of its runs.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Listing {
    /// It lists all of them.
    Complete,
    /// It may drop some until this time, and from then on as well if it already does.
    Doubtful(Uptime),
    /// The end of the next run, which is stopped at once, shows it.
    Probing(Option<(TaskId, RunNumber)>),
}

/// Acknowledgements to the worker, and the doubt whether it has got one that was meant for
/// its former incarnation.
///
/// A call names the worker's id only. One that has started again under its id and gets such
/// an acknowledgement drops each of its ends up to that number as it occurs, and what became
/// of the run can't be learned any more.
#[derive(Debug)]
pub(super) struct EndWatch {
    /// Number up to which the worker has dropped its ends as acknowledged.
    acknowledged: u64,
    /// Number of the newest end that was listed; `None` if the numbers of the ends before
    /// are not known.
    newest: Option<u64>,
    /// Worker that may still carry out an acknowledgement without an answer, and when that
    /// was sent.
    unanswered: Option<(WorkerId, Uptime)>,
    /// When this process first reached a worker: calls of an earlier process of the agent
    /// were sent before.
    first_reached_at: Option<Uptime>,
    /// Last answer of the incarnation: the next one started later.
    answered_at: Uptime,
    listing: Listing,
    /// Whether a probe has shown that this incarnation lists its ends.
    is_proven: bool,
}

impl EndWatch {
    /// Creates the state of an agent that has not reached a worker.
    pub const fn new() -> Self {
        Self {
            acknowledged: 0,
            newest: None,
            unanswered: None,
            first_reached_at: None,
            answered_at: Uptime::ZERO,
            listing: Listing::Complete,
            is_proven: false,
        }
    }

    /// Starts anew for an incarnation of a worker; `is_successor` says that it has started
    /// after the one that was known, so that its ends are numbered from 1.
    pub fn on_incarnation(&mut self, now: Uptime, worker: &WorkerId, is_successor: bool) {
        self.acknowledged = 0;
        self.is_proven = false;
        self.newest = is_successor.then_some(0);
        let since_start = self.first_reached_at.filter(|_| is_successor);
        self.first_reached_at.get_or_insert(now);
        let unanswered = self.unanswered.as_ref();
        let unanswered = unanswered.and_then(|(to, at)| (to == worker).then_some(*at));
        let sent_at = unanswered.max(since_start);
        self.listing = match sent_at.map(|at| at.plus(MAX_CALL_DELAY)) {
            // Later, its former incarnation was still there, which may well get it.
            Some(until) if until > self.answered_at => Listing::Doubtful(until),
            Some(_) | None => Listing::Complete,
        };
        self.answered_at = now;
    }

    /// Returns the acknowledgement that is due, given the newest end that is recorded.
    pub fn due(&self, recorded: u64, started_ms: u64) -> Option<Acknowledgement> {
        (recorded > self.acknowledged).then_some(Acknowledgement {
            started_ms,
            up_to: recorded,
        })
    }

    /// Records the outcome of an acknowledgement of the ends up to a number.
    pub fn on_acknowledged(
        &mut self,
        now: Uptime,
        worker: &WorkerId,
        up_to: u64,
        outcome: AckOutcome,
    ) {
        match outcome {
            AckOutcome::NotSent => {}
            AckOutcome::Done => self.acknowledged = self.acknowledged.max(up_to),
            AckOutcome::Unknown => self.unanswered = Some((worker.clone(), now)),
        }
    }

    /// Handles the listed ends, in the order of their numbers; returns whether one before
    /// them is missing.
    pub fn on_listed(&mut self, now: Uptime, ends: &[EndReport]) -> bool {
        self.answered_at = now;
        let mut is_missing = false;
        for end in ends {
            let number = end.number;
            if self.newest.is_some_and(|newest| number <= newest) {
                continue;
            }
            is_missing |= self.newest.is_some_and(|newest| number > newest + 1);
            self.newest = Some(number);
            if matches!(&self.listing, Listing::Probing(Some((task, run))) if end.task == *task && end.run == *run)
            {
                self.listing = Listing::Complete;
                self.is_proven = true;
            }
        }
        if is_missing {
            self.doubt(now);
        }
        is_missing
    }

    /// Handles a run that has left the lists without an end.
    pub fn on_lost(&mut self, now: Uptime, task: &TaskId, run: RunNumber) {
        match &self.listing {
            Listing::Complete | Listing::Probing(None) => self.doubt(now),
            Listing::Probing(Some((probe, probe_run))) if probe == task && *probe_run == run => {
                self.listing = Listing::Doubtful(now.plus(PROBE_RETRY_DELAY));
            }
            Listing::Doubtful(_) | Listing::Probing(Some(_)) => {}
        }
    }

    /// Handles the doubt of an earlier process of the agent, whose calls may still come.
    pub fn on_inherited_doubt(&mut self, now: Uptime) {
        if self.listing == Listing::Complete && !self.is_proven {
            let until = self.first_reached_at.unwrap_or(now).plus(MAX_CALL_DELAY);
            self.listing = Listing::Doubtful(until);
        }
    }

    fn doubt(&mut self, now: Uptime) {
        if !matches!(self.listing, Listing::Doubtful(_)) {
            self.listing = Listing::Doubtful(now);
        }
    }

    /// Ends a doubt whose time is over with a probe.
    pub fn advance(&mut self, now: Uptime) {
        if matches!(self.listing, Listing::Doubtful(until) if now >= until) {
            self.listing = Listing::Probing(None);
        }
    }

    /// Returns whether a run may start; one that starts while the listing is probed is the
    /// probe.
    pub fn may_start(&self) -> bool {
        matches!(self.listing, Listing::Complete | Listing::Probing(None))
    }

    /// Returns what the leader is told.
    pub fn state(&self) -> EndListing {
        match self.listing {
            Listing::Complete if !self.is_proven => EndListing::Assumed,
            Listing::Complete => EndListing::Proven,
            Listing::Probing(None) => EndListing::Probing,
            Listing::Doubtful(_) | Listing::Probing(Some(_)) => EndListing::Doubted,
        }
    }

    /// Handles the start of a run.
    pub fn on_start(&mut self, task: &TaskId, run: RunNumber) {
        if self.listing == Listing::Probing(None) {
            self.listing = Listing::Probing(Some((task.clone(), run)));
        }
    }

    /// Returns whether a run is the probe.
    pub fn is_probe(&self, task: &TaskId, run: RunNumber) -> bool {
        matches!(&self.listing, Listing::Probing(Some((probe, probe_run))) if probe == task && *probe_run == run)
    }

    /// Handles a run that has not started; another one may be the probe.
    pub fn on_not_started(&mut self, task: &TaskId, run: RunNumber) {
        if self.is_probe(task, run) {
            self.listing = Listing::Probing(None);
        }
    }
}
