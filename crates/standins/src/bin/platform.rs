//! Stand-in for the platform, for tests.

use std::net::SocketAddr;
use std::sync::Arc;

use clap::Parser;
use cumindeck_service::{BootClock, Shutdown, bind, init_logs, spawn_timer};
use cumindeck_standins::platform::serve_platform;

/// Stand-in for the platform's table service, object store and workers.
#[derive(Debug, Parser)]
#[command(version)]
struct Args {
    /// Address of the HTTP listener.
    #[arg(long, default_value = "127.0.0.1:7100")]
    listen: SocketAddr,
    /// Log filter, such as info or debug.
    #[arg(long, default_value = "info")]
    log: String,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> eyre::Result<()> {
    let args = Args::parse();
    init_logs(&args.log)?;
    let listener = bind("the platform stand-in", args.listen).await?;
    tracing::info!(event = "listening", address = %listener.local_addr()?);
    let timer = spawn_timer(Arc::new(BootClock));
    serve_platform(listener, timer, Shutdown::on_signal()?).await;
    Ok(())
}
