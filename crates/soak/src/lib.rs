//! Soak test of the programs that run jobs of several steps: real processes and
//! stand-ins of the platform, with seeded faults injected from outside.
//!
//! The invariants are checked from what callers and workers observe, while the faults
//! are injected and again afterwards, when each accepted job has to finish. The
//! binaries must have been built (`cargo build --workspace --bins`). Not covered: clock
//! jumps, and link faults between agents and entries, which call each other without a
//! relay at the addresses on which they listen.

mod callers;
mod faults;
mod invariants;
mod late_calls;
mod other_writer;
mod site;

use std::time::Duration;

use eyre::{WrapErr, ensure};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use callers::Callers;
use faults::Faults;
use invariants::Invariants;
pub use late_calls::{Play, run_late_calls};
pub use other_writer::OddMessage;
use site::{MAX_ATTEMPTS, WORKERS};
pub use site::{Site, SiteOptions};

/// Time during which faults are injected.
const FAULT_TIME: Duration = Duration::from_secs(10);

/// Maximum time from the end of the faults until each accepted job has finished.
///
/// The last lease of a lost worker expires after 4.4 s here; a job has to wait for
/// three such leases at most.
const FINISH_TIMEOUT: Duration = Duration::from_secs(30);

/// Time between two checks of the invariants.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Counts of a completed seed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Summary {
    /// Accepted jobs, including those cancelled later.
    pub accepted: usize,
    /// Runs that workers started.
    pub starts: usize,
    /// Injected faults, some of which may have overlapped.
    pub faults: usize,
}

/// Runs a seed. An error states the violated invariant and where the logs are.
pub async fn run_seed(seed: u64) -> eyre::Result<Summary> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut site = Site::start(SiteOptions::default()).await?;
    let mut callers = Callers::new(&site, seed);
    let mut faults = Faults::new(seed);
    let mut invariants = Invariants::default();
    let result = run_phases(
        &mut rng,
        &mut site,
        &mut callers,
        &mut faults,
        &mut invariants,
    )
    .await;
    if result.is_err() {
        let logs = site.keep_logs(seed)?;
        return result.wrap_err_with(|| format!("seed {seed}, logs in {}", logs.display()));
    }
    result
}

/// Time during which jobs are submitted in [`run_odd_message`]; the message comes in the
/// middle of it.
const ODD_MESSAGE_TIME: Duration = Duration::from_secs(4);

/// Runs jobs without faults while another writer sends one message to each agent. An error
/// states the violated invariant and where the logs are.
pub async fn run_odd_message(message: OddMessage, seed: u64) -> eyre::Result<Summary> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let site = Site::start(SiteOptions::default()).await?;
    let mut callers = Callers::new(&site, seed);
    let mut invariants = Invariants::default();
    let started = Instant::now();
    let mut is_sent = false;
    while started.elapsed() < ODD_MESSAGE_TIME {
        callers.maybe_submit(&mut rng);
        if !is_sent && started.elapsed() > ODD_MESSAGE_TIME / 2 {
            is_sent = true;
            for worker in 0..WORKERS {
                site.send_odd_message(worker, message).await;
            }
        }
        callers.collect().await;
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
    if let Err(err) = wait_for_end(&site, &mut callers, &mut invariants, FINISH_TIMEOUT).await {
        let logs = site.keep_logs(seed)?;
        return Err(err).wrap_err_with(|| format!("{message}, logs in {}", logs.display()));
    }
    Ok(Summary {
        accepted: callers.accepted(),
        starts: invariants.starts(),
        faults: WORKERS,
    })
}

/// Time during which jobs are submitted and workers start again in [`run_restarts`].
const RESTART_TIME: Duration = Duration::from_secs(20);

/// Range of the times for which a worker is away in [`run_restarts`], in milliseconds.
const AWAY_MS: std::ops::Range<u64> = 20..3_000;

/// Every n-th call to a worker is carried out late in [`run_restarts`].
const LATE_EVERY: u64 = 25;

/// Runs jobs while workers lose power and start again under their ids, and while they
/// carry calls out late, also those that their former incarnations have received. An error
/// states the violated invariant and where the logs are.
pub async fn run_restarts(seed: u64) -> eyre::Result<Summary> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut site = Site::start(SiteOptions {
        late_every: LATE_EVERY,
        ..SiteOptions::default()
    })
    .await?;
    let mut callers = Callers::new(&site, seed);
    let mut invariants = Invariants::default();
    let mut faults = 0;
    let result = async {
        let started = Instant::now();
        let dir = site.dir().to_owned();
        while started.elapsed() < RESTART_TIME {
            callers.maybe_submit(&mut rng);
            if rng.random_ratio(1, 4) {
                let worker = rng.random_range(0..WORKERS);
                site.workers[worker].kill()?;
                tokio::time::sleep(Duration::from_millis(rng.random_range(AWAY_MS))).await;
                site.workers[worker].restart(&dir)?;
                faults += 1;
            }
            callers.collect().await;
            invariants.check(&site, &callers)?;
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
        wait_for_end(&site, &mut callers, &mut invariants, FINISH_TIMEOUT).await
    }
    .await;
    if let Err(err) = result {
        let logs = site.keep_logs(seed)?;
        return Err(err).wrap_err_with(|| format!("seed {seed}, logs in {}", logs.display()));
    }
    Ok(Summary {
        accepted: callers.accepted(),
        starts: invariants.starts(),
        faults,
    })
}

/// Number of gangs in [`run_failing_gangs`].
const GANGS: usize = 4;

/// Time for which their members work, in milliseconds.
const GANG_WORK_MS: u64 = 500;

/// Runs gangs whose members all fail in all runs but the last that is allowed, without
/// faults. An error states the violated invariant and where the logs are.
pub async fn run_failing_gangs(seed: u64) -> eyre::Result<Summary> {
    let site = Site::start(SiteOptions::default()).await?;
    let mut callers = Callers::new(&site, seed);
    let mut invariants = Invariants::default();
    for members in 1..=GANGS {
        callers.submit_gang(members as u64, GANG_WORK_MS, MAX_ATTEMPTS - 1);
    }
    if let Err(err) = wait_for_end(&site, &mut callers, &mut invariants, FINISH_TIMEOUT).await {
        let logs = site.keep_logs(seed)?;
        return Err(err).wrap_err_with(|| format!("seed {seed}, logs in {}", logs.display()));
    }
    Ok(Summary {
        accepted: callers.accepted(),
        starts: invariants.starts(),
        faults: 0,
    })
}

/// Waits until all accepted jobs have finished, and checks the invariants.
async fn wait_for_end(
    site: &Site,
    callers: &mut Callers,
    invariants: &mut Invariants,
    timeout: Duration,
) -> eyre::Result<()> {
    let faults_ended = Instant::now();
    loop {
        callers.query_states().await;
        invariants.check(site, callers)?;
        if callers.all_finished() {
            break;
        }
        if faults_ended.elapsed() >= timeout {
            invariants.check_idle_wait()?;
        }
        ensure!(
            faults_ended.elapsed() < timeout,
            "jobs have not finished {timeout:?} after the faults: {}",
            callers.unfinished()
        );
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
    site.check_processes()?;
    invariants.check_idle_wait()?;
    invariants.check_final_states(callers)
}

async fn run_phases(
    rng: &mut ChaCha8Rng,
    site: &mut Site,
    callers: &mut Callers,
    faults: &mut Faults,
    invariants: &mut Invariants,
) -> eyre::Result<Summary> {
    let started = Instant::now();
    while started.elapsed() < FAULT_TIME {
        callers.maybe_submit(rng);
        faults.inject(rng, site).await?;
        callers.collect().await;
        invariants.check(site, callers)?;
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
    faults.end_all(site).await?;
    wait_for_end(site, callers, invariants, FINISH_TIMEOUT).await?;
    Ok(Summary {
        accepted: callers.accepted(),
        starts: invariants.starts(),
        faults: faults.count(),
    })
}
