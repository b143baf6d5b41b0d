//! A tenant asks for its guaranteed accelerators, which another tenant uses.

use std::io;
use std::thread;
use std::time::{Duration, Instant};

use super::{BULK, KEY, TENANT, URGENT, job_id, worker};
use crate::Outcome;
use crate::deployment::{Deployment, Job, Queue, RECLAIM, Tenant};

const WORKERS: u64 = 2;

/// Accelerators of all workers; half of them belong to each tenant.
const ALL: u64 = 8 * WORKERS;

const OTHER_KEY: &str = "3hh2b9wu3fexd9dnn2ct";
const OTHER: Tenant = Tenant {
    name: "moro12",
    keys: &[OTHER_KEY],
    guaranteed: ALL / 2,
};

/// Time for which the starts of the urgent job are awaited.
const WATCHED: Duration = Duration::from_secs(20);

pub fn play(mut site: Deployment, has_trouble: bool) -> io::Result<Outcome> {
    let store = site.store.address;
    site.configure(&[URGENT, BULK], &[TENANT, OTHER]);
    site.start_entry("frontend-nbo-a-1", store)?;
    site.start_entry("frontend-nbo-a-2", store)?;
    for number in 1..=WORKERS as usize {
        site.start_worker(worker(number), Ok)?;
    }
    if let Err(err) = site.wait_until_up(URGENT.name, KEY) {
        return Ok(Outcome::NotRun(err));
    }
    // The other tenant uses all accelerators: by an urgent job beyond its guarantee, and by
    // bulk tasks that last. Without the disruption the first stays within the guarantee,
    // and the tasks of the second end by themselves.
    let urgent = Job {
        count: if has_trouble { ALL } else { ALL / 2 },
        ..Job::small(60_000)
    };
    let work = if has_trouble { None } else { Some(60_000) };
    let bulk = Job {
        count: ALL,
        work,
        ..Job::small(60_000)
    };
    let mut late = Vec::new();
    for (number, (name, queue, use_of_other)) in (1..).zip([
        ("an urgent job", URGENT, urgent),
        ("a bulk job", BULK, bulk),
    ]) {
        match ask_for_guarantee(&site, number, &queue, &use_of_other) {
            Err(err) => return Ok(Outcome::NotRun(err)),
            Ok(None) => late.push(format!("beside {name} not all tasks begin in {WATCHED:?}")),
            Ok(Some(after)) if after > RECLAIM => {
                late.push(format!("beside {name} after {after:?}"))
            }
            Ok(Some(after)) => drop(
                site.record
                    .note(format!("beside {name} all tasks begin after {after:?}")),
            ),
        }
    }
    Ok(match late.is_empty() {
        true => Outcome::Held("the guarantee is met".to_owned()),
        false => Outcome::Broken(format!(
            "RECLAIM: an urgent job of a tenant that needs no more than its guarantee: {}",
            late.join("; ")
        )),
    })
}

/// Submits a job of the other tenant and, when it runs, an urgent job within the guarantee.
/// Returns the time from its ack until all its tasks have begun.
fn ask_for_guarantee(
    site: &Deployment,
    number: u64,
    queue: &Queue,
    use_of_other: &Job,
) -> Result<Option<Duration>, String> {
    let (other, owed) = (job_id(0xb, number), job_id(0xa, number));
    site.submit(0, queue.name, &other, OTHER_KEY, use_of_other);
    let until = Instant::now() + Duration::from_secs(5);
    while site.record.starts(&other).len() < use_of_other.count as usize && Instant::now() < until {
        thread::sleep(Duration::from_millis(20));
    }
    let started = site.record.starts(&other).len();
    site.record.note(format!(
        "{started} of {} tasks of the other tenant run",
        use_of_other.count
    ));
    if started == 0 {
        return Err("the job of the other tenant does not start".to_owned());
    }
    let job = Job {
        count: 4,
        ..Job::small(2_000)
    };
    if site.submit(1, URGENT.name, &owed, KEY, &job) != 200 {
        return Err("the urgent job is not accepted".to_owned());
    }
    let acknowledged = site.record.now();
    let mut starts = Vec::new();
    while starts.len() < job.count as usize && site.record.now() < acknowledged + WATCHED {
        thread::sleep(Duration::from_millis(20));
        starts = site.record.starts(&owed);
    }
    let has_begun = starts.len() >= job.count as usize;
    let last = starts.last().map_or(acknowledged, |(at, ..)| *at);
    // The next part begins with idle workers.
    for (queue, job, key) in [(queue.name, &other, OTHER_KEY), (URGENT.name, &owed, KEY)] {
        let status = site
            .ask(0, "DELETE", &format!("/{queue}/{job}"), key, "")
            .status;
        site.record
            .note(format!("DELETE /{queue}/{job} -> {status}"));
    }
    thread::sleep(Duration::from_secs(3));
    Ok(has_begun.then_some(last.saturating_sub(acknowledged)))
}
