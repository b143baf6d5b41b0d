//! The agent's part: leases of its worker, starts, stops and ends.

mod call;
mod runs;

use std::collections::BTreeMap;
use std::time::Duration;

use cumindeck_types::{AgentId, FencingToken, Incarnation, RunNumber, Uptime, WorkerId};

use crate::exchange::{AgentReport, EndReport, ExchangeReply, Order, WorkerLife};
use crate::{TaskId, TimeLimits};

pub use call::{AgentEffect, HoldCall, HoldReply, StartCall, StartOutcome};
use runs::{LocalRun, Phase};

/// Wait of a look at the worker for an end; the answer also brings new checkpoints.
const LOOK_WAIT: Duration = Duration::from_millis(400);

/// Time on the worker's clock within which a start is carried out or not at all.
///
/// An order that the worker carries out seconds late must find its time over.
const START_WINDOW: Duration = Duration::from_millis(1_500);

/// Age of the question after which a start in its answer is not carried out.
///
/// It covers the longest wait for orders; a cancel or an evacuation may be
/// missing in an older answer.
const START_AGE: Duration = Duration::from_millis(2_000);

/// A start that the holder orders.
struct PendingStart {
    task: TaskId,
    run: RunNumber,
    payload: String,
    checkpoint: String,
    ticket: String,
}

/// A worker's clock, read by a call.
#[derive(Debug, Clone, Copy)]
struct ClockReading {
    /// Time at the worker in milliseconds.
    worker_ms: u64,
    /// Time here when the call was sent; the reading is not older.
    sent: Uptime,
}

/// Decisions of the agent beside a worker.
#[derive(Debug)]
pub struct AgentCore {
    agent: AgentId,
    incarnation: Incarnation,
    limits: TimeLimits,
    sequence: u64,
    life: Option<WorkerLife>,
    clock: Option<ClockReading>,
    token: FencingToken,
    /// Until when leases may be extended.
    grant_until: Uptime,
    recorded_ends: u64,
    has_lists: bool,
    runs: BTreeMap<(TaskId, RunNumber), LocalRun>,
    ends: Vec<EndReport>,
}

impl AgentCore {
    /// Makes an agent that knows nothing yet.
    #[must_use]
    pub const fn new(agent: AgentId, incarnation: Incarnation, limits: TimeLimits) -> Self {
        Self {
            agent,
            incarnation,
            limits,
            sequence: 0,
            life: None,
            clock: None,
            token: FencingToken::new(0),
            grant_until: Uptime::ZERO,
            recorded_ends: 0,
            has_lists: false,
            runs: BTreeMap::new(),
            ends: Vec::new(),
        }
    }

    /// Returns the newest fencing token seen.
    #[must_use]
    pub const fn token(&self) -> FencingToken {
        self.token
    }

    /// Returns the worker's life.
    #[must_use]
    pub const fn life(&self) -> Option<&WorkerLife> {
        self.life.as_ref()
    }

    /// Takes a heartbeat of the worker; tells whether something changed.
    ///
    /// A heartbeat of a former life that was held up on its way changes nothing.
    pub fn on_heartbeat(&mut self, life: WorkerLife) -> bool {
        if let Some(known) = &self.life {
            if life.born_ms < known.born_ms || *known == life {
                return false;
            }
            if !known.is(&life.worker, life.born_ms) {
                self.forget_life();
            }
        }
        self.life = Some(life);
        true
    }

    /// Takes the worker's word that it ends; tells whether something changed.
    pub fn on_leave(&mut self, worker: &WorkerId) -> bool {
        let is_known = self
            .life
            .as_ref()
            .is_some_and(|life| life.worker == *worker);
        if is_known {
            self.forget_life();
        }
        is_known
    }

    /// Returns the report to an entry; `known_token` is the newest token that the
    /// search for the holder has met.
    pub fn report(&mut self, wait: Duration, known_token: FencingToken) -> AgentReport {
        self.sequence += 1;
        AgentReport {
            agent: self.agent.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            life: self.life.clone(),
            has_lists: self.has_lists,
            runs: self.runs.iter().map(|(id, run)| run.report(id)).collect(),
            ends: self.ends.clone(),
            wait_ms: u64::try_from(wait.as_millis()).unwrap_or(u64::MAX),
            known_token,
        }
    }

    /// Takes the holder's answer to a report that was sent at `asked`.
    pub fn on_reply(
        &mut self,
        asked: Uptime,
        now: Uptime,
        reply: ExchangeReply,
    ) -> Vec<AgentEffect> {
        if !reply.is_holder || reply.token < self.token {
            return Vec::new();
        }
        self.token = reply.token;
        let age = Duration::from_millis(reply.confirmed_age_ms);
        let grant = self.limits.agent_grant().saturating_sub(age);
        self.grant_until = self.grant_until.max(asked.plus(grant));
        let Some(life) = &self.life else {
            return Vec::new();
        };
        if life.born_ms != reply.life_born_ms {
            return Vec::new();
        }
        self.recorded_ends = self.recorded_ends.max(reply.recorded_ends);
        let recorded = self.recorded_ends;
        self.ends.retain(|end| end.number > recorded);
        let mut effects = Vec::new();
        let mut ordered = Vec::new();
        for order in reply.orders {
            match order {
                Order::Start {
                    task,
                    run,
                    payload,
                    checkpoint,
                    ticket,
                    ..
                } => {
                    ordered.push((task.clone(), run));
                    if now.since(asked) > START_AGE {
                        continue;
                    }
                    let start = PendingStart {
                        task,
                        run,
                        payload,
                        checkpoint,
                        ticket,
                    };
                    effects.extend(self.start(now, start));
                }
                Order::Stop { task, run } => effects.extend(self.stop(now, task, run)),
            }
        }
        // A refusal is reported until the holder has dropped the run.
        self.runs
            .retain(|id, run| !run.is_refusal_known(reply.sequence) || ordered.contains(id));
        effects
    }

    /// Returns the next call that extends leases and reads the lists.
    pub fn hold_call(&self, now: Uptime) -> Option<HoldCall> {
        let life = self.life.as_ref()?;
        let until_ms = self.clock.and_then(|clock| {
            let end = self.grant_until.min(now);
            // No extension after the grant has run out; what runs ends by its lease.
            (end == now).then(|| clock.worker_ms + millis(now.since(clock.sent)) + self.lease_ms())
        });
        Some(HoldCall {
            worker: life.worker.clone(),
            until_ms: until_ms.filter(|_| !self.runs.is_empty()),
            token: self.token,
            recorded_ends: self.recorded_ends,
            wait: LOOK_WAIT,
        })
    }

    /// Takes the answer to a hold call that was sent at `sent`; tells whether
    /// there is something new to report at once.
    pub fn on_hold(&mut self, worker: &WorkerId, sent: Uptime, reply: HoldReply) -> bool {
        let Some(life) = &mut self.life else {
            return false;
        };
        if life.worker != *worker {
            return false;
        }
        if let Some(born_ms) = reply.born_ms.filter(|&born_ms| born_ms != life.born_ms) {
            if born_ms > life.born_ms {
                let mut life = life.clone();
                life.born_ms = born_ms;
                self.forget_life();
                self.life = Some(life);
            }
            return true;
        }
        if self.clock.is_none_or(|clock| sent >= clock.sent) {
            self.clock = Some(ClockReading {
                worker_ms: reply.clock_ms,
                sent,
            });
        }
        let mut is_news = !self.has_lists;
        self.has_lists = true;
        for end in reply.ends {
            let is_known = self.ends.iter().any(|known| known.number == end.number);
            if is_known || end.number <= self.recorded_ends {
                continue;
            }
            self.runs.remove(&(end.task.clone(), end.run));
            self.ends.push(end);
            is_news = true;
        }
        let mut listed = Vec::new();
        for (task, run, checkpoint, percent) in reply.active {
            let id = (task, run);
            listed.push(id.clone());
            if self
                .ends
                .iter()
                .any(|end| end.task == id.0 && end.run == id.1)
            {
                continue;
            }
            let known = self.runs.entry(id).or_insert_with(|| {
                is_news = true;
                LocalRun::new(Phase::Active, sent)
            });
            is_news |= known.see(percent, checkpoint);
        }
        // A run that had started or was stopped before the call was sent and is on
        // neither list is not there.
        for (id, run) in &mut self.runs {
            if run.is_settled_before(sent) && !listed.contains(id) {
                run.refuse("not on the worker's lists", self.sequence);
                is_news = true;
            }
        }
        is_news
    }

    /// Takes the outcome of a start.
    pub fn on_start(
        &mut self,
        now: Uptime,
        task: &TaskId,
        run: RunNumber,
        outcome: StartOutcome,
    ) -> Vec<AgentEffect> {
        let Some(local) = self.runs.get_mut(&(task.clone(), run)) else {
            return Vec::new();
        };
        let is_open = matches!(local.phase, Phase::Starting);
        let is_stopping = matches!(local.phase, Phase::StoppingStart | Phase::Settling(_));
        if is_stopping && outcome == StartOutcome::Started {
            // It runs, and its end will be listed.
            local.phase = Phase::Stopping;
        }
        if !is_open {
            return Vec::new();
        }
        match outcome {
            StartOutcome::Started => {
                *local = LocalRun::new(Phase::Active, now);
                Vec::new()
            }
            StartOutcome::Refused(reason) => {
                local.refuse(&reason, self.sequence);
                Vec::new()
            }
            // A stop makes a start that arrives later have no effect.
            StartOutcome::Unknown(_) => self.stop(now, task.clone(), run).into_iter().collect(),
        }
    }

    /// Takes the outcome of a stop.
    ///
    /// A confirmed stop of a start that was on its way leaves open whether the
    /// run was there; the worker's lists tell.
    pub fn on_stopped(&mut self, now: Uptime, task: &TaskId, run: RunNumber, is_confirmed: bool) {
        let Some(local) = self.runs.get_mut(&(task.clone(), run)) else {
            return;
        };
        match (&local.phase, is_confirmed) {
            (Phase::StoppingStart, true) => local.phase = Phase::Settling(now),
            (Phase::StoppingStart | Phase::Stopping, false) => local.retry_stop(now),
            _ => {}
        }
    }

    /// Returns stops that have to be sent again.
    pub fn due_stops(&mut self, now: Uptime) -> Vec<AgentEffect> {
        let due: Vec<_> = self
            .runs
            .iter()
            .filter(|(_, run)| run.needs_stop(now))
            .map(|(id, _)| id.clone())
            .collect();
        due.into_iter()
            .flat_map(|(task, run)| self.stop(now, task, run))
            .collect()
    }

    fn start(&mut self, now: Uptime, start: PendingStart) -> Option<AgentEffect> {
        let PendingStart {
            task,
            run,
            payload,
            checkpoint,
            ticket,
        } = start;
        let life = self.life.as_ref()?;
        let clock = self.clock?;
        let id = (task.clone(), run);
        let has_ended = self
            .ends
            .iter()
            .any(|end| end.task == task && end.run == run);
        if self.runs.contains_key(&id) || has_ended || life.is_draining || now > self.grant_until {
            return None;
        }
        self.runs.insert(id, LocalRun::new(Phase::Starting, now));
        let window = START_WINDOW.min(self.grant_until.since(now) + self.limits.worker_lease());
        Some(AgentEffect::Start(StartCall {
            worker: life.worker.clone(),
            task,
            run,
            payload,
            checkpoint,
            ticket,
            until_ms: clock.worker_ms + millis(now.since(clock.sent)) + millis(window),
            token: self.token,
        }))
    }

    fn stop(&mut self, now: Uptime, task: TaskId, run: RunNumber) -> Option<AgentEffect> {
        let life = self.life.as_ref()?;
        let id = (task.clone(), run);
        if self
            .ends
            .iter()
            .any(|end| end.task == task && end.run == run)
        {
            return None;
        }
        let local = self
            .runs
            .entry(id)
            .or_insert_with(|| LocalRun::new(Phase::Starting, now));
        if !local.begin_stop(now) {
            return None;
        }
        Some(AgentEffect::Stop {
            worker: life.worker.clone(),
            task,
            run,
            token: self.token,
        })
    }

    fn forget_life(&mut self) {
        self.life = None;
        self.clock = None;
        self.recorded_ends = 0;
        self.has_lists = false;
        self.runs.clear();
        self.ends.clear();
    }

    fn lease_ms(&self) -> u64 {
        millis(self.limits.worker_lease())
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
