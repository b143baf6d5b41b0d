//! Runs a small site in one process on loopback, to try out the software.

use clap::Parser;
use cumindeck_local::{LocalLayout, LocalOptions, run_local};
use cumindeck_service::{Shutdown, init_logs};
use tokio::task::LocalSet;

/// Runs a small site on loopback with stand-ins for the platform and the backend
/// servers.
#[derive(Debug, Parser)]
#[command(version)]
struct Args {
    /// Name of the sample site: plume or mizani.
    #[arg(long, default_value = "plume")]
    site: String,
    /// First port: the platform's. Three ports of each entry follow: callers, operators,
    /// agents.
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
        layout: LocalLayout::from_sample(&args.site)?,
        first_port: args.first_port,
        token: args.token,
    };
    let shutdown = Shutdown::on_signal()?;
    LocalSet::new()
        .run_until(run_local(options, shutdown))
        .await
}
