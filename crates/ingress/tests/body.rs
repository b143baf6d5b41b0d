//! Growth and time limits of one body.

use std::fmt::Write as _;

use cumindeck_ingress::{BodyBuffer, BodyStep, BodyTimer, IngressLimits};
use cumindeck_types::{ByteSize, Uptime};
use googletest::prelude::*;

/// Guards against memory beyond the size of a body, and against a claim for each chunk.
#[gtest]
fn chunks_of_one_byte_grow_in_steps() {
    let limit = ByteSize::from_kib(100);
    let (mut buffer, first) = BodyBuffer::new(limit, None).expect("a body");
    let mut lines = format!("first {first}\n");
    let mut claimed = 0;
    for at in 1..=limit.bytes() {
        if let BodyStep::Grow(size) = buffer.append(1).expect("within the limit") {
            claimed += size.bytes();
            let _ = writeln!(lines, "byte {at}: {size}");
        }
    }
    let _ = writeln!(lines, "claimed {}", ByteSize::new(claimed));
    let _ = writeln!(lines, "one more: {:?}", buffer.append(1));
    insta::assert_snapshot!(lines);
}

/// Guards against a body that is read although its length is above the limit.
#[gtest]
fn length_decides_before_the_first_byte() {
    let limit = ByteSize::from_kib(256);
    let exact = BodyBuffer::new(limit, Some(limit.bytes())).expect("a legal body");
    expect_that!(exact.1, eq(limit));
    expect_that!(
        BodyBuffer::new(limit, Some(limit.bytes() + 1)),
        err(anything())
    );
}

/// Guards against a body that stays open for ever, and against one that is cut off while
/// it arrives at a usual rate.
#[gtest]
fn patience_follows_the_received_bytes() {
    let memory = ByteSize::from_mib(128);
    let limits = IngressLimits::new(memory, None, 10, ByteSize::from_mib(1));
    let limits = limits.expect("the limits can be kept");
    let at = Uptime::from_millis;
    let mut timer = BodyTimer::new(at(0));
    let mut lines = String::new();
    for (now, len) in [
        (0, 0),
        (10_000, 1),
        (14_900, 81_920),
        (24_000, 1),
        (24_900, 1),
    ] {
        timer.receive(at(now), len);
        let _ = writeln!(
            lines,
            "{now} ms, {len} bytes: {:?}",
            timer.patience(at(now), &limits)
        );
    }
    insta::assert_snapshot!(lines);
}
