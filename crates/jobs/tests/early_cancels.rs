//! Cancels of jobs whose submission has no answer yet.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use cumindeck_jobs::{
    ApiStep, CallerAnswer, CallerOperation, CallerRequest, CancelRow, JobApi, JobState, Recurrence,
    Row, RowKey, RowName, RowView, Scheduler, StepSpec, StoreResult, StoreRow, Transaction,
};
use googletest::prelude::*;

use common::{at, job_id, limits, report};

const JOB: &str = "0000000000000001";

/// Time for which a write without an answer may still be done, of which the pages say
/// "seconds later", and the longest pause of a process that the bounds name.
const LATE_MS: u64 = 20_000;

fn request(job: &str, verb: CallerOperation) -> CallerRequest {
    CallerRequest {
        host: "letters.example".to_owned(),
        path: format!("/letters/{job}"),
        key: Some("key".to_owned()),
        verb,
        is_relayed: false,
    }
}

fn submission(step: StepSpec, recurrence: Option<Recurrence>) -> CallerOperation {
    CallerOperation::Submit {
        payload: "print".to_owned(),
        steps: vec![StepSpec {
            tasks: 1,
            resources: common::resources(),
            ..step
        }],
        recurrence,
    }
}

/// A store that checks the conditions on the system's rows, and entries that follow it.
#[derive(Default)]
struct Site {
    rows: BTreeMap<RowKey, (u64, Vec<u8>)>,
    version: u64,
}

impl Site {
    fn row(&self, name: &RowName) -> Option<StoreRow> {
        let RowName::System(key) = name else {
            return None;
        };
        let (version, value) = self.rows.get(key)?;
        Some(StoreRow {
            name: name.clone(),
            version: *version,
            value: Some(value.clone()),
        })
    }

    fn transact(&mut self, transaction: &Transaction) -> StoreResult {
        let is_met = |condition: &cumindeck_jobs::Condition| match &condition.name {
            RowName::System(_) => {
                let row = self.row(&condition.name);
                row.map_or(0, |row| row.version) == condition.version
            }
            RowName::Config | RowName::Evacuation(_) => true,
        };
        if !transaction.conditions.iter().all(is_met) {
            let names = transaction.conditions.iter().map(|it| &it.name);
            return StoreResult::Conflict(names.filter_map(|name| self.row(name)).collect());
        }
        self.version += 1;
        for change in &transaction.changes {
            match &change.value {
                Some(value) => {
                    let row = (self.version, value.clone());
                    drop(self.rows.insert(change.key.clone(), row));
                }
                None => drop(self.rows.remove(&change.key)),
            }
        }
        StoreResult::Done {
            version: self.version,
        }
    }

    fn all(&self) -> Vec<StoreRow> {
        let names = self.rows.keys().cloned().map(RowName::System);
        names.filter_map(|name| self.row(&name)).collect()
    }

    /// An entry that has just read everything.
    fn entry(&self, now: u64) -> JobApi {
        let mut api = JobApi::new("entry-1".parse().expect("an entry"), limits());
        api.on_catalog(common::catalog());
        api.on_catalog_confirmed(at(now));
        api.on_rows_confirmed(at(now), at(now), now);
        for stored in self.all() {
            let RowName::System(key) = &stored.name else {
                continue;
            };
            api.on_row(Row::decode(key, stored.value.as_deref()).expect("a row"));
        }
        api
    }

    /// Plays a request up to its next write, with the answer if the write is done.
    fn until_write(
        &self,
        api: &mut JobApi,
        now: u64,
        req: &CallerRequest,
    ) -> std::result::Result<(Transaction, Option<CallerAnswer>), CallerAnswer> {
        let mut step = api.begin(at(now), req);
        loop {
            step = match step {
                ApiStep::Answer(answer) => return Err(answer),
                ApiStep::Write(transaction) => return Ok((transaction, None)),
                ApiStep::WriteThenAnswer(transaction, answer) => {
                    return Ok((transaction, Some(answer)));
                }
                ApiStep::Lookup { job, .. } => {
                    let keys = [
                        RowKey::Job(job.clone()),
                        RowKey::Progress(job.clone()),
                        RowKey::Cancel(job),
                    ];
                    let rows = keys.map(|key| self.row(&RowName::System(key)));
                    let rows = rows.into_iter().flatten().collect();
                    api.resume(at(now), req, &StoreResult::Rows(rows))
                }
                ApiStep::Relay(_) => panic!("the entry decides by itself"),
            };
        }
    }

    /// Plays a request at an entry that knows all rows.
    fn answer(&mut self, now: u64, req: &CallerRequest) -> CallerAnswer {
        let mut api = self.entry(now);
        self.answer_at(&mut api, now, req)
    }

    /// Plays a request at an entry.
    fn answer_at(&mut self, api: &mut JobApi, now: u64, req: &CallerRequest) -> CallerAnswer {
        let (transaction, answer) = match self.until_write(api, now, req) {
            Err(answer) => return answer,
            Ok(write) => write,
        };
        let mut result = self.transact(&transaction);
        if let (StoreResult::Done { .. }, Some(answer)) = (&result, answer) {
            return answer;
        }
        loop {
            match api.resume(at(now), req, &result) {
                ApiStep::Answer(answer) => return answer,
                ApiStep::Write(transaction) => result = self.transact(&transaction),
                step => panic!("an answer after {result:?}, not {step:?}"),
            }
        }
    }

    /// A leader that has taken over and read everything.
    fn leader(&mut self, now: u64) -> Scheduler {
        let mut scheduler = common::scheduler(at(now), 0);
        self.rows.remove(&RowKey::Leader);
        let mut view = RowView::default();
        view.on_all(self.all(), self.version);
        view.load(&mut scheduler, at(now), now);
        scheduler
    }

    /// Has a new leader write once, and returns the rows that it removed.
    fn renew(&mut self, now: u64) -> Vec<String> {
        let mut scheduler = self.leader(now - 1_000);
        let batch = scheduler.next_transaction(at(now), now).expect("a renewal");
        let changes = batch.transaction.changes.iter();
        let removed: Vec<RowKey> = changes
            .filter(|change| change.value.is_none())
            .map(|change| change.key.clone())
            .collect();
        for key in &removed {
            self.rows.remove(key);
        }
        removed.iter().map(RowKey::text).collect()
    }
}

/// Guards against a job that runs although its cancel was answered: the write of its
/// submission has no answer and is done after the cancel (UNASKED, review/12). So does one that
/// recurs, and one that lasts.
#[gtest]
fn a_submission_that_is_done_after_its_cancel_is_void() {
    let lasting = StepSpec {
        long_running: true,
        ..StepSpec::default()
    };
    let recurring = Recurrence {
        first_unix_ms: 0,
        interval_ms: 1_000,
        times: 5,
    };
    let submissions = [
        submission(StepSpec::default(), None),
        submission(lasting, None),
        submission(StepSpec::default(), Some(recurring)),
    ];
    for submission in submissions {
        let mut site = Site::default();
        let submit = request(JOB, submission);
        let mut first = site.entry(1_000);
        let late = site.until_write(&mut first, 1_000, &submit);
        let (late, _) = late.expect("a write");
        let cancel = request(JOB, CallerOperation::Cancel);
        expect_that!(site.answer(1_700, &cancel), eq(&CallerAnswer::NoJob));
        // The cancel is repeated at another entry.
        expect_that!(site.answer(1_900, &cancel), eq(&CallerAnswer::NoJob));
        let result = site.transact(&late);
        expect_that!(result, matches_pattern!(StoreResult::Conflict(anything())));
        let step = first.resume(at(1_000 + LATE_MS), &submit, &result);
        expect_that!(step, eq(&ApiStep::Answer(CallerAnswer::CancelledEarly)));
        // A repetition of the submission, as of a client that retries, runs as little.
        let again = site.answer(2_000 + LATE_MS, &submit);
        expect_that!(again, eq(&CallerAnswer::CancelledEarly));
        expect_that!(site.leader(2_500 + LATE_MS).open_jobs(), eq(0));
    }
}

/// Guards against a cancel that is answered while the write of the submission is done before it:
/// the job is accepted and cancelled, and the client is told so.
#[gtest]
fn a_submission_that_is_done_before_its_cancel_is_cancelled() {
    let mut site = Site::default();
    let submit = request(JOB, submission(StepSpec::default(), None));
    let mut first = site.entry(1_000);
    let late = site.until_write(&mut first, 1_000, &submit);
    let cancel = request(JOB, CallerOperation::Cancel);
    let mut second = site.entry(1_000);
    let write = site.until_write(&mut second, 1_700, &cancel);
    site.transact(&late.expect("a write").0);
    let result = site.transact(&write.expect("a write").0);
    expect_that!(result, matches_pattern!(StoreResult::Conflict(anything())));
    let step = second.resume(at(1_700), &cancel, &result);
    let ApiStep::Write(write) = step else {
        panic!("a write, not {step:?}");
    };
    let result = site.transact(&write);
    let step = second.resume(at(1_700), &cancel, &result);
    expect_that!(step, eq(&ApiStep::Answer(CallerAnswer::Ok)));
    let mut leader = site.leader(2_000);
    leader.on_report(at(2_300), 2_300, &report("one", 1, Vec::new()));
    leader.plan(at(2_300), Duration::from_millis(2_300));
    expect_that!(leader.take_decisions(), is_empty());
    let read = request(JOB, CallerOperation::Read);
    let state = site.answer(2_500, &read);
    expect_that!(state, eq(&CallerAnswer::State(JobState::Cancelled)));
}

/// Guards against an accepted job whose cancel is answered 410, as if there were no such job,
/// because the feed of the entry is behind the store (review/5).
#[gtest]
fn a_cancel_of_a_stored_job_is_confirmed_by_an_entry_that_does_not_know_it() {
    let mut site = Site::default();
    let mut behind = site.entry(1_000);
    let submit = request(JOB, submission(StepSpec::default(), None));
    expect_that!(site.answer(1_000, &submit), eq(&CallerAnswer::Ok));
    let cancel = request(JOB, CallerOperation::Cancel);
    for now in [1_200, 1_300] {
        let answer = site.answer_at(&mut behind, now, &cancel);
        expect_that!(answer, eq(&CallerAnswer::Ok));
    }
}

/// Guards against a job of an entry of an earlier version, whose write does not depend on the
/// cancel: the leader holds it for cancelled, also after a takeover.
#[gtest]
fn a_job_of_an_earlier_version_is_cancelled_by_an_earlier_cancel() {
    let row = common::job(StepSpec {
        tasks: 1,
        ..StepSpec::default()
    });
    let mut known = common::scheduler(at(0), 0);
    known.on_cancel(&job_id(JOB), &CancelRow::default(), 500);
    known.on_job(at(900), job_id(JOB), row, 900);
    known.on_report(at(1_000), 1_000, &report("one", 1, Vec::new()));
    known.plan(at(1_000), Duration::from_millis(1_000));
    expect_that!(known.take_decisions(), is_empty());
    expect_that!(known.open_jobs(), eq(0));
}

/// Guards against a table that grows with each cancel of an unknown job, and against rows that
/// are removed while a late write may still be done. Changes of the leader do not prolong them.
#[gtest]
fn cancels_of_unknown_jobs_are_removed_after_their_time() {
    let mut site = Site::default();
    let cancel = request(JOB, CallerOperation::Cancel);
    site.answer(1_000, &cancel);
    // A row of an earlier version has no time; it counts from the first reading.
    site.rows.insert(
        RowKey::Cancel(job_id("0000000000000002")),
        (9, b"{}".to_vec()),
    );
    for now in [2_000, LATE_MS, 60_900] {
        expect_that!(site.renew(now), is_empty());
    }
    expect_that!(site.renew(61_100), elements_are![eq(&format!("c/{JOB}"))]);
    let submit = request(JOB, submission(StepSpec::default(), None));
    expect_that!(site.answer(61_200, &submit), eq(&CallerAnswer::Ok));
}

/// Guards against an entry that keeps a cancel whose row is gone: its job would be shown as
/// cancelled when it is submitted again.
#[gtest]
fn an_entry_forgets_a_removed_cancel() {
    let mut site = Site::default();
    let cancel = request(JOB, CallerOperation::Cancel);
    site.answer(1_000, &cancel);
    let mut api = site.entry(2_000);
    api.on_row(Row::Removed(RowKey::Cancel(job_id(JOB))));
    let row = common::job(StepSpec::default());
    api.on_row(Row::Job(job_id(JOB), Box::new(row)));
    let read = request(JOB, CallerOperation::Read);
    let step = api.begin(at(2_000), &read);
    let queued = CallerAnswer::State(JobState::Queued);
    expect_that!(step, eq(&ApiStep::Answer(queued)));
}

/// Guards against a client that fills the store with cancels of unknown jobs; it is told when
/// there is room again, and jobs that are known can still be cancelled.
#[gtest]
fn cancels_of_unknown_jobs_are_limited() {
    let mut site = Site::default();
    let submit = request("00000000000fffff", submission(StepSpec::default(), None));
    expect_that!(site.answer(1_000, &submit), eq(&CallerAnswer::Ok));
    let row = CancelRow {
        team: None,
        cancelled_store_ms: Some(1_500),
    };
    let value = serde_json::to_vec(&row).expect("a row");
    for number in 0..2_000 {
        let key = RowKey::Cancel(job_id(&format!("{number:016x}")));
        site.rows.insert(key, (1, value.clone()));
    }
    let cancel = |job: &str| request(job, CallerOperation::Cancel);
    let refused = site.answer(11_500, &cancel("00000000000ffffe"));
    let CallerAnswer::NotRun(wait, _) = refused else {
        panic!("a refusal, not {refused:?}");
    };
    expect_that!(wait, eq(Duration::from_secs(50)));
    expect_that!(
        site.answer(11_500, &cancel("00000000000fffff")),
        eq(&CallerAnswer::Ok)
    );
}
