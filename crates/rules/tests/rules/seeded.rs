//! Guards against transitions that depend on the arrival order of samples or on
//! the point at which a new evaluator takes over.

use std::collections::BTreeSet;

use crate::support::{Disturbance, INTERVAL, base, print, run, series};
use cumindeck_rules::{RuleDuration, RuleFile, SampleValue};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Number of seeds per run of the test.
const SEEDS: u64 = 300;

const RULES: &str = r#"
groups:
  - name: workers
    interval: 30s
    rules:
      - alert: WorkerDown
        expr: up == 0
        for: 1m
        keep_firing_for: 45s
        labels: {severity: page}
        annotations: {summary: "{{ $labels.worker }} is {{ $value }}"}
      - record: zone:up:sum
        expr: sum by (zone) (up)
      - alert: ZoneLow
        expr: zone:up:sum < 2
        for: 30s
      - alert: Slow
        expr: rate(requests_total[2m]) < 0.1
        for: 1m
  - name: meta
    interval: 50s
    rules:
      - alert: ManyFiring
        expr: count(ALERTS{alertstate="firing"}) > 1
      - alert: NoUp
        expr: absent(up{worker="w9"})
"#;

fn random_series(rng: &mut ChaCha8Rng) -> String {
    let mut text = String::new();
    for worker in 0..4 {
        let up: Vec<&str> = (0..60)
            .map(|_| *["1", "1", "0", "0", "_", "stale", "NaN"].choose_one(rng))
            .collect();
        let mut total = 0;
        let requests: Vec<String> = (0..60)
            .map(|_| {
                total = if rng.random_ratio(1, 15) {
                    0
                } else {
                    total + rng.random_range(0..4)
                };
                total.to_string()
            })
            .collect();
        text += &format!(
            "up{{worker=\"w{worker}\",zone=\"z{}\"}} {}\n",
            worker / 2,
            up.join(" ")
        );
        text += &format!(
            "requests_total{{worker=\"w{worker}\"}} {}\n",
            requests.join(" ")
        );
    }
    // Samples that contradict those of the same series and times above.
    let again: Vec<&str> = (0..60).map(|_| *["0", "1", "_"].choose_one(rng)).collect();
    text += &format!("up{{worker=\"w0\",zone=\"z0\"}} {}\n", again.join(" "));
    text
}

/// Selects a random element.
trait ChooseOne<T> {
    fn choose_one(&self, rng: &mut ChaCha8Rng) -> &T;
}

impl<T> ChooseOne<T> for [T] {
    fn choose_one(&self, rng: &mut ChaCha8Rng) -> &T {
        &self[rng.random_range(0..self.len())]
    }
}

#[test]
fn order_and_takeovers_change_nothing() {
    let file = RuleFile::parse("r.yaml", RULES, INTERVAL).expect("rules");
    let base = base(&file);
    let step = RuleDuration::from_secs(15);
    let until = base.plus(RuleDuration::from_secs(900));
    let mut transitions = 0;
    for seed in 0..SEEDS {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let samples = series(&random_series(&mut rng), base, step);
        let reference = run(&file, &samples, base, until, step, &Disturbance::default());
        let mut order: Vec<usize> = (0..samples.len()).collect();
        order.shuffle(&mut rng);
        let takeovers = (0..rng.random_range(1..6))
            .map(|_| rng.random_range(0..60))
            .collect();
        let disturbance = Disturbance { order, takeovers };
        let disturbed = run(&file, &samples, base, until, step, &disturbance);
        assert_eq!(
            print(&disturbed, base),
            print(&reference, base),
            "seed {seed}, takeovers {:?}",
            disturbance.takeovers
        );
        let ids: Vec<_> = reference
            .iter()
            .flat_map(|e| &e.transitions)
            .map(|t| t.id.to_string())
            .collect();
        assert_eq!(
            ids.iter().collect::<BTreeSet<_>>().len(),
            ids.len(),
            "seed {seed}: a transition id repeats"
        );
        transitions += ids.len();
    }
    // Without transitions, the test would compare nothing.
    assert!(
        transitions > 1_000,
        "only {transitions} transitions in {SEEDS} seeds"
    );
    assert!(SampleValue::STALE.is_stale());
}
