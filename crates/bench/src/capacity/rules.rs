//! Evaluation of alert rules for several numbers of series.

use std::io::Write;
use std::time::Instant;

use cumindeck_rules::{
    Evaluator, EventTime, Labels, RuleDuration, RuleFile, SampleValue, Settings,
};

use super::Options;
use super::fit::{Point, print};

/// Series at the target size: three for each of 5,700 workers.
const TARGET_SERIES: f64 = 17_100.0;
/// Number of evaluations at each size.
const EVALUATIONS: i64 = 12;
/// A rule of each kind that operators use, over all series.
const RULES: &str = r"
groups:
  - name: workers
    interval: 15s
    rules:
      - alert: WorkerDown
        expr: up == 0
        for: 1m
      - alert: Slow
        expr: rate(requests_total[2m]) < 0.1
        for: 1m
      - record: zone:up:sum
        expr: sum by (zone) (up)
      - alert: ZoneLow
        expr: zone:up:sum < 2
";

/// Measures evaluation time, time to push a sample and snapshot size.
pub fn measure(options: &Options, out: &mut dyn Write) -> eyre::Result<()> {
    let (mut times, mut pushes, mut sizes) = (Vec::new(), Vec::new(), Vec::new());
    for workers in &options.workers {
        let (time, push, bytes) = measure_at_size(*workers)?;
        let series = (*workers * 3) as f64;
        times.push(Point::new(series, time));
        pushes.push(Point::new(series, push));
        sizes.push(Point::new(series, vec![bytes]));
    }
    print(
        out,
        "rules.evaluation",
        "ms",
        "series",
        &times,
        TARGET_SERIES,
    )?;
    print(out, "rules.push", "us", "series", &pushes, TARGET_SERIES)?;
    print(out, "rules.snapshot", "KB", "series", &sizes, TARGET_SERIES)?;
    Ok(())
}

fn measure_at_size(workers: usize) -> eyre::Result<(Vec<f64>, Vec<f64>, f64)> {
    let file = RuleFile::parse("bench.yml", RULES, RuleDuration::from_secs(15))
        .map_err(|err| eyre::eyre!("the rules of the measurement are invalid: {err:?}"))?;
    let start = EventTime::from_secs(1_767_225_600);
    let mut evaluator = Evaluator::new(&[file], Settings::default(), start);
    let (mut times, mut pushes) = (Vec::new(), Vec::new());
    for evaluation in 1..=EVALUATIONS {
        let at = start.plus(RuleDuration::from_secs(15 * evaluation));
        let begin = Instant::now();
        for worker in 0..workers {
            let (name, zone) = (format!("worker-{worker:04}"), format!("z{}", worker / 300));
            // One worker in ten is down, so that alerts are pending and firing.
            let up = if worker % 10 == 0 { 0.0 } else { 1.0 };
            let series = [
                ("up", up),
                ("requests_total", (evaluation * 30) as f64),
                ("power_watts", 300.0),
            ];
            for (metric, value) in series {
                let labels = [("__name__", metric), ("worker", &name), ("zone", &zone)];
                let labels: Labels = labels.into_iter().collect();
                evaluator
                    .push(labels, at, SampleValue::new(value))
                    .map_err(|err| eyre::eyre!("a current sample was rejected: {err}"))?;
            }
        }
        pushes.push(begin.elapsed().as_secs_f64() * 1e6 / (workers * 3) as f64);
        let begin = Instant::now();
        let done = evaluator.advance(at.plus(Settings::default().lag));
        times.push(begin.elapsed().as_secs_f64() * 1e3);
        eyre::ensure!(
            !done.is_empty(),
            "evaluation {evaluation} evaluated no rule"
        );
    }
    let bytes = serde_json::to_string(&evaluator.snapshot())?.len() as f64 / 1024.0;
    Ok((times, pushes, bytes))
}
