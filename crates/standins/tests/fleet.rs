//! The stand-ins of the users' platform keep the rules of its pages.

use cumindeck_standins::fleet::{
    Refusal, Rows, Runs, RunsSettings, TransactError, WireHold, WireRow, WireStart, WireStop,
    WireTransaction,
};
use googletest::prelude::*;

fn row(table: &str, key: &str, version: Option<u64>) -> WireRow {
    WireRow {
        table: table.to_owned(),
        key: key.to_owned(),
        value: Some("dmFsdWU=".to_owned()),
        row_version: version,
        ..WireRow::default()
    }
}

fn write(key: &str, expected: u64) -> WireTransaction {
    WireTransaction {
        expected_rev: vec![row("own", key, Some(expected))],
        write: vec![row("own", key, None)],
        remove: Vec::new(),
    }
}

/// Guards against a store that lets a former holder write.
#[gtest]
fn a_transaction_needs_the_versions_that_it_names() {
    let mut rows = Rows::default();
    expect_that!(rows.transact(&write("a", 0)), ok(eq(&1)));
    let conflict = rows.transact(&write("a", 0));
    let is_named = |rows: &[WireRow]| rows.len() == 1 && rows[0].row_version == Some(1);
    expect_true!(matches!(&conflict, Err(TransactError::Conflict(rows)) if is_named(rows)));
    expect_that!(rows.transact(&write("a", 1)), ok(eq(&2)));
}

/// Guards against a system that writes the operator's rows unnoticed.
#[gtest]
fn the_operators_table_is_forbidden() {
    let mut rows = Rows::default();
    let transaction = WireTransaction {
        write: vec![row("op", "config", None)],
        ..WireTransaction::default()
    };
    expect_that!(
        rows.transact(&transaction),
        err(eq(&TransactError::Forbidden))
    );
}

/// Guards against feeds that hide a removal or a dropped history.
#[gtest]
fn a_feed_tells_removals_and_a_dropped_history() {
    let mut rows = Rows::default();
    rows.transact(&write("a", 0)).expect("a write");
    let removal = WireTransaction {
        remove: vec![row("own", "a", None)],
        ..WireTransaction::default()
    };
    rows.transact(&removal).expect("a removal");
    let changes = rows.changes("own", 1).expect("a history");
    expect_that!(changes.len(), eq(1));
    expect_true!(changes[0].deleted);
    rows.drop_history();
    expect_that!(rows.changes("own", 1), none());
}

fn runs() -> Runs {
    let settings = RunsSettings {
        slots: 2,
        max_lease_ms: 4_000,
        stop_ms: 200,
    };
    Runs::new(settings, 1, 0)
}

fn start(task: &str, run_id: u64, fencing_token: u64) -> WireStart {
    WireStart {
        task: task.to_owned(),
        run_id,
        task_spec: "work=500 slots=1".to_owned(),
        until_ms: 1_000,
        fencing_token,
        ..WireStart::default()
    }
}

/// Guards against a worker that takes what its page says it refuses.
#[gtest]
fn starts_are_refused_by_fence_age_time_and_room() {
    let mut runs = runs();
    expect_that!(runs.start(0, &start("t.0", 2, 5)), ok(eq(())));
    expect_that!(runs.start(1, &start("t.1", 1, 4)), err(eq(Refusal::Fence)));
    expect_that!(runs.start(2, &start("t.1", 1, 5)), ok(eq(())));
    expect_that!(runs.start(3, &start("t.2", 1, 5)), err(eq(Refusal::Room)));
    let stop = WireStop {
        task: "t.3".to_owned(),
        run_id: 3,
        fencing_token: 5,
    };
    expect_that!(runs.stop(4, &stop), ok(eq(())));
    expect_that!(runs.start(5, &start("t.3", 3, 5)), err(eq(Refusal::Old)));
    expect_that!(
        runs.start(2_000, &start("t.4", 1, 5)),
        err(eq(Refusal::Late))
    );
}

/// Guards against runs that outlive their lease, and against ends that are
/// forgotten before they are taken note of.
#[gtest]
fn a_lease_ends_runs_and_ends_stay_until_acknowledged() {
    let mut runs = runs();
    let long = WireStart {
        task_spec: "work=9000 slots=1".to_owned(),
        ..start("t.0", 1, 1)
    };
    runs.start(0, &long).expect("a start");
    runs.tick(1_500);
    let lists = runs.lists(1_500);
    expect_that!(lists.active.len(), eq(0));
    expect_that!(lists.finished[0].3.as_str(), eq("lapsed"));
    let hold = WireHold {
        ack_seq: 1,
        fencing_token: 1,
        ..WireHold::default()
    };
    let lists = runs.hold(1_600, &hold).expect("a hold");
    expect_that!(lists.finished.len(), eq(0));
}
