//! The task that owns the connection to the source of usage reports.

use std::rc::Rc;

use cumindeck_platform::UsageSource;
use cumindeck_platform::api::{SampleBody, UsageBody};
use cumindeck_rules::{EventTime, SampleValue};
use cumindeck_service::Metrics;
use cumindeck_site::{AlertNotice, SiteEvent, TransitionRow, UsageReport, UsageSample};
use tokio::sync::mpsc;

use crate::site_task::SiteMessage;

/// Reads the reports after a sequence number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ReadUsage {
    /// Number that the result repeats.
    pub generation: u64,
    /// Last sequence number that was read.
    pub after: u64,
}

/// Reads reports sequentially until all senders are dropped.
pub(crate) async fn run_usage(
    mut rx: mpsc::UnboundedReceiver<ReadUsage>,
    usage: Rc<dyn UsageSource>,
    site: mpsc::UnboundedSender<SiteMessage>,
    metrics: Metrics,
) {
    while let Some(ReadUsage { generation, after }) = rx.recv().await {
        let report = match usage.after(after).await {
            Ok(body) => {
                metrics.count("usage_read", "done");
                Some(report(body))
            }
            Err(err) => {
                metrics.count("usage_read", "failed");
                tracing::warn!(event = "usage_read_failed", error = %err);
                None
            }
        };
        let event = SiteEvent::Usage { generation, report };
        if site.send(SiteMessage::Event(event)).is_err() {
            return;
        }
    }
}

fn report(body: UsageBody) -> UsageReport {
    let sample = |sample: SampleBody| UsageSample {
        sequence: sample.sequence,
        labels: sample.labels.into_iter().collect(),
        at: EventTime::from_millis(sample.time_ms),
        value: sample.value.map_or(SampleValue::STALE, SampleValue::new),
    };
    UsageReport {
        watermark: EventTime::from_millis(body.watermark_ms),
        samples: body.samples.into_iter().map(sample).collect(),
    }
}

/// Logs an event of the alert rules and updates the metrics.
pub(crate) fn log_alerts(notice: &AlertNotice, metrics: &Metrics) {
    match notice {
        AlertNotice::LeadershipAcquired(token) => {
            metrics.set("rules_duty_held", 1);
            tracing::info!(event = "duty_acquired", duty = "rules", %token);
        }
        AlertNotice::LeadershipLost => {
            metrics.set("rules_duty_held", 0);
            tracing::warn!(event = "duty_lost", duty = "rules");
        }
        AlertNotice::Loaded { files, unemitted } => {
            tracing::info!(event = "rules_loaded", files, unemitted);
        }
        AlertNotice::Transition(row) => log_transition(row, metrics),
        AlertNotice::FileRefused { file, error } => {
            metrics.count("rule_file", "refused");
            tracing::error!(event = "rule_file_refused", file, error);
        }
        AlertNotice::RuleFailed {
            file,
            line,
            at,
            error,
        } => {
            metrics.count("rule", "failed");
            tracing::warn!(event = "rule_failed", file, line, %at, error);
        }
        AlertNotice::SamplesRefused { late, full, ahead } => {
            metrics.count("rule_samples", "refused");
            tracing::warn!(event = "samples_refused", late, full, ahead);
        }
    }
}

fn log_transition(row: &TransitionRow, metrics: &Metrics) {
    let TransitionRow {
        number,
        id,
        file,
        group,
        kind,
        labels,
        annotations,
        value,
        at,
        active_since,
    } = row;
    metrics.count("alert", kind);
    tracing::info!(
        event = "alert",
        number,
        id,
        file,
        group,
        kind,
        %labels,
        %annotations,
        %value,
        %at,
        %active_since,
    );
}
