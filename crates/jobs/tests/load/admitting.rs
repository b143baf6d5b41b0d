//! What is turned away: callers at an entry that follows the leader's forecast.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::fmt::Write;
use std::time::Duration;

use cumindeck_jobs::{
    ApiStep, CallerAnswer, CallerOperation, CallerRequest, Forecast, JobApi, JobRow, LeaderRow,
    PolicyChoice, Queue, Row, StoreResult,
};
use googletest::prelude::*;

use crate::common::{at, job_id, limits};
use crate::fleet::Fleet;
use crate::ordering::TEAMS;
use crate::outcomes::{Submission, catalog, policies, table};
use crate::{job, urgent_gang};

/// Attempts of a caller whose job is refused.
const ATTEMPTS: u32 = 4;

/// What a caller does at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Call {
    Submit { attempt: u32 },
    Cancel,
}

/// Callers, an entry and a fleet whose leader publishes its forecast.
struct Replay {
    fleet: Fleet,
    job_api: JobApi,
    calls: BinaryHeap<Reverse<(u64, usize, Call)>>,
    refused: BTreeSet<String>,
    cancelled: BTreeSet<String>,
    /// Refusals with the caller's team: time, Retry-After in seconds.
    refusals: Vec<(u64, String, Duration)>,
}

impl Replay {
    fn new(choice: PolicyChoice) -> Self {
        let mut catalog = catalog(&TEAMS);
        catalog.queues = (0..3).map(queue).collect();
        let mut fleet = Fleet::new(4, 4, 0);
        fleet.scheduler.on_catalog(catalog.clone());
        fleet.scheduler.set_policies(policies(choice));
        let mut job_api = JobApi::new("entry-0".parse().expect("an entry id"), limits());
        job_api.on_catalog(catalog);
        Self {
            fleet,
            job_api,
            calls: BinaryHeap::new(),
            refused: BTreeSet::new(),
            cancelled: BTreeSet::new(),
            refusals: Vec::new(),
        }
    }

    /// Plays all submissions with their cancels and returns, and some time more.
    fn play(&mut self, submissions: &[Submission], cancels: &[(u64, usize)], until_ms: u64) {
        for (index, submission) in submissions.iter().enumerate() {
            let call = Call::Submit { attempt: 1 };
            self.calls.push(Reverse((submission.at_ms, index, call)));
        }
        for (at_ms, index) in cancels {
            self.calls.push(Reverse((*at_ms, *index, Call::Cancel)));
        }
        while let Some(Reverse((at_ms, index, call))) = self.calls.pop() {
            self.fleet.run_until(at_ms);
            let submission = &submissions[index];
            match call {
                Call::Submit { attempt } => self.submit(submission, index, attempt),
                Call::Cancel => {
                    let (now, id) = (self.fleet.now, job_id(&submission.id));
                    self.fleet
                        .scheduler
                        .on_cancel(&id, &cumindeck_jobs::CancelRow::default(), now);
                    self.cancelled.insert(submission.id.clone());
                }
            }
        }
        self.fleet.run_until(until_ms);
    }

    fn submit(&mut self, submission: &Submission, index: usize, attempt: u32) {
        let now = self.fleet.now;
        if let Some((written_at, row)) = self.fleet.leader_row.clone() {
            self.job_api.on_row(Row::Leader(row));
            self.job_api.on_rows_confirmed(at(written_at), at(now), now);
        }
        let spec = &submission.row.spec;
        let team = spec.team.as_ref().expect("a team");
        let req = CallerRequest {
            host: "letters.example".to_owned(),
            path: format!("/p{}/{}", spec.priority, submission.id),
            key: Some(format!("key-{team}")),
            verb: CallerOperation::Submit {
                payload: spec.payload.clone(),
                steps: spec.steps.clone(),
                recurrence: None,
            },
            is_relayed: false,
        };
        let rows = StoreResult::Rows(Vec::new());
        match self.job_api.resume(at(now), &req, &rows) {
            ApiStep::Write(transaction) => {
                self.refused.remove(&submission.id);
                let value = transaction.changes[0].value.clone().expect("a job row");
                let row: JobRow = serde_json::from_slice(&value).expect("a job row");
                let id = job_id(&submission.id);
                let known = Row::Job(id, Box::new(row.clone()));
                self.job_api.on_row(known);
                self.fleet
                    .submit(&submission.id, row, submission.duration_ms);
            }
            ApiStep::Answer(CallerAnswer::NotRun(after, _)) => {
                self.refused.insert(submission.id.clone());
                self.refusals.push((now, team.to_string(), after));
                if attempt < ATTEMPTS {
                    let again_ms = now + after.as_secs().max(1) * 1_000;
                    let call = Call::Submit {
                        attempt: attempt + 1,
                    };
                    self.calls.push(Reverse((again_ms, index, call)));
                }
            }
            step => panic!("a job is written or refused, not {step:?}"),
        }
    }

    /// Returns the outcomes of the jobs that were not cancelled.
    fn tables(&self, submissions: &[Submission]) -> String {
        let is_owed = |it: &&Submission| !self.cancelled.contains(&it.id);
        let owed: Vec<Submission> = submissions.iter().filter(is_owed).cloned().collect();
        let by_priority = table(&self.fleet, &owed, &self.refused, |it| {
            format!("priority {}", it.row.spec.priority)
        });
        let by_team = table(&self.fleet, &owed, &self.refused, |it| {
            match &it.row.spec.team {
                Some(team) if team.as_str().starts_with("large") => team.to_string(),
                _ => "small".to_owned(),
            }
        });
        format!("{by_priority}\n{by_team}")
    }
}

fn queue(priority: u32) -> Queue {
    Queue {
        name: format!("priority-{priority}"),
        host: "letters.example".to_owned(),
        prefix: format!("/p{priority}/"),
        service: "letters".to_owned(),
        priority,
        max_attempts: 3,
        slack_percent: if priority == 0 { 150 } else { 300 },
        target_ms: 500,
        needs_tickets: false,
        is_anonymous: false,
    }
}

fn submission(at: u64, at_ms: u64, team: &str, mut row: JobRow, duration_ms: u64) -> Submission {
    row.spec.queue = format!("priority-{}", row.spec.priority);
    row.spec.team = team.parse().ok();
    Submission {
        at_ms,
        id: format!("00000000000c{at:04x}"),
        row,
        duration_ms,
    }
}

/// A burst of 100 jobs of one team in 2 s, far beyond what can be served in time, beside a
/// steady load of eight others that there is room for.
fn burst_of_one_team() -> Vec<Submission> {
    let burst = (0..100).map(|at| {
        let row = job(2, 24, 1, 3_000);
        submission(at, 3_000 + at * 20, "large-0", row, 3_000)
    });
    let others = (0..120).map(|at| {
        let team = TEAMS[2 + at as usize % 8].0;
        let row = match at % 4 {
            0 => urgent_gang(1, 4, 2_000),
            _ => job(1 + at as u32 % 2, 2, 1, 2_000),
        };
        submission(100 + at, 1_500 + at * 250, team, row, 2_000)
    });
    let mut all: Vec<Submission> = burst.chain(others).collect();
    all.sort_by_key(|it| it.at_ms);
    all
}

/// Waves of load that move from team to team each 4 s, one and a half times the room.
fn moving_waves() -> Vec<Submission> {
    let wave = |at: u64| {
        let team = TEAMS[(at / 25 % 10) as usize].0;
        let duration = 1_500 + at * 977 % 3_000;
        let estimate = duration * (60 + at * 389 % 80) / 100;
        let row = match at % 5 {
            0 => urgent_gang(2, 4, estimate),
            1 | 3 => job(1, 2 + at as u32 % 5, 4, estimate),
            _ => job(2, 4 + at as u32 * 5 % 24, 1, estimate),
        };
        submission(at, 1_100 + at * 160, team, row, duration)
    };
    (0..200).map(wave).collect()
}

fn both(submissions: &[Submission], cancels: &[(u64, usize)], until_ms: u64) -> String {
    let mut text = String::new();
    for choice in [PolicyChoice::Basic, PolicyChoice::CostAware] {
        let mut replay = Replay::new(choice);
        replay.play(submissions, cancels, until_ms);
        let _ = writeln!(text, "{choice}\n{}", replay.tables(submissions));
    }
    text
}

/// Guards against a burst of one team that delays the others or has their jobs refused.
#[gtest]
fn a_burst_of_one_team_turns_none_of_the_others_away() {
    let submissions = burst_of_one_team();
    let mut replay = Replay::new(PolicyChoice::CostAware);
    replay.play(&submissions, &[], 60_000);
    let others = replay
        .refusals
        .iter()
        .filter(|(_, team, _)| team != "large-0");
    expect_that!(others.count(), eq(0));
    insta::assert_snapshot!(both(&submissions, &[], 60_000));
}

/// Guards against an order or refusals that serve fewer callers while the load moves.
#[gtest]
fn waves_that_move_between_teams() {
    insta::assert_snapshot!(both(&moving_waves(), &[], 60_000));
}

/// Guards against backlog that cancelled jobs leave in the forecast: 40 % of the jobs are
/// cancelled, all those of each 5 s at once.
#[gtest]
fn cancels_in_waves() {
    let submissions = moving_waves();
    let cancelled = submissions.iter().enumerate();
    let cancelled = cancelled.filter(|(index, _)| index * 7 % 10 < 4);
    let cancels: Vec<(u64, usize)> = cancelled
        .map(|(index, it)| (it.at_ms / 5_000 * 5_000 + 5_000, index))
        .collect();
    insta::assert_snapshot!(both(&submissions, &cancels, 60_000));
}

/// Guards against refused clients that all return at once: 100 callers of one team behind a
/// backlog of it.
#[gtest]
fn refused_callers_return_in_an_order() {
    let mut submissions: Vec<Submission> = (0..80)
        .map(|at| submission(at, 1_500, "large-0", job(2, 48, 1, 3_000), 3_000))
        .collect();
    submissions.extend(
        (0..100).map(|at| submission(100 + at, 4_000 + at, "large-0", job(2, 8, 1, 1_000), 1_000)),
    );
    let mut replay = Replay::new(PolicyChoice::CostAware);
    replay.play(&submissions, &[], 90_000);
    let first = replay.refusals.iter().take(100);
    let mut returns: BTreeMap<u64, usize> = BTreeMap::new();
    for (_, _, after) in first {
        *returns.entry(after.as_secs()).or_default() += 1;
    }
    let is_ordered = replay.refusals.iter().take(100).is_sorted_by_key(|it| it.2);
    expect_that!(is_ordered, is_true());
    let mut text = String::new();
    for (seconds, callers) in returns {
        let _ = writeln!(text, "return after {seconds} s: {callers}");
    }
    let _ = writeln!(text, "\n{}", replay.tables(&submissions));
    insta::assert_snapshot!(text);
}

/// Guards against refusals by an old forecast, and without one.
#[gtest]
fn an_old_forecast_refuses_nobody() {
    let submissions = burst_of_one_team();
    let mut replay = Replay::new(PolicyChoice::CostAware);
    replay.play(&submissions[..100], &[], 8_000);
    let (written_at, row) = replay.fleet.leader_row.clone().expect("a leader row");
    expect_that!(row.forecast.is_empty(), is_false());
    let new = submission(500, 0, "large-0", job(2, 24, 1, 100), 100);
    let answer = |age: u64, row: LeaderRow| {
        let mut replay = Replay::new(PolicyChoice::CostAware);
        replay.fleet.now = written_at + age;
        replay.fleet.leader_row = Some((written_at, row));
        replay.submit(&new, 0, ATTEMPTS);
        replay.refused.len()
    };
    expect_that!(answer(250, row.clone()), eq(1));
    expect_that!(answer(1_250, row.clone()), eq(0));
    let without = LeaderRow {
        forecast: Forecast::default(),
        ..row
    };
    expect_that!(answer(250, without), eq(0));
}

/// Guards against jobs that are refused for the backlog of another service, while the workers
/// of their own one are idle.
#[gtest]
fn a_backlog_of_one_service_turns_no_job_of_another_away() {
    let mut replay = Replay::new(PolicyChoice::CostAware);
    replay.play(&burst_of_one_team()[..100], &[], 8_000);
    let leader_row = replay.fleet.leader_row;
    let new = submission(500, 0, "large-0", job(2, 24, 1, 100), 100);
    let refused = |service: &str| {
        let mut replay = Replay::new(PolicyChoice::CostAware);
        let mut catalog = catalog(&TEAMS);
        catalog.queues = vec![Queue {
            service: service.to_owned(),
            ..queue(2)
        }];
        catalog.row_version += 1;
        replay.job_api.on_catalog(catalog);
        replay.fleet.now = leader_row.as_ref().map_or(0, |(at, _)| *at);
        replay.fleet.leader_row.clone_from(&leader_row);
        replay.submit(&new, 0, ATTEMPTS);
        replay.refused.len()
    };
    expect_that!(refused("letters"), eq(1));
    expect_that!(refused("images"), eq(0));
}

/// Guards against a leader row that becomes unreadable, or refusals, by an odd forecast of
/// another writer.
#[gtest]
fn an_odd_forecast_is_ignored() {
    let row = |forecast: &str| {
        let text = format!(
            r#"{{"holder":null,"address":null,"token":1,"commit":1,"forecast":{forecast}}}"#
        );
        serde_json::from_str::<LeaderRow>(&text).expect("a leader row")
    };
    let item = r#"{"t":"large-0","p":4294967295,"w":9000,"n":0,"v":0}"#;
    expect_that!(row(&format!("[{item}]")).forecast.ignored(), none());
    let too_long = item.replace("9000", "18446744073709551615");
    let many = vec![item; 65].join(",");
    for odd in [
        "7".to_owned(),
        format!("[{too_long}]"),
        format!("[{many}]"),
        r#"[{"t":"large-0","p":-1,"w":1,"n":1,"v":1}]"#.to_owned(),
    ] {
        let forecast = row(&odd).forecast;
        expect_that!(forecast.ignored(), some(anything()), "{odd}");
        expect_that!(forecast.is_empty(), is_true());
    }
}

/// Guards against an urgent job that is refused for load although its team's guarantee holds
/// it, and against a leader row that changes where nothing is predicted.
#[gtest]
fn a_guarantee_is_never_refused() {
    let text = r#"{"holder":null,"address":null,"token":1,"commit":1}"#;
    let plain: LeaderRow = serde_json::from_str(text).expect("a leader row");
    expect_that!(serde_json::to_string(&plain).expect("a row"), eq(text));
    let item = r#"{"s":"letters","t":"large-0","p":0,"w":600000,"n":50,"v":0}"#;
    let text = text.replace('}', &format!(r#","forecast":[{item}]}}"#));
    let row: LeaderRow = serde_json::from_str(&text).expect("a leader row");
    let mut replay = Replay::new(PolicyChoice::CostAware);
    replay.fleet.leader_row = Some((replay.fleet.now, row));
    // Each gang needs 16 of the 64 accelerators that are guaranteed to the team.
    for at in 0..6 {
        let gang = submission(at, 0, "large-0", urgent_gang(4, 4, 2_000), 2_000);
        replay.submit(&gang, at as usize, ATTEMPTS);
        expect_that!(
            replay.refused.len(),
            eq((at as usize + 1).saturating_sub(4))
        );
    }
}
