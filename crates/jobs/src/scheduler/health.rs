//! Which workers fail what they run.

use std::collections::BTreeMap;
use std::time::Duration;

use cumindeck_types::{AgentId, JobId, Uptime};

/// Time for which a failure counts against a worker.
const MEMORY: Duration = Duration::from_secs(12);

/// Different jobs that must fail on a worker before it gets no more work.
///
/// One job that fails may be at fault itself.
const SUSPECT_JOBS: usize = 2;

/// Failures by agent.
#[derive(Debug, Default)]
pub(super) struct Health {
    failures: BTreeMap<AgentId, BTreeMap<JobId, Uptime>>,
}

impl Health {
    /// Makes the health of workers of which nothing is known.
    pub const fn new() -> Self {
        Self {
            failures: BTreeMap::new(),
        }
    }

    /// Notes that a task failed, stood still or was slow.
    pub fn on_failure(&mut self, now: Uptime, agent: &AgentId, job: &JobId) {
        let failures = self.failures.entry(agent.clone()).or_default();
        failures.insert(job.clone(), now);
    }

    /// Notes that a task succeeded.
    pub fn on_success(&mut self, agent: &AgentId) {
        self.failures.remove(agent);
    }

    /// Returns the number of different jobs that failed lately.
    pub fn failed_jobs(&self, now: Uptime, agent: &AgentId) -> usize {
        let failures = self.failures.get(agent);
        failures.map_or(0, |failures| {
            let is_recent = |at: &&Uptime| now.since(**at) < MEMORY;
            failures.values().filter(is_recent).count()
        })
    }

    /// Tells whether a worker should get no more work.
    pub fn is_suspect(&self, now: Uptime, agent: &AgentId) -> bool {
        self.failed_jobs(now, agent) >= SUSPECT_JOBS
    }
}
