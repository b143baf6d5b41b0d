//! Guards alert rules, with real processes.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use cumindeck_e2e::{Response, TestSite, wait_for};
use googletest::prelude::*;
use serde_json::{Value, json};

/// Maximum time until an alert changes its state, including a takeover.
const TRANSITION_LIMIT: Duration = Duration::from_secs(30);

const RULES: &str = "\
groups:
  - name: heat
    interval: 1s
    rules:
      - alert: Hot
        expr: heat_celsius > 30
        for: 5s
        labels:
          severity: page
";

async fn put(site: &TestSite, entry: &str, change: &str, text: &str) -> eyre::Result<Response> {
    let headers = [
        ("authorization", "Bearer test-token"),
        ("content-type", "text/plain"),
        ("x-change-id", change),
    ];
    let path = "/v1/rules/heat.yml";
    site.client
        .call(
            "PUT",
            site.operators[entry],
            path,
            &headers,
            text.to_owned(),
        )
        .await
}

/// Reports a temperature measured at the current time.
async fn report(site: &TestSite, celsius: f64) -> eyre::Result<()> {
    let now = SystemTime::now().duration_since(UNIX_EPOCH)?.as_millis();
    let sample = json!({
        "sequence": 0,
        "labels": {"__name__": "heat_celsius", "worker": "w1"},
        "time_ms": i64::try_from(now)?,
        "value": celsius,
    });
    let body = json!([sample]).to_string();
    let response = site
        .client
        .call("PUT", site.platform, "/v1/usage", &[], body)
        .await?;
    eyre::ensure!(response.status == 200, "{response:?}");
    Ok(())
}

/// Waits until a transition is recorded as emitted and returns the status.
async fn wait_emitted(site: &TestSite, entry: &str, kind: &str) -> eyre::Result<Value> {
    wait_for(
        &format!("the alert to be {kind}"),
        TRANSITION_LIMIT,
        async || {
            let response = site.operator(entry, "GET", "/v1/rules", None).await.ok()?;
            let status = response.json().ok()?;
            let transitions = status["transitions"].as_array()?;
            let is_emitted = |row: &Value| row["kind"] == kind && row["emitted"] == true;
            transitions.iter().any(is_emitted).then_some(status)
        },
    )
    .await
}

/// Returns the number of transitions of each kind in the logs of all entries.
fn logged(site: &mut TestSite) -> eyre::Result<Vec<(&'static str, usize)>> {
    let mut counts = Vec::new();
    for kind in ["pending", "firing", "resolved", "inactive"] {
        let mut count = 0;
        for entry in ["e1", "e2"] {
            let log = site.process(entry)?.log();
            let is_kind = |line: &&str| {
                line.contains(" event=alert ") && line.contains(&format!(" kind={kind} "))
            };
            count += log.lines().filter(is_kind).count();
        }
        counts.push((kind, count));
    }
    Ok(counts)
}

/// Guards against an alert that is lost, restarts its `for` duration or fires twice
/// because the entry that evaluates it was killed.
#[tokio::test]
async fn alert_fires_once_if_its_leader_is_killed() -> eyre::Result<()> {
    let mut site = TestSite::start().await?;
    let response = put(&site, "e1", "change-1", RULES).await?;
    assert_that!(response.status, eq(200), "{}", response.body);
    report(&site, 45.0).await?;
    let pending = wait_emitted(&site, "e2", "pending").await?;
    let status = site
        .operator("e1", "GET", "/v1/status", None)
        .await?
        .json()?;
    let leaderships = status["duties"].as_array().cloned().unwrap_or_default();
    let leadership = leaderships
        .iter()
        .find(|leadership| leadership["name"] == "rules");
    let leader = leadership
        .and_then(|leadership| leadership["holder"].as_str())
        .unwrap_or("");
    let other = if leader == "e1" { "e2" } else { "e1" };
    site.process(leader)?.kill()?;
    let firing = wait_emitted(&site, other, "firing").await?;
    let since = |status: &Value| status["files"][0]["alerts"][0]["active_since"].clone();
    assert_that!(since(&firing), eq(&since(&pending)));
    let alert = firing["files"][0]["alerts"][0].clone();
    assert_that!(alert["state"], eq(&json!("firing")));
    report(&site, 20.0).await?;
    let status = wait_emitted(&site, other, "resolved").await?;
    let transitions = status["transitions"]
        .as_array()
        .cloned()
        .unwrap_or_default();
    let kinds: Vec<_> = transitions.iter().map(|row| row["kind"].clone()).collect();
    assert_that!(
        kinds,
        container_eq(["pending", "firing", "resolved"].map(Value::from))
    );
    let pending_time = transitions[1]["at"].as_f64().unwrap_or_default()
        - transitions[0]["at"].as_f64().unwrap_or_default();
    assert_that!(pending_time, eq(5.0));
    let expected = [
        ("pending", 1),
        ("firing", 1),
        ("resolved", 1),
        ("inactive", 0),
    ];
    assert_that!(logged(&mut site)?, container_eq(expected));
    Ok(())
}

/// Guards against an invalid file that is accepted, and against a repeated call that
/// creates another version.
#[tokio::test]
async fn rule_files_are_checked_and_repeated_calls_are_safe() -> eyre::Result<()> {
    let site = TestSite::start().await?;
    let faulty = RULES.replace("> 30", "> > 30");
    let response = put(&site, "e2", "change-1", &faulty).await?;
    assert_that!(response.status, eq(422));
    let problem = response.json()?["problems"][0].clone();
    assert_that!(problem["file"], eq(&json!("heat.yml")));
    assert_that!(problem["line"], eq(&json!(6)));
    for entry in ["e1", "e2"] {
        let response = put(&site, entry, "change-2", RULES).await?;
        assert_that!(response.status, eq(200));
        assert_that!(response.json()?["version"], eq(&json!(1)));
    }
    let response = put(&site, "e1", "change-2", &RULES.replace("5s", "6s")).await?;
    assert_that!(response.status, eq(409));
    Ok(())
}

/// Guards against an alert that is emitted during an outage before its state is stored,
/// and against one that is lost or repeated after lost responses.
#[tokio::test]
async fn alert_waits_for_the_end_of_an_outage() -> eyre::Result<()> {
    let mut site = TestSite::start().await?;
    let response = put(&site, "e1", "change-1", RULES).await?;
    assert_that!(response.status, eq(200), "{}", response.body);
    report(&site, 45.0).await?;
    let status = wait_emitted(&site, "e1", "pending").await?;
    site.faults(&json!({"tables_down": true})).await?;
    let since = status["files"][0]["alerts"][0]["active_since"].as_f64();
    // The `for` duration of 5 s, the lag bound of 2 s and the interval of 1 s pass while
    // the store is down, with 2 s to spare.
    let due = Duration::from_secs_f64(since.unwrap_or_default() + 10.0);
    wait_for(
        "the time at which the alert fires",
        TRANSITION_LIMIT,
        async || {
            let now = SystemTime::now().duration_since(UNIX_EPOCH).ok()?;
            (now > due).then_some(())
        },
    )
    .await?;
    let response = site.operator("e2", "GET", "/v1/rules", None).await?;
    assert_that!(response.status, eq(503));
    let before = [
        ("pending", 1),
        ("firing", 0),
        ("resolved", 0),
        ("inactive", 0),
    ];
    assert_that!(logged(&mut site)?, container_eq(before));
    site.faults(&json!({"lose_commit_answers": 4})).await?;
    let status = wait_emitted(&site, "e2", "firing").await?;
    let transitions = status["transitions"]
        .as_array()
        .cloned()
        .unwrap_or_default();
    let kinds: Vec<_> = transitions.iter().map(|row| row["kind"].clone()).collect();
    assert_that!(kinds, container_eq(["pending", "firing"].map(Value::from)));
    let after = [
        ("pending", 1),
        ("firing", 1),
        ("resolved", 0),
        ("inactive", 0),
    ];
    assert_that!(logged(&mut site)?, container_eq(after));
    Ok(())
}
