//! The jobs of a duty holder: which attempt to start, stop or place again.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cumindeck_control::gang::{
    GangEffect, GangFailure, GangPlan, GangStart, PlacedTask, PlannedTask, StoredAttempt,
};
use cumindeck_control::membership::AgentHealth;
use cumindeck_control::store::WriteOutcome;
use cumindeck_types::message::{GangMember, TaskAnswer, TaskPhase, TaskRef, TaskReport};
use cumindeck_types::{AgentId, Attempt, Incarnation, JobId, Uptime};

use crate::broken::Broken;
use crate::entry::{Await, Entry, Holding};
use crate::message::{Message, NodeId, Order};
use crate::store::{AttemptRow, JobRow};
use crate::world::Ctx;

/// Time between two orders or attempts for a job.
const RETRY: Duration = Duration::from_secs(1);

/// The jobs as a holder knows them.
pub(crate) struct JobBook {
    acquired: Uptime,
    is_loaded: bool,
    rows: BTreeMap<JobId, JobRow>,
    starts: BTreeMap<JobId, GangStart>,
    retry: BTreeMap<JobId, Uptime>,
    /// Jobs whose end isn't known to be stored.
    finished: BTreeSet<JobId>,
}

impl JobBook {
    /// Starts without jobs when the duty was acquired.
    pub(crate) const fn new(acquired: Uptime) -> Self {
        Self {
            acquired,
            is_loaded: false,
            rows: BTreeMap::new(),
            starts: BTreeMap::new(),
            retry: BTreeMap::new(),
            finished: BTreeSet::new(),
        }
    }

    /// Forgets the rows, so that only a read sent from now on counts.
    fn reload(&mut self, now: Uptime) {
        self.acquired = now;
        self.is_loaded = false;
        self.rows.retain(|id, _| self.starts.contains_key(id));
    }

    /// Takes in the jobs from a read sent at `asked`; own attempts aren't undone.
    pub(crate) fn load(&mut self, asked: Uptime, jobs: &BTreeMap<JobId, JobRow>) {
        if asked < self.acquired {
            return;
        }
        self.is_loaded = true;
        for (id, row) in jobs {
            match self.rows.get_mut(id) {
                Some(known) if known.attempts.len() > row.attempts.len() => {}
                _ => {
                    self.rows.insert(id.clone(), row.clone());
                }
            }
        }
    }
}

impl Entry {
    /// Starts, stops and places attempts.
    pub(crate) fn tick_jobs(&mut self, ctx: &mut Ctx<'_>) {
        let now = ctx.now;
        let may_act = self.duty.may_act(now);
        let Some(holding) = &mut self.holding else {
            return;
        };
        let starts = holding.jobs.starts.iter_mut();
        let ticked: Vec<_> = starts
            .map(|(id, start)| (id.clone(), start.tick(now)))
            .collect();
        let rows = &holding.jobs.rows;
        let idle = rows.iter().filter(|(id, row)| {
            let is_due = holding.jobs.retry.get(*id).is_none_or(|at| now >= *at);
            !row.is_done && is_due && !holding.jobs.starts.contains_key(*id)
        });
        let idle: Vec<_> = idle.map(|(id, _)| id.clone()).collect();
        let is_loaded = holding.jobs.is_loaded;
        for (id, effects) in ticked {
            self.on_gang(ctx, &id, effects);
        }
        if may_act && is_loaded {
            for id in idle {
                self.review(ctx, &id);
            }
        }
    }

    /// Handles the outcome of the write that counts an attempt.
    pub(crate) fn on_attempt_counted(
        &mut self,
        ctx: &mut Ctx<'_>,
        id: &JobId,
        write: &str,
        outcome: WriteOutcome,
    ) {
        // A late answer to an earlier attempt's write says nothing about this one.
        if self.last_attempt(id).is_none_or(|own| own.write != write) {
            return;
        }
        let (now, may_act) = (ctx.now, self.duty.may_act(ctx.now));
        let effects = self.with_start(id, |start| start.on_attempt_written(now, may_act, outcome));
        self.on_gang(ctx, id, effects);
    }

    /// Handles the write id in an attempt's row, asked for after `write`.
    pub(crate) fn on_attempt_read(
        &mut self,
        ctx: &mut Ctx<'_>,
        id: &JobId,
        write: &str,
        stored: Option<&String>,
    ) {
        if self.last_attempt(id).is_none_or(|own| own.write != write) {
            return;
        }
        let (now, may_act) = (ctx.now, self.duty.may_act(ctx.now));
        let stored = match stored {
            None => StoredAttempt::Absent,
            Some(stored) if stored == write => StoredAttempt::Own,
            Some(_) => StoredAttempt::Foreign,
        };
        let effects = self.with_start(id, |start| start.on_attempt_read(now, may_act, stored));
        self.on_gang(ctx, id, effects);
    }

    /// Reads the row of the attempt that was written as `write`.
    pub(crate) fn read_attempt(&mut self, ctx: &mut Ctx<'_>, id: &JobId, write: &str) {
        let own = self.last_attempt(id).filter(|own| own.write == write);
        if let Some(attempt) = own.map(|own| own.attempt) {
            let read = Message::ReadAttempt(id.clone(), attempt, write.to_owned());
            self.ask(ctx, Await::AttemptRead(id.clone(), write.to_owned()), read);
        }
    }

    /// Handles an agent's answer to an order.
    pub(crate) fn on_answer(
        &mut self,
        ctx: &mut Ctx<'_>,
        order: Order,
        task: &TaskRef,
        answer: TaskAnswer,
    ) {
        let (now, may_act) = (ctx.now, self.duty.may_act(ctx.now));
        let effects = self.with_start(&task.job, |start| {
            let plan = start.plan();
            if (plan.attempt, plan.token) != (task.attempt, task.token) {
                return Vec::new();
            }
            match order {
                Order::Reserve => start.on_reserve_answer(now, may_act, task.task, answer),
                Order::Go => start.on_go_answer(now, task.task, answer),
                Order::Stop => Vec::new(),
            }
        });
        self.on_gang(ctx, &task.job, effects);
    }

    /// Ends the starts that count on an earlier incarnation of an agent.
    pub(crate) fn on_incarnation(
        &mut self,
        ctx: &mut Ctx<'_>,
        agent: &AgentId,
        incarnation: Incarnation,
    ) {
        let Some(holding) = &mut self.holding else {
            return;
        };
        let starts = holding.jobs.starts.iter_mut();
        let ended: Vec<_> = starts
            .map(|(id, start)| (id.clone(), start.on_incarnation(agent, incarnation)))
            .collect();
        for (id, effects) in ended {
            self.on_gang(ctx, &id, effects);
        }
    }

    /// Acknowledges reports of attempts that no longer matter.
    pub(crate) fn acknowledge(&self, ctx: &mut Ctx<'_>, from: NodeId, reports: &[TaskReport]) {
        let Some(holding) = self.holding.as_ref().filter(|_| self.duty.may_act(ctx.now)) else {
            return;
        };
        let Some(token) = self.duty.token() else {
            return;
        };
        for report in reports.iter().filter(|report| report.phase.is_final()) {
            let is_over = holding.jobs.rows.get(&report.job).is_some_and(|row| {
                row.is_done || (report.attempt.get() as usize) < row.attempts.len()
            });
            if is_over {
                let task = TaskRef {
                    job: report.job.clone(),
                    attempt: report.attempt,
                    task: report.task,
                    token,
                };
                ctx.send(from, Message::Stop(task));
            }
        }
    }

    fn last_attempt(&self, id: &JobId) -> Option<&AttemptRow> {
        self.holding.as_ref()?.jobs.rows.get(id)?.attempts.last()
    }

    fn with_start(
        &mut self,
        id: &JobId,
        run: impl FnOnce(&mut GangStart) -> Vec<GangEffect>,
    ) -> Vec<GangEffect> {
        let start = self
            .holding
            .as_mut()
            .and_then(|h| h.jobs.starts.get_mut(id));
        start.map(run).unwrap_or_default()
    }

    /// Decides about a job that isn't being started.
    fn review(&mut self, ctx: &mut Ctx<'_>, id: &JobId) {
        let (now, broken) = (ctx.now, self.broken);
        let (Some(holding), Some(token)) = (&mut self.holding, self.duty.token()) else {
            return;
        };
        let Some(row) = holding.jobs.rows.get(id) else {
            return;
        };
        let Some(last) = row.attempts.last() else {
            return self.place(ctx, id, Attempt::new(1));
        };
        let (placed, next) = (last.placed(id), last.attempt.next());
        let has_succeeded =
            |placed: &PlacedTask| holding.reports.end(&placed.id) == Some(TaskPhase::Succeeded);
        if placed.iter().all(has_succeeded) {
            if holding.jobs.finished.insert(id.clone()) {
                ctx.trace(&format!("{id} is done after attempt {}", last.attempt));
            }
            holding.jobs.retry.insert(id.clone(), now.plus(RETRY));
            return ctx.send(NodeId::Store, Message::JobDone(id.clone()));
        }
        let is_stopped = |placed: &PlacedTask| {
            let is_unseen = || {
                !holding
                    .reports
                    .followers()
                    .any(|(id, _)| *id == placed.agent)
            };
            holding.reports.is_stopped(now, &holding.grants, placed)
                || (broken == Some(Broken::ReassignWait) && is_unseen())
        };
        let (stopped, running): (Vec<_>, Vec<_>) = placed.iter().partition(|p| is_stopped(p));
        if stopped.iter().all(|placed| has_succeeded(placed)) {
            return;
        }
        if running.is_empty() {
            return self.place(ctx, id, next);
        }
        holding.jobs.retry.insert(id.clone(), now.plus(RETRY));
        for placed in running {
            let task = TaskRef {
                job: id.clone(),
                attempt: placed.id.attempt,
                task: placed.id.task,
                token,
            };
            if let Ok(agent) = placed.agent.as_str().parse() {
                ctx.send(agent, Message::Stop(task));
            }
        }
    }

    /// Places an attempt on free agents, or waits.
    fn place(&mut self, ctx: &mut Ctx<'_>, id: &JobId, attempt: Attempt) {
        let now = ctx.now;
        let free = self.free_agents(now);
        let (Some(holding), Some(token)) = (&mut self.holding, self.duty.token()) else {
            return;
        };
        holding.jobs.retry.insert(id.clone(), now.plus(RETRY));
        let Some(row) = holding.jobs.rows.get_mut(id) else {
            return;
        };
        let wanted = usize::from(row.tasks);
        if free.len() < wanted {
            return;
        }
        let (members, tasks) = free.into_iter().take(wanted).unzip();
        let plan = GangPlan {
            job: id.clone(),
            team: "atelier".parse().expect("a valid team"),
            attempt,
            token,
            command: format!("{}ms", row.run.as_millis()),
            tasks,
        };
        row.attempts.push(AttemptRow {
            attempt,
            write: format!("{}-{token}-{now}", self.me),
            token,
            members,
        });
        let (start, effects) = GangStart::new(plan);
        holding.jobs.starts.insert(id.clone(), start);
        self.on_gang(ctx, id, effects);
    }

    /// Returns the agents that follow this holder, may start tasks and run none.
    fn free_agents(&self, now: Uptime) -> Vec<((AgentId, Incarnation), PlannedTask)> {
        let Some(Holding {
            grants,
            reports,
            jobs,
        }) = &self.holding
        else {
            return Vec::new();
        };
        let mut busy = reports.busy();
        for (id, row) in jobs.rows.iter().filter(|(_, row)| !row.is_done) {
            let placed = row.attempts.last().map(|last| last.placed(id));
            let running = placed.into_iter().flatten();
            let running = running.filter(|placed| !reports.is_stopped(now, grants, placed));
            busy.extend(running.map(|placed| placed.agent));
        }
        let free = reports.followers().filter_map(|(agent, incarnation)| {
            let is_serving = self.views.health(now, agent) == Some(AgentHealth::Serving);
            if !is_serving || busy.contains(agent) {
                return None;
            }
            let announcement = self.views.announcement(agent)?;
            let (zone_version, _) = self.rights.live(now, &announcement.zone)?;
            let task = PlannedTask {
                member: GangMember {
                    agent: agent.clone(),
                    address: announcement.address,
                },
                incarnation,
                accelerators: vec![0],
                zone_version,
            };
            Some(((agent.clone(), incarnation), task))
        });
        free.collect()
    }

    fn on_gang(&mut self, ctx: &mut Ctx<'_>, id: &JobId, effects: Vec<GangEffect>) {
        for effect in effects {
            let Some(holding) = &mut self.holding else {
                return;
            };
            let Some(row) = holding
                .jobs
                .rows
                .get(id)
                .and_then(|row| row.attempts.last())
            else {
                return;
            };
            let (row, attempt) = (row.clone(), row.attempt);
            match effect {
                GangEffect::CountAttempt => {
                    let question = Await::Attempt(id.clone(), row.write.clone());
                    self.ask(ctx, question, Message::CountAttempt(id.clone(), row));
                }
                GangEffect::ReadAttempt => self.read_attempt(ctx, id, &row.write),
                GangEffect::Reserve(to, reserve) => order(ctx, &to, Message::Reserve(reserve)),
                GangEffect::Go(to, go) => order(ctx, &to, Message::Go(go)),
                GangEffect::Stop(to, task) => order(ctx, &to, Message::Stop(task)),
                GangEffect::Started => {
                    ctx.trace(&format!("{id} attempt {attempt} runs"));
                    holding.jobs.starts.remove(id);
                }
                GangEffect::Failed(failure) => {
                    ctx.trace(&format!("{id} attempt {attempt} failed: {failure:?}"));
                    holding.jobs.retry.insert(id.clone(), ctx.now.plus(RETRY));
                    let start = holding.jobs.starts.remove(id);
                    if matches!(failure, GangFailure::DutyLost | GangFailure::NotCounted) {
                        // Whether the attempt was counted isn't known.
                        holding.jobs.reload(ctx.now);
                    }
                    if start.is_some_and(|start| !start.has_sent_go()) {
                        holding.reports.never_started(&row.placed(id));
                    }
                }
            }
        }
    }
}

fn order(ctx: &mut Ctx<'_>, to: &AgentId, message: Message) {
    if let Ok(to) = to.as_str().parse() {
        ctx.send(to, message);
    }
}
