//! Policy measurements beside their baselines.

mod path;
mod placement;
mod report;
mod site;
mod timing;

use std::net::SocketAddr;
use std::time::Duration;

use clap::{Parser, Subcommand};
use cumindeck_bench::capacity::{self, Part};
use cumindeck_bench::routing::{RoutingOptions, measure};

/// Measures the policies beside their baselines.
#[derive(Debug, Parser)]
#[command(name = "cumindeck-bench", version)]
struct Args {
    /// What to measure.
    #[command(subcommand)]
    command: Command,
}

/// A measurement.
#[derive(Debug, Subcommand)]
enum Command {
    /// State, messages, CPU and memory of each role against the size of a site.
    Capacity(CapacityArgs),
    /// Placement of gangs: cells beside first fit and count-only quotas.
    Placement(placement::Args),
    /// Time that entry and agent add to a request, over running processes.
    Path(path::Args),
    /// Routing of requests: power of two choices beside random and round robin.
    Routing(RoutingArgs),
}

/// What to measure of capacity.
#[derive(Debug, clap::Args)]
struct CapacityArgs {
    /// The part; all parts that need no other process if left out.
    #[command(subcommand)]
    part: Option<CapacityPart>,
    /// Workers in the region at each size.
    #[arg(long, global = true, value_delimiter = ',', default_values_t = capacity::Options::default().workers)]
    workers: Vec<usize>,
}

/// A part of the measurement of capacity.
#[derive(Debug, Subcommand)]
enum CapacityPart {
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
    /// Memory and CPU of a running process.
    Process {
        /// The process.
        #[arg(long)]
        pid: u32,
        /// Number of parts; the medians are printed.
        #[arg(long, default_value_t = 5)]
        runs: u32,
        /// Seconds of each part.
        #[arg(long, default_value_t = 3)]
        seconds: u64,
    },
    /// Claims keys at a running agent.
    Claims {
        /// The agent's listener.
        #[arg(long)]
        agent: SocketAddr,
        /// Number of keys.
        #[arg(long, default_value_t = 100_000)]
        count: usize,
    },
}

/// What to measure of routing.
#[derive(Debug, clap::Args)]
struct RoutingArgs {
    /// Number of runs, each with its own seed.
    #[arg(long, default_value_t = RoutingOptions::default().runs)]
    runs: u64,
    /// Seed of the first run.
    #[arg(long, default_value_t = RoutingOptions::default().first_seed)]
    first_seed: u64,
}

fn main() -> eyre::Result<()> {
    match Args::parse().command {
        Command::Capacity(args) => measure_capacity(args),
        Command::Path(args) => path::run(&args),
        Command::Placement(args) => placement::run(&args),
        Command::Routing(args) => {
            let options = RoutingOptions {
                first_seed: args.first_seed,
                runs: args.runs,
                ..RoutingOptions::default()
            };
            measure(options, &mut std::io::stdout())?;
            Ok(())
        }
    }
}

fn measure_capacity(args: CapacityArgs) -> eyre::Result<()> {
    let options = capacity::Options {
        workers: args.workers,
        ..capacity::Options::default()
    };
    let mut out = std::io::stdout();
    let parts = match args.part {
        None => Part::ALL.to_vec(),
        Some(CapacityPart::Agent) => vec![Part::Agent],
        Some(CapacityPart::Control) => vec![Part::Control],
        Some(CapacityPart::Requests) => vec![Part::Requests],
        Some(CapacityPart::Hard) => vec![Part::Hard],
        Some(CapacityPart::Rules) => vec![Part::Rules],
        Some(CapacityPart::Process { pid, runs, seconds }) => {
            return capacity::watch(&mut out, pid, runs, Duration::from_secs(seconds));
        }
        Some(CapacityPart::Claims { agent, count }) => {
            return capacity::claim(&mut out, agent, count);
        }
    };
    for part in parts {
        capacity::measure(part, &options, &mut out)?;
    }
    Ok(())
}
