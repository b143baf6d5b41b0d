//! Re-evaluation of jobs and workers after changes.

use crate::admission::admit;
use crate::cluster::{WorkerHealth, WorkerIndex};
use crate::event::{Effect, Refusal};
use crate::health::RETRY_CONFIRMATION_TIME;
use crate::job::{GangShape, JobKey};
use crate::machine::Placement;

impl Placement {
    /// Refuses the waiting jobs that no longer fit into the region.
    pub(crate) fn refuse_impossible(&mut self, effects: &mut Vec<Effect>) {
        let keys: Vec<_> = self.state.waiting.iter().copied().collect();
        let mut known: Vec<(GangShape, Option<Refusal>)> = Vec::new();
        for key in keys {
            let gang = self.state.jobs[&key].spec.gang;
            let refusal = match known.iter().find(|(shape, _)| *shape == gang) {
                Some((_, refusal)) => refusal.clone(),
                None => {
                    let refusal = admit(&self.state.cluster, gang).err();
                    known.push((gang, refusal.clone()));
                    refusal
                }
            };
            if let Some(refusal) = refusal {
                let job = self.remove_job(key);
                effects.push(Effect::Refuse(job.spec.job, refusal));
            }
        }
    }

    /// Quarantines the workers to which enough failures are attributed.
    pub(crate) fn review_health(&mut self, effects: &mut Vec<Effect>) {
        let now = self.state.now;
        let is_confirmed = |key: &JobKey| {
            let run = self.state.jobs.get(key).and_then(|job| job.run.as_ref());
            let since = run.and_then(|run| run.running_since);
            since.is_some_and(|since| now.since(since) >= RETRY_CONFIRMATION_TIME)
        };
        for key in self
            .confirming_retries
            .iter()
            .copied()
            .filter(is_confirmed)
            .collect::<Vec<_>>()
        {
            self.confirming_retries.remove(&key);
            self.record_retry_running(key);
        }
        for (index, jobs) in self.failures.review(now, self.settings.quarantine_jobs) {
            self.failures.clear(index);
            let worker = &self.state.cluster.workers[index];
            if worker.health == WorkerHealth::Serving {
                effects.push(Effect::Quarantine(worker.spec.worker.clone(), jobs));
                self.quarantine(index);
            }
        }
    }

    fn quarantine(&mut self, index: WorkerIndex) {
        self.state
            .cluster
            .update(index, |worker| worker.health = WorkerHealth::Quarantined);
        self.release_idle_cells();
        self.cancel_plans_on(&[index]);
        self.needs_scheduling = true;
    }
}
