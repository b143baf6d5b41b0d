//! Shutdown: SIGTERM or SIGINT starts the drain.

use eyre::WrapErr;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

/// Tells parts that the process shall stop.
#[derive(Debug, Clone)]
pub struct Shutdown {
    rx: watch::Receiver<bool>,
}

impl Shutdown {
    /// Makes a shutdown that the returned sender starts.
    #[must_use]
    pub fn manual() -> (watch::Sender<bool>, Self) {
        let (tx, rx) = watch::channel(false);
        (tx, Self { rx })
    }

    /// Makes a shutdown that starts with SIGTERM or SIGINT.
    pub fn on_signal() -> eyre::Result<Self> {
        let mut terminate = signal(SignalKind::terminate()).wrap_err("can't watch SIGTERM")?;
        let mut interrupt = signal(SignalKind::interrupt()).wrap_err("can't watch SIGINT")?;
        let (tx, shutdown) = Self::manual();
        tokio::spawn(async move {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
            tracing::info!(event = "drain_started");
            let _ = tx.send(true);
            // Keeps the channel open, so that late subscribers see the value.
            std::future::pending::<()>().await;
        });
        Ok(shutdown)
    }

    /// Waits until the process shall stop.
    pub async fn wait(&mut self) {
        // A closed channel means that the process is gone anyway.
        let _ = self.rx.wait_for(|stop| *stop).await;
    }

    /// Tells whether the process shall stop.
    #[must_use]
    pub fn is_started(&self) -> bool {
        *self.rx.borrow()
    }
}

/// Logs each SIGHUP; settings take effect at the next start.
///
/// Without a handler the signal would end the process.
pub fn spawn_reload_log() -> eyre::Result<()> {
    let mut reload = signal(SignalKind::hangup()).wrap_err("can't watch SIGHUP")?;
    tokio::spawn(async move {
        while reload.recv().await.is_some() {
            tracing::info!(
                event = "reload",
                outcome = "settings apply at the next start"
            );
        }
    });
    Ok(())
}
