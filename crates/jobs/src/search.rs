//! Which entries an agent asks for orders.
//!
//! An agent keeps one question at the holder of the scheduling duty. While the
//! holder is silent or in doubt it also asks other entries, which keep the
//! question until they know a newer holder, so that a takeover reaches the
//! agent without a further search.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use cumindeck_types::{FencingToken, Uptime};
use smallvec::SmallVec;

use crate::ExchangeReply;

/// Lateness of the holder's answer after which other entries are asked.
///
/// It covers a region hop there and back and a process that stands still for
/// the rest of its processor quota.
const LATENESS: Duration = Duration::from_millis(150);

/// Age of the store's confirmation after which the holder may have been replaced.
const DOUBT: Duration = Duration::from_millis(1_200);

/// Pause before an entry that brought no holder is asked again.
const PAUSE: Duration = Duration::from_millis(120);

/// Entries beside the holder that are asked at a time; one of them may be down as well.
const WIDTH: usize = 2;

/// What an agent does with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SearchStep {
    /// The holder answered; its orders count.
    Follow,
    /// The answer brought no orders.
    Ignore,
}

/// Where a question to an entry stands.
#[derive(Debug, Clone, Copy, Default)]
struct Question {
    /// When it was sent, while its answer is awaited.
    asked: Option<Uptime>,
    /// Before this time the entry is not asked again.
    after: Uptime,
}

/// An agent's search for the holder of the duty.
#[derive(Debug, Clone, Default)]
pub struct HolderSearch {
    holder: Option<SocketAddr>,
    token: FencingToken,
    entries: Vec<SocketAddr>,
    questions: BTreeMap<SocketAddr, Question>,
    /// Whether the store did not confirm the holder's duty lately.
    is_doubtful: bool,
    /// Where the next look through the entries begins.
    next: usize,
    /// Questions in a row that no entry answered.
    silences: usize,
}

impl HolderSearch {
    /// Wait for orders that a question to an entry allows.
    pub const ORDER_WAIT: Duration = Duration::from_millis(600);

    /// Returns the holder as far as known.
    #[must_use]
    pub const fn holder(&self) -> Option<SocketAddr> {
        self.holder
    }

    /// Returns the newest token that an entry named.
    #[must_use]
    pub const fn token(&self) -> FencingToken {
        self.token
    }

    /// Tells whether the store has to be asked for the entries.
    #[must_use]
    pub const fn needs_store(&self) -> bool {
        self.entries.is_empty() || self.silences > self.entries.len()
    }

    /// Takes the entries and the holder that the store names.
    pub fn on_entries(&mut self, holder: Option<SocketAddr>, entries: Vec<SocketAddr>) {
        self.silences = 0;
        if entries.is_empty() {
            return;
        }
        self.entries = entries;
        self.holder = holder.or(self.holder);
    }

    /// Returns the entries to ask now; each counts as asked.
    pub fn due(&mut self, now: Uptime) -> SmallVec<[SocketAddr; 4]> {
        let mut due = SmallVec::new();
        if let Some(holder) = self.holder
            && self.ask(now, holder)
        {
            due.push(holder);
        }
        if !self.is_holder_missing(now) {
            return due;
        }
        let mut awaited = self.awaited_others();
        for _ in 0..self.entries.len() {
            if awaited >= WIDTH {
                break;
            }
            let entry = self.entries[self.next % self.entries.len()];
            self.next += 1;
            if Some(entry) != self.holder && self.ask(now, entry) {
                due.push(entry);
                awaited += 1;
            }
        }
        due
    }

    /// Returns when [`due`](Self::due) may bring something without an event.
    #[must_use]
    pub fn next_wakeup(&self, now: Uptime) -> Option<Uptime> {
        let pauses = self.questions.values().filter(|it| it.asked.is_none());
        let pauses = pauses.map(|question| question.after);
        let lateness = self.holder_asked().map(|at| at.plus(patience()));
        pauses.chain(lateness).filter(|at| *at > now).min()
    }

    /// Takes an answer of an entry.
    pub fn on_reply(&mut self, now: Uptime, from: SocketAddr, reply: &ExchangeReply) -> SearchStep {
        self.silences = 0;
        if !reply.entries.is_empty() {
            self.entries.clone_from(&reply.entries);
        }
        if reply.is_holder && reply.token >= self.token {
            self.answered(from, now);
            self.token = reply.token;
            self.holder = Some(from);
            self.is_doubtful = Duration::from_millis(reply.confirmed_age_ms) > DOUBT;
            return SearchStep::Follow;
        }
        self.answered(from, now.plus(PAUSE));
        if reply.token > self.token {
            self.token = reply.token;
            self.holder = reply.holder.filter(|holder| *holder != from);
            self.is_doubtful = false;
        } else if self.holder == Some(from) || self.holder.is_none() {
            // A former holder that is cut off from the store knows no successor.
            self.holder = reply.holder.filter(|holder| *holder != from);
        }
        SearchStep::Ignore
    }

    /// Notes that an entry did not answer.
    pub fn on_silence(&mut self, now: Uptime, from: SocketAddr) {
        self.silences += 1;
        self.answered(from, now.plus(PAUSE));
        if self.holder == Some(from) {
            self.is_doubtful = true;
        }
    }

    /// Notes a question to an entry unless one is open or too recent.
    fn ask(&mut self, now: Uptime, entry: SocketAddr) -> bool {
        let question = self.questions.entry(entry).or_default();
        let may_ask = question.asked.is_none() && now >= question.after;
        if may_ask {
            question.asked = Some(now);
        }
        may_ask
    }

    fn answered(&mut self, from: SocketAddr, after: Uptime) {
        self.questions.insert(from, Question { asked: None, after });
        // Addresses of entries that are gone are not kept.
        let (entries, holder) = (&self.entries, self.holder);
        self.questions.retain(|entry, question| {
            question.asked.is_some() || entries.contains(entry) || holder == Some(*entry)
        });
    }

    fn holder_asked(&self) -> Option<Uptime> {
        self.questions.get(&self.holder?)?.asked
    }

    fn awaited_others(&self) -> usize {
        let is_other = |(entry, question): &(&SocketAddr, &Question)| {
            Some(**entry) != self.holder && question.asked.is_some()
        };
        self.questions.iter().filter(is_other).count()
    }

    /// Tells whether the holder is unknown, silent or in doubt.
    fn is_holder_missing(&self, now: Uptime) -> bool {
        let is_late = self
            .holder_asked()
            .is_none_or(|asked| now.since(asked) > patience());
        self.is_doubtful || is_late
    }
}

/// Returns the age of a question to the holder at which its answer is late.
fn patience() -> Duration {
    HolderSearch::ORDER_WAIT + LATENESS
}
