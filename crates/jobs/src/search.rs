//! Which entry an agent asks for orders.

use std::net::SocketAddr;

use cumindeck_types::FencingToken;

use crate::ExchangeReply;

/// Questions to other entries before a silent holder is asked again.
///
/// Each takes a pause of 120 ms; a holder that is gone costs a long wait.
const SILENT_SKIPS: u32 = 5;

/// What an agent does after an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SearchStep {
    /// The holder answered; its orders count.
    Follow,
    /// Ask again, after a pause.
    AskAgain,
    /// Read the entries from the store, then ask again.
    ReadStore,
}

/// An agent's search for the holder of the duty.
#[derive(Debug, Clone, Default)]
pub struct HolderSearch {
    target: Option<SocketAddr>,
    entries: Vec<SocketAddr>,
    tried: usize,
    token: FencingToken,
    silent: Option<Silent>,
}

/// A holder that did not answer.
#[derive(Debug, Clone, Copy)]
struct Silent {
    entry: SocketAddr,
    /// Token under which it held the duty.
    token: FencingToken,
    /// Questions to other entries before it is asked again.
    skips: u32,
}

impl HolderSearch {
    /// Returns the entry to ask.
    #[must_use]
    pub const fn target(&self) -> Option<SocketAddr> {
        self.target
    }

    /// Takes the entries that the store names.
    pub fn on_entries(&mut self, holder: Option<SocketAddr>, entries: Vec<SocketAddr>) {
        if entries.is_empty() {
            return;
        }
        self.entries = entries;
        self.target = holder
            .filter(|holder| !self.is_silent(*holder, self.token))
            .or(self.target)
            .or(self.entries.first().copied());
    }

    /// Takes an answer of an entry.
    pub fn on_reply(&mut self, from: SocketAddr, reply: &ExchangeReply) -> SearchStep {
        if !reply.entries.is_empty() {
            self.entries.clone_from(&reply.entries);
        }
        if reply.is_holder && reply.token >= self.token {
            self.token = reply.token;
            self.target = Some(from);
            self.silent = None;
            return SearchStep::Follow;
        }
        self.skip_silent();
        let newer = reply.holder.filter(|holder| {
            *holder != from && reply.token >= self.token && !self.is_silent(*holder, reply.token)
        });
        if let Some(holder) = newer {
            self.target = Some(holder);
        } else if self.target == Some(from) {
            // An entry that is cut off from the store knows no successor.
            self.try_next();
        }
        SearchStep::AskAgain
    }

    /// Notes that an entry did not answer.
    pub fn on_silence(&mut self, from: SocketAddr) -> SearchStep {
        if self.target != Some(from) {
            return SearchStep::AskAgain;
        }
        self.silent = Some(Silent {
            entry: from,
            token: self.token,
            skips: SILENT_SKIPS,
        });
        self.try_next();
        match self.tried % (self.entries.len() + 1) {
            0 => SearchStep::ReadStore,
            _ => SearchStep::AskAgain,
        }
    }

    /// Returns an entry beside the holder, another one with each call.
    pub fn another(&mut self, holder: SocketAddr) -> Option<SocketAddr> {
        let others = self.entries.iter().filter(|entry| **entry != holder);
        let others: Vec<SocketAddr> = others.copied().collect();
        self.tried += 1;
        others.get(self.tried % others.len().max(1)).copied()
    }

    fn is_silent(&self, holder: SocketAddr, token: FencingToken) -> bool {
        self.silent
            .is_some_and(|silent| silent.entry == holder && token <= silent.token)
    }

    /// Counts a question to another entry; after some of them a silent holder
    /// may have been cut off only for a while.
    fn skip_silent(&mut self) {
        if let Some(silent) = &mut self.silent {
            silent.skips = silent.skips.saturating_sub(1);
        }
        self.silent = self.silent.filter(|silent| silent.skips > 0);
    }

    fn try_next(&mut self) {
        self.tried += 1;
        let at = self.tried % self.entries.len().max(1);
        let (before, from) = self.entries.split_at(at.min(self.entries.len()));
        let mut next = from.iter().chain(before);
        let silent = self.silent.map(|silent| silent.entry);
        self.target = next
            .find(|entry| Some(**entry) != silent && Some(**entry) != self.target)
            .copied()
            .or(self.target);
    }
}
