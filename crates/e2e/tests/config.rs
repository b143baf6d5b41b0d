//! Guards the acceptance of configurations, with real processes.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use cumindeck_e2e::{Fault, Flow, SiteOptions, TestSite, wait_for};
use googletest::prelude::*;
use serde_json::Value;

/// Maximum time until an accepted version is in force at every entry.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(5);
/// Maximum duration of an operator's call.
const CALL_LIMIT: Duration = Duration::from_secs(30);
/// Maximum duration of an ordinary step of a process, such as its start.
const STEP_LIMIT: Duration = Duration::from_secs(10);

async fn wait_version(site: &TestSite, version: u64, accepted: Instant) -> eyre::Result<()> {
    for entry in ["e1", "e2"] {
        let remaining = IN_FORCE_LIMIT.saturating_sub(accepted.elapsed());
        let what = format!("version {version} at {entry}");
        wait_for(&what, remaining, async || {
            (site.status(entry).await?["config_version"] == version).then_some(())
        })
        .await?;
    }
    Ok(())
}

async fn bundle(site: &TestSite, entry: &str) -> eyre::Result<Value> {
    site.operator(entry, "GET", "/v1/config", None)
        .await?
        .json()
}

/// Guards against two accepted changes with the same version, and against a rejection
/// without the winning version and the keys that differ from it.
#[tokio::test]
async fn one_of_two_racing_changes_is_accepted() -> eyre::Result<()> {
    let site = TestSite::start().await?;
    for (base, second) in [(1, "e2"), (2, "e1"), (3, "e2"), (4, "e2")] {
        // The changes race at two entries, those based on version 2 at the same entry.
        let one = site.change(
            &format!("one-{base}"),
            base,
            "max-body",
            &format!("{}MiB", base + 1),
        );
        let two = site.change(
            &format!("two-{base}"),
            base,
            "default-timeout",
            &format!("1{base}s"),
        );
        let (one, two) = tokio::join!(
            site.operator("e1", "PUT", "/v1/config", Some(&one)),
            site.operator(second, "PUT", "/v1/config", Some(&two)),
        );
        let accepted = Instant::now();
        let (one, two) = (one?, two?);
        let (winner, loser) = if one.status == 200 {
            (&one, &two)
        } else {
            (&two, &one)
        };
        assert_that!(
            (winner.status, loser.status),
            eq((200, 409)),
            "{one:?} {two:?}"
        );
        let version = base + 1;
        assert_that!(winner.json()?["version"].as_u64(), some(eq(version)));
        let conflict = loser.json()?["conflict"].clone();
        assert_that!(conflict["version"].as_u64(), some(eq(version)), "{loser:?}");
        let keys: BTreeSet<_> = conflict["keys"]
            .as_array()
            .into_iter()
            .flatten()
            .filter_map(Value::as_str)
            .collect();
        let expected =
            BTreeSet::from(["test: requests.default-timeout", "test: requests.max-body"]);
        assert_that!(keys, eq(&expected), "{loser:?}");
        wait_version(&site, version, accepted).await?;
        for entry in ["e1", "e2"] {
            assert_that!(
                &bundle(&site, entry).await?["change_id"],
                eq(&winner.json()?["change_id"])
            );
        }
    }
    Ok(())
}

/// Guards against a change that is reported as not run although it took effect,
/// because the response to its write was lost.
#[tokio::test]
async fn lost_response_of_an_accepting_write_is_resolved() -> eyre::Result<()> {
    let options = SiteOptions {
        has_relays: true,
        ..SiteOptions::default()
    };
    let site = TestSite::start_with(options).await?;
    // Lost at the store: the entry reads the row again and finds the change.
    site.faults(&serde_json::json!({"lose_commit_answers": 2}))
        .await?;
    let change = site.change("lost", 1, "max-body", "2MiB");
    let response = site
        .operator("e1", "PUT", "/v1/config", Some(&change))
        .await?;
    let accepted = Instant::now();
    assert_that!(response.status, any![eq(200), eq(504)], "{response:?}");
    if response.status == 504 {
        assert_that!(
            response.json()?["verdict"].as_str(),
            some(eq("may-have-run"))
        );
    }
    wait_version(&site, 2, accepted).await?;
    // The connection to the store loses all responses, also those of the read-back.
    site.fault("e1-platform", Fault::Flows(Flow::Pass, Flow::Stop))?;
    let change = site.change("cut", 2, "max-body", "3MiB");
    let started = Instant::now();
    let response = site
        .operator("e1", "PUT", "/v1/config", Some(&change))
        .await?;
    assert_that!(started.elapsed(), lt(CALL_LIMIT));
    assert_that!(response.status, any![eq(503), eq(504)], "{response:?}");
    let is_not_run = response.json()?["verdict"] == "not-run";
    site.fault("e1-platform", Fault::NONE)?;
    let stored = bundle(&site, "e2").await?["change_id"].clone();
    assert_that!(is_not_run && stored == "cut", eq(false), "{response:?}");
    Ok(())
}

/// Guards against an entry that serves an outdated version, or any version, after it
/// was restarted while the store is down.
#[tokio::test]
async fn restarted_entry_without_store_is_not_ready() -> eyre::Result<()> {
    let mut site = TestSite::start().await?;
    let change = site.change("second", 1, "max-body", "2MiB");
    let response = site
        .operator("e1", "PUT", "/v1/config", Some(&change))
        .await?;
    assert_that!(response.status, eq(200));
    wait_version(&site, 2, Instant::now()).await?;
    site.faults(&serde_json::json!({"tables_down": true}))
        .await?;
    site.process("e2")?.kill()?;
    site.start_entry("e2")?;
    wait_for("e2 to serve", STEP_LIMIT, async || {
        site.admin("e2", "/healthz").await.ok()
    })
    .await?;
    // Longer than an entry with a reachable store needs to become ready.
    let started = Instant::now();
    while started.elapsed() < IN_FORCE_LIMIT {
        assert_that!(site.admin("e2", "/readyz").await?.status, eq(503));
        let response = site.request("e2", "/echo", &[], "").await?;
        assert_that!(
            (response.status, response.verdict.as_str()),
            eq((503, "not-run"))
        );
        let version = bundle(&site, "e2").await?["version"].as_u64();
        assert_that!(version, any![none(), some(eq(0))]);
        tokio::task::yield_now().await;
    }
    // The entry that was not restarted keeps its version and continues to serve.
    assert_that!(
        site.request("e1", "/echo", &[], "x").await?.verdict,
        eq("answered")
    );
    site.faults(&serde_json::json!({})).await?;
    wait_version(&site, 2, Instant::now()).await?;
    wait_for("e2 to be ready", IN_FORCE_LIMIT, async || {
        (site.admin("e2", "/readyz").await.ok()?.status == 200).then_some(())
    })
    .await
}
