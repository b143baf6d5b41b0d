//! Results of commands as rows for people and JSON for programs.

use cumindeck_api::{
    JobStatus, JobWhy, RulesStatus, SiteStatus, TeamStatus, WorkerStatus, ZoneStatus,
};
use serde::Serialize;
use serde_json::Value;

/// Result of a command.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// Form for people.
    pub body: Body,
    /// Form for programs.
    pub json: Value,
    /// Line for standard error beside the result.
    pub note: Option<String>,
}

/// Form of a result for people.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Body {
    /// A sentence.
    Text(String),
    /// Bytes that are passed on as they are, in both forms.
    Raw(Vec<u8>),
    /// Names with values.
    Fields(Vec<(String, String)>),
    /// A table.
    Rows {
        /// Names of the columns.
        header: Vec<&'static str>,
        /// Rows.
        rows: Vec<Vec<String>>,
    },
}

impl Report {
    /// Makes a report with a sentence.
    pub fn text(text: impl Into<String>, data: &impl Serialize) -> Self {
        Self::new(Body::Text(text.into()), data)
    }

    /// Makes a report of bytes that are passed on as they are.
    pub fn raw(bytes: Vec<u8>) -> Self {
        Self::new(Body::Raw(bytes), &Value::Null)
    }

    /// Makes a report with names and values.
    pub fn fields(fields: &[(&str, String)], data: &impl Serialize) -> Self {
        let owned = |(name, value): &(&str, String)| ((*name).to_owned(), value.clone());
        Self::new(Body::Fields(fields.iter().map(owned).collect()), data)
    }

    /// Makes a report with a table.
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

/// Reports on teams.
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
        for (region, r) in &team.regions {
            rows.push(vec![
                team.id.to_string(),
                region.clone(),
                opt(r.guarantee.as_ref()),
                r.used.to_string(),
                r.borrowed.to_string(),
                opt(r.short.as_ref()),
                r.running_jobs.to_string(),
                r.queued_jobs.to_string(),
            ]);
        }
    }
    Report::rows(&header, rows, data)
}

/// Reports on jobs.
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
            yes(job.is_borrowed),
        ]
    };
    Report::rows(&header, jobs.iter().map(row).collect(), &jobs)
}

/// Reports on one job.
pub fn job(job: &JobStatus) -> Report {
    let place = |place: &cumindeck_api::JobPlace| {
        let (worker, zone, first) = (&place.worker, &place.zone, place.first_accelerator);
        format!("{worker} ({zone}) from accelerator {first}")
    };
    let mut fields = vec![
        ("job", job.spec.id.to_string()),
        ("team", job.spec.team.to_string()),
        ("region", job.spec.region.to_string()),
        ("state", job.state.to_string()),
        ("attempt", job.attempt.to_string()),
        ("borrowed", yes(job.is_borrowed)),
        ("message", job.message.clone()),
    ];
    fields.extend(job.places.iter().map(|p| ("place", place(p))));
    Report::fields(&fields, job)
}

/// Reports on the reason for a job's state.
pub fn why(why: &JobWhy) -> Report {
    let nearest = why.nearest.map(|need| {
        let rack = if need.same_rack { " in one rack" } else { "" };
        format!(
            "{} tasks of {} accelerators{rack}",
            need.tasks, need.accelerators
        )
    });
    let fields = [
        ("job", why.id.to_string()),
        ("state", why.state.to_string()),
        ("reason", why.reason.clone()),
        ("position", opt(why.position)),
        ("missing", opt(why.missing.as_ref())),
        ("nearest", opt(nearest)),
        ("hint", why.hint.clone()),
    ];
    Report::fields(&fields, why)
}

/// Reports on availability zones.
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

/// Reports on workers.
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
            yes(worker.is_draining),
            format!("{}/{}", worker.accelerators_used, worker.accelerators),
            format!("{}/{}", worker.in_flight, worker.slots),
            worker.tasks.to_string(),
            worker.incarnation.to_string(),
        ]
    };
    Report::rows(&header, workers.iter().map(row).collect(), data)
}

/// Reports on rule files and their alerts.
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
            opt(lag),
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

/// Reports on the whole site.
pub fn status(status: &SiteStatus) -> Report {
    let mut fields = vec![
        ("site", status.site.clone()),
        ("answering entry", status.entry.to_string()),
        ("configuration version", status.config_version.to_string()),
        ("table service", status.store.to_string()),
        ("zones out", list(&status.zones_out)),
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
    for duty in &status.duties {
        let holder = opt(duty.holder.as_ref());
        let (name, token, left) = (&duty.name, duty.token, duty.remaining_ms);
        fields.push((
            "duty",
            format!("{name} held by {holder}, token {token}, {left} ms left"),
        ));
    }
    Report::fields(&fields, status)
}

/// Shows an absent value as a dash.
pub fn opt<T: ToString>(value: Option<T>) -> String {
    value.map_or_else(|| "-".to_owned(), |value| value.to_string())
}

fn list(items: &[String]) -> String {
    if items.is_empty() {
        return "-".to_owned();
    }
    items.join(", ")
}

fn yes(flag: bool) -> String {
    if flag { "yes" } else { "no" }.to_owned()
}
