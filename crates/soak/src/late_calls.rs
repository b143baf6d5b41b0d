//! Workers that start again under their ids and carry out, as soon as they are up, an
//! acknowledgement that their former incarnation has got.

use std::ops::Range;
use std::time::Duration;

use eyre::{WrapErr, ensure};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use crate::callers::Callers;
use crate::invariants::Invariants;
use crate::site::{Site, SiteOptions};
use crate::{CHECK_INTERVAL, Summary, wait_for_end};

/// Number of workers of the site.
const WORKERS: usize = 2;

/// Number of entries of the site.
const ENTRIES: usize = 2;

/// Time for which the jobs work that raise the number of ends, in milliseconds.
const SHORT_WORK_MS: u64 = 100;

/// Time for which the jobs work that start beside the restarts, in milliseconds.
const WORK_MS: u64 = 1_300;

/// Time from the unanswered acknowledgement until the worker is killed.
const KILL_DELAY: Duration = Duration::from_millis(250);

/// Range of the times for which a worker is away, in milliseconds.
const AWAY_MS: Range<u64> = 50..1_200;

/// Range of the times from the unanswered acknowledgement until the agent or the leader is
/// killed, in milliseconds.
const KILL_AFTER_MS: Range<u64> = 50..900;

/// Number of jobs that are submitted together until a worker has got an acknowledgement to
/// keep.
const SHORT_JOBS: usize = 6;

/// Time between two submissions of such jobs.
const SHORT_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum time until a worker has got an acknowledgement to keep; it gets none while it is
/// out of service after the round before.
const KEEP_TIMEOUT: Duration = Duration::from_secs(30);

/// Time between two looks at what is due.
const STEP_INTERVAL: Duration = Duration::from_millis(10);

/// Time between two jobs that are submitted beside the restarts.
const SUBMIT_INTERVAL: Duration = Duration::from_millis(40);

/// Number of members of a gang.
const GANG_MEMBERS: u64 = 2;

/// Range of the times from the restart of a worker until it is paused or cut off, in
/// milliseconds.
const CUT_AFTER_MS: Range<u64> = 50..3_000;

/// Range of the times for which a worker is paused or cut off, in milliseconds.
const CUT_MS: Range<u64> = 1_500..6_000;

/// Range of the times from the restart of an idle worker until it is cut off, in milliseconds:
/// longer than a call may be late.
const IDLE_MS: Range<u64> = 12_500..14_000;

/// Range of the times for which an idle worker is cut off, in milliseconds: longer than a lease
/// lasts.
const LONG_CUT_MS: Range<u64> = 5_500..7_000;

/// Range of the times for which long tasks work, in milliseconds.
const LONG_WORK_MS: Range<u64> = 12_000..14_000;

/// Maximum time from the end of the faults until each accepted job has finished: a task that
/// lasts 14 s starts within 12 s, and once more after a lease of 4.4 s.
const FINISH_TIMEOUT: Duration = Duration::from_secs(50);

/// What happens beside the late acknowledgements.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Play {
    /// Sixty ends and more are acknowledged first, by one worker or by both; jobs come while
    /// the workers start again.
    HighNumbers,
    /// As `HighNumbers`; the agent, the leader or both are killed in the same second as the
    /// worker.
    KillsWithWorker,
    /// Gangs of two come while one worker starts again, after few ends.
    Gangs,
    /// Tasks that last are cut off soon after the restart.
    LongTasks,
    /// One worker starts again while no jobs come, and is cut off later; then jobs come.
    IdleWorker,
}

impl Play {
    /// Range of the number of ends that are acknowledged first.
    const fn first_ends(self) -> Range<usize> {
        match self {
            Self::HighNumbers | Self::KillsWithWorker | Self::IdleWorker => 60..72,
            Self::Gangs => 8..15,
            Self::LongTasks => 12..64,
        }
    }

    /// Number of jobs that are submitted beside the restart of a worker.
    const fn jobs(self) -> u32 {
        match self {
            Self::HighNumbers | Self::KillsWithWorker | Self::IdleWorker => 14,
            Self::Gangs => 7,
            Self::LongTasks => 4,
        }
    }

    /// Range of the times of the first job beside a restart, as parts of the time from the
    /// unanswered acknowledgement until the worker is up again. Few gangs have room.
    const fn first_job(self) -> Range<f64> {
        match self {
            Self::HighNumbers | Self::KillsWithWorker | Self::LongTasks => 0.6..1.05,
            Self::Gangs => 0.9..1.0,
            Self::IdleWorker => 1.0..1.2,
        }
    }

    /// Maximum number of restarts in series.
    const fn max_rounds(self) -> usize {
        match self {
            Self::HighNumbers | Self::KillsWithWorker => 2,
            Self::Gangs | Self::LongTasks | Self::IdleWorker => 1,
        }
    }
}

/// A step of a play.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Action {
    KillWorker(usize),
    StartWorker(usize),
    KillAgent(usize),
    StartAgent(usize),
    KillLeader,
    StartEntries,
    PauseWorker(usize),
    ResumeWorker(usize),
    CutWorker(usize),
    RestoreWorker(usize),
    /// Submits a job whose tasks work for this many milliseconds.
    Submit(u64),
}

/// Plays late acknowledgements. An error states the violated invariant and where the logs
/// are.
pub async fn run_late_calls(seed: u64, play: Play) -> eyre::Result<Summary> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let is_spread = rng.random();
    let mut site = Site::start(SiteOptions {
        entries: ENTRIES,
        workers: if is_spread { WORKERS } else { 1 },
        ..SiteOptions::default()
    })
    .await?;
    let mut callers = Callers::new(&site, seed);
    let mut invariants = Invariants::default();
    let mut faults = 0;
    let result = async {
        for _ in 0..rng.random_range(play.first_ends()) {
            callers.submit_task(SHORT_WORK_MS);
        }
        wait_for_end(&site, &mut callers, &mut invariants, FINISH_TIMEOUT).await?;
        while site.workers.len() < WORKERS {
            site.start_worker().await?;
        }
        for round in 0..rng.random_range(1..=play.max_rounds()) {
            let targets = match (is_spread, round) {
                (true, 0) if !matches!(play, Play::Gangs | Play::IdleWorker) => 0..WORKERS,
                (true, _) => {
                    let worker = rng.random_range(0..WORKERS);
                    worker..worker + 1
                }
                (false, _) => 0..1,
            };
            faults += targets.len();
            let mut round = Round {
                site: &mut site,
                callers: &mut callers,
                play,
                actions: Vec::new(),
            };
            let targets = targets.map(|worker| (worker, ChaCha8Rng::from_rng(&mut rng)));
            round.run(targets.collect(), &mut invariants).await?;
        }
        wait_for_end(&site, &mut callers, &mut invariants, FINISH_TIMEOUT).await
    }
    .await;
    if let Err(err) = result {
        let logs = site.keep_logs(seed)?;
        let logs = logs.display();
        return Err(err).wrap_err_with(|| format!("{play:?}, seed {seed}, logs in {logs}"));
    }
    Ok(Summary {
        accepted: callers.accepted(),
        starts: invariants.starts(),
        faults,
    })
}

/// Restarts of some workers, which overlap, with all that comes beside them.
struct Round<'a> {
    site: &'a mut Site,
    callers: &'a mut Callers,
    play: Play,
    /// What is still to be done, with its time.
    actions: Vec<(Instant, Action)>,
}

impl Round<'_> {
    /// Restarts workers; each has random numbers of its own, so that the order in which their
    /// acknowledgements come changes no time.
    async fn run(
        &mut self,
        targets: Vec<(usize, ChaCha8Rng)>,
        invariants: &mut Invariants,
    ) -> eyre::Result<()> {
        let started = Instant::now();
        let mut keeping = JoinSet::new();
        for (worker, rng) in targets {
            let kept = self.site.keep_acknowledgement(worker);
            keeping.spawn(async move { kept.await.map(|()| (worker, rng)) });
        }
        let (mut next_short, mut next_check) = (started, started);
        while !keeping.is_empty() || !self.actions.is_empty() {
            let now = Instant::now();
            while let Some(kept) = keeping.try_join_next() {
                let (worker, mut rng) = kept??;
                self.plan_restart(now, worker, &mut rng);
            }
            if !keeping.is_empty() && now >= next_short {
                if started.elapsed() >= KEEP_TIMEOUT {
                    invariants.check_idle_wait()?;
                }
                ensure!(
                    started.elapsed() < KEEP_TIMEOUT,
                    "no acknowledgement has come within {KEEP_TIMEOUT:?}"
                );
                for _ in 0..SHORT_JOBS {
                    self.callers.submit_task(SHORT_WORK_MS);
                }
                next_short = now + SHORT_INTERVAL;
            }
            let mut due: Vec<_> = self.actions.extract_if(.., |it| it.0 <= now).collect();
            due.sort_by_key(|(at, _)| *at);
            for (_, action) in due {
                self.carry_out(action)?;
            }
            self.callers.collect().await;
            if now >= next_check {
                invariants.check(self.site, self.callers)?;
                next_check = now + CHECK_INTERVAL;
            }
            sleep(STEP_INTERVAL).await;
        }
        Ok(())
    }

    /// Plans the restart of a worker that has got an acknowledgement without an answer.
    fn plan_restart(&mut self, now: Instant, worker: usize, rng: &mut ChaCha8Rng) {
        let killed = now + KILL_DELAY;
        let up = killed + draw_millis(rng, AWAY_MS);
        self.plan(killed, Action::KillWorker(worker));
        self.plan(up, Action::StartWorker(worker));
        let kills = rng.random_range(0..3);
        if self.play == Play::KillsWithWorker && kills != 0 {
            let at = now + draw_millis(rng, KILL_AFTER_MS);
            self.plan(at, Action::KillAgent(worker));
            let at = at + draw_millis(rng, AWAY_MS);
            self.plan(at, Action::StartAgent(worker));
        }
        if self.play == Play::KillsWithWorker && kills != 1 {
            let at = now + draw_millis(rng, KILL_AFTER_MS);
            self.plan(at, Action::KillLeader);
            let at = at + draw_millis(rng, AWAY_MS);
            self.plan(at, Action::StartEntries);
        }
        if self.play == Play::LongTasks {
            let from = up + draw_millis(rng, CUT_AFTER_MS);
            let until = from + draw_millis(rng, CUT_MS);
            let (begin, end) = match rng.random() {
                true => (Action::PauseWorker(worker), Action::ResumeWorker(worker)),
                false => (Action::CutWorker(worker), Action::RestoreWorker(worker)),
            };
            self.plan(from, begin);
            self.plan(until, end);
        }
        let mut back = up;
        if self.play == Play::IdleWorker {
            let from = up + draw_millis(rng, IDLE_MS);
            back = from + draw_millis(rng, LONG_CUT_MS);
            self.plan(from, Action::CutWorker(worker));
            self.plan(back, Action::RestoreWorker(worker));
        }
        // Jobs that come sooner would take the room that the leader sees on the worker, so that
        // none would start just after the restart.
        let wait = back.duration_since(now);
        let first = now + wait.mul_f64(rng.random_range(self.play.first_job()));
        for job in 0..self.play.jobs() {
            let work_ms = match self.play {
                Play::LongTasks => rng.random_range(LONG_WORK_MS),
                Play::HighNumbers | Play::KillsWithWorker | Play::Gangs | Play::IdleWorker => {
                    WORK_MS
                }
            };
            self.plan(first + SUBMIT_INTERVAL * job, Action::Submit(work_ms));
        }
    }

    fn plan(&mut self, at: Instant, action: Action) {
        self.actions.push((at, action));
    }

    fn carry_out(&mut self, action: Action) -> eyre::Result<()> {
        let dir = self.site.dir().to_owned();
        match action {
            Action::KillWorker(worker) => self.site.workers[worker].kill(),
            Action::StartWorker(worker) => self.site.workers[worker].restart(&dir),
            Action::KillAgent(worker) => self.site.agents[worker].kill(),
            Action::StartAgent(worker) => self.site.agents[worker].restart(&dir),
            Action::KillLeader => match self.site.leader() {
                Some(leader) => self.site.entries[leader].kill(),
                None => Ok(()),
            },
            Action::StartEntries => {
                let mut entries = self.site.entries.iter_mut();
                entries.try_for_each(|entry| entry.restart(&dir))
            }
            Action::PauseWorker(worker) => self.site.workers[worker].pause(),
            Action::ResumeWorker(worker) => self.site.workers[worker].resume(),
            Action::CutWorker(worker) => {
                self.site.set_cut(worker, true);
                Ok(())
            }
            Action::RestoreWorker(worker) => {
                self.site.set_cut(worker, false);
                Ok(())
            }
            Action::Submit(work_ms) => {
                match self.play {
                    Play::Gangs => self.callers.submit_gang(GANG_MEMBERS, work_ms, 0),
                    _ => {
                        self.callers.submit_task(work_ms);
                    }
                }
                Ok(())
            }
        }
    }
}

fn draw_millis(rng: &mut ChaCha8Rng, range: Range<u64>) -> Duration {
    Duration::from_millis(rng.random_range(range))
}
