//! Placement policies on the workloads of the two sample sites.

use std::time::Duration;

use cumindeck_placement::{
    CountQuotas, Event, FirstFit, GangShape, GuaranteedCells, JobSpec, PlacementPolicy, TaskSize,
};
use cumindeck_types::{JobId, TeamId, Uptime};
use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::report::{median, row};
use crate::site::{CAUSES, Sim, SimJob};
use crate::timing;

/// Options of the measurement.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Number of runs; the medians are printed.
    #[arg(long, default_value_t = 7)]
    runs: u64,
    /// Seed of the first run.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// Region and load of a sample site.
struct SiteProfile {
    name: &'static str,
    zones: [&'static str; 3],
    /// Share of large jobs.
    large: f64,
}

const SITE_PROFILES: [SiteProfile; 2] = [
    SiteProfile {
        name: "plume",
        zones: ["dakar-plateau", "dakar-medina", "thies-centre"],
        large: 0.08,
    },
    SiteProfile {
        name: "mizani",
        zones: ["nbo-a", "nbo-b", "mba-a"],
        large: 0.15,
    },
];

/// Teams with their guarantees, 80 of the 88 accelerators in total.
const TEAMS: [(&str, &str); 4] = [
    ("t0", "1xrack"),
    ("t1", "1xrack"),
    ("t2", "2xworker,1xhalf"),
    ("t3", "1xhalf,2xquarter,4xsingle"),
];

/// Runs all measurements and prints them.
pub fn run(args: &Args) -> eyre::Result<()> {
    let seeds: Vec<u64> = (args.seed..args.seed + args.runs.max(5)).collect();
    println!("seeds {seeds:?}, medians of {} runs", seeds.len());
    for profile in &SITE_PROFILES {
        println!("workload {}", profile.name);
        for policy in policies() {
            let name = policy().name();
            let runs = seeds.iter().map(|seed| workload(profile, policy(), *seed));
            print_medians(name, &runs.collect::<eyre::Result<Vec<_>>>()?);
        }
        for policy in policies() {
            let name = policy().name();
            let runs = seeds
                .iter()
                .map(|seed| reclaim_trials(profile, policy, *seed));
            let runs = runs.collect::<eyre::Result<Vec<_>>>()?;
            print_medians(name, &runs);
            let lowest = runs.iter().map(|run| run[0].1).fold(100.0, f64::min);
            row(name, &[("reclaimed_lowest_run_pct", lowest)]);
        }
    }
    timing::run(seeds.len() as u64)
}

type PolicyFactory = fn() -> Box<dyn PlacementPolicy>;

fn policies() -> [PolicyFactory; 3] {
    [
        || Box::new(GuaranteedCells),
        || Box::new(FirstFit),
        || Box::new(CountQuotas),
    ]
}

type Columns = Vec<(&'static str, f64)>;

fn print_medians(name: &str, runs: &[Columns]) {
    let Some(first) = runs.first() else { return };
    let columns: Vec<_> = (0..first.len())
        .map(|i| {
            (
                first[i].0,
                median(runs.iter().map(|run| run[i].1).collect()),
            )
        })
        .collect();
    row(name, &columns);
}

fn set_teams(sim: &mut Sim) -> eyre::Result<()> {
    for (team, guarantee) in TEAMS {
        sim.step(Event::TeamSet(team.parse()?, guarantee.parse()?));
    }
    Ok(())
}

fn random_gang(rng: &mut ChaCha8Rng, is_large: bool) -> GangShape {
    let accelerators = TaskSize::Accelerators;
    let (tasks, size) = match (is_large, rng.random_range(0..10)) {
        (true, 0..4) => (3, TaskSize::Worker),
        (true, 4..8) => (2, TaskSize::Worker),
        (true, _) => (4, accelerators(4)),
        (false, 0..5) => (1, accelerators(1)),
        (false, 5..8) => (1, accelerators(2)),
        (false, _) => (1, accelerators(4)),
    };
    GangShape {
        tasks,
        size,
        is_same_rack: is_large && tasks == 3,
    }
}

/// Two hours of job bursts with a worker on which every task fails, a wave of
/// cancellations and a zone that is out of service for 20 minutes. The policies don't
/// use declared run times, because the API has none.
fn workload(
    profile: &SiteProfile,
    policy: Box<dyn PlacementPolicy>,
    seed: u64,
) -> eyre::Result<Columns> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut sim = Sim::new(policy, profile.zones)?;
    set_teams(&mut sim)?;
    sim.failing_worker = Some("w4".parse()?);
    let mut at = 0;
    for i in 0..700 {
        // Jobs arrive in bursts with the same submission time.
        if rng.random_bool(0.15) {
            at += rng.random_range(20_000..100_000);
        }
        let is_large = rng.random_bool(profile.large);
        let work = if is_large {
            200_000..900_000
        } else {
            10_000..200_000
        };
        let gang = random_gang(&mut rng, is_large);
        sim.schedule_job(SimJob {
            at: Uptime::from_millis(at),
            spec: JobSpec {
                job: format!("j{i}").parse()?,
                team: TEAMS[rng.random_range(0..4)].0.parse()?,
                gang,
                is_urgent: !is_large && rng.random_bool(0.05),
            },
            work: Duration::from_millis(rng.random_range(work)),
            cancel_at: rng
                .random_bool(0.05)
                .then(|| Uptime::from_millis(2_000_000)),
        });
    }
    let zone = || profile.zones[0].parse();
    let (leaves, returns) = (
        Uptime::from_millis(2_400_000),
        Uptime::from_millis(3_600_000),
    );
    sim.schedule(leaves, Event::ZoneClosed(zone()?));
    sim.schedule(returns, Event::ZoneOpened(zone()?));
    sim.run(leaves);
    let before = sim.completed_work;
    sim.run(returns);
    let during = sim.completed_work - before;
    sim.run(Uptime::from_millis(86_400_000));
    let mut completion = Histogram::<u64>::new(3)?;
    let mut urgent = Histogram::<u64>::new(3)?;
    let mut unfinished = 0.0;
    for (job, result) in sim.outcomes() {
        match result.completion {
            Some(time) => completion.record(time.as_millis() as u64)?,
            None if job.cancel_at.is_none() => unfinished += 1.0,
            None => {}
        }
        if let Some(wait) = result.start_wait.filter(|_| job.spec.is_urgent) {
            urgent.record(wait.as_millis() as u64)?;
        }
    }
    let seconds = |millis: u64| millis as f64 / 1e3;
    let mut columns = vec![
        ("jct_p50_s", seconds(completion.value_at_quantile(0.5))),
        ("p99_s", seconds(completion.value_at_quantile(0.99))),
        ("p99.9_s", seconds(completion.value_at_quantile(0.999))),
        ("slowest_s", seconds(completion.max())),
        ("unfinished", unfinished),
        (
            "fragmentation_pct",
            100.0 * sim.unusable_sum / sim.free_sum.max(1.0),
        ),
        (
            "unusable_capacity_pct",
            100.0 * sim.unusable_sum / sim.capacity_sum.max(1.0),
        ),
        ("urgent_p50_s", seconds(urgent.value_at_quantile(0.5))),
        ("urgent_max_s", seconds(urgent.max())),
        ("zone_work_accel_s", during),
    ];
    let shares = sim
        .unusable_by_cause
        .map(|sum| 100.0 * sum / sim.unusable_sum.max(1.0));
    columns.extend(CAUSES.into_iter().zip(shares));
    Ok(columns)
}

/// Fills the region with jobs of all teams, then submits a job that needs the whole
/// guarantee of one team.
fn reclaim_trials(
    profile: &SiteProfile,
    policy: PolicyFactory,
    seed: u64,
) -> eyre::Result<Columns> {
    const TRIALS: u64 = 20;
    let mut reclaimed = 0.0;
    let mut times = Vec::new();
    for trial in 0..TRIALS {
        let mut rng = ChaCha8Rng::seed_from_u64(seed * 1000 + trial);
        let mut sim = Sim::new(policy(), profile.zones)?;
        set_teams(&mut sim)?;
        for i in 0..150 {
            let is_large = rng.random_bool(profile.large);
            let gang = random_gang(&mut rng, is_large);
            sim.schedule_job(SimJob {
                at: Uptime::from_millis(i * 1000),
                spec: JobSpec {
                    job: format!("j{i}").parse()?,
                    team: TEAMS[rng.random_range(0..4)].0.parse()?,
                    gang,
                    is_urgent: false,
                },
                work: Duration::from_secs(rng.random_range(30..4000)),
                cancel_at: None,
            });
        }
        let claim_at = Uptime::from_millis(200_000);
        sim.run(claim_at);
        sim.now = claim_at;
        let team: TeamId = TEAMS[rng.random_range(0..2)].0.parse()?;
        sim.cancel_team(&team);
        let claim_at = Uptime::from_millis(201_000);
        let job: JobId = "claim".parse()?;
        let gang = GangShape {
            tasks: 3,
            size: TaskSize::Worker,
            is_same_rack: true,
        };
        let spec = JobSpec {
            job: job.clone(),
            team,
            gang,
            is_urgent: true,
        };
        let work = Duration::from_secs(10_000);
        sim.schedule_job(SimJob {
            at: claim_at,
            spec,
            work,
            cancel_at: None,
        });
        sim.run(Uptime::from_millis(207_800));
        if sim
            .results
            .get(&job)
            .is_some_and(|result| result.start_wait.is_some())
        {
            reclaimed += 1.0;
            let wait = sim.results[&job].start_wait.unwrap_or_default();
            times.push(wait.as_secs_f64());
        }
    }
    let slowest = times.iter().copied().fold(0.0, f64::max);
    Ok(vec![
        ("reclaimed_pct", 100.0 * reclaimed / TRIALS as f64),
        ("reclaim_p50_s", median(times)),
        ("reclaim_max_s", slowest),
    ])
}
