//! Guards against a key that is granted to two requests, whatever the clocks
//! of the agents show, and against claims that take unbounded memory.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use cumindeck_requests::{ClaimConfig, ClaimTable, Ring, RingMember};
use cumindeck_types::message::{Claim, ClaimReply};
use cumindeck_types::{FencingToken, IdempotencyKey, Incarnation, Remaining, RingVersion, Uptime};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const EPOCH_MS: i64 = 1_700_000_000_000;
const RETENTION: Duration = Duration::from_secs(30);

fn member(agent: u64, incarnation: u64) -> RingMember {
    let agent = format!("a{agent}").parse().expect("valid id");
    let incarnation = Incarnation::new(incarnation);
    RingMember { agent, incarnation }
}

fn ring(version: u64, members: Vec<RingMember>) -> Ring {
    Ring {
        region: "dakar".parse().expect("valid region"),
        version: RingVersion::new(version),
        members,
    }
}

fn claim(key: &IdempotencyKey, id: u64, version: RingVersion) -> Claim {
    Claim {
        team: "team".parse().expect("valid team"),
        key: key.clone(),
        entry: "e0".parse().expect("valid id"),
        id: format!("r{id}").parse().expect("valid id"),
        ring_version: version,
        remaining: Remaining::new(Duration::from_secs(1)),
    }
}

fn timed_key(ms: i64, rng: &mut ChaCha8Rng) -> IdempotencyKey {
    let bytes = rng.random();
    let uuid = uuid::Builder::from_unix_timestamp_millis(ms as u64, &bytes).into_uuid();
    uuid.to_string().parse().expect("valid key")
}

fn wall(now: Uptime, clock_ms: i64) -> Duration {
    let ms = EPOCH_MS + now.as_duration().as_millis() as i64 + clock_ms;
    Duration::from_millis(ms as u64)
}

fn table(member: &RingMember, now: Uptime, clock_ms: i64, capacity: usize) -> ClaimTable {
    let mut cfg = ClaimConfig::new(member.clone());
    (cfg.retention, cfg.capacity) = (RETENTION, capacity);
    ClaimTable::new(cfg, now, wall(now, clock_ms))
}

/// Replies of a run by kind, and the first key that was granted twice.
#[derive(Default)]
struct Outcome {
    replies: BTreeMap<String, u32>,
    granted_twice: Option<String>,
}

/// Simulates agents that restart, leave, pause and have clock jumps while entries with
/// old and new rings claim keys. Rings change without waiting for leases, and a
/// replaced process continues to serve.
fn run(seed: u64) -> Outcome {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut now = Uptime::from_millis(1_000_000);
    let mut processes: BTreeMap<RingMember, (ClaimTable, i64)> = BTreeMap::new();
    let mut newest = [0u64; 3];
    for agent in 0..3 {
        let member = member(agent, 0);
        processes.insert(member.clone(), (table(&member, now, 0, 1000), 0));
    }
    let mut rings = vec![ring(1, processes.keys().cloned().collect())];
    let mut leases: Vec<(Uptime, Uptime, RingMember, Ring)> = Vec::new();
    let mut keys: VecDeque<(IdempotencyKey, Uptime)> = VecDeque::new();
    let mut granted: BTreeMap<IdempotencyKey, u64> = BTreeMap::new();
    let mut outcome = Outcome::default();
    for step in 0..600 {
        now = now.plus(Duration::from_millis(rng.random_range(0..800)));
        let current = rings.last().expect("a ring").clone();
        for member in &current.members {
            let ask_at = now.plus(Duration::from_millis(rng.random_range(0..600)));
            let late = if rng.random_range(0..20) == 0 {
                9000
            } else {
                300
            };
            let at = ask_at.plus(Duration::from_millis(rng.random_range(0..late)));
            leases.push((at, now, member.clone(), current.clone()));
        }
        leases.sort_by_key(|(at, ..)| *at);
        while leases.first().is_some_and(|(at, ..)| *at <= now) {
            let (_, sent_at, member, ring) = leases.remove(0);
            let (table, clock) = processes.get_mut(&member).expect("known process");
            let version = ring.version;
            table.install_ring(now, wall(now, *clock), ring);
            table.on_lease(
                FencingToken::new(1),
                version,
                sent_at.plus(Duration::from_secs(8)),
            );
        }
        if rng.random_range(0..60) == 0 {
            let agent = rng.random_range(0..3);
            let mut members = current.members.clone();
            members.retain(|m| m.agent != member(agent, 0).agent);
            let is_removed = rng.random_range(0..3) == 0 && !members.is_empty();
            if !is_removed {
                newest[agent as usize] += rng.random_range(0..2);
                let member = member(agent, newest[agent as usize]);
                let clock = rng.random_range(-1000..1000);
                let new = || (table(&member, now, clock, 1000), clock);
                processes.entry(member.clone()).or_insert_with(new);
                members.push(member);
            }
            rings.push(ring(current.version.get() + 1, members));
        }
        if rng.random_range(0..40) == 0 {
            let index = rng.random_range(0..processes.len());
            let (_, clock) = processes.values_mut().nth(index).expect("index in range");
            *clock += rng.random_range(-120_000..120_000);
        }
        if rng.random_range(0..3) == 0 {
            let max_offset_ms = if rng.random_range(0..5) == 0 {
                20_000
            } else {
                1000
            };
            let made =
                wall(now, rng.random_range(-max_offset_ms..max_offset_ms)).as_millis() as i64;
            let key = match rng.random_range(0..3) {
                0 => format!("opaque-{step}").parse().expect("valid key"),
                _ => timed_key(made, &mut rng),
            };
            keys.push_back((key, now));
        }
        if keys.len() > 60 {
            keys.pop_front();
        }
        for _ in 0..4.min(keys.len()) {
            let (key, made) = &keys[rng.random_range(0..keys.len())];
            if key.made_at().is_none() && now.since(*made) >= RETENTION {
                continue;
            }
            let known = &rings[rings.len() - 1 - rng.random_range(0..rings.len().min(2))];
            let Some(home) = known.home(key) else {
                continue;
            };
            let (table, clock) = processes.get_mut(home).expect("known process");
            let id = rng.random();
            let reply = table.claim(now, wall(now, *clock), &claim(key, id, known.version));
            *outcome.replies.entry(format!("{reply:?}")).or_default() += 1;
            if reply == ClaimReply::Granted && granted.insert(key.clone(), id).is_some() {
                outcome.granted_twice = Some(format!("{key} at step {step}"));
                return outcome;
            }
        }
    }
    outcome
}

#[test]
fn no_key_is_granted_twice() {
    let mut replies: BTreeMap<String, u32> = BTreeMap::new();
    for seed in 0..200 {
        let outcome = run(seed);
        assert_eq!(outcome.granted_twice, None, "seed {seed}");
        for (reply, count) in outcome.replies {
            *replies.entry(reply).or_default() += count;
        }
    }
    println!("{replies:?}");
    for reply in [
        "Granted",
        "AlreadyClaimed",
        "Uncertain",
        "NotHome",
        "NotReady",
    ] {
        assert!(replies.contains_key(reply), "{reply} never happened");
    }
}

/// Memory stays bounded: a full table refuses claims until held ones are released.
#[test]
fn a_full_table_refuses_until_a_claim_is_settled() {
    let me = member(0, 0);
    let mut table = table(&me, Uptime::ZERO, 0, 2);
    table.install_ring(Uptime::ZERO, wall(Uptime::ZERO, 0), ring(1, vec![me]));
    let now = Uptime::from_millis(60_000);
    let version = RingVersion::new(1);
    let outage = now.plus(Duration::from_secs(75 * 60));
    table.on_lease(FencingToken::new(1), version, outage);
    let keys = ["k1", "k2", "k3"].map(|key| key.parse::<IdempotencyKey>().expect("valid key"));
    let mut lines = String::new();
    let mut claim_key = |table: &mut ClaimTable, at: Uptime, key: &IdempotencyKey, id| {
        let reply = table.claim(at, wall(at, 0), &claim(key, id, version));
        lines += &format!("{at} {key} for r{id}: {reply:?}, {} held\n", table.len());
    };
    for (id, key) in keys.iter().enumerate() {
        claim_key(&mut table, now, key, id as u64);
    }
    claim_key(&mut table, now, &keys[0], 0);
    claim_key(&mut table, now, &keys[0], 7);
    let first = claim(&keys[0], 0, version);
    table.release(&first);
    claim_key(&mut table, now, &keys[2], 8);
    // An outage lease is valid for its whole length, until a lease under a higher token
    // replaces it.
    claim_key(&mut table, now.plus(Duration::from_secs(8)), &keys[0], 9);
    let short = now.plus(Duration::from_secs(10));
    table.on_lease(FencingToken::new(2), version, short);
    table.on_lease(FencingToken::new(1), version, outage);
    claim_key(&mut table, short, &keys[0], 9);
    insta::assert_snapshot!(lines);
}
