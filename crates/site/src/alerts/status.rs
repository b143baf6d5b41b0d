//! Status of the alert rules for operators, from the table `rules`.

use std::collections::BTreeMap;
use std::time::Duration;

use cumindeck_api::{
    AlertState as ApiState, AlertStatus, AlertTransition, RuleFileStatus, RulesStatus,
};
use cumindeck_rules::{ActiveAlert, AlertState, EventTime, GroupSnapshot, Labels};

use super::evaluation::event_time;
use super::rows::{RuleFileRow, RulesStateRow, TransitionRow};
use crate::rows::{RowKey, RowValue, StoredRow};

/// Maximum number of transitions in a reply.
const MAX_TRANSITIONS: usize = 500;

/// Builds the status from the stored rows; it shows only what is durable.
pub(crate) fn rules_status(wall: Duration, rows: Vec<StoredRow>) -> RulesStatus {
    let mut files = Vec::new();
    let (mut state, mut transitions) = (None, Vec::new());
    for row in rows {
        match (row.key, row.value) {
            (RowKey::RuleFile(name), RowValue::RuleFile(file)) => files.push((name, file)),
            (_, RowValue::RulesState(row)) => state = Some(row),
            (_, RowValue::Transitions(batch)) => transitions.extend(batch.transitions),
            _ => {}
        }
    }
    transitions.sort_by_key(|transition| transition.number);
    let excess = transitions.len().saturating_sub(MAX_TRANSITIONS);
    transitions.drain(..excess);
    let emitted = state.as_ref().map_or(0, |row| row.emitted);
    let status = |(name, file)| file_status(wall, name, &file, state.as_deref());
    RulesStatus {
        files: files.into_iter().filter_map(status).collect(),
        transitions: transitions
            .into_iter()
            .map(|row| transition(row, emitted))
            .collect(),
    }
}

fn file_status(
    wall: Duration,
    name: cumindeck_api::RuleFileName,
    file: &RuleFileRow,
    state: Option<&RulesStateRow>,
) -> Option<RuleFileStatus> {
    let groups = state.map_or(&[][..], |row| &row.snapshot.groups);
    let of_file = |group: &&GroupSnapshot| group.file == name.to_string();
    let last: Option<EventTime> = groups.iter().filter(of_file).map(|g| g.last).min();
    let lag = last.map(|last| event_time(wall).since(last).as_secs_f64());
    let rules = groups.iter().filter(of_file).flat_map(|g| &g.rules);
    let alerts = rules.flat_map(|rule| &rule.alerts).map(firing).collect();
    let (_, change) = file.changes.last()?;
    Some(RuleFileStatus {
        version: file.version,
        change_id: change.parse().ok()?,
        rules: file.rules,
        last_evaluated: last.map(EventTime::as_secs_f64),
        lag_s: lag.map(|lag| lag.max(0.0)),
        alerts,
        file: name,
    })
}

fn firing(alert: &ActiveAlert) -> AlertStatus {
    AlertStatus {
        name: alert.labels.get("alertname").to_owned(),
        state: match alert.state {
            AlertState::Pending => ApiState::Pending,
            AlertState::Firing => ApiState::Firing,
        },
        labels: map(&alert.labels),
        active_since: alert.active_since.as_secs_f64(),
        value: alert.value.to_string(),
    }
}

fn transition(row: TransitionRow, emitted: u64) -> AlertTransition {
    AlertTransition {
        number: row.number,
        emitted: row.number < emitted,
        id: row.id,
        file: row.file,
        kind: row.kind,
        labels: map(&row.labels),
        annotations: map(&row.annotations),
        value: row.value.to_string(),
        at: row.at.as_secs_f64(),
        active_since: row.active_since.as_secs_f64(),
    }
}

fn map(labels: &Labels) -> BTreeMap<String, String> {
    let pair = |(name, value): (&str, &str)| (name.to_owned(), value.to_owned());
    labels.iter().map(pair).collect()
}
