//! Latency that the entry and the agent add to a request, compared with a direct call
//! to the backend server. Entry, agent and backend server must be running already.

use std::net::SocketAddr;
use std::time::Instant;

use bytes::Bytes;
use eyre::ensure;
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

/// Requests before the measurement, so that all connections are open.
const WARM_UP_REQUESTS: u32 = 500;
/// Length of a small request.
const BODY_BYTES: usize = 1_024;

/// Options of the measurement.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Address of an entry's listener for callers.
    #[arg(long, default_value = "127.0.0.1:7080")]
    callers: SocketAddr,
    /// Address of a backend server that serves `POST /echo`.
    #[arg(long)]
    backend: SocketAddr,
    /// Team that the requests belong to.
    #[arg(long)]
    team: String,
    /// Number of sequential requests of each run on each path.
    #[arg(long, default_value_t = 5_000)]
    requests: u32,
    /// Number of runs; each measures both paths.
    #[arg(long, default_value_t = 5)]
    runs: u32,
}

/// Prints the latency of both paths and the added latency, in microseconds.
pub fn run(args: &Args) -> eyre::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(measure(args))
}

async fn measure(args: &Args) -> eyre::Result<()> {
    let direct = format!("http://{}/echo", args.backend);
    let path = format!("http://{}/v1/requests/echo", args.callers);
    let client = Client::builder(TokioExecutor::new()).build_http();
    send(&client, &direct, &args.team, WARM_UP_REQUESTS).await?;
    send(&client, &path, &args.team, WARM_UP_REQUESTS).await?;
    println!(
        "{:>4} {:>10} {:>10} {:>10} {:>10} {:>10} {:>10}",
        "run", "p50", "p99", "p99.9", "p50", "p99", "p99.9"
    );
    println!(
        "{:>4} {:>32} {:>32}",
        "", "direct, us", "through entry and agent, us"
    );
    let mut added = Vec::new();
    for run in 1..=args.runs {
        let direct_latency = send(&client, &direct, &args.team, args.requests).await?;
        let path_latency = send(&client, &path, &args.team, args.requests).await?;
        let at = |latency: &Histogram<u64>, q| latency.value_at_quantile(q);
        println!(
            "{run:>4} {:>10} {:>10} {:>10} {:>10} {:>10} {:>10}",
            at(&direct_latency, 0.5),
            at(&direct_latency, 0.99),
            at(&direct_latency, 0.999),
            at(&path_latency, 0.5),
            at(&path_latency, 0.99),
            at(&path_latency, 0.999),
        );
        added.push(at(&path_latency, 0.99).saturating_sub(at(&direct_latency, 0.99)));
    }
    added.sort_unstable();
    println!(
        "added at p99, median of {} runs: {} us",
        args.runs,
        added[added.len() / 2]
    );
    Ok(())
}

/// Sends requests sequentially and returns their latencies in microseconds.
async fn send(
    client: &Client<HttpConnector, Full<Bytes>>,
    uri: &str,
    team: &str,
    count: u32,
) -> eyre::Result<Histogram<u64>> {
    let body = Bytes::from(vec![b'a'; BODY_BYTES]);
    let mut latencies = Histogram::new(3)?;
    for _ in 0..count {
        let req = Request::post(uri)
            .header("x-team", team)
            .header("x-idempotent", "true")
            .body(Full::new(body.clone()))?;
        let started = Instant::now();
        let rep = client.request(req).await?;
        let status = rep.status();
        let response = rep.into_body().collect().await?.to_bytes();
        latencies.record(u64::try_from(started.elapsed().as_micros())?)?;
        ensure!(
            status.is_success() && response == body,
            "{uri} answered {status}"
        );
    }
    Ok(latencies)
}
