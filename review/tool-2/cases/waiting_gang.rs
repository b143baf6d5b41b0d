//! A gang that cannot start while a service runs, and small jobs that come after it.

use std::io;
use std::thread;
use std::time::{Duration, Instant};

use super::{KEY, TENANT, USUAL, job_id, worker};
use crate::Outcome;
use crate::deployment::{Deployment, FINISH, Job};

const WORKERS: u64 = 4;
const SMALL_JOBS: u64 = 6;

/// Time for which a job may have nothing running although there is room.
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
    // A service with one task of one accelerator on each worker.
    let service = Job {
        count: WORKERS,
        work: None,
        per_worker: 1,
        ..Job::small(1_000)
    };
    site.submit(0, USUAL.name, &job_id(0xc, 1), KEY, &service);
    thread::sleep(Duration::from_secs(2));
    if has_trouble {
        // It needs all accelerators of all workers.
        let gang = Job {
            count: WORKERS,
            gpu: 8,
            gang: true,
            ..Job::small(11_000)
        };
        site.submit(0, USUAL.name, &job_id(0xb, 1), KEY, &gang);
    }
    thread::sleep(Duration::from_secs(3));
    let mut accepted = Vec::new();
    for number in 0..SMALL_JOBS {
        let job = job_id(0xa, number);
        if site.submit(number as usize % 2, USUAL.name, &job, KEY, &Job::small(500)) == 200 {
            accepted.push(job);
        }
        thread::sleep(Duration::from_secs(1));
    }
    site.record.note("end of the traffic");
    thread::sleep(FINISH);

    let mut idle: Vec<&String> = accepted.iter().collect();
    let until = Instant::now() + IDLE;
    while Instant::now() < until {
        idle.retain(|job| site.has_room() && !site.runs_job(job));
        thread::sleep(Duration::from_millis(20));
    }
    let mut lost = 0;
    for job in idle {
        let state = site.state(1, USUAL.name, job, KEY);
        let starts = site.record.starts(job).len();
        site.record.note(format!(
            "GET /{}/{job} -> {state:?}; {starts} starts so far",
            USUAL.name
        ));
        lost += usize::from(!["completed", "failed"].contains(&state.as_str()));
    }
    let accepted = accepted.len();
    Ok(match lost {
        0 => Outcome::Held(format!("all of {accepted} small jobs ended")),
        _ => Outcome::Broken(format!(
            "LOST: {lost} of {accepted} small jobs have nothing running for {IDLE:?}, {FINISH:?} after the end of the traffic, with three quarters of the room free"
        )),
    })
}
