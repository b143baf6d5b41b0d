//! Snapshots of decisions in small situations.

mod common;

use std::fmt::Write;
use std::time::Duration;

use common::{TestRegion, gang};
use cumindeck_placement::{
    Effect, Event, GuaranteedCells, JobRecord, Placement, RunRecord, Settings, TaskOutcome,
    TaskSize,
};
use cumindeck_types::JobId;

const WHOLE_WORKER: TaskSize = TaskSize::Worker;

/// Two racks of three workers with 8 accelerators; `alpha` has a
/// rack, `beta` two halves.
fn region() -> TestRegion {
    let mut region = TestRegion::new(Box::new(GuaranteedCells));
    (0..6).for_each(|i| region.add_worker(i, i / 3, ["a", "b"][i / 3], 8));
    region.set_team("alpha", "1xrack");
    region.set_team("beta", "2xhalf");
    region
}

fn rendered_effects(region: &mut TestRegion) -> String {
    let mut text = String::new();
    for effect in region.log.drain(..) {
        let line = match effect {
            Effect::Start {
                job,
                attempt,
                placement,
                is_borrowed,
            } => {
                let tasks = placement
                    .iter()
                    .map(|t| format!(" {}:{}", t.worker, t.accelerators));
                let kind = if is_borrowed {
                    "borrowed"
                } else {
                    "guaranteed"
                };
                format!(
                    "start {job} attempt {attempt} {kind}{}",
                    tasks.collect::<String>()
                )
            }
            Effect::Refuse(job, refusal) => format!("refuse {job}: {refusal}"),
            other => format!("{other:?}"),
        };
        writeln!(text, "{line}").unwrap();
    }
    text
}

fn why(region: &TestRegion, job: &str) -> String {
    region
        .placement
        .why(&job.parse().unwrap())
        .unwrap()
        .to_string()
}

/// Guards against a reclaim that waits for less or more than a confirmed stop, and
/// against preempting the gang with more lost work.
#[test]
fn reclaim_stops_the_youngest_borrowed_gang() {
    let mut region = region();
    region.submit("old", "beta", gang(3, WHOLE_WORKER, true), false);
    region.wait(60_000);
    region.submit("young", "beta", gang(3, WHOLE_WORKER, true), false);
    region.wait(1000);
    region.submit("claim", "alpha", gang(3, WHOLE_WORKER, true), false);
    let reason = why(&region, "claim");
    region.wait(1999);
    region.wait(1);
    let text = rendered_effects(&mut region);
    region.confirm_stops();
    insta::assert_snapshot!(format!(
        "{text}-- {reason}\n-- stop confirmed\n{}",
        rendered_effects(&mut region)
    ));
}

/// Guards against refusals without a usable nearest shape.
#[test]
fn impossible_jobs_are_refused_with_the_nearest_shape() {
    let mut region = region();
    region.submit("wide", "alpha", gang(7, WHOLE_WORKER, false), false);
    region.submit(
        "rack",
        "alpha",
        gang(30, TaskSize::Accelerators(1), true),
        false,
    );
    region.submit(
        "big",
        "alpha",
        gang(1, TaskSize::Accelerators(16), false),
        false,
    );
    region.submit(
        "odd",
        "alpha",
        gang(2, TaskSize::Accelerators(3), false),
        false,
    );
    region.submit(
        "many",
        "alpha",
        gang(900, TaskSize::Accelerators(1), false),
        false,
    );
    region.submit("stranger", "nobody", gang(1, WHOLE_WORKER, false), false);
    insta::assert_snapshot!(rendered_effects(&mut region));
}

/// Guards against a worker that keeps getting tasks although all of them fail, and
/// against attributing to workers the failures of a job that fails everywhere.
#[test]
fn failures_of_several_jobs_quarantine_a_worker() {
    let mut region = region();
    let small = gang(1, TaskSize::Accelerators(2), false);
    for job in ["bad", "j1", "j2", "j3"] {
        region.submit(job, "beta", small, false);
    }
    for _ in 0..40 {
        let jobs: Vec<JobId> = region.gangs.keys().cloned().collect();
        for job in jobs {
            let gang = &region.gangs[&job];
            let attempt = gang.attempt;
            if job.as_str() == "bad" || gang.tasks[0].worker.as_str() == "w0" {
                region.end(&job, TaskOutcome::Failed);
            } else if attempt.get() > 0 {
                region.step(Event::GangRunning(job, attempt));
            }
        }
        region.wait(4000);
    }
    insta::assert_snapshot!(rendered_effects(&mut region));
}

/// Guards against small jobs that starve a large one.
#[test]
fn aged_job_gets_a_reservation() {
    let mut region = region();
    let small = gang(1, WHOLE_WORKER, false);
    (0..6).for_each(|i| region.submit(&format!("s{i}"), "beta", small, false));
    region.submit("large", "beta", gang(3, WHOLE_WORKER, true), false);
    region.wait(600_000);
    for i in 0..6 {
        region.submit(&format!("late{i}"), "beta", small, false);
        region.end(&format!("s{i}").parse().unwrap(), TaskOutcome::Succeeded);
    }
    let reason = why(&region, "late5");
    insta::assert_snapshot!(format!("{}-- {reason}\n", rendered_effects(&mut region)));
}

/// Guards against a shortage that is not reported to the operators.
#[test]
fn shortage_is_reported_and_ends() {
    let mut region = region();
    for worker in ["w0", "w3"] {
        region.step(Event::WorkerFailed(worker.parse().unwrap()));
    }
    region.step(Event::WorkerReturned("w0".parse().unwrap()));
    insta::assert_snapshot!(rendered_effects(&mut region));
}

/// Guards against a takeover that moves, loses or duplicates work or bound cells.
#[test]
fn state_is_rebuilt_from_records() {
    let mut region = region();
    region.submit(
        "part",
        "alpha",
        gang(1, TaskSize::Accelerators(2), false),
        false,
    );
    region.submit(
        "half",
        "beta",
        gang(2, TaskSize::Accelerators(4), false),
        false,
    );
    region.submit("over", "beta", gang(2, WHOLE_WORKER, true), false);
    region.submit("wait", "beta", gang(6, WHOLE_WORKER, false), false);
    let mut events: Vec<Event> = (0..6)
        .map(|i| {
            let old = region.placement.state().workers().nth(i).unwrap();
            Event::WorkerSet(cumindeck_placement::WorkerSpec {
                worker: old.worker.clone(),
                rack: old.rack.clone(),
                zone: old.zone.clone(),
                accelerators: old.accelerators,
            })
        })
        .collect();
    for (team, guarantee) in region.placement.state().guarantees() {
        events.push(Event::TeamSet(team.clone(), guarantee.clone()));
    }
    for (job, spec) in &region.jobs {
        let running = region.gangs.get(job).map(|gang| RunRecord {
            placement: gang.tasks.clone(),
            is_borrowed: gang.is_borrowed,
            age: Duration::from_secs(5),
        });
        let last_attempt = region
            .gangs
            .get(job)
            .map_or_else(Default::default, |gang| gang.attempt);
        let spec = spec.clone();
        let age = Duration::from_secs(6);
        events.push(Event::Restore(JobRecord {
            spec,
            age,
            last_attempt,
            attained_service: 0,
            running,
        }));
    }
    let mut other = Placement::new(Settings::default(), Box::new(GuaranteedCells));
    let effects = other.step_batch(region.now, events);
    assert_eq!(effects, []);
    let allocations = |placement: &Placement| -> Vec<_> {
        placement
            .state()
            .workers()
            .map(|w| (w.used, w.guaranteed, w.bound))
            .collect()
    };
    assert_eq!(allocations(&other), allocations(&region.placement));
    assert_eq!(other.state().shortfall(), 0);
    assert_eq!(other.state().waiting().count(), 1);
}
