//! Logging: one line of `key=value` pairs per event.

use std::time::Duration;

use eyre::WrapErr;
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::{EnvFilter, Layer, Registry};

/// Flushes queued log lines to standard output when it is dropped.
pub type LogGuard = WorkerGuard;

/// Maximum number of log lines queued for standard output; further lines are dropped.
const MAX_QUEUED_LINES: usize = 2_000;

/// Interval at which an increase in the number of dropped log lines is reported.
const DROPPED_REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// Starts logging to standard output with the given filter, such as `info`.
pub fn init_logs(filter: &str) -> eyre::Result<()> {
    let layer = tracing_logfmt::builder().with_target(false).layer();
    install(layer.with_filter(parse_filter(filter)?))
}

/// Starts logging to standard output through a bounded queue.
///
/// If the reader of standard output stalls, lines that exceed the queue are dropped
/// and counted, so that logging never blocks the process. The returned guard flushes the
/// queue.
pub fn init_logs_on_stdout(filter: &str) -> eyre::Result<LogGuard> {
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAX_QUEUED_LINES)
        .finish(std::io::stdout());
    let dropped = writer.error_counter();
    let layer = tracing_logfmt::builder()
        .with_target(false)
        .layer()
        .with_writer(writer);
    install(layer.with_filter(parse_filter(filter)?))?;
    tokio::spawn(async move {
        let mut reported = 0;
        loop {
            tokio::time::sleep(DROPPED_REPORT_INTERVAL).await;
            let lines = dropped.dropped_lines();
            if lines > reported {
                tracing::warn!(event = "log_lines_dropped", lines);
                reported = lines;
            }
        }
    });
    Ok(guard)
}

fn parse_filter(filter: &str) -> eyre::Result<EnvFilter> {
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
