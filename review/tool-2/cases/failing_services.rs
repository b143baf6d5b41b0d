//! Two services whose tasks fail once, at about the same time, on all workers.

use std::io;
use std::thread;
use std::time::Duration;

use super::{KEY, TENANT, USUAL, job_id, worker};
use crate::Outcome;
use crate::deployment::{Deployment, Job};
use crate::record::What;

const WORKERS: u64 = 3;

/// Time after which a task that lasts is owed, and for which it may have nothing running.
const AFTER_RUN: Duration = Duration::from_secs(6);
const IDLE: Duration = Duration::from_secs(3);

pub fn play(mut site: Deployment, has_trouble: bool) -> io::Result<Outcome> {
    let store = site.store.address;
    site.configure(&[USUAL], &[TENANT]);
    site.start_entry("frontend-nbo-a-1", store)?;
    site.start_entry("frontend-nbo-a-2", store)?;
    for number in 1..=WORKERS as usize {
        site.start_worker(worker(number), Ok)?;
    }
    if let Err(err) = site.wait_until_up(USUAL.name, KEY) {
        return Ok(Outcome::NotRun(err));
    }
    let words = if has_trouble {
        "fails=1 after=2000"
    } else {
        ""
    };
    let service = Job {
        count: WORKERS,
        work: None,
        per_worker: 1,
        words,
        ..Job::small(1_000)
    };
    for number in 1..=2 {
        site.submit(0, USUAL.name, &job_id(0xc, number), KEY, &service);
    }
    thread::sleep(Duration::from_secs(25));

    let mut longest = Duration::ZERO;
    let events = site.record.events();
    for (from, ended) in events.iter().enumerate() {
        let What::Ended { task, run, .. } = &ended.what else {
            continue;
        };
        let is_next = |what: &What| matches!(what, What::Started { task: next, run: number, .. } if next == task && number > run);
        if !task.starts_with("0000000c") {
            continue;
        }
        let next = events[from..].iter().find(|event| is_next(&event.what));
        let until = next.map_or(site.record.now(), |event| event.at);
        longest = longest.max(until - ended.at);
    }
    Ok(match longest > AFTER_RUN + IDLE {
        false => Outcome::Held(format!(
            "tasks that last are back after {longest:?} at most"
        )),
        true => Outcome::Broken(format!(
            "LOST: a task that lasts has no run for {longest:?}, with the workers idle"
        )),
    })
}
