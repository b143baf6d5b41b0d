//! Request bodies and configuration that clients and the operator send.

use serde_json::{Value, json};

/// Operator's configuration with one queue and one team.
#[derive(Debug, Clone, Copy)]
pub struct QueueConfig<'a> {
    /// Version that the operator gives the configuration.
    pub version: u64,
    /// Host name in callers' requests.
    pub host: &'a str,
    /// Prefix of the paths that belong to the queue.
    pub prefix: &'a str,
    /// Service whose workers run the jobs.
    pub service: &'a str,
    /// API key of the team's callers.
    pub key: &'a str,
    /// Maximum number of runs per task.
    pub max_attempts: u64,
}

impl QueueConfig<'_> {
    /// Returns the configuration as JSON.
    #[must_use]
    pub fn to_json(&self) -> String {
        json!({
            "version": self.version,
            "routes": [{
                "name": self.service, "host": self.host, "prefix": self.prefix,
                "service": self.service, "priority": 1, "maxAttempts": self.max_attempts,
                "slackFactor": 3, "targetDurationMs": 1_000,
            }],
            "tenants": [{ "name": "team", "apiKeys": [self.key], "guaranteed": { "gpu": 4 } }],
        })
        .to_string()
    }
}

/// Returns a job whose steps have `steps` tasks each and run one after another.
#[must_use]
pub fn job_body(payload: &str, steps: &[u64]) -> String {
    let steps = steps.iter().enumerate().map(|(at, count)| {
        json!({
            "count": count, "cpu": 1_000, "memMb": 1_000, "gpu": 1, "estimateMs": 1_000,
            "after": (0..at).collect::<Vec<_>>(),
        })
    });
    let steps: Vec<Value> = steps.collect();
    json!({ "taskSpec": payload, "steps": steps }).to_string()
}

/// Returns a job with one step: a gang of `tasks` tasks.
#[must_use]
pub fn gang_body(payload: &str, tasks: u64) -> String {
    let step = json!({
        "count": tasks, "cpu": 1_000, "memMb": 1_000, "gpu": 1, "estimateMs": 1_000, "gang": true,
    });
    json!({ "taskSpec": payload, "steps": [step] }).to_string()
}
