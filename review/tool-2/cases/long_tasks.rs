//! Tasks that take minutes.

use std::io;
use std::thread;
use std::time::Duration;

use super::{KEY, TENANT, USUAL, job_id, worker};
use crate::Outcome;
use crate::deployment::{Deployment, FINISH, Job};

const WORKERS: usize = 4;
const JOBS: u64 = 12;

/// Duration of the only task of each job; `SHORT` without the disruption.
const LONG: Duration = Duration::from_secs(600);
const SHORT: Duration = Duration::from_secs(20);

/// Time after the end of the traffic for which the jobs are watched.
const WATCHED: Duration = Duration::from_secs(40);

/// Time for which a job may have nothing running although there is room.
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
    let work = if has_trouble { LONG } else { SHORT };
    let jobs: Vec<String> = (0..JOBS).map(|number| job_id(0xa, number)).collect();
    for job in &jobs {
        let body = Job {
            gpu: 2,
            ..Job::small(work.as_millis() as u64)
        };
        if site.submit(0, USUAL.name, job, KEY, &body) != 200 {
            return Ok(Outcome::NotRun("a job is not accepted".to_owned()));
        }
    }
    site.record.note("end of the traffic");
    thread::sleep(FINISH);
    let from = site.record.now();
    let mut idle_since = vec![None; jobs.len()];
    let mut longest = Duration::ZERO;
    while site.record.now() < from + WATCHED {
        let now = site.record.now();
        for (job, since) in jobs.iter().zip(&mut idle_since) {
            let is_done = site.record.has_ended(job, "done");
            if is_done || !site.has_room() || site.runs_job(job) {
                *since = None;
            } else {
                longest = longest.max(now - *since.get_or_insert(now));
            }
        }
        thread::sleep(Duration::from_millis(10));
    }
    let starts: Vec<usize> = jobs
        .iter()
        .map(|job| site.record.starts(job).len())
        .collect();
    let states: Vec<String> = jobs
        .iter()
        .map(|job| site.state(1, USUAL.name, job, KEY))
        .collect();
    site.record
        .note(format!("states {states:?}, starts {starts:?}"));
    Ok(match longest > IDLE {
        false => Outcome::Held(format!(
            "starts {starts:?}; nothing running for {longest:?} at most"
        )),
        true => Outcome::Broken(format!(
            "LOST: a job has nothing running for {longest:?}, with the workers idle; starts of each task {starts:?}"
        )),
    })
}
