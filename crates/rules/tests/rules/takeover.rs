//! Guards against transitions that are lost, repeated or spurious when a new
//! evaluator takes over, when samples were lost and when samples arrive late.

use crate::support::{INTERVAL, base, print, series};
use cumindeck_rules::{
    Evaluator, EventTime, PushError, RangeBoundary, RuleDuration, RuleFile, Settings,
};
use googletest::prelude::*;

const RULES: &str = r#"
groups:
  - name: g
    rules:
      - alert: Down
        expr: up == 0
        for: 2m
      - alert: Gone
        expr: absent(up)
      - record: up:count
        expr: count(up)
      - alert: Few
        expr: up:count < 2
      - alert: Always
        expr: vector(1)
"#;

fn minutes(count: i64) -> RuleDuration {
    RuleDuration::from_secs(60 * count)
}

/// Returns the rules, their first evaluation time and an evaluator that has the
/// samples of ten minutes.
fn start() -> (RuleFile, EventTime, Evaluator) {
    let file = RuleFile::parse("r.yaml", RULES, INTERVAL).expect("rules");
    let base = base(&file);
    let start = base.minus(RuleDuration::from_millis(1));
    let mut evaluator = Evaluator::new(std::slice::from_ref(&file), Settings::default(), start);
    push(&mut evaluator, base, "up 0x11");
    (file, base, evaluator)
}

fn push(evaluator: &mut Evaluator, base: EventTime, text: &str) {
    for (labels, at, value) in series(text, base, minutes(1)) {
        evaluator.push(labels, at, value).expect("sample");
    }
}

/// Runs the evaluations up to `time`.
fn advance(evaluator: &mut Evaluator, base: EventTime, time: EventTime) -> String {
    print(
        &evaluator.advance(time.plus(RuleDuration::from_secs(10))),
        base,
    )
}

#[gtest]
fn lost_samples_neither_resolve_nor_cause_an_alert() {
    let (file, base, mut evaluator) = start();
    let before = advance(&mut evaluator, base, base.plus(minutes(1)));
    let snapshot = evaluator.snapshot();
    // The new evaluator has only the samples after 3m, so rules with a lookback of 5m
    // fail until 8m.
    let complete_after = base.plus(minutes(3));
    let mut restored = Evaluator::restore(&[file], Settings::default(), &snapshot, complete_after);
    push(&mut restored, base.plus(minutes(4)), "up 0x6");
    let after = advance(&mut restored, base, base.plus(minutes(8)));
    let transitions = |text: &str| {
        text.lines()
            .filter(|line| !line.contains("failed"))
            .map(str::to_owned)
            .collect()
    };
    let all: Vec<String> = transitions(&(before + &after));
    expect_that!(
        all,
        elements_are![
            eq("0s pending {alertname=\"Down\"} since=0s value=0"),
            eq("0s firing {alertname=\"Few\"} since=0s value=1"),
            eq("0s firing {alertname=\"Always\"} since=0s value=1"),
            eq("480s firing {alertname=\"Down\"} since=0s value=0"),
        ]
    );
    let failures: Vec<&str> = after
        .lines()
        .filter(|line| line.starts_with("120s failed"))
        .collect();
    // All rules except the one without a selector.
    expect_that!(failures, len(eq(4)));
}

#[gtest]
fn missed_evaluations_run_in_order_and_once() {
    let (file, base, mut evaluator) = start();
    let all = advance(&mut evaluator, base, base.plus(minutes(10)));
    let settings = Settings {
        max_evaluations: 2,
        ..Settings::default()
    };
    let start = base.minus(RuleDuration::from_millis(1));
    let mut slow = Evaluator::new(&[file], settings, start);
    push(&mut slow, base, "up 0x11");
    let mut text = String::new();
    let mut calls = 0;
    expect_that!(
        slow.next_watermark(),
        some(eq(base.plus(RuleDuration::from_secs(10))))
    );
    while calls == 0 || slow.is_behind() {
        let evaluations = slow.advance(base.plus(minutes(10)).plus(RuleDuration::from_secs(10)));
        expect_that!(evaluations.len(), le(2));
        text += &print(&evaluations, base);
        calls += 1;
    }
    expect_that!(text, eq(&all));
    expect_that!(calls, eq(6));
}

#[gtest]
fn late_samples_are_rejected_and_the_window_is_bounded() {
    let (file, base, mut evaluator) = start();
    advance(&mut evaluator, base, base.plus(minutes(2)));
    let [late, next] = [120, 121].map(|secs| {
        let (labels, _, value) = series("late 1", base, minutes(1)).remove(0);
        evaluator.push(labels, base.plus(RuleDuration::from_secs(secs)), value)
    });
    expect_that!(late, err(pat!(PushError::Late { .. })));
    expect_that!(next, ok(anything()));
    let settings = Settings {
        max_samples: 2,
        ..Settings::default()
    };
    let mut small = Evaluator::new(&[file], settings, base);
    let mut results = series("a 1 2 3", base, minutes(1))
        .into_iter()
        .map(|(l, t, v)| small.push(l, t, v));
    expect_that!(results.next_back(), some(ok(anything())));
    expect_that!(results.next_back(), some(ok(anything())));
    expect_that!(
        results.next_back(),
        some(err(eq(&PushError::Full { limit: 2 })))
    );
}

#[gtest]
fn the_start_of_a_range_counts_only_if_closed() {
    let (file, base, _) = start();
    let instant = base.plus(minutes(5));
    for (boundary, expected) in [
        (RangeBoundary::LeftOpen, "Gone"),
        (RangeBoundary::Closed, "Down"),
    ] {
        let settings = Settings {
            boundary,
            ..Settings::default()
        };
        let start = instant.minus(RuleDuration::from_millis(1));
        let mut evaluator = Evaluator::new(std::slice::from_ref(&file), settings, start);
        push(&mut evaluator, base, "up 0");
        let text = advance(&mut evaluator, base, instant);
        expect_that!(
            text,
            contains_substring(format!("alertname=\"{expected}\""))
        );
    }
}

#[test]
fn snapshots_are_plain_text() {
    let (_, base, mut evaluator) = start();
    advance(&mut evaluator, base, base.plus(minutes(1)));
    let text = serde_json::to_string_pretty(&evaluator.snapshot()).expect("snapshot");
    insta::assert_snapshot!(text);
}
