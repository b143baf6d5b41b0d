//! What a caller is told about a request that the entry forwards to others.

use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;
use cumindeck_jobs::{CallerAnswer, CallerOperation, CallerRequest, EntryRow, RowKey, StepSpec};
use cumindeck_service::{
    BootClock, Gate, Handler, Metrics, Reply, RequestBody, Shutdown, serve, spawn_timer,
};
use googletest::prelude::*;
use http::{Request, Response};
use http_body_util::Full;
use tokio::net::TcpListener;

use crate::store::{KEY, MemoryStore};
use crate::{Site, TIMEOUT, http_limits, job_id, resources};

/// Another entry that gives each forwarded request the same answer.
struct FixedAnswer(CallerAnswer);

#[async_trait]
impl Handler for FixedAnswer {
    async fn handle(&self, _req: Request<RequestBody>) -> Reply {
        let body = serde_json::to_vec(&self.0).unwrap_or_default();
        Response::new(Full::new(Bytes::from(body)))
    }
}

/// Starts another entry; it stops with the returned sender.
async fn start_peer(answer: CallerAnswer) -> (SocketAddr, tokio::sync::watch::Sender<bool>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (stop, shutdown) = Shutdown::manual();
    let limits = http_limits();
    let metrics = Metrics::new("peer").expect("metrics");
    let gate = Gate::spawn(limits.ingress, spawn_timer(Arc::new(BootClock)), metrics);
    let handler = Arc::new(FixedAnswer(answer));
    tokio::spawn(serve(listener, handler, limits.head, gate, shutdown));
    (address, stop)
}

fn request(verb: CallerOperation) -> CallerRequest {
    CallerRequest {
        host: "letters.example".to_owned(),
        path: format!("/letters/{}", job_id(1)),
        key: Some(KEY.to_owned()),
        verb,
        is_relayed: false,
    }
}

fn submit() -> CallerOperation {
    CallerOperation::Submit {
        payload: "print".to_owned(),
        steps: vec![StepSpec {
            tasks: 1,
            resources: resources(),
            estimate_ms: 1_000,
            ..StepSpec::default()
        }],
        recurrence: None,
    }
}

/// Guards against a caller that is told that its key is unknown although its job is stored
/// and runs: the write had no outcome, and an entry with a later configuration rejected the
/// key (review/7).
#[gtest]
#[tokio::test]
async fn a_job_that_may_be_stored_is_not_rejected() {
    for rejection in [CallerAnswer::BadKey, CallerAnswer::NoQueue] {
        let (peer, _stop) = start_peer(rejection.clone()).await;
        let store = MemoryStore::default();
        let address = EntryRow { address: peer };
        let id = "entry-2".parse().expect("an entry id");
        store.put(RowKey::Entry(id), serde_json::to_vec(&address).ok());
        store.lose_job_replies();
        let mut site = Site::start(store);
        site.report_until_leading().await;
        let callers = site.callers().await;
        let answer = callers.answer(request(submit())).await;
        expect_that!(
            answer,
            matches_pattern!(CallerAnswer::Unknown(_)),
            "after {rejection}"
        );
        expect_that!(site.store.value(&RowKey::Job(job_id(1))), some(anything()));
    }
}

/// Guards against a submission that waits without end for a store that is silent, is refused
/// although another entry records it, or is written by an entry that says "not run".
#[gtest]
#[tokio::test]
async fn a_silent_store_leaves_the_answer_to_the_other_entries() {
    for answer in [
        CallerAnswer::Ok,
        CallerAnswer::not_run("no view of the store"),
    ] {
        let (peer, _stop) = start_peer(answer.clone()).await;
        let store = MemoryStore::default();
        let address = EntryRow { address: peer };
        let id = "entry-2".parse().expect("an entry id");
        store.put(RowKey::Entry(id), serde_json::to_vec(&address).ok());
        let mut site = Site::start(store);
        site.report_until_leading().await;
        site.store.silence();
        let callers = site.callers().await;
        let answered = tokio::time::timeout(TIMEOUT, callers.answer(request(submit()))).await;
        let answered = answered.expect("the wait for the store is bounded");
        expect_that!(answered.name(), eq(answer.name()));
        expect_that!(site.store.value(&RowKey::Job(job_id(1))), none());
    }
}
