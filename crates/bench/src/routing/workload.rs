//! Sites, failures and arrivals of the routing measurement.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Backend servers of a site, in both regions.
pub(super) const SERVERS: usize = 11;
/// Slots of a backend server.
pub(super) const SLOTS: u32 = 8;
/// Connections of a backend server.
pub(super) const CONNECTIONS: u32 = 64;
/// Entries: two in the first region, one in the second.
pub(super) const ENTRIES: usize = 3;
/// Teams; in a burst the first one sends most requests.
pub(super) const TEAMS: usize = 4;
/// Backend servers in the first region; the others are in the second.
const FIRST_REGION: usize = 8;
/// Weights of the entries, in proportion to the backend servers of their regions.
const ENTRY_SHARES: [usize; ENTRIES] = [4, 4, 3];
/// Mean service time in seconds; see [`arrivals`].
const MEAN_SERVICE: f64 = 0.9 * 0.030 * 1.133 + 0.1 * 0.300 * 1.133;

/// Name and network latencies of a sample site.
#[derive(Debug, Clone, Copy)]
pub(super) struct Site {
    pub(super) name: &'static str,
    /// One-way latency between two availability zones of a region.
    pub(super) zone: Duration,
    /// One-way latency between the regions.
    pub(super) region: Duration,
    /// One-way latency between a client and an entry.
    pub(super) client: Duration,
}

/// The two sample sites.
pub(super) const SITES: [Site; 2] = [
    Site {
        name: "Plume",
        zone: Duration::from_millis(1),
        region: Duration::from_millis(20),
        client: Duration::from_millis(1),
    },
    Site {
        name: "Mizani",
        zone: Duration::from_micros(1500),
        region: Duration::from_millis(20),
        client: Duration::from_millis(3),
    },
];

/// Failures in a run, and the teams that send requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Case {
    /// This percentage of the backend servers refuses connections.
    Failing(u32),
    /// One backend server accepts requests and never responds.
    Hanging,
    /// The first team sends ten times as many requests as each other team.
    Burst,
    /// The other teams of [`Case::Burst`], without the first team.
    WithoutBurst,
}

impl Case {
    /// Returns the label of the case in tables.
    pub(super) fn label(self) -> String {
        match self {
            Self::Failing(percent) => format!("{percent}% failing"),
            Self::Hanging => "one hanging".to_owned(),
            Self::Burst => "team at ten times".to_owned(),
            Self::WithoutBurst => "others alone".to_owned(),
        }
    }

    /// Returns the probability that a server refuses a request.
    ///
    /// With 1% of 11 servers failing, one server refuses 11% of its requests.
    pub(super) fn refusal_probability(self, server: usize) -> f64 {
        let Self::Failing(percent) = self else {
            return 0.0;
        };
        let failing = f64::from(percent) / 100.0 * SERVERS as f64;
        (failing - failure_rank(server) as f64).clamp(0.0, 1.0)
    }

    /// Returns whether a server never responds.
    pub(super) fn hangs(self, server: usize) -> bool {
        self == Self::Hanging && failure_rank(server) == 0
    }

    /// Returns the arrivals per second of each team.
    fn rates(self) -> [f64; TEAMS] {
        let capacity = f64::from(SLOTS) * SERVERS as f64 / MEAN_SERVICE;
        match self {
            // Half of the servers are able to serve this load.
            Self::Failing(_) | Self::Hanging => [capacity * 0.35 / 4.0; TEAMS],
            // 1.3 times the capacity in total.
            Self::Burst => [capacity, capacity * 0.1, capacity * 0.1, capacity * 0.1],
            Self::WithoutBurst => [0.0, capacity * 0.1, capacity * 0.1, capacity * 0.1],
        }
    }
}

/// A request of the workload, which is the same for all policies.
#[derive(Debug, Clone, Copy)]
pub(super) struct Arrival {
    pub(super) at: Duration,
    pub(super) entry: usize,
    pub(super) team: usize,
    pub(super) service: Duration,
    /// Length of the request body and of the response body.
    pub(super) bytes: u64,
    pub(super) is_small: bool,
}

/// Returns the region of a server, 0 or 1.
pub(super) const fn server_region(server: usize) -> usize {
    (server >= FIRST_REGION) as usize
}

/// Returns the region of an entry, 0 or 1.
pub(super) const fn entry_region(entry: usize) -> usize {
    (entry + 1 == ENTRIES) as usize
}

/// Returns the position of a server in the order of failures, which spreads them over both
/// regions.
const fn failure_rank(server: usize) -> usize {
    server * 4 % SERVERS
}

/// Generates the arrivals of a run. 90% are small requests of 30 ms and 8 KiB, the rest
/// take 300 ms and have 64 KiB; times vary by a factor of about 1.65.
pub(super) fn arrivals(case: Case, length: Duration, seed: u64) -> Vec<Arrival> {
    let mut all = Vec::new();
    for (team, rate) in case.rates().into_iter().enumerate() {
        // Each team has its own generator, so that its requests are the same with and
        // without the other teams.
        let mut rng = ChaCha8Rng::seed_from_u64(seed * TEAMS as u64 + team as u64);
        let mut at = 0.0;
        loop {
            // A rate of zero makes this infinite, which ends the loop.
            at += -rng.random_range(f64::MIN_POSITIVE..1.0).ln() / rate;
            if at >= length.as_secs_f64() {
                break;
            }
            let is_small = rng.random_range(0..10) > 0;
            let median = if is_small { 0.030 } else { 0.300 };
            let noise = (0.5 * normal(&mut rng)).exp();
            all.push(Arrival {
                at: Duration::from_secs_f64(at),
                entry: entry(&mut rng),
                team,
                service: Duration::from_secs_f64(median * noise),
                bytes: if is_small { 8 << 10 } else { 64 << 10 },
                is_small,
            });
        }
    }
    all.sort_by_key(|arrival| arrival.at);
    all
}

fn entry(rng: &mut ChaCha8Rng) -> usize {
    let mut share = rng.random_range(0..SERVERS);
    ENTRY_SHARES
        .iter()
        .position(|of_entry| {
            let is_here = share < *of_entry;
            share = share.saturating_sub(*of_entry);
            is_here
        })
        .unwrap_or(0)
}

/// Approximates a normal variable by a sum of twelve uniform ones.
fn normal(rng: &mut ChaCha8Rng) -> f64 {
    (0..12).map(|_| rng.random_range(0.0..1.0)).sum::<f64>() - 6.0
}
