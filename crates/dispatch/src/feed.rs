//! Tasks that follow the changes in the store.

use std::sync::Arc;
use std::time::Duration;

use cumindeck_service::Timer;
use cumindeck_types::Uptime;
use tokio::sync::{mpsc, watch};

use crate::border::{FollowError, RowStore, StoreFailure};
use crate::entry_task::EntryMessage;

/// Maximum time by which the store may reply before the requested wait is over.
const MAX_EARLY_REPLY: Duration = Duration::from_millis(50);

/// Delay before the next call after a failure.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Pause after a reply with changes, unless this entry leads.
///
/// Without it each of the leader's transactions costs a call of every entry. Callers see
/// the end of a job later by at most this time.
const FOLLOWER_PAUSE: Duration = Duration::from_millis(50);

/// Follows the system rows and sends them to the entry task; `leads` is whether this
/// entry leads or is taking over.
pub(crate) async fn follow_rows(
    store: Arc<dyn RowStore>,
    timer: Timer,
    wait: Duration,
    mut leads: watch::Receiver<bool>,
    tx: mpsc::Sender<EntryMessage>,
) {
    let mut after: Option<u64> = None;
    let mut health = FeedHealth::new("rows");
    loop {
        let sent_at = timer.now();
        let result = match after {
            Some(after) => store.follow(after, wait).await,
            None => store.read_all().await.map_err(FollowError::Failed),
        };
        let replied_at = timer.now();
        match result {
            Ok(changes) => {
                health.on_reply();
                let is_complete = after.is_none();
                after = Some(changes.version);
                let is_empty = changes.rows.is_empty();
                let min_wait = min_wait(sent_at, replied_at, wait, is_empty);
                let message = EntryMessage::Rows {
                    confirmed_at: confirmed_at(sent_at, min_wait),
                    replied_at,
                    latency: match is_complete {
                        true => Some(replied_at.since(sent_at)),
                        false => min_wait.map(|min_wait| replied_at.since(sent_at.plus(min_wait))),
                    },
                    changes,
                    is_complete,
                };
                if tx.send(message).await.is_err() {
                    return;
                }
                if !is_empty && !is_complete {
                    // An error means that the entry task has ended, as the next send shows.
                    let leads = leads.wait_for(|leads| *leads);
                    let _ = tokio::time::timeout(FOLLOWER_PAUSE, leads).await;
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

/// Follows the operators' rows and sends them to the entry task.
pub(crate) async fn follow_operator(
    store: Arc<dyn RowStore>,
    timer: Timer,
    wait: Duration,
    tx: mpsc::Sender<EntryMessage>,
) {
    let mut after: Option<u64> = None;
    let mut health = FeedHealth::new("operator");
    loop {
        let sent_at = timer.now();
        let result = match after {
            Some(after) => store.follow_operator(after, wait).await,
            None => store.read_operator().await.map_err(FollowError::Failed),
        };
        match result {
            Ok(changes) => {
                health.on_reply();
                let is_complete = after.is_none();
                after = Some(changes.version);
                let replied_at = timer.now();
                let min_wait = min_wait(sent_at, replied_at, wait, changes.changes.is_empty());
                let message = EntryMessage::Operator {
                    confirmed_at: confirmed_at(sent_at, min_wait),
                    latency: min_wait.map(|min_wait| replied_at.since(sent_at.plus(min_wait))),
                    changes,
                    is_complete,
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

/// Returns how long the store certainly waited before it replied.
///
/// A reply without changes left the store no earlier than the wait less
/// [`MAX_EARLY_REPLY`] after the request; one with changes may have left it immediately.
fn min_wait(
    sent_at: Uptime,
    replied_at: Uptime,
    wait: Duration,
    is_empty: bool,
) -> Option<Duration> {
    (is_empty && replied_at.since(sent_at) >= wait).then(|| wait.saturating_sub(MAX_EARLY_REPLY))
}

/// Returns the latest time at which the view was certainly complete.
fn confirmed_at(sent_at: Uptime, min_wait: Option<Duration>) -> Uptime {
    sent_at.plus(min_wait.unwrap_or_default())
}

/// Whether the store replies to the calls of a feed; logs when that changes.
struct FeedHealth {
    feed: &'static str,
    is_lost: bool,
}

impl FeedHealth {
    const fn new(feed: &'static str) -> Self {
        Self {
            feed,
            is_lost: false,
        }
    }

    fn on_reply(&mut self) {
        if std::mem::take(&mut self.is_lost) {
            tracing::info!(event = "store_back", feed = self.feed);
        }
    }

    async fn on_failure(&mut self, err: &StoreFailure) {
        if !std::mem::replace(&mut self.is_lost, true) {
            tracing::warn!(event = "store_lost", feed = self.feed, error = %err.0);
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}
