//! What tests look up at a site: calls of backend servers, jobs, tasks and metrics.

use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::{Reply, TestSite, wait_for};

/// Longest time for a job to reach a state while an entry may have to take over.
const STATE_LIMIT: Duration = Duration::from_secs(30);

/// Keys of which each of three agents is very probably the home of one.
const NEW_KEYS: usize = 24;

/// A task at its worker.
#[derive(Debug, Clone)]
pub struct Task {
    /// Worker.
    pub worker: &'static str,
    /// Job, attempt and number of the task.
    pub name: String,
    /// State at the worker.
    pub phase: String,
    /// When the body started.
    pub started: Option<Instant>,
}

impl Task {
    /// Tells whether the task's body runs.
    #[must_use]
    pub fn is_running(&self) -> bool {
        self.phase == "running"
    }
}

/// Makes a time-ordered idempotency key.
#[must_use]
pub fn new_key() -> String {
    uuid::Uuid::now_v7().to_string()
}

/// Makes a job of whole workers.
#[must_use]
pub fn job(id: &str, tasks: u32, command: &[&str]) -> Value {
    json!({
        "id": id,
        "team": "letters",
        "region": "north",
        "tasks": tasks,
        "accelerators": 8,
        "command": command,
    })
}

impl TestSite {
    /// Returns how often the backend server beside an agent was called with a key.
    pub async fn calls_at(&self, agent: &str, key: &str) -> eyre::Result<u64> {
        let path = format!("/count/{key}");
        let address = self.backend(agent);
        let reply = self.client.call("GET", address, &path, &[], "").await?;
        Ok(reply.body.trim().parse()?)
    }

    /// Returns how often all backend servers were called with a key.
    pub async fn calls(&self, key: &str) -> eyre::Result<u64> {
        let mut calls = 0;
        for (agent, _) in self.agents() {
            calls += self.calls_at(agent, key).await?;
        }
        Ok(calls)
    }

    /// Sends a non-idempotent request that is counted under its key.
    pub async fn keyed(&self, entry: &str, key: &str) -> eyre::Result<Reply> {
        let path = format!("/count/{key}");
        self.request(entry, &path, &[("idempotency-key", key)], "")
            .await
    }

    /// Waits until every home agent accepts new keys, at first or after an agent was lost.
    pub async fn wait_claims(&self, entry: &str, limit: Duration) -> eyre::Result<()> {
        wait_for("new keys to be accepted", limit, async || {
            for _ in 0..NEW_KEYS {
                let reply = self.keyed(entry, &new_key()).await.ok()?;
                if reply.verdict != "answered" {
                    return None;
                }
            }
            Some(())
        })
        .await
    }

    /// Reads a path of an agent's or an entry's administrative listener.
    pub async fn admin(&self, process: &str, path: &str) -> eyre::Result<Reply> {
        let entry = self.operators.get(process).copied();
        let address = entry.unwrap_or_else(|| self.agent_admin(process));
        self.client.call("GET", address, path, &[], "").await
    }

    /// Returns a value of a process's metrics, such as `in_flight`.
    pub async fn gauge(&self, process: &str, name: &str) -> Option<u64> {
        let metrics = self.admin(process, "/metrics").await.ok()?.body;
        let name = format!("name=\"{name}\"");
        let line = metrics.lines().find(|line| line.contains(&name))?;
        line.rsplit_once(' ')?.1.parse().ok()
    }

    /// Returns the site's state as an entry sees it.
    pub async fn status(&self, entry: &str) -> Option<Value> {
        let reply = self.operator(entry, "GET", "/v1/status", None).await.ok()?;
        reply.json().ok()
    }

    /// Waits until an entry holds the duty of the region and returns its name.
    pub async fn holder(&self, entry: &str) -> eyre::Result<String> {
        wait_for("a duty holder", STATE_LIMIT, async || {
            let status = self.status(entry).await?;
            Some(status["duties"][0]["holder"].as_str()?.to_owned())
        })
        .await
    }

    /// Submits a job until an entry accepts it.
    pub async fn submit(&self, entry: &str, job: &Value) -> eyre::Result<()> {
        wait_for("the job to be accepted", STATE_LIMIT, async || {
            let reply = self.operator(entry, "POST", "/v1/jobs", Some(job)).await;
            matches!(reply.ok()?.status, 200 | 201).then_some(())
        })
        .await
    }

    /// Waits until a job is in one of some states and returns its status.
    pub async fn wait_job(&self, entry: &str, job: &str, states: &[&str]) -> eyre::Result<Value> {
        let what = format!("{job} to be {}", states.join(" or "));
        let path = format!("/v1/jobs/{job}");
        let mut last = String::new();
        let waited = wait_for(&what, STATE_LIMIT, async || {
            let reply = self.operator(entry, "GET", &path, None).await.ok()?;
            last.clone_from(&reply.body);
            let status = reply.json().ok()?;
            states
                .contains(&status["state"].as_str()?)
                .then_some(status)
        })
        .await;
        if waited.is_err() {
            for path in [
                format!("{path}/why"),
                "/v1/jobs".to_owned(),
                "/v1/workers".to_owned(),
                "/v1/zones".to_owned(),
                "/v1/status".to_owned(),
            ] {
                let reply = self.operator(entry, "GET", &path, None).await;
                eprintln!("{path}: {:?}", reply.map(|reply| reply.body));
            }
        }
        waited.map_err(|err| err.wrap_err(format!("last status: {last}")))
    }

    /// Returns all tasks of a job at all workers.
    pub async fn tasks_of(&self, job: &str) -> eyre::Result<Vec<Task>> {
        let mut tasks = self.all_tasks().await?;
        tasks.retain(|task| task.name.starts_with(&format!("{job}:")));
        Ok(tasks)
    }

    /// Returns all tasks at all workers.
    pub async fn all_tasks(&self) -> eyre::Result<Vec<Task>> {
        let mut all = Vec::new();
        for (worker, _) in self.agents() {
            let path = format!("/v1/workers/{worker}/tasks");
            let now = Instant::now();
            let reply = self
                .client
                .call("GET", self.platform, &path, &[], "")
                .await?;
            for task in reply.json()?["tasks"].as_array().into_iter().flatten() {
                let text = |key: &str| task[key].as_str().unwrap_or_default().to_owned();
                let ago = task["started_ms_ago"].as_u64().map(Duration::from_millis);
                all.push(Task {
                    worker,
                    name: text("task"),
                    phase: text("phase"),
                    started: ago.and_then(|ago| now.checked_sub(ago)),
                });
            }
        }
        Ok(all)
    }
}
