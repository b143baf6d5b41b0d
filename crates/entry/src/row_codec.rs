//! Encoding of rows for the table service: string keys and JSON values.

use std::fmt::Display;
use std::str::FromStr;

use cumindeck_control::store::RowVersion;
use cumindeck_platform::{Range, Row};
use cumindeck_site::{RowKey, RowRange, RowValue, StoredRow};
use cumindeck_types::{IdError, JobId, Region};
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// A row that can't be read.
#[derive(Debug, Error)]
#[error("row {table}/{key} is not valid: {reason}; it was not written by this version")]
pub(crate) struct RowError {
    table: String,
    key: String,
    reason: String,
}

/// Returns the table and the key of a row.
pub(crate) fn key_text(key: &RowKey) -> (&'static str, String) {
    match key {
        RowKey::ConfigHead => ("config", "head".to_owned()),
        // Fixed width keeps the keys in the order of the versions.
        RowKey::Bundle(version) => ("config", format!("bundle/{:012}", version.get())),
        RowKey::Zone(zone) => ("zones", zone.to_string()),
        RowKey::Entry(entry) => ("entries", entry.to_string()),
        RowKey::Leader(region) => ("duties", region.to_string()),
        RowKey::Token(region) => ("tokens", region.to_string()),
        RowKey::RingHead(region) => ("ring-heads", region.to_string()),
        RowKey::Ring(region) => ("rings", region.to_string()),
        RowKey::Worker(worker) => ("workers", worker.to_string()),
        RowKey::JobRegion(job) => ("job-regions", job.to_string()),
        RowKey::Job(region, job) => ("jobs", format!("{region}/{job}")),
        RowKey::Attempt(region, job) => ("attempts", format!("{region}/{job}")),
        RowKey::RulesHead => ("rules", "head".to_owned()),
        RowKey::RuleFile(file) => ("rules", format!("file/{file}")),
        RowKey::RulesState => ("rules", "state".to_owned()),
        RowKey::Transitions(first) => ("rules", format!("event/{first:012}")),
        RowKey::Ended(job) => ("ended", job.to_string()),
    }
}

/// Returns the ranges of the table service that hold the wanted rows.
pub(crate) fn ranges(wanted: &[RowRange]) -> Vec<Range> {
    let mut ranges = Vec::new();
    for range in wanted {
        match range {
            RowRange::Polled => ranges.extend([
                Range::new("config", "head"),
                Range::new("zones", ""),
                Range::new("entries", ""),
                Range::new("duties", ""),
                Range::new("tokens", ""),
                Range::new("ring-heads", ""),
                Range::new("workers", ""),
                Range::new("rules", "head"),
            ]),
            RowRange::Rules => ranges.push(Range::new("rules", "")),
            RowRange::RuleFiles => ranges.push(Range::new("rules", "file/")),
            RowRange::Jobs(region) => ranges.extend([
                Range::new("jobs", &format!("{region}/")),
                Range::new("attempts", &format!("{region}/")),
            ]),
            RowRange::Row(key) => {
                let (table, key) = key_text(key);
                ranges.push(Range::new(table, &key));
            }
        }
    }
    ranges
}

/// Encodes a value as JSON.
pub(crate) fn encode(value: &RowValue) -> String {
    match value {
        RowValue::ConfigHead(version) => json(version),
        RowValue::Bundle(row) => json(row),
        RowValue::Zone(row) => json(row),
        RowValue::Entry(row) => json(row),
        RowValue::Leader(row) => json(row),
        RowValue::Token(token) => json(token),
        RowValue::RingHead(version) => json(version),
        RowValue::Ring(row) => json(row),
        RowValue::Worker(row) => json(row),
        RowValue::JobRegion(region) => json(region),
        RowValue::Job(row) => json(row),
        RowValue::Attempt(row) => json(row),
        RowValue::Ended(row) => json(row),
        RowValue::RulesHead(change) => json(change),
        RowValue::RuleFile(row) => json(row),
        RowValue::RulesState(row) => json(row),
        RowValue::Transitions(row) => json(row),
    }
}

/// Decodes the key and the value of a row.
pub(crate) fn decode(row: &Row) -> Result<StoredRow, RowError> {
    let (key, value) = match row.table.as_str() {
        "config" if row.key == "head" => (RowKey::ConfigHead, RowValue::ConfigHead(parse(row)?)),
        "config" => (
            RowKey::Bundle(key_part(row, "bundle/")?),
            RowValue::Bundle(parse(row)?),
        ),
        "zones" => (
            RowKey::Zone(key_part(row, "")?),
            RowValue::Zone(parse(row)?),
        ),
        "entries" => (
            RowKey::Entry(key_part(row, "")?),
            RowValue::Entry(parse(row)?),
        ),
        "duties" => (
            RowKey::Leader(key_part(row, "")?),
            RowValue::Leader(parse(row)?),
        ),
        "tokens" => (
            RowKey::Token(key_part(row, "")?),
            RowValue::Token(parse(row)?),
        ),
        "ring-heads" => (
            RowKey::RingHead(key_part(row, "")?),
            RowValue::RingHead(parse(row)?),
        ),
        "rings" => (
            RowKey::Ring(key_part(row, "")?),
            RowValue::Ring(parse(row)?),
        ),
        "workers" => (
            RowKey::Worker(key_part(row, "")?),
            RowValue::Worker(parse(row)?),
        ),
        "job-regions" => (
            RowKey::JobRegion(key_part(row, "")?),
            RowValue::JobRegion(parse(row)?),
        ),
        "jobs" => {
            let (region, job) = region_and_job(row)?;
            (RowKey::Job(region, job), RowValue::Job(parse(row)?))
        }
        "attempts" => {
            let (region, job) = region_and_job(row)?;
            (RowKey::Attempt(region, job), RowValue::Attempt(parse(row)?))
        }
        "ended" => (
            RowKey::Ended(key_part(row, "")?),
            RowValue::Ended(parse(row)?),
        ),
        "rules" => match row.key.as_str() {
            "head" => (RowKey::RulesHead, RowValue::RulesHead(parse(row)?)),
            "state" => (RowKey::RulesState, RowValue::RulesState(parse(row)?)),
            key if key.starts_with("event/") => (
                RowKey::Transitions(key_part(row, "event/")?),
                RowValue::Transitions(parse(row)?),
            ),
            _ => (
                RowKey::RuleFile(key_part(row, "file/")?),
                RowValue::RuleFile(parse(row)?),
            ),
        },
        _ => return Err(row_error(row, "table is not known")),
    };
    Ok(StoredRow {
        key,
        version: RowVersion::new(row.version.get()),
        value,
    })
}

/// Parses what follows `prefix` in a row's key.
fn key_part<T>(row: &Row, prefix: &str) -> Result<T, RowError>
where
    T: FromStr<Err: Display>,
{
    let part = row
        .key
        .strip_prefix(prefix)
        .ok_or_else(|| row_error(row, "key is not known"))?;
    part.parse()
        .map_err(|err: T::Err| row_error(row, &err.to_string()))
}

fn region_and_job(row: &Row) -> Result<(Region, JobId), RowError> {
    let Some((region, job)) = row.key.split_once('/') else {
        return Err(row_error(row, "key has no region"));
    };
    let region = region
        .parse()
        .map_err(|err: IdError| row_error(row, &err.to_string()))?;
    let job = job
        .parse()
        .map_err(|err: IdError| row_error(row, &err.to_string()))?;
    Ok((region, job))
}

fn row_error(row: &Row, reason: &str) -> RowError {
    RowError {
        table: row.table.clone(),
        key: row.key.clone(),
        reason: reason.to_owned(),
    }
}

fn parse<T: DeserializeOwned>(row: &Row) -> Result<T, RowError> {
    serde_json::from_str(&row.value).map_err(|err| RowError {
        table: row.table.clone(),
        key: row.key.clone(),
        reason: err.to_string(),
    })
}

fn json<T: Serialize>(value: &T) -> String {
    // The row types have no maps with keys other than strings, so this can't fail.
    serde_json::to_string(value).unwrap_or_default()
}
