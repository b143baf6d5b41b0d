//! Random plans of failures, jobs and changes of a zone.

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Something that happens to the site.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fault {
    KillEntry { entry: usize, down: Duration },
    FreezeEntry { entry: usize, length: Duration },
    KillAgent { agent: usize, down: Duration },
    FreezeAgent { agent: usize, length: Duration },
    StoreDown { length: Duration },
    StoreCut { entry: usize, length: Duration },
    LoseAnswers { count: u32 },
    ZoneOut { length: Duration },
    Submit { tasks: u32, seconds: u64 },
    Cancel { job: usize },
}

/// What happens when, in milliseconds from the start.
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
        0 => Fault::KillEntry {
            entry,
            down: length,
        },
        1 => Fault::FreezeEntry { entry, length },
        2 => Fault::KillAgent {
            agent,
            down: length,
        },
        3 => Fault::FreezeAgent { agent, length },
        4 => Fault::StoreDown { length },
        5 => Fault::StoreCut { entry, length },
        6 => Fault::LoseAnswers {
            count: rng.random_range(1..6),
        },
        7 => Fault::ZoneOut { length },
        _ => Fault::Cancel {
            job: rng.random_range(0..3),
        },
    }
}
