//! Encoding of rows for the table service: text keys and JSON values.

use cumindeck_control::store::RowVersion;
use cumindeck_platform::{Range, Row};
use cumindeck_site::{RowKey, RowRange, RowValue, StoredRow};
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// A row that can't be read.
#[derive(Debug, Error)]
#[error("row {table}/{key} is not valid: {reason}; it was not written by this version")]
pub(crate) struct RowError {
    /// Table.
    table: String,
    /// Key.
    key: String,
    /// What is wrong.
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
    }
}

/// Returns the ranges of the table service that hold the wanted rows.
pub(crate) fn ranges(wanted: &[RowRange]) -> Vec<Range> {
    let mut ranges = Vec::new();
    for range in wanted {
        match range {
            RowRange::Heads => ranges.extend([
                Range::new("config", "head"),
                Range::new("zones", ""),
                Range::new("entries", ""),
            ]),
            RowRange::Row(key) => {
                let (table, key) = key_text(key);
                ranges.push(Range::new(table, &key));
            }
        }
    }
    ranges
}

/// Encodes a value.
pub(crate) fn encode(value: &RowValue) -> String {
    match value {
        RowValue::ConfigHead(version) => json(version),
        RowValue::Bundle(row) => json(row),
        RowValue::Zone(row) => json(row),
        RowValue::Entry(row) => json(row),
    }
}

/// Decodes a row.
pub(crate) fn decode(row: &Row) -> Result<StoredRow, RowError> {
    let fail = |reason: String| RowError {
        table: row.table.clone(),
        key: row.key.clone(),
        reason,
    };
    let (key, value) = match (row.table.as_str(), row.key.as_str()) {
        ("config", "head") => (RowKey::ConfigHead, RowValue::ConfigHead(parse(row)?)),
        ("config", key) => {
            let version = key
                .strip_prefix("bundle/")
                .and_then(|text| text.parse().ok());
            let version = version.ok_or_else(|| fail("key is not known".to_owned()))?;
            (RowKey::Bundle(version), RowValue::Bundle(parse(row)?))
        }
        ("zones", key) => (
            RowKey::Zone(key.parse().map_err(|err| fail(format!("{err}")))?),
            RowValue::Zone(parse(row)?),
        ),
        ("entries", key) => (
            RowKey::Entry(key.parse().map_err(|err| fail(format!("{err}")))?),
            RowValue::Entry(parse(row)?),
        ),
        _ => return Err(fail("table is not known".to_owned())),
    };
    Ok(StoredRow {
        key,
        version: RowVersion::new(row.version.get()),
        value,
    })
}

fn parse<T: DeserializeOwned>(row: &Row) -> Result<T, RowError> {
    serde_json::from_str(&row.value).map_err(|err| RowError {
        table: row.table.clone(),
        key: row.key.clone(),
        reason: err.to_string(),
    })
}

fn json<T: Serialize>(value: &T) -> String {
    // The row types hold no maps with keys other than text, so this can't fail.
    serde_json::to_string(value).unwrap_or_default()
}
