//! Gangs whose members fail together.

use cumindeck_soak::run_failing_gangs;
use googletest::prelude::*;
use tokio::task::LocalSet;

/// Seed of the jobs' ids.
const SEED: u64 = 800;

/// Guards against a gang that is given up although it has attempts left, because several of
/// its members failed in one run (issue 33).
#[gtest]
#[tokio::test]
async fn a_gang_whose_members_fail_together_keeps_its_attempts() {
    let ended = LocalSet::new().run_until(run_failing_gangs(SEED)).await;
    expect_that!(ended.map_err(|err| format!("{err:#}")), ok(anything()));
}
