//! Simulated callers that submit jobs, cancel some of them and query their states.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cumindeck_platform::{HttpClient, HttpError};
use cumindeck_standins::fleet::{gang_body, job_body};
use http::{Method, StatusCode};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use tokio::task::JoinSet;

use crate::site::{API_KEY, HOST, MAX_ATTEMPTS, PATH_PREFIX, Site, boot_ms};

const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum number of attempts of a call.
const CALL_ATTEMPTS: usize = 4;

/// One in this many jobs is cancelled.
const CANCEL_RATIO: u32 = 6;

/// A job as its caller sees it.
#[derive(Debug, Clone)]
pub struct Job {
    /// Payload that each run of the job's tasks must have.
    pub payload: String,
    /// Number of tasks of each step.
    pub steps: Vec<u64>,
    /// Whether the tasks of a step start together.
    pub is_gang: bool,
    /// When it was accepted, in milliseconds since boot.
    pub accepted_ms: Option<u64>,
    /// Whether each attempt to submit it was either rejected or not sent, so that it
    /// never runs.
    pub is_refused: bool,
    /// When its cancellation was acknowledged, in milliseconds since boot.
    pub cancelled_ms: Option<u64>,
    /// Whether its caller sends a cancellation.
    pub is_cancel_sent: bool,
    /// Latest state that an entry reported, with its time in milliseconds since boot.
    pub state: Option<(String, u64)>,
    /// When an entry last reported that the job does not exist, in milliseconds since boot.
    pub missing_ms: Option<u64>,
}

impl Job {
    fn new(payload: String, steps: Vec<u64>) -> Self {
        Self {
            payload,
            steps,
            is_gang: false,
            accepted_ms: None,
            is_refused: false,
            cancelled_ms: None,
            is_cancel_sent: false,
            state: None,
            missing_ms: None,
        }
    }
}

/// The result of a call that has ended.
enum CallResult {
    Submitted {
        id: String,
        outcome: Submitted,
    },
    Cancelled {
        id: String,
        is_acknowledged: bool,
    },
    State {
        id: String,
        state: Option<String>,
        is_missing: bool,
    },
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Submitted {
    Accepted,
    Refused,
    Unknown,
}

/// All callers and their jobs.
pub struct Callers {
    client: HttpClient,
    entries: Vec<SocketAddr>,
    seed: u64,
    jobs: BTreeMap<String, Job>,
    calls: JoinSet<CallResult>,
}

impl Callers {
    /// Creates the callers of a site.
    pub fn new(site: &Site, seed: u64) -> Self {
        Self {
            client: HttpClient::new(site.callers()[0], CALL_TIMEOUT),
            entries: site.callers().to_vec(),
            seed,
            jobs: BTreeMap::new(),
            calls: JoinSet::new(),
        }
    }

    /// Returns the jobs by id.
    pub const fn jobs(&self) -> &BTreeMap<String, Job> {
        &self.jobs
    }

    /// Submits a job with a probability of 2/3.
    pub fn maybe_submit(&mut self, rng: &mut ChaCha8Rng) {
        if !rng.random_ratio(2, 3) {
            return;
        }
        let id = self.next_id();
        let fails = if rng.random_ratio(1, 5) {
            MAX_ATTEMPTS - 2
        } else {
            0
        };
        let payload = format!(
            "work={} fail={fails} slots=1 job={id}",
            rng.random_range(200..3_000)
        );
        let first = rng.random_range(1..4);
        let steps = if rng.random() {
            vec![first, 2]
        } else {
            vec![first]
        };
        let job = Job::new(payload, steps);
        let body = Bytes::from(job_body(&job.payload, &job.steps));
        let entries = self.rotated_entries(rng);
        let cancel_after = rng
            .random_ratio(1, CANCEL_RATIO)
            .then(|| Duration::from_millis(rng.random_range(100..3_000)));
        self.submit(&id, entries, body);
        if let Some(after) = cancel_after {
            let (client, entries, call_id) =
                (self.client.clone(), self.rotated_entries(rng), id.clone());
            self.calls.spawn(async move {
                tokio::time::sleep(after).await;
                let is_acknowledged = cancel(&client, &entries, &call_id).await;
                CallResult::Cancelled {
                    id: call_id,
                    is_acknowledged,
                }
            });
        }
        let is_cancel_sent = cancel_after.is_some();
        self.jobs.insert(
            id,
            Job {
                is_cancel_sent,
                ..job
            },
        );
    }

    /// Submits a job of one task that works for `work_ms`.
    pub fn submit_task(&mut self, work_ms: u64) {
        let id = self.next_id();
        let payload = format!("work={work_ms} fail=0 slots=1 job={id}");
        let job = Job::new(payload, vec![1]);
        let body = Bytes::from(job_body(&job.payload, &job.steps));
        self.submit(&id, self.entries.clone(), body);
        self.jobs.insert(id, job);
    }

    /// Submits a gang whose members work for `work_ms` and fail in the first `failures` runs.
    pub fn submit_gang(&mut self, members: u64, work_ms: u64, failures: u64) {
        let id = self.next_id();
        let payload = format!("work={work_ms} fail={failures} slots=1 job={id}");
        let job = Job {
            is_gang: true,
            ..Job::new(payload, vec![members])
        };
        let body = Bytes::from(gang_body(&job.payload, members));
        self.submit(&id, self.entries.clone(), body);
        self.jobs.insert(id, job);
    }

    fn next_id(&self) -> String {
        format!("{:08x}{:08x}", self.seed as u32, self.jobs.len())
    }

    fn submit(&mut self, id: &str, entries: Vec<SocketAddr>, body: Bytes) {
        let (client, id) = (self.client.clone(), id.to_owned());
        self.calls.spawn(async move {
            let outcome = submit(&client, &entries, &id, body).await;
            CallResult::Submitted { id, outcome }
        });
    }

    /// Records the results of the calls that have ended.
    pub async fn collect(&mut self) {
        while let Some(report) = self.calls.try_join_next() {
            self.record(report);
        }
    }

    /// Queries the state of each accepted job that has not finished; waits for all calls.
    pub async fn query_states(&mut self) {
        let ids: Vec<String> = self.unfinished_ids().collect();
        for (at, id) in ids.into_iter().enumerate() {
            let entry = self.entries[at % self.entries.len()];
            let client = self.client.with_address(entry);
            self.calls.spawn(async move {
                let (state, is_missing) = query_state(&client, &id).await;
                CallResult::State {
                    id,
                    state,
                    is_missing,
                }
            });
        }
        while let Some(report) = self.calls.join_next().await {
            self.record(report);
        }
    }

    /// Returns whether all calls have ended and all accepted jobs have finished.
    pub fn all_finished(&self) -> bool {
        self.calls.is_empty() && self.unfinished_ids().next().is_none()
    }

    /// Returns the ids of the accepted jobs that have not finished, separated by commas.
    pub fn unfinished(&self) -> String {
        self.unfinished_ids().collect::<Vec<_>>().join(", ")
    }

    /// Returns the number of accepted jobs.
    pub fn accepted(&self) -> usize {
        self.jobs
            .values()
            .filter(|job| job.accepted_ms.is_some())
            .count()
    }

    fn unfinished_ids(&self) -> impl Iterator<Item = String> + '_ {
        let is_unfinished = |job: &Job| {
            let state = job.state.as_ref().map_or("", |(state, _)| state.as_str());
            job.accepted_ms.is_some() && !matches!(state, "completed" | "failed" | "cancelled")
        };
        self.jobs
            .iter()
            .filter(move |(_, job)| is_unfinished(job))
            .map(|(id, _)| id.clone())
    }

    fn record(&mut self, report: Result<CallResult, tokio::task::JoinError>) {
        let now = boot_ms();
        match report.expect("a caller's call does not panic") {
            CallResult::Submitted { id, outcome } => {
                if let Some(job) = self.jobs.get_mut(&id) {
                    job.accepted_ms = (outcome == Submitted::Accepted).then_some(now);
                    job.is_refused = outcome == Submitted::Refused;
                }
            }
            CallResult::Cancelled {
                id,
                is_acknowledged,
            } => {
                if let Some(job) = self.jobs.get_mut(&id).filter(|_| is_acknowledged) {
                    job.cancelled_ms = Some(now);
                }
            }
            CallResult::State {
                id,
                state,
                is_missing,
            } => {
                if let Some(job) = self.jobs.get_mut(&id) {
                    if is_missing {
                        job.missing_ms = Some(now);
                    }
                    job.state = state.map(|state| (state, now)).or(job.state.take());
                }
            }
        }
    }

    /// Returns the entries in their order, starting at a random one.
    fn rotated_entries(&self, rng: &mut ChaCha8Rng) -> Vec<SocketAddr> {
        let mut entries = self.entries.clone();
        entries.rotate_left(rng.random_range(0..self.entries.len()));
        entries
    }
}

async fn submit(client: &HttpClient, entries: &[SocketAddr], id: &str, body: Bytes) -> Submitted {
    let mut outcome = Submitted::Refused;
    for entry in entries.iter().cycle().take(CALL_ATTEMPTS) {
        match call(&client.with_address(*entry), Method::POST, id, body.clone()).await {
            Ok((StatusCode::OK, _)) => return Submitted::Accepted,
            Ok((StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS, _)) => {
                return outcome;
            }
            Err(HttpError::NotSent(_)) => {}
            Ok(_) | Err(_) => outcome = Submitted::Unknown,
        }
    }
    outcome
}

async fn cancel(client: &HttpClient, entries: &[SocketAddr], id: &str) -> bool {
    for entry in entries.iter().cycle().take(CALL_ATTEMPTS) {
        let response = call(
            &client.with_address(*entry),
            Method::DELETE,
            id,
            Bytes::new(),
        )
        .await;
        if matches!(response, Ok((StatusCode::OK, _))) {
            return true;
        }
    }
    false
}

/// Returns the state of a job, and whether the entry reports that there is no such job.
async fn query_state(client: &HttpClient, id: &str) -> (Option<String>, bool) {
    match call(client, Method::GET, id, Bytes::new()).await {
        Ok((StatusCode::OK, body)) => {
            let body: Value = serde_json::from_slice(&body).unwrap_or_default();
            (body["state"].as_str().map(str::to_owned), false)
        }
        Ok((status, _)) => (None, status == StatusCode::GONE),
        Err(_) => (None, false),
    }
}

async fn call(
    client: &HttpClient,
    method: Method,
    id: &str,
    body: Bytes,
) -> Result<(StatusCode, Bytes), HttpError> {
    let key = format!("Bearer {API_KEY}");
    let headers = [("host", HOST), ("authorization", key.as_str())];
    client
        .send(
            method,
            &format!("{PATH_PREFIX}{id}"),
            &headers,
            body,
            CALL_TIMEOUT,
        )
        .await
}
