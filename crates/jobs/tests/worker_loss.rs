//! When an agent gives up the runs of a worker that does not answer.

mod common;

use std::time::Duration;

use cumindeck_jobs::{
    AckOutcome, AgentCore, Order, RenewCall, RenewFailure, RenewReply, StartOutcome,
};
use cumindeck_types::{FencingToken, Incarnation, Uptime};
use googletest::prelude::*;

use common::{STARTED_MS, at, incarnation, limits, reply, run, start, task, worker};

/// Time between two renewals, in milliseconds.
const STEP_MS: u64 = 250;

/// What becomes of a renewal.
#[derive(Clone, Copy)]
enum Outcome {
    Answered,
    /// Nothing listens at the worker's address.
    NotSent,
    /// There is no reply.
    Unknown,
}

/// An agent whose leader replies at each step; its worker runs one task.
struct Play {
    core: AgentCore,
    now: Uptime,
    /// Local time until which the leases last that were sent and may have arrived, on
    /// a worker's clock that is 2 % slow.
    leases_until: Uptime,
    lines: Vec<String>,
}

impl Play {
    fn unknown_worker() -> Self {
        let agent = "agent-1".parse().expect("an agent id");
        Self {
            core: AgentCore::new(agent, Incarnation::new(1), limits()),
            now: at(0),
            leases_until: at(0),
            lines: Vec::new(),
        }
    }

    fn new() -> Self {
        let mut play = Self::unknown_worker();
        play.core.on_heartbeat(at(0), incarnation());
        play.step(Outcome::Answered, Vec::new());
        play.step(Outcome::Answered, vec![start()]);
        play.core
            .on_start(play.now, &task(), run(), StartOutcome::Started);
        play
    }

    /// Returns the worker's clock, which is 2 % slow.
    fn clock_ms(at: Uptime) -> u64 {
        at.as_duration().as_millis() as u64 * 98 / 100
    }

    /// Plays one step: a reply of the leader, then a renewal.
    fn step(&mut self, outcome: Outcome, orders: Vec<Order>) {
        self.now = self.now.plus(Duration::from_millis(STEP_MS));
        let now = self.now;
        let reply = reply(0, orders);
        self.core.on_reply(now, now, reply);
        let Some(call) = self.core.renew_call(now) else {
            return;
        };
        let has_lost = match outcome {
            Outcome::Answered => {
                self.extend(&call);
                self.core.on_renewal(now, &worker(), now, lists(now))
                    && self.core.worker_incarnation().is_none()
            }
            Outcome::NotSent => {
                let failure = RenewFailure::NotSent("connection refused".to_owned());
                self.core.on_renewal_failure(now, &worker(), &failure)
            }
            Outcome::Unknown => {
                self.extend(&call);
                let failure = RenewFailure::Unknown("no reply".to_owned());
                self.core.on_renewal_failure(now, &worker(), &failure)
            }
        };
        if has_lost {
            let (now, until) = (millis(now), millis(self.leases_until));
            self.lines
                .push(format!("lost at {now} ms, leases until {until} ms"));
        }
    }

    fn steps(&mut self, outcome: Outcome, until_ms: u64) {
        while self.now < at(until_ms) {
            self.step(outcome, Vec::new());
        }
    }

    fn extend(&mut self, call: &RenewCall) {
        let until = call.until_ms.unwrap_or(0) * 100 / 98;
        self.leases_until = self.leases_until.max(at(until));
    }
}

fn lists(now: Uptime) -> RenewReply {
    RenewReply {
        started_ms: STARTED_MS,
        clock_ms: Play::clock_ms(now),
        active: vec![(task(), run(), String::new(), 7)],
        ends: Vec::new(),
        is_complete: true,
        acknowledgement: AckOutcome::NotSent,
    }
}

fn millis(at: Uptime) -> u64 {
    at.as_duration().as_millis() as u64
}

/// Guards against tasks of a crashed worker that never run again, since its agent keeps
/// them as running (review/1), and against their start elsewhere while a lease lasts.
#[gtest]
fn a_silent_worker_is_lost_once_its_leases_have_expired() {
    let mut lines = Vec::new();
    for (name, outcome) in [("refused", Outcome::NotSent), ("silent", Outcome::Unknown)] {
        let mut play = Play::new();
        play.steps(Outcome::Answered, 3_000);
        play.steps(outcome, 20_000);
        lines.push(format!("{name} from 3000 ms: {}", play.lines.join(", ")));
    }
    insta::assert_snapshot!(lines.join("\n"));
}

/// Guards against running work that is given up because its worker was silent or slow
/// for a while.
#[gtest]
fn a_worker_that_answers_again_in_time_keeps_its_runs() {
    let mut play = Play::new();
    for until in [3_000, 20_000, 37_000] {
        play.steps(Outcome::Answered, until);
        let silence = limits().agent_grant() + limits().worker_lease();
        play.steps(Outcome::Unknown, until + silence.as_millis() as u64);
    }
    play.steps(Outcome::Answered, 50_000);
    expect_that!(play.lines, is_empty());
    let report = play.core.report(Duration::ZERO, FencingToken::new(1));
    expect_that!(report.runs, len(eq(1)));
}

/// Guards against a worker that an agent names for ever, since it crashed after a heartbeat
/// that the agent got after a restart.
#[gtest]
fn a_worker_that_has_not_answered_is_not_reported() {
    let mut play = Play::unknown_worker();
    play.core.on_heartbeat(at(0), incarnation());
    let mut calls = 0;
    while play.now < at(20_000) {
        calls += u64::from(play.core.has_worker_to_call());
        play.step(Outcome::NotSent, Vec::new());
        let report = play.core.report(Duration::ZERO, FencingToken::new(1));
        expect_that!(report.worker_incarnation, none());
    }
    // The calls end with the lifetime of the heartbeat.
    expect_that!(calls, all![gt(10), lt(25)]);
}
