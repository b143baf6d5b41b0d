//! Pairs of failures from a seed, with the promises as checks.

use cumindeck_types::Uptime;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::broken::Broken;
use crate::check::Violation;
use crate::command::Command;
use crate::message::NodeId;
use crate::world::World;

/// Nodes of a generated site.
const ENTRIES: u16 = 2;
/// One agent more than the job has tasks, so that work can move.
const AGENTS: u16 = 3;
/// When a run ends: the last failure ends at 39 s, and a lease of 8 s, a start and
/// a retry fit into the rest.
const END: Uptime = Uptime::from_millis(56_000);

/// What became of a seed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outcome {
    /// The commands with their times, in order.
    pub script: Vec<(Uptime, Command)>,
    /// The first promise that was broken.
    pub violation: Option<Violation>,
    /// Whether the job was done or ran in full at the end.
    pub is_served: bool,
    /// What happened until then.
    pub trace: Vec<String>,
}

/// Runs a site with a job, a configuration change and two failures drawn from `seed`.
#[must_use]
pub fn run_seed(seed: u64, broken: Option<Broken>) -> Outcome {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut script = Vec::new();
    // A short job shows that work ends; a long one outlasts all failures.
    let run = if rng.random() { "10s" } else { "5m" };
    for line in [&format!("submit job-1 tasks=2 run={run}"), "change entry-2"] {
        let at = Uptime::from_millis(rng.random_range(3_000..6_000));
        script.push((at, parse(line)));
    }
    for _ in 0..2 {
        add_failure(&mut rng, &mut script);
    }
    script.sort_by_key(|(at, _)| *at);
    let mut world = World::new(ENTRIES, AGENTS, broken);
    let mut commands = script.iter().peekable();
    let mut violation = None;
    while violation.is_none() && world.now() < END {
        while let Some((_, command)) = commands.next_if(|(at, _)| *at <= world.now()) {
            violation = violation.or(world.perform(command).err());
        }
        violation = violation.or(world.step().err());
    }
    Outcome {
        script,
        violation,
        is_served: world.serves_all_jobs(),
        trace: world.take_trace(),
    }
}

/// Adds a failure and its end.
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
