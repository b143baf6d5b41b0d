//! Who gets memory and connections, and who gives way.

use std::fmt::Write as _;
use std::net::{IpAddr, Ipv4Addr};

use cumindeck_ingress::{
    Admission, Budget, Claim, Client, ConnectionId, IngressLimits, LimitsError, Phase,
};
use cumindeck_types::{ByteSize, Uptime};
use googletest::prelude::*;

/// Largest legal request of these tests.
const LARGEST: ByteSize = ByteSize::from_kib(256);

/// Time of the claims, less than 5 s after the bodies began.
const NOW: Uptime = Uptime::from_millis(20);

fn client(number: u8) -> Client {
    Client::from(IpAddr::from(Ipv4Addr::new(10, 0, 0, number)))
}

/// Budget of 1 MiB for requests.
fn budget(connections: usize) -> Budget {
    let memory = ByteSize::from_mib(8);
    let limits = IngressLimits::new(memory, None, connections, LARGEST);
    Budget::new(limits.expect("the limits can be kept"))
}

fn open(budget: &mut Budget, at: u64, number: u8) -> ConnectionId {
    match budget.open(Uptime::from_millis(at), client(number)) {
        Admission::Admitted(id, _) => id,
        Admission::Full => panic!("the budget is full"),
    }
}

fn reading(budget: &mut Budget, at: u64, number: u8, size: ByteSize) -> ConnectionId {
    let id = open(budget, at, number);
    budget.set_phase(Uptime::from_millis(at), id, Phase::Body);
    assert_that!(budget.claim(NOW, id, size), eq(&Claim::Granted));
    id
}

/// Guards against a small request that waits for a crowd of large ones.
#[gtest]
fn small_request_gets_room_beside_a_crowd() {
    let mut budget = budget(100);
    let mut lines = String::new();
    let crowd: Vec<_> = (0..4)
        .map(|at| reading(&mut budget, at, 1, LARGEST))
        .collect();
    for (number, size) in [(1, 256), (1, 100), (2, 256), (2, 1)] {
        let id = open(&mut budget, 10, number);
        let size = ByteSize::from_kib(size);
        let _ = writeln!(
            lines,
            "client {number}, {size}: {:?}",
            budget.claim(NOW, id, size)
        );
        budget.close(id);
    }
    for id in crowd {
        budget.close(id);
    }
    let _ = writeln!(lines, "held at the end: {}", budget.held());
    insta::assert_snapshot!(lines);
}

/// Guards against a request that is cut off while it is carried out, and against claims
/// that close connections without getting room.
#[gtest]
fn running_requests_keep_their_memory() {
    let mut budget = budget(100);
    let crowd: Vec<_> = (0..4)
        .map(|at| reading(&mut budget, at, 1, LARGEST))
        .collect();
    for id in &crowd {
        budget.set_phase(Uptime::from_millis(5), *id, Phase::Running);
    }
    let id = open(&mut budget, 10, 2);
    expect_that!(
        budget.claim(NOW, id, ByteSize::from_kib(1)),
        eq(&Claim::Refused)
    );
    budget.set_phase(Uptime::from_millis(11), crowd[2], Phase::Answer);
    expect_that!(
        budget.claim(NOW, id, ByteSize::from_kib(1)),
        eq(&Claim::Wait([crowd[2]].into_iter().collect()))
    );
    // The bytes count until the connection has closed.
    expect_that!(budget.held(), eq(ByteSize::from_mib(1)));
    budget.close(crowd[2]);
    expect_that!(
        budget.claim(NOW, id, ByteSize::from_kib(1)),
        eq(&Claim::Granted)
    );
}

/// Guards against a request that is refused although a stalled body holds memory, because
/// the client with most memory has an idle connection besides the requests that are being
/// carried out for it.
#[gtest]
fn idle_connection_does_not_shield_stalled_bodies() {
    let mut budget = budget(100);
    for at in 0..3 {
        let id = reading(&mut budget, at, 1, LARGEST);
        budget.set_phase(Uptime::from_millis(5), id, Phase::Running);
    }
    open(&mut budget, 6, 1);
    let stalled = reading(&mut budget, 7, 2, LARGEST);
    let id = open(&mut budget, 10, 3);
    let wanted = [stalled].into_iter().collect();
    expect_that!(
        budget.claim(NOW, id, ByteSize::from_kib(1)),
        eq(&Claim::Wait(wanted))
    );
}

/// Guards against a claim that makes several connections close and is refused.
#[gtest]
fn refused_claim_closes_nobody() {
    let mut budget = budget(100);
    let small: Vec<_> = (0..8)
        .map(|at| reading(&mut budget, at, 1, ByteSize::from_kib(128)))
        .collect();
    let id = open(&mut budget, 10, 1);
    expect_that!(budget.claim(NOW, id, LARGEST), eq(&Claim::Refused));
    let other = open(&mut budget, 11, 2);
    let wanted = [small[0], small[1]].into_iter().collect();
    expect_that!(budget.claim(NOW, other, LARGEST), eq(&Claim::Wait(wanted)));
}

/// Guards against bodies that stay open and keep a request of the largest size out.
#[gtest]
fn body_that_stays_open_gives_way_to_any_other() {
    let mut budget = budget(100);
    let crowd: Vec<_> = (0..4)
        .map(|at| reading(&mut budget, at, 1, LARGEST))
        .collect();
    let id = open(&mut budget, 5_000, 1);
    let at = Uptime::from_millis(5_000);
    expect_that!(budget.claim(at, id, LARGEST), eq(&Claim::Refused));
    let at = Uptime::from_millis(5_002);
    let wanted = [crowd[0]].into_iter().collect();
    expect_that!(budget.claim(at, id, LARGEST), eq(&Claim::Wait(wanted)));
}

/// Guards against a client with many connections that keeps others out.
#[gtest]
fn connection_of_the_client_with_most_gives_way() {
    let mut budget = budget(4);
    let first = open(&mut budget, 0, 2);
    let crowd: Vec<_> = (1..4).map(|at| open(&mut budget, at, 1)).collect();
    let mut lines = String::new();
    for (at, number) in [(4, 3), (5, 2)] {
        let admission = budget.open(Uptime::from_millis(at), client(number));
        let _ = writeln!(lines, "client {number}: {admission:?}");
    }
    let _ = writeln!(lines, "first {first}, crowd {crowd:?}");
    insta::assert_snapshot!(lines);
}

/// Guards against a new connection that is turned away because requests are carried out on
/// all others at the moment when it comes.
#[gtest]
fn connection_without_a_request_closes_for_a_new_one() {
    let mut budget = budget(2);
    let ids: Vec<_> = (0..2).map(|at| open(&mut budget, at, 1)).collect();
    for id in &ids {
        budget.set_phase(Uptime::from_millis(2), *id, Phase::Running);
    }
    expect_that!(
        budget.open(Uptime::from_millis(3), client(2)),
        eq(&Admission::Full)
    );
    let now = Uptime::from_millis(4);
    expect_that!(budget.set_phase(now, ids[1], Phase::Answer), eq(false));
    expect_that!(budget.set_phase(now, ids[1], Phase::Head), eq(true));
    expect_that!(budget.set_phase(now, ids[0], Phase::Head), eq(false));
    expect_that!(
        budget.open(now, client(2)),
        matches_pattern!(Admission::Admitted(_, is_empty()))
    );
}

/// Guards against memory that stays held after its connection has ended.
#[gtest]
fn everything_is_given_back() {
    let mut budget = budget(100);
    let id = reading(&mut budget, 0, 1, ByteSize::from_kib(8));
    budget.release(id, ByteSize::from_kib(3));
    expect_that!(budget.held(), eq(ByteSize::from_kib(5)));
    budget.release(id, ByteSize::from_kib(9));
    expect_that!(budget.held(), eq(ByteSize::new(0)));
    expect_that!(
        budget.claim(NOW, id, ByteSize::from_kib(8)),
        eq(&Claim::Granted)
    );
    budget.close(id);
    expect_that!(
        (budget.held(), budget.connections()),
        eq((ByteSize::new(0), 0))
    );
    expect_that!(
        budget.claim(NOW, id, ByteSize::from_kib(1)),
        eq(&Claim::Refused)
    );
}

/// Guards against limits under which no legal request is served, or that the memory of the
/// machine does not bear.
#[gtest]
fn limits_that_cannot_be_kept_are_refused() {
    let memory = ByteSize::from_mib(1);
    let small = IngressLimits::new(memory, None, 10, LARGEST);
    let requests = ByteSize::from_kib(128);
    expect_that!(
        small,
        err(eq(LimitsError::BelowOneRequest {
            requests,
            largest: LARGEST
        }))
    );
    let requests = ByteSize::from_kib(600);
    let large = IngressLimits::new(memory, Some(requests), 10, LARGEST);
    expect_that!(
        large,
        err(eq(LimitsError::AboveMemory { requests, memory }))
    );
}
