//! Operators' calls about jobs: submission, cancellation and explanation.

use std::collections::VecDeque;

use cumindeck_api::{ErrorReason, JobSpec, JobState, JobStatus};
use cumindeck_control::leader::LeaderLease;
use cumindeck_placement::{Event, GangShape, JobSpec as PlacedJob, TaskSize};
use cumindeck_types::{JobId, Region};

use super::active::ActiveRegion;
use super::gangs::{CANCELLED, TokenRow, put};
use super::job_registry::ended_status;
use super::{RegionCommit, RegionCx, RegionEffect, RegionRead};
use crate::event::{OperatorCallId, OperatorReply};
use crate::leader_rows::check_token;
use crate::operators::error;
use crate::rows::{RowKey, RowValue, StoredRow};

/// An operator's call about a job.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum JobCall {
    Submit(JobSpec),
    Cancel(JobId),
    /// Explain a job's state.
    Explain(JobId),
}

impl JobCall {
    pub const fn job(&self) -> &JobId {
        match self {
            Self::Submit(spec) => &spec.id,
            Self::Cancel(job) | Self::Explain(job) => job,
        }
    }
}

impl ActiveRegion {
    /// Handles an operator's call about a job.
    pub fn job_call(
        &mut self,
        cx: RegionCx<'_>,
        leader_lease: &LeaderLease,
        token_row: TokenRow,
        call: OperatorCallId,
        req: JobCall,
        out: &mut Vec<RegionEffect>,
    ) {
        let reply = match req {
            JobCall::Submit(spec) => {
                match self.submit(cx, leader_lease, token_row, call, spec, out) {
                    Ok(()) => return,
                    Err(reply) => *reply,
                }
            }
            JobCall::Cancel(job) => match self.cancel(token_row, call, &job, out) {
                Ok(()) => return,
                Err(reply) => *reply,
            },
            JobCall::Explain(job) => self.why(cx.now, &job),
        };
        out.push(RegionEffect::Reply(call, reply));
    }

    /// Handles the rows of a read.
    pub fn on_read(
        &mut self,
        cx: RegionCx<'_>,
        leader_lease: &LeaderLease,
        token_row: TokenRow,
        read: RegionRead,
        rows: Option<Vec<StoredRow>>,
        out: &mut Vec<RegionEffect>,
    ) {
        match read {
            RegionRead::Jobs | RegionRead::Ring => {}
            RegionRead::Attempt(job, attempt) => {
                self.on_attempt_read(
                    cx,
                    leader_lease,
                    token_row,
                    &job,
                    attempt,
                    rows.as_deref(),
                    out,
                );
            }
            RegionRead::Accept(job) => {
                self.on_accept_read(cx, leader_lease, token_row, &job, rows, out);
            }
        }
    }

    /// Cancels a job at the placement once the cancellation is recorded.
    pub fn on_cancelled(
        &mut self,
        cx: RegionCx<'_>,
        leader_lease: &LeaderLease,
        token_row: TokenRow,
        job: &JobId,
        out: &mut Vec<RegionEffect>,
    ) {
        if self.awaiting_workers.remove(job) {
            self.record_end(token_row, job, JobState::Cancelled, CANCELLED, out);
        }
        let events = VecDeque::from([Event::Cancel(job.clone())]);
        self.run_placement(cx, leader_lease, token_row, events, out);
        let Some(tracked) = self.registry.get_mut(job) else {
            return;
        };
        let status = tracked.status();
        for call in std::mem::take(&mut tracked.cancel_calls) {
            out.push(RegionEffect::Reply(
                call,
                OperatorReply::Job(Box::new(status.clone())),
            ));
        }
    }

    /// Replies to the submitter of a job that can never run.
    pub fn reply_infeasible(
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
            None => "see `cumindeck worker list` for the available workers".to_owned(),
        };
        out.push(RegionEffect::Reply(
            call,
            error(ErrorReason::Infeasible, message.to_owned(), &hint),
        ));
    }

    /// Reports the outcome of pending calls as unknown after leadership was lost.
    pub fn on_lost(&mut self, out: &mut Vec<RegionEffect>) {
        for (job, accepting) in std::mem::take(&mut self.accepting) {
            if let Some(call) = accepting.call {
                out.push(RegionEffect::Reply(call, outcome_unknown(&job)));
            }
        }
        for tracked in self.registry.jobs() {
            for call in &tracked.cancel_calls {
                let reply = outcome_unknown(&tracked.row.spec.id);
                out.push(RegionEffect::Reply(*call, reply));
            }
        }
    }

    fn cancel(
        &mut self,
        token_row: TokenRow,
        call: OperatorCallId,
        job: &JobId,
        out: &mut Vec<RegionEffect>,
    ) -> Result<(), Box<OperatorReply>> {
        let Some(tracked) = self.registry.get_mut(job) else {
            let ended = self.registry.ended().find(|row| row.job.spec.id == *job);
            let Some(ended) = ended else {
                return Err(Box::new(not_found(job)));
            };
            return Err(Box::new(cancel_ended(ended_status(ended))));
        };
        let Some((version, _)) = token_row else {
            return Err(Box::new(no_leader(&self.region)));
        };
        tracked.cancel_calls.push(call);
        if tracked.ending.is_some() {
            return Ok(());
        }
        tracked.row.is_cancelled = true;
        let row = tracked.row.clone();
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

/// Returns the reply of an entry that is not the leader of the region.
pub(crate) fn no_leader(region: &Region) -> OperatorReply {
    error(
        ErrorReason::StoreUnavailable,
        format!("region {region} has no leader now; nothing was changed"),
        "try again in a few seconds, or once the table service replies again",
    )
}

/// Returns the reply about a job that does not exist.
pub(crate) fn not_found(job: &JobId) -> OperatorReply {
    error(
        ErrorReason::NotFound,
        format!("job {job} does not exist"),
        "see `cumindeck job list`",
    )
}

/// Returns the reply to the cancellation of a job that has ended.
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

/// Converts a submitted job to the placement's form.
pub(crate) fn placement_spec(spec: &JobSpec) -> PlacedJob {
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

/// Returns the reply about a write with an unknown outcome.
pub(crate) fn outcome_unknown(job: &JobId) -> OperatorReply {
    error(
        ErrorReason::OutcomeUnknown,
        format!("the write about job {job} has no outcome yet"),
        "read the state with `cumindeck job status` before you repeat the call",
    )
}
