//! Best-fit placement on free accelerators.

use crate::accelerators::Block;
use crate::cluster::{Worker, WorkerIndex};
use crate::job::TaskAssignment;
use crate::policy::{PlacementRequest, Plan, ReservedPlaces};
use crate::state::State;
use crate::team::Place;

/// Plans a gang on free accelerators, beyond its team's guarantee.
///
/// Uses the smallest blocks that fit and racks that are already in use, so that whole
/// workers and racks stay free.
pub(crate) fn plan_borrowed(request: PlacementRequest<'_>, state: &State) -> Option<Plan> {
    let (job, cluster) = (request.job, &state.cluster);
    let has_reservation = state.reservation == Some(request.key);
    let wanted = job.spec.gang.tasks;
    if !has_reservation && cluster.free.capacity(job.class) < wanted {
        return None;
    }
    let free = |worker: &Worker| {
        let all = worker.usable().minus(worker.used).minus(worker.guaranteed);
        if has_reservation {
            all
        } else {
            all.minus(worker.reserved)
        }
    };
    let in_rack = |rack: usize| {
        let workers = &cluster.racks[rack].workers;
        workers.iter().flat_map(|index| {
            let blocks = free(&cluster.workers[*index]).blocks(cluster.sizes.worker_class());
            blocks
                .filter(|block| block.class >= job.class)
                .map(|block| (*index, block))
        })
    };
    let order = |(index, block): &(WorkerIndex, Block)| {
        let worker = &cluster.workers[*index];
        let is_avoided = worker.is_suspect || job.failed_on.contains(index);
        let free_cells = cluster.racks[worker.rack].free_cells;
        (
            is_avoided,
            block.class,
            free_cells,
            worker.rack,
            *index,
            block.start,
        )
    };
    let mut blocks: Vec<(WorkerIndex, Block)> = if job.spec.gang.is_same_rack {
        let capacity = |rack: &usize| -> u32 {
            in_rack(*rack)
                .map(|(_, block)| 1 << (block.class - job.class))
                .sum()
        };
        let racks = (0..cluster.racks.len()).map(|rack| (capacity(&rack), rack));
        let (_, rack) = racks.filter(|(capacity, _)| *capacity >= wanted).min()?;
        in_rack(rack).collect()
    } else {
        (0..cluster.racks.len()).flat_map(in_rack).collect()
    };
    // Only the first `wanted` blocks can be used, so the others need not be sorted.
    if blocks.len() > wanted as usize {
        blocks.select_nth_unstable_by_key(wanted as usize, order);
        blocks.truncate(wanted as usize);
    }
    blocks.sort_unstable_by_key(order);
    let pieces = blocks.into_iter().flat_map(|(worker, block)| {
        block.split(job.class).map(move |piece| TaskAssignment {
            worker,
            set: piece.set(),
            cell: None,
        })
    });
    let tasks: Vec<_> = pieces.take(wanted as usize).collect();
    (tasks.len() == wanted as usize).then_some(Plan {
        tasks,
        bindings: Vec::new(),
        is_borrowed: true,
    })
}

/// Chooses accelerators without guaranteed work to reserve for an aged job; prefers
/// workers that are not suspect, then blocks with the fewest accelerators in use.
pub(crate) fn choose_reserved_places(
    request: PlacementRequest<'_>,
    state: &State,
) -> Option<ReservedPlaces> {
    let (job, cluster) = (request.job, &state.cluster);
    let mut pieces = Vec::new();
    for worker in cluster.by_id.values() {
        let state = &cluster.workers[*worker];
        let available = state.usable().minus(state.guaranteed);
        for block in available
            .blocks(cluster.sizes.worker_class())
            .filter(|block| block.class >= job.class)
        {
            for piece in block.split(job.class) {
                let used = piece.set().minus(state.usable().minus(state.used)).len();
                let place = Place {
                    worker: *worker,
                    set: piece.set(),
                };
                pieces.push((
                    state.is_suspect,
                    used,
                    block.class,
                    *worker,
                    piece.start,
                    place,
                ));
            }
        }
    }
    pieces.sort_by_key(|(suspect, used, class, worker, start, _)| {
        (*suspect, *used, *class, *worker, *start)
    });
    let wanted = job.spec.gang.tasks as usize;
    if job.spec.gang.is_same_rack {
        let rack_of = |place: &Place| cluster.workers[place.worker].rack;
        let used = |rack: usize| {
            let mut inside = pieces.iter().filter(|piece| rack_of(&piece.5) == rack);
            let first: Vec<_> = inside.by_ref().take(wanted).map(|piece| piece.1).collect();
            (first.len() == wanted).then(|| first.iter().sum::<u32>())
        };
        let racks = (0..cluster.racks.len()).filter_map(|rack| Some((used(rack)?, rack)));
        let (_, rack) = racks.min()?;
        pieces.retain(|piece| rack_of(&piece.5) == rack);
    }
    let places: Vec<_> = pieces
        .into_iter()
        .take(wanted)
        .map(|piece| piece.5)
        .collect();
    (places.len() == wanted).then_some(ReservedPlaces(places))
}
