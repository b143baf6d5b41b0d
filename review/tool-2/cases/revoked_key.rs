//! A key is taken away while one entry has no path to the store.

use std::io;
use std::thread;
use std::time::{Duration, Instant};

use super::{KEY, TENANT, USUAL, job_id, worker};
use crate::Outcome;
use crate::deployment::{Deployment, Job, REVOKE, Tenant};
use crate::proxy::Proxy;

/// Key that the operator takes away.
const REVOKED: &str = "3hh2b9wu3fexd9dnn2ct";

/// Time after the bound at which the requests are sent.
const MARGIN: Duration = Duration::from_millis(200);

/// Time from the beginning of the cut until the key is taken away.
const BEFORE_REVOCATION: Duration = Duration::from_millis(300);

pub fn play(mut site: Deployment, has_trouble: bool) -> io::Result<Outcome> {
    let store = site.store.address;
    let proxy = Proxy::start(store)?;
    site.configure(
        &[USUAL],
        &[Tenant {
            keys: &[KEY, REVOKED],
            ..TENANT
        }],
    );
    site.start_entry("frontend-nbo-a-1", proxy.address)?;
    site.start_entry("frontend-mba-a-1", store)?;
    site.start_entry("frontend-nbo-b-1", store)?;
    site.start_worker(worker(1), Ok)?;
    site.start_worker(worker(2), Ok)?;
    if let Err(err) = site.wait_until_up(USUAL.name, KEY) {
        return Ok(Outcome::NotRun(err));
    }
    let (job, small) = (job_id(0xa, 1), Job::small(300));
    if site.submit(0, USUAL.name, &job, REVOKED, &small) != 200 {
        return Ok(Outcome::NotRun("the job is not accepted".to_owned()));
    }
    let until = Instant::now() + Duration::from_secs(5);
    while site.state(0, USUAL.name, &job, REVOKED) != "completed" {
        if Instant::now() > until {
            return Ok(Outcome::NotRun("the job does not end".to_owned()));
        }
        thread::sleep(Duration::from_millis(50));
    }
    if has_trouble {
        proxy.cut();
        site.record
            .note("frontend-nbo-a-1 gets no answer of the store from now on");
    }
    thread::sleep(BEFORE_REVOCATION);
    let acknowledged = site.configure(&[USUAL], &[TENANT]);
    thread::sleep(REVOKE + MARGIN);

    let path = format!("/{}/{job}", USUAL.name);
    let mut broken = Vec::new();
    for method in ["POST", "DELETE", "GET"] {
        let sent = site.record.now();
        let status = match method {
            "POST" => site.submit(0, USUAL.name, &job, REVOKED, &small),
            _ => site.ask(0, method, &path, REVOKED, "").status,
        };
        let age = sent - acknowledged;
        site.record.note(format!(
            "{method} with the key, sent {age:?} after the ack -> {status}"
        ));
        if status / 100 == 2 && age > REVOKE {
            broken.push(format!("{method} -> {status}"));
        }
    }
    Ok(match broken.is_empty() {
        true => Outcome::Held("no request with the key is answered with success".to_owned()),
        false => Outcome::Broken(format!(
            "CONFIG: with a key that was taken away more than {REVOKE:?} before: {}",
            broken.join(", ")
        )),
    })
}
