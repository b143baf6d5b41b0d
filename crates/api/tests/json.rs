//! Guards against changes of the JSON form or of a verdict that clients depend on.

use cumindeck_api::{
    ConfigChange, Conflict, ErrorBody, ErrorReason, JobFilter, JobSpec, JobStatus, Problem,
    RuleFileName, ZoneChange,
};

#[test]
fn status_and_verdict_of_each_reason() {
    let line = |reason: ErrorReason| {
        let json = serde_json::to_string(&reason).expect("a reason has a JSON form");
        assert_eq!(json, format!("\"{reason}\""));
        format!("{} {reason} {}\n", reason.status(), reason.verdict())
    };
    let lines: String = ErrorReason::ALL.into_iter().map(line).collect();
    insta::assert_snapshot!(lines);
}

#[test]
fn error_body() {
    let mut body = ErrorBody::new(
        ErrorReason::Conflict,
        "version 8 was accepted first".into(),
        "read it back".into(),
    );
    body.problems.push(Problem {
        file: "base.ini".into(),
        line: 12,
        key: "team plateau.rate".into(),
        found: "20".into(),
        expected: "a rate".into(),
        hint: "write 20/s".into(),
    });
    body.conflict = Some(Conflict {
        version: "8".parse().expect("a version"),
        keys: vec!["requests.max-body".into()],
    });
    let json = serde_json::to_string_pretty(&body).expect("JSON");
    let back: ErrorBody = serde_json::from_str(&json).expect("the same body");
    assert_eq!(back, body);
    insta::assert_snapshot!(json);
}

#[test]
fn bodies_of_calls() {
    let mut out = String::new();
    let mut show = |result: Result<String, serde_json::Error>| match result {
        Ok(text) => out.push_str(&format!("{text}\n")),
        Err(err) => out.push_str(&format!("error: {err}\n")),
    };
    let job = |json: &str| {
        let spec: JobSpec = serde_json::from_str(json)?;
        Ok(format!("{spec:?}\n  check: {:?}", spec.check()))
    };
    show(job(
        r#"{"id":"j1","team":"plateau","region":"dakar","tasks":4,"accelerators":8,
            "same_rack":true,"command":["render"],"deadline":"4h"}"#,
    ));
    show(job(
        r#"{"id":"j1","team":"plateau","region":"dakar","tasks":513,"accelerators":8,
            "command":["render"]}"#,
    ));
    show(job(
        r#"{"id":"j1","team":"plateau","region":"dakar","tasks":1,"accelerators":1,"command":[]}"#,
    ));
    show(job(
        r#"{"id":"a/b","team":"plateau","region":"dakar","tasks":1,"accelerators":1,"command":[]}"#,
    ));
    show(serde_json::from_str::<ZoneChange>(r#"{"open":false}"#).map(|c| format!("{c:?}")));
    show(serde_json::from_str::<ZoneChange>(r#"{"opne":false}"#).map(|c| format!("{c:?}")));
    show(
        serde_json::from_str::<ConfigChange>(
            r#"{"change_id":"c1","expected_version":3,"base":"x","overlays":{"dakar":""}}"#,
        )
        .map(|c| format!("{c:?}")),
    );
    insta::assert_snapshot!(out);
}

#[test]
fn names_of_rule_files() {
    let line = |name: &&str| match name.parse::<RuleFileName>() {
        Ok(file) => format!("{file}\n"),
        Err(err) => format!("error: {err}\n"),
    };
    let names = ["alerts.yml", "..", "", "a/b.yml", "règles.yml"];
    insta::assert_snapshot!(names.iter().map(line).collect::<String>());
}

/// Guards against job lists that lose a job between two pages or ignore a filter.
#[test]
fn pages_of_job_lists() {
    let status = |i: usize| {
        let team = if i.is_multiple_of(2) { "even" } else { "odd" };
        let state = if i < 10 { "queued" } else { "running" };
        let json = format!(
            r#"{{"spec":{{"id":"j{i:04}","team":"{team}","region":"dakar","tasks":1,
                "accelerators":1,"command":["render"]}},
                "state":"{state}","attempt":0,"is_borrowed":false,"message":""}}"#
        );
        serde_json::from_str::<JobStatus>(&json).expect("a status")
    };
    let jobs: Vec<_> = (0..2_500).map(status).collect();
    let page = |filter: &JobFilter| filter.page(jobs.iter().cloned());
    let mut filter = JobFilter::default();
    let mut out = String::new();
    loop {
        let list = page(&filter);
        let (first, last) = (list.jobs.first(), list.jobs.last());
        let id = |job: Option<&JobStatus>| job.map(|job| job.spec.id.to_string());
        let (n, first, last) = (list.jobs.len(), id(first), id(last));
        out += &format!("{n} jobs, {first:?} to {last:?}, next {:?}\n", list.next);
        filter.after = list.next;
        if filter.after.is_none() {
            break;
        }
    }
    for json in [
        r#"{"team":"odd","state":"queued"}"#,
        r#"{"after":"j2499"}"#,
        r#"{"team":""}"#,
        r#"{"colour":"red"}"#,
    ] {
        let ids = |filter: JobFilter| {
            let ids = page(&filter).jobs.into_iter().map(|job| job.spec.id);
            ids.map(|id| id.to_string()).collect::<Vec<_>>()
        };
        let found = serde_json::from_str(json).map(ids);
        out += &format!(
            "{json}: {}\n",
            match found {
                Ok(ids) => ids.join(" "),
                Err(err) => format!("error: {err}"),
            }
        );
    }
    insta::assert_snapshot!(out);
}

/// Guards against a wrong method on a known path that is reported as an unknown path.
#[test]
fn paths_of_the_operator_listener() {
    let paths = [
        "/v1/jobs",
        "/v1/jobs/j1",
        "/v1/jobs/j1/why",
        "/v1/jobs/j1/what",
        "/v1/rules/a.yml",
        "/metrics",
        "/",
        "/v1/jobs/",
        "/v1",
    ];
    let line = |path: &&str| format!("{path}: {}\n", cumindeck_api::path::is_operator_path(path));
    insta::assert_snapshot!(paths.iter().map(line).collect::<String>());
}
