//! Failures and load peaks at the leader of a region.

use std::io::Write;
use std::time::Duration;

use cumindeck_api::{ConfigChange, ZoneChange};
use cumindeck_site::{OperatorReply, OperatorRequest};
use cumindeck_types::{ConfigVersion, Incarnation};

use super::Options;
use super::control::{STARTUP_TIME, longest_step};
use super::fit::Point;
use super::site::{Site, Size, base, overlay};
use super::table::TableCounts;

/// Repetitions of each scenario; medians are printed.
const RUNS: usize = 5;
/// Number of consecutive configuration changes.
const BURST: u64 = 50;
/// Workers in a zone at the target size.
const ZONE_WORKERS: usize = 300;

/// A failure or change applied to a running site with the given number of workers.
type Scenario = fn(&mut Site, usize) -> eyre::Result<()>;

/// Measures all scenarios at the largest size.
pub fn measure(options: &Options, out: &mut dyn Write) -> eyre::Result<()> {
    let scenarios: [(&str, Scenario); 7] = [
        ("steady_2s", |site, workers| {
            site.run(Duration::from_secs(2), workers);
            Ok(())
        }),
        ("fleet_restarts_in_2s", fleet_restarts),
        ("zone_silent_20s", zone_leaves),
        ("zone_taken_out_20s", zone_taken_out),
        ("region_back_after_1h_10s", region_returns),
        ("replaced_wave_10s", replaced),
        ("config_burst_of_50", config_burst),
    ];
    let workers = options.workers.iter().copied().max().unwrap_or(11);
    for (name, scenario) in scenarios {
        let (mut cpu, mut longest) = (Vec::new(), Vec::new());
        let mut last = None;
        for _ in 0..RUNS {
            let mut site = Site::new(Size::for_workers(workers))?;
            site.run(STARTUP_TIME, workers);
            site.times.clear();
            site.table.counts = TableCounts::default();
            (site.orders, site.peak_commits) = (0, 0);
            scenario(&mut site, workers)?;
            cpu.push(site.times.values().flatten().sum::<f64>() / 1e3);
            let kinds = ["announce", "committed", "operator", "order", "read", "tick"];
            let steps = kinds.iter().map(|kind| longest_step(&site, kind));
            longest.push(steps.fold(0.0, f64::max) / 1e3);
            last = Some((site.table.counts, site.orders, site.peak_commits));
        }
        let (counts, orders, peak) = last.unwrap_or_default();
        let (cpu, longest) = (Point::new(0.0, cpu), Point::new(0.0, longest));
        writeln!(
            out,
            "hard.{name} workers={workers} cpu={:.1}ms p10={:.1} p90={:.1} longest_step={:.2}ms \
             commits={} peak_commits={peak}/s rows={} written={}B reads={} read={}B orders={orders} runs={RUNS}",
            cpu.median(),
            cpu.quantile(0.1),
            cpu.quantile(0.9),
            longest.median(),
            counts.commits,
            counts.writes,
            counts.write_bytes,
            counts.reads,
            counts.read_bytes,
        )?;
    }
    Ok(())
}

/// All agents restart within 2 s in a new incarnation and without tasks.
fn fleet_restarts(site: &mut Site, workers: usize) -> eyre::Result<()> {
    for agent in &mut site.agents {
        agent.incarnation = Incarnation::new(agent.incarnation.get() + 1);
        agent.newest_token = cumindeck_types::FencingToken::default();
        agent.tasks.clear();
    }
    site.run(Duration::from_secs(2), workers);
    Ok(())
}

/// Three tenths of the workers (1,700 of 5,700) are replaced at the same time and run
/// no tasks.
fn replaced(site: &mut Site, workers: usize) -> eyre::Result<()> {
    for agent in site.agents.iter_mut().take(workers * 3 / 10) {
        agent.incarnation = Incarnation::new(agent.incarnation.get() + 1);
        agent.newest_token = cumindeck_types::FencingToken::default();
        agent.tasks.clear();
    }
    site.run(Duration::from_secs(10), workers);
    Ok(())
}

/// The agents of a zone stop announcing themselves.
fn zone_leaves(site: &mut Site, workers: usize) -> eyre::Result<()> {
    let rest = workers.saturating_sub(ZONE_WORKERS).max(workers / 2);
    site.run(Duration::from_secs(20), rest);
    Ok(())
}

/// Operators take a zone out of service.
fn zone_taken_out(site: &mut Site, workers: usize) -> eyre::Result<()> {
    let change = ZoneChange {
        open: false,
        expected_version: None,
    };
    site.operator(OperatorRequest::PutZone("z0-0".parse()?, change));
    site.run(Duration::from_secs(20), workers);
    Ok(())
}

/// No event arrives for an hour; then all agents announce themselves again.
fn region_returns(site: &mut Site, workers: usize) -> eyre::Result<()> {
    site.now = site.now.plus(Duration::from_secs(3_600));
    site.run(Duration::from_secs(10), workers);
    Ok(())
}

/// Operators change the configuration repeatedly.
fn config_burst(site: &mut Site, workers: usize) -> eyre::Result<()> {
    for number in 1..=BURST {
        let overlay = overlay(Size::for_workers(workers));
        let change = ConfigChange {
            expected_version: ConfigVersion::new(number),
            change_id: format!("change-{number}").parse()?,
            base: format!("{}\n; change {number}\n", base()),
            overlays: [("plume".to_owned(), overlay)].into(),
        };
        site.operator(OperatorRequest::PutConfig(change));
        // The version comes into force when the polled rows are read next.
        site.run(Duration::from_secs(1), workers);
        eyre::ensure!(
            matches!(site.replies.last(), Some(OperatorReply::ConfigAccepted(_))),
            "change {number}: {:?}",
            site.replies.last()
        );
    }
    Ok(())
}
