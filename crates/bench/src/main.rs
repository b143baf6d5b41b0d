//! Policy measurements beside their baselines.

mod placement;
mod report;
mod site;
mod timing;

use clap::{Parser, Subcommand};
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
    /// Placement of gangs: cells beside first fit and count-only quotas.
    Placement(placement::Args),
    /// Routing of requests: power of two choices beside random and round robin.
    Routing(RoutingArgs),
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
