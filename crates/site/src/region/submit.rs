//! Operators' calls about jobs: submission, cancellation and the reason to wait.

use std::collections::VecDeque;

use cumindeck_api::{ErrorBody, ErrorReason, JobAccepted, JobSpec, JobState, JobStatus, Problem};
use cumindeck_control::duty::Duty;
use cumindeck_control::store::{RowVersion, WriteOutcome};
use cumindeck_placement::{Event, GangShape, JobSpec as PlacedJob, TaskSize};
use cumindeck_types::{Attempt, JobId, Region, Uptime};

use super::active::Active;
use super::book::{JobTrack, ended_status};
use super::gangs::{CANCELLED, TokenRow, put};
use super::{RegionCommit, RegionCx, RegionEffect, RegionRead, check_token};
use crate::event::{Notice, OperatorCall, OperatorReply, RowAction, RowCondition, RowWrite};
use crate::operators::error;
use crate::rows::{JobRow, RowKey, RowRange, RowValue, StoredRow};

/// Tries to record a job before its submitter is told that the outcome is unknown.
const MAX_TRIES: u32 = 5;

/// An operator's call about a job.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum JobCall {
    /// Accept a job.
    Submit(JobSpec),
    /// Cancel a job.
    Cancel(JobId),
    /// Explain a job's state.
    Why(JobId),
}

impl JobCall {
    /// Returns the job that the call is about.
    pub const fn job(&self) -> &JobId {
        match self {
            Self::Submit(spec) => &spec.id,
            Self::Cancel(job) | Self::Why(job) => job,
        }
    }
}

/// A job whose acceptance has no outcome yet.
#[derive(Debug, Clone)]
pub(crate) struct Accepting {
    row: JobRow,
    /// Who waits; none once the outcome was reported as unknown.
    call: Option<OperatorCall>,
    tries: u32,
    retry_at: Option<Uptime>,
}

impl Active {
    /// Handles an operator's call about a job.
    pub fn job_call(
        &mut self,
        cx: RegionCx<'_>,
        duty: &Duty,
        token_row: TokenRow,
        call: OperatorCall,
        req: JobCall,
        out: &mut Vec<RegionEffect>,
    ) {
        let reply = match req {
            JobCall::Submit(spec) => match self.submit(cx, duty, token_row, call, spec, out) {
                Ok(()) => return,
                Err(reply) => *reply,
            },
            JobCall::Cancel(job) => match self.cancel(token_row, call, &job, out) {
                Ok(()) => return,
                Err(reply) => *reply,
            },
            JobCall::Why(job) => self.why(cx.now, &job),
        };
        out.push(RegionEffect::Reply(call, reply));
    }

    /// Takes in the outcome of the write that accepts a job.
    pub fn on_accepted(
        &mut self,
        cx: RegionCx<'_>,
        duty: &Duty,
        token_row: TokenRow,
        job: &JobId,
        outcome: WriteOutcome,
        out: &mut Vec<RegionEffect>,
    ) {
        match outcome {
            WriteOutcome::Done(_) => self.accepted(cx, duty, token_row, job, out),
            WriteOutcome::Conflict | WriteOutcome::Unknown => {
                let ranges = vec![
                    RowRange::Row(RowKey::JobRegion(job.clone())),
                    RowRange::Row(RowKey::Job(self.region.clone(), job.clone())),
                    RowRange::Row(RowKey::Ended(job.clone())),
                ];
                out.push(RegionEffect::Read(RegionRead::Accept(job.clone()), ranges));
            }
        }
    }

    /// Takes in the rows of a read.
    pub fn on_read(
        &mut self,
        cx: RegionCx<'_>,
        duty: &Duty,
        token_row: TokenRow,
        read: RegionRead,
        rows: Option<Vec<StoredRow>>,
        out: &mut Vec<RegionEffect>,
    ) {
        match read {
            RegionRead::Jobs | RegionRead::Ring => {}
            RegionRead::Attempt(job, attempt) => {
                self.on_attempt_read(cx, duty, token_row, &job, attempt, rows.as_deref(), out);
            }
            RegionRead::Accept(job) => {
                self.on_accept_read(cx, duty, token_row, &job, rows, out);
            }
        }
    }

    /// Sends acceptances again that have no outcome.
    pub fn retry_accepts(&mut self, now: Uptime, token_row: TokenRow, out: &mut Vec<RegionEffect>) {
        let is_due = |accepting: &Accepting| accepting.retry_at.is_some_and(|at| at <= now);
        let due = self
            .accepting
            .iter()
            .filter(|(_, accepting)| is_due(accepting));
        let due: Vec<JobId> = due.map(|(job, _)| job.clone()).collect();
        for job in due {
            self.send_accept(token_row, &job, out);
        }
    }

    /// Takes in that a cancellation is recorded.
    pub fn on_cancelled(
        &mut self,
        cx: RegionCx<'_>,
        duty: &Duty,
        token_row: TokenRow,
        job: &JobId,
        out: &mut Vec<RegionEffect>,
    ) {
        if self.parked.remove(job) {
            self.end(token_row, job, JobState::Cancelled, CANCELLED, out);
        }
        let events = VecDeque::from([Event::Cancel(job.clone())]);
        self.run(cx, duty, token_row, events, out);
        let Some(track) = self.book.get_mut(job) else {
            return;
        };
        let status = track.status();
        for call in std::mem::take(&mut track.cancel_calls) {
            out.push(RegionEffect::Reply(
                call,
                OperatorReply::Job(Box::new(status.clone())),
            ));
        }
    }

    /// Replies to the submitter of a job that can never run.
    pub fn refused(
        &mut self,
        job: &JobId,
        message: &str,
        nearest: Option<&GangShape>,
        out: &mut Vec<RegionEffect>,
    ) {
        let accepting = self.accepting.remove(job);
        let Some(call) = accepting.and_then(|accepting| accepting.call) else {
            return;
        };
        let hint = match nearest {
            Some(shape) => format!("the nearest shape that can run is {shape}"),
            None => "see `cumindeck worker list` for what there is".to_owned(),
        };
        out.push(RegionEffect::Reply(
            call,
            error(ErrorReason::Infeasible, message.to_owned(), &hint),
        ));
    }

    /// Reports open submissions as unknown, because the duty is lost.
    pub fn on_lost(&mut self, out: &mut Vec<RegionEffect>) {
        for (job, accepting) in std::mem::take(&mut self.accepting) {
            if let Some(call) = accepting.call {
                out.push(RegionEffect::Reply(call, unknown(&job)));
            }
        }
        for track in self.book.jobs() {
            for call in &track.cancel_calls {
                let reply = unknown(&track.row.spec.id);
                out.push(RegionEffect::Reply(*call, reply));
            }
        }
    }

    fn submit(
        &mut self,
        cx: RegionCx<'_>,
        duty: &Duty,
        token_row: TokenRow,
        call: OperatorCall,
        spec: JobSpec,
        out: &mut Vec<RegionEffect>,
    ) -> Result<(), Box<OperatorReply>> {
        if let Some(problem) = problem(cx, &spec) {
            return Err(Box::new(invalid(problem)));
        }
        if !duty.may_act(cx.now) || token_row.is_none() {
            return Err(Box::new(no_holder(&self.region)));
        }
        if let Some(known) = self.book.get(&spec.id) {
            return Err(Box::new(repetition(
                known.row.spec == spec,
                &spec.id,
                known.state(),
            )));
        }
        if self.accepting.contains_key(&spec.id) {
            return Err(Box::new(repetition(false, &spec.id, JobState::Queued)));
        }
        let queued = self
            .book
            .jobs()
            .filter(|track| track.attempt.is_none())
            .count();
        if queued >= cx.settings.jobs.queue_limit as usize {
            return Err(Box::new(error(
                ErrorReason::QueueFull,
                format!(
                    "{queued} jobs wait in {}; no more are accepted",
                    self.region
                ),
                "submit the job again when jobs have started, or cancel some",
            )));
        }
        let row = JobRow {
            spec,
            submitted_ms: u64::try_from(cx.wall.as_millis()).unwrap_or(u64::MAX),
            state: JobState::Queued,
            attempt: Attempt::default(),
            failures: 0,
            is_cancelled: false,
        };
        let job = row.spec.id.clone();
        let accepting = Accepting {
            row,
            call: Some(call),
            tries: 0,
            retry_at: None,
        };
        self.accepting.insert(job.clone(), accepting);
        self.send_accept(token_row, &job, out);
        Ok(())
    }

    fn send_accept(&mut self, token_row: TokenRow, job: &JobId, out: &mut Vec<RegionEffect>) {
        let Some((version, _)) = token_row else {
            return;
        };
        let Some(accepting) = self.accepting.get_mut(job) else {
            return;
        };
        accepting.tries += 1;
        accepting.retry_at = None;
        let writes = vec![
            check_token(&self.region, version),
            RowWrite {
                key: RowKey::JobRegion(job.clone()),
                condition: RowCondition::Version(RowVersion::ABSENT),
                action: RowAction::Put(RowValue::JobRegion(self.region.clone())),
            },
            put(
                RowKey::Job(self.region.clone(), job.clone()),
                RowValue::Job(accepting.row.clone()),
            ),
        ];
        self.commit(RegionCommit::Accept(job.clone()), writes, out);
    }

    fn accepted(
        &mut self,
        cx: RegionCx<'_>,
        duty: &Duty,
        token_row: TokenRow,
        job: &JobId,
        out: &mut Vec<RegionEffect>,
    ) {
        let Some(accepting) = self.accepting.get(job) else {
            return;
        };
        let spec = accepting.row.spec.clone();
        self.book.insert(JobTrack::new(accepting.row.clone()));
        out.push(RegionEffect::Notice(Notice::JobAccepted {
            job: job.clone(),
        }));
        let events = VecDeque::from([Event::Submit(placed(&spec))]);
        self.run(cx, duty, token_row, events, out);
        // A refusal has replied already.
        let call = self
            .accepting
            .remove(job)
            .and_then(|accepting| accepting.call);
        let state = self.book.get(job).map_or(JobState::Queued, JobTrack::state);
        if let Some(call) = call {
            let body = JobAccepted {
                id: job.clone(),
                state,
            };
            out.push(RegionEffect::Reply(call, OperatorReply::JobAccepted(body)));
        }
    }

    /// Resolves an acceptance by the rows that are stored.
    fn on_accept_read(
        &mut self,
        cx: RegionCx<'_>,
        duty: &Duty,
        token_row: TokenRow,
        job: &JobId,
        rows: Option<Vec<StoredRow>>,
        out: &mut Vec<RegionEffect>,
    ) {
        let Some(accepting) = self.accepting.get_mut(job) else {
            return;
        };
        let Some(rows) = rows.filter(|rows| !rows.is_empty()) else {
            // Nothing is known, or nothing is stored yet: the write is safe to repeat.
            accepting.retry_at = Some(cx.now.plus(std::time::Duration::from_secs(1)));
            if accepting.tries >= MAX_TRIES
                && let Some(call) = accepting.call.take()
            {
                out.push(RegionEffect::Reply(call, unknown(job)));
            }
            return;
        };
        let mut stored: Option<JobRow> = None;
        for row in rows {
            match row.value {
                RowValue::Job(row) => stored = Some(row),
                RowValue::Ended(row) => stored = Some(row.job),
                _ => {}
            }
        }
        if stored.as_ref() == Some(&accepting.row) {
            self.accepted(cx, duty, token_row, job, out);
            return;
        }
        let is_same = stored
            .as_ref()
            .is_some_and(|row| row.spec == accepting.row.spec);
        let state = stored.map_or(JobState::Queued, |row| row.state);
        let call = self
            .accepting
            .remove(job)
            .and_then(|accepting| accepting.call);
        if let Some(call) = call {
            out.push(RegionEffect::Reply(call, repetition(is_same, job, state)));
        }
    }

    fn cancel(
        &mut self,
        token_row: TokenRow,
        call: OperatorCall,
        job: &JobId,
        out: &mut Vec<RegionEffect>,
    ) -> Result<(), Box<OperatorReply>> {
        let Some(track) = self.book.get_mut(job) else {
            let ended = self.book.ended().find(|row| row.job.spec.id == *job);
            let Some(ended) = ended else {
                return Err(Box::new(not_found(job)));
            };
            return Err(Box::new(cancel_ended(ended_status(ended))));
        };
        let Some((version, _)) = token_row else {
            return Err(Box::new(no_holder(&self.region)));
        };
        track.cancel_calls.push(call);
        if track.ending.is_some() {
            return Ok(());
        }
        track.row.is_cancelled = true;
        let row = track.row.clone();
        let writes = vec![
            check_token(&self.region, version),
            put(
                RowKey::Job(self.region.clone(), job.clone()),
                RowValue::Job(row),
            ),
        ];
        self.commit(RegionCommit::Cancel(job.clone()), writes, out);
        Ok(())
    }
}

/// Makes the reply of an entry that doesn't hold the region's duty.
pub(crate) fn no_holder(region: &Region) -> OperatorReply {
    error(
        ErrorReason::StoreUnavailable,
        format!("no entry holds the duty of region {region} now; nothing was changed"),
        "try again in a few seconds; during an outage of the table service, after it",
    )
}

/// Makes the reply about a job that isn't known.
pub(crate) fn not_found(job: &JobId) -> OperatorReply {
    error(
        ErrorReason::NotFound,
        format!("job {job} does not exist"),
        "see `cumindeck job list`",
    )
}

/// Makes the reply to the cancellation of a job that has ended.
pub(crate) fn cancel_ended(status: JobStatus) -> OperatorReply {
    if status.state == JobState::Cancelled {
        return OperatorReply::Job(Box::new(status));
    }
    error(
        ErrorReason::Conflict,
        format!("job {} has ended: {}", status.spec.id, status.state),
        "an ended job can't be cancelled",
    )
}

/// Makes what the placement is told about a job.
pub(crate) fn placed(spec: &JobSpec) -> PlacedJob {
    PlacedJob {
        job: spec.id.clone(),
        team: spec.team.clone(),
        gang: GangShape {
            tasks: spec.tasks,
            size: TaskSize::Accelerators(u8::try_from(spec.accelerators).unwrap_or(u8::MAX)),
            is_same_rack: spec.same_rack,
        },
        is_urgent: spec.urgent,
    }
}

fn problem(cx: RegionCx<'_>, spec: &JobSpec) -> Option<Problem> {
    let problem = |key: &str, found: String, expected: &str, hint: &str| Problem {
        file: "body".to_owned(),
        line: 0,
        key: key.to_owned(),
        found,
        expected: expected.to_owned(),
        hint: hint.to_owned(),
    };
    if let Err(err) = spec.check() {
        return Some(problem(
            "job",
            err.to_string(),
            "a job within the limits",
            "correct the job",
        ));
    }
    if !cx.settings.teams.iter().any(|team| team.id == spec.team) {
        let hint = "see `cumindeck team list`";
        return Some(problem(
            "team",
            spec.team.to_string(),
            "a team of the configuration",
            hint,
        ));
    }
    if !spec.accelerators.is_power_of_two() {
        let hint = "a task gets a cell of adjacent accelerators; ask for the next power of two";
        let found = spec.accelerators.to_string();
        return Some(problem("accelerators", found, "a power of two", hint));
    }
    None
}

fn invalid(problem: Problem) -> OperatorReply {
    let message = format!(
        "{} is {}; expected {}",
        problem.key, problem.found, problem.expected
    );
    let mut body = ErrorBody::new(ErrorReason::Invalid, message, problem.hint.clone());
    body.problems = vec![problem];
    OperatorReply::Error(Box::new(body))
}

fn repetition(is_same: bool, job: &JobId, state: JobState) -> OperatorReply {
    if is_same {
        return OperatorReply::JobKnown(JobAccepted {
            id: job.clone(),
            state,
        });
    }
    error(
        ErrorReason::Conflict,
        format!("job id {job} is in use by a job with other content"),
        "choose another id",
    )
}

fn unknown(job: &JobId) -> OperatorReply {
    error(
        ErrorReason::OutcomeUnknown,
        format!("the write about job {job} has no outcome yet"),
        "read the state with `cumindeck job status` before you repeat the call",
    )
}
