//! A whole small site in one process on loopback, for a first try.

use clap::Parser;
use cumindeck_local::{LocalLayout, LocalOptions, run_local};
use cumindeck_service::{Shutdown, init_logs};
use tokio::task::LocalSet;

/// Runs a whole small site on loopback, with stand-ins for the platform and the
/// backend servers.
#[derive(Debug, Parser)]
#[command(version)]
struct Args {
    /// Sample site: plume or mizani.
    #[arg(long, default_value = "plume")]
    site: String,
    /// First port: the platform's, then callers, operators and agents of each entry.
    #[arg(long, default_value_t = 7079)]
    first_port: u16,
    /// Bearer token of the operators.
    #[arg(long, default_value = "local")]
    token: String,
    /// Log filter, such as info or debug.
    #[arg(long, default_value = "info")]
    log: String,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> eyre::Result<()> {
    let args = Args::parse();
    init_logs(&args.log)?;
    let options = LocalOptions {
        layout: LocalLayout::of_sample(&args.site)?,
        first_port: args.first_port,
        token: args.token,
    };
    let shutdown = Shutdown::on_signal()?;
    LocalSet::new()
        .run_until(run_local(options, shutdown))
        .await
}
