//! Accepts submitted jobs: validates them, records them and submits them to placement.

use std::collections::VecDeque;

use cumindeck_api::{ErrorBody, ErrorReason, JobAccepted, JobSpec, JobState, Problem};
use cumindeck_control::leader::LeaderLease;
use cumindeck_control::store::{RowVersion, WriteOutcome};
use cumindeck_placement::Event;
use cumindeck_types::{Attempt, JobId, Uptime};

use super::active::ActiveRegion;
use super::gangs::{TokenRow, put};
use super::job_registry::TrackedJob;
use super::submit::{no_leader, outcome_unknown, placement_spec};
use super::{RegionCommit, RegionCx, RegionEffect, RegionRead};
use crate::event::{Notice, OperatorCallId, OperatorReply, RowAction, RowCondition, RowWrite};
use crate::leader_rows::check_token;
use crate::operators::error;
use crate::rows::{JobRow, RowKey, RowRange, RowValue, StoredRow};

/// Number of writes of an acceptance after which its outcome is reported as unknown.
const MAX_WRITES: u32 = 5;

/// A job whose acceptance is not confirmed yet.
#[derive(Debug, Clone)]
pub(crate) struct PendingAcceptance {
    pub row: JobRow,
    /// Call to reply to; `None` after its outcome was reported as unknown.
    pub call: Option<OperatorCallId>,
    writes_sent: u32,
    retry_at: Option<Uptime>,
}

impl ActiveRegion {
    /// Handles the outcome of the write that accepts a job.
    pub fn on_accept_written(
        &mut self,
        cx: RegionCx<'_>,
        leader_lease: &LeaderLease,
        token_row: TokenRow,
        job: &JobId,
        outcome: WriteOutcome,
        out: &mut Vec<RegionEffect>,
    ) {
        match outcome {
            WriteOutcome::Done(_) => self.on_accepted(cx, leader_lease, token_row, job, out),
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

    /// Sends acceptances with an unknown outcome again once their retry time has come.
    pub fn retry_accepts(&mut self, now: Uptime, token_row: TokenRow, out: &mut Vec<RegionEffect>) {
        let is_due = |accepting: &PendingAcceptance| accepting.retry_at.is_some_and(|at| at <= now);
        let due = self
            .accepting
            .iter()
            .filter(|(_, accepting)| is_due(accepting));
        let due: Vec<JobId> = due.map(|(job, _)| job.clone()).collect();
        for job in due {
            self.send_accept(token_row, &job, out);
        }
    }

    /// Validates a job and sends the write that accepts it.
    pub fn submit(
        &mut self,
        cx: RegionCx<'_>,
        leader_lease: &LeaderLease,
        token_row: TokenRow,
        call: OperatorCallId,
        spec: JobSpec,
        out: &mut Vec<RegionEffect>,
    ) -> Result<(), Box<OperatorReply>> {
        if let Some(problem) = problem(cx, &spec) {
            return Err(Box::new(invalid(problem)));
        }
        if !leader_lease.may_act(cx.now) || token_row.is_none() {
            return Err(Box::new(no_leader(&self.region)));
        }
        if let Some(known) = self.registry.get(&spec.id) {
            return Err(Box::new(repeated_submission(
                known.row.spec == spec,
                &spec.id,
                known.state(),
            )));
        }
        if self.accepting.contains_key(&spec.id) {
            return Err(Box::new(repeated_submission(
                false,
                &spec.id,
                JobState::Queued,
            )));
        }
        let queued = self
            .registry
            .jobs()
            .filter(|tracked| tracked.attempt.is_none())
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
        let accepting = PendingAcceptance {
            row,
            call: Some(call),
            writes_sent: 0,
            retry_at: None,
        };
        self.accepting.insert(job.clone(), accepting);
        self.send_accept(token_row, &job, out);
        Ok(())
    }

    /// Sends a write that accepts a job only if no region has a job with this id.
    pub fn send_accept(&mut self, token_row: TokenRow, job: &JobId, out: &mut Vec<RegionEffect>) {
        let Some((version, _)) = token_row else {
            return;
        };
        let Some(accepting) = self.accepting.get_mut(job) else {
            return;
        };
        accepting.writes_sent += 1;
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

    /// Submits a job to the placement once its acceptance is recorded.
    pub fn on_accepted(
        &mut self,
        cx: RegionCx<'_>,
        leader_lease: &LeaderLease,
        token_row: TokenRow,
        job: &JobId,
        out: &mut Vec<RegionEffect>,
    ) {
        let Some(accepting) = self.accepting.get(job) else {
            return;
        };
        let spec = accepting.row.spec.clone();
        self.registry.insert(TrackedJob::new(accepting.row.clone()));
        out.push(RegionEffect::Notice(Notice::JobAccepted {
            job: job.clone(),
        }));
        let events = VecDeque::from([Event::Submit(placement_spec(&spec))]);
        self.run_placement(cx, leader_lease, token_row, events, out);
        // If the placement rejected the job, the call already has its reply.
        let call = self
            .accepting
            .remove(job)
            .and_then(|accepting| accepting.call);
        let state = self
            .registry
            .get(job)
            .map_or(JobState::Queued, TrackedJob::state);
        if let Some(call) = call {
            let body = JobAccepted {
                id: job.clone(),
                state,
            };
            out.push(RegionEffect::Reply(call, OperatorReply::JobAccepted(body)));
        }
    }

    /// Determines the outcome of an acceptance from the stored rows.
    pub fn on_accept_read(
        &mut self,
        cx: RegionCx<'_>,
        leader_lease: &LeaderLease,
        token_row: TokenRow,
        job: &JobId,
        rows: Option<Vec<StoredRow>>,
        out: &mut Vec<RegionEffect>,
    ) {
        let Some(accepting) = self.accepting.get_mut(job) else {
            return;
        };
        let Some(rows) = rows.filter(|rows| !rows.is_empty()) else {
            // The read failed or nothing is stored yet: the write is safe to repeat.
            accepting.retry_at = Some(cx.now.plus(std::time::Duration::from_secs(1)));
            if accepting.writes_sent >= MAX_WRITES
                && let Some(call) = accepting.call.take()
            {
                out.push(RegionEffect::Reply(call, outcome_unknown(job)));
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
            self.on_accepted(cx, leader_lease, token_row, job, out);
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
            out.push(RegionEffect::Reply(
                call,
                repeated_submission(is_same, job, state),
            ));
        }
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

fn repeated_submission(is_same: bool, job: &JobId, state: JobState) -> OperatorReply {
    if is_same {
        return OperatorReply::JobAlreadyAccepted(JobAccepted {
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
