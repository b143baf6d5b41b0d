//! The job API: responses to callers at any entry.
//!
//! It decides from the entry's view of the store. Where the view may be outdated it
//! requests a call to the store first: a job is accepted by a write that is
//! conditional on the configuration that allowed it.

mod cancels;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use cumindeck_types::{ConfigVersion, EntryId, JobId, TeamId, Uptime};

use crate::TimeLimits;
use crate::admission::{AdmissionPolicy, Backlog, OfferedJob, Refusal, RefuseWorthless, Returns};
use crate::call::{CallerAnswer, CallerOperation, CallerRequest};
use crate::catalog::{Access, Catalog, Denied};
use crate::early_cancels::EarlyCancels;
use crate::model::{JobSpec, LEAST_PERCENT_OF_ESTIMATE, MAX_OVERDUE_FACTOR, Recurrence, StepSpec};
use crate::progress::{JobProgress, JobState};
use crate::rows::{
    Change, EntryRow, Forecast, JobRow, MAX_VALUE_BYTES, Row, RowKey, RowName, StoreRow,
    Transaction, config_condition, encode, system_row_condition,
};
use crate::store_wait::StoreRead;

/// Time for which requests are not forwarded to an entry that did not reply.
///
/// The row of a terminated entry stays in the store; a request that is forwarded to
/// it would be refused only after a time-out.
const UNRESPONSIVE_RETENTION: Duration = Duration::from_secs(5);

/// Outcome of a call to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreResult {
    /// The transaction was committed.
    Done {
        /// Version of the rows written.
        version: u64,
    },
    /// The rows that were read.
    Rows(Vec<StoreRow>),
    /// A condition was not met; the current rows of the conditions.
    Conflict(Vec<StoreRow>),
    /// The store changed nothing, for this reason.
    NotDone(String),
    /// The store changed nothing and never will: it does not accept the contents.
    Refused(String),
    /// The transaction may have been committed or may be committed later.
    Unknown(String),
}

impl StoreResult {
    /// Returns the outcome of a write whose retry has this outcome.
    ///
    /// An attempt without an outcome may be committed after its retry is rejected.
    #[must_use]
    pub fn after(self, earlier: Self) -> Self {
        match (&self, &earlier) {
            (Self::NotDone(_) | Self::Refused(_), Self::Unknown(_)) => earlier,
            _ => self,
        }
    }
}

/// What the owner of a caller's connection does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ApiStep {
    /// Send this response.
    Answer(CallerAnswer),
    /// Write to the store and resume with the outcome.
    Write(Transaction),
    /// Write to the store; send this response if the transaction is committed, and otherwise
    /// resume with the outcome.
    WriteThenAnswer(Transaction, CallerAnswer),
    /// Read the rows of a job and resume with the outcome.
    Lookup {
        /// The job to read.
        job: JobId,
        /// Time after which the read counts as failed.
        max_wait: Duration,
    },
    /// Forward the request to these entries, in this order; this entry is not among them.
    Relay(Vec<SocketAddr>),
}

#[derive(Debug, Clone, Default)]
struct KnownJob {
    /// The accepted job; `None` if only other rows of it have been read.
    row: Option<Box<JobRow>>,
    progress: JobProgress,
    is_cancelled: bool,
}

impl KnownJob {
    fn state(&self) -> Option<JobState> {
        let row = self.row.as_ref()?;
        let state = self.progress.state(&row.spec);
        Some(match self.is_cancelled && !state.is_final() {
            true => JobState::Cancelled,
            false => state,
        })
    }

    /// Returns the answer to a read; `None` if no such job was accepted.
    fn answer(&self) -> Option<CallerAnswer> {
        let state = self.state()?;
        Some(match &self.progress.refusal {
            Some(reason) if state == JobState::Failed => CallerAnswer::SetApart(reason.clone()),
            Some(_) | None => CallerAnswer::State(state),
        })
    }
}

/// The entry's view of configuration, jobs and entries.
#[derive(Debug)]
pub struct JobApi {
    entry: EntryId,
    limits: TimeLimits,
    catalog: Option<Catalog>,
    catalog_confirmed: Uptime,
    /// Jobs of which any row has been read.
    jobs: BTreeMap<JobId, KnownJob>,
    early_cancels: EarlyCancels,
    jobs_confirmed: Uptime,
    entries: BTreeMap<EntryId, SocketAddr>,
    leader: Option<SocketAddr>,
    /// When entries last did not reply.
    unresponsive: BTreeMap<SocketAddr, Uptime>,
    /// Last reading of the store's clock in milliseconds, and when it was received.
    store_ms_at: Option<(u64, Uptime)>,
    admission: Box<dyn AdmissionPolicy>,
    forecast: Forecast,
    /// When the forecast was confirmed; `None` from its row to the confirmation.
    forecast_confirmed: Option<Uptime>,
    /// When refused clients return, by service, team and priority.
    returns: BTreeMap<(String, Option<TeamId>, u32), Returns>,
}

impl JobApi {
    /// Creates the view of an entry that has read nothing yet.
    #[must_use]
    pub fn new(entry: EntryId, limits: TimeLimits) -> Self {
        Self {
            entry,
            limits,
            catalog: None,
            catalog_confirmed: Uptime::ZERO,
            jobs: BTreeMap::new(),
            early_cancels: EarlyCancels::new(),
            jobs_confirmed: Uptime::ZERO,
            entries: BTreeMap::new(),
            leader: None,
            unresponsive: BTreeMap::new(),
            store_ms_at: None,
            admission: Box::new(RefuseWorthless),
            forecast: Forecast::default(),
            forecast_confirmed: None,
            returns: BTreeMap::new(),
        }
    }

    /// Returns the configuration in force.
    #[must_use]
    pub const fn catalog(&self) -> Option<&Catalog> {
        self.catalog.as_ref()
    }

    /// Returns the version of the configuration in force.
    #[must_use]
    pub fn config_version(&self) -> Option<ConfigVersion> {
        self.catalog.as_ref().map(|catalog| catalog.version)
    }

    /// Applies a configuration; one older than that in force changes nothing.
    pub fn on_catalog(&mut self, catalog: Catalog) {
        let is_newer = |known: &Catalog| known.row_version < catalog.row_version;
        if self.catalog.as_ref().is_none_or(is_newer) {
            self.catalog = Some(catalog);
        }
    }

    /// Records that the configuration was the newest one at `confirmed`.
    pub fn on_catalog_confirmed(&mut self, confirmed: Uptime) {
        self.catalog_confirmed = self.catalog_confirmed.max(confirmed);
    }

    /// Applies a row of the system's table.
    pub fn on_row(&mut self, row: Row) {
        match row {
            Row::Leader(row) => {
                self.leader = row.address;
                self.forecast = row.forecast;
                self.forecast_confirmed = None;
            }
            Row::Entry(entry, EntryRow { address }) => {
                self.entries.insert(entry, address);
            }
            Row::Job(job, row) => {
                self.early_cancels.remove(&job);
                self.jobs.entry(job).or_default().row = Some(row);
            }
            Row::Cancel(job, row) => {
                let known = self.jobs.entry(job.clone()).or_default();
                known.is_cancelled = true;
                if known.row.is_none() {
                    let (since, store_ms) = (row.cancelled_store_ms, self.last_store_ms());
                    self.early_cancels.insert(job, since, store_ms);
                }
            }
            Row::Progress(job, progress) => self.jobs.entry(job).or_default().progress = progress,
            Row::Removed(RowKey::Entry(entry)) => {
                self.entries.remove(&entry);
            }
            Row::Removed(RowKey::Job(job)) => {
                self.jobs.remove(&job);
            }
            Row::Removed(RowKey::Cancel(job)) => {
                if self.early_cancels.remove(&job) {
                    self.jobs.remove(&job);
                }
            }
            Row::Worker(..)
            | Row::Part { .. }
            | Row::Removed(
                RowKey::Leader | RowKey::Progress(_) | RowKey::Part(..) | RowKey::Worker(_),
            ) => {}
        }
    }

    /// Records that the view of the system's table was complete at `confirmed`, and the
    /// reading of the store's clock that was received at `received_at`.
    pub fn on_rows_confirmed(&mut self, confirmed: Uptime, received_at: Uptime, store_ms: u64) {
        self.jobs_confirmed = self.jobs_confirmed.max(confirmed);
        self.store_ms_at = Some((store_ms, received_at));
        self.forecast_confirmed.get_or_insert(confirmed);
    }

    /// Returns whether the view is recent enough to serve callers.
    #[must_use]
    pub fn is_current(&self, now: Uptime) -> bool {
        self.catalog.is_some()
            && self.is_recent(now, self.catalog_confirmed)
            && self.is_recent(now, self.jobs_confirmed)
    }

    /// Returns the ages of the views of configuration and jobs.
    #[must_use]
    pub fn ages(&self, now: Uptime) -> (Duration, Duration) {
        (
            now.since(self.catalog_confirmed),
            now.since(self.jobs_confirmed),
        )
    }

    /// Records whether another entry replied to a forwarded request.
    pub fn on_peer_reply(&mut self, now: Uptime, peer: SocketAddr, is_unresponsive: bool) {
        match is_unresponsive {
            true => self.unresponsive.insert(peer, now),
            false => self.unresponsive.remove(&peer),
        };
    }

    /// Returns the addresses of all entries.
    #[must_use]
    pub fn entries(&self) -> Vec<SocketAddr> {
        self.entries.values().copied().collect()
    }

    /// Estimates the store's time in milliseconds; 0 if it was never read.
    #[must_use]
    pub fn store_ms(&self, now: Uptime) -> u64 {
        self.store_ms_at.map_or(0, |(store_ms, at)| {
            store_ms + u64::try_from(now.since(at).as_millis()).unwrap_or(0)
        })
    }

    /// Returns the last reading of the store's clock in milliseconds; 0 if there is none.
    fn last_store_ms(&self) -> u64 {
        self.store_ms_at.map_or(0, |(store_ms, _)| store_ms)
    }

    /// Decides on a request.
    #[must_use]
    pub fn begin(&self, now: Uptime, req: &CallerRequest) -> ApiStep {
        let Some(catalog) = &self.catalog else {
            return self.relay(now, req);
        };
        let config_age = now.since(self.catalog_confirmed);
        let is_config_recent = config_age <= self.limits.max_view_age();
        let access = match catalog.access(&req.host, &req.path, req.key.as_deref()) {
            Ok(access) => access,
            Err(_) if !is_config_recent => return self.relay(now, req),
            Err(Denied::NoQueue) => return ApiStep::Answer(CallerAnswer::NoQueue),
            Err(Denied::BadKey) => return ApiStep::Answer(CallerAnswer::BadKey),
        };
        // The condition of a write checks that the key is in force; a read relies on a
        // recent view.
        if req.verb == CallerOperation::Read && config_age > self.limits.max_key_view_age() {
            return self.relay(now, req);
        }
        if access.rest.is_empty() && req.verb == CallerOperation::Read {
            if !self.is_current(now) {
                return self.relay(now, req);
            }
            return ApiStep::Answer(CallerAnswer::Pending(self.pending(&access.queue.name)));
        }
        let Ok(job) = parse_job_id(access.rest) else {
            let text = format!(
                "{:?} is not a job id; expected 16 hexadecimal digits",
                access.rest
            );
            return ApiStep::Answer(CallerAnswer::Bad(text));
        };
        let known = self.jobs.get(&job);
        match &req.verb {
            CallerOperation::Read => match known.and_then(KnownJob::answer) {
                Some(answer) => ApiStep::Answer(answer),
                None => self.lookup(now, job, None),
            },
            CallerOperation::Cancel => self.cancel(now, req, job),
            CallerOperation::Submit { .. } if known.is_some_and(|known| known.row.is_some()) => {
                ApiStep::Answer(self.answer_from_view(now))
            }
            // A write to an unreachable store has no outcome, and its caller can't
            // retry it; a read first shows that the store replies.
            CallerOperation::Submit {
                steps, recurrence, ..
            } => {
                let spec = job_spec(&access, "", steps, *recurrence);
                let objective = Duration::from_millis(spec.objective_ms());
                self.lookup(now, job, Some(objective))
            }
        }
    }

    /// Decides on a request after the outcome of a write or a lookup.
    pub fn resume(&mut self, now: Uptime, req: &CallerRequest, result: &StoreResult) -> ApiStep {
        match (result, &req.verb) {
            (StoreResult::Done { .. }, _) => ApiStep::Answer(CallerAnswer::Ok),
            (StoreResult::Rows(rows), CallerOperation::Read) => {
                let answer = job_from_rows(rows).answer();
                ApiStep::Answer(answer.unwrap_or(CallerAnswer::NoJob))
            }
            (StoreResult::Rows(rows), verb) => match (job_from_rows(rows).state(), verb) {
                (None, CallerOperation::Submit { .. }) => self.accept(now, req),
                (None, _) => self.cancel_early(now, req),
                (Some(state), CallerOperation::Cancel) if !state.is_final() => self
                    .cancel_transaction(now, req)
                    .map_or_else(|| self.relay(now, req), ApiStep::Write),
                (Some(_), _) => ApiStep::Answer(self.answer_from_view(now)),
            },
            (StoreResult::Conflict(rows), _) => self.resume_conflict(now, rows, req),
            (StoreResult::Refused(reason), CallerOperation::Submit { .. }) => ApiStep::Answer(
                CallerAnswer::Bad(format!("the store refuses the job: {reason}")),
            ),
            (StoreResult::NotDone(_) | StoreResult::Unknown(_) | StoreResult::Refused(_), _) => {
                self.relay(now, req)
            }
        }
    }

    fn resume_conflict(&self, now: Uptime, rows: &[StoreRow], req: &CallerRequest) -> ApiStep {
        let has_row = |is_kind: fn(&RowName) -> bool| {
            rows.iter()
                .any(|row| is_kind(&row.name) && row.value.is_some())
        };
        let is_job = |name: &RowName| matches!(name, RowName::System(RowKey::Job(_)));
        let is_cancel = |name: &RowName| matches!(name, RowName::System(RowKey::Cancel(_)));
        match &req.verb {
            // The job was accepted before, possibly by a write whose reply was lost.
            CallerOperation::Submit { .. } if has_row(is_job) => ApiStep::Answer(CallerAnswer::Ok),
            CallerOperation::Submit { .. } if has_row(is_cancel) => {
                ApiStep::Answer(CallerAnswer::CancelledEarly)
            }
            CallerOperation::Cancel if has_row(is_cancel) => {
                let is_stored = has_row(is_job) || self.knows_job(req);
                ApiStep::Answer(match is_stored {
                    true => CallerAnswer::Ok,
                    false => CallerAnswer::NoJob,
                })
            }
            // The job was stored after the read that did not find it.
            CallerOperation::Cancel if has_row(is_job) => self
                .cancel_transaction(now, req)
                .map_or_else(|| self.relay(now, req), ApiStep::Write),
            _ => ApiStep::Answer(CallerAnswer::not_run("the configuration changed meanwhile")),
        }
    }

    /// Reads the rows of a job; `objective` is that of a submitted one.
    fn lookup(&self, now: Uptime, job: JobId, objective: Option<Duration>) -> ApiStep {
        // One dead feed does not show that the store is silent.
        let confirmed = self.catalog_confirmed.max(self.jobs_confirmed);
        let read = StoreRead {
            view_age: now.since(confirmed),
            objective,
        };
        ApiStep::Lookup {
            job,
            max_wait: read.max_wait(),
        }
    }

    /// Returns the answer to a request that asks for what the view shows as done already.
    ///
    /// No write checks its key, which an outdated configuration may still have. It is no
    /// refusal either, since the job is stored.
    fn answer_from_view(&self, now: Uptime) -> CallerAnswer {
        match now.since(self.catalog_confirmed) <= self.limits.max_key_view_age() {
            true => CallerAnswer::Ok,
            false => CallerAnswer::unknown("the key is not confirmed"),
        }
    }

    /// Accepts a job if the configuration still allows it.
    fn accept(&mut self, now: Uptime, req: &CallerRequest) -> ApiStep {
        let CallerOperation::Submit {
            payload,
            steps,
            recurrence,
        } = &req.verb
        else {
            return self.relay(now, req);
        };
        let Some(catalog) = &self.catalog else {
            return self.relay(now, req);
        };
        let access = catalog.access(&req.host, &req.path, req.key.as_deref());
        let access = access
            .ok()
            .and_then(|access| Some((parse_job_id(access.rest).ok()?, access)));
        let Some((job, access)) = access else {
            return ApiStep::Answer(CallerAnswer::not_run("the configuration changed meanwhile"));
        };
        let row = JobRow {
            spec: job_spec(&access, payload, steps, *recurrence),
            entry: self.entry.clone(),
            accepted_store_ms: self.store_ms(now),
        };
        if let Some(refusal) = self.refusal(now, &row.spec, catalog) {
            let backlog = (row.spec.service, row.spec.team, row.spec.priority);
            let entries = u32::try_from(self.entries.len()).unwrap_or(u32::MAX);
            let returns = self.returns.entry(backlog);
            let returns = returns.or_insert(Returns::new());
            let retry_after = returns.retry_after(now, &refusal, entries);
            return ApiStep::Answer(CallerAnswer::NotRun(retry_after, refusal.to_string()));
        }
        let value = encode(&row);
        if value.len() > MAX_VALUE_BYTES {
            let text = format!(
                "the description of the job takes {} bytes; at most {MAX_VALUE_BYTES} can be stored",
                value.len()
            );
            return ApiStep::Answer(CallerAnswer::Bad(text));
        }
        let no_cancel = system_row_condition(&RowKey::Cancel(job.clone()), 0);
        let mut transaction = insert_transaction(catalog, RowKey::Job(job), value);
        transaction.conditions.push(no_cancel);
        ApiStep::Write(transaction)
    }

    /// Returns why a job is refused for load; `None` if it is not.
    fn refusal(&self, now: Uptime, spec: &JobSpec, catalog: &Catalog) -> Option<Refusal> {
        let forecast = &self.forecast;
        let item = forecast.wait(&spec.service, spec.team.as_ref(), spec.priority)?;
        let lasts = spec.recurrence.is_some() || spec.steps.iter().any(|step| step.long_running);
        let least_ms = spec.critical_path_ms() / 100 * LEAST_PERCENT_OF_ESTIMATE;
        let objective = Duration::from_millis(spec.objective_ms());
        let job = OfferedJob {
            least_duration: Duration::from_millis(least_ms),
            valuable_for: (!lasts).then(|| objective.saturating_mul(MAX_OVERDUE_FACTOR)),
            is_guaranteed: spec.priority == 0 && self.is_within_guarantee(spec, catalog),
        };
        let age = now.since(self.forecast_confirmed?);
        self.admission.refusal(&job, Some(&Backlog::new(item, age)))
    }

    /// Returns whether the unfinished urgent jobs of a team fit its guarantee with a new one.
    fn is_within_guarantee(&self, new: &JobSpec, catalog: &Catalog) -> bool {
        let Some(team) = &new.team else {
            return false;
        };
        let is_urgent = |spec: &JobSpec| spec.priority == 0 && spec.team.as_ref() == Some(team);
        let jobs = self.jobs.values();
        let unfinished = jobs.filter(|job| job.state().is_some_and(|state| !state.is_final()));
        let unfinished = unfinished.filter_map(|job| job.row.as_ref());
        let others = unfinished
            .map(|row| &row.spec)
            .filter(|spec| is_urgent(spec));
        let needed = others.chain([new]).map(JobSpec::widest_accelerators);
        let needed = needed.fold(0, u32::saturating_add);
        needed <= catalog.guaranteed(team)
    }

    /// Forwards a request that this entry can't decide, preferably to the leader.
    fn relay(&self, now: Uptime, req: &CallerRequest) -> ApiStep {
        if req.is_relayed {
            return ApiStep::Answer(CallerAnswer::not_run("no view of the store"));
        }
        let mut peers: Vec<SocketAddr> = self
            .entries
            .iter()
            .filter(|(entry, _)| **entry != self.entry)
            .map(|(_, address)| *address)
            .collect();
        let is_unresponsive = |peer: &SocketAddr| {
            let last = self.unresponsive.get(peer);
            last.is_some_and(|at| now.since(*at) < UNRESPONSIVE_RETENTION)
        };
        if !peers.iter().all(is_unresponsive) {
            peers.retain(|peer| !is_unresponsive(peer));
        }
        peers.sort_by_key(|address| Some(*address) != self.leader);
        ApiStep::Relay(peers)
    }

    fn pending(&self, queue: &str) -> u64 {
        let is_queued = |job: &&KnownJob| {
            let is_of_queue = job.row.as_ref().is_some_and(|row| row.spec.queue == queue);
            is_of_queue && job.state() == Some(JobState::Queued)
        };
        self.jobs.values().filter(is_queued).count() as u64
    }

    fn is_recent(&self, now: Uptime, confirmed: Uptime) -> bool {
        confirmed > Uptime::ZERO && now.since(confirmed) <= self.limits.max_view_age()
    }
}

/// Returns the write of a new row, conditional on the configuration.
fn insert_transaction(catalog: &Catalog, key: RowKey, value: Vec<u8>) -> Transaction {
    Transaction {
        conditions: vec![
            config_condition(catalog.row_version),
            system_row_condition(&key, 0),
        ],
        changes: vec![Change {
            key,
            value: Some(value),
        }],
    }
}

/// Parses a caller's job id.
fn parse_job_id(text: &str) -> Result<JobId, ()> {
    let is_hex = text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    match is_hex {
        true => text.parse().map_err(|_| ()),
        false => Err(()),
    }
}

fn job_spec(
    access: &Access<'_>,
    payload: &str,
    steps: &[StepSpec],
    recurrence: Option<Recurrence>,
) -> JobSpec {
    let queue = access.queue;
    JobSpec {
        queue: queue.name.clone(),
        team: access.team.clone(),
        service: queue.service.clone(),
        priority: queue.priority,
        max_attempts: queue.max_attempts,
        slack_percent: queue.slack_percent,
        target_ms: queue.target_ms,
        payload: payload.to_owned(),
        steps: steps.to_vec(),
        recurrence,
        needs_tickets: queue.needs_tickets,
    }
}

/// Returns a job from its rows.
fn job_from_rows(rows: &[StoreRow]) -> KnownJob {
    let mut job = KnownJob::default();
    for row in rows {
        let RowName::System(key) = &row.name else {
            continue;
        };
        match Row::decode(key, row.value.as_deref()) {
            Ok(Row::Job(_, row)) => job.row = Some(row),
            Ok(Row::Progress(_, progress)) => job.progress = progress,
            Ok(Row::Cancel(..)) => job.is_cancelled = true,
            Ok(_) | Err(_) => {}
        }
    }
    job
}
