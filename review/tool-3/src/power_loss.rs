//! All machines lose power; the jobs have no estimates.

use std::time::Duration;

use crate::Verdict;
use crate::net::{Action, start_proxy};
use crate::site::{FINISH_S, Options, RECOVERY_S, Record, Result, Site, sleep_ms};

/// Time for which the machines have no power.
const DOWN_MS: u64 = 1_300;

/// Time between two jobs.
const PERIOD_MS: u64 = 1_000;

/// Jobs before the loss of power, while the site recovers, and after that.
const JOBS_BEFORE: usize = 8;
const JOBS_MEANWHILE: usize = RECOVERY_S as usize;
const JOBS_AFTER: usize = 12;

/// Two tasks of a second; a field whose value is 0 is omitted.
const JOB: &str =
    "{\"taskSpec\":\"work=1000\",\"steps\":[{\"count\":2,\"cpu\":1000,\"memMb\":500}]}";

pub fn play(record: &Record, has_trouble: bool) -> Result<Verdict> {
    let options = Options {
        workers: 4,
        slots: 8,
        reports_by_case: false,
    };
    let mut site = Site::start(&options, record.clone(), |store| {
        Ok(start_proxy(store, |_| Action::Forward)?)
    })?;
    sleep_ms(3_000);
    let mut sent = 0;
    let mut send = |site: &Site, count: usize| {
        let mut accepted = Vec::new();
        for _ in 0..count {
            let id = format!("00000000000000{sent:02x}");
            sent += 1;
            // The client tries again where it is refused or gets no answer.
            for attempt in 0..4 {
                let wait = Duration::from_secs(3);
                if site.client((sent + attempt) % 3, "POST", &id, JOB, wait).0 == 200 {
                    accepted.push(id.clone());
                    break;
                }
                sleep_ms(500);
            }
            sleep_ms(PERIOD_MS);
        }
        accepted
    };
    let before = send(&site, JOBS_BEFORE);
    sleep_ms(2_000);
    let served = |site: &Site, jobs: &[String]| {
        let states = jobs.iter().map(|job| site.state(0, job));
        states.filter(|state| state == "completed").count()
    };
    let served_before = served(&site, &before);
    if has_trouble {
        site.lose_power(DOWN_MS)?;
    }
    let meanwhile = send(&site, JOBS_MEANWHILE);
    sleep_ms(500);
    record.add("recoveryS is over");
    let after = send(&site, JOBS_AFTER);
    sleep_ms(FINISH_S * 1_000);
    let served_meanwhile = served(&site, &meanwhile);
    let served_after = served(&site, &after);
    for run in site.runs() {
        let end = run.end.as_ref().map_or("lost or at work", |(how, _)| how);
        record.add_at(
            run.started_ms,
            format!(
                "{}: starts {} run {} ({end})",
                run.worker, run.task, run.number
            ),
        );
    }
    Ok(Verdict {
        is_broken: served_before * 4 >= JOBS_BEFORE && served_after * 4 < JOBS_AFTER,
        text: format!(
            "RECOVER: {served_before} of {JOBS_BEFORE} jobs are served before, {served_meanwhile} of \
             {JOBS_MEANWHILE} within recoveryS, {served_after} of {JOBS_AFTER} that are sent later, \
             {} of them accepted",
            after.len()
        ),
    })
}
