//! Snapshots of decisions in small situations.

mod common;

use std::fmt::Write;
use std::time::Duration;

use common::{Site, gang};
use cumindeck_placement::{
    Effect, Event, GuaranteedCells, JobRecord, Placement, RunRecord, Settings, TaskOutcome,
    TaskSize,
};
use cumindeck_types::JobId;

const EIGHT: TaskSize = TaskSize::Worker;

/// Two racks of three workers with 8 accelerators; `alpha` has a rack, `beta` two halves.
fn site() -> Site {
    let mut site = Site::new(Box::new(GuaranteedCells));
    (0..6).for_each(|i| site.add_worker(i, i / 3, ["a", "b"][i / 3], 8));
    site.set_team("alpha", "1xrack");
    site.set_team("beta", "2xhalf");
    site
}

fn story(site: &mut Site) -> String {
    let mut text = String::new();
    for effect in site.log.drain(..) {
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

fn why(site: &Site, job: &str) -> String {
    site.placement
        .why(&job.parse().unwrap())
        .unwrap()
        .to_string()
}

/// Guards against a claim that waits for less or more than a confirmed stop, and
/// against preempting the gang that has more to lose.
#[test]
fn reclaim_stops_the_youngest_borrowed_gang() {
    let mut site = site();
    site.submit("old", "beta", gang(3, EIGHT, true), false);
    site.wait(60_000);
    site.submit("young", "beta", gang(3, EIGHT, true), false);
    site.wait(1000);
    site.submit("claim", "alpha", gang(3, EIGHT, true), false);
    let reason = why(&site, "claim");
    site.wait(1999);
    site.wait(1);
    let text = story(&mut site);
    site.confirm_stops();
    insta::assert_snapshot!(format!(
        "{text}-- {reason}\n-- stop confirmed\n{}",
        story(&mut site)
    ));
}

/// Guards against refusals without a usable hint.
#[test]
fn impossible_jobs_are_refused_with_the_nearest_shape() {
    let mut site = site();
    site.submit("wide", "alpha", gang(7, EIGHT, false), false);
    site.submit(
        "rack",
        "alpha",
        gang(30, TaskSize::Accelerators(1), true),
        false,
    );
    site.submit(
        "big",
        "alpha",
        gang(1, TaskSize::Accelerators(16), false),
        false,
    );
    site.submit(
        "odd",
        "alpha",
        gang(2, TaskSize::Accelerators(3), false),
        false,
    );
    site.submit(
        "many",
        "alpha",
        gang(900, TaskSize::Accelerators(1), false),
        false,
    );
    site.submit("stranger", "nobody", gang(1, EIGHT, false), false);
    insta::assert_snapshot!(story(&mut site));
}

/// Guards against a worker that fails everything and against blaming a worker
/// for a job that fails everywhere.
#[test]
fn failures_of_several_jobs_quarantine_a_worker() {
    let mut site = site();
    let small = gang(1, TaskSize::Accelerators(2), false);
    for job in ["bad", "j1", "j2", "j3"] {
        site.submit(job, "beta", small, false);
    }
    for _ in 0..40 {
        let jobs: Vec<JobId> = site.gangs.keys().cloned().collect();
        for job in jobs {
            let gang = &site.gangs[&job];
            let attempt = gang.attempt;
            if job.as_str() == "bad" || gang.tasks[0].worker.as_str() == "w0" {
                site.end(&job, TaskOutcome::Failed);
            } else if attempt.get() > 0 {
                site.step(Event::GangRunning(job, attempt));
            }
        }
        site.wait(4000);
    }
    insta::assert_snapshot!(story(&mut site));
}

/// Guards against small jobs that keep a large one waiting for ever.
#[test]
fn aged_job_gets_a_reservation() {
    let mut site = site();
    let small = gang(1, EIGHT, false);
    (0..6).for_each(|i| site.submit(&format!("s{i}"), "beta", small, false));
    site.submit("large", "beta", gang(3, EIGHT, true), false);
    site.wait(600_000);
    for i in 0..6 {
        site.submit(&format!("late{i}"), "beta", small, false);
        site.end(&format!("s{i}").parse().unwrap(), TaskOutcome::Succeeded);
    }
    let reason = why(&site, "late5");
    insta::assert_snapshot!(format!("{}-- {reason}\n", story(&mut site)));
}

/// Guards against a shortage that the operators don't hear about.
#[test]
fn shortage_is_reported_and_ends() {
    let mut site = site();
    for worker in ["w0", "w3"] {
        site.step(Event::WorkerFailed(worker.parse().unwrap()));
    }
    site.step(Event::WorkerReturned("w0".parse().unwrap()));
    insta::assert_snapshot!(story(&mut site));
}

/// Guards against a takeover that moves, forgets or doubles work or bound cells.
#[test]
fn state_is_rebuilt_from_records() {
    let mut site = site();
    site.submit(
        "part",
        "alpha",
        gang(1, TaskSize::Accelerators(2), false),
        false,
    );
    site.submit(
        "half",
        "beta",
        gang(2, TaskSize::Accelerators(4), false),
        false,
    );
    site.submit("over", "beta", gang(2, EIGHT, true), false);
    site.submit("wait", "beta", gang(6, EIGHT, false), false);
    let mut events: Vec<Event> = (0..6)
        .map(|i| {
            let old = site.placement.state().workers().nth(i).unwrap();
            Event::WorkerSet(cumindeck_placement::WorkerSpec {
                worker: old.worker.clone(),
                rack: old.rack.clone(),
                zone: old.zone.clone(),
                accelerators: old.accelerators,
            })
        })
        .collect();
    for (team, guarantee) in site.placement.state().guarantees() {
        events.push(Event::TeamSet(team.clone(), guarantee.clone()));
    }
    for (job, spec) in &site.jobs {
        let running = site.gangs.get(job).map(|gang| RunRecord {
            placement: gang.tasks.clone(),
            is_borrowed: gang.is_borrowed,
            age: Duration::from_secs(5),
        });
        let last_attempt = site
            .gangs
            .get(job)
            .map_or_else(Default::default, |gang| gang.attempt);
        let spec = spec.clone();
        let age = Duration::from_secs(6);
        events.push(Event::Restore(JobRecord {
            spec,
            age,
            last_attempt,
            attained: 0,
            running,
        }));
    }
    let mut other = Placement::new(Settings::default(), Box::new(GuaranteedCells));
    let effects = other.steps(site.now, events);
    assert_eq!(effects, []);
    let masks = |placement: &Placement| -> Vec<_> {
        placement
            .state()
            .workers()
            .map(|w| (w.used, w.guaranteed, w.bound))
            .collect()
    };
    assert_eq!(masks(&other), masks(&site.placement));
    assert_eq!(other.state().shortfall(), 0);
    assert_eq!(other.state().waiting().count(), 1);
}
