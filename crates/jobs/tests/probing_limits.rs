//! Limits of the runs that show whether a worker lists the ends of its runs.

mod common;

use std::collections::BTreeSet;
use std::time::Duration;

use common::{at, job, job_id, report, scheduler};
use cumindeck_jobs::*;
use cumindeck_types::{FencingToken, RunNumber};

fn doubtful(sequence: u64, long: bool, runs: Vec<RunReport>) -> AgentReport {
    AgentReport {
        end_listing: EndListing::Probing,
        has_long_lease: long,
        ..report("one", sequence, runs)
    }
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
fn run33(state: RunState) -> RunReport {
    RunReport {
        task: "000000000000000a.0.0.0".parse().unwrap(),
        run: RunNumber::new(33),
        state,
    }
}

/// Guards against a worker that stays in doubt because all queues of its service need tickets.
#[test]
fn ticket_queue_alone_leaves_the_worker_in_doubt_for_ever() {
    let mut s = scheduler(at(0), 0);
    let mut row = job(step(5_000));
    row.spec.needs_tickets = true;
    s.on_report(at(300), 300, &doubtful(1, false, vec![]));
    s.on_job(at(300), job_id("000000000000000a"), row, 300);
    let mut any = false;
    for i in 0..600 {
        let now = 400 + i * 100;
        s.on_report(at(now), now, &doubtful(2 + i, false, vec![]));
        any |= !orders(&mut s, now).is_empty();
        any |= s.take_advice_request(at(now)).is_some();
    }
    assert!(any, "60 s without an order or a request for advice");
}

/// Guards against starts in a zone that was evacuated while its workers are probed.
#[test]
fn evacuation_stops_the_probing() {
    let mut s = scheduler(at(0), 0);
    s.on_report(at(300), 300, &doubtful(1, false, vec![]));
    s.on_job(at(300), job_id("000000000000000a"), job(step(20_000)), 300);
    assert_eq!(orders(&mut s, 400).len(), 1);
    s.on_report(
        at(450),
        450,
        &doubtful(2, false, vec![run33(RunState::Starting)]),
    );
    s.on_evacuations(BTreeSet::from(["plateau".parse().unwrap()]));
    let got = orders(&mut s, 500);
    assert!(
        got.iter().any(|o| matches!(o, Order::Stop { .. })),
        "orders after evacuation: {got:?}"
    );
}

/// Guards against a task that is done before its lease of 40 ms is over: estimates may be
/// seven times too high.
#[test]
fn short_task_is_not_used_as_a_probe() {
    let mut s = scheduler(at(0), 0);
    s.on_report(at(300), 300, &doubtful(1, false, vec![]));
    s.on_job(at(300), job_id("000000000000000a"), job(step(100)), 300);
    let got = orders(&mut s, 400);
    assert!(got.is_empty(), "{got:?}");
}

/// Returns the time in milliseconds for which a worker is in doubt until the first order, or
/// the end of the play, and the tasks that were ordered. Its leases are long for 10.2 s.
fn first_order_after(jobs: &[JobRow]) -> (u64, Vec<String>) {
    let mut s = scheduler(at(0), 0);
    for (number, row) in jobs.iter().enumerate() {
        s.on_job(at(300), job_id(&format!("{number:016x}")), row.clone(), 300);
    }
    for i in 1..150 {
        let now = 300 + 100 * i;
        s.on_report(at(now), now, &doubtful(i, now < 10_500, vec![]));
        let orders = orders(&mut s, now);
        if let Some(request) = s.take_advice_request(at(now)) {
            let workers = request.workers.iter().cloned();
            let advice = Advice {
                tickets: workers
                    .map(|(worker, _)| (worker, "ticket".to_owned()))
                    .collect(),
                validity: Duration::from_secs(60),
            };
            s.on_advice(at(now), at(now), &request, Some(&advice));
        }
        if !orders.is_empty() {
            let started = orders.iter().filter_map(|order| match order {
                Order::Start { task, .. } => Some(task.to_string()),
                Order::Stop { .. } => None,
            });
            return (now - 400, started.collect());
        }
    }
    (15_000, Vec::new())
}

/// Guards against workers that stay in doubt for good, and a site on which nothing starts any
/// more after a loss of power, because no job has an estimate (RECOVER, review/14) or all are
/// short: the doubt has to end within the 12 s that a site has to recover.
#[test]
fn any_task_ends_a_doubt_in_time() {
    for estimate_ms in [0, 1, 100, 279] {
        let (after, started) = first_order_after(&[job(step(estimate_ms))]);
        assert!(
            (8_000..11_500).contains(&after),
            "{estimate_ms}: {after} ms"
        );
        assert_eq!(started, ["0000000000000000.0.0.0"]);
    }
}

/// Guards against a doubt without an end where only queues that need tickets have jobs.
#[test]
fn task_with_a_ticket_ends_a_doubt() {
    let mut row = job(step(20_000));
    row.spec.needs_tickets = true;
    let (after, started) = first_order_after(&[row]);
    assert!(after < 11_500, "{after} ms");
    assert_eq!(started, ["0000000000000000.0.0.0"]);
}

/// Guards against a short task that is used although a better one waits: a long one, or one of
/// which nothing is known.
#[test]
fn short_task_is_used_last() {
    let short = job(step(100));
    let (after, started) = first_order_after(&[short.clone(), job(step(0))]);
    assert_eq!(started, ["0000000000000001.0.0.0"], "after {after} ms");
    let (after, started) = first_order_after(&[short, job(step(0)), job(step(5_000))]);
    assert_eq!(started, ["0000000000000002.0.0.0"], "after {after} ms");
}

/// Guards against placements without a pause on a worker that refuses them.
#[test]
fn refused_probe_is_not_repeated_without_a_pause() {
    let mut s = scheduler(at(0), 0);
    s.on_report(at(300), 300, &doubtful(1, false, vec![]));
    s.on_job(at(300), job_id("000000000000000a"), job(step(20_000)), 300);
    let mut run = match &orders(&mut s, 400)[..] {
        [Order::Start { run, .. }] => *run,
        o => panic!("{o:?}"),
    };
    let mut placed = 0;
    for i in 0..20 {
        let now = 401 + 10 * i;
        let r = RunReport {
            run,
            ..run33(RunState::NotStarted {
                reason: "503 ".into(),
            })
        };
        s.on_report(at(now), now, &doubtful(2 + i, false, vec![r]));
        if let [Order::Start { run: next, .. }] = &orders(&mut s, now + 1)[..]
            && *next != run
        {
            run = *next;
            placed += 1;
        }
    }
    assert!(placed <= 1, "{placed} placements in 200 ms, last run {run}");
}

fn renewed(started_ms: u64, acknowledgement: AckOutcome) -> RenewReply {
    RenewReply {
        started_ms,
        clock_ms: 5_000,
        active: vec![],
        ends: vec![],
        is_complete: true,
        acknowledgement,
    }
}
fn reach(core: &mut AgentCore, now: u64) {
    core.on_heartbeat(at(now), common::incarnation());
    while core.worker_incarnation().is_none() {
        let call = core.renew_call(at(now)).expect("a call");
        core.on_renewal(
            at(now),
            &call.worker,
            at(now),
            renewed(common::STARTED_MS, AckOutcome::NotSent),
        );
    }
}
fn core() -> AgentCore {
    let mut core = AgentCore::new(
        "one".parse().unwrap(),
        cumindeck_types::Incarnation::new(1),
        common::limits(),
    );
    reach(&mut core, 1_000);
    common::confirm_incarnation(&mut core, 1_000);
    core.renew_call(at(1_010));
    core.on_renewal(
        at(1_010),
        &common::worker(),
        at(1_010),
        renewed(common::STARTED_MS, AckOutcome::NotSent),
    );
    core
}

/// Guards against polls without a pause, from a successor's first answer to its heartbeat.
#[test]
fn successor_before_its_heartbeat_is_polled_with_a_pause() {
    let mut core = core();
    let end = EndReport {
        number: 1,
        task: common::task(),
        run: common::run(),
        end: RunEnd::Done,
        checkpoint: String::new(),
    };
    core.renew_call(at(1_020));
    core.on_renewal(
        at(1_020),
        &common::worker(),
        at(1_020),
        RenewReply {
            ends: vec![end],
            ..renewed(common::STARTED_MS, AckOutcome::NotSent)
        },
    );
    let seq = core.report(Duration::ZERO, FencingToken::new(1)).sequence;
    core.on_reply(
        at(1_030),
        at(1_030),
        ExchangeReply {
            recorded_ends: 1,
            ..common::reply(seq, vec![])
        },
    );
    assert!(
        core.renew_call(at(1_040))
            .unwrap()
            .acknowledgement
            .is_some()
    );
    core.on_renewal(
        at(1_040),
        &common::worker(),
        at(1_040),
        renewed(common::STARTED_MS, AckOutcome::Unknown),
    );
    let mut unpaused = 0;
    for i in 0..100 {
        let now = at(1_050 + i);
        let call = core.renew_call(now).unwrap();
        let reports = core.on_renewal(now, &call.worker, now, renewed(9_000, AckOutcome::NotSent));
        unpaused += u32::from(call.wait.is_zero() && reports);
    }
    assert!(
        unpaused < 5,
        "{unpaused} of 100 polls without a wait, each one followed by a report"
    );
}

/// Guards against two runs of one task: a reply from before the agent gave its worker up
/// comes when that worker is back.
#[test]
fn order_from_before_the_worker_was_given_up_is_ignored() {
    let mut core = core();
    let seq = core.report(Duration::ZERO, FencingToken::new(1)).sequence;
    let late = common::reply(seq, vec![common::start()]);
    let gone = core.on_renewal_failure(at(1_100), &common::worker(), &RenewFailure::OtherWorker);
    assert!(gone && core.worker_incarnation().is_none());
    // The leader hears of it and starts the task elsewhere.
    core.report(Duration::ZERO, FencingToken::new(1));
    reach(&mut core, 1_300);
    core.renew_call(at(1_310));
    core.on_renewal(
        at(1_310),
        &common::worker(),
        at(1_310),
        renewed(common::STARTED_MS, AckOutcome::NotSent),
    );
    let effects = core.on_reply(at(1_050), at(1_400), late);
    assert!(effects.is_empty(), "{effects:?}");
}

/// Guards against a gang with a guarantee that waits for the probe of one of its members while
/// other workers have room.
#[test]
fn gang_that_is_used_as_a_probe_starts_when_there_is_room() {
    let mut s = scheduler(at(0), 2);
    let mut row = job(StepSpec {
        tasks: 2,
        gang: true,
        estimate_ms: 5_000,
        ..StepSpec::default()
    });
    row.spec.priority = 0;
    s.on_report(at(300), 300, &doubtful(1, false, vec![]));
    s.on_job(at(300), job_id("000000000000000a"), row, 300);
    assert_eq!(orders(&mut s, 400).len(), 1);
    let mut starts = 0;
    for i in 1..=100 {
        let now = 400 + i * 100;
        // The agent goes on probing: 10.9 s, see review_lives.rs.
        s.on_report(
            at(now),
            now,
            &doubtful(1 + i, false, vec![run33(RunState::Starting)]),
        );
        for other in ["two", "three"] {
            s.on_report(at(now), now, &report(other, i, vec![]));
        }
        orders(&mut s, now + 10);
        for other in ["two", "three"] {
            starts += s
                .reply(at(now + 10), &other.parse().unwrap(), i)
                .orders
                .len();
        }
    }
    assert!(starts > 0, "10 s with two free workers for a gang of two");
}
