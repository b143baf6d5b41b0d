//! Rows of a leader lease: the lease itself, and the token that other commits check.

use cumindeck_control::leader::LeaderRow;
use cumindeck_control::store::{RowVersion, Versioned};
use cumindeck_types::{FencingToken, Region};

use crate::event::{RowAction, RowCondition, RowWrite};
use crate::rows::{LeaderStateRow, RowKey, RowValue, StoredRow};

/// Finds a leader lease among the polled rows; without one the version is
/// [`RowVersion::ABSENT`].
pub(crate) fn find_leader_lease(name: &Region, rows: &[StoredRow]) -> Versioned<LeaderRow> {
    let found = rows.iter().find_map(|row| match (&row.key, &row.value) {
        (RowKey::Leader(leadership), RowValue::Leader(value)) if *leadership == *name => {
            Some(Versioned {
                version: row.version,
                value: Some(LeaderRow::from(value)),
            })
        }
        _ => None,
    });
    found.unwrap_or(Versioned {
        version: RowVersion::ABSENT,
        value: None,
    })
}

/// Builds the writes of a leader lease, including the token if it changes.
pub(crate) fn leader_lease_writes(
    name: &Region,
    expected: RowVersion,
    row: &LeaderRow,
    token: Option<FencingToken>,
) -> Vec<RowWrite> {
    let mut writes = vec![RowWrite {
        key: RowKey::Leader(name.clone()),
        condition: RowCondition::Version(expected),
        action: RowAction::Put(RowValue::Leader(LeaderStateRow::from(row))),
    }];
    // Other commits check this row. It changes only with the token, so that
    // renewals do not conflict with them.
    if let Some(token) = token {
        writes.push(RowWrite {
            key: RowKey::Token(name.clone()),
            condition: RowCondition::Any,
            action: RowAction::Put(RowValue::Token(token)),
        });
    }
    writes
}

/// Builds the condition that the leader has not changed.
pub(crate) fn check_token(name: &Region, version: RowVersion) -> RowWrite {
    RowWrite {
        key: RowKey::Token(name.clone()),
        condition: RowCondition::Version(version),
        action: RowAction::Check,
    }
}
