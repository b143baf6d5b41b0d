//! Bodies that clients and the operator of the users' platform send.

use serde_json::{Value, json};

/// A queue with one team, as the operator's configuration names it.
#[derive(Debug, Clone, Copy)]
pub struct QueueBody<'a> {
    /// Version of the configuration.
    pub version: u64,
    /// Host that callers name.
    pub host: &'a str,
    /// Start of the paths of the queue.
    pub prefix: &'a str,
    /// Service whose workers run the jobs.
    pub service: &'a str,
    /// Key of the team's callers.
    pub key: &'a str,
    /// Runs of a task that may fail.
    pub max_attempts: u64,
}

impl QueueBody<'_> {
    /// Returns the configuration.
    #[must_use]
    pub fn text(&self) -> String {
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

/// Returns a job of steps with this many tasks, each after all earlier ones.
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
