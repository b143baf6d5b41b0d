//! Client of the platform's transactional table service.

use std::fmt::{self, Display, Formatter};

use async_trait::async_trait;
use hyper::Method;
use thiserror::Error;

use crate::api::{
    CommitBody, CommitReply, ConditionBody, RangeBody, ReadBody, RowsBody, WriteBody,
};
use crate::http::{HttpClient, HttpError};

/// The version of a row, which grows with each write to the row.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RowVersion(u64);

impl RowVersion {
    /// Wraps a raw version.
    #[must_use]
    pub const fn new(raw: u64) -> Self {
        Self(raw)
    }

    /// Returns the raw version.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl Display for RowVersion {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        Display::fmt(&self.0, f)
    }
}

/// The keys of a table with a common prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Range {
    /// Table name.
    pub table: String,
    /// Prefix that the keys have in common; empty for the whole table.
    pub prefix: String,
}

impl Range {
    /// Creates the range of the keys of `table` that start with `prefix`.
    #[must_use]
    pub fn new(table: &str, prefix: &str) -> Self {
        Self {
            table: table.to_owned(),
            prefix: prefix.to_owned(),
        }
    }
}

/// A row as the table service returned it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// Table name.
    pub table: String,
    /// Key within the table.
    pub key: String,
    /// Version at the time of the read.
    pub version: RowVersion,
    /// Value, which the table service does not interpret.
    pub value: String,
}

/// A condition on the version of a row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Condition {
    /// Table name.
    pub table: String,
    /// Key within the table.
    pub key: String,
    /// Expected version, or `None` if the row must not exist.
    pub version: Option<RowVersion>,
}

/// A write to a row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Write {
    /// Table name.
    pub table: String,
    /// Key within the table.
    pub key: String,
    /// New value, or `None` to delete the row.
    pub value: Option<String>,
}

/// Writes that are applied atomically, if all conditions hold.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Transaction {
    /// Conditions that must all hold.
    pub conditions: Vec<Condition>,
    /// Writes to apply.
    pub writes: Vec<Write>,
}

impl Transaction {
    /// Adds the condition that a row has a version, or does not exist if it is `None`.
    #[must_use]
    pub fn expect(mut self, table: &str, key: &str, version: Option<RowVersion>) -> Self {
        self.conditions.push(Condition {
            table: table.to_owned(),
            key: key.to_owned(),
            version,
        });
        self
    }

    /// Adds a write of a row.
    #[must_use]
    pub fn put(mut self, table: &str, key: &str, value: String) -> Self {
        let (table, key) = (table.to_owned(), key.to_owned());
        self.writes.push(Write {
            table,
            key,
            value: Some(value),
        });
        self
    }

    /// Adds the deletion of a row.
    #[must_use]
    pub fn delete(mut self, table: &str, key: &str) -> Self {
        let (table, key) = (table.to_owned(), key.to_owned());
        self.writes.push(Write {
            table,
            key,
            value: None,
        });
        self
    }
}

/// Known outcome of a transaction; an unknown one is [`StoreError::Unknown`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Commit {
    /// All writes were applied; the written rows have this version.
    Applied(RowVersion),
    /// A condition did not hold; nothing was applied.
    Conflict {
        /// Table of the row that did not match.
        table: String,
        /// Key of the row that did not match.
        key: String,
        /// Version found, or `None` if the row doesn't exist.
        found: Option<RowVersion>,
    },
}

/// A failed call to the table service, which is the store of the system.
#[derive(Debug, Clone, Error)]
pub enum StoreError {
    /// The call certainly had no effect.
    #[error("table service unavailable, nothing was written: {0}")]
    NotApplied(HttpError),
    /// The call may have taken effect; the caller has to read the rows to find out.
    #[error("outcome of the write to the table service is unknown: {0}")]
    Unknown(HttpError),
}

/// The platform's transactional table service.
#[async_trait]
pub trait TableStore: Send + Sync {
    /// Reads several ranges atomically; the rows are sorted by table and key.
    async fn read(&self, ranges: &[Range]) -> Result<Vec<Row>, StoreError>;

    /// Applies a transaction atomically if all its conditions hold.
    async fn commit(&self, transaction: &Transaction) -> Result<Commit, StoreError>;
}

/// A client of the table service over HTTP.
#[derive(Debug, Clone)]
pub struct HttpTables {
    client: HttpClient,
}

impl HttpTables {
    /// Creates a client of the table service.
    #[must_use]
    pub const fn new(client: HttpClient) -> Self {
        Self { client }
    }
}

#[async_trait]
impl TableStore for HttpTables {
    async fn read(&self, ranges: &[Range]) -> Result<Vec<Row>, StoreError> {
        let to_body = |r: &Range| RangeBody {
            table: r.table.clone(),
            prefix: r.prefix.clone(),
        };
        let body = ReadBody {
            ranges: ranges.iter().map(to_body).collect(),
        };
        let rows: RowsBody = self
            .client
            .json(Method::POST, "/v1/tables/read", &body)
            .await
            .map_err(StoreError::NotApplied)?;
        let to_row = |row: crate::api::RowBody| Row {
            table: row.table,
            key: row.key,
            version: RowVersion(row.version),
            value: row.value,
        };
        Ok(rows.rows.into_iter().map(to_row).collect())
    }

    async fn commit(&self, transaction: &Transaction) -> Result<Commit, StoreError> {
        let body = commit_body(transaction);
        let reply = self
            .client
            .json(Method::POST, "/v1/tables/commit", &body)
            .await;
        match reply {
            Ok(CommitReply::Committed { version }) => Ok(Commit::Applied(RowVersion(version))),
            Ok(CommitReply::Conflict { table, key, found }) => Ok(Commit::Conflict {
                table,
                key,
                found: found.map(RowVersion),
            }),
            Err(err @ HttpError::NoAnswer { .. }) => Err(StoreError::Unknown(err)),
            Err(err) => Err(StoreError::NotApplied(err)),
        }
    }
}

fn commit_body(transaction: &Transaction) -> CommitBody {
    let condition = |c: &Condition| ConditionBody {
        table: c.table.clone(),
        key: c.key.clone(),
        version: c.version.map(RowVersion::get),
    };
    let write = |w: &Write| WriteBody {
        table: w.table.clone(),
        key: w.key.clone(),
        value: w.value.clone(),
    };
    CommitBody {
        conditions: transaction.conditions.iter().map(condition).collect(),
        writes: transaction.writes.iter().map(write).collect(),
    }
}
