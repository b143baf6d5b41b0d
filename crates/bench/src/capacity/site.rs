//! A site state machine with a table in memory and simulated agents.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use cumindeck_api::{JobSpec, JobState};
use cumindeck_site::{
    AnnounceCallId, AttemptRow, AttemptTask, BundleRow, EntryIdentity, EntryRow, JobRow,
    OperatorCallId, OperatorReply, OperatorRequest, Order, RingRow, RowKey, RowValue, SiteEffect,
    SiteEvent, SiteMachine, ZoneStateRow,
};
use cumindeck_types::message::{
    AgentState, AnnounceReply, Announcement, TaskAnswer, TaskPhase, TaskReport,
};
use cumindeck_types::{
    AgentId, Attempt, ConfigVersion, FencingToken, Incarnation, Region, RingVersion, TaskIndex,
    Uptime, ZoneVersion,
};

use super::table::Table;

/// Base file of the sample sites.
const BASE: &str = include_str!("../../../../samples/base.ini");
/// Wall-clock time at the start, since the Unix epoch: 2026-01-01 00:00 UTC.
const START_WALL_TIME: Duration = Duration::from_secs(1_767_225_600);
/// Slices of a second of simulated time. Each has a tick and a part of the announcements,
/// because the state machine ticks every 200 ms.
const SLICES_PER_SECOND: usize = 5;
const WORKERS_PER_RACK: usize = 3;

/// Size of a simulated site.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Size {
    /// Workers in the measured region.
    pub workers: usize,
    /// Jobs with running tasks.
    pub jobs: usize,
    /// Running tasks of all jobs.
    pub tasks: usize,
    /// Number of teams.
    pub teams: usize,
    /// Regions, one of which is measured.
    pub regions: usize,
    /// Entries in all regions.
    pub entries: usize,
}

impl Size {
    /// Returns the size of a site with the target's jobs, tasks and teams per worker.
    #[must_use]
    pub fn for_workers(workers: usize) -> Self {
        Self {
            workers,
            jobs: workers * 4_700 / 5_700,
            tasks: workers * 17_000 / 5_700,
            teams: (workers * 360 / 5_700).max(4),
            regions: if workers < 100 { 2 } else { 6 },
            entries: (workers / 100).max(2),
        }
    }
}

/// Durations of steps by kind of event, in microseconds.
pub type Times = BTreeMap<&'static str, Vec<f64>>;

/// A site state machine with its table and its agents.
pub struct Site {
    /// The state machine under measurement.
    pub machine: SiteMachine,
    /// The table in memory.
    pub table: Table,
    /// Durations of all steps.
    pub times: Times,
    /// The announcement that each agent sends.
    pub agents: Vec<Announcement>,
    /// Replies to operators, oldest first.
    pub replies: Vec<OperatorReply>,
    /// The last reply to an announcement.
    pub reply: Option<AnnounceReply>,
    /// Number of orders sent to agents.
    pub orders: u64,
    /// Maximum number of commits in a second.
    pub peak_commits: u64,
    /// Simulated time, which is zero when the site is created.
    pub now: Uptime,
    /// Number of agents, from the first, that reply; the others are unresponsive.
    responsive: usize,
    calls: u64,
}

impl Site {
    /// Creates a site whose table contains running jobs. Nothing has been read from it.
    pub fn new(size: Size) -> eyre::Result<Self> {
        let now = Uptime::ZERO;
        let cfg = EntryIdentity {
            entry: "e0".parse()?,
            incarnation: Incarnation::new(1),
            site: "plume".parse()?,
            zone: "z0-0".parse()?,
            region: "r0".parse()?,
            agents: "127.0.0.1:7001".parse()?,
            operators: "127.0.0.1:7002".parse()?,
        };
        let mut site = Self {
            machine: SiteMachine::new(cfg, now),
            table: Table::default(),
            times: Times::new(),
            agents: (0..size.workers).map(agent).collect::<Result<_, _>>()?,
            replies: Vec::new(),
            reply: None,
            orders: 0,
            peak_commits: 0,
            now,
            responsive: size.workers,
            calls: 0,
        };
        site.fill_polled_rows(size)?;
        site.fill_jobs(size)?;
        Ok(site)
    }

    /// Sends the announcements of the agents in `range` at the current time.
    pub fn announce(&mut self, range: std::ops::Range<usize>) {
        for i in range {
            self.calls += 1;
            let announcement = self.agents[i].clone();
            let call = AnnounceCallId(self.calls);
            self.step("announce", SiteEvent::Announced(call, announcement));
            let lease = self.reply.as_ref().and_then(|reply| reply.lease);
            if let Some(lease) = lease {
                self.agents[i].newest_token = lease.token;
            }
        }
    }

    /// Sends an operator's call.
    pub fn operator(&mut self, req: OperatorRequest) {
        self.calls += 1;
        let call = OperatorCallId(self.calls);
        self.step("operator", SiteEvent::Operator(call, req));
    }

    /// Runs the site for some time. The first `responsive` agents announce themselves
    /// each second.
    pub fn run(&mut self, time: Duration, responsive: usize) {
        let end = self.now.plus(time);
        self.responsive = responsive;
        let mut slice = 0;
        let mut commits = self.table.counts.commits;
        while self.now < end {
            if slice == 0 {
                self.table.renew_entries();
            }
            self.step("tick", SiteEvent::Wakeup);
            let bounds = |i: usize| responsive * i / SLICES_PER_SECOND;
            self.announce(bounds(slice)..bounds(slice + 1));
            slice = (slice + 1) % SLICES_PER_SECOND;
            if slice == 0 {
                let before = std::mem::replace(&mut commits, self.table.counts.commits);
                self.peak_commits = self.peak_commits.max(commits - before);
            }
            self.now = self
                .now
                .plus(Duration::from_secs(1) / SLICES_PER_SECOND as u32);
        }
    }

    /// Handles an event and the events that follow from it, and measures each step.
    pub fn step(&mut self, kind: &'static str, event: SiteEvent) {
        let mut events = VecDeque::from([(kind, event)]);
        while let Some((kind, event)) = events.pop_front() {
            let wall = START_WALL_TIME + self.now.since(Uptime::ZERO);
            let begin = Instant::now();
            let effects = self.machine.step(self.now, wall, event);
            let micros = begin.elapsed().as_secs_f64() * 1e6;
            self.times.entry(kind).or_default().push(micros);
            for effect in effects {
                events.extend(self.execute(effect));
            }
        }
    }

    fn execute(&mut self, effect: SiteEffect) -> Option<(&'static str, SiteEvent)> {
        match effect {
            SiteEffect::Read(id, ranges) => {
                let rows = Some(self.table.read(&ranges));
                let sent_at = self.now;
                Some(("read", SiteEvent::Read { id, sent_at, rows }))
            }
            SiteEffect::Commit(id, writes) => {
                let outcome = self.table.commit(writes);
                Some(("committed", SiteEvent::Committed(id, outcome)))
            }
            SiteEffect::Order(id, agent, order) => {
                self.orders += 1;
                let event = SiteEvent::OrderAnswered(id, self.reply_to_order(&agent, order));
                Some(("order", event))
            }
            SiteEffect::ReplyAnnounce(_, reply) => {
                self.reply = Some(*reply);
                None
            }
            SiteEffect::ReplyOperator(_, reply) => {
                self.replies.push(reply);
                None
            }
            _ => None,
        }
    }

    /// Executes an order as the agent would. Returns `None` if the agent is unresponsive.
    fn reply_to_order(&mut self, agent: &AgentId, order: Order) -> Option<TaskAnswer> {
        let mut agents = self.agents.iter_mut().take(self.responsive);
        let announcement = agents.find(|known| known.agent == *agent)?;
        match order {
            Order::StartTask(go) => announcement.tasks.push(TaskReport {
                job: go.task.job,
                attempt: go.task.attempt,
                task: go.task.task,
                phase: TaskPhase::Running,
                detail: String::new(),
            }),
            Order::Stop(task) => {
                let is_target = |report: &TaskReport| {
                    report.job == task.job
                        && report.attempt == task.attempt
                        && report.task == task.task
                };
                // The first order stops the task, the next one acknowledges its report.
                announcement
                    .tasks
                    .retain(|report| !(is_target(report) && report.phase.is_final()));
                for report in announcement.tasks.iter_mut().filter(|r| is_target(r)) {
                    report.phase = TaskPhase::Stopped;
                }
            }
            Order::Reserve(_) | Order::Checkpoint(_) => {}
        }
        Some(TaskAnswer::Done)
    }

    fn fill_polled_rows(&mut self, size: Size) -> eyre::Result<()> {
        let version = ConfigVersion::new(1);
        self.table
            .put(RowKey::ConfigHead, RowValue::ConfigHead(version));
        let bundle = BundleRow {
            change: "first".to_owned(),
            base: BASE.to_owned(),
            overlays: [("plume".to_owned(), overlay(size))].into(),
        };
        self.table
            .put(RowKey::Bundle(version), RowValue::Bundle(bundle));
        for region in 0..size.regions {
            for zone in 0..zones(size) {
                let row = ZoneStateRow {
                    version: ZoneVersion::new(1),
                    is_open: true,
                    change: "e0:1:1".to_owned(),
                };
                let key = RowKey::Zone(format!("z{region}-{zone}").parse()?);
                self.table.put(key, RowValue::Zone(row));
            }
            let members = (0..size.workers)
                .map(|i| Ok((format!("agent-{region}-{i:04}").parse()?, incarnation())))
                .collect::<eyre::Result<_>>()?;
            let version = RingVersion::new(1);
            let ring = RowValue::Ring(RingRow { version, members });
            let region: Region = format!("r{region}").parse()?;
            let head = RowKey::RingHead(region.clone());
            self.table.put(head, RowValue::RingHead(version));
            self.table.put(RowKey::Ring(region), ring);
        }
        for entry in 1..size.entries {
            let row = EntryRow {
                incarnation: Incarnation::new(1),
                zone: format!("z{}-0", entry % size.regions).parse()?,
                region: format!("r{}", entry % size.regions).parse()?,
                agents: format!("10.0.0.{entry}:7001").parse()?,
                operators: format!("10.0.0.{entry}:7002").parse()?,
                config_version: version,
                writes: 1,
            };
            let key = RowKey::Entry(format!("e{entry}").parse()?);
            self.table.put(key, RowValue::Entry(row));
        }
        Ok(())
    }

    fn fill_jobs(&mut self, size: Size) -> eyre::Result<()> {
        let (attempt, token) = (Attempt::new(1), FencingToken::default());
        let mut next = 0;
        for number in 0..size.jobs {
            let count = size.tasks * (number + 1) / size.jobs - size.tasks * number / size.jobs;
            let job = format!("job-{number:05}");
            let mut tasks = Vec::new();
            for task in 0..count {
                let (i, slot) = (next % size.workers, next / size.workers);
                next += 1;
                let announcement = &mut self.agents[i];
                announcement.tasks.push(TaskReport {
                    job: job.parse()?,
                    attempt,
                    task: TaskIndex::new(task as u64),
                    phase: TaskPhase::Running,
                    detail: String::new(),
                });
                tasks.push(AttemptTask {
                    agent: announcement.agent.clone(),
                    incarnation: announcement.incarnation,
                    worker: announcement.worker.clone(),
                    rack: announcement.rack.clone(),
                    zone: announcement.zone.clone(),
                    worker_accelerators: announcement.accelerators,
                    accelerators: vec![u32::try_from(slot % 8)?],
                    cell: None,
                });
            }
            let row = JobRow {
                spec: JobSpec {
                    id: job.parse()?,
                    team: format!("t{}", number % size.teams).parse()?,
                    region: "r0".parse()?,
                    tasks: u32::try_from(count.max(1))?,
                    accelerators: 1,
                    same_rack: false,
                    urgent: false,
                    max_attempts: None,
                    command: vec!["train".to_owned(), "--epochs=90".to_owned()],
                    deadline: None,
                },
                submitted_ms: u64::try_from(START_WALL_TIME.as_millis())? + number as u64,
                state: JobState::Running,
                attempt,
                failures: 0,
                is_cancelled: false,
            };
            let region = row.spec.region.clone();
            let key = RowKey::Job(region.clone(), row.spec.id.clone());
            let started = AttemptRow {
                attempt,
                token,
                is_borrowed: true,
                started_ms: u64::try_from(START_WALL_TIME.as_millis())?,
                tasks,
            };
            let attempt_key = RowKey::Attempt(region, row.spec.id.clone());
            self.table.put(key, RowValue::Job(row));
            self.table.put(attempt_key, RowValue::Attempt(started));
        }
        Ok(())
    }
}

/// Creates the announcement of an agent without tasks.
pub fn agent(i: usize) -> eyre::Result<Announcement> {
    Ok(Announcement {
        agent: format!("agent-0-{i:04}").parse()?,
        incarnation: incarnation(),
        zone: format!("z0-{}", i / 300).parse()?,
        region: "r0".parse()?,
        address: format!("10.1.{}.{}:7100", i / 250, i % 250).parse()?,
        state: AgentState::Serving,
        slots: 8,
        connections: 64,
        in_flight: 3,
        ring_version: RingVersion::new(1),
        worker: format!("worker-0-{i:04}").parse()?,
        rack: format!("rack-0-{}", i / WORKERS_PER_RACK).parse()?,
        accelerators: 8,
        newest_token: FencingToken::default(),
        tasks: Vec::new(),
    })
}

/// Returns the agents' incarnation: wall-clock milliseconds of their start.
fn incarnation() -> Incarnation {
    Incarnation::new(u64::try_from(START_WALL_TIME.as_millis()).unwrap_or(u64::MAX))
}

/// Returns the number of zones of a region, of 300 workers each.
const fn zones(size: Size) -> usize {
    size.workers.div_ceil(300)
}

/// Returns the contents of the base file.
pub const fn base() -> &'static str {
    BASE
}

/// Returns the contents of the site's overlay.
pub fn overlay(size: Size) -> String {
    use std::fmt::Write;
    let regions: Vec<_> = (0..size.regions).map(|i| format!("r{i}")).collect();
    let mut text = format!("[site]\nname = plume\nregions = {}\n", regions.join(", "));
    let mut line = |line: String| {
        // Writing to a string can't fail.
        let _ = writeln!(text, "{line}");
    };
    for region in 0..size.regions {
        for zone in 0..zones(size) {
            line(format!("[zone z{region}-{zone}]\nregion = r{region}"));
        }
    }
    for team in 0..size.teams {
        line(format!(
            "[team t{team}]\nhome-region = r0\nguarantee = r0 1xworker"
        ));
    }
    text
}
