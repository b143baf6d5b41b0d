//! Reports of commands: rows for people and JSON for programs.

use cumindeck_api::{
    JobExplanation, JobStatus, RulesStatus, SiteStatus, TeamStatus, WorkerStatus, ZoneStatus,
};
use serde::Serialize;
use serde_json::Value;

/// Result of a command that succeeded, in the forms of both output formats.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// Form for people.
    pub body: Body,
    /// Form for programs.
    pub json: Value,
    /// Line that is printed to standard error in addition to the result.
    pub note: Option<String>,
}

/// Form of a result for people.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Body {
    /// One line of text.
    Text(String),
    /// Bytes printed unchanged in both output formats.
    Raw(Vec<u8>),
    /// Names with values, in order.
    Fields(Vec<(String, String)>),
    /// A table; printed as `none` if it has no rows.
    Rows {
        /// Column heads; printed only if there are rows.
        header: Vec<&'static str>,
        /// Rows, with one cell per column.
        rows: Vec<Vec<String>>,
    },
}

impl Report {
    /// Creates a report of one line of text.
    pub fn text(text: impl Into<String>, data: &impl Serialize) -> Self {
        Self::new(Body::Text(text.into()), data)
    }

    /// Creates a report of bytes that are printed unchanged.
    pub fn raw(bytes: Vec<u8>) -> Self {
        Self::new(Body::Raw(bytes), &Value::Null)
    }

    /// Creates a report of names and values.
    pub fn fields(fields: &[(&str, String)], data: &impl Serialize) -> Self {
        let owned = |(name, value): &(&str, String)| ((*name).to_owned(), value.clone());
        Self::new(Body::Fields(fields.iter().map(owned).collect()), data)
    }

    /// Creates a report of a table.
    pub fn rows(header: &[&'static str], rows: Vec<Vec<String>>, data: &impl Serialize) -> Self {
        let header = header.to_vec();
        Self::new(Body::Rows { header, rows }, data)
    }

    fn new(body: Body, data: &impl Serialize) -> Self {
        // The types of the interface always have a JSON form.
        let json = serde_json::to_value(data).unwrap_or(Value::Null);
        Self {
            body,
            json,
            note: None,
        }
    }
}

/// Creates the report on teams.
pub fn teams(teams: &[TeamStatus], data: &impl Serialize) -> Report {
    let header = [
        "TEAM",
        "REGION",
        "GUARANTEE",
        "USED",
        "BORROWED",
        "SHORT",
        "JOBS",
        "WAITING",
    ];
    let mut rows = Vec::new();
    for team in teams {
        for (region, usage) in &team.regions {
            rows.push(vec![
                team.id.to_string(),
                region.clone(),
                or_dash(usage.guarantee.as_ref()),
                usage.used.to_string(),
                usage.borrowed.to_string(),
                or_dash(usage.short.as_ref()),
                usage.running_jobs.to_string(),
                usage.queued_jobs.to_string(),
            ]);
        }
    }
    Report::rows(&header, rows, data)
}

/// Creates the report on a list of jobs.
pub fn jobs(jobs: &[JobStatus]) -> Report {
    let header = [
        "JOB",
        "TEAM",
        "REGION",
        "STATE",
        "TASKS",
        "ACCELERATORS",
        "ATTEMPT",
        "BORROWED",
    ];
    let row = |job: &JobStatus| {
        vec![
            job.spec.id.to_string(),
            job.spec.team.to_string(),
            job.spec.region.to_string(),
            job.state.to_string(),
            job.spec.tasks.to_string(),
            job.spec.accelerators.to_string(),
            job.attempt.to_string(),
            yes_no(job.is_borrowed),
        ]
    };
    Report::rows(&header, jobs.iter().map(row).collect(), &jobs)
}

/// Creates the report on one job.
pub fn job(job: &JobStatus) -> Report {
    let place = |place: &cumindeck_api::TaskLocation| {
        let (worker, zone, first) = (&place.worker, &place.zone, place.first_accelerator);
        format!("{worker} ({zone}) from accelerator {first}")
    };
    let mut fields = vec![
        ("job", job.spec.id.to_string()),
        ("team", job.spec.team.to_string()),
        ("region", job.spec.region.to_string()),
        ("state", job.state.to_string()),
        ("attempt", job.attempt.to_string()),
        ("borrowed", yes_no(job.is_borrowed)),
        ("message", job.message.clone()),
    ];
    fields.extend(job.places.iter().map(|p| ("place", place(p))));
    Report::fields(&fields, job)
}

/// Creates the report on the explanation of a job's state.
pub fn job_explanation(explanation: &JobExplanation) -> Report {
    let nearest = explanation.nearest.map(|need| {
        let rack = if need.same_rack { " in one rack" } else { "" };
        format!(
            "{} tasks of {} accelerators{rack}",
            need.tasks, need.accelerators
        )
    });
    let fields = [
        ("job", explanation.id.to_string()),
        ("state", explanation.state.to_string()),
        ("reason", explanation.reason.clone()),
        ("position", or_dash(explanation.position)),
        ("missing", or_dash(explanation.missing.as_ref())),
        ("nearest", or_dash(nearest)),
        ("hint", explanation.hint.clone()),
    ];
    Report::fields(&fields, explanation)
}

/// Creates the report on availability zones.
pub fn zones(zones: &[ZoneStatus], data: &impl Serialize) -> Report {
    let header = ["ZONE", "REGION", "STATE", "VERSION", "WORKERS", "TASKS"];
    let row = |zone: &ZoneStatus| {
        vec![
            zone.id.to_string(),
            zone.region.to_string(),
            if zone.open { "open" } else { "out" }.to_owned(),
            zone.version.to_string(),
            zone.workers.to_string(),
            zone.tasks.to_string(),
        ]
    };
    Report::rows(&header, zones.iter().map(row).collect(), data)
}

/// Creates the report on workers.
pub fn workers(workers: &[WorkerStatus], data: &impl Serialize) -> Report {
    let header = [
        "WORKER",
        "ZONE",
        "RACK",
        "HEALTH",
        "DRAINING",
        "ACCELERATORS",
        "REQUESTS",
        "TASKS",
        "INCARNATION",
    ];
    let row = |worker: &WorkerStatus| {
        vec![
            worker.id.to_string(),
            worker.zone.to_string(),
            worker.rack.to_string(),
            worker.health.to_string(),
            yes_no(worker.is_draining),
            format!("{}/{}", worker.accelerators_used, worker.accelerators),
            format!("{}/{}", worker.in_flight, worker.slots),
            worker.tasks.to_string(),
            worker.incarnation.to_string(),
        ]
    };
    Report::rows(&header, workers.iter().map(row).collect(), data)
}

/// Creates the report on rule files and their alerts.
pub fn rules(status: &RulesStatus) -> Report {
    let header = [
        "FILE", "VERSION", "RULES", "LAG", "ALERT", "STATE", "LABELS",
    ];
    let mut rows = Vec::new();
    for file in &status.files {
        let lag = file.lag_s.map(|lag| format!("{lag:.0}s"));
        let start = [
            file.file.to_string(),
            file.version.to_string(),
            file.rules.to_string(),
            or_dash(lag),
        ];
        for alert in &file.alerts {
            let label = |(name, value)| format!("{name}={value:?}");
            let labels: Vec<_> = alert.labels.iter().map(label).collect();
            let end = [
                alert.name.clone(),
                alert.state.to_string(),
                labels.join(" "),
            ];
            rows.push([start.as_slice(), &end].concat());
        }
        if file.alerts.is_empty() {
            rows.push([start.as_slice(), &["-".into(), "-".into(), "-".into()]].concat());
        }
    }
    Report::rows(&header, rows, status)
}

/// Creates the report on the state of the site.
pub fn status(status: &SiteStatus) -> Report {
    let mut fields = vec![
        ("site", status.site.clone()),
        ("answering entry", status.entry.to_string()),
        ("configuration version", status.config_version.to_string()),
        ("table service", status.store.to_string()),
        ("zones out", comma_separated(&status.zones_out)),
        ("workers", status.workers.to_string()),
        ("unhealthy workers", status.workers_unhealthy.to_string()),
        ("jobs running", status.jobs_running.to_string()),
        ("jobs queued", status.jobs_queued.to_string()),
        ("requests in flight", status.requests_in_flight.to_string()),
    ];
    for entry in &status.entries {
        let (zone, addr, version) = (&entry.zone, entry.address, entry.config_version);
        let value = format!("{} in {zone} at {addr}, configuration {version}", entry.id);
        fields.push(("entry", value));
    }
    for lease in &status.duties {
        let leader = or_dash(lease.leader.as_ref());
        let (name, token, left) = (&lease.name, lease.token, lease.remaining_ms);
        fields.push((
            "duty",
            format!("{name} held by {leader}, token {token}, {left} ms left"),
        ));
    }
    Report::fields(&fields, status)
}

/// Formats an optional value; `None` is a dash.
pub fn or_dash<T: ToString>(value: Option<T>) -> String {
    value.map_or_else(|| "-".to_owned(), |value| value.to_string())
}

fn comma_separated(items: &[String]) -> String {
    if items.is_empty() {
        return "-".to_owned();
    }
    items.join(", ")
}

fn yes_no(flag: bool) -> String {
    if flag { "yes" } else { "no" }.to_owned()
}
