//! Rings of home agents, which map each idempotency key to one agent.

use std::hash::Hasher;

use cumindeck_types::{AgentId, IdempotencyKey, Incarnation, Region, RingVersion};
use siphasher::sip::SipHasher24;

/// Fixed keys, so that all processes of all builds compute the same home: the ASCII text
/// `cumindeck-ring-1`.
const HASH_KEYS: (u64, u64) = (0x6375_6d69_6e64_6563, 0x6b2d_7269_6e67_2d31);

/// One incarnation of a home agent.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RingMember {
    /// Id of the agent; the choice of a key's home ignores the incarnation.
    pub agent: AgentId,
    /// Incarnation of the agent's process; a restarted agent has lost its claims.
    pub incarnation: Incarnation,
}

/// One version of a region's set of home agents.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ring {
    /// Region of the members; a team's home region selects the ring of its keys.
    pub region: Region,
    /// Version of the ring; each change of the members increases it.
    pub version: RingVersion,
    /// Members, each agent once.
    pub members: Vec<RingMember>,
}

impl Ring {
    /// Returns the home of a key by rendezvous hashing, or `None` if the ring is empty.
    ///
    /// The incarnation isn't part of the hash, so that a restart moves no key
    /// to another agent.
    #[must_use]
    pub fn home(&self, key: &IdempotencyKey) -> Option<&RingMember> {
        self.members
            .iter()
            .max_by_key(|member| (weight(&member.agent, key), &member.agent))
    }
}

fn weight(agent: &AgentId, key: &IdempotencyKey) -> u64 {
    let mut hasher = SipHasher24::new_with_keys(HASH_KEYS.0, HASH_KEYS.1);
    hasher.write(agent.as_str().as_bytes());
    // Separates the agent from the key; neither contains a zero byte.
    hasher.write(&[0]);
    hasher.write(key.as_str().as_bytes());
    hasher.finish()
}
