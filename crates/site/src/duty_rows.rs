//! The rows of a duty: its lease, and the token that other commits check.

use cumindeck_control::duty::DutyRow;
use cumindeck_control::store::{RowVersion, Versioned};
use cumindeck_types::{FencingToken, Region};

use crate::event::{RowAction, RowCondition, RowWrite};
use crate::rows::{DutyStateRow, RowKey, RowValue, StoredRow};

/// Finds the duty lease among the rows of the heads; absent if there is none.
pub(crate) fn find_duty(name: &Region, rows: &[StoredRow]) -> Versioned<DutyRow> {
    let found = rows.iter().find_map(|row| match (&row.key, &row.value) {
        (RowKey::Duty(duty), RowValue::Duty(value)) if *duty == *name => Some(Versioned {
            version: row.version,
            value: Some(DutyRow::from(value)),
        }),
        _ => None,
    });
    found.unwrap_or(Versioned {
        version: RowVersion::ABSENT,
        value: None,
    })
}

/// Makes the writes of a duty lease, with the token if it changes.
pub(crate) fn duty_writes(
    name: &Region,
    expected: RowVersion,
    row: &DutyRow,
    token: Option<FencingToken>,
) -> Vec<RowWrite> {
    let mut writes = vec![RowWrite {
        key: RowKey::Duty(name.clone()),
        condition: RowCondition::Version(expected),
        action: RowAction::Put(RowValue::Duty(DutyStateRow::from(row))),
    }];
    // Other commits check this row; it changes only with the token, so that
    // renewals don't conflict with them.
    if let Some(token) = token {
        writes.push(RowWrite {
            key: RowKey::Token(name.clone()),
            condition: RowCondition::Any,
            action: RowAction::Put(RowValue::Token(token)),
        });
    }
    writes
}

/// Makes the condition that the duty has not changed hands.
pub(crate) fn check_token(name: &Region, version: RowVersion) -> RowWrite {
    RowWrite {
        key: RowKey::Token(name.clone()),
        condition: RowCondition::Version(version),
        action: RowAction::Check,
    }
}
