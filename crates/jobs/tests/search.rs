//! An agent's search for the holder of the scheduling duty.

use std::net::SocketAddr;

use cumindeck_jobs::{ExchangeReply, HolderSearch, SearchStep};
use cumindeck_types::FencingToken;
use googletest::prelude::*;

fn entry(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], number))
}

fn reply(is_holder: bool, holder: Option<u16>, token: u64) -> ExchangeReply {
    ExchangeReply {
        sequence: 1,
        is_holder,
        holder: holder.map(entry),
        entries: vec![entry(1), entry(2), entry(3)],
        token: FencingToken::new(token),
        confirmed_age_ms: 0,
        life_born_ms: 0,
        recorded_ends: 0,
        orders: Vec::new(),
    }
}

/// A search that follows entry 1 under token 1.
fn search() -> HolderSearch {
    let mut search = HolderSearch::default();
    search.on_entries(Some(entry(1)), vec![entry(1), entry(2), entry(3)]);
    search.on_reply(entry(1), &reply(true, Some(1), 1));
    search
}

/// Asks the target until an entry answers as the holder; returns the questions.
fn ask(search: &mut HolderSearch, answer: impl Fn(SocketAddr) -> Option<ExchangeReply>) -> usize {
    for asked in 1..=20 {
        let target = search.target().expect("a target");
        let step = match answer(target) {
            Some(reply) => search.on_reply(target, &reply),
            None => search.on_silence(target),
        };
        if step == SearchStep::Follow {
            return asked;
        }
    }
    panic!("no holder was found in 20 questions");
}

/// Guards against agents that stay with a former holder which is cut off from
/// the store and can't know its successor.
#[gtest]
fn a_former_holder_without_news_is_left() {
    let mut search = search();
    let questions = ask(&mut search, |entry_| match entry_ {
        it if it == entry(1) => Some(reply(false, Some(1), 1)),
        it if it == entry(2) => Some(reply(false, Some(1), 1)),
        _ => Some(reply(true, Some(3), 2)),
    });
    expect_that!(questions, le(4));
    expect_that!(search.target(), some(eq(entry(3))));
}

/// Guards against agents that ask a dead holder again and again because
/// entries still name it.
#[gtest]
fn a_silent_holder_is_not_asked_again_under_its_token() {
    let mut search = search();
    expect_that!(search.on_silence(entry(1)), eq(SearchStep::AskAgain));
    let next = search.target().expect("a target");
    expect_that!(next, not(eq(entry(1))));
    search.on_reply(next, &reply(false, Some(1), 1));
    expect_that!(search.target(), not(some(eq(entry(1)))));
}

/// Guards against agents that do not follow a takeover which an entry tells of.
#[gtest]
fn a_newer_token_names_the_holder() {
    let mut search = search();
    search.on_reply(entry(2), &reply(false, Some(3), 2));
    expect_that!(search.target(), some(eq(entry(3))));
}

/// Guards against a return to a former holder that still answers as one.
#[gtest]
fn a_lower_token_is_not_followed() {
    let mut search = search();
    search.on_reply(entry(2), &reply(true, Some(2), 2));
    let step = search.on_reply(entry(1), &reply(true, Some(1), 1));
    expect_that!(step, eq(SearchStep::AskAgain));
    expect_that!(search.target(), some(eq(entry(2))));
}

/// Guards against a worker that stays idle for good after a short cut: its
/// holder was silent once and keeps the duty (simulation seed 60).
#[gtest]
fn a_holder_that_answers_again_is_found() {
    let mut search = search();
    search.on_silence(entry(1));
    let questions = ask(&mut search, |asked| match asked {
        it if it == entry(1) => Some(reply(true, Some(1), 1)),
        _ => Some(reply(false, Some(1), 1)),
    });
    expect_that!(questions, le(8));
}
