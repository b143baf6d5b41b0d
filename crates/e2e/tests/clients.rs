//! Clients outside the limits at the processes of the request path.
//!
//! A test checks what does not depend on the machine's speed: that the process lives,
//! that its memory and descriptors stay under a bound, and that it answers a request.

use std::net::SocketAddr;
use std::time::Duration;

use cumindeck_e2e::{Crowd, Load, Response, Target, TestSite, Usage, job, wait_for};
use googletest::prelude::*;

/// Number of connections of a crowd whose bodies are of the size that callers may send.
const CROWD: usize = 200;

/// Number of connections of a crowd whose bodies are of the size that operators may send.
const OPERATOR_CROWD: usize = 60;

/// Number of connections that send chunks of one byte, each of which costs the process
/// more than a connection of another kind.
const BYTE_CHUNK_CROWD: usize = 24;

/// Memory of the smallest machine of an entry, in KiB.
const ENTRY_MEMORY_KIB: u64 = 160 * 1024;

/// Memory of the smallest machine of an agent, in KiB.
const AGENT_MEMORY_KIB: u64 = 128 * 1024;

/// Largest allowed number of open descriptors.
const MAX_DESCRIPTORS: usize = 1_024;

/// Largest legal size of a caller's body at the test site, in bytes.
const CALLER_BODY_BYTES: usize = 1024 * 1024;

/// Largest legal size of the body of an operator's call, in bytes.
const OPERATOR_BODY_BYTES: usize = 4 * 1024 * 1024;

/// Maximum wait for the answer to a request after the crowd has left.
const CALM_LIMIT: Duration = Duration::from_secs(30);

/// A listener of a process of the site.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Listener {
    Callers,
    Operators,
    AgentOperators,
}

/// A request that the process has to answer successfully.
struct Probe {
    method: &'static str,
    path: &'static str,
    headers: Vec<(&'static str, &'static str)>,
    body: String,
}

impl Probe {
    /// Pads the body with blanks to the largest legal size.
    fn padded(mut self, bytes: usize) -> Self {
        let blanks = bytes - self.body.len();
        self.body.push_str(&" ".repeat(blanks));
        self
    }
}

impl Listener {
    const fn process(self) -> &'static str {
        match self {
            Self::Callers | Self::Operators => "e1",
            Self::AgentOperators => "w1",
        }
    }

    fn address(self, site: &TestSite) -> SocketAddr {
        match self {
            Self::Callers => site.callers["e1"],
            Self::Operators => site.operators["e1"],
            Self::AgentOperators => site.agent_admin("w1"),
        }
    }

    const fn memory_kib(self) -> u64 {
        match self {
            Self::Callers | Self::Operators => ENTRY_MEMORY_KIB,
            Self::AgentOperators => AGENT_MEMORY_KIB,
        }
    }

    const fn crowd(self, load: Load) -> usize {
        match (load, self) {
            (Load::ByteChunks, _) => BYTE_CHUNK_CROWD,
            (_, Self::Operators) => OPERATOR_CROWD,
            (_, Self::Callers | Self::AgentOperators) => CROWD,
        }
    }

    fn target(self, site: &TestSite) -> Target {
        let (write, read, headers, body_bytes) = match self {
            Self::Callers => (
                "POST /v1/requests/echo",
                "/v1/requests/echo",
                "x-team: letters\r\n",
                CALLER_BODY_BYTES,
            ),
            Self::Operators => (
                "POST /v1/jobs",
                "/metrics",
                "authorization: Bearer test-token\r\n",
                OPERATOR_BODY_BYTES,
            ),
            Self::AgentOperators => ("POST /metrics", "/metrics", "", CALLER_BODY_BYTES),
        };
        Target {
            address: self.address(site),
            write: write.to_owned(),
            read: read.to_owned(),
            headers: format!("host: cumindeck\r\n{headers}"),
            body_bytes,
        }
    }

    /// Returns a request as ordinary clients send it; a job has the given id.
    fn probe(self, id: &str) -> Probe {
        match self {
            Self::Callers => Probe {
                method: "POST",
                path: "/v1/requests/echo",
                headers: vec![("x-team", "letters")],
                body: "hello".to_owned(),
            },
            Self::Operators => Probe {
                method: "POST",
                path: "/v1/jobs",
                headers: vec![
                    ("authorization", "Bearer test-token"),
                    ("content-type", "application/json"),
                ],
                body: job(id, 1, &["sleep", "600"]).to_string(),
            },
            Self::AgentOperators => Probe {
                method: "GET",
                path: "/metrics",
                headers: Vec::new(),
                body: String::new(),
            },
        }
    }

    /// Returns a request with a body of the largest legal size; `None` if the listener
    /// reads no bodies.
    fn largest_probe(self, id: &str) -> Option<Probe> {
        match self {
            Self::Callers => Some(self.probe(id).padded(CALLER_BODY_BYTES)),
            Self::Operators => Some(self.probe(id).padded(OPERATOR_BODY_BYTES)),
            Self::AgentOperators => None,
        }
    }
}

async fn call(site: &TestSite, address: SocketAddr, probe: &Probe) -> eyre::Result<Response> {
    site.client
        .call(
            probe.method,
            address,
            probe.path,
            &probe.headers,
            probe.body.clone(),
        )
        .await
}

fn usage(listener: Listener, site: &TestSite) -> eyre::Result<Usage> {
    site.processes[listener.process()].usage()
}

async fn check(listener: Listener, load: Load) -> eyre::Result<()> {
    let site = TestSite::start().await?;
    let address = listener.address(&site);
    let served = async |probe: &Probe| {
        wait_for("an answer", CALM_LIMIT, async || {
            let response = call(&site, address, probe).await.ok();
            response.filter(|response| response.status < 300)
        })
        .await
        .map(|_| ())
    };
    served(&listener.probe("first")).await?;
    let rest = usage(listener, &site)?;
    let process = &site.processes[listener.process()];
    let size = listener.crowd(load);
    let crowd = Crowd::open(&listener.target(&site), load, size, process).await?;
    let held = usage(listener, &site)?;
    println!("{listener:?}, {load}: {rest:?}, {held:?}");

    let answer = call(&site, address, &listener.probe("second")).await;
    let answer = answer.map(|response| response.status);
    drop(crowd);
    let largest = match listener.largest_probe("third") {
        Some(probe) => served(&probe).await,
        None => Ok(()),
    };
    expect_that!(held.peak_kib, le(listener.memory_kib()));
    expect_that!(held.descriptors, le(MAX_DESCRIPTORS));
    expect_that!(answer, ok(lt(&300)));
    expect_that!(largest, ok(anything()));
    expect_that!(
        usage(listener, &site),
        ok(anything()),
        "the process has ended"
    );
    expect_that!(process.log(), not(contains_substring("panicked")));
    Ok(())
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
    /// Guards against a buffer for each chunk.
    callers_with_byte_chunks: Callers, ByteChunks;
    /// Guards against kinds that are bounded one by one, but not together.
    callers_of_all_kinds: Callers, Mixture;
    /// Guards against calls of operators that stay open.
    operators_with_whole_bodies: Operators, Whole;
    /// Guards against a buffer for each chunk.
    operators_with_byte_chunks: Operators, ByteChunks;
    /// Guards against kinds that are bounded one by one, but not together.
    operators_of_all_kinds: Operators, Mixture;
    /// Guards against metrics that go unanswered beside such clients.
    agent_metrics_with_all_kinds: AgentOperators, Mixture;
}
