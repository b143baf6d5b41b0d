//! Rows and reports that another writer left: one odd entry affects itself only.

mod common;

use std::time::Duration;

use cumindeck_jobs::{DecisionKind, JobProgress, Recurrence, Resources, Row, RowKey, StepSpec};
use googletest::prelude::*;

use common::{at, job, job_id, report};

/// Guards against a process that ends, or loses its view, because of one row: deep
/// nesting, numbers beyond their types, ports out of range and bytes that are no JSON.
#[gtest]
fn an_odd_row_is_an_error_and_nothing_else() {
    let nested = format!("{}{}", "[".repeat(200_000), "]".repeat(200_000));
    let deep = format!("{}1{}", "{\"o\":".repeat(50_000), "}".repeat(50_000));
    let of_any_row: [&[u8]; 4] = [nested.as_bytes(), deep.as_bytes(), b"\xff\xfe{}", b""];
    let leader =
        |token: &str| format!(r#"{{"holder":null,"address":null,"token":{token},"commit":0}}"#);
    let of_one_kind = [
        ("e/entry-1", r#"{"address":"10.0.0.1:99999"}"#.to_owned()),
        ("e/entry-1", r#"{"address":"10.0.0.1:-1"}"#.to_owned()),
        ("e/entry-1", r#"{"address":7000}"#.to_owned()),
        ("duty", leader("1e999")),
        ("duty", leader("99999999999999999999999")),
        ("duty", leader("-1")),
        (
            "p/000000000000000a",
            r#"{"o":[[[{"r":99999999999999999999999}]]]}"#.to_owned(),
        ),
        ("p/000000000000000a", r#"{"o":7}"#.to_owned()),
    ];
    let keys = [
        "duty",
        "e/entry-1",
        "j/000000000000000a",
        "p/000000000000000a",
    ];
    let any = keys
        .iter()
        .flat_map(|key| of_any_row.iter().map(move |value| (*key, value.to_vec())));
    let one = of_one_kind.map(|(key, value)| (key, value.into_bytes()));
    for (key, value) in any.chain(one) {
        let row = Row::decode(&RowKey::parse(key).expect("a key"), Some(&value));
        let start = String::from_utf8_lossy(&value[..value.len().min(60)]).into_owned();
        assert!(row.is_err(), "{key} with {start}: {row:?}");
    }
}

/// Guards against a leader that ends on each takeover because a row says that a job has
/// other steps or more tasks than it has, or more than memory can hold.
#[gtest]
fn progress_of_another_shape_leaves_its_job_alone() {
    let mut scheduler = common::scheduler(at(0), 0);
    let small = StepSpec {
        tasks: 1,
        estimate_ms: 1_000,
        ..StepSpec::default()
    };
    let progress: [&str; 4] = [
        "{}",
        r#"{"o":[[[{"r":1}],[{"r":1}],[{"r":1}]]]}"#,
        r#"{"o":[[[{"r":1},{"r":1}]]]}"#,
        r#"{"o":[[[{}]],[[{}]]]}"#,
    ];
    for (index, text) in progress.into_iter().enumerate() {
        let id = job_id(&format!("00000000000000a{index}"));
        scheduler.on_job(at(0), id.clone(), job(small.clone()), 0);
        let progress: JobProgress = serde_json::from_str(text).expect("progress");
        expect_false!(scheduler.on_progress(at(0), &id, progress));
    }
    scheduler.on_job(at(0), job_id("00000000000000d0"), job(small.clone()), 0);
    scheduler.on_report(at(300), 300, &report("one", 1, Vec::new()));
    scheduler.plan(at(300), Duration::ZERO);
    let decisions = scheduler.take_decisions();
    let started: Vec<String> = decisions.iter().map(|it| it.task.to_string()).collect();
    expect_that!(started, elements_are![eq("00000000000000d0.0.0.0")]);

    let mut wide = job(small);
    wide.spec.steps[0].tasks = u32::MAX;
    let value = serde_json::to_vec(&wide).expect("a row");
    let key = RowKey::parse("j/00000000000000e0").expect("a key");
    expect_that!(Row::decode(&key, Some(&value)), err(anything()));
}

/// Guards against a leader that ends, or starts work early, because of a job or a
/// worker with numbers at the limits of their types; the other jobs still start.
#[gtest]
fn numbers_at_their_limits_affect_their_own_job_only() {
    let huge = Resources {
        cpu_millis: u64::MAX,
        memory_mib: u64::MAX,
        accelerators: u32::MAX,
    };
    let mut scheduler = common::scheduler(at(0), u32::MAX);
    for (index, priority) in [0, 1, 2].into_iter().enumerate() {
        let mut odd = job(StepSpec {
            tasks: 3,
            estimate_ms: u64::MAX,
            ..StepSpec::default()
        });
        odd.spec.steps[0].resources = huge;
        odd.spec.steps[0].gang = index == 1;
        odd.spec.priority = priority;
        odd.spec.slack_percent = u64::MAX;
        odd.spec.target_ms = u64::MAX;
        scheduler.on_job(at(0), job_id(&format!("00000000000000b{index}")), odd, 0);
    }
    let mut late = job(StepSpec {
        tasks: 1,
        estimate_ms: 1_000,
        ..StepSpec::default()
    });
    late.spec.recurrence = Some(Recurrence {
        first_unix_ms: u64::MAX,
        interval_ms: u64::MAX,
        times: u32::MAX,
    });
    scheduler.on_job(at(0), job_id("00000000000000c0"), late, 0);
    let usual = job(StepSpec {
        tasks: 1,
        estimate_ms: 1_000,
        ..StepSpec::default()
    });
    scheduler.on_job(at(0), job_id("00000000000000d0"), usual, 0);
    let mut odd_worker = report("odd", 1, Vec::new());
    if let Some(incarnation) = &mut odd_worker.worker_incarnation {
        incarnation.capacity = huge;
        incarnation.service = "other".to_owned();
        incarnation.leaves_in_ms = Some(u64::MAX);
    }
    scheduler.on_report(at(300), 300, &odd_worker);
    scheduler.on_report(at(300), 300, &report("one", 1, Vec::new()));
    let mut started = Vec::new();
    for now in [300, 2_400] {
        scheduler.on_report(at(now), now, &report("one", now, Vec::new()));
        scheduler.plan(at(now), Duration::from_millis(now));
        let decisions = scheduler.take_decisions().into_iter();
        let starts = decisions.filter(|decision| decision.kind == DecisionKind::Start);
        started.extend(starts.map(|decision| decision.task.to_string()));
    }
    expect_that!(started, elements_are![eq("00000000000000d0.0.0.0")]);
}
