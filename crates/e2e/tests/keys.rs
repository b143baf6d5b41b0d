//! Guards idempotency keys, with real processes: no key runs twice.

use std::time::Duration;

use cumindeck_e2e::{AGENTS, Fault, Flow, Response, SiteOptions, TestSite, new_key, wait_for};
use futures::future::join_all;
use googletest::prelude::*;

/// Maximum time until new keys are accepted, which begins 12 s after the takeover of the
/// ring.
const CLAIMS_LIMIT: Duration = Duration::from_secs(20);
/// Maximum time until new keys are accepted after the loss of an agent: its lease of 8 s
/// expires, then a new ring is written.
const LOST_AGENT_LIMIT: Duration = Duration::from_secs(30);
/// Maximum time until a request reaches a backend server.
const DISPATCH_LIMIT: Duration = Duration::from_secs(3);

/// Checks the responses for a key against the number of calls at the backend servers.
async fn check_key(site: &TestSite, key: &str, responses: &[Response]) -> eyre::Result<()> {
    let calls = site.calls(key).await?;
    assert_that!(calls, le(1), "{key}: {responses:?}");
    let answered = responses
        .iter()
        .filter(|response| response.verdict == "answered");
    assert_that!(answered.count() as u64, le(calls), "{key}: {responses:?}");
    if responses
        .iter()
        .all(|response| response.verdict == "not-run")
    {
        assert_that!(calls, eq(0), "{key}: {responses:?}");
    }
    for response in responses {
        assert_that!(
            response.verdict.as_str(),
            any![eq("answered"), eq("not-run"), eq("may-have-run")]
        );
    }
    Ok(())
}

/// Guards against a key that runs at two entries, concurrently or sequentially.
#[tokio::test]
async fn one_key_at_two_entries_runs_once() -> eyre::Result<()> {
    let site = TestSite::start().await?;
    site.wait_claims("e1", CLAIMS_LIMIT).await?;
    for _ in 0..20 {
        let key = new_key();
        let (one, two) = tokio::join!(
            site.request_with_key("e1", &key),
            site.request_with_key("e2", &key)
        );
        let later = [
            site.request_with_key("e1", &key).await?,
            site.request_with_key("e2", &key).await?,
        ];
        let responses = [one?, two?, later[0].clone(), later[1].clone()];
        check_key(&site, &key, &responses).await?;
        assert_that!(site.calls(&key).await?, eq(1), "{responses:?}");
        for response in &later {
            assert_that!(
                (response.status, response.verdict.as_str()),
                eq((409, "may-have-run"))
            );
        }
    }
    Ok(())
}

/// Guards against a key that runs again after its agent, its home agent or its entry
/// was killed, and against a site that accepts no new keys afterwards.
#[tokio::test]
async fn keys_survive_the_loss_of_agents_and_entries() -> eyre::Result<()> {
    let mut site = TestSite::start().await?;
    site.wait_claims("e1", CLAIMS_LIMIT).await?;
    // With 24 keys and three agents, each agent is the home of some and runs some.
    let keys: Vec<_> = (0..24).map(|_| new_key()).collect();
    let mut responses = Vec::new();
    for key in &keys {
        let response = site.request_with_key("e1", key).await?;
        assert_that!(response.verdict, eq("answered"));
        responses.push(vec![response]);
    }
    site.process("w1")?.kill()?;
    let retry = async |site: &TestSite, entry: &str, responses: &mut Vec<Vec<Response>>| {
        let calls = keys.iter().map(|key| site.request_with_key(entry, key));
        for (all, response) in responses.iter_mut().zip(join_all(calls).await) {
            all.push(response?);
        }
        eyre::Ok(())
    };
    retry(&site, "e2", &mut responses).await?;
    site.wait_claims("e2", LOST_AGENT_LIMIT).await?;
    retry(&site, "e1", &mut responses).await?;
    site.start_agent("w1")?;
    site.wait_ready().await?;
    retry(&site, "e2", &mut responses).await?;
    site.process("e1")?.kill()?;
    retry(&site, "e2", &mut responses).await?;
    site.wait_claims("e2", LOST_AGENT_LIMIT).await?;
    retry(&site, "e2", &mut responses).await?;
    for (key, responses) in keys.iter().zip(&responses) {
        check_key(&site, key, responses).await?;
        assert_that!(
            responses
                .iter()
                .skip(1)
                .any(|response| response.verdict == "answered"),
            eq(false),
            "{responses:?}"
        );
    }
    Ok(())
}

/// Guards against a second run of a request whose entry or agent was killed while the
/// backend server processed it.
#[tokio::test]
async fn keys_in_flight_survive_the_loss_of_their_entry_or_agent() -> eyre::Result<()> {
    let options = SiteOptions {
        has_relays: true,
        ..SiteOptions::default()
    };
    let mut site = TestSite::start_with(options).await?;
    let slow = Fault::Flows(Flow::Pass, Flow::Delay(Duration::from_secs(4)));
    // The agent is killed first: a new leader that has not received an announcement of an
    // agent waits 75 min for its lease before it gives the agent's keys a new home.
    for (killed, entry) in [("agent", "e2"), ("entry", "e1")] {
        site.wait_claims(entry, LOST_AGENT_LIMIT).await?;
        for (agent, _) in AGENTS {
            site.fault(&format!("b-{agent}"), slow)?;
        }
        let key = new_key();
        let request = tokio::spawn({
            let (client, address, key) = (site.client.clone(), site.callers[entry], key.clone());
            async move {
                let headers = [("x-team", "letters"), ("idempotency-key", key.as_str())];
                let path = format!("/v1/requests/count/{key}");
                client.call("POST", address, &path, &headers, "").await
            }
        });
        let what = "the request at a backend server";
        let agent = wait_for(what, DISPATCH_LIMIT, async || {
            for (agent, _) in AGENTS {
                if site.calls_at(agent, &key).await.ok()? == 1 {
                    return Some(agent);
                }
            }
            None
        })
        .await?;
        let process = if killed == "entry" { entry } else { agent };
        site.process(process)?.kill()?;
        let first = request.await?;
        match killed {
            "entry" => assert_that!(first.is_err(), eq(true)),
            _ => assert_that!(first?.verdict, eq("may-have-run")),
        }
        for (agent, _) in AGENTS {
            site.fault(&format!("b-{agent}"), Fault::NONE)?;
        }
        // First while the home agent may be terminated, then with a new home agent.
        let retry = site.request_with_key("e2", &key).await?;
        assert_that!(retry.verdict, not(eq("answered")), "{retry:?}");
        site.wait_claims("e2", LOST_AGENT_LIMIT).await?;
        let retry = site.request_with_key("e2", &key).await?;
        assert_that!(retry.verdict, eq("may-have-run"), "{retry:?}");
        assert_that!(site.calls(&key).await?, eq(1));
    }
    Ok(())
}
