//! A wide recurring job beside small jobs of another queue.

use std::io;
use std::thread;
use std::time::{Duration, Instant};

use super::{BULK, KEY, TENANT, USUAL, job_id, worker};
use crate::Outcome;
use crate::deployment::{Deployment, FINISH, Job};

/// Number of tasks of a step: the largest that the pages' sheets give, and a tenth of it
/// without the disruption.
const WIDE: u64 = 230;
const NARROW: u64 = 23;

const SMALL_JOBS: u64 = 8;

/// Time for which a job may have nothing running although there is room.
const IDLE: Duration = Duration::from_secs(3);

pub fn play(mut site: Deployment, has_trouble: bool) -> io::Result<Outcome> {
    let store = site.store.address;
    site.configure(&[USUAL, BULK], &[TENANT]);
    for name in ["frontend-nbo-a-1", "frontend-nbo-a-2"] {
        site.start_entry(name, store)?;
    }
    for number in 1..=4 {
        site.start_worker(worker(number), Ok)?;
    }
    if let Err(err) = site.wait_until_up(USUAL.name, KEY) {
        return Ok(Outcome::NotRun(err));
    }
    let recurring = Job {
        steps: 3,
        count: if has_trouble { WIDE } else { NARROW },
        cpu: 100,
        work: Some(1_000),
        estimate_ms: 1_000,
        repeat: 6,
        interval_ms: 2_000,
        ..Job::default()
    };
    let mut accepted = Vec::new();
    let job = job_id(0xb, 0);
    if site.submit(0, BULK.name, &job, KEY, &recurring) == 200 {
        accepted.push((BULK.name, job));
    }
    for number in 0..SMALL_JOBS {
        thread::sleep(Duration::from_secs(2));
        let job = job_id(0xa, number);
        let entry = number as usize % 2;
        if site.submit(entry, USUAL.name, &job, KEY, &Job::small(500)) == 200 {
            accepted.push((USUAL.name, job));
        }
    }
    site.record.note("end of the traffic");
    thread::sleep(FINISH);

    // A job that has no run for all of this time, while there is room, is lost.
    let mut idle: Vec<&(&str, String)> = accepted.iter().collect();
    let until = Instant::now() + IDLE;
    while Instant::now() < until {
        idle.retain(|(_, job)| site.has_room() && !site.runs_job(job));
        thread::sleep(Duration::from_millis(20));
    }
    let mut lost = 0;
    for (queue, job) in idle {
        let state = site.state(1, queue, job, KEY);
        let starts = site.record.starts(job).len();
        site.record.note(format!("GET /{queue}/{job} -> {state:?}; {starts} starts so far"));
        lost += usize::from(!["completed", "failed"].contains(&state.as_str()));
    }
    if let Some(reason) = site.store.refused().first() {
        let count = site.store.refused().len();
        site.record.note(format!("the store refused {count} transactions; the first: {reason}"));
    }
    let accepted = accepted.len();
    Ok(match lost {
        0 => Outcome::Held(format!("all of {accepted} accepted jobs ended")),
        _ => Outcome::Broken(format!(
            "LOST: {lost} of {accepted} accepted jobs have nothing running for {IDLE:?}, {FINISH:?} after the end of the traffic, with three quarters of the room free"
        )),
    })
}
