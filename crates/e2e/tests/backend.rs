//! Guards against wrong verdicts with faulty backend servers and broken connections.

use cumindeck_e2e::{Fault, Flow, Response, SiteOptions, TestSite, new_key};
use futures::future::join_all;
use googletest::prelude::*;

/// Sends a request, repeatedly while it is not run because all slots are in use.
async fn run(
    site: &TestSite,
    entry: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> eyre::Result<Response> {
    loop {
        let response = site.request(entry, path, headers, body).await?;
        if response.verdict != "not-run" {
            return Ok(response);
        }
    }
}

/// Sends many concurrent requests with different bodies. Each must get its own body
/// back.
async fn check_echoes(site: &TestSite, round: &str) -> eyre::Result<()> {
    let bodies: Vec<_> = (0..40)
        .map(|i| format!("{round} {i} ").repeat(i + 1))
        .collect();
    let calls = bodies.iter().enumerate().map(async |(i, body)| {
        let entry = if i % 2 == 0 { "e1" } else { "e2" };
        let path = format!("/sleep/{}", i % 7 * 20);
        run(site, entry, &path, &[("x-idempotent", "true")], body).await
    });
    for (body, response) in bodies.iter().zip(join_all(calls).await) {
        let response = response?;
        assert_that!(
            (response.status, response.verdict.as_str()),
            eq((200, "answered"))
        );
        assert_that!(&response.body, eq(body));
    }
    Ok(())
}

/// Guards against a wrong verdict, or the response to another request, when a backend
/// server hangs, is late or fails.
#[tokio::test]
async fn faulty_backend_servers_get_the_right_verdict() -> eyre::Result<()> {
    let site = TestSite::start().await?;
    let short = [("x-timeout-ms", "400")];
    let hangs = async {
        let calls = (0..6).map(|i| {
            let path = if i % 2 == 0 { "/hang" } else { "/sleep/900" };
            run(&site, "e1", path, &short, "late")
        });
        join_all(calls).await
    };
    let (hangs, echoes) = tokio::join!(hangs, check_echoes(&site, "during"));
    echoes?;
    for response in hangs {
        let response = response?;
        assert_that!(
            (response.status, response.verdict.as_str()),
            eq((504, "may-have-run"))
        );
        assert_that!(response.json()?["reason"].as_str(), some(eq("timed-out")));
    }
    // The late responses arrive while these requests are in flight.
    check_echoes(&site, "after").await?;
    let response = site.request("e2", "/fail", &[], "").await?;
    assert_that!(
        (response.status, response.verdict.as_str()),
        eq((500, "answered"))
    );
    assert_that!(response.body, eq("failed by request\n"));
    Ok(())
}

/// Guards against a truncated response that is forwarded as complete, and against the
/// verdict "not-run" for a request that ran.
#[tokio::test]
async fn broken_connections_get_the_right_verdict() -> eyre::Result<()> {
    let options = SiteOptions {
        has_relays: true,
        ..SiteOptions::default()
    };
    let site = TestSite::start_with(options).await?;
    let set = |prefix: &str, fault| {
        for (agent, _) in site.agents() {
            site.fault(&format!("{prefix}{agent}"), fault)?;
        }
        eyre::Ok(())
    };
    let large = "x".repeat(200_000);
    let close_after = |bytes| Fault::Flows(Flow::Pass, Flow::CloseAfter(bytes));
    set("b-", close_after(1_000))?;
    let response = site.request("e1", "/echo", &[], &large).await?;
    assert_that!(
        (response.status, response.verdict.as_str()),
        eq((502, "may-have-run"))
    );
    assert_that!(response.json()?["reason"].as_str(), some(eq("truncated")));
    set("b-", close_after(0))?;
    let key = new_key();
    let path = format!("/count/{key}");
    let response = site.request("e2", &path, &[], "").await?;
    assert_that!(
        (response.status, response.verdict.as_str()),
        eq((502, "may-have-run"))
    );
    assert_that!(site.calls(&key).await?, eq(1));
    // Without a connection nothing can have run.
    set("b-", Fault::Cut)?;
    let key = new_key();
    let path = format!("/count/{key}");
    let response = site.request("e1", &path, &[], "").await?;
    assert_that!(
        (response.status, response.verdict.as_str()),
        eq((503, "not-run"))
    );
    assert_that!(site.calls(&key).await?, eq(0));
    set("b-", Fault::NONE)?;
    check_echoes(&site, "between").await?;
    // The connection between agent and entry breaks during the response.
    set("", close_after(1_000))?;
    let response = site.request("e1", "/echo", &[], &large).await?;
    assert_that!(
        (response.status, response.verdict.as_str()),
        eq((502, "may-have-run"))
    );
    set("", Fault::Cut)?;
    let key = new_key();
    let path = format!("/count/{key}");
    let response = site.request("e2", &path, &[], "").await?;
    let calls = site.calls(&key).await?;
    assert_that!(
        (response.verdict.as_str(), calls),
        any![eq(("not-run", 0)), eq(("may-have-run", 0))]
    );
    set("", Fault::NONE)?;
    check_echoes(&site, "at the end").await
}
