//! A soak of the programs for jobs of several steps: real processes over
//! stand-ins of the platform, with seeded faults from outside.
//!
//! The promises are checked from what callers and workers see while it runs and
//! again after the faults, when each accepted job has to end. The binaries must
//! have been built (`cargo build --workspace --bins`). Faults that it can't
//! cause: clocks that jump, and cuts between agents and entries, which call each
//! other at the addresses that they listen on.

mod callers;
mod faults;
mod judge;
mod site;

use std::time::Duration;

use eyre::{WrapErr, ensure};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use callers::Callers;
use faults::Faults;
use judge::Judge;
use site::Site;

/// Time with faults.
const FAULTS: Duration = Duration::from_secs(10);

/// Longest time after the faults until each accepted job has ended.
///
/// The wait for a lost worker's last lease is 4.4 s here; a job needs three
/// such waits at most.
const SETTLE: Duration = Duration::from_secs(30);

/// Time between two looks at what happened.
const LOOK: Duration = Duration::from_millis(250);

/// What a seed played.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Summary {
    /// Jobs that were accepted.
    pub accepted: usize,
    /// Runs that workers began.
    pub starts: usize,
    /// Faults.
    pub faults: usize,
}

/// Plays a seed; an error names the broken promise and where the logs are.
pub async fn play(seed: u64) -> eyre::Result<Summary> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut site = Site::start().await?;
    let mut callers = Callers::new(&site, seed);
    let mut faults = Faults::default();
    let mut judge = Judge::default();
    let result = play_in(&mut rng, &mut site, &mut callers, &mut faults, &mut judge).await;
    if result.is_err() {
        let logs = site.keep_logs(seed)?;
        return result.wrap_err_with(|| format!("seed {seed}, logs in {}", logs.display()));
    }
    result
}

async fn play_in(
    rng: &mut ChaCha8Rng,
    site: &mut Site,
    callers: &mut Callers,
    faults: &mut Faults,
    judge: &mut Judge,
) -> eyre::Result<Summary> {
    let begun = Instant::now();
    while begun.elapsed() < FAULTS {
        callers.submit_some(rng);
        faults.inject(rng, site).await?;
        callers.collect().await;
        judge.check(site, callers)?;
        tokio::time::sleep(LOOK).await;
    }
    faults.heal(site).await?;
    let healed = Instant::now();
    loop {
        callers.ask_states().await;
        judge.check(site, callers)?;
        if callers.are_settled() {
            break;
        }
        ensure!(
            healed.elapsed() < SETTLE,
            "jobs have not ended {SETTLE:?} after the faults: {}",
            callers.unsettled()
        );
        tokio::time::sleep(LOOK).await;
    }
    site.check_processes()?;
    judge.check_end(callers)?;
    Ok(Summary {
        accepted: callers.accepted(),
        starts: judge.starts(),
        faults: faults.count(),
    })
}
