//! Guards planned shutdowns: requests in flight complete, and no new requests are
//! accepted.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use cumindeck_e2e::{AGENTS, Client, Fault, Flow, Response, SiteOptions, TestSite, wait_for};
use googletest::prelude::*;
use rustix::process::Signal;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Time after which a draining backend server gets no new requests.
const LEAVING_LIMIT: Duration = Duration::from_secs(3);
/// Maximum time until a draining process has ended: `drain-time` of the settings.
const EXIT_LIMIT: Duration = Duration::from_secs(10);
/// Maximum time until sent requests are in flight.
const IN_FLIGHT_LIMIT: Duration = Duration::from_secs(5);

/// Starts a request to which the backend server responds after `millis`.
fn send_sleeping(
    site: &TestSite,
    entry: &str,
    millis: u64,
    body: &str,
) -> JoinHandle<eyre::Result<Response>> {
    let (client, address, body) = (site.client.clone(), site.callers[entry], body.to_owned());
    tokio::spawn(async move {
        let path = format!("/v1/requests/sleep/{millis}");
        client
            .call("POST", address, &path, &[("x-team", "letters")], body)
            .await
    })
}

/// Waits until `count` requests are at the backend servers.
async fn wait_dispatched(site: &TestSite, count: u64) -> eyre::Result<()> {
    let what = format!("{count} requests at backend servers");
    wait_for(&what, IN_FLIGHT_LIMIT, async || {
        let mut sum = 0;
        for (agent, _) in site.agents() {
            sum += site.gauge(agent, "in_flight").await?;
        }
        (sum == count).then_some(())
    })
    .await
}

async fn check_stop(signalled: &[&str]) -> eyre::Result<()> {
    let options = SiteOptions {
        has_relays: true,
        ..SiteOptions::default()
    };
    let mut site = TestSite::start_with(options).await?;
    // On a slow link responses are still being written when no request runs any more.
    let slow = Fault::Flows(Flow::Pass, Flow::Delay(Duration::from_millis(10)));
    for (agent, _) in site.agents() {
        site.fault(agent, slow)?;
    }
    let mut requests = Vec::new();
    for entry in ["e1", "e2"] {
        for i in 0..6 {
            let body = format!("{entry} {i} ").repeat(200_000);
            requests.push((send_sleeping(&site, entry, 1_500, &body), body));
        }
    }
    wait_dispatched(&site, 12).await?;
    for name in signalled {
        site.process(name)?.signal(Signal::TERM)?;
    }
    for (request, body) in requests {
        let response = request.await??;
        assert_that!(
            (response.status, response.verdict.as_str()),
            eq((200, "answered"))
        );
        assert_that!(response.body == body, eq(true));
    }
    for name in signalled {
        let code = site.process(name)?.wait_exit(EXIT_LIMIT).await?;
        assert_that!(code, eq(0), "{name}");
    }
    Ok(())
}

/// Guards against an agent that cuts off requests in flight when it stops.
#[tokio::test]
async fn stop_of_an_agent_cuts_nothing_off() -> eyre::Result<()> {
    check_stop(&["w1"]).await
}

/// Guards against an entry that cuts off requests in flight when it stops.
#[tokio::test]
async fn stop_of_an_entry_cuts_nothing_off() -> eyre::Result<()> {
    check_stop(&["e1"]).await
}

/// Guards against an entry and agents that cut off each other's requests when they stop
/// at the same time.
#[tokio::test]
async fn stop_of_an_entry_and_all_agents_cuts_nothing_off() -> eyre::Result<()> {
    check_stop(&["w1", "e1", "w2", "w3"]).await
}

/// Guards against new requests for the backend server of an agent that is stopping.
#[tokio::test]
async fn leaving_agent_gets_no_new_work() -> eyre::Result<()> {
    let mut site = TestSite::start().await?;
    let mut long = Vec::new();
    for i in 0..3 {
        long.push(send_sleeping(&site, "e1", 6_000, &format!("long {i}")));
    }
    let stopping = wait_for(
        "an agent with a long request",
        IN_FLIGHT_LIMIT,
        async || {
            for (agent, _) in site.agents() {
                if site.gauge(agent, "in_flight").await? > 0 {
                    return Some(agent);
                }
            }
            None
        },
    )
    .await?;
    site.process(stopping)?.signal(Signal::TERM)?;
    let signalled = Instant::now();
    let mut calls_at_limit = None;
    while !long.iter().all(JoinHandle::is_finished) {
        for entry in ["e1", "e2"] {
            let response = site
                .request(entry, "/count/steady", &[("x-idempotent", "true")], "")
                .await?;
            // The retry budget is empty at first, so a refusal may reach the caller.
            assert_that!(
                response.verdict.as_str(),
                any![eq("answered"), eq("not-run")]
            );
        }
        if calls_at_limit.is_none() && signalled.elapsed() >= LEAVING_LIMIT {
            calls_at_limit = Some(site.calls_at(stopping, "steady").await?);
        }
    }
    for request in long {
        assert_that!(request.await??.verdict, eq("answered"));
    }
    assert_that!(
        calls_at_limit,
        some(eq(site.calls_at(stopping, "steady").await?))
    );
    Ok(())
}

/// Results of the requests of one load generator.
#[derive(Debug, Default)]
struct LoadResult {
    answered: u32,
    not_run: BTreeMap<String, u32>,
    failed: Vec<String>,
}

/// Sends idempotent requests sequentially until `stop` is set. Like a load balancer, it
/// skips an entry that stops or refuses connections until `/readyz` reports that the
/// entry is ready.
async fn load(
    client: Client,
    entries: Vec<(SocketAddr, SocketAddr)>,
    stop: watch::Receiver<bool>,
) -> LoadResult {
    let mut result = LoadResult::default();
    let headers = [("x-team", "letters"), ("x-idempotent", "true")];
    let mut is_skipped = vec![false; entries.len()];
    for i in 0_usize.. {
        if *stop.borrow() {
            break;
        }
        let at = i % entries.len();
        let (callers, operators) = entries[at];
        if is_skipped[at] {
            let ready = client.call("GET", operators, "/readyz", &[], "").await;
            is_skipped[at] = !ready.is_ok_and(|response| response.status == 200);
            // Lets the other tasks of the test run.
            tokio::task::yield_now().await;
            continue;
        }
        let body = format!("body {i}");
        let call = client.call("POST", callers, "/v1/requests/echo", &headers, body.clone());
        match call.await {
            Ok(rep) if rep.verdict == "answered" && rep.body == body => result.answered += 1,
            Ok(response) if response.verdict == "not-run" => {
                let reason = response.json().ok().map(|body| body["reason"].to_string());
                let reason = reason.unwrap_or_default();
                is_skipped[at] = reason.contains("draining") || reason.contains("not-ready");
                *result.not_run.entry(reason).or_default() += 1;
            }
            Err(err) if is_connect(&err) => is_skipped[at] = true,
            other => result.failed.push(format!("{other:?}")),
        }
    }
    result
}

fn is_connect(err: &eyre::Report) -> bool {
    let err = err.downcast_ref::<hyper_util::client::legacy::Error>();
    err.is_some_and(hyper_util::client::legacy::Error::is_connect)
}

/// Guards against failed requests while all processes are restarted in turn.
#[tokio::test]
async fn rolling_restart_fails_no_request() -> eyre::Result<()> {
    let mut site = TestSite::start().await?;
    let (tx, rx) = watch::channel(false);
    let entries = ["e1", "e2"].map(|entry| (site.callers[entry], site.operators[entry]));
    let loads: Vec<_> = (0..8)
        .map(|_| tokio::spawn(load(site.client.clone(), entries.to_vec(), rx.clone())))
        .collect();
    for name in ["w1", "e1", "w2", "e2", "w3"] {
        site.process(name)?.signal(Signal::TERM)?;
        let code = site.process(name)?.wait_exit(EXIT_LIMIT).await?;
        assert_that!(code, eq(0), "{name}");
        if name.starts_with('e') {
            site.start_entry(name)?;
        } else {
            site.start_agent(name)?;
        }
        site.wait_ready().await?;
    }
    tx.send(true)?;
    for load in loads {
        let result = load.await?;
        println!("answered {}, not run {:?}", result.answered, result.not_run);
        assert_that!(result.failed, is_empty());
        assert_that!(result.answered, gt(100));
    }
    Ok(())
}

/// Guards against an agent that stops before its last responses are written to a
/// stalled connection.
#[tokio::test]
async fn stopped_agents_write_their_last_responses() -> eyre::Result<()> {
    let options = SiteOptions {
        has_relays: true,
        ..SiteOptions::default()
    };
    let mut site = TestSite::start_with(options).await?;
    let change = site.change("large", 1, "max-body", "6MiB");
    let response = site.operator("e1", "PUT", "/v1/config", Some(&change));
    assert_that!(response.await?.status, eq(200));
    wait_for(
        "the new limit to be in force",
        IN_FLIGHT_LIMIT,
        async || (site.status("e1").await?["config_version"] == 2).then_some(()),
    )
    .await?;
    // Larger than what the kernel buffers for a connection.
    let body = "0123456789".repeat(550_000);
    let requests: Vec<_> = (0..3)
        .map(|_| send_sleeping(&site, "e1", 500, &body))
        .collect();
    wait_dispatched(&site, 3).await?;
    for (agent, _) in AGENTS {
        site.fault(agent, Fault::Flows(Flow::Pass, Flow::Stop))?;
        site.process(agent)?.signal(Signal::TERM)?;
    }
    for (agent, _) in AGENTS {
        wait_for(
            "the responses of the backend server",
            EXIT_LIMIT,
            async || {
                // An agent that has ended has no metrics.
                let in_flight = site.gauge(agent, "in_flight").await;
                (in_flight.unwrap_or(0) == 0).then_some(())
            },
        )
        .await?;
    }
    for (agent, _) in AGENTS {
        site.fault(agent, Fault::NONE)?;
    }
    for request in requests {
        let response = request.await??;
        assert_that!(
            (response.status, response.verdict.as_str()),
            eq((200, "answered"))
        );
        assert_that!(response.body == body, eq(true));
    }
    for (agent, _) in AGENTS {
        assert_that!(site.process(agent)?.wait_exit(EXIT_LIMIT).await?, eq(0));
    }
    Ok(())
}
