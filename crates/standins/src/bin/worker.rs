//! Stand-in for a worker of the users' platform, for tests.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use clap::Parser;
use cumindeck_service::{BootClock, Shutdown, bind, init_logs, spawn_timer};
use cumindeck_standins::fleet::{RunsSettings, WorkerSettings, serve_worker};

/// Stand-in for a worker of the users' platform.
#[derive(Debug, Parser)]
#[command(version)]
struct Args {
    /// Address of the HTTP listener.
    #[arg(long)]
    listen: SocketAddr,
    /// Id of the worker.
    #[arg(long)]
    id: String,
    /// Service that the worker belongs to.
    #[arg(long)]
    service: String,
    /// Availability zone.
    #[arg(long)]
    zone: String,
    /// Rack.
    #[arg(long, default_value = "r1")]
    rack: String,
    /// Address at which the agent receives heartbeats.
    #[arg(long)]
    agent: SocketAddr,
    // Units of capacity for tasks, unlike the slots for requests to a backend server.
    /// Slots; a slot is a core, 1,000 MB and an accelerator.
    #[arg(long, default_value_t = 4)]
    slots: u64,
    /// Maximum lease in milliseconds.
    #[arg(long)]
    max_lease_ms: u64,
    /// Time that a stop takes in milliseconds.
    #[arg(long)]
    stop_ms: u64,
    /// Time between two heartbeats in milliseconds.
    #[arg(long, default_value_t = 500)]
    heartbeat_ms: u64,
    /// File of the calls that are carried out late.
    #[arg(long)]
    late_calls: Option<PathBuf>,
    /// Every n-th call is carried out late; 0 for none.
    #[arg(long, default_value_t = 0)]
    late_every: u64,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> eyre::Result<()> {
    let args = Args::parse();
    init_logs("info")?;
    let listener = bind("the worker stand-in", args.listen).await?;
    let settings = WorkerSettings {
        id: args.id,
        service: args.service,
        zone: args.zone,
        rack: args.rack,
        agent: args.agent,
        heartbeat: Duration::from_millis(args.heartbeat_ms),
        runs: RunsSettings {
            slots: args.slots,
            max_lease_ms: args.max_lease_ms,
            stop_ms: args.stop_ms,
        },
        late_calls: args.late_calls,
        late_every: args.late_every,
    };
    let timer = spawn_timer(Arc::new(BootClock));
    serve_worker(listener, settings, timer, Shutdown::on_signal()?).await?;
    Ok(())
}
