//! The jobs of a leader: which attempts to start, stop or place again.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cumindeck_control::gang::{
    GangEffect, GangFailure, GangPlan, GangStart, PlacedTask, PlannedTask, StoredAttempt,
};
use cumindeck_control::membership::AgentHealth;
use cumindeck_control::store::WriteOutcome;
use cumindeck_types::message::{GangMember, TaskAnswer, TaskPhase, TaskRef, TaskReport};
use cumindeck_types::{AgentId, Attempt, Incarnation, JobId, Uptime};

use crate::entry::{Entry, LeaderState, PendingRequest};
use crate::message::{Message, NodeId, Order};
use crate::safeguard::Safeguard;
use crate::simulation::Ctx;
use crate::store::{AttemptRow, JobRow};

/// Time between two orders or attempts for a job.
const RETRY: Duration = Duration::from_secs(1);

/// The jobs as the leader knows them.
pub(crate) struct LeaderJobs {
    /// Time of acquiring leadership or of the last reload; reads that were sent earlier
    /// are not applied.
    acquired: Uptime,
    is_loaded: bool,
    rows: BTreeMap<JobId, JobRow>,
    starts: BTreeMap<JobId, GangStart>,
    retry: BTreeMap<JobId, Uptime>,
    /// Jobs that have succeeded, which the store may not know yet.
    finished: BTreeSet<JobId>,
}

impl LeaderJobs {
    /// Starts without jobs when leadership was acquired at `acquired`.
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

    /// Discards the rows, so that only a read sent from now on is applied.
    fn reload(&mut self, now: Uptime) {
        self.acquired = now;
        self.is_loaded = false;
        self.rows.retain(|id, _| self.starts.contains_key(id));
    }

    /// Applies the jobs from a read sent at `sent_at`; keeps the known row of a job if
    /// the read has fewer attempts of it.
    pub(crate) fn load(&mut self, sent_at: Uptime, jobs: &BTreeMap<JobId, JobRow>) {
        if sent_at < self.acquired {
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
    /// Advances starts and decides about jobs that aren't being started.
    pub(crate) fn tick_jobs(&mut self, ctx: &mut Ctx<'_>) {
        let now = ctx.now;
        let may_act = self.leader_lease.may_act(now);
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let starts = leader_state.jobs.starts.iter_mut();
        let ticked: Vec<_> = starts
            .map(|(id, start)| (id.clone(), start.tick(now)))
            .collect();
        let rows = &leader_state.jobs.rows;
        let idle = rows.iter().filter(|(id, row)| {
            let is_due = leader_state.jobs.retry.get(*id).is_none_or(|at| now >= *at);
            !row.is_done && is_due && !leader_state.jobs.starts.contains_key(*id)
        });
        let idle: Vec<_> = idle.map(|(id, _)| id.clone()).collect();
        let is_loaded = leader_state.jobs.is_loaded;
        for (id, effects) in ticked {
            self.perform_gang_effects(ctx, &id, effects);
        }
        if may_act && is_loaded {
            for id in idle {
                self.place_or_stop(ctx, &id);
            }
        }
    }

    /// Handles the outcome of the write that records an attempt.
    pub(crate) fn on_attempt_recorded(
        &mut self,
        ctx: &mut Ctx<'_>,
        id: &JobId,
        write: &str,
        outcome: WriteOutcome,
    ) {
        // A late reply to an earlier attempt's write shows nothing about this attempt.
        if self.last_attempt(id).is_none_or(|own| own.write != write) {
            return;
        }
        let (now, may_act) = (ctx.now, self.leader_lease.may_act(ctx.now));
        let effects = self.with_start(id, |start| start.on_attempt_written(now, may_act, outcome));
        self.perform_gang_effects(ctx, id, effects);
    }

    /// Handles the write id that an attempt's row holds, read after the write `write`.
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
        let (now, may_act) = (ctx.now, self.leader_lease.may_act(ctx.now));
        let stored = match stored {
            None => StoredAttempt::Absent,
            Some(stored) if stored == write => StoredAttempt::Own,
            Some(_) => StoredAttempt::Other,
        };
        let effects = self.with_start(id, |start| start.on_attempt_read(now, may_act, stored));
        self.perform_gang_effects(ctx, id, effects);
    }

    /// Reads the row of the attempt that was written as `write`.
    pub(crate) fn read_attempt(&mut self, ctx: &mut Ctx<'_>, id: &JobId, write: &str) {
        let own = self.last_attempt(id).filter(|own| own.write == write);
        if let Some(attempt) = own.map(|own| own.attempt) {
            let read = Message::ReadAttempt(id.clone(), attempt, write.to_owned());
            self.send_to_store(
                ctx,
                PendingRequest::AttemptRead(id.clone(), write.to_owned()),
                read,
            );
        }
    }

    /// Handles an agent's reply to an order.
    pub(crate) fn on_order_reply(
        &mut self,
        ctx: &mut Ctx<'_>,
        order: Order,
        task: &TaskRef,
        reply: TaskAnswer,
    ) {
        let (now, may_act) = (ctx.now, self.leader_lease.may_act(ctx.now));
        let effects = self.with_start(&task.job, |start| {
            let plan = start.plan();
            if (plan.attempt, plan.token) != (task.attempt, task.token) {
                return Vec::new();
            }
            match order {
                Order::Reserve => start.on_reserve_reply(now, may_act, task.task, reply),
                Order::Go => start.on_start_reply(now, task.task, reply),
                Order::Stop => Vec::new(),
            }
        });
        self.perform_gang_effects(ctx, &task.job, effects);
    }

    /// Fails the starts that involve an earlier incarnation of an agent.
    pub(crate) fn on_incarnation(
        &mut self,
        ctx: &mut Ctx<'_>,
        agent: &AgentId,
        incarnation: Incarnation,
    ) {
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let starts = leader_state.jobs.starts.iter_mut();
        let ended: Vec<_> = starts
            .map(|(id, start)| (id.clone(), start.on_incarnation(agent, incarnation)))
            .collect();
        for (id, effects) in ended {
            self.perform_gang_effects(ctx, &id, effects);
        }
    }

    /// Acknowledges final reports of superseded attempts and of jobs that are done.
    pub(crate) fn acknowledge(&self, ctx: &mut Ctx<'_>, from: NodeId, reports: &[TaskReport]) {
        let Some(leader_state) = self
            .leader_state
            .as_ref()
            .filter(|_| self.leader_lease.may_act(ctx.now))
        else {
            return;
        };
        let Some(token) = self.leader_lease.token() else {
            return;
        };
        for report in reports.iter().filter(|report| report.phase.is_final()) {
            let is_over = leader_state.jobs.rows.get(&report.job).is_some_and(|row| {
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
        self.leader_state
            .as_ref()?
            .jobs
            .rows
            .get(id)?
            .attempts
            .last()
    }

    fn with_start(
        &mut self,
        id: &JobId,
        run: impl FnOnce(&mut GangStart) -> Vec<GangEffect>,
    ) -> Vec<GangEffect> {
        let start = self
            .leader_state
            .as_mut()
            .and_then(|h| h.jobs.starts.get_mut(id));
        start.map(run).unwrap_or_default()
    }

    /// Places a new attempt of a job that isn't being started, or stops its current one.
    fn place_or_stop(&mut self, ctx: &mut Ctx<'_>, id: &JobId) {
        let (now, disabled) = (ctx.now, self.disabled);
        let (Some(leader_state), Some(token)) = (&mut self.leader_state, self.leader_lease.token())
        else {
            return;
        };
        let Some(row) = leader_state.jobs.rows.get(id) else {
            return;
        };
        let Some(last) = row.attempts.last() else {
            return self.place_attempt(ctx, id, Attempt::new(1));
        };
        let (placed, next) = (last.placed(id), last.attempt.next());
        let has_succeeded = |placed: &PlacedTask| {
            leader_state.reports.end(&placed.id) == Some(TaskPhase::Succeeded)
        };
        if placed.iter().all(has_succeeded) {
            if leader_state.jobs.finished.insert(id.clone()) {
                ctx.trace(&format!("{id} is done after attempt {}", last.attempt));
            }
            leader_state.jobs.retry.insert(id.clone(), now.plus(RETRY));
            return ctx.send(NodeId::Store, Message::JobDone(id.clone()));
        }
        let is_stopped = |placed: &PlacedTask| {
            let is_unseen = || {
                !leader_state
                    .reports
                    .confirmed_agents()
                    .any(|(id, _)| *id == placed.agent)
            };
            leader_state
                .reports
                .is_stopped(now, &leader_state.grants, placed)
                || (disabled == Some(Safeguard::ReassignWait) && is_unseen())
        };
        let (stopped, running): (Vec<_>, Vec<_>) = placed.iter().partition(|p| is_stopped(p));
        if stopped.iter().all(|placed| has_succeeded(placed)) {
            return;
        }
        if running.is_empty() {
            return self.place_attempt(ctx, id, next);
        }
        leader_state.jobs.retry.insert(id.clone(), now.plus(RETRY));
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

    /// Places an attempt on free agents; does nothing if there are too few.
    fn place_attempt(&mut self, ctx: &mut Ctx<'_>, id: &JobId, attempt: Attempt) {
        let now = ctx.now;
        let free = self.free_agents(now);
        let (Some(leader_state), Some(token)) = (&mut self.leader_state, self.leader_lease.token())
        else {
            return;
        };
        leader_state.jobs.retry.insert(id.clone(), now.plus(RETRY));
        let Some(row) = leader_state.jobs.rows.get_mut(id) else {
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
        leader_state.jobs.starts.insert(id.clone(), start);
        self.perform_gang_effects(ctx, id, effects);
    }

    /// Returns the agents that have confirmed this leader, may start tasks and run none.
    fn free_agents(&self, now: Uptime) -> Vec<((AgentId, Incarnation), PlannedTask)> {
        let Some(LeaderState {
            grants,
            reports,
            jobs,
        }) = &self.leader_state
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
        let free = reports
            .confirmed_agents()
            .filter_map(|(agent, incarnation)| {
                let is_serving = self.agents.health(now, agent) == Some(AgentHealth::Serving);
                if !is_serving || busy.contains(agent) {
                    return None;
                }
                let announcement = self.agents.announcement(agent)?;
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

    fn perform_gang_effects(&mut self, ctx: &mut Ctx<'_>, id: &JobId, effects: Vec<GangEffect>) {
        for effect in effects {
            let Some(leader_state) = &mut self.leader_state else {
                return;
            };
            let Some(row) = leader_state
                .jobs
                .rows
                .get(id)
                .and_then(|row| row.attempts.last())
            else {
                return;
            };
            let (row, attempt) = (row.clone(), row.attempt);
            match effect {
                GangEffect::RecordAttempt => {
                    let request = PendingRequest::Attempt(id.clone(), row.write.clone());
                    self.send_to_store(ctx, request, Message::RecordAttempt(id.clone(), row));
                }
                GangEffect::ReadAttempt => self.read_attempt(ctx, id, &row.write),
                GangEffect::Reserve(to, reserve) => order(ctx, &to, Message::Reserve(reserve)),
                GangEffect::StartTask(to, go) => order(ctx, &to, Message::StartTask(go)),
                GangEffect::Stop(to, task) => order(ctx, &to, Message::Stop(task)),
                GangEffect::Started => {
                    ctx.trace(&format!("{id} attempt {attempt} runs"));
                    leader_state.jobs.starts.remove(id);
                }
                GangEffect::Failed(failure) => {
                    ctx.trace(&format!("{id} attempt {attempt} failed: {failure:?}"));
                    leader_state
                        .jobs
                        .retry
                        .insert(id.clone(), ctx.now.plus(RETRY));
                    let start = leader_state.jobs.starts.remove(id);
                    if matches!(failure, GangFailure::DutyLost | GangFailure::NotCounted) {
                        // It isn't known whether the attempt was recorded.
                        leader_state.jobs.reload(ctx.now);
                    }
                    if start.is_some_and(|start| !start.has_sent_start()) {
                        leader_state.reports.record_never_started(&row.placed(id));
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
