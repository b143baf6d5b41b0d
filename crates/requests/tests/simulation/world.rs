//! Entries, agents and callers on a virtual clock with injected faults.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cumindeck_requests::*;
use cumindeck_types::message::{Answer, ClaimReply, DispatchReply};
use cumindeck_types::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::checks::{Checks, SLOTS, Submitted};

#[path = "agents.rs"]
mod agents;
#[path = "entries.rs"]
mod entries;

const EPOCH_MS: i64 = 1_700_000_000_000;
const LEASE: Duration = Duration::from_secs(8);
/// Shorter than in production, so that claims expire within a run.
pub const RETENTION: Duration = Duration::from_secs(12);
const END: Uptime = Uptime::from_millis(61_000);

/// A guard that is taken out, to show that the checks notice.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Broken {
    Nothing,
    ClaimsOff,
    RetryAfterMayHaveRun,
    HistoryIgnored,
}

pub struct EntryNode {
    machine: EntryMachine,
    incarnation: u64,
    frozen: Uptime,
    wake: Option<Uptime>,
    ids: u64,
    ring: RingVersion,
}

struct AgentNode {
    gate: GateMachine,
    claims: ClaimTable,
    incarnation: u64,
    is_alive: bool,
    frozen: Uptime,
    leaving: Option<Uptime>,
    muted: Uptime,
    /// Wall clock minus true time.
    clock_ms: i64,
    /// Callers and ends of the time limits of requests inside the gate.
    calls: BTreeMap<(RequestId, Attempt), (Peer, Uptime)>,
    /// Requests at the backend server.
    running: BTreeSet<(RequestId, Attempt)>,
}

/// An entry in one of its incarnations.
#[derive(Clone, Copy)]
struct Peer(usize, u64);

enum Message {
    Dispatch(DispatchOrder),
    Claim(ClaimOrder),
    Settle(ClaimOrder),
    Connected(RequestId, Attempt),
    Finished(RequestId, Attempt),
    Announce,
    Leased(Uptime, Ring),
    Leave,
}

enum Item {
    Submit {
        entry: usize,
        key: Option<IdempotencyKey>,
        is_idempotent: bool,
        repeats: u32,
    },
    ToEntry(Peer, EntryEvent),
    ToAgent(usize, u64, Option<Peer>, Message),
    Fault,
    Restart(usize),
    Control,
}

pub struct World {
    now: Uptime,
    seq: u64,
    /// Sequence number of the item that is delivered.
    current: u64,
    items: BTreeMap<(Uptime, u64), Item>,
    rng: ChaCha8Rng,
    entries: Vec<EntryNode>,
    agents: Vec<AgentNode>,
    ring: Ring,
    last_seen: BTreeMap<AgentId, (Incarnation, Uptime)>,
    /// When messages from each region reach the other one again.
    cut_until: [Uptime; 2],
    pub checks: Checks,
    broken: Broken,
}

fn id<T: std::str::FromStr<Err = IdError>>(text: &str) -> T {
    text.parse().expect("valid id")
}

/// Even nodes are in one region, odd ones in the other.
fn region(node: usize) -> Region {
    id(if node.is_multiple_of(2) {
        "dakar"
    } else {
        "thies"
    })
}

fn config(entry: usize) -> EntryConfig {
    let limits = TeamLimits {
        weight: 1,
        queue_limit: 6,
        rate: None,
        home_region: region(0),
    };
    EntryConfig {
        entry: id(&format!("e{entry}")),
        region: region(entry),
        teams: vec![(id("letters"), limits)],
        routing: RoutingConfig::default(),
        retry_percent: 10,
    }
}

fn agent_id(agent: usize) -> AgentId {
    id(&format!("a{agent}"))
}

impl World {
    pub fn new(seed: u64, broken: Broken) -> Self {
        let ring = Ring {
            region: region(0),
            version: RingVersion::new(0),
            members: Vec::new(),
        };
        let mut world = Self {
            now: Uptime::ZERO,
            seq: 0,
            current: 0,
            items: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            entries: Vec::new(),
            agents: Vec::new(),
            ring,
            last_seen: BTreeMap::new(),
            cut_until: [Uptime::ZERO; 2],
            checks: Checks::default(),
            broken,
        };
        for entry in 0..3 {
            let machine = EntryMachine::new(config(entry), seed + entry as u64);
            let ring = RingVersion::new(0);
            world.entries.push(EntryNode {
                machine,
                incarnation: 0,
                frozen: Uptime::ZERO,
                wake: None,
                ids: 0,
                ring,
            });
        }
        for agent in 0..5 {
            let node = world.agent(agent, 0);
            world.agents.push(node);
            world.post(agent, Duration::ZERO, None, Message::Announce);
        }
        for _ in 0..60 {
            let at = world.millis(8_000..45_000);
            let key = match world.rng.random_range(0..4) {
                0 => None,
                1 => Some(
                    format!("opaque-{}", world.rng.random::<u64>())
                        .parse()
                        .expect("valid key"),
                ),
                _ => Some(world.timed_key(at)),
            };
            let entry = world.rng.random_range(0..3);
            let is_idempotent = world.rng.random_range(0..4) == 0;
            let repeats = if key.is_some() {
                world.rng.random_range(0..4)
            } else {
                0
            };
            world.after(
                at,
                Item::Submit {
                    entry,
                    key,
                    is_idempotent,
                    repeats,
                },
            );
        }
        for _ in 0..world.rng.random_range(0..14) {
            let at = world.millis(5_000..50_000);
            world.after(at, Item::Fault);
        }
        world.after(Duration::from_secs(1), Item::Control);
        world
    }

    /// Runs to the end or to the first broken promise.
    pub fn run(mut self) -> Checks {
        while let Some(((at, seq), item)) = self.items.pop_first() {
            if at > END || self.checks.violation.is_some() {
                break;
            }
            (self.now, self.current) = (at, seq);
            self.deliver(item);
        }
        for (entry, node) in self.entries.iter().enumerate() {
            if let Some(id) = self.checks.unanswered(entry, node.incarnation) {
                self.checks.fail(format!("P4: {id} got no reply"));
            }
        }
        self.checks
    }

    fn millis(&mut self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.rng.random_range(range))
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.rng.random_range(0..100) < percent
    }

    /// A key made by a caller whose clock is off by up to one second.
    fn timed_key(&mut self, at: Duration) -> IdempotencyKey {
        let true_ms = EPOCH_MS + at.as_millis() as i64;
        let ms = (true_ms + self.rng.random_range(-1000..1000)) as u64;
        let uuid = uuid::Builder::from_unix_timestamp_millis(ms, &self.rng.random()).into_uuid();
        uuid.to_string().parse().expect("valid key")
    }

    fn after(&mut self, delay: Duration, item: Item) {
        self.seq += 1;
        self.items.insert((self.now.plus(delay), self.seq), item);
    }

    /// Keeps an item for the end of a freeze, in the order of sending.
    fn postpone(&mut self, until: Uptime, item: Item) {
        self.items.insert((until, self.current), item);
    }

    fn post(&mut self, agent: usize, delay: Duration, from: Option<Peer>, message: Message) {
        let incarnation = self.agents[agent].incarnation;
        self.after(delay, Item::ToAgent(agent, incarnation, from, message));
    }

    fn agent(&mut self, agent: usize, incarnation: u64) -> AgentNode {
        let clock_ms = self.rng.random_range(-1000..1000);
        let mut cfg = ClaimConfig::new(RingMember {
            agent: agent_id(agent),
            incarnation: Incarnation::new(incarnation),
        });
        cfg.retention = RETENTION;
        let wall = Self::wall(self.now, clock_ms);
        AgentNode {
            gate: GateMachine::new(GateConfig {
                slots: SLOTS as u32,
                connections: 3,
            }),
            claims: ClaimTable::new(cfg, self.now, wall),
            incarnation,
            is_alive: true,
            frozen: Uptime::ZERO,
            leaving: None,
            muted: Uptime::ZERO,
            clock_ms,
            calls: BTreeMap::new(),
            running: BTreeSet::new(),
        }
    }

    fn wall(now: Uptime, clock_ms: i64) -> Duration {
        let ms = EPOCH_MS + now.as_duration().as_millis() as i64 + clock_ms;
        Duration::from_millis(ms as u64)
    }

    /// Returns the delay of a message from `a` to `b`, or `None` if it is lost.
    fn network(&mut self, a: usize, b: usize) -> Option<Duration> {
        let is_far = region(a) != region(b);
        if (is_far && self.now < self.cut_until[a % 2]) || self.chance(4) {
            return None;
        }
        let base = if is_far { 20 } else { 1 };
        let late = if self.chance(5) { 3000 } else { 5 };
        Some(self.millis(base..base + late))
    }

    fn deliver(&mut self, item: Item) {
        match item {
            Item::Submit {
                entry,
                key,
                is_idempotent,
                repeats,
            } => {
                if repeats > 0 {
                    let next = self.rng.random_range(0..3);
                    let wait = if self.chance(30) {
                        self.millis(0..30)
                    } else {
                        self.millis(0..3000)
                    };
                    let key = key.clone();
                    self.after(
                        wait,
                        Item::Submit {
                            entry: next,
                            key,
                            is_idempotent,
                            repeats: repeats - 1,
                        },
                    );
                }
                self.submit(entry, key, is_idempotent);
            }
            Item::ToEntry(peer, event) => {
                let node = &self.entries[peer.0];
                if node.incarnation != peer.1 {
                    return;
                }
                if node.frozen > self.now {
                    return self.postpone(node.frozen, Item::ToEntry(peer, event));
                }
                self.step(peer.0, event);
            }
            Item::ToAgent(agent, incarnation, from, message) => {
                self.deliver_to_agent(agent, incarnation, from, message);
            }
            Item::Fault => self.fault(),
            Item::Restart(agent) => {
                let incarnation = self.agents[agent].incarnation + 1;
                self.agents[agent] = self.agent(agent, incarnation);
                self.post(agent, Duration::ZERO, None, Message::Announce);
            }
            Item::Control => self.control(),
        }
    }
}
