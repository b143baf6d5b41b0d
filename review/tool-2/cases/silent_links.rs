//! The open connections between agents and workers fall silent.

use std::io;
use std::thread;
use std::time::Duration;

use super::{KEY, TENANT, USUAL, job_id, worker};
use crate::Outcome;
use crate::deployment::{CONTACT, Deployment, Job};
use crate::proxy::Proxy;

const WORKERS: usize = 3;

/// Number of tasks that start at the same time on each worker before the disruption.
const PARALLEL: u64 = 30;

/// Time after which a task that lasts is owed, and for which it may have nothing running.
const AFTER_RUN: Duration = Duration::from_secs(6);
const IDLE: Duration = Duration::from_secs(3);

pub fn play(mut site: Deployment, has_trouble: bool) -> io::Result<Outcome> {
    let store = site.store.address;
    site.configure(&[USUAL], &[TENANT]);
    site.start_entry("frontend-nbo-a-1", store)?;
    site.start_entry("frontend-nbo-a-2", store)?;
    let mut proxies = Vec::new();
    for number in 1..=WORKERS {
        site.start_worker(worker(number), |address| {
            let proxy = Proxy::start(address)?;
            proxies.push(proxy.clone());
            Ok(proxy.address)
        })?;
    }
    if let Err(err) = site.wait_until_up(USUAL.name, KEY) {
        return Ok(Outcome::NotRun(err));
    }
    let lasting = job_id(0xc, 1);
    site.submit(
        0,
        USUAL.name,
        &lasting,
        KEY,
        &Job {
            work: None,
            ..Job::small(1_000)
        },
    );
    thread::sleep(Duration::from_secs(1));
    let wave = Job {
        count: PARALLEL * WORKERS as u64,
        cpu: 2_000,
        gpu: 0,
        per_worker: PARALLEL,
        ..Job::small(1_000)
    };
    site.submit(0, USUAL.name, &job_id(0xa, 1), KEY, &wave);
    thread::sleep(Duration::from_secs(4));
    if has_trouble {
        let silent: Vec<usize> = proxies.iter().map(Proxy::silence_open).collect();
        site.record.note(format!(
            "open connections to the workers fall silent: {silent:?}"
        ));
    }
    let at = site.record.now();
    // The longest time in which the task has no run, from when all machines are in touch.
    let (mut idle_since, mut longest) = (None, Duration::ZERO);
    while site.record.now() < at + Duration::from_secs(40) {
        let now = site.record.now();
        if site.runs_job(&lasting) || !site.has_room() {
            idle_since = None;
        } else {
            longest = longest.max(now - *idle_since.get_or_insert(now));
        }
        thread::sleep(Duration::from_millis(10));
    }
    let allowed = AFTER_RUN + IDLE;
    site.record.note(format!("longest time without a run of {lasting}: {longest:?}; in touch {CONTACT:?} after the silence"));
    Ok(match longest > allowed {
        false => Outcome::Held(format!(
            "the task that lasts is back after {longest:?} at most"
        )),
        true => Outcome::Broken(format!(
            "LOST: the task that lasts has no run for {longest:?}"
        )),
    })
}
