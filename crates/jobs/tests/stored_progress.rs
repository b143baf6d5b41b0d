//! Progress of large and recurring jobs in rows that the store accepts.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cumindeck_jobs::{
    AgentReport, ApiStep, CallerAnswer, CallerOperation, CallerRequest, CommitStep, EndReport,
    JobApi, JobProgress, JobRow, JobState, LeaderRow, Order, Placement, Recurrence, Resources,
    RowKey, RowName, RowView, RunEnd, RunReport, RunState, Scheduler, StepProgress, StepSpec,
    StoreResult, StoreRow, TaskId, TaskProgress, Transaction,
};
use cumindeck_types::{FencingToken, JobId, RunNumber};
use googletest::prelude::*;

use common::{at, job_id, report};

const JOB: &str = "00000000000000aa";

/// Time between two steps of a play in milliseconds.
const STEP_MS: u64 = 100;

/// Limits that the platform's pages state: bytes of a value and entries and bytes of a call.
const VALUE_BYTES: usize = 65_536;
const CALL_ENTRIES: usize = 100;
const CALL_BYTES: usize = 1_000_000;

/// A store that refuses what is over its limits, and the rows of some jobs.
#[derive(Default)]
struct LimitedStore {
    rows: BTreeMap<RowKey, (u64, Vec<u8>)>,
    version: u64,
    refused_job: Option<JobId>,
    largest_value: usize,
    largest_call: (usize, usize),
    /// Whether the next transaction fails by a condition.
    has_conflict: bool,
}

impl LimitedStore {
    fn transact(&mut self, transaction: &Transaction) -> StoreResult {
        let entries = transaction.conditions.len() + transaction.changes.len();
        let size = |value: &Vec<u8>| value.len().div_ceil(3) * 4;
        let values = transaction.changes.iter();
        let values: Vec<usize> = values.map(|it| it.value.as_ref().map_or(0, size)).collect();
        let bytes = values.iter().sum::<usize>() + entries * 200;
        let largest = values.into_iter().max().unwrap_or(0);
        self.largest_value = self.largest_value.max(largest);
        let call = (entries, bytes);
        self.largest_call = (
            self.largest_call.0.max(call.0),
            self.largest_call.1.max(call.1),
        );
        let is_refused = |key: &RowKey| match key {
            RowKey::Progress(job) | RowKey::Part(job, ..) => self.refused_job.as_ref() == Some(job),
            _ => false,
        };
        let is_bad = |change: &cumindeck_jobs::Change| {
            let value = change.value.as_ref();
            let has_tasks = value.is_some_and(|it| it.len() > 100);
            has_tasks && is_refused(&change.key)
        };
        let is_too_large = largest > VALUE_BYTES || entries > CALL_ENTRIES || bytes > CALL_BYTES;
        if is_too_large || transaction.changes.iter().any(is_bad) {
            return StoreResult::Refused("status 400".to_owned());
        }
        if std::mem::take(&mut self.has_conflict) {
            return StoreResult::Conflict(Vec::new());
        }
        self.version += 1;
        for change in &transaction.changes {
            match &change.value {
                Some(value) => {
                    let row = (self.version, value.clone());
                    self.rows.insert(change.key.clone(), row);
                }
                None => drop(self.rows.remove(&change.key)),
            }
        }
        StoreResult::Done {
            version: self.version,
        }
    }

    fn put(&mut self, key: RowKey, value: Vec<u8>) {
        self.version += 1;
        self.rows.insert(key, (self.version, value));
    }

    fn rows(&self) -> Vec<StoreRow> {
        let row = |(key, (version, value)): (&RowKey, &(u64, Vec<u8>))| StoreRow {
            name: RowName::System(key.clone()),
            version: *version,
            value: Some(value.clone()),
        };
        self.rows.iter().map(row).collect()
    }

    fn keys(&self) -> Vec<String> {
        let is_of_job = |key: &&RowKey| !matches!(key, RowKey::Leader | RowKey::Worker(_));
        self.rows
            .keys()
            .filter(is_of_job)
            .map(RowKey::text)
            .collect()
    }

    fn progress(&self, job: &str) -> JobProgress {
        let (_, value) = &self.rows[&RowKey::Progress(job_id(job))];
        serde_json::from_slice(value).expect("a progress row")
    }
}

/// A leader with one worker, whose runs end at once.
struct Site {
    store: LimitedStore,
    scheduler: Scheduler,
    now: u64,
    token: u64,
    sequence: u64,
    worker_capacity: Resources,
    active: BTreeSet<(TaskId, RunNumber)>,
    ends: Vec<EndReport>,
    /// Tasks and runs that the worker was told to start, in order.
    started: Vec<(TaskId, RunNumber)>,
    stopped: usize,
    /// Whether runs end before the worker reports them.
    ends_runs: bool,
}

fn capacity(tasks: u64) -> Resources {
    Resources {
        cpu_millis: tasks * 1_000,
        memory_mib: tasks * 100,
        accelerators: tasks as u32,
    }
}

fn leader_row(token: u64) -> LeaderRow {
    LeaderRow {
        leader: None,
        address: None,
        token: FencingToken::new(token),
        commit: 0,
        doubted: Vec::new(),
        workers_since: None,
        forecast: cumindeck_jobs::Forecast::default(),
    }
}

impl Site {
    fn new(worker_tasks: u64) -> Self {
        Self {
            store: LimitedStore::default(),
            scheduler: common::scheduler_with(at(0), 0, leader_row(1)),
            now: 1_000,
            token: 1,
            sequence: 0,
            worker_capacity: capacity(worker_tasks),
            active: BTreeSet::new(),
            ends: Vec::new(),
            started: Vec::new(),
            stopped: 0,
            ends_runs: true,
        }
    }

    fn submit(&mut self, job: &str, row: &JobRow) {
        let value = serde_json::to_vec(row).expect("a row");
        self.store.put(RowKey::Job(job_id(job)), value);
        let now = at(self.now);
        self.scheduler
            .on_job(now, job_id(job), row.clone(), self.now);
    }

    /// Replaces the leader by one that reads all rows.
    fn take_over(&mut self) {
        self.token += 1;
        let now = at(self.now);
        self.scheduler = common::scheduler_with(now, 0, leader_row(self.token));
        let mut view = RowView::default();
        view.on_all(self.store.rows(), self.store.version);
        let ignored = view.load(&mut self.scheduler, now, self.now);
        assert!(ignored.is_empty(), "{ignored:?} left alone");
    }

    fn report(&mut self) -> AgentReport {
        self.sequence += 1;
        let runs = self.active.iter().map(|(task, run)| RunReport {
            task: task.clone(),
            run: *run,
            state: RunState::Active {
                percent: 10,
                checkpoint: String::new(),
            },
        });
        let mut report = report("one", self.sequence, runs.collect());
        report.known_token = FencingToken::new(self.token);
        if let Some(incarnation) = &mut report.worker_incarnation {
            incarnation.capacity = self.worker_capacity;
        }
        report.ends = self.ends.clone();
        report
    }

    fn commit(&mut self) -> Option<CommitStep> {
        let batch = self.scheduler.next_transaction(at(self.now), self.now)?;
        let result = self.store.transact(&batch.transaction);
        Some(self.scheduler.on_commit(at(self.now), &result))
    }

    /// Plays a step of the site with at most this many transactions.
    fn step(&mut self, transactions: usize) {
        self.now += STEP_MS;
        let report = self.report();
        self.scheduler.on_report(at(self.now), self.now, &report);
        self.scheduler
            .plan(at(self.now), Duration::from_millis(self.now));
        for _ in 0..transactions {
            self.commit();
        }
        let agent = "one".parse().expect("an agent");
        let reply = self.scheduler.reply(at(self.now), &agent, self.sequence);
        self.ends.retain(|end| end.number > reply.recorded_ends);
        for order in reply.orders {
            match order {
                Order::Start { task, run, .. } => {
                    self.started.push((task.clone(), run));
                    match self.ends_runs {
                        true => self.end(task, run, RunEnd::Done),
                        false => drop(self.active.insert((task, run))),
                    }
                }
                Order::Stop { task, run } => {
                    self.stopped += 1;
                    self.active.remove(&(task.clone(), run));
                    self.end(task, run, RunEnd::Stopped);
                }
            }
        }
    }

    fn end(&mut self, task: TaskId, run: RunNumber, end: RunEnd) {
        let is_known = |it: &EndReport| it.task == task && it.run == run;
        if self.ends.iter().any(is_known) {
            return;
        }
        let last = self.ends.iter().map(|end| end.number).max();
        let recorded = self
            .scheduler
            .recorded_ends(&"one".parse().expect("an agent"));
        self.ends.push(EndReport {
            number: last.unwrap_or(0).max(recorded) + 1,
            task,
            run,
            end,
            checkpoint: String::new(),
        });
    }

    fn state(&self, job: &str, row: &JobRow) -> JobState {
        self.store.progress(job).state(&row.spec)
    }
}

fn row(tasks: u32, recurrence: Option<Recurrence>) -> JobRow {
    let mut row = common::job(StepSpec {
        tasks,
        estimate_ms: 1_000,
        ..StepSpec::default()
    });
    row.spec.recurrence = recurrence;
    row
}

/// The longest name that identifiers allow.
fn longest_name(index: usize) -> String {
    format!("{index:0>64}")
}

/// A task whose fields all have their largest size.
fn largest_task(index: usize) -> TaskProgress {
    let mut task = TaskProgress {
        run: RunNumber::new(u64::MAX - 1),
        failures: u32::MAX,
        is_done: false,
        checkpoint: "c".repeat(254),
        placement: Some(Placement {
            worker: longest_name(index).parse().expect("a worker"),
            started_ms: u64::MAX,
            agent: longest_name(index).parse().expect("an agent"),
        }),
        ..TaskProgress::default()
    };
    for earlier in 0..100 {
        task.record_failed_run(RunNumber::new(u64::MAX - 200 + earlier), true);
    }
    task
}

/// Guards against a row or a call that the store can never take (LOST, review/11): the largest
/// job that callers may submit, with names and numbers of the largest size.
#[gtest]
fn rows_of_the_largest_job_are_within_the_limits() {
    let mut site = Site::new(1);
    let row = row(10_000, None);
    let tasks = (0..10_000).map(largest_task).collect();
    // An earlier version had one row for all tasks, which the conversion divides.
    let progress = serde_json::json!({ "o": [[StepProgress { tasks }]] });
    let value = serde_json::to_vec(&progress).expect("a row");
    site.store.put(RowKey::Progress(job_id(JOB)), value);
    site.store.put(
        RowKey::Job(job_id(JOB)),
        serde_json::to_vec(&row).expect("a row"),
    );
    site.take_over();
    let mut transactions = 0;
    while site.store.progress(JOB).occurrences[&0].len() == 1 {
        expect_that!(site.commit(), some(eq(CommitStep::Committed)));
        transactions += 1;
        assert_that!(transactions, lt(100));
    }
    expect_that!(site.store.largest_value, le(VALUE_BYTES));
    insta::assert_snapshot!(format!(
        "transactions: {transactions}\nlargest value in base64: {}\nlargest call: {:?}",
        site.store.largest_value, site.store.largest_call
    ));
}

/// Guards against a job whose row grows with each of its occurrences until the store refuses
/// it (LOST, review/2).
#[gtest]
fn a_recurring_job_keeps_only_its_unfinished_occurrences() {
    let mut site = Site::new(20);
    let row = row(
        9,
        Some(Recurrence {
            first_unix_ms: 0,
            interval_ms: 1,
            times: 600,
        }),
    );
    site.submit(JOB, &row);
    for _ in 0..1_300 {
        site.step(3);
    }
    expect_that!(site.state(JOB, &row), eq(JobState::Completed));
    expect_that!(site.started.len(), eq(9 * 600));
    expect_that!(site.store.largest_value, lt(8_000));
    expect_that!(
        site.store.keys(),
        elements_are![eq(&format!("j/{JOB}")), eq(&format!("p/{JOB}"))]
    );
}

/// Guards against tasks that run again, or never, because a leader was replaced while a wide
/// job is recorded by several transactions, at any of them.
#[gtest]
fn a_takeover_between_two_parts_of_a_job_doubles_nothing() {
    for takeovers_at in 0..8 {
        let mut site = Site::new(6_000);
        let row = row(5_000, None);
        site.submit(JOB, &row);
        for step in 0..60 {
            site.step(1);
            if step == takeovers_at || step == takeovers_at + 9 {
                site.take_over();
            }
        }
        for _ in 0..30 {
            site.step(4);
        }
        expect_that!(site.state(JOB, &row), eq(JobState::Completed));
        let tasks: BTreeSet<&TaskId> = site.started.iter().map(|(task, _)| task).collect();
        expect_that!(tasks.len(), eq(5_000));
        expect_that!(site.started.len(), eq(5_000), "takeover at {takeovers_at}");
    }
}

/// Guards against members of a gang that start alone: a leader was replaced, or a condition
/// failed, after the first of two transactions that record its start.
#[gtest]
fn a_gang_that_is_recorded_in_part_does_not_start() {
    for has_conflict in [false, true] {
        let mut site = Site::new(6_000);
        let mut row = row(4_000, None);
        row.spec.steps[0].gang = true;
        site.submit(JOB, &row);
        site.ends_runs = false;
        site.step(1);
        expect_that!(site.started, is_empty());
        expect_that!(site.store.keys().len(), gt(20));
        match has_conflict {
            true => site.store.has_conflict = true,
            false => site.take_over(),
        }
        let mut alone = 0;
        for _ in 0..40 {
            site.step(1);
            let runs: BTreeSet<RunNumber> = site.active.iter().map(|(_, run)| *run).collect();
            let is_whole = site.active.len() == 4_000 && runs.len() == 1;
            alone += usize::from(!site.active.is_empty() && !is_whole);
        }
        expect_that!(alone, eq(0), "conflict: {has_conflict}");
        expect_that!(site.active.len(), eq(4_000));
    }
}

/// Guards against a job whose refused rows end the scheduling of all: it counts as failed with
/// a reason, its rows are removed, and the others complete.
#[gtest]
fn a_refused_job_is_set_apart_and_the_others_go_on() {
    let mut site = Site::new(1_000);
    let (large, small) = (row(100, None), row(2, None));
    let others: Vec<String> = (0..5)
        .map(|index| format!("00000000000000b{index}"))
        .collect();
    site.store.refused_job = Some(job_id(JOB));
    site.submit(JOB, &large);
    for other in &others {
        site.submit(other, &small);
    }
    for _ in 0..12 {
        site.step(6);
    }
    let apart = site.scheduler.take_set_apart();
    expect_that!(apart, elements_are![(eq(&job_id(JOB)), eq("status 400"))]);
    for other in &others {
        expect_that!(site.state(other, &small), eq(JobState::Completed));
    }
    expect_that!(site.state(JOB, &large), eq(JobState::Failed));
    let is_of_job = |(task, _): &&(TaskId, RunNumber)| task.job == job_id(JOB);
    expect_that!(site.started.iter().filter(is_of_job).count(), eq(0));
    site.take_over();
    site.step(3);
    expect_that!(site.state(JOB, &large), eq(JobState::Failed));
    let mut api = JobApi::new("entry-0".parse().expect("an entry"), common::limits());
    let req = CallerRequest {
        host: "letters.example".to_owned(),
        path: format!("/{JOB}"),
        key: None,
        verb: CallerOperation::Read,
        is_relayed: false,
    };
    let is_of_job = |row: &StoreRow| match &row.name {
        RowName::System(RowKey::Job(job) | RowKey::Progress(job)) => *job == job_id(JOB),
        _ => false,
    };
    let rows: Vec<StoreRow> = site.store.rows().into_iter().filter(is_of_job).collect();
    let step = api.resume(at(site.now), &req, &StoreResult::Rows(rows));
    let apart = CallerAnswer::SetApart("status 400".to_owned());
    expect_that!(step, eq(&ApiStep::Answer(apart)));
}

/// Guards against a job that counts as done, or starts anew, at an entry of an earlier version,
/// which reads only the field `o` of its row; a leader of it leaves such a job alone.
#[gtest]
fn an_earlier_version_neither_starts_nor_completes_a_job_in_parts() {
    let mut site = Site::new(1_000);
    let row = row(100, None);
    site.submit(JOB, &row);
    site.ends_runs = false;
    site.step(3);
    let (_, value) = &site.store.rows[&RowKey::Progress(job_id(JOB))];
    insta::assert_snapshot!(String::from_utf8_lossy(value));
}

/// Guards against a part that can't be decoded and whose tasks then count as not started.
#[gtest]
fn a_job_with_an_odd_part_is_left_alone() {
    let mut site = Site::new(1_000);
    site.submit(JOB, &row(100, None));
    site.ends_runs = false;
    site.step(3);
    expect_that!(site.started.len(), eq(100));
    for odd in [&b"[[["[..], b"[]", b"[{},{}]"] {
        site.store
            .put(RowKey::Part(job_id(JOB), 0, 1), odd.to_vec());
        let mut scheduler = common::scheduler_with(at(site.now), 0, leader_row(9));
        let mut view = RowView::default();
        view.on_all(site.store.rows(), site.store.version);
        let ignored = view.load(&mut scheduler, at(site.now), site.now);
        expect_that!(ignored, elements_are![eq(&job_id(JOB))]);
        expect_that!(scheduler.open_jobs(), eq(0));
    }
}
