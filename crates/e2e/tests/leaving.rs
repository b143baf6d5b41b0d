//! Guards planned stops: nothing in flight is cut off, nothing new is taken.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use cumindeck_e2e::{AGENTS, Client, Fault, Flow, Reply, SiteOptions, TestSite, wait_for};
use googletest::prelude::*;
use rustix::process::Signal;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Time after which a leaving backend server gets no new work.
const LEAVING_LIMIT: Duration = Duration::from_secs(3);
/// Longest time until a process that drains has ended: `drain-time` of the settings.
const EXIT_LIMIT: Duration = Duration::from_secs(10);
/// Longest time until requests that were sent are in flight.
const IN_FLIGHT_LIMIT: Duration = Duration::from_secs(5);

/// Starts a request that the backend server answers after a time.
fn sleeping(
    site: &TestSite,
    entry: &str,
    millis: u64,
    body: &str,
) -> JoinHandle<eyre::Result<Reply>> {
    let (client, address, body) = (site.client.clone(), site.callers[entry], body.to_owned());
    tokio::spawn(async move {
        let path = format!("/v1/requests/sleep/{millis}");
        client
            .call("POST", address, &path, &[("x-team", "letters")], body)
            .await
    })
}

/// Waits until so many requests are at backend servers.
async fn wait_handed_over(site: &TestSite, count: u64) -> eyre::Result<()> {
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
    // Answers on a slow link are still being written when nothing runs any more.
    let slow = Fault::Flows(Flow::Pass, Flow::Delay(Duration::from_millis(10)));
    for (agent, _) in site.agents() {
        site.fault(agent, slow)?;
    }
    let mut requests = Vec::new();
    for entry in ["e1", "e2"] {
        for i in 0..6 {
            let body = format!("{entry} {i} ").repeat(200_000);
            requests.push((sleeping(&site, entry, 1_500, &body), body));
        }
    }
    wait_handed_over(&site, 12).await?;
    for name in signalled {
        site.process(name)?.signal(Signal::TERM)?;
    }
    for (request, body) in requests {
        let reply = request.await??;
        assert_that!(
            (reply.status, reply.verdict.as_str()),
            eq((200, "answered"))
        );
        assert_that!(reply.body == body, eq(true));
    }
    for name in signalled {
        let code = site.process(name)?.wait_exit(EXIT_LIMIT).await?;
        assert_that!(code, eq(0), "{name}");
    }
    Ok(())
}

/// Guards against a leaving agent that cuts off requests in flight.
#[tokio::test]
async fn stop_of_an_agent_cuts_nothing_off() -> eyre::Result<()> {
    check_stop(&["w1"]).await
}

/// Guards against a leaving entry that cuts off requests in flight.
#[tokio::test]
async fn stop_of_an_entry_cuts_nothing_off() -> eyre::Result<()> {
    check_stop(&["e1"]).await
}

/// Guards against an entry and agents that cut off each other's requests when
/// all of them leave at once.
#[tokio::test]
async fn stop_of_an_entry_and_all_agents_cuts_nothing_off() -> eyre::Result<()> {
    check_stop(&["w1", "e1", "w2", "w3"]).await
}

/// Guards against new work for a backend server that is leaving.
#[tokio::test]
async fn leaving_agent_gets_no_new_work() -> eyre::Result<()> {
    let mut site = TestSite::start().await?;
    let mut long = Vec::new();
    for i in 0..3 {
        long.push(sleeping(&site, "e1", 6_000, &format!("long {i}")));
    }
    let victim = wait_for(
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
    site.process(victim)?.signal(Signal::TERM)?;
    let signalled = Instant::now();
    let mut calls_at_limit = None;
    while !long.iter().all(JoinHandle::is_finished) {
        for entry in ["e1", "e2"] {
            let reply = site
                .request(entry, "/count/steady", &[("x-idempotent", "true")], "")
                .await?;
            // The retry budget is empty at first, so a refusal may reach the caller.
            assert_that!(reply.verdict.as_str(), any![eq("answered"), eq("not-run")]);
        }
        if calls_at_limit.is_none() && signalled.elapsed() >= LEAVING_LIMIT {
            calls_at_limit = Some(site.calls_at(victim, "steady").await?);
        }
    }
    for request in long {
        assert_that!(request.await??.verdict, eq("answered"));
    }
    assert_that!(
        calls_at_limit,
        some(eq(site.calls_at(victim, "steady").await?))
    );
    Ok(())
}

/// What the load saw.
#[derive(Debug, Default)]
struct Seen {
    answered: u32,
    not_run: BTreeMap<String, u32>,
    failed: Vec<String>,
}

/// Sends idempotent requests one after the other until it is told to stop. Like
/// a load balancer it leaves an entry alone that stops, until `/readyz` tells
/// that it is ready.
async fn load(
    client: Client,
    entries: Vec<(SocketAddr, SocketAddr)>,
    stop: watch::Receiver<bool>,
) -> Seen {
    let mut seen = Seen::default();
    let headers = [("x-team", "letters"), ("x-idempotent", "true")];
    let mut is_out = vec![false; entries.len()];
    for i in 0_usize.. {
        if *stop.borrow() {
            break;
        }
        let at = i % entries.len();
        let (callers, operators) = entries[at];
        if is_out[at] {
            let ready = client.call("GET", operators, "/readyz", &[], "").await;
            is_out[at] = !ready.is_ok_and(|reply| reply.status == 200);
            // Lets the other tasks of the test run.
            tokio::task::yield_now().await;
            continue;
        }
        let body = format!("body {i}");
        let call = client.call("POST", callers, "/v1/requests/echo", &headers, body.clone());
        match call.await {
            Ok(reply) if reply.verdict == "answered" && reply.body == body => seen.answered += 1,
            Ok(reply) if reply.verdict == "not-run" => {
                let reason = reply.json().ok().map(|body| body["reason"].to_string());
                let reason = reason.unwrap_or_default();
                is_out[at] = reason.contains("draining") || reason.contains("not-ready");
                *seen.not_run.entry(reason).or_default() += 1;
            }
            Err(err) if is_connect(&err) => is_out[at] = true,
            other => seen.failed.push(format!("{other:?}")),
        }
    }
    seen
}

fn is_connect(err: &eyre::Report) -> bool {
    let err = err.downcast_ref::<hyper_util::client::legacy::Error>();
    err.is_some_and(hyper_util::client::legacy::Error::is_connect)
}

/// Guards against requests that fail while every process is restarted in turn.
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
        let seen = load.await?;
        println!("answered {}, not run {:?}", seen.answered, seen.not_run);
        assert_that!(seen.failed, is_empty());
        assert_that!(seen.answered, gt(100));
    }
    Ok(())
}

/// Guards against a leaving agent that ends before its last answers are written
/// to a link that stalls.
#[tokio::test]
async fn stopped_agents_write_their_last_answers() -> eyre::Result<()> {
    let options = SiteOptions {
        has_relays: true,
        ..SiteOptions::default()
    };
    let mut site = TestSite::start_with(options).await?;
    let change = site.change("large", 1, "max-body", "6MiB");
    let reply = site.operator("e1", "PUT", "/v1/config", Some(&change));
    assert_that!(reply.await?.status, eq(200));
    wait_for("the limit in force", IN_FLIGHT_LIMIT, async || {
        (site.status("e1").await?["config_version"] == 2).then_some(())
    })
    .await?;
    // Larger than what the kernel buffers for a connection.
    let body = "0123456789".repeat(550_000);
    let requests: Vec<_> = (0..3).map(|_| sleeping(&site, "e1", 500, &body)).collect();
    wait_handed_over(&site, 3).await?;
    for (agent, _) in AGENTS {
        site.fault(agent, Fault::Flows(Flow::Pass, Flow::Stop))?;
        site.process(agent)?.signal(Signal::TERM)?;
    }
    for (agent, _) in AGENTS {
        wait_for(
            "the answers of the backend server",
            EXIT_LIMIT,
            async || {
                // An agent that has ended has no metrics any more.
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
        let reply = request.await??;
        assert_that!(
            (reply.status, reply.verdict.as_str()),
            eq((200, "answered"))
        );
        assert_that!(reply.body == body, eq(true));
    }
    for (agent, _) in AGENTS {
        assert_that!(site.process(agent)?.wait_exit(EXIT_LIMIT).await?, eq(0));
    }
    Ok(())
}
