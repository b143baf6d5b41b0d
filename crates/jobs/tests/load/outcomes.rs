//! What callers get out of a replay, by kind of job and team.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

use cumindeck_jobs::{Catalog, DecisionKind, JobRow, PolicyChoice, PolicySettings, Team};
use cumindeck_types::ConfigVersion;

use crate::common::job_id;
use crate::fleet::Fleet;

/// Multiple of its objective after which the end of a job has no value.
const MAX_OVERDUE_FACTOR: u64 = 3;

/// A job that is submitted during a replay.
#[derive(Debug, Clone)]
pub struct Submission {
    pub at_ms: u64,
    pub id: String,
    pub row: JobRow,
    /// Actual duration of a task.
    pub duration_ms: u64,
}

impl Submission {
    /// Returns the objective of the job by the actual duration of its tasks.
    pub fn objective_ms(&self) -> u64 {
        let spec = &self.row.spec;
        self.duration_ms * spec.slack_percent / 100 + spec.target_ms
    }
}

/// Settings with one choice for order and admission, all else basic.
pub fn policies(choice: PolicyChoice) -> PolicySettings {
    PolicySettings {
        order: choice,
        admission: choice,
        ..PolicySettings::default()
    }
}

/// The configuration of teams with these guarantees.
pub fn catalog(teams: &[(&str, u32)]) -> Catalog {
    let team = |(id, guaranteed): &(&str, u32)| Team {
        id: id.parse().expect("a team"),
        keys: BTreeSet::from([format!("key-{id}")]),
        guaranteed: *guaranteed,
    };
    Catalog {
        version: ConfigVersion::new(2),
        row_version: 2,
        queues: Vec::new(),
        teams: teams.iter().map(team).collect(),
    }
}

/// Plays submissions in the order of their times, and some time more.
pub fn play(fleet: &mut Fleet, submissions: &[Submission], until_ms: u64) {
    for submission in submissions {
        fleet.run_until(submission.at_ms);
        let row = submission.row.clone();
        fleet.submit(&submission.id, row, submission.duration_ms);
    }
    fleet.run_until(until_ms);
}

#[derive(Debug, Default)]
struct Outcomes {
    in_time: usize,
    late: usize,
    lost: usize,
    refused: usize,
    times: Vec<u64>,
}

/// Returns a table of the outcomes by the group that `group` gives a submission.
pub fn table(
    fleet: &Fleet,
    submissions: &[Submission],
    refused: &BTreeSet<String>,
    group: impl Fn(&Submission) -> String,
) -> String {
    let mut groups: BTreeMap<String, Outcomes> = BTreeMap::new();
    for submission in submissions {
        let took = ended_after(fleet, submission);
        let objective = submission.objective_ms();
        for name in [group(submission), "all".to_owned()] {
            let outcomes = groups.entry(name).or_default();
            match took {
                None if refused.contains(&submission.id) => outcomes.refused += 1,
                Some(took) if took <= objective => outcomes.in_time += 1,
                Some(took) if took <= objective * MAX_OVERDUE_FACTOR => outcomes.late += 1,
                Some(_) | None => outcomes.lost += 1,
            }
            outcomes.times.extend(took);
        }
    }
    let mut text = String::new();
    for (name, mut outcomes) in groups {
        outcomes.times.sort_unstable();
        let quantile = |percent: usize| {
            let at = (outcomes.times.len() * percent / 100).min(outcomes.times.len() - 1);
            outcomes.times.get(at).copied().unwrap_or_default()
        };
        let (p50, p99) = match outcomes.times.is_empty() {
            true => (0, 0),
            false => (quantile(50), quantile(99)),
        };
        let Outcomes {
            in_time,
            late,
            lost,
            refused,
            ..
        } = outcomes;
        let _ = writeln!(
            text,
            "{name:16} in time {in_time:3} late {late:3} lost {lost:3} refused {refused:3} p50 {p50:5} ms p99 {p99:5} ms"
        );
    }
    text
}

/// Returns the time from a job's submission to the end of its last task.
fn ended_after(fleet: &Fleet, submission: &Submission) -> Option<u64> {
    let id = job_id(&submission.id);
    let tasks = submission.row.spec.tasks() as usize;
    let mut ended = BTreeSet::new();
    for (at, decision) in &fleet.decisions {
        let is_end = decision.kind == DecisionKind::End && decision.reason.starts_with("Done");
        if decision.task.job == id && is_end {
            ended.insert(decision.task.index);
            if ended.len() == tasks {
                return Some(at - submission.at_ms);
            }
        }
    }
    None
}
