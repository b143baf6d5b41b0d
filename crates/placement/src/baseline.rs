//! Simple policies for comparison.

use crate::accelerators::AcceleratorSet;
use crate::cluster::Worker;
use crate::job::Assigned;
use crate::policy::{PlacementPolicy, Plan, Request};
use crate::state::State;

/// Takes the first free accelerators; knows no guarantees and preempts nothing.
#[derive(Debug, Clone, Copy, Default)]
pub struct FirstFit;

impl PlacementPolicy for FirstFit {
    fn name(&self) -> &'static str {
        "first-fit"
    }

    fn plan(&self, request: Request<'_>, state: &State) -> Option<Plan> {
        first_fit(request, state, true, Worker::free)
    }
}

/// Guarantees as a number of accelerators. Work within the number may preempt
/// work beyond it; where the accelerators are doesn't matter.
#[derive(Debug, Clone, Copy, Default)]
pub struct CountQuotas;

impl PlacementPolicy for CountQuotas {
    fn name(&self) -> &'static str {
        "count-quotas"
    }

    fn plan(&self, request: Request<'_>, state: &State) -> Option<Plan> {
        let team = state.teams.get(&request.job.spec.team)?;
        let quota = state.cluster.sizes.total(&team.guarantee);
        if team.used_guaranteed + request.job.accelerators() > quota {
            return first_fit(request, state, true, Worker::free);
        }
        let preemptible = |worker: &Worker| worker.open().minus(worker.guaranteed);
        first_fit(request, state, false, Worker::free)
            .or_else(|| first_fit(request, state, false, preemptible))
    }
}

/// Puts tasks on the first aligned blocks with room, in the order of the workers.
fn first_fit(
    request: Request<'_>,
    state: &State,
    is_borrowed: bool,
    room: impl Fn(&Worker) -> AcceleratorSet,
) -> Option<Plan> {
    let (job, cluster) = (request.job, &state.cluster);
    let wanted = job.spec.gang.tasks as usize;
    let place = |workers: &mut dyn Iterator<Item = usize>| {
        let pieces = workers.flat_map(|worker| {
            let blocks = room(&cluster.workers[worker]).blocks(cluster.sizes.top());
            let large = blocks.filter(|block| block.class >= job.class);
            large
                .flat_map(|block| block.split(job.class))
                .map(move |piece| Assigned {
                    worker,
                    set: piece.set(),
                    cell: None,
                })
        });
        let tasks: Vec<_> = pieces.take(wanted).collect();
        (tasks.len() == wanted).then_some(Plan {
            tasks,
            binds: Vec::new(),
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
