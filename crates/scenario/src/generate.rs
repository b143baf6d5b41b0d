//! Simulations with pairs of random failures, drawn from a seed.

use cumindeck_types::Uptime;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::check::Violation;
use crate::command::Command;
use crate::message::NodeId;
use crate::safeguard::Safeguard;
use crate::simulation::Simulation;

/// Number of entries of a simulated site.
const ENTRIES: u16 = 2;
/// Number of agents: one more than the job has tasks, so that work can move.
const AGENTS: u16 = 3;
/// End of a simulation: the last failure ends at 39 s, and a lease of 8 s, a start
/// and a retry fit into the rest.
const END: Uptime = Uptime::from_millis(56_000);

/// The result of the simulation of one seed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outcome {
    /// The commands and when they were executed, in order.
    pub script: Vec<(Uptime, Command)>,
    /// The first violated invariant.
    pub violation: Option<Violation>,
    /// Whether the job had succeeded or ran with all its tasks at the end.
    pub is_served: bool,
    /// Lines of the trace, in the order of time.
    pub trace: Vec<String>,
}

/// Simulates a site with a job, a configuration change and two failures.
#[must_use]
pub fn simulate_seed(seed: u64, disabled: Option<Safeguard>) -> Outcome {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut script = Vec::new();
    // A short job checks that work completes; a long one outlasts all failures.
    let run = if rng.random() { "10s" } else { "5m" };
    for line in [&format!("submit job-1 tasks=2 run={run}"), "change entry-2"] {
        let at = Uptime::from_millis(rng.random_range(3_000..6_000));
        script.push((at, parse(line)));
    }
    for _ in 0..2 {
        add_failure(&mut rng, &mut script);
    }
    script.sort_by_key(|(at, _)| *at);
    let mut simulation = Simulation::new(ENTRIES, AGENTS, disabled);
    let mut commands = script.iter().peekable();
    let mut violation = None;
    while violation.is_none() && simulation.now() < END {
        while let Some((_, command)) = commands.next_if(|(at, _)| *at <= simulation.now()) {
            violation = violation.or(simulation.perform(command).err());
        }
        violation = violation.or(simulation.step().err());
    }
    Outcome {
        script,
        violation,
        is_served: simulation.serves_all_jobs(),
        trace: simulation.take_trace(),
    }
}

/// Adds a failure and the command that ends it, if it needs one.
fn add_failure(rng: &mut ChaCha8Rng, script: &mut Vec<(Uptime, Command)>) {
    let start = rng.random_range(2_000..14_000);
    let length = if rng.random() {
        rng.random_range(200..5_000)
    } else {
        rng.random_range(5_000..25_000)
    };
    let (at, end) = (
        Uptime::from_millis(start),
        Uptime::from_millis(start + length),
    );
    let (one, other) = two_nodes(rng);
    let process = if one == NodeId::Store { other } else { one };
    let zone = ["dakar-plateau", "dakar-medina", "thies-centre"][rng.random_range(0..3)];
    let (line, undo) = match rng.random_range(0..11) {
        0 | 1 => (format!("freeze {process} {length}ms"), None),
        2 => (
            format!("kill {process}"),
            Some(format!("restart {process}")),
        ),
        3 => (format!("cut {one} {other}"), Some("heal".to_owned())),
        4 => (format!("cut {one} > {other}"), Some("heal".to_owned())),
        5 => (
            format!("slow {one} {other} {}ms", length / 3),
            Some("heal".to_owned()),
        ),
        6 => ("store down".to_owned(), Some("store up".to_owned())),
        7 => ("store lose-answer".to_owned(), None),
        8 => ("release entry-1".to_owned(), None),
        9 => (format!("store delay-write {}ms", length / 2), None),
        _ => (format!("zone out {zone}"), Some(format!("zone in {zone}"))),
    };
    script.push((at, parse(&line)));
    if let Some(undo) = undo {
        script.push((end, parse(&undo)));
    }
}

fn two_nodes(rng: &mut ChaCha8Rng) -> (NodeId, NodeId) {
    let nodes = [
        NodeId::Store,
        NodeId::Entry(1),
        NodeId::Entry(2),
        NodeId::Agent(1),
        NodeId::Agent(2),
        NodeId::Agent(3),
    ];
    let one = rng.random_range(0..nodes.len());
    let other = (one + rng.random_range(1..nodes.len())) % nodes.len();
    (nodes[one], nodes[other])
}

fn parse(line: &str) -> Command {
    line.parse().expect("generated commands are valid")
}
