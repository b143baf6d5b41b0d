//! Guards the take-out of availability zones over real processes.

use std::time::{Duration, Instant};

use cumindeck_e2e::{Fault, SiteOptions, TestSite, job, wait_for};
use googletest::prelude::*;
use serde_json::json;

/// Time after a take-out from which no task starts in the zone.
const START_LIMIT: Duration = Duration::from_secs(3);
/// Time in which no task may start: the start limit, the lease of a duty and a
/// takeover.
const WATCH: Duration = Duration::from_secs(10);
/// Longest time between two small jobs, if the earlier one doesn't start.
const SUBMIT_PAUSE: Duration = Duration::from_secs(2);
/// Longest wait for a call that submits a small job.
const CALL_LIMIT: Duration = Duration::from_secs(1);
/// Longer than the duty lease of 3 s and the takeover by another entry.
const FROZEN: Duration = Duration::from_secs(6);
/// Longest time until another entry holds the duty.
const TAKEOVER_LIMIT: Duration = Duration::from_secs(10);

/// Takes a zone out and returns when the change was accepted.
async fn take_out(site: &TestSite, entry: &str, zone: &str) -> eyre::Result<Instant> {
    let path = format!("/v1/zones/{zone}");
    let reply = site
        .operator(entry, "PUT", &path, Some(&json!({"open": false})))
        .await?;
    assert_that!(reply.status, eq(200), "{reply:?}");
    Ok(Instant::now())
}

/// Submits small jobs until `until`, each after the one before has started, and
/// fails on each start in zone-b that is later than allowed.
async fn watch(site: &TestSite, entry: &str, out: Instant, until: Instant) -> eyre::Result<()> {
    let mut last: Option<(String, Instant)> = None;
    let mut number = 0;
    while Instant::now() < until {
        let is_due = match &last {
            None => true,
            Some((id, at)) => {
                let has_started = site.tasks_of(id).await?.iter().any(|t| t.started.is_some());
                has_started || Instant::now().duration_since(*at) > SUBMIT_PAUSE
            }
        };
        if is_due {
            number += 1;
            let id = format!("small-{entry}-{number}");
            let job = job(&id, 1, &["sleep", "50ms"]);
            // An entry without the store refuses, and one that asks a frozen entry
            // waits; the others go on.
            let call = site.operator(entry, "POST", "/v1/jobs", Some(&job));
            let _ = tokio::time::timeout(CALL_LIMIT, call).await;
            last = Some((id, Instant::now()));
        }
        check_starts(site, out).await?;
    }
    Ok(())
}

async fn check_starts(site: &TestSite, out: Instant) -> eyre::Result<()> {
    for prefix in ["small", "wide", "wait"] {
        for task in tasks_with(site, prefix).await? {
            let is_in_zone = site.agents().contains(&(task.worker, "zone-b"));
            let late = task.started.map(|at| at.saturating_duration_since(out));
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

/// Guards against a start in a zone that was taken out while a job waits for
/// room there.
#[tokio::test]
async fn no_task_starts_in_a_zone_while_a_job_waits() -> eyre::Result<()> {
    let site = TestSite::start().await?;
    let busy = job("busy", 3, &["sleep", "4s"]);
    site.submit("e1", &busy).await?;
    site.wait_job("e1", "busy", &["running"]).await?;
    site.submit("e2", &job("wait", 3, &["sleep", "100ms"]))
        .await?;
    let out = take_out(&site, "e2", "zone-b").await?;
    watch(&site, "e1", out, Instant::now() + WATCH).await?;
    let back = json!({"open": true});
    let reply = site.operator("e1", "PUT", "/v1/zones/zone-b", Some(&back));
    assert_that!(reply.await?.status, eq(200));
    site.wait_job("e1", "wait", &["succeeded"]).await?;
    Ok(())
}

/// Guards against a duty holder that starts tasks with an old start right after
/// it was frozen for longer than its lease.
#[tokio::test]
async fn frozen_duty_holder_starts_no_task_in_a_zone() -> eyre::Result<()> {
    let mut site = TestSite::start().await?;
    site.submit("e1", &job("busy", 3, &["sleep", "3s"])).await?;
    site.wait_job("e1", "busy", &["running"]).await?;
    // Room for the waiting job comes while the holder is frozen.
    site.submit("e1", &job("wait", 3, &["sleep", "100ms"]))
        .await?;
    let holder = site.holder("e1").await?;
    let other = if holder == "e1" { "e2" } else { "e1" };
    site.process(&holder)?.freeze()?;
    let frozen = Instant::now();
    let out = take_out(&site, other, "zone-b").await?;
    watch(&site, other, out, frozen + FROZEN).await?;
    site.process(&holder)?.thaw()?;
    watch(&site, &holder, out, Instant::now() + WATCH).await
}

/// Guards against an entry without the store that goes on with the start rights
/// that it read before.
#[tokio::test]
async fn entry_cut_from_the_store_starts_no_task_in_a_zone() -> eyre::Result<()> {
    let options = SiteOptions {
        has_relays: true,
        ..SiteOptions::default()
    };
    let site = TestSite::start_with(options).await?;
    let holder = site.holder("e1").await?;
    let other = if holder == "e1" { "e2" } else { "e1" };
    site.submit(&holder, &job("busy", 3, &["sleep", "2s"]))
        .await?;
    site.wait_job(&holder, "busy", &["running"]).await?;
    site.submit(&holder, &job("wait", 3, &["sleep", "100ms"]))
        .await?;
    site.fault(&format!("{holder}-platform"), Fault::PARTITION)?;
    let out = take_out(&site, other, "zone-b").await?;
    watch(&site, other, out, Instant::now() + WATCH).await?;
    wait_for(
        "the other entry to hold the duty",
        TAKEOVER_LIMIT,
        async || (site.status(other).await?["duties"][0]["holder"] == other).then_some(()),
    )
    .await?;
    site.fault(&format!("{holder}-platform"), Fault::NONE)?;
    watch(&site, &holder, out, Instant::now() + START_LIMIT).await
}
