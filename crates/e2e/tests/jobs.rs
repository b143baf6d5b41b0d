//! Guards gang jobs, with real processes.

use std::time::Duration;

use cumindeck_e2e::{TestSite, wait_for};
use googletest::prelude::*;
use rustix::process::Signal;
use serde_json::{Value, json};

/// Time after which no task may start in a zone that was taken out of service.
const START_LIMIT: Duration = Duration::from_secs(3);
/// Maximum time until a job reaches a state, including the takeover by another entry.
const STATE_LIMIT: Duration = Duration::from_secs(30);

fn job(id: &str, tasks: u32, accelerators: u32, command: &[&str]) -> Value {
    json!({
        "id": id,
        "team": "letters",
        "region": "north",
        "tasks": tasks,
        "accelerators": accelerators,
        "command": command,
    })
}

/// Submits a job and waits until an entry accepts it.
async fn submit(site: &TestSite, entry: &str, job: &Value) -> eyre::Result<()> {
    wait_for("the job to be accepted", STATE_LIMIT, async || {
        let response = site
            .operator(entry, "POST", "/v1/jobs", Some(job))
            .await
            .ok()?;
        matches!(response.status, 200 | 201).then_some(())
    })
    .await
}

/// Waits until a job is in a state and returns its status.
async fn wait_state(site: &TestSite, entry: &str, job: &str, state: &str) -> eyre::Result<Value> {
    let what = format!("{job} to be {state}");
    let path = format!("/v1/jobs/{job}");
    let waited = wait_for(&what, STATE_LIMIT, async || {
        let status = site
            .operator(entry, "GET", &path, None)
            .await
            .ok()?
            .json()
            .ok()?;
        (status["state"] == state).then_some(status)
    })
    .await;
    if waited.is_err() {
        for path in [
            path.clone(),
            format!("{path}/why"),
            "/v1/workers".to_owned(),
        ] {
            eprintln!(
                "{path}: {:?}",
                site.operator(entry, "GET", &path, None).await
            );
        }
    }
    waited
}

/// Returns the names and phases of all tasks at all workers.
async fn tasks(site: &TestSite) -> eyre::Result<Vec<(String, String)>> {
    let mut all = Vec::new();
    for (worker, _) in cumindeck_e2e::AGENTS {
        let path = format!("/v1/workers/{worker}/tasks");
        let response = site
            .client
            .call("GET", site.platform, &path, &[], String::new())
            .await?;
        for task in response.json()?["tasks"].as_array().into_iter().flatten() {
            let text = |key: &str| task[key].as_str().unwrap_or_default().to_owned();
            all.push((text("task"), text("phase")));
        }
    }
    all.sort();
    Ok(all)
}

/// Guards against a gang that starts only partly, or whose end is not recorded.
#[tokio::test]
async fn gang_of_two_runs_and_ends() -> eyre::Result<()> {
    let site = TestSite::start().await?;
    submit(&site, "e1", &job("pair", 2, 8, &["sleep", "500ms"])).await?;
    let status = wait_state(&site, "e2", "pair", "succeeded").await?;
    // A start may have been refused before the agents had their leases.
    let attempt = &status["attempt"];
    let started = site.tasks_of("pair").await?.into_iter();
    let started = started.filter(|task| task.started.is_some());
    let started: Vec<_> = started.map(|task| (task.name, task.phase)).collect();
    let expected = [0, 1].map(|i| (format!("pair:{attempt}:{i}"), "succeeded".to_owned()));
    assert_that!(
        started,
        unordered_elements_are![eq(&expected[0]), eq(&expected[1])]
    );
    Ok(())
}

/// Guards against a job that restarts, or stops, because the leader was killed.
#[tokio::test]
async fn running_gang_survives_the_loss_of_its_leader() -> eyre::Result<()> {
    let mut site = TestSite::start().await?;
    submit(&site, "e1", &job("long", 2, 8, &["sleep", "12s"])).await?;
    let running = wait_state(&site, "e1", "long", "running").await?;
    let status = site
        .operator("e1", "GET", "/v1/status", None)
        .await?
        .json()?;
    let leader = status["duties"][0]["holder"]
        .as_str()
        .unwrap_or_default()
        .to_owned();
    let other = if leader == "e1" { "e2" } else { "e1" };
    site.process(&leader)?.kill()?;
    submit(&site, other, &job("next", 1, 8, &["sleep", "100ms"])).await?;
    wait_state(&site, other, "next", "succeeded").await?;
    let status = wait_state(&site, other, "long", "succeeded").await?;
    assert_that!(status["attempt"], eq(&running["attempt"]));
    Ok(())
}

/// Guards against a start in a zone that was taken out of service, and against a zone
/// that can't be returned to service.
#[tokio::test]
async fn zone_is_taken_out_of_service_and_returned() -> eyre::Result<()> {
    let site = TestSite::start().await?;
    let out = json!({"open": false});
    let response = site
        .operator("e1", "PUT", "/v1/zones/zone-b", Some(&out))
        .await?;
    assert_that!(response.status, eq(200));
    // Until the leader has read the change, tasks may still start, for 3 s at most.
    for entry in ["e1", "e2"] {
        wait_for("the zone to be out of service", START_LIMIT, async || {
            let status = site.status(entry).await?;
            (status["zones_out"] == json!(["zone-b"])).then_some(())
        })
        .await?;
    }
    submit(&site, "e1", &job("wide", 3, 8, &["sleep", "100ms"])).await?;
    wait_for("the job to wait for resources", STATE_LIMIT, async || {
        let why = site
            .operator("e2", "GET", "/v1/jobs/wide/why", None)
            .await
            .ok()?;
        why.body.contains("needs room for 3 tasks").then_some(())
    })
    .await?;
    let back = json!({"open": true});
    let response = site
        .operator("e2", "PUT", "/v1/zones/zone-b", Some(&back))
        .await?;
    assert_that!(response.status, eq(200));
    wait_state(&site, "e1", "wide", "succeeded").await?;
    Ok(())
}

/// Guards against tasks that stop with the table service, and against a second attempt
/// after a lost response to a write.
#[tokio::test]
async fn running_gang_survives_an_outage_of_the_store() -> eyre::Result<()> {
    let site = TestSite::start().await?;
    submit(&site, "e1", &job("steady", 2, 8, &["sleep", "35s"])).await?;
    let running = wait_state(&site, "e1", "steady", "running").await?;
    site.faults(&json!({"tables_down": true})).await?;
    let response = site
        .request("e1", "/sleep/30000", &[("x-timeout-ms", "40000")], "r")
        .await?;
    assert_that!(response.verdict, eq("answered"));
    site.faults(&json!({"lose_commit_answers": 3})).await?;
    let status = wait_state(&site, "e1", "steady", "succeeded").await?;
    assert_that!(status["attempt"], eq(&running["attempt"]));
    Ok(())
}

/// Guards against a gang that continues with some of its tasks while an agent is paused.
#[tokio::test]
async fn frozen_agent_stops_its_gang_whole() -> eyre::Result<()> {
    let mut site = TestSite::start().await?;
    submit(&site, "e1", &job("frozen", 2, 8, &["forever"])).await?;
    let status = wait_state(&site, "e1", "frozen", "running").await?;
    let worker = status["places"][0]["worker"]
        .as_str()
        .unwrap_or_default()
        .to_owned();
    site.process(&worker)?.signal(Signal::STOP)?;
    wait_for(
        "no task of the first attempt to run",
        STATE_LIMIT,
        async || {
            let tasks = tasks(&site).await.ok()?;
            let runs = |(task, phase): &(String, String)| {
                task.starts_with("frozen:1:") && phase == "running"
            };
            (!tasks.iter().any(runs)).then_some(())
        },
    )
    .await?;
    site.process(&worker)?.signal(Signal::CONT)?;
    let tasks = tasks(&site).await?;
    let runs: Vec<_> = tasks
        .iter()
        .filter(|(_, phase)| phase == "running")
        .collect();
    // The names of the tasks carry the attempt.
    assert_that!(runs.len(), any![eq(0), eq(2)], "tasks: {tasks:?}");
    Ok(())
}
