//! Claims of idempotency keys at their home agent.

use std::collections::{BTreeMap, VecDeque};
use std::hash::Hasher;
use std::time::Duration;

use cumindeck_types::message::{Claim, ClaimReply};
use cumindeck_types::{EntryId, FencingToken, IdempotencyKey, RequestId, RingVersion, Uptime};
use siphasher::sip128::{Hasher128, SipHasher24};

use crate::{Ring, RingMember};

/// Maximum time that a lease under the previous ring may be live after a change.
///
/// The leader publishes a ring only when that is certain, even after outage
/// leases.
const MAX_CLAIM_LEASE: Duration = Duration::from_secs(8);
/// Maximum difference between two wall clocks.
const CLOCK_SKEW: Duration = Duration::from_secs(2);
/// Number of rings kept, to compute since when this agent has been a key's home.
const MAX_RINGS: usize = 16;
/// The steady clock is slewed towards the wall clock by at most this fraction of the
/// elapsed time, which is above the 500 ppm of a slewing system clock.
const SLEW_DIVISOR: u32 = 1000;

/// Settings of a claim table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimConfig {
    /// This agent and its incarnation.
    pub member: RingMember,
    /// How long a claim is kept.
    pub retention: Duration,
    /// Maximum number of claims kept.
    pub capacity: usize,
}

impl ClaimConfig {
    /// Returns the default settings: 15 min of retention and 100,000 claims.
    #[must_use]
    pub const fn new(member: RingMember) -> Self {
        Self {
            member,
            retention: Duration::from_secs(15 * 60),
            capacity: 100_000,
        }
    }
}

/// A ring and when this agent learned of it.
#[derive(Debug)]
struct KnownRing {
    ring: Ring,
    since: Uptime,
    /// Wall-clock time at `since`.
    wall: Duration,
}

/// The lease under which claims are served.
#[derive(Debug, Clone, Copy)]
struct ClaimLease {
    token: FencingToken,
    version: RingVersion,
    until: Uptime,
}

/// A granted claim; hashes make its size independent of the key.
#[derive(Debug)]
struct HeldClaim {
    /// Hash of the entry and the request that hold the claim.
    holder: u128,
    /// Key of this claim's record in `ClaimTable::grants`.
    sequence: u64,
}

/// When a claim was granted, and for which key.
#[derive(Debug)]
struct GrantRecord {
    at: Uptime,
    /// Hash of the team and its idempotency key.
    key: u128,
    /// Time that the key carries; `None` if it carries none.
    key_time: Option<Duration>,
}

/// Wall-clock time at the start, advanced by the uptime and slewed slowly towards the
/// system's wall clock.
///
/// A jump of the wall clock changes it by at most 1 ms per second; see [`SLEW_DIVISOR`].
#[derive(Debug)]
struct SteadyClock {
    at: Uptime,
    wall: Duration,
}

impl SteadyClock {
    fn advance(&mut self, now: Uptime, wall: Duration) -> Duration {
        let passed = now.since(self.at);
        self.at = self.at.max(now);
        self.wall += passed;
        let limit = passed / SLEW_DIVISOR;
        self.wall = wall.clamp(self.wall.saturating_sub(limit), self.wall + limit);
        self.wall
    }
}

/// Claims of the keys whose home is this agent.
///
/// Retention and leases are checked by uptime, which never jumps. Wall-clock time
/// only decides whether a key that carries its time is new to this home. For that
/// the table uses a steady clock, so that a jump makes neither an old key look new
/// nor a new one look old. A key from the future isn't granted, because the next home
/// could take it for a new one. Keys with a time no later than the latest among
/// expired claims aren't granted either. What remains is the assumption that the
/// clock is right within 2 s when the process starts.
#[derive(Debug)]
pub struct ClaimTable {
    cfg: ClaimConfig,
    clock: SteadyClock,
    /// Known rings, the newest last, without gaps between versions.
    rings: VecDeque<KnownRing>,
    /// Lease under the highest token and ring version.
    lease: Option<ClaimLease>,
    /// Claims by the hash of team and key. If two keys collide, the second one is
    /// refused, which is safe.
    claims: BTreeMap<u128, HeldClaim>,
    /// Grants by sequence number, the oldest first.
    grants: BTreeMap<u64, GrantRecord>,
    next_sequence: u64,
    /// Latest time that any key of an expired claim carried.
    latest_expired: Duration,
}

impl ClaimTable {
    /// Creates an empty table.
    ///
    /// `wall` is the wall-clock time at `now`, since the Unix epoch, and must be right
    /// within 2 s.
    #[must_use]
    pub const fn new(cfg: ClaimConfig, now: Uptime, wall: Duration) -> Self {
        Self {
            cfg,
            clock: SteadyClock { at: now, wall },
            rings: VecDeque::new(),
            lease: None,
            claims: BTreeMap::new(),
            grants: BTreeMap::new(),
            next_sequence: 0,
            latest_expired: Duration::ZERO,
        }
    }

    /// Returns the number of claims held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Returns whether no claim is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Installs a ring; an older or equal version is ignored.
    pub fn install_ring(&mut self, now: Uptime, wall: Duration, ring: Ring) {
        let wall = self.clock.advance(now, wall);
        let newest = self.rings.back().map(|held| held.ring.version);
        if newest.is_some_and(|version| ring.version <= version) {
            return;
        }
        // In a version that was missed, another agent may have been the home.
        if newest.is_some_and(|version| version.next() != ring.version) {
            self.rings.clear();
        }
        if self.rings.len() == MAX_RINGS {
            self.rings.pop_front();
        }
        self.rings.push_back(KnownRing {
            ring,
            since: now,
            wall,
        });
    }

    /// Records an agent lease for a ring version, which ends at `until`.
    ///
    /// The leader changes a ring only while every lease under the previous one
    /// ends within 8 s, so an outage lease is valid for its whole length. A lease under
    /// a higher token replaces a longer one, because the new leader relies on that.
    pub fn on_lease(&mut self, token: FencingToken, version: RingVersion, until: Uptime) {
        let lease = ClaimLease {
            token,
            version,
            until,
        };
        self.lease = match self.lease {
            Some(held) if (held.token, held.version) > (token, version) => Some(held),
            Some(held) if (held.token, held.version) == (token, version) => Some(ClaimLease {
                until: held.until.max(until),
                ..held
            }),
            Some(_) | None => Some(lease),
        };
    }

    /// Grants or refuses a claim.
    pub fn claim(&mut self, now: Uptime, wall: Duration, claim: &Claim) -> ClaimReply {
        let wall = self.clock.advance(now, wall);
        self.expire(now);
        let Some(ClaimLease { version, .. }) = self.lease.filter(|lease| now < lease.until) else {
            return ClaimReply::NotReady;
        };
        let newest = self.rings.back().map(|held| held.ring.version);
        if newest != Some(version) {
            return ClaimReply::NotReady;
        }
        if claim.ring_version != version {
            return ClaimReply::NotHome;
        }
        let Some((since, home_since_wall)) = self.home_since(&claim.key) else {
            return ClaimReply::NotHome;
        };
        if let Some(granted) = self
            .claims
            .get(&hash(&[claim.team.as_str(), claim.key.as_str()]))
        {
            // The reply to the first message of the same claim was lost.
            if granted.holder == holder(&claim.entry, &claim.id) {
                return ClaimReply::Granted;
            }
            return ClaimReply::AlreadyClaimed;
        }
        // Leases under the previous ring may be live until then.
        let previous_leases_end = since.plus(MAX_CLAIM_LEASE);
        let refusal = match claim.key.made_at() {
            Some(key_time) => self.check_key_time(wall, home_since_wall, key_time),
            None if now < previous_leases_end.plus(self.cfg.retention) => {
                Some(ClaimReply::Uncertain)
            }
            None => None,
        };
        if let Some(refusal) = refusal {
            return refusal;
        }
        if now < previous_leases_end {
            return ClaimReply::NotReady;
        }
        if self.claims.len() >= self.cfg.capacity {
            return ClaimReply::Full;
        }
        self.grant(now, claim);
        ClaimReply::Granted
    }

    /// Releases a claim whose request certainly did not run.
    pub fn release(&mut self, claim: &Claim) {
        let (entry, id) = (&claim.entry, &claim.id);
        let key = hash(&[claim.team.as_str(), claim.key.as_str()]);
        let held = self.claims.get(&key).map(|g| (g.holder, g.sequence));
        if let Some((_, sequence)) = held.filter(|(h, _)| *h == holder(entry, id)) {
            self.claims.remove(&key);
            self.grants.remove(&sequence);
        }
    }

    /// Checks the time that a key carries; returns `None` if the key is new.
    fn check_key_time(
        &self,
        wall: Duration,
        home_since_wall: Duration,
        key_time: Duration,
    ) -> Option<ClaimReply> {
        // A key from the future would look new to the next home as well.
        if key_time > wall + CLOCK_SKEW {
            return Some(ClaimReply::NotReady);
        }
        // The previous home accepted keys up to its own clock plus the skew, and its
        // clock may be ahead of this one by the skew.
        let known_from = home_since_wall + MAX_CLAIM_LEASE + 2 * CLOCK_SKEW;
        let is_old = key_time + self.cfg.retention < wall;
        (key_time <= known_from || key_time <= self.latest_expired || is_old)
            .then_some(ClaimReply::Uncertain)
    }

    /// Returns since when this agent has been the key's home without a break, as uptime
    /// and as wall-clock time.
    fn home_since(&self, key: &IdempotencyKey) -> Option<(Uptime, Duration)> {
        let held = self
            .rings
            .iter()
            .rev()
            .take_while(|held| held.ring.home(key) == Some(&self.cfg.member))
            .last()?;
        Some((held.since, held.wall))
    }

    fn grant(&mut self, now: Uptime, claim: &Claim) {
        let key = hash(&[claim.team.as_str(), claim.key.as_str()]);
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let holder = holder(&claim.entry, &claim.id);
        self.claims.insert(key, HeldClaim { holder, sequence });
        let key_time = claim.key.made_at();
        self.grants.insert(
            sequence,
            GrantRecord {
                at: now,
                key,
                key_time,
            },
        );
    }

    fn expire(&mut self, now: Uptime) {
        while let Some(oldest) = self.grants.first_entry() {
            if now.since(oldest.get().at) <= self.cfg.retention {
                return;
            }
            let grant = oldest.remove();
            self.claims.remove(&grant.key);
            self.latest_expired = self.latest_expired.max(grant.key_time.unwrap_or_default());
        }
    }
}

fn holder(entry: &EntryId, id: &RequestId) -> u128 {
    hash(&[entry.as_str(), id.as_str()])
}

/// Hashes strings that contain no zero byte.
fn hash(texts: &[&str]) -> u128 {
    let mut hasher = SipHasher24::new();
    for text in texts {
        hasher.write(text.as_bytes());
        hasher.write(&[0]);
    }
    hasher.finish128().as_u128()
}
