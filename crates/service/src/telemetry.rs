//! Logs: one line of key=value pairs for each event.

use std::time::Duration;

use eyre::WrapErr;
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::{EnvFilter, Layer, Registry};

/// Writes out the lines that wait when it is dropped.
pub type LogGuard = WorkerGuard;

/// Most lines that wait for a reader of standard output; later ones are dropped.
const WAITING_LINES: usize = 2_000;

/// Period in which the number of dropped lines is logged, if it has grown.
const DROPPED_PERIOD: Duration = Duration::from_secs(10);

/// Starts logging on standard error with the given filter, such as `info`.
pub fn init_logs(filter: &str) -> eyre::Result<()> {
    let layer = tracing_logfmt::builder().with_target(false).layer();
    install(layer.with_filter(parse(filter)?))
}

/// Starts logging on standard output through a bounded queue.
///
/// A reader that stops reading never blocks the process; lines that find the
/// queue full are dropped and counted. The guard writes out what waits.
pub fn init_logs_on_stdout(filter: &str) -> eyre::Result<LogGuard> {
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(WAITING_LINES)
        .finish(std::io::stdout());
    let dropped = writer.error_counter();
    let layer = tracing_logfmt::builder()
        .with_target(false)
        .layer()
        .with_writer(writer);
    install(layer.with_filter(parse(filter)?))?;
    tokio::spawn(async move {
        let mut known = 0;
        loop {
            tokio::time::sleep(DROPPED_PERIOD).await;
            let lines = dropped.dropped_lines();
            if lines > known {
                tracing::warn!(event = "log_lines_dropped", lines);
                known = lines;
            }
        }
    });
    Ok(guard)
}

fn parse(filter: &str) -> eyre::Result<EnvFilter> {
    EnvFilter::try_new(filter).wrap_err_with(|| {
        format!("log filter {filter:?} is not valid; expected, for example, info")
    })
}

fn install<L>(layer: L) -> eyre::Result<()>
where
    L: Layer<Registry> + Send + Sync,
{
    Registry::default()
        .with(layer)
        .try_init()
        .wrap_err("logging was already started")
}
