//! Carries out placement decisions: starts, stops and ends of gangs.

use std::collections::VecDeque;

use cumindeck_api::JobState;
use cumindeck_control::gang::{GangEffect, GangPlan, GangStart, PlannedTask, StoredAttempt};
use cumindeck_control::leader::LeaderLease;
use cumindeck_control::store::{RowVersion, WriteOutcome};
use cumindeck_placement::{Effect, Event, RefusalReason, TaskOutcome, TaskPlacement};
use cumindeck_types::message::{GangMember, TaskRef};
use cumindeck_types::{Attempt, FencingToken, JobId};

use super::active::{ActiveRegion, task_order};
use super::attempt::TrackedAttempt;
use super::start_limiter::QueuedStart;
use super::{OrderKind, OrderTag, RegionCommit, RegionCx, RegionEffect, RegionRead};
use crate::event::{Notice, Order, RowAction, RowCondition, RowWrite};
use crate::leader_rows::check_token;
use crate::rows::{AttemptRow, AttemptTask, RowKey, RowRange, RowValue, StoredRow};

/// Message of a job that was cancelled.
pub(super) const CANCELLED: &str = "cancelled by an operator";

/// Version and value of the row of the fencing token; `None` until the row is read. Each
/// commit about a job requires this version.
pub(crate) type TokenRow = Option<(RowVersion, FencingToken)>;

impl ActiveRegion {
    /// Passes events to the placement and carries out its effects until no event is left.
    pub fn run_placement(
        &mut self,
        cx: RegionCx<'_>,
        leader_lease: &LeaderLease,
        token_row: TokenRow,
        mut events: VecDeque<Event>,
        out: &mut Vec<RegionEffect>,
    ) {
        // Most announcements lead to no events. The stops that become due later are
        // sent by the tick.
        if events.is_empty() {
            return;
        }
        while !events.is_empty() {
            let effects = self
                .placement
                .step_batch(cx.now, events.drain(..).collect::<Vec<_>>());
            for effect in effects {
                self.placement_effect(cx, leader_lease, token_row, effect, &mut events, out);
            }
        }
        self.send_due_stops(cx, leader_lease, out);
    }

    /// Advances the gangs that are starting.
    pub fn tick_gangs(
        &mut self,
        cx: RegionCx<'_>,
        leader_lease: &LeaderLease,
        token_row: TokenRow,
        out: &mut Vec<RegionEffect>,
    ) {
        let mut due = Vec::new();
        for (job, tracked) in self.registry.attempts_mut() {
            if let Some(start) = &mut tracked.start {
                let effects = start.tick(cx.now);
                if !effects.is_empty() {
                    due.push((job.clone(), tracked.row.attempt, effects));
                }
            }
        }
        for (job, attempt, effects) in due {
            self.gang_effects(cx, leader_lease, token_row, &job, attempt, effects, out);
        }
    }

    /// Handles the outcome of the write that records an attempt.
    #[allow(clippy::too_many_arguments)]
    pub fn on_attempt_recorded(
        &mut self,
        cx: RegionCx<'_>,
        leader_lease: &LeaderLease,
        token_row: TokenRow,
        job: &JobId,
        attempt: Attempt,
        outcome: WriteOutcome,
        out: &mut Vec<RegionEffect>,
    ) {
        let may_act = leader_lease.may_act(cx.now);
        let Some(tracked) = self.registry.attempt_mut(job, attempt) else {
            return;
        };
        if let WriteOutcome::Done(version) = outcome {
            tracked.row_version = Some(version);
        }
        let Some(start) = &mut tracked.start else {
            return;
        };
        let effects = start.on_attempt_written(cx.now, may_act, outcome);
        self.gang_effects(cx, leader_lease, token_row, job, attempt, effects, out);
    }

    /// Handles the stored row of an attempt whose write had an unknown outcome.
    #[allow(clippy::too_many_arguments)]
    pub fn on_attempt_read(
        &mut self,
        cx: RegionCx<'_>,
        leader_lease: &LeaderLease,
        token_row: TokenRow,
        job: &JobId,
        attempt: Attempt,
        rows: Option<&[StoredRow]>,
        out: &mut Vec<RegionEffect>,
    ) {
        let may_act = leader_lease.may_act(cx.now);
        let Some(tracked) = self.registry.attempt_mut(job, attempt) else {
            return;
        };
        let Some(start) = &mut tracked.start else {
            return;
        };
        let effects = match rows.map(|rows| stored_attempt(rows, &tracked.row)) {
            // The read failed: it is repeated until the leader lease expires.
            None if may_act => vec![GangEffect::ReadAttempt],
            stored => {
                start.on_attempt_read(cx.now, may_act, stored.unwrap_or(StoredAttempt::Absent))
            }
        };
        self.gang_effects(cx, leader_lease, token_row, job, attempt, effects, out);
    }

    /// Carries out the effects of a gang's start.
    #[allow(clippy::too_many_arguments)]
    pub fn gang_effects(
        &mut self,
        cx: RegionCx<'_>,
        leader_lease: &LeaderLease,
        token_row: TokenRow,
        job: &JobId,
        attempt: Attempt,
        effects: Vec<GangEffect>,
        out: &mut Vec<RegionEffect>,
    ) {
        let mut events = VecDeque::new();
        for effect in effects {
            match effect {
                GangEffect::RecordAttempt => self.record_attempt(token_row, job, out),
                GangEffect::ReadAttempt => {
                    let key = RowKey::Attempt(self.region.clone(), job.clone());
                    let read = RegionRead::Attempt(job.clone(), attempt);
                    out.push(RegionEffect::Read(read, vec![RowRange::Row(key)]));
                }
                GangEffect::Reserve(agent, order) => {
                    let tag = order_tag(&order.task, OrderKind::Reserve);
                    out.push(RegionEffect::Order(tag, agent, Order::Reserve(order)));
                }
                GangEffect::StartTask(agent, order) => {
                    if let Some(tracked) = self.registry.attempt_mut(job, attempt) {
                        tracked.is_start_sent = true;
                    }
                    let tag = order_tag(&order.task, OrderKind::StartTask);
                    out.push(RegionEffect::Order(tag, agent, Order::StartTask(order)));
                }
                GangEffect::Stop(agent, task) => out.push(task_order(task, &agent, Order::Stop)),
                GangEffect::Started => {
                    self.started(token_row, job, attempt, out);
                    events.push_back(Event::GangRunning(job.clone(), attempt));
                }
                GangEffect::Failed(failure) => self.start_failed(cx, job, attempt, failure, out),
            }
        }
        if !events.is_empty() {
            self.run_placement(cx, leader_lease, token_row, events, out);
        }
    }

    /// Starts the gangs that the start rate allows.
    pub fn start_next_gangs(
        &mut self,
        cx: RegionCx<'_>,
        leader_lease: &LeaderLease,
        token_row: TokenRow,
        out: &mut Vec<RegionEffect>,
    ) {
        while let Some(next) = self.start_limiter.pop(cx.now, cx.settings.jobs.start_rate) {
            let QueuedStart {
                job,
                attempt,
                placement,
                is_borrowed,
                ..
            } = next;
            let plan = self.plan(cx, leader_lease, &job, attempt, &placement, is_borrowed);
            let Some((plan, row)) = plan else {
                self.defer_start_failure(cx.now, &job, attempt);
                continue;
            };
            let (start, effects) = GangStart::new(plan);
            if let Some(tracked) = self.registry.get_mut(&job) {
                tracked.row.attempt = attempt;
                tracked.row.state = JobState::Starting;
            }
            self.registry
                .set_attempt(&job, TrackedAttempt::new(row, Some(start)));
            self.gang_effects(cx, leader_lease, token_row, &job, attempt, effects, out);
        }
    }

    fn placement_effect(
        &mut self,
        cx: RegionCx<'_>,
        leader_lease: &LeaderLease,
        token_row: TokenRow,
        effect: Effect,
        events: &mut VecDeque<Event>,
        out: &mut Vec<RegionEffect>,
    ) {
        match effect {
            Effect::Start {
                job,
                attempt,
                placement,
                is_borrowed,
            } => {
                let is_urgent = self
                    .registry
                    .get(&job)
                    .is_some_and(|tracked| tracked.row.spec.urgent);
                let start = QueuedStart {
                    job,
                    attempt,
                    placement,
                    is_borrowed,
                    is_urgent,
                };
                self.start_limiter.push(start);
                self.start_next_gangs(cx, leader_lease, token_row, out);
            }
            Effect::Checkpoint(job, attempt) => {
                let token = leader_lease.token().unwrap_or_default();
                let Some(tracked) = self.registry.attempt_mut(&job, attempt) else {
                    return;
                };
                for (agent, task) in tracked.live_refs(&job, token) {
                    out.push(task_order(task, &agent, Order::Checkpoint));
                }
            }
            Effect::Stop(job, attempt, reason) => {
                if self.start_limiter.remove(&job, attempt) {
                    self.defer_start_failure(cx.now, &job, attempt);
                    return;
                }
                let Some(tracked) = self.registry.attempt_mut(&job, attempt) else {
                    return;
                };
                tracked.is_stopping = true;
                if tracked.detail.is_empty() {
                    tracked.detail = format!("stopped: {reason:?}");
                }
                let effects = tracked
                    .start
                    .as_mut()
                    .map(GangStart::cancel)
                    .unwrap_or_default();
                self.gang_effects(cx, leader_lease, token_row, &job, attempt, effects, out);
            }
            // An accepted job waits for workers that are not available now.
            Effect::Refuse(job, refusal)
                if !self.accepting.contains_key(&job) && may_fit_later(refusal.reason) =>
            {
                let Some(tracked) = self.registry.get_mut(&job) else {
                    return;
                };
                if tracked.row.is_cancelled {
                    self.record_end(token_row, &job, JobState::Cancelled, CANCELLED, out);
                    return;
                }
                tracked.message = format!("waits for workers: {refusal}");
                self.awaiting_workers.insert(job);
            }
            Effect::Refuse(job, refusal) => {
                let message = refusal.to_string();
                self.reply_infeasible(&job, &message, refusal.nearest.as_ref(), out);
                self.record_end(token_row, &job, JobState::Failed, &message, out);
            }
            Effect::Requeued(job, attempt) => self.requeued(cx, &job, attempt, events),
            Effect::Ended(job, outcome) => {
                let (state, message) = self.final_state(&job, outcome);
                self.record_end(token_row, &job, state, &message, out);
            }
            Effect::Quarantine(worker, jobs) => {
                self.quarantined.push(worker.clone());
                out.push(RegionEffect::Notice(Notice::WorkerQuarantined {
                    worker,
                    jobs,
                }));
            }
            Effect::GuaranteesShort(shortages) => {
                let teams = shortages
                    .into_iter()
                    .map(|s| (s.team, s.accelerators))
                    .collect();
                let region = self.region.clone();
                out.push(RegionEffect::Notice(Notice::GuaranteesShort {
                    region,
                    teams,
                }));
            }
        }
    }

    /// Builds the plan and the row of an attempt; `None` if a task may not start now.
    fn plan(
        &self,
        cx: RegionCx<'_>,
        leader_lease: &LeaderLease,
        job: &JobId,
        attempt: Attempt,
        placement: &[TaskPlacement],
        is_borrowed: bool,
    ) -> Option<(GangPlan, AttemptRow)> {
        let tracked = self.registry.get(job)?;
        if !leader_lease.may_act(cx.now) {
            return None;
        }
        let token = leader_lease.token()?;
        let (mut planned, mut tasks) = (Vec::new(), Vec::new());
        for task in placement {
            let worker = self.workers.get(&task.worker)?;
            let announcement = cx.views.announcement(&worker.agent)?;
            let (zone_version, _) = cx.polled.rights.live(cx.now, &worker.spec.zone)?;
            let accelerators: Vec<u32> = task.accelerators.indices().collect();
            let address = announcement.address;
            planned.push(PlannedTask {
                incarnation: announcement.incarnation,
                member: GangMember {
                    agent: worker.agent.clone(),
                    address,
                },
                accelerators: accelerators.clone(),
                zone_version,
            });
            tasks.push(AttemptTask {
                agent: worker.agent.clone(),
                incarnation: announcement.incarnation,
                worker: task.worker.clone(),
                rack: worker.spec.rack.clone(),
                zone: worker.spec.zone.clone(),
                worker_accelerators: u32::from(worker.spec.accelerators),
                accelerators,
                cell: task.cell.map(|cell| (cell.level.to_string(), cell.ordinal)),
            });
        }
        let plan = GangPlan {
            job: job.clone(),
            team: tracked.row.spec.team.clone(),
            attempt,
            token,
            command: tracked.row.spec.command.join(" "),
            tasks: planned,
        };
        let started_ms = u64::try_from(cx.wall.as_millis()).unwrap_or(u64::MAX);
        let row = AttemptRow {
            attempt,
            token,
            is_borrowed,
            started_ms,
            tasks,
        };
        Some((plan, row))
    }

    fn record_attempt(&mut self, token_row: TokenRow, job: &JobId, out: &mut Vec<RegionEffect>) {
        let Some((version, _)) = token_row else {
            return;
        };
        let Some(tracked) = self.registry.get(job) else {
            return;
        };
        let Some(attempt) = &tracked.attempt else {
            return;
        };
        let writes = vec![
            check_token(&self.region, version),
            put(
                RowKey::Attempt(self.region.clone(), job.clone()),
                RowValue::Attempt(attempt.row.clone()),
            ),
            put(
                RowKey::Job(self.region.clone(), job.clone()),
                RowValue::Job(tracked.row.clone()),
            ),
        ];
        let commit = RegionCommit::Attempt(job.clone(), attempt.row.attempt);
        self.commit(commit, writes, out);
    }

    pub fn send_due_stops(
        &mut self,
        cx: RegionCx<'_>,
        leader_lease: &LeaderLease,
        out: &mut Vec<RegionEffect>,
    ) {
        let token = leader_lease.token().unwrap_or_default();
        for (job, tracked) in self.registry.attempts_mut() {
            for (agent, task) in tracked.due_stops(cx.now, job, token) {
                out.push(task_order(task, &agent, Order::Stop));
            }
        }
    }
}

impl TrackedAttempt {
    /// Returns whether a task was reported as failed.
    pub fn has_failed(&self) -> bool {
        self.outcomes()
            .any(|outcome| outcome == TaskOutcome::Failed)
    }
}

/// Compares the stored row with the one that was sent; no row of another attempt has the
/// same tasks and time.
fn stored_attempt(rows: &[StoredRow], sent: &AttemptRow) -> StoredAttempt {
    let stored = rows.iter().find_map(|row| match &row.value {
        RowValue::Attempt(row) => Some(row),
        _ => None,
    });
    match stored {
        Some(row) if row == sent => StoredAttempt::Own,
        Some(row) if row.attempt >= sent.attempt => StoredAttempt::Other,
        Some(_) | None => StoredAttempt::Absent,
    }
}

/// Returns whether a refused job may fit once more workers announce themselves.
const fn may_fit_later(reason: RefusalReason) -> bool {
    match reason {
        RefusalReason::TaskSize | RefusalReason::ExceedsCluster | RefusalReason::ExceedsRack => {
            true
        }
        RefusalReason::UnknownTeam | RefusalReason::DuplicateJob | RefusalReason::TaskCount => {
            false
        }
    }
}

fn order_tag(task: &TaskRef, kind: OrderKind) -> OrderTag {
    OrderTag {
        job: task.job.clone(),
        attempt: task.attempt,
        task: task.task,
        kind,
    }
}

/// Creates a write without a condition, for commits in which another write has one.
pub(crate) fn put(key: RowKey, value: RowValue) -> RowWrite {
    RowWrite {
        key,
        condition: RowCondition::Any,
        action: RowAction::Put(value),
    }
}

/// Creates a deletion without a condition, for commits in which another write has one.
pub(crate) fn delete(key: RowKey) -> RowWrite {
    RowWrite {
        key,
        condition: RowCondition::Any,
        action: RowAction::Delete,
    }
}
