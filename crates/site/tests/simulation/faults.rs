//! Random plans of injected faults and operators' calls.

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// An injected fault, or an operator's call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fault {
    TerminateEntry { entry: usize, down: Duration },
    PauseEntry { entry: usize, length: Duration },
    TerminateAgent { agent: usize, down: Duration },
    PauseAgent { agent: usize, length: Duration },
    StoreDown { length: Duration },
    StoreDisconnected { entry: usize, length: Duration },
    LoseReplies { count: u32 },
    TakeZoneOut { length: Duration },
    Submit { tasks: u32, seconds: u64 },
    Cancel { job: usize },
}

/// Faults and calls with their times, in milliseconds since the start.
#[derive(Debug, Clone)]
pub struct Plan {
    pub steps: Vec<(u64, Fault)>,
}

impl Plan {
    pub fn random(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut steps = vec![(
            5_000,
            Fault::Submit {
                tasks: 2,
                seconds: 25,
            },
        )];
        for _ in 0..rng.random_range(1..4) {
            let at = rng.random_range(5_000..40_000);
            let (tasks, seconds) = (rng.random_range(1..4), rng.random_range(1..30));
            steps.push((at, Fault::Submit { tasks, seconds }));
        }
        for _ in 0..rng.random_range(1..4) {
            steps.push((rng.random_range(3_000..45_000), random_fault(&mut rng)));
        }
        steps.sort_by_key(|(at, _)| *at);
        Self { steps }
    }
}

impl Display for Plan {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for (at, fault) in &self.steps {
            writeln!(f, "{at:>6} ms {fault:?}")?;
        }
        Ok(())
    }
}

fn random_fault(rng: &mut ChaCha8Rng) -> Fault {
    let length = Duration::from_millis(rng.random_range(200..30_000));
    let (entry, agent) = (rng.random_range(0..2), rng.random_range(0..3));
    match rng.random_range(0..9) {
        0 => Fault::TerminateEntry {
            entry,
            down: length,
        },
        1 => Fault::PauseEntry { entry, length },
        2 => Fault::TerminateAgent {
            agent,
            down: length,
        },
        3 => Fault::PauseAgent { agent, length },
        4 => Fault::StoreDown { length },
        5 => Fault::StoreDisconnected { entry, length },
        6 => Fault::LoseReplies {
            count: rng.random_range(1..6),
        },
        7 => Fault::TakeZoneOut { length },
        _ => Fault::Cancel {
            job: rng.random_range(0..3),
        },
    }
}
