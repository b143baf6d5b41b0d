//! Command line of the measurements.

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

/// Measures policies against baselines, and capacity.
#[derive(Debug, Parser)]
#[command(name = "cumindeck-bench", version)]
struct Args {
    /// The measurement to run.
    #[command(subcommand)]
    command: Command,
}

/// A measurement.
#[derive(Debug, Subcommand)]
enum Command {
    /// State, messages, CPU and memory of each role as functions of the site's size.
    Capacity(CapacityArgs),
    /// Placement of gangs: guaranteed cells against first fit and count-only quotas.
    Placement(placement::Args),
    /// Latency that entry and agent add to a request, measured on running processes.
    Path(path::Args),
    /// Routing of requests: power of two choices against random and round robin.
    Routing(RoutingArgs),
}

/// Options of the capacity measurements.
#[derive(Debug, clap::Args)]
struct CapacityArgs {
    /// The part to measure; by default all parts that need no other process.
    #[command(subcommand)]
    part: Option<CapacityPart>,
    /// Workers in the region at each size.
    #[arg(long, global = true, value_delimiter = ',', default_values_t = capacity::Options::default().workers)]
    workers: Vec<usize>,
}

/// A part of the capacity measurements.
#[derive(Debug, Subcommand)]
enum CapacityPart {
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
    /// Memory and CPU of a running process.
    Process {
        /// Id of the process.
        #[arg(long)]
        pid: u32,
        /// Number of samples; the medians are printed.
        #[arg(long, default_value_t = 5)]
        runs: u32,
        /// Length of a sample in seconds.
        #[arg(long, default_value_t = 3)]
        seconds: u64,
    },
    /// Claims keys at a running agent.
    Claims {
        /// Address of the agent's listener.
        #[arg(long)]
        agent: SocketAddr,
        /// Number of keys to claim.
        #[arg(long, default_value_t = 100_000)]
        count: usize,
    },
}

/// Options of the routing measurement.
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
            return capacity::sample_process(&mut out, pid, runs, Duration::from_secs(seconds));
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
