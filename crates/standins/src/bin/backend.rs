//! Stand-in for a backend server, for tests.

use std::net::SocketAddr;

use clap::Parser;
use cumindeck_service::{Shutdown, bind, init_logs};
use cumindeck_standins::backend::serve_backend;

/// Stand-in for a backend server.
#[derive(Debug, Parser)]
#[command(version)]
struct Args {
    /// Address of the HTTP listener.
    #[arg(long, default_value = "127.0.0.1:7200")]
    listen: SocketAddr,
    /// Log filter, such as info or debug.
    #[arg(long, default_value = "info")]
    log: String,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> eyre::Result<()> {
    let args = Args::parse();
    init_logs(&args.log)?;
    let listener = bind("the backend stand-in", args.listen).await?;
    tracing::info!(event = "listening", address = %listener.local_addr()?);
    serve_backend(listener, Shutdown::on_signal()?).await;
    Ok(())
}
