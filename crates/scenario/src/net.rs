//! The links between nodes: delay, cuts and freezes.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cumindeck_types::Uptime;

use crate::message::{Message, NodeId};

/// Time that a message takes on a healthy link.
const DELAY: Duration = Duration::from_millis(20);

/// A message on its way.
#[derive(Debug)]
pub(crate) struct Sent {
    pub(crate) from: NodeId,
    pub(crate) to: NodeId,
    pub(crate) message: Message,
}

/// All links.
#[derive(Debug, Default)]
pub(crate) struct Net {
    on_way: BTreeMap<(Uptime, u64), Sent>,
    sent: u64,
    cut: BTreeSet<(NodeId, NodeId)>,
    slow: BTreeMap<(NodeId, NodeId), Duration>,
}

impl Net {
    /// Sends a message; a cut link loses it at once or on its way.
    pub(crate) fn send(&mut self, now: Uptime, from: NodeId, to: NodeId, message: Message) {
        let delay = self.slow.get(&(from, to)).copied().unwrap_or(DELAY);
        self.sent += 1;
        let sent = Sent { from, to, message };
        self.on_way.insert((now.plus(delay), self.sent), sent);
    }

    /// Returns the next message that has arrived.
    pub(crate) fn arrived(&mut self, now: Uptime) -> Option<Sent> {
        loop {
            let entry = self.on_way.first_entry()?;
            if entry.key().0 > now {
                return None;
            }
            let sent = entry.remove();
            if !self.cut.contains(&(sent.from, sent.to)) {
                return Some(sent);
            }
        }
    }

    /// Loses what is on its way to a process that ends or starts.
    ///
    /// A connection belongs to one incarnation of a process; what that incarnation has sent
    /// may still arrive.
    pub(crate) fn disconnect(&mut self, node: NodeId) {
        self.on_way.retain(|_, sent| sent.to != node);
    }

    /// Cuts the link from one node to another.
    pub(crate) fn cut(&mut self, from: NodeId, to: NodeId) {
        self.cut.insert((from, to));
    }

    /// Slows a link in both directions.
    pub(crate) fn slow(&mut self, one: NodeId, other: NodeId, delay: Duration) {
        self.slow.insert((one, other), delay);
        self.slow.insert((other, one), delay);
    }

    /// Makes all links healthy.
    pub(crate) fn heal(&mut self) {
        self.cut.clear();
        self.slow.clear();
    }

    /// Tells whether all links are healthy.
    pub(crate) fn is_healthy(&self) -> bool {
        self.cut.is_empty() && self.slow.is_empty()
    }
}
