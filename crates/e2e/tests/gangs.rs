//! Guards gangs of three tasks, with real processes: all tasks run or none, within the
//! allowed attempts and with one outcome.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use cumindeck_e2e::{Fault, SiteOptions, Task, TestSite, job, wait_for};
use googletest::prelude::*;
use serde_json::{Value, json};

/// Maximum time until a task whose agent is lost has stopped: its lease of 8 s, which may
/// have been renewed up to 1 s after the loss, expires; then the worker is polled.
const STOP_LIMIT: Duration = Duration::from_secs(10);
/// Maximum time until the other members of a gang have stopped: detection of the lost
/// member by heartbeats (5 s), then the order to the worker.
const HEARTBEAT_LIMIT: Duration = Duration::from_secs(6);
/// Maximum time until a stopped gang runs on other workers, including one refused start.
const RESTART_LIMIT: Duration = Duration::from_secs(10);
/// Time after the end of a job during which nothing may change.
const QUIET_TIME: Duration = Duration::from_secs(3);

/// A running gang of three on a site with a fourth worker.
struct Gang {
    site: TestSite,
    /// Workers in the order of the task numbers.
    workers: Vec<&'static str>,
    /// The running attempt, which is not the first one if a start was refused.
    attempt: u64,
}

async fn start_gang(has_relays: bool) -> eyre::Result<Gang> {
    let options = SiteOptions {
        has_spare: true,
        has_relays,
    };
    let site = TestSite::start_with(options).await?;
    site.submit("e1", &job("gang", 3, &["forever"])).await?;
    let status = site.wait_job("e1", "gang", &["running"]).await?;
    let places = status["places"].as_array().into_iter().flatten();
    let agents = site.agents();
    let workers: Vec<_> = places
        .filter_map(|place| place["worker"].as_str())
        .filter_map(|worker| agents.iter().find(|(agent, _)| *agent == worker))
        .map(|(agent, _)| *agent)
        .collect();
    assert_that!(workers.len(), eq(3), "{status}");
    let attempt = status["attempt"].as_u64().unwrap_or_default();
    assert_that!(running(&site).await?.len(), eq(3));
    Ok(Gang {
        site,
        workers,
        attempt,
    })
}

/// Returns the running tasks of the gang with their attempts.
async fn running(site: &TestSite) -> eyre::Result<Vec<(u64, Task)>> {
    let mut tasks = site.tasks_of("gang").await?;
    tasks.retain(Task::is_running);
    let attempt = |task: &Task| task.name.split(':').nth(1)?.parse().ok();
    Ok(tasks
        .into_iter()
        .filter_map(|task| Some((attempt(&task)?, task)))
        .collect())
}

/// Waits until the whole first attempt has stopped, then until a later attempt runs
/// with all tasks on other workers.
async fn check_restart(gang: &Gang, lost: &str) -> eyre::Result<()> {
    let started = Instant::now();
    wait_for("the other members to stop", HEARTBEAT_LIMIT, async || {
        let tasks = running(&gang.site).await.ok()?;
        let is_other =
            |(attempt, task): &(u64, Task)| *attempt == gang.attempt && task.worker != lost;
        (!tasks.iter().any(is_other)).then_some(())
    })
    .await?;
    println!("other members stopped after {:?}", started.elapsed());
    let left = STOP_LIMIT.saturating_sub(started.elapsed());
    wait_for("the first attempt to stop", left, async || {
        let tasks = running(&gang.site).await.ok()?;
        (!tasks.iter().any(|(attempt, _)| *attempt == gang.attempt)).then_some(())
    })
    .await?;
    println!("stopped as a whole after {:?}", started.elapsed());
    let what = "a later attempt to run as a whole";
    let later = wait_for(what, RESTART_LIMIT, async || {
        let tasks = running(&gang.site).await.ok()?;
        (tasks.len() == 3).then_some(tasks)
    })
    .await?;
    println!("runs again after {:?}", started.elapsed());
    let attempts: BTreeSet<_> = later.iter().map(|(attempt, _)| *attempt).collect();
    assert_that!(attempts.len(), eq(1), "{later:?}");
    assert_that!(attempts.first(), some(gt(&gang.attempt)));
    assert_that!(
        later.iter().any(|(_, task)| task.worker == lost),
        eq(false),
        "{later:?}"
    );
    let status = gang.site.wait_job("e2", "gang", &["running"]).await?;
    assert_that!(status["attempt"].as_u64(), eq(attempts.first().copied()));
    Ok(())
}

/// Guards against a gang that continues without a member whose agent was killed.
#[tokio::test]
async fn gang_restarts_whole_after_a_killed_member() -> eyre::Result<()> {
    let mut gang = start_gang(false).await?;
    let lost = gang.workers[2];
    gang.site.process(lost)?.kill()?;
    check_restart(&gang, lost).await
}

/// Guards against a gang that continues without a member that is unreachable.
#[tokio::test]
async fn gang_restarts_whole_after_a_member_is_cut_off() -> eyre::Result<()> {
    let gang = start_gang(true).await?;
    let lost = gang.workers[2];
    gang.site.fault(lost, Fault::PARTITION)?;
    for name in ["e1", "e2", gang.workers[0], gang.workers[1]] {
        gang.site.fault(name, Fault::StopFrom(lost))?;
    }
    check_restart(&gang, lost).await
}

/// Guards against more attempts than allowed, against other tasks of a gang that
/// continue after one failed, and against two outcomes.
#[tokio::test]
async fn gang_on_a_failing_worker_stays_within_its_attempts() -> eyre::Result<()> {
    let site = TestSite::start().await?;
    site.faults(&json!({"failing_workers": ["w3"]})).await?;
    let mut spec = job("gang", 3, &["forever"]);
    spec["max_attempts"] = json!(2);
    site.submit("e1", &spec).await?;
    let status = site.wait_job("e1", "gang", &["failed"]).await?;
    let attempt = status["attempt"].clone();
    // A start that was refused before a task process ran uses up no attempt.
    let tasks = site.tasks_of("gang").await?;
    let started = tasks.iter().filter(|task| task.started.is_some());
    let attempts: BTreeSet<_> = started
        .filter_map(|task| task.name.split(':').nth(1))
        .collect();
    assert_that!(attempts.len(), eq(2), "{tasks:?}");
    wait_for(
        "the rest of the gang to stop",
        HEARTBEAT_LIMIT,
        async || {
            let tasks = site.tasks_of("gang").await.ok()?;
            (!tasks.iter().any(Task::is_running)).then_some(())
        },
    )
    .await?;
    let ended = Instant::now();
    while ended.elapsed() < QUIET_TIME {
        for entry in ["e1", "e2"] {
            let status = site.wait_job(entry, "gang", &["failed"]).await?;
            assert_that!(status["attempt"], eq(&attempt));
        }
        let tasks = site.tasks_of("gang").await?;
        let is_running = tasks.iter().any(Task::is_running);
        assert_that!(is_running, eq(false), "{tasks:?}");
    }
    Ok(())
}

/// Guards against a job that runs twice, or is lost, because the response to the write
/// that accepted it was lost.
#[tokio::test]
async fn job_with_a_lost_write_response_runs_once() -> eyre::Result<()> {
    let site = TestSite::start().await?;
    for lost in 1..=3 {
        let id = format!("lost-{lost}");
        site.faults(&json!({"lose_commit_answers": lost})).await?;
        let spec = job(&id, 2, &["sleep", "200ms"]);
        let response = site.operator("e2", "POST", "/v1/jobs", Some(&spec)).await?;
        if response.status >= 300 {
            assert_that!(response.status, any![eq(503), eq(504)], "{response:?}");
        }
        site.faults(&json!({})).await?;
        site.submit("e1", &spec).await?;
        site.wait_job("e1", &id, &["succeeded"]).await?;
        let tasks = site.tasks_of(&id).await?;
        let started = tasks.iter().filter(|task| task.started.is_some());
        assert_that!(started.count(), eq(2), "{tasks:?}");
    }
    Ok(())
}

/// Guards against a task that runs after its job was cancelled during the start.
#[tokio::test]
async fn cancel_that_races_the_start_leaves_no_task() -> eyre::Result<()> {
    let site = TestSite::start().await?;
    for number in 0..8 {
        let id = format!("race-{number}");
        let path = format!("/v1/jobs/{id}");
        site.submit("e1", &job(&id, 3, &["forever"])).await?;
        // Each round cancels later in the start, after more polls of the tasks.
        for _ in 0..number * 4 {
            site.tasks_of(&id).await?;
        }
        let entry = if number % 2 == 0 { "e1" } else { "e2" };
        let response = site.operator(entry, "DELETE", &path, None).await?;
        assert_that!(response.status, eq(200), "{response:?}");
        site.wait_job("e2", &id, &["cancelled"]).await?;
        wait_for("no task of the job", STOP_LIMIT, async || {
            let tasks = site.tasks_of(&id).await.ok()?;
            let is_live = |task: &Task| task.is_running() || task.phase == "prepared";
            (!tasks.iter().any(is_live)).then_some(())
        })
        .await?;
        let status = site.operator("e1", "GET", &path, None).await?.json()?;
        assert_that!(status["state"], eq(&Value::from("cancelled")));
    }
    Ok(())
}
