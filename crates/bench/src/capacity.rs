//! State, messages, CPU and memory of each role as functions of the site's size.
//!
//! `docs/CAPACITY.md` gives the command that prints each of its figures.

mod control;
mod fit;
mod hard;
mod link;
mod process;
mod request_link;
mod requests;
mod rules;
mod site;
mod table;

use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

/// A group of capacity measurements.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Part {
    /// Bytes and CPU of announcements and of requests on a connection.
    Agent,
    /// The site state machine of an entry that is the leader of a region, and its table.
    Control,
    /// The request state machine of an entry.
    Requests,
    /// Failures and load peaks at the leader of a region.
    Hard,
    /// Evaluation of alert rules.
    Rules,
}

impl Part {
    /// All groups, in the order in which they are printed.
    pub const ALL: [Self; 5] = [
        Self::Agent,
        Self::Control,
        Self::Requests,
        Self::Hard,
        Self::Rules,
    ];
}

/// Sizes and repetitions of the measurements.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// Workers in the region at each size.
    pub workers: Vec<usize>,
    /// Number of announcements of each kind to send on a connection.
    pub announcements: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            workers: vec![11, 44, 176, 704, 1_425],
            announcements: 5_000,
        }
    }
}

/// Measures a part and prints the measured points, the fitted lines and their errors.
pub fn measure(part: Part, options: &Options, out: &mut dyn Write) -> eyre::Result<()> {
    match part {
        Part::Agent => {
            link::measure(options, out)?;
            request_link::measure(options, out)
        }
        Part::Control => control::measure(options, out),
        Part::Requests => requests::measure(options, out),
        Part::Hard => hard::measure(options, out),
        Part::Rules => rules::measure(options, out),
    }
}

/// Prints the median memory and CPU of a process over `runs` samples of `length` each.
pub fn sample_process(
    out: &mut dyn Write,
    pid: u32,
    runs: u32,
    length: Duration,
) -> eyre::Result<()> {
    process::sample_process(out, pid, runs, length)
}

/// Claims `count` keys at an agent's listener and prints the number of granted claims.
pub fn claim(out: &mut dyn Write, agent: SocketAddr, count: usize) -> eyre::Result<()> {
    link::claim(out, agent, count)
}
