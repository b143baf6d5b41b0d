//! Workers that start again under their ids while calls to them come late.

use cumindeck_soak::run_restarts;
use googletest::prelude::*;
use tokio::task::{JoinSet, LocalSet};

/// Number of seeds of an ordinary run; `SOAK_SEEDS` and `SOAK_FIRST` choose others.
const SEEDS: u64 = 2;

fn env_number(name: &str, default: u64) -> u64 {
    let text = std::env::var(name).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Guards against tasks that run again after their success, or never end, because a worker
/// that has started again under its id has got calls that were meant for its former
/// incarnation (LOST and TWICE on mizani-haki, issue 33).
#[gtest]
#[tokio::test]
async fn a_worker_that_is_back_under_its_id_loses_no_end() {
    let first = env_number("SOAK_FIRST", 700);
    let seeds = first..first + env_number("SOAK_SEEDS", SEEDS);
    let failures = LocalSet::new().run_until(run_all(seeds)).await;
    expect_that!(failures, is_empty());
}

async fn run_all(seeds: std::ops::Range<u64>) -> Vec<String> {
    let mut running = JoinSet::new();
    for seed in seeds {
        running.spawn_local(async move { (seed, run_restarts(seed).await) });
    }
    let mut failures = Vec::new();
    while let Some(ended) = running.join_next().await {
        match ended.expect("a task that runs a seed does not panic") {
            (seed, Ok(summary)) => println!("seed {seed}: {summary:?}"),
            (_, Err(err)) => failures.push(format!("{err:#}")),
        }
    }
    failures
}
