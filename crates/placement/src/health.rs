//! Failure records of workers.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cumindeck_types::{JobId, Uptime};

use crate::cluster::WorkerIndex;
use crate::job::JobKey;

/// Number of jobs whose failures make a worker suspect.
const SUSPECT_JOBS: usize = 2;

/// Age after which a failure no longer counts.
const FAILURE_WINDOW: Duration = Duration::from_secs(600);

/// Time for which a job must run elsewhere before its failure is attributed to a worker.
pub(crate) const RETRY_CONFIRMATION_TIME: Duration = Duration::from_secs(10);

/// A failure of a job on the only worker on which it has failed.
#[derive(Debug, Clone)]
struct Failure {
    job: JobId,
    at: Uptime,
    /// Whether the job has run on another worker since.
    is_confirmed: bool,
}

/// Failures by worker and job.
#[derive(Debug, Clone, Default)]
pub(crate) struct WorkerFailures {
    failures: BTreeMap<WorkerIndex, BTreeMap<JobKey, Failure>>,
}

impl WorkerFailures {
    /// Records a failed task; `failed_on` are all workers on which its job has failed.
    pub fn task_failed(
        &mut self,
        worker: WorkerIndex,
        key: JobKey,
        job: &JobId,
        failed_on: &BTreeSet<WorkerIndex>,
        now: Uptime,
    ) {
        if failed_on.len() > 1 {
            // A job that fails on several workers is not attributed to any of them.
            self.failures
                .values_mut()
                .for_each(|jobs| drop(jobs.remove(&key)));
            return;
        }
        let failure = Failure {
            job: job.clone(),
            at: now,
            is_confirmed: false,
        };
        self.failures
            .entry(worker)
            .or_default()
            .insert(key, failure);
    }

    /// Records that a job ran on `workers`, which confirms its
    /// failure on any other worker.
    pub fn record_run(&mut self, key: JobKey, workers: &BTreeSet<WorkerIndex>) {
        for (worker, jobs) in &mut self.failures {
            if let Some(failure) = jobs.get_mut(&key) {
                failure.is_confirmed |= !workers.contains(worker);
            }
        }
    }

    /// Drops failures older than [`FAILURE_WINDOW`]; returns the workers to quarantine
    /// with the jobs that failed there.
    pub fn review(
        &mut self,
        now: Uptime,
        quarantine_jobs: usize,
    ) -> Vec<(WorkerIndex, Vec<JobId>)> {
        for jobs in self.failures.values_mut() {
            jobs.retain(|_, failure| now.since(failure.at) < FAILURE_WINDOW);
        }
        self.failures.retain(|_, jobs| !jobs.is_empty());
        let confirmed_jobs = |jobs: &BTreeMap<JobKey, Failure>| -> Vec<JobId> {
            jobs.values()
                .filter(|f| f.is_confirmed)
                .map(|f| f.job.clone())
                .collect()
        };
        let workers = self
            .failures
            .iter()
            .map(|(worker, jobs)| (*worker, confirmed_jobs(jobs)));
        workers
            .filter(|(_, jobs)| jobs.len() >= quarantine_jobs)
            .collect()
    }

    /// Returns whether at least [`SUSPECT_JOBS`] jobs failed on the worker, which is then
    /// deprioritised.
    pub fn is_suspect(&self, worker: WorkerIndex) -> bool {
        self.failures
            .get(&worker)
            .is_some_and(|jobs| jobs.len() >= SUSPECT_JOBS)
    }

    /// Returns the workers with failure records.
    pub fn workers(&self) -> Vec<WorkerIndex> {
        self.failures.keys().copied().collect()
    }

    /// Removes a worker's failure records.
    pub fn clear(&mut self, worker: WorkerIndex) {
        self.failures.remove(&worker);
    }
}
