//! Policy measurements beside their baselines.

mod placement;
mod report;
mod site;
mod timing;

use clap::{Parser, Subcommand};

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
}

fn main() -> eyre::Result<()> {
    match Args::parse().command {
        Command::Placement(args) => placement::run(&args),
    }
}
