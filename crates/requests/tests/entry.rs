//! Guards against changed decisions about claims, retries, limits, routing and drain.

use std::fmt::Write;
use std::time::Duration;

use cumindeck_requests::*;
use cumindeck_types::message::{Answer, ClaimReply, DispatchReply, Load};
use cumindeck_types::*;

/// An entry and its rendered effects so far.
struct Script {
    machine: EntryMachine,
    now: Uptime,
    text: String,
}

fn id<T: std::str::FromStr<Err = IdError>>(text: &str) -> T {
    text.parse().expect("valid id")
}

fn limits(weight: u32, rate: Option<f64>) -> TeamLimits {
    TeamLimits {
        weight,
        queue_limit: 3,
        rate: rate.map(|rate| PerSecond::try_from(rate).expect("valid rate")),
        home_region: id("dakar"),
    }
}

fn agent(agent: &str, region: &str, slots: u32) -> AgentView {
    AgentView {
        agent: id(agent),
        incarnation: Incarnation::new(1),
        zone: id("zone"),
        region: id(region),
        is_zone_open: true,
        is_leaving: false,
        is_suspect: false,
        slots,
        connections: 64,
        in_flight: 0,
    }
}

fn ring(version: u64, agents: &[&str]) -> EntryEvent {
    let incarnation = Incarnation::new(1);
    let member = |agent: &&str| RingMember {
        agent: id(agent),
        incarnation,
    };
    EntryEvent::RingChanged(Ring {
        region: id("dakar"),
        version: RingVersion::new(version),
        members: agents.iter().map(member).collect(),
    })
}

fn not_run(reason: NotRunReason) -> Result<Verdict<Answer>, TransportFailure> {
    Ok(Verdict::NotRun(reason))
}

fn answer(request: &str, attempt: u64) -> Result<Verdict<Answer>, TransportFailure> {
    Ok(Verdict::Answered(Answer {
        id: id(request),
        attempt: Attempt::new(attempt),
        status: 200,
        content_type: String::new(),
        body: Vec::new(),
    }))
}

impl Script {
    fn new(retry_percent: u32) -> Self {
        let teams = [
            ("a", limits(1, None)),
            ("b", limits(2, None)),
            ("slow", limits(1, Some(1.0))),
        ];
        let cfg = EntryConfig {
            entry: id("e0"),
            region: id("dakar"),
            teams: teams.map(|(team, limits)| (id(team), limits)).to_vec(),
            routing: RoutingConfig::default(),
            retry_percent,
        };
        Self {
            machine: EntryMachine::new(cfg, 1),
            now: Uptime::ZERO,
            text: String::new(),
        }
    }

    fn at(&mut self, ms: u64, event: EntryEvent) {
        self.now = Uptime::from_millis(ms);
        for effect in self.machine.step(self.now, event) {
            let line = match effect {
                EntryEffect::Dispatch(o) => format!(
                    "dispatch {}/{} to {}, {} left",
                    o.request, o.attempt, o.agent, o.remaining
                ),
                EntryEffect::Claim(o) => {
                    format!("claim {} for {} at {}", o.claim.key, o.claim.id, o.agent)
                }
                EntryEffect::ReleaseClaim(o) => format!("settle {} at {}", o.claim.key, o.agent),
                EntryEffect::Reply { request, verdict } => match verdict {
                    Verdict::Answered(_) => format!("reply {request}: answered"),
                    Verdict::NotRun(reason) => format!("reply {request}: not-run {reason}"),
                    Verdict::MayHaveRun(reason) => {
                        format!("reply {request}: may-have-run {reason}")
                    }
                },
                EntryEffect::Abandon {
                    request,
                    attempt,
                    agent,
                } => format!("abandon {request}/{attempt} at {agent}"),
                EntryEffect::RefreshRing(region) => format!("refresh ring of {region}"),
                EntryEffect::Drained => "drained".to_owned(),
            };
            writeln!(self.text, "{ms}ms {line}").expect("a string grows");
        }
    }

    fn submit(&mut self, ms: u64, request: &str, team: &str, key: Option<&str>, timeout_ms: u64) {
        let submission = Submission {
            request: id(request),
            key: key.map(|key| key.parse().expect("valid key")),
            team: id(team),
            is_idempotent: key.is_none(),
            deadline: Uptime::from_millis(ms + timeout_ms),
            body: ByteSize::new(1000),
        };
        self.at(ms, EntryEvent::Submitted(submission));
    }

    fn done(
        &mut self,
        ms: u64,
        request: &str,
        attempt: u64,
        agent: &str,
        result: Result<Verdict<Answer>, TransportFailure>,
    ) {
        let load = Load {
            slots: 8,
            in_flight: 0,
            is_leaving: false,
        };
        let (request, attempt, agent) = (id(request), Attempt::new(attempt), id(agent));
        let result = result.map(|verdict| DispatchReply { load, verdict });
        self.at(
            ms,
            EntryEvent::Dispatched {
                request,
                attempt,
                agent,
                result,
            },
        );
    }

    fn claimed(&mut self, ms: u64, request: &str, attempt: u64, reply: ClaimReply) {
        let (request, attempt) = (id(request), Attempt::new(attempt));
        self.at(
            ms,
            EntryEvent::Claimed {
                request,
                attempt,
                result: Ok(reply),
            },
        );
    }
}

#[test]
fn claims_come_before_dispatches() {
    let mut s = Script::new(10);
    s.at(0, ring(1, &["a1", "a2"]));
    s.at(0, EntryEvent::AgentSeen(agent("a1", "dakar", 8)));
    s.submit(10, "r1", "a", Some("k1"), 5000);
    s.claimed(11, "r1", 1, ClaimReply::NotHome);
    s.at(20, ring(2, &["a1"]));
    s.claimed(21, "r1", 1, ClaimReply::Granted);
    s.claimed(22, "r1", 2, ClaimReply::Granted);
    s.claimed(23, "r1", 2, ClaimReply::Granted);
    s.done(30, "r1", 2, "a1", answer("r1", 2));
    s.done(31, "r1", 1, "a1", answer("r1", 1));
    s.done(32, "r1", 1, "a1", answer("r1", 1));
    s.submit(40, "r2", "a", Some("k1"), 5000);
    s.claimed(41, "r2", 1, ClaimReply::AlreadyClaimed);
    s.submit(50, "r3", "a", Some("k3"), 5000);
    for ms in [450, 501, 901, 1002, 1402, 1603, 2003, 2404, 2804] {
        s.at(ms, EntryEvent::Wakeup);
    }
    insta::assert_snapshot!(s.text);
}

#[test]
fn retries_need_a_certain_verdict_and_budget() {
    let mut s = Script::new(50);
    for name in ["a1", "a2"] {
        s.at(0, EntryEvent::AgentSeen(agent(name, "dakar", 1)));
    }
    for (n, result) in [
        (1, not_run(NotRunReason::Busy)),
        (2, not_run(NotRunReason::Busy)),
        (3, not_run(NotRunReason::Expired)),
        (4, Err(TransportFailure { is_not_sent: false })),
        (5, answer("r1", 1)),
    ] {
        let request = format!("r{n}");
        s.submit(n * 10, &request, "a", None, 1000);
        for agent in ["a1", "a2"] {
            s.done(n * 10 + 1, &request, 1, agent, result.clone());
        }
        for agent in ["a1", "a2"] {
            s.done(n * 10 + 2, &request, 2, agent, answer(&request, 2));
        }
    }
    insta::assert_snapshot!(s.text);
}

#[test]
fn queues_are_bounded_and_share_by_weight() {
    let mut s = Script::new(10);
    for n in 0..4 {
        s.submit(n, &format!("a{n}"), "a", None, 1000);
        s.submit(n, &format!("b{n}"), "b", None, 100_000);
    }
    s.submit(5, "s0", "slow", None, 5000);
    s.submit(5, "s1", "slow", None, 5000);
    s.submit(6, "c0", "unknown", None, 1000);
    s.at(10, EntryEvent::AgentSeen(agent("a1", "dakar", 5)));
    s.at(1000, EntryEvent::Wakeup);
    s.at(1100, EntryEvent::AgentSeen(agent("a2", "dakar", 8)));
    writeln!(s.text, "next wakeup at {:?}", s.machine.next_wakeup()).expect("a string grows");
    insta::assert_snapshot!(s.text);
}

#[test]
fn regions_zones_and_leaving_agents() {
    let mut s = Script::new(10);
    s.at(0, EntryEvent::AgentSeen(agent("far", "thies", 8)));
    s.submit(1, "r1", "a", None, 1000);
    s.at(40, EntryEvent::Wakeup);
    s.at(42, EntryEvent::Wakeup);
    s.submit(43, "r2", "a", None, 60);
    s.at(
        50,
        EntryEvent::AgentSeen(AgentView {
            is_zone_open: false,
            ..agent("closed", "dakar", 8)
        }),
    );
    s.at(
        51,
        EntryEvent::AgentSeen(AgentView {
            is_leaving: true,
            ..agent("leaving", "dakar", 8)
        }),
    );
    s.submit(60, "r3", "a", None, 1000);
    s.at(61, EntryEvent::AgentSeen(agent("open", "dakar", 1)));
    s.submit(62, "r4", "a", None, 1000);
    s.submit(63, "r5", "a", None, 1000);
    insta::assert_snapshot!(s.text);
}

#[test]
fn drain_finishes_what_is_in_flight() {
    let mut s = Script::new(10);
    s.at(0, EntryEvent::AgentSeen(agent("a1", "dakar", 1)));
    s.submit(1, "r1", "a", None, 1000);
    s.submit(2, "r2", "a", None, 1000);
    s.at(3, EntryEvent::Drain);
    s.submit(4, "r3", "a", None, 1000);
    s.done(5, "r1", 1, "a1", answer("r1", 1));
    s.at(1002, EntryEvent::Wakeup);
    s.done(1003, "r2", 1, "a1", answer("r2", 1));
    insta::assert_snapshot!(s.text);
}

/// A wakeup in the past would make the task spin.
#[test]
fn wakeups_lie_ahead() {
    let mut s = Script::new(10);
    s.submit(1, "r1", "slow", Some("k1"), 1000);
    for _ in 0..20 {
        let Some(at) = s.machine.next_wakeup() else {
            break;
        };
        assert!(at > s.now, "{at} is not after {}", s.now);
        s.now = at.plus(Duration::from_micros(1));
        s.machine.step(s.now, EntryEvent::Wakeup);
    }
    assert_eq!(s.machine.next_wakeup(), None);
}
