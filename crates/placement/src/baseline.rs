//! Baseline policies for comparison.

use crate::accelerators::AcceleratorSet;
use crate::cluster::Worker;
use crate::job::TaskAssignment;
use crate::policy::{PlacementPolicy, PlacementRequest, Plan};
use crate::state::State;

/// Uses the first free accelerators; ignores guarantees and preempts nothing.
#[derive(Debug, Clone, Copy, Default)]
pub struct FirstFit;

impl PlacementPolicy for FirstFit {
    fn name(&self) -> &'static str {
        "first-fit"
    }

    fn plan(&self, request: PlacementRequest<'_>, state: &State) -> Option<Plan> {
        first_fit(request, state, true, Worker::free)
    }
}

/// Treats a guarantee as a number of accelerators. Work within the number may preempt
/// work beyond it; the location of the accelerators is ignored.
#[derive(Debug, Clone, Copy, Default)]
pub struct CountQuotas;

impl PlacementPolicy for CountQuotas {
    fn name(&self) -> &'static str {
        "count-quotas"
    }

    fn plan(&self, request: PlacementRequest<'_>, state: &State) -> Option<Plan> {
        let team = state.teams.get(&request.job.spec.team)?;
        let quota = state.cluster.sizes.total(&team.guarantee);
        if team.used_guaranteed + request.job.accelerators() > quota {
            return first_fit(request, state, true, Worker::free);
        }
        let preemptible = |worker: &Worker| worker.usable().minus(worker.guaranteed);
        first_fit(request, state, false, Worker::free)
            .or_else(|| first_fit(request, state, false, preemptible))
    }
}

/// Assigns tasks to the first available aligned blocks, in the order of the workers.
fn first_fit(
    request: PlacementRequest<'_>,
    state: &State,
    is_borrowed: bool,
    available: impl Fn(&Worker) -> AcceleratorSet,
) -> Option<Plan> {
    let (job, cluster) = (request.job, &state.cluster);
    let wanted = job.spec.gang.tasks as usize;
    let place = |workers: &mut dyn Iterator<Item = usize>| {
        let pieces = workers.flat_map(|worker| {
            let blocks = available(&cluster.workers[worker]).blocks(cluster.sizes.worker_class());
            let large = blocks.filter(|block| block.class >= job.class);
            large
                .flat_map(|block| block.split(job.class))
                .map(move |piece| TaskAssignment {
                    worker,
                    set: piece.set(),
                    cell: None,
                })
        });
        let tasks: Vec<_> = pieces.take(wanted).collect();
        (tasks.len() == wanted).then_some(Plan {
            tasks,
            bindings: Vec::new(),
            is_borrowed,
        })
    };
    match job.spec.gang.is_same_rack {
        false => place(&mut (0..cluster.workers.len())),
        true => cluster
            .racks
            .iter()
            .find_map(|rack| place(&mut rack.workers.iter().copied())),
    }
}
