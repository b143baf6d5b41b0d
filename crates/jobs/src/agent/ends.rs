//! Which ends of runs the worker may drop, and whether it drops others.

use cumindeck_types::{RunNumber, Uptime, WorkerId};

use super::call::{AckOutcome, Acknowledgement, MAX_CALL_DELAY};
use crate::TaskId;
use crate::exchange::{EndListing, EndReport};

/// Whether the worker lists the ends of its runs.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Listing {
    /// It lists all of them.
    Complete,
    /// The leader has to tell whether it knows the incarnation, in the reply to a report
    /// after this one.
    Unconfirmed(u64),
    /// It may drop some, and may still get an acknowledgement of an earlier process.
    Doubtful,
    /// It may drop some, but gets no late acknowledgement any more; the first listed end of a
    /// run shows it. A leader of an earlier version orders one run for it, which is kept here
    /// and stopped at once.
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
    /// Whether no newer call has been answered since an acknowledgement without an answer.
    is_unfenced: bool,
    /// When this process first reached a worker: calls of an earlier process of the agent
    /// were sent before.
    first_reached_at: Option<Uptime>,
    /// Last answer of the incarnation: the next one started later.
    answered_at: Uptime,
    listing: Listing,
    /// Whether an end has shown that this incarnation lists its ends.
    is_proven: bool,
}

impl EndWatch {
    /// Creates the state of an agent that has not reached a worker.
    pub const fn new() -> Self {
        Self {
            acknowledged: 0,
            newest: None,
            unanswered: None,
            is_unfenced: false,
            first_reached_at: None,
            answered_at: Uptime::ZERO,
            listing: Listing::Complete,
            is_proven: false,
        }
    }

    /// Starts anew for an incarnation of a worker that was reached after the report with
    /// this number; `is_successor` says that it has started after the one that was known, so
    /// that its ends are numbered from 1.
    pub fn on_incarnation(
        &mut self,
        now: Uptime,
        worker: &WorkerId,
        is_successor: bool,
        report: u64,
    ) {
        self.acknowledged = 0;
        self.is_proven = false;
        self.is_unfenced = false;
        self.newest = is_successor.then_some(0);
        let is_first = self.first_reached_at.is_none();
        let first_reached_at = *self.first_reached_at.get_or_insert(now);
        let since_start = is_successor.then_some(first_reached_at);
        let sent_at = self.unanswered_at(worker).max(since_start);
        // Later, its former incarnation was still there, which may well get it.
        let is_exposed = sent_at.is_some_and(|at| at.plus(MAX_CALL_DELAY) > self.answered_at);
        self.listing = match is_exposed {
            _ if is_first => Listing::Unconfirmed(report),
            true => Listing::Doubtful,
            false => Listing::Complete,
        };
        self.answered_at = now;
    }

    /// Handles the same incarnation that was given up and has answered again.
    pub fn on_found_again(&mut self, now: Uptime) {
        if self.is_probing() {
            self.listing = Listing::Probing(None);
        }
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
            AckOutcome::Unknown => {
                self.unanswered = Some((worker.clone(), now));
                self.is_unfenced = true;
            }
        }
    }

    /// Returns when the last acknowledgement to a worker was sent that has no answer.
    fn unanswered_at(&self, worker: &WorkerId) -> Option<Uptime> {
        let unanswered = self.unanswered.as_ref();
        unanswered.and_then(|(to, at)| (to == worker).then_some(*at))
    }

    /// Returns whether a successor of the worker, which the agent need not know of yet, may
    /// have got an acknowledgement: the incarnation has not answered since the last time at
    /// which one may have been carried out.
    pub fn is_exposed(&self, worker: &WorkerId) -> bool {
        let sent_at = self.unanswered_at(worker).max(self.first_reached_at);
        sent_at.is_some_and(|at| self.answered_at < at.plus(MAX_CALL_DELAY))
    }

    /// Handles the answer of the incarnation to a call; `is_newest` says that the call had a
    /// newer token than all acknowledgements without an answer.
    pub fn on_answer(&mut self, is_newest: bool) {
        if is_newest {
            self.is_unfenced = false;
            if self.listing == Listing::Doubtful {
                self.listing = Listing::Probing(None);
            }
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
            let former = self.newest.replace(number);
            // Ends before may have been dropped; all later ones are listed.
            if self.is_probing() {
                self.listing = Listing::Complete;
                self.is_proven = true;
                continue;
            }
            is_missing |= former.is_some_and(|newest| number > newest + 1);
        }
        if is_missing {
            self.doubt();
        }
        is_missing
    }

    /// Handles a run that has left the lists without an end.
    pub fn on_lost(&mut self, task: &TaskId, run: RunNumber) {
        match &self.listing {
            Listing::Complete | Listing::Unconfirmed(_) | Listing::Probing(None) => self.doubt(),
            Listing::Probing(Some(_)) if self.is_probe(task, run) => self.doubt(),
            Listing::Doubtful | Listing::Probing(Some(_)) => {}
        }
    }

    /// Handles the leader's reply to a report: whether it knows the incarnation from an
    /// earlier process of the agent, or a doubt of that process.
    pub fn on_reply(&mut self, report: u64, is_known: bool, is_doubted: bool) {
        match self.listing {
            Listing::Unconfirmed(after) if report > after => {
                self.listing = match is_known && !is_doubted {
                    true => Listing::Complete,
                    false => Listing::Doubtful,
                };
            }
            Listing::Complete if is_doubted && !self.is_proven => self.doubt(),
            _ => {}
        }
    }

    fn doubt(&mut self) {
        self.listing = Listing::Doubtful;
        self.is_proven = false;
    }

    /// Returns whether a run may start.
    pub fn may_start(&self) -> bool {
        self.listing == Listing::Complete && !self.is_unfenced
    }

    /// Returns whether a run may start that shows whether the worker lists its end.
    pub fn may_probe(&self) -> bool {
        self.listing == Listing::Probing(None) && !self.is_unfenced
    }

    /// Returns whether the worker may drop ends and gets no late acknowledgement any more.
    pub const fn is_probing(&self) -> bool {
        matches!(self.listing, Listing::Probing(_))
    }

    /// Returns whether a newer call has to be answered before the worker gets runs.
    pub const fn is_unfenced(&self) -> bool {
        self.is_unfenced
    }

    /// Returns whether the leader is asked for the incarnation.
    pub const fn is_unconfirmed(&self) -> bool {
        matches!(self.listing, Listing::Unconfirmed(_))
    }

    /// Returns what the leader is told.
    pub fn state(&self) -> EndListing {
        match self.listing {
            Listing::Complete if self.is_proven => EndListing::Proven,
            Listing::Complete | Listing::Unconfirmed(_) => EndListing::Assumed,
            Listing::Probing(None) => EndListing::Probing,
            Listing::Doubtful | Listing::Probing(Some(_)) => EndListing::Doubted,
        }
    }

    /// Handles the start of a run that shows whether the worker lists its end.
    pub fn on_probe(&mut self, task: &TaskId, run: RunNumber) {
        if self.is_probing() {
            self.listing = Listing::Probing(Some((task.clone(), run)));
        }
    }

    /// Returns whether a run is the one that shows whether the worker lists its end.
    pub fn is_probe(&self, task: &TaskId, run: RunNumber) -> bool {
        matches!(&self.listing, Listing::Probing(Some((probe, probe_run))) if probe == task && *probe_run == run)
    }

    /// Handles a run that shows nothing, as it has not started; another one may.
    pub fn on_not_started(&mut self, task: &TaskId, run: RunNumber) {
        if self.is_probe(task, run) {
            self.listing = Listing::Probing(None);
        }
    }
}
