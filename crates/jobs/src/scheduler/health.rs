//! Failure records of workers.

use std::collections::BTreeMap;
use std::time::Duration;

use cumindeck_types::{AgentId, JobId, Uptime};

/// Time for which a failure counts against a worker.
const FAILURE_RETENTION: Duration = Duration::from_secs(12);

/// Number of different jobs that must fail on a worker before it gets no more work.
///
/// A single job that fails may itself be the cause.
const SUSPECT_JOBS: usize = 2;

/// Time of the last failure by agent and job.
#[derive(Debug, Default)]
pub(super) struct Health {
    failures: BTreeMap<AgentId, BTreeMap<JobId, Uptime>>,
}

impl Health {
    pub const fn new() -> Self {
        Self {
            failures: BTreeMap::new(),
        }
    }

    /// Records that a run of the job failed, stalled or was slow.
    pub fn on_failure(&mut self, now: Uptime, agent: &AgentId, job: &JobId) {
        let failures = self.failures.entry(agent.clone()).or_default();
        failures.insert(job.clone(), now);
    }

    /// Removes the failures of a worker after a task succeeded on it.
    pub fn on_success(&mut self, agent: &AgentId) {
        self.failures.remove(agent);
    }

    /// Returns the number of different jobs that failed recently.
    pub fn failed_jobs(&self, now: Uptime, agent: &AgentId) -> usize {
        let failures = self.failures.get(agent);
        failures.map_or(0, |failures| {
            let is_recent = |at: &&Uptime| now.since(**at) < FAILURE_RETENTION;
            failures.values().filter(is_recent).count()
        })
    }

    /// Returns whether a worker should get no more work.
    pub fn is_suspect(&self, now: Uptime, agent: &AgentId) -> bool {
        self.failed_jobs(now, agent) >= SUSPECT_JOBS
    }
}
