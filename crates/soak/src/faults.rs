//! Faults from outside of the processes.

use std::time::Duration;

use cumindeck_e2e::{Fault, Flow, Relay};
use cumindeck_standins::fleet::StoreFaults;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use tokio::time::Instant;

use crate::site::{ENTRIES, Site, WORKERS, zone};

/// Times for which a fault lasts, in milliseconds.
const LASTS_MS: std::ops::Range<u64> = 200..4_000;

/// What undoes a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Undo {
    StoreFaults,
    ThawStore,
    Entry(usize),
    Agent(usize),
    Worker(usize),
    StoreWay(usize),
    WorkerWay(usize),
    HeartbeatWay(usize),
    Evacuation(usize),
}

/// Faults that are in force.
#[derive(Default)]
pub struct Faults {
    undo: Vec<(Instant, Undo)>,
    count: usize,
}

impl Faults {
    /// Returns the number of faults so far.
    pub const fn count(&self) -> usize {
        self.count
    }

    /// Ends faults whose time is over and begins new ones, which may overlap.
    pub async fn inject(&mut self, rng: &mut ChaCha8Rng, site: &mut Site) -> eyre::Result<()> {
        let now = Instant::now();
        let due: Vec<_> = self.undo.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, undo) in due {
            end(undo, site).await?;
        }
        while rng.random_ratio(1, 3) {
            let undo = begin(rng, site).await?;
            let lasts = Duration::from_millis(rng.random_range(LASTS_MS));
            self.undo.extend(undo.map(|undo| (now + lasts, undo)));
            self.count += 1;
        }
        Ok(())
    }

    /// Ends all faults.
    pub async fn heal(&mut self, site: &mut Site) -> eyre::Result<()> {
        for (_, undo) in std::mem::take(&mut self.undo) {
            end(undo, site).await?;
        }
        // Processes that were told to stop may have ended by now or end soon.
        let dir = site.dir().to_owned();
        let units = site.entries.iter_mut().chain(&mut site.agents);
        for unit in units.chain(&mut site.workers) {
            unit.kill()?;
            unit.restart(&dir)?;
        }
        Ok(())
    }
}

/// Begins a fault; returns what ends it.
async fn begin(rng: &mut ChaCha8Rng, site: &mut Site) -> eyre::Result<Option<Undo>> {
    let (entry, worker) = (rng.random_range(0..ENTRIES), rng.random_range(0..WORKERS));
    let undo = match rng.random_range(0..16) {
        0 => {
            site.entries[entry].kill()?;
            Undo::Entry(entry)
        }
        1 => {
            site.entries[entry].freeze()?;
            Undo::Entry(entry)
        }
        2 => {
            site.entries[entry].signal(Signal::TERM)?;
            Undo::Entry(entry)
        }
        3 => {
            site.agents[worker].kill()?;
            Undo::Agent(worker)
        }
        4 => {
            site.agents[worker].freeze()?;
            Undo::Agent(worker)
        }
        5 => {
            site.agents[worker].signal(Signal::TERM)?;
            Undo::Agent(worker)
        }
        6 => {
            site.workers[worker].kill()?;
            Undo::Worker(worker)
        }
        7 => {
            site.workers[worker].freeze()?;
            Undo::Worker(worker)
        }
        8 => {
            site.store.freeze()?;
            Undo::ThawStore
        }
        9 | 10 => {
            site.set_faults(&store_faults(rng)).await?;
            Undo::StoreFaults
        }
        11 => {
            let way = rng.random_range(0..site.store_ways.len());
            site.store_ways[way].set(way_fault(rng));
            Undo::StoreWay(way)
        }
        12 => {
            site.worker_ways[worker].set(way_fault(rng));
            Undo::WorkerWay(worker)
        }
        13 => {
            site.heartbeat_ways[worker].set(way_fault(rng));
            Undo::HeartbeatWay(worker)
        }
        14 => {
            site.set_evacuation(zone(worker), true).await?;
            Undo::Evacuation(worker)
        }
        _ => {
            site.entries[entry].signal(Signal::HUP)?;
            site.change_config().await?;
            return Ok(None);
        }
    };
    Ok(Some(undo))
}

async fn end(undo: Undo, site: &mut Site) -> eyre::Result<()> {
    let dir = site.dir().to_owned();
    match undo {
        Undo::StoreFaults => site.set_faults(&StoreFaults::default()).await?,
        Undo::ThawStore => site.store.thaw()?,
        Undo::Entry(entry) => {
            site.entries[entry].thaw()?;
            site.entries[entry].restart(&dir)?;
        }
        Undo::Agent(agent) => {
            site.agents[agent].thaw()?;
            site.agents[agent].restart(&dir)?;
        }
        Undo::Worker(worker) => {
            site.workers[worker].thaw()?;
            site.workers[worker].restart(&dir)?;
        }
        Undo::StoreWay(way) => clear(&site.store_ways[way]),
        Undo::WorkerWay(way) => clear(&site.worker_ways[way]),
        Undo::HeartbeatWay(way) => clear(&site.heartbeat_ways[way]),
        Undo::Evacuation(worker) => site.set_evacuation(zone(worker), false).await?,
    }
    Ok(())
}

fn clear(way: &Relay) {
    way.set(Fault::NONE);
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

fn way_fault(rng: &mut ChaCha8Rng) -> Fault {
    let delay = Flow::Delay(Duration::from_millis(rng.random_range(10..300)));
    match rng.random_range(0..5) {
        0 => Fault::Cut,
        1 => Fault::PARTITION,
        2 => Fault::Flows(Flow::Stop, Flow::Pass),
        3 => Fault::Flows(Flow::Pass, Flow::Stop),
        _ => Fault::Flows(delay, delay),
    }
}
