//! What an entry concludes from the rows of the store.

mod common;

use std::time::Duration;

use cumindeck_jobs::{Row, RowKey, RowName, RowView, StepSpec, StoreRow};
use googletest::prelude::*;

use common::{at, job, job_id, report};

const JOB: &str = "000000000000000a";

fn stored(key: RowKey, version: u64, value: Option<Vec<u8>>) -> StoreRow {
    StoreRow {
        name: RowName::System(key),
        version,
        value,
    }
}

fn job_row(version: u64) -> StoreRow {
    let row = job(StepSpec {
        tasks: 1,
        estimate_ms: 1_000,
        ..StepSpec::default()
    });
    stored(
        RowKey::Job(job_id(JOB)),
        version,
        serde_json::to_vec(&row).ok(),
    )
}

fn cancel_row(version: u64) -> StoreRow {
    let value = Some(b"{\"team\":null}".to_vec());
    stored(RowKey::Cancel(job_id(JOB)), version, value)
}

fn kinds(rows: &[(u64, Row)]) -> Vec<&'static str> {
    let kind = |(_, row): &(u64, Row)| match row {
        Row::Leader(_) => "leader",
        Row::Entry(..) => "entry",
        Row::Job(..) => "job",
        Row::Cancel(..) => "cancel",
        Row::Progress(..) => "progress",
        Row::Worker(..) => "worker",
        Row::Part { .. } => "part",
        Row::Removed(_) => "removed",
    };
    rows.iter().map(kind).collect()
}

/// Guards against a cancelled job that runs whole, since a scheduler that leads already
/// ignores a cancel that comes before its job, as the order of the keys has it (review/5).
#[gtest]
fn all_rows_are_applied_jobs_first() {
    let mut view = RowView::default();
    let reading = view.on_all(vec![cancel_row(3), job_row(2)], 3);
    expect_that!(kinds(&reading.rows), eq(&vec!["job", "cancel"]));

    let mut scheduler = common::scheduler(at(0), 0);
    for (_, row) in reading.rows {
        match row {
            Row::Job(job, row) => scheduler.on_job(at(0), job, *row, 0),
            Row::Cancel(job, row) => scheduler.on_cancel(&job, &row, 0),
            _ => {}
        }
    }
    scheduler.on_report(at(300), 300, &report("one", 1, Vec::new()));
    scheduler.plan(at(300), Duration::ZERO);
    expect_that!(scheduler.take_decisions(), is_empty());
}

/// Guards against rows that stay in the copy for good, because they were removed while the
/// store dropped its history: a repeated request for such a job would be answered from the
/// copy, although nothing is stored.
#[gtest]
fn a_row_that_a_complete_reading_lacks_is_removed() {
    let mut view = RowView::default();
    view.on_changes(vec![job_row(2), cancel_row(3)], 3);
    let reading = view.on_all(vec![cancel_row(3)], 9);
    expect_that!(kinds(&reading.rows), eq(&vec!["removed", "cancel"]));
    expect_that!(view.version(), eq(9));

    // A row that can't be decoded is there: its former contents stay.
    view.on_changes(vec![job_row(10)], 10);
    let odd = stored(RowKey::Job(job_id(JOB)), 11, Some(b"[".to_vec()));
    let reading = view.on_all(vec![odd, cancel_row(3)], 12);
    expect_that!(kinds(&reading.rows), eq(&vec!["cancel"]));
    expect_that!(reading.invalid, len(eq(1)));
    let reading = view.on_all(vec![cancel_row(3)], 13);
    expect_that!(kinds(&reading.rows), eq(&vec!["removed", "cancel"]));
}
