//! Responses to callers at an entry that can't decide by itself.

mod common;

use std::net::SocketAddr;

use cumindeck_jobs::{
    ApiStep, CallerOperation, CallerRequest, CancelRow, EntryRow, JobApi, Row, StepSpec,
    StoreResult,
};
use googletest::prelude::*;

use common::{at, job_id, limits};

fn entry(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], number))
}

/// The job API of entry 1, which knows entries 1 to 3 and no configuration.
fn job_api() -> JobApi {
    let mut job_api = JobApi::new("entry-1".parse().expect("an entry id"), limits());
    for number in 1..=3 {
        let id = format!("entry-{number}").parse().expect("an entry id");
        let address = entry(number);
        job_api.on_row(Row::Entry(id, EntryRow { address }));
    }
    job_api
}

fn forwarded_to(job_api: &JobApi, now: u64) -> Vec<SocketAddr> {
    let req = CallerRequest {
        host: "letters.example".to_owned(),
        path: "/letters/0000000000000001".to_owned(),
        key: None,
        verb: CallerOperation::Read,
        is_relayed: false,
    };
    match job_api.begin(at(now), &req) {
        ApiStep::Relay(peers) => peers,
        step => panic!("the request is forwarded, not {step:?}"),
    }
}

/// Guards against refusals that are 0.8 s late because the row of a terminated
/// entry stays in the store (replay of fresh-80fc on plume-thies).
#[gtest]
fn an_unresponsive_entry_is_skipped_for_a_while() {
    let mut job_api = job_api();
    expect_that!(forwarded_to(&job_api, 1_000), eq(&[entry(2), entry(3)]));
    job_api.on_peer_reply(at(1_000), entry(2), true);
    expect_that!(forwarded_to(&job_api, 1_100), eq(&[entry(3)]));
    expect_that!(forwarded_to(&job_api, 7_000), len(eq(2)));
}

/// Guards against requests that are forwarded to no entry.
#[gtest]
fn all_entries_are_tried_when_all_were_unresponsive() {
    let mut job_api = job_api();
    job_api.on_peer_reply(at(1_000), entry(2), true);
    job_api.on_peer_reply(at(1_000), entry(3), true);
    expect_that!(forwarded_to(&job_api, 1_100), len(eq(2)));
    job_api.on_peer_reply(at(1_200), entry(3), false);
    expect_that!(forwarded_to(&job_api, 1_300), eq(&[entry(3)]));
}

/// Guards against a refusal after a write without an outcome that is committed
/// later: its retry is rejected, but the job runs (soak seed 13).
#[gtest]
fn a_rejected_retry_does_not_decide_the_first_attempt() {
    let lost = || StoreResult::Unknown("no reply".to_owned());
    let rejected = || StoreResult::NotDone("status 503".to_owned());
    let done = || StoreResult::Done { version: 7 };
    expect_that!(rejected().after(lost()), eq(&lost()));
    expect_that!(done().after(lost()), eq(&done()));
    expect_that!(rejected().after(rejected()), eq(&rejected()));
    expect_that!(lost().after(rejected()), eq(&lost()));
}

/// Guards against a repeated submission, or a cancel of an ended job, that is confirmed with a
/// key that was taken away more than `key_revocation` ago: an entry without a path to the
/// store knew the job, and neither answer needs a write (scale-2 of plume-thies-large).
#[gtest]
fn a_key_of_an_outdated_configuration_confirms_nothing() {
    let mut job_api = job_api();
    job_api.on_catalog(common::catalog());
    job_api.on_catalog_confirmed(at(1_000));
    job_api.on_rows_confirmed(at(1_000), at(1_000), 1_000);
    let job = job_id("0000000000000001");
    let row = common::job(StepSpec {
        tasks: 1,
        ..StepSpec::default()
    });
    job_api.on_row(Row::Job(job.clone(), Box::new(row)));
    job_api.on_row(Row::Cancel(job, CancelRow::default()));
    let submit = CallerOperation::Submit {
        payload: "print".to_owned(),
        steps: Vec::new(),
        recurrence: None,
    };
    let answer = |now, verb: &CallerOperation| {
        let req = CallerRequest {
            host: "letters.example".to_owned(),
            path: "/letters/0000000000000001".to_owned(),
            key: Some("key".to_owned()),
            verb: verb.clone(),
            is_relayed: false,
        };
        match job_api.begin(at(now), &req) {
            ApiStep::Answer(answer) => answer.name(),
            step => panic!("the view shows the answer, not {step:?}"),
        }
    };
    for verb in [submit, CallerOperation::Cancel] {
        expect_that!(answer(4_500, &verb), eq("ok"));
        expect_that!(answer(4_501, &verb), eq("unknown"));
    }
}
