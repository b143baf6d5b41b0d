//! Transitions of an attempt: running, failed to start, requeued, or end of the job.

use std::collections::VecDeque;

use cumindeck_api::JobState;
use cumindeck_control::gang::GangFailure;
use cumindeck_placement::{Event, JobOutcome};
use cumindeck_types::{Attempt, JobId};

use super::active::ActiveRegion;
use super::gangs::{CANCELLED, TokenRow, delete, put};
use super::{RegionCommit, RegionCx, RegionEffect};
use crate::event::Notice;
use crate::leader_rows::check_token;
use crate::rows::{EndedRow, JobRow, RowKey, RowValue};

impl ActiveRegion {
    /// Records that all tasks of an attempt run.
    pub fn started(
        &mut self,
        token_row: TokenRow,
        job: &JobId,
        attempt: Attempt,
        out: &mut Vec<RegionEffect>,
    ) {
        let Some(tracked) = self.registry.get_mut(job) else {
            return;
        };
        if let Some(current) = &mut tracked.attempt {
            current.start = None;
            current.is_running = true;
        }
        tracked.row.state = JobState::Running;
        tracked.message = format!("attempt {attempt} runs");
        out.push(RegionEffect::Notice(Notice::GangStarted {
            job: job.clone(),
            attempt,
        }));
        self.record_state(token_row, job, out);
    }

    /// Stores a job's state for readers; the next state overwrites it.
    pub fn record_state(&mut self, token_row: TokenRow, job: &JobId, out: &mut Vec<RegionEffect>) {
        let (Some((version, _)), Some(tracked)) = (token_row, self.registry.get(job)) else {
            return;
        };
        let writes = vec![
            check_token(&self.region, version),
            put(
                RowKey::Job(self.region.clone(), job.clone()),
                RowValue::Job(tracked.row.clone()),
            ),
        ];
        self.commit(RegionCommit::State(job.clone()), writes, out);
    }

    /// Records that an attempt did not start.
    pub fn start_failed(
        &mut self,
        cx: RegionCx<'_>,
        job: &JobId,
        attempt: Attempt,
        failure: GangFailure,
        out: &mut Vec<RegionEffect>,
    ) {
        out.push(RegionEffect::Notice(Notice::GangFailed {
            job: job.clone(),
            attempt,
            failure,
        }));
        let Some(tracked) = self.registry.get_mut(job) else {
            return;
        };
        tracked.message = format!("attempt {attempt} did not start: {failure:?}");
        let Some(current) = &mut tracked.attempt else {
            return;
        };
        current.start = None;
        current.is_stopping = true;
        // Without a start order no task process runs, and the reservations expire.
        if !current.is_start_sent {
            self.defer_start_failure(cx.now, job, attempt);
        }
    }

    /// Requeues a job after an attempt, or cancels it if its attempts are used up.
    pub fn requeued(
        &mut self,
        cx: RegionCx<'_>,
        job: &JobId,
        attempt: Attempt,
        events: &mut VecDeque<Event>,
    ) {
        let default_limit = cx.settings.jobs.max_attempts;
        let ended = self.registry.take_attempt(job);
        let Some(tracked) = self.registry.get_mut(job) else {
            return;
        };
        let has_failed = ended.as_ref().is_some_and(|ended| ended.has_failed());
        tracked.message = match &ended {
            Some(ended) => format!("attempt {attempt} ended: {}", ended.detail),
            None => format!("attempt {attempt} did not start"),
        };
        tracked.row.state = JobState::Queued;
        if !has_failed {
            return;
        }
        tracked.row.failures += 1;
        if tracked.row.failures >= tracked.row.spec.max_attempts.unwrap_or(default_limit) {
            tracked.is_exhausted = true;
            events.push_back(Event::Cancel(job.clone()));
        }
    }

    /// Returns the final state of a job and the reason.
    pub fn final_state(&self, job: &JobId, outcome: JobOutcome) -> (JobState, String) {
        let Some(tracked) = self.registry.get(job) else {
            return (JobState::Failed, String::new());
        };
        let detail = tracked
            .attempt
            .as_ref()
            .map(|attempt| attempt.detail.clone());
        let detail = detail.filter(|detail| !detail.is_empty());
        match outcome {
            JobOutcome::Succeeded => (JobState::Succeeded, "all tasks ended well".to_owned()),
            JobOutcome::Cancelled if tracked.is_exhausted => {
                let failures = tracked.row.failures;
                (
                    JobState::Failed,
                    format!("{failures} attempts failed; {}", tracked.message),
                )
            }
            JobOutcome::Failed => (
                JobState::Failed,
                detail.unwrap_or_else(|| tracked.message.clone()),
            ),
            JobOutcome::Cancelled => (JobState::Cancelled, CANCELLED.to_owned()),
        }
    }

    /// Records the end of a job; until that is confirmed, agents keep its reports.
    pub fn record_end(
        &mut self,
        token_row: TokenRow,
        job: &JobId,
        state: JobState,
        message: &str,
        out: &mut Vec<RegionEffect>,
    ) {
        let region = self.region.clone();
        let Some(tracked) = self.registry.get_mut(job) else {
            return;
        };
        let row = JobRow {
            state,
            ..tracked.row.clone()
        };
        let ending = EndedRow {
            job: row,
            message: message.to_owned(),
        };
        tracked.ending = Some(ending.clone());
        tracked.message = message.to_owned();
        let Some((version, _)) = token_row else {
            return;
        };
        let writes = vec![
            check_token(&region, version),
            delete(RowKey::Job(region.clone(), job.clone())),
            delete(RowKey::Attempt(region, job.clone())),
            put(RowKey::Ended(job.clone()), RowValue::Ended(ending)),
        ];
        self.commit(RegionCommit::End(job.clone()), writes, out);
    }
}
