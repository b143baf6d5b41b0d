//! Reviews of jobs and workers after changes.

use crate::admission::admit;
use crate::cluster::{WorkerHealth, WorkerIndex};
use crate::event::{Effect, Refusal};
use crate::health::PROOF_TIME;
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
                let job = self.forget(key);
                effects.push(Effect::Refuse(job.spec.job, refusal));
            }
        }
    }

    /// Quarantines the workers with enough evidence against them.
    pub(crate) fn review_health(&mut self, effects: &mut Vec<Effect>) {
        let now = self.state.now;
        let is_proven = |key: &JobKey| {
            let run = self.state.jobs.get(key).and_then(|job| job.run.as_ref());
            let since = run.and_then(|run| run.running_since);
            since.is_some_and(|since| now.since(since) >= PROOF_TIME)
        };
        for key in self
            .on_proof
            .iter()
            .copied()
            .filter(is_proven)
            .collect::<Vec<_>>()
        {
            self.on_proof.remove(&key);
            self.note_proof(key);
        }
        for (index, jobs) in self.health.review(now, self.settings.quarantine_jobs) {
            self.health.clear(index);
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
        self.drop_plans_on(&[index]);
        self.is_dirty = true;
    }
}
