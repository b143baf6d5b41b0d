//! A task that lasts fails while bulk work waits.

use std::io;
use std::thread;
use std::time::Duration;

use super::{BULK, KEY, TENANT, USUAL, job_id, worker};
use crate::Outcome;
use crate::deployment::{Deployment, Job};
use crate::record::What;

const WORKERS: u64 = 2;

/// When the task that lasts fails, counted from its start.
const FAILS: &str = "fails=1 after=25000";
const FAILS_AFTER: Duration = Duration::from_secs(25);

/// Bulk jobs have one task with all accelerators of a worker. They come as fast as the
/// workers can do them, after a backlog.
const BULK_WORK: Duration = Duration::from_millis(2_000);
const BACKLOG: u64 = 12;

/// Time for which the restart is awaited while bulk work goes on.
const WATCHED: Duration = Duration::from_secs(25);

/// Time after which a task that lasts is owed, and for which it may have nothing running.
const AFTER_RUN: Duration = Duration::from_secs(6);
const IDLE: Duration = Duration::from_secs(3);

pub fn play(mut site: Deployment, has_trouble: bool) -> io::Result<Outcome> {
    let store = site.store.address;
    site.configure(&[USUAL, BULK], &[TENANT]);
    site.start_entry("frontend-nbo-a-1", store)?;
    site.start_entry("frontend-nbo-a-2", store)?;
    for number in 1..=WORKERS as usize {
        site.start_worker(worker(number), Ok)?;
    }
    if let Err(err) = site.wait_until_up(USUAL.name, KEY) {
        return Ok(Outcome::NotRun(err));
    }
    let lasting = job_id(0xc, 1);
    let words = if has_trouble { FAILS } else { "" };
    site.submit(
        0,
        USUAL.name,
        &lasting,
        KEY,
        &Job {
            work: None,
            words,
            ..Job::small(1_000)
        },
    );
    thread::sleep(FAILS_AFTER - Duration::from_secs(6));

    let bulk = Job {
        gpu: 8,
        ..Job::small(BULK_WORK.as_millis() as u64)
    };
    let submit = |number| {
        site.submit(
            number as usize % 2,
            BULK.name,
            &job_id(0xb, number),
            KEY,
            &bulk,
        )
    };
    for number in 0..BACKLOG {
        submit(number);
    }
    let begun = site.record.now();
    let mut sent = BACKLOG;
    while site.record.now() < begun + Duration::from_secs(6) + WATCHED {
        thread::sleep(BULK_WORK / WORKERS as u32);
        submit(sent);
        sent += 1;
    }
    let is_lasting = |task: &str| task.starts_with(&lasting);
    let (mut ended, mut longest, mut starts) = (None, Duration::ZERO, 0);
    for event in site.record.events() {
        match event.what {
            What::Started { task, .. } if is_lasting(&task) => {
                starts += 1;
                longest = longest.max(
                    ended
                        .take()
                        .map_or(Duration::ZERO, |ended| event.at - ended),
                );
            }
            What::Ended { task, .. } if is_lasting(&task) => ended = Some(event.at),
            _ => {}
        }
    }
    longest = longest.max(ended.map_or(Duration::ZERO, |ended| site.record.now() - ended));
    site.record
        .note(format!("{starts} starts of the task that lasts"));
    Ok(match longest > AFTER_RUN + IDLE {
        false => Outcome::Held(format!(
            "the task that lasts is back after {longest:?} at most"
        )),
        true => Outcome::Broken(format!(
            "LOST: the task that lasts (priority 1) has no run for {longest:?}, while bulk jobs (priority 2) start"
        )),
    })
}
