//! Handles operators' calls, or forwards them to the leader of a region.

use std::collections::BTreeMap;
use std::time::Duration;

use cumindeck_api::{ErrorBody, ErrorReason, JobFilter, JobStatus, WorkerFence};
use cumindeck_types::{JobId, Region, Uptime, WorkerId};

use crate::announce::agent_of;
use crate::event::{
    OperatorCallId, OperatorReply, OperatorRequest, RowAction, RowCondition, RowWrite, SiteEffect,
};
use crate::machine::{CommitPurpose, ReadPurpose, SiteMachine};
use crate::region::{
    ActiveRegion, JobCall, cancel_ended, ended_status, not_found, place, why_ended,
};
use crate::rows::{JobRow, RowKey, RowRange, RowValue, StoredRow, WorkerRow};

impl SiteMachine {
    /// Handles an operator's call.
    pub(crate) fn on_operator_call(
        &mut self,
        now: Uptime,
        wall: Duration,
        call: OperatorCallId,
        req: OperatorRequest,
        out: &mut Vec<SiteEffect>,
    ) {
        let reply = match req {
            OperatorRequest::GetConfig => self.config.bundle(),
            // Nothing was sent, so the verdict "not run" is certain.
            _ if req.is_change() && !self.polled.is_store_up => store_unavailable(),
            OperatorRequest::PutConfig(change) => {
                let effects = self.config.put(call, change, self.polled.config);
                self.config_effects(effects, out);
                return;
            }
            OperatorRequest::Status => OperatorReply::Status(Box::new(self.status(now))),
            _ if self.config.settings().is_none() => not_ready(),
            OperatorRequest::Zones => self.zones(now),
            OperatorRequest::Zone(zone) => self.zone(now, &zone),
            OperatorRequest::PutZone(zone, change) => match self.zone(now, &zone) {
                OperatorReply::Zone(status) => {
                    let writer_id = format!("{}:{}", self.cfg.entry, self.cfg.incarnation);
                    match self.polled.put_zone(call, &writer_id, status, change) {
                        Ok(write) => {
                            self.commit(CommitPurpose::Zone(zone), vec![write], out);
                            return;
                        }
                        Err(reply) => reply,
                    }
                }
                reply => reply,
            },
            OperatorRequest::Rules => return self.list_rules(call, out),
            OperatorRequest::PutRules(put) => return self.put_rules(now, wall, call, put, out),
            OperatorRequest::Teams => OperatorReply::Teams(self.teams()),
            OperatorRequest::Team(team) => self.team(&team),
            OperatorRequest::Worker(worker) => self.worker(now, &worker),
            OperatorRequest::Workers(filter) => OperatorReply::Workers(self.workers(now, &filter)),
            OperatorRequest::DrainWorker(worker, change) => {
                let known = self.polled.worker(&worker).cloned().unwrap_or_default();
                let row = WorkerRow {
                    is_draining: change.drain,
                    ..known
                };
                return self.put_worker(now, call, worker, row, out);
            }
            OperatorRequest::FenceWorker(worker, change) => {
                if !change.verified_gone {
                    error(
                        ErrorReason::Invalid,
                        "verified_gone is false".to_owned(),
                        "make sure that the instance has terminated; otherwise its tasks run twice",
                    )
                } else if let Some(reply) = self.check_incarnation(&worker, change) {
                    reply
                } else {
                    let known = self.polled.worker(&worker).cloned().unwrap_or_default();
                    let row = WorkerRow {
                        fenced: Some(change.incarnation),
                        ..known
                    };
                    return self.put_worker(now, call, worker, row, out);
                }
            }
            OperatorRequest::SubmitJob(spec) => {
                let region = spec.region.clone();
                return self.job_call(now, wall, call, &region, JobCall::Submit(spec), out);
            }
            OperatorRequest::CancelJob(job) => {
                return self.find_job(now, wall, call, JobCall::Cancel(job), out);
            }
            OperatorRequest::ExplainJob(job) => {
                return self.find_job(now, wall, call, JobCall::Explain(job), out);
            }
            OperatorRequest::Jobs(filter) => {
                let regions = self.regions.keys().cloned().map(RowRange::Jobs).collect();
                return self.read(ReadPurpose::JobList(call, filter), regions, out);
            }
            OperatorRequest::Job(job) => match self.active_job(&job) {
                Some((_, status)) => OperatorReply::Job(Box::new(status)),
                None => {
                    let ranges = vec![
                        RowRange::Row(RowKey::JobRegion(job.clone())),
                        RowRange::Row(RowKey::Ended(job.clone())),
                    ];
                    return self.read(ReadPurpose::JobRegion(call, job), ranges, out);
                }
            },
        };
        out.push(SiteEffect::ReplyOperator(call, reply));
    }

    /// Handles rows that were read for an operator.
    pub(crate) fn on_operator_read(
        &mut self,
        now: Uptime,
        wall: Duration,
        purpose: ReadPurpose,
        rows: Option<Vec<StoredRow>>,
        out: &mut Vec<SiteEffect>,
    ) {
        let (call, reply) = match (purpose, rows) {
            (ReadPurpose::WorkerReadBack(call, worker), rows) => {
                let reply = match rows {
                    Some(rows) => {
                        self.polled.update_workers(&rows);
                        self.worker(now, &worker)
                    }
                    None => error(
                        ErrorReason::OutcomeUnknown,
                        format!("the change of {worker} was sent; its outcome can't be read back"),
                        "read the state with `cumindeck worker show` before you repeat it",
                    ),
                };
                (call, reply)
            }
            (ReadPurpose::JobRegion(call, job), Some(rows)) => match job_location(&rows) {
                JobLocation::Ended(status) => (call, OperatorReply::Job(status)),
                JobLocation::Region(region) => {
                    let ranges = vec![
                        RowRange::Row(RowKey::Job(region.clone(), job.clone())),
                        RowRange::Row(RowKey::Attempt(region, job.clone())),
                        RowRange::Row(RowKey::Ended(job.clone())),
                    ];
                    return self.read(ReadPurpose::Job(call, job), ranges, out);
                }
                JobLocation::Unknown => (call, not_found(&job)),
            },
            (ReadPurpose::Job(call, job), Some(rows)) => {
                let reply = match recorded_status(&rows) {
                    Some(status) => OperatorReply::Job(Box::new(status)),
                    None => not_found(&job),
                };
                (call, reply)
            }
            (ReadPurpose::FindJob(call, req), Some(rows)) => {
                let reply = match (job_location(&rows), &req) {
                    (JobLocation::Region(region), _) => {
                        return self.job_call(now, wall, call, &region, req, out);
                    }
                    (JobLocation::Ended(status), JobCall::Cancel(_)) => cancel_ended(*status),
                    (JobLocation::Ended(status), _) => {
                        OperatorReply::JobExplanation(Box::new(why_ended(*status)))
                    }
                    (JobLocation::Unknown, req) => not_found(req.job()),
                };
                (call, reply)
            }
            (ReadPurpose::JobList(call, filter), Some(rows)) => {
                (call, self.job_list(&rows, &filter))
            }
            (
                ReadPurpose::JobRegion(call, _)
                | ReadPurpose::Job(call, _)
                | ReadPurpose::FindJob(call, _)
                | ReadPurpose::JobList(call, _),
                None,
            ) => (call, store_unavailable()),
            _ => return,
        };
        out.push(SiteEffect::ReplyOperator(call, reply));
    }

    /// Forwards a call about a job to the leader of the region.
    fn job_call(
        &mut self,
        now: Uptime,
        wall: Duration,
        call: OperatorCallId,
        region: &Region,
        req: JobCall,
        out: &mut Vec<SiteEffect>,
    ) {
        let Some(leadership) = self.regions.get(region) else {
            let reply = error(
                ErrorReason::Invalid,
                format!("region {region} is not in the configuration"),
                "see the regions under [site] with `cumindeck config show`",
            );
            out.push(SiteEffect::ReplyOperator(call, reply));
            return;
        };
        let leader = leadership
            .leader_lease()
            .leader()
            .filter(|leader| leader.entry != self.cfg.entry);
        let leader = leader.and_then(|leader| self.polled.entry(now, &leader.entry));
        match leader.filter(|_| leadership.active().is_none()) {
            Some(row) => {
                let reply = OperatorReply::Forward(row.operators);
                out.push(SiteEffect::ReplyOperator(call, reply));
            }
            None => self.with_region(now, wall, region, out, |leadership, cx, out| {
                leadership.job_call(cx, call, req, out);
            }),
        }
    }

    /// Forwards a call to the region of its job, which is read from the table service
    /// if this entry leads no region that knows the job.
    fn find_job(
        &mut self,
        now: Uptime,
        wall: Duration,
        call: OperatorCallId,
        req: JobCall,
        out: &mut Vec<SiteEffect>,
    ) {
        let job = req.job().clone();
        let knows = |active: &ActiveRegion| active.job(&job).is_some() || active.has_ended(&job);
        let known = self
            .regions
            .iter()
            .find(|(_, leadership)| leadership.active().is_some_and(knows));
        if let Some(region) = known.map(|(region, _)| region.clone()) {
            return self.job_call(now, wall, call, &region, req, out);
        }
        let ranges = vec![
            RowRange::Row(RowKey::JobRegion(job.clone())),
            RowRange::Row(RowKey::Ended(job)),
        ];
        self.read(ReadPurpose::FindJob(call, req), ranges, out);
    }

    /// Returns the error for a fence that identifies another incarnation of the agent.
    fn check_incarnation(&self, worker: &WorkerId, fence: WorkerFence) -> Option<OperatorReply> {
        let agent = agent_of(&self.views, worker)?;
        let found = self.views.announcement(&agent)?.incarnation;
        let reply = || {
            error(
                ErrorReason::Conflict,
                format!(
                    "the agent of {worker} has incarnation {found}; the fence names {}",
                    fence.incarnation
                ),
                "look at the instance again; an agent that has restarted must not be fenced",
            )
        };
        (found != fence.incarnation).then(reply)
    }

    fn put_worker(
        &mut self,
        now: Uptime,
        call: OperatorCallId,
        worker: WorkerId,
        row: WorkerRow,
        out: &mut Vec<SiteEffect>,
    ) {
        if agent_of(&self.views, &worker).is_none() {
            let reply = self.worker(now, &worker);
            out.push(SiteEffect::ReplyOperator(call, reply));
            return;
        }
        let write = RowWrite {
            key: RowKey::Worker(worker.clone()),
            condition: RowCondition::Version(self.polled.worker_version(&worker)),
            action: RowAction::Put(RowValue::Worker(row)),
        };
        self.commit(CommitPurpose::Worker(call, worker), vec![write], out);
    }

    fn active_job(&self, job: &JobId) -> Option<(&Region, JobStatus)> {
        self.regions.iter().find_map(|(region, leadership)| {
            let tracked = leadership.active()?.job(job)?;
            Some((region, tracked.status()))
        })
    }

    /// Lists the stored jobs, with newer states where this entry is the leader.
    fn job_list(&self, rows: &[StoredRow], filter: &JobFilter) -> OperatorReply {
        let mut jobs = BTreeMap::new();
        for row in rows {
            if let RowValue::Job(row) = &row.value {
                jobs.insert(row.spec.id.clone(), row_status(row));
            }
        }
        for active in self
            .regions
            .values()
            .filter_map(|leadership| leadership.active())
        {
            for row in active.registry.ended() {
                jobs.insert(row.job.spec.id.clone(), ended_status(row));
            }
            for tracked in active.registry.jobs() {
                jobs.insert(tracked.row.spec.id.clone(), tracked.status());
            }
        }
        OperatorReply::Jobs(filter.page(jobs.into_values()))
    }
}

/// Location of a job's record.
enum JobLocation {
    Ended(Box<JobStatus>),
    Region(Region),
    Unknown,
}

fn job_location(rows: &[StoredRow]) -> JobLocation {
    let mut place = JobLocation::Unknown;
    for row in rows {
        match &row.value {
            RowValue::Ended(row) => return JobLocation::Ended(Box::new(ended_status(row))),
            RowValue::JobRegion(region) => place = JobLocation::Region(region.clone()),
            _ => {}
        }
    }
    place
}

/// Returns a job's status from its stored rows.
fn recorded_status(rows: &[StoredRow]) -> Option<JobStatus> {
    let ended = rows.iter().find_map(|row| match &row.value {
        RowValue::Ended(row) => Some(ended_status(row)),
        _ => None,
    });
    let mut status = ended.or_else(|| {
        rows.iter().find_map(|row| match &row.value {
            RowValue::Job(row) => Some(row_status(row)),
            _ => None,
        })
    })?;
    for row in rows {
        if let RowValue::Attempt(attempt) = &row.value
            && attempt.attempt == status.attempt
            && !status.state.is_final()
        {
            status.is_borrowed = attempt.is_borrowed;
            status.places = attempt.tasks.iter().map(place).collect();
        }
    }
    Some(status)
}

fn row_status(row: &JobRow) -> JobStatus {
    JobStatus {
        spec: row.spec.clone(),
        state: row.state,
        attempt: row.attempt,
        is_borrowed: false,
        places: Vec::new(),
        message: String::new(),
    }
}

/// Returns the reply to a call that needs the table service while that is unresponsive.
pub(crate) fn store_unavailable() -> OperatorReply {
    error(
        ErrorReason::StoreUnavailable,
        "the table service does not answer; nothing was changed".to_owned(),
        "try again when it answers; running work goes on meanwhile",
    )
}

/// Returns the reply of an entry without a configuration.
pub(crate) fn not_ready() -> OperatorReply {
    error(
        ErrorReason::NotReady,
        "the entry has no confirmed configuration in force".to_owned(),
        "apply a configuration with `cumindeck config apply`, or wait for the table service",
    )
}

pub(crate) fn error(reason: ErrorReason, message: String, hint: &str) -> OperatorReply {
    OperatorReply::Error(Box::new(ErrorBody::new(reason, message, hint.to_owned())))
}
