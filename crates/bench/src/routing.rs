//! The routing policy against random choice and round robin, in simulated time.

mod model;
mod workload;

use std::io::{self, Write};
use std::time::Duration;

use model::{POLICIES, RunResult, run};
use workload::{Case, SITES, Site};

/// Cases in the order of the report.
const CASES: [Case; 6] = [
    Case::Failing(0),
    Case::Failing(1),
    Case::Failing(10),
    Case::Failing(50),
    Case::Hanging,
    Case::Burst,
];

/// Length, number and seeds of the runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RoutingOptions {
    /// Seed of the first run; each further run uses the next one.
    pub first_seed: u64,
    /// Number of runs of each case and policy; the medians are shown.
    pub runs: u64,
    /// Simulated time during which requests arrive.
    pub length: Duration,
}

impl Default for RoutingOptions {
    fn default() -> Self {
        Self {
            first_seed: 1,
            runs: 5,
            length: Duration::from_secs(20),
        }
    }
}

/// Figures of the default policy that are compared with a target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RoutingTargets {
    /// Maximum ratio of the p99 of small requests with 10% of the backend servers failing
    /// to the p99 without failures.
    pub failing_ratio: f64,
    /// Maximum ratio of the other teams' p99 during a burst to their p99 without it.
    pub burst_ratio: f64,
    /// Maximum number of concurrent requests at one backend server, over all policies.
    pub max_running: u32,
}

/// Latencies and counts of one run, or their medians.
#[derive(Debug, Clone, Copy, Default)]
struct Row {
    /// p50, p99, p99.9 and maximum, in milliseconds.
    latency: [f64; 4],
    unanswered: f64,
    retries: f64,
    link_mib: f64,
}

/// Runs all cases, prints a table for each site and returns the figures that have a
/// target.
pub fn measure(options: RoutingOptions, out: &mut dyn Write) -> io::Result<RoutingTargets> {
    let last = options.first_seed + options.runs.max(1) - 1;
    let (first, length) = (options.first_seed, options.length.as_secs());
    writeln!(
        out,
        "seeds {first} to {last}, {length} s each; medians; small requests; unanswered ones count as 5000 ms"
    )?;
    let mut targets = RoutingTargets {
        failing_ratio: 0.0,
        burst_ratio: 0.0,
        max_running: 0,
    };
    for site in &SITES {
        measure_site(site, options, &mut targets, out)?;
    }
    writeln!(
        out,
        "p99 with 10% failing / healthy: {:.2} (target 1.5); others' p99 in a burst / alone: {:.2} (target 1.2)",
        targets.failing_ratio, targets.burst_ratio
    )?;
    Ok(targets)
}

fn measure_site(
    site: &Site,
    options: RoutingOptions,
    targets: &mut RoutingTargets,
    out: &mut dyn Write,
) -> io::Result<()> {
    writeln!(out, "\n{}", site.name)?;
    writeln!(
        out,
        "{:<18} {:<13} {:>8} {:>8} {:>8} {:>8} {:>11} {:>8} {:>9}",
        "case",
        "policy",
        "p50 ms",
        "p99 ms",
        "p99.9 ms",
        "max ms",
        "unanswered",
        "retries",
        "link MiB"
    )?;
    let mut healthy = 0.0;
    for case in CASES {
        for (policy, name) in POLICIES.iter().enumerate() {
            let row = median_row(site, case, policy, options, targets);
            write_row(&case.label(), name, row, out)?;
            if policy == 0 && case == Case::Failing(0) {
                healthy = row.latency[1];
            }
            if policy == 0 && case == Case::Failing(10) {
                targets.failing_ratio = targets.failing_ratio.max(row.latency[1] / healthy);
            }
            if case == Case::Burst {
                let alone = median_row(site, Case::WithoutBurst, policy, options, targets);
                write_row(&Case::WithoutBurst.label(), name, alone, out)?;
                let ratio = row.latency[1] / alone.latency[1];
                if policy == 0 {
                    targets.burst_ratio = targets.burst_ratio.max(ratio);
                }
            }
        }
    }
    Ok(())
}

fn write_row(case: &str, policy: &str, row: Row, out: &mut dyn Write) -> io::Result<()> {
    let [p50, p99, p999, max] = row.latency;
    writeln!(
        out,
        "{case:<18} {policy:<13} {p50:>8.1} {p99:>8.1} {p999:>8.1} {max:>8.1} {:>10.2}% {:>7.2}% {:>9.1}",
        row.unanswered * 100.0,
        row.retries * 100.0,
        row.link_mib
    )
}

/// Runs all seeds and returns the median of each figure.
fn median_row(
    site: &Site,
    case: Case,
    policy: usize,
    options: RoutingOptions,
    targets: &mut RoutingTargets,
) -> Row {
    let rows: Vec<Row> = (0..options.runs.max(1))
        .map(|i| {
            let result = run(site, case, policy, options.length, options.first_seed + i);
            targets.max_running = targets.max_running.max(result.max_running);
            row(case, &result)
        })
        .collect();
    let of = |figure: &dyn Fn(&Row) -> f64| median(rows.iter().map(figure).collect());
    Row {
        latency: std::array::from_fn(|i| of(&|row| row.latency[i])),
        unanswered: of(&|row| row.unanswered),
        retries: of(&|row| row.retries),
        link_mib: of(&|row| row.link_mib),
    }
}

fn row(case: Case, result: &RunResult) -> Row {
    // In a burst only the requests of the other teams are reported.
    let first_team = usize::from(matches!(case, Case::Burst | Case::WithoutBurst));
    let counted = result.records.iter();
    let counted: Vec<_> = counted
        .filter(|r| r.is_small && r.team >= first_team)
        .collect();
    let mut latencies: Vec<f64> = counted
        .iter()
        .map(|r| r.latency.as_secs_f64() * 1000.0)
        .collect();
    latencies.sort_by(f64::total_cmp);
    let unanswered = counted.iter().filter(|r| !r.is_answered).count();
    let at = |q: f64| {
        let last = latencies.len().saturating_sub(1);
        let index = (q * latencies.len() as f64).ceil() as usize;
        latencies
            .get(index.saturating_sub(1).min(last))
            .copied()
            .unwrap_or_default()
    };
    Row {
        latency: [at(0.5), at(0.99), at(0.999), at(1.0)],
        unanswered: unanswered as f64 / counted.len().max(1) as f64,
        retries: result.retries as f64 / result.records.len().max(1) as f64,
        link_mib: result.link_bytes as f64 / f64::from(1 << 20),
    }
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or_default()
}
