//! Stand-in for the metadata store of the users' platform, for tests.
//!
//! It keeps the rows of the job scheduler; the table service of the request path and of
//! a site's gangs is part of the stand-in `platform`.

use std::net::SocketAddr;
use std::sync::Arc;

use clap::Parser;
use cumindeck_service::{BootClock, Shutdown, bind, init_logs, spawn_timer};
use cumindeck_standins::fleet::serve_store;

/// Stand-in for the metadata store of the users' platform.
#[derive(Debug, Parser)]
#[command(version)]
struct Args {
    /// Address of the HTTP listener.
    #[arg(long)]
    listen: SocketAddr,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> eyre::Result<()> {
    let args = Args::parse();
    init_logs("info")?;
    let listener = bind("the store stand-in", args.listen).await?;
    tracing::info!(event = "listening", address = %listener.local_addr()?);
    serve_store(
        listener,
        spawn_timer(Arc::new(BootClock)),
        Shutdown::on_signal()?,
    )
    .await;
    Ok(())
}
