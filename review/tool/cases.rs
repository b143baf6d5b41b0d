//! The cases: each plays its disruption, unless `TROUBLE=0`, and judges by what clients
//! and workers saw.

use std::collections::{BTreeMap, BTreeSet};
use std::thread::sleep;
use std::time::Duration;

use crate::json::Json;
use crate::site::{KEY, Record, Seen, Site, WorkerSpec, ask_at, job};
use crate::unix_ms;

/// Bounds of the pages, in milliseconds.
const FINISH: u64 = 14_000;
const CONTACT: u64 = 4_000;
const CANCEL: u64 = 3_000;
const STOP: u64 = 400;
const IDLE: u64 = 3_000;

/// Number of tasks of the large job; the entries accept up to 10,000.
const LARGE: u32 = 1_000;

/// Number of tasks that end during the outage; a worker lists 500 ends at a time.
const LISTED: u32 = 620;

pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

fn ms(millis: u64) {
    sleep(Duration::from_millis(millis));
}

fn worker(zone: &'static str, label: &'static str) -> WorkerSpec {
    WorkerSpec { zone, label }
}

fn workers() -> Vec<WorkerSpec> {
    ["nbo-a", "nbo-b", "mba-a", "nbo-a"]
        .map(|zone| worker(zone, "a"))
        .to_vec()
}

fn id(number: u64) -> String {
    format!("{:016x}", 0xabc0_0000_0000_0000 + number)
}

/// A run as a worker saw it.
#[derive(Debug, Clone)]
struct Run {
    worker: String,
    task: String,
    number: u64,
    from: u64,
    /// When it ended; a killed worker ends its runs.
    to: Option<u64>,
    how: String,
    /// Whether its end is taken note of.
    is_acked: bool,
    /// Whether the worker's lease lapsed after its end and before the ack.
    has_lapsed: bool,
}

fn runs(seen: &[Seen]) -> Vec<Run> {
    let mut runs: Vec<Run> = Vec::new();
    for Seen { at, who, what } in seen {
        match what
            .iter()
            .map(String::as_str)
            .collect::<Vec<_>>()
            .as_slice()
        {
            ["start", task, number] => runs.push(Run {
                worker: who.clone(),
                task: (*task).to_owned(),
                number: number.parse().unwrap_or(0),
                from: *at,
                to: None,
                how: String::new(),
                is_acked: false,
                has_lapsed: false,
            }),
            [kind @ ("end" | "ack"), task, number, how] => {
                let number = number.parse().unwrap_or(0);
                let is_same = |run: &&mut Run| {
                    run.worker == *who && run.task == *task && run.number == number
                };
                if let Some(run) = runs.iter_mut().rev().find(is_same) {
                    match *kind {
                        "end" => (run.to, run.how) = (Some(*at), (*how).to_owned()),
                        _ => run.is_acked = !run.has_lapsed,
                    }
                }
            }
            ["lapse"] => {
                let is_open =
                    |run: &&mut Run| run.worker == *who && run.to.is_some() && !run.is_acked;
                runs.iter_mut()
                    .filter(is_open)
                    .for_each(|run| run.has_lapsed = true);
            }
            ["killed"] => {
                for run in runs
                    .iter_mut()
                    .filter(|run| run.worker == *who && run.to.is_none())
                {
                    (run.to, run.how) = (Some(*at), "killed".to_owned());
                }
            }
            _ => {}
        }
    }
    runs
}

/// Submits a job of two tasks of 2 s each second; returns the ids of the accepted ones.
fn traffic(site: &Site, seconds: u64, first: u64) -> Vec<String> {
    let mut accepted = Vec::new();
    for number in first..first + seconds {
        let began = unix_ms();
        let id = id(number);
        if site.submit(number as usize, &id, &job(&[(2, 2_800, 1)], 2_000, "")) {
            accepted.push(id);
        }
        ms(1_000u64.saturating_sub(unix_ms() - began));
    }
    accepted
}

/// Waits until `FINISH` after the end of the traffic and `IDLE` more, asks for each job,
/// and returns those that have nothing running all that time although a task's turn has
/// come. `tasks` holds the number of tasks of each accepted job, all of one step.
fn lost_jobs(site: &Site, tasks: &BTreeMap<String, usize>, live_cpu: u64) -> Vec<String> {
    let end = unix_ms();
    ms(FINISH);
    let states: BTreeMap<String, String> = tasks
        .keys()
        .map(|id| {
            let answer = site
                .ask(0, "GET", id, "")
                .or_else(|| site.ask(1, "GET", id, ""));
            let state = answer
                .and_then(|(_, body)| Some(Json::parse(&body)?.get("state").text().to_owned()));
            (id.clone(), state.unwrap_or_else(|| "no answer".to_owned()))
        })
        .collect();
    ms(IDLE + 200);
    let seen = site.record.all();
    let runs = runs(&seen);
    let now = unix_ms();
    let in_use = runs.iter().filter(|run| run.to.is_none()).count() as u64 * 2_800;
    let record = &site.record;
    record.note(
        "judge",
        &format!("traffic ended at {end}; {in_use} of {live_cpu} thousandths in use at the end"),
    );
    let mut lost = Vec::new();
    for (id, count) in tasks {
        let of_job: Vec<&Run> = runs
            .iter()
            .filter(|run| run.task.starts_with(id.as_str()))
            .collect();
        let done: BTreeSet<&str> = of_job
            .iter()
            .filter(|run| run.how == "done")
            .map(|run| run.task.as_str())
            .collect();
        let is_running = of_job
            .iter()
            .any(|run| run.to.is_none_or(|to| to + IDLE > now));
        let state = &states[id];
        if done.len() < *count && !is_running && 2 * in_use < live_cpu {
            record.note(
                "judge",
                &format!("job {id}: state {state}, {} of {count} tasks done, {} runs, nothing running for 3 s", done.len(), of_job.len()),
            );
            lost.push(id.clone());
        }
    }
    lost
}

fn verdict(record: &Record, rule: &str, broken: &[String]) -> Verdict {
    if broken.is_empty() {
        record.note("judge", &format!("{rule} held"));
        return Verdict::Held;
    }
    for what in broken.iter().take(10) {
        record.note("judge", what);
    }
    record.note("judge", &format!("{rule} broken {} times", broken.len()));
    Verdict::Broken
}

/// A worker crashes and stays away, while the agent on its machine runs on.
pub fn crash(record_path: &str, trouble: bool) -> Verdict {
    let Some(mut site) = Site::start(record_path, &workers()) else {
        return Verdict::NotRun;
    };
    let first = id(1);
    if !site.submit(0, &first, &job(&[(16, 2_800, 1)], 10_000, "")) {
        return Verdict::NotRun;
    }
    ms(3_000);
    let mut count: BTreeMap<String, usize> = BTreeMap::new();
    for run in runs(&site.record.all()) {
        *count.entry(run.worker).or_default() += 1;
    }
    let Some((busiest, _)) = count.into_iter().max_by_key(|(_, count)| *count) else {
        return Verdict::NotRun;
    };
    if trouble {
        site.kill(&busiest);
    }
    let accepted = traffic(&site, 15, 100);
    let mut tasks: BTreeMap<String, usize> = accepted.into_iter().map(|id| (id, 2)).collect();
    tasks.insert(first, 16);
    let lost = lost_jobs(&site, &tasks, 3 * 32_000);
    let broken: Vec<String> = lost
        .iter()
        .map(|id| format!("job {id} could run and doesn't"))
        .collect();
    verdict(&site.record, "LOST", &broken)
}

/// A client hands in one job of many small tasks.
pub fn large(record_path: &str, trouble: bool) -> Verdict {
    let Some(site) = Site::start(record_path, &workers()) else {
        return Verdict::NotRun;
    };
    let mut tasks: BTreeMap<String, usize> = BTreeMap::new();
    tasks.extend(traffic(&site, 4, 100).into_iter().map(|id| (id, 2)));
    if trouble {
        let large = id(1);
        if site.submit(0, &large, &job(&[(LARGE, 20, 0)], 2_000, "")) {
            tasks.insert(large, LARGE as usize);
        }
    }
    tasks.extend(traffic(&site, 12, 200).into_iter().map(|id| (id, 2)));
    let lost = lost_jobs(&site, &tasks, 4 * 32_000);
    for (reason, times) in site.store.refused() {
        site.record
            .note("store", &format!("refused {times} times: {reason}"));
    }
    let broken: Vec<String> = lost
        .iter()
        .map(|id| format!("job {id} could run and doesn't"))
        .collect();
    verdict(&site.record, "LOST", &broken)
}

/// A recurring job of nine short tasks runs some hundred times; its row keeps them all.
/// Without the disruption it runs 100 times.
pub fn recurring(record_path: &str, trouble: bool) -> Verdict {
    let Some(site) = Site::start(record_path, &workers()) else {
        return Verdict::NotRun;
    };
    let times = if trouble { 1_000 } else { 100 };
    let steps = job(&[(9, 20, 0)], 50, "");
    let schedule = format!(
        ",\"repeatCount\":{times},\"firstRunMs\":{},\"intervalMs\":160}}",
        unix_ms()
    );
    let body = format!("{}{schedule}", steps.trim_end_matches('}'));
    if !site.submit(0, &id(1), &body) {
        return Verdict::NotRun;
    }
    ms(74_000);
    let jobs = traffic(&site, 6, 200);
    let tasks: BTreeMap<String, usize> = jobs.into_iter().map(|id| (id, 2)).collect();
    let lost = lost_jobs(&site, &tasks, 4 * 32_000);
    for (reason, times) in site.store.refused() {
        site.record
            .note("store", &format!("refused {times} times: {reason}"));
    }
    let broken: Vec<String> = lost
        .iter()
        .map(|id| format!("job {id} could run and doesn't"))
        .collect();
    verdict(&site.record, "LOST", &broken)
}

/// A job is handed in and cancelled in the second in which the store's feeds hear
/// nothing; then the store discards its history and cuts them.
pub fn cancel(record_path: &str, trouble: bool) -> Verdict {
    let Some(site) = Site::start(record_path, &workers()) else {
        return Verdict::NotRun;
    };
    let Some(leader) = site.leader() else {
        return Verdict::NotRun;
    };
    let other = (leader + 1) % 3;
    let began = unix_ms();
    if trouble {
        site.store.deafen();
        site.record.note("store", "its feeds hear nothing");
    }
    ms(100);
    let id = id(1);
    let steps = [(2, 2_800, 1), (2, 2_800, 1), (2, 2_800, 1)];
    if !site.submit(other, &id, &job(&steps, 8_000, "")) {
        return Verdict::NotRun;
    }
    ms(200);
    let cancelled = site
        .ask(other, "DELETE", &id, "")
        .is_some_and(|(status, _)| status == 200);
    let acked = unix_ms();
    if !cancelled {
        return Verdict::NotRun;
    }
    ms(1_000u64.saturating_sub(unix_ms() - began));
    if trouble {
        site.store.compact();
        site.record
            .note("store", "discards its history and cuts the feeds");
    }
    let calm = unix_ms() + CONTACT;
    ms(30_000);
    site.ask(other, "GET", &id, "");
    let mut broken = Vec::new();
    for run in runs(&site.record.all()) {
        let gone_by = calm + CANCEL + STOP;
        if run.from > calm.max(acked + CANCEL) {
            broken.push(format!(
                "{} run {} was started {} ms after its cancel's ack",
                run.task,
                run.number,
                run.from - acked
            ));
        } else if run.to.is_none_or(|to| to > gone_by) {
            broken.push(format!(
                "{} run {} ran on {} ms after its cancel's ack",
                run.task,
                run.number,
                gone_by - acked
            ));
        }
    }
    verdict(&site.record, "UNASKED", &broken)
}

/// The store is down for 4.5 s while the small tasks of a job end on one worker.
pub fn listed(record_path: &str, trouble: bool) -> Verdict {
    let Some(site) = Site::start(record_path, &workers()) else {
        return Verdict::NotRun;
    };
    if !site.submit(0, &id(1), &job(&[(LISTED, 50, 0)], 6_000, "")) {
        return Verdict::NotRun;
    }
    ms(5_000);
    if trouble {
        site.store.set_down(true);
        site.record.note("store", "down: answers all with 503");
    }
    ms(4_500);
    site.store.set_down(false);
    site.record.note("store", "up");
    ms(20_000);
    let runs = runs(&site.record.all());
    let mut broken = Vec::new();
    for run in &runs {
        let is_earlier = |other: &&Run| {
            other.task == run.task
                && other.number < run.number
                && other.how == "done"
                && other.is_acked
                && other.to.is_some_and(|to| to < run.from)
        };
        if let Some(other) = runs.iter().find(is_earlier) {
            broken.push(format!(
                "{} run {} was started, run {} had ended done",
                run.task, run.number, other.number
            ));
        }
    }
    verdict(&site.record, "TWICE", &broken)
}

/// Both answers of the store to a job's write are lost, and the client's key is taken
/// away before another entry decides.
pub fn refused(record_path: &str, trouble: bool) -> Verdict {
    let Some(mut site) = Site::start(record_path, &workers()) else {
        return Verdict::NotRun;
    };
    site.configure(&[KEY, "key-two"]);
    ms(3_000);
    if trouble {
        site.store.lose_job_writes(0, 2);
        site.record.note(
            "store",
            "the answers to the next two writes of entry 1 are lost",
        );
    }
    let id = id(1);
    let body = job(&[(2, 2_800, 1)], 2_000, "");
    let (entry, record) = (site.entries[0], site.record.clone());
    let asked = std::thread::spawn({
        let (id, body) = (id.clone(), body.clone());
        move || ask_at(entry, &record, "POST", &id, &body, "key-two")
    });
    ms(1_200);
    site.configure(&[KEY]);
    let answer = asked.join().ok().flatten();
    ms(6_000);
    let was_started = !runs(&site.record.all()).is_empty();
    let is_rejected = matches!(answer, Some((400..=499 | 503, _)));
    let mut broken = Vec::new();
    if was_started && is_rejected {
        broken.push(format!("job {id} runs, and its only answer was {answer:?}"));
    }
    verdict(&site.record, "REFUSED", &broken)
}
