//! The leader is killed after many frontends have been replaced.

use std::io;
use std::thread;
use std::time::{Duration, Instant};

use super::{KEY, TENANT, USUAL, job_id, worker};
use crate::Outcome;
use crate::deployment::{Deployment, Job};

const WORKERS: usize = 3;

/// Number of frontends that are replaced, one after the other.
const REPLACED: usize = 60;

/// Time after which a task that lasts is owed, and for which it may have nothing running.
const AFTER_RUN: Duration = Duration::from_secs(6);
const IDLE: Duration = Duration::from_secs(3);

pub fn play(mut site: Deployment, has_trouble: bool) -> io::Result<Outcome> {
    let store = site.store.address;
    site.configure(&[USUAL], &[TENANT]);
    site.start_entry("frontend-nbo-a-1", store)?;
    site.start_entry("frontend-nbo-a-2", store)?;
    for number in 1..=WORKERS {
        site.start_worker(worker(number), Ok)?;
    }
    if let Err(err) = site.wait_until_up(USUAL.name, KEY) {
        return Ok(Outcome::NotRun(err));
    }
    let lasting = job_id(0xc, 1);
    let service = Job {
        count: WORKERS as u64,
        work: None,
        per_worker: 1,
        ..Job::small(1_000)
    };
    site.submit(0, USUAL.name, &lasting, KEY, &service);
    let replaced = if has_trouble { REPLACED } else { 1 };
    for number in 0..replaced {
        site.start_entry(&format!("frontend-nbo-a-{}", number + 3), store)?;
        let until = Instant::now() + Duration::from_secs(5);
        while !site.is_ready(&site.entries[2]) && Instant::now() < until {
            thread::sleep(Duration::from_millis(20));
        }
        // The machine of the second frontend is removed for good; the new one stays.
        site.remove_entry(1)?;
    }
    thread::sleep(Duration::from_secs(5));
    let leader = site.store.leader();
    let Some(at) = site
        .entries
        .iter()
        .position(|entry| leader.contains(&format!("\"{}\"", entry.name)))
    else {
        return Ok(Outcome::NotRun(format!("there is no leader: {leader}")));
    };
    site.record
        .note(format!("{} leads and is killed", site.entries[at].name));
    site.remove_entry(at)?;
    let killed = site.record.now();
    let (mut idle_since, mut longest) = (None, Duration::ZERO);
    while site.record.now() < killed + Duration::from_secs(45) {
        let now = site.record.now();
        if site.runs_job(&lasting) {
            idle_since = None;
        } else {
            longest = longest.max(now - *idle_since.get_or_insert(now));
        }
        thread::sleep(Duration::from_millis(10));
    }
    Ok(match longest > AFTER_RUN + IDLE {
        false => Outcome::Held(format!("nothing running for {longest:?} at most")),
        true => Outcome::Broken(format!(
            "LOST: the job that lasts has no run for {longest:?}"
        )),
    })
}
