//! Claims of idempotency keys at their home agent.

use std::collections::{BTreeMap, VecDeque};
use std::hash::Hasher;
use std::time::Duration;

use cumindeck_types::message::{Claim, ClaimReply};
use cumindeck_types::{EntryId, FencingToken, IdempotencyKey, RequestId, RingVersion, Uptime};
use siphasher::sip128::{Hasher128, SipHasher24};

use crate::{Ring, RingMember};

/// Longest time that a lease under a former ring may still be live.
///
/// The duty holder publishes a ring only when that is certain, even after
/// outage leases.
const MAX_CLAIM_LEASE: Duration = Duration::from_secs(8);
/// Allowed difference between two wall clocks.
const CLOCK_SKEW: Duration = Duration::from_secs(2);
/// Rings that are remembered to tell which keys an agent held before.
const MAX_RINGS: usize = 16;
/// The steady clock follows the wall clock by at most this part of the time
/// that passes, which is above the 500 ppm of a slewing clock.
const SLEW_DIVISOR: u32 = 1000;

/// Settings of a claim table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimConfig {
    /// This agent and its incarnation.
    pub member: RingMember,
    /// How long a claim is kept.
    pub retention: Duration,
    /// Most claims that are kept.
    pub capacity: usize,
}

impl ClaimConfig {
    /// Makes the settings of the design: 15 min and 100,000 claims.
    #[must_use]
    pub const fn new(member: RingMember) -> Self {
        Self {
            member,
            retention: Duration::from_secs(15 * 60),
            capacity: 100_000,
        }
    }
}

/// A ring and when this agent took it over.
#[derive(Debug)]
struct HeldRing {
    ring: Ring,
    /// When the agent learned of the ring.
    since: Uptime,
    /// Wall-clock time at that moment.
    wall: Duration,
}

/// The lease under which claims are served.
#[derive(Debug, Clone, Copy)]
struct ClaimLease {
    token: FencingToken,
    version: RingVersion,
    until: Uptime,
}

/// A granted claim, of the same small size for every key.
#[derive(Debug)]
struct Granted {
    /// Hash of the entry and the request that hold the claim.
    holder: u128,
    /// Position in the order of the grants.
    position: u64,
}

/// When a claim was granted, by its position.
#[derive(Debug)]
struct Grant {
    at: Uptime,
    /// Hash of the key.
    key: u128,
    /// Time in the key.
    made: Option<Duration>,
}

/// The wall clock as it was at the start, carried on by the uptime.
///
/// Jumps of the wall clock have no effect on it.
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

/// The claims for which this agent is the home.
///
/// Claims are kept and leases are checked by uptime, which never jumps. Wall
/// clock time only decides whether a key that carries its time is new to this
/// home. For that the table uses a steady clock, so that a jump neither makes
/// an old key look new nor a new one old. A key from the future isn't granted,
/// because the next home could take it for a new one, and the latest time of
/// any dropped claim bounds the keys that are granted afterwards. What remains
/// is the assumption that the clock is right within 2 s when the process
/// starts.
#[derive(Debug)]
pub struct ClaimTable {
    cfg: ClaimConfig,
    clock: SteadyClock,
    /// The newest ring last; versions without a gap.
    rings: VecDeque<HeldRing>,
    /// Ring version and end of the lease.
    lease: Option<ClaimLease>,
    /// Claims by the hash of their key. A collision of two keys refuses the
    /// second one, which is safe.
    claims: BTreeMap<u128, Granted>,
    /// Claims in the order of their grants.
    order: BTreeMap<u64, Grant>,
    next_position: u64,
    /// Latest time in any key whose claim was dropped after the retention.
    forgotten: Duration,
}

impl ClaimTable {
    /// Makes an empty table; `wall` is the wall-clock time at `now`, since the
    /// Unix epoch, and must be right within 2 s.
    #[must_use]
    pub const fn new(cfg: ClaimConfig, now: Uptime, wall: Duration) -> Self {
        Self {
            cfg,
            clock: SteadyClock { at: now, wall },
            rings: VecDeque::new(),
            lease: None,
            claims: BTreeMap::new(),
            order: BTreeMap::new(),
            next_position: 0,
            forgotten: Duration::ZERO,
        }
    }

    /// Returns the number of claims held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Tells whether no claim is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Takes over a ring; an older or equal version is ignored.
    pub fn ring_changed(&mut self, now: Uptime, wall: Duration, ring: Ring) {
        let wall = self.clock.advance(now, wall);
        let newest = self.rings.back().map(|held| held.ring.version);
        if newest.is_some_and(|version| ring.version <= version) {
            return;
        }
        // Another agent may have been home in a version that was missed.
        if newest.is_some_and(|version| version.next() != ring.version) {
            self.rings.clear();
        }
        if self.rings.len() == MAX_RINGS {
            self.rings.pop_front();
        }
        self.rings.push_back(HeldRing {
            ring,
            since: now,
            wall,
        });
    }

    /// Notes an agent lease granted for a ring version, with its end.
    ///
    /// The duty holder changes a ring only while every lease under the former
    /// one ends within 8 s, so an outage lease may count for its whole length.
    /// A lease under a higher token replaces a longer one, because the new
    /// holder counts on that.
    pub fn leased(&mut self, token: FencingToken, version: RingVersion, until: Uptime) {
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

    /// Decides about a claim.
    pub fn claim(&mut self, now: Uptime, wall: Duration, claim: &Claim) -> ClaimReply {
        let wall = self.clock.advance(now, wall);
        self.forget(now);
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
        let Some((since, taken_over)) = self.takeover(&claim.key) else {
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
        // Leases for the former ring may be live until then.
        let settled = since.plus(MAX_CLAIM_LEASE);
        let refusal = match claim.key.made_at() {
            Some(made) => self.check_time(wall, taken_over, made),
            None if now < settled.plus(self.cfg.retention) => Some(ClaimReply::Uncertain),
            None => None,
        };
        if let Some(refusal) = refusal {
            return refusal;
        }
        if now < settled {
            return ClaimReply::NotReady;
        }
        if self.claims.len() >= self.cfg.capacity {
            return ClaimReply::Full;
        }
        self.grant(now, claim);
        ClaimReply::Granted
    }

    /// Drops a claim whose request certainly did not run.
    pub fn settle_not_run(&mut self, claim: &Claim) {
        let (entry, id) = (&claim.entry, &claim.id);
        let key = hash(&[claim.team.as_str(), claim.key.as_str()]);
        let held = self.claims.get(&key).map(|g| (g.holder, g.position));
        if let Some((_, position)) = held.filter(|(h, _)| *h == holder(entry, id)) {
            self.claims.remove(&key);
            self.order.remove(&position);
        }
    }

    /// Decides by the time in a key; `None` means that the key is new.
    fn check_time(
        &self,
        wall: Duration,
        taken_over: Duration,
        made: Duration,
    ) -> Option<ClaimReply> {
        // A key from the future would look new to the next home as well.
        if made > wall + CLOCK_SKEW {
            return Some(ClaimReply::NotReady);
        }
        // The former home accepted keys up to its own clock plus the skew, and
        // its clock may be ahead of this one by the skew.
        let known_from = taken_over + MAX_CLAIM_LEASE + 2 * CLOCK_SKEW;
        let is_old = made + self.cfg.retention < wall;
        (made <= known_from || made <= self.forgotten || is_old).then_some(ClaimReply::Uncertain)
    }

    /// Returns since when this agent has been the key's home without a break.
    fn takeover(&self, key: &IdempotencyKey) -> Option<(Uptime, Duration)> {
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
        let position = self.next_position;
        self.next_position += 1;
        let holder = holder(&claim.entry, &claim.id);
        self.claims.insert(key, Granted { holder, position });
        let made = claim.key.made_at();
        self.order.insert(position, Grant { at: now, key, made });
    }

    fn forget(&mut self, now: Uptime) {
        while let Some(oldest) = self.order.first_entry() {
            if now.since(oldest.get().at) <= self.cfg.retention {
                return;
            }
            let grant = oldest.remove();
            self.claims.remove(&grant.key);
            self.forgotten = self.forgotten.max(grant.made.unwrap_or_default());
        }
    }
}

fn holder(entry: &EntryId, id: &RequestId) -> u128 {
    hash(&[entry.as_str(), id.as_str()])
}

/// Hashes texts that contain no zero byte.
fn hash(texts: &[&str]) -> u128 {
    let mut hasher = SipHasher24::new();
    for text in texts {
        hasher.write(text.as_bytes());
        hasher.write(&[0]);
    }
    hasher.finish128().as_u128()
}
