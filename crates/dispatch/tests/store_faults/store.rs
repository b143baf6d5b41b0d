//! A table service in memory whose feeds can stop, whose history can be dropped and whose
//! replies can be lost.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use cumindeck_dispatch::{
    FollowError, OperatorChange, OperatorChanges, RowChanges, RowStore, StoreFailure,
};
use cumindeck_jobs::{
    Catalog, Change, Queue, RowKey, RowName, StoreResult, StoreRow, Team, Transaction,
};
use cumindeck_types::{AvailabilityZone, ConfigVersion, JobId};
use tokio::sync::{Notify, oneshot};
use tokio::time::Instant;

#[derive(Default)]
struct Rows {
    /// Version and value of the system's rows.
    system: BTreeMap<RowKey, (u64, Vec<u8>)>,
    /// Zones that the operator evacuates, with the versions of their rows.
    evacuated: BTreeMap<AvailabilityZone, u64>,
    /// Changes of the system's and of the operator's rows.
    log: Vec<(u64, RowKey)>,
    operator_log: Vec<(u64, AvailabilityZone)>,
    version: u64,
    /// Changes up to this version are no longer kept.
    dropped_up_to: u64,
    /// Whether feeds show no changes.
    is_deaf: bool,
    /// Whether the replies to writes of jobs are lost.
    loses_job_replies: bool,
    /// Whether reads of jobs get no reply.
    is_silent: bool,
    /// What the next transaction waits with, and until when.
    hold: Option<(Held, oneshot::Receiver<()>)>,
}

/// Part of a transaction that waits.
#[derive(Clone, Copy)]
pub enum Held {
    /// The transaction is not applied yet.
    Call,
    /// The transaction is applied, but its reply is late.
    Reply,
}

/// The table service.
#[derive(Default)]
pub struct MemoryStore {
    rows: Mutex<Rows>,
    changed: Notify,
}

impl MemoryStore {
    /// Lets the feeds show no changes until [`MemoryStore::drop_history`].
    pub fn deafen(&self) {
        self.lock().is_deaf = true;
    }

    /// Drops the history; the feeds' next replies say so.
    pub fn drop_history(&self) {
        let mut rows = self.lock();
        rows.is_deaf = false;
        rows.version += 1;
        rows.dropped_up_to = rows.version;
        drop(rows);
        self.changed.notify_waiters();
    }

    /// Lets writes of jobs take effect without a reply.
    pub fn lose_job_replies(&self) {
        self.lock().loses_job_replies = true;
    }

    /// Lets reads of jobs wait without a reply.
    pub fn silence(&self) {
        self.lock().is_silent = true;
    }

    /// Lets the next transaction wait until the returned sender is used or dropped.
    pub fn hold_next(&self, held: Held) -> oneshot::Sender<()> {
        let (tx, rx) = oneshot::channel();
        self.lock().hold = Some((held, rx));
        tx
    }

    /// Returns whether no transaction has come since the last one was to be held.
    pub fn awaits_transaction(&self) -> bool {
        self.lock().hold.is_some()
    }

    /// Starts or ends the evacuation of a zone.
    pub fn evacuate(&self, zone: &AvailabilityZone, is_evacuated: bool) {
        let mut rows = self.lock();
        rows.version += 1;
        let version = rows.version;
        match is_evacuated {
            true => rows.evacuated.insert(zone.clone(), version),
            false => rows.evacuated.remove(zone),
        };
        rows.operator_log.push((version, zone.clone()));
        drop(rows);
        self.changed.notify_waiters();
    }

    /// Writes a row of the system, or removes it.
    pub fn put(&self, key: RowKey, value: Option<Vec<u8>>) {
        let mut rows = self.lock();
        rows.version += 1;
        rows.put(key, value);
        drop(rows);
        self.changed.notify_waiters();
    }

    /// Returns the value of a row.
    pub fn value(&self, key: &RowKey) -> Option<Vec<u8>> {
        let rows = self.lock();
        rows.system.get(key).map(|(_, value)| value.clone())
    }

    fn lock(&self) -> MutexGuard<'_, Rows> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until `read` returns rows, the history is gone, or the wait is over.
    async fn wait<T>(
        &self,
        after: u64,
        wait: Duration,
        read: impl Fn(&Rows) -> Option<T>,
    ) -> Result<Option<T>, FollowError> {
        let until = Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            {
                let rows = self.lock();
                if after < rows.dropped_up_to && !rows.is_deaf {
                    return Err(FollowError::HistoryGone);
                }
                let found = Some(&*rows).filter(|rows| !rows.is_deaf).and_then(&read);
                if found.is_some() || Instant::now() >= until {
                    return Ok(found);
                }
            }
            // The wait ends with a change or with the time; both are checked above.
            let _ = tokio::time::timeout_at(until, changed).await;
        }
    }
}

impl Rows {
    /// Writes a row under the current version, which all rows of a transaction share.
    fn put(&mut self, key: RowKey, value: Option<Vec<u8>>) {
        let version = self.version;
        match value {
            Some(value) => self.system.insert(key.clone(), (version, value)),
            None => self.system.remove(&key),
        };
        self.log.push((version, key));
    }

    fn row(&self, key: &RowKey) -> StoreRow {
        let row = self.system.get(key);
        StoreRow {
            name: RowName::System(key.clone()),
            version: row.map_or(0, |(version, _)| *version),
            value: row.map(|(_, value)| value.clone()),
        }
    }

    /// Returns the version of a row; 0 if it does not exist.
    fn row_version(&self, name: &RowName) -> u64 {
        match name {
            RowName::Config => catalog().row_version,
            RowName::Evacuation(zone) => self.evacuated.get(zone).copied().unwrap_or(0),
            RowName::System(key) => self.row(key).version,
        }
    }

    fn changes(&self, rows: Vec<StoreRow>) -> RowChanges {
        RowChanges {
            rows,
            version: self.version,
            store_ms: 1,
        }
    }
}

impl MemoryStore {
    fn apply(&self, transaction: &Transaction) -> StoreResult {
        let mut rows = self.lock();
        let is_job = |change: &Change| matches!(change.key, RowKey::Job(_));
        let is_lost = rows.loses_job_replies && transaction.changes.iter().any(is_job);
        let is_met = transaction
            .conditions
            .iter()
            .all(|condition| rows.row_version(&condition.name) == condition.version);
        if !is_met {
            let names = transaction
                .conditions
                .iter()
                .map(|condition| &condition.name);
            let current = names.map(|name| match name {
                RowName::System(key) => rows.row(key),
                RowName::Config | RowName::Evacuation(_) => StoreRow {
                    name: name.clone(),
                    version: rows.row_version(name),
                    value: (rows.row_version(name) > 0).then(Vec::new),
                },
            });
            return match is_lost {
                true => StoreResult::Unknown("no reply".to_owned()),
                false => StoreResult::Conflict(current.collect()),
            };
        }
        rows.version += 1;
        for change in &transaction.changes {
            rows.put(change.key.clone(), change.value.clone());
        }
        let version = rows.version;
        drop(rows);
        self.changed.notify_waiters();
        match is_lost {
            true => StoreResult::Unknown("no reply".to_owned()),
            false => StoreResult::Done { version },
        }
    }
}

#[async_trait]
impl RowStore for MemoryStore {
    async fn transact(&self, transaction: &Transaction) -> StoreResult {
        let held = self.lock().hold.take();
        let Some((held, released)) = held else {
            return self.apply(transaction);
        };
        // A test that ends drops the sender, which releases the transaction as well.
        match held {
            Held::Reply => {
                let result = self.apply(transaction);
                let _ = released.await;
                result
            }
            Held::Call => {
                let _ = released.await;
                self.apply(transaction)
            }
        }
    }

    async fn read_all(&self) -> Result<RowChanges, StoreFailure> {
        let rows = self.lock();
        // In the order of the keys' texts, as the platform's table service returns them.
        let mut all: Vec<&RowKey> = rows.system.keys().collect();
        all.sort_by_key(|key| key.text());
        Ok(rows.changes(all.into_iter().map(|key| rows.row(key)).collect()))
    }

    async fn read_members(&self) -> Result<RowChanges, StoreFailure> {
        self.read_all().await
    }

    async fn read_job(&self, job: &JobId) -> Result<RowChanges, StoreFailure> {
        let is_silent = self.lock().is_silent;
        if is_silent {
            std::future::pending::<()>().await;
        }
        let rows = self.lock();
        let keys = [
            RowKey::Job(job.clone()),
            RowKey::Progress(job.clone()),
            RowKey::Cancel(job.clone()),
        ];
        let known = keys.iter().filter(|key| rows.system.contains_key(key));
        Ok(rows.changes(known.map(|key| rows.row(key)).collect()))
    }

    async fn follow(&self, after: u64, wait: Duration) -> Result<RowChanges, FollowError> {
        let changed = self
            .wait(after, wait, |rows| {
                let new = rows.log.iter().filter(|(version, _)| *version > after);
                let new: Vec<StoreRow> = new.map(|(_, key)| rows.row(key)).collect();
                (!new.is_empty()).then(|| rows.changes(new))
            })
            .await?;
        Ok(changed.unwrap_or_else(|| RowChanges {
            version: after,
            store_ms: 1,
            rows: Vec::new(),
        }))
    }

    async fn read_operator(&self) -> Result<OperatorChanges, StoreFailure> {
        let rows = self.lock();
        let mut changes = vec![OperatorChange::Catalog(Box::new(catalog()))];
        let evacuated = rows.evacuated.keys().cloned();
        changes.extend(evacuated.map(|zone| OperatorChange::Evacuation {
            zone,
            is_evacuated: true,
        }));
        Ok(OperatorChanges {
            changes,
            version: rows.version,
        })
    }

    async fn follow_operator(
        &self,
        after: u64,
        wait: Duration,
    ) -> Result<OperatorChanges, FollowError> {
        let changed = self
            .wait(after, wait, |rows| {
                let log = rows.operator_log.iter();
                let new = log.filter(|(version, _)| *version > after);
                let changes: Vec<OperatorChange> = new
                    .map(|(_, zone)| OperatorChange::Evacuation {
                        zone: zone.clone(),
                        is_evacuated: rows.evacuated.contains_key(zone),
                    })
                    .collect();
                let version = rows.version;
                (!changes.is_empty()).then_some(OperatorChanges { changes, version })
            })
            .await?;
        Ok(changed.unwrap_or_else(|| OperatorChanges {
            changes: Vec::new(),
            version: after,
        }))
    }
}

/// API key of the only team.
pub const KEY: &str = "key-1";

/// The configuration, which does not change: one queue and one team.
pub fn catalog() -> Catalog {
    Catalog {
        version: ConfigVersion::new(1),
        row_version: 1,
        queues: vec![Queue {
            name: "letters".to_owned(),
            host: "letters.example".to_owned(),
            prefix: "/letters/".to_owned(),
            service: "letters".to_owned(),
            priority: 1,
            max_attempts: 3,
            slack_percent: 300,
            target_ms: 500,
            needs_tickets: false,
            is_anonymous: false,
        }],
        teams: vec![Team {
            id: "stalls".parse().expect("a team"),
            keys: [KEY.to_owned()].into(),
            guaranteed: 0,
        }],
    }
}
