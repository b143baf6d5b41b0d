//! A client leaves before the answer to its job, and cancels it at another node.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crate::Verdict;
use crate::net::{Action, start_proxy};
use crate::site::{CANCEL_MS, Options, Record, Result, Site, boot_ms, sleep_ms};

const JOB: &str = "5c0e7a21d94b36f8";

/// Time after which the store carries out the write that it leaves unanswered.
const LATE: Duration = Duration::from_secs(4);

/// Time after which the client leaves: half of the objective of 1,200 ms.
const PATIENCE: Duration = Duration::from_millis(600);

/// Time for which the job is watched after the cancel.
const WATCH_MS: u64 = 16_000;

pub fn play(record: &Record, has_trouble: bool) -> Result<Verdict> {
    let is_due = AtomicBool::new(has_trouble);
    let options = Options {
        workers: 4,
        slots: 8,
        reports_by_case: false,
    };
    let log = record.clone();
    let site = Site::start(&options, record.clone(), |store| {
        Ok(start_proxy(store, move |request| {
            let is_write = request.head.starts_with("POST /rows-tx")
                && request.text().contains(&format!("\"key\":\"j/{JOB}\""));
            if !is_write {
                return Action::Forward;
            }
            if is_due.swap(false, Ordering::Relaxed) {
                log.add(format!(
                    "store: the write of the job is not answered, and carried out {LATE:?} later"
                ));
                return Action::ForwardLate(LATE);
            }
            log.add("store: the write of the job arrives and is carried out");
            Action::Forward
        })?)
    })?;
    sleep_ms(6_000);
    let job = "{\"taskSpec\":\"work=8000\",\"steps\":[\
        {\"count\":2,\"cpu\":1000,\"memMb\":500,\"estimateMs\":8000},\
        {\"count\":2,\"cpu\":1000,\"memMb\":500,\"estimateMs\":8000,\"after\":[0]}]}";
    site.client(0, "POST", JOB, job, PATIENCE);
    let mut acknowledged = None;
    for _ in 0..4 {
        let (status, _) = site.client(1, "DELETE", JOB, "", Duration::from_secs(3));
        if status == 410 || status / 100 == 2 {
            acknowledged = Some((status, boot_ms()));
            break;
        }
        sleep_ms(500);
    }
    let (status, acknowledged_ms) = acknowledged.ok_or("the cancel was not acknowledged")?;
    sleep_ms(WATCH_MS / 2);
    site.state(2, JOB);
    sleep_ms(WATCH_MS / 2);
    site.state(2, JOB);
    let mut late = Vec::new();
    for run in site.runs() {
        let end = run.end.as_ref().map_or("at work".to_owned(), |(how, at)| {
            format!("{how} at {:.2} s", record.seconds(*at))
        });
        record.add_at(
            run.started_ms,
            format!(
                "{}: starts {} run {} ({end})",
                run.worker, run.task, run.number
            ),
        );
        if run.task.starts_with(JOB) && run.started_ms > acknowledged_ms + CANCEL_MS {
            late.push(format!(
                "{} {:.2} s",
                run.task,
                record.seconds(run.started_ms)
            ));
        }
    }
    Ok(Verdict {
        is_broken: !late.is_empty(),
        text: format!(
            "UNASKED: cancel acknowledged by {status} at {:.2} s, starts later than cancel_ms after it: {}",
            record.seconds(acknowledged_ms),
            if late.is_empty() {
                "none".to_owned()
            } else {
                late.join(", ")
            },
        ),
    })
}
