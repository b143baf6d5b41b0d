//! Model of a store with row versions, conditions and a feed.

use std::collections::BTreeMap;

use cumindeck_jobs::{RowKey, RowName, StoreResult, StoreRow, Transaction};

/// The system's rows.
#[derive(Debug, Default)]
pub struct ModelStore {
    rows: BTreeMap<RowKey, (u64, Vec<u8>)>,
    log: Vec<(u64, RowKey)>,
    version: u64,
}

impl ModelStore {
    /// Applies a transaction; conditions on the operator's rows always hold.
    pub fn transact(&mut self, transaction: &Transaction) -> StoreResult {
        let current = |key: &RowKey| self.rows.get(key).map_or(0, |(version, _)| *version);
        let is_met = transaction
            .conditions
            .iter()
            .all(|condition| match &condition.name {
                RowName::System(key) => current(key) == condition.version,
                RowName::Config | RowName::Evacuation(_) => true,
            });
        if !is_met {
            let names = transaction
                .conditions
                .iter()
                .map(|condition| &condition.name);
            return StoreResult::Conflict(names.filter_map(|name| self.row(name)).collect());
        }
        self.version += 1;
        for change in &transaction.changes {
            if let Some(value) = &change.value {
                let row = (self.version, value.clone());
                self.rows.insert(change.key.clone(), row);
            } else {
                self.rows.remove(&change.key);
            }
            self.log.push((self.version, change.key.clone()));
        }
        StoreResult::Done {
            version: self.version,
        }
    }

    /// Returns the rows that changed after a version, and the newest version.
    pub fn changes(&self, after: u64) -> (Vec<StoreRow>, u64) {
        let from = self.log.partition_point(|(version, _)| *version <= after);
        let keys = self.log[from..]
            .iter()
            .map(|(_, key)| RowName::System(key.clone()));
        (
            keys.filter_map(|name| self.row(&name)).collect(),
            self.version,
        )
    }

    fn row(&self, name: &RowName) -> Option<StoreRow> {
        let RowName::System(key) = name else {
            return None;
        };
        let (version, value) = self.rows.get(key)?;
        Some(StoreRow {
            name: name.clone(),
            version: *version,
            value: Some(value.clone()),
        })
    }
}
