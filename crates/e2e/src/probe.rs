//! State of a site that tests check: calls of backend servers, jobs, tasks, metrics.

use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::{Response, TestSite, wait_for};

/// Maximum time until a job reaches a state, including the takeover by another entry.
const STATE_LIMIT: Duration = Duration::from_secs(30);

/// Number of keys such that each of three agents is very likely the home of one.
const NEW_KEYS: usize = 24;

/// A task as its worker reports it.
#[derive(Debug, Clone)]
pub struct Task {
    /// Worker that runs the task.
    pub worker: &'static str,
    /// Job, attempt and number of the task, separated by colons.
    pub name: String,
    /// Phase as the platform reports it, such as `running`.
    pub phase: String,
    /// When the task process started, if it did.
    pub started: Option<Instant>,
}

impl Task {
    /// Returns whether the task process is running.
    #[must_use]
    pub fn is_running(&self) -> bool {
        self.phase == "running"
    }
}

/// Creates a time-ordered idempotency key.
#[must_use]
pub fn new_key() -> String {
    uuid::Uuid::now_v7().to_string()
}

/// Creates the specification of a job whose tasks need a whole worker each.
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
    /// Returns the number of calls with a key at the backend server of an agent.
    pub async fn calls_at(&self, agent: &str, key: &str) -> eyre::Result<u64> {
        let path = format!("/count/{key}");
        let address = self.backend(agent);
        let response = self.client.call("GET", address, &path, &[], "").await?;
        Ok(response.body.trim().parse()?)
    }

    /// Returns the number of calls with a key at all backend servers.
    pub async fn calls(&self, key: &str) -> eyre::Result<u64> {
        let mut calls = 0;
        for (agent, _) in self.agents() {
            calls += self.calls_at(agent, key).await?;
        }
        Ok(calls)
    }

    /// Sends a non-idempotent request that the backend server counts by its key.
    pub async fn request_with_key(&self, entry: &str, key: &str) -> eyre::Result<Response> {
        let path = format!("/count/{key}");
        self.request(entry, &path, &[("idempotency-key", key)], "")
            .await
    }

    /// Waits until all home agents accept new keys, which takes time after the start and
    /// after the loss of an agent.
    pub async fn wait_claims(&self, entry: &str, limit: Duration) -> eyre::Result<()> {
        wait_for("new keys to be accepted", limit, async || {
            for _ in 0..NEW_KEYS {
                let response = self.request_with_key(entry, &new_key()).await.ok()?;
                if response.verdict != "answered" {
                    return None;
                }
            }
            Some(())
        })
        .await
    }

    /// Calls a path of the administrative listener of an agent or an entry.
    pub async fn admin(&self, process: &str, path: &str) -> eyre::Result<Response> {
        let entry = self.operators.get(process).copied();
        let address = entry.unwrap_or_else(|| self.agent_admin(process));
        self.client.call("GET", address, path, &[], "").await
    }

    /// Returns a value of the metrics of a process, such as `in_flight`.
    pub async fn gauge(&self, process: &str, name: &str) -> Option<u64> {
        let metrics = self.admin(process, "/metrics").await.ok()?.body;
        let name = format!("name=\"{name}\"");
        let line = metrics.lines().find(|line| line.contains(&name))?;
        line.rsplit_once(' ')?.1.parse().ok()
    }

    /// Returns the state of the site as an entry reports it.
    pub async fn status(&self, entry: &str) -> Option<Value> {
        let response = self.operator(entry, "GET", "/v1/status", None).await.ok()?;
        response.json().ok()
    }

    /// Waits until an entry is the leader of the region and returns its name.
    pub async fn leader(&self, entry: &str) -> eyre::Result<String> {
        wait_for("a leader", STATE_LIMIT, async || {
            let status = self.status(entry).await?;
            Some(status["duties"][0]["holder"].as_str()?.to_owned())
        })
        .await
    }

    /// Submits a job repeatedly until an entry accepts it.
    pub async fn submit(&self, entry: &str, job: &Value) -> eyre::Result<()> {
        wait_for("the job to be accepted", STATE_LIMIT, async || {
            let response = self.operator(entry, "POST", "/v1/jobs", Some(job)).await;
            matches!(response.ok()?.status, 200 | 201).then_some(())
        })
        .await
    }

    /// Waits until a job is in one of `states` and returns its status.
    pub async fn wait_job(&self, entry: &str, job: &str, states: &[&str]) -> eyre::Result<Value> {
        let what = format!("{job} to be {}", states.join(" or "));
        let path = format!("/v1/jobs/{job}");
        let mut last = String::new();
        let waited = wait_for(&what, STATE_LIMIT, async || {
            let response = self.operator(entry, "GET", &path, None).await.ok()?;
            last.clone_from(&response.body);
            let status = response.json().ok()?;
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
                let response = self.operator(entry, "GET", &path, None).await;
                eprintln!("{path}: {:?}", response.map(|response| response.body));
            }
        }
        waited.map_err(|err| err.wrap_err(format!("last status: {last}")))
    }

    /// Returns the tasks of a job at all workers.
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
            let response = self
                .client
                .call("GET", self.platform, &path, &[], "")
                .await?;
            for task in response.json()?["tasks"].as_array().into_iter().flatten() {
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
