//! Leader election of the scheduler, as one entry sees it.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use cumindeck_jobs::{LeaderAction, LeaderRow, LeaderWatch};
use cumindeck_types::FencingToken;
use googletest::prelude::*;

use common::{at, limits};

const STORE_LATENCY: Duration = Duration::from_millis(10);

fn row(leader: Option<&str>, token: u64) -> LeaderRow {
    LeaderRow {
        leader: leader.map(|leader| leader.parse().expect("an entry id")),
        address: None,
        token: FencingToken::new(token),
        commit: 1,
        doubted: Vec::new(),
        workers_since: None,
        forecast: cumindeck_jobs::Forecast::default(),
    }
}

/// The view of `entry-1` after a row that was written at 1,000 ms.
fn watch(row: LeaderRow) -> LeaderWatch {
    let address = SocketAddr::from(([10, 0, 0, 1], 1));
    let mut watch = LeaderWatch::new("entry-1".parse().expect("an entry id"), address);
    watch.on_table_read();
    watch.on_row(at(1_000), 5, row);
    watch
}

fn takes_over(watch: &LeaderWatch, now: u64, confirmed: u64) -> bool {
    let action = watch.action(at(now), at(confirmed), STORE_LATENCY, &limits());
    matches!(action, LeaderAction::TakeOver(_))
}

/// Guards against a takeover from a leader that renews its lease, and against no
/// takeover from one that does not.
#[gtest]
fn leadership_is_taken_from_an_unresponsive_leader() {
    let watch = watch(row(Some("entry-0"), 1));
    expect_false!(takes_over(&watch, 1_500, 1_500));
    expect_true!(takes_over(&watch, 4_000, 4_000));
}

/// Guards against takeovers by entries that are themselves cut off from the store.
#[gtest]
fn an_unchanged_row_counts_only_while_the_store_replies() {
    let watch = watch(row(Some("entry-0"), 1));
    expect_false!(takes_over(&watch, 4_000, 1_100));
}

/// Guards against a wait although the leader stepped down or was an earlier
/// process of this entry.
#[gtest]
fn vacant_leadership_is_taken_immediately() {
    expect_true!(takes_over(&watch(row(None, 1)), 1_200, 1_000));
    expect_true!(takes_over(&watch(row(Some("entry-1"), 1)), 1_200, 1_000));
}

/// Guards against endless takeover attempts after an offer while the store is down
/// for all entries (incident inc-333e: one every 6 ms).
#[gtest]
fn an_offer_counts_for_one_takeover() {
    let mut watch = watch(row(Some("entry-0"), 1));
    expect_true!(watch.on_offer(FencingToken::new(1)));
    expect_true!(takes_over(&watch, 1_200, 1_100));
    watch.on_takeover_failed();
    expect_false!(takes_over(&watch, 1_210, 1_100));
}

/// Guards against an offer of a former leader that replaces the current one.
#[gtest]
fn an_offer_under_another_token_is_rejected() {
    let mut watch = watch(row(Some("entry-0"), 2));
    expect_false!(watch.on_offer(FencingToken::new(1)));
    expect_false!(takes_over(&watch, 1_200, 1_200));
}

/// Guards against a wait for another reply of the feed once the leader's timeout
/// has passed: it cost half a second of each takeover (replay of fresh-80fc).
#[gtest]
fn a_takeover_does_not_wait_for_another_reply_of_the_feed() {
    let watch = watch(row(Some("entry-0"), 1));
    let timeout = limits().leader_timeout() + STORE_LATENCY * 8;
    let due = at(1_000).plus(timeout);
    let feed_replied = at(1_500);
    let action = watch.action(due, feed_replied, STORE_LATENCY, &limits());
    expect_true!(matches!(action, LeaderAction::TakeOver(_)));
}

/// Guards against an entry that was replaced, is cut off from the store, and
/// attributes the row that it wrote itself to an earlier process: it attempted a
/// takeover every 250 ms (incident inc-529f).
#[gtest]
fn a_former_leader_waits_like_any_other_entry() {
    let mut watch = watch(row(Some("entry-1"), 2));
    watch.on_leadership_held(FencingToken::new(2));
    expect_false!(takes_over(&watch, 1_200, 1_100));
    expect_false!(takes_over(&watch, 8_000, 1_100));
    expect_true!(takes_over(&watch, 4_000, 4_000));
}
