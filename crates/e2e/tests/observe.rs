//! Guards the observability of processes: health, metrics and spans.

use std::collections::BTreeMap;
use std::time::Duration;

use cumindeck_e2e::{TestSite, wait_for};
use googletest::prelude::*;

/// Maximum time until a process has written a line of its log.
const LOG_LIMIT: Duration = Duration::from_secs(5);
/// A trace id that no process generates by chance.
const TRACE: &str = "4bf92f3577b34da6a3ce929d0e0e4736";

/// Guards against a process without health checks or metrics.
#[tokio::test]
async fn every_process_reports_its_health_and_metrics() -> eyre::Result<()> {
    let site = TestSite::start().await?;
    for process in ["e1", "e2", "w1", "w2", "w3"] {
        for path in ["/healthz", "/readyz"] {
            assert_that!(
                site.admin(process, path).await?.status,
                eq(200),
                "{process}{path}"
            );
        }
        let metrics = site.admin(process, "/metrics").await?;
        assert_that!(metrics.status, eq(200));
        assert_that!(
            metrics.body,
            contains_substring("# TYPE cumindeck_state gauge")
        );
        assert_that!(site.gauge(process, "in_flight").await, some(eq(0)));
    }
    Ok(())
}

/// Returns the fields of the log line of a span of the trace, if the log has one.
fn span(log: &str, name: &str) -> Option<BTreeMap<String, String>> {
    let is_span = |line: &&str| line.contains(&format!("name={name} ")) && line.contains(TRACE);
    let line = log.lines().find(is_span)?;
    let pairs = line
        .split_whitespace()
        .filter_map(|word| word.split_once('='));
    Some(
        pairs
            .map(|(key, value)| (key.to_owned(), value.trim_matches('"').to_owned()))
            .collect(),
    )
}

/// Guards against a trace that is interrupted between the caller, the entry, the agent
/// and the backend server.
#[tokio::test]
async fn one_request_is_one_trace() -> eyre::Result<()> {
    let mut site = TestSite::start().await?;
    let parent = format!("00-{TRACE}-00f067aa0ba902b7-01");
    let headers = [("traceparent", parent.as_str()), ("x-idempotent", "true")];
    let response = site.request("e1", "/trace", &headers, "").await?;
    assert_that!(response.verdict, eq("answered"));
    let mut agents = Vec::new();
    let entry = wait_for("the spans", LOG_LIMIT, async || {
        agents.clear();
        for agent in ["w1", "w2", "w3"] {
            agents.extend(span(&site.process(agent).ok()?.log(), "agent.dispatch"));
        }
        let entry = span(&site.process("e1").ok()?.log(), "entry.request")?;
        (!agents.is_empty()).then_some(entry)
    })
    .await?;
    assert_that!(agents.len(), eq(1));
    assert_that!(entry["parent_span_id"], eq("00f067aa0ba902b7"));
    assert_that!(agents[0]["parent_span_id"], eq(&entry["span_id"]));
    let expected = format!("00-{TRACE}-{}-01", agents[0]["span_id"]);
    assert_that!(response.body, eq(&expected));
    Ok(())
}
