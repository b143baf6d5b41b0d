//! A draining worker's earlier status report arrives after later ones.

use std::time::Duration;

use crate::Verdict;
use crate::net::{Action, call, start_proxy};
use crate::site::{
    DRAIN_MS, Options, Record, Result, SERVICE, Site, Worker, boot_ms, sleep_ms, wait_for,
};

/// A job that fills the other workers.
const FILLER: &str = "00000000000000f0";

/// A job that waits for a worker.
const JOB: &str = "5c0e7a21d94b36f8";

const WORKERS: usize = 4;
const SLOTS: u64 = 8;

/// Time after which a worker takes a status report for lost.
const REPORT_TIMEOUT_MS: u64 = 1_000;

/// Time between two reports while the worker drains; `heartbeatMs` is about 1,500.
const PERIOD_MS: u64 = 1_400;

/// Time after the acknowledgement at which the worker leaves, and until which the job is
/// watched.
const LEAVE_MS: u64 = 7_000;
const WATCH_MS: u64 = 16_000;

pub fn play(record: &Record, has_trouble: bool) -> Result<Verdict> {
    let options = Options {
        workers: WORKERS,
        slots: SLOTS,
        reports_by_case: true,
    };
    let mut site = Site::start(&options, record.clone(), |store| {
        Ok(start_proxy(store, |_| Action::Forward)?)
    })?;
    let worker = site.workers.last().ok_or("no worker")?;
    let born = wait_for("the worker", || worker.born())?;
    let mut sequence = 0;
    let mut next = |state: &str| {
        sequence += 1;
        Report::new(worker, born, sequence, state)
    };
    for _ in 0..4 {
        next("ready").send(record, worker);
        sleep_ms(1_500);
    }
    let delayed = next("ready");
    match has_trouble {
        true => record.add(format!(
            "worker {}: report {} (ready) is sent and held up",
            worker.id, delayed.sequence
        )),
        false => drop(delayed.send(record, worker)),
    }
    sleep_ms(REPORT_TIMEOUT_MS);
    if !next("draining").send(record, worker) {
        return Err("the worker's leave was not acknowledged".into());
    }
    let acknowledged_ms = boot_ms();
    let since = |at_ms: u64| sleep_ms((acknowledged_ms + at_ms).saturating_sub(boot_ms()));
    let job = |tasks: u64, work_ms: u64| {
        format!(
            "{{\"taskSpec\":\"work={work_ms}\",\"steps\":[{{\"count\":{tasks},\"cpu\":1000,\
             \"memMb\":1000,\"gpu\":1,\"estimateMs\":{work_ms}}}]}}"
        )
    };
    let wait = Duration::from_secs(4);
    since(300);
    let filler = job((WORKERS as u64 - 1) * SLOTS, 9_000);
    if site.client(0, "POST", FILLER, &filler, wait).0 != 200 {
        return Err("the job that fills the other workers was not accepted".into());
    }
    since(1_000);
    if site.client(0, "POST", JOB, &job(1, 20_000), wait).0 != 200 {
        return Err("the job was not accepted".into());
    }
    for report in 1..=3 {
        since(report * PERIOD_MS);
        next("draining").send(record, worker);
    }
    since(4_400);
    if has_trouble {
        record.add("the report that was held up arrives");
        delayed.send(record, worker);
    }
    since(4 * PERIOD_MS);
    next("draining").send(record, worker);
    since(LEAVE_MS);
    let path = format!("/instances/{}", worker.id);
    let left = call(
        worker.reports_to,
        "DELETE",
        &path,
        &[("host", "side")],
        "",
        wait,
    );
    record.add(format!("worker {}: leaves: {left:?}", worker.id));
    let id = worker.id.clone();
    if let Some(worker) = site.workers.last_mut() {
        worker.end();
    }
    let ended_ms = boot_ms();
    record.add(format!("worker {id}: has ended, with all that it runs"));
    since(WATCH_MS);
    site.state(1, JOB);
    let mut late = Vec::new();
    for run in site
        .runs()
        .into_iter()
        .filter(|run| !run.task.starts_with(FILLER))
    {
        let end = match &run.end {
            Some((how, at)) => format!("{how} at {:.2} s", record.seconds(*at)),
            None if run.worker == id => format!("lost at {:.2} s", record.seconds(ended_ms)),
            None => "at work".to_owned(),
        };
        record.add_at(
            run.started_ms,
            format!(
                "{}: starts {} run {} ({end})",
                run.worker, run.task, run.number
            ),
        );
        if run.worker == id && run.started_ms > acknowledged_ms + DRAIN_MS {
            let after_ms = run.started_ms - acknowledged_ms;
            late.push(format!(
                "{} run {} {after_ms} ms after it ({end})",
                run.task, run.number
            ));
        }
    }
    Ok(Verdict {
        is_broken: !late.is_empty(),
        text: format!(
            "DRAIN: {id} is acknowledged as draining at {:.2} s; starts there later than drainMs: {}",
            record.seconds(acknowledged_ms),
            if late.is_empty() {
                "none".to_owned()
            } else {
                late.join(", ")
            },
        ),
    })
}

/// A status report of a worker.
struct Report {
    sequence: u64,
    state: String,
    body: String,
}

impl Report {
    fn new(worker: &Worker, born: u64, sequence: u64, state: &str) -> Self {
        let remaining = match state {
            "draining" => "\"remainingMs\":12000,",
            _ => "",
        };
        let body = format!(
            "{{\"service\":\"{SERVICE}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":8,\
             \"state\":\"{state}\",{remaining}\"warmupLeftMs\":0,\
             \"capacity\":{{\"cpu\":8000,\"memMb\":8000,\"gpu\":8}},\"labels\":[\"a\",\"r1-1\"],\
             \"born\":{born},\"sequence\":{sequence}}}",
            worker.address, worker.zone
        );
        Self {
            sequence,
            state: state.to_owned(),
            body,
        }
    }

    /// Sends it to the worker's agent; returns whether it is acknowledged.
    fn send(&self, record: &Record, worker: &Worker) -> bool {
        let path = format!("/instances/{}", worker.id);
        let wait = Duration::from_millis(REPORT_TIMEOUT_MS);
        let result = call(
            worker.reports_to,
            "PUT",
            &path,
            &[("host", "side")],
            &self.body,
            wait,
        );
        let answer = result
            .as_ref()
            .map_or("no answer".to_owned(), |(status, _)| status.to_string());
        record.add(format!(
            "worker {}: report {} ({}): {answer}",
            worker.id, self.sequence, self.state
        ));
        result.is_ok_and(|(status, _)| status == 200)
    }
}
