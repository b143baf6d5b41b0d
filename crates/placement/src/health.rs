//! Evidence against workers from failed tasks.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cumindeck_types::{JobId, Uptime};

use crate::cluster::WorkerIndex;
use crate::job::JobKey;

/// Jobs whose failures make a worker the last choice.
const SUSPECT_JOBS: usize = 2;

/// Age after which a failure no longer counts.
const WINDOW: Duration = Duration::from_secs(600);

/// Time for which a job must run elsewhere before its failure counts against a worker.
pub(crate) const PROOF_TIME: Duration = Duration::from_secs(10);

/// A failure of a job on its only failing worker.
#[derive(Debug, Clone)]
struct Failure {
    job: JobId,
    at: Uptime,
    /// Whether the job has run elsewhere since.
    is_proven: bool,
}

/// Failures by worker.
#[derive(Debug, Clone, Default)]
pub(crate) struct Health {
    failures: BTreeMap<WorkerIndex, BTreeMap<JobKey, Failure>>,
}

impl Health {
    /// Notes that a task failed; `failed_on` are all workers on which its job has failed.
    pub fn task_failed(
        &mut self,
        worker: WorkerIndex,
        key: JobKey,
        job: &JobId,
        failed_on: &BTreeSet<WorkerIndex>,
        now: Uptime,
    ) {
        if failed_on.len() > 1 {
            // A job that fails on several workers says nothing about any of them.
            self.failures
                .values_mut()
                .for_each(|jobs| drop(jobs.remove(&key)));
            return;
        }
        let failure = Failure {
            job: job.clone(),
            at: now,
            is_proven: false,
        };
        self.failures
            .entry(worker)
            .or_default()
            .insert(key, failure);
    }

    /// Notes that a job ran on other workers.
    pub fn ran_elsewhere(&mut self, key: JobKey, workers: &BTreeSet<WorkerIndex>) {
        for (worker, jobs) in &mut self.failures {
            if let Some(failure) = jobs.get_mut(&key) {
                failure.is_proven |= !workers.contains(worker);
            }
        }
    }

    /// Drops old failures and returns the workers to quarantine with the evidence.
    pub fn review(
        &mut self,
        now: Uptime,
        quarantine_jobs: usize,
    ) -> Vec<(WorkerIndex, Vec<JobId>)> {
        for jobs in self.failures.values_mut() {
            jobs.retain(|_, failure| now.since(failure.at) < WINDOW);
        }
        self.failures.retain(|_, jobs| !jobs.is_empty());
        let proven = |jobs: &BTreeMap<JobKey, Failure>| -> Vec<JobId> {
            jobs.values()
                .filter(|f| f.is_proven)
                .map(|f| f.job.clone())
                .collect()
        };
        let workers = self
            .failures
            .iter()
            .map(|(worker, jobs)| (*worker, proven(jobs)));
        workers
            .filter(|(_, jobs)| jobs.len() >= quarantine_jobs)
            .collect()
    }

    /// Tells whether the worker is to be the last choice.
    pub fn is_suspect(&self, worker: WorkerIndex) -> bool {
        self.failures
            .get(&worker)
            .is_some_and(|jobs| jobs.len() >= SUSPECT_JOBS)
    }

    /// Returns the workers with failures.
    pub fn workers(&self) -> Vec<WorkerIndex> {
        self.failures.keys().copied().collect()
    }

    /// Forgets a worker's failures.
    pub fn clear(&mut self, worker: WorkerIndex) {
        self.failures.remove(&worker);
    }
}
