//! Leader discovery of an agent.

use std::net::SocketAddr;
use std::time::Duration;

use cumindeck_jobs::{ExchangeReply, LeaderDiscovery, SearchStep};
use cumindeck_types::{FencingToken, Uptime};
use googletest::prelude::*;

fn entry(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], number))
}

fn at(millis: u64) -> Uptime {
    Uptime::from_millis(millis)
}

fn reply(is_leader: bool, leader: Option<u16>, token: u64) -> ExchangeReply {
    ExchangeReply {
        sequence: 1,
        is_leader,
        leader: leader.map(entry),
        entries: vec![entry(1), entry(2), entry(3)],
        token: FencingToken::new(token),
        process: None,
        confirmed_age_ms: 0,
        worker_started_ms: 0,
        recorded_ends: 0,
        doubts_ends: false,
        knows_incarnation: false,
        speeds: None,
        orders: Vec::new(),
    }
}

/// A search that has entry 1 as leader under token 1 and queried it again at 1,000 ms.
fn search() -> LeaderDiscovery {
    let mut search = LeaderDiscovery::default();
    search.on_entries(Some(entry(1)), vec![entry(1), entry(2), entry(3)]);
    search.due(at(900));
    search.on_reply(at(1_000), entry(1), &reply(true, Some(1), 1));
    assert_eq!(search.due(at(1_000)).as_slice(), [entry(1)]);
    search
}

/// Queries from 1,000 ms on until an entry replies as the leader and returns that
/// time. A reply takes 10 ms, a query without a reply 1,200 ms.
fn found_at(
    search: &mut LeaderDiscovery,
    reply_of: impl Fn(SocketAddr) -> Option<ExchangeReply>,
) -> u64 {
    let mut in_flight: Vec<(u64, SocketAddr)> = vec![(1_010, entry(1))];
    for now in (1_000..6_000).step_by(10) {
        in_flight.sort_unstable();
        while let Some((_, from)) = in_flight.first().copied().filter(|it| it.0 <= now) {
            in_flight.remove(0);
            let Some(reply) = reply_of(from) else {
                search.on_no_reply(at(now), from);
                continue;
            };
            if search.on_reply(at(now), from, &reply) == SearchStep::Apply {
                return now;
            }
        }
        for queried in search.due(at(now)) {
            let wait = if reply_of(queried).is_some() {
                10
            } else {
                1_200
            };
            in_flight.push((now + wait, queried));
        }
    }
    panic!("no leader was found in 5 s");
}

/// Guards against agents that stay with a former leader which is cut off from
/// the store and can't know its successor.
#[gtest]
fn a_former_leader_is_abandoned() {
    let mut search = search();
    let found = found_at(&mut search, |queried| match queried {
        it if it == entry(1) || it == entry(2) => Some(reply(false, Some(1), 1)),
        _ => Some(reply(true, Some(3), 2)),
    });
    expect_that!(found, le(1_500));
    expect_that!(search.leader(), some(eq(entry(3))));
}

/// Guards against a search that begins only after the query to an unresponsive
/// leader has timed out: an agent got orders 2 s after a takeover (trouble-3 of
/// plume-thies).
#[gtest]
fn other_entries_are_queried_while_the_leader_does_not_reply() {
    let mut search = search();
    expect_that!(search.due(at(1_600)).as_slice(), eq([].as_slice()));
    let late = LeaderDiscovery::ORDER_WAIT + Duration::from_millis(160);
    let queried = search.due(at(1_000).plus(late));
    expect_that!(queried.as_slice(), eq([entry(2), entry(3)].as_slice()));
    let step = search.on_reply(at(1_900), entry(3), &reply(true, Some(3), 2));
    expect_that!(step, eq(SearchStep::Apply));
    expect_that!(search.leader(), some(eq(entry(3))));
}

/// Guards against agents that query only a terminated leader because entries still
/// reply with its address.
#[gtest]
fn a_dead_leader_does_not_hide_its_successor() {
    let mut search = search();
    search.on_no_reply(at(1_000), entry(1));
    let queried = search.due(at(1_010));
    expect_that!(queried.as_slice(), contains(eq(&entry(2))));
    search.on_reply(at(1_020), entry(2), &reply(false, Some(1), 1));
    let queried = search.due(at(1_200));
    expect_that!(queried.as_slice(), contains(eq(&entry(2))));
}

/// Guards against agents that do not follow a takeover which an entry reports.
#[gtest]
fn a_reply_with_a_newer_token_identifies_the_leader() {
    let mut search = search();
    search.on_reply(at(1_100), entry(2), &reply(false, Some(3), 2));
    expect_that!(search.leader(), some(eq(entry(3))));
    expect_that!(search.due(at(1_100)).as_slice(), contains(eq(&entry(3))));
}

/// Guards against a return to a former leader that still replies as the leader.
#[gtest]
fn a_leader_with_a_lower_token_is_ignored() {
    let mut search = search();
    search.on_reply(at(1_100), entry(2), &reply(true, Some(2), 2));
    let step = search.on_reply(at(1_200), entry(1), &reply(true, Some(1), 1));
    expect_that!(step, eq(SearchStep::Ignore));
    expect_that!(search.leader(), some(eq(entry(2))));
}

/// Guards against a worker that stays idle after a short network partition: its
/// leader failed to reply once and stays the leader (simulation seed 60).
#[gtest]
fn a_leader_that_replies_again_is_found() {
    let mut search = search();
    search.on_no_reply(at(1_000), entry(1));
    let found = found_at(&mut search, |queried| match queried {
        it if it == entry(1) => Some(reply(true, Some(1), 1)),
        _ => Some(reply(false, Some(1), 1)),
    });
    expect_that!(found, le(2_000));
}

/// Guards against an agent that never reads the entries from the store again after
/// all entries that it knows have terminated.
#[gtest]
fn the_store_is_read_when_no_entry_replies() {
    let mut search = search();
    expect_false!(search.needs_entry_list());
    for number in [1, 2, 3, 1] {
        search.on_no_reply(at(1_000), entry(number));
    }
    expect_true!(search.needs_entry_list());
}
