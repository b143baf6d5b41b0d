//! Events that change workers, teams and guarantees, and starts that fail.

mod common;

use common::{Site, gang};
use cumindeck_placement::{
    Effect, Event, GuaranteedCells, RefusalReason, StopReason, TaskOutcome, TaskSize, WorkerHealth,
    WorkerSpec,
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

fn id(job: &str) -> JobId {
    job.parse().unwrap()
}

fn health(site: &Site, worker: &str) -> (WorkerHealth, u8, String) {
    let state = site.placement.state();
    let mut workers = state.workers();
    let worker = workers.find(|w| w.worker.as_str() == worker).unwrap();
    let rack = worker.rack.to_string();
    (worker.health, worker.accelerators, rack)
}

fn refused(site: &Site, job: &str) -> Option<RefusalReason> {
    site.log.iter().find_map(|effect| match effect {
        Effect::Refuse(other, refusal) if *other == id(job) => Some(refusal.reason),
        _ => None,
    })
}

fn is_stopped(site: &Site, job: &str, why: StopReason) -> bool {
    let is_stop = |effect: &Effect| matches!(effect, Effect::Stop(other, _, reason) if *other == id(job) && *reason == why);
    site.log.iter().any(is_stop)
}

/// Guards against work that stays on a removed worker, jobs that wait for ever for
/// it, and a guarantee that is lost without a report.
#[test]
fn removed_worker_loses_its_work_and_the_jobs_that_need_it() {
    let mut site = site();
    site.submit("runs", "alpha", gang(3, EIGHT, true), false);
    let worker = site.gangs[&id("runs")].tasks[0].worker.clone();
    site.submit("six", "beta", gang(6, EIGHT, false), false);
    site.log.clear();
    site.step(Event::WorkerRemoved(worker.clone()));
    assert!(is_stopped(&site, "runs", StopReason::WorkerLost));
    assert_eq!(refused(&site, "six"), Some(RefusalReason::ExceedsCluster));
    assert_eq!(health(&site, worker.as_str()).0, WorkerHealth::Removed);
    site.confirm_stops();
    let again = &site.gangs[&id("runs")];
    assert!(again.tasks.iter().all(|task| task.worker != worker));
    assert_eq!(site.placement.state().shortfall(), 0);
    let last = again.tasks[0].worker.clone();
    site.step(Event::WorkerRemoved(last));
    site.confirm_stops();
    let is_reported =
        |effect: &Effect| matches!(effect, Effect::GuaranteesShort(teams) if !teams.is_empty());
    assert!(site.log.iter().any(is_reported));
}

/// Guards against a changed description that takes effect under running tasks, or never.
#[test]
fn changed_worker_waits_for_its_tasks() {
    let mut site = site();
    site.submit(
        "runs",
        "beta",
        gang(1, TaskSize::Accelerators(4), false),
        false,
    );
    let worker = site.gangs[&id("runs")].tasks[0].worker.clone();
    let changed = WorkerSpec {
        worker: worker.clone(),
        rack: "r9".parse().unwrap(),
        zone: "a".parse().unwrap(),
        accelerators: 4,
    };
    site.step(Event::WorkerSet(changed));
    assert!(is_stopped(&site, "runs", StopReason::WorkerLost));
    assert_eq!(health(&site, worker.as_str()).1, 8);
    site.submit(
        "more",
        "beta",
        gang(1, TaskSize::Accelerators(4), false),
        false,
    );
    assert_ne!(site.gangs[&id("more")].tasks[0].worker, worker);
    site.confirm_stops();
    let expected = (WorkerHealth::Serving, 4, "r9".to_owned());
    assert_eq!(health(&site, worker.as_str()), expected);
    assert_ne!(site.gangs[&id("runs")].tasks[0].worker, worker);
    assert_eq!(site.placement.state().shortfall(), 0);
}

/// Guards against a removed team that keeps its guarantee, its waiting jobs or new ones,
/// and against a team whose running work is forgotten.
#[test]
fn removed_team_gives_its_guarantee_back() {
    let mut site = site();
    site.submit("runs", "alpha", gang(3, EIGHT, true), false);
    site.submit("fills", "beta", gang(3, EIGHT, true), false);
    site.submit("waits", "alpha", gang(3, EIGHT, true), false);
    site.step(Event::TeamRemoved("alpha".parse().unwrap()));
    assert_eq!(refused(&site, "waits"), Some(RefusalReason::UnknownTeam));
    site.submit("late", "alpha", gang(1, EIGHT, false), false);
    assert_eq!(refused(&site, "late"), Some(RefusalReason::UnknownTeam));
    let has_alpha = |site: &Site| {
        let state = site.placement.state();
        state.guarantees().any(|(team, _)| team.as_str() == "alpha")
    };
    assert!(has_alpha(&site), "the team is known while its work runs");
    site.end(&id("runs"), TaskOutcome::Succeeded);
    assert!(!has_alpha(&site), "the team is gone with its last gang");
    let beta = "beta".parse().unwrap();
    let shape = "1xrack,1xhalf".parse().unwrap();
    let shortages = site.placement.state().check_guarantee(&beta, &shape);
    assert_eq!(shortages, [], "the rack is free for another guarantee");
}

/// Guards against a guarantee that stays bound after it was made smaller, and against
/// running work that is stopped because of that.
#[test]
fn shrinking_guarantee_is_given_back_when_its_work_ends() {
    let mut site = site();
    site.submit("runs", "alpha", gang(3, EIGHT, true), false);
    site.log.clear();
    site.set_team("alpha", "1xhalf");
    site.wait(3000);
    assert_eq!(site.log, [], "running work goes on");
    let beta = "beta".parse().unwrap();
    let two = "2xrack".parse().unwrap();
    assert_ne!(site.placement.state().check_guarantee(&beta, &two), []);
    site.end(&id("runs"), TaskOutcome::Succeeded);
    let is_bound = |site: &Site| {
        site.placement
            .state()
            .workers()
            .any(|w| !w.bound.is_empty())
    };
    assert!(!is_bound(&site));
    site.submit("next", "alpha", gang(3, EIGHT, true), false);
    assert!(site.gangs[&id("next")].is_borrowed);
    assert_eq!(site.placement.state().shortfall(), 0);
}

/// Guards against accelerators and cells that stay taken after a start was given up,
/// and against a stale report that ends the next attempt.
#[test]
fn failed_start_frees_the_gang_and_is_tried_again() {
    let mut site = site();
    site.submit("runs", "alpha", gang(3, EIGHT, true), false);
    let first = site.gangs[&id("runs")].attempt;
    // The owner gave the start up: no task of the attempt is left.
    site.gangs.get_mut(&id("runs")).unwrap().tasks.clear();
    site.log.clear();
    site.step(Event::StartFailed(id("runs"), first));
    let second = site.gangs[&id("runs")].attempt;
    assert_eq!(second, first.next());
    assert!(site.log.contains(&Effect::Requeued(id("runs"), first)));
    let used = |site: &Site| -> u32 {
        let workers = site.placement.state().workers();
        workers.map(|worker| worker.used.len()).sum()
    };
    assert_eq!(used(&site), 24);
    site.step(Event::StartFailed(id("runs"), first));
    assert_eq!((used(&site), site.gangs[&id("runs")].attempt), (24, second));
    site.end(&id("runs"), TaskOutcome::Succeeded);
    assert_eq!(used(&site), 0);
}

/// Guards against a team that borrows though its settings forbid it, and against a
/// prohibition that doesn't end.
#[test]
fn confined_team_runs_nothing_beyond_its_guarantee() {
    let mut site = site();
    site.step(Event::TeamBorrowing("beta".parse().unwrap(), false));
    for job in ["first", "second", "third"] {
        site.submit(
            job,
            "beta",
            gang(1, TaskSize::Accelerators(4), false),
            false,
        );
    }
    let runs = |site: &Site| site.gangs.keys().map(JobId::to_string).collect::<Vec<_>>();
    assert_eq!(runs(&site), ["first", "second"]);
    site.step(Event::TeamBorrowing("beta".parse().unwrap(), true));
    assert_eq!(runs(&site), ["first", "second", "third"]);
}
