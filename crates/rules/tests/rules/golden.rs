//! Guards against results that differ from Prometheus: each file in `testdata`
//! holds rules, series and the expected transitions.

use crate::support::{Disturbance, INTERVAL, Sample, base, print, run, series};
use cumindeck_rules::{
    Evaluation, Evaluator, EventTime, Expression, Rule, RuleDuration, RuleFile, Settings,
};
use datadriven::TestCase;

/// State shared by the cases of one file.
#[derive(Default)]
struct State {
    file: Option<RuleFile>,
    series: String,
    step: RuleDuration,
}

impl State {
    fn step(&mut self, case: &mut TestCase) -> String {
        match case.directive.as_str() {
            "rules" => match RuleFile::parse("r.yaml", &case.input, INTERVAL) {
                Ok(file) => {
                    assert_eq!(file.text, case.input, "the contents are kept verbatim");
                    let lines: Vec<String> = file
                        .groups
                        .iter()
                        .flat_map(|g| &g.rules)
                        .map(line)
                        .collect();
                    self.file = Some(file);
                    lines.concat()
                }
                Err(err) => format!("{err}\n"),
            },
            "expr" => case.input.lines().map(check_expression).collect(),
            "load" => {
                self.step = case
                    .take_arg::<String>("step")
                    .expect("step")
                    .parse()
                    .expect("duration");
                self.series = case.input.clone();
                String::new()
            }
            "eval" => {
                let at: RuleDuration = case
                    .take_arg::<String>("at")
                    .expect("at")
                    .parse()
                    .expect("duration");
                case.input.lines().map(|expr| self.eval(expr, at)).collect()
            }
            "run" => {
                let until: RuleDuration = case
                    .take_arg::<String>("until")
                    .expect("until")
                    .parse()
                    .expect("duration");
                self.step = case
                    .take_arg::<String>("step")
                    .expect("step")
                    .parse()
                    .expect("duration");
                self.series = case.input.clone();
                self.run(until)
            }
            other => panic!("unknown directive {other}"),
        }
    }

    fn samples(&self, file: &RuleFile) -> (EventTime, Vec<Sample>) {
        let base = base(file);
        (base, series(&self.series, base, self.step))
    }

    /// Runs the rules and checks that the arrival order of samples and a takeover
    /// after every step change nothing.
    fn run(&self, until: RuleDuration) -> String {
        let file = self.file.as_ref().expect("rules");
        let (base, samples) = self.samples(file);
        let until = base.plus(until);
        let step = RuleDuration::from_secs(20);
        let reference = run(file, &samples, base, until, step, &Disturbance::default());
        let disturbance = Disturbance {
            order: (0..samples.len()).rev().collect(),
            takeovers: (0..200).collect(),
        };
        let disturbed = run(file, &samples, base, until, step, &disturbance);
        // Compared as strings, since NaN differs from itself.
        assert_eq!(
            print(&disturbed, base),
            print(&reference, base),
            "disturbed run differs"
        );
        print(&reference, base)
    }

    /// Evaluates one expression through an alert on its result.
    fn eval(&self, expr: &str, at: RuleDuration) -> String {
        let text = format!("groups: [{{name: g, rules: [{{alert: A, expr: {expr:?}}}]}}]");
        let file = match RuleFile::parse("r.yaml", &text, INTERVAL) {
            Ok(file) => file,
            Err(err) => return format!("{expr}\n  {err}\n"),
        };
        let (base, samples) = self.samples(&file);
        let until = base.plus(at);
        let evaluations = run(
            &file,
            &samples,
            base,
            until,
            INTERVAL,
            &Disturbance::default(),
        );
        let last = evaluations
            .iter()
            .find(|e| e.at == until)
            .expect("evaluation");
        let mut out = format!("{expr}\n");
        // Already active alerts cause no transition, so the elements are read from a new
        // evaluator.
        let new_evaluator = Evaluator::new(
            &[file],
            Settings::default(),
            last.at.minus(RuleDuration::from_secs(1)),
        );
        for line in print(&evaluate_once(new_evaluator, &samples, until), until).lines() {
            let line = line.trim_start_matches("0s ").trim_start_matches("firing ");
            out += &format!(
                "  {}\n",
                line.replace("alertname=\"A\", ", "")
                    .replace("alertname=\"A\"", "")
                    .replace(" since=0s", "")
            );
        }
        out
    }
}

fn evaluate_once(mut evaluator: Evaluator, samples: &[Sample], at: EventTime) -> Vec<Evaluation> {
    for (labels, time, value) in samples.iter().cloned() {
        evaluator.push(labels, time, value).expect("sample");
    }
    evaluator.advance(at.plus(RuleDuration::from_secs(10)))
}

fn line(rule: &Rule) -> String {
    format!("line {}: {} = {}\n", rule.line, rule.key, rule.expr.text)
}

/// Returns whether an expression is accepted, and the error if it is not.
fn check_expression(expr: &str) -> String {
    match expr.parse::<Expression>() {
        Ok(_) => format!("{expr}\n  accepted\n"),
        Err(err) => format!("{expr}\n  {err}\n"),
    }
}

#[test]
fn golden_files() {
    datadriven::walk("tests/testdata", |file| {
        let mut state = State::default();
        file.run(|case| state.step(case));
    });
}

/// Guards against a stack overflow when a malicious expression is parsed or dropped.
#[test]
fn deeply_nested_expressions_are_rejected() {
    let depth = 4_000;
    let texts = [
        format!("{}x", "-".repeat(depth)),
        format!("{}x{}", "(".repeat(depth), ")".repeat(depth)),
        format!("{}x{}", "abs(".repeat(depth / 4), ")".repeat(depth / 4)),
        format!("x{}", "+x".repeat(depth)),
        format!("{}x", "x^".repeat(depth)),
        "x".repeat(10_000),
    ];
    for text in texts {
        let err = text.parse::<Expression>().expect_err("rejected");
        assert!(
            err.contains("expected at most") || err.contains("levels deep"),
            "{err}"
        );
    }
}
