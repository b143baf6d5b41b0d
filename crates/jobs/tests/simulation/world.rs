//! The simulated system with its network, driven by one seed.

mod late_calls;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cumindeck_jobs::{
    AckOutcome, AgentCore, AgentEffect, AgentReport, CommitStep, ExchangeReply, JobRow, JobSpec,
    JobState, LeaderAction, LeaderDiscovery, LeaderWatch, RenewCall, RenewFailure, RenewReply, Row,
    RowKey, RowName, RowView, Scheduler, SearchStep, StartCall, StartOutcome, StepSpec,
    StoreResult, TaskId, Transaction, WorkerIncarnation,
};
use cumindeck_types::{Incarnation, JobId, RunNumber, WorkerId};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::common::limits;
use crate::entry::Entry;
use crate::fixtures::{address, agent_id, at, capacity, catalog, task_resources, worker_id};
use crate::model_store::ModelStore;
use crate::model_worker::ModelWorker;
use late_calls::LateCall;

const STEP_MS: u64 = 10;
const FAULTS_UNTIL_MS: u64 = 25_000;
/// Time by which all jobs must have ended. With seed 285, late jobs are still queued at
/// 70 s, since all workers are busy until then.
const END_MS: u64 = 130_000;
const ENTRIES: usize = 3;
const AGENTS: usize = 5;
/// Delay of the leader's replies beyond that of the network: the wait for orders.
const ORDER_DELAY_MS: u64 = 60;

/// Minimum time from the start of an incarnation until it carries out calls that its former
/// one has received.
const MIN_DELAY_AFTER_START_MS: u64 = 1_200;

/// With late calls: time for which the first workers have been up.
const FIRST_CLOCK_MS: u64 = 60_000;

/// Number of workers that may stay away for good.
const MAX_LOST_WORKERS: usize = 2;

/// Number of ends that workers with short lists list at a time.
const MAX_LISTED_ENDS: usize = 2;

/// Faults that are drawn beside the standard ones, which they leave as they are.
#[derive(Debug, Clone, Copy, Default)]
pub struct ExtraFaults {
    /// Workers crash while their agents run on, some for good, or carry out renewals
    /// without an answer for a while.
    pub worker_faults: bool,
    /// Workers list few ends at a time.
    pub short_lists: bool,
    /// Other writers send heartbeats and shutdown messages to agents.
    pub other_writers: bool,
    /// Workers start again under their ids after a short time, and carry some starts and
    /// acknowledgements out late and without an answer, or their successors do.
    pub late_acknowledgements: bool,
    /// Calls of each kind get no answer and are carried out late, but for starts many of them
    /// by a worker that has just started again under its id; agents and leaders end in the
    /// same second.
    pub late_calls: bool,
    /// The same holds for late starts.
    pub late_starts: bool,
    /// Workers list many ends and then start again under their ids while tasks wait, with
    /// late calls; without the standard faults.
    pub many_ends: bool,
    /// Workers with long tasks are cut off soon after they have started again, with late
    /// calls except for acknowledgements; without the standard faults and takeovers, since a
    /// newer leader's token voids a late call.
    pub cut_offs: bool,
}

/// A safeguard that a variant disables.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Safeguard {
    /// Agents stop extending leases when their grant ends.
    GrantExpiry,
    /// A start is ordered only after it is recorded.
    RecordBeforeOrder,
    /// An acknowledgement is sent only to the incarnation that it is meant for.
    IntendedIncarnation,
    /// A worker that may get a late acknowledgement gets no runs until it has been probed.
    DoubtfulEnds,
    /// A call after one without an answer has a higher token.
    RisingTokens,
    /// While an acknowledgement may be late, a run starts only at the incarnation that has
    /// just answered.
    AnsweringIncarnation,
}

enum Message {
    Commit {
        entry: usize,
        sent_at: u64,
        transaction: Transaction,
        kind: CommitKind,
    },
    CommitDone {
        entry: usize,
        sent_at: u64,
        result: StoreResult,
        kind: CommitKind,
    },
    Report {
        entry: usize,
        sent_at: u64,
        report: AgentReport,
    },
    Reply {
        agent: usize,
        entry: usize,
        sent_at: u64,
        reply: Option<ExchangeReply>,
    },
    Start {
        agent: usize,
        started_ms: u64,
        call: StartCall,
    },
    Started {
        agent: usize,
        task: TaskId,
        run: RunNumber,
        outcome: StartOutcome,
    },
    Stop {
        agent: usize,
        started_ms: u64,
        effect: AgentEffect,
    },
    Stopped {
        agent: usize,
        task: TaskId,
        run: RunNumber,
        is_confirmed: bool,
    },
    Renew {
        agent: usize,
        sent_at: u64,
        call: RenewCall,
    },
    Renewed {
        agent: usize,
        worker: WorkerId,
        sent_at: u64,
        result: Result<RenewReply, RenewFailure>,
    },
    /// An acknowledgement that is carried out late by the worker that is there then.
    LateAcknowledgement {
        agent: usize,
        call: RenewCall,
    },
    /// A call that is carried out late by the worker that is there then.
    Late {
        agent: usize,
        sent_ms: u64,
        call: LateCall,
    },
    /// The next acknowledgement gets no answer, and the worker ends after it.
    KeepNextAcknowledgement {
        agent: usize,
    },
    EndWorker {
        agent: usize,
    },
    EndAgent {
        agent: usize,
    },
    CutOff {
        agent: usize,
    },
    PauseLeader,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum CommitKind {
    Schedule,
    TakeOver,
}

struct Agent {
    core: AgentCore,
    search: LeaderDiscovery,
    worker: ModelWorker,
    incarnations: u64,
    restarts: u64,
    is_renewing: bool,
    /// Time until which the entries are unreachable, in milliseconds.
    entries_unreachable_until_ms: u64,
    paused_until_ms: u64,
    down_until_ms: u64,
    /// Whether the agent runs on while its worker is down.
    is_alone: bool,
    /// Time until which the worker does not answer renewals, in milliseconds.
    silent_until_ms: u64,
    /// Start of the agent's process.
    process: Incarnation,
    /// Time of the first heartbeat of the worker, in milliseconds.
    heartbeats_from_ms: u64,
    /// Whether the next acknowledgement gets no answer.
    keeps_next_acknowledgement: bool,
    /// Time since which the worker gets and runs no tasks without a reason, in milliseconds.
    out_of_service_since_ms: u64,
}

/// Entries, agents with their workers, and the store, driven by one seeded generator.
pub struct Simulation {
    rng: ChaCha8Rng,
    disabled: Option<Safeguard>,
    extra_faults: ExtraFaults,
    now: u64,
    store: ModelStore,
    entries: Vec<Entry>,
    agents: Vec<Agent>,
    messages: BTreeMap<(u64, u64), Message>,
    sequence: u64,
    jobs: Vec<JobId>,
    /// Number of tasks of the first step of the jobs in which it is a gang of several.
    gangs: BTreeMap<JobId, usize>,
    /// Last start of each task: when, in milliseconds, and its run.
    last_starts: BTreeMap<TaskId, (u64, RunNumber)>,
    /// Tasks of the starts since the last check.
    started: Vec<TaskId>,
    /// First end of each task as done that was acknowledged, which stands for good: when, in
    /// milliseconds, and its run.
    done: BTreeMap<TaskId, (u64, RunNumber)>,
    /// Tasks of the backlog that have not started.
    waiting: BTreeSet<TaskId>,
    counts: BTreeMap<&'static str, u64>,
}

impl Simulation {
    pub fn new(seed: u64, disabled: Option<Safeguard>) -> Self {
        let mut simulation = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            disabled,
            extra_faults: ExtraFaults::default(),
            now: 1_000,
            store: ModelStore::default(),
            entries: Vec::new(),
            agents: Vec::new(),
            messages: BTreeMap::new(),
            sequence: 0,
            jobs: Vec::new(),
            gangs: BTreeMap::new(),
            last_starts: BTreeMap::new(),
            started: Vec::new(),
            done: BTreeMap::new(),
            waiting: BTreeSet::new(),
            counts: BTreeMap::new(),
        };
        for entry in 0..ENTRIES {
            let id = format!("entry-{entry}").parse().expect("an entry id");
            let mut watch = LeaderWatch::new(id, address(entry));
            watch.on_table_read();
            simulation.entries.push(Entry {
                watch,
                scheduler: None,
                view: RowView::default(),
                confirmed_ms: 0,
                takeover: None,
                is_taking_over: false,
                is_committing: false,
                paused_until_ms: 0,
                store_unreachable_until_ms: 0,
            });
        }
        for agent in 0..AGENTS {
            let worker = simulation.new_worker(agent, 0);
            simulation.agents.push(Agent {
                core: simulation.new_core(agent),
                search: new_search(),
                worker,
                incarnations: 0,
                restarts: 0,
                is_renewing: false,
                entries_unreachable_until_ms: 0,
                paused_until_ms: 0,
                down_until_ms: 0,
                is_alone: false,
                silent_until_ms: 0,
                process: Incarnation::new(simulation.now),
                heartbeats_from_ms: 0,
                keeps_next_acknowledgement: false,
                out_of_service_since_ms: 0,
            });
        }
        simulation
    }

    /// Adds faults to the standard ones.
    pub fn with(mut self, extra_faults: ExtraFaults) -> Self {
        self.extra_faults = extra_faults;
        for agent in 0..AGENTS {
            let worker = self.new_worker(agent, 0);
            self.agents[agent].worker = match self.has_late_calls() {
                true => worker.with_first_clock(FIRST_CLOCK_MS),
                false => worker,
            };
        }
        self
    }

    /// Runs the simulation; an error describes the violated invariant.
    pub fn run(&mut self) -> Result<(), String> {
        while self.now < END_MS {
            self.now += STEP_MS;
            self.inject_events();
            while let Some(entry) = self.messages.first_entry() {
                if entry.key().0 > self.now {
                    break;
                }
                let message = entry.remove();
                self.deliver(message);
            }
            for entry in 0..ENTRIES {
                self.step_entry(entry);
            }
            for agent in 0..AGENTS {
                self.step_agent(agent);
            }
            self.begin_gangs();
            self.check()?;
            if self.extra_faults.many_ends {
                self.check_service()?;
            }
        }
        self.check_final_state()
    }

    /// Begins the work of the gangs of which all members are present.
    fn begin_gangs(&mut self) {
        let mut present: BTreeMap<(JobId, RunNumber), Vec<TaskId>> = BTreeMap::new();
        for agent in &self.agents {
            for (task, run) in agent.worker.waiting() {
                let members = present.entry((task.job.clone(), *run)).or_default();
                members.push(task.clone());
            }
        }
        present.retain(|(job, _), members| self.gangs.get(job) == Some(&members.len()));
        let whole = present
            .into_iter()
            .flat_map(|((_, run), members)| members.into_iter().map(move |task| (task, run)));
        for id in whole {
            for agent in &mut self.agents {
                agent.worker.begin_work(self.now, &id);
            }
        }
    }

    /// Returns the number of events by kind.
    pub fn summary(&self) -> String {
        let lines = self
            .counts
            .iter()
            .map(|(kind, count)| format!("{kind}: {count}"));
        lines.collect::<Vec<_>>().join("\n")
    }

    fn count(&mut self, kind: &'static str) {
        *self.counts.entry(kind).or_default() += 1;
    }

    fn new_worker(&self, agent: usize, incarnation: u64) -> ModelWorker {
        let id = worker_id(agent, incarnation);
        let worker = ModelWorker::new(id, self.now, capacity(), task_resources());
        match self.extra_faults.short_lists {
            true => worker.with_max_listed_ends(MAX_LISTED_ENDS),
            false => worker,
        }
    }

    fn new_core(&self, agent: usize) -> AgentCore {
        let mut limits = limits();
        if self.disabled == Some(Safeguard::GrantExpiry) {
            // Agents get longer grants and leases than the leader calculates with.
            limits.max_worker_lease = Duration::from_secs(60);
        }
        AgentCore::new(agent_id(agent), Incarnation::new(self.now), limits)
    }

    fn send(&mut self, delay: u64, message: Message) {
        self.sequence += 1;
        self.messages
            .insert((self.now + delay, self.sequence), message);
    }

    fn delay(&mut self) -> u64 {
        self.rng.random_range(1..25)
    }

    /// Draws faults and submits jobs at random.
    fn inject_events(&mut self) {
        if self.extra_faults.many_ends {
            self.inject_many_ends();
            return;
        }
        if self.now > FAULTS_UNTIL_MS {
            return;
        }
        if self.rng.random_ratio(1, 80) {
            self.submit();
        }
        if self.extra_faults.late_calls && self.rng.random_ratio(1, 50) {
            self.submit();
        }
        if !self.extra_faults.cut_offs && self.rng.random_ratio(1, 100) {
            let until = self.now + self.rng.random_range(500..16_000);
            let (entry, agent) = (
                self.rng.random_range(0..ENTRIES),
                self.rng.random_range(0..AGENTS),
            );
            match self.rng.random_range(0..6) {
                0 => self.entries[entry].paused_until_ms = until,
                1 => self.entries[entry].store_unreachable_until_ms = until,
                2 => self.agents[agent].entries_unreachable_until_ms = until,
                3 => self.agents[agent].paused_until_ms = until,
                4 => self.restart_agent(agent),
                _ => self.crash_worker(agent, until),
            }
            self.count("failures");
        }
        if self.extra_faults.worker_faults && self.rng.random_ratio(1, 150) {
            let agent = self.rng.random_range(0..AGENTS);
            let until = self.now + self.rng.random_range(500..16_000);
            match self.rng.random_range(0..4) {
                0 => self.crash_worker_alone(agent, until),
                1 => self.crash_worker_alone(agent, u64::MAX),
                _ => self.agents[agent].silent_until_ms = until,
            }
        }
        if self.extra_faults.late_acknowledgements && self.rng.random_ratio(1, 150) {
            let agent = self.rng.random_range(0..AGENTS);
            let until = self.now + self.rng.random_range(20..1_500);
            self.crash_worker_alone(agent, until);
        }
        if self.has_late_calls() && self.rng.random_ratio(1, 150) {
            let agent = self.rng.random_range(0..AGENTS);
            self.end_worker_soon(agent);
        }
        if self.extra_faults.other_writers && self.rng.random_ratio(1, 20) {
            let agent = self.rng.random_range(0..AGENTS);
            self.send_odd_message(agent);
        }
    }

    /// Sends a message of another writer to an agent.
    fn send_odd_message(&mut self, agent: usize) {
        let (now, this) = (at(self.now), &mut self.agents[agent]);
        let own = WorkerIncarnation {
            worker: this.worker.id.clone(),
            started_ms: this.worker.started_ms,
            ..other_incarnation()
        };
        let claimed = match self.rng.random_range(0..5) {
            0 => {
                let worker = own.worker;
                this.core.on_worker_exit(now, &worker);
                return;
            }
            1 => WorkerIncarnation {
                started_ms: self.now,
                ..other_incarnation()
            },
            2 => WorkerIncarnation {
                worker: other_incarnation().worker,
                ..own
            },
            3 => WorkerIncarnation {
                started_ms: own.started_ms.saturating_sub(1),
                ..own
            },
            _ => WorkerIncarnation {
                started_ms: self.now,
                ..own
            },
        };
        this.core.on_heartbeat(now, claimed);
    }

    fn restart_agent(&mut self, agent: usize) {
        self.agents[agent].restarts += 1;
        self.agents[agent].core = self.new_core(agent);
        self.agents[agent].process = Incarnation::new(self.now);
        if self.has_late_calls() {
            self.drop_answers(agent);
        }
        self.agents[agent].is_renewing = false;
        self.agents[agent].search = new_search();
    }

    fn crash_worker(&mut self, agent: usize, until: u64) {
        self.agents[agent].worker.is_up = false;
        self.agents[agent].down_until_ms = until;
        self.agents[agent].is_alone = false;
        self.restart_agent(agent);
    }

    /// Crashes a worker, but not its agent.
    fn crash_worker_alone(&mut self, agent: usize, until: u64) {
        let is_lost = |agent: &&Agent| agent.down_until_ms == u64::MAX;
        let lost = self.agents.iter().filter(is_lost).count();
        if !self.agents[agent].worker.is_up || (until == u64::MAX && lost >= MAX_LOST_WORKERS) {
            return;
        }
        self.agents[agent].worker.is_up = false;
        self.agents[agent].is_alone = true;
        self.agents[agent].down_until_ms = until;
        self.count("lone crashes");
    }

    fn submit(&mut self) {
        let gang = self.rng.random_ratio(1, 3);
        let tasks = self.rng.random_range(1..5);
        let step = StepSpec {
            tasks,
            resources: task_resources(),
            estimate_ms: 1_500,
            gang,
            ..StepSpec::default()
        };
        let second = StepSpec {
            after: vec![0],
            gang: false,
            ..step.clone()
        };
        let row = JobRow {
            spec: JobSpec {
                queue: "letters".to_owned(),
                team: None,
                service: "letters".to_owned(),
                priority: self.rng.random_range(0..3),
                max_attempts: 3,
                slack_percent: 300,
                target_ms: 500,
                payload: "print".to_owned(),
                steps: vec![step, second],
                recurrence: None,
                needs_tickets: false,
            },
            entry: "entry-0".parse().expect("an entry id"),
            accepted_store_ms: self.now,
        };
        self.submit_row(&row);
    }

    fn submit_row(&mut self, row: &JobRow) -> JobId {
        let id: JobId = format!("{:016x}", self.jobs.len())
            .parse()
            .expect("a job id");
        if let Some(step) = row.spec.steps.first().filter(|it| it.gang && it.tasks > 1) {
            self.gangs.insert(id.clone(), step.tasks as usize);
        }
        let change = cumindeck_jobs::Change {
            key: RowKey::Job(id.clone()),
            value: serde_json::to_vec(row).ok(),
        };
        self.store.transact(&Transaction {
            conditions: Vec::new(),
            changes: vec![change],
        });
        self.jobs.push(id.clone());
        self.count("jobs");
        id
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Commit {
                entry,
                sent_at,
                transaction,
                kind,
            } => {
                let result = self.store.transact(&transaction);
                let is_lost = self.now < FAULTS_UNTIL_MS
                    && !self.extra_faults.cut_offs
                    && self.rng.random_ratio(1, 40);
                let result = match is_lost {
                    true => StoreResult::Unknown("lost".to_owned()),
                    false => result,
                };
                let delay = if is_lost { 1_200 } else { self.delay() };
                self.send(
                    delay,
                    Message::CommitDone {
                        entry,
                        sent_at,
                        result,
                        kind,
                    },
                );
            }
            Message::CommitDone {
                entry,
                sent_at,
                result,
                kind,
            } => {
                self.on_commit(entry, sent_at, &result, kind);
            }
            Message::Report {
                entry,
                sent_at,
                report,
            } => self.on_report(entry, sent_at, &report),
            Message::Reply {
                agent,
                entry,
                sent_at,
                reply,
            } => self.on_reply(agent, entry, sent_at, reply),
            Message::Start {
                agent,
                started_ms,
                call,
            } => {
                let (work, fails) = self.draw_work();
                if self.delays_to_successor(agent, started_ms) {
                    let wait = MIN_DELAY_AFTER_START_MS;
                    self.send(
                        wait,
                        Message::Start {
                            agent,
                            started_ms,
                            call,
                        },
                    );
                    return;
                }
                let worker = &mut self.agents[agent].worker;
                let is_intended = worker.started_ms == started_ms
                    || self.extra_faults.late_acknowledgements && worker.id == call.worker;
                if !worker.is_up || !is_intended {
                    return;
                }
                let is_other = call.only_to.is_some_and(|it| it != worker.started_ms)
                    && self.disabled != Some(Safeguard::AnsweringIncarnation);
                let outcome = match is_other {
                    true => StartOutcome::Refused("another incarnation".to_owned()),
                    false => self.start_run(agent, &call, work, fails),
                };
                let (task, run) = (call.task, call.run);
                self.send(
                    1,
                    Message::Started {
                        agent,
                        task,
                        run,
                        outcome,
                    },
                );
            }
            Message::Started {
                agent,
                task,
                run,
                outcome,
            } => {
                let effects = self.agents[agent]
                    .core
                    .on_start(at(self.now), &task, run, outcome);
                self.carry_out(agent, effects);
            }
            Message::Stop {
                agent,
                started_ms,
                effect,
            } => {
                let AgentEffect::Stop {
                    worker: id,
                    task,
                    run,
                    token,
                } = effect
                else {
                    return;
                };
                let now = self.now;
                let worker = &mut self.agents[agent].worker;
                if worker.is_up && worker.started_ms == started_ms {
                    let is_confirmed = worker.id == id;
                    if is_confirmed {
                        worker.stop(now, &task, run, token);
                    }
                    self.send(
                        1,
                        Message::Stopped {
                            agent,
                            task,
                            run,
                            is_confirmed,
                        },
                    );
                }
            }
            Message::Stopped {
                agent,
                task,
                run,
                is_confirmed,
            } => {
                self.agents[agent]
                    .core
                    .on_stopped(at(self.now), &task, run, is_confirmed);
            }
            Message::Renew {
                agent,
                sent_at,
                call,
            } => {
                let now = self.now;
                if self.has_late_calls()
                    && self.now < FAULTS_UNTIL_MS
                    && self.rng.random_ratio(1, 30)
                {
                    let (worker, late) = (call.worker.clone(), LateCall::Renew(call));
                    self.keep_back(agent, late);
                    let result = Err(RenewFailure::Unknown("lost".to_owned()));
                    self.send(
                        300,
                        Message::Renewed {
                            agent,
                            worker,
                            sent_at,
                            result,
                        },
                    );
                    return;
                }
                if self.extra_faults.cut_offs
                    && !self.agents[agent].worker.is_up
                    && self.rng.random_ratio(1, 2)
                {
                    self.keep_back(agent, LateCall::Renew(call.clone()));
                }
                let is_silent = now < self.agents[agent].silent_until_ms;
                let worker = &mut self.agents[agent].worker;
                let is_there = worker.is_up && worker.id == call.worker;
                let reply = is_there.then(|| worker.renew_leases(now, &call));
                let result = match reply {
                    _ if is_silent || !worker.is_up => {
                        Err(RenewFailure::Unknown("no reply".to_owned()))
                    }
                    Some(reply) => Ok(self.acknowledge(agent, &call, reply)),
                    None => Err(RenewFailure::OtherWorker),
                };
                let is_lost = match &result {
                    Err(failure) => matches!(failure, RenewFailure::Unknown(_)),
                    Ok(reply) => {
                        self.has_late_calls() && reply.acknowledgement == AckOutcome::Unknown
                    }
                };
                let delay = if is_lost { 300 } else { 1 };
                self.send(
                    delay,
                    Message::Renewed {
                        agent,
                        worker: call.worker,
                        sent_at,
                        result,
                    },
                );
            }
            Message::LateAcknowledgement { agent, call } => {
                let worker = &mut self.agents[agent].worker;
                if let Some(acknowledgement) = call.acknowledgement
                    && worker.is_up
                    && worker.id == call.worker
                {
                    worker.acknowledge(call.token, acknowledgement.up_to);
                }
            }
            Message::Late {
                agent,
                sent_ms,
                call,
            } => self.carry_out_late(agent, sent_ms, &call),
            Message::KeepNextAcknowledgement { agent } => {
                self.agents[agent].keeps_next_acknowledgement = true;
            }
            Message::EndWorker { agent } => self.end_worker(agent),
            Message::EndAgent { agent } => self.end_agent(agent),
            Message::CutOff { agent } => self.cut_off(agent),
            Message::PauseLeader => self.pause_leader(),
            Message::Renewed {
                agent,
                worker,
                sent_at,
                result,
            } => {
                self.agents[agent].is_renewing = false;
                let (now, core) = (at(self.now), &mut self.agents[agent].core);
                match result {
                    Ok(reply) => core.on_renewal(now, &worker, at(sent_at), reply),
                    Err(failure) => core.on_renewal_failure(now, &worker, &failure),
                };
            }
        }
    }

    /// Starts a run at the worker of an agent.
    fn start_run(
        &mut self,
        agent: usize,
        call: &StartCall,
        work: u64,
        fails: bool,
    ) -> StartOutcome {
        let now = self.now;
        let is_in_gang = call.task.step == 0 && self.gangs.contains_key(&call.task.job);
        let worker = &mut self.agents[agent].worker;
        let outcome = match worker.id == call.worker {
            true => worker.start(now, call, work, fails, is_in_gang),
            false => StartOutcome::Refused("another worker".to_owned()),
        };
        if outcome == StartOutcome::Started {
            self.last_starts.insert(call.task.clone(), (now, call.run));
            self.started.push(call.task.clone());
            self.waiting.remove(&call.task);
        }
        self.count("starts");
        outcome
    }

    /// Returns whether a call that the former incarnation has received waits until the
    /// worker has been up for some time.
    fn delays_to_successor(&self, agent: usize, started_ms: u64) -> bool {
        let worker = &self.agents[agent].worker;
        self.extra_faults.late_acknowledgements
            && worker.is_up
            && worker.started_ms != started_ms
            && self.now < worker.started_ms + MIN_DELAY_AFTER_START_MS
    }

    /// Sends the acknowledgement of a renewal, which has this reply, on the same connection.
    fn acknowledge(&mut self, agent: usize, call: &RenewCall, reply: RenewReply) -> RenewReply {
        let Some(acknowledgement) = call.acknowledgement else {
            return reply;
        };
        let is_intended = reply.started_ms == acknowledgement.started_ms
            || self.disabled == Some(Safeguard::IntendedIncarnation);
        if !is_intended {
            return reply;
        }
        let is_late = self.extra_faults.late_acknowledgements
            && self.now < FAULTS_UNTIL_MS
            && self.rng.random_ratio(1, 10);
        let is_kept = std::mem::take(&mut self.agents[agent].keeps_next_acknowledgement);
        if is_kept {
            self.end_worker_soon(agent);
        }
        let is_kept = is_kept
            || self.extra_faults.late_calls
                && self.now < FAULTS_UNTIL_MS
                && self.rng.random_ratio(1, 10);
        if is_kept {
            self.keep_back(agent, LateCall::Acknowledge(call.clone()));
        } else if is_late {
            let delay = self.rng.random_range(2_000..12_000);
            let call = call.clone();
            self.send(delay, Message::LateAcknowledgement { agent, call });
        }
        if is_late || is_kept {
            self.count("late acknowledgements");
            return RenewReply {
                acknowledgement: match self.disabled {
                    Some(Safeguard::DoubtfulEnds) => AckOutcome::NotSent,
                    _ => AckOutcome::Unknown,
                },
                ..reply
            };
        }
        let worker = &mut self.agents[agent].worker;
        worker.acknowledge(call.token, acknowledgement.up_to);
        RenewReply {
            acknowledgement: AckOutcome::Done,
            ..reply
        }
    }

    fn on_commit(&mut self, entry: usize, sent_at: u64, result: &StoreResult, kind: CommitKind) {
        let now = self.now;
        let this = &mut self.entries[entry];
        match kind {
            CommitKind::TakeOver => {
                this.is_taking_over = false;
                if let (StoreResult::Done { version }, Some(takeover)) =
                    (result, &mut this.takeover)
                {
                    takeover.1 = *version;
                    this.watch.on_leadership_held(takeover.0.token);
                } else {
                    this.takeover = None;
                }
            }
            CommitKind::Schedule => {
                this.is_committing = false;
                let Some(scheduler) = &mut this.scheduler else {
                    return;
                };
                match scheduler.on_commit(at(sent_at), result) {
                    CommitStep::Committed | CommitStep::Replan => {}
                    CommitStep::Retry => {
                        if let Some(transaction) = scheduler.pending() {
                            this.is_committing = true;
                            self.commit(entry, now, transaction, CommitKind::Schedule);
                        }
                    }
                    CommitStep::Lost => this.scheduler = None,
                }
            }
        }
    }

    /// Sends a transaction; during a partition it is lost, otherwise it may be late.
    fn commit(&mut self, entry: usize, sent_at: u64, transaction: Transaction, kind: CommitKind) {
        if self.now < self.entries[entry].store_unreachable_until_ms {
            let result = StoreResult::Unknown("cut".to_owned());
            self.send(
                300,
                Message::CommitDone {
                    entry,
                    sent_at,
                    result,
                    kind,
                },
            );
            return;
        }
        let is_late = self.now < FAULTS_UNTIL_MS
            && !self.extra_faults.cut_offs
            && self.rng.random_ratio(1, 60);
        let delay = if is_late {
            self.rng.random_range(1_000..5_000)
        } else {
            self.delay()
        };
        self.send(
            delay,
            Message::Commit {
                entry,
                sent_at,
                transaction,
                kind,
            },
        );
    }

    fn on_report(&mut self, entry: usize, sent_at: u64, report: &AgentReport) {
        let now = self.now;
        let agent = (0..AGENTS)
            .find(|it| agent_id(*it) == report.agent)
            .expect("a known agent");
        let this = &mut self.entries[entry];
        if now < this.paused_until_ms {
            let wait = this.paused_until_ms - now;
            self.send(
                wait,
                Message::Report {
                    entry,
                    sent_at,
                    report: report.clone(),
                },
            );
            return;
        }
        let reply = match &mut this.scheduler {
            Some(scheduler) => {
                scheduler.on_report(at(now), now, report);
                scheduler.reply(at(now), &report.agent, report.sequence)
            }
            None => ExchangeReply {
                sequence: report.sequence,
                is_leader: false,
                leader: this.watch.leader_address(),
                entries: Vec::new(),
                token: this.watch.row().map(|row| row.token).unwrap_or_default(),
                process: None,
                confirmed_age_ms: 0,
                worker_started_ms: 0,
                recorded_ends: 0,
                doubts_ends: false,
                knows_incarnation: false,
                speeds: None,
                orders: Vec::new(),
            },
        };
        let mut wait = match reply.is_leader {
            true => ORDER_DELAY_MS,
            false => 0,
        };
        if self.has_late_calls() {
            if report.incarnation != self.agents[agent].process {
                return;
            }
            // Orders come on a confirmation of some 100 ms ago.
            wait += self.rng.random_range(0..200);
        }
        let delay = self.delay() + wait;
        self.send(
            delay,
            Message::Reply {
                agent,
                entry,
                sent_at,
                reply: Some(reply),
            },
        );
    }

    fn on_reply(&mut self, agent: usize, entry: usize, sent_at: u64, reply: Option<ExchangeReply>) {
        let now = self.now;
        let is_cut = now < self.agents[agent].entries_unreachable_until_ms;
        let this = &mut self.agents[agent];
        if now < this.paused_until_ms {
            let wait = this.paused_until_ms - now;
            self.send(
                wait,
                Message::Reply {
                    agent,
                    entry,
                    sent_at,
                    reply,
                },
            );
            return;
        }
        let Some(reply) = reply.filter(|_| !is_cut) else {
            this.search.on_no_reply(at(now), address(entry));
            return;
        };
        let step = this.search.on_reply(at(now), address(entry), &reply);
        if step == SearchStep::Apply {
            let effects = this.core.on_reply(at(sent_at), at(now), reply);
            self.carry_out(agent, effects);
        }
    }

    fn carry_out(&mut self, agent: usize, effects: Vec<AgentEffect>) {
        let started_ms = self.agents[agent].worker.started_ms;
        for effect in effects {
            let is_lost = self.now < FAULTS_UNTIL_MS && self.rng.random_ratio(1, 20);
            let delay = if is_lost {
                self.rng.random_range(500..6_000)
            } else {
                1
            };
            if is_lost && self.has_late_calls() {
                self.lose_call(agent, effect);
                continue;
            }
            match effect {
                AgentEffect::Start(call) => {
                    let (task, run) = (call.task.clone(), call.run);
                    if is_lost {
                        let outcome = StartOutcome::Unknown("lost".to_owned());
                        self.send(
                            350,
                            Message::Started {
                                agent,
                                task,
                                run,
                                outcome,
                            },
                        );
                    }
                    self.send(
                        delay,
                        Message::Start {
                            agent,
                            started_ms,
                            call,
                        },
                    );
                }
                AgentEffect::Stop { ref task, run, .. } => {
                    if is_lost {
                        let task = task.clone();
                        self.send(
                            350,
                            Message::Stopped {
                                agent,
                                task,
                                run,
                                is_confirmed: false,
                            },
                        );
                    }
                    self.send(
                        delay,
                        Message::Stop {
                            agent,
                            started_ms,
                            effect,
                        },
                    );
                }
            }
        }
    }

    /// Has a start or a stop carried out late and without an answer.
    fn lose_call(&mut self, agent: usize, effect: AgentEffect) {
        let started_ms = self.agents[agent].worker.started_ms;
        let (answer, call) = match effect {
            AgentEffect::Start(call) => {
                let (task, run) = (call.task.clone(), call.run);
                let outcome = StartOutcome::Unknown("lost".to_owned());
                let answer = Message::Started {
                    agent,
                    task,
                    run,
                    outcome,
                };
                (answer, LateCall::Start(call, started_ms))
            }
            AgentEffect::Stop { ref task, run, .. } => {
                let answer = Message::Stopped {
                    agent,
                    task: task.clone(),
                    run,
                    is_confirmed: false,
                };
                (answer, LateCall::Stop(effect))
            }
        };
        self.keep_back(agent, call);
        self.send(350, answer);
    }

    fn step_entry(&mut self, entry: usize) {
        let now = self.now;
        let this = &mut self.entries[entry];
        if now < this.paused_until_ms {
            return;
        }
        if now >= this.store_unreachable_until_ms {
            let (rows, version) = self.store.changes(this.view.version());
            this.confirmed_ms = now;
            this.on_changes(now, rows, version);
        }
        // The version is 0 until the leader row is committed.
        if let Some((leader_row, version, sent_at)) = this
            .takeover
            .take_if(|it| it.1 > 0 && it.1 <= this.view.version())
            && this.watch.row() == Some(&leader_row)
        {
            let mut scheduler = Scheduler::new(
                limits(),
                catalog(),
                leader_row,
                version,
                at(sent_at),
                at(now),
            );
            this.view.load(&mut scheduler, at(now), now);
            this.scheduler = Some(scheduler);
            self.count("takeovers");
        }
        let this = &mut self.entries[entry];
        if this.scheduler.is_none() && this.takeover.is_none() && !this.is_taking_over {
            let store_latency = Duration::from_millis(10 + entry as u64 * 10);
            let action =
                this.watch
                    .action(at(now), at(this.confirmed_ms), store_latency, &limits());
            if let LeaderAction::TakeOver(transaction) = action {
                this.is_taking_over = true;
                this.takeover = Some((this.watch.next_row(), 0, now));
                self.commit(entry, now, transaction, CommitKind::TakeOver);
            }
        }
        let disabled = self.disabled;
        let this = &mut self.entries[entry];
        if let Some(scheduler) = &mut this.scheduler {
            if now.is_multiple_of(20) {
                scheduler.plan(at(now), Duration::from_millis(now));
            }
            if !this.is_committing
                && let Some(batch) = scheduler.next_transaction(at(now), now)
            {
                if disabled == Some(Safeguard::RecordBeforeOrder) {
                    let version = scheduler.leader_version();
                    scheduler.on_commit(at(now), &StoreResult::Done { version });
                }
                this.is_committing = true;
                self.commit(entry, now, batch.transaction, CommitKind::Schedule);
            }
        }
    }

    fn send_heartbeat(&mut self, agent: usize) {
        let (now, this) = (at(self.now), &mut self.agents[agent]);
        let incarnation = WorkerIncarnation {
            worker: this.worker.id.clone(),
            started_ms: this.worker.started_ms,
            service: "letters".to_owned(),
            zone: "plateau".parse().expect("a zone"),
            capacity: capacity(),
            labels: vec!["a".to_owned(), format!("r{}", agent / 2)],
            is_draining: false,
            leaves_in_ms: None,
        };
        this.core.on_heartbeat(now, incarnation);
    }

    fn step_agent(&mut self, agent: usize) {
        let now = self.now;
        let this = &mut self.agents[agent];
        if !this.worker.is_up && now >= this.down_until_ms {
            // Some workers start again under the id that they had.
            let keeps_id = self.extra_faults.late_acknowledgements
                || self.extra_faults.late_calls
                || self.extra_faults.many_ends
                || self.extra_faults.cut_offs
                || self.extra_faults.worker_faults && now.is_multiple_of(20);
            this.incarnations += u64::from(!keeps_id);
            let incarnation = this.incarnations;
            self.agents[agent].worker = self.new_worker(agent, incarnation);
            if self.has_late_calls() {
                let wait = self.rng.random_range(0..300);
                self.agents[agent].heartbeats_from_ms = now + wait;
            }
            if self.extra_faults.cut_offs && self.rng.random_ratio(1, 2) {
                let wait = self.rng.random_range(500..3_000);
                self.send(wait, Message::CutOff { agent });
            }
            return;
        }
        if !this.worker.is_up && !this.is_alone {
            return;
        }
        this.worker.tick(now);
        if now < this.paused_until_ms {
            return;
        }
        if this.worker.is_up && now >= this.heartbeats_from_ms {
            self.send_heartbeat(agent);
        }
        let this = &mut self.agents[agent];
        let calls = this.core.due_calls(at(now));
        self.carry_out(agent, calls);
        let this = &mut self.agents[agent];
        if !this.is_renewing
            && now.is_multiple_of(100)
            && let Some(call) = this.core.renew_call(at(now))
        {
            this.is_renewing = true;
            self.send(
                1,
                Message::Renew {
                    agent,
                    sent_at: now,
                    call,
                },
            );
        }
        for target in self.agents[agent].search.due(at(now)) {
            let this = &mut self.agents[agent];
            let entry = (0..ENTRIES).find(|it| address(*it) == target).unwrap_or(0);
            let token = this.search.token();
            let report = this.core.report(LeaderDiscovery::ORDER_WAIT, token);
            if now < this.entries_unreachable_until_ms {
                self.send(
                    1_200,
                    Message::Reply {
                        agent,
                        entry,
                        sent_at: now,
                        reply: None,
                    },
                );
            } else {
                let delay = self.delay();
                self.send(
                    delay,
                    Message::Report {
                        entry,
                        sent_at: now,
                        report,
                    },
                );
            }
        }
    }

    fn check(&mut self) -> Result<(), String> {
        let mut changed = std::mem::take(&mut self.started);
        for agent in &mut self.agents {
            let acknowledged = agent.worker.take_acknowledged();
            for (task, ended) in acknowledged {
                let first = self.done.entry(task.clone()).or_insert(ended);
                *first = ended.min(*first);
                changed.push(task);
            }
        }
        for task in changed {
            let (Some((ended_ms, done)), Some((started_ms, last))) =
                (self.done.get(&task), self.last_starts.get(&task))
            else {
                continue;
            };
            if started_ms > ended_ms {
                return Err(format!(
                    "at {} ms run {last} of {task} has started, run {done} was done",
                    self.now
                ));
            }
        }
        let mut running: BTreeMap<&TaskId, (usize, RunNumber)> = BTreeMap::new();
        for (at, agent) in self.agents.iter().enumerate() {
            for (task, run) in agent.worker.running() {
                if let Some((other, first)) = running.insert(task, (at, *run)) {
                    return Err(format!(
                        "at {} ms {task} runs twice: run {first} on {other}, run {run} on {at}",
                        self.now
                    ));
                }
            }
        }
        Ok(())
    }

    /// Checks that all jobs have ended, and counts them by final state.
    fn check_final_state(&mut self) -> Result<(), String> {
        let (rows, _) = self.store.changes(0);
        let mut states: BTreeMap<JobId, (Option<JobRow>, JobState)> = BTreeMap::new();
        for row in &rows {
            let RowName::System(key) = &row.name else {
                continue;
            };
            match Row::decode(key, row.value.as_deref()) {
                Ok(Row::Job(job, row)) => {
                    states.entry(job).or_insert((None, JobState::Queued)).0 = Some(*row);
                }
                Ok(Row::Progress(job, progress)) => {
                    let entry = states.entry(job).or_insert((None, JobState::Queued));
                    if let Some(row) = &entry.0 {
                        entry.1 = progress.state(&row.spec);
                    }
                }
                Ok(_) | Err(_) => {}
            }
        }
        for job in &self.jobs {
            let state = states.get(job).map_or(JobState::Queued, |it| it.1);
            if !state.is_final() {
                return Err(format!("job {job} is {state} at the end"));
            }
            let kind = if state == JobState::Completed {
                "completed"
            } else {
                "failed"
            };
            *self.counts.entry(kind).or_default() += 1;
        }
        Ok(())
    }
}

/// An incarnation that no agent has beside it.
fn other_incarnation() -> WorkerIncarnation {
    WorkerIncarnation {
        worker: "w-other".parse().expect("a worker id"),
        started_ms: 1,
        service: "letters".to_owned(),
        zone: "plateau".parse().expect("a zone"),
        capacity: capacity(),
        labels: vec!["a".to_owned(), "r0".to_owned()],
        is_draining: false,
        leaves_in_ms: None,
    }
}

/// Leader discovery of an agent that knows the entries and no leader.
fn new_search() -> LeaderDiscovery {
    let mut search = LeaderDiscovery::default();
    search.on_entries(None, (0..ENTRIES).map(address).collect());
    search
}
