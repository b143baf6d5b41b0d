//! The task that owns the connection to the table service.

use std::rc::Rc;

use cumindeck_control::store::{RowVersion, WriteOutcome};
use cumindeck_platform::{Commit, RowVersion as TableVersion, StoreError, TableStore, Transaction};
use cumindeck_service::{Metrics, Timer};
use cumindeck_site::{CommitId, ReadId, RowAction, RowCondition, RowRange, RowWrite, SiteEvent};
use tokio::sync::mpsc;

use crate::row_codec;
use crate::site_task::SiteMessage;

/// Messages to the store task.
pub(crate) enum StoreMessage {
    /// Reads rows; the site task receives [`SiteEvent::Read`].
    Read(ReadId, Vec<RowRange>),
    /// Commits writes; the site task receives [`SiteEvent::Committed`].
    Commit(CommitId, Vec<RowWrite>),
}

/// Executes reads and commits until all senders are dropped.
pub(crate) async fn run_store(
    mut rx: mpsc::UnboundedReceiver<StoreMessage>,
    store: Rc<dyn TableStore>,
    site: mpsc::UnboundedSender<SiteMessage>,
    timer: Timer,
    metrics: Metrics,
) {
    while let Some(message) = rx.recv().await {
        let (store, site) = (store.clone(), site.clone());
        let (timer, metrics) = (timer.clone(), metrics.clone());
        // Calls run concurrently: a slow read must not delay a lease renewal.
        tokio::task::spawn_local(async move {
            let event = match message {
                StoreMessage::Read(id, ranges) => {
                    read(&*store, &timer, &metrics, id, &ranges).await
                }
                StoreMessage::Commit(id, writes) => {
                    let outcome = commit(&*store, &metrics, &writes).await;
                    SiteEvent::Committed(id, outcome)
                }
            };
            let _ = site.send(SiteMessage::Event(event));
        });
    }
}

async fn read(
    store: &dyn TableStore,
    timer: &Timer,
    metrics: &Metrics,
    id: ReadId,
    ranges: &[RowRange],
) -> SiteEvent {
    let sent_at = timer.now();
    let rows = match store.read(&row_codec::ranges(ranges)).await {
        Ok(rows) => {
            metrics.count("store_read", "done");
            let decode = |row| {
                row_codec::decode(row)
                    .inspect_err(|err| tracing::error!(event = "row_skipped", error = %err))
                    .ok()
            };
            Some(rows.iter().filter_map(decode).collect())
        }
        Err(err) => {
            metrics.count("store_read", "failed");
            tracing::warn!(event = "store_read_failed", error = %err);
            None
        }
    };
    SiteEvent::Read { id, sent_at, rows }
}

async fn commit(store: &dyn TableStore, metrics: &Metrics, writes: &[RowWrite]) -> WriteOutcome {
    let (outcome, name) = match store.commit(&transaction(writes)).await {
        Ok(Commit::Applied(version)) => {
            (WriteOutcome::Done(RowVersion::new(version.get())), "done")
        }
        Ok(Commit::Conflict { table, key, .. }) => {
            tracing::info!(event = "store_conflict", table, key);
            (WriteOutcome::Conflict, "conflict")
        }
        // A commit that certainly had no effect is also resolved by a read.
        Err(err @ (StoreError::NotApplied(_) | StoreError::Unknown(_))) => {
            tracing::warn!(event = "store_commit_failed", error = %err);
            (WriteOutcome::Unknown, "unknown")
        }
    };
    metrics.count("store_commit", name);
    outcome
}

fn transaction(writes: &[RowWrite]) -> Transaction {
    let mut transaction = Transaction::default();
    for write in writes {
        let (table, key) = row_codec::key_text(&write.key);
        if let RowCondition::Version(version) = write.condition {
            let expected =
                (version != RowVersion::ABSENT).then(|| TableVersion::new(version.get()));
            transaction = transaction.expect(table, &key, expected);
        }
        transaction = match &write.action {
            RowAction::Check => transaction,
            RowAction::Put(value) => transaction.put(table, &key, row_codec::encode(value)),
            RowAction::Delete => transaction.delete(table, &key),
        };
    }
    transaction
}
