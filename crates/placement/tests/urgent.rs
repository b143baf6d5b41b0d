//! Urgent jobs in regions that are full of their own team's work.

mod common;

use std::time::Duration;

use common::{TestRegion, gang};
use cumindeck_placement::{
    AcceleratorSet, CellRef, Effect, Event, GuaranteedCells, JobRecord, JobSpec, RunRecord,
    TaskOutcome, TaskPlacement, TaskSize,
};
use cumindeck_types::{Attempt, CellLevel, JobId, Shape, TaskIndex};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SEEDS: u64 = 500;
const TEAMS: [(&str, &str); 4] = [
    ("alpha", "1xrack,1xhalf"),
    ("beta", "2xworker,1xquarter"),
    ("gamma", "1xrack"),
    ("delta", "3xhalf,2xsingle"),
];

fn region() -> TestRegion {
    let mut region = TestRegion::new(Box::new(GuaranteedCells));
    (0..11).for_each(|i| region.add_worker(i, i / 3, ["a", "b", "c"][i % 3], 8));
    for (team, guarantee) in TEAMS {
        region.set_team(team, guarantee);
    }
    region
}

fn background(region: &mut TestRegion, rng: &mut ChaCha8Rng, name: &str) {
    let running: Vec<JobId> = region.gangs.keys().cloned().collect();
    let background = running.iter().filter(|job| job.as_str().starts_with("job"));
    let background: Vec<_> = background.collect();
    match rng.random_range(0..14) {
        0..=9 => {
            let size = *[1, 2, 4, 8].choose(rng).unwrap();
            let tasks = *[1, 1, 2, 3, 4].choose(rng).unwrap();
            let team = TEAMS.choose(rng).unwrap().0;
            let shape = gang(
                tasks,
                TaskSize::Accelerators(size),
                tasks <= 3 && rng.random_bool(0.2),
            );
            region.submit(name, team, shape, false);
        }
        10 => {
            if let Some(job) = background.choose(rng) {
                region.end(job, TaskOutcome::Succeeded);
            }
        }
        11 => {
            if let Some(job) = background.choose(rng) {
                region.step(Event::Cancel((*job).clone()));
            }
        }
        12 => region.confirm_stops(),
        _ => region.wait(rng.random_range(100..200_000)),
    }
}

/// Returns one urgent job for each cell of a team's guarantee.
fn urgent_shapes(guarantee: &str) -> Vec<cumindeck_placement::GangShape> {
    let guarantee: Shape = guarantee.parse().unwrap();
    let shape = |level| match level {
        CellLevel::Rack => gang(3, TaskSize::Worker, true),
        CellLevel::Worker => gang(1, TaskSize::Worker, false),
        CellLevel::Half => gang(1, TaskSize::Accelerators(4), false),
        CellLevel::Quarter => gang(1, TaskSize::Accelerators(2), false),
        CellLevel::Single => gang(1, TaskSize::Accelerators(1), false),
    };
    let cells = guarantee.cells().iter();
    cells
        .flat_map(|cell| (0..cell.count).map(move |_| shape(cell.level)))
        .collect()
}

/// Guards against an urgent job that waits for its own team's guaranteed work, and
/// against urgent work that is stopped for other urgent work of the team.
#[test]
fn urgent_work_that_fits_the_guarantee_starts_after_one_stop() {
    let mut preempted = 0;
    for seed in 0..SEEDS {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut region = region();
        for i in 0..40 {
            background(&mut region, &mut rng, &format!("job-{i}"));
        }
        let (team, guarantee) = *TEAMS.choose(&mut rng).unwrap();
        for (n, shape) in urgent_shapes(guarantee).into_iter().enumerate() {
            for i in 0..4 {
                background(&mut region, &mut rng, &format!("job-{n}-{i}"));
            }
            let urgent = region.gangs.iter();
            let urgent =
                urgent.filter(|(job, gang)| region.jobs[*job].is_urgent && !gang.is_borrowed);
            let protected: Vec<JobId> = urgent.map(|(job, _)| job.clone()).collect();
            region.log.clear();
            let job: JobId = format!("urgent-{n}").parse().unwrap();
            region.submit(job.as_str(), team, shape, true);
            region.wait(2000);
            region.confirm_stops();
            let mut is_started = false;
            for effect in &region.log {
                match effect {
                    Effect::Start { job: other, .. } => is_started |= *other == job,
                    Effect::Checkpoint(other, _) => {
                        assert!(
                            !protected.contains(other),
                            "seed {seed}: {other} is stopped"
                        );
                        preempted += u64::from(region.jobs[other].team.as_str() == team);
                    }
                    _ => {}
                }
            }
            let why = region.placement.why(&job);
            assert!(is_started, "seed {seed}: {job} of {team} waits: {why:?}");
        }
    }
    assert!(preempted > SEEDS / 10, "only {preempted} own gangs");
}

/// Guards against a takeover that lets a preempted gang and the urgent one hold the
/// same cell, so that another team's guarantee no longer fits.
#[test]
fn restored_gang_whose_cell_is_taken_counts_as_borrowed() {
    let mut region = TestRegion::new(Box::new(GuaranteedCells));
    (0..2).for_each(|i| region.add_worker(i, 0, "a", 8));
    region.set_team("alpha", "1xhalf");
    region.set_team("beta", "1xworker,1xhalf");
    let record = |job: &str, worker: &str, is_urgent| {
        let placement = TaskPlacement {
            task: TaskIndex::new(0),
            worker: worker.parse().unwrap(),
            accelerators: AcceleratorSet::range(0, 4),
            cell: Some(CellRef {
                level: CellLevel::Half,
                ordinal: 0,
            }),
        };
        Event::Restore(JobRecord {
            spec: JobSpec {
                job: job.parse().unwrap(),
                team: "alpha".parse().unwrap(),
                gang: gang(1, TaskSize::Accelerators(4), false),
                is_urgent,
            },
            age: Duration::from_secs(9),
            last_attempt: Attempt::default().next(),
            attained_service: 0,
            running: Some(RunRecord {
                placement: vec![placement],
                is_borrowed: false,
                age: Duration::from_secs(1),
            }),
        })
    };
    let records = [record("urgent", "w0", true), record("old", "w1", false)];
    let effects = region.placement.step_batch(region.now, records);
    assert_eq!(effects, []);
    let state = region.placement.state();
    let borrowed = state.gangs().filter(|gang| gang.is_borrowed);
    let borrowed: Vec<_> = borrowed.map(|gang| gang.job.to_string()).collect();
    assert_eq!(borrowed, ["old"]);
    assert_eq!(state.shortfall(), 0);
}
