//! Simulated links between nodes, with delays and cuts.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cumindeck_types::Uptime;

use crate::message::{Message, NodeId};

/// Time that a message takes on a healthy link.
const LINK_DELAY: Duration = Duration::from_millis(20);

/// A message in flight.
#[derive(Debug)]
pub(crate) struct Sent {
    pub(crate) from: NodeId,
    pub(crate) to: NodeId,
    pub(crate) message: Message,
}

/// The links between all nodes.
#[derive(Debug, Default)]
pub(crate) struct Net {
    in_flight: BTreeMap<(Uptime, u64), Sent>,
    sent: u64,
    cut: BTreeSet<(NodeId, NodeId)>,
    slow: BTreeMap<(NodeId, NodeId), Duration>,
}

impl Net {
    /// Sends a message; a link that is cut when it arrives drops it.
    pub(crate) fn send(&mut self, now: Uptime, from: NodeId, to: NodeId, message: Message) {
        let delay = self.slow.get(&(from, to)).copied().unwrap_or(LINK_DELAY);
        self.sent += 1;
        let sent = Sent { from, to, message };
        self.in_flight.insert((now.plus(delay), self.sent), sent);
    }

    /// Removes and returns the next message that has arrived by `now`.
    pub(crate) fn next_arrived(&mut self, now: Uptime) -> Option<Sent> {
        loop {
            let entry = self.in_flight.first_entry()?;
            if entry.key().0 > now {
                return None;
            }
            let sent = entry.remove();
            if !self.cut.contains(&(sent.from, sent.to)) {
                return Some(sent);
            }
        }
    }

    /// Drops messages in flight to a process that ends or starts.
    ///
    /// A connection belongs to one incarnation of a process. Messages that this
    /// incarnation has sent may still arrive.
    pub(crate) fn disconnect(&mut self, node: NodeId) {
        self.in_flight.retain(|_, sent| sent.to != node);
    }

    /// Cuts the link from one node to another.
    pub(crate) fn cut(&mut self, from: NodeId, to: NodeId) {
        self.cut.insert((from, to));
    }

    /// Delays messages between two nodes, in both directions.
    pub(crate) fn slow(&mut self, one: NodeId, other: NodeId, delay: Duration) {
        self.slow.insert((one, other), delay);
        self.slow.insert((other, one), delay);
    }

    /// Removes all cuts and delays.
    pub(crate) fn heal(&mut self) {
        self.cut.clear();
        self.slow.clear();
    }

    /// Returns whether no link is cut or slow.
    pub(crate) fn is_healthy(&self) -> bool {
        self.cut.is_empty() && self.slow.is_empty()
    }
}
