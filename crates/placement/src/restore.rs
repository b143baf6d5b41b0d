//! Restores the state from records after a takeover.

use std::collections::BTreeMap;

use cumindeck_types::{CellLevel, TeamId, Uptime};

use crate::accelerators::AcceleratorSet;
use crate::admission::admit;
use crate::cluster::Cluster;
use crate::event::{Effect, JobRecord, RunRecord, StopReason};
use crate::job::{JobKey, Phase, Run, TaskAssignment};
use crate::machine::Placement;
use crate::supply::CellSizes;
use crate::team::{CellRef, Place, Team};

impl Placement {
    /// Adds a job from its record, with the attempt that may still run.
    pub(crate) fn restore(&mut self, record: &JobRecord, effects: &mut Vec<Effect>) {
        if self.state.by_id.contains_key(&record.spec.job) {
            return;
        }
        let sizes = self.settings.sizes;
        let gang = record.spec.gang;
        let class = match (&record.running, admit(&self.state.cluster, gang)) {
            (_, Ok(class)) => class,
            // A running gang stays known until it has ended,
            // even if the workers changed.
            (Some(_), Err(_)) => gang.size.class(sizes).unwrap_or(sizes.worker_class()),
            (None, Err(refusal)) => {
                effects.push(Effect::Refuse(record.spec.job.clone(), refusal));
                return;
            }
        };
        let key = self.add_job(record.spec.clone(), class);
        let now = self.state.now;
        let Some(job) = self.state.jobs.get_mut(&key) else {
            return;
        };
        job.submitted = time_before(now, record.age);
        job.waiting_since = job.submitted;
        job.last_attempt = record.last_attempt;
        job.attained_service = record.attained_service;
        if let Some(running) = &record.running {
            self.restore_run(key, &record.spec.team, running, effects);
        }
    }

    fn restore_run(
        &mut self,
        key: JobKey,
        team: &TeamId,
        record: &RunRecord,
        effects: &mut Vec<Effect>,
    ) {
        let cluster = &self.state.cluster;
        let known: Vec<_> = record
            .placement
            .iter()
            .filter_map(|task| {
                let worker = *cluster.by_id.get(&task.worker)?;
                Some(TaskAssignment {
                    worker,
                    set: task.accelerators,
                    cell: task.cell,
                })
            })
            .collect();
        // A gang that was preempted for its team's urgent work may have lost its cells.
        let is_borrowed = record.is_borrowed || !self.has_cells(team, &known);
        let is_lost = known.len() < record.placement.len() || known.is_empty();
        let is_zone_out_of_service = known
            .iter()
            .any(|task| !cluster.workers[task.worker].is_open);
        let is_worker_out_of_service = known
            .iter()
            .any(|task| !cluster.workers[task.worker].is_serving());
        let since = time_before(self.state.now, record.age);
        let Some(job) = self.state.jobs.get_mut(&key) else {
            return;
        };
        job.run = Some(Run {
            attempt: job.last_attempt,
            ended: vec![None; known.len()],
            tasks: known.clone(),
            is_borrowed,
            since,
            running_since: None,
            phase: Phase::Started,
        });
        self.state.waiting.remove(&key);
        let accelerators = self.state.jobs[&key].accelerators();
        self.change_team_use(key, accelerators, true);
        self.record_occupants(key, &known);
        if !is_borrowed {
            for task in &known {
                self.state
                    .cluster
                    .update(task.worker, |w| w.guaranteed = w.guaranteed.union(task.set));
            }
            let sizes = self.settings.sizes;
            self.change_team(team, |team, cluster| {
                for task in &known {
                    if let Some((cell, place)) = cell_place(task, sizes) {
                        bind(team, cluster, cell, place);
                    }
                }
            });
        }
        self.may_complete_racks = true;
        if known.is_empty() {
            self.end_run(key, effects);
        } else if is_lost {
            self.order_stop(key, StopReason::WorkerLost, effects);
        } else if is_zone_out_of_service {
            self.order_checkpoint(key, StopReason::ZoneClosed, effects);
        } else if is_worker_out_of_service {
            self.order_stop(key, StopReason::WorkerLost, effects);
        }
    }

    /// Returns whether the cells of the tasks are bound to their
    /// places or have unbound ones.
    fn has_cells(&self, team: &TeamId, tasks: &[TaskAssignment]) -> bool {
        let Some(team) = self.state.teams.get(team) else {
            return true;
        };
        let mut places: BTreeMap<CellRef, Vec<Place>> = BTreeMap::new();
        for task in tasks {
            let Some((cell, place)) = cell_place(task, self.settings.sizes) else {
                continue;
            };
            let places = places.entry(cell).or_default();
            if !places.contains(&place) {
                places.push(place);
            }
        }
        places.into_iter().all(|(cell, places)| {
            team.cells.get(&cell).is_none_or(|cell| {
                let is_new = |place: &&Place| !cell.places.contains(&Some(**place));
                places.iter().filter(is_new).count() <= cell.unbound_places()
            })
        })
    }

    /// Binds the workers that rack cells lack: those that returned to service and,
    /// after a takeover, idle ones, which the records do not contain.
    pub(crate) fn complete_racks(&mut self) {
        for id in self.state.teams.keys().cloned().collect::<Vec<_>>() {
            self.change_team(&id, complete_racks);
        }
    }
}

/// Returns the cell of a restored task and the part of it in which the task runs.
fn cell_place(task: &TaskAssignment, sizes: CellSizes) -> Option<(CellRef, Place)> {
    let cell = task.cell?;
    let size = 1u8 << sizes.class(cell.level);
    let start = task.set.indices().next()? as u8 / size * size;
    let place = Place {
        worker: task.worker,
        set: AcceleratorSet::range(start, size),
    };
    Some((cell, place))
}

/// Binds the part of a cell in which a restored task runs.
fn bind(team: &mut Team, cluster: &mut Cluster, cell_ref: CellRef, place: Place) {
    let cell = team.restore_cell(cell_ref, cluster.sizes);
    if cell.places.contains(&Some(place)) {
        return;
    }
    let Some(slot) = cell.places.iter_mut().find(|slot| slot.is_none()) else {
        return;
    };
    *slot = Some(place);
    cluster.update(place.worker, |w| w.bound = w.bound.union(place.set));
}

fn complete_racks(team: &mut Team, cluster: &mut Cluster) {
    let worker_class = cluster.sizes.worker_class();
    let racks = team
        .cells
        .iter_mut()
        .filter(|(cell, _)| cell.level == CellLevel::Rack);
    for (_, cell) in racks.filter(|(_, cell)| !cell.is_unbound()) {
        let Some(rack) = cell
            .places
            .iter()
            .flatten()
            .map(|p| cluster.workers[p.worker].rack)
            .next()
        else {
            continue;
        };
        for slot in cell.places.iter_mut().filter(|slot| slot.is_none()) {
            let places = cluster.racks[rack].workers.iter().flat_map(|worker| {
                let blocks = cluster.workers[*worker].pool().blocks(worker_class);
                blocks.filter(|b| b.class == worker_class).map(|b| Place {
                    worker: *worker,
                    set: b.set(),
                })
            });
            let Some(place) = places.into_iter().next() else {
                break;
            };
            *slot = Some(place);
            cluster.update(place.worker, |w| w.bound = w.bound.union(place.set));
        }
    }
}

const fn time_before(now: Uptime, age: std::time::Duration) -> Uptime {
    Uptime::since_boot(now.as_duration().saturating_sub(age))
}
