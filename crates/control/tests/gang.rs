//! Gang start by the leader, the agent's task table and heartbeats between agents.

use std::fmt::{Debug, Write as _};

use cumindeck_control::agent_lease::HeldLease;
use cumindeck_control::gang::{
    ExecutionRights, GangMonitor, GangPlan, GangStart, OrderId, PlannedTask, StoredAttempt,
    TaskEffect, TaskEnd, TaskId, TaskTable,
};
use cumindeck_control::store::{RowVersion, WriteOutcome};
use cumindeck_control::zone::StartRights;
use cumindeck_types::message::{
    AgentLease, GangMember, Heartbeat, Reserve, StartTask, TaskAnswer, TaskRef, ZoneRight,
};
use cumindeck_types::{
    Attempt, AvailabilityZone, FencingToken, Incarnation, Remaining, TaskIndex, Uptime,
    ZoneVersion, parse_duration,
};

const fn at(millis: u64) -> Uptime {
    Uptime::from_millis(millis)
}

fn trace_result(trace: &mut String, text: &str, value: &dyn Debug) {
    writeln!(trace, "{text}: {value:?}").unwrap();
}

fn remaining(text: &str) -> Remaining {
    Remaining::new(parse_duration(text).unwrap())
}

fn members() -> Vec<GangMember> {
    let member = |i: u16| GangMember {
        agent: format!("agent-{i}").parse().unwrap(),
        address: ([127, 0, 0, 1], i).into(),
    };
    vec![member(1), member(2)]
}

fn plan() -> GangPlan {
    let tasks = members().into_iter().map(|member| PlannedTask {
        member,
        incarnation: Incarnation::new(1),
        accelerators: vec![0],
        zone_version: ZoneVersion::new(1),
    });
    GangPlan {
        job: "job-1".parse().unwrap(),
        team: "atelier".parse().unwrap(),
        attempt: Attempt::new(1),
        token: FencingToken::new(1),
        command: "train".into(),
        tasks: tasks.collect(),
    }
}

fn task_ref(token: u64) -> TaskRef {
    TaskRef {
        job: "job-1".parse().unwrap(),
        attempt: Attempt::new(1),
        task: TaskIndex::new(0),
        token: FencingToken::new(token),
    }
}

fn id() -> TaskId {
    TaskId::from(&task_ref(1))
}

/// Guards against start orders before all members are ready, and against reservations
/// before the attempt is recorded.
#[test]
fn gang_starts_when_all_are_ready() {
    let mut trace = String::new();
    let (mut start, effects) = GangStart::new(plan());
    trace_result(&mut trace, "new", &effects);
    trace_result(
        &mut trace,
        "reply to the write lost",
        &start.on_attempt_written(at(10), true, WriteOutcome::Unknown),
    );
    let effects = start.on_attempt_read(at(20), true, StoredAttempt::Own);
    trace_result(&mut trace, "recorded", &effects);
    for (task, now) in [(0, 30), (0, 31), (1, 2019)] {
        let task = TaskIndex::new(task);
        let effects = start.on_reserve_reply(at(now), true, task, TaskAnswer::Done);
        trace_result(&mut trace, "ready", &effects);
    }
    for task in [0, 1] {
        let effects = start.on_start_reply(at(2100), TaskIndex::new(task), TaskAnswer::Done);
        trace_result(&mut trace, "runs", &effects);
    }
    insta::assert_snapshot!(trace);
}

/// Guards against counting a late positive reply, and against an incomplete gang.
#[test]
fn any_failure_stops_the_attempt() {
    let mut trace = String::new();
    let recorded = || {
        let (mut start, _) = GangStart::new(plan());
        let done = WriteOutcome::Done(RowVersion::new(1));
        start.on_attempt_written(at(0), true, done);
        start
    };
    let first = TaskIndex::new(0);
    let mut start = recorded();
    trace_result(
        &mut trace,
        "late positive reply",
        &start.on_reserve_reply(at(2000), true, first, TaskAnswer::Done),
    );
    trace_result(
        &mut trace,
        "after that",
        &start.on_reserve_reply(at(2001), true, first, TaskAnswer::Done),
    );
    let mut start = recorded();
    trace_result(
        &mut trace,
        "refused",
        &start.on_reserve_reply(at(9), true, first, TaskAnswer::NoRight),
    );
    let mut start = recorded();
    start.on_reserve_reply(at(9), true, first, TaskAnswer::Done);
    let second = TaskIndex::new(1);
    trace_result(
        &mut trace,
        "leadership expired",
        &start.on_reserve_reply(at(10), false, second, TaskAnswer::Done),
    );
    let (mut start, _) = GangStart::new(plan());
    let agent = "agent-2".parse().unwrap();
    let same = start.on_incarnation(&agent, Incarnation::new(1));
    let other = start.on_incarnation(&agent, Incarnation::new(2));
    trace_result(
        &mut trace,
        "member restarted before the record",
        &(same, other),
    );
    let done = WriteOutcome::Done(RowVersion::new(1));
    trace_result(
        &mut trace,
        "recorded",
        &start.on_attempt_written(at(5), true, done),
    );
    let (mut start, _) = GangStart::new(plan());
    let stored = StoredAttempt::Other;
    trace_result(
        &mut trace,
        "recorded by another start",
        &start.on_attempt_read(at(5), true, stored),
    );
    insta::assert_snapshot!(trace);
}

/// An agent with its lease and start right.
struct Agent {
    lease: HeldLease,
    rights: StartRights,
    zone: AvailabilityZone,
    table: TaskTable,
}

impl Agent {
    /// Creates an agent that requested a lease and a right at time 0.
    fn new() -> Self {
        let mut agent = Self {
            lease: HeldLease::default(),
            rights: StartRights::default(),
            zone: "nbo-a".parse().unwrap(),
            table: TaskTable::default(),
        };
        agent.renew(0, 1);
        agent
    }

    fn renew(&mut self, sent_at: u64, token: u64) {
        let lease = AgentLease {
            token: FencingToken::new(token),
            remaining: remaining("8s"),
            covers_claims: true,
        };
        self.lease.on_reply(at(sent_at), lease);
        let right = ZoneRight {
            zone: self.zone.clone(),
            version: ZoneVersion::new(1),
            is_open: true,
            remaining: remaining("2s"),
        };
        self.rights.on_reply(at(sent_at), &right);
    }

    fn with<T>(&mut self, run: impl FnOnce(&mut TaskTable, &ExecutionRights<'_>) -> T) -> T {
        let execution_rights = ExecutionRights {
            lease: &self.lease,
            rights: &self.rights,
            zone: &self.zone,
        };
        run(&mut self.table, &execution_rights)
    }

    fn reserve(&mut self, now: u64, token: u64) -> Vec<TaskEffect> {
        let reserve = Reserve {
            task: task_ref(token),
            team: "atelier".parse().unwrap(),
            accelerators: vec![0],
            gang_size: 2,
            command: "train".into(),
            zone_version: ZoneVersion::new(1),
            remaining: remaining("2s"),
        };
        self.with(|table, execution_rights| {
            table.reserve(at(now), execution_rights, OrderId(now), &reserve)
        })
    }

    fn go(&mut self, now: u64) -> Vec<TaskEffect> {
        let go = StartTask {
            task: task_ref(1),
            zone_version: ZoneVersion::new(1),
            remaining: remaining("1s"),
            members: Vec::new(),
        };
        self.with(|table, execution_rights| {
            table.start(at(now), execution_rights, OrderId(now), &go)
        })
    }

    fn ready() -> Self {
        let mut agent = Self::new();
        agent.reserve(100, 1);
        agent.table.on_prepared(at(200), &id(), true);
        agent
    }
}

/// Guards against a start without a valid lease, right or reservation,
/// or under a fenced token.
#[test]
fn agent_checks_before_each_effect() {
    let mut trace = String::new();
    let mut agent = Agent::new();
    trace_result(
        &mut trace,
        "reserve under another token",
        &agent.reserve(50, 2),
    );
    trace_result(&mut trace, "reserve", &agent.reserve(100, 1).len());
    trace_result(&mut trace, "go before ready", &agent.go(150));
    trace_result(
        &mut trace,
        "ready",
        &agent.table.on_prepared(at(200), &id(), true),
    );
    trace_result(&mut trace, "go", &agent.go(300));
    trace_result(
        &mut trace,
        "run",
        &agent.with(|t, g| t.may_run(at(1299), g, &id())),
    );
    trace_result(
        &mut trace,
        "run after a pause",
        &agent.with(|t, g| t.may_run(at(1300), g, &id())),
    );
    trace_result(
        &mut trace,
        "go after the start right",
        &Agent::ready().go(2000),
    );
    trace_result(&mut trace, "go after the lease", &Agent::ready().go(8000));
    let mut agent = Agent::ready();
    agent.renew(1500, 1);
    trace_result(&mut trace, "go after the reservation", &agent.go(2100));
    agent.renew(1600, 2);
    trace_result(&mut trace, "go under a fenced token", &agent.go(1700));
    trace_result(&mut trace, "tick", &agent.with(|t, g| t.tick(at(1700), g)));
    insta::assert_snapshot!(trace);
}

/// Guards against a task process that outlives its lease, a stop that arrives before its
/// reservation, and a stop that removes an end before it was reported.
#[test]
fn agent_stops_tasks() {
    let mut trace = String::new();
    let mut agent = Agent::ready();
    agent.go(300);
    trace_result(&mut trace, "started", &agent.table.on_started(&id(), true));
    trace_result(&mut trace, "live", &agent.with(|t, g| t.tick(at(7999), g)));
    trace_result(
        &mut trace,
        "lease ended",
        &agent.with(|t, g| t.tick(at(8000), g)),
    );
    trace_result(&mut trace, "reports", &agent.table.reports());
    agent.table.on_ended(at(8100), &id(), TaskEnd::Stopped);
    agent.renew(8150, 1);
    agent.with(|t, g| t.stop(at(8200), g, OrderId(2), &task_ref(1)));
    trace_result(
        &mut trace,
        "stop before the report",
        &agent.table.reports().len(),
    );
    agent.table.on_reports_acknowledged(at(8300));
    agent.with(|t, g| t.stop(at(8400), g, OrderId(3), &task_ref(1)));
    trace_result(
        &mut trace,
        "stop after the report",
        &agent.table.reports().len(),
    );
    let mut agent = Agent::new();
    trace_result(
        &mut trace,
        "early stop",
        &agent.with(|t, g| t.stop(at(50), g, OrderId(1), &task_ref(1))),
    );
    trace_result(&mut trace, "reserve", &agent.reserve(60, 1));
    insta::assert_snapshot!(trace);
}

/// Guards against a gang that continues without a member, in both directions.
#[test]
fn monitor_detects_lost_members() {
    let mut trace = String::new();
    let heartbeat = Heartbeat {
        job: "job-1".parse().unwrap(),
        attempt: Attempt::new(1),
        task: TaskIndex::new(1),
        is_running: true,
    };
    let other = TaskId {
        task: TaskIndex::new(1),
        ..id()
    };
    let (mut first, mut second) = (GangMonitor::default(), GangMonitor::default());
    first.start(at(0), id(), &members());
    second.start(at(0), other.clone(), &members());
    trace_result(&mut trace, "heartbeat", &second.tick(at(1000)));
    trace_result(
        &mut trace,
        "reply",
        &first.on_heartbeat(at(1001), &heartbeat),
    );
    second.on_heartbeat_reply(at(1000), &other, TaskAnswer::Done);
    trace_result(
        &mut trace,
        "no heartbeat of the member",
        &(first.tick(at(6000)).len(), first.tick(at(6001))),
    );
    trace_result(
        &mut trace,
        "heartbeat of the lost member",
        &first.on_heartbeat(at(6002), &heartbeat),
    );
    trace_result(
        &mut trace,
        "loss reported",
        &second
            .clone()
            .on_heartbeat_reply(at(6000), &other, TaskAnswer::Failed),
    );
    trace_result(
        &mut trace,
        "no reply of the first task's agent",
        &(second.tick(at(5999)).len(), second.tick(at(6000))),
    );
    insta::assert_snapshot!(trace);
}
