//! Changes of workers, teams and guarantees, and failed starts.

mod common;

use common::{TestRegion, gang};
use cumindeck_placement::{
    Effect, Event, GuaranteedCells, RefusalReason, StopReason, TaskOutcome, TaskSize, WorkerHealth,
    WorkerSpec,
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

fn id(job: &str) -> JobId {
    job.parse().unwrap()
}

fn health(region: &TestRegion, worker: &str) -> (WorkerHealth, u8, String) {
    let state = region.placement.state();
    let mut workers = state.workers();
    let worker = workers.find(|w| w.worker.as_str() == worker).unwrap();
    let rack = worker.rack.to_string();
    (worker.health, worker.accelerators, rack)
}

fn refused(region: &TestRegion, job: &str) -> Option<RefusalReason> {
    region.log.iter().find_map(|effect| match effect {
        Effect::Refuse(other, refusal) if *other == id(job) => Some(refusal.reason),
        _ => None,
    })
}

fn is_stopped(region: &TestRegion, job: &str, why: StopReason) -> bool {
    let is_stop = |effect: &Effect| matches!(effect, Effect::Stop(other, _, reason) if *other == id(job) && *reason == why);
    region.log.iter().any(is_stop)
}

/// Guards against work that stays on a removed worker, jobs that wait for it forever,
/// and a guarantee that is lost without a report.
#[test]
fn removed_worker_loses_its_work_and_the_jobs_that_need_it() {
    let mut region = region();
    region.submit("runs", "alpha", gang(3, WHOLE_WORKER, true), false);
    let worker = region.gangs[&id("runs")].tasks[0].worker.clone();
    region.submit("six", "beta", gang(6, WHOLE_WORKER, false), false);
    region.log.clear();
    region.step(Event::WorkerRemoved(worker.clone()));
    assert!(is_stopped(&region, "runs", StopReason::WorkerLost));
    assert_eq!(refused(&region, "six"), Some(RefusalReason::ExceedsCluster));
    assert_eq!(health(&region, worker.as_str()).0, WorkerHealth::Removed);
    region.confirm_stops();
    let again = &region.gangs[&id("runs")];
    assert!(again.tasks.iter().all(|task| task.worker != worker));
    assert_eq!(region.placement.state().shortfall(), 0);
    let last = again.tasks[0].worker.clone();
    region.step(Event::WorkerRemoved(last));
    region.confirm_stops();
    let is_reported =
        |effect: &Effect| matches!(effect, Effect::GuaranteesShort(teams) if !teams.is_empty());
    assert!(region.log.iter().any(is_reported));
}

/// Guards against a changed specification that takes effect under
/// running tasks, or never.
#[test]
fn changed_worker_waits_for_its_tasks() {
    let mut region = region();
    region.submit(
        "runs",
        "beta",
        gang(1, TaskSize::Accelerators(4), false),
        false,
    );
    let worker = region.gangs[&id("runs")].tasks[0].worker.clone();
    let changed = WorkerSpec {
        worker: worker.clone(),
        rack: "r9".parse().unwrap(),
        zone: "a".parse().unwrap(),
        accelerators: 4,
    };
    region.step(Event::WorkerSet(changed));
    assert!(is_stopped(&region, "runs", StopReason::WorkerLost));
    assert_eq!(health(&region, worker.as_str()).1, 8);
    region.submit(
        "more",
        "beta",
        gang(1, TaskSize::Accelerators(4), false),
        false,
    );
    assert_ne!(region.gangs[&id("more")].tasks[0].worker, worker);
    region.confirm_stops();
    let expected = (WorkerHealth::Serving, 4, "r9".to_owned());
    assert_eq!(health(&region, worker.as_str()), expected);
    assert_ne!(region.gangs[&id("runs")].tasks[0].worker, worker);
    assert_eq!(region.placement.state().shortfall(), 0);
}

/// Guards against a removed team that keeps its guarantee or its waiting jobs or gets
/// new ones, and against a team that is removed while its work runs.
#[test]
fn removed_team_releases_its_guarantee() {
    let mut region = region();
    region.submit("runs", "alpha", gang(3, WHOLE_WORKER, true), false);
    region.submit("fills", "beta", gang(3, WHOLE_WORKER, true), false);
    region.submit("waits", "alpha", gang(3, WHOLE_WORKER, true), false);
    region.step(Event::TeamRemoved("alpha".parse().unwrap()));
    assert_eq!(refused(&region, "waits"), Some(RefusalReason::UnknownTeam));
    region.submit("late", "alpha", gang(1, WHOLE_WORKER, false), false);
    assert_eq!(refused(&region, "late"), Some(RefusalReason::UnknownTeam));
    let has_alpha = |region: &TestRegion| {
        let state = region.placement.state();
        state.guarantees().any(|(team, _)| team.as_str() == "alpha")
    };
    assert!(has_alpha(&region), "the team is known while its work runs");
    region.end(&id("runs"), TaskOutcome::Succeeded);
    assert!(
        !has_alpha(&region),
        "the team is removed when its last gang has ended"
    );
    let beta = "beta".parse().unwrap();
    let shape = "1xrack,1xhalf".parse().unwrap();
    let shortages = region.placement.state().check_guarantee(&beta, &shape);
    assert_eq!(shortages, [], "the rack is free for another guarantee");
}

/// Guards against a guarantee that stays bound after it was reduced, and against
/// running work that is stopped by the reduction.
#[test]
fn reduced_guarantee_is_released_when_its_work_ends() {
    let mut region = region();
    region.submit("runs", "alpha", gang(3, WHOLE_WORKER, true), false);
    region.log.clear();
    region.set_team("alpha", "1xhalf");
    region.wait(3000);
    assert_eq!(region.log, [], "running work is not stopped");
    let beta = "beta".parse().unwrap();
    let two = "2xrack".parse().unwrap();
    assert_ne!(region.placement.state().check_guarantee(&beta, &two), []);
    region.end(&id("runs"), TaskOutcome::Succeeded);
    let is_bound = |region: &TestRegion| {
        region
            .placement
            .state()
            .workers()
            .any(|w| !w.bound.is_empty())
    };
    assert!(!is_bound(&region));
    region.submit("next", "alpha", gang(3, WHOLE_WORKER, true), false);
    assert!(region.gangs[&id("next")].is_borrowed);
    assert_eq!(region.placement.state().shortfall(), 0);
}

/// Guards against accelerators and cells that stay in use after a start was abandoned,
/// and against a stale report that ends the next attempt.
#[test]
fn failed_start_frees_the_gang_and_is_retried() {
    let mut region = region();
    region.submit("runs", "alpha", gang(3, WHOLE_WORKER, true), false);
    let first = region.gangs[&id("runs")].attempt;
    // The owner abandoned the start: no task of the attempt is left.
    region.gangs.get_mut(&id("runs")).unwrap().tasks.clear();
    region.log.clear();
    region.step(Event::StartFailed(id("runs"), first));
    let second = region.gangs[&id("runs")].attempt;
    assert_eq!(second, first.next());
    assert!(region.log.contains(&Effect::Requeued(id("runs"), first)));
    let used = |region: &TestRegion| -> u32 {
        let workers = region.placement.state().workers();
        workers.map(|worker| worker.used.len()).sum()
    };
    assert_eq!(used(&region), 24);
    region.step(Event::StartFailed(id("runs"), first));
    assert_eq!(
        (used(&region), region.gangs[&id("runs")].attempt),
        (24, second)
    );
    region.end(&id("runs"), TaskOutcome::Succeeded);
    assert_eq!(used(&region), 0);
}

/// Guards against a team that borrows although its settings forbid it, and against a
/// prohibition that is not lifted.
#[test]
fn team_without_borrowing_runs_nothing_beyond_its_guarantee() {
    let mut region = region();
    region.step(Event::TeamBorrowing("beta".parse().unwrap(), false));
    for job in ["first", "second", "third"] {
        region.submit(
            job,
            "beta",
            gang(1, TaskSize::Accelerators(4), false),
            false,
        );
    }
    let runs = |region: &TestRegion| {
        region
            .gangs
            .keys()
            .map(JobId::to_string)
            .collect::<Vec<_>>()
    };
    assert_eq!(runs(&region), ["first", "second"]);
    region.step(Event::TeamBorrowing("beta".parse().unwrap(), true));
    assert_eq!(runs(&region), ["first", "second", "third"]);
}
