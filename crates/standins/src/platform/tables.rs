//! State of the table service, without I/O.

use std::collections::BTreeMap;

use cumindeck_platform::api::{CommitBody, CommitReply, ReadBody, RowBody, RowsBody};

/// Tables with transactions, kept in memory.
#[derive(Debug, Default)]
pub struct Tables {
    /// Version and value by table and key.
    rows: BTreeMap<(String, String), (u64, String)>,
    /// Number of transactions so far, which is the version of the rows last written.
    last_version: u64,
}

impl Tables {
    /// Returns the current rows of all ranges.
    #[must_use]
    pub fn read(&self, body: &ReadBody) -> RowsBody {
        let mut rows = Vec::new();
        for range in &body.ranges {
            let start = (range.table.clone(), range.prefix.clone());
            let matching = self.rows.range(start..).take_while(|((table, key), _)| {
                *table == range.table && key.starts_with(&range.prefix)
            });
            rows.extend(matching.map(|((table, key), (version, value))| RowBody {
                table: table.clone(),
                key: key.clone(),
                version: *version,
                value: value.clone(),
            }));
        }
        RowsBody { rows }
    }

    /// Applies a transaction if all its conditions hold, or returns the first conflict.
    pub fn commit(&mut self, body: CommitBody) -> CommitReply {
        for condition in body.conditions {
            let key = (condition.table, condition.key);
            let found = self.rows.get(&key).map(|(version, _)| *version);
            if found != condition.version {
                let (table, key) = key;
                return CommitReply::Conflict { table, key, found };
            }
        }
        self.last_version += 1;
        for write in body.writes {
            let key = (write.table, write.key);
            match write.value {
                Some(value) => self.rows.insert(key, (self.last_version, value)),
                None => self.rows.remove(&key),
            };
        }
        CommitReply::Committed {
            version: self.last_version,
        }
    }
}
