//! The tasks of one agent: reservations, starts, stops and reports.

use std::collections::BTreeMap;
use std::time::Duration;

use cumindeck_types::message::{Reserve, StartTask, TaskAnswer, TaskPhase, TaskRef, TaskReport};
use cumindeck_types::{FencingToken, Uptime, ZoneVersion};

use crate::gang::{
    ExecutionRights, OrderId, RESERVATION_VALIDITY, START_TIMEOUT, TaskEffect, TaskEnd, TaskId,
};

/// Maximum number of tasks and unacknowledged reports of an agent.
const MAX_TASKS: usize = 1024;
/// Retention of a stop for a task whose reservation has not arrived yet.
///
/// No order is in flight for so long; the attempt of a reservation that arrives even
/// later has ended.
const EARLY_STOP_RETENTION: Duration = Duration::from_secs(60);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Preparing,
    Ready,
    Starting {
        not_after: Uptime,
    },
    Running,
    /// A stop was sent; the accelerators are in use until it is confirmed.
    Stopping,
    Ended(TaskPhase),
}

#[derive(Debug, Clone)]
struct Task {
    token: FencingToken,
    zone_version: ZoneVersion,
    accelerators: Vec<u32>,
    reserved_until: Uptime,
    stage: Stage,
    /// The order whose reply waits for the worker.
    order: Option<OrderId>,
    detail: String,
    ended: Option<Uptime>,
    /// Whether the leader has replied to an announcement with the task's end.
    is_delivered: bool,
}

impl Task {
    const fn phase(&self) -> TaskPhase {
        match self.stage {
            Stage::Preparing => TaskPhase::Reserved,
            Stage::Ready | Stage::Starting { .. } => TaskPhase::Ready,
            // Whether a task process that is being stopped still runs is unknown.
            Stage::Running | Stage::Stopping => TaskPhase::Running,
            Stage::Ended(phase) => phase,
        }
    }
}

/// The tasks of one agent.
#[derive(Debug, Clone, Default)]
pub struct TaskTable {
    tasks: BTreeMap<TaskId, Task>,
    early_stops: BTreeMap<TaskId, Uptime>,
}

impl TaskTable {
    /// Handles a reservation order; its reply is sent when the task is ready.
    pub fn reserve(
        &mut self,
        now: Uptime,
        execution_rights: &ExecutionRights<'_>,
        order: OrderId,
        reserve: &Reserve,
    ) -> Vec<TaskEffect> {
        let id = TaskId::from(&reserve.task);
        if let Err(reply) = self.check_reserve(now, execution_rights, &id, reserve) {
            return vec![TaskEffect::Answer(order, reply)];
        }
        let task = Task {
            token: reserve.task.token,
            zone_version: reserve.zone_version,
            accelerators: reserve.accelerators.clone(),
            reserved_until: now.plus(reserve.remaining.as_duration().min(RESERVATION_VALIDITY)),
            stage: Stage::Preparing,
            order: Some(order),
            detail: String::new(),
            ended: None,
            is_delivered: false,
        };
        self.tasks.insert(id.clone(), task);
        vec![TaskEffect::Prepare(id, reserve.clone())]
    }

    /// Handles the worker's result of preparing a task.
    pub fn on_prepared(&mut self, now: Uptime, id: &TaskId, is_ok: bool) -> Vec<TaskEffect> {
        let Some(task) = self.tasks.get_mut(id) else {
            return Vec::new();
        };
        if task.stage != Stage::Preparing {
            return Vec::new();
        }
        if !is_ok || now >= task.reserved_until {
            let reply = if is_ok {
                TaskAnswer::Expired
            } else {
                TaskAnswer::Failed
            };
            return stop(id, task, reply, "not prepared in time");
        }
        task.stage = Stage::Ready;
        reply(task, TaskAnswer::Done)
    }

    /// Handles a start order; its reply is sent when the task process runs.
    pub fn start(
        &mut self,
        now: Uptime,
        execution_rights: &ExecutionRights<'_>,
        order: OrderId,
        start: &StartTask,
    ) -> Vec<TaskEffect> {
        let id = TaskId::from(&start.task);
        let Some(task) = self.tasks.get_mut(&id) else {
            return vec![TaskEffect::Answer(order, TaskAnswer::UnknownTask)];
        };
        let expires = match check_start(now, execution_rights, task, start) {
            Ok(expires) => expires,
            Err(refusal) => return vec![TaskEffect::Answer(order, refusal)],
        };
        let limit = start.remaining.as_duration().min(START_TIMEOUT);
        let not_after = expires.min(now.plus(limit));
        task.stage = Stage::Starting { not_after };
        task.zone_version = start.zone_version;
        task.order = Some(order);
        vec![TaskEffect::Run {
            id,
            not_after,
            members: start.members.clone(),
        }]
    }

    /// Checks the rights to start again when the start is performed;
    /// a refusal ends the task.
    pub fn may_run(
        &mut self,
        now: Uptime,
        execution_rights: &ExecutionRights<'_>,
        id: &TaskId,
    ) -> Result<(), Vec<TaskEffect>> {
        let Some(task) = self.tasks.get_mut(id) else {
            return Err(Vec::new());
        };
        let Stage::Starting { not_after } = task.stage else {
            return Err(Vec::new());
        };
        let refusal = match execution_rights.check(now, task.token, task.zone_version) {
            Err(refusal) => refusal,
            Ok(_) if now >= not_after => TaskAnswer::Expired,
            Ok(_) => return Ok(()),
        };
        Err(stop(id, task, refusal, "the right to start ended"))
    }

    /// Handles the worker's result of starting the task process.
    pub fn on_started(&mut self, id: &TaskId, is_ok: bool) -> Vec<TaskEffect> {
        let Some(task) = self.tasks.get_mut(id) else {
            return Vec::new();
        };
        if !matches!(task.stage, Stage::Starting { .. }) {
            return Vec::new();
        }
        if !is_ok {
            return stop(
                id,
                task,
                TaskAnswer::Failed,
                "the worker did not start the task",
            );
        }
        task.stage = Stage::Running;
        reply(task, TaskAnswer::Done)
    }

    /// Handles a stop order; if the leader has received the
    /// task's end, removes the task.
    ///
    /// An order that crosses the report of the end must not remove the task, or the
    /// leader would never learn how it ended.
    pub fn stop(
        &mut self,
        now: Uptime,
        execution_rights: &ExecutionRights<'_>,
        order: OrderId,
        task: &TaskRef,
    ) -> Vec<TaskEffect> {
        if task.token < execution_rights.lease.token() {
            return vec![TaskEffect::Answer(order, TaskAnswer::StaleToken)];
        }
        let id = TaskId::from(task);
        let mut effects = vec![TaskEffect::Answer(order, TaskAnswer::Done)];
        match self.tasks.get_mut(&id) {
            // The stop may have arrived before the reservation.
            None if self.early_stops.len() < MAX_TASKS => {
                self.early_stops.insert(id, now.plus(EARLY_STOP_RETENTION));
            }
            None => {}
            Some(held) if held.phase().is_final() && held.is_delivered => {
                self.tasks.remove(&id);
                self.early_stops.insert(id, now.plus(EARLY_STOP_RETENTION));
            }
            Some(held) if held.phase().is_final() => {}
            Some(held) => effects.extend(stop(&id, held, TaskAnswer::Expired, "stopped by order")),
        }
        effects
    }

    /// Handles a checkpoint order.
    pub fn checkpoint(
        &self,
        execution_rights: &ExecutionRights<'_>,
        order: OrderId,
        task: &TaskRef,
    ) -> Vec<TaskEffect> {
        let id = TaskId::from(task);
        let reply = match self.tasks.get(&id) {
            _ if task.token < execution_rights.lease.token() => TaskAnswer::StaleToken,
            Some(held) if held.stage == Stage::Running => {
                return vec![
                    TaskEffect::Answer(order, TaskAnswer::Done),
                    TaskEffect::Checkpoint(id),
                ];
            }
            _ => TaskAnswer::UnknownTask,
        };
        vec![TaskEffect::Answer(order, reply)]
    }

    /// Stops one task without an order, for example because a
    /// member of its gang was lost.
    pub fn stop_local(&mut self, id: &TaskId, detail: &str) -> Vec<TaskEffect> {
        let Some(task) = self.tasks.get_mut(id) else {
            return Vec::new();
        };
        if task.phase().is_final() {
            return Vec::new();
        }
        stop(id, task, TaskAnswer::Failed, detail)
    }

    /// Handles the end of a task at the worker.
    pub fn on_ended(&mut self, now: Uptime, id: &TaskId, end: TaskEnd) -> Vec<TaskEffect> {
        let Some(task) = self.tasks.get_mut(id) else {
            return Vec::new();
        };
        let (phase, detail) = match end {
            TaskEnd::Succeeded => (TaskPhase::Succeeded, None),
            TaskEnd::Failed(detail) => (TaskPhase::Failed, Some(detail)),
            TaskEnd::Stopped => (TaskPhase::Stopped, None),
        };
        task.stage = Stage::Ended(phase);
        task.ended = Some(now);
        task.detail = detail.unwrap_or_else(|| std::mem::take(&mut task.detail));
        reply(task, TaskAnswer::Failed)
    }

    /// Records that the leader has replied to an announcement that was sent at `sent_at`
    /// and contained the leader's own token.
    pub fn on_reports_acknowledged(&mut self, sent_at: Uptime) {
        for task in self.tasks.values_mut() {
            task.is_delivered |= task.ended.is_some_and(|ended| ended < sent_at);
        }
    }

    /// Records that the lease has a new token, whose leader has no reports yet.
    pub fn on_new_token(&mut self) {
        for task in self.tasks.values_mut() {
            task.is_delivered = false;
        }
    }

    /// Ends tasks whose lease, reservation or start has expired;
    /// called after each wake-up.
    pub fn tick(&mut self, now: Uptime, execution_rights: &ExecutionRights<'_>) -> Vec<TaskEffect> {
        self.early_stops.retain(|_, until| now < *until);
        let is_live = execution_rights.lease.is_live(now);
        let mut effects = Vec::new();
        for (id, task) in &mut self.tasks {
            let is_stale = task.token < execution_rights.lease.token();
            let reason = match task.stage {
                Stage::Stopping | Stage::Ended(_) => None,
                _ if !is_live => Some((TaskAnswer::NoLease, "the lease ended")),
                Stage::Running => None,
                _ if is_stale => Some((
                    TaskAnswer::StaleToken,
                    "leadership passed to another leader",
                )),
                Stage::Preparing | Stage::Ready => (now >= task.reserved_until)
                    .then_some((TaskAnswer::Expired, "the reservation ended")),
                // The worker has as long again to report the start.
                Stage::Starting { not_after } => (now >= not_after.plus(START_TIMEOUT))
                    .then_some((TaskAnswer::Expired, "the worker did not report a start")),
            };
            if let Some((reply, detail)) = reason {
                effects.extend(stop(id, task, reply, detail));
            }
        }
        effects
    }

    /// Returns when [`TaskTable::tick`] is due next.
    #[must_use]
    pub fn next_wakeup(&self, execution_rights: &ExecutionRights<'_>) -> Option<Uptime> {
        let wakeups = self.tasks.values().filter_map(|task| match task.stage {
            Stage::Preparing | Stage::Ready => Some(task.reserved_until),
            Stage::Starting { not_after } => Some(not_after.plus(START_TIMEOUT)),
            Stage::Running => Some(execution_rights.lease.expires()),
            Stage::Stopping | Stage::Ended(_) => None,
        });
        wakeups.min()
    }

    /// Returns the reports for the next announcement.
    #[must_use]
    pub fn reports(&self) -> Vec<TaskReport> {
        let reports = self.tasks.iter().map(|(id, task)| TaskReport {
            job: id.job.clone(),
            attempt: id.attempt,
            task: id.task,
            phase: task.phase(),
            detail: task.detail.clone(),
        });
        reports.collect()
    }

    /// Returns whether the agent runs or may run a task process.
    #[must_use]
    pub fn has_tasks(&self) -> bool {
        self.tasks.values().any(|task| !task.phase().is_final())
    }

    fn check_reserve(
        &self,
        now: Uptime,
        execution_rights: &ExecutionRights<'_>,
        id: &TaskId,
        reserve: &Reserve,
    ) -> Result<(), TaskAnswer> {
        execution_rights.check(now, reserve.task.token, reserve.zone_version)?;
        if reserve.remaining.is_expired() || self.early_stops.contains_key(id) {
            return Err(TaskAnswer::Expired);
        }
        let is_taken = |task: &Task| {
            let mut wanted = reserve.accelerators.iter();
            !task.phase().is_final() && wanted.any(|i| task.accelerators.contains(i))
        };
        let is_full = self.tasks.len() >= MAX_TASKS || self.tasks.contains_key(id);
        if is_full || self.tasks.values().any(is_taken) {
            return Err(TaskAnswer::NoRoom);
        }
        Ok(())
    }
}

/// Checks a start order; returns the expiry of the rights under which the task may run.
fn check_start(
    now: Uptime,
    execution_rights: &ExecutionRights<'_>,
    task: &Task,
    start: &StartTask,
) -> Result<Uptime, TaskAnswer> {
    let expires = execution_rights.check(now, start.task.token, start.zone_version)?;
    if task.token != start.task.token {
        return Err(TaskAnswer::StaleToken);
    }
    if task.stage != Stage::Ready {
        return Err(TaskAnswer::UnknownTask);
    }
    if now >= task.reserved_until || start.remaining.is_expired() {
        return Err(TaskAnswer::Expired);
    }
    Ok(expires)
}

/// Stops a task at the worker and replies to the order that waits for it.
fn stop(id: &TaskId, task: &mut Task, refusal: TaskAnswer, detail: &str) -> Vec<TaskEffect> {
    let mut effects = reply(task, refusal);
    if task.stage != Stage::Stopping {
        task.stage = Stage::Stopping;
        detail.clone_into(&mut task.detail);
    }
    effects.push(TaskEffect::Stop(id.clone()));
    effects
}

fn reply(task: &mut Task, reply: TaskAnswer) -> Vec<TaskEffect> {
    let order = task.order.take();
    order
        .map(|order| TaskEffect::Answer(order, reply))
        .into_iter()
        .collect()
}
