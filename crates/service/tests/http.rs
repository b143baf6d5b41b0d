//! What clients are told when a process has no room for a body or an answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use cumindeck_ingress::IngressLimits;
use cumindeck_service::{
    BootClock, Gate, Handler, HeadLimits, Metrics, Reply, RequestBody, Shutdown, body_error_status,
    explain_body_error, serve, spawn_timer,
};
use cumindeck_types::ByteSize;
use googletest::prelude::*;
use http::{Request, Response};
use http_body_util::Full;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Memory for bodies and answers.
const REQUESTS: ByteSize = ByteSize::from_kib(64);

/// Largest body that the handler reads, more than there is room for.
const MAX_BODY: ByteSize = ByteSize::from_kib(128);

/// Answers with as many bytes as the path says, after it has read the body.
struct Echo;

#[async_trait]
impl Handler for Echo {
    async fn handle(&self, req: Request<RequestBody>) -> Reply {
        let size: usize = req.uri().path()[1..].parse().expect("a size");
        match req.into_body().read(MAX_BODY).await {
            Ok(_) => Response::new(Full::new(Bytes::from(vec![b'x'; size]))),
            Err(err) => {
                let mut reply = Response::new(Full::new(Bytes::from(err.to_string())));
                *reply.status_mut() = body_error_status(&err);
                explain_body_error(&mut reply, &err);
                reply
            }
        }
    }
}

async fn start(head: HeadLimits) -> SocketAddr {
    let limits = IngressLimits::new(ByteSize::from_mib(1), Some(REQUESTS), 10, REQUESTS);
    let metrics = Metrics::new("test").expect("metrics");
    let timer = spawn_timer(Arc::new(BootClock));
    let gate = Gate::spawn(limits.expect("limits"), timer, metrics);
    let listener = TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let (_stop, shutdown) = Shutdown::manual();
        serve(listener, Arc::new(Echo), head, gate, shutdown).await;
    });
    address
}

/// Sends text and returns all that comes until the connection is closed.
async fn send(address: SocketAddr, text: &str) -> String {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    stream.write_all(text.as_bytes()).await.expect("a write");
    let mut answer = Vec::new();
    // The server may reset a connection whose body it has not read.
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).to_lowercase()
}

/// Guards against an answer without room that is taken for a request that has not run, and
/// against memory that it keeps.
#[gtest]
#[tokio::test]
async fn large_answer_without_room_has_no_status() {
    let address = start(HeadLimits::default()).await;
    let text = "GET /100000 HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    expect_that!(send(address, text).await, eq(""));
    let text = "GET /60000 HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    for _ in 0..3 {
        let answer = send(address, text).await;
        expect_that!(answer, starts_with("http/1.1 200 "));
        expect_that!(answer.len(), gt(60_000));
    }
}

/// Guards against a refusal without a time to come back, and against a status that says
/// something else than that the request has not run.
#[gtest]
#[tokio::test]
async fn body_without_room_is_refused_before_it_is_read() {
    let address = start(HeadLimits::default()).await;
    let head = |size: u32| format!("POST /1 HTTP/1.1\r\nhost: x\r\ncontent-length: {size}\r\n\r\n");
    let answer = send(address, &head(100_000)).await;
    expect_that!(answer, starts_with("http/1.1 503 "));
    expect_that!(answer, contains_substring("retry-after: 1\r\n"));
    expect_that!(answer, contains_substring("connection: close\r\n"));
    let answer = send(address, &head(200_000)).await;
    expect_that!(answer, starts_with("http/1.1 413 "));
}

/// Guards against a connection without a next request that stays open for ever, and against
/// documents that state another limit for it than that of a head.
#[gtest]
#[tokio::test]
async fn connection_without_a_next_request_ends_after_the_time_for_a_head() {
    let head = HeadLimits {
        time: Duration::from_millis(100),
        ..HeadLimits::default()
    };
    let address = start(head).await;
    let answer = send(address, "GET /3 HTTP/1.1\r\nhost: x\r\n\r\n").await;
    expect_that!(answer, starts_with("http/1.1 200 "));
    expect_that!(answer, ends_with("xxx"));
}
