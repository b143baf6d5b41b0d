//! Agents known to an entry, and the entries to which an agent announces itself.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use cumindeck_types::message::{AgentState, Announcement, EntryAddress};
use cumindeck_types::{AgentId, Incarnation, Uptime};
use smallvec::SmallVec;

/// Time between two announcements of an agent.
pub const ANNOUNCE_PERIOD: Duration = Duration::from_secs(1);
/// Time without an announcement after which an agent is suspect.
pub const SUSPECT_AFTER: Duration = Duration::from_secs(3);
/// Time without an announcement after which an agent is removed from membership.
pub const GONE_AFTER: Duration = Duration::from_secs(8);
/// Time without any announcement after which an entry suspects its own connectivity.
pub const ISOLATED_AFTER: Duration = Duration::from_secs(2);
/// Time over which first announcements are spread.
pub const FIRST_ANNOUNCE_SPREAD: Duration = Duration::from_secs(2);
/// Number of entries to which an agent announces itself, besides the leader.
///
/// An announcement of 544 bytes and its reply of 400 bytes, each second to these entries
/// and the leader, are 2.8 KB/s; 3 KB/s per agent are allowed.
pub const MAX_ANNOUNCE_TARGETS: usize = 2;
/// Retention of an agent and its incarnation after its last announcement.
const AGENT_RETENTION: Duration = Duration::from_secs(3600);

/// Health of an agent as an entry sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AgentHealth {
    /// The agent accepts new work.
    Serving,
    /// The agent completes its work and accepts no more.
    Leaving,
    /// No announcement has arrived for 3 s.
    Suspect,
    /// No announcement has arrived for 8 s.
    Gone,
}

/// How an announcement relates to the known incarnation of its agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnnouncementOutcome {
    /// The first announcement of this incarnation of the agent.
    New,
    /// A further announcement of the known incarnation.
    Known,
    /// The announcement of an earlier incarnation, which is ignored.
    StaleIncarnation,
}

#[derive(Debug, Clone)]
struct AgentRecord {
    announcement: Announcement,
    /// When the last announcement arrived, moved forward by times of suspected isolation.
    last_seen: Uptime,
    /// Health at the last call of [`AgentDirectory::changes`].
    last_health: AgentHealth,
}

/// The agents known to an entry.
#[derive(Debug, Clone)]
pub struct AgentDirectory {
    agents: BTreeMap<AgentId, AgentRecord>,
    /// When the last announcement of any agent arrived.
    last_announcement: Uptime,
}

impl AgentDirectory {
    /// Creates a directory without agents at `now`.
    #[must_use]
    pub const fn new(now: Uptime) -> Self {
        Self {
            agents: BTreeMap::new(),
            last_announcement: now,
        }
    }

    /// Handles an announcement.
    pub fn on_announce(&mut self, now: Uptime, announcement: Announcement) -> AnnouncementOutcome {
        if self.is_isolated(now) {
            // Missing announcements during suspected isolation show nothing about the
            // other agents.
            let isolated_for = now.since(self.last_announcement.plus(ISOLATED_AFTER));
            for record in self.agents.values_mut() {
                record.last_seen = record.last_seen.plus(isolated_for);
            }
        }
        self.last_announcement = now;
        let incarnation = announcement.incarnation;
        let Some(record) = self.agents.get_mut(&announcement.agent) else {
            let last_health = health_of(announcement.state);
            let agent = announcement.agent.clone();
            let record = AgentRecord {
                announcement,
                last_seen: now,
                last_health,
            };
            self.agents.insert(agent, record);
            return AnnouncementOutcome::New;
        };
        let known = record.announcement.incarnation;
        if incarnation < known {
            return AnnouncementOutcome::StaleIncarnation;
        }
        let is_leaving = incarnation == known && record.announcement.state == AgentState::Leaving;
        record.announcement = announcement;
        record.last_seen = now;
        if is_leaving {
            // Leaving is final for an incarnation; a delayed
            // announcement does not undo it.
            record.announcement.state = AgentState::Leaving;
        }
        if incarnation == known {
            AnnouncementOutcome::Known
        } else {
            AnnouncementOutcome::New
        }
    }

    /// Returns whether no announcement of any agent has arrived for 2 s.
    #[must_use]
    pub fn is_isolated(&self, now: Uptime) -> bool {
        now >= self.last_announcement.plus(ISOLATED_AFTER)
    }

    /// Returns the health of an agent, if the agent is known.
    #[must_use]
    pub fn health(&self, now: Uptime, agent: &AgentId) -> Option<AgentHealth> {
        self.agents
            .get(agent)
            .map(|record| self.current_health(now, record))
    }

    /// Returns the newest announcement of an agent.
    #[must_use]
    pub fn announcement(&self, agent: &AgentId) -> Option<&Announcement> {
        self.agents.get(agent).map(|record| &record.announcement)
    }

    /// Returns the newest announcements of all agents, also those
    /// removed from membership.
    pub fn all(&self) -> impl Iterator<Item = &Announcement> {
        self.agents.values().map(|record| &record.announcement)
    }

    /// Returns the newest announcements of all agents that are in membership.
    pub fn present(&self, now: Uptime) -> impl Iterator<Item = (&Announcement, AgentHealth)> {
        self.agents
            .values()
            .map(move |record| (&record.announcement, self.current_health(now, record)))
            .filter(|(_, health)| *health != AgentHealth::Gone)
    }

    /// Returns the changes of health since the last call and discards expired agents.
    pub fn changes(&mut self, now: Uptime) -> Vec<(AgentId, Incarnation, AgentHealth)> {
        let mut changes = Vec::new();
        let evaluated_at = self.evaluated_at(now);
        for (agent, record) in &mut self.agents {
            let health = health_at(evaluated_at, record);
            if health != record.last_health {
                record.last_health = health;
                changes.push((agent.clone(), record.announcement.incarnation, health));
            }
        }
        self.agents
            .retain(|_, record| now < record.last_seen.plus(AGENT_RETENTION));
        changes
    }

    fn current_health(&self, now: Uptime, record: &AgentRecord) -> AgentHealth {
        health_at(self.evaluated_at(now), record)
    }

    /// Returns the time at which health is evaluated; it does not advance during suspected
    /// isolation.
    fn evaluated_at(&self, now: Uptime) -> Uptime {
        now.min(self.last_announcement.plus(ISOLATED_AFTER))
    }
}

/// Returns the delay before an agent's first announcement.
#[must_use]
pub fn first_announce_delay(agent: &AgentId, incarnation: Incarnation) -> Duration {
    let hash = stable_hash(agent.as_str(), &incarnation.get().to_le_bytes());
    let spread = FIRST_ANNOUNCE_SPREAD.as_micros() as u64;
    Duration::from_micros(hash % spread)
}

/// Returns the entries, up to [`MAX_ANNOUNCE_TARGETS`], to which an agent announces itself,
/// chosen by rendezvous hashing, so that agents spread evenly.
///
/// Entries send an agent only these, because the whole list would grow each
/// reply with the number of entries.
#[must_use]
pub fn announcement_entries(agent: &AgentId, entries: Vec<EntryAddress>) -> Vec<EntryAddress> {
    let rank = |entry: &EntryAddress| {
        let hash = stable_hash(agent.as_str(), entry.entry.as_str().as_bytes());
        (hash, entry.address)
    };
    let mut chosen = entries;
    chosen.sort_by_cached_key(rank);
    chosen.truncate(MAX_ANNOUNCE_TARGETS);
    chosen
}

/// Returns the addresses to which an agent announces itself: its chosen entries
/// and the leader.
#[must_use]
pub fn announce_targets(
    agent: &AgentId,
    entries: &[EntryAddress],
    leader: Option<SocketAddr>,
) -> SmallVec<[SocketAddr; 4]> {
    let mut targets: SmallVec<[SocketAddr; 4]> = SmallVec::new();
    let chosen = announcement_entries(agent, entries.to_vec());
    for address in chosen.iter().map(|entry| entry.address).chain(leader) {
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

fn health_at(now: Uptime, record: &AgentRecord) -> AgentHealth {
    let elapsed = now.since(record.last_seen);
    if elapsed >= GONE_AFTER {
        AgentHealth::Gone
    } else if elapsed >= SUSPECT_AFTER {
        AgentHealth::Suspect
    } else {
        health_of(record.announcement.state)
    }
}

/// Hashes an agent's id and a salt with FNV-1a and a final mix; every process gets the
/// same result.
fn stable_hash(agent: &str, salt: &[u8]) -> u64 {
    let bytes = agent.bytes().chain([0]).chain(salt.iter().copied());
    let hash = bytes.fold(0xcbf2_9ce4_8422_2325, |hash: u64, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    let hash = (hash ^ hash >> 33).wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^ hash >> 33
}
