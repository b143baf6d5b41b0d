//! Views of agents in an entry, and the entries to which an agent announces itself.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use cumindeck_types::message::{AgentState, Announcement, EntryAddress};
use cumindeck_types::{AgentId, Incarnation, Uptime};
use smallvec::SmallVec;

/// Time between two announcements of an agent.
pub const ANNOUNCE_PERIOD: Duration = Duration::from_secs(1);
/// Silence after which an agent is suspect.
pub const SUSPECT_AFTER: Duration = Duration::from_secs(3);
/// Silence after which an agent is gone.
pub const GONE_AFTER: Duration = Duration::from_secs(8);
/// Silence of all agents after which an entry suspects its own connectivity.
pub const ISOLATED_AFTER: Duration = Duration::from_secs(2);
/// Time over which first announcements are spread.
pub const FIRST_ANNOUNCE_SPREAD: Duration = Duration::from_secs(2);
/// Entries to which an agent announces itself, besides the duty holder.
///
/// With the holder, 544 bytes and a reply of 400 bytes this is 2.8 KB/s of the
/// allowed 3 KB/s.
pub const MAX_TARGETS: usize = 2;
/// How long the incarnation of a gone agent is remembered.
const MEMORY: Duration = Duration::from_secs(3600);

/// What an entry thinks of an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AgentHealth {
    /// The agent takes new work.
    Serving,
    /// The agent finishes its work and takes no more.
    Leaving,
    /// The agent has been silent for 3 s.
    Suspect,
    /// The agent has been silent for 8 s.
    Gone,
}

/// What became of an announcement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ViewChange {
    /// The first announcement of this incarnation of the agent.
    New,
    /// A further announcement.
    Known,
    /// The announcement of an earlier incarnation, which is ignored.
    StaleIncarnation,
}

#[derive(Debug, Clone)]
struct View {
    announcement: Announcement,
    last_seen: Uptime,
    reported: AgentHealth,
}

/// The agents that an entry knows.
#[derive(Debug, Clone)]
pub struct AgentViews {
    views: BTreeMap<AgentId, View>,
    /// When any agent was last seen last.
    last_announcement: Uptime,
}

impl AgentViews {
    /// Starts without agents at `now`.
    #[must_use]
    pub const fn new(now: Uptime) -> Self {
        Self {
            views: BTreeMap::new(),
            last_announcement: now,
        }
    }

    /// Takes in an announcement.
    pub fn on_announce(&mut self, now: Uptime, announcement: Announcement) -> ViewChange {
        if self.is_isolated(now) {
            // The doubtful time says nothing about the other agents.
            let doubtful = now.since(self.last_announcement.plus(ISOLATED_AFTER));
            for view in self.views.values_mut() {
                view.last_seen = view.last_seen.plus(doubtful);
            }
        }
        self.last_announcement = now;
        let incarnation = announcement.incarnation;
        let Some(view) = self.views.get_mut(&announcement.agent) else {
            let reported = health_of(announcement.state);
            let agent = announcement.agent.clone();
            let view = View {
                announcement,
                last_seen: now,
                reported,
            };
            self.views.insert(agent, view);
            return ViewChange::New;
        };
        let known = view.announcement.incarnation;
        if incarnation < known {
            return ViewChange::StaleIncarnation;
        }
        let is_leaving = incarnation == known && view.announcement.state == AgentState::Leaving;
        view.announcement = announcement;
        view.last_seen = now;
        if is_leaving {
            // Leaving is final for an incarnation; a delayed announcement doesn't undo it.
            view.announcement.state = AgentState::Leaving;
        }
        if incarnation == known {
            ViewChange::Known
        } else {
            ViewChange::New
        }
    }

    /// Tells whether no agent at all was last seen for 2 s.
    #[must_use]
    pub fn is_isolated(&self, now: Uptime) -> bool {
        now >= self.last_announcement.plus(ISOLATED_AFTER)
    }

    /// Returns what the entry thinks of an agent, if it knows the agent.
    #[must_use]
    pub fn health(&self, now: Uptime, agent: &AgentId) -> Option<AgentHealth> {
        self.views.get(agent).map(|view| self.health_in(now, view))
    }

    /// Returns the newest announcement of an agent.
    #[must_use]
    pub fn announcement(&self, agent: &AgentId) -> Option<&Announcement> {
        self.views.get(agent).map(|view| &view.announcement)
    }

    /// Returns the newest announcements of all agents that are remembered.
    pub fn all(&self) -> impl Iterator<Item = &Announcement> {
        self.views.values().map(|view| &view.announcement)
    }

    /// Returns the newest announcements of all agents that aren't gone.
    pub fn present(&self, now: Uptime) -> impl Iterator<Item = (&Announcement, AgentHealth)> {
        self.views
            .values()
            .map(move |view| (&view.announcement, self.health_in(now, view)))
            .filter(|(_, health)| *health != AgentHealth::Gone)
    }

    /// Returns the changes of health since the last call and forgets old agents.
    pub fn changes(&mut self, now: Uptime) -> Vec<(AgentId, Incarnation, AgentHealth)> {
        let mut changes = Vec::new();
        let judged = self.judged_at(now);
        for (agent, view) in &mut self.views {
            let health = health_at(judged, view);
            if health != view.reported {
                view.reported = health;
                changes.push((agent.clone(), view.announcement.incarnation, health));
            }
        }
        self.views
            .retain(|_, view| now < view.last_seen.plus(MEMORY));
        changes
    }

    fn health_in(&self, now: Uptime, view: &View) -> AgentHealth {
        health_at(self.judged_at(now), view)
    }

    /// Returns the time at which agents are judged, which stands still in doubt.
    fn judged_at(&self, now: Uptime) -> Uptime {
        now.min(self.last_announcement.plus(ISOLATED_AFTER))
    }
}

/// Returns how long an agent waits before its first announcement.
#[must_use]
pub fn first_announce_delay(agent: &AgentId, incarnation: Incarnation) -> Duration {
    let hash = mix(agent.as_str(), &incarnation.get().to_le_bytes());
    let spread = FIRST_ANNOUNCE_SPREAD.as_micros() as u64;
    Duration::from_micros(hash % spread)
}

/// Returns the up to 3 entries to which an agent announces itself, chosen by
/// rendezvous hash, so that agents spread evenly.
///
/// Entries send an agent only these, because the whole list would grow each
/// reply with the number of entries.
#[must_use]
pub fn chosen_entries(agent: &AgentId, entries: Vec<EntryAddress>) -> Vec<EntryAddress> {
    let rank = |entry: &EntryAddress| {
        let hash = mix(agent.as_str(), entry.entry.as_str().as_bytes());
        (hash, entry.address)
    };
    let mut chosen = entries;
    chosen.sort_by_cached_key(rank);
    chosen.truncate(MAX_TARGETS);
    chosen
}

/// Returns the addresses to which an agent announces itself: its chosen entries
/// and the duty holder.
#[must_use]
pub fn announce_targets(
    agent: &AgentId,
    entries: &[EntryAddress],
    holder: Option<SocketAddr>,
) -> SmallVec<[SocketAddr; 4]> {
    let mut targets: SmallVec<[SocketAddr; 4]> = SmallVec::new();
    let chosen = chosen_entries(agent, entries.to_vec());
    for address in chosen.iter().map(|entry| entry.address).chain(holder) {
        if !targets.contains(&address) {
            targets.push(address);
        }
    }
    targets
}

const fn health_of(state: AgentState) -> AgentHealth {
    match state {
        AgentState::Serving => AgentHealth::Serving,
        AgentState::Leaving => AgentHealth::Leaving,
    }
}

fn health_at(now: Uptime, view: &View) -> AgentHealth {
    let silent = now.since(view.last_seen);
    if silent >= GONE_AFTER {
        AgentHealth::Gone
    } else if silent >= SUSPECT_AFTER {
        AgentHealth::Suspect
    } else {
        health_of(view.announcement.state)
    }
}

/// Hashes two texts with FNV-1a and a final mix; every process gets the same result.
fn mix(text: &str, more: &[u8]) -> u64 {
    let bytes = text.bytes().chain([0]).chain(more.iter().copied());
    let hash = bytes.fold(0xcbf2_9ce4_8422_2325, |hash: u64, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    let hash = (hash ^ hash >> 33).wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^ hash >> 33
}
