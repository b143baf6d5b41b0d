//! Logs: one line of key=value pairs for each event, on standard error.

use eyre::WrapErr;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::{EnvFilter, Registry};

/// Starts logging with the given filter, such as `info`.
pub fn init_logs(filter: &str) -> eyre::Result<()> {
    let filter = EnvFilter::try_new(filter).wrap_err_with(|| {
        format!("log filter {filter:?} is not valid; expected, for example, info")
    })?;
    let layer = tracing_logfmt::builder().with_target(false).layer();
    let layer = tracing_subscriber::Layer::with_filter(layer, filter);
    Registry::default()
        .with(layer)
        .try_init()
        .wrap_err("logging was already started")
}
