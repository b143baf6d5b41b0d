//! Agent leases, start rights and configuration versions.

use std::fmt::{Debug, Write as _};

use cumindeck_control::agent_lease::{HeldLease, LeaseGrants, LeaseRequest};
use cumindeck_control::config_version::{ChangeId, ConfigChange, ConfigView};
use cumindeck_control::leader::GrantMode;
use cumindeck_control::store::{RowVersion, WriteOutcome};
use cumindeck_control::zone::{StartRights, ZoneRow};
use cumindeck_types::{ConfigVersion, FencingToken, Incarnation, Uptime, ZoneVersion};

const fn at(millis: u64) -> Uptime {
    Uptime::from_millis(millis)
}

fn note(trace: &mut String, text: &str, value: &dyn Debug) {
    writeln!(trace, "{text}: {value:?}").unwrap();
}

fn request(agent: &str, token: u64) -> LeaseRequest {
    LeaseRequest {
        agent: agent.parse().unwrap(),
        incarnation: Incarnation::new(1),
        newest_token: FencingToken::new(token),
    }
}

/// Guards against a second start of work that an outage lease keeps running.
#[test]
fn new_leader_waits_until_an_agent_confirms_its_token() {
    let mut trace = String::new();
    let mut grants = LeaseGrants::new(FencingToken::new(2), at(4_500_000));
    let agent = "agent-1".parse().unwrap();
    note(
        &mut trace,
        "before any request",
        &grants.reassign(at(0), &agent),
    );
    let lease = grants.on_request(at(1000), GrantMode::Normal, &request("agent-1", 1));
    note(&mut trace, "granted", &lease);
    note(
        &mut trace,
        "unconfirmed",
        &grants.reassign(at(9001), &agent),
    );
    grants.on_request(at(2000), GrantMode::Normal, &request("agent-1", 2));
    note(&mut trace, "confirmed", &grants.reassign(at(9001), &agent));
    note(
        &mut trace,
        "no request for 8 s",
        &grants.reassign(at(10_000), &agent),
    );
    let restarted = LeaseRequest {
        incarnation: Incarnation::new(2),
        ..request("agent-1", 0)
    };
    grants.on_request(at(11_000), GrantMode::Normal, &restarted);
    note(
        &mut trace,
        "restarted",
        &grants.reassign(at(20_000), &agent),
    );
    grants.fence(agent.clone(), Incarnation::new(2));
    note(&mut trace, "fenced", &grants.reassign(at(20_000), &agent));
    let lease = grants.on_request(at(21_000), GrantMode::Normal, &restarted);
    note(&mut trace, "a fenced incarnation gets", &lease);
    insta::assert_snapshot!(trace);
}

/// Guards against leases for new agents, or past the limit, after leadership expired.
#[test]
fn expired_leader_only_renews() {
    let mut trace = String::new();
    let mut grants = LeaseGrants::new(FencingToken::new(1), at(0));
    let outage = |is_lapsed| GrantMode::Outage {
        until: at(4_500_000),
        is_lapsed,
    };
    let known = request("agent-1", 1);
    note(
        &mut trace,
        "before",
        &grants.on_request(at(2500), outage(false), &known),
    );
    note(
        &mut trace,
        "renewed",
        &grants.on_request(at(4000), outage(true), &known),
    );
    let unknown = request("agent-2", 1);
    note(
        &mut trace,
        "new agent",
        &grants.on_request(at(4000), outage(true), &unknown),
    );
    note(
        &mut trace,
        "at the limit",
        &grants.on_request(at(4_500_000), outage(true), &known),
    );
    grants.set_token(FencingToken::new(2));
    grants.on_request(at(5000), GrantMode::Normal, &known);
    note(&mut trace, "longest, unconfirmed", &grants.latest_expiry());
    grants.on_request(at(6000), GrantMode::Normal, &request("agent-1", 2));
    note(&mut trace, "longest, confirmed", &grants.latest_expiry());
    insta::assert_snapshot!(trace);
}

/// Guards against a lease counted from its arrival, and against a fenced leader's lease.
#[test]
fn agent_follows_the_highest_token() {
    let mut trace = String::new();
    let mut grants = LeaseGrants::new(FencingToken::new(1), at(0));
    let mut held = HeldLease::default();
    let old = grants
        .on_request(at(5000), GrantMode::Normal, &request("a", 0))
        .unwrap();
    note(&mut trace, "old", &held.on_reply(at(1000), old));
    note(
        &mut trace,
        "live",
        &(held.is_live(at(8999)), held.is_live(at(9000))),
    );
    grants.set_token(FencingToken::new(2));
    let new = grants
        .on_request(at(2000), GrantMode::Normal, &request("a", 1))
        .unwrap();
    note(&mut trace, "new", &held.on_reply(at(500), new));
    note(&mut trace, "old again", &held.on_reply(at(9000), old));
    note(
        &mut trace,
        "live",
        &(held.is_live(at(8499)), held.is_live(at(8500))),
    );
    insta::assert_snapshot!(trace);
}

/// Guards against a delayed reply that reopens a zone, and an
/// order under an older state.
#[test]
fn start_right_follows_the_version() {
    let mut trace = String::new();
    let zone = "dakar-plateau".parse().unwrap();
    let row = |version, is_open| ZoneRow {
        zone: "dakar-plateau".parse().unwrap(),
        version: ZoneVersion::new(version),
        is_open,
    };
    let (mut entry, mut agent) = (StartRights::default(), StartRights::default());
    entry.on_read(at(100), &[row(1, true)]);
    let open = entry.right(at(1100), &zone).unwrap();
    agent.on_reply(at(1000), &open);
    note(
        &mut trace,
        "open",
        &agent.may_start(at(1500), &zone, ZoneVersion::new(1)),
    );
    note(
        &mut trace,
        "expired",
        &agent.may_start(at(2000), &zone, ZoneVersion::new(1)),
    );
    entry.on_read(at(1200), &[row(2, false)]);
    agent.on_reply(at(1300), &entry.right(at(1300), &zone).unwrap());
    agent.on_reply(at(1400), &open);
    note(&mut trace, "out of service", &agent.live(at(1500), &zone));
    entry.on_read(at(1600), &[row(3, true)]);
    agent.on_reply(at(1700), &entry.right(at(1700), &zone).unwrap());
    note(
        &mut trace,
        "old order",
        &agent.may_start(at(1800), &zone, ZoneVersion::new(1)),
    );
    note(
        &mut trace,
        "new order",
        &agent.may_start(at(1800), &zone, ZoneVersion::new(3)),
    );
    insta::assert_snapshot!(trace);
}

/// Guards against a view that goes back, and a new instance that
/// trusts an unconfirmed version.
#[test]
fn config_view_is_monotonic() {
    let mut trace = String::new();
    let version = ConfigVersion::new;
    let mut view = ConfigView::default();
    note(
        &mut trace,
        "unconfirmed",
        &view.on_reply(at(0), version(7), false),
    );
    note(&mut trace, "ready", &view.is_ready());
    note(
        &mut trace,
        "confirmed",
        &view.on_reply(at(1000), version(5), true),
    );
    note(
        &mut trace,
        "out of order",
        &view.on_read(at(2000), version(4)),
    );
    note(
        &mut trace,
        "fresh",
        &(view.is_confirmed(at(5999)), view.is_confirmed(at(6000))),
    );
    note(
        &mut trace,
        "later unconfirmed",
        &view.on_reply(at(3000), version(6), false),
    );
    insta::assert_snapshot!(trace);
}

/// Guards against a lost reply that applies a change twice or reports a wrong result.
#[test]
fn config_change_is_read_back() {
    let mut trace = String::new();
    let (mine, other) = (ChangeId::new("mine".into()), ChangeId::new("other".into()));
    let version = ConfigVersion::new;
    let change = ConfigChange::new(version(3), mine.clone());
    note(
        &mut trace,
        "reply lost",
        &change.on_write(WriteOutcome::Unknown),
    );
    note(
        &mut trace,
        "not applied",
        &change.on_read_back(version(3), None),
    );
    note(
        &mut trace,
        "applied",
        &change.on_read_back(version(4), Some(&mine)),
    );
    note(
        &mut trace,
        "applied, then another",
        &change.on_read_back(version(5), Some(&mine)),
    );
    note(
        &mut trace,
        "another change accepted",
        &change.on_read_back(version(5), Some(&other)),
    );
    let done = change.on_write(WriteOutcome::Done(RowVersion::new(9)));
    note(&mut trace, "reply received", &done);
    insta::assert_snapshot!(trace);
}
