//! Entry process of the request path and of a site's gangs.
//!
//! The entry that schedules the platform's jobs is `cumindeck-frontend`.

use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use clap::Parser;
use cumindeck_config::EntrySettings;
use cumindeck_entry::{EntryParts, read_token, run_entry};
use cumindeck_platform::{HttpClient, HttpTables, HttpUsage};
use cumindeck_service::{BootClock, Shutdown, init_logs, spawn_timer};
use eyre::WrapErr;
use tokio::task::LocalSet;

/// Maximum wait for a reply of the table service.
///
/// A renewal that is sent 1 s after the last one times out after 2 s of the leader
/// lease of 3 s, so that 1 s is left to read the row back after a lost reply.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Maximum wait for usage reports; a new leader reads all of them.
const USAGE_TIMEOUT: Duration = Duration::from_secs(10);

/// Serves callers and operators and schedules jobs as a leader.
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
    let settings = EntrySettings::parse(&name, &text)?;
    init_logs(&settings.log_level.to_string())?;
    let client = HttpClient::new(settings.platform, STORE_TIMEOUT);
    let usage = HttpClient::new(settings.platform, USAGE_TIMEOUT);
    let parts = EntryParts {
        usage: Rc::new(HttpUsage::new(usage)),
        token: read_token(&settings)?,
        store: Rc::new(HttpTables::new(client)),
        timer: spawn_timer(Arc::new(BootClock)),
        shutdown: Shutdown::on_signal()?,
        settings,
    };
    LocalSet::new().run_until(run_entry(parts)).await
}
