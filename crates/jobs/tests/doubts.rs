//! Doubts whether a worker lists all ends, which outlast the agent's process.

mod common;

use cumindeck_jobs::{
    AgentReport, Batch, Change, EndListing,
    EndListing::{Assumed, Doubted, Probing, Proven},
    EndReport, LeaderRow, RowKey, RowName, RowView, RunEnd, Scheduler, StoreResult, StoreRow,
};
use cumindeck_types::{FencingToken, Incarnation};
use googletest::prelude::*;

use common::{at, report, scheduler, scheduler_with};

/// A report of the agent's process `process`, about the worker that started at `started_ms`.
fn report_of(process: u64, sequence: u64, started_ms: u64, end_listing: EndListing) -> AgentReport {
    let mut report = report("one", sequence, Vec::new());
    report.incarnation = Incarnation::new(process);
    report.end_listing = end_listing;
    if let Some(incarnation) = &mut report.worker_incarnation {
        incarnation.started_ms = started_ms;
    }
    report
}

/// Applies a report and returns whether the reply tells the agent of a doubt.
fn is_told(scheduler: &mut Scheduler, now: u64, report: &AgentReport) -> bool {
    scheduler.on_report(at(now), now, report);
    let reply = scheduler.reply(at(now), &report.agent, report.sequence);
    reply.doubts_ends
}

/// Guards against runs on a worker that drops their ends, because the process of the agent
/// that had found it out was started again (seed 13 of the simulation with late
/// acknowledgements).
#[gtest]
fn a_doubt_outlasts_the_agents_process() {
    let mut scheduler = scheduler(at(0), 0);
    expect_false!(is_told(&mut scheduler, 100, &report_of(1, 1, 1, Assumed)));
    expect_false!(is_told(&mut scheduler, 200, &report_of(1, 2, 1, Doubted)));
    // The next process does not know its worker at first.
    let without_worker = AgentReport {
        worker_incarnation: None,
        ..report_of(2, 1, 1, Assumed)
    };
    expect_false!(is_told(&mut scheduler, 300, &without_worker));
    expect_true!(is_told(&mut scheduler, 400, &report_of(2, 2, 1, Assumed)));
    expect_true!(is_told(&mut scheduler, 500, &report_of(2, 3, 1, Assumed)));
    // It has taken the doubt over, and settles it.
    expect_false!(is_told(&mut scheduler, 600, &report_of(2, 4, 1, Doubted)));
    expect_false!(is_told(&mut scheduler, 700, &report_of(2, 5, 1, Assumed)));
}

/// Guards against the same on a worker that started again under its id while no process of
/// the agent ran.
#[gtest]
fn a_worker_that_started_again_with_its_agent_is_doubted() {
    let mut scheduler = scheduler(at(0), 0);
    expect_false!(is_told(&mut scheduler, 100, &report_of(1, 1, 1, Assumed)));
    expect_true!(is_told(&mut scheduler, 400, &report_of(2, 1, 300, Assumed)));
    let mut other = report_of(3, 1, 900, Assumed);
    if let Some(incarnation) = &mut other.worker_incarnation {
        incarnation.worker = "w-other".parse().expect("a worker id");
    }
    expect_false!(is_told(&mut scheduler, 1_000, &other));
}

/// Guards against the same while the agent's process waits for a run that shows whether the
/// worker drops ends (seed 197 of the simulation with late acknowledgements).
#[gtest]
fn a_doubt_that_is_being_probed_outlasts_the_agents_process() {
    let mut scheduler = scheduler(at(0), 0);
    expect_false!(is_told(&mut scheduler, 100, &report_of(1, 1, 1, Doubted)));
    expect_false!(is_told(&mut scheduler, 200, &report_of(1, 2, 1, Probing)));
    expect_true!(is_told(&mut scheduler, 400, &report_of(2, 1, 1, Assumed)));
}

/// Guards against a worker that gets no runs for good, because its agent has settled its own
/// doubt before the leader tells it of that of its former process (seed 334 of the
/// simulation with late acknowledgements).
#[gtest]
fn a_doubt_that_the_agent_has_settled_is_over() {
    let mut scheduler = scheduler(at(0), 0);
    expect_false!(is_told(&mut scheduler, 100, &report_of(1, 1, 1, Doubted)));
    expect_true!(is_told(&mut scheduler, 400, &report_of(2, 1, 1, Assumed)));
    expect_false!(is_told(&mut scheduler, 500, &report_of(2, 2, 1, Proven)));
    expect_false!(is_told(&mut scheduler, 600, &report_of(2, 3, 1, Proven)));
}

/// Guards against a worker that is doubted for ever, because its agent's process was
/// started again.
#[gtest]
fn a_worker_without_doubts_stays_so_when_its_agent_starts_again() {
    let mut scheduler = scheduler(at(0), 0);
    expect_false!(is_told(&mut scheduler, 100, &report_of(1, 1, 1, Assumed)));
    expect_false!(is_told(&mut scheduler, 400, &report_of(2, 1, 1, Assumed)));
}

/// Guards against the same when the leader changes as well: the doubts are in its row.
#[gtest]
fn a_doubt_outlasts_the_agents_process_and_the_leader() {
    let mut first = scheduler(at(0), 0);
    is_told(&mut first, 100, &report_of(1, 1, 1, Doubted));
    let batch = first.next_transaction(at(400), 400).expect("a renewal");
    let row = batch.leader_row;
    let mut second = scheduler_with(at(500), 0, row.clone());
    expect_true!(is_told(&mut second, 600, &report_of(2, 1, 1, Assumed)));
    // A worker that never reports again is dropped from the row in time.
    let mut third = scheduler_with(at(500), 0, row);
    let kept = |scheduler: &mut Scheduler, now| {
        let batch = scheduler.next_transaction(at(now), now).expect("a renewal");
        scheduler.on_commit(at(now), &StoreResult::Done { version: now });
        batch.leader_row.doubted.len()
    };
    expect_that!(kept(&mut third, 900), eq(1));
    expect_that!(kept(&mut third, 40_000), eq(0));
}

/// A report that asks whether the leader knows the worker's incarnation.
fn question(process: u64, started_ms: u64) -> AgentReport {
    AgentReport {
        asks_for_incarnation: true,
        ..report_of(process, 1, started_ms, Assumed)
    }
}

fn is_known(scheduler: &mut Scheduler, now: u64, report: &AgentReport) -> bool {
    scheduler.on_report(at(now), now, report);
    let reply = scheduler.reply(at(now), &report.agent, report.sequence);
    reply.knows_incarnation
}

/// Guards against runs on a worker that drops their ends: the process of its agent that had
/// called its former incarnation and the leader that had heard of it are both gone (11 of 800
/// seeds of the simulation with late acknowledgements).
#[gtest]
fn a_leader_vouches_only_for_incarnations_that_it_knows() {
    // No earlier process can have called a worker before the first leader.
    let mut first = scheduler(at(0), 0);
    expect_true!(is_known(&mut first, 100, &question(1, 1)));
    expect_true!(is_known(&mut first, 200, &question(2, 1)));
    // It has started again.
    expect_false!(is_known(&mut first, 300, &question(3, 250)));
    expect_false!(is_known(&mut first, 400, &question(4, 250)));

    let mut row = first.leader_row().clone();
    row.token = FencingToken::new(2);
    let mut second = scheduler_with(at(500), 0, row);
    expect_false!(is_known(&mut second, 600, &question(4, 250)));
    expect_false!(is_known(&mut second, 700, &report_of(4, 2, 250, Proven)));
    expect_true!(is_known(&mut second, 800, &question(5, 250)));
}

/// A report of a new process whose worker has this id.
fn question_of(worker: &str, process: u64, started_ms: u64) -> AgentReport {
    let mut report = question(process, started_ms);
    if let Some(incarnation) = &mut report.worker_incarnation {
        incarnation.worker = worker.parse().expect("a worker id");
    }
    report
}

/// A scheduler of the second leader, with the rows that the first one has written and the
/// leader row as `change` leaves it.
fn successor(batches: &[Batch], change: impl FnOnce(&mut LeaderRow)) -> Scheduler {
    let mut row = batches.last().expect("a transaction").leader_row.clone();
    row.token = FencingToken::new(2);
    change(&mut row);
    let mut view = RowView::default();
    for (at, batch) in batches.iter().enumerate() {
        let version = at as u64 + 1;
        let rows = batch.transaction.changes.iter().map(|change| StoreRow {
            name: RowName::System(change.key.clone()),
            version,
            value: change.value.clone(),
        });
        view.on_changes(rows.collect(), version);
    }
    let mut scheduler = scheduler_with(at(500), 0, row);
    view.load(&mut scheduler, at(500), 500);
    scheduler
}

/// The transactions of a first leader that has heard of a worker in this state.
fn recorded(end_listing: EndListing) -> Vec<Batch> {
    let row = LeaderRow {
        workers_since: Some(FencingToken::new(1)),
        ..scheduler(at(0), 0).leader_row().clone()
    };
    let mut first = scheduler_with(at(0), 0, row);
    is_known(&mut first, 100, &report_of(1, 1, 1, end_listing));
    vec![first.next_transaction(at(400), 400).expect("a renewal")]
}

/// Guards against a whole fleet in doubt after a loss of power: entries, agents and workers
/// are new, and each worker has an id that its agent has never called (trouble-1 of
/// plume-thies, seed 306).
#[gtest]
fn a_worker_with_a_new_id_is_known_to_the_next_leader() {
    let mut second = successor(&recorded(Assumed), |_| {});
    expect_true!(is_known(&mut second, 600, &question_of("w-other", 2, 300)));
}

/// Guards against runs on a worker that drops their ends: it has started again under the
/// recorded id, so that a late call may have reached it.
#[gtest]
fn a_worker_that_started_again_under_the_recorded_id_is_not_known() {
    let mut second = successor(&recorded(Assumed), |_| {});
    expect_false!(is_known(&mut second, 600, &question(2, 300)));
}

/// Guards against the same when the former process of the agent has doubted it.
#[gtest]
fn a_recorded_doubt_outlasts_the_leader() {
    let mut second = successor(&recorded(Doubted), |row| row.doubted.clear());
    expect_false!(is_known(&mut second, 600, &question(2, 1)));
}

/// Guards against a whole fleet in doubt after entries and agents were killed while the
/// workers went on (trouble-3 of plume-thies, seed 302).
#[gtest]
fn the_recorded_incarnation_is_known_to_the_next_leader() {
    let mut second = successor(&recorded(Assumed), |_| {});
    expect_true!(is_known(&mut second, 600, &question(2, 1)));
}

/// Guards against probes on the workers of agents that join the site (trouble-3 of
/// plume-thies, seed 302).
#[gtest]
fn the_worker_of_a_new_agent_is_known_if_all_leaders_have_recorded_workers() {
    let mut question = question(1, 300);
    question.agent = "two".parse().expect("an agent id");
    let mut second = successor(&recorded(Assumed), |_| {});
    expect_true!(is_known(&mut second, 600, &question));
    let mut third = successor(&recorded(Assumed), |row| {
        row.workers_since = Some(FencingToken::new(2));
    });
    expect_false!(is_known(&mut third, 600, &question));
}

/// Guards against the same after a leader of an earlier version, which records no workers:
/// the recorded id may not be the last one.
#[gtest]
fn recorded_workers_do_not_count_after_a_leader_of_an_earlier_version() {
    let question = question_of("w-other", 2, 300);
    let mut second = successor(&recorded(Assumed), |row| {
        row.workers_since = Some(FencingToken::new(2));
    });
    expect_false!(is_known(&mut second, 600, &question));
    let mut third = successor(&recorded(Assumed), |row| row.workers_since = None);
    expect_false!(is_known(&mut third, 600, &question));
}

/// Guards against an acknowledgement to a worker whose id no row names: the next leader would
/// take a later incarnation under it for a worker with a new id.
#[gtest]
fn ends_are_not_acknowledged_before_their_worker_is_recorded() {
    let mut first = scheduler(at(0), 0);
    for agent in 0..30 {
        let mut report = report(&format!("{agent:02}"), 1, Vec::new());
        report.ends = vec![EndReport {
            number: 1,
            task: common::task(),
            run: common::run(),
            end: RunEnd::Done,
            checkpoint: String::new(),
        }];
        first.on_report(at(100), 100, &report);
    }
    let acknowledged = |first: &Scheduler| {
        let agents = (0..30).map(|agent| format!("{agent:02}").parse().expect("an agent id"));
        agents
            .filter(|agent| first.recorded_ends(agent) == 1)
            .count()
    };
    let mut counts = Vec::new();
    for now in [400, 800] {
        let batch = first.next_transaction(at(now), now).expect("a transaction");
        let is_worker = |change: &&Change| matches!(change.key, RowKey::Worker(_));
        let rows = batch.transaction.changes.iter().filter(is_worker).count();
        first.on_commit(at(now), &StoreResult::Done { version: now });
        counts.push((rows, acknowledged(&first)));
    }
    expect_that!(counts, eq(&vec![(20, 20), (10, 30)]));
}
