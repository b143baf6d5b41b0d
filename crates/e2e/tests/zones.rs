//! Guards zones that are taken out of service, with real processes.

use std::time::{Duration, Instant};

use cumindeck_e2e::{Fault, SiteOptions, TestSite, job, wait_for};
use googletest::prelude::*;
use serde_json::json;

/// Time after which no task may start in a zone that was taken out of service.
const START_LIMIT: Duration = Duration::from_secs(3);
/// Time to observe starts: the start limit, the validity period of a leader lease and a
/// takeover.
const OBSERVATION_TIME: Duration = Duration::from_secs(10);
/// Maximum time between two small jobs if the first one doesn't start.
const SUBMIT_PAUSE: Duration = Duration::from_secs(2);
/// Maximum wait for a call that submits a small job.
const CALL_LIMIT: Duration = Duration::from_secs(1);
/// Length of a leader's pause: longer than its lease of 3 s and the takeover by another
/// entry.
const PAUSE: Duration = Duration::from_secs(6);
/// Maximum time until another entry is the leader.
const TAKEOVER_LIMIT: Duration = Duration::from_secs(10);

/// Takes a zone out of service and returns the time at which the change was accepted.
async fn take_out(site: &TestSite, entry: &str, zone: &str) -> eyre::Result<Instant> {
    let path = format!("/v1/zones/{zone}");
    let response = site
        .operator(entry, "PUT", &path, Some(&json!({"open": false})))
        .await?;
    assert_that!(response.status, eq(200), "{response:?}");
    Ok(Instant::now())
}

/// Submits small jobs until `until`, each after the previous one has started, and fails
/// if a task starts in zone-b later than allowed.
async fn check_until(
    site: &TestSite,
    entry: &str,
    taken_out: Instant,
    until: Instant,
) -> eyre::Result<()> {
    let mut last: Option<(String, Instant)> = None;
    let mut number = 0;
    while Instant::now() < until {
        let must_submit = match &last {
            None => true,
            Some((id, at)) => {
                let has_started = site.tasks_of(id).await?.iter().any(|t| t.started.is_some());
                has_started || Instant::now().duration_since(*at) > SUBMIT_PAUSE
            }
        };
        if must_submit {
            number += 1;
            let id = format!("small-{entry}-{number}");
            let job = job(&id, 1, &["sleep", "50ms"]);
            // An entry without a store refuses the job, and one that forwards it to a
            // paused entry waits. Both are ignored.
            let call = site.operator(entry, "POST", "/v1/jobs", Some(&job));
            let _ = tokio::time::timeout(CALL_LIMIT, call).await;
            last = Some((id, Instant::now()));
        }
        check_starts(site, taken_out).await?;
    }
    Ok(())
}

async fn check_starts(site: &TestSite, taken_out: Instant) -> eyre::Result<()> {
    for prefix in ["small", "wide", "wait"] {
        for task in tasks_with(site, prefix).await? {
            let is_in_zone = site.agents().contains(&(task.worker, "zone-b"));
            let late = task
                .started
                .map(|at| at.saturating_duration_since(taken_out));
            if is_in_zone {
                assert_that!(late.unwrap_or_default(), le(START_LIMIT), "{task:?}");
            }
        }
    }
    Ok(())
}

async fn tasks_with(site: &TestSite, prefix: &str) -> eyre::Result<Vec<cumindeck_e2e::Task>> {
    let mut tasks = site.all_tasks().await?;
    tasks.retain(|task| task.name.starts_with(prefix));
    Ok(tasks)
}

/// Guards against a start in a zone that was taken out of service while a job waits for
/// free capacity there.
#[tokio::test]
async fn no_task_starts_in_a_zone_while_a_job_waits() -> eyre::Result<()> {
    let site = TestSite::start().await?;
    let busy = job("busy", 3, &["sleep", "4s"]);
    site.submit("e1", &busy).await?;
    site.wait_job("e1", "busy", &["running"]).await?;
    site.submit("e2", &job("wait", 3, &["sleep", "100ms"]))
        .await?;
    let taken_out = take_out(&site, "e2", "zone-b").await?;
    check_until(&site, "e1", taken_out, Instant::now() + OBSERVATION_TIME).await?;
    let back = json!({"open": true});
    let response = site.operator("e1", "PUT", "/v1/zones/zone-b", Some(&back));
    assert_that!(response.await?.status, eq(200));
    site.wait_job("e1", "wait", &["succeeded"]).await?;
    Ok(())
}

/// Guards against a leader that, after a pause longer than its lease, starts tasks with
/// a start decision made before.
#[tokio::test]
async fn paused_leader_starts_no_task_in_a_zone() -> eyre::Result<()> {
    let mut site = TestSite::start().await?;
    site.submit("e1", &job("busy", 3, &["sleep", "3s"])).await?;
    site.wait_job("e1", "busy", &["running"]).await?;
    // Capacity for the waiting job becomes free while the leader is paused.
    site.submit("e1", &job("wait", 3, &["sleep", "100ms"]))
        .await?;
    let leader = site.leader("e1").await?;
    let other = if leader == "e1" { "e2" } else { "e1" };
    site.process(&leader)?.pause()?;
    let paused_at = Instant::now();
    let taken_out = take_out(&site, other, "zone-b").await?;
    check_until(&site, other, taken_out, paused_at + PAUSE).await?;
    site.process(&leader)?.resume()?;
    check_until(&site, &leader, taken_out, Instant::now() + OBSERVATION_TIME).await
}

/// Guards against an entry that is disconnected from the store and continues to use the
/// start rights that it read before.
#[tokio::test]
async fn entry_without_the_store_starts_no_task_in_a_zone() -> eyre::Result<()> {
    let options = SiteOptions {
        has_relays: true,
        ..SiteOptions::default()
    };
    let site = TestSite::start_with(options).await?;
    let leader = site.leader("e1").await?;
    let other = if leader == "e1" { "e2" } else { "e1" };
    site.submit(&leader, &job("busy", 3, &["sleep", "2s"]))
        .await?;
    site.wait_job(&leader, "busy", &["running"]).await?;
    site.submit(&leader, &job("wait", 3, &["sleep", "100ms"]))
        .await?;
    site.fault(&format!("{leader}-platform"), Fault::PARTITION)?;
    let taken_out = take_out(&site, other, "zone-b").await?;
    check_until(&site, other, taken_out, Instant::now() + OBSERVATION_TIME).await?;
    wait_for(
        "the other entry to be the leader",
        TAKEOVER_LIMIT,
        async || (site.status(other).await?["duties"][0]["holder"] == other).then_some(()),
    )
    .await?;
    site.fault(&format!("{leader}-platform"), Fault::NONE)?;
    check_until(&site, &leader, taken_out, Instant::now() + START_LIMIT).await
}
