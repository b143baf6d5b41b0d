//! An entry whose store drops its history or loses replies: what it learns from the rows
//! that it reads anew, and what it tells callers; and what operators see of a worker.
//!
//! One entry runs with its sockets on loopback; the test plays the store and an agent.

mod observed;
mod relayed;
mod store;

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use cumindeck_dispatch::{CallerApi, EntryParts, HttpLimits, MAX_MESSAGE, run_entry};
use cumindeck_ingress::IngressLimits;
use cumindeck_jobs::{
    AgentReport, EndListing, ExchangeReply, JobProgress, JobRow, JobSpec, LeaderRow, Order,
    PolicySettings, Resources, RowKey, StepSpec, TimeLimits, WorkerIncarnation,
};
use cumindeck_platform::HttpClient;
use cumindeck_service::{
    BootClock, Handler, HeadLimits, Reply, RequestBody, Shutdown, spawn_timer,
};
use cumindeck_types::{AvailabilityZone, ByteSize, FencingToken, Incarnation, JobId};
use googletest::prelude::*;
use http::{Request, Response};
use http_body_util::Full;
use tokio::sync::oneshot;

use store::{Held, MemoryStore};

/// Maximum wait for something that must happen.
const TIMEOUT: Duration = Duration::from_secs(20);

struct EmptyReply;

#[async_trait]
impl Handler for EmptyReply {
    async fn handle(&self, _req: Request<RequestBody>) -> Reply {
        Response::new(Full::new(Bytes::new()))
    }
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    listener.local_addr().expect("an address")
}

fn zone() -> AvailabilityZone {
    "plateau".parse().expect("a zone")
}

fn job_id(number: u64) -> JobId {
    format!("{number:016x}").parse().expect("a job id")
}

fn resources() -> Resources {
    Resources {
        cpu_millis: 1_000,
        memory_mib: 100,
        accelerators: 1,
    }
}

fn job_row() -> Option<Vec<u8>> {
    let row = JobRow {
        spec: JobSpec {
            queue: "letters".to_owned(),
            team: None,
            service: "letters".to_owned(),
            priority: 1,
            max_attempts: 3,
            slack_percent: 300,
            target_ms: 500,
            payload: "print".to_owned(),
            steps: vec![StepSpec {
                tasks: 1,
                resources: resources(),
                estimate_ms: 1_000,
                ..StepSpec::default()
            }],
            recurrence: None,
            needs_tickets: false,
        },
        entry: "entry-0".parse().expect("an entry id"),
        accepted_store_ms: 1,
    };
    serde_json::to_vec(&row).ok()
}

fn limits() -> TimeLimits {
    TimeLimits {
        max_worker_lease: Duration::from_secs(10),
        stop: Duration::from_millis(900),
        key_revocation: Duration::from_secs(5),
        config_in_force: Duration::from_millis(2_500),
        reclaim: Duration::from_millis(3_400),
        job_kept: Duration::from_secs(120),
        remote_percent: 300,
        restore: Duration::from_millis(500),
    }
}

fn http_limits() -> HttpLimits {
    HttpLimits {
        ingress: IngressLimits::new(ByteSize::from_mib(128), None, 10, MAX_MESSAGE)
            .expect("enough memory"),
        head: HeadLimits {
            time: Duration::from_secs(5),
            size: ByteSize::from_kib(8),
            ..HeadLimits::default()
        },
    }
}

/// A running entry with its store, and the agent of one worker with capacity for one task.
struct Site {
    store: Arc<MemoryStore>,
    internal: SocketAddr,
    client: HttpClient,
    sequence: u64,
    /// Tasks that the entry ordered to start.
    started: Vec<String>,
    /// The entry's handling of callers' requests, once it runs.
    callers: Option<oneshot::Receiver<CallerApi>>,
    _stop: tokio::sync::watch::Sender<bool>,
}

impl Site {
    fn start(store: MemoryStore) -> Self {
        let store = Arc::new(store);
        let internal = free_address();
        let client = HttpClient::new(internal, Duration::from_secs(1));
        let (stop, shutdown) = Shutdown::manual();
        let parts = EntryParts {
            entry: "entry-1".parse().expect("an entry id"),
            internal,
            callers: free_address(),
            readiness: free_address(),
            limits: limits(),
            policies: PolicySettings::default(),
            http: http_limits(),
            store: store.clone(),
            adviser: None,
            client: client.clone(),
            timer: spawn_timer(Arc::new(BootClock)),
            shutdown,
        };
        let (tx, callers) = oneshot::channel();
        tokio::spawn(run_entry(
            parts,
            |callers, _| {
                let _ = tx.send(callers);
                Arc::new(EmptyReply)
            },
            |_| Arc::new(EmptyReply),
        ));
        Self {
            store,
            internal,
            client,
            sequence: 0,
            started: Vec::new(),
            callers: Some(callers),
            _stop: stop,
        }
    }

    /// Returns the entry's handling of callers' requests.
    async fn callers(&mut self) -> CallerApi {
        let rx = self.callers.take().expect("it is taken once");
        rx.await.expect("the entry runs")
    }

    /// Reports as the agent, whose worker runs nothing, until the entry has ordered a
    /// start of the job.
    async fn report_until_started(&mut self, job: &JobId) {
        let wanted = format!("{job}.0.0.0");
        let started = async {
            while !self.started.contains(&wanted) {
                self.report().await;
            }
        };
        let result = tokio::time::timeout(TIMEOUT, started).await;
        assert!(
            result.is_ok(),
            "{wanted} was not started, but {:?}",
            self.started
        );
    }

    /// Reports until the entry replies as the leader.
    async fn report_until_leading(&mut self) {
        let leads = async { while !self.report().await.is_some_and(|it| it.is_leader) {} };
        let result = tokio::time::timeout(TIMEOUT, leads).await;
        assert!(result.is_ok(), "the entry does not lead");
    }

    async fn report(&mut self) -> Option<ExchangeReply> {
        self.sequence += 1;
        let report = AgentReport {
            agent: "agent-1".parse().expect("an agent id"),
            incarnation: Incarnation::new(1),
            sequence: self.sequence,
            worker_incarnation: Some(WorkerIncarnation {
                worker: "w-1".parse().expect("a worker id"),
                started_ms: 1,
                service: "letters".to_owned(),
                zone: zone(),
                capacity: resources(),
                labels: Vec::new(),
                is_draining: false,
                leaves_in_ms: None,
            }),
            has_lists: true,
            end_listing: EndListing::Assumed,
            asks_for_incarnation: false,
            has_long_lease: false,
            speeds: Vec::new(),
            runs: Vec::new(),
            ends: Vec::new(),
            wait_ms: 100,
            known_token: FencingToken::new(0),
        };
        let (method, path) = (http::Method::POST, "/v1/agents/report");
        let reply: Option<ExchangeReply> = self.client.json(method, path, &report).await.ok();
        match &reply {
            Some(reply) => {
                let starts = reply.orders.iter().filter_map(|order| match order {
                    Order::Start { task, .. } => Some(task.to_string()),
                    Order::Stop { .. } => None,
                });
                self.started.extend(starts);
            }
            // The entry does not listen yet.
            None => tokio::time::sleep(Duration::from_millis(20)).await,
        }
        reply
    }
}

/// Guards against a zone that stays closed for good: its evacuation ended while the store
/// dropped its history, so that no feed showed the end (review/4).
#[tokio::test]
async fn an_evacuation_that_ended_unseen_is_over() {
    let store = MemoryStore::default();
    store.evacuate(&zone(), true);
    let mut site = Site::start(store);
    site.report_until_leading().await;
    site.store.deafen();
    site.store.evacuate(&zone(), false);
    site.store.put(RowKey::Job(job_id(1)), job_row());
    site.store.drop_history();
    site.report_until_started(&job_id(1)).await;
}

/// Guards against a cancelled job that runs whole: it was submitted and cancelled while the
/// store dropped its history, and its cancel is read before the job (review/5).
#[gtest]
#[tokio::test]
async fn a_job_that_was_cancelled_unseen_does_not_run() {
    let mut site = Site::start(MemoryStore::default());
    site.report_until_leading().await;
    site.store.deafen();
    let (cancelled, later) = (job_id(1), job_id(2));
    site.store.put(RowKey::Job(cancelled.clone()), job_row());
    let cancel = Some(b"{\"team\":null}".to_vec());
    site.store.put(RowKey::Cancel(cancelled.clone()), cancel);
    site.store.drop_history();
    site.store.put(RowKey::Job(later.clone()), job_row());
    site.report_until_started(&later).await;
    expect_that!(site.started, each(starts_with("0000000000000002")));
    let progress = site.store.value(&RowKey::Progress(cancelled));
    let progress: JobProgress = serde_json::from_slice(&progress.unwrap_or_default())
        .expect("the leader records the cancel");
    expect_true!(progress.is_cancelled);
}

impl Site {
    /// Writes the leader row that another entry writes when it takes over or steps down.
    fn put_leader(&self, leader: Option<&str>) {
        let row = self.store.value(&RowKey::Leader).expect("a leader row");
        let row: LeaderRow = serde_json::from_slice(&row).expect("a leader row");
        let row = LeaderRow {
            leader: leader.map(|leader| leader.parse().expect("an entry id")),
            address: None,
            token: FencingToken::new(row.token.get() + u64::from(leader.is_some())),
            commit: row.commit + 1,
            doubted: row.doubted,
            workers_since: row.workers_since,
            forecast: row.forecast,
        };
        let row = serde_json::to_vec(&row).expect("a row is valid JSON");
        self.store.put(RowKey::Leader, Some(row));
    }

    /// Reports until the entry has sent the transaction that the store holds.
    async fn report_until_held(&mut self) {
        let is_held = async {
            while self.store.awaits_transaction() {
                self.report().await;
            }
        };
        let result = tokio::time::timeout(TIMEOUT, is_held).await;
        assert!(result.is_ok(), "the entry has sent no transaction");
    }
}

/// Guards against a start that is ordered before it is recorded, and against a leader that
/// steps down for no reason: the outcome of a transaction comes after the entry has lost the
/// leadership and taken it over again.
#[gtest]
#[tokio::test]
async fn an_outcome_of_a_former_leadership_is_ignored() {
    let mut site = Site::start(MemoryStore::default());
    site.report_until_leading().await;
    let former_reply = site.store.hold_next(Held::Reply);
    site.report_until_held().await;
    site.put_leader(Some("entry-2"));
    let is_led = async { while site.report().await.is_none_or(|it| it.is_leader) {} };
    let result = tokio::time::timeout(TIMEOUT, is_led).await;
    assert!(result.is_ok(), "the entry still leads");
    site.put_leader(None);
    site.report_until_leading().await;

    site.store.put(RowKey::Job(job_id(1)), job_row());
    let call = site.store.hold_next(Held::Call);
    site.report_until_held().await;
    drop(former_reply);
    for _ in 0..5 {
        let reply = site.report().await.expect("a reply");
        expect_true!(reply.is_leader);
    }
    expect_that!(site.started, is_empty());
    drop(call);
    site.report_until_started(&job_id(1)).await;
}
