//! What a process uses, from /proc.

use eyre::ContextCompat;

/// Memory, descriptors and processor time of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Usage {
    /// Resident memory in KiB.
    pub resident_kib: u64,
    /// Highest resident memory so far in KiB.
    pub peak_kib: u64,
    /// Number of open descriptors.
    pub descriptors: usize,
    /// Processor time in clock ticks.
    pub ticks: u64,
}

impl Usage {
    /// Reads the usage of a process; an error if it has ended.
    pub(crate) fn read(pid: u32) -> eyre::Result<Self> {
        let status = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
        let kib = |name: &str| -> eyre::Result<u64> {
            let line = status.lines().find_map(|line| line.strip_prefix(name));
            let line = line.wrap_err_with(|| format!("process {pid} has no {name}"))?;
            Ok(line.trim().trim_end_matches(" kB").parse()?)
        };
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
        // The name of the program, in parentheses, may contain blanks.
        let fields = stat.rsplit_once(')').map_or("", |(_, fields)| fields);
        // User and system time are fields 14 and 15 of the whole line.
        let times = fields.split_whitespace().skip(11).take(2);
        Ok(Self {
            resident_kib: kib("VmRSS:")?,
            peak_kib: kib("VmHWM:")?,
            descriptors: std::fs::read_dir(format!("/proc/{pid}/fd"))?.count(),
            ticks: times.filter_map(|time| time.parse::<u64>().ok()).sum(),
        })
    }
}
