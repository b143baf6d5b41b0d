//! Simulation of entries, agents and callers on a virtual clock, with injected faults.

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

/// A safeguard that is disabled, to show that the checks detect it.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum DisabledSafeguard {
    Nothing,
    ClaimsOff,
    RetryAfterMayHaveRun,
    HistoryIgnored,
}

pub struct EntryNode {
    machine: EntryMachine,
    incarnation: u64,
    paused_until: Uptime,
    wakeup_at: Option<Uptime>,
    request_count: u64,
    ring: RingVersion,
}

struct AgentNode {
    admission: AdmissionMachine,
    claims: ClaimTable,
    incarnation: u64,
    is_alive: bool,
    paused_until: Uptime,
    leaving: Option<Uptime>,
    muted_until: Uptime,
    /// Offset of the wall clock from true time, in milliseconds.
    clock_ms: i64,
    /// Sender and deadline of each dispatch that has no reply yet.
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

enum SimEvent {
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
    UpdateRing,
}

pub struct Simulation {
    now: Uptime,
    seq: u64,
    /// Sequence number of the event that is delivered.
    current_seq: u64,
    events: BTreeMap<(Uptime, u64), SimEvent>,
    rng: ChaCha8Rng,
    entries: Vec<EntryNode>,
    agents: Vec<AgentNode>,
    ring: Ring,
    last_seen: BTreeMap<AgentId, (Incarnation, Uptime)>,
    /// When messages from each region can reach the other one again.
    cut_until: [Uptime; 2],
    pub checks: Checks,
    disabled: DisabledSafeguard,
}

fn id<T: std::str::FromStr<Err = IdError>>(text: &str) -> T {
    text.parse().expect("valid id")
}

/// Returns the region of a node: one for even nodes, the other for odd ones.
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

impl Simulation {
    pub fn new(seed: u64, disabled: DisabledSafeguard) -> Self {
        let ring = Ring {
            region: region(0),
            version: RingVersion::new(0),
            members: Vec::new(),
        };
        let mut simulation = Self {
            now: Uptime::ZERO,
            seq: 0,
            current_seq: 0,
            events: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            entries: Vec::new(),
            agents: Vec::new(),
            ring,
            last_seen: BTreeMap::new(),
            cut_until: [Uptime::ZERO; 2],
            checks: Checks::default(),
            disabled,
        };
        for entry in 0..3 {
            let machine = EntryMachine::new(config(entry), seed + entry as u64);
            let ring = RingVersion::new(0);
            simulation.entries.push(EntryNode {
                machine,
                incarnation: 0,
                paused_until: Uptime::ZERO,
                wakeup_at: None,
                request_count: 0,
                ring,
            });
        }
        for agent in 0..5 {
            let node = simulation.agent(agent, 0);
            simulation.agents.push(node);
            simulation.send_to_agent(agent, Duration::ZERO, None, Message::Announce);
        }
        for _ in 0..60 {
            let at = simulation.random_millis(8_000..45_000);
            let key = match simulation.rng.random_range(0..4) {
                0 => None,
                1 => Some(
                    format!("opaque-{}", simulation.rng.random::<u64>())
                        .parse()
                        .expect("valid key"),
                ),
                _ => Some(simulation.timed_key(at)),
            };
            let entry = simulation.rng.random_range(0..3);
            let is_idempotent = simulation.rng.random_range(0..4) == 0;
            let repeats = if key.is_some() {
                simulation.rng.random_range(0..4)
            } else {
                0
            };
            simulation.schedule(
                at,
                SimEvent::Submit {
                    entry,
                    key,
                    is_idempotent,
                    repeats,
                },
            );
        }
        for _ in 0..simulation.rng.random_range(0..14) {
            let at = simulation.random_millis(5_000..50_000);
            simulation.schedule(at, SimEvent::Fault);
        }
        simulation.schedule(Duration::from_secs(1), SimEvent::UpdateRing);
        simulation
    }

    /// Runs to the end or to the first violated invariant.
    pub fn run(mut self) -> Checks {
        while let Some(((at, seq), event)) = self.events.pop_first() {
            if at > END || self.checks.violation.is_some() {
                break;
            }
            (self.now, self.current_seq) = (at, seq);
            self.deliver(event);
        }
        for (entry, node) in self.entries.iter().enumerate() {
            if let Some(id) = self.checks.unanswered(entry, node.incarnation) {
                self.checks.fail(format!("P4: {id} got no reply"));
            }
        }
        self.checks
    }

    fn random_millis(&mut self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.rng.random_range(range))
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.rng.random_range(0..100) < percent
    }

    /// Returns a key from a caller whose clock is off by up to one second.
    fn timed_key(&mut self, at: Duration) -> IdempotencyKey {
        let true_ms = EPOCH_MS + at.as_millis() as i64;
        let ms = (true_ms + self.rng.random_range(-1000..1000)) as u64;
        let uuid = uuid::Builder::from_unix_timestamp_millis(ms, &self.rng.random()).into_uuid();
        uuid.to_string().parse().expect("valid key")
    }

    fn schedule(&mut self, delay: Duration, event: SimEvent) {
        self.seq += 1;
        self.events.insert((self.now.plus(delay), self.seq), event);
    }

    /// Delays an event until the end of a pause, keeping the order of sending.
    fn delay_until(&mut self, until: Uptime, event: SimEvent) {
        self.events.insert((until, self.current_seq), event);
    }

    fn send_to_agent(
        &mut self,
        agent: usize,
        delay: Duration,
        from: Option<Peer>,
        message: Message,
    ) {
        let incarnation = self.agents[agent].incarnation;
        self.schedule(delay, SimEvent::ToAgent(agent, incarnation, from, message));
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
            admission: AdmissionMachine::new(AdmissionConfig {
                slots: SLOTS as u32,
                connections: 3,
            }),
            claims: ClaimTable::new(cfg, self.now, wall),
            incarnation,
            is_alive: true,
            paused_until: Uptime::ZERO,
            leaving: None,
            muted_until: Uptime::ZERO,
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
    fn network_delay(&mut self, a: usize, b: usize) -> Option<Duration> {
        let is_far = region(a) != region(b);
        if (is_far && self.now < self.cut_until[a % 2]) || self.chance(4) {
            return None;
        }
        let base = if is_far { 20 } else { 1 };
        let late = if self.chance(5) { 3000 } else { 5 };
        Some(self.random_millis(base..base + late))
    }

    fn deliver(&mut self, event: SimEvent) {
        match event {
            SimEvent::Submit {
                entry,
                key,
                is_idempotent,
                repeats,
            } => {
                if repeats > 0 {
                    let next = self.rng.random_range(0..3);
                    let wait = if self.chance(30) {
                        self.random_millis(0..30)
                    } else {
                        self.random_millis(0..3000)
                    };
                    let key = key.clone();
                    self.schedule(
                        wait,
                        SimEvent::Submit {
                            entry: next,
                            key,
                            is_idempotent,
                            repeats: repeats - 1,
                        },
                    );
                }
                self.submit(entry, key, is_idempotent);
            }
            SimEvent::ToEntry(peer, event) => {
                let node = &self.entries[peer.0];
                if node.incarnation != peer.1 {
                    return;
                }
                if node.paused_until > self.now {
                    return self.delay_until(node.paused_until, SimEvent::ToEntry(peer, event));
                }
                self.step(peer.0, event);
            }
            SimEvent::ToAgent(agent, incarnation, from, message) => {
                self.deliver_to_agent(agent, incarnation, from, message);
            }
            SimEvent::Fault => self.inject_fault(),
            SimEvent::Restart(agent) => {
                let incarnation = self.agents[agent].incarnation + 1;
                self.agents[agent] = self.agent(agent, incarnation);
                self.send_to_agent(agent, Duration::ZERO, None, Message::Announce);
            }
            SimEvent::UpdateRing => self.update_ring(),
        }
    }
}
