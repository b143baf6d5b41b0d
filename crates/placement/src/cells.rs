//! The scheduler's placement policy: guarantees as buddy cells.
//!
//! Work within a guarantee runs in bound cells of its team. A cell is bound only
//! where the unbound cells of all teams still fit into the remaining capacity, so
//! every guarantee can be claimed at any time. Borrowed work takes any free
//! accelerators, best fit, since it can be preempted.

use std::collections::BTreeMap;

use crate::borrow::{choose_reserved_places, plan_borrowed};
use crate::job::TaskAssignment;
use crate::pick::Picker;
use crate::policy::{AgedReservation, PlacementPolicy, PlacementRequest, Plan, PreemptedGangs};
use crate::state::State;
use crate::team::{CellRef, Place, Team};
use crate::urgent::preempted_gangs;
use cumindeck_types::CellLevel;

/// Binds guarantees to buddy cells, borrows by best fit and preempts whole gangs.
#[derive(Debug, Clone, Copy, Default)]
pub struct GuaranteedCells;

impl PlacementPolicy for GuaranteedCells {
    fn name(&self) -> &'static str {
        "cells"
    }

    fn plan(&self, request: PlacementRequest<'_>, state: &State) -> Option<Plan> {
        let team = state.teams.get(&request.job.spec.team);
        let may_borrow = team.is_none_or(|team| !team.is_borrowing_disabled);
        plan_guaranteed(request, state)
            .or_else(|| plan_borrowed(request, state).filter(|_| may_borrow))
    }

    fn reserve_for_aged(&self, request: PlacementRequest<'_>, state: &State) -> AgedReservation {
        let job = request.job;
        let Some(team) = state.teams.get(&job.spec.team) else {
            return AgedReservation::Nothing;
        };
        let tasks = job.spec.gang.tasks;
        let sizes = state.cluster.sizes;
        let fits = match job.spec.gang.is_same_rack {
            false => team.capacity(job.class, sizes) >= tasks,
            true => team
                .guarantee
                .cells()
                .iter()
                .any(|cell| sizes.accelerators(cell.level) >> job.class >= tasks),
        };
        if fits
            && team
                .guarantee_reserved_for
                .is_none_or(|key| key == request.key)
        {
            return AgedReservation::Guarantee;
        }
        match state.reservation {
            Some(key) if key != request.key => AgedReservation::Nothing,
            _ if team.is_borrowing_disabled => AgedReservation::Nothing,
            _ => choose_reserved_places(request, state)
                .map_or(AgedReservation::Nothing, AgedReservation::Places),
        }
    }

    fn preempt(&self, request: PlacementRequest<'_>, state: &State) -> PreemptedGangs {
        preempted_gangs(request, state, plan_guaranteed)
    }
}

/// Cells of a team that a plan may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Scope {
    All,
    /// All cells, but only places in this rack.
    Rack(usize),
    Cell(CellRef),
}

/// Plans a gang within its team's guarantee.
fn plan_guaranteed(request: PlacementRequest<'_>, state: &State) -> Option<Plan> {
    let job = request.job;
    let team = state.teams.get(&job.spec.team)?;
    if team
        .guarantee_reserved_for
        .is_some_and(|key| key != request.key)
        && !job.spec.is_urgent
    {
        return None;
    }
    if team.capacity(job.class, state.cluster.sizes) < job.spec.gang.tasks {
        return None;
    }
    if !job.spec.gang.is_same_rack {
        return fill(request, state, team, Scope::All);
    }
    let one_cell = sufficient_cells(request, state, team)
        .into_iter()
        .find_map(|cell| fill(request, state, team, Scope::Cell(cell)));
    one_cell.or_else(|| {
        let racks = 0..state.cluster.racks.len();
        racks
            .filter(|rack| rack_capacity(state, *rack, job.class) >= job.spec.gang.tasks)
            .find_map(|rack| fill(request, state, team, Scope::Rack(rack)))
    })
}

/// Returns the cells that are large enough for the whole gang: bound cells first,
/// then one unbound cell of each level from the smallest up.
fn sufficient_cells(request: PlacementRequest<'_>, state: &State, team: &Team) -> Vec<CellRef> {
    let (class, tasks) = (request.job.class, request.job.spec.gang.tasks);
    let large = |level| state.cluster.sizes.accelerators(level) >> class >= tasks;
    let is_candidate = |cell: &CellRef| !team.cells[cell].is_retired && large(cell.level);
    let cells = || team.cells.keys().rev().copied().filter(is_candidate);
    let mut found: Vec<_> = cells()
        .filter(|cell| !team.cells[cell].is_unbound())
        .collect();
    let unbound: BTreeMap<CellLevel, CellRef> = cells()
        .filter(|cell| team.cells[cell].is_unbound())
        .map(|cell| (cell.level, cell))
        .collect();
    found.extend(unbound.into_values().rev());
    found
}

fn rack_capacity(state: &State, rack: usize, class: usize) -> u32 {
    let workers = state.cluster.racks[rack].workers.iter();
    let worker_class = state.cluster.sizes.worker_class();
    let blocks = workers.flat_map(|w| state.cluster.workers[*w].usable().blocks(worker_class));
    blocks
        .filter(|b| b.class >= class)
        .map(|b| 1 << (b.class - class))
        .sum()
}

/// Uses free accelerators of bound cells first, then binds cells from the smallest up.
fn fill(request: PlacementRequest<'_>, state: &State, team: &Team, scope: Scope) -> Option<Plan> {
    let job = request.job;
    let mut plan = Plan {
        tasks: Vec::new(),
        bindings: Vec::new(),
        is_borrowed: false,
    };
    fill_bound(request, state, team, scope, &mut plan);
    let wanted = job.spec.gang.tasks as usize;
    let mut picker = Picker::new(request, state, scope.rack());
    for level in CellLevel::ALL.into_iter().rev() {
        let tasks_per_cell = state.cluster.sizes.accelerators(level) as usize >> job.class;
        let in_scope = |cell: &CellRef| match scope {
            Scope::Cell(only) => *cell == only,
            Scope::All | Scope::Rack(_) => cell.level == level,
        };
        if tasks_per_cell == 0 || plan.tasks.len() >= wanted {
            continue;
        }
        let cells = team
            .cells
            .iter()
            .filter(|(cell, state)| cell.level == level && in_scope(cell) && !state.is_retired);
        let unbound: Vec<_> = cells
            .filter(|(_, cell)| cell.unbound_places() > 0)
            .collect();
        if level != CellLevel::Rack {
            let missing = (wanted - plan.tasks.len())
                .div_ceil(tasks_per_cell)
                .min(unbound.len());
            let places = picker.cells(state.cluster.sizes.class(level), missing);
            for ((cell, _), place) in unbound.into_iter().zip(places) {
                bind_cell(&mut plan, state, *cell, place, job.class, wanted);
            }
            continue;
        }
        for (cell, rack) in unbound.into_iter().filter(|(_, cell)| cell.is_unbound()) {
            if plan.tasks.len() >= wanted {
                break;
            }
            for place in picker.rack(rack.unbound_places()) {
                bind_cell(&mut plan, state, *cell, place, job.class, wanted);
            }
        }
    }
    let is_split = job.spec.gang.is_same_rack && {
        let mut racks = plan
            .tasks
            .iter()
            .map(|task| state.cluster.workers[task.worker].rack);
        let first = racks.next();
        racks.any(|rack| Some(rack) != first)
    };
    (plan.tasks.len() == wanted && !is_split).then_some(plan)
}

fn fill_bound(
    request: PlacementRequest<'_>,
    state: &State,
    team: &Team,
    scope: Scope,
    plan: &mut Plan,
) {
    let job = request.job;
    let mut blocks = Vec::new();
    for (cell_ref, cell) in team.cells.iter().filter(|(_, cell)| !cell.is_retired) {
        if matches!(scope, Scope::Cell(only) if only != *cell_ref) {
            continue;
        }
        for place in cell.places.iter().flatten() {
            let worker = &state.cluster.workers[place.worker];
            let is_outside = scope.rack().is_some_and(|rack| worker.rack != rack);
            if !worker.is_serving() || is_outside {
                continue;
            }
            let free = place.set.minus(worker.guaranteed);
            for block in free.blocks(state.cluster.sizes.worker_class()) {
                if block.class >= job.class {
                    let is_avoided = worker.is_suspect || job.failed_on.contains(&place.worker);
                    let cost = state.preemption_cost(worker, block.set());
                    let order = (is_avoided, cost, block.class, place.worker, block.start);
                    blocks.push((order, block, *cell_ref));
                }
            }
        }
    }
    blocks.sort_by_key(|(order, ..)| *order);
    for ((.., worker, _), block, cell) in blocks {
        let place = Place {
            worker,
            set: block.set(),
        };
        push_tasks(
            plan,
            state,
            cell,
            place,
            job.class,
            job.spec.gang.tasks as usize,
        );
    }
}

/// Binds a cell to a place and assigns tasks to it.
fn bind_cell(
    plan: &mut Plan,
    state: &State,
    cell: CellRef,
    place: Place,
    class: usize,
    wanted: usize,
) {
    plan.bindings.push((cell, place));
    push_tasks(plan, state, cell, place, class, wanted);
}

/// Assigns tasks to a place, first where no borrowed work has to be preempted.
fn push_tasks(
    plan: &mut Plan,
    state: &State,
    cell: CellRef,
    place: Place,
    class: usize,
    wanted: usize,
) {
    let worker = &state.cluster.workers[place.worker];
    let remaining = wanted - plan.tasks.len();
    let blocks = place.set.blocks(state.cluster.sizes.worker_class());
    let mut pieces: Vec<_> = blocks.flat_map(|block| block.split(class)).collect();
    if pieces.len() > remaining {
        pieces.sort_by_key(|piece| state.preemption_cost(worker, piece.set()));
    }
    let tasks = pieces
        .into_iter()
        .take(remaining)
        .map(|piece| TaskAssignment {
            worker: place.worker,
            set: piece.set(),
            cell: Some(cell),
        });
    plan.tasks.extend(tasks);
}

impl Scope {
    const fn rack(self) -> Option<usize> {
        match self {
            Self::Rack(rack) => Some(rack),
            Self::All | Self::Cell(_) => None,
        }
    }
}
