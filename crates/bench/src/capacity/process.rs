//! CPU and memory of processes from `/proc`.

use std::io::{self, Write};
use std::time::{Duration, Instant};

use eyre::{ContextCompat, WrapErr};

use super::fit::Point;

/// Page size on the supported platforms.
const PAGE_BYTES: u64 = 4096;
/// Unit in which Linux reports CPU time to programs.
const TICKS_PER_SECOND: f64 = 100.0;

/// Returns the resident memory of the current process in bytes.
pub fn resident() -> io::Result<u64> {
    let text = std::fs::read_to_string("/proc/self/statm")?;
    let pages = text.split_whitespace().nth(1);
    let pages: u64 = pages.and_then(|word| word.parse().ok()).unwrap_or(0);
    Ok(pages * PAGE_BYTES)
}

/// Prints the median memory and CPU of a process over `runs` samples of `length` each.
pub fn sample_process(
    out: &mut dyn Write,
    pid: u32,
    runs: u32,
    length: Duration,
) -> eyre::Result<()> {
    let (mut cores, mut memory) = (Vec::new(), Vec::new());
    for _ in 0..runs {
        let (begin, before) = (Instant::now(), cpu_seconds(pid)?);
        std::thread::sleep(length);
        let used = cpu_seconds(pid)? - before;
        cores.push(100.0 * used / begin.elapsed().as_secs_f64());
        memory.push(resident_kb(pid)? / 1024.0);
    }
    let (cores, memory) = (Point::new(0.0, cores), Point::new(0.0, memory));
    writeln!(
        out,
        "process pid={pid} core_percent={:.2} p10={:.2} p90={:.2} resident_mb={:.1} runs={runs}",
        cores.median(),
        cores.quantile(0.1),
        cores.quantile(0.9),
        memory.median(),
    )?;
    Ok(())
}

/// Returns the CPU time that a process has used since its start, in seconds.
fn cpu_seconds(pid: u32) -> eyre::Result<f64> {
    let path = format!("/proc/{pid}/stat");
    let text = std::fs::read_to_string(&path).wrap_err_with(|| format!("can't read {path}"))?;
    // The name in parentheses may contain spaces. User and system time are the 12th and
    // 13th field after it.
    let (_, fields) = text.rsplit_once(')').wrap_err("no process name")?;
    let fields: Vec<_> = fields.split_whitespace().collect();
    let ticks = |i: usize| -> eyre::Result<f64> {
        let field = fields.get(i).wrap_err("no CPU time")?;
        Ok(field.parse()?)
    };
    Ok((ticks(11)? + ticks(12)?) / TICKS_PER_SECOND)
}

fn resident_kb(pid: u32) -> eyre::Result<f64> {
    let path = format!("/proc/{pid}/status");
    let text = std::fs::read_to_string(&path).wrap_err_with(|| format!("can't read {path}"))?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let words = line.wrap_err("no VmRSS")?.trim();
    Ok(words.trim_end_matches("kB").trim().parse()?)
}
