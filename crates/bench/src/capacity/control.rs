//! The entry's control decisions: announcements, polled rows, ticks and the table.

use std::io::Write;
use std::time::Duration;

use super::Options;
use super::fit::{Point, print};
use super::process::resident;
use super::site::{Site, Size};

/// Workers of the largest region at the target size: one of 6 regions has a quarter
/// of the 5,700 workers.
pub const REGION_WORKERS: f64 = 1_425.0;
/// Time in which a new leader acquires leadership, reads the records and receives
/// announcements.
pub const STARTUP_TIME: Duration = Duration::from_secs(6);
/// Number of takeovers to measure at each size.
const TAKEOVERS: usize = 5;
/// Seconds of steady work to measure.
const STEADY_SECONDS: usize = 6;

/// Measures the leader of a region at several sizes.
pub fn measure(options: &Options, out: &mut dyn Write) -> eyre::Result<()> {
    let kinds = ["announce", "read", "tick"];
    let mut points = [const { Vec::new() }; 3];
    let (mut takeovers, mut cores, mut memory) = (Vec::new(), Vec::new(), Vec::new());
    let (mut writes, mut reads, mut read_bytes) = (Vec::new(), Vec::new(), Vec::new());
    // The sites stay allocated: reuse of freed memory would hide the growth.
    let mut sites = Vec::new();
    for workers in &options.workers {
        let size = Size::for_workers(*workers);
        let at = *workers as f64;
        let mut site = Site::new(size)?;
        let before = resident()?;
        site.run(STARTUP_TIME, *workers);
        eyre::ensure!(
            site.reply
                .as_ref()
                .is_some_and(|reply| reply.lease.is_some()),
            "the entry is not the leader of its region after {STARTUP_TIME:?} with {workers} workers"
        );
        site.times.clear();
        site.table.counts = super::table::TableCounts::default();
        let mut seconds = Vec::new();
        let orders = site.orders;
        let mut spent = 0.0;
        for _ in 0..STEADY_SECONDS {
            site.run(Duration::from_secs(1), *workers);
            let all: f64 = site.times.values().flatten().sum();
            seconds.push((all - spent) / 1e6 * 100.0);
            spent = all;
        }
        cores.push(Point::new(at, seconds));
        // The leader renews its lease each second; an order would mean a lost task.
        eyre::ensure!(
            site.table.counts.commits >= STEADY_SECONDS as u64 && site.orders == orders,
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
        let rate = |count: u64| Point::new(at, vec![count as f64 / STEADY_SECONDS as f64]);
        writes.push(rate(counts.writes));
        reads.push(rate(counts.reads));
        read_bytes.push(rate(counts.read_bytes));
        sites.push(site);
    }
    for workers in &options.workers {
        let mut takeover = Vec::new();
        for _ in 0..TAKEOVERS {
            let mut site = Site::new(Size::for_workers(*workers))?;
            site.run(STARTUP_TIME, *workers);
            takeover.push(longest_step(&site, "tick") / 1e3);
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

/// Returns the duration of the longest step of a kind, in microseconds.
pub fn longest_step(site: &Site, kind: &str) -> f64 {
    let times = site.times.get(kind).into_iter().flatten();
    times.copied().fold(0.0, f64::max)
}
