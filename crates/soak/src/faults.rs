//! Faults injected into the processes from outside.

use std::time::Duration;

use cumindeck_e2e::{Fault, Flow, Relay};
use cumindeck_standins::fleet::StoreFaults;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use tokio::time::Instant;

use crate::other_writer::OddMessage;
use crate::site::{ENTRIES, Site, WORKERS, zone};

/// Range of the durations of faults, in milliseconds.
const DURATION_MS: std::ops::Range<u64> = 200..4_000;

/// Maximum time to send a message of another writer.
const MAX_MESSAGE_TIME: Duration = Duration::from_millis(100);

/// The action that ends a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FaultEnd {
    ClearStoreFaults,
    ResumeStore,
    RestartEntry(usize),
    RestartAgent(usize),
    RestartWorker(usize),
    ClearStoreRelay(usize),
    ClearWorkerRelay(usize),
    ClearHeartbeatRelay(usize),
    EndEvacuation(usize),
}

/// The active faults, each with its end.
pub struct Faults {
    active: Vec<(Instant, FaultEnd)>,
    count: usize,
    /// Draws the messages of other writers, so that they leave the other faults of a seed
    /// as they are.
    odd_messages: ChaCha8Rng,
}

impl Faults {
    /// Creates the faults of a seed.
    pub fn new(seed: u64) -> Self {
        Self {
            active: Vec::new(),
            count: 0,
            odd_messages: ChaCha8Rng::seed_from_u64(!seed),
        }
    }

    /// Returns the number of faults injected so far.
    pub const fn count(&self) -> usize {
        self.count
    }

    /// Ends faults whose duration has elapsed and injects new ones, which may overlap.
    pub async fn inject(&mut self, rng: &mut ChaCha8Rng, site: &mut Site) -> eyre::Result<()> {
        let now = Instant::now();
        let expired: Vec<_> = self.active.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, fault_end) in expired {
            end(fault_end, site).await?;
        }
        while rng.random_ratio(1, 3) {
            let fault_end = begin(rng, site).await?;
            let duration = Duration::from_millis(rng.random_range(DURATION_MS));
            self.active
                .extend(fault_end.map(|fault_end| (now + duration, fault_end)));
            self.count += 1;
        }
        if self.odd_messages.random_ratio(1, 3) {
            let worker = self.odd_messages.random_range(0..WORKERS);
            let message = OddMessage::draw(&mut self.odd_messages);
            // An agent that is paused does not answer; the faults go on meanwhile.
            let sent = site.send_odd_message(worker, message);
            let _ = tokio::time::timeout(MAX_MESSAGE_TIME, sent).await;
            self.count += 1;
        }
        Ok(())
    }

    /// Ends all faults and restarts all processes except the store.
    pub async fn end_all(&mut self, site: &mut Site) -> eyre::Result<()> {
        for (_, fault_end) in std::mem::take(&mut self.active) {
            end(fault_end, site).await?;
        }
        // Processes that received SIGTERM may have ended by now or end soon.
        let dir = site.dir().to_owned();
        let processes = site.entries.iter_mut().chain(&mut site.agents);
        for process in processes.chain(&mut site.workers) {
            process.kill()?;
            process.restart(&dir)?;
        }
        Ok(())
    }
}

/// Injects a fault; returns the action that ends it, if it needs one.
async fn begin(rng: &mut ChaCha8Rng, site: &mut Site) -> eyre::Result<Option<FaultEnd>> {
    let (entry, worker) = (rng.random_range(0..ENTRIES), rng.random_range(0..WORKERS));
    // The store's own faults are twice as frequent as each other fault.
    let fault_end = match rng.random_range(0..16) {
        0 => {
            site.entries[entry].kill()?;
            FaultEnd::RestartEntry(entry)
        }
        1 => {
            site.entries[entry].pause()?;
            FaultEnd::RestartEntry(entry)
        }
        2 => {
            site.entries[entry].signal(Signal::TERM)?;
            FaultEnd::RestartEntry(entry)
        }
        3 => {
            site.agents[worker].kill()?;
            FaultEnd::RestartAgent(worker)
        }
        4 => {
            site.agents[worker].pause()?;
            FaultEnd::RestartAgent(worker)
        }
        5 => {
            site.agents[worker].signal(Signal::TERM)?;
            FaultEnd::RestartAgent(worker)
        }
        6 => {
            site.workers[worker].kill()?;
            FaultEnd::RestartWorker(worker)
        }
        7 => {
            site.workers[worker].pause()?;
            FaultEnd::RestartWorker(worker)
        }
        8 => {
            site.store.pause()?;
            FaultEnd::ResumeStore
        }
        9 | 10 => {
            site.set_store_faults(&store_faults(rng)).await?;
            FaultEnd::ClearStoreFaults
        }
        11 => {
            let relay = rng.random_range(0..site.store_relays.len());
            site.store_relays[relay].set(relay_fault(rng));
            FaultEnd::ClearStoreRelay(relay)
        }
        12 => {
            site.worker_relays[worker].set(relay_fault(rng));
            FaultEnd::ClearWorkerRelay(worker)
        }
        13 => {
            site.heartbeat_relays[worker].set(relay_fault(rng));
            FaultEnd::ClearHeartbeatRelay(worker)
        }
        14 => {
            site.set_evacuation(zone(worker), true).await?;
            FaultEnd::EndEvacuation(worker)
        }
        _ => {
            site.entries[entry].signal(Signal::HUP)?;
            site.change_config().await?;
            return Ok(None);
        }
    };
    Ok(Some(fault_end))
}

async fn end(fault_end: FaultEnd, site: &mut Site) -> eyre::Result<()> {
    let dir = site.dir().to_owned();
    match fault_end {
        FaultEnd::ClearStoreFaults => site.set_store_faults(&StoreFaults::default()).await?,
        FaultEnd::ResumeStore => site.store.resume()?,
        FaultEnd::RestartEntry(entry) => {
            site.entries[entry].resume()?;
            site.entries[entry].restart(&dir)?;
        }
        FaultEnd::RestartAgent(agent) => {
            site.agents[agent].resume()?;
            site.agents[agent].restart(&dir)?;
        }
        FaultEnd::RestartWorker(worker) => {
            site.workers[worker].resume()?;
            site.workers[worker].restart(&dir)?;
        }
        FaultEnd::ClearStoreRelay(relay) => clear(&site.store_relays[relay]),
        FaultEnd::ClearWorkerRelay(relay) => clear(&site.worker_relays[relay]),
        FaultEnd::ClearHeartbeatRelay(relay) => clear(&site.heartbeat_relays[relay]),
        FaultEnd::EndEvacuation(worker) => site.set_evacuation(zone(worker), false).await?,
    }
    Ok(())
}

fn clear(relay: &Relay) {
    relay.set(Fault::NONE);
}

fn store_faults(rng: &mut ChaCha8Rng) -> StoreFaults {
    let faults = StoreFaults::default();
    match rng.random_range(0..6) {
        0 => StoreFaults {
            is_busy: true,
            ..faults
        },
        1 => StoreFaults {
            is_silent: true,
            ..faults
        },
        2 => StoreFaults {
            delay_ms: rng.random_range(20..400),
            ..faults
        },
        3 => StoreFaults {
            lose_every: rng.random_range(2..6),
            ..faults
        },
        4 => StoreFaults {
            late_every: rng.random_range(2..6),
            ..faults
        },
        _ => StoreFaults {
            drops_history: true,
            ..faults
        },
    }
}

fn relay_fault(rng: &mut ChaCha8Rng) -> Fault {
    let delay = Flow::Delay(Duration::from_millis(rng.random_range(10..300)));
    match rng.random_range(0..5) {
        0 => Fault::Cut,
        1 => Fault::PARTITION,
        2 => Fault::Flows(Flow::Stop, Flow::Pass),
        3 => Fault::Flows(Flow::Pass, Flow::Stop),
        _ => Fault::Flows(delay, delay),
    }
}
