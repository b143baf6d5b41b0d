//! Starts an entry's tasks and stops them in order.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cumindeck_jobs::{
    Change, Condition, EntryRow, LeaderWatch, PolicySettings, RowKey, RowName, StoreResult,
    TimeLimits, Transaction,
};
use cumindeck_platform::HttpClient;
use cumindeck_service::{Gate, Handler, Metrics, Readiness, Shutdown, Timer, bind, serve};
use cumindeck_types::EntryId;
use tokio::sync::{mpsc, oneshot, watch};

use crate::border::{Adviser, RowStore};
use crate::calls::CallerApi;
use crate::entry_task::{
    ENTRY_CHANNEL_CAPACITY, EntryHandle, EntryMessage, EntryTask, EntryTaskParts,
};
use crate::feed::{follow_operator, follow_rows};
use crate::http::{HttpLimits, internal_head};
use crate::peers::{PeerHandler, shared};

/// Time for which a stopping entry still accepts connections.
///
/// The load balancer probes each second and sends connections until two probes failed.
const LEAVING_GRACE: Duration = Duration::from_millis(2_500);

/// Maximum wait after that for requests in flight.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Delay before the entry's row is written again; also the maximum wait for the release
/// of leadership at the end.
const REGISTER_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Settings, clients and timers of an entry, consumed by [`run_entry`].
pub struct EntryParts {
    /// Id under which the entry registers in the store.
    pub entry: EntryId,
    /// Address at which other processes of the system reach it.
    pub internal: SocketAddr,
    /// Address at which callers reach it.
    pub callers: SocketAddr,
    /// Address for readiness probes.
    pub readiness: SocketAddr,
    /// Time limits, derived from the bounds of the deployment.
    pub limits: TimeLimits,
    /// Policies of the scheduler.
    pub policies: PolicySettings,
    /// Limits on requests and connections.
    pub http: HttpLimits,
    /// The platform's table service.
    pub store: Arc<dyn RowStore>,
    /// Advises on workers, if the platform has such a service.
    pub adviser: Option<Arc<dyn Adviser>>,
    /// Client for calls to other processes.
    pub client: HttpClient,
    /// Clock and timers of the process.
    pub timer: Timer,
    /// Signals when to stop.
    pub shutdown: Shutdown,
}

/// Runs an entry until its shutdown and the end of its drain.
///
/// `front` creates the handler of callers' requests, `ready` that of readiness probes.
pub async fn run_entry(
    parts: EntryParts,
    front: impl FnOnce(CallerApi, Shutdown) -> Arc<dyn Handler>,
    ready: impl FnOnce(Readiness) -> Arc<dyn Handler>,
) -> eyre::Result<()> {
    let internal = bind("other processes", parts.internal).await?;
    let callers = bind("callers", parts.callers).await?;
    let probes = bind("readiness", parts.readiness).await?;
    let metrics = Metrics::new("entry")?;
    let readiness = Readiness::default();
    let gate = Gate::spawn(parts.http.ingress, parts.timer.clone(), metrics.clone());
    let (tx, rx) = mpsc::channel(ENTRY_CHANNEL_CAPACITY);
    let (leads_tx, leads) = watch::channel(false);
    let task = EntryTask::new(EntryTaskParts {
        entry: parts.entry.clone(),
        internal: parts.internal,
        client: parts.client.clone(),
        limits: parts.limits.clone(),
        policies: parts.policies,
        watch: LeaderWatch::new(parts.entry.clone(), parts.internal),
        store: parts.store.clone(),
        adviser: parts.adviser,
        timer: parts.timer.clone(),
        readiness: readiness.clone(),
        metrics: metrics.clone(),
        leads: leads_tx,
        tx: tx.clone(),
    });
    tokio::spawn(task.run(rx));
    tokio::spawn(follow_rows(
        parts.store.clone(),
        parts.timer.clone(),
        parts.limits.feed_wait(),
        leads,
        tx.clone(),
    ));
    tokio::spawn(follow_operator(
        parts.store.clone(),
        parts.timer.clone(),
        parts.limits.feed_wait(),
        tx.clone(),
    ));
    tokio::spawn(register(
        parts.store.clone(),
        parts.entry.clone(),
        parts.internal,
    ));
    let task = EntryHandle(tx);
    let caller_api = CallerApi::new(
        task.clone(),
        parts.store,
        parts.client,
        parts.timer,
        metrics.clone(),
    );
    let peers = shared(PeerHandler {
        task: task.clone(),
        caller_api: caller_api.clone(),
        metrics,
    });
    let mut shutdown = parts.shutdown;
    let (stop, stopped) = Shutdown::manual();
    let head = parts.http.head;
    tokio::spawn(serve(
        internal,
        peers,
        internal_head(head),
        gate.clone(),
        stopped.clone(),
    ));
    tokio::spawn(serve(
        probes,
        ready(readiness.clone()),
        head,
        gate.clone(),
        stopped.clone(),
    ));
    let front = front(caller_api, shutdown.clone());
    let callers = tokio::spawn(serve(callers, front, head, gate, stopped));
    tracing::info!(event = "started", entry = %parts.entry, internal = %parts.internal);

    shutdown.wait().await;
    tracing::info!(event = "stopping", entry = %parts.entry);
    readiness.drain();
    let (done, released) = oneshot::channel();
    task.send(EntryMessage::Shutdown(done)).await;
    tokio::time::sleep(LEAVING_GRACE).await;
    let _ = stop.send(true);
    if tokio::time::timeout(DRAIN_TIMEOUT, callers).await.is_err() {
        tracing::warn!(event = "callers_cut_off", limit = ?DRAIN_TIMEOUT);
    }
    if tokio::time::timeout(REGISTER_RETRY_DELAY, released)
        .await
        .is_err()
    {
        tracing::warn!(event = "duty_release_unknown");
    }
    tracing::info!(event = "stopped", entry = %parts.entry);
    Ok(())
}

/// Writes the entry's address into the store, with retries until it is there.
async fn register(store: Arc<dyn RowStore>, entry: EntryId, address: SocketAddr) {
    let key = RowKey::Entry(entry);
    let Ok(value) = serde_json::to_vec(&EntryRow { address }) else {
        return;
    };
    let mut version = 0;
    loop {
        let transaction = Transaction {
            conditions: vec![Condition {
                name: RowName::System(key.clone()),
                version,
            }],
            changes: vec![Change {
                key: key.clone(),
                value: Some(value.clone()),
            }],
        };
        match store.transact(&transaction).await {
            StoreResult::Done { .. } => return,
            StoreResult::Conflict(rows) => {
                let same = rows.iter().any(|row| row.value.as_ref() == Some(&value));
                if same {
                    return;
                }
                version = rows.first().map_or(0, |row| row.version);
            }
            StoreResult::Rows(_)
            | StoreResult::NotDone(_)
            | StoreResult::Refused(_)
            | StoreResult::Unknown(_) => {
                tokio::time::sleep(REGISTER_RETRY_DELAY).await;
            }
        }
    }
}
