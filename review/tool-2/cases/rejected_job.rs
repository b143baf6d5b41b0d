//! A key is taken away while the store's answers to a job's acceptance are lost.

use std::io;
use std::thread;
use std::time::Duration;

use super::{KEY, TENANT, USUAL, job_id, worker};
use crate::Outcome;
use crate::deployment::{Deployment, FINISH, Job, Tenant};

/// Key that the operator takes away.
const REVOKED: &str = "3hh2b9wu3fexd9dnn2ct";

/// Time from the client's request until the key is taken away.
const BEFORE_REVOCATION: Duration = Duration::from_millis(300);

/// Number of answers that are lost: those to the two attempts of one request.
const LOST_ANSWERS: usize = 2;

pub fn play(mut site: Deployment, has_trouble: bool) -> io::Result<Outcome> {
    let store = site.store.address;
    site.configure(
        &[USUAL],
        &[Tenant {
            keys: &[KEY, REVOKED],
            ..TENANT
        }],
    );
    for name in ["frontend-nbo-a-1", "frontend-mba-a-1", "frontend-nbo-b-1"] {
        site.start_entry(name, store)?;
    }
    site.start_worker(worker(1), Ok)?;
    site.start_worker(worker(2), Ok)?;
    if let Err(err) = site.wait_until_up(USUAL.name, KEY) {
        return Ok(Outcome::NotRun(err));
    }
    thread::sleep(Duration::from_secs(2));
    let writes = site.store.writes();
    if has_trouble {
        site.store.lose_answers(LOST_ANSWERS);
        site.record
            .note("the store loses its answers to the next writes of a job");
    }
    let job = job_id(0xa, 1);
    // The client's only attempt; the operator takes the key away while it waits.
    let operator = site.operator();
    let status = thread::scope(|scope| {
        scope.spawn(move || {
            thread::sleep(BEFORE_REVOCATION);
            operator.configure(&[USUAL], &[TENANT]);
        });
        site.submit(0, USUAL.name, &job, REVOKED, &Job::small(2_000))
    });
    let all = site.store.writes() - writes;
    let lost = if has_trouble { LOST_ANSWERS } else { 0 };
    site.record
        .note(format!("{lost} of {all} writes since then had no answer"));
    thread::sleep(FINISH);
    let starts = site.record.starts(&job);
    let is_rejected = [401, 403, 404, 429, 503].contains(&status);
    Ok(match starts.first() {
        Some((at, worker, task)) if is_rejected => Outcome::Broken(format!(
            "REFUSED: the client's only attempt was answered {status}, and {task} starts on {worker} at {at:?}"
        )),
        _ => Outcome::Held(format!("answered {status}, {} starts", starts.len())),
    })
}
