//! Operators' calls: what this entry can answer itself, and what it passes on.

use std::collections::BTreeMap;
use std::time::Duration;

use cumindeck_api::{ErrorBody, ErrorReason, JobFilter, JobStatus, WorkerFence};
use cumindeck_types::{JobId, Region, Uptime, WorkerId};

use crate::announce::agent_of;
use crate::event::{
    OperatorCall, OperatorReply, OperatorRequest, RowAction, RowCondition, RowWrite, SiteEffect,
};
use crate::machine::{CommitPurpose, ReadPurpose, SiteMachine};
use crate::region::{Active, JobCall, cancel_ended, ended_status, not_found, place, why_ended};
use crate::rows::{JobRow, RowKey, RowRange, RowValue, StoredRow, WorkerRow};

impl SiteMachine {
    /// Handles an operator's call.
    pub(crate) fn operator(
        &mut self,
        now: Uptime,
        wall: Duration,
        call: OperatorCall,
        req: OperatorRequest,
        out: &mut Vec<SiteEffect>,
    ) {
        let reply = match req {
            OperatorRequest::GetConfig => self.config.bundle(),
            // Nothing is sent, so the refusal "not run" is certain.
            _ if req.is_change() && !self.heads.is_store_up => store_unavailable(),
            OperatorRequest::PutConfig(change) => {
                let effects = self.config.put(call, change, self.heads.config);
                self.config_effects(effects, out);
                return;
            }
            OperatorRequest::Status => OperatorReply::Status(Box::new(self.status(now))),
            _ if self.config.settings().is_none() => not_ready(),
            OperatorRequest::Zones => self.zones(now),
            OperatorRequest::Zone(zone) => self.zone(now, &zone),
            OperatorRequest::PutZone(zone, change) => match self.zone(now, &zone) {
                OperatorReply::Zone(status) => {
                    let origin = format!("{}:{}", self.cfg.entry, self.cfg.incarnation);
                    match self.heads.put_zone(call, &origin, status, change) {
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
                let known = self.heads.worker(&worker).cloned().unwrap_or_default();
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
                        "make sure that the instance is gone; else its tasks run twice",
                    )
                } else if let Some(reply) = self.other_incarnation(&worker, change) {
                    reply
                } else {
                    let known = self.heads.worker(&worker).cloned().unwrap_or_default();
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
            OperatorRequest::WhyJob(job) => {
                return self.find_job(now, wall, call, JobCall::Why(job), out);
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

    /// Takes in rows that were read for an operator.
    pub(crate) fn operator_read(
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
                        self.heads.see_workers(&rows);
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
            (ReadPurpose::JobRegion(call, job), Some(rows)) => match job_place(&rows) {
                Place::Ended(status) => (call, OperatorReply::Job(status)),
                Place::Region(region) => {
                    let ranges = vec![
                        RowRange::Row(RowKey::Job(region.clone(), job.clone())),
                        RowRange::Row(RowKey::Attempt(region, job.clone())),
                        RowRange::Row(RowKey::Ended(job.clone())),
                    ];
                    return self.read(ReadPurpose::Job(call, job), ranges, out);
                }
                Place::Unknown => (call, not_found(&job)),
            },
            (ReadPurpose::Job(call, job), Some(rows)) => {
                let reply = match recorded_status(&rows) {
                    Some(status) => OperatorReply::Job(Box::new(status)),
                    None => not_found(&job),
                };
                (call, reply)
            }
            (ReadPurpose::FindJob(call, req), Some(rows)) => {
                let reply = match (job_place(&rows), &req) {
                    (Place::Region(region), _) => {
                        return self.job_call(now, wall, call, &region, req, out);
                    }
                    (Place::Ended(status), JobCall::Cancel(_)) => cancel_ended(*status),
                    (Place::Ended(status), _) => {
                        OperatorReply::JobWhy(Box::new(why_ended(*status)))
                    }
                    (Place::Unknown, req) => not_found(req.job()),
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

    /// Passes a call about a job on to the holder of its region's duty.
    fn job_call(
        &mut self,
        now: Uptime,
        wall: Duration,
        call: OperatorCall,
        region: &Region,
        req: JobCall,
        out: &mut Vec<SiteEffect>,
    ) {
        let Some(duty) = self.regions.get(region) else {
            let reply = error(
                ErrorReason::Invalid,
                format!("region {region} is not in the configuration"),
                "see the regions under [site] with `cumindeck config show`",
            );
            out.push(SiteEffect::ReplyOperator(call, reply));
            return;
        };
        let holder = duty
            .duty()
            .holder()
            .filter(|holder| holder.entry != self.cfg.entry);
        let holder = holder.and_then(|holder| self.heads.entry(now, &holder.entry));
        match holder.filter(|_| duty.active().is_none()) {
            Some(row) => {
                let reply = OperatorReply::Elsewhere(row.operators);
                out.push(SiteEffect::ReplyOperator(call, reply));
            }
            None => self.with_region(now, wall, region, out, |duty, cx, out| {
                duty.job_call(cx, call, req, out);
            }),
        }
    }

    /// Passes a call on to the region of its job; the table service knows it
    /// if the job is not among those of this entry's duties.
    fn find_job(
        &mut self,
        now: Uptime,
        wall: Duration,
        call: OperatorCall,
        req: JobCall,
        out: &mut Vec<SiteEffect>,
    ) {
        let job = req.job().clone();
        let knows = |active: &Active| active.job(&job).is_some() || active.has_ended(&job);
        let known = self
            .regions
            .iter()
            .find(|(_, duty)| duty.active().is_some_and(knows));
        if let Some(region) = known.map(|(region, _)| region.clone()) {
            return self.job_call(now, wall, call, &region, req, out);
        }
        let ranges = vec![
            RowRange::Row(RowKey::JobRegion(job.clone())),
            RowRange::Row(RowKey::Ended(job)),
        ];
        self.read(ReadPurpose::FindJob(call, req), ranges, out);
    }

    /// Makes the refusal of a fence that names another incarnation of the agent.
    fn other_incarnation(&self, worker: &WorkerId, fence: WorkerFence) -> Option<OperatorReply> {
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
        call: OperatorCall,
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
            condition: RowCondition::Version(self.heads.worker_version(&worker)),
            action: RowAction::Put(RowValue::Worker(row)),
        };
        self.commit(CommitPurpose::Worker(call, worker), vec![write], out);
    }

    fn active_job(&self, job: &JobId) -> Option<(&Region, JobStatus)> {
        self.regions.iter().find_map(|(region, duty)| {
            let track = duty.active()?.job(job)?;
            Some((region, track.status()))
        })
    }

    /// Lists jobs by their records, with newer states where this entry holds the duty.
    fn job_list(&self, rows: &[StoredRow], filter: &JobFilter) -> OperatorReply {
        let mut jobs = BTreeMap::new();
        for row in rows {
            if let RowValue::Job(row) = &row.value {
                jobs.insert(row.spec.id.clone(), row_status(row));
            }
        }
        for active in self.regions.values().filter_map(|duty| duty.active()) {
            for row in active.book.ended() {
                jobs.insert(row.job.spec.id.clone(), ended_status(row));
            }
            for track in active.book.jobs() {
                jobs.insert(track.row.spec.id.clone(), track.status());
            }
        }
        OperatorReply::Jobs(filter.page(jobs.into_values()))
    }
}

/// Where a job is recorded.
enum Place {
    Ended(Box<JobStatus>),
    Region(Region),
    Unknown,
}

fn job_place(rows: &[StoredRow]) -> Place {
    let mut place = Place::Unknown;
    for row in rows {
        match &row.value {
            RowValue::Ended(row) => return Place::Ended(Box::new(ended_status(row))),
            RowValue::JobRegion(region) => place = Place::Region(region.clone()),
            _ => {}
        }
    }
    place
}

/// Returns a job's status by its records.
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

/// Makes the reply to a call that needs the table service.
pub(crate) fn store_unavailable() -> OperatorReply {
    error(
        ErrorReason::StoreUnavailable,
        "the table service does not answer; nothing was changed".to_owned(),
        "try again when it answers; running work goes on meanwhile",
    )
}

/// Makes the reply of an entry without a configuration.
pub(crate) fn not_ready() -> OperatorReply {
    error(
        ErrorReason::NotReady,
        "the entry has no confirmed configuration in force".to_owned(),
        "apply a configuration with `cumindeck config apply`, or wait for the table service",
    )
}

/// Makes an error reply.
pub(crate) fn error(reason: ErrorReason, message: String, hint: &str) -> OperatorReply {
    OperatorReply::Error(Box::new(ErrorBody::new(reason, message, hint.to_owned())))
}
