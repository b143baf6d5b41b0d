//! From placement decisions to gang starts, stops and ends.

use std::collections::VecDeque;

use cumindeck_api::JobState;
use cumindeck_control::duty::Duty;
use cumindeck_control::gang::{GangEffect, GangPlan, GangStart, PlannedTask, StoredAttempt};
use cumindeck_control::store::{RowVersion, WriteOutcome};
use cumindeck_placement::{Effect, Event, RefusalReason, TaskOutcome, TaskPlacement};
use cumindeck_types::message::{GangMember, TaskRef};
use cumindeck_types::{Attempt, FencingToken, JobId};

use super::active::{Active, other_order};
use super::attempt::AttemptTrack;
use super::pace::PacedStart;
use super::{OrderKind, OrderTag, RegionCommit, RegionCx, RegionEffect, RegionRead};
use crate::duty_rows::check_token;
use crate::event::{Notice, Order, RowAction, RowCondition, RowWrite};
use crate::rows::{AttemptRow, AttemptTask, RowKey, RowRange, RowValue, StoredRow};

/// How a cancelled job ended.
pub(super) const CANCELLED: &str = "cancelled by an operator";

/// The token row that job commits check.
pub(crate) type TokenRow = Option<(RowVersion, FencingToken)>;

impl Active {
    /// Feeds events to the placement and carries out its effects until none is left.
    pub fn run(
        &mut self,
        cx: RegionCx<'_>,
        duty: &Duty,
        token_row: TokenRow,
        mut events: VecDeque<Event>,
        out: &mut Vec<RegionEffect>,
    ) {
        // Most announcements bring nothing new; what is due later is sent by the tick.
        if events.is_empty() {
            return;
        }
        while !events.is_empty() {
            let effects = self
                .placement
                .steps(cx.now, events.drain(..).collect::<Vec<_>>());
            for effect in effects {
                self.placement_effect(cx, duty, token_row, effect, &mut events, out);
            }
        }
        self.send_due_stops(cx, duty, out);
    }

    /// Does what is due for gangs that are starting.
    pub fn tick_gangs(
        &mut self,
        cx: RegionCx<'_>,
        duty: &Duty,
        token_row: TokenRow,
        out: &mut Vec<RegionEffect>,
    ) {
        let mut due = Vec::new();
        for (job, track) in self.book.attempts_mut() {
            if let Some(start) = &mut track.start {
                let effects = start.tick(cx.now);
                if !effects.is_empty() {
                    due.push((job.clone(), track.row.attempt, effects));
                }
            }
        }
        for (job, attempt, effects) in due {
            self.gang_effects(cx, duty, token_row, &job, attempt, effects, out);
        }
    }

    /// Takes in the outcome of the write that counts an attempt.
    #[allow(clippy::too_many_arguments)]
    pub fn on_counted(
        &mut self,
        cx: RegionCx<'_>,
        duty: &Duty,
        token_row: TokenRow,
        job: &JobId,
        attempt: Attempt,
        outcome: WriteOutcome,
        out: &mut Vec<RegionEffect>,
    ) {
        let may_act = duty.may_act(cx.now);
        let Some(track) = self.book.attempt_mut(job, attempt) else {
            return;
        };
        if let WriteOutcome::Done(version) = outcome {
            track.row_version = Some(version);
        }
        let Some(start) = &mut track.start else {
            return;
        };
        let effects = start.on_attempt_written(cx.now, may_act, outcome);
        self.gang_effects(cx, duty, token_row, job, attempt, effects, out);
    }

    /// Takes in the row of an attempt whose count had no outcome.
    #[allow(clippy::too_many_arguments)]
    pub fn on_attempt_read(
        &mut self,
        cx: RegionCx<'_>,
        duty: &Duty,
        token_row: TokenRow,
        job: &JobId,
        attempt: Attempt,
        rows: Option<&[StoredRow]>,
        out: &mut Vec<RegionEffect>,
    ) {
        let may_act = duty.may_act(cx.now);
        let Some(track) = self.book.attempt_mut(job, attempt) else {
            return;
        };
        let Some(start) = &mut track.start else {
            return;
        };
        let effects = match rows.map(|rows| stored_attempt(rows, &track.row)) {
            // Without an answer nothing is known; the duty lapses soon.
            None if may_act => vec![GangEffect::ReadAttempt],
            stored => {
                start.on_attempt_read(cx.now, may_act, stored.unwrap_or(StoredAttempt::Absent))
            }
        };
        self.gang_effects(cx, duty, token_row, job, attempt, effects, out);
    }

    /// Carries out the effects of a gang's start.
    #[allow(clippy::too_many_arguments)]
    pub fn gang_effects(
        &mut self,
        cx: RegionCx<'_>,
        duty: &Duty,
        token_row: TokenRow,
        job: &JobId,
        attempt: Attempt,
        effects: Vec<GangEffect>,
        out: &mut Vec<RegionEffect>,
    ) {
        let mut events = VecDeque::new();
        for effect in effects {
            match effect {
                GangEffect::CountAttempt => self.count_attempt(token_row, job, out),
                GangEffect::ReadAttempt => {
                    let key = RowKey::Attempt(self.region.clone(), job.clone());
                    let read = RegionRead::Attempt(job.clone(), attempt);
                    out.push(RegionEffect::Read(read, vec![RowRange::Row(key)]));
                }
                GangEffect::Reserve(agent, order) => {
                    let tag = tag(&order.task, OrderKind::Reserve);
                    out.push(RegionEffect::Order(tag, agent, Order::Reserve(order)));
                }
                GangEffect::Go(agent, order) => {
                    if let Some(track) = self.book.attempt_mut(job, attempt) {
                        track.is_go_sent = true;
                    }
                    let tag = tag(&order.task, OrderKind::Go);
                    out.push(RegionEffect::Order(tag, agent, Order::Go(order)));
                }
                GangEffect::Stop(agent, task) => out.push(other_order(task, &agent, Order::Stop)),
                GangEffect::Started => {
                    self.started(token_row, job, attempt, out);
                    events.push_back(Event::GangRunning(job.clone(), attempt));
                }
                GangEffect::Failed(failure) => self.start_failed(cx, job, attempt, failure, out),
            }
        }
        if !events.is_empty() {
            self.run(cx, duty, token_row, events, out);
        }
    }

    /// Starts the gangs whose turn it is.
    pub fn start_paced(
        &mut self,
        cx: RegionCx<'_>,
        duty: &Duty,
        token_row: TokenRow,
        out: &mut Vec<RegionEffect>,
    ) {
        while let Some(next) = self.pace.pop(cx.now, cx.settings.jobs.start_rate) {
            let PacedStart {
                job,
                attempt,
                placement,
                is_borrowed,
                ..
            } = next;
            let plan = self.plan(cx, duty, &job, attempt, &placement, is_borrowed);
            let Some((plan, row)) = plan else {
                self.pause_start(cx.now, &job, attempt);
                continue;
            };
            let (start, effects) = GangStart::new(plan);
            if let Some(track) = self.book.get_mut(&job) {
                track.row.attempt = attempt;
                track.row.state = JobState::Starting;
            }
            self.book
                .set_attempt(&job, AttemptTrack::new(row, Some(start)));
            self.gang_effects(cx, duty, token_row, &job, attempt, effects, out);
        }
    }

    fn placement_effect(
        &mut self,
        cx: RegionCx<'_>,
        duty: &Duty,
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
                    .book
                    .get(&job)
                    .is_some_and(|track| track.row.spec.urgent);
                let start = PacedStart {
                    job,
                    attempt,
                    placement,
                    is_borrowed,
                    is_urgent,
                };
                self.pace.push(start);
                self.start_paced(cx, duty, token_row, out);
            }
            Effect::Checkpoint(job, attempt) => {
                let token = duty.token().unwrap_or_default();
                let Some(track) = self.book.attempt_mut(&job, attempt) else {
                    return;
                };
                for (agent, task) in track.live_refs(&job, token) {
                    out.push(other_order(task, &agent, Order::Checkpoint));
                }
            }
            Effect::Stop(job, attempt, reason) => {
                if self.pace.remove(&job, attempt) {
                    self.pause_start(cx.now, &job, attempt);
                    return;
                }
                let Some(track) = self.book.attempt_mut(&job, attempt) else {
                    return;
                };
                track.is_stopping = true;
                if track.detail.is_empty() {
                    track.detail = format!("stopped: {reason:?}");
                }
                let effects = track
                    .start
                    .as_mut()
                    .map(GangStart::cancel)
                    .unwrap_or_default();
                self.gang_effects(cx, duty, token_row, &job, attempt, effects, out);
            }
            // A job that was accepted waits for workers that are away now.
            Effect::Refuse(job, refusal)
                if !self.accepting.contains_key(&job) && is_about_capacity(refusal.reason) =>
            {
                let Some(track) = self.book.get_mut(&job) else {
                    return;
                };
                if track.row.is_cancelled {
                    self.end(token_row, &job, JobState::Cancelled, CANCELLED, out);
                    return;
                }
                track.message = format!("waits for workers: {refusal}");
                self.parked.insert(job);
            }
            Effect::Refuse(job, refusal) => {
                let message = refusal.to_string();
                self.refused(&job, &message, refusal.nearest.as_ref(), out);
                self.end(token_row, &job, JobState::Failed, &message, out);
            }
            Effect::Requeued(job, attempt) => self.requeued(cx, &job, attempt, events),
            Effect::Ended(job, outcome) => {
                let (state, message) = self.outcome(&job, outcome);
                self.end(token_row, &job, state, &message, out);
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

    /// Turns a placement into orders; `None` if a task may not start now.
    fn plan(
        &self,
        cx: RegionCx<'_>,
        duty: &Duty,
        job: &JobId,
        attempt: Attempt,
        placement: &[TaskPlacement],
        is_borrowed: bool,
    ) -> Option<(GangPlan, AttemptRow)> {
        let track = self.book.get(job)?;
        if !duty.may_act(cx.now) {
            return None;
        }
        let token = duty.token()?;
        let (mut planned, mut tasks) = (Vec::new(), Vec::new());
        for task in placement {
            let worker = self.workers.get(&task.worker)?;
            let announcement = cx.views.announcement(&worker.agent)?;
            let (zone_version, _) = cx.heads.rights.live(cx.now, &worker.spec.zone)?;
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
            team: track.row.spec.team.clone(),
            attempt,
            token,
            command: track.row.spec.command.join(" "),
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

    fn count_attempt(&mut self, token_row: TokenRow, job: &JobId, out: &mut Vec<RegionEffect>) {
        let Some((version, _)) = token_row else {
            return;
        };
        let Some(track) = self.book.get(job) else {
            return;
        };
        let Some(attempt) = &track.attempt else {
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
                RowValue::Job(track.row.clone()),
            ),
        ];
        let commit = RegionCommit::Attempt(job.clone(), attempt.row.attempt);
        self.commit(commit, writes, out);
    }

    pub fn send_due_stops(&mut self, cx: RegionCx<'_>, duty: &Duty, out: &mut Vec<RegionEffect>) {
        let token = duty.token().unwrap_or_default();
        for (job, track) in self.book.attempts_mut() {
            for (agent, task) in track.due_stops(cx.now, job, token) {
                out.push(other_order(task, &agent, Order::Stop));
            }
        }
    }
}

impl AttemptTrack {
    /// Tells whether a task ended with an error or was refused by its worker.
    pub fn has_failed(&self) -> bool {
        self.outcomes()
            .any(|outcome| outcome == TaskOutcome::Failed)
    }
}

/// Compares the stored row with the one that was sent; its tasks and its time
/// tell it from any other.
fn stored_attempt(rows: &[StoredRow], sent: &AttemptRow) -> StoredAttempt {
    let stored = rows.iter().find_map(|row| match &row.value {
        RowValue::Attempt(row) => Some(row),
        _ => None,
    });
    match stored {
        Some(row) if row == sent => StoredAttempt::Own,
        Some(row) if row.attempt >= sent.attempt => StoredAttempt::Foreign,
        Some(_) | None => StoredAttempt::Absent,
    }
}

/// Tells whether a refusal may end when more workers announce themselves.
const fn is_about_capacity(reason: RefusalReason) -> bool {
    match reason {
        RefusalReason::TaskSize | RefusalReason::ExceedsCluster | RefusalReason::ExceedsRack => {
            true
        }
        RefusalReason::UnknownTeam | RefusalReason::DuplicateJob | RefusalReason::TaskCount => {
            false
        }
    }
}

fn tag(task: &TaskRef, kind: OrderKind) -> OrderTag {
    OrderTag {
        job: task.job.clone(),
        attempt: task.attempt,
        task: task.task,
        kind,
    }
}

/// Makes a write under the conditions of the other writes.
pub(crate) fn put(key: RowKey, value: RowValue) -> RowWrite {
    RowWrite {
        key,
        condition: RowCondition::Any,
        action: RowAction::Put(value),
    }
}

/// Makes a deletion under the conditions of the other writes.
pub(crate) fn delete(key: RowKey) -> RowWrite {
    RowWrite {
        key,
        condition: RowCondition::Any,
        action: RowAction::Delete,
    }
}
