//! A simulated table service with its rows in memory.

use std::collections::BTreeMap;

use cumindeck_control::store::{RowVersion, WriteOutcome};
use cumindeck_site::{
    BundleRow, RowAction, RowCondition, RowKey, RowRange, RowValue, RowWrite, StoredRow,
};
use cumindeck_types::ConfigVersion;

const BASE: &str = include_str!("../../../e2e/base.ini");
const OVERLAY: &str = include_str!("../../../e2e/overlay.ini");

/// Rows with their versions.
pub struct Store {
    rows: BTreeMap<RowKey, (RowVersion, RowValue)>,
    revision: u64,
    /// Whether calls get no reply and have no effect.
    pub is_down: bool,
    /// Number of commits whose reply is lost after they took effect.
    pub lose_replies: u32,
}

impl Store {
    /// Creates a store with an accepted configuration.
    pub fn new() -> Self {
        let version = ConfigVersion::new(1);
        let bundle = BundleRow {
            change: "first".to_owned(),
            base: BASE.to_owned(),
            overlays: BTreeMap::from([("test".to_owned(), OVERLAY.to_owned())]),
        };
        let rows = BTreeMap::from([
            (
                RowKey::ConfigHead,
                (RowVersion::new(1), RowValue::ConfigHead(version)),
            ),
            (
                RowKey::Bundle(version),
                (RowVersion::new(1), RowValue::Bundle(bundle)),
            ),
        ]);
        Self {
            rows,
            revision: 1,
            is_down: false,
            lose_replies: 0,
        }
    }

    pub fn read(&self, ranges: &[RowRange]) -> Vec<StoredRow> {
        let is_wanted = |key: &RowKey| ranges.iter().any(|range| contains(range, key));
        let wanted = self.rows.iter().filter(|(key, _)| is_wanted(key));
        let to_row = |(key, (version, value)): (&RowKey, &(RowVersion, RowValue))| StoredRow {
            key: key.clone(),
            version: *version,
            value: value.clone(),
        };
        wanted.map(to_row).collect()
    }

    pub fn commit(&mut self, writes: Vec<RowWrite>) -> WriteOutcome {
        let holds = |write: &RowWrite| match write.condition {
            RowCondition::Any => true,
            RowCondition::Version(version) => self.version(&write.key) == version,
        };
        if !writes.iter().all(holds) {
            return WriteOutcome::Conflict;
        }
        self.revision += 1;
        let version = RowVersion::new(self.revision);
        for write in writes {
            match write.action {
                RowAction::Check => {}
                RowAction::Put(value) => drop(self.rows.insert(write.key, (version, value))),
                RowAction::Delete => drop(self.rows.remove(&write.key)),
            }
        }
        WriteOutcome::Done(version)
    }

    pub fn value(&self, key: &RowKey) -> Option<&RowValue> {
        self.rows.get(key).map(|(_, value)| value)
    }

    fn version(&self, key: &RowKey) -> RowVersion {
        self.rows
            .get(key)
            .map_or(RowVersion::ABSENT, |(version, _)| *version)
    }
}

fn contains(range: &RowRange, key: &RowKey) -> bool {
    match range {
        RowRange::Row(wanted) => wanted == key,
        RowRange::Jobs(region) => {
            matches!(key, RowKey::Job(r, _) | RowKey::Attempt(r, _) if r == region)
        }
        RowRange::Rules => matches!(
            key,
            RowKey::RulesHead | RowKey::RuleFile(_) | RowKey::RulesState | RowKey::Transitions(_)
        ),
        RowRange::RuleFiles => matches!(key, RowKey::RuleFile(_)),
        RowRange::Polled => matches!(
            key,
            RowKey::ConfigHead
                | RowKey::Zone(_)
                | RowKey::Entry(_)
                | RowKey::Leader(_)
                | RowKey::Token(_)
                | RowKey::RingHead(_)
                | RowKey::Worker(_)
        ),
    }
}
