//! A worker drains, and an earlier status report of it arrives late.

use std::io;
use std::thread;
use std::time::Duration;

use super::{KEY, TENANT, USUAL, job_id, worker};
use crate::Outcome;
use crate::deployment::{DRAIN, Deployment, Job};

/// Time from the acknowledgement of the draining report until the earlier one arrives.
const LATE: Duration = Duration::from_millis(3_500);

/// Time after which the worker leaves.
const LEAVES_AFTER: Duration = Duration::from_millis(9_000);

pub fn play(mut site: Deployment, has_trouble: bool) -> io::Result<Outcome> {
    let store = site.store.address;
    site.configure(&[USUAL], &[TENANT]);
    site.start_entry("frontend-nbo-a-1", store)?;
    site.start_entry("frontend-nbo-a-2", store)?;
    site.start_worker(worker(1), Ok)?;
    site.start_worker(worker(2), Ok)?;
    if let Err(err) = site.wait_until_up(USUAL.name, KEY) {
        return Ok(Outcome::NotRun(err));
    }
    // A job that occupies all accelerators of one worker; the other one drains.
    let (busy, waiting) = (job_id(0xb, 1), job_id(0xa, 1));
    let long = Job {
        gpu: 8,
        ..Job::small(60_000)
    };
    site.submit(0, USUAL.name, &busy, KEY, &long);
    thread::sleep(Duration::from_secs(1));
    let Some((_, occupied, _)) = site.record.starts(&busy).first().cloned() else {
        return Ok(Outcome::NotRun("the first job does not start".to_owned()));
    };
    let draining = site
        .workers
        .iter()
        .find(|worker| worker.settings.id != occupied);
    let draining = draining.expect("there are two workers").clone();
    let id = draining.settings.id.clone();

    let earlier = draining.heartbeat();
    draining.drain(LEAVES_AFTER);
    let report = draining.heartbeat();
    if !draining.send(&report) {
        return Ok(Outcome::NotRun(
            "the draining report is not acknowledged".to_owned(),
        ));
    }
    let acknowledged = site.record.note(format!(
        "{id}: report {} (draining) acknowledged",
        report.sequence
    ));
    thread::sleep(Duration::from_millis(500));
    site.submit(
        1,
        USUAL.name,
        &waiting,
        KEY,
        &Job {
            gpu: 4,
            ..Job::small(1_000)
        },
    );
    thread::sleep((acknowledged + LATE).saturating_sub(site.record.now()));
    if has_trouble {
        let is_acknowledged = draining.send(&earlier);
        site.record.note(format!(
            "{id}: report {} (ready), made before report {}, arrives; acknowledged: {is_acknowledged}",
            earlier.sequence, report.sequence
        ));
    }
    thread::sleep(Duration::from_secs(2));

    let late = site.record.starts(&waiting).into_iter();
    let late: Vec<_> = late
        .filter(|(at, worker, _)| *worker == id && *at > acknowledged + DRAIN)
        .collect();
    Ok(match late.first() {
        None => Outcome::Held("the draining worker gets no task".to_owned()),
        Some((at, _, task)) => Outcome::Broken(format!(
            "DRAIN: {task} starts on {id} {:?} after it was acknowledged to be draining",
            *at - acknowledged
        )),
    })
}
