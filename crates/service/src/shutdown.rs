//! Shutdown on SIGTERM or SIGINT, and logging of SIGHUP.

use eyre::WrapErr;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

/// A signal to the tasks of a process that it is to shut down.
#[derive(Debug, Clone)]
pub struct Shutdown {
    rx: watch::Receiver<bool>,
}

impl Shutdown {
    /// Returns a sender and a signal of the shutdown, which starts when `true` is sent.
    #[must_use]
    pub fn manual() -> (watch::Sender<bool>, Self) {
        let (tx, rx) = watch::channel(false);
        (tx, Self { rx })
    }

    /// Returns the signal of a shutdown that starts on SIGTERM or SIGINT.
    pub fn on_signal() -> eyre::Result<Self> {
        let mut terminate =
            signal(SignalKind::terminate()).wrap_err("can't install a handler for SIGTERM")?;
        let mut interrupt =
            signal(SignalKind::interrupt()).wrap_err("can't install a handler for SIGINT")?;
        let (tx, shutdown) = Self::manual();
        tokio::spawn(async move {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
            tracing::info!(event = "drain_started");
            let _ = tx.send(true);
            // Keeps the channel open, so that later receivers still see the value.
            std::future::pending::<()>().await;
        });
        Ok(shutdown)
    }

    /// Waits until the shutdown has started.
    pub async fn wait(&mut self) {
        // A dropped sender counts as a shutdown, since the process is exiting.
        let _ = self.rx.wait_for(|stop| *stop).await;
    }

    /// Returns whether the shutdown has started.
    #[must_use]
    pub fn is_started(&self) -> bool {
        *self.rx.borrow()
    }
}

/// Logs each SIGHUP; settings take effect at the next start.
///
/// Without a handler, the signal would terminate the process.
pub fn spawn_sighup_logger() -> eyre::Result<()> {
    let mut hangup = signal(SignalKind::hangup()).wrap_err("can't install a handler for SIGHUP")?;
    tokio::spawn(async move {
        while hangup.recv().await.is_some() {
            tracing::info!(
                event = "reload",
                outcome = "settings apply at the next start"
            );
        }
    });
    Ok(())
}
