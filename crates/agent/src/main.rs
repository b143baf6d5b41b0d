//! Agent process beside a backend server.

use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use clap::Parser;
use cumindeck_agent::{AgentParts, HttpBackend, run_agent};
use cumindeck_config::AgentSettings;
use cumindeck_platform::{HttpClient, HttpWorker};
use cumindeck_service::{BootClock, Shutdown, init_logs, spawn_timer};
use eyre::WrapErr;
use tokio::task::LocalSet;

/// Maximum wait for a reply of the worker.
const WORKER_TIMEOUT: Duration = Duration::from_secs(2);

/// Announces a backend server, limits its requests and runs tasks.
#[derive(Debug, Parser)]
#[command(version)]
struct Args {
    /// Settings file in INI format.
    #[arg(long)]
    settings: PathBuf,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> eyre::Result<()> {
    let args = Args::parse();
    let name = args.settings.display().to_string();
    let text = std::fs::read_to_string(&args.settings)
        .wrap_err_with(|| format!("can't read settings file {name}"))?;
    let settings = AgentSettings::parse(&name, &text)?;
    init_logs(&settings.log_level.to_string())?;
    let client = HttpClient::new(settings.platform, WORKER_TIMEOUT);
    let parts = AgentParts {
        backend: Rc::new(HttpBackend::new(settings.backend, settings.connections)),
        runtime: Rc::new(HttpWorker::new(client, settings.worker.clone())),
        timer: spawn_timer(Arc::new(BootClock)),
        shutdown: Shutdown::on_signal()?,
        settings,
    };
    LocalSet::new().run_until(run_agent(parts)).await
}
