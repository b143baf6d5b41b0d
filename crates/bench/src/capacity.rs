//! State, messages, CPU and memory of each role against the size of a site.
//!
//! `docs/CAPACITY.md` names the command that prints each of its figures.

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

/// Parts of the measurement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Part {
    /// Bytes and CPU of announcements on a connection.
    Agent,
    /// The site machine of an entry that holds a duty, and its table.
    Control,
    /// The request machine of an entry.
    Requests,
    /// Hard moments of a duty holder.
    Hard,
    /// Alert rules.
    Rules,
}

impl Part {
    /// All parts.
    pub const ALL: [Self; 5] = [
        Self::Agent,
        Self::Control,
        Self::Requests,
        Self::Hard,
        Self::Rules,
    ];
}

/// What to measure.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// Workers in the region at each size.
    pub workers: Vec<usize>,
    /// Announcements of each kind that are sent on a connection.
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

/// Measures a part and prints points, lines and their errors.
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

/// Prints memory and CPU of a process, medians of `runs` parts of `length`.
pub fn watch(out: &mut dyn Write, pid: u32, runs: u32, length: Duration) -> eyre::Result<()> {
    process::watch(out, pid, runs, length)
}

/// Fills an agent's claim table over its listener and prints the replies.
pub fn claim(out: &mut dyn Write, agent: SocketAddr, count: usize) -> eyre::Result<()> {
    link::claim(out, agent, count)
}
