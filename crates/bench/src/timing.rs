//! Duration of placement decisions at the target size.

use std::time::{Duration, Instant};

use cumindeck_placement::{
    Effect, Event, GangShape, GuaranteedCells, JobSpec, Placement, Settings, TaskSize, WorkerSpec,
};
use cumindeck_types::Uptime;

use crate::report::{median, row};

/// Workers at the target size.
const WORKERS: usize = 5700;

/// Jobs in a full queue at the target size.
const JOBS: usize = 4700;

/// Teams at the target size.
const TEAMS: usize = 360;

/// Prints the median durations over `runs` runs.
pub fn run(runs: u64) -> eyre::Result<()> {
    let mut times = [const { Vec::new() }; 3];
    for _ in 0..runs {
        times[0].push(gang_of_512(false)?.as_secs_f64() * 1e3);
        times[1].push(gang_of_512(true)?.as_secs_f64() * 1e3);
        times[2].push(full_queue()?.as_secs_f64() * 1e3);
    }
    let [borrowed, guaranteed, queue] = times.map(median);
    row(
        "timing",
        &[
            ("gang512_borrowed_ms", borrowed),
            ("gang512_guaranteed_ms", guaranteed),
        ],
    );
    row("timing", &[("queue4700_ms", queue)]);
    Ok(())
}

/// Creates a region of 5,700 workers with about 8,900 accelerators: one worker in seven
/// has 8, one in seven has 2, one in seven has 1.
fn region() -> eyre::Result<Placement> {
    let mut placement = Placement::new(Settings::default(), Box::new(GuaranteedCells));
    let mut events = Vec::new();
    for i in 0..WORKERS {
        events.push(Event::WorkerSet(WorkerSpec {
            worker: format!("w{i}").parse()?,
            rack: format!("r{}", i / 21).parse()?,
            zone: format!("z{}", i / 300).parse()?,
            accelerators: [8, 2, 1, 0, 0, 0, 0][i % 7],
        }));
    }
    placement.step_batch(Uptime::ZERO, events);
    Ok(placement)
}

fn job(name: &str, team: &str, tasks: u32, accelerators: u8) -> eyre::Result<Event> {
    let gang = GangShape {
        tasks,
        size: TaskSize::Accelerators(accelerators),
        is_same_rack: false,
    };
    let (job, team) = (name.parse()?, team.parse()?);
    Ok(Event::Submit(JobSpec {
        job,
        team,
        gang,
        is_urgent: false,
    }))
}

/// Measures the placement of a gang of 512 tasks. If it is guaranteed, it reclaims its
/// cells from borrowed work.
fn gang_of_512(is_guaranteed: bool) -> eyre::Result<Duration> {
    let mut placement = region()?;
    let guarantee = if is_guaranteed {
        "64xworker"
    } else {
        "1xsingle"
    };
    placement.step(
        Uptime::ZERO,
        Event::TeamSet("t0".parse()?, guarantee.parse()?),
    );
    placement.step(
        Uptime::ZERO,
        Event::TeamSet("t1".parse()?, "10xsingle".parse()?),
    );
    if is_guaranteed {
        let events: eyre::Result<Vec<_>> = (0..1000)
            .map(|i| job(&format!("b{i}"), "t1", 8, 1))
            .collect();
        placement.step_batch(Uptime::ZERO, events?);
    }
    let event = job("gang", "t0", 512, 1)?;
    let begin = Instant::now();
    let effects = placement.step(Uptime::from_millis(1000), event);
    let time = begin.elapsed();
    let is_decided = effects
        .iter()
        .any(|e| matches!(e, Effect::Start { .. } | Effect::Checkpoint(..)));
    eyre::ensure!(is_decided, "the gang of 512 tasks was not placed");
    Ok(time)
}

/// Measures the decision over a full queue of small and large jobs of 360 teams.
fn full_queue() -> eyre::Result<Duration> {
    let mut placement = region()?;
    let mut events = Vec::new();
    for team in 0..TEAMS {
        events.push(Event::TeamSet(
            format!("t{team}").parse()?,
            "1xworker,2xquarter".parse()?,
        ));
    }
    placement.step_batch(Uptime::ZERO, events);
    let jobs: eyre::Result<Vec<_>> = (0..JOBS)
        .map(|i| {
            let (tasks, size) = [(1, 1), (2, 1), (1, 2), (1, 8), (4, 2), (8, 8)][i % 6];
            job(&format!("j{i}"), &format!("t{}", i % TEAMS), tasks, size)
        })
        .collect();
    let jobs = jobs?;
    let begin = Instant::now();
    let effects = placement.step_batch(Uptime::from_millis(1000), jobs);
    let time = begin.elapsed();
    eyre::ensure!(!effects.is_empty(), "the full queue led to no decision");
    Ok(time)
}
