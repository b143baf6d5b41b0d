//! Messages that were meant for a former worker, agent or leader.

mod common;

use std::time::Duration;

use common::{at, job, job_id, report, scheduler};
use cumindeck_jobs::*;
use cumindeck_types::{FencingToken, Incarnation, RunNumber};

const JOB: &str = "000000000000000a";
fn tid(job: &str) -> TaskId {
    format!("{job}.0.0.0").parse().unwrap()
}
fn step(estimate_ms: u64) -> StepSpec {
    StepSpec {
        tasks: 1,
        estimate_ms,
        ..StepSpec::default()
    }
}
fn orders(s: &mut Scheduler, now: u64) -> Vec<Order> {
    s.plan(at(now), Duration::from_millis(now));
    if s.next_transaction(at(now), now).is_some() {
        s.on_commit(at(now), &StoreResult::Done { version: now });
    }
    s.reply(at(now), &"one".parse().unwrap(), now).orders
}
fn progress(text: &str) -> JobProgress {
    serde_json::from_str(text).unwrap()
}
fn end(run: u64, number: u64, end: RunEnd) -> EndReport {
    EndReport {
        number,
        task: tid(JOB),
        run: RunNumber::new(run),
        end,
        checkpoint: String::new(),
    }
}
fn decisions(s: &mut Scheduler) -> usize {
    s.take_decisions()
        .iter()
        .filter(|d| d.reason.starts_with("Failed"))
        .count()
}

/// Guards against a worker that stays in doubt beside a task that lasts.
#[test]
fn worker_in_doubt_beside_a_lasting_task_is_probed() {
    let mut s = scheduler(at(0), 0);
    let lasting = job(StepSpec {
        tasks: 1,
        long_running: true,
        ..StepSpec::default()
    });
    s.on_job(at(0), job_id(JOB), lasting, 0);
    assert!(s.on_progress(
        at(0),
        &job_id(JOB),
        progress(r#"{"o":[[[{"r":1,"p":{"w":"w-one","b":1,"a":"one"}}]]]}"#)
    ));
    s.on_job(at(0), job_id("000000000000000b"), job(step(60_000)), 0);
    let mut any = false;
    for i in 1..600 {
        let now = i * 100;
        let active = RunReport {
            task: tid(JOB),
            run: RunNumber::new(1),
            state: RunState::Active {
                percent: 100,
                checkpoint: String::new(),
            },
        };
        let mut r = AgentReport {
            end_listing: EndListing::Probing,
            has_long_lease: true,
            ..report("one", i, vec![active])
        };
        let c = &mut r.worker_incarnation.as_mut().unwrap().capacity;
        c.cpu_millis *= 4;
        c.memory_mib *= 4;
        c.accelerators *= 4;
        s.on_report(at(now), now, &r);
        any |= !orders(&mut s, now).is_empty();
    }
    assert!(any, "60 s with room for three tasks and no order");
}

/// The same without a doubt: the second job starts.
#[test]
fn control_without_a_doubt() {
    let mut s = scheduler(at(0), 0);
    let lasting = job(StepSpec {
        tasks: 1,
        long_running: true,
        ..StepSpec::default()
    });
    s.on_job(at(0), job_id(JOB), lasting, 0);
    assert!(s.on_progress(
        at(0),
        &job_id(JOB),
        progress(r#"{"o":[[[{"r":1,"p":{"w":"w-one","b":1,"a":"one"}}]]]}"#)
    ));
    s.on_job(at(0), job_id("000000000000000b"), job(step(60_000)), 0);
    let active = RunReport {
        task: tid(JOB),
        run: RunNumber::new(1),
        state: RunState::Active {
            percent: 100,
            checkpoint: String::new(),
        },
    };
    let mut r = report("one", 1, vec![active]);
    let c = &mut r.worker_incarnation.as_mut().unwrap().capacity;
    c.cpu_millis *= 4;
    c.memory_mib *= 4;
    c.accelerators *= 4;
    s.on_report(at(300), 300, &r);
    assert_eq!(orders(&mut s, 400).len(), 1);
}

/// Guards against more runs than attempts: the last run fails after it was given up.
#[test]
fn failure_of_the_last_run_that_was_given_up_counts() {
    let mut s = scheduler(at(0), 0);
    s.on_job(at(0), job_id(JOB), job(step(60_000)), 0);
    assert!(s.on_progress(at(0), &job_id(JOB), progress(r#"{"o":[[[{"r":1}]]]}"#)));
    s.on_report(
        at(100),
        100,
        &AgentReport {
            ends: vec![end(1, 1, RunEnd::Failed)],
            ..report("one", 1, vec![])
        },
    );
    assert_eq!(
        decisions(&mut s),
        1,
        "run 1 has failed; it is acknowledged and not counted"
    );
}

/// Guards against the same when the failures of runs 2 and 1 come in this order.
#[test]
fn failures_out_of_order_count() {
    let mut s = scheduler(at(0), 0);
    s.on_job(at(0), job_id(JOB), job(step(60_000)), 0);
    assert!(s.on_progress(
        at(0),
        &job_id(JOB),
        progress(r#"{"o":[[[{"r":2,"p":{"w":"w-two","b":1,"a":"two"}}]]]}"#)
    ));
    s.on_report(
        at(100),
        100,
        &AgentReport {
            ends: vec![end(2, 1, RunEnd::Failed)],
            ..report("two", 1, vec![])
        },
    );
    s.on_report(
        at(200),
        200,
        &AgentReport {
            ends: vec![end(1, 1, RunEnd::Failed)],
            ..report("one", 1, vec![])
        },
    );
    assert_eq!(decisions(&mut s), 2);
}

/// Guards against counting the failures of runs 2 and 1 again after a takeover, when the agents
/// list them once more, and against a count that drops what an earlier version has recorded.
#[test]
fn failures_that_are_listed_again_do_not_count() {
    for (row, counted) in [
        (r#"{"o":[[[{"r":3,"f":2,"l":2,"m":[1]}]]]}"#, 0),
        (r#"{"o":[[[{"r":3,"f":2,"l":2}]]]}"#, 0),
        (r#"{"o":[[[{"r":3,"f":1,"l":2}]]]}"#, 1),
    ] {
        let mut s = scheduler(at(0), 0);
        s.on_job(at(0), job_id(JOB), job(step(60_000)), 0);
        assert!(s.on_progress(at(0), &job_id(JOB), progress(row)));
        let ends = vec![end(1, 1, RunEnd::Failed), end(2, 2, RunEnd::Failed)];
        let listed = AgentReport {
            ends,
            ..report("one", 1, vec![])
        };
        s.on_report(at(100), 100, &listed);
        assert_eq!(decisions(&mut s), counted, "{row}");
    }
}

/// Guards against the start of a task on a worker in doubt after a takeover.
#[test]
fn takeover_keeps_a_placement_that_only_probes() {
    let mut s = scheduler(at(0), 0);
    s.on_job(at(0), job_id(JOB), job(step(300)), 0);
    assert!(s.on_progress(
        at(0),
        &job_id(JOB),
        progress(r#"{"o":[[[{"r":33,"p":{"w":"w-one","b":1,"a":"one"}}]]]}"#)
    ));
    s.on_report(
        at(100),
        100,
        &AgentReport {
            end_listing: EndListing::Probing,
            ..report("one", 1, vec![])
        },
    );
    let got = orders(&mut s, 200);
    assert!(
        got.iter()
            .all(|o| !matches!(o, Order::Start { probe_runs: 0, .. })),
        "{got:?}"
    );
}

fn renewed(started_ms: u64) -> RenewReply {
    RenewReply {
        started_ms,
        clock_ms: 5_000,
        active: vec![],
        ends: vec![],
        is_complete: true,
        acknowledgement: AckOutcome::NotSent,
    }
}
fn agent() -> AgentCore {
    let mut core = AgentCore::new(
        "one".parse().unwrap(),
        Incarnation::new(1),
        common::limits(),
    );
    core.on_heartbeat(at(0), common::incarnation());
    core.on_renewal(
        at(10),
        &common::worker(),
        at(10),
        renewed(common::STARTED_MS),
    );
    common::confirm_incarnation(&mut core, 12);
    core.renew_call(at(15)).unwrap();
    core.on_renewal(
        at(16),
        &common::worker(),
        at(15),
        renewed(common::STARTED_MS),
    );
    core
}
fn started(core: &mut AgentCore) -> StartCall {
    let seq = core.report(Duration::ZERO, FencingToken::new(1)).sequence;
    match core
        .on_reply(at(20), at(21), common::reply(seq, vec![common::start()]))
        .remove(0)
    {
        AgentEffect::Start(call) => call,
        other => panic!("{other:?}"),
    }
}
fn successor() -> WorkerIncarnation {
    WorkerIncarnation {
        started_ms: 9_000,
        ..common::incarnation()
    }
}

/// Guards against a start in flight that a successor carries out after it has answered.
#[test]
fn start_in_flight_is_void_at_a_successor_that_has_answered() {
    let mut core = agent();
    let start = started(&mut core);
    core.on_heartbeat(at(100), successor());
    let mut newest = start.token;
    for now in [110, 120, 130] {
        let call = core.renew_call(at(now)).unwrap();
        newest = newest.max(call.token);
        core.on_renewal(at(now), &call.worker, at(now), renewed(9_000));
    }
    assert_eq!(core.worker_incarnation().unwrap().started_ms, 9_000);
    assert!(
        newest > start.token,
        "three answers of the successor at token {newest}, the late start has {}",
        start.token
    );
}

/// Guards against the same when the worker was given up before the start got no answer.
#[test]
fn start_without_answer_after_the_worker_was_given_up_is_stopped_at_its_successor() {
    let mut core = agent();
    started(&mut core);
    assert!(core.on_renewal_failure(at(100), &common::worker(), &RenewFailure::OtherWorker));
    core.on_start(
        at(500),
        &common::task(),
        common::run(),
        StartOutcome::Unknown("no answer".into()),
    );
    core.on_heartbeat(at(600), successor());
    core.renew_call(at(610));
    core.on_renewal(at(620), &common::worker(), at(610), renewed(9_000));
    assert_eq!(core.worker_incarnation().unwrap().started_ms, 9_000);
    let calls = core.due_calls(at(630));
    assert!(
        calls.iter().any(|c| matches!(c, AgentEffect::Stop { .. })),
        "{calls:?}"
    );
}

/// A new process of the agent that a leader does not vouch for.
fn unknown_agent(active: &[(TaskId, RunNumber, String, u32)]) -> AgentCore {
    let mut core = AgentCore::new(
        "one".parse().unwrap(),
        Incarnation::new(1),
        common::limits(),
    );
    core.on_heartbeat(at(0), common::incarnation());
    let lists = || RenewReply {
        active: active.to_vec(),
        ..renewed(common::STARTED_MS)
    };
    core.renew_call(at(5));
    core.on_renewal(at(10), &common::worker(), at(5), lists());
    let seq = core.report(Duration::ZERO, FencingToken::new(1)).sequence;
    assert!(
        core.on_reply(at(12), at(13), common::reply(seq, vec![]))
            .is_empty()
    );
    core.renew_call(at(15));
    core.on_renewal(at(16), &common::worker(), at(15), lists());
    core
}

/// Guards against an agent that keeps its worker in doubt for ever beside a task that lasts,
/// without an order of the leader that would show whether the worker lists ends.
#[test]
fn agent_beside_a_lasting_task_is_in_service_after_a_minute() {
    let active = [(tid(JOB), RunNumber::new(1), String::new(), 100)];
    let mut core = unknown_agent(&active);
    for i in 1..150 {
        let now = i * 400;
        let r = core.report(Duration::ZERO, FencingToken::new(1));
        let known = ExchangeReply {
            knows_incarnation: true,
            ..common::reply(r.sequence, vec![])
        };
        assert!(core.on_reply(at(now), at(now + 1), known).is_empty());
        assert!(core.due_calls(at(now + 2)).is_empty());
        core.renew_call(at(now + 3));
        let lists = RenewReply {
            active: active.to_vec(),
            clock_ms: 5_000 + now,
            ..renewed(common::STARTED_MS)
        };
        core.on_renewal(at(now + 300), &common::worker(), at(now + 3), lists);
    }
    let r = core.report(Duration::ZERO, FencingToken::new(1));
    assert!(
        !r.end_listing.is_doubted(),
        "after 60 s: {:?}, long lease {}",
        r.end_listing,
        r.has_long_lease
    );
}

/// Guards against starts long after their order, which an evacuation or a cancel may have
/// overtaken.
#[test]
fn one_order_probes_for_two_seconds_at_most() {
    let mut core = unknown_agent(&[]);
    // The first leases of a process are over after 10.3 s.
    for i in 0..30 {
        let now = at(400 + i * 400);
        core.renew_call(now);
        core.on_renewal(
            now,
            &common::worker(),
            now,
            RenewReply {
                clock_ms: 5_400 + i * 400,
                ..renewed(common::STARTED_MS)
            },
        );
    }
    let mut now = 13_000;
    let seq = core.report(Duration::ZERO, FencingToken::new(1)).sequence;
    let order = match common::start() {
        Order::Start {
            task,
            payload,
            checkpoint,
            ticket,
            is_best_effort,
            target_ms,
            ..
        } => Order::Start {
            task,
            run: RunNumber::new(33),
            payload,
            checkpoint,
            ticket,
            probe_runs: 32,
            is_best_effort,
            target_ms,
        },
        _ => unreachable!(),
    };
    let mut calls = core.on_reply(at(now - 1), at(now), common::reply(seq, vec![order]));
    let (first, mut last, mut starts) = (now, now, 0);
    for _ in 0..200 {
        let seq = core.report(Duration::ZERO, FencingToken::new(1)).sequence;
        // What a leader replies after an evacuation: no order.
        calls.extend(core.on_reply(at(now), at(now), common::reply(seq, vec![])));
        for call in calls.drain(..) {
            if let AgentEffect::Start(call) = call {
                starts += 1;
                last = now;
                let outcome = if starts <= 3 {
                    StartOutcome::Late
                } else {
                    StartOutcome::Started
                };
                core.on_start(at(now + 2), &call.task, call.run, outcome);
            }
        }
        now += 3;
        if let Some(call) = core.renew_call(at(now)) {
            let sent = now;
            now += call.wait.as_millis() as u64;
            core.on_renewal(
                at(now),
                &call.worker,
                at(sent),
                RenewReply {
                    clock_ms: 5_000 + now,
                    ..renewed(common::STARTED_MS)
                },
            );
        }
        calls = core.due_calls(at(now));
    }
    assert!(
        last - first <= 2_000,
        "{starts} starts, the last one {} ms after the order",
        last - first
    );
}
