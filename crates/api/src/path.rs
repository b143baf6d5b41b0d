//! Paths and header names of the HTTP interface.

use std::fmt::Display;

use cumindeck_types::{AvailabilityZone, JobId, TeamId, WorkerId};

use crate::RuleFileName;

/// Callers' requests to backend servers; served on the caller listener only.
pub const REQUESTS: &str = "/v1/requests";
/// Accepted configuration bundle.
pub const CONFIG: &str = "/v1/config";
/// List of teams.
pub const TEAMS: &str = "/v1/teams";
/// One team, as a route pattern.
pub const TEAM: &str = "/v1/teams/:team";
/// List of jobs, and submission of a job.
pub const JOBS: &str = "/v1/jobs";
/// One job, as a route pattern.
pub const JOB: &str = "/v1/jobs/:job";
/// Explanation of a job's state, as a route pattern.
pub const JOB_WHY: &str = "/v1/jobs/:job/why";
/// List of availability zones.
pub const ZONES: &str = "/v1/zones";
/// One availability zone, as a route pattern.
pub const ZONE: &str = "/v1/zones/:zone";
/// List of workers.
pub const WORKERS: &str = "/v1/workers";
/// One worker, as a route pattern.
pub const WORKER: &str = "/v1/workers/:worker";
/// Drain of a worker, as a route pattern.
pub const WORKER_DRAIN: &str = "/v1/workers/:worker/drain";
/// Fence of a worker, as a route pattern.
pub const WORKER_FENCE: &str = "/v1/workers/:worker/fence";
/// Alert rule files and their alerts.
pub const RULES: &str = "/v1/rules";
/// One rule file, as a route pattern.
pub const RULE_FILE: &str = "/v1/rules/:file";
/// State of the whole site.
pub const STATUS: &str = "/v1/status";
/// Liveness of a process: 200 whether or not it is ready.
pub const HEALTHZ: &str = "/healthz";
/// Readiness of a process: 200, or 503 while it isn't ready or is draining.
pub const READYZ: &str = "/readyz";
/// Metrics of a process in the Prometheus text format.
pub const METRICS: &str = "/metrics";

/// Header with the id of an operator's change whose body has no field for the id.
pub const CHANGE_ID: &str = "x-change-id";
/// Header with the caller's team.
pub const TEAM_HEADER: &str = "x-team";
/// Header with the idempotency key.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Header that states whether a request may run more than once.
pub const IDEMPOTENT: &str = "x-idempotent";
/// Header with the caller's time limit in milliseconds.
pub const TIMEOUT_MS: &str = "x-timeout-ms";
/// Header with the trace context.
pub const TRACEPARENT: &str = "traceparent";
/// Header with the verdict on a request.
pub const VERDICT: &str = "x-verdict";
/// Header with the request id.
pub const REQUEST_ID: &str = "x-request-id";

/// Paths and route patterns of the operator listener.
const OPERATOR_PATHS: [&str; 18] = [
    CONFIG,
    TEAMS,
    TEAM,
    JOBS,
    JOB,
    JOB_WHY,
    ZONES,
    ZONE,
    WORKERS,
    WORKER,
    WORKER_DRAIN,
    WORKER_FENCE,
    RULES,
    RULE_FILE,
    STATUS,
    HEALTHZ,
    READYZ,
    METRICS,
];

/// Returns whether the operator listener serves a path under any method.
#[must_use]
pub fn is_operator_path(path: &str) -> bool {
    let matches = |pattern: &&str| {
        let parts = pattern.split('/').zip(path.split('/'));
        pattern.split('/').count() == path.split('/').count()
            && parts
                .into_iter()
                .all(|(pattern, part)| pattern == part || pattern.starts_with(':'))
    };
    OPERATOR_PATHS.iter().any(matches)
}

/// Returns the path of a team.
#[must_use]
pub fn team(id: &TeamId) -> String {
    child_path(TEAMS, id)
}

/// Returns the path of a job.
#[must_use]
pub fn job(id: &JobId) -> String {
    child_path(JOBS, id)
}

/// Returns the path of the explanation of a job's state.
#[must_use]
pub fn job_why(id: &JobId) -> String {
    job(id) + "/why"
}

/// Returns the path of an availability zone.
#[must_use]
pub fn zone(id: &AvailabilityZone) -> String {
    child_path(ZONES, id)
}

/// Returns the path of a worker.
#[must_use]
pub fn worker(id: &WorkerId) -> String {
    child_path(WORKERS, id)
}

/// Returns the path of a worker's drain.
#[must_use]
pub fn worker_drain(id: &WorkerId) -> String {
    worker(id) + "/drain"
}

/// Returns the path of a worker's fence.
#[must_use]
pub fn worker_fence(id: &WorkerId) -> String {
    worker(id) + "/fence"
}

/// Returns the path of a rule file.
#[must_use]
pub fn rule_file(file: &RuleFileName) -> String {
    child_path(RULES, file)
}

/// Appends an id; ids contain only characters that need no escaping in a path.
fn child_path(base: &str, id: &impl Display) -> String {
    format!("{base}/{id}")
}
