//! Agents known to an entry, and the choice of entries by an agent.

use std::fmt::Write as _;

use cumindeck_control::membership::{
    AgentDirectory, announce_targets, announcement_entries, first_announce_delay,
};
use cumindeck_types::message::{AgentState, Announcement, EntryAddress};
use cumindeck_types::{FencingToken, Incarnation, RingVersion, Uptime};

const fn at(millis: u64) -> Uptime {
    Uptime::from_millis(millis)
}

fn announcement(agent: &str, incarnation: u64, state: AgentState) -> Announcement {
    Announcement {
        agent: agent.parse().unwrap(),
        incarnation: Incarnation::new(incarnation),
        zone: "nbo-a".parse().unwrap(),
        region: "nairobi".parse().unwrap(),
        address: ([127, 0, 0, 1], 1).into(),
        state,
        slots: 8,
        connections: 64,
        in_flight: 0,
        ring_version: RingVersion::new(1),
        worker: "w-1".parse().unwrap(),
        rack: "r-1".parse().unwrap(),
        accelerators: 8,
        newest_token: FencingToken::new(1),
        tasks: Vec::new(),
    }
}

/// Guards against an earlier incarnation that replaces a newer one, and against late
/// detection of missing announcements.
#[test]
fn missing_announcements_and_incarnations() {
    let mut trace = String::new();
    let mut directory = AgentDirectory::new(at(0));
    let (serving, leaving) = (AgentState::Serving, AgentState::Leaving);
    for (agent, incarnation, state) in [
        ("a-1", 2, serving),
        ("a-1", 1, leaving),
        ("a-2", 1, leaving),
        ("a-2", 1, serving),
        ("a-2", 2, serving),
    ] {
        let change = directory.on_announce(at(0), announcement(agent, incarnation, state));
        let health = directory.health(at(0), &agent.parse().unwrap()).unwrap();
        writeln!(
            trace,
            "{agent} incarnation {incarnation} {state:?}: {change:?}, {health:?}"
        )
        .unwrap();
    }
    for second in 1..=8 {
        let now = at(second * 1000);
        directory.on_announce(now, announcement("a-2", 2, serving));
        for change in directory.changes(now) {
            writeln!(trace, "{now} {change:?}").unwrap();
        }
    }
    insta::assert_snapshot!(trace);
}

/// Guards against an isolated entry that removes all agents from membership.
#[test]
fn entry_suspects_its_own_isolation_first() {
    let mut trace = String::new();
    let mut directory = AgentDirectory::new(at(0));
    let serving = AgentState::Serving;
    directory.on_announce(at(0), announcement("a-1", 1, serving));
    directory.on_announce(at(0), announcement("a-2", 1, serving));
    for now in [1999, 2000, 60_000].map(at) {
        writeln!(
            trace,
            "{now} isolated={} {:?}",
            directory.is_isolated(now),
            directory.changes(now)
        )
        .unwrap();
    }
    directory.on_announce(at(60_000), announcement("a-1", 1, serving));
    for now in [60_999, 61_000].map(at) {
        writeln!(trace, "{now} {:?}", directory.changes(now)).unwrap();
    }
    insta::assert_snapshot!(trace);
}

/// Guards against entries that most agents choose, and a whole fleet
/// announcing at the same time.
#[test]
fn announcements_are_spread() {
    let entries: Vec<_> = (1..=5u16)
        .map(|i| EntryAddress {
            entry: format!("entry-{i}").parse().unwrap(),
            address: ([127, 0, 0, 1], i).into(),
        })
        .collect();
    let leader = Some(([127, 0, 0, 1], 9).into());
    let (mut by_entry, mut by_half_second) = ([0; 5], [0; 4]);
    for i in 0..1000 {
        let agent = format!("agent-{i}").parse().unwrap();
        let targets = announce_targets(&agent, &entries, leader);
        assert_eq!((targets.len(), targets.last().copied()), (3, leader));
        // An entry sends only these entries; the agent must choose the same ones.
        let chosen = announcement_entries(&agent, entries.clone());
        assert_eq!(chosen.len(), 2);
        assert_eq!(announce_targets(&agent, &chosen, leader), targets);
        for target in &targets[..2] {
            by_entry[usize::from(target.port()) - 1] += 1;
        }
        let delay = first_announce_delay(&agent, Incarnation::new(1));
        by_half_second[(delay.as_millis() / 500) as usize] += 1;
    }
    insta::assert_snapshot!(format!("{by_entry:?}\n{by_half_second:?}"));
}
