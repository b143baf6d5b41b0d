//! Tasks that follow the store.

use std::sync::Arc;
use std::time::Duration;

use cumindeck_service::Timer;
use cumindeck_types::Uptime;
use tokio::sync::mpsc;

use crate::border::{FollowError, RowStore, StoreFailure};
use crate::entry_task::EntryMessage;

/// Most by which the store's wait may be short.
const WAIT_ERROR: Duration = Duration::from_millis(50);

/// Pause after a call that failed.
const FAILURE_PAUSE: Duration = Duration::from_millis(150);

/// Follows the system's rows and tells the entry task of them.
pub(crate) async fn follow_rows(
    store: Arc<dyn RowStore>,
    timer: Timer,
    wait: Duration,
    tx: mpsc::Sender<EntryMessage>,
) {
    let mut after: Option<u64> = None;
    let mut health = Health::new("rows");
    loop {
        let asked = timer.now();
        let result = match after {
            Some(after) => store.follow(after, wait).await,
            None => store.read_all().await.map_err(FollowError::Failed),
        };
        let answered = timer.now();
        match result {
            Ok(changes) => {
                health.on_answer();
                let is_complete = after.is_none();
                after = Some(changes.version);
                let waited = waited(asked, answered, wait, changes.rows.is_empty());
                let message = EntryMessage::Rows {
                    confirmed: confirmed(asked, waited),
                    answered,
                    answer_time: match is_complete {
                        true => Some(answered.since(asked)),
                        false => waited.map(|waited| answered.since(asked.plus(waited))),
                    },
                    changes,
                    is_complete,
                };
                if tx.send(message).await.is_err() {
                    return;
                }
            }
            Err(FollowError::HistoryGone) => {
                tracing::info!(event = "history_gone", feed = "rows", after);
                after = None;
            }
            Err(FollowError::Failed(err)) => health.on_failure(&err).await,
        }
    }
}

/// Follows the operator's rows and tells the entry task of them.
pub(crate) async fn follow_operator(
    store: Arc<dyn RowStore>,
    timer: Timer,
    wait: Duration,
    tx: mpsc::Sender<EntryMessage>,
) {
    let mut after: Option<u64> = None;
    let mut health = Health::new("operator");
    loop {
        let asked = timer.now();
        let result = match after {
            Some(after) => store.follow_operator(after, wait).await,
            None => store.read_operator().await.map_err(FollowError::Failed),
        };
        match result {
            Ok(changes) => {
                health.on_answer();
                after = Some(changes.version);
                let answered = timer.now();
                let waited = waited(asked, answered, wait, changes.changes.is_empty());
                let message = EntryMessage::Operator {
                    confirmed: confirmed(asked, waited),
                    answer_time: waited.map(|waited| answered.since(asked.plus(waited))),
                    changes,
                };
                if tx.send(message).await.is_err() {
                    return;
                }
            }
            Err(FollowError::HistoryGone) => {
                tracing::info!(event = "history_gone", feed = "operator", after);
                after = None;
            }
            Err(FollowError::Failed(err)) => health.on_failure(&err).await,
        }
    }
}

/// Returns how long the store certainly waited before it answered.
///
/// An answer without changes left the store no earlier than the whole wait
/// after the question; one with changes may have left it at once.
fn waited(asked: Uptime, answered: Uptime, wait: Duration, is_empty: bool) -> Option<Duration> {
    (is_empty && answered.since(asked) >= wait).then(|| wait.saturating_sub(WAIT_ERROR))
}

/// Returns the latest time at which the view was certainly complete.
fn confirmed(asked: Uptime, waited: Option<Duration>) -> Uptime {
    asked.plus(waited.unwrap_or_default())
}

/// Whether a feed is answered; logs each change once.
struct Health {
    feed: &'static str,
    is_lost: bool,
}

impl Health {
    const fn new(feed: &'static str) -> Self {
        Self {
            feed,
            is_lost: false,
        }
    }

    fn on_answer(&mut self) {
        if std::mem::take(&mut self.is_lost) {
            tracing::info!(event = "store_back", feed = self.feed);
        }
    }

    async fn on_failure(&mut self, err: &StoreFailure) {
        if !std::mem::replace(&mut self.is_lost, true) {
            tracing::warn!(event = "store_lost", feed = self.feed, error = %err.0);
        }
        tokio::time::sleep(FAILURE_PAUSE).await;
    }
}
