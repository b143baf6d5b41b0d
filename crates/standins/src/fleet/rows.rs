//! Rows with versions, conditional transactions and a history of changes, without I/O.

use std::collections::{BTreeMap, VecDeque};

use super::wire::{WireRow, WireTransaction};

/// Table of the operator's rows, which only the operator writes.
const OPERATOR_TABLE: &str = "op";

/// Maximum number of rows per response.
const PAGE_ROWS: usize = 500;

/// Maximum number of changes that the history keeps.
const MAX_HISTORY: usize = 10_000;

/// Table, part and key of a row.
type RowId = (String, String, String);

/// Why a transaction was not applied.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TransactError {
    /// A condition doesn't hold; contains the current rows of all its conditions.
    Conflict(Vec<WireRow>),
    /// It writes to the operator's table.
    Forbidden,
}

/// The store's rows, with the recent changes for feeds.
#[derive(Debug, Default)]
pub struct Rows {
    /// Version and value by row.
    rows: BTreeMap<RowId, (u64, String)>,
    /// Version and row of each change, oldest first.
    history: VecDeque<(u64, RowId)>,
    version: u64,
    /// Changes up to this version are no longer in the history.
    dropped_version: u64,
}

impl Rows {
    /// Returns the newest version.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Applies a transaction of the system and returns its version.
    pub fn transact(&mut self, transaction: &WireTransaction) -> Result<u64, TransactError> {
        let changes = transaction.write.iter().chain(&transaction.remove);
        if changes.clone().any(|row| row.table == OPERATOR_TABLE) {
            return Err(TransactError::Forbidden);
        }
        let is_met = |row: &WireRow| self.version_of(&id(row)) == row.row_version.unwrap_or(0);
        if !transaction.expected_rev.iter().all(is_met) {
            let conditions = transaction.expected_rev.iter();
            let current = conditions.filter_map(|row| self.row(&id(row))).collect();
            return Err(TransactError::Conflict(current));
        }
        if changes.count() > 0 {
            self.version += 1;
        }
        for row in &transaction.write {
            self.set(id(row), row.value.clone());
        }
        for row in &transaction.remove {
            self.set(id(row), None);
        }
        Ok(self.version)
    }

    /// Writes one of the operator's rows, or removes it without a value; returns the
    /// new version.
    pub fn set_operator_row(&mut self, key: &str, value: Option<String>) -> u64 {
        self.version += 1;
        let id = (OPERATOR_TABLE.to_owned(), String::new(), key.to_owned());
        self.set(id, value);
        self.version
    }

    /// Returns a page of rows from key `from` on, and whether more follow.
    ///
    /// Rows from key `to` on are left out, unless `to` is empty.
    #[must_use]
    pub fn read(&self, table: &str, part: &str, from: &str, to: &str) -> (Vec<WireRow>, bool) {
        let first = (table.to_owned(), part.to_owned(), from.to_owned());
        let is_wanted =
            |id: &RowId| id.0 == table && id.1 == part && (to.is_empty() || id.2.as_str() < to);
        let mut wanted = self
            .rows
            .range(first..)
            .map(|(id, _)| id)
            .take_while(|id| is_wanted(id));
        let page = wanted.by_ref().take(PAGE_ROWS);
        let rows = page.filter_map(|id| self.row(id)).collect();
        (rows, wanted.next().is_some())
    }

    /// Returns the rows of a table that changed after a version, or `None` if the
    /// history doesn't reach back that far.
    #[must_use]
    pub fn changes(&self, table: &str, after: u64) -> Option<Vec<WireRow>> {
        if after < self.dropped_version {
            return None;
        }
        let from = self
            .history
            .partition_point(|(version, _)| *version <= after);
        let mut newest: BTreeMap<&RowId, u64> = BTreeMap::new();
        for (version, id) in self.history.range(from..) {
            if id.0 == table {
                newest.insert(id, *version);
            }
        }
        let mut rows: Vec<WireRow> = newest
            .into_iter()
            .map(|(id, version)| {
                self.row(id).unwrap_or_else(|| WireRow {
                    table: id.0.clone(),
                    part: id.1.clone(),
                    key: id.2.clone(),
                    row_version: Some(version),
                    deleted: true,
                    value: None,
                })
            })
            .collect();
        rows.sort_by_key(|row| row.row_version);
        Some(rows)
    }

    /// Discards the history, so that feeds from earlier versions fail.
    pub fn drop_history(&mut self) {
        self.history.clear();
        self.dropped_version = self.version;
    }

    fn set(&mut self, id: RowId, value: Option<String>) {
        match value {
            Some(value) => self.rows.insert(id.clone(), (self.version, value)),
            None => self.rows.remove(&id),
        };
        self.history.push_back((self.version, id));
        if self.history.len() > MAX_HISTORY
            && let Some((version, _)) = self.history.pop_front()
        {
            self.dropped_version = version;
        }
    }

    fn version_of(&self, id: &RowId) -> u64 {
        self.rows.get(id).map_or(0, |(version, _)| *version)
    }

    fn row(&self, id: &RowId) -> Option<WireRow> {
        let (version, value) = self.rows.get(id)?;
        Some(WireRow {
            table: id.0.clone(),
            part: id.1.clone(),
            key: id.2.clone(),
            value: Some(value.clone()),
            row_version: Some(*version),
            deleted: false,
        })
    }
}

fn id(row: &WireRow) -> RowId {
    (row.table.clone(), row.part.clone(), row.key.clone())
}
