//! Guards the HTTP APIs of operators and callers, with real processes: filters, refusals
//! and read-backs as described in docs/http-api.md.

use std::time::Duration;

use cumindeck_e2e::{TestSite, wait_for};
use googletest::prelude::*;
use serde_json::{Value, json};

/// Maximum time until a job reaches a state.
const STATE_LIMIT: Duration = Duration::from_secs(30);

fn job(id: &str, tasks: u32, command: &[&str]) -> Value {
    json!({
        "id": id,
        "team": "letters",
        "region": "north",
        "tasks": tasks,
        "accelerators": 8,
        "command": command,
    })
}

async fn submit(site: &TestSite, job: &Value) -> eyre::Result<()> {
    wait_for("the job to be accepted", STATE_LIMIT, async || {
        let response = site.operator("e1", "POST", "/v1/jobs", Some(job)).await;
        matches!(response.ok()?.status, 200 | 201).then_some(())
    })
    .await
}

/// Calls an entry and formats the status with the given field of the response, or with
/// the reason of an error.
async fn outcome(
    site: &TestSite,
    entry: &str,
    call: (&str, &str, Option<Value>),
    field: &str,
) -> eyre::Result<String> {
    let (method, path, body) = call;
    let response = site.operator(entry, method, path, body.as_ref()).await?;
    let json: Value = serde_json::from_str(&response.body).unwrap_or(Value::Null);
    let reason = if response.status < 300 {
        field
    } else {
        "reason"
    };
    let value = json.pointer(&format!("/{reason}")).unwrap_or(&Value::Null);
    Ok(format!("{method} {path}: {} {value}\n", response.status))
}

/// Guards against a wrong status or reason, in particular an outage reported for an
/// unknown job, and a fence accepted for another incarnation.
#[tokio::test]
async fn refusals_and_filters() -> eyre::Result<()> {
    let site = TestSite::start().await?;
    submit(&site, &job("done", 1, &["sleep", "50ms"])).await?;
    wait_for("the job to end", STATE_LIMIT, async || {
        let response = site.operator("e2", "GET", "/v1/jobs/done", None).await;
        let status = response.ok()?.json().ok()?;
        (status["state"] == "succeeded").then_some(())
    })
    .await?;
    submit(&site, &job("long", 1, &["forever"])).await?;
    let mut found = String::new();
    for entry in ["e1", "e2"] {
        found += &format!("-- {entry}\n");
        let fence = json!({"verified_gone": true, "incarnation": 1});
        let calls = [
            ("GET", "/v1/jobs/nothing/why", None, ""),
            ("DELETE", "/v1/jobs/nothing", None, ""),
            ("GET", "/v1/jobs/done/why", None, "reason"),
            ("DELETE", "/v1/jobs/done", None, ""),
            (
                "GET",
                "/v1/jobs?team=letters&after=done",
                None,
                "jobs/0/spec/id",
            ),
            ("GET", "/v1/jobs?team=checks", None, "jobs"),
            ("GET", "/v1/jobs?state=cancelled", None, "jobs"),
            ("GET", "/v1/jobs?after=long", None, "jobs"),
            ("GET", "/v1/jobs?state=nonsense", None, ""),
            ("GET", "/v1/jobs?colour=red", None, ""),
            ("GET", "/v1/workers?zone=zone-b", None, "workers/0/id"),
            ("GET", "/v1/workers?zone=zone-b", None, "workers/1"),
            ("PUT", "/v1/workers/w1/fence", Some(fence), ""),
            ("GET", "/v1/nowhere", None, ""),
            ("DELETE", "/v1/status", None, ""),
            ("POST", "/v1/jobs/done/why", None, ""),
        ];
        for (method, path, body, field) in calls {
            found += &outcome(&site, entry, (method, path, body), field).await?;
        }
    }
    insta::assert_snapshot!(found);
    Ok(())
}

/// Guards against an accepted configuration that can't be read back immediately, and
/// against a conflict that doesn't list the keys that differ.
#[tokio::test]
async fn accepted_configuration_is_read_back() -> eyre::Result<()> {
    let site = TestSite::start().await?;
    let accepted = site
        .operator("e1", "GET", "/v1/config", None)
        .await?
        .json()?;
    let mut change = json!({
        "change_id": "second",
        "expected_version": 1,
        "base": accepted["base"],
        "overlays": accepted["overlays"],
    });
    let base = accepted["base"].as_str().unwrap_or_default();
    change["base"] = json!(base.replace("max-attempts = 3", "max-attempts = 7"));
    let response = site
        .operator("e1", "PUT", "/v1/config", Some(&change))
        .await?;
    assert_that!(response.status, eq(200), "{}", response.body);
    let read_back = site
        .operator("e1", "GET", "/v1/config", None)
        .await?
        .json()?;
    assert_that!(read_back["version"], eq(&json!(2)));
    assert_that!(read_back["change_id"], eq(&json!("second")));
    let mut stale = change.clone();
    stale["change_id"] = json!("third");
    stale["base"] = accepted["base"].clone();
    let response = site
        .operator("e1", "PUT", "/v1/config", Some(&stale))
        .await?;
    assert_that!(response.status, eq(409));
    assert_that!(
        response.json()?["conflict"],
        eq(&json!({"version": 2, "keys": ["test: jobs.max-attempts"]}))
    );
    Ok(())
}

/// Guards against a caller's error without a verdict, and against a hint to repeat a
/// request that can never be accepted.
#[tokio::test]
async fn callers_errors_have_a_verdict_and_a_hint() -> eyre::Result<()> {
    let site = TestSite::start().await?;
    let address = site.callers["e1"];
    let mut found = String::new();
    for (method, path, team) in [
        ("GET", "/v1/requests", "letters"),
        ("POST", "/nowhere", "letters"),
        ("POST", "/v1/requests/echo", "nobody"),
        ("POST", "/v1/requests", "letters"),
    ] {
        let headers = [("x-team", team)];
        let response = site
            .client
            .call(method, address, path, &headers, "a")
            .await?;
        let (status, verdict, body) = (response.status, response.verdict, response.body);
        found += &format!("{method} {path} {team}: {status} {verdict}\n  {body}\n");
    }
    insta::assert_snapshot!(found);
    Ok(())
}

/// Guards against accelerators that stay reserved at the agent after the worker refused
/// the task, so that no other job can start there.
#[tokio::test]
async fn refused_command_keeps_no_accelerators() -> eyre::Result<()> {
    let site = TestSite::start().await?;
    submit(&site, &job("nonsense", 1, &["nonsense"])).await?;
    wait_for(
        "an attempt to be rejected by the worker",
        STATE_LIMIT,
        async || {
            let response = site
                .operator("e1", "GET", "/v1/jobs/nonsense/why", None)
                .await;
            let why = response.ok()?.json().ok()?;
            why["reason"]
                .as_str()?
                .contains("did not start")
                .then_some(())
        },
    )
    .await?;
    let response = site
        .operator("e1", "DELETE", "/v1/jobs/nonsense", None)
        .await?;
    assert_that!(response.status, eq(200), "{}", response.body);
    submit(&site, &job("whole", 3, &["sleep", "50ms"])).await?;
    wait_for("the job to end", STATE_LIMIT, async || {
        let response = site.operator("e1", "GET", "/v1/jobs/whole", None).await;
        let status = response.ok()?.json().ok()?;
        (status["state"] == "succeeded").then_some(())
    })
    .await
}

/// Guards against a change that, during an outage of the table service, is reported as
/// unknown or only after the caller's time limit, although nothing was sent.
#[tokio::test]
async fn changes_during_an_outage_are_not_run() -> eyre::Result<()> {
    let site = TestSite::start().await?;
    submit(&site, &job("long", 1, &["forever"])).await?;
    site.faults(&json!({"tables_down": true})).await?;
    wait_for("the entry to notice the outage", STATE_LIMIT, async || {
        let response = site.operator("e1", "GET", "/v1/status", None).await;
        let status = response.ok()?.json().ok()?;
        (status["store"] == "down").then_some(())
    })
    .await?;
    let mut config = site
        .operator("e1", "GET", "/v1/config", None)
        .await?
        .json()?;
    let version = config["version"].take();
    let change = json!({
        "change_id": "second",
        "expected_version": version,
        "base": config["base"],
        "overlays": config["overlays"],
    });
    let fence = json!({"verified_gone": true, "incarnation": 1});
    let mut found = String::new();
    for (method, path, body) in [
        ("PUT", "/v1/config", Some(change)),
        ("POST", "/v1/jobs", Some(job("other", 1, &["forever"]))),
        ("DELETE", "/v1/jobs/long", None),
        ("PUT", "/v1/zones/zone-a", Some(json!({"open": false}))),
        ("PUT", "/v1/workers/w1/drain", Some(json!({"drain": true}))),
        ("PUT", "/v1/workers/w1/fence", Some(fence)),
        ("GET", "/v1/jobs", None),
        ("GET", "/v1/zones", None),
    ] {
        found += &outcome(&site, "e1", (method, path, body), "zones/0/open").await?;
    }
    site.faults(&json!({})).await?;
    insta::assert_snapshot!(found);
    Ok(())
}
