//! One large job, whose progress the system keeps in a single row of the store.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::Verdict;
use crate::net::{Action, Message, start_proxy, string_fields};
use crate::site::{FINISH_S, Options, ROW_BYTES, Record, Result, Site, boot_ms, sleep_ms};

const SLOTS: u64 = 64;
const WORKERS: usize = 11;

/// Widest step of a class in the site files.
const WIDEST_STEP: u64 = 230;
/// Width of the same job where it is not large.
const USUAL_STEP: u64 = 20;

/// Traffic after the large job, and the time for which a job must have nothing running.
const TRAFFIC_S: u64 = 24;
const IDLE_S: u64 = 3;

const LARGE_JOB: &str = "5c0e7a21d94b36f8";

pub fn play(record: &Record, has_trouble: bool) -> Result<Verdict> {
    let rejected = Arc::new(AtomicUsize::new(0));
    let options = Options {
        workers: WORKERS,
        slots: SLOTS,
        reports_by_case: false,
    };
    let (log, count) = (record.clone(), rejected.clone());
    let site = Site::start(&options, record.clone(), |store| {
        Ok(start_proxy(store, move |request| {
            check_limits(request, &log, &count)
        })?)
    })?;
    sleep_ms(3_000);
    let wait = Duration::from_secs(4);
    let small = "{\"taskSpec\":\"work=500\",\"steps\":[{\"count\":2,\"cpu\":1000,\"memMb\":500,\"estimateMs\":500}]}";
    let mut jobs = Vec::new();
    for at in 0..3 {
        let id = format!("00000000000000{at:02x}");
        if site.client(at, "POST", &id, small, wait).0 == 200 {
            jobs.push(id);
        }
    }
    sleep_ms(4_000);
    for (entry, job) in jobs.iter().enumerate() {
        if site.state(entry, job) != "completed" {
            return Err("a job was not completed before the large one".into());
        }
    }
    let width = if has_trouble { WIDEST_STEP } else { USUAL_STEP };
    let now_unix = SystemTime::now().duration_since(UNIX_EPOCH)?.as_millis();
    let step = format!("{{\"count\":{width},\"cpu\":1000,\"memMb\":500,\"estimateMs\":10000}}");
    let large = format!(
        "{{\"taskSpec\":\"work=10000\",\"steps\":[{step},{step},{step}],\"repeatCount\":4,\"firstRunMs\":{now_unix},\"intervalMs\":4500}}"
    );
    if site.client(0, "POST", LARGE_JOB, &large, wait).0 != 200 {
        return Err("the large job was not accepted".into());
    }
    jobs.push(LARGE_JOB.to_owned());
    for at in 0..TRAFFIC_S / 2 {
        sleep_ms(2_000);
        let id = format!("0000000000000a{at:02x}");
        if site.client(at as usize % 3, "POST", &id, small, wait).0 == 200 {
            jobs.push(id);
        }
    }
    record.add("the traffic ends");
    sleep_ms((FINISH_S + IDLE_S) * 1_000);
    let until_ms = boot_ms();
    let from_ms = until_ms - IDLE_S * 1_000;
    let runs = site.runs();
    let at_work = |at_ms: u64| {
        let is_at_work = |run: &&crate::site::Run| {
            run.started_ms <= at_ms && run.end.as_ref().is_none_or(|(_, end)| *end > at_ms)
        };
        runs.iter().filter(is_at_work).count()
    };
    for second in (0..until_ms / 1_000).filter(|it| record.seconds(it * 1_000) >= 0.0) {
        let at_ms = second * 1_000;
        record.add_at(at_ms, format!("workers: {} tasks at work", at_work(at_ms)));
    }
    let capacity = SLOTS as usize * WORKERS;
    let most = (0..=10)
        .map(|at| at_work(from_ms + at * IDLE_S * 100))
        .max()
        .unwrap_or(0);
    let mut stuck = Vec::new();
    for job in &jobs {
        let state = site.state(1, job);
        let has_run = runs.iter().any(|run| {
            run.task.starts_with(job.as_str())
                && run.end.as_ref().is_none_or(|(_, end)| *end > from_ms)
        });
        if (state == "queued" || state == "running") && !has_run {
            stuck.push(format!("{job} ({state})"));
        }
    }
    for line in site.entry_lines("event=transaction_refused").iter().take(3) {
        record.add(format!("log of {line}"));
    }
    for line in site.entry_lines("event=duty_taken") {
        record.add(format!("log of {line}"));
    }
    let rejected = rejected.load(Ordering::Relaxed);
    Ok(Verdict {
        is_broken: !stuck.is_empty() && most * 2 < capacity,
        text: format!(
            "LOST: {IDLE_S} s long, {} s after the end of the traffic, at most {most} of {capacity} cores are in use; \
             accepted jobs with nothing running: {}; the store refused {rejected} transactions",
            FINISH_S + IDLE_S,
            if stuck.is_empty() {
                "none".to_owned()
            } else {
                stuck.join(", ")
            },
        ),
    })
}

/// Keeps the store's limits: `rowBytes` a value, 100 entries and 1 MB a call.
fn check_limits(request: &Message, record: &Record, rejected: &AtomicUsize) -> Action {
    if !request.head.starts_with("POST /rows-tx") {
        return Action::Forward;
    }
    let text = request.text();
    let size = |value: &str| value.trim_end_matches('=').len() * 3 / 4;
    let largest = string_fields(&text, "value")
        .into_iter()
        .map(size)
        .max()
        .unwrap_or(0);
    let entries = string_fields(&text, "key").len();
    if largest <= ROW_BYTES && entries <= 100 && request.body.len() <= 1_000_000 {
        return Action::Forward;
    }
    if rejected.fetch_add(1, Ordering::Relaxed) < 5 {
        record.add(format!(
            "store: a transaction of {entries} entries and {} bytes with a value of {largest} bytes: 400",
            request.body.len()
        ));
    }
    Action::Answer(
        400,
        "{\"error\":\"a value is larger than rowBytes\"}".to_owned(),
    )
}
