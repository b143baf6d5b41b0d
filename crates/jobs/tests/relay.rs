//! What a caller is told about a request that several entries have handled.

use std::time::Duration;

use cumindeck_jobs::{
    CallerAnswer, CallerOperation, JobState, Relay, RelayOutcome, RelayOutcome::Answered,
};
use googletest::prelude::*;

fn submit() -> CallerOperation {
    CallerOperation::Submit {
        payload: "print".to_owned(),
        steps: Vec::new(),
        recurrence: None,
    }
}

/// Returns the answer to the caller and the number of outcomes that it took.
fn answer(verb: &CallerOperation, may_run: bool, outcomes: &[RelayOutcome]) -> String {
    let mut relay = Relay::new(verb, may_run);
    for (count, outcome) in (1..).zip(outcomes) {
        if let Some(answer) = relay.on_outcome(outcome.clone()) {
            return format!("{answer} after {count}");
        }
    }
    format!("{} after all", relay.into_answer())
}

/// Guards against a rejection of a request that has run or may run (review/7), and against
/// one that comes before an entry with an earlier configuration has accepted the request.
#[gtest]
fn a_rejection_needs_the_outcomes_of_all_entries() {
    let not_run = || Answered(CallerAnswer::NotRun(Duration::from_secs(1), String::new()));
    let rejected = || Answered(CallerAnswer::BadKey);
    let lost = || Answered(CallerAnswer::Unknown("lost".to_owned()));
    let cases = [
        ("rejected", false, vec![rejected(), not_run()]),
        ("write without an outcome", true, vec![rejected()]),
        ("lost first", false, vec![lost(), rejected()]),
        (
            "no reply last",
            false,
            vec![Answered(CallerAnswer::NoQueue), RelayOutcome::NoReply],
        ),
        (
            "accepted last",
            true,
            vec![rejected(), Answered(CallerAnswer::Ok)],
        ),
        (
            "not handled",
            false,
            vec![RelayOutcome::NotHandled, not_run()],
        ),
        ("none", true, vec![]),
    ];
    let mut lines = Vec::new();
    for (name, may_run, outcomes) in cases {
        for verb in [submit(), CallerOperation::Cancel] {
            let answer = answer(&verb, may_run, &outcomes);
            lines.push(format!("{name}, {}: {answer}", verb.name()));
        }
    }
    let read = CallerOperation::Read;
    let state = Answered(CallerAnswer::State(JobState::Running));
    let first = answer(&read, false, &[RelayOutcome::NoReply, state]);
    lines.push(format!("answered, read: {first}"));
    lines.push(format!(
        "rejected, read: {}",
        answer(&read, false, &[rejected()])
    ));
    insta::assert_snapshot!(lines.join("\n"));
}
