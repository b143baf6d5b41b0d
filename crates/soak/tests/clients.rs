//! Clients outside the limits at the processes that run the platform's jobs.
//!
//! A test checks what does not depend on the machine's speed: that the process lives,
//! that its memory and descriptors stay under a bound, and that it answers a request.

use std::net::SocketAddr;
use std::time::Duration;

use cumindeck_e2e::{Crowd, Load, Process, Response, Target, Usage, wait_for};
use cumindeck_soak::{Site, SiteOptions};
use googletest::prelude::*;
use rustix::process::Signal;
use serde_json::json;

/// Descriptors of each process in its settings; 400 of them are reserved, so that a
/// listener has 200 connections.
const DESCRIPTORS: usize = 600;

/// Memory of each process's machine in its settings, in MB.
const MEMORY_MB: u64 = 32;

/// Number of connections of a crowd, more than a listener may have.
const CROWD: usize = 240;

/// Number of connections that send chunks of one byte, each of which costs the process
/// more than a connection of another kind.
const BYTE_CHUNK_CROWD: usize = 24;

/// Largest allowed growth of a process's resident memory over its rest value, in KiB.
const MAX_GROWTH_KIB: u64 = 16 * 1024;

/// Largest legal size of a caller's body in bytes.
const CALLER_BODY_BYTES: usize = 262_144;

/// Largest legal size of a message between processes in bytes.
const MESSAGE_BYTES: usize = 1_048_576;

/// Largest legal size of the body of a worker's call in bytes.
const WORKER_BODY_BYTES: usize = 65_536;

/// Maximum wait for the answer to a request after the crowd has left.
const CALM_LIMIT: Duration = Duration::from_secs(30);

/// Maximum wait for the end of a process that was told to stop.
const STOP_LIMIT: Duration = Duration::from_secs(60);

/// A listener of a process of the site.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Listener {
    Callers,
    Readiness,
    EntryInternal,
    WorkerCalls,
    AgentInternal,
}

/// A request that the process has to answer, and the expected status.
struct Probe {
    method: &'static str,
    path: String,
    headers: Vec<(&'static str, &'static str)>,
    body: String,
    status: u16,
}

impl Probe {
    fn read(path: &str) -> Self {
        Self {
            method: "GET",
            path: path.to_owned(),
            headers: Vec::new(),
            body: String::new(),
            status: 200,
        }
    }

    /// Pads the body with blanks to the largest legal size.
    fn padded(mut self, bytes: usize) -> Self {
        let blanks = bytes - self.body.len();
        self.body.push_str(&" ".repeat(blanks));
        self
    }
}

impl Listener {
    fn address(self, site: &Site) -> SocketAddr {
        match self {
            Self::Callers => site.callers()[0],
            Self::Readiness => site.readiness()[0],
            Self::EntryInternal => site.internal()[0],
            Self::WorkerCalls => site.heartbeats()[0],
            Self::AgentInternal => site.internal()[1],
        }
    }

    fn process(self, site: &Site) -> Option<&Process> {
        match self {
            Self::Callers | Self::Readiness | Self::EntryInternal => site.entries[0].process(),
            Self::WorkerCalls | Self::AgentInternal => site.agents[0].process(),
        }
    }

    fn target(self, site: &Site) -> Target {
        let (write, read, body_bytes) = match self {
            Self::Callers => (
                "POST /letters/00000000000000ff",
                "/letters/",
                CALLER_BODY_BYTES,
            ),
            Self::Readiness => ("POST /readyz", "/readyz", CALLER_BODY_BYTES),
            Self::EntryInternal => ("POST /v1/agents/report", "/metrics", MESSAGE_BYTES),
            Self::WorkerCalls => ("PUT /instances/w-9", "/instances/w-9", WORKER_BODY_BYTES),
            Self::AgentInternal => ("POST /metrics", "/metrics", CALLER_BODY_BYTES),
        };
        Target {
            address: self.address(site),
            write: write.to_owned(),
            read: read.to_owned(),
            headers: "host: soak.example\r\nauthorization: Bearer soak-key\r\n".to_owned(),
            body_bytes,
        }
    }

    /// Returns a request as ordinary clients send it; jobs have the given id.
    fn probe(self, site: &Site, id: &str) -> Probe {
        match self {
            Self::Callers => Probe {
                method: "POST",
                path: format!("/letters/{id}"),
                headers: vec![
                    ("host", "soak.example"),
                    ("authorization", "Bearer soak-key"),
                ],
                body: json!({ "taskSpec": "x", "steps": [{ "count": 1, "cpu": 100 }] }).to_string(),
                status: 200,
            },
            Self::Readiness => Probe::read("/readyz"),
            Self::AgentInternal => Probe::read("/metrics"),
            // An offer of a leader that is none is not accepted.
            Self::EntryInternal => Probe {
                method: "POST",
                body: "0".to_owned(),
                status: 409,
                ..Probe::read("/v1/duty/offer")
            },
            Self::WorkerCalls => Probe {
                method: "PUT",
                body: json!({
                    "service": "letters",
                    "zone": "plateau",
                    "state": "ready",
                    "capacity": { "cpu": 4_000, "memMb": 4_000, "gpu": 4 },
                    "born": site.worker_started_ms(0),
                })
                .to_string(),
                ..Probe::read("/instances/w-0")
            },
        }
    }

    /// Returns a request with a body of the largest legal size; `None` if the listener
    /// reads no bodies.
    fn largest_probe(self, site: &Site, id: &str) -> Option<Probe> {
        let bytes = match self {
            Self::Callers => CALLER_BODY_BYTES,
            Self::EntryInternal => MESSAGE_BYTES,
            Self::WorkerCalls => WORKER_BODY_BYTES,
            Self::Readiness | Self::AgentInternal => return None,
        };
        Some(self.probe(site, id).padded(bytes))
    }
}

async fn call(site: &Site, address: SocketAddr, probe: &Probe) -> eyre::Result<Response> {
    site.client()
        .call(
            probe.method,
            address,
            &probe.path,
            &probe.headers,
            probe.body.clone(),
        )
        .await
}

fn usage(listener: Listener, site: &Site) -> eyre::Result<Usage> {
    let process = listener.process(site);
    process
        .ok_or_else(|| eyre::eyre!("the process was killed"))?
        .usage()
}

async fn check(listener: Listener, load: Load) -> eyre::Result<()> {
    let site = Site::start(SiteOptions {
        entries: 1,
        workers: 1,
        descriptors: DESCRIPTORS,
        memory_mb: MEMORY_MB,
        ..SiteOptions::default()
    })
    .await?;
    let address = listener.address(&site);
    let probe = listener.probe(&site, "0000000000000001");
    let started = wait_for("the listener", CALM_LIMIT, async || {
        let response = call(&site, address, &probe).await.ok();
        response.filter(|response| response.status == probe.status)
    });
    started.await?;
    let rest = usage(listener, &site)?;
    let size = match load {
        Load::ByteChunks => BYTE_CHUNK_CROWD,
        _ => CROWD,
    };
    let process = listener.process(&site);
    let process = process.ok_or_else(|| eyre::eyre!("the process was killed"))?;
    let crowd = Crowd::open(&listener.target(&site), load, size, process).await?;
    let held = usage(listener, &site)?;
    let growth = held.peak_kib.saturating_sub(rest.resident_kib);
    println!("{listener:?}, {load}: growth {growth} KiB, {rest:?}, {held:?}");

    let probe = listener.probe(&site, "0000000000000002");
    let answer = call(&site, address, &probe).await;
    let answer = answer.map(|response| response.status);
    let log = process.log();
    let limited = log.lines().filter(|line| line.contains("event=ingress_"));
    println!("{}", limited.collect::<Vec<_>>().join("\n"));
    drop(crowd);
    let largest = match listener.largest_probe(&site, "0000000000000003") {
        Some(probe) => {
            let mut last = String::new();
            let served = wait_for("the largest request", CALM_LIMIT, async || {
                let response = call(&site, address, &probe).await;
                last = format!("{response:?}");
                let response = response.ok();
                response.filter(|response| response.status == probe.status)
            });
            let served = served.await.map(|_| ());
            served.map_err(|err| err.wrap_err(format!("last response: {last}")))
        }
        None => Ok(()),
    };
    expect_that!(growth, le(MAX_GROWTH_KIB));
    expect_that!(held.descriptors, le(DESCRIPTORS));
    expect_that!(answer, ok(eq(&probe.status)));
    expect_that!(largest, ok(anything()));
    expect_that!(
        usage(listener, &site),
        ok(anything()),
        "the process has ended"
    );
    site.check_processes()
}

/// Guards against a process that does not end because clients keep bodies open.
#[gtest]
#[tokio::test]
async fn stopped_processes_end_beside_open_bodies() -> googletest::Result<()> {
    stop(Listener::Callers).await.or_fail()?;
    stop(Listener::WorkerCalls).await.or_fail()
}

async fn stop(listener: Listener) -> eyre::Result<()> {
    let mut site = Site::start(SiteOptions {
        entries: 1,
        workers: 1,
        descriptors: DESCRIPTORS,
        memory_mb: MEMORY_MB,
        ..SiteOptions::default()
    })
    .await?;
    let target = listener.target(&site);
    let process = listener.process(&site);
    let process = process.ok_or_else(|| eyre::eyre!("the process was killed"))?;
    let crowd = Crowd::open(&target, Load::Whole, CROWD, process).await?;
    let managed = match listener {
        Listener::Callers | Listener::Readiness | Listener::EntryInternal => &mut site.entries[0],
        Listener::WorkerCalls | Listener::AgentInternal => &mut site.agents[0],
    };
    managed.signal(Signal::TERM)?;
    let code = managed.wait_exit(STOP_LIMIT).await?;
    drop(crowd);
    expect_that!(code, eq(0));
    site.check_processes()
}

/// Defines a test of one kind of load at one listener.
macro_rules! clients {
    ($(#[$doc:meta] $name:ident: $listener:ident, $load:ident;)*) => {
        $(
            #[$doc]
            #[gtest]
            #[tokio::test]
            async fn $name() -> googletest::Result<()> {
                check(Listener::$listener, Load::$load).await.or_fail()
            }
        )*
    };
}

clients! {
    /// Guards against an entry whose memory grows with the bodies that callers leave open.
    callers_with_whole_bodies: Callers, Whole;
    /// Guards against bodies that arrive in pieces and take more memory than their size.
    callers_with_pieces: Callers, Pieces;
    /// Guards against bodies without a length that stay open.
    callers_with_large_chunks: Callers, LargeChunks;
    /// Guards against a buffer for each chunk.
    callers_with_byte_chunks: Callers, ByteChunks;
    /// Guards against limits that hold for the first request of a connection only.
    callers_with_kept_connections: Callers, KeepAlive;
    /// Guards against heads that stay open.
    callers_with_open_heads: Callers, Head;
    /// Guards against answers that pile up for clients that don't read them.
    callers_that_read_no_answer: Callers, UnreadAnswers;
    /// Guards against kinds that are bounded one by one, but not together.
    callers_of_all_kinds: Callers, Mixture;
    /// Guards against readiness probes that go unanswered beside such clients.
    readiness_with_all_kinds: Readiness, Mixture;
    /// Guards against messages between processes that stay open.
    entry_messages_with_whole_bodies: EntryInternal, Whole;
    /// Guards against a buffer for each chunk of a message between processes.
    entry_messages_with_byte_chunks: EntryInternal, ByteChunks;
    /// Guards against kinds that are bounded one by one, but not together.
    entry_messages_of_all_kinds: EntryInternal, Mixture;
    /// Guards against calls of a worker that stay open.
    worker_calls_with_whole_bodies: WorkerCalls, Whole;
    /// Guards against a buffer for each chunk of a worker's call.
    worker_calls_with_byte_chunks: WorkerCalls, ByteChunks;
    /// Guards against kinds that are bounded one by one, but not together.
    worker_calls_of_all_kinds: WorkerCalls, Mixture;
    /// Guards against metrics that go unanswered beside such clients.
    agent_metrics_with_all_kinds: AgentInternal, Mixture;
}
