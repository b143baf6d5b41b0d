//! Which failures of a gang count as attempts.

mod common;

use std::time::Duration;

use cumindeck_jobs::{
    AgentReport, DecisionKind, EndReport, JobProgress, JobRow, JobState, RunEnd, RunReport,
    RunState, Scheduler, StepSpec, StoreResult, TaskId, Transaction,
};
use cumindeck_types::RunNumber;
use googletest::prelude::*;

use common::{at, job_id, report};

const JOB: &str = "0000000000000001";

/// Time between two runs of the gang; longer than the backoff after a failure.
const RUN_MS: u64 = 3_000;

/// A gang with a member on each worker, and the scheduler that runs it.
struct Gang {
    scheduler: Scheduler,
    members: u32,
    now: u64,
    sequence: u64,
    /// Ends that the workers have listed, by worker.
    ends: Vec<Vec<EndReport>>,
    /// Runs that have not ended, as the agents report them, by worker.
    runs: Vec<Vec<RunReport>>,
    /// Start times of the workers' incarnations.
    started_ms: Vec<u64>,
    /// Progress of the job as it was last recorded.
    recorded: Option<JobProgress>,
}

fn row(members: u32, max_attempts: u32) -> JobRow {
    let mut row = common::job(StepSpec {
        tasks: members,
        estimate_ms: 100_000,
        gang: true,
        ..StepSpec::default()
    });
    row.spec.max_attempts = max_attempts;
    row
}

fn task(index: u32) -> TaskId {
    format!("{JOB}.0.0.{index}").parse().expect("a task")
}

impl Gang {
    fn new(members: u32, max_attempts: u32) -> Self {
        let mut scheduler = common::scheduler(at(0), 0);
        scheduler.on_job(at(0), job_id(JOB), row(members, max_attempts), 0);
        Self {
            scheduler,
            members,
            now: RUN_MS,
            sequence: 0,
            ends: (0..members).map(|_| Vec::new()).collect(),
            runs: (0..members).map(|_| Vec::new()).collect(),
            started_ms: (0..members).map(|_| 1).collect(),
            recorded: None,
        }
    }

    /// Reports all workers and plans; the gang starts if it waits.
    fn step(&mut self) {
        self.sequence += 1;
        let now = self.now;
        for index in 0..self.members {
            let worker = index as usize;
            let runs = self.runs[worker].clone();
            let mut report = AgentReport {
                ends: self.ends[worker].clone(),
                ..report(&format!("agent-{index}"), self.sequence, runs)
            };
            if let Some(incarnation) = &mut report.worker_incarnation {
                incarnation.started_ms = self.started_ms[worker];
            }
            self.scheduler.on_report(at(now), now, &report);
            self.scheduler
                .reply(at(now), &report.agent, report.sequence);
        }
        self.scheduler.plan(at(now), Duration::ZERO);
        while let Some(batch) = self.scheduler.next_transaction(at(now), now) {
            self.record(&batch.transaction);
            let done = StoreResult::Done { version: now };
            self.scheduler.on_commit(at(now), &done);
        }
        self.now += 100;
    }

    fn record(&mut self, transaction: &Transaction) {
        let values = transaction.changes.iter().rev();
        let mut progress = values.filter_map(|change| {
            let is_progress = matches!(change.key, cumindeck_jobs::RowKey::Progress(_));
            serde_json::from_slice(change.value.as_ref().filter(|_| is_progress)?).ok()
        });
        self.recorded = progress.next().or(self.recorded.take());
    }

    /// Starts the next run of the gang, and has some of its members end so; the others are
    /// broken. Each end comes in a report of its own if `is_apart`.
    fn run(&mut self, run: u64, failed: &[u32], is_apart: bool) -> JobState {
        self.now += RUN_MS;
        self.step();
        let mut members: Vec<u32> = failed.to_vec();
        members.extend((0..self.members).filter(|index| !failed.contains(index)));
        for index in members {
            let end = match failed.contains(&index) {
                true => RunEnd::Failed,
                false => RunEnd::Broken,
            };
            self.end(index, run, end);
            if is_apart {
                self.step();
            }
        }
        self.step();
        self.state()
    }

    /// Has the worker of a member list the end of its run.
    fn end(&mut self, index: u32, run: u64, end: RunEnd) {
        let Some(worker) = self.worker_of(index) else {
            return;
        };
        let ends = &mut self.ends[worker];
        ends.push(EndReport {
            number: ends.len() as u64 + 1,
            task: task(index),
            run: RunNumber::new(run),
            end,
            checkpoint: String::new(),
        });
    }

    /// Returns the worker that runs a member, as far as it is recorded.
    fn worker_of(&self, index: u32) -> Option<usize> {
        let progress = self.recorded.as_ref().expect("the job has started");
        let member = &progress.occurrences[&0][0].tasks[index as usize];
        let agent = member.placement.as_ref()?.agent.to_string();
        (0..self.members as usize).find(|worker| agent == format!("agent-{worker}"))
    }

    /// Has the worker of a member start again under its id.
    fn restart_worker_of(&mut self, index: u32) {
        let worker = self.worker_of(index).expect("a member that runs");
        self.started_ms[worker] += 1_000;
        self.ends[worker].clear();
    }

    /// Has the worker of a member drop the end of its run, which the agent reports until the
    /// next call.
    fn drop_end(&mut self, index: u32, run: u64) {
        let worker = self.worker_of(index).expect("a member that runs");
        self.runs[worker] = vec![RunReport {
            task: task(index),
            run: RunNumber::new(run),
            state: RunState::NotStarted {
                reason: "the worker has dropped its end".to_owned(),
            },
        }];
        self.step();
        self.runs[worker].clear();
    }

    fn state(&self) -> JobState {
        let progress = self.recorded.as_ref().expect("the job has started");
        progress.state(&row(self.members, 1).spec)
    }

    /// Has a new leader load the job from its rows.
    fn take_over(&mut self, max_attempts: u32) {
        let progress = self.recorded.clone().expect("the job has started");
        let mut scheduler = common::scheduler(at(self.now), 0);
        let row = row(self.members, max_attempts);
        scheduler.on_job(at(self.now), job_id(JOB), row, self.now);
        scheduler.on_progress(at(self.now), &job_id(JOB), progress);
        self.scheduler = scheduler;
    }
}

/// Guards against a gang that is given up although it has attempts left, because several of
/// its members failed in one run (LOST on mizani-haki, issue 33).
#[gtest]
fn a_run_in_which_several_members_fail_counts_once() {
    for is_apart in [false, true] {
        let mut gang = Gang::new(4, 3);
        expect_that!(gang.run(1, &[0, 1, 2, 3], is_apart), eq(JobState::Running));
        expect_that!(gang.run(2, &[1, 2], is_apart), eq(JobState::Running));
        expect_that!(gang.run(3, &[3], is_apart), eq(JobState::Failed));
    }
}

/// Guards against a gang that never ends, because a different member fails in each run.
#[gtest]
fn members_that_fail_in_different_runs_count_together() {
    let mut gang = Gang::new(3, 2);
    expect_that!(gang.run(1, &[0], true), eq(JobState::Running));
    expect_that!(gang.run(2, &[2], true), eq(JobState::Failed));
}

/// Guards against the same around a takeover, where the ends of one run are handled by two
/// leaders.
#[gtest]
fn a_run_counts_once_for_two_leaders() {
    let mut gang = Gang::new(2, 2);
    gang.now += RUN_MS;
    gang.step();
    gang.end(0, 1, RunEnd::Failed);
    gang.step();
    gang.take_over(2);
    gang.end(1, 1, RunEnd::Failed);
    gang.step();
    expect_that!(gang.state(), eq(JobState::Running));
    expect_that!(gang.run(2, &[0], true), eq(JobState::Failed));
}

/// Loads a row of an earlier version of a gang with three attempts, and returns the number
/// of further runs until the job has failed.
fn runs_left(row: &str, last_run: u64) -> usize {
    let mut gang = Gang::new(2, 3);
    gang.recorded = serde_json::from_str(row).ok();
    gang.take_over(3);
    let states = (last_run + 1..last_run + 5).map(|run| gang.run(run, &[0, 1], true));
    let running = states.take_while(|state| *state == JobState::Running);
    running.count() + 1
}

/// Guards against attempts that are forgotten, or counted for each member, when a leader
/// reads a row that an earlier version has written: it lists the failures of each member.
#[gtest]
fn rows_of_an_earlier_version_keep_their_attempts() {
    // Both members failed in the first run.
    let both = r#"{"o":[[[{"r":1,"f":1},{"r":1,"f":1}]]]}"#;
    expect_that!(runs_left(both, 1), eq(2));
    // Two or three runs have failed; two is certain.
    let unclear = r#"{"o":[[[{"r":3,"f":1},{"r":3,"f":2}]]]}"#;
    expect_that!(runs_left(unclear, 3), eq(1));
}

/// Guards against two attempts for one run whose first failure an earlier version has
/// recorded.
#[gtest]
fn a_run_counts_once_around_an_update() {
    let row = r#"{"o":[[[{"r":1,"f":1},{"r":1,"p":{"w":"w-agent-1","b":1,"a":"agent-1"}}]]]}"#;
    let mut gang = Gang::new(2, 2);
    gang.recorded = serde_json::from_str(row).ok();
    gang.take_over(2);
    gang.end(1, 1, RunEnd::Failed);
    gang.step();
    expect_that!(gang.state(), eq(JobState::Running));
}

/// Guards against workers that get no more work, because a job whose members all fail
/// together counts against each of them.
#[gtest]
fn members_that_fail_together_speak_against_one_worker() {
    let mut gang = Gang::new(4, 3);
    gang.run(1, &[0, 1, 2, 3], true);
    // The next run starts on all four workers after the backoff for the first one.
    gang.now += RUN_MS;
    gang.step();
    let decisions = gang.scheduler.take_decisions();
    let started = decisions.iter().filter(|it| it.kind == DecisionKind::Start);
    expect_that!(started.count(), eq(8));
}

/// Guards against attempts that are forgotten because an entry of an earlier version led in
/// between: its rows don't name the last run that failed.
#[gtest]
fn attempts_are_kept_when_an_earlier_version_leads_in_between() {
    let mut gang = Gang::new(2, 3);
    expect_that!(gang.run(1, &[0], true), eq(JobState::Running));
    expect_that!(gang.run(2, &[1], true), eq(JobState::Running));
    let progress = gang.recorded.as_mut().expect("the job has started");
    let steps = progress.occurrences.get_mut(&0).expect("an occurrence");
    for task in &mut steps[0].tasks {
        task.failed_run = RunNumber::default();
    }
    gang.take_over(3);
    expect_that!(gang.run(3, &[0], true), eq(JobState::Failed));
}

/// Guards against a gang that is given up although it has attempts left: its members fail in
/// different reports, before and after a takeover, and the worker of another one starts
/// again under its id.
#[gtest]
fn a_worker_that_starts_again_takes_no_attempt_of_its_gang() {
    for takes_over in [false, true] {
        let mut gang = Gang::new(3, 2);
        gang.now += RUN_MS;
        gang.step();
        gang.end(0, 1, RunEnd::Failed);
        gang.step();
        gang.restart_worker_of(1);
        if takes_over {
            gang.take_over(2);
        }
        gang.step();
        gang.end(2, 1, RunEnd::Failed);
        gang.step();
        expect_that!(gang.state(), eq(JobState::Running));
        expect_that!(gang.run(2, &[1], true), eq(JobState::Failed));
    }
}

/// Guards against a second run of a gang that is done: the end of one member is dropped, and
/// another member's is reported before or after that.
#[gtest]
fn the_end_of_one_member_stands_for_a_dropped_one() {
    for (is_dropped_first, takes_over) in
        [(false, false), (false, true), (true, false), (true, true)]
    {
        let mut gang = Gang::new(2, 2);
        gang.now += RUN_MS;
        gang.step();
        if is_dropped_first {
            gang.drop_end(0, 1);
        }
        if takes_over {
            gang.take_over(2);
        }
        gang.end(1, 1, RunEnd::Done);
        gang.step();
        if !is_dropped_first {
            gang.drop_end(0, 1);
        }
        gang.now += RUN_MS;
        gang.step();
        expect_that!(gang.state(), eq(JobState::Completed));
        let progress = gang.recorded.as_ref().expect("the job has started");
        let runs = progress.tasks().map(|task| task.run.get());
        expect_that!(runs.collect::<Vec<_>>(), each(eq(&1)));
    }
}

/// Guards against an attempt for a member whose end is dropped, beside one that fails.
#[gtest]
fn a_dropped_end_takes_no_attempt_of_its_gang() {
    for is_dropped_first in [false, true] {
        let mut gang = Gang::new(2, 2);
        gang.now += RUN_MS;
        gang.step();
        if is_dropped_first {
            gang.drop_end(0, 1);
        }
        gang.end(1, 1, RunEnd::Failed);
        gang.step();
        if !is_dropped_first && gang.worker_of(0).is_some() {
            gang.drop_end(0, 1);
        }
        expect_that!(gang.state(), eq(JobState::Running));
        // The gang waits for the backoff after the dropped end before that after the failure.
        gang.now += RUN_MS;
        gang.step();
        expect_that!(gang.run(2, &[0, 1], false), eq(JobState::Failed));
    }
}
