//! How long requests wait for a read of the store, by the age of the view and the objective.

mod common;

use std::time::Duration;

use cumindeck_jobs::{
    ApiStep, CallerOperation, CallerRequest, Catalog, JobApi, Queue, StepSpec, StoreRead,
};
use cumindeck_types::ConfigVersion;
use googletest::prelude::*;

use common::{at, limits, resources};

/// Guards against refusals that come after the caller's time budget because each entry
/// waits 0.5 s for a store that is known to be silent.
#[gtest]
fn a_read_is_short_while_the_store_is_silent() {
    let mut table = Vec::new();
    for age_ms in [0, 600, 1_500, 1_501, 4_200] {
        for objective_ms in [
            None,
            Some(0),
            Some(400),
            Some(1_000),
            Some(2_000),
            Some(60_000),
        ] {
            let read = StoreRead {
                view_age: Duration::from_millis(age_ms),
                objective: objective_ms.map(Duration::from_millis),
            };
            let objective = objective_ms.map_or("none".to_owned(), |ms| format!("{ms} ms"));
            let wait = read.max_wait();
            table.push(format!("age {age_ms} ms, objective {objective}: {wait:?}"));
        }
    }
    insta::assert_snapshot!(table.join("\n"));
}

fn catalog() -> Catalog {
    Catalog {
        version: ConfigVersion::new(1),
        row_version: 1,
        queues: vec![Queue {
            name: "letters".to_owned(),
            host: "letters.example".to_owned(),
            prefix: "/letters/".to_owned(),
            service: "letters".to_owned(),
            priority: 1,
            max_attempts: 3,
            slack_percent: 300,
            target_ms: 500,
            needs_tickets: false,
            is_anonymous: true,
        }],
        teams: Vec::new(),
    }
}

fn submit(is_relayed: bool) -> CallerRequest {
    CallerRequest {
        host: "letters.example".to_owned(),
        path: "/letters/0000000000000001".to_owned(),
        key: None,
        verb: CallerOperation::Submit {
            payload: "print".to_owned(),
            steps: vec![StepSpec {
                tasks: 1,
                resources: resources(),
                estimate_ms: 1_000,
                ..StepSpec::default()
            }],
            recurrence: None,
        },
        is_relayed,
    }
}

/// Guards against a shorter wait because of one dead feed while the store replies to the
/// other one, and against a forwarded request that waits longer than the first one.
#[gtest]
fn the_view_that_was_confirmed_last_decides() {
    let mut job_api = JobApi::new("entry-1".parse().expect("an entry id"), limits());
    job_api.on_catalog(catalog());
    let mut table = Vec::new();
    for (feeds, catalog_at, rows_at) in [
        ("both", 10_000, 10_000),
        ("configuration only", 12_000, 10_000),
        ("jobs only", 12_000, 14_000),
    ] {
        job_api.on_catalog_confirmed(at(catalog_at));
        job_api.on_rows_confirmed(at(rows_at), at(rows_at), 1);
        let newest = catalog_at.max(rows_at);
        for age in [1_500, 1_501] {
            for is_relayed in [false, true] {
                let step = job_api.begin(at(newest + age), &submit(is_relayed));
                let wait = match step {
                    ApiStep::Lookup { max_wait, .. } => format!("{max_wait:?}"),
                    step => format!("{step:?}"),
                };
                table.push(format!(
                    "{feeds}, age {age} ms, relayed {is_relayed}: {wait}"
                ));
            }
        }
    }
    insta::assert_snapshot!(table.join("\n"));
}
