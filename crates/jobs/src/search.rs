//! Leader discovery: which entries an agent sends its reports to.
//!
//! An agent keeps one query pending at the leader of the scheduler. While the
//! leader does not reply or is suspected to be replaced, the agent also queries
//! other entries, which keep the query until they know a newer leader, so that
//! a takeover reaches the agent without a further search.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use cumindeck_types::{FencingToken, Uptime};
use smallvec::SmallVec;

use crate::ExchangeReply;

/// Delay of the leader's reply after which other entries are queried.
///
/// It covers a hop to another region and back, and a process that is paused for
/// the rest of its processor quota.
const REPLY_MARGIN: Duration = Duration::from_millis(150);

/// Age of the store's confirmation after which the leader may have been replaced.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_millis(1_200);

/// Pause before an entry that is not the leader, or did not reply, is queried again.
const RETRY_DELAY: Duration = Duration::from_millis(120);

/// Entries beside the leader that are queried concurrently; one of them may be down too.
const MAX_CONCURRENT_QUERIES: usize = 2;

/// What an agent does with a reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SearchStep {
    /// The leader replied; its orders are carried out.
    Apply,
    /// The reply has no orders.
    Ignore,
}

/// State of the queries to an entry.
#[derive(Debug, Clone, Copy, Default)]
struct Query {
    /// Time at which the query in flight was sent.
    sent_at: Option<Uptime>,
    /// Earliest time of the next query.
    retry_at: Uptime,
}

/// An agent's search for the leader of the scheduler.
#[derive(Debug, Clone, Default)]
pub struct LeaderDiscovery {
    leader: Option<SocketAddr>,
    token: FencingToken,
    entries: Vec<SocketAddr>,
    queries: BTreeMap<SocketAddr, Query>,
    /// Whether the leader may have been replaced: it did not reply, or the store has
    /// not confirmed its leadership recently.
    is_suspect: bool,
    /// Index of the entry that is queried next, modulo the number of entries.
    next_entry: usize,
    /// Number of consecutive queries that got no reply.
    queries_without_reply: usize,
}

impl LeaderDiscovery {
    /// Maximum time for which an entry keeps a query pending.
    pub const ORDER_WAIT: Duration = Duration::from_millis(600);

    /// Returns the address of the leader, as far as known.
    #[must_use]
    pub const fn leader(&self) -> Option<SocketAddr> {
        self.leader
    }

    /// Returns the newest token that an entry replied with.
    #[must_use]
    pub const fn token(&self) -> FencingToken {
        self.token
    }

    /// Returns whether the list of entries has to be read from the store.
    #[must_use]
    pub const fn needs_entry_list(&self) -> bool {
        self.entries.is_empty() || self.queries_without_reply > self.entries.len()
    }

    /// Applies the entries and the leader that the store lists.
    pub fn on_entries(&mut self, leader: Option<SocketAddr>, entries: Vec<SocketAddr>) {
        self.queries_without_reply = 0;
        if entries.is_empty() {
            return;
        }
        self.entries = entries;
        self.leader = leader.or(self.leader);
    }

    /// Returns the entries to query now; each is recorded as queried.
    pub fn due(&mut self, now: Uptime) -> SmallVec<[SocketAddr; 4]> {
        let mut due = SmallVec::new();
        if let Some(leader) = self.leader
            && self.start_query(now, leader)
        {
            due.push(leader);
        }
        if !self.needs_other_entries(now) {
            return due;
        }
        let mut in_flight = self.queries_to_others();
        for _ in 0..self.entries.len() {
            if in_flight >= MAX_CONCURRENT_QUERIES {
                break;
            }
            let entry = self.entries[self.next_entry % self.entries.len()];
            self.next_entry += 1;
            if Some(entry) != self.leader && self.start_query(now, entry) {
                due.push(entry);
                in_flight += 1;
            }
        }
        due
    }

    /// Returns when to call [`due`](Self::due) again if no event comes before.
    #[must_use]
    pub fn next_wakeup(&self, now: Uptime) -> Option<Uptime> {
        let retries = self.queries.values().filter(|it| it.sent_at.is_none());
        let retries = retries.map(|query| query.retry_at);
        let leader_late_at = self
            .leader_query_sent()
            .map(|at| at.plus(leader_reply_timeout()));
        retries.chain(leader_late_at).filter(|at| *at > now).min()
    }

    /// Handles the reply of an entry.
    pub fn on_reply(&mut self, now: Uptime, from: SocketAddr, reply: &ExchangeReply) -> SearchStep {
        self.queries_without_reply = 0;
        if !reply.entries.is_empty() {
            self.entries.clone_from(&reply.entries);
        }
        if reply.is_leader && reply.token >= self.token {
            self.end_query(from, now);
            self.token = reply.token;
            self.leader = Some(from);
            self.is_suspect = Duration::from_millis(reply.confirmed_age_ms) > MAX_CONFIRMATION_AGE;
            return SearchStep::Apply;
        }
        self.end_query(from, now.plus(RETRY_DELAY));
        if reply.token > self.token {
            self.token = reply.token;
            self.leader = reply.leader.filter(|leader| *leader != from);
            self.is_suspect = false;
        } else if self.leader == Some(from) || self.leader.is_none() {
            // A former leader that is cut off from the store does not know its successor.
            self.leader = reply.leader.filter(|leader| *leader != from);
        }
        SearchStep::Ignore
    }

    /// Handles a query that an entry did not reply to in time.
    pub fn on_no_reply(&mut self, now: Uptime, from: SocketAddr) {
        self.queries_without_reply += 1;
        self.end_query(from, now.plus(RETRY_DELAY));
        if self.leader == Some(from) {
            self.is_suspect = true;
        }
    }

    /// Records a query unless one is in flight or was sent recently.
    fn start_query(&mut self, now: Uptime, entry: SocketAddr) -> bool {
        let query = self.queries.entry(entry).or_default();
        let may_send = query.sent_at.is_none() && now >= query.retry_at;
        if may_send {
            query.sent_at = Some(now);
        }
        may_send
    }

    fn end_query(&mut self, from: SocketAddr, retry_at: Uptime) {
        self.queries.insert(
            from,
            Query {
                sent_at: None,
                retry_at,
            },
        );
        // Addresses of entries that no longer exist are dropped.
        let (entries, leader) = (&self.entries, self.leader);
        self.queries.retain(|entry, query| {
            query.sent_at.is_some() || entries.contains(entry) || leader == Some(*entry)
        });
    }

    fn leader_query_sent(&self) -> Option<Uptime> {
        self.queries.get(&self.leader?)?.sent_at
    }

    fn queries_to_others(&self) -> usize {
        let is_other = |(entry, query): &(&SocketAddr, &Query)| {
            Some(**entry) != self.leader && query.sent_at.is_some()
        };
        self.queries.iter().filter(is_other).count()
    }

    /// Returns whether the leader is unknown, late to reply or suspected to be replaced.
    fn needs_other_entries(&self, now: Uptime) -> bool {
        let is_late = self
            .leader_query_sent()
            .is_none_or(|sent_at| now.since(sent_at) > leader_reply_timeout());
        self.is_suspect || is_late
    }
}

/// Returns the age of a query to the leader at which its reply is late.
fn leader_reply_timeout() -> Duration {
    LeaderDiscovery::ORDER_WAIT + REPLY_MARGIN
}
