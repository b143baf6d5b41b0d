//! What becomes of an attempt: it runs, fails to start, is requeued or ends its job.

use std::collections::VecDeque;

use cumindeck_api::JobState;
use cumindeck_control::gang::GangFailure;
use cumindeck_placement::{Event, JobOutcome};
use cumindeck_types::{Attempt, JobId};

use super::active::Active;
use super::gangs::{CANCELLED, TokenRow, delete, put};
use super::{RegionCommit, RegionCx, RegionEffect};
use crate::duty_rows::check_token;
use crate::event::Notice;
use crate::rows::{EndedRow, JobRow, RowKey, RowValue};

impl Active {
    /// Takes in that all tasks of an attempt run.
    pub fn started(
        &mut self,
        token_row: TokenRow,
        job: &JobId,
        attempt: Attempt,
        out: &mut Vec<RegionEffect>,
    ) {
        let Some(track) = self.book.get_mut(job) else {
            return;
        };
        if let Some(current) = &mut track.attempt {
            current.start = None;
            current.is_running = true;
        }
        track.row.state = JobState::Running;
        track.message = format!("attempt {attempt} runs");
        out.push(RegionEffect::Notice(Notice::GangStarted {
            job: job.clone(),
            attempt,
        }));
        self.record_state(token_row, job, out);
    }

    /// Records a job's state for readers; the next state overwrites it.
    pub fn record_state(&mut self, token_row: TokenRow, job: &JobId, out: &mut Vec<RegionEffect>) {
        let (Some((version, _)), Some(track)) = (token_row, self.book.get(job)) else {
            return;
        };
        let writes = vec![
            check_token(&self.region, version),
            put(
                RowKey::Job(self.region.clone(), job.clone()),
                RowValue::Job(track.row.clone()),
            ),
        ];
        self.commit(RegionCommit::State(job.clone()), writes, out);
    }

    /// Takes in that an attempt did not start.
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
        let Some(track) = self.book.get_mut(job) else {
            return;
        };
        track.message = format!("attempt {attempt} did not start: {failure:?}");
        let Some(current) = &mut track.attempt else {
            return;
        };
        current.start = None;
        current.is_stopping = true;
        // Without an order to start no body runs, and reservations end by themselves.
        if !current.is_go_sent {
            self.pause_start(cx.now, job, attempt);
        }
    }

    /// Takes in that a job waits for another attempt.
    pub fn requeued(
        &mut self,
        cx: RegionCx<'_>,
        job: &JobId,
        attempt: Attempt,
        events: &mut VecDeque<Event>,
    ) {
        let default_limit = cx.settings.jobs.max_attempts;
        let ended = self.book.take_attempt(job);
        let Some(track) = self.book.get_mut(job) else {
            return;
        };
        let has_failed = ended.as_ref().is_some_and(|ended| ended.has_failed());
        track.message = match &ended {
            Some(ended) => format!("attempt {attempt} ended: {}", ended.detail),
            None => format!("attempt {attempt} did not start"),
        };
        track.row.state = JobState::Queued;
        if !has_failed {
            return;
        }
        track.row.failures += 1;
        if track.row.failures >= track.row.spec.max_attempts.unwrap_or(default_limit) {
            track.is_exhausted = true;
            events.push_back(Event::Cancel(job.clone()));
        }
    }

    /// Returns how a job ended, with the reason.
    pub fn outcome(&self, job: &JobId, outcome: JobOutcome) -> (JobState, String) {
        let Some(track) = self.book.get(job) else {
            return (JobState::Failed, String::new());
        };
        let detail = track.attempt.as_ref().map(|attempt| attempt.detail.clone());
        let detail = detail.filter(|detail| !detail.is_empty());
        match outcome {
            JobOutcome::Succeeded => (JobState::Succeeded, "all tasks ended well".to_owned()),
            JobOutcome::Cancelled if track.is_exhausted => {
                let failures = track.row.failures;
                (
                    JobState::Failed,
                    format!("{failures} attempts failed; {}", track.message),
                )
            }
            JobOutcome::Failed => (
                JobState::Failed,
                detail.unwrap_or_else(|| track.message.clone()),
            ),
            JobOutcome::Cancelled => (JobState::Cancelled, CANCELLED.to_owned()),
        }
    }

    /// Records the end of a job; until that is done its reports are kept.
    pub fn end(
        &mut self,
        token_row: TokenRow,
        job: &JobId,
        state: JobState,
        message: &str,
        out: &mut Vec<RegionEffect>,
    ) {
        let region = self.region.clone();
        let Some(track) = self.book.get_mut(job) else {
            return;
        };
        let row = JobRow {
            state,
            ..track.row.clone()
        };
        let ending = EndedRow {
            job: row,
            message: message.to_owned(),
        };
        track.ending = Some(ending.clone());
        track.message = message.to_owned();
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
