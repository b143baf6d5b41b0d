//! Cancels of jobs, also of those that are not stored.

use cumindeck_types::{JobId, Uptime};

use super::{ApiStep, JobApi, KnownJob, insert_transaction, parse_job_id};
use crate::call::{CallerAnswer, CallerRequest};
use crate::rows::{CancelRow, RowKey, Transaction, encode, system_row_condition};

impl JobApi {
    /// Returns whether the view has the job that a request names.
    pub(super) fn knows_job(&self, req: &CallerRequest) -> bool {
        let known = self.job_of(req).and_then(|job| self.jobs.get(&job));
        known.is_some_and(|known| known.row.is_some())
    }

    /// Returns the job that a request names.
    fn job_of(&self, req: &CallerRequest) -> Option<JobId> {
        let catalog = self.catalog.as_ref()?;
        let access = catalog.access(&req.host, &req.path, req.key.as_deref());
        parse_job_id(access.ok()?.rest).ok()
    }

    /// Cancels a job that is not stored. A write of its submission may still be under way; the
    /// row of the cancel makes it void.
    pub(super) fn cancel_early(&self, now: Uptime, req: &CallerRequest) -> ApiStep {
        if let Some(wait) = self.early_cancels.full_for(self.store_ms(now)) {
            let reason = "too many cancels of unknown jobs are kept".to_owned();
            return ApiStep::Answer(CallerAnswer::NotRun(wait, reason));
        }
        let Some((mut transaction, job)) = self.cancel_transaction(now, req).zip(self.job_of(req))
        else {
            return self.relay(now, req);
        };
        let no_job = system_row_condition(&RowKey::Job(job), 0);
        transaction.conditions.push(no_job);
        ApiStep::WriteThenAnswer(transaction, CallerAnswer::NoJob)
    }

    pub(super) fn cancel(&self, now: Uptime, req: &CallerRequest, job: JobId) -> ApiStep {
        let state = self.jobs.get(&job).and_then(KnownJob::state);
        match (state, self.cancel_transaction(now, req)) {
            (Some(state), _) if state.is_final() => ApiStep::Answer(self.answer_from_view(now)),
            (Some(_), Some(cancel)) => ApiStep::Write(cancel),
            (None, _) | (_, None) => self.lookup(now, job, None),
        }
    }

    /// Returns the transaction that cancels the job of a request.
    pub(super) fn cancel_transaction(
        &self,
        now: Uptime,
        req: &CallerRequest,
    ) -> Option<Transaction> {
        let catalog = self.catalog.as_ref()?;
        let access = catalog
            .access(&req.host, &req.path, req.key.as_deref())
            .ok()?;
        let key = RowKey::Cancel(parse_job_id(access.rest).ok()?);
        let row = CancelRow {
            team: access.team,
            cancelled_store_ms: Some(self.store_ms(now)),
        };
        Some(insert_transaction(catalog, key, encode(&row)))
    }
}
