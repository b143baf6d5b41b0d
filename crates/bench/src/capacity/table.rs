//! A table service in memory that counts operations and bytes.

use std::collections::BTreeMap;

use cumindeck_control::store::{RowVersion, WriteOutcome};
use cumindeck_site::{RowAction, RowCondition, RowKey, RowRange, RowValue, RowWrite, StoredRow};

/// Operations and bytes of a table service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TableCounts {
    /// Number of reads; a read of several ranges counts once.
    pub reads: u64,
    /// Length of the values read, encoded as JSON.
    pub read_bytes: u64,
    /// Number of rows written or deleted.
    pub writes: u64,
    /// Number of commits, including those rejected by a condition.
    pub commits: u64,
    /// Length of the values written, encoded as JSON.
    pub write_bytes: u64,
}

/// Rows with their versions.
#[derive(Debug, Default)]
pub struct Table {
    rows: BTreeMap<RowKey, (RowVersion, RowValue)>,
    version: u64,
    /// Operations since the last reset.
    pub counts: TableCounts,
}

impl Table {
    /// Writes a row without counting the write.
    pub fn put(&mut self, key: RowKey, value: RowValue) {
        self.version += 1;
        self.rows
            .insert(key, (RowVersion::new(self.version), value));
    }

    /// Increases the versions of all rows of entries, as running entries do.
    pub fn renew_entries(&mut self) {
        self.version += 1;
        for (key, (version, _)) in &mut self.rows {
            if matches!(key, RowKey::Entry(_)) {
                *version = RowVersion::new(self.version);
            }
        }
    }

    /// Reads all rows in the ranges and counts the read.
    pub fn read(&mut self, ranges: &[RowRange]) -> Vec<StoredRow> {
        let is_wanted = |key: &RowKey| ranges.iter().any(|range| contains(range, key));
        let rows = self.rows.iter().filter(|(key, _)| is_wanted(key));
        let rows: Vec<_> = rows
            .map(|(key, (version, value))| StoredRow {
                key: key.clone(),
                version: *version,
                value: value.clone(),
            })
            .collect();
        self.counts.reads += 1;
        self.counts.read_bytes += rows.iter().map(|row| encoded_len(&row.value)).sum::<u64>();
        rows
    }

    /// Applies the writes if all conditions hold, and counts them.
    pub fn commit(&mut self, writes: Vec<RowWrite>) -> WriteOutcome {
        self.counts.commits += 1;
        let stored = |key: &RowKey| {
            let row = self.rows.get(key);
            row.map_or(RowVersion::ABSENT, |(version, _)| *version)
        };
        let holds = |write: &RowWrite| match write.condition {
            RowCondition::Any => true,
            RowCondition::Version(version) => stored(&write.key) == version,
        };
        if !writes.iter().all(holds) {
            return WriteOutcome::Conflict;
        }
        // All rows of a transaction get the same version, as in the table service.
        self.version += 1;
        let version = RowVersion::new(self.version);
        for write in writes {
            match write.action {
                RowAction::Check => continue,
                RowAction::Put(value) => {
                    self.counts.write_bytes += encoded_len(&value);
                    self.rows.insert(write.key, (version, value));
                }
                RowAction::Delete => drop(self.rows.remove(&write.key)),
            }
            self.counts.writes += 1;
        }
        WriteOutcome::Done(version)
    }
}

fn contains(range: &RowRange, key: &RowKey) -> bool {
    match range {
        RowRange::Polled => matches!(
            key,
            RowKey::ConfigHead
                | RowKey::Zone(_)
                | RowKey::Entry(_)
                | RowKey::Leader(_)
                | RowKey::Token(_)
                | RowKey::RingHead(_)
                | RowKey::Worker(_)
                | RowKey::RulesHead
        ),
        RowRange::Rules => matches!(
            key,
            RowKey::RulesHead | RowKey::RuleFile(_) | RowKey::RulesState | RowKey::Transitions(_)
        ),
        RowRange::RuleFiles => matches!(key, RowKey::RuleFile(_)),
        RowRange::Jobs(wanted) => {
            matches!(key, RowKey::Job(region, _) | RowKey::Attempt(region, _) if region == wanted)
        }
        RowRange::Row(wanted) => key == wanted,
    }
}

/// Returns the length of a value in the JSON encoding that the entry stores.
fn encoded_len(value: &RowValue) -> u64 {
    let text = match value {
        RowValue::ConfigHead(version) => Ok(version.to_string()),
        RowValue::RingHead(version) => Ok(version.to_string()),
        RowValue::Token(token) => Ok(token.to_string()),
        RowValue::JobRegion(region) => Ok(region.to_string()),
        RowValue::Bundle(row) => serde_json::to_string(row),
        RowValue::Zone(row) => serde_json::to_string(row),
        RowValue::Entry(row) => serde_json::to_string(row),
        RowValue::Leader(row) => serde_json::to_string(row),
        RowValue::Ring(row) => serde_json::to_string(row),
        RowValue::Worker(row) => serde_json::to_string(row),
        RowValue::Job(row) => serde_json::to_string(row),
        RowValue::Attempt(row) => serde_json::to_string(row),
        RowValue::Ended(row) => serde_json::to_string(row),
        RowValue::RulesHead(change) => serde_json::to_string(change),
        RowValue::RuleFile(row) => serde_json::to_string(row),
        RowValue::RulesState(row) => serde_json::to_string(row),
        RowValue::Transitions(row) => serde_json::to_string(row),
    };
    text.map_or(0, |text| text.len() as u64)
}
