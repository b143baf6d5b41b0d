//! The entry's control decisions: announcements, heads, ticks, the table.

use std::io::Write;
use std::time::Duration;

use super::Options;
use super::fit::{Point, print};
use super::process::resident;
use super::site::{Site, Size};

/// Workers of the largest region at the target size, if regions are alike by
/// half: 5,700 workers in 6 regions, of which one has a quarter.
pub const REGION_WORKERS: f64 = 1_425.0;
/// Time for a new holder to acquire the duty, read the records and hear agents.
pub const START: Duration = Duration::from_secs(6);
/// Takeovers that are measured at each size.
const TAKEOVERS: usize = 5;
/// Seconds of steady work that are measured.
const STEADY: usize = 6;

/// Measures the holder of a region's duty at several sizes.
pub fn measure(options: &Options, out: &mut dyn Write) -> eyre::Result<()> {
    let kinds = ["announce", "read", "tick"];
    let mut points = [const { Vec::new() }; 3];
    let (mut takeovers, mut cores, mut memory) = (Vec::new(), Vec::new(), Vec::new());
    let (mut writes, mut reads, mut read_bytes) = (Vec::new(), Vec::new(), Vec::new());
    // Sites are kept, so that freed memory doesn't hide the growth.
    let mut sites = Vec::new();
    for workers in &options.workers {
        let size = Size::of_workers(*workers);
        let at = *workers as f64;
        let mut site = Site::new(size)?;
        let before = resident()?;
        site.run(START, *workers);
        eyre::ensure!(
            site.reply
                .as_ref()
                .is_some_and(|reply| reply.lease.is_some()),
            "the entry holds no duty after {START:?} with {workers} workers"
        );
        site.times.clear();
        site.table.counts = super::table::TableCounts::default();
        let mut seconds = Vec::new();
        let orders = site.orders;
        let mut spent = 0.0;
        for _ in 0..STEADY {
            site.run(Duration::from_secs(1), *workers);
            let all: f64 = site.times.values().flatten().sum();
            seconds.push((all - spent) / 1e6 * 100.0);
            spent = all;
        }
        cores.push(Point::new(at, seconds));
        // The holder renews its lease each second; orders mean lost tasks.
        eyre::ensure!(
            site.table.counts.commits >= STEADY as u64 && site.orders == orders,
            "{workers} workers: {:?}, {} orders",
            site.table.counts,
            site.orders - orders
        );
        for (kind, points) in kinds.iter().zip(&mut points) {
            let times = site.times.remove(kind).unwrap_or_default();
            points.push(Point::new(at, times));
        }
        let grown = resident()?.saturating_sub(before) as f64 / 1024.0;
        memory.push(Point::new(at, vec![grown]));
        let counts = site.table.counts;
        let rate = |count: u64| Point::new(at, vec![count as f64 / STEADY as f64]);
        writes.push(rate(counts.writes));
        reads.push(rate(counts.reads));
        read_bytes.push(rate(counts.read_bytes));
        sites.push(site);
    }
    for workers in &options.workers {
        let mut takeover = Vec::new();
        for _ in 0..TAKEOVERS {
            let mut site = Site::new(Size::of_workers(*workers))?;
            site.run(START, *workers);
            takeover.push(longest(&site, "tick") / 1e3);
        }
        takeovers.push(Point::new(*workers as f64, takeover));
    }
    for (kind, points) in kinds.iter().zip(&points) {
        print(
            out,
            &format!("site.{kind}"),
            "us",
            "workers",
            points,
            REGION_WORKERS,
        )?;
    }
    print(out, "site.core", "%", "workers", &cores, REGION_WORKERS)?;
    print(
        out,
        "site.takeover",
        "ms",
        "workers",
        &takeovers,
        REGION_WORKERS,
    )?;
    print(out, "site.memory", "KB", "workers", &memory, REGION_WORKERS)?;
    print(
        out,
        "table.writes",
        "/s",
        "workers",
        &writes,
        REGION_WORKERS,
    )?;
    print(out, "table.reads", "/s", "workers", &reads, REGION_WORKERS)?;
    print(
        out,
        "table.heads",
        "B/s",
        "workers",
        &read_bytes,
        REGION_WORKERS,
    )?;
    Ok(())
}

/// Returns the longest step of a kind in microseconds.
pub fn longest(site: &Site, kind: &str) -> f64 {
    let times = site.times.get(kind).into_iter().flatten();
    times.copied().fold(0.0, f64::max)
}
